//! Loads and checks whole declarations and nodes' files.

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

/// The most bytes of `deployment.ini`.
pub const DEPLOYMENT_LIMIT: usize = 4 * 1024 * 1024;
/// The most bytes of `presets.ini` and of `drains.ini`.
pub const OTHER_LIMIT: usize = 256 * 1024;
/// The most bytes of a node's file.
pub const NODE_LIMIT: usize = 64 * 1024;

/// Reads the files of the declaration in `dir`, without checking their content.
///
/// # Errors
///
/// A finding for each file that is missing, too large or not UTF-8.
pub fn read(dir: &Path) -> Result<Source, Vec<Finding>> {
    let mut findings = Findings::default();
    let source = read_files(dir, &mut findings);
    findings.close(&FILES, source)
}

/// Loads and checks the declaration in `dir`.
///
/// # Errors
///
/// Everything that is wrong: first files that can't be read, then by file and line.
pub fn load(dir: &Path) -> Result<Declaration, Vec<Finding>> {
    let mut findings = Findings::default();
    let source = read_files(dir, &mut findings);
    let Err(unread) = findings.close(&FILES, ()) else {
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
/// Everything that is wrong, in the order of files and lines.
pub fn parse(source: &Source) -> Result<Declaration, Vec<Finding>> {
    let mut findings = Findings::default();
    let document =
        document::parse(DEPLOYMENT_FILE, &source.deployment, DEPLOYMENT_LIMIT, &mut findings);
    let deployment = match &document {
        Some(document) => read_deployment::read(document, &mut findings),
        None => read_deployment::empty(),
    };
    let document = document::parse(PRESETS_FILE, &source.presets, OTHER_LIMIT, &mut findings);
    let presets = document
        .map(|document| read_preset::read(&document, &deployment, &mut findings))
        .unwrap_or_default();
    let document = document::parse(DRAINS_FILE, &source.drains, OTHER_LIMIT, &mut findings);
    let drains = document
        .map(|document| read_drain::read(&document, &deployment, &mut findings))
        .unwrap_or_default();
    findings.close(&FILES, Declaration { deployment, presets, drains })
}

/// Loads and checks a node's own file.
///
/// # Errors
///
/// Everything that is wrong, in the order of lines; a finding never holds a key.
pub fn load_node(path: &Path) -> Result<Node, Vec<Finding>> {
    let file = path.file_name().map(|name| name.to_string_lossy()).unwrap_or_default();
    let mut findings = Findings::default();
    match read_file(path, &file, NODE_LIMIT, &mut findings) {
        Some(text) => parse_node(&file, &text),
        None => findings.close(&[], read_node::empty()),
    }
}

/// Checks the text of a node's own file, which findings call `file`.
///
/// # Errors
///
/// Everything that is wrong, in the order of lines; a finding never holds a key.
pub fn parse_node(file: &str, text: &str) -> Result<Node, Vec<Finding>> {
    let mut findings = Findings::default();
    let Some(document) = document::parse(file, text, NODE_LIMIT, &mut findings) else {
        return findings.close(&[], read_node::empty());
    };
    let node = read_node::read(&document, &mut findings);
    findings.close(&[], node)
}

fn read_files(dir: &Path, findings: &mut Findings) -> Source {
    let mut read = |file: &str, limit: usize| {
        read_file(&dir.join(file), file, limit, findings).unwrap_or_default()
    };
    Source {
        deployment: read(DEPLOYMENT_FILE, DEPLOYMENT_LIMIT),
        presets: read(PRESETS_FILE, OTHER_LIMIT),
        drains: read(DRAINS_FILE, OTHER_LIMIT),
    }
}

fn read_file(path: &Path, file: &str, limit: usize, findings: &mut Findings) -> Option<String> {
    let mut bytes = Vec::new();
    let read = File::open(path).and_then(|opened| {
        // One byte more than allowed tells a file that is too large from one that just fits.
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
