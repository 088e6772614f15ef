//! Ways to pass on news through the fleet.
//!
//! A push carries only what the sender has installed; the receiver fetches the content, so news
//! that arrives by several ways is fetched once. The ways are weighed in docs/CONFIGURATION.md.

use rand::RngExt;
use rand::rngs::SmallRng;
use std::sync::Arc;

/// Chooses whom a node tells after it has installed something new.
pub trait Dissemination: Send + Sync {
    /// The names to push to, out of `roster`, which is sorted and includes `me`.
    ///
    /// `origin` is the node from which the news set out.
    fn targets(&self, roster: &[Arc<str>], hop: Hop<'_>, random: &mut SmallRng) -> Vec<usize>;

    /// Whether a node fetches what a heartbeat shows to be newer than its own.
    fn pulls(&self) -> bool {
        true
    }
}

/// The node that passes news on, and the one from which they set out.
#[derive(Clone, Copy, Debug)]
pub struct Hop<'a> {
    /// The node that passes them on.
    pub me: &'a str,
    /// The node from which they set out.
    pub origin: &'a str,
}

/// Nobody is told; every node polls the table.
#[derive(Clone, Copy, Debug, Default)]
pub struct Polling;

impl Dissemination for Polling {
    fn targets(&self, _: &[Arc<str>], _: Hop<'_>, _: &mut SmallRng) -> Vec<usize> {
        Vec::new()
    }

    fn pulls(&self) -> bool {
        false
    }
}

/// The origin tells every node itself.
#[derive(Clone, Copy, Debug, Default)]
pub struct FullPush;

impl Dissemination for FullPush {
    fn targets(&self, roster: &[Arc<str>], hop: Hop<'_>, _: &mut SmallRng) -> Vec<usize> {
        if hop.me != hop.origin {
            return Vec::new();
        }
        (0..roster.len()).filter(|at| *roster[*at] != *hop.me).collect()
    }
}

/// Every node that installs news tells a few others, chosen at random.
#[derive(Clone, Copy, Debug)]
pub struct Fanout {
    /// How many others are told.
    pub width: usize,
}

impl Default for Fanout {
    fn default() -> Fanout {
        Fanout { width: 4 }
    }
}

impl Dissemination for Fanout {
    fn targets(&self, roster: &[Arc<str>], hop: Hop<'_>, random: &mut SmallRng) -> Vec<usize> {
        let mut others: Vec<usize> =
            (0..roster.len()).filter(|at| *roster[*at] != *hop.me).collect();
        let width = self.width.min(others.len());
        for at in 0..width {
            let other = random.random_range(at..others.len());
            others.swap(at, other);
        }
        others.truncate(width);
        others
    }
}

/// The nodes form a tree by their position in the roster, with the origin as its root.
#[derive(Clone, Copy, Debug)]
pub struct Tree {
    /// Children of each node.
    pub width: usize,
}

impl Default for Tree {
    fn default() -> Tree {
        Tree { width: 4 }
    }
}

impl Dissemination for Tree {
    fn targets(&self, roster: &[Arc<str>], hop: Hop<'_>, _: &mut SmallRng) -> Vec<usize> {
        let place = |name: &str| roster.binary_search_by(|other| (**other).cmp(name));
        let (Ok(me), Ok(root)) = (place(hop.me), place(hop.origin)) else { return Vec::new() };
        let count = roster.len();
        let rank = (me + count - root) % count;
        let children = (1..=self.width).map(|child| rank * self.width + child);
        children.filter(|rank| *rank < count).map(|rank| (rank + root) % count).collect()
    }
}
