use crate::error::SystemSnafu;
use crate::{Binaries, Error, Process};
use snafu::ResultExt;
use std::collections::BTreeSet;
use std::fmt::Write;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::sync::{Mutex, PoisonError};
use std::{fs, process};

/// The operators' key in the settings of every entry VM.
pub const OPERATOR_KEY: &str = "harness-operator-key-0123456789abcdef";
const PEER_KEY: &str = "harness-peer-key-0123456789abcdef0123";

/// Addresses given to entry VMs of this process, whether their daemons run or not.
static RESERVED: Mutex<BTreeSet<SocketAddr>> = Mutex::new(BTreeSet::new());

/// An entry VM: its settings and its two daemons.
#[derive(Debug)]
pub struct EntryVm {
    /// The VM's name.
    pub name: String,
    /// The VM's failure domain.
    pub domain: String,
    /// The addresses of the listeners.
    pub listen: Listen,
    /// The `controld` process, while it runs.
    pub controld: Option<Process>,
    /// The `entryd` process, while it runs.
    pub entryd: Option<Process>,
    platform: SocketAddr,
    peers: Vec<SocketAddr>,
    file: PathBuf,
}

/// The addresses of an entry VM's listeners.
#[derive(Clone, Copy, Debug)]
pub struct Listen {
    /// Of `entryd`, for callers.
    pub caller: SocketAddr,
    /// Of `entryd`, for orders that peers relay.
    pub relay: SocketAddr,
    /// Of `controld`, for the `controld` of peers.
    pub peer: SocketAddr,
    /// Of `controld`, for operators.
    pub operator: SocketAddr,
    /// Of `controld`, for the `entryd` of this VM.
    pub local: SocketAddr,
}

impl EntryVm {
    /// Reserves addresses; the settings file will be written to `directory` at each start.
    ///
    /// # Errors
    ///
    /// [`Error::System`] when no ports can be reserved.
    pub fn new(
        name: &str,
        domain: &str,
        platform: SocketAddr,
        directory: &Path,
    ) -> Result<EntryVm, Error> {
        Ok(EntryVm {
            name: name.into(),
            domain: domain.into(),
            listen: Listen::reserve()?,
            controld: None,
            entryd: None,
            platform,
            peers: Vec::new(),
            file: directory.join(format!("{name}.ini")),
        })
    }

    /// Sets the peers that the daemons contact before they know the VM list. Takes effect at the
    /// next start.
    pub fn set_peers(&mut self, peers: Vec<SocketAddr>) {
        self.peers = peers;
    }

    /// Starts or restarts `controld`, always at the same addresses.
    ///
    /// # Errors
    ///
    /// [`Error`] when the settings can't be written or the process can't be started.
    pub fn start_controld(&mut self, binaries: &Binaries) -> Result<(), Error> {
        self.controld = Some(self.start(&binaries.controld, "controld")?);
        Ok(())
    }

    /// Starts or restarts `entryd`, always at the same addresses.
    ///
    /// # Errors
    ///
    /// [`Error`] when the settings can't be written or the process can't be started.
    pub fn start_entryd(&mut self, binaries: &Binaries) -> Result<(), Error> {
        self.entryd = Some(self.start(&binaries.entryd, "entryd")?);
        Ok(())
    }

    fn start(&self, program: &Path, role: &str) -> Result<Process, Error> {
        let action = format!("write {}", self.file.display());
        fs::write(&self.file, self.settings()).context(SystemSnafu { action })?;
        let file = self.file.to_string_lossy();
        Process::start(&format!("{role} of {}", self.name), program, &[&file])
    }

    fn settings(&self) -> String {
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
        let _ = writeln!(text, "[keys]\noperator-key = {OPERATOR_KEY}\npeer-key = {PEER_KEY}");
        text
    }
}

impl Listen {
    /// Reserves five free ports on a loopback address that depends on this process's id.
    ///
    /// Outgoing connections use 127.0.0.1 as their source, so they can't take a port that is
    /// reserved here while its daemon is down.
    fn reserve() -> Result<Listen, Error> {
        let [_, _, high, low] = process::id().to_be_bytes();
        let address = SocketAddr::from(([127, 64 | (high & 63), low, 1], 0));
        Ok(Listen {
            caller: reserve(address)?,
            relay: reserve(address)?,
            peer: reserve(address)?,
            operator: reserve(address)?,
            local: reserve(address)?,
        })
    }
}

/// A free port on the host of `address` that no other entry VM of this process has.
fn reserve(address: SocketAddr) -> Result<SocketAddr, Error> {
    let mut reserved = RESERVED.lock().unwrap_or_else(PoisonError::into_inner);
    loop {
        let socket =
            TcpListener::bind(address).context(SystemSnafu { action: "reserve a port" })?;
        let free = socket.local_addr().context(SystemSnafu { action: "read the reserved port" })?;
        if reserved.insert(free) {
            return Ok(free);
        }
    }
}
