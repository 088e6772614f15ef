use crate::geography::{delay, region_of};
use crate::{Regions, Snapshot, State, Vm};
use clock::Millis;
use settings::Target;
use std::collections::BTreeMap;
use std::ops::Range;
use std::sync::Arc;
use xxhash_rust::xxh3::xxh3_64;

/// Look-up structures, built once for each [`Snapshot`] so that decisions don't allocate.
///
/// Regions, sites and VMs are numbered by their order in the snapshot. See docs/LOOKUP.md.
#[derive(Debug)]
pub struct Index {
    snapshot: Arc<Snapshot>,
    /// Sorted by the first block.
    blocks: Vec<BlockRange>,
    /// The home region of each site.
    homes: Vec<u16>,
    vms: Vec<Entry>,
    /// The VMs of each failure domain.
    domains: Vec<Domain>,
    /// The numbers of each region's failure domains.
    domain_ranges: Vec<Range<usize>>,
    /// For each region, all regions by their delay from it.
    nearest: Vec<Vec<u16>>,
    region_names: Arc<[Arc<str>]>,
    /// The drains of each region as a whole.
    region_drains: Vec<Vec<Period>>,
}

/// What a look-up reads of an entry VM.
#[derive(Clone, Debug)]
pub(crate) struct Entry {
    /// The hash of the VM's name.
    pub hash: u64,
    /// The number of its failure domain, unique over all regions; [`u16::MAX`] if the deployment
    /// doesn't have the domain.
    pub domain: u16,
    /// Whether it takes new requests.
    pub state: State,
    /// Whether the plan gives it a share of any region's cap.
    pub has_share: bool,
    /// The planned drains of the VM, its failure domain or its region.
    pub drains: Vec<Period>,
}

/// The VMs of a failure domain.
#[derive(Clone, Debug, Default)]
pub(crate) struct Domain {
    /// The hashes of the VMs that are live, have a share and have no planned drain. They are kept
    /// apart from the numbers, because a look-up reads all hashes of a region but few numbers.
    pub hashes: Vec<u64>,
    /// The numbers of the VMs in `hashes`.
    pub vms: Vec<u16>,
    /// The numbers of all other VMs, whose state, share and drains each look-up checks.
    pub others: Vec<u16>,
}

/// The time from a drain's start to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Period {
    /// When the drain starts.
    pub start: Millis,
    /// When the drain ends, exclusive.
    pub end: Millis,
}

impl Period {
    /// Whether `now` is within the drain.
    pub(crate) fn contains(&self, now: Millis) -> bool {
        self.start <= now && now < self.end
    }
}

/// A range of blocks of one site, both ends included.
#[derive(Clone, Copy, Debug)]
struct BlockRange {
    first: u32,
    last: u32,
    site: u16,
}

impl Index {
    /// Builds the structures for `snapshot`.
    ///
    /// Look-ups leave out VMs in a failure domain that the deployment doesn't have.
    pub fn new(snapshot: Arc<Snapshot>) -> Index {
        let deployment = Arc::clone(&snapshot.deployment);
        let domains = number_domains(&snapshot);
        let region_names: Arc<[Arc<str>]> =
            deployment.regions.iter().map(|region| Arc::clone(&region.name)).collect();
        let vms: Vec<Entry> =
            snapshot.vms.iter().map(|vm| entry(&snapshot, &domains, vm)).collect();
        Index {
            blocks: sort_blocks(&snapshot),
            homes: homes(&snapshot, &region_names),
            nearest: (0..region_names.len())
                .map(|region| regions_by_delay(&snapshot, &region_names, region))
                .collect(),
            region_drains: region_names
                .iter()
                .map(|name| drains_of_region(&snapshot, name))
                .collect(),
            domains: group_by_domain(&vms, domains.len()),
            domain_ranges: domain_ranges(&snapshot),
            vms,
            region_names,
            snapshot,
        }
    }

    /// The snapshot that the structures were built for.
    pub fn snapshot(&self) -> &Arc<Snapshot> {
        &self.snapshot
    }

    /// The names of the regions, in the deployment's order.
    pub fn regions(&self) -> &Arc<[Arc<str>]> {
        &self.region_names
    }

    /// The number of the region called `name`.
    pub fn region(&self, name: &str) -> Option<u16> {
        let number = self.region_names.iter().position(|region| &**region == name)?;
        Some(number as u16)
    }

    /// The number of the site that holds `block`.
    pub fn site(&self, block: u32) -> Option<u16> {
        let after = self.blocks.partition_point(|range| range.first <= block);
        let range = self.blocks[..after].last()?;
        (block <= range.last).then_some(range.site)
    }

    /// The number of the region nearest to `site`.
    pub fn home(&self, site: u16) -> u16 {
        self.homes[usize::from(site)]
    }

    /// All regions, `region` first and the others by their delay from it.
    pub fn nearest(&self, region: u16) -> &[u16] {
        &self.nearest[usize::from(region)]
    }

    /// The regions that are drained as a whole at `now`.
    pub fn drained(&self, now: Millis) -> Regions {
        let mut drained = Regions::NONE;
        for (region, drains) in self.region_drains.iter().enumerate() {
            if drains.iter().any(|drain| drain.contains(now)) {
                drained = drained.with(region as u16);
            }
        }
        drained
    }

    /// Whether the VM `name` in failure domain `domain` is drained at `now`.
    pub fn is_drained(&self, name: &Arc<str>, domain: &Arc<str>, now: Millis) -> bool {
        drains_of_vm(&self.snapshot, name, domain).iter().any(|drain| drain.contains(now))
    }

    pub(crate) fn vm(&self, vm: u16) -> &Entry {
        &self.vms[usize::from(vm)]
    }

    pub(crate) fn domains_in(&self, region: u16) -> &[Domain] {
        &self.domains[self.domain_ranges[usize::from(region)].clone()]
    }
}

fn entry(snapshot: &Snapshot, domains: &BTreeMap<Arc<str>, u16>, vm: &Vm) -> Entry {
    Entry {
        hash: xxh3_64(vm.name.as_bytes()),
        domain: domains.get(&vm.domain).copied().unwrap_or(u16::MAX),
        state: vm.state,
        has_share: snapshot.plan.holds_share(&vm.name),
        drains: drains_of_vm(snapshot, &vm.name, &vm.domain),
    }
}

fn group_by_domain(vms: &[Entry], domains: usize) -> Vec<Domain> {
    let mut groups = vec![Domain::default(); domains];
    for (number, vm) in vms.iter().enumerate() {
        let Some(group) = groups.get_mut(usize::from(vm.domain)) else {
            continue;
        };
        if vm.state == State::Live && vm.has_share && vm.drains.is_empty() {
            group.hashes.push(vm.hash);
            group.vms.push(number as u16);
        } else {
            group.others.push(number as u16);
        }
    }
    groups
}

fn domain_ranges(snapshot: &Snapshot) -> Vec<Range<usize>> {
    let mut first = 0;
    let mut next = |count: usize| {
        let range = first..first + count;
        first = range.end;
        range
    };
    snapshot.deployment.regions.iter().map(|region| next(region.domains.len())).collect()
}

/// Numbers the failure domains so that those of a region are consecutive.
fn number_domains(snapshot: &Snapshot) -> BTreeMap<Arc<str>, u16> {
    let domains = snapshot.deployment.regions.iter().flat_map(|region| &region.domains);
    domains.enumerate().map(|(number, name)| (Arc::clone(name), number as u16)).collect()
}

fn homes(snapshot: &Snapshot, names: &[Arc<str>]) -> Vec<u16> {
    let sites = snapshot.deployment.sites.iter();
    let home = |name: &Arc<str>| names.iter().position(|region| region == name).unwrap_or(0);
    sites.map(|site| home(&site.region) as u16).collect()
}

fn sort_blocks(snapshot: &Snapshot) -> Vec<BlockRange> {
    let mut blocks = Vec::new();
    for (site, declared) in snapshot.deployment.sites.iter().enumerate() {
        let site = site as u16;
        let ranges = declared.blocks.iter();
        blocks.extend(ranges.map(|range| BlockRange {
            first: range.first,
            last: range.last,
            site,
        }));
    }
    blocks.sort_by_key(|range| range.first);
    blocks
}

fn regions_by_delay(snapshot: &Snapshot, names: &[Arc<str>], from: usize) -> Vec<u16> {
    let mut order: Vec<u16> = (0..names.len() as u16).collect();
    order.sort_by_key(|to| {
        let delay = delay(&snapshot.deployment, &names[from], &names[usize::from(*to)]);
        (usize::from(*to) != from, delay, *to)
    });
    order
}

fn drains_of_vm(snapshot: &Snapshot, name: &Arc<str>, domain: &Arc<str>) -> Vec<Period> {
    let region = region_of(&snapshot.deployment, domain).map(|region| Arc::clone(&region.name));
    let affects = |target: &Target| match target {
        Target::Vm(vm) => vm == name,
        Target::Domain(drained) => drained == domain,
        Target::Region(drained) => Some(drained) == region.as_ref(),
    };
    drain_periods(snapshot, affects)
}

fn drains_of_region(snapshot: &Snapshot, name: &Arc<str>) -> Vec<Period> {
    drain_periods(snapshot, |target| matches!(target, Target::Region(drained) if drained == name))
}

fn drain_periods<Affects>(snapshot: &Snapshot, affects: Affects) -> Vec<Period>
where
    Affects: Fn(&Target) -> bool,
{
    let drains = snapshot.drains.iter().filter(|drain| affects(&drain.target));
    drains.map(|drain| Period { start: drain.start, end: drain.end }).collect()
}
