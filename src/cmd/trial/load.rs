//! Callers that send the trial's requests.

use super::Options;
use super::summary::Summary;
use super::world::{World, block_of};
use caller::client::{Call, Client, Outcome};
use caller::{Method, parse_block};
use clock::Clock;
use errors::{Error, Kind};
use settings::{Class, Service};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use tokio::task::JoinSet;

const BYTES_SHORT: u32 = 512;
const BYTES_LONG: u32 = 64 << 10;
/// One request in this many is an order.
const ORDER_EVERY: u64 = 5;

/// Sends `requests` requests from several callers and sums up how they ended.
///
/// # Errors
///
/// [`Kind::Internal`] when a caller can't be set up.
pub async fn send(world: &World, options: &Options, requests: u64) -> Result<Summary, Error> {
    let next = Arc::new(AtomicU64::new(0));
    let mut tasks = JoinSet::new();
    for number in 0..options.concurrency.max(1) {
        let worker = Worker::new(world, options.seed + number, requests, Arc::clone(&next))?;
        tasks.spawn(worker.run());
    }
    let mut total = Summary::default();
    while let Some(result) = tasks.join_next().await {
        let part = result.map_err(|cause| Error::new(Kind::Internal, cause.to_string()))?;
        total.add(&part);
    }
    Ok(total)
}

/// One caller.
struct Worker {
    client: Client,
    clock: Clock,
    services: Vec<Service>,
    seed: u64,
    requests: u64,
    next: Arc<AtomicU64>,
}

impl Worker {
    fn new(world: &World, seed: u64, requests: u64, next: Arc<AtomicU64>) -> Result<Worker, Error> {
        let deployment = &world.declaration.deployment;
        let block = parse_block(&block_of(deployment, seed as u32)).unwrap_or_default();
        let mut seeds: Vec<SocketAddr> = world.callers();
        let turn = seed as usize % seeds.len();
        seeds.rotate_left(turn);
        let client = Client::new(world.clock, block, seeds)?;
        let services = deployment.services.clone();
        Ok(Worker { client, clock: world.clock, services, seed, requests, next })
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
            summary.record(&call.service, &outcome, latency, is_whole(&call, &outcome));
        }
    }

    async fn call(&mut self, number: u64) -> Call {
        let service = self.services[number as usize % self.services.len()].clone();
        let bytes = match service.class {
            Class::Short => BYTES_SHORT,
            Class::Long => BYTES_LONG,
        };
        let path: Arc<str> = format!("/bytes/{bytes}/{}-{number}", self.seed).into();
        let is_order = number / self.services.len() as u64 % ORDER_EVERY == 0;
        let order = match is_order && service.class == Class::Short {
            true => self.order_id(&service.name, number).await,
            false => None,
        };
        let method = if order.is_some() { Method::POST } else { Method::GET };
        Call { service: service.name, method, path, body: Default::default(), order }
    }

    async fn order_id(&mut self, service: &Arc<str>, number: u64) -> Option<Arc<str>> {
        let answer = self.client.look_up(service).await.ok()?;
        Some(format!("{}~{}-{number}", answer.order_prefix, self.seed).into())
    }
}

/// Whether an answer holds exactly the bytes that belong to the request.
fn is_whole(call: &Call, outcome: &Outcome) -> bool {
    match outcome {
        Outcome::Answered { body, .. } => *body == upstream::fake::entity(&call.path, 0),
        Outcome::Refused { .. } => true,
    }
}
