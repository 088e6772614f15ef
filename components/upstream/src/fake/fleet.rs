use crate::fake::{Fault, Run, Server};
use crate::load::Load;
use crate::verify::{Expected, check};
use crate::{Attempt, Failure, Reply, Transport, header};
use async_trait::async_trait;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

/// The fake upstreams of a test, by address.
#[derive(Default)]
pub struct Fleet {
    servers: Mutex<BTreeMap<SocketAddr, Arc<Server>>>,
    faults: Mutex<VecDeque<Fault>>,
}

impl Fleet {
    /// A fleet without servers.
    pub fn new() -> Fleet {
        Fleet::default()
    }

    /// Adds `server` at `address`; replaces any other there.
    pub fn put(&self, address: SocketAddr, server: Arc<Server>) {
        self.servers.lock().expect("no panic while locked").insert(address, server);
    }

    /// The server at `address`.
    pub fn get(&self, address: SocketAddr) -> Option<Arc<Server>> {
        self.servers.lock().expect("no panic while locked").get(&address).cloned()
    }

    /// Queues a fault for the next request to any server.
    pub fn inject(&self, fault: Fault) {
        self.faults.lock().expect("no panic while locked").push_back(fault);
    }

    /// The requests that all servers executed, ordered by address and then by time.
    pub fn runs(&self) -> Vec<Run> {
        let servers = self.servers.lock().expect("no panic while locked");
        servers.values().flat_map(|server| server.runs()).collect()
    }

    fn connect(&self, address: SocketAddr) -> Result<Arc<Server>, Failure> {
        let context = || format!("nothing listens at {address}");
        self.get(address).ok_or_else(|| Failure::NotSent { context: context() })
    }
}

#[async_trait]
impl Transport for Fleet {
    async fn send(&self, attempt: Attempt) -> Result<Reply, Failure> {
        let server = self.connect(attempt.address)?;
        let fault = self.faults.lock().expect("no panic while locked").pop_front();
        fault.into_iter().for_each(|fault| server.inject_first(fault));
        let id = attempt.headers.get(header::REQUEST_ID).cloned();
        let expected = Expected { method: attempt.method.clone(), id };
        check(&expected, server.serve(attempt).await?)
    }

    async fn load(&self, address: SocketAddr) -> Result<Load, Failure> {
        self.connect(address)?.load()
    }
}
