//! Small deployments and snapshots for tests, experiments and benchmarks.

use crate::{
    Allocation, Allotment, Plan, SHARE_SCALE, Segment, Snapshot, Split, State, Upstream, Vm,
};
use clock::Millis;
use settings::{Class, Deployment, Link, Preset, Range, Region, Service, Share, Site};
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;

const REGIONS: [&str; 3] = ["nord", "centre", "sud"];
const DOMAINS_PER_REGION: usize = 2;
const REGION_DELAY: Millis = Millis(12);
const SITE_DELAY: Millis = Millis(3);
const PORT: u16 = 7000;

/// The size of a sample.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    /// Entry VMs, spread evenly over the failure domains.
    pub vms: usize,
    /// Sites, spread evenly over the regions.
    pub sites: usize,
    /// Callers' address blocks of each site.
    pub blocks: u32,
}

impl Size {
    /// The size of the system in service: nine entry VMs.
    pub const TODAY: Size = Size { vms: 9, sites: 6, blocks: 100 };
    /// The largest size that the system is designed for.
    pub const DESIGN: Size = Size { vms: 700, sites: 110, blocks: 1273 };
}

/// A deployment of three regions with two failure domains each.
///
/// Every region takes `capacity` requests a second. Each block is a separate range, the worst case
/// for the search of a look-up.
pub fn deployment(size: Size, capacity: u32) -> Deployment {
    let site = |number: usize| Site {
        name: format!("site-{number}").into(),
        region: REGIONS[number % REGIONS.len()].into(),
        delay: SITE_DELAY,
        blocks: blocks_of(number as u32, size.blocks),
    };
    Deployment {
        name: "sample".into(),
        store_region: REGIONS[0].into(),
        domain_delay: Millis(5),
        entries: size.vms as u32,
        regions: REGIONS.iter().map(|name| region(name, capacity)).collect(),
        links: vec![link(0, 1), link(0, 2), link(1, 2)],
        sites: (0..size.sites).map(site).collect(),
        services: Vec::new(),
    }
}

/// A preset with the regions' `shares` of the traffic and a shift cap in requests a second.
pub fn preset(shares: [f64; 3], shift_cap: u32) -> Preset {
    let share = |(name, share): (&&str, f64)| Share { region: (*name).into(), share };
    Preset {
        name: "ordinary".into(),
        lease_first: Millis::from_secs(5),
        lease_max: Millis::from_secs(300),
        lease_growth: 2,
        shift_cap,
        shift_step: Millis::from_secs(2),
        headroom: 0.9,
        hedge_budget: 0.05,
        long_share: 0.5,
        shares: REGIONS.iter().zip(shares).map(share).collect(),
    }
}

/// A snapshot in which every block is served in its home region and all VMs have equal shares.
pub fn snapshot(size: Size) -> Snapshot {
    let deployment = deployment(size, 1000);
    let names: Vec<Arc<str>> = deployment.regions.iter().map(|r| Arc::clone(&r.name)).collect();
    let vms: Vec<Vm> = (0..size.vms).map(vm).collect();
    Snapshot {
        version: 1,
        digest: "sample".into(),
        plan: plan(names, &vms),
        deployment: Arc::new(deployment),
        preset: preset([1.0 / 3.0; 3], 100),
        drains: Vec::new(),
        vms,
        upstreams: Vec::new(),
    }
}

/// The sample's entry VM with this number; names sort in the order of numbers.
pub fn vm(number: usize) -> Vm {
    let octets = [10, 0, (number >> 8) as u8, number as u8];
    let address = SocketAddr::from((Ipv4Addr::from(octets), PORT));
    Vm {
        name: format!("vm-{number:04}").into(),
        incarnation: 1,
        domain: domain_of(number),
        caller: address,
        relay: address,
        peer: address,
        state: State::Live,
    }
}

/// The number of the region of the sample's entry VM with this number.
pub fn region_of_vm(number: usize) -> u16 {
    (number % REGIONS.len()) as u16
}

/// Adds a service of short requests with `servers` upstreams, spread evenly over the failure
/// domains.
pub fn add_service(snapshot: &mut Snapshot, name: &str, servers: usize, slots: u32) {
    let mut deployment = Deployment::clone(&snapshot.deployment);
    deployment.services.push(Service {
        name: name.into(),
        class: Class::Short,
        servers: servers as u32,
        slots,
        connections: 330,
        connect: Millis(1),
        deadline: Millis::from_secs(5),
    });
    snapshot.deployment = Arc::new(deployment);
    let upstream = |number: usize| Upstream {
        name: format!("{name}-{number:02}").into(),
        service: name.into(),
        domain: domain_of(number),
        address: SocketAddr::from(([10, 1, (number >> 8) as u8, number as u8], PORT)),
        state: State::Live,
    };
    snapshot.upstreams.extend((0..servers).map(upstream));
}

fn plan(regions: Vec<Arc<str>>, vms: &[Vm]) -> Plan {
    let share = SHARE_SCALE / vms.len().max(1) as u32;
    let allocation = |vm: &Vm| Allocation {
        vm: Arc::clone(&vm.name),
        regions: vec![Allotment::exact(share); REGIONS.len()],
        shift: Allotment::exact(share),
    };
    let split = Split::nearest(regions.len());
    Plan {
        epoch: 1,
        sequence: 1,
        version: 1,
        demand: 0,
        members: vms.iter().map(allocation).collect(),
        from: vec![Segment { until: SHARE_SCALE, split: split.clone() }],
        to: split,
        settled: SHARE_SCALE,
        shift: 1,
        regions,
    }
}

fn domain_of(number: usize) -> Arc<str> {
    let region = REGIONS[number % REGIONS.len()];
    let domain = number / REGIONS.len() % DOMAINS_PER_REGION;
    format!("{region}-{domain}").into()
}

fn region(name: &str, capacity: u32) -> Region {
    let domain = |number| format!("{name}-{number}").into();
    let domains = (0..DOMAINS_PER_REGION).map(domain).collect();
    Region { name: name.into(), domains, capacity }
}

fn link(from: usize, to: usize) -> Link {
    Link {
        from: REGIONS[from].into(),
        to: REGIONS[to].into(),
        capacity_mbit: 280,
        delay: REGION_DELAY,
    }
}

fn blocks_of(site: u32, count: u32) -> Vec<Range> {
    let first = site * count * 2;
    (0..count).map(|block| Range { first: first + 2 * block, last: first + 2 * block }).collect()
}
