//! Which VM is the coordinator: a row of the store that it confirms every few seconds.

use super::{Leader, exchange, limits, rank, refresh};
use crate::core::Core;
use crate::ledger::{Entry, Ledger, Written};
use clock::Millis;
use errors::{Error, Kind};
use std::collections::BTreeSet;
use std::rc::Rc;
use std::sync::Arc;
use steering::cap::{Duty, Phase, Row, Term};
use tokio::net::UdpSocket;

/// How often it is checked whether there is anything to do.
const CHECK_INTERVAL: Millis = Millis(100);
/// Least time between two calls of this VM to the store.
const CALL_INTERVAL: Millis = Millis(1_000);
/// Least time between two rounds of announcements.
const ANNOUNCE_INTERVAL: Millis = Millis(200);
/// Time from the start of the process until it may become the coordinator without knowing the
/// others.
const ALONE_AFTER: Millis = Millis::from_secs(5);
/// A coordinator that has answered no report for this time does not act.
const UNANSWERED_SPAN: Millis = Millis(1_500);
/// Attempts to become the coordinator while others write the row as well.
const MAX_CLAIMS: usize = 3;

/// Reads the row when the process starts, confirms it while this VM is the coordinator, and takes
/// over from one that is dead, until the process ends.
pub async fn keep_term(core: Rc<Core>, mut ledger: Box<dyn Ledger>, socket: Rc<UdpSocket>) {
    let (mut last_call, mut last_announcement) = (Millis::ZERO, Millis::ZERO);
    let mut has_read = false;
    let mut phase = None;
    loop {
        core.clock.sleep(CHECK_INTERVAL).await;
        refresh(&core);
        report_phase(&core, &mut phase);
        let now = core.clock.now();
        if now >= last_announcement + ANNOUNCE_INTERVAL {
            last_announcement = now;
            exchange::announce(&core, &socket).await;
            if core.is_stopping() {
                exchange::resign(&core, &socket).await;
            }
        }
        if !core.caps.holder.borrow().has_limits() || now < last_call + CALL_INTERVAL {
            continue;
        }
        let result = if core.caps.duty.borrow().is_some() {
            if !is_confirmation_due(&core, now) {
                continue;
            }
            last_call = now;
            confirm(&core, ledger.as_mut()).await
        } else if !has_read || (!core.is_stopping() && is_candidate(&core, now)) {
            last_call = now;
            core.caps.is_summoned.set(false);
            let result = take_over(&core, ledger.as_mut(), &socket).await;
            has_read |= result.is_ok();
            result
        } else {
            continue;
        };
        if let Err(error) = result {
            log::warn!(
                target: "caps", cause:% = error;
                "can't agree on the coordinator of the usage caps; retrying"
            );
        }
    }
}

/// Logs what the coordinator may use of the caps when that has changed since it was `reported`.
fn report_phase(core: &Core, reported: &mut Option<Phase>) {
    let duty = core.caps.duty.borrow();
    let coordinator = duty.as_ref().map(Duty::coordinator);
    let phase = coordinator.map(|coordinator| coordinator.phase());
    if phase == std::mem::replace(reported, phase) {
        return;
    }
    if let (Some(coordinator), Some(phase)) = (coordinator, phase) {
        log::info!(
            target: "caps", epoch = coordinator.epoch(), phase = phase.as_str(),
            awaited = coordinator.awaited();
            "what the coordinator may use of the usage caps has changed"
        );
    }
}

fn is_confirmation_due(core: &Core, now: Millis) -> bool {
    let duty = core.caps.duty.borrow();
    duty.as_ref().is_some_and(|duty| duty.is_confirmation_due(&live_names(core, now), now))
}

/// Whether this VM is to become the coordinator: none is known or acts, and of the other live VMs this
/// one has the most CPU.
fn is_candidate(core: &Core, now: Millis) -> bool {
    if core.caps.is_summoned.get() {
        return true;
    }
    if !knows_others(core, now) {
        return false;
    }
    let leader = core.caps.leader.borrow().clone();
    if leader.as_ref().is_some_and(|leader| acts(core, leader.epoch, &leader.vm, now)) {
        return false;
    }
    let settings = core.settings();
    let own = rank(settings.millicores, &settings.vm);
    let members = core.members.borrow();
    let is_leader = |vm: &str| leader.as_ref().is_some_and(|leader| leader.vm.as_ref() == vm);
    let mut others = members.alive(now).filter(|member| !is_leader(&member.vm));
    others.all(|member| rank(member.millicores, &member.vm) < own)
}

/// Whether another VM seems to act as the coordinator of an epoch.
fn acts(core: &Core, epoch: u64, vm: &str, now: Millis) -> bool {
    let holder = core.caps.holder.borrow();
    let is_silent = holder.epoch() == epoch && holder.unanswered(now) >= UNANSWERED_SPAN;
    let has_resigned = core.caps.resigned.get() == epoch;
    let members = core.members.borrow();
    let is_alive = members.alive(now).any(|member| member.vm.as_ref() == vm);
    is_alive && !is_silent && !has_resigned
}

fn knows_others(core: &Core, now: Millis) -> bool {
    core.has_converged() || now >= core.started + ALONE_AFTER
}

fn live_names(core: &Core, now: Millis) -> BTreeSet<Arc<str>> {
    let members = core.members.borrow();
    let others = members.alive(now).map(|member| Arc::clone(&member.vm));
    others.chain([Arc::clone(&core.settings().vm)]).collect()
}

/// Learns which process is the coordinator, or becomes it: if the row names an earlier process of this
/// VM, or one that is dead.
async fn take_over(core: &Core, ledger: &mut dyn Ledger, socket: &UdpSocket) -> Result<(), Error> {
    for _ in 0..MAX_CLAIMS {
        let entry = ledger.read().await?;
        let last = entry.value.as_deref().map(decode).transpose()?;
        if !is_vacant(core, last.as_ref(), entry.era) {
            return Ok(());
        }
        let own = Arc::clone(&core.settings().vm);
        let mut row = Term::claim(last.as_ref(), entry.era, &own, core.started.0);
        row.address = Some(exchange::address(core.settings().listen.heartbeats));
        let sent = core.clock.now();
        row.names.extend(live_names(core, sent));
        match ledger.write(&encode(&row)?, entry.version).await? {
            Written::Conflict => {}
            Written::Done { era, .. } if era != row.era => return Ok(()),
            Written::Done { version, .. } => {
                let duty = Duty::begin(last.as_ref(), row, version, sent, core.clock.now());
                begin(core, duty);
                exchange::announce(core, socket).await;
                return Ok(());
            }
        }
    }
    Ok(())
}

/// Follows the coordinator of the row as read in `era`. Returns whether this process is to take over.
fn is_vacant(core: &Core, last: Option<&Row>, era: u64) -> bool {
    let (caps, now, own) = (&core.caps, core.clock.now(), Arc::clone(&core.settings().vm));
    // A row of an earlier era may be older than one that an earlier process of this VM knew.
    if last.map_or(0, |row| row.era) == era {
        caps.holder.borrow_mut().confirm_epoch(last.map_or(0, |row| row.epoch));
    }
    let Some(row) = last.filter(|row| row.epoch >= caps.holder.borrow().epoch()) else {
        return is_candidate(core, now);
    };
    if row.vm == own {
        return true;
    }
    let is_followed = acts(core, row.epoch, &row.vm, now) || !knows_others(core, now);
    let Some(address) = row.address.filter(|_| is_followed) else {
        return is_candidate(core, now);
    };
    caps.follow(Leader { epoch: row.epoch, vm: Arc::clone(&row.vm), address });
    false
}

/// Begins to act as the coordinator.
fn begin(core: &Core, mut duty: Duty) {
    let (epoch, vm) = (duty.row().epoch, Arc::clone(&duty.row().vm));
    log::info!(
        target: "caps", epoch = epoch, named = duty.row().names.len(),
        givers = duty.row().givers.len();
        "this VM coordinates the usage caps"
    );
    let address = exchange::address(core.settings().listen.heartbeats);
    core.caps.follow(Leader { epoch, vm, address });
    duty.configure(limits(core), core.clock.now());
    *core.caps.duty.borrow_mut() = Some(duty);
}

/// Writes the row again, with the VMs that may hold shares.
async fn confirm(core: &Core, ledger: &mut dyn Ledger) -> Result<(), Error> {
    let now = core.clock.now();
    let live = live_names(core, now);
    let next = core.caps.duty.borrow_mut().as_mut().map(|duty| duty.next_row(live, now));
    let Some((row, version)) = next else { return Ok(()) };
    if let Written::Done { version, era } = ledger.write(&encode(&row)?, version).await?
        && era == row.era
    {
        if let Some(duty) = core.caps.duty.borrow_mut().as_mut() {
            duty.confirm(row, version, now);
        }
        return Ok(());
    }
    let entry = ledger.read().await?;
    let current = entry.value.as_deref().map(decode).transpose()?;
    if entry.era != row.era {
        return advance(core, ledger, current, &entry).await;
    }
    let is_own = |current: &Row| {
        (current.epoch, &current.vm, current.process) == (row.epoch, &row.vm, row.process)
    };
    match current {
        // The answer to an earlier write was lost.
        Some(current) if is_own(&current) => {
            if let Some(duty) = core.caps.duty.borrow_mut().as_mut() {
                let confirmed = duty.confirmed();
                duty.confirm(current, entry.version, confirmed);
            }
        }
        Some(current) => {
            step_down(core, "another VM took over");
            if let Row { epoch, vm, address: Some(address), .. } = current {
                core.caps.follow(Leader { epoch, vm, address });
            }
        }
        None => step_down(core, "the row is gone"),
    }
    Ok(())
}

/// Stays the coordinator in a new era of the store, which came back from an older copy.
async fn advance(
    core: &Core,
    ledger: &mut dyn Ledger,
    last: Option<Row>,
    entry: &Entry,
) -> Result<(), Error> {
    let live = live_names(core, core.clock.now());
    let row = {
        let mut duty = core.caps.duty.borrow_mut();
        duty.as_mut().and_then(|duty| duty.claim(last.as_ref(), entry.era, live))
    };
    let Some(row) = row else {
        step_down(core, "another VM took over after the store came back from an older copy");
        return Ok(());
    };
    let sent = core.clock.now();
    let Written::Done { version, era } = ledger.write(&encode(&row)?, entry.version).await? else {
        return Ok(());
    };
    if era != row.era {
        return Ok(());
    }
    let (epoch, vm) = (row.epoch, Arc::clone(&row.vm));
    if let Some(duty) = core.caps.duty.borrow_mut().as_mut() {
        duty.advance(row, version, sent, core.clock.now());
    }
    log::info!(
        target: "caps", epoch = epoch, era = era;
        "the store came back from an older copy; this VM still coordinates the usage caps"
    );
    let address = exchange::address(core.settings().listen.heartbeats);
    core.caps.follow(Leader { epoch, vm, address });
    Ok(())
}

fn step_down(core: &Core, reason: &'static str) {
    log::info!(target: "caps", reason = reason; "this VM no longer coordinates the usage caps");
    *core.caps.duty.borrow_mut() = None;
    *core.caps.leader.borrow_mut() = None;
}

fn encode(row: &Row) -> Result<Vec<u8>, Error> {
    let failed = |cause| Error::new(Kind::Internal, format!("can't encode the row: {cause}"));
    rmp_serde::to_vec(row).map_err(failed)
}

fn decode(value: &[u8]) -> Result<Row, Error> {
    let failed = |cause| Error::new(Kind::PlatformDown, format!("malformed row of caps: {cause}"));
    rmp_serde::from_slice(value).map_err(failed)
}
