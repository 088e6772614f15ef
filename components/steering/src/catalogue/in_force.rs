//! The configuration in force, which only moves forward by its version.

use super::{Batch, Change, Content, Event, Feed, Position};
use crate::routing::Configuration;
use std::sync::Arc;

/// The configuration in force.
#[derive(Debug)]
pub struct InForce {
    pub configuration: Arc<Configuration>,
    /// The key of its row.
    key: Arc<str>,
    /// The position of the change that brought it.
    position: Position,
}

impl InForce {
    /// Puts a configuration of the batch in force, whatever the era of the batch is: an older copy
    /// of the store only has older versions. Of two with the same version the later one counts.
    pub fn adopt(known: &mut Option<InForce>, batch: &Batch) -> Option<Event> {
        let mut event = None;
        for change in batch.changes.iter().filter(|_| batch.feed == Feed::Operators) {
            let Content::Configuration(configuration) = &change.content else {
                continue;
            };
            let position = Position { era: batch.era, revision: change.revision };
            let before = known.as_ref();
            if before.is_some_and(|before| !before.is_replaced_by(configuration, position)) {
                continue;
            }
            let regions_changed =
                before.map_or(0, |before| configuration.regions_changed(&before.configuration));
            event = Some(Event::Configured {
                version: configuration.version,
                routes: configuration.routes.len(),
                regions_changed,
            });
            *known = Some(InForce {
                configuration: Arc::clone(configuration),
                key: Arc::clone(&change.key),
                position,
            });
        }
        event
    }

    fn is_replaced_by(&self, other: &Configuration, position: Position) -> bool {
        other.version > self.configuration.version
            || other.version == self.configuration.version
                && position > self.position
                && *other != *self.configuration
    }

    /// Puts the configuration in place of an older version or an unreadable row among rows for a
    /// peer, or adds it to a full listing without one.
    pub fn insert_into(&self, changes: &mut Vec<Change>, full: bool) {
        let content = Content::Configuration(Arc::clone(&self.configuration));
        match changes.iter_mut().find(|change| change.key == self.key) {
            Some(change) => {
                let is_replaced = match &change.content {
                    Content::Configuration(listed) => listed.version < self.configuration.version,
                    Content::Unreadable(_) => true,
                    _ => false,
                };
                if is_replaced {
                    change.content = content;
                }
            }
            None if full => {
                changes.push(Change { key: Arc::clone(&self.key), revision: 0, content })
            }
            None => {}
        }
    }
}
