//! Sessions of a fleet of agents under faults of the platform, the network and the VMs.

mod fleet;

use std::error::Error;
use std::path::Path;
use tokio::runtime::Builder;

fn run(path: &Path) -> datatest_stable::Result<()> {
    session::check(path, |script| -> Result<Vec<String>, Box<dyn Error>> {
        let runtime = Builder::new_current_thread().enable_time().start_paused(true).build()?;
        runtime.block_on(fleet::play(script))
    })
}

datatest_stable::harness! {
    { test = run, root = "../../tests/sessions/configuration", pattern = r".*\.session$" },
    { test = run, root = "../../tests/sessions/membership", pattern = r".*\.session$" },
    { test = run, root = "../../tests/sessions/shift-cap", pattern = r"control-.*\.session$" },
}
