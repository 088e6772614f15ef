use crate::Script;
use std::error::Error;
use std::path::Path;
use std::{env, fs};

const REWRITE: &str = "UPDATE_SESSIONS";

/// Runs the session file at `path` with `run` and compares the transcript with the file's own.
///
/// With `UPDATE_SESSIONS=1` the file is rewritten instead, so that its diff shows what changed.
///
/// # Errors
///
/// The first line that differs, or the file's or the run's own failure.
pub fn check<Run>(path: &Path, run: Run) -> Result<(), Box<dyn Error>>
where
    Run: FnOnce(&Script) -> Result<Vec<String>, Box<dyn Error>>,
{
    let script = Script::parse(&fs::read_to_string(path)?)?;
    let mut transcript = run(&script)?.join("\n");
    transcript.push('\n');
    if env::var_os(REWRITE).is_some() {
        fs::write(path, script.render(&transcript))?;
        return Ok(());
    }
    compare(&script.golden, &transcript)
}

fn compare(expected: &str, actual: &str) -> Result<(), Box<dyn Error>> {
    if expected == actual {
        return Ok(());
    }
    let mut lines = expected.lines().zip(actual.lines()).enumerate();
    let detail = match lines.find(|(_, (left, right))| left != right) {
        Some((at, (left, right))) => {
            format!("transcript line {}:\n  expected: {left}\n  actual:   {right}", at + 1)
        }
        None => format!(
            "transcript has {} lines, expected {}",
            actual.lines().count(),
            expected.lines().count()
        ),
    };
    Err(format!("{detail}\nfull transcript:\n{actual}").into())
}
