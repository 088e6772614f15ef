use crate::Agent;
use crate::commit::{Change, ChangeRequest};
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
use peer::message::Request;
use settings::Declaration;
use std::collections::BTreeMap;
use std::sync::Arc;

/// How long an operator's request waits for acknowledgements from every failure domain.
const ACK_TIMEOUT: Millis = Millis(4000);

/// Time between two rounds of queries for acknowledgements.
const ACK_POLL_INTERVAL: Millis = Millis(250);

#[async_trait]
impl Api for Agent {
    async fn status(&self) -> Result<Status, Refusal> {
        let state = self.state();
        let current = state.installed.as_ref().map(|installed| &installed.current);
        let version = state.stamp().version;
        let vms = state.roster.records().into_iter().map(|record| Vm {
            version: state.installed_version(&record.vm.name),
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

    async fn apply(&self, request: Apply) -> Result<Accepted, Refusal> {
        let declaration = settings::parse(&request.source).map_err(|findings| {
            let lines: Vec<String> = findings.iter().map(ToString::to_string).collect();
            Refusal::new(Kind::BadSettings, lines.join("\n"))
        })?;
        let change = Change::Apply(Box::new(declaration));
        self.accept(ChangeRequest {
            operation: request.operation,
            expected: request.expected,
            change,
        })
        .await
    }

    async fn use_preset(&self, request: UsePreset) -> Result<Accepted, Refusal> {
        let change = Change::UsePreset(request.preset);
        self.accept(ChangeRequest {
            operation: request.operation,
            expected: request.expected,
            change,
        })
        .await
    }

    async fn plan_drain(&self, request: PlanDrain) -> Result<Accepted, Refusal> {
        let change = Change::PlanDrain(request.drain);
        self.accept(ChangeRequest {
            operation: request.operation,
            expected: request.expected,
            change,
        })
        .await
    }

    async fn cancel_drain(&self, request: CancelDrain) -> Result<Accepted, Refusal> {
        let change = Change::CancelDrain(request.drain);
        self.accept(ChangeRequest {
            operation: request.operation,
            expected: request.expected,
            change,
        })
        .await
    }

    async fn explain(&self, query: Explain) -> Result<Explanation, Refusal> {
        self.explain_lookup(&query)
    }

    async fn outcome(&self, operation: Arc<str>) -> Result<Outcome, Refusal> {
        match self.find_operation(&operation).await {
            Ok(Some(version)) => Ok(Outcome::Committed { version }),
            // A delayed write may still arrive, so the absence of a record proves nothing.
            Ok(None) | Err(_) => Ok(Outcome::Unknown),
        }
    }
}

impl Agent {
    /// Commits a change and waits for acknowledgements.
    async fn accept(&self, request: ChangeRequest) -> Result<Accepted, Refusal> {
        let operation = Arc::clone(&request.operation);
        let version = self.commit(request).await?;
        let domains = self.wait_for_acks(version).await;
        Ok(Accepted { version, operation, domains })
    }

    /// Waits until a VM in each failure domain has installed `version`, or until the time-out, and
    /// returns the state of each domain.
    async fn wait_for_acks(&self, version: u64) -> Vec<Domain> {
        let clock = self.settings.clock;
        let deadline = clock.now() + ACK_TIMEOUT;
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
            clock.sleep(ACK_POLL_INTERVAL).await;
            self.poll_domains(&missing).await;
        }
    }

    /// Queries the installed versions of one random VM in each of `domains`.
    async fn poll_domains(&self, domains: &[Arc<str>]) {
        let peers: Vec<Peer> = self.state().random_peer_per_domain(domains);
        // A VM that doesn't reply leaves its domain unacknowledged until the next round.
        join_all(
            peers.iter().map(|peer| self.request(peer, Request::Heartbeat, HEARTBEAT_TIMEOUT)),
        )
        .await;
    }
}

impl State {
    /// The configuration version that `vm` has installed as far as known; zero for none.
    fn installed_version(&self, vm: &str) -> u64 {
        if *vm == *self.roster.own().vm.name {
            return self.stamp().version;
        }
        self.stamps.get(vm).map_or(0, |stamp| stamp.version)
    }

    /// For each failure domain, how many VMs have reported `version` or a later one as installed.
    fn domains_at(&self, version: u64) -> Vec<Domain> {
        let mut domains: BTreeMap<Arc<str>, Domain> = BTreeMap::new();
        for record in self.roster.records() {
            let name = Arc::clone(&record.vm.domain);
            let empty = Domain { name: Arc::clone(&name), installed: 0, vms: 0 };
            let domain = domains.entry(name).or_insert(empty);
            domain.vms += 1;
            domain.installed += u32::from(self.installed_version(&record.vm.name) >= version);
        }
        domains.into_values().collect()
    }

    /// One random peer in each of `domains` that has any.
    fn random_peer_per_domain(&mut self, domains: &[Arc<str>]) -> Vec<Peer> {
        let mut peers = Vec::new();
        for domain in domains {
            let records = self.roster.peers().filter(|record| record.vm.domain == *domain);
            let candidates: Vec<Peer> = records.map(|record| peer_of(&record.vm)).collect();
            let chosen = rand::seq::IndexedRandom::choose(candidates.as_slice(), &mut self.random);
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
