use crate::Agent;
use crate::leadership::{Leadership, WriteOutcome};
use crate::state::{Installed, State};
use clock::Millis;
use peer::message::{Load, Record};
use rand::RngExt;
use settings::Region;
use std::sync::Arc;
use steering::planner::{Ack, Input, Report, next_plan};
use steering::{Plan, Stamp};

/// Time between two checks of whether the plan has to change.
const TICK_INTERVAL: Millis = Millis(1000);

/// The budget for receiving plans, in bytes per second and VM.
const PLAN_BYTES_PER_SECOND: u64 = 2000;

/// The region of a VM whose failure domain is unknown here or isn't in the deployment.
///
/// Such a VM gets a report too, because a VM without one counts as gone and loses its shares.
const UNKNOWN_REGION: u16 = u16::MAX;

/// The encoded size of a plan for each of its members, in bytes.
const BYTES_PER_MEMBER: u64 = 32;

impl Agent {
    /// Acquires the planner's lease whenever nobody holds it, and plans while this VM holds it.
    pub(crate) async fn run_planner(&self) {
        let mut term: Option<Leadership> = None;
        loop {
            let jitter = self.state().random.random_range(0..TICK_INTERVAL.0 / 4);
            self.settings.clock.sleep(TICK_INTERVAL + Millis(jitter)).await;
            term = match term {
                _ if !self.can_plan() => None,
                Some(term) => self.tick(term).await,
                None => self.acquire_lease().await,
            };
        }
    }

    /// Whether this VM may plan: it has a configuration, isn't leaving, and has read the platform's
    /// list. Without the list it would treat VMs that it doesn't know of as gone.
    fn can_plan(&self) -> bool {
        let state = self.state();
        let live = state.roster.own().vm.state == steering::State::Live;
        live && state.installed.is_some() && state.roster.has_listing()
    }

    /// Commits the next plan or renews the lease; returns `None` when the lease was lost.
    async fn tick(&self, mut term: Leadership) -> Option<Leadership> {
        let written = match self.next_plan(&term) {
            Some(plan) => self.commit_plan(&mut term, plan).await,
            None => self.renew(&mut term).await,
        };
        if written == WriteOutcome::Superseded {
            log::warn!(
                "lost the planner's lease of epoch {}: its row was changed; this VM stops planning",
                term.lease.value.epoch
            );
            return None;
        }
        Some(term)
    }

    fn next_plan(&self, term: &Leadership) -> Option<Plan> {
        let now = self.settings.clock.now();
        let mut state = self.state();
        let installed = state.installed.clone()?;
        let old = &term.plan.value;
        if now - term.planned_at < plan_interval(old) {
            return None;
        }
        for member in &old.members {
            state.roster.track_planned(&member.vm);
        }
        let reports = state.reports(&installed, old);
        let presets = &installed.declaration.presets;
        let preset = presets.iter().find(|preset| preset.name == installed.current.preset)?;
        let input = Input {
            version: installed.current.version,
            deployment: &installed.declaration.deployment,
            preset,
            drains: &installed.current.drains,
            reports: &reports,
            epoch: term.lease.value.epoch,
            now,
            plan_made_at: term.planned_at,
        };
        next_plan(old, &input)
    }
}

/// The least time between two plans, so that their bytes stay within each VM's budget.
fn plan_interval(plan: &Plan) -> Millis {
    Millis(plan.members.len() as u64 * BYTES_PER_MEMBER * 1000 / PLAN_BYTES_PER_SECOND)
}

impl State {
    /// What the planner knows about each VM, except those that are known to be gone.
    fn reports(&self, installed: &Installed, old: &Plan) -> Vec<Report> {
        let records = self.roster.records();
        let mut reports: Vec<Report> =
            records.iter().map(|record| self.report_of(record, installed)).collect();
        let unknown = old.members.iter().filter(|member| {
            self.roster.get(&member.vm).is_none() && !self.roster.is_removed(&member.vm)
        });
        reports.extend(unknown.map(|member| Report {
            vm: Arc::clone(&member.vm),
            region: UNKNOWN_REGION,
            state: steering::State::Suspect,
            ack: None,
            demand: steering::planner::Demand::default(),
        }));
        reports.sort_by(|one, other| one.vm.cmp(&other.vm));
        reports
    }

    fn report_of(&self, record: &Record, installed: &Installed) -> Report {
        let regions = &installed.declaration.deployment.regions;
        let at = regions.iter().position(|region| region.domains.contains(&record.vm.domain));
        let load = self.loads.get(&record.vm.name);
        Report {
            vm: Arc::clone(&record.vm.name),
            region: at.map_or(UNKNOWN_REGION, |at| at as u16),
            state: record.vm.state,
            ack: load.map(ack_of),
            demand: load.map(|load| demand_of(load, regions)).unwrap_or_default(),
        }
    }
}

fn ack_of(load: &Load) -> Ack {
    let stamp = Stamp { epoch: load.epoch, sequence: load.sequence };
    Ack { stamp, shift: load.shift, settled: load.settled }
}

/// The demand of `load` in the order of the deployment's `regions`.
fn demand_of(load: &Load, regions: &[Region]) -> steering::planner::Demand {
    let rate = |region: &Region| {
        let parts = load.demand.iter().filter(|part| part.region == region.name);
        parts.map(|part| part.rate.round() as u32).sum()
    };
    steering::planner::Demand { regions: regions.iter().map(rate).collect(), moving: load.moving }
}
