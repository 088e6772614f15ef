use errors::{Error, Kind};
use settings::{Region, Service};
use std::sync::Arc;
use steering::{Index, Snapshot, Vm};

/// A snapshot with what is worked out from it once.
pub(crate) struct View {
    pub(crate) index: Index,
}

impl View {
    pub(crate) fn new(snapshot: Arc<Snapshot>) -> View {
        View { index: Index::new(snapshot) }
    }

    pub(crate) fn snapshot(&self) -> &Snapshot {
        self.index.snapshot()
    }

    pub(crate) fn service(&self, name: &str) -> Result<&Service, Error> {
        let services = &self.snapshot().deployment.services;
        let found = services.iter().find(|service| &*service.name == name);
        found.ok_or_else(|| Error::new(Kind::UnknownService, format!("no service {name}")))
    }

    /// The number of the region nearest to the site that holds `block`.
    pub(crate) fn home(&self, block: u32) -> Result<u16, Error> {
        let site = self.index.site(block).ok_or_else(|| {
            let block = caller::format_block(block);
            Error::new(Kind::UnknownBlock, format!("no site holds {block}"))
        })?;
        Ok(self.index.home(site))
    }

    /// The number of the region that holds the failure domain `domain`.
    pub(crate) fn region_of(&self, domain: &str) -> Option<u16> {
        let holds = |region: &Region| region.domains.iter().any(|name| &**name == domain);
        let at = self.snapshot().deployment.regions.iter().position(holds)?;
        Some(at as u16)
    }

    /// The entry VM `name` in exactly this incarnation, unless it is known to be gone.
    pub(crate) fn vm(&self, name: &str, incarnation: u64) -> Option<&Vm> {
        let vms = &self.snapshot().vms;
        let found = vms.iter().find(|vm| &*vm.name == name)?;
        (found.incarnation == 0 || found.incarnation == incarnation).then_some(found)
    }
}
