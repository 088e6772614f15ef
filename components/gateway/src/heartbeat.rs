//! Heartbeats between entry VMs.
//!
//! They are datagrams of `rmp-serde`, since a connection to a silent VM would need time-outs of
//! its own, and a lost heartbeat is followed by the next. See docs/DATAPATH.md, "Membership".

use crate::core::Core;
use clock::Millis;
use rand::seq::{IndexedRandom, SliceRandom};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use steering::catalogue::Feed;
use steering::membership::{Member, Summary};
use steering::pressure::Pressure;
use steering::uptime::Uptime;
use tokio::net::UdpSocket;

/// The time between two rounds of heartbeats.
const PERIOD: Millis = Millis(500);
/// The least time between two rounds, also when there is news.
const GAP: Millis = Millis(50);
/// VMs that get a heartbeat in each round.
const FAN_OUT: usize = 3;
/// Other VMs that a heartbeat tells all of. With [`BEATS`] it fits into one packet.
const TOLD: usize = 3;
/// Other VMs that a heartbeat tells the least of, in about eight bytes each.
const BEATS: usize = 100;
/// Other VMs that one datagram to a newcomer tells all of.
const WELCOMED: usize = 8;
/// Seeds are asked again in every round in which fewer VMs than this are known.
const LONELY: usize = 1;
/// The most bytes of a datagram.
const DATAGRAM: usize = 4_096;

/// A heartbeat.
#[derive(Debug, Serialize, Deserialize)]
struct Heartbeat {
    /// The sender, then some of those that it knows.
    members: Vec<Member>,
    /// The least of more VMs, since a VM of a large fleet must hear of each within 3 s.
    beats: Vec<Summary>,
    /// The newest change of each feed that the sender knows, 0 for none.
    revisions: [u64; 2],
    /// How long ago the store confirmed that, in ms.
    ages: [Option<u64>; 2],
    /// How long ago the present contact with the store began and last held, in ms.
    contact: Option<(u64, u64)>,
}

/// What a neighbour knows that this VM doesn't.
#[derive(Clone, Copy, Debug)]
pub struct Ahead {
    /// Where to ask.
    pub changes: SocketAddr,
    /// The feed.
    pub feed: Feed,
    /// The newest change that it knows.
    pub revision: u64,
}

/// Sends heartbeats for as long as the process lives.
pub async fn send(core: Rc<Core>, socket: Rc<UdpSocket>) {
    let mut pressure = Pressure::default();
    loop {
        round(&core, &socket).await;
        let started = core.clock.now();
        core.clock.sleep(GAP).await;
        let now = core.clock.now();
        core.member.borrow_mut().pressed = pressure.record(now - started - GAP, now);
        tokio::select! {
            () = core.clock.sleep(PERIOD - GAP) => {}
            () = core.news.notified() => {}
        }
    }
}

/// Sends one round of heartbeats.
pub async fn round(core: &Core, socket: &UdpSocket) {
    let now = core.clock.now();
    report_dead(core, now);
    let mut alive: Vec<Member> = core.members.borrow().alive(now).cloned().collect();
    metrics::gauge!(telemetry::names::VMS, telemetry::names::STATE => "alive")
        .set(alive.len() as f64 + 1.0);
    let mut targets: Vec<SocketAddr> =
        alive.sample(&mut rand::rng(), FAN_OUT).map(|member| member.heartbeats).collect();
    if alive.len() <= LONELY || rand::random_ratio(1, 8) {
        targets.extend(
            core.settings().seeds.iter().filter(|seed| **seed != core.settings().listen.heartbeats),
        );
    }
    alive.shuffle(&mut rand::rng());
    alive.truncate(TOLD);
    let beats = core.members.borrow().summaries(BEATS, now, &mut rand::rng());
    let bytes = encode(core, alive, &beats);
    for target in targets {
        if let Err(error) = socket.send_to(&bytes, target).await {
            log::debug!(target: "heartbeat", cause:% = error; "heartbeat not sent");
        }
    }
}

/// Takes in heartbeats for as long as the process lives; `notify` hears of neighbours that know
/// more.
pub async fn receive<Notify>(core: Rc<Core>, socket: Rc<UdpSocket>, notify: Notify)
where
    Notify: Fn(Ahead),
{
    let mut buffer = vec![0; DATAGRAM];
    loop {
        let (length, from) = match socket.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(error) => {
                log::debug!(target: "heartbeat", cause:% = error; "no heartbeat received");
                core.clock.sleep(Millis(20)).await;
                continue;
            }
        };
        match rmp_serde::from_slice::<Heartbeat>(&buffer[..length]) {
            Ok(heartbeat) => {
                if let Some(newcomer) = take_in(&core, heartbeat, &notify) {
                    welcome(&core, &socket, newcomer).await;
                }
            }
            Err(error) => {
                log::debug!(target: "heartbeat", from:% = from, cause:% = error; "not a heartbeat");
            }
        }
    }
}

/// Tells a VM that was not alive until now of all others, so that it knows the fleet at once.
async fn welcome(core: &Core, socket: &UdpSocket, newcomer: SocketAddr) {
    let alive: Vec<Member> = core.members.borrow().alive(core.clock.now()).cloned().collect();
    for told in alive.chunks(WELCOMED) {
        let bytes = encode(core, told.to_vec(), &[]);
        if let Err(error) = socket.send_to(&bytes, newcomer).await {
            log::debug!(target: "heartbeat", cause:% = error; "newcomer not told");
        }
    }
}

/// Takes in a heartbeat; gives the address of its sender if that is a newcomer.
fn take_in<Notify>(core: &Core, heartbeat: Heartbeat, notify: &Notify) -> Option<SocketAddr>
where
    Notify: Fn(Ahead),
{
    let now = core.clock.now();
    let sender = heartbeat.members.first()?;
    let (changes, address) = (sender.changes, sender.heartbeats);
    let mut newcomer = None;
    for (position, member) in heartbeat.members.into_iter().enumerate() {
        let vm = Arc::clone(&member.vm);
        if core.members.borrow_mut().update(member, now) {
            log::info!(target: "belief", vm = vm.as_ref(); "entry VM alive");
            newcomer = newcomer.or((position == 0).then_some(address));
        }
    }
    if let Some((start, end)) = heartbeat.contact {
        core.heard(Uptime { start: now - Millis(start), end: now - Millis(end) });
    }
    for beat in heartbeat.beats {
        if let Some(vm) = core.members.borrow_mut().update_summary(beat, now) {
            log::info!(target: "belief", vm = vm.as_ref(); "entry VM alive");
        }
    }
    for (feed, revision) in Feed::ALL.into_iter().zip(heartbeat.revisions) {
        let catalogue = core.catalogue.borrow();
        if let Some(age) = heartbeat.ages[feed as usize]
            && revision <= catalogue.revision(feed)
        {
            core.confirm(feed, now - Millis(age));
        }
        if revision > catalogue.revision(feed) || (revision > 0 && !catalogue.is_listed(feed)) {
            notify(Ahead { changes, feed, revision });
        }
    }
    newcomer
}

fn encode(core: &Core, told: Vec<Member>, beats: &[Summary]) -> Vec<u8> {
    let own = {
        let mut own = core.member.borrow_mut();
        own.beat += 1;
        own.ready = core.is_ready();
        own.clone()
    };
    let members = std::iter::once(own).chain(told).collect();
    let catalogue = core.catalogue.borrow();
    let revisions = Feed::ALL.map(|feed| match catalogue.is_listed(feed) {
        true => catalogue.newest_revision(feed),
        false => 0,
    });
    let ages = Feed::ALL.map(|feed| core.confirmed_age(feed).map(|age| age.0));
    let now = core.clock.now();
    let contact = core.contact.get().map(|known| ((now - known.start).0, (now - known.end).0));
    let beats = beats.to_vec();
    rmp_serde::to_vec(&Heartbeat { members, beats, revisions, ages, contact }).unwrap_or_else(
        |error| {
            log::error!(target: "heartbeat", cause:% = error; "heartbeat can't be encoded");
            Vec::new()
        },
    )
}

fn report_dead(core: &Core, now: Millis) {
    for vm in core.members.borrow_mut().expire(now, now - PERIOD) {
        log::info!(target: "belief", vm = vm.as_ref(); "entry VM silent");
    }
}
