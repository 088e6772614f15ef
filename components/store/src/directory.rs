use crate::Failure;
use async_trait::async_trait;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::Arc;

/// The platform's list of live and leaving VMs; it lags.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listing {
    /// The VMs; one that isn't listed any more is gone for good.
    pub machines: Vec<ListedVm>,
}

/// A VM as the platform lists it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedVm {
    /// The VM's name, unique over its whole life.
    pub name: Arc<str>,
    /// Its failure domain.
    pub domain: Arc<str>,
    /// What it runs and where it is reached.
    pub role: Role,
    /// Whether the platform is about to take it away.
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
        /// Where the other VMs' `entryd` reach it.
        relay: SocketAddr,
        /// Where the other VMs' `controld` reach it.
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
    /// [`Failure`] when the platform gives no answer.
    async fn list(&self) -> Result<Listing, Failure>;
}
