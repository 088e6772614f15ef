//! What a received heartbeat changes.

use super::NewerRevision;
use super::message::{Ages, Datagram};
use crate::core::Core;
use crate::health;
use clock::Millis;
use std::net::SocketAddr;
use std::sync::Arc;
use steering::catalogue::{Feed, MAX_REVISION, Position};
use steering::membership::Member;
use steering::staleness::{Claim, Known, Report, Standing};
use steering::uptime::Uptime;

/// Applies a heartbeat that was made at `made` or later; returns the address of its sender if that
/// was not alive before.
pub fn apply<OnNewer>(
    core: &Core,
    mut datagram: Datagram,
    made: Option<Millis>,
    on_newer: &OnNewer,
) -> Option<SocketAddr>
where
    OnNewer: Fn(NewerRevision),
{
    let sender = datagram.heartbeat.members.first()?.clone();
    let joined = apply_members(core, &mut datagram);
    if (1..=MAX_REVISION).contains(&datagram.settled.era) {
        core.settle_era(datagram.settled.era, "peer");
    }
    health::learn(core, &datagram.cold.upstreams);
    for feed in Feed::ALL {
        let report = report(&datagram, feed);
        if [report.claim.newest, report.era].into_iter().any(|each| each > MAX_REVISION) {
            log::debug!(
                target: "heartbeat", peer = sender.vm.as_ref(), revision = report.claim.newest,
                era = report.era;
                "ignoring an impossible revision in a heartbeat"
            );
            continue;
        }
        let known = {
            let catalogue = core.catalogue.borrow();
            let version = if feed == Feed::Operators { catalogue.version() } else { 0 };
            let position = catalogue.position(feed);
            catalogue.is_listed(feed).then_some(Known { position, version })
        };
        let position = Position { era: report.era, revision: report.claim.newest };
        core.record_peer_position(feed, position);
        let newer = |full, supersedes| NewerRevision {
            peer: Arc::clone(&sender.vm),
            address: sender.changes,
            feed,
            position,
            version: report.version,
            full,
            supersedes,
        };
        let standing = report.standing(known);
        if let (Standing::Confirmed(age), Some(made)) = (standing, made) {
            core.confirm(feed, report.era, made - age);
        }
        let has_rows =
            report.claim.newest > 0 && known.is_some_and(|known| known.position.era == report.era);
        let needs_listing = has_rows && core.catalogue.borrow().needs_peer_listing(feed);
        match standing {
            Standing::Behind { full } => on_newer(newer(full, needs_listing)),
            Standing::Superseded => on_newer(newer(true, true)),
            _ if needs_listing => on_newer(newer(true, true)),
            _ => {}
        }
    }
    joined
}

/// What a heartbeat tells about the sender's copy of `feed`.
fn report(datagram: &Datagram, feed: Feed) -> Report {
    let index = feed as usize;
    Report {
        era: datagram.eras.eras[index],
        version: if feed == Feed::Operators { datagram.eras.version } else { 0 },
        claim: Claim {
            newest: datagram.heartbeat.revisions[index],
            complete_after: datagram.extension.complete_after[index],
            age: datagram.heartbeat.ages[index].map(Millis),
        },
    }
}

/// Applies what a heartbeat tells about VMs and the store.
fn apply_members(core: &Core, datagram: &mut Datagram) -> Option<SocketAddr> {
    let now = core.clock.now();
    let (heartbeat, ages) = (&mut datagram.heartbeat, &datagram.ages);
    let mut joined = None;
    for (position, member) in std::mem::take(&mut heartbeat.members).into_iter().enumerate() {
        let (vm, heartbeats) = (Arc::clone(&member.vm), member.heartbeats);
        supersede_own(core, &member);
        let age = Ages::at(&ages.members, position);
        if core.members.borrow_mut().update(member, age, now) {
            log::info!(target: "belief", vm = vm.as_ref(); "entry VM alive");
            joined = joined.or((position == 0).then_some(heartbeats));
        }
    }
    if let Some((start, end)) = heartbeat.contact {
        core.merge_store_uptime(Uptime { start: now - Millis(start), end: now - Millis(end) });
    }
    for (position, summary) in std::mem::take(&mut heartbeat.summaries).into_iter().enumerate() {
        let age = Ages::at(&ages.summaries, position);
        if let Some(vm) = core.members.borrow_mut().update_summary(summary, age, now) {
            log::info!(target: "belief", vm = vm.as_ref(); "entry VM alive");
        }
    }
    joined
}

/// Takes a newer incarnation if peers know a newer one of this VM, which was started with a later
/// clock before. They would ignore this process otherwise.
fn supersede_own(core: &Core, member: &Member) {
    let mut own = core.own_member.borrow_mut();
    if member.vm == own.vm && member.incarnation > own.incarnation {
        log::info!(
            target: "belief", known = member.incarnation, own = own.incarnation;
            "peers know a later start of this VM; taking a newer incarnation"
        );
        own.incarnation = member.incarnation.saturating_add(1);
    }
}
