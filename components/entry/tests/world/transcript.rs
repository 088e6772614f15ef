use crate::world::START;
use clock::Millis;
use std::collections::BTreeSet;
use std::sync::{Arc, Mutex};

const NOT_RUN: &str = " not_run ";

/// The events of a session, in the order in which they happened.
#[derive(Clone, Default)]
pub struct Transcript(Arc<Mutex<Vec<String>>>);

impl Transcript {
    pub fn record(&self, at: Millis, line: &str) {
        self.0.lock().expect("no panic while locked").push(format!("{}: {line}", at - START));
    }

    pub fn lines(&self) -> Vec<String> {
        self.0.lock().expect("no panic while locked").clone()
    }

    /// The requests that were refused as not run.
    pub fn not_run(&self) -> BTreeSet<String> {
        let name = |line: &String| line.split(' ').nth(2).unwrap_or_default().to_string();
        self.lines().iter().filter(|line| line.contains(NOT_RUN)).map(name).collect()
    }
}
