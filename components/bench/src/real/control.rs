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
/// Time for which the fleet runs before the measurement starts.
const WARM_UP: Millis = Millis::from_secs(20);
/// A change of preset fails if it has not reached every VM within this time.
const PRESET_TIMEOUT: Millis = Millis::from_secs(60);
const POLL_INTERVAL: Millis = Millis(20);
/// The preset that is switched to in the measurement, and the initial one.
const PRESETS: [&str; 2] = ["peak", "ordinary"];

/// Resources that a `controld` process takes in a fleet of them.
#[derive(Clone, Copy, Debug, Default)]
pub struct Cost {
    /// Number of entry VMs in the fleet.
    pub vms: usize,
    /// Mean CPU time of a process, in percent of a core.
    pub cpu_percent: f64,
    /// Median resident memory of a process, in MiB.
    pub median_memory_mib: f64,
    /// Maximum resident memory of a process, in MiB.
    pub max_memory_mib: f64,
    /// Mean bytes per second that a process sends and the platform sends to it, headers included.
    pub bytes_per_second: f64,
    /// Time until every VM uses a new preset, in milliseconds.
    pub preset_ms: u64,
}

/// Runs `vms` control processes and measures for `duration` which resources they take.
///
/// # Errors
///
/// [`Kind::NotReady`] if a preset does not reach every VM in time; the kind of the failure if the
/// declaration can't be read, a process can't be started or the configuration is refused.
pub async fn measure(
    directory: &Path,
    vms: usize,
    design: bool,
    duration: Millis,
) -> Result<Cost, Error> {
    let clock = Clock::system();
    let source = declaration::read(directory, design)?;
    let mut fleet = start(vms).await.map_err(harness_error)?;
    let api = client(&fleet, 0)?;
    let change = Apply { expected: 0, operation: "bench".into(), source };
    api.apply(change).await.map_err(api_error)?;
    wait_for_preset(&fleet, clock, PRESETS[1]).await?;
    clock.sleep(WARM_UP).await;
    let before = usage(&fleet);
    let sent = loopback_bytes_sent();
    clock.sleep(duration).await;
    let bytes = loopback_bytes_sent() - sent;
    let after = usage(&fleet);
    let preset_ms = measure_preset_change(&fleet, clock, api.as_ref()).await?;
    fleet.entry_vms.clear();
    Ok(summarise(vms, duration, &before, &after, bytes, preset_ms))
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

/// The programs in the directory of this one.
pub(super) fn binaries() -> Binaries {
    let here = std::env::current_exe().unwrap_or_default();
    Binaries::in_directory(here.parent().unwrap_or(Path::new(".")))
}

pub(super) fn client(fleet: &Fleet, number: usize) -> Result<Box<dyn Api>, Error> {
    let address = fleet.entry_vms[number].listen.operator;
    let client =
        operator::Client::new(address, Key::new(OPERATOR_KEY.into())).map_err(api_error)?;
    Ok(Box::new(client))
}

/// Changes the preset and returns the time until every VM uses it, in milliseconds.
async fn measure_preset_change(fleet: &Fleet, clock: Clock, api: &dyn Api) -> Result<u64, Error> {
    let expected = api.current().await.map_err(api_error)?.version;
    let preset = PRESETS[0];
    let started = clock.now();
    let change = UsePreset { expected, operation: "bench-preset".into(), preset: preset.into() };
    api.use_preset(change).await.map_err(api_error)?;
    wait_for_preset(fleet, clock, preset).await?;
    Ok((clock.now() - started).0)
}

async fn wait_for_preset(fleet: &Fleet, clock: Clock, preset: &str) -> Result<(), Error> {
    let deadline = clock.now() + PRESET_TIMEOUT;
    for number in 0..fleet.entry_vms.len() {
        let api = client(fleet, number)?;
        while !api.status().await.is_ok_and(|status| &*status.preset == preset) {
            if clock.now() > deadline {
                let context = format!(
                    "entry VM {number} does not use preset {preset} after {PRESET_TIMEOUT}"
                );
                return Err(Error::new(Kind::NotReady, context));
            }
            clock.sleep(POLL_INTERVAL).await;
        }
    }
    Ok(())
}

fn usage(fleet: &Fleet) -> Vec<Usage> {
    let running = fleet.entry_vms.iter().filter_map(|vm| vm.controld.as_ref());
    running.map(harness::Process::usage).collect()
}

fn summarise(
    vms: usize,
    duration: Millis,
    before: &[Usage],
    after: &[Usage],
    bytes: u64,
    preset_ms: u64,
) -> Cost {
    let total = |usage: &[Usage]| usage.iter().map(|process| process.cpu_s).sum::<f64>();
    let cpu_seconds_per_vm = (total(after) - total(before)) / vms as f64;
    let mut resident: Vec<u64> = after.iter().map(|process| process.resident_kib).collect();
    resident.sort_unstable();
    let mib = |kib: Option<&u64>| kib.copied().unwrap_or_default() as f64 / 1024.0;
    Cost {
        vms,
        cpu_percent: cpu_seconds_per_vm / duration.as_secs_f64() * 100.0,
        median_memory_mib: mib(resident.get(resident.len() / 2)),
        max_memory_mib: mib(resident.last()),
        bytes_per_second: bytes as f64 / duration.as_secs_f64() / vms as f64,
        preset_ms,
    }
}

/// Bytes that the loopback interface has sent so far, headers included.
fn loopback_bytes_sent() -> u64 {
    let text = fs::read_to_string("/proc/net/dev").unwrap_or_default();
    let line = text.lines().find_map(|line| line.trim().strip_prefix("lo:"));
    let bytes = line.and_then(|line| line.split_whitespace().nth(8));
    bytes.and_then(|bytes| bytes.parse().ok()).unwrap_or_default()
}

pub(super) fn harness_error(error: harness::Error) -> Error {
    Error::new(Kind::Internal, error.to_string())
}

pub(super) fn api_error(refusal: operator::Refusal) -> Error {
    Error::new(refusal.kind, refusal.context)
}
