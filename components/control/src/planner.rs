use crate::Agent;
use crate::state::{Installed, State};
use crate::tenure::{Tenure, Written};
use clock::Millis;
use peer::message::{Load, Record};
use rand::RngExt;
use settings::Region;
use std::sync::Arc;
use steering::planner::{Ack, Input, Report, next_plan};
use steering::{Plan, Stamp};

/// Time between two looks at whether the plan has to change.
const TICK: Millis = Millis(1000);

/// Bytes a second that plans may cost each node.
const PLAN_BYTES_PER_SECOND: u64 = 2000;

/// The region of a VM whose failure domain is unknown here or isn't in the deployment.
///
/// It is reported all the same, because a VM without a report counts as gone and loses its shares.
const UNKNOWN_REGION: u16 = u16::MAX;

/// Bytes of a plan for each of its members, encoded.
const MEMBER_BYTES: u64 = 32;

impl Agent {
    /// Holds the planner's lease whenever nobody else does, and plans meanwhile.
    pub(crate) async fn plan(&self) {
        let mut tenure: Option<Tenure> = None;
        loop {
            let jitter = self.state().random.random_range(0..TICK.0 / 4);
            self.settings.clock.sleep(TICK + Millis(jitter)).await;
            tenure = match tenure {
                _ if !self.may_plan() => None,
                Some(tenure) => self.serve(tenure).await,
                None => self.take_over().await,
            };
        }
    }

    /// A VM that leaves, or that never read the platform's list, isn't fit to plan: it would take
    /// the VMs that it doesn't know of for gone.
    fn may_plan(&self) -> bool {
        let state = self.state();
        let live = state.roster.own().vm.state == steering::State::Live;
        live && state.installed.is_some() && state.roster.has_listing()
    }

    /// One tick of the holder; returns `None` when it has lost the lease.
    async fn serve(&self, mut tenure: Tenure) -> Option<Tenure> {
        let written = match self.next_plan(&tenure) {
            Some(plan) => self.commit_plan(&mut tenure, plan).await,
            None => self.renew(&mut tenure).await,
        };
        if written == Written::Superseded {
            log::warn!("lost the planner's lease of epoch {}", tenure.lease.value.epoch);
            return None;
        }
        Some(tenure)
    }

    fn next_plan(&self, tenure: &Tenure) -> Option<Plan> {
        let now = self.settings.clock.now();
        let mut state = self.state();
        let installed = state.installed.clone()?;
        let old = &tenure.plan.value;
        if now - tenure.planned < plan_period(old) {
            return None;
        }
        for member in &old.members {
            state.roster.expect(&member.vm);
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
            epoch: tenure.lease.value.epoch,
            now,
            plan_made_at: tenure.planned,
        };
        next_plan(old, &input)
    }
}

/// The least time between two plans, so that their bytes stay within a node's budget.
fn plan_period(plan: &Plan) -> Millis {
    Millis(plan.members.len() as u64 * MEMBER_BYTES * 1000 / PLAN_BYTES_PER_SECOND)
}

impl State {
    /// What the planner knows of each VM that isn't proved gone.
    fn reports(&self, installed: &Installed, old: &Plan) -> Vec<Report> {
        let records = self.roster.records();
        let mut reports: Vec<Report> =
            records.iter().map(|record| self.report_of(record, installed)).collect();
        let silent = old.members.iter().filter(|member| {
            self.roster.get(&member.vm).is_none() && !self.roster.is_gone(&member.vm)
        });
        reports.extend(silent.map(|member| Report {
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
