//! Sessions of the real daemons and the stand-ins, as processes on loopback.
//!
//! The time of a step only gives its order: what has to come true is waited for, within bounds, so
//! the verdict doesn't depend on the machine's speed. docs/GUARANTEES.md lists what they prove.

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
                world.take(step).await?;
            }
            Ok(world.transcript)
        })
    })
}

datatest_stable::harness! {
    { test = run, root = "tests/sessions/processes", pattern = r".*\.session$" },
}
