use errors::{Error, Kind};
use settings::{Region, Service};
use std::sync::Arc;
use steering::{Index, Regions, Snapshot, State, Vm};

/// A snapshot with what is worked out from it once.
pub(crate) struct View {
    pub(crate) index: Index,
    /// Regions whose traffic has to be served elsewhere.
    pub(crate) down: Regions,
}

impl View {
    /// The view of a VM in the failure domain `domain`.
    pub(crate) fn new(snapshot: Arc<Snapshot>, domain: &str) -> View {
        let mut view = View { index: Index::new(snapshot), down: Regions::NONE };
        let own = view.region_of(domain);
        let count = view.index.regions().len() as u16;
        let down = (0..count).filter(|region| view.is_down(*region, own));
        view.down = down.fold(Regions::NONE, Regions::with);
        view
    }

    // A region is taken for lost if none of its entry VMs answers, or none of its upstreams takes
    // new work. One VM is too few to tell: it may be its own control process that is dead.
    fn is_down(&self, region: u16, own: Option<u16>) -> bool {
        let snapshot = self.snapshot();
        let here = |domain: &str| self.region_of(domain) == Some(region);
        let vms = snapshot.vms.iter().filter(|vm| here(&vm.domain)).map(|vm| vm.state);
        let upstreams = snapshot.upstreams.iter().filter(|upstream| here(&upstream.domain));
        let upstreams = upstreams.map(|upstream| upstream.state);
        let silent = own != Some(region) && all(vms, |state| state == State::Suspect);
        silent || all(upstreams, |state| state != State::Live)
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

/// Whether there are any states and each of them is as `holds` says.
fn all<States, Holds>(mut states: States, holds: Holds) -> bool
where
    States: Iterator<Item = State> + Clone,
    Holds: Fn(State) -> bool,
{
    states.clone().next().is_some() && states.all(holds)
}
