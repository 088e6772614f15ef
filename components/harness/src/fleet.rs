use crate::error::{NoAddressSnafu, RequestSnafu, SystemSnafu};
use crate::{Binaries, EntryVm, Error, Process};
use serde::Serialize;
use snafu::{OptionExt, ResultExt};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::{env, fs, process};
use store::fake::Fault;
use store::{ListedVm, Role};

/// Most peers that an entry VM's settings list.
const MAX_PEERS: usize = 8;

static NEXT_FLEET: AtomicU32 = AtomicU32::new(0);

/// How many processes of each kind a fleet has, and how its upstreams behave.
#[derive(Clone, Debug)]
pub struct Size {
    /// The failure domains; VMs are assigned to them in turn.
    pub domains: Vec<String>,
    /// The number of entry VMs.
    pub entries: usize,
    /// The names of the services.
    pub services: Vec<String>,
    /// The number of upstreams of each service.
    pub upstreams: usize,
    /// Requests that an upstream runs concurrently.
    pub slots: u32,
    /// Service time of a request, in milliseconds.
    pub service_ms: u64,
}

/// The daemons of several entry VMs with a stand-in platform and stand-in upstreams.
pub struct Fleet {
    /// The process of the stand-in platform.
    pub platform: Process,
    /// The address of the stand-in platform.
    pub platform_address: SocketAddr,
    /// The entry VMs.
    pub entry_vms: Vec<EntryVm>,
    /// The stand-in upstreams.
    pub upstreams: Vec<Upstream>,
    /// The programs that the fleet runs.
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
    /// The address at which it accepts requests.
    pub address: SocketAddr,
    /// The upstream's process.
    pub process: Process,
}

impl Fleet {
    /// Starts the stand-ins and reserves addresses for the entry VMs, without starting daemons.
    ///
    /// # Errors
    ///
    /// [`Error`] when a process can't be started or the platform refuses the
    /// registration.
    pub async fn prepare(binaries: Binaries, size: &Size) -> Result<Fleet, Error> {
        let directory = create_directory()?;
        let arguments = ["platform", "--listen", "127.0.0.1:0"];
        let platform = Process::start("platform", &binaries.standin, &arguments)?;
        let platform_address = read_address(&platform)?;
        let http = reqwest::Client::builder().no_proxy().build().map_err(|cause| {
            RequestSnafu { action: "set up HTTP", detail: cause.to_string() }.build()
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

    /// Starts the daemons of every entry VM and registers the VMs with the platform.
    ///
    /// # Errors
    ///
    /// [`Error`] when a process can't be started or the platform refuses the
    /// registration.
    pub async fn start(&mut self) -> Result<(), Error> {
        for number in 0..self.entry_vms.len() {
            self.start_vm(number).await?;
        }
        Ok(())
    }

    /// Starts only `controld` on every entry VM and registers the VMs with the platform.
    ///
    /// # Errors
    ///
    /// [`Error`] when a process can't be started or the platform refuses the
    /// registration.
    pub async fn start_controld(&mut self) -> Result<(), Error> {
        for number in 0..self.entry_vms.len() {
            let peers = self.peers_of(number);
            self.entry_vms[number].set_peers(peers);
            self.entry_vms[number].start_controld(&self.binaries)?;
            let record = entry_record(&self.entry_vms[number]);
            self.post("machines", &record).await?;
        }
        Ok(())
    }

    /// Starts both daemons of one entry VM and registers the VM with the platform.
    ///
    /// # Errors
    ///
    /// [`Error`] when a process can't be started or the platform refuses the
    /// registration.
    pub async fn start_vm(&mut self, number: usize) -> Result<(), Error> {
        let peers = self.peers_of(number);
        let vm = &mut self.entry_vms[number];
        vm.set_peers(peers);
        vm.start_controld(&self.binaries)?;
        vm.start_entryd(&self.binaries)?;
        let record = entry_record(&self.entry_vms[number]);
        self.post("machines", &record).await
    }

    /// Adds `fault` to the faults of the stand-in platform.
    ///
    /// # Errors
    ///
    /// [`Error::Request`] when the stand-in can't be reached or refuses.
    pub async fn inject(&self, fault: &Fault) -> Result<(), Error> {
        self.post("fault", fault).await
    }

    /// Ends all faults of the stand-in platform.
    ///
    /// # Errors
    ///
    /// [`Error::Request`] when the stand-in can't be reached or refuses.
    pub async fn clear_faults(&self) -> Result<(), Error> {
        let url = format!("http://{}/fault", self.platform_address);
        check_status("clear faults", self.http.delete(url).send().await)
    }

    /// The requests that the stand-in upstreams executed, one line per execution.
    ///
    /// # Errors
    ///
    /// [`Error::Request`] when a stand-in doesn't respond.
    pub async fn executions(&self) -> Result<Vec<String>, Error> {
        let mut lines = Vec::new();
        for upstream in &self.upstreams {
            let url = format!("http://{}/ran", upstream.address);
            let response =
                self.http.get(url).send().await.map_err(request_error("request executions"))?;
            let text = response.text().await.map_err(request_error("read executions"))?;
            lines.extend(text.lines().map(ToOwned::to_owned));
        }
        Ok(lines)
    }

    /// The scratch directory with the fleet's files, removed when the fleet is dropped.
    pub fn directory(&self) -> &Path {
        &self.directory
    }

    async fn start_upstreams(&mut self, size: &Size) -> Result<(), Error> {
        for service in &size.services {
            for number in 0..size.upstreams {
                let domain = &size.domains[number % size.domains.len()];
                let upstream = self.start_upstream(service, number, domain, size)?;
                self.post("machines", &upstream_record(&upstream)).await?;
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
        let peers = self.entry_vms.iter().enumerate().filter(|(other, _)| *other != number);
        peers.map(|(_, vm)| vm.listen.peer).take(MAX_PEERS).collect()
    }

    async fn post<T>(&self, path: &str, body: &T) -> Result<(), Error>
    where
        T: Serialize,
    {
        let url = format!("http://{}/{path}", self.platform_address);
        let body = serde_json::to_vec(body)
            .map_err(|cause| RequestSnafu { action: path, detail: cause.to_string() }.build())?;
        check_status(path, self.http.post(url).body(body).send().await)
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        // A failure leaves only scratch files behind.
        let _ = fs::remove_dir_all(&self.directory);
    }
}

fn create_directory() -> Result<PathBuf, Error> {
    let number = NEXT_FLEET.fetch_add(1, Ordering::Relaxed);
    let directory = env::temp_dir().join(format!("heatherbend-{}-{number}", process::id()));
    fs::create_dir_all(&directory).context(SystemSnafu { action: "create a scratch directory" })?;
    Ok(directory)
}

fn read_address(process: &Process) -> Result<SocketAddr, Error> {
    let line = process.first_line();
    line.parse().ok().context(NoAddressSnafu { name: process.name(), line })
}

fn entry_record(vm: &EntryVm) -> ListedVm {
    let listen = vm.listen;
    ListedVm {
        name: Arc::from(vm.name.as_str()),
        domain: Arc::from(vm.domain.as_str()),
        role: Role::Entry { caller: listen.caller, relay: listen.relay, peer: listen.peer },
        leaving: false,
    }
}

fn upstream_record(upstream: &Upstream) -> ListedVm {
    let service = Arc::from(upstream.service.as_str());
    ListedVm {
        name: Arc::from(upstream.name.as_str()),
        domain: Arc::from(upstream.domain.as_str()),
        role: Role::Upstream { service, address: upstream.address },
        leaving: false,
    }
}

fn request_error(action: &str) -> impl Fn(reqwest::Error) -> Error + '_ {
    move |cause| RequestSnafu { action, detail: cause.to_string() }.build()
}

fn check_status(
    action: &str,
    response: Result<reqwest::Response, reqwest::Error>,
) -> Result<(), Error> {
    let response = response.map_err(request_error(action))?;
    match response.error_for_status() {
        Ok(_) => Ok(()),
        Err(cause) => Err(request_error(action)(cause)),
    }
}
