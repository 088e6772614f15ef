use crate::Failure;
use async_trait::async_trait;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::Arc;

/// The platform's list of live and leaving VMs, which may be out of date.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listing {
    /// The VMs. A VM that is no longer listed doesn't come back.
    pub machines: Vec<ListedVm>,
}

/// A VM as the platform lists it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedVm {
    /// The VM's name, which no other VM uses during its life.
    pub name: Arc<str>,
    /// Its failure domain.
    pub domain: Arc<str>,
    /// What it runs and where it is reached.
    pub role: Role,
    /// Whether the platform is about to remove it.
    pub leaving: bool,
}

/// What a VM runs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// An entry VM of heatherbend.
    Entry {
        /// Where callers reach it.
        caller: SocketAddr,
        /// Where peers' `entryd` processes reach it, for relayed orders.
        relay: SocketAddr,
        /// Where peers' `controld` processes reach it.
        peer: SocketAddr,
    },
    /// An upstream of a service.
    Upstream {
        /// The service.
        service: Arc<str>,
        /// Where it takes requests.
        address: SocketAddr,
    },
}

/// The platform's VM list.
#[async_trait]
pub trait Directory: Send + Sync {
    /// Reads the list.
    ///
    /// # Errors
    ///
    /// [`Failure`] when no response arrives.
    async fn list(&self) -> Result<Listing, Failure>;
}
