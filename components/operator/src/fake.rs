//! An in-memory control process, for tests of the interface and of the command line.

use crate::Api;
use crate::wire::{
    Accepted, Apply, CancelDrain, Current, Domain, Entry, Explain, Explanation, Outcome, Plan,
    PlanDrain, Refusal, Status, UsePreset, Vm, Winner,
};
use async_trait::async_trait;
use clock::Millis;
use errors::Kind;
use settings::{Declaration, ORDINARY, block};
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard};

const VM: &str = "e1";
const CALLER_ADDRESS: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 7100);

/// A control process that keeps its configuration in memory.
#[derive(Default)]
pub struct Control {
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    current: Option<Current>,
    operations: BTreeMap<Arc<str>, u64>,
    drop_next: bool,
    /// The operation of a concurrent change, which is committed before the next change.
    race: Option<Arc<str>>,
}

impl Control {
    /// Commits the next change and drops its response.
    pub fn drop_next_response(&self) {
        self.state().drop_next = true;
    }

    /// Commits another operator's change `operation` between the next change's read and its commit.
    pub fn race_next_change(&self, operation: &str) {
        self.state().race = Some(operation.into());
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    fn commit_change<Edit>(
        &self,
        expected: u64,
        operation: Arc<str>,
        edit: Edit,
    ) -> Result<Accepted, Refusal>
    where
        Edit: FnOnce(&mut Declaration, &mut Arc<str>) -> Result<(), Refusal>,
    {
        let mut state = self.state();
        if let Some(version) = state.operations.get(&operation) {
            return Ok(accepted(*version, operation));
        }
        state.commit_race();
        let (mut declaration, mut preset) = match &state.current {
            Some(current) => (current.declaration.clone(), Arc::clone(&current.preset)),
            None => (empty(), ORDINARY.into()),
        };
        state.check_version(expected)?;
        edit(&mut declaration, &mut preset)?;
        let version = state.commit(Arc::clone(&operation), declaration, preset);
        if std::mem::take(&mut state.drop_next) {
            return Err(Refusal::unknown(operation, "the platform's answer was lost"));
        }
        Ok(accepted(version, operation))
    }
}

impl State {
    fn version(&self) -> u64 {
        self.current.as_ref().map_or(0, |current| current.version)
    }

    fn commit_race(&mut self) {
        if let (Some(operation), Some(current)) = (self.race.take(), self.current.clone()) {
            self.commit(operation, current.declaration, current.preset);
        }
    }

    fn check_version(&self, expected: u64) -> Result<(), Refusal> {
        match &self.current {
            Some(current) if current.version != expected => Err(Refusal::conflict(Winner {
                version: current.version,
                operation: Arc::clone(&current.operation),
            })),
            _ => Ok(()),
        }
    }

    fn commit(&mut self, operation: Arc<str>, declaration: Declaration, preset: Arc<str>) -> u64 {
        let version = self.version() + 1;
        self.operations.insert(Arc::clone(&operation), version);
        self.current = Some(Current { version, operation, preset, declaration });
        version
    }
}

#[async_trait]
impl Api for Control {
    async fn status(&self) -> Result<Status, Refusal> {
        let state = self.state();
        let version = state.version();
        let (preset, drains) = match &state.current {
            Some(current) => (Arc::clone(&current.preset), current.declaration.drains.clone()),
            None => ("".into(), Vec::new()),
        };
        let vm = Vm { name: VM.into(), domain: "d1".into(), state: steering::State::Live, version };
        Ok(Status {
            vm: VM.into(),
            version,
            preset,
            drains,
            plan: Plan { epoch: 1, sequence: version, progress: 100 },
            platform: true,
            domains: domains(),
            vms: vec![vm],
        })
    }

    async fn current(&self) -> Result<Current, Refusal> {
        let current = self.state().current.clone();
        current.ok_or_else(|| Refusal::new(Kind::NotReady, "no declaration was applied yet"))
    }

    async fn apply(&self, change: Apply) -> Result<Accepted, Refusal> {
        let parsed = settings::parse(&change.source).map_err(|found| {
            Refusal::new(Kind::BadSettings, format!("the declaration has {} findings", found.len()))
        })?;
        self.commit_change(change.expected, change.operation, |declaration, preset| {
            if !parsed.presets.iter().any(|each| each.name == *preset) {
                *preset = ORDINARY.into();
            }
            *declaration = parsed;
            Ok(())
        })
    }

    async fn use_preset(&self, change: UsePreset) -> Result<Accepted, Refusal> {
        self.commit_change(change.expected, change.operation, |declaration, preset| {
            if !declaration.presets.iter().any(|each| each.name == change.preset) {
                let context = format!("preset `{}` is unknown", change.preset);
                return Err(Refusal::new(Kind::BadSettings, context));
            }
            *preset = change.preset;
            Ok(())
        })
    }

    async fn plan_drain(&self, change: PlanDrain) -> Result<Accepted, Refusal> {
        self.commit_change(change.expected, change.operation, |declaration, _| {
            declaration.drains.push(change.drain);
            Ok(())
        })
    }

    async fn cancel_drain(&self, change: CancelDrain) -> Result<Accepted, Refusal> {
        self.commit_change(change.expected, change.operation, |declaration, _| {
            declaration.drains.retain(|drain| drain.name != change.drain);
            Ok(())
        })
    }

    async fn explain(&self, query: Explain) -> Result<Explanation, Refusal> {
        let range =
            block::parse(&query.block).map_err(|problem| Refusal::new(Kind::Malformed, problem))?;
        let current = self.current().await?;
        let deployment = &current.declaration.deployment;
        let holds = |site: &&settings::Site| {
            site.blocks.iter().any(|each| (each.first..=each.last).contains(&range.first))
        };
        let site = deployment.sites.iter().find(holds);
        let site = site.ok_or_else(|| Refusal::new(Kind::UnknownBlock, "no site holds it"))?;
        let entry = Entry {
            vm: VM.into(),
            domain: "d1".into(),
            address: CALLER_ADDRESS,
            reason: "highest rendezvous weight".into(),
        };
        Ok(Explanation {
            block: query.block,
            service: query.service,
            site: Arc::clone(&site.name),
            region: Arc::clone(&site.region),
            reason: "nearest region within its share".into(),
            lease: Millis::from_secs(30),
            version: current.version,
            plan: Plan { epoch: 1, sequence: current.version, progress: 100 },
            entries: vec![entry],
        })
    }

    async fn outcome(&self, operation: Arc<str>) -> Result<Outcome, Refusal> {
        let version = self.state().operations.get(&operation).copied();
        Ok(version.map_or(Outcome::NotRun, |version| Outcome::Committed { version }))
    }
}

fn accepted(version: u64, operation: Arc<str>) -> Accepted {
    Accepted { version, operation, domains: domains() }
}

fn domains() -> Vec<Domain> {
    vec![Domain { name: "d1".into(), installed: 1, vms: 1 }]
}

fn empty() -> Declaration {
    Declaration {
        deployment: settings::Deployment {
            name: "".into(),
            store_region: "".into(),
            domain_delay: Millis::ZERO,
            entries: 0,
            regions: Vec::new(),
            links: Vec::new(),
            sites: Vec::new(),
            services: Vec::new(),
        },
        presets: Vec::new(),
        drains: Vec::new(),
    }
}
