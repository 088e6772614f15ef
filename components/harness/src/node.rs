use crate::error::SystemSnafu;
use crate::{Binaries, Error, Process};
use serde::Deserialize;
use snafu::{OptionExt, ResultExt};
use std::fmt::Write;
use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// The operators' key of every fleet.
pub const KEY: &str = "harness-operator-key-0123456789abcdef";
const PEER_KEY: &str = "harness-peer-key-0123456789abcdef0123";

/// One entry VM: its settings and its two daemons.
#[derive(Debug)]
pub struct Node {
    /// The VM's name.
    pub name: String,
    /// Its failure domain.
    pub domain: String,
    /// Its addresses, with real ports once its daemons have started.
    pub listen: Listen,
    /// Its `controld`, while it runs.
    pub controld: Option<Process>,
    /// Its `entryd`, while it runs.
    pub entryd: Option<Process>,
    platform: SocketAddr,
    peers: Vec<SocketAddr>,
    file: PathBuf,
}

/// The addresses of a node's listeners.
#[derive(Clone, Copy, Debug)]
pub struct Listen {
    /// For callers.
    pub caller: SocketAddr,
    /// For relayed orders.
    pub relay: SocketAddr,
    /// For peers of `controld`.
    pub peer: SocketAddr,
    /// For operators.
    pub operator: SocketAddr,
    /// For the hand-over between the two daemons.
    pub local: SocketAddr,
}

/// What a daemon prints once it listens.
#[derive(Clone, Copy, Debug, Deserialize)]
struct Ready {
    caller: Option<SocketAddr>,
    relay: Option<SocketAddr>,
    peer: Option<SocketAddr>,
    operator: Option<SocketAddr>,
    local: Option<SocketAddr>,
}

impl Node {
    /// A node whose files stand in `directory` and whose ports are still open.
    pub fn new(name: &str, domain: &str, platform: SocketAddr, directory: &Path) -> Node {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        Node {
            name: name.into(),
            domain: domain.into(),
            listen: Listen { caller: any, relay: any, peer: any, operator: any, local: any },
            controld: None,
            entryd: None,
            platform,
            peers: Vec::new(),
            file: directory.join(format!("{name}.ini")),
        }
    }

    /// Names the peers that the node asks first.
    pub fn set_peers(&mut self, peers: Vec<SocketAddr>) {
        self.peers = peers;
    }

    /// Starts `controld`, or starts it again at the same addresses.
    ///
    /// # Errors
    ///
    /// [`Error`] when it doesn't come up.
    pub fn start_controld(&mut self, binaries: &Binaries) -> Result<(), Error> {
        let process = self.start(&binaries.controld, "controld")?;
        let ready = read_ready(&process)?;
        self.listen.peer = ready.peer.unwrap_or(self.listen.peer);
        self.listen.operator = ready.operator.unwrap_or(self.listen.operator);
        self.listen.local = ready.local.unwrap_or(self.listen.local);
        self.controld = Some(process);
        Ok(())
    }

    /// Starts `entryd`, or starts it again at the same addresses.
    ///
    /// # Errors
    ///
    /// [`Error`] when it doesn't come up.
    pub fn start_entryd(&mut self, binaries: &Binaries) -> Result<(), Error> {
        let process = self.start(&binaries.entryd, "entryd")?;
        let ready = read_ready(&process)?;
        self.listen.caller = ready.caller.unwrap_or(self.listen.caller);
        self.listen.relay = ready.relay.unwrap_or(self.listen.relay);
        self.entryd = Some(process);
        Ok(())
    }

    fn start(&self, program: &Path, role: &str) -> Result<Process, Error> {
        let action = format!("write {}", self.file.display());
        fs::write(&self.file, self.render()).context(SystemSnafu { action })?;
        let file = self.file.to_string_lossy();
        Process::start(&format!("{role} of {}", self.name), program, &[&file])
    }

    fn render(&self) -> String {
        let mut text =
            format!("[node]\nvm = {}\ndomain = {}\n\n[listen]\n", self.name, self.domain);
        let Listen { caller, relay, peer, operator, local } = self.listen;
        // Writing to a string can't fail.
        let _ = writeln!(text, "caller = {caller}\nrelay = {relay}\npeer = {peer}");
        let _ = writeln!(text, "operator = {operator}\nlocal = {local}\n");
        let _ = writeln!(text, "[platform]\naddresses = {}\n", self.platform);
        let peers: Vec<String> = self.peers.iter().map(ToString::to_string).collect();
        if !peers.is_empty() {
            let _ = writeln!(text, "[peers]\naddresses = {}\n", peers.join(", "));
        }
        let _ = writeln!(text, "[keys]\noperator-key = {KEY}\npeer-key = {PEER_KEY}");
        text
    }
}

fn read_ready(process: &Process) -> Result<Ready, Error> {
    let line = process.first_line();
    let silent = crate::error::SilentSnafu { name: process.name(), line };
    serde_json::from_str(line).ok().context(silent)
}
