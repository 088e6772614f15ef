//! The callers of `heatherbend try --requests`.

use super::Options;
use super::cluster::{Cluster, block_of};
use super::summary::Summary;
use caller::client::{Call, Client, Outcome};
use caller::{Method, parse_block};
use clock::Clock;
use errors::{Error, Kind};
use settings::{Class, Service};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use tokio::task::JoinSet;

const SHORT_BODY_BYTES: u32 = 512;
const LONG_BODY_BYTES: u32 = 64 << 10;
/// One request in this many is an order.
const ORDER_EVERY: u64 = 5;

/// Sends `requests` requests from several concurrent callers and counts their outcomes.
///
/// # Errors
///
/// [`Kind::Internal`] when a caller can't be set up.
pub async fn send(cluster: &Cluster, options: &Options, requests: u64) -> Result<Summary, Error> {
    let next = Arc::new(AtomicU64::new(0));
    let mut tasks = JoinSet::new();
    for number in 0..options.concurrency.max(1) {
        let worker = Worker::new(cluster, options.seed + number, requests, Arc::clone(&next))?;
        tasks.spawn(worker.run());
    }
    let mut total = Summary::default();
    while let Some(result) = tasks.join_next().await {
        let part = result.map_err(|cause| Error::new(Kind::Internal, cause.to_string()))?;
        total.add(&part);
    }
    Ok(total)
}

/// A caller that sends one request at a time.
struct Worker {
    client: Client,
    clock: Clock,
    services: Vec<Service>,
    seed: u64,
    requests: u64,
    /// The number of the next request of any caller.
    next: Arc<AtomicU64>,
}

impl Worker {
    fn new(
        cluster: &Cluster,
        seed: u64,
        requests: u64,
        next: Arc<AtomicU64>,
    ) -> Result<Worker, Error> {
        let deployment = &cluster.declaration.deployment;
        let block = parse_block(&block_of(deployment, seed as u32)).unwrap_or_default();
        let mut seeds: Vec<SocketAddr> = cluster.caller_addresses();
        let offset = seed as usize % seeds.len();
        seeds.rotate_left(offset);
        let client = Client::new(cluster.clock, block, seeds)?;
        let services = deployment.services.clone();
        Ok(Worker { client, clock: cluster.clock, services, seed, requests, next })
    }

    async fn run(mut self) -> Summary {
        let mut summary = Summary::default();
        loop {
            let number = self.next.fetch_add(1, Ordering::Relaxed);
            if number >= self.requests {
                return summary;
            }
            let call = self.call(number).await;
            let started = self.clock.now();
            let outcome = self.client.send(&call).await;
            let latency = self.clock.now() - started;
            summary.record(&call.service, &outcome, latency, is_intact(&call, &outcome));
        }
    }

    async fn call(&mut self, number: u64) -> Call {
        let service = self.services[number as usize % self.services.len()].clone();
        let bytes = match service.class {
            Class::Short => SHORT_BODY_BYTES,
            Class::Long => LONG_BODY_BYTES,
        };
        let path: Arc<str> = format!("/bytes/{bytes}/{}-{number}", self.seed).into();
        let is_order = (number / self.services.len() as u64).is_multiple_of(ORDER_EVERY);
        let order = match is_order && service.class == Class::Short {
            true => self.order_id(&service.name, number).await,
            false => None,
        };
        let method = if order.is_some() { Method::POST } else { Method::GET };
        Call { service: service.name, method, path, body: Default::default(), order }
    }

    async fn order_id(&mut self, service: &Arc<str>, number: u64) -> Option<Arc<str>> {
        let response = self.client.look_up(service).await.ok()?;
        Some(format!("{}~{}-{number}", response.order_prefix, self.seed).into())
    }
}

/// Whether a response has exactly the bytes that the stand-in upstreams serve for the path. A
/// refusal counts as intact.
fn is_intact(call: &Call, outcome: &Outcome) -> bool {
    match outcome {
        Outcome::Answered { body, .. } => *body == upstream::fake::entity(&call.path, 0),
        Outcome::Refused { .. } => true,
    }
}
