//! Parses the command line.

use crate::cmd::{apply, check, drain, explain, preset, status, trial};
use crate::remote::Remote;
use argh::FromArgs;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;

const PROGRAM: &str = "heatherbend";

/// Options with a value that may also follow the command.
const SHARED_OPTIONS: [&str; 4] = ["--node", "--key-file", "--settings", "--operation"];
/// Switches that may also follow the command.
const SHARED_SWITCHES: [&str; 1] = ["--json"];

/// The parsed command line.
pub struct Cli {
    /// Whether to print JSON.
    pub json: bool,
    /// The control process to connect to.
    pub remote: Remote,
    /// The command to run.
    pub command: Command,
}

/// The result of parsing the command line.
pub enum Parsed {
    /// Run a command.
    Run(Box<Cli>),
    /// Print this help text.
    Help(String),
    /// Print this description of an error.
    Invalid(String),
}

/// Drive heatherbend: check and apply declarations, choose the preset in force, plan drains.
/// The options below may also follow the command.
#[derive(FromArgs)]
#[argh(
    example = "heatherbend check examples/maalwerk",
    example = "heatherbend apply examples/maalwerk --settings node.ini",
    example = "heatherbend preset use peak --node 10.0.0.1:7103 --key-file key",
    note = "Commands that talk to a control process need --settings, or --node and --key-file.",
    error_code(0, "done"),
    error_code(2, "bad input; nothing was changed"),
    error_code(3, "conflict: another operator won; nothing was changed"),
    error_code(4, "refused and not run"),
    error_code(5, "the outcome is unknown; ask with `status --operation ID`")
)]
struct Arguments {
    /// address of a control process's listener for operators
    #[argh(option)]
    node: Option<SocketAddr>,
    /// file that holds the operators' key
    #[argh(option)]
    key_file: Option<PathBuf>,
    /// a node's own settings file, which gives the address and the key
    #[argh(option)]
    settings: Option<PathBuf>,
    /// id of the operation: to repeat an act safely, or to ask for its outcome
    #[argh(option)]
    operation: Option<String>,
    /// print JSON
    #[argh(switch)]
    json: bool,
    #[argh(subcommand)]
    command: Command,
}

/// The commands.
#[derive(FromArgs)]
#[argh(subcommand)]
pub enum Command {
    /// See [`check`].
    Check(check::Args),
    /// See [`apply`].
    Apply(apply::Args),
    /// See [`preset`].
    Preset(preset::Args),
    /// See [`drain`].
    Drain(drain::Args),
    /// See [`status`].
    Status(status::Args),
    /// See [`explain`].
    Explain(explain::Args),
    /// See [`trial`].
    Try(trial::Options),
}

/// Parses the words after the program's name.
pub fn parse(args: &[String]) -> Parsed {
    let hoisted = hoist(args);
    match Arguments::from_args(&[PROGRAM], &hoisted) {
        Ok(arguments) => Parsed::Run(Box::new(arguments.into())),
        Err(exit) if exit.status.is_ok() => Parsed::Help(exit.output),
        Err(exit) => Parsed::Invalid(exit.output),
    }
}

impl From<Arguments> for Cli {
    fn from(arguments: Arguments) -> Cli {
        Cli {
            json: arguments.json,
            remote: Remote {
                address: arguments.node,
                key_file: arguments.key_file,
                settings: arguments.settings,
                operation: arguments.operation.map(Arc::from),
            },
            command: arguments.command,
        }
    }
}

/// Moves the shared options and switches before the command, where argh expects them.
fn hoist(args: &[String]) -> Vec<&str> {
    let mut shared = Vec::new();
    let mut rest = Vec::new();
    let mut words = args.iter().map(String::as_str);
    while let Some(word) = words.next() {
        if SHARED_SWITCHES.contains(&word) {
            shared.push(word);
        } else if SHARED_OPTIONS.contains(&word) {
            shared.push(word);
            shared.extend(words.next());
        } else {
            rest.push(word);
        }
    }
    shared.append(&mut rest);
    shared
}
