use crate::names;
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use std::io;
use std::sync::OnceLock;
use std::time::Duration;

/// How often recorded samples are folded into their histograms, which bounds their memory.
const UPKEEP_PERIOD: Duration = Duration::from_secs(5);

/// Upper bounds of the buckets of every histogram, in seconds.
const BUCKETS: [f64; 14] =
    [0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 30.0, 300.0];

static HANDLE: OnceLock<PrometheusHandle> = OnceLock::new();
static UPKEEP: OnceLock<()> = OnceLock::new();

/// Installs the metrics recorder for the whole process; further calls do nothing.
pub fn install_recorder() {
    HANDLE.get_or_init(|| {
        // `set_buckets` fails only for an empty list.
        let builder = PrometheusBuilder::new();
        let builder = builder.set_buckets(&BUCKETS).unwrap_or_default();
        let recorder = builder.build_recorder();
        let handle = recorder.handle();
        // A recorder installed elsewhere in the process stays; this one then records nothing.
        let _ = metrics::set_global_recorder(recorder);
        names::describe();
        handle
    });
}

/// The metrics in the Prometheus text format; empty before [`install_recorder`].
pub fn render() -> String {
    HANDLE.get().map(PrometheusHandle::render).unwrap_or_default()
}

/// Folds recorded samples into their histograms, which frees the samples' memory.
pub fn upkeep() {
    if let Some(handle) = HANDLE.get() {
        handle.run_upkeep();
    }
}

/// Starts the thread that calls [`upkeep`], once.
pub(crate) fn start_upkeep() -> io::Result<()> {
    if UPKEEP.set(()).is_err() {
        return Ok(());
    }
    let thread = std::thread::Builder::new().name("metrics-upkeep".into());
    thread.spawn(|| {
        loop {
            std::thread::sleep(UPKEEP_PERIOD);
            upkeep();
        }
    })?;
    Ok(())
}
