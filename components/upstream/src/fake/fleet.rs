use crate::fake::{Fault, Run, Server};
use crate::load::Load;
use crate::verify::{Expected, check};
use crate::{Attempt, Failure, Reply, Transport, header};
use async_trait::async_trait;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

/// All upstreams of a test, reached by address.
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

    /// Puts `server` at `address`, in place of any other there.
    pub fn put(&self, address: SocketAddr, server: Arc<Server>) {
        self.servers.lock().expect("no panic while locked").insert(address, server);
    }

    /// The server at `address`.
    pub fn get(&self, address: SocketAddr) -> Option<Arc<Server>> {
        self.servers.lock().expect("no panic while locked").get(&address).cloned()
    }

    /// Adds a fault for the next request that has none yet, at whichever server it arrives.
    pub fn inject(&self, fault: Fault) {
        self.faults.lock().expect("no panic while locked").push_back(fault);
    }

    /// Everything that any server ran, by server in the order of addresses.
    pub fn runs(&self) -> Vec<Run> {
        let servers = self.servers.lock().expect("no panic while locked");
        servers.values().flat_map(|server| server.runs()).collect()
    }

    fn reach(&self, address: SocketAddr) -> Result<Arc<Server>, Failure> {
        let context = || format!("nothing listens at {address}");
        self.get(address).ok_or_else(|| Failure::NotSent { context: context() })
    }
}

#[async_trait]
impl Transport for Fleet {
    async fn send(&self, attempt: Attempt) -> Result<Reply, Failure> {
        let server = self.reach(attempt.address)?;
        let fault = self.faults.lock().expect("no panic while locked").pop_front();
        fault.into_iter().for_each(|fault| server.inject_first(fault));
        let id = attempt.headers.get(header::REQUEST_ID).cloned();
        let expected = Expected { method: attempt.method.clone(), id };
        check(&expected, server.serve(attempt).await?)
    }

    async fn load(&self, address: SocketAddr) -> Result<Load, Failure> {
        self.reach(address)?.load()
    }
}
