use super::declaration;
use clock::{Clock, Millis};
use errors::{Error, Kind};
use harness::{Binaries, Fleet, OPERATOR_KEY, Size, Usage};
use operator::wire::{Apply, UsePreset};
use operator::{Api, Key};
use std::fs;
use std::path::Path;

const DOMAINS: [&str; 6] =
    ["antwerpen-1", "antwerpen-2", "gent-1", "gent-2", "leuven-1", "leuven-2"];
const SETTLE: Millis = Millis::from_secs(20);
const SPREAD_LIMIT: Millis = Millis::from_secs(60);
const POLL: Millis = Millis(20);
const PRESETS: [&str; 2] = ["peak", "ordinary"];

/// What control costs a node of a fleet of real `controld` processes.
#[derive(Clone, Copy, Debug, Default)]
pub struct Cost {
    /// Entry VMs of the fleet.
    pub vms: usize,
    /// Processor time of a node, in percent of a core.
    pub processor_percent: f64,
    /// Memory of the median node, in MiB.
    pub resident_mib: f64,
    /// Memory of the greatest node, in MiB.
    pub resident_max_mib: f64,
    /// Bytes a second that a node sends, with those of the platform's answers to it.
    pub bytes_per_second: f64,
    /// Time until every node follows a preset, in milliseconds.
    pub spread_ms: u64,
}

/// Runs `vms` control processes for `span` and measures what they use.
///
/// # Errors
///
/// The kind of whatever can't start, and [`Kind::NotReady`] when a change doesn't reach every node.
pub async fn measure(
    directory: &Path,
    vms: usize,
    design: bool,
    span: Millis,
) -> Result<Cost, Error> {
    let clock = Clock::system();
    let source = declaration::read(directory, design)?;
    let mut fleet = start(vms).await.map_err(failed)?;
    let api = client(&fleet, 0)?;
    let act = Apply { expected: 0, operation: "bench".into(), source };
    api.apply(act).await.map_err(refused)?;
    wait_for_preset(&fleet, clock, PRESETS[1]).await?;
    clock.sleep(SETTLE).await;
    let before = usage(&fleet);
    let sent = sent_on_loopback();
    clock.sleep(span).await;
    let bytes = sent_on_loopback() - sent;
    let after = usage(&fleet);
    let spread_ms = spread(&fleet, clock, api.as_ref()).await?;
    fleet.entry_vms.clear();
    Ok(summarise(vms, span, &before, &after, bytes, spread_ms))
}

async fn start(vms: usize) -> Result<Fleet, harness::Error> {
    let size = Size {
        domains: DOMAINS.map(String::from).to_vec(),
        entries: vms,
        services: Vec::new(),
        upstreams: 0,
        slots: 1,
        service_ms: 1,
    };
    let mut fleet = Fleet::prepare(binaries(), &size).await?;
    fleet.start_controld().await?;
    Ok(fleet)
}

/// The programs beside this one.
pub(super) fn binaries() -> Binaries {
    let here = std::env::current_exe().unwrap_or_default();
    Binaries::in_directory(here.parent().unwrap_or(Path::new(".")))
}

pub(super) fn client(fleet: &Fleet, number: usize) -> Result<Box<dyn Api>, Error> {
    let address = fleet.entry_vms[number].listen.operator;
    let client = operator::Client::new(address, Key::new(OPERATOR_KEY.into())).map_err(refused)?;
    Ok(Box::new(client))
}

/// The time until every node follows another preset.
async fn spread(fleet: &Fleet, clock: Clock, api: &dyn Api) -> Result<u64, Error> {
    let expected = api.current().await.map_err(refused)?.version;
    let preset = PRESETS[0];
    let started = clock.now();
    let act = UsePreset { expected, operation: "bench-preset".into(), preset: preset.into() };
    api.use_preset(act).await.map_err(refused)?;
    wait_for_preset(fleet, clock, preset).await?;
    Ok((clock.now() - started).0)
}

async fn wait_for_preset(fleet: &Fleet, clock: Clock, preset: &str) -> Result<(), Error> {
    let limit = clock.now() + SPREAD_LIMIT;
    for number in 0..fleet.entry_vms.len() {
        let api = client(fleet, number)?;
        while !api.status().await.is_ok_and(|status| &*status.preset == preset) {
            if clock.now() > limit {
                let context = format!("node {number} doesn't follow {preset}");
                return Err(Error::new(Kind::NotReady, context));
            }
            clock.sleep(POLL).await;
        }
    }
    Ok(())
}

fn usage(fleet: &Fleet) -> Vec<Usage> {
    let running = fleet.entry_vms.iter().filter_map(|node| node.controld.as_ref());
    running.map(harness::Process::usage).collect()
}

fn summarise(
    vms: usize,
    span: Millis,
    before: &[Usage],
    after: &[Usage],
    bytes: u64,
    spread_ms: u64,
) -> Cost {
    let total = |usage: &[Usage]| usage.iter().map(|one| one.cpu_s).sum::<f64>();
    let per_node = (total(after) - total(before)) / vms as f64;
    let mut resident: Vec<u64> = after.iter().map(|one| one.resident_kib).collect();
    resident.sort_unstable();
    let mib = |kib: Option<&u64>| kib.copied().unwrap_or_default() as f64 / 1024.0;
    Cost {
        vms,
        processor_percent: per_node / span.as_secs_f64() * 100.0,
        resident_mib: mib(resident.get(resident.len() / 2)),
        resident_max_mib: mib(resident.last()),
        bytes_per_second: bytes as f64 / span.as_secs_f64() / vms as f64,
        spread_ms,
    }
}

/// Bytes that the loopback interface has sent, headers included.
fn sent_on_loopback() -> u64 {
    let text = fs::read_to_string("/proc/net/dev").unwrap_or_default();
    let line = text.lines().find_map(|line| line.trim().strip_prefix("lo:"));
    let field = line.and_then(|line| line.split_whitespace().nth(8));
    field.and_then(|field| field.parse().ok()).unwrap_or_default()
}

pub(super) fn failed(error: harness::Error) -> Error {
    Error::new(Kind::Internal, error.to_string())
}

pub(super) fn refused(refusal: operator::Refusal) -> Error {
    Error::new(refusal.kind, refusal.context)
}
