use super::control::{api_error, binaries, client, harness_error};
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
const READY_TIMEOUT: Millis = Millis::from_secs(30);
const POLL_INTERVAL: Millis = Millis(100);
const LATENCY_MAX_MS: u64 = 60_000;
/// Significant digits of recorded latencies.
const LATENCY_DIGITS: u8 = 3;

/// Results of one kind of request at one entry VM.
#[derive(Clone, Debug)]
pub struct Measurement {
    /// `look-up` or `request`.
    pub kind: &'static str,
    /// Requests per second that were due.
    pub offered: u64,
    /// Requests per second that were answered.
    pub answered: f64,
    /// Number of requests that were refused or failed.
    pub refused: u64,
    /// The median latency in milliseconds, counted from the time at which the request was due.
    pub p50_ms: u64,
    /// The 99th percentile of the latency, in milliseconds.
    pub p99_ms: u64,
    /// The 99.9th percentile of the latency, in milliseconds.
    pub p999_ms: u64,
    /// CPU time of `entryd` per request, in microseconds.
    pub cpu_us: f64,
    /// Resident memory of `entryd` after the run, in MiB.
    pub memory_mib: f64,
}

/// Sends look-ups and then requests to one of three entry VMs, each for `duration` at `rate` per
/// second.
///
/// The load is open-loop: latency counts from the time at which a request was due, even if the
/// response to an earlier request delayed it.
///
/// # Errors
///
/// [`Kind::NotReady`] if the entry VM does not answer requests within 30 s; the kind of the failure
/// if the declaration can't be read, a process can't be started or the configuration is refused.
pub async fn measure(
    directory: &Path,
    rate: u64,
    duration: Millis,
) -> Result<Vec<Measurement>, Error> {
    let clock = Clock::system();
    let size = Size {
        domains: DOMAINS.map(String::from).to_vec(),
        entries: DOMAINS.len(),
        services: vec![SERVICE.into()],
        upstreams: UPSTREAMS,
        slots: 3,
        service_ms: 1,
    };
    let mut fleet = Fleet::prepare(binaries(), &size).await.map_err(harness_error)?;
    fleet.start().await.map_err(harness_error)?;
    let source = declaration::read(directory, false)?;
    let change = Apply { expected: 0, operation: "bench".into(), source };
    client(&fleet, 0)?.apply(change).await.map_err(api_error)?;
    wait_until_ready(&fleet, clock).await?;
    let mut measurements = Vec::new();
    for kind in ["look-up", "request"] {
        measurements.push(run(&fleet, clock, kind, rate, duration).await?);
    }
    Ok(measurements)
}

async fn wait_until_ready(fleet: &Fleet, clock: Clock) -> Result<(), Error> {
    let caller = new_client(clock, fleet.entry_vms[0].listen.caller)?;
    let deadline = clock.now() + READY_TIMEOUT;
    while clock.now() < deadline {
        if matches!(caller.attempt(&call(0), caller_address(fleet)).await, Outcome::Answered { .. })
        {
            return Ok(());
        }
        clock.sleep(POLL_INTERVAL).await;
    }
    Err(Error::new(
        Kind::NotReady,
        format!("entry VM 0 did not answer a request within {READY_TIMEOUT}"),
    ))
}

async fn run(
    fleet: &Fleet,
    clock: Clock,
    kind: &'static str,
    rate: u64,
    duration: Millis,
) -> Result<Measurement, Error> {
    let entryd = fleet.entry_vms[0].entryd.as_ref();
    let usage = || entryd.map(harness::Process::usage).unwrap_or_default();
    let before = usage();
    let started = clock.now();
    let mut tasks = JoinSet::new();
    for number in 0..CALLERS {
        let caller = new_client(clock, caller_address(fleet))?;
        let worker = Worker { caller, clock, kind, number, address: caller_address(fleet) };
        tasks.spawn(worker.run(rate, duration));
    }
    let mut latency = histogram();
    let mut refused = 0;
    while let Some(tally) = tasks.join_next().await {
        let tally = tally.map_err(|cause| Error::new(Kind::Internal, cause.to_string()))?;
        refused += tally.refused;
        // `add` fails only if the bounds of the histograms differ, and all have the same.
        let _ = latency.add(&tally.latency);
    }
    let seconds = (clock.now() - started).as_secs_f64();
    let after = usage();
    let total = (latency.len() + refused).max(1) as f64;
    Ok(Measurement {
        kind,
        offered: rate,
        answered: latency.len() as f64 / seconds,
        refused,
        p50_ms: latency.value_at_quantile(0.5),
        p99_ms: latency.value_at_quantile(0.99),
        p999_ms: latency.value_at_quantile(0.999),
        cpu_us: (after.cpu_s - before.cpu_s) / total * 1e6,
        memory_mib: after.resident_kib as f64 / 1024.0,
    })
}

/// One of the concurrent callers, which share the offered rate.
struct Worker {
    caller: Client,
    clock: Clock,
    kind: &'static str,
    number: u64,
    address: SocketAddr,
}

/// Responses that one caller received.
struct Tally {
    latency: Histogram<u64>,
    refused: u64,
}

impl Worker {
    async fn run(mut self, rate: u64, duration: Millis) -> Tally {
        let mut tally = Tally { latency: histogram(), refused: 0 };
        let started = self.clock.now();
        let total = rate * duration.0 / 1000;
        let mut number = self.number;
        while number < total {
            let due = started + Millis(number * 1000 / rate);
            self.clock.sleep_until(due).await;
            let answered = self.send(number).await;
            match answered {
                true => tally.latency.saturating_record((self.clock.now() - due).0),
                false => tally.refused += 1,
            }
            number += CALLERS;
        }
        tally
    }

    async fn send(&mut self, number: u64) -> bool {
        match self.kind {
            "look-up" => self.caller.look_up_at(self.address, SERVICE, "").await.is_ok(),
            _ => {
                let outcome = self.caller.attempt(&call(number), self.address).await;
                matches!(outcome, Outcome::Answered { .. })
            }
        }
    }
}

fn new_client(clock: Clock, address: SocketAddr) -> Result<Client, Error> {
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
    Histogram::new_with_max(LATENCY_MAX_MS, LATENCY_DIGITS).expect("the bounds are valid constants")
}
