use errors::{Error, Kind};
use settings::Service;
use std::sync::Arc;
use steering::{Snapshot, State, Vm};

/// A snapshot with what is worked out from it once.
pub(crate) struct View {
    pub(crate) snapshot: Arc<Snapshot>,
}

impl View {
    pub(crate) fn new(snapshot: Arc<Snapshot>) -> View {
        View { snapshot }
    }

    pub(crate) fn service(&self, name: &str) -> Result<&Service, Error> {
        let services = &self.snapshot.deployment.services;
        let found = services.iter().find(|service| &*service.name == name);
        found.ok_or_else(|| Error::new(Kind::UnknownService, format!("no service {name}")))
    }

    /// The site's region for `block`.
    pub(crate) fn check_block(&self, block: u32) -> Result<(), Error> {
        let sites = &self.snapshot.deployment.sites;
        let mut ranges = sites.iter().flat_map(|site| &site.blocks);
        if ranges.any(|range| (range.first..=range.last).contains(&block)) {
            return Ok(());
        }
        Err(Error::new(
            Kind::UnknownBlock,
            format!("no site holds {}", caller::format_block(block)),
        ))
    }

    /// The region that holds the failure domain `domain`.
    pub(crate) fn region(&self, domain: &str) -> Option<usize> {
        let holds = |region: &settings::Region| region.domains.iter().any(|d| &**d == domain);
        self.snapshot.deployment.regions.iter().position(holds)
    }

    /// The entry VM `name` in exactly this incarnation, unless it is known to be gone.
    pub(crate) fn vm(&self, name: &str, incarnation: u64) -> Option<&Vm> {
        let found = self.snapshot.vms.iter().find(|vm| &*vm.name == name)?;
        (found.incarnation == 0 || found.incarnation == incarnation).then_some(found)
    }

    /// Entry VMs that take new work.
    pub(crate) fn live(&self) -> impl Iterator<Item = &Vm> {
        self.snapshot.vms.iter().filter(|vm| vm.state == State::Live)
    }
}
