/// A set of regions, by their number in the deployment's order.
///
/// It can hold regions 0 to 63; a deployment has at most that many.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Regions(u64);

impl Regions {
    /// The empty set.
    pub const NONE: Regions = Regions(0);

    /// The set with `region` added.
    pub const fn with(self, region: u16) -> Regions {
        Regions(self.0 | bit(region))
    }

    /// The regions in either set.
    pub const fn union(self, other: Regions) -> Regions {
        Regions(self.0 | other.0)
    }

    /// Whether every region of `other` is in the set.
    pub const fn includes(self, other: Regions) -> bool {
        self.0 & other.0 == other.0
    }

    /// Whether `region` is in the set.
    pub const fn contains(self, region: u16) -> bool {
        self.0 & bit(region) != 0
    }
}

const fn bit(region: u16) -> u64 {
    1 << (region % u64::BITS as u16)
}
