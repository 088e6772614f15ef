//! Classifies requests as short or long.
//!
//! The settings give a class for each service. The durations of past requests refine it for each
//! path prefix, so that one heavy page of a short service doesn't hold the slots that short
//! requests need. See docs/CHOICE.md.

use clock::Millis;
use settings::Class;
use std::collections::BTreeMap;
use std::sync::Arc;

/// A path prefix whose requests take at least this on average is long.
const LONG_FROM: Millis = Millis(500);
/// A path prefix whose requests take at most this on average is short; between the two thresholds
/// it keeps its class.
const SHORT_BELOW: Millis = Millis(250);
/// Requests of a path prefix that must be observed before they override the settings.
const SAMPLES_MIN: u32 = 3;
/// The weight of the latest request in the exponential moving average.
const SAMPLE_WEIGHT: f64 = 0.2;
/// Path prefixes observed for each service; further ones get the service's class, so that paths
/// invented by callers use bounded memory.
const PREFIXES_MAX: usize = 1024;

/// The classes of one service's requests.
#[derive(Clone, Debug)]
pub struct Classes {
    configured: Class,
    prefixes: BTreeMap<Arc<str>, Observed>,
}

/// What was observed of one path prefix.
#[derive(Clone, Copy, Debug)]
struct Observed {
    class: Class,
    /// The average duration in milliseconds.
    average: f64,
    samples: u32,
}

impl Classes {
    /// Creates the classes of a service whose class in the settings is `configured`.
    pub fn new(configured: Class) -> Classes {
        Classes { configured, prefixes: BTreeMap::new() }
    }

    /// Changes the service's class in the settings and keeps what was observed.
    pub fn set_configured(&mut self, configured: Class) {
        self.configured = configured;
    }

    /// The expected class of a request for `path`.
    pub fn class(&self, path: &str) -> Class {
        match self.prefixes.get(prefix(path)) {
            Some(observed) if observed.samples >= SAMPLES_MIN => observed.class,
            _ => self.configured,
        }
    }

    /// Records how long a request for `path` took, from sending to the last byte of the response.
    pub fn observe(&mut self, path: &str, duration: Millis) {
        let prefix = prefix(path);
        if !self.prefixes.contains_key(prefix) {
            if self.prefixes.len() >= PREFIXES_MAX {
                return;
            }
            let observed =
                Observed { class: self.configured, average: duration.0 as f64, samples: 0 };
            self.prefixes.insert(Arc::from(prefix), observed);
        }
        if let Some(observed) = self.prefixes.get_mut(prefix) {
            observed.add(duration);
        }
    }
}

impl Observed {
    /// Adds a duration to the average and updates the class.
    fn add(&mut self, duration: Millis) {
        self.average += SAMPLE_WEIGHT * (duration.0 as f64 - self.average);
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

/// The first segment of a path; later segments and the query often identify a single entity.
fn prefix(path: &str) -> &str {
    let path = path.split(['?', '#']).next().unwrap_or_default();
    let rest = path.strip_prefix('/').unwrap_or(path);
    rest.split('/').next().unwrap_or_default()
}
