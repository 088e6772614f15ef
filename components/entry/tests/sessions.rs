//! Runs the session files of the guarantees that the data plane gives.

mod drive;
mod world;

use std::error::Error;
use std::path::Path;

fn session(path: &Path) -> Result<(), Box<dyn Error>> {
    session::check(path, drive::run)
}

datatest_stable::harness! {
    { test = session, root = "../../tests/sessions/at-most-once", pattern = r"\.session$" },
    { test = session, root = "../../tests/sessions/not-run", pattern = r"\.session$" },
    { test = session, root = "../../tests/sessions/response-integrity", pattern = r"\.session$" },
    { test = session, root = "../../tests/sessions/upstream-drain", pattern = r"\.session$" },
    { test = session, root = "../../tests/sessions/region-overload", pattern = r"entry-.*\.session$" },
    { test = session, root = "../../tests/sessions/graceful-shutdown", pattern = r"\.session$" },
}
