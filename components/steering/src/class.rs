//! Whether a request is expected to be short or long.
//!
//! The settings give a class for each service; what requests of a path have taken refines it, so
//! that one heavy page of a short service doesn't hold the slots that short requests need. See
//! docs/CHOICE.md.

use clock::Millis;
use settings::Class;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Requests that take longer than this on average become long.
const LONG_FROM: Millis = Millis(500);
/// Long requests that take less than this on average become short again.
const SHORT_BELOW: Millis = Millis(250);
/// Requests of a path that must be seen before they outweigh the settings.
const SAMPLES_MIN: u32 = 3;
const SAMPLE_WEIGHT: f64 = 0.2;
/// Path prefixes remembered for each service; others get the service's class.
const PREFIXES_MAX: usize = 1024;

/// The classes of one service's requests.
#[derive(Clone, Debug)]
pub struct Classes {
    configured: Class,
    prefixes: BTreeMap<Arc<str>, Observed>,
}

#[derive(Clone, Copy, Debug)]
struct Observed {
    class: Class,
    average: f64,
    samples: u32,
}

impl Classes {
    /// The classes of a service that the settings call `configured`.
    pub fn new(configured: Class) -> Classes {
        Classes { configured, prefixes: BTreeMap::new() }
    }

    /// Changes the class that the settings give, keeping what was observed.
    pub fn set_configured(&mut self, configured: Class) {
        self.configured = configured;
    }

    /// The class of a request for `path`.
    pub fn class(&self, path: &str) -> Class {
        match self.prefixes.get(prefix(path)) {
            Some(observed) if observed.samples >= SAMPLES_MIN => observed.class,
            _ => self.configured,
        }
    }

    /// Notes how long a request for `path` held its upstream, from sending to the last byte.
    pub fn observe(&mut self, path: &str, held: Millis) {
        let prefix = prefix(path);
        if !self.prefixes.contains_key(prefix) {
            if self.prefixes.len() >= PREFIXES_MAX {
                return;
            }
            let fresh = Observed { class: self.configured, average: held.0 as f64, samples: 0 };
            self.prefixes.insert(Arc::from(prefix), fresh);
        }
        if let Some(observed) = self.prefixes.get_mut(prefix) {
            observed.add(held);
        }
    }
}

impl Observed {
    fn add(&mut self, held: Millis) {
        self.average += SAMPLE_WEIGHT * (held.0 as f64 - self.average);
        self.samples = self.samples.saturating_add(1);
        if self.samples < SAMPLES_MIN {
            return;
        }
        if self.average >= LONG_FROM.0 as f64 {
            self.class = Class::Long;
        } else if self.average <= SHORT_BELOW.0 as f64 {
            self.class = Class::Short;
        }
    }
}

/// The first segment of a path, without its query: what follows often names one entity.
fn prefix(path: &str) -> &str {
    let path = path.split(['?', '#']).next().unwrap_or_default();
    let rest = path.strip_prefix('/').unwrap_or(path);
    rest.split('/').next().unwrap_or_default()
}
