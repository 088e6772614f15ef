use crate::error::{CommandSnafu, SilentSnafu, SystemSnafu};
use crate::{Binaries, EntryVm, Error, Process};
use serde::Serialize;
use snafu::{OptionExt, ResultExt};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::{env, fs, process};
use store::fake::Fault;
use store::{Machine, Role};

/// Peers that a node's file names.
const PEERS: usize = 8;

static NEXT: AtomicU32 = AtomicU32::new(0);

/// How many processes of each kind a fleet has.
#[derive(Clone, Debug)]
pub struct Size {
    /// The failure domains, over which machines are spread in turn.
    pub domains: Vec<String>,
    /// Entry VMs.
    pub entries: usize,
    /// The services.
    pub services: Vec<String>,
    /// Upstreams of each service.
    pub upstreams: usize,
    /// Requests that an upstream runs at a time.
    pub slots: u32,
    /// Time that an upstream takes for a request, in milliseconds.
    pub service_ms: u64,
}

/// The daemons of several entry VMs with a stand-in platform and stand-in upstreams.
pub struct Fleet {
    /// The stand-in platform.
    pub platform: Process,
    /// The address of the stand-in platform.
    pub platform_address: SocketAddr,
    /// The entry VMs.
    pub entry_vms: Vec<EntryVm>,
    /// The upstreams.
    pub upstreams: Vec<Upstream>,
    /// Where the programs are.
    pub binaries: Binaries,
    http: reqwest::Client,
    directory: PathBuf,
}

/// A stand-in upstream.
#[derive(Debug)]
pub struct Upstream {
    /// The VM's name.
    pub name: String,
    /// The service.
    pub service: String,
    /// The failure domain.
    pub domain: String,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// The process.
    pub process: Process,
}

impl Fleet {
    /// Starts the stand-ins, and prepares entry VMs whose daemons don't run yet.
    ///
    /// # Errors
    ///
    /// [`Error`] when a process doesn't come up.
    pub async fn prepare(binaries: Binaries, size: &Size) -> Result<Fleet, Error> {
        let directory = scratch()?;
        let arguments = ["platform", "--listen", "127.0.0.1:0"];
        let platform = Process::start("platform", &binaries.standin, &arguments)?;
        let platform_address = read_address(&platform)?;
        let http = reqwest::Client::builder().no_proxy().build().map_err(|cause| {
            CommandSnafu { action: "set up HTTP", detail: cause.to_string() }.build()
        })?;
        let entry_vms = (0..size.entries).map(|number| {
            let domain = &size.domains[number % size.domains.len()];
            EntryVm::new(&format!("e{}", number + 1), domain, platform_address, &directory)
        });
        let entry_vms = entry_vms.collect::<Result<_, _>>()?;
        let upstreams = Vec::new();
        let mut fleet =
            Fleet { platform, platform_address, entry_vms, upstreams, binaries, http, directory };
        fleet.start_upstreams(size).await?;
        Ok(fleet)
    }

    /// Starts the daemons of every entry VM and lists the VMs at the platform.
    ///
    /// # Errors
    ///
    /// [`Error`] when a process doesn't come up.
    pub async fn start(&mut self) -> Result<(), Error> {
        for number in 0..self.entry_vms.len() {
            self.start_vm(number).await?;
        }
        Ok(())
    }

    /// Starts `controld` alone on every entry VM and lists the VMs at the platform.
    ///
    /// # Errors
    ///
    /// [`Error`] when a process doesn't come up.
    pub async fn start_controld(&mut self) -> Result<(), Error> {
        for number in 0..self.entry_vms.len() {
            let peers = self.peers_of(number);
            self.entry_vms[number].set_peers(peers);
            self.entry_vms[number].start_controld(&self.binaries)?;
            let machine = entry_machine(&self.entry_vms[number]);
            self.post("machines", &machine).await?;
        }
        Ok(())
    }

    /// Starts both daemons of one node and lists it at the platform.
    ///
    /// # Errors
    ///
    /// [`Error`] when a process doesn't come up.
    pub async fn start_vm(&mut self, number: usize) -> Result<(), Error> {
        let peers = self.peers_of(number);
        let node = &mut self.entry_vms[number];
        node.set_peers(peers);
        node.start_controld(&self.binaries)?;
        node.start_entryd(&self.binaries)?;
        let machine = entry_machine(&self.entry_vms[number]);
        self.post("machines", &machine).await
    }

    /// Adds a fault to the stand-in platform.
    ///
    /// # Errors
    ///
    /// [`Error::Command`] when the stand-in refuses.
    pub async fn inject(&self, fault: &Fault) -> Result<(), Error> {
        self.post("fault", fault).await
    }

    /// Ends the faults of the stand-in platform.
    ///
    /// # Errors
    ///
    /// [`Error::Command`] when the stand-in refuses.
    pub async fn clear_faults(&self) -> Result<(), Error> {
        let url = format!("http://{}/fault", self.platform_address);
        check("mend", self.http.delete(url).send().await)
    }

    /// What the stand-in upstreams ran, one line for each run.
    ///
    /// # Errors
    ///
    /// [`Error::Command`] when a stand-in doesn't answer.
    pub async fn executions(&self) -> Result<Vec<String>, Error> {
        let mut lines = Vec::new();
        for upstream in &self.upstreams {
            let url = format!("http://{}/ran", upstream.address);
            let answer = self.http.get(url).send().await.map_err(command("ask what ran"))?;
            let text = answer.text().await.map_err(command("read what ran"))?;
            lines.extend(text.lines().map(ToOwned::to_owned));
        }
        Ok(lines)
    }

    /// Where the fleet's files stand.
    pub fn directory(&self) -> &Path {
        &self.directory
    }

    async fn start_upstreams(&mut self, size: &Size) -> Result<(), Error> {
        for service in &size.services {
            for number in 0..size.upstreams {
                let domain = &size.domains[number % size.domains.len()];
                let upstream = self.start_upstream(service, number, domain, size)?;
                self.post("machines", &upstream_machine(&upstream)).await?;
                self.upstreams.push(upstream);
            }
        }
        Ok(())
    }

    fn start_upstream(
        &self,
        service: &str,
        number: usize,
        domain: &str,
        size: &Size,
    ) -> Result<Upstream, Error> {
        let name = format!("{service}-{}", number + 1);
        let slots = size.slots.to_string();
        let service_ms = size.service_ms.to_string();
        let arguments = [
            "upstream",
            "--listen",
            "127.0.0.1:0",
            "--name",
            &name,
            "--slots",
            &slots,
            "--service-ms",
            &service_ms,
        ];
        let process = Process::start(&name, &self.binaries.standin, &arguments)?;
        let address = read_address(&process)?;
        Ok(Upstream { name, service: service.into(), domain: domain.into(), address, process })
    }

    fn peers_of(&self, number: usize) -> Vec<SocketAddr> {
        let others = self.entry_vms.iter().enumerate().filter(|(other, _)| *other != number);
        others.map(|(_, node)| node.listen.peer).take(PEERS).collect()
    }

    async fn post<T>(&self, path: &str, body: &T) -> Result<(), Error>
    where
        T: Serialize,
    {
        let url = format!("http://{}/{path}", self.platform_address);
        let body = serde_json::to_vec(body)
            .map_err(|cause| CommandSnafu { action: path, detail: cause.to_string() }.build())?;
        check(path, self.http.post(url).body(body).send().await)
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        // Only scratch files are left behind if this fails.
        let _ = fs::remove_dir_all(&self.directory);
    }
}

fn scratch() -> Result<PathBuf, Error> {
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    let directory = env::temp_dir().join(format!("heatherbend-{}-{number}", process::id()));
    fs::create_dir_all(&directory).context(SystemSnafu { action: "make a scratch directory" })?;
    Ok(directory)
}

fn read_address(process: &Process) -> Result<SocketAddr, Error> {
    let line = process.first_line();
    line.parse().ok().context(SilentSnafu { name: process.name(), line })
}

fn entry_machine(node: &EntryVm) -> Machine {
    let listen = node.listen;
    Machine {
        name: Arc::from(node.name.as_str()),
        domain: Arc::from(node.domain.as_str()),
        role: Role::Entry { caller: listen.caller, relay: listen.relay, peer: listen.peer },
        leaving: false,
    }
}

fn upstream_machine(upstream: &Upstream) -> Machine {
    let service = Arc::from(upstream.service.as_str());
    Machine {
        name: Arc::from(upstream.name.as_str()),
        domain: Arc::from(upstream.domain.as_str()),
        role: Role::Upstream { service, address: upstream.address },
        leaving: false,
    }
}

fn command(action: &str) -> impl Fn(reqwest::Error) -> Error + '_ {
    move |cause| CommandSnafu { action, detail: cause.to_string() }.build()
}

fn check(action: &str, answer: Result<reqwest::Response, reqwest::Error>) -> Result<(), Error> {
    let answer = answer.map_err(command(action))?;
    match answer.error_for_status() {
        Ok(_) => Ok(()),
        Err(cause) => Err(command(action)(cause)),
    }
}
