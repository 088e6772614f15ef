use crate::Agent;
use crate::api::not_ready;
use errors::Kind;
use operator::Refusal;
use operator::wire::{Entry, Explain, Explanation};
use std::net::Ipv4Addr;
use std::sync::Arc;
use steering::{Index, Regions, Snapshot, lookup, position};

/// Bits of an IPv4 address below its block.
const HOST_BITS: u32 = 8;

impl Agent {
    /// Computes the look-up result of a block from the published snapshot, and the reasons for it.
    ///
    /// # Errors
    ///
    /// [`Kind::NotReady`] when there is no snapshot yet, [`Kind::Malformed`] when the block can't
    /// be parsed, [`Kind::UnknownService`], [`Kind::UnknownBlock`], or the look-up's own error.
    pub(crate) fn explain_lookup(&self, query: &Explain) -> Result<Explanation, Refusal> {
        let stamped = self.snapshots.borrow().clone();
        let snapshot = stamped.ok_or_else(not_ready)?.snapshot;
        let now = self.settings.clock.now();
        let block = parse_block(&query.block)?;
        let matches = |service: &&settings::Service| service.name == query.service;
        if !snapshot.deployment.services.iter().any(|service| matches(&service)) {
            let context = format!("service `{}` is unknown", query.service);
            return Err(Refusal::new(Kind::UnknownService, context));
        }
        let index = Index::new(Arc::clone(&snapshot));
        let site = index.site(block).ok_or_else(|| {
            Refusal::new(Kind::UnknownBlock, format!("no site holds block {}", query.block))
        })?;
        let home = index.home(site);
        let region = serving_region(&snapshot, home, block, index.drained(now));
        let result = lookup(&index, block, &query.service, region, now)?;
        let name = |region: u16| Arc::clone(&index.regions()[usize::from(region)]);
        let reason = format!("{:?}", result.reason);
        let entry = |at: &u16| {
            let vm = &snapshot.vms[usize::from(*at)];
            Entry {
                vm: Arc::clone(&vm.name),
                domain: Arc::clone(&vm.domain),
                address: vm.caller,
                reason: format!("{:?}", vm.state).to_lowercase().into(),
            }
        };
        Ok(Explanation {
            block: settings::block::format(settings::Range { first: block, last: block }).into(),
            service: Arc::clone(&query.service),
            site: Arc::clone(&snapshot.deployment.sites[usize::from(site)].name),
            region: name(result.region),
            reason: format!("home region {}, {}", name(home), reason.to_lowercase()).into(),
            lease: snapshot.preset.lease_first,
            version: snapshot.version,
            plan: self.state().plan_summary(),
            entries: result.entries.as_slice().iter().map(entry).collect(),
        })
    }
}

/// The region that serves `block`, considering the part of the shift that every VM has completed.
fn serving_region(snapshot: &Snapshot, home: u16, block: u32, drained: Regions) -> u16 {
    let plan = &snapshot.plan;
    let block_position = position(block);
    let before = plan.from.iter().find(|segment| block_position < segment.until);
    let split = match before {
        Some(segment) if block_position >= plan.settled => &segment.split,
        _ => &plan.to,
    };
    if split.rows.len() != snapshot.deployment.regions.len() {
        return home;
    }
    split.region(home, block, drained).unwrap_or(home)
}

fn parse_block(text: &str) -> Result<u32, Refusal> {
    if let Ok(address) = text.parse::<Ipv4Addr>() {
        return Ok(address.to_bits() >> HOST_BITS);
    }
    let range = settings::block::parse(text);
    let range = range.map_err(|problem| Refusal::new(Kind::Malformed, problem))?;
    if range.first != range.last {
        return Err(Refusal::new(
            Kind::Malformed,
            format!("`{text}` covers several blocks; give one block or address"),
        ));
    }
    Ok(range.first)
}
