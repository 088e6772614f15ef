//! Strategies for disseminating configurations and plans through the fleet.
//!
//! A push carries only the versions that the sender has installed; the receiver fetches the
//! content, so an update that is pushed by several peers is fetched once. docs/CONFIGURATION.md
//! compares the strategies.

use rand::RngExt;
use rand::rngs::SmallRng;
use std::sync::Arc;

/// Chooses the peers to which a VM pushes an update that it has installed.
pub trait Dissemination: Send + Sync {
    /// The positions in `roster` of the VMs to push to; `roster` is sorted and includes the sender.
    fn targets(&self, roster: &[Arc<str>], push: Push<'_>, random: &mut SmallRng) -> Vec<usize>;

    /// Whether a VM also fetches updates that it learns of from heartbeats.
    fn pulls(&self) -> bool {
        true
    }
}

/// One VM's push of an update to others.
#[derive(Clone, Copy, Debug)]
pub struct Push<'a> {
    /// The VM that pushes.
    pub sender: &'a str,
    /// The VM where the update originated.
    pub origin: &'a str,
}

/// No pushes; every VM polls the table.
#[derive(Clone, Copy, Debug, Default)]
pub struct Polling;

impl Dissemination for Polling {
    fn targets(&self, _: &[Arc<str>], _: Push<'_>, _: &mut SmallRng) -> Vec<usize> {
        Vec::new()
    }

    fn pulls(&self) -> bool {
        false
    }
}

/// The origin pushes to every other VM itself.
#[derive(Clone, Copy, Debug, Default)]
pub struct FullPush;

impl Dissemination for FullPush {
    fn targets(&self, roster: &[Arc<str>], push: Push<'_>, _: &mut SmallRng) -> Vec<usize> {
        if push.sender != push.origin {
            return Vec::new();
        }
        (0..roster.len()).filter(|at| *roster[*at] != *push.sender).collect()
    }
}

/// Every VM that installs an update pushes it to a few others, chosen at random.
#[derive(Clone, Copy, Debug)]
pub struct Fanout {
    /// How many VMs each VM pushes to.
    pub width: usize,
}

impl Default for Fanout {
    fn default() -> Fanout {
        Fanout { width: 4 }
    }
}

impl Dissemination for Fanout {
    fn targets(&self, roster: &[Arc<str>], push: Push<'_>, random: &mut SmallRng) -> Vec<usize> {
        let mut peers: Vec<usize> =
            (0..roster.len()).filter(|at| *roster[*at] != *push.sender).collect();
        let width = self.width.min(peers.len());
        for at in 0..width {
            let other = random.random_range(at..peers.len());
            peers.swap(at, other);
        }
        peers.truncate(width);
        peers
    }
}

/// The VMs form a tree by their position in the roster, with the origin as its root.
#[derive(Clone, Copy, Debug)]
pub struct Tree {
    /// Children of each VM.
    pub width: usize,
}

impl Default for Tree {
    fn default() -> Tree {
        Tree { width: 4 }
    }
}

impl Dissemination for Tree {
    fn targets(&self, roster: &[Arc<str>], push: Push<'_>, _: &mut SmallRng) -> Vec<usize> {
        let position = |name: &str| roster.binary_search_by(|other| (**other).cmp(name));
        let (Ok(sender), Ok(root)) = (position(push.sender), position(push.origin)) else {
            return Vec::new();
        };
        let count = roster.len();
        let rank = (sender + count - root) % count;
        let children = (1..=self.width).map(|child| rank * self.width + child);
        children.filter(|rank| *rank < count).map(|rank| (rank + root) % count).collect()
    }
}
