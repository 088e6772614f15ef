//! A small deployment: machines with the project's process, servers and the platform's store.

use crate::gateway::{Gateway, Machine, Ports, free_ips, metrics_port};
use crate::http::{Connection, Head};
use crate::record::Record;
use crate::server::{Plan, Server};
use crate::store::Store;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

pub const HOST: &str = "hulo84.example";
/// The bound within which a version of the config is in force, in the settings file.
#[allow(dead_code, reason = "not every case changes the config")]
pub const CONFIG_APPLY: Duration = Duration::from_secs(2);

const ZONES: [(&str, &str); 2] = [("antwerpen-haven", "antwerpen"), ("gent-dok", "gent")];

/// A route of the config.
#[derive(Clone, Copy, Debug)]
pub struct Route {
    pub name: &'static str,
    pub prefix: &'static str,
    pub kind: &'static str,
    pub service: &'static str,
    pub timeout: &'static str,
}

#[derive(Debug)]
pub struct Deployment {
    record: Arc<Record>,
    store: Arc<Store>,
    pub gateways: Vec<Arc<Gateway>>,
    pub servers: Vec<Arc<Server>>,
    /// Ids of the servers that write their entries no more.
    silent: Arc<Mutex<Vec<String>>>,
    directory: PathBuf,
}

impl Deployment {
    /// Starts everything and waits until all machines are ready; `None` if they don't become so.
    pub fn open(record: &Arc<Record>, plans: Vec<Plan>, routes: &[Route]) -> Option<Deployment> {
        let (store, address) = Store::open();
        let servers: Vec<Arc<Server>> =
            plans.into_iter().map(|plan| Server::open(plan, record)).collect();
        let silent = Arc::new(Mutex::new(Vec::new()));
        let directory = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        std::fs::create_dir_all(&directory).ok()?;
        store.write("op", "config", Some(config(1, routes, &servers)));
        write_entries(&store, &servers, &silent);
        let ips = free_ips(ZONES.len(), metrics_port());
        let ports = Ports::free(&ips);
        let machines: Vec<Machine> = ZONES
            .iter()
            .zip(&ips)
            .map(|((zone, region), ip)| Machine {
                name: format!("frontend-{zone}-1"),
                ip: ip.clone(),
                zone: (*zone).to_owned(),
                region: (*region).to_owned(),
            })
            .collect();
        let start =
            |machine| Arc::new(Gateway::start(machine, ports, &machines, address, &directory));
        let gateways: Vec<Arc<Gateway>> = machines.iter().map(start).collect();
        let record = Arc::clone(record);
        let deployment = Deployment { record, store, gateways, servers, silent, directory };
        let started = Instant::now();
        while !deployment.gateways.iter().all(|gateway| is_ready(gateway)) {
            if started.elapsed() > Duration::from_secs(10) {
                return None;
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        // Traffic starts 8 s after the machines do.
        std::thread::sleep(Duration::from_secs(8).saturating_sub(started.elapsed()));
        Some(deployment)
    }

    /// Writes a version of the config; the store has acknowledged it when the call returns.
    #[allow(dead_code, reason = "not every case changes the config")]
    pub fn configure(&self, version: u64, routes: &[Route]) {
        self.store.write("op", "config", Some(config(version, routes, &self.servers)));
        self.record.say("config", &format!("version {version:08x} acknowledged by the store"));
    }

    /// Makes a server write its entry no more.
    #[allow(dead_code, reason = "not every case has a server that leaves")]
    pub fn silence(&self, server: &Server) {
        self.silent.lock().expect("ids").push(server.plan.id.clone());
    }

    /// The addresses that the directory names for clients in a zone.
    pub fn resolve(&self, zone: usize) -> Vec<String> {
        let (zone, region) = ZONES[zone];
        for gateway in &self.gateways {
            let target = format!("/-/resolve?name={HOST}&region={region}&zone={zone}");
            let Ok((head, body)) = call(&gateway.directory(), &target) else { continue };
            let text = String::from_utf8_lossy(&body).into_owned();
            let list = text.split_once('[').and_then(|(_, rest)| rest.split_once(']'));
            let list = list.map(|(list, _)| list.to_owned()).unwrap_or_default();
            let addresses = list.split(',').map(|each| each.trim_matches('"').to_owned());
            let addresses: Vec<String> = addresses.filter(|each| !each.is_empty()).collect();
            if head.status() == 200 && !addresses.is_empty() {
                return addresses;
            }
        }
        Vec::new()
    }

    /// Ends all processes and removes the temporary folder.
    pub fn close(self) {
        for gateway in &self.gateways {
            gateway.end();
        }
        let kept = std::env::var("KEEP_LOGS").is_ok();
        if !kept {
            let _ = std::fs::remove_dir_all(&self.directory);
        }
    }
}

/// Writes the entries of all servers now and at every heartbeat.
fn write_entries(store: &Arc<Store>, servers: &[Arc<Server>], silent: &Arc<Mutex<Vec<String>>>) {
    let (store, silent) = (Arc::clone(store), Arc::clone(silent));
    let servers = servers.to_vec();
    let sequence = AtomicU64::new(1);
    let write = move || {
        let sequence = sequence.fetch_add(1, Ordering::SeqCst);
        let silent = silent.lock().expect("ids");
        for server in servers.iter().filter(|server| !silent.contains(&server.plan.id)) {
            store.write("servers", &server.plan.id, Some(server.entry(sequence)));
        }
    };
    write();
    std::thread::spawn(move || {
        loop {
            std::thread::sleep(Duration::from_millis(1_500));
            write();
        }
    });
}

fn config(version: u64, routes: &[Route], servers: &[Arc<Server>]) -> String {
    let mut resources: Vec<String> = routes
        .iter()
        .map(|route| {
            let Route { name, prefix, kind, service, timeout } = route;
            format!(
                r#"{{"entry_kind":"routes","metadata":{{"name":"{name}"}},"spec":{{"host":"{HOST}","prefix":"{prefix}","kind":"{kind}","timeout":"{timeout}","target_latency":"300ms","priority":1,"service":"{service}","max_attempts":2,"session_affinity":false,"allowed_regions":[]}}}}"#
            )
        })
        .collect();
    let mut services: Vec<&str> =
        servers.iter().map(|server| server.plan.service.as_str()).collect();
    services.sort_unstable();
    services.dedup();
    resources.extend(services.iter().map(|service| {
        format!(
            r#"{{"entry_kind":"services","metadata":{{"name":"{service}"}},"spec":{{"health_path":"/healthz","max_conns":330,"protocol":"h1","tls":false,"cold_start":"3s","cold_per_s":4.9}}}}"#
        )
    }));
    resources.push(
        r#"{"entry_kind":"limits","metadata":{},"spec":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout":"3000ms","idle_timeout":"15000ms"}}"#
            .to_owned(),
    );
    format!(r#"{{"version":"{version:08x}","resources":[{}]}}"#, resources.join(","))
}

fn is_ready(gateway: &Gateway) -> bool {
    call(&gateway.ready(), "/-/readyz").is_ok_and(|(head, _)| head.status() == 200)
}

/// Makes a call to a process on a connection of its own.
fn call(address: &str, target: &str) -> io::Result<(Head, Vec<u8>)> {
    let mut connection = connect(address)?;
    connection.stream.set_read_timeout(Some(Duration::from_secs(1)))?;
    let text = format!("GET {target} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n");
    connection.send(text.as_bytes())?;
    let head = connection.head()?.ok_or(io::ErrorKind::UnexpectedEof)?;
    let body = connection.body(head.length())?;
    Ok((head, body))
}

/// Opens a connection; clients allow it one second.
pub fn connect(address: &str) -> io::Result<Connection> {
    let address: SocketAddr = address.parse().map_err(io::Error::other)?;
    TcpStream::connect_timeout(&address, Duration::from_secs(1)).map(Connection::new)
}

/// Whether the disruption of the case is wanted.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}
