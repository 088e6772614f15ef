use crate::Script;
use std::error::Error;
use std::path::Path;
use std::{env, fs};

const UPDATE_VARIABLE: &str = "UPDATE_SESSIONS";

/// Runs the session file at `path` with `run` and compares the transcript with the expected one.
///
/// With `UPDATE_SESSIONS=1` in the environment, the actual transcript is instead written to the file
/// as the expected one, so that the file's diff shows what changed.
///
/// # Errors
///
/// The first line that differs and the full transcript; or why the file can't be read or parsed, or
/// the error of `run`.
pub fn check<Run>(path: &Path, run: Run) -> Result<(), Box<dyn Error>>
where
    Run: FnOnce(&Script) -> Result<Vec<String>, Box<dyn Error>>,
{
    let script = Script::parse(&fs::read_to_string(path)?)?;
    let mut transcript = run(&script)?.join("\n");
    transcript.push('\n');
    if env::var_os(UPDATE_VARIABLE).is_some() {
        fs::write(path, script.render(&transcript))?;
        return Ok(());
    }
    compare(&script.expected, &transcript)
}

fn compare(expected: &str, actual: &str) -> Result<(), Box<dyn Error>> {
    if expected == actual {
        return Ok(());
    }
    let mut lines = expected.lines().zip(actual.lines()).enumerate();
    let detail = match lines.find(|(_, (left, right))| left != right) {
        Some((index, (left, right))) => {
            format!("transcript line {}:\n  expected: {left}\n  actual:   {right}", index + 1)
        }
        None => format!(
            "transcript has {} lines, expected {}",
            actual.lines().count(),
            expected.lines().count()
        ),
    };
    Err(format!("{detail}\nfull transcript:\n{actual}").into())
}
