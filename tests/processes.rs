//! Sessions of the real daemons and the stand-ins, as processes on loopback.
//!
//! The times of the steps only set their order. Steps poll for the expected state until a timeout, so
//! the result doesn't depend on the speed of the computer. docs/GUARANTEES.md lists the guarantees
//! that the sessions test.

#[path = "processes/world.rs"]
mod world;

use std::error::Error;
use std::path::Path;
use tokio::runtime::Runtime;
use world::World;

fn run(path: &Path) -> datatest_stable::Result<()> {
    session::check(path, |script| -> Result<Vec<String>, Box<dyn Error>> {
        Runtime::new()?.block_on(async {
            let mut world = World::open().await?;
            for step in &script.steps {
                world.execute(step).await?;
            }
            Ok(world.transcript)
        })
    })
}

datatest_stable::harness! {
    { test = run, root = "tests/sessions/processes", pattern = r".*\.session$" },
}
