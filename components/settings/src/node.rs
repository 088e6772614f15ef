use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

/// The content of `node.ini`: the settings of one VM.
///
/// It contains secret keys, so it is never serialised and its `Debug` form omits them.
#[derive(Clone)]
pub struct Node {
    /// The VM's name, which no other VM uses during its life.
    pub vm: Arc<str>,
    /// The failure domain that the VM runs in.
    pub domain: Arc<str>,
    /// Where callers reach this VM's `entryd`.
    pub caller: SocketAddr,
    /// Where peers reach this VM's `entryd`, for relayed orders.
    pub relay: SocketAddr,
    /// Where peers reach this VM's `controld`.
    pub peer: SocketAddr,
    /// Where operators reach this VM's `controld`.
    pub operator: SocketAddr,
    /// Where `entryd` reaches its `controld`, on loopback.
    pub local: SocketAddr,
    /// The platform's addresses, tried in order.
    pub platform: Vec<SocketAddr>,
    /// Peers to contact at start, before the VM list is known.
    pub peers: Vec<SocketAddr>,
    /// The key that operators present.
    pub operator_key: Arc<str>,
    /// The key that peers present, which also signs tokens.
    pub peer_key: Arc<str>,
    /// The least severe level that is logged.
    pub log_level: Arc<str>,
    /// The maximum number of decision lines logged per second.
    pub log_rate: u32,
}

impl fmt::Debug for Node {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Node")
            .field("vm", &self.vm)
            .field("domain", &self.domain)
            .field("caller", &self.caller)
            .field("relay", &self.relay)
            .field("peer", &self.peer)
            .field("operator", &self.operator)
            .field("local", &self.local)
            .field("platform", &self.platform)
            .field("peers", &self.peers)
            .field("log_level", &self.log_level)
            .field("log_rate", &self.log_rate)
            .finish_non_exhaustive()
    }
}
