use crate::{Finding, Kind, Place, Rule};
use std::sync::Arc;
use steering::account::Account;
use steering::routing::{Limits, Route, Service};

/// A decoded configuration that is not in force, with everything that could be read of it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Draft {
    /// The version; 0 if it couldn't be read.
    pub version: u64,
    /// The routes.
    pub routes: Vec<Entry<Route>>,
    /// The services.
    pub services: Vec<Entry<Service>>,
    /// The client accounts.
    pub accounts: Vec<Entry<Account>>,
    /// Limits on what callers may send, of which the last ones hold.
    pub limits: Vec<Entry<Limits>>,
    /// What was found while it was decoded.
    pub findings: Vec<Finding>,
}

/// An entry and where it stands.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry<Value> {
    /// The position in the file's list, from 0.
    pub position: usize,
    /// The entry.
    pub value: Value,
}

/// What a configuration consists of.
pub trait Item {
    /// Its kind.
    const KIND: Kind;

    /// Its name; empty if it has none.
    fn name(&self) -> Arc<str>;
}

impl Item for Route {
    const KIND: Kind = Kind::Route;

    fn name(&self) -> Arc<str> {
        Arc::clone(&self.name)
    }
}

impl Item for Service {
    const KIND: Kind = Kind::Service;

    fn name(&self) -> Arc<str> {
        Arc::clone(&self.name)
    }
}

impl Item for Account {
    const KIND: Kind = Kind::Account;

    fn name(&self) -> Arc<str> {
        Arc::clone(&self.name)
    }
}

impl Item for Limits {
    const KIND: Kind = Kind::Limits;

    fn name(&self) -> Arc<str> {
        Arc::default()
    }
}

impl<Value> Entry<Value>
where
    Value: Item,
{
    /// Where the entry stands.
    pub fn place(&self) -> Place {
        Place::of(Value::KIND, self.position, &self.value.name())
    }
}

impl Draft {
    /// Whether all entries of `kind` could be read.
    pub fn is_complete(&self, kind: Kind) -> bool {
        !self.unreadable().any(|place| place.kind.is_none_or(|each| each == kind))
    }

    /// Where entries are that couldn't be read.
    pub fn unreadable(&self) -> impl Iterator<Item = &Place> {
        let findings = self.findings.iter().filter(|finding| finding.rule == Rule::Unreadable);
        findings.map(|finding| &finding.place)
    }
}
