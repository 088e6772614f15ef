//! Invalid files and the expected findings; `UPDATE_SESSIONS=1` rewrites the findings.
//!
//! A case is a directory with the files that differ from `tests/base`.

use settings::{Declaration, Finding, Node};
use std::error::Error;
use std::path::{Path, PathBuf};
use std::{env, fs};

const DECLARATION: [&str; 3] = ["deployment.ini", "presets.ini", "drains.ini"];

fn base() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/base")
}

fn load(case: &Path) -> Result<Result<Declaration, Vec<Finding>>, Box<dyn Error>> {
    let name = case.file_name().ok_or("a case is a directory")?;
    let dir = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    fs::create_dir_all(&dir)?;
    for file in DECLARATION {
        let own = case.join(file);
        fs::copy(if own.exists() { own } else { base().join(file) }, dir.join(file))?;
    }
    Ok(settings::load(&dir))
}

fn findings(case: &Path) -> Result<Vec<Finding>, Box<dyn Error>> {
    let node = case.join("node.ini");
    let found = if node.exists() {
        settings::load_node(&node).map(|_: Node| ()).err()
    } else {
        load(case)?.map(|_| ()).err()
    };
    found.ok_or_else(|| "the case has no findings".into())
}

fn check(path: &Path) -> datatest_stable::Result<()> {
    let case = path.parent().ok_or("the golden file is in a case")?;
    let mut lines = String::new();
    for finding in findings(case)? {
        lines.push_str(&format!("{finding}\n"));
    }
    if env::var_os("UPDATE_SESSIONS").is_some() {
        fs::write(path, lines)?;
        return Ok(());
    }
    let golden = fs::read_to_string(path)?;
    if golden != lines {
        return Err(format!("expected:\n{golden}\nfound:\n{lines}").into());
    }
    Ok(())
}

fn check_base(path: &Path) -> datatest_stable::Result<()> {
    settings::load(path.parent().ok_or("the base is a directory")?).map_err(|found| {
        let lines: Vec<String> = found.iter().map(ToString::to_string).collect();
        lines.join("\n")
    })?;
    settings::load_node(&base().join("node.ini")).map_err(|found| format!("{found:?}"))?;
    Ok(())
}

datatest_stable::harness! {
    { test = check, root = "tests/bad", pattern = r"findings\.txt$" },
    { test = check_base, root = "tests/base", pattern = r"deployment\.ini$" },
}
