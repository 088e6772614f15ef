use crate::Agent;
use crate::commit::{Act, Change};
use crate::heartbeat::{Peer, peer_of};
use crate::setup::HEARTBEAT_TIMEOUT;
use crate::state::State;
use async_trait::async_trait;
use clock::Millis;
use errors::Kind;
use futures_util::future::join_all;
use operator::wire::{
    Accepted, Apply, CancelDrain, Current, Domain, Explain, Explanation, Outcome, Plan, PlanDrain,
    Status, UsePreset, Vm,
};
use operator::{Api, Refusal};
use peer::message::Ask;
use settings::Declaration;
use std::collections::BTreeMap;
use std::sync::Arc;

/// How long an operator's answer waits for acknowledgements of every failure domain.
const ACKNOWLEDGE: Millis = Millis(4000);

/// Time between two rounds in which acknowledgements are asked for.
const ACKNOWLEDGE_ROUND: Millis = Millis(250);

#[async_trait]
impl Api for Agent {
    async fn status(&self) -> Result<Status, Refusal> {
        let state = self.state();
        let current = state.installed.as_ref().map(|installed| &installed.current);
        let version = state.stamp().version;
        let vms = state.roster.records().into_iter().map(|record| Vm {
            version: state.version_at(&record.vm.name),
            name: record.vm.name,
            domain: record.vm.domain,
            state: record.vm.state,
        });
        Ok(Status {
            vm: self.name(),
            version,
            preset: current.map_or_else(|| "".into(), |current| Arc::clone(&current.preset)),
            drains: current.map_or_else(Vec::new, |current| current.drains.clone()),
            plan: state.plan_summary(),
            platform: state.platform_up,
            domains: state.domains_at(version),
            vms: vms.collect(),
        })
    }

    async fn current(&self) -> Result<Current, Refusal> {
        let installed = self.state().installed.clone();
        let installed = installed.ok_or_else(not_ready)?;
        let mut declaration: Declaration = installed.declaration.as_ref().clone();
        declaration.drains = installed.current.drains;
        let operation = installed.current.operations.last();
        Ok(Current {
            version: installed.current.version,
            operation: operation.map_or_else(|| "".into(), |last| Arc::clone(&last.id)),
            preset: installed.current.preset,
            declaration,
        })
    }

    async fn apply(&self, act: Apply) -> Result<Accepted, Refusal> {
        let declaration = settings::parse(&act.source).map_err(|findings| {
            let lines: Vec<String> = findings.iter().map(ToString::to_string).collect();
            Refusal::new(Kind::BadSettings, lines.join("\n"))
        })?;
        let change = Change::Apply(Box::new(declaration));
        self.accept(Act { operation: act.operation, expected: act.expected, change }).await
    }

    async fn use_preset(&self, act: UsePreset) -> Result<Accepted, Refusal> {
        let change = Change::UsePreset(act.preset);
        self.accept(Act { operation: act.operation, expected: act.expected, change }).await
    }

    async fn plan_drain(&self, act: PlanDrain) -> Result<Accepted, Refusal> {
        let change = Change::PlanDrain(act.drain);
        self.accept(Act { operation: act.operation, expected: act.expected, change }).await
    }

    async fn cancel_drain(&self, act: CancelDrain) -> Result<Accepted, Refusal> {
        let change = Change::CancelDrain(act.drain);
        self.accept(Act { operation: act.operation, expected: act.expected, change }).await
    }

    async fn explain(&self, query: Explain) -> Result<Explanation, Refusal> {
        self.explain_lookup(&query)
    }

    async fn outcome(&self, operation: Arc<str>) -> Result<Outcome, Refusal> {
        match self.find(&operation).await {
            Ok(Some(version)) => Ok(Outcome::Committed { version }),
            // A write that was lost on its way may still arrive, so absence proves nothing.
            Ok(None) | Err(_) => Ok(Outcome::Unknown),
        }
    }
}

impl Agent {
    async fn accept(&self, act: Act) -> Result<Accepted, Refusal> {
        let operation = Arc::clone(&act.operation);
        let version = self.commit(act).await?;
        let domains = self.acknowledged(version).await;
        Ok(Accepted { version, operation, domains })
    }

    /// Waits until a VM of each failure domain has installed `version`, or gives up.
    async fn acknowledged(&self, version: u64) -> Vec<Domain> {
        let clock = self.settings.clock;
        let deadline = clock.now() + ACKNOWLEDGE;
        loop {
            let domains = self.state().domains_at(version);
            let missing: Vec<Arc<str>> = domains
                .iter()
                .filter(|domain| domain.installed == 0)
                .map(|domain| Arc::clone(&domain.name))
                .collect();
            if missing.is_empty() || clock.now() >= deadline {
                return domains;
            }
            clock.sleep(ACKNOWLEDGE_ROUND).await;
            self.ask_domains(&missing).await;
        }
    }

    /// Asks one VM of each of `domains` what it has installed.
    async fn ask_domains(&self, domains: &[Arc<str>]) {
        let peers: Vec<Peer> = self.state().one_of_each(domains);
        // A VM that doesn't answer just leaves its domain unacknowledged.
        join_all(peers.iter().map(|peer| self.ask(peer, Ask::Heartbeat, HEARTBEAT_TIMEOUT))).await;
    }
}

impl State {
    fn version_at(&self, vm: &str) -> u64 {
        if *vm == *self.roster.own().vm.name {
            return self.stamp().version;
        }
        self.stamps.get(vm).map_or(0, |stamp| stamp.version)
    }

    /// For each failure domain, how many VMs are known to have `version` or a later one.
    fn domains_at(&self, version: u64) -> Vec<Domain> {
        let mut domains: BTreeMap<Arc<str>, Domain> = BTreeMap::new();
        for record in self.roster.records() {
            let name = Arc::clone(&record.vm.domain);
            let empty = Domain { name: Arc::clone(&name), installed: 0, vms: 0 };
            let domain = domains.entry(name).or_insert(empty);
            domain.vms += 1;
            domain.installed += u32::from(self.version_at(&record.vm.name) >= version);
        }
        domains.into_values().collect()
    }

    fn one_of_each(&mut self, domains: &[Arc<str>]) -> Vec<Peer> {
        let mut peers = Vec::new();
        for domain in domains {
            let others = self.roster.others().filter(|record| record.vm.domain == *domain);
            let others: Vec<Peer> = others.map(|record| peer_of(&record.vm)).collect();
            let chosen = rand::seq::IndexedRandom::choose(others.as_slice(), &mut self.random);
            peers.extend(chosen.cloned());
        }
        peers
    }

    pub(crate) fn plan_summary(&self) -> Plan {
        let progress = u64::from(self.plan.settled) * 100 / u64::from(steering::SHARE_SCALE);
        Plan { epoch: self.plan.epoch, sequence: self.plan.sequence, progress: progress as u32 }
    }
}

pub(crate) fn not_ready() -> Refusal {
    Refusal::new(Kind::NotReady, "no declaration was applied yet")
}
