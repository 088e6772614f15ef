use super::control::{binaries, client, failed, refused};
use super::declaration;
use caller::client::{Call, Client, Outcome};
use caller::{Method, parse_block};
use clock::{Clock, Millis};
use errors::{Error, Kind};
use harness::{Fleet, Size};
use hdrhistogram::Histogram;
use operator::wire::Apply;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use tokio::task::JoinSet;

const DOMAINS: [&str; 3] = ["antwerpen-1", "gent-1", "leuven-1"];
const SERVICE: &str = "status-desk";
const BLOCK: &str = "10.0.0.0/24";
const CALLERS: u64 = 32;
const UPSTREAMS: usize = 12;
const READY_LIMIT: Millis = Millis::from_secs(30);
const POLL: Millis = Millis(100);
const LATENCY_MAX_MS: u64 = 60_000;
const DIGITS: u8 = 3;

/// What one entry VM carried.
#[derive(Clone, Debug)]
pub struct Rate {
    /// What was asked of it.
    pub kind: &'static str,
    /// Requests a second that were to be sent.
    pub offered: u64,
    /// Requests a second that were answered.
    pub answered: f64,
    /// Requests refused.
    pub refused: u64,
    /// The median latency from the intended send, in milliseconds.
    pub p50_ms: u64,
    /// The 99th percentile.
    pub p99_ms: u64,
    /// The 99.9th percentile.
    pub p999_ms: u64,
    /// Processor time of `entryd` for one request, in microseconds.
    pub processor_us: f64,
    /// Memory of `entryd` afterwards, in MiB.
    pub resident_mib: f64,
}

/// Sends look-ups and then requests at `rate` to one entry VM of three, for `span` each.
///
/// Arrivals are open-loop: a late answer delays no later request, and latency counts from the
/// intended send.
///
/// # Errors
///
/// The kind of whatever can't start.
pub async fn measure(directory: &Path, rate: u64, span: Millis) -> Result<Vec<Rate>, Error> {
    let clock = Clock::system();
    let size = Size {
        domains: DOMAINS.map(String::from).to_vec(),
        entries: DOMAINS.len(),
        services: vec![SERVICE.into()],
        upstreams: UPSTREAMS,
        slots: 3,
        service_ms: 1,
    };
    let mut fleet = Fleet::prepare(binaries(), &size).await.map_err(failed)?;
    fleet.start().await.map_err(failed)?;
    let source = declaration::read(directory, false)?;
    let act = Apply { expected: 0, operation: "bench".into(), source };
    client(&fleet, 0)?.apply(act).await.map_err(refused)?;
    wait_until_ready(&fleet, clock).await?;
    let mut rates = Vec::new();
    for kind in ["look-up", "request"] {
        rates.push(run(&fleet, clock, kind, rate, span).await?);
    }
    Ok(rates)
}

async fn wait_until_ready(fleet: &Fleet, clock: Clock) -> Result<(), Error> {
    let caller = caller_of(clock, fleet.entry_vms[0].listen.caller)?;
    let limit = clock.now() + READY_LIMIT;
    while clock.now() < limit {
        if matches!(caller.attempt(&call(0), caller_address(fleet)).await, Outcome::Answered { .. })
        {
            return Ok(());
        }
        clock.sleep(POLL).await;
    }
    Err(Error::new(Kind::NotReady, "the entry VM doesn't serve"))
}

async fn run(
    fleet: &Fleet,
    clock: Clock,
    kind: &'static str,
    rate: u64,
    span: Millis,
) -> Result<Rate, Error> {
    let entryd = fleet.entry_vms[0].entryd.as_ref();
    let usage = || entryd.map(harness::Process::usage).unwrap_or_default();
    let before = usage();
    let started = clock.now();
    let mut tasks = JoinSet::new();
    for number in 0..CALLERS {
        let caller = caller_of(clock, caller_address(fleet))?;
        let worker = Worker { caller, clock, kind, number, address: caller_address(fleet) };
        tasks.spawn(worker.run(rate, span));
    }
    let mut latency = histogram();
    let mut refused = 0;
    while let Some(part) = tasks.join_next().await {
        let part = part.map_err(|cause| Error::new(Kind::Internal, cause.to_string()))?;
        refused += part.refused;
        // All histograms have the same bounds.
        let _ = latency.add(&part.latency);
    }
    let seconds = (clock.now() - started).as_secs_f64();
    let after = usage();
    let total = (latency.len() + refused).max(1) as f64;
    Ok(Rate {
        kind,
        offered: rate,
        answered: latency.len() as f64 / seconds,
        refused,
        p50_ms: latency.value_at_quantile(0.5),
        p99_ms: latency.value_at_quantile(0.99),
        p999_ms: latency.value_at_quantile(0.999),
        processor_us: (after.cpu_s - before.cpu_s) / total * 1e6,
        resident_mib: after.resident_kib as f64 / 1024.0,
    })
}

/// One of the callers that share the offered rate.
struct Worker {
    caller: Client,
    clock: Clock,
    kind: &'static str,
    number: u64,
    address: SocketAddr,
}

struct Part {
    latency: Histogram<u64>,
    refused: u64,
}

impl Worker {
    async fn run(mut self, rate: u64, span: Millis) -> Part {
        let mut part = Part { latency: histogram(), refused: 0 };
        let started = self.clock.now();
        let total = rate * span.0 / 1000;
        let mut number = self.number;
        while number < total {
            let intended = started + Millis(number * 1000 / rate);
            self.clock.sleep_until(intended).await;
            let answered = self.ask(number).await;
            match answered {
                true => part.latency.saturating_record((self.clock.now() - intended).0),
                false => part.refused += 1,
            }
            number += CALLERS;
        }
        part
    }

    async fn ask(&mut self, number: u64) -> bool {
        match self.kind {
            "look-up" => self.caller.ask_at(self.address, SERVICE, "").await.is_ok(),
            _ => {
                let outcome = self.caller.attempt(&call(number), self.address).await;
                matches!(outcome, Outcome::Answered { .. })
            }
        }
    }
}

fn caller_of(clock: Clock, address: SocketAddr) -> Result<Client, Error> {
    Client::new(clock, parse_block(BLOCK).unwrap_or_default(), vec![address])
}

fn caller_address(fleet: &Fleet) -> SocketAddr {
    fleet.entry_vms[0].listen.caller
}

fn call(number: u64) -> Call {
    Call {
        service: Arc::from(SERVICE),
        method: Method::GET,
        path: format!("/bytes/256/{number}").into(),
        body: Default::default(),
        order: None,
    }
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_max(LATENCY_MAX_MS, DIGITS).expect("the bounds are valid constants")
}
