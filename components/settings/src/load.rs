//! Loads and checks declarations and `node.ini` files.

use crate::document::{self, too_large};
use crate::findings::Findings;
use crate::{
    Declaration, Finding, Node, Source, read_deployment, read_drain, read_node, read_preset,
};
use std::fs::File;
use std::io::{self, Read};
use std::path::Path;
use std::string::FromUtf8Error;

/// The name of the file with the deployment.
pub const DEPLOYMENT_FILE: &str = "deployment.ini";
/// The name of the file with the presets.
pub const PRESETS_FILE: &str = "presets.ini";
/// The name of the file with the drains.
pub const DRAINS_FILE: &str = "drains.ini";

const FILES: [&str; 3] = [DEPLOYMENT_FILE, PRESETS_FILE, DRAINS_FILE];

/// The size limit of `deployment.ini`, in bytes.
pub const DEPLOYMENT_MAX_BYTES: usize = 4 * 1024 * 1024;
/// The size limit of `presets.ini` and that of `drains.ini`, in bytes.
pub const PRESETS_OR_DRAINS_MAX_BYTES: usize = 256 * 1024;
/// The size limit of `node.ini`, in bytes.
pub const NODE_MAX_BYTES: usize = 64 * 1024;

/// Reads the files of the declaration in `dir`, without checking their content.
///
/// # Errors
///
/// A finding for each file that is missing, too large or not UTF-8.
pub fn read(dir: &Path) -> Result<Source, Vec<Finding>> {
    let mut findings = Findings::default();
    let source = read_files(dir, &mut findings);
    findings.finish(&FILES, source)
}

/// Loads and checks the declaration in `dir`.
///
/// # Errors
///
/// All findings: first on files that can't be read, then by file and line.
pub fn load(dir: &Path) -> Result<Declaration, Vec<Finding>> {
    let mut findings = Findings::default();
    let source = read_files(dir, &mut findings);
    let Err(unread) = findings.finish(&FILES, ()) else {
        return parse(&source);
    };
    let is_unread = |finding: &Finding| unread.iter().any(|each| each.file == finding.file);
    let found = parse(&source).err().unwrap_or_default();
    let found = found.into_iter().filter(|finding| !is_unread(finding));
    Err(unread.iter().cloned().chain(found).collect())
}

/// Checks the text of a declaration.
///
/// # Errors
///
/// All findings, by file and line.
pub fn parse(source: &Source) -> Result<Declaration, Vec<Finding>> {
    let mut findings = Findings::default();
    let document =
        document::parse(DEPLOYMENT_FILE, &source.deployment, DEPLOYMENT_MAX_BYTES, &mut findings);
    let deployment = match &document {
        Some(document) => read_deployment::read(document, &mut findings),
        None => read_deployment::empty(),
    };
    let document =
        document::parse(PRESETS_FILE, &source.presets, PRESETS_OR_DRAINS_MAX_BYTES, &mut findings);
    let presets = document
        .map(|document| read_preset::read(&document, &deployment, &mut findings))
        .unwrap_or_default();
    let document =
        document::parse(DRAINS_FILE, &source.drains, PRESETS_OR_DRAINS_MAX_BYTES, &mut findings);
    let drains = document
        .map(|document| read_drain::read(&document, &deployment, &mut findings))
        .unwrap_or_default();
    findings.finish(&FILES, Declaration { deployment, presets, drains })
}

/// Loads and checks the `node.ini` at `path`.
///
/// # Errors
///
/// All findings, by line. They never contain a secret key.
pub fn load_node(path: &Path) -> Result<Node, Vec<Finding>> {
    let file = path.file_name().map(|name| name.to_string_lossy()).unwrap_or_default();
    let mut findings = Findings::default();
    match read_file(path, &file, NODE_MAX_BYTES, &mut findings) {
        Some(text) => parse_node(&file, &text),
        None => findings.finish(&[], read_node::empty()),
    }
}

/// Checks the text of a `node.ini`; findings name it `file`.
///
/// # Errors
///
/// All findings, by line. They never contain a secret key.
pub fn parse_node(file: &str, text: &str) -> Result<Node, Vec<Finding>> {
    let mut findings = Findings::default();
    let Some(document) = document::parse(file, text, NODE_MAX_BYTES, &mut findings) else {
        return findings.finish(&[], read_node::empty());
    };
    let node = read_node::read(&document, &mut findings);
    findings.finish(&[], node)
}

fn read_files(dir: &Path, findings: &mut Findings) -> Source {
    let mut read = |file: &str, limit: usize| {
        read_file(&dir.join(file), file, limit, findings).unwrap_or_default()
    };
    Source {
        deployment: read(DEPLOYMENT_FILE, DEPLOYMENT_MAX_BYTES),
        presets: read(PRESETS_FILE, PRESETS_OR_DRAINS_MAX_BYTES),
        drains: read(DRAINS_FILE, PRESETS_OR_DRAINS_MAX_BYTES),
    }
}

fn read_file(path: &Path, file: &str, limit: usize, findings: &mut Findings) -> Option<String> {
    let mut bytes = Vec::new();
    let read = File::open(path).and_then(|opened| {
        // Reads one byte beyond the limit, which shows that a file is too large.
        opened.take(limit as u64 + 1).read_to_end(&mut bytes)
    });
    if let Err(error) = read {
        findings.push(unreadable(path, file, &error));
        return None;
    }
    if bytes.len() > limit {
        findings.push(too_large(file, limit));
        return None;
    }
    match String::from_utf8(bytes) {
        Ok(text) => Some(text),
        Err(error) => {
            findings.push(not_utf8(file, &error));
            None
        }
    }
}

fn unreadable(path: &Path, file: &str, error: &io::Error) -> Finding {
    Finding {
        file: file.into(),
        problem: format!("the file can't be read: {error}"),
        allowed: format!("a file that can be read at {}", path.display()),
        ..Finding::default()
    }
}

fn not_utf8(file: &str, error: &FromUtf8Error) -> Finding {
    let valid = &error.as_bytes()[..error.utf8_error().valid_up_to()];
    Finding {
        file: file.into(),
        line: valid.iter().filter(|byte| **byte == b'\n').count() + 1,
        problem: "the line holds bytes that aren't UTF-8".into(),
        allowed: "UTF-8 text".into(),
        ..Finding::default()
    }
}
