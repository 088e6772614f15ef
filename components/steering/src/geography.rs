use clock::Millis;
use settings::{Deployment, Region};

/// The one-way network delay between two regions; [`Millis::MAX`] if no link joins them.
pub fn delay(deployment: &Deployment, one: &str, other: &str) -> Millis {
    if one == other {
        return Millis::ZERO;
    }
    let mut links = deployment.links.iter();
    let link = links.find(|link| {
        (&*link.from == one && &*link.to == other) || (&*link.from == other && &*link.to == one)
    });
    link.map_or(Millis::MAX, |link| link.delay)
}

/// The region that contains the failure domain `domain`; `None` if the deployment has no such
/// domain.
pub fn region_of<'a>(deployment: &'a Deployment, domain: &str) -> Option<&'a Region> {
    let mut regions = deployment.regions.iter();
    regions.find(|region| region.domains.iter().any(|name| &**name == domain))
}
