use errors::{Error, Kind};
use settings::{Region, Service};
use std::sync::Arc;
use steering::{Index, Regions, Snapshot, State, Vm};

/// A snapshot with data derived from it on installation.
pub(crate) struct View {
    pub(crate) index: Index,
    /// The regions whose traffic other regions must serve.
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

    // A region is down if all of its entry VMs are suspected or none of its upstreams accepts new
    // work. For its own region a VM ignores suspicions: the view of one VM is too little evidence,
    // since its own `controld` may have failed.
    fn is_down(&self, region: u16, own: Option<u16>) -> bool {
        let snapshot = self.snapshot();
        let here = |domain: &str| self.region_of(domain) == Some(region);
        let vms = snapshot.vms.iter().filter(|vm| here(&vm.domain)).map(|vm| vm.state);
        let upstreams = snapshot.upstreams.iter().filter(|upstream| here(&upstream.domain));
        let upstreams = upstreams.map(|upstream| upstream.state);
        let unresponsive =
            own != Some(region) && all_non_empty(vms, |state| state == State::Suspect);
        unresponsive || all_non_empty(upstreams, |state| state != State::Live)
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
        let index = self.snapshot().deployment.regions.iter().position(holds)?;
        Some(index as u16)
    }

    /// The entry VM `name`, unless its incarnation is known to be another one.
    pub(crate) fn vm(&self, name: &str, incarnation: u64) -> Option<&Vm> {
        let vms = &self.snapshot().vms;
        let found = vms.iter().find(|vm| &*vm.name == name)?;
        (found.incarnation == 0 || found.incarnation == incarnation).then_some(found)
    }
}

/// Whether there is at least one state and `holds` is true of each.
fn all_non_empty<States, Holds>(mut states: States, holds: Holds) -> bool
where
    States: Iterator<Item = State> + Clone,
    Holds: Fn(State) -> bool,
{
    states.clone().next().is_some() && states.all(holds)
}
