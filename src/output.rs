//! Prints results and failures as text or JSON.

use crate::failure::Failure;
use errors::{Execution, Kind, response};
use operator::Refusal;
use operator::wire::{Outcome, Winner};
use serde::Serialize;
use settings::Finding;
use std::io::{self, Write};
use std::process::ExitCode;
use std::sync::Arc;

/// The output of a command: lines of text, or one JSON document.
#[derive(Debug)]
pub struct Output {
    json: bool,
}

/// A failure as a JSON document.
#[derive(Serialize)]
struct Report<'a> {
    kind: Kind,
    ran: Execution,
    exit: u8,
    context: &'a str,
    findings: &'a [Finding],
    winner: Option<&'a Winner>,
    operation: Option<&'a Arc<str>>,
}

impl Output {
    /// Output as lines of text.
    pub fn text() -> Output {
        Output { json: false }
    }

    /// Output as one JSON document.
    pub fn json() -> Output {
        Output { json: true }
    }

    /// Prints a line, unless the output is JSON.
    pub fn line(&self, text: &str) {
        if !self.json {
            print(text);
        }
    }

    /// Prints the document, if the output is JSON.
    pub fn document<D>(&self, document: &D)
    where
        D: Serialize,
    {
        if self.json {
            print(&serde_json::to_string_pretty(document).unwrap_or_default());
        }
    }

    /// Prints a failure, as text to standard error or as JSON to standard output, and returns its
    /// exit code.
    pub fn fail(&self, failure: &Failure) -> ExitCode {
        if let Failure::Reported = failure {
            // Both text and JSON are complete.
        } else if let (true, Failure::NotCommitted(_)) = (self.json, failure) {
            self.document(&Outcome::NotRun);
        } else if self.json {
            self.document(&report(failure));
        } else {
            for line in lines(failure) {
                let _ = writeln!(io::stderr(), "{line}");
            }
        }
        ExitCode::from(failure.exit())
    }
}

/// Prints to standard output. Errors are ignored: a reader that closes the pipe early, such as
/// `head`, must not make the command fail.
fn print(text: &str) {
    let _ = writeln!(io::stdout(), "{text}");
}

fn report(failure: &Failure) -> Report<'_> {
    let row = response(failure.kind());
    let mut report = Report {
        kind: failure.kind(),
        ran: row.ran,
        exit: row.exit,
        context: "",
        findings: &[],
        winner: None,
        operation: None,
    };
    match failure {
        Failure::Usage(text) => report.context = text.trim(),
        Failure::Input(error) => report.context = &error.context,
        Failure::Reported => {}
        Failure::NotCommitted(operation) => report.operation = Some(operation),
        Failure::Findings(findings) => report.findings = findings,
        Failure::Refused(refusal) => {
            report.context = &refusal.context;
            report.winner = refusal.winner.as_ref();
            report.operation = refusal.operation.as_ref();
        }
    }
    report
}

fn lines(failure: &Failure) -> Vec<String> {
    match failure {
        Failure::Usage(text) => vec![text.trim_end().to_owned()],
        Failure::Findings(findings) => {
            let mut lines: Vec<String> = findings.iter().map(ToString::to_string).collect();
            lines.push(format!("{} findings; nothing was changed", findings.len()));
            lines
        }
        Failure::Input(error) => vec![error.context.clone()],
        Failure::Reported => Vec::new(),
        Failure::Refused(refusal) => refusal_lines(refusal),
        Failure::NotCommitted(operation) => {
            vec![format!("operation {operation} was never committed, and never will be")]
        }
    }
}

fn refusal_lines(refusal: &Refusal) -> Vec<String> {
    let row = response(refusal.kind);
    let outcome = match row.ran {
        Execution::NotRun => "refused, nothing was changed",
        Execution::Unknown => "the outcome is unknown",
        Execution::Ran => "refused, it ran before",
    };
    let mut lines = vec![format!("{outcome}: {}", refusal.context)];
    if refusal.winner.is_some() {
        lines.push("look at it with `heatherbend status`, then decide again".into());
    }
    if let Some(operation) = &refusal.operation {
        lines.push(format!("ask with `heatherbend status --operation {operation}`, or repeat the"));
        lines.push(format!("same command with --operation {operation}: it takes effect once"));
    }
    if let Some(delay) = row.retry_after {
        lines.push(format!("come back in {} s", delay.0.div_ceil(1000)));
    }
    lines
}
