use clock::Millis;
use settings::{Deployment, Region};

/// The one-way delay between two regions; [`Millis::MAX`] if no link joins them.
pub fn delay(deployment: &Deployment, one: &str, other: &str) -> Millis {
    if one == other {
        return Millis::ZERO;
    }
    let mut links = deployment.links.iter();
    let joins = links.find(|link| {
        (&*link.from == one && &*link.to == other) || (&*link.from == other && &*link.to == one)
    });
    joins.map_or(Millis::MAX, |link| link.delay)
}

/// The region that has the failure domain `domain`.
pub fn region_of<'a>(deployment: &'a Deployment, domain: &str) -> Option<&'a Region> {
    let mut regions = deployment.regions.iter();
    regions.find(|region| region.domains.iter().any(|name| &**name == domain))
}
