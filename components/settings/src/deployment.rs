use clock::Millis;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// The regions, links, sites and services that one instance of heatherbend steers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Deployment {
    /// The deployment's name.
    pub name: Arc<str>,
    /// The region that holds the platform's table service.
    pub store_region: Arc<str>,
    /// One-way delay between failure domains of a region.
    pub domain_delay: Millis,
    /// The number of entry VMs that the platform should run, over all regions.
    pub entries: u32,
    /// Regions, in the order of the file.
    pub regions: Vec<Region>,
    /// Links between regions, one for each pair.
    pub links: Vec<Link>,
    /// Sites from which callers come.
    pub sites: Vec<Site>,
    /// Services that upstreams provide.
    pub services: Vec<Service>,
}

/// A region and its failure domains.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Region {
    /// The region's name.
    pub name: Arc<str>,
    /// The names of its failure domains.
    pub domains: Vec<Arc<str>>,
    /// The maximum requests per second that steering may send into the region.
    pub capacity: u32,
}

/// The link between a pair of regions.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Link {
    /// One end.
    pub from: Arc<str>,
    /// The other end.
    pub to: Arc<str>,
    /// The capacity in each direction, in Mbit/s.
    pub capacity_mbit: u32,
    /// One-way delay.
    pub delay: Millis,
}

/// A site and the blocks (IPv4 /24 networks) of its callers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Site {
    /// The site's name.
    pub name: Arc<str>,
    /// The nearest region.
    pub region: Arc<str>,
    /// One-way delay to the nearest region.
    pub delay: Millis,
    /// Ranges of blocks, sorted; no two sites share a block.
    pub blocks: Vec<Range>,
}

/// A range of consecutive blocks, from `first` to `last` inclusive.
///
/// A block is an IPv4 /24 network, numbered by the upper 24 bits of its address.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Range {
    /// The first block.
    pub first: u32,
    /// The last block.
    pub last: u32,
}

/// Whether a service's requests are usually short or long.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Class {
    /// Short requests, which may be hedged and never queue behind long ones.
    Short,
    /// Long requests, which may hold only a fraction of each upstream's slots.
    Long,
}

/// A service and the limits of each of its upstreams.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// The service's name.
    pub name: Arc<str>,
    /// Short or long.
    pub class: Class,
    /// The number of upstreams of the service, over all regions.
    pub servers: u32,
    /// Requests that one upstream runs at a time.
    pub slots: u32,
    /// Connections that one upstream accepts.
    pub connections: u32,
    /// Time to open a connection.
    pub connect: Millis,
    /// The deadline of a request that doesn't give one.
    pub deadline: Millis,
}
