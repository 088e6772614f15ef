//! Heartbeats between entry VMs.
//!
//! A heartbeat is a UDP datagram encoded by `rmp-serde`. Connections would need timeouts of their
//! own for VMs that are down, whereas a lost datagram is followed by the next one. See
//! docs/DATAPATH.md, "Membership".

mod message;
mod received;

use crate::core::Core;
use clock::Millis;
use message::{Datagram, Message, Timing, View, decode, encode};
use rand::seq::{IndexedRandom, SliceRandom};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use steering::catalogue::{Feed, Position};
use steering::membership::{Member, Peers, draw_targets, summary_count};
use steering::pressure::Pressure;
use steering::readers::Role;
use tokio::net::UdpSocket;

/// Time between two rounds of heartbeats.
const INTERVAL: Millis = Millis(500);
/// Least time between two rounds, also after a change.
const MIN_INTERVAL: Millis = Millis(50);
/// Peers that a heartbeat describes in full.
const FULL_MEMBERS: usize = 3;
/// Peers that one datagram to a VM that has just joined describes in full.
const JOIN_MEMBERS: usize = 8;
/// Up to this number of live peers, every round also sends to the seeds; with more, every eighth
/// does on average.
const FEW_PEERS: usize = 1;
/// Time between two requests to readers. A heartbeat in return comes within about half of it.
const REQUEST_INTERVAL: Millis = Millis(250);
/// The longest heartbeat that is read. With all summaries it has up to 5 KB.
const MAX_DATAGRAM_BYTES: usize = 8_192;

/// A revision that a peer has and this VM lacks.
#[derive(Clone, Debug)]
pub struct NewerRevision {
    /// Name of the peer.
    pub peer: Arc<str>,
    /// Where the peer serves changes.
    pub address: SocketAddr,
    /// The feed.
    pub feed: Feed,
    /// The newest position that the peer has.
    pub position: Position,
    /// The version of the peer's configuration, for the feed with it.
    pub version: u64,
    /// Whether the peer can send only a full listing.
    pub full: bool,
    /// Whether the peer's copy is of a newer era, or has a newer configuration that the store lost.
    pub supersedes: bool,
}

/// Sends heartbeats until the process ends.
pub async fn send(core: Rc<Core>, socket: Rc<UdpSocket>) {
    let mut pressure = Pressure::default();
    let mut next_full = core.clock.now();
    loop {
        let started = core.clock.now();
        let round = if started >= next_full { Round::Full } else { Round::Brief };
        if round == Round::Full {
            next_full = started + INTERVAL;
        }
        send_round(&core, &socket, round).await;
        let started = core.clock.now();
        core.clock.sleep(MIN_INTERVAL).await;
        let now = core.clock.now();
        core.own_member.borrow_mut().pressed = pressure.record(now - started - MIN_INTERVAL, now);
        tokio::select! {
            () = core.clock.sleep_until(next_full) => {}
            () = core.state_changed.notified() => {}
        }
    }
}

/// What the heartbeats of a round contain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Round {
    /// This VM and what it knows of others.
    Full,
    /// This VM only. Changes come in quick succession, and each tells peers of the new revision.
    Brief,
}

/// Sends one round of heartbeats.
pub async fn send_round(core: &Core, socket: &UdpSocket, round: Round) {
    core.record_round();
    let now = core.clock.now();
    expire_members(core, now);
    let mut alive: Vec<Member> = core.members.borrow().alive(now).cloned().collect();
    metrics::gauge!(telemetry::names::VMS, telemetry::names::STATE => "alive")
        .set(alive.len() as f64 + 1.0);
    if let Some(age) = core.confirmed_age(Feed::Operators) {
        metrics::gauge!(telemetry::names::KEY_VIEW_AGE).set(age.as_secs_f64());
    }
    let mut targets = {
        let settings = core.settings();
        let is_near = |member: &&Member| {
            settings.regions.get(&member.domain).is_some_and(|region| *region == settings.region)
        };
        let (near, elsewhere): (Vec<&Member>, Vec<&Member>) = alive.iter().partition(is_near);
        let (domain, region): (Vec<&Member>, Vec<&Member>) = near.into_iter().partition(|member| {
            // Changes must reach the whole region at once.
            round == Round::Brief || member.domain == settings.domain
        });
        let peers = Peers { domain: &domain, region: &region, elsewhere: &elsewhere };
        let drawn = draw_targets(peers, &mut rand::rng());
        drawn.into_iter().map(|member| member.heartbeats).collect::<Vec<SocketAddr>>()
    };
    if core.has_cold_news.take() {
        // Each VM sends to the upstream.
        targets = alive.iter().map(|member| member.heartbeats).collect();
    }
    if alive.len() <= FEW_PEERS || rand::random_ratio(1, 8) {
        targets.extend(
            core.settings().seeds.iter().filter(|seed| **seed != core.settings().listen.heartbeats),
        );
    }
    let (described, summarised) = match round {
        Round::Full => (FULL_MEMBERS, summary_count(alive.len())),
        Round::Brief => (0, 0),
    };
    alive.shuffle(&mut rand::rng());
    alive.truncate(described);
    let summaries = core.members.borrow().summaries(summarised, now, &mut rand::rng());
    let message = encode(core, alive, &summaries, false);
    for target in targets {
        send_to(core, socket, &message, target).await;
    }
    request_from_suspects(core, socket, now).await;
}

/// Requests a heartbeat from each VM that is about to count as dead.
async fn request_from_suspects(core: &Core, socket: &UdpSocket, now: Millis) {
    let suspects = core.members.borrow_mut().suspects(now);
    if suspects.is_empty() {
        return;
    }
    let message = encode(core, Vec::new(), &[], true);
    for suspect in suspects {
        send_to(core, socket, &message, suspect).await;
    }
}

/// Requests a heartbeat from a reader of the region whenever a copy of this VM has not been
/// confirmed for a while, until the process ends: heartbeats go to random VMs, and may leave one
/// out for several rounds.
pub async fn request_from_readers(core: Rc<Core>, socket: Rc<UdpSocket>) {
    loop {
        let due =
            Feed::ALL.map(|feed| core.time_until_age(feed, core.staleness_limits(feed).request));
        let due = due.into_iter().min().unwrap_or_default();
        if due > Millis::ZERO {
            core.clock.sleep(due).await;
            continue;
        }
        let is_follower = Feed::ALL.into_iter().any(|feed| core.role(feed) != Role::Reader);
        if is_follower && let Some(reader) = core.reader_addresses().choose(&mut rand::rng()) {
            send_to(&core, &socket, &encode(&core, Vec::new(), &[], true), *reader).await;
        }
        core.clock.sleep(REQUEST_INTERVAL).await;
    }
}

/// Sends an encoded heartbeat, with its timing for `target` and this VM's view.
async fn send_to(core: &Core, socket: &UdpSocket, message: &Message, target: SocketAddr) {
    send_with(core, socket, message, target, false).await;
}

/// Sends an encoded heartbeat; `requests_members` is whether `target` shall send all VMs that it
/// knows.
async fn send_with(
    core: &Core,
    socket: &UdpSocket,
    message: &Message,
    target: SocketAddr,
    requests_members: bool,
) {
    let mut datagram = message.bytes.clone();
    let live = core.reference_count();
    let view = View { live, requests_members };
    let timing = {
        // The process may have been frozen since, which its statements must not seem younger by.
        let (echoes, made) = (core.echoes.borrow(), message.made);
        Timing { stamp: echoes.stamp(made), echo: echoes.echo(target, made) }
    };
    let encoded = rmp_serde::encode::write(&mut datagram, &timing)
        .and_then(|()| rmp_serde::encode::write(&mut datagram, &view))
        .and_then(|()| rmp_serde::encode::write(&mut datagram, &message.ages))
        .and_then(|()| rmp_serde::encode::write(&mut datagram, &message.eras))
        .and_then(|()| rmp_serde::encode::write(&mut datagram, &message.settled))
        .and_then(|()| rmp_serde::encode::write(&mut datagram, &message.cold));
    if let Err(error) = encoded {
        log::error!(
            target: "heartbeat", cause:% = error;
            "can't encode the last parts of a heartbeat; not sending it"
        );
        return;
    }
    if let Err(error) = socket.send_to(&datagram, target).await {
        log::debug!(
            target: "heartbeat", cause:% = error;
            "can't send a heartbeat; the next round follows"
        );
    }
}

/// Receives heartbeats until the process ends; calls `on_newer` for each newer revision of a peer.
pub async fn receive<OnNewer>(core: Rc<Core>, socket: Rc<UdpSocket>, on_newer: OnNewer)
where
    OnNewer: Fn(NewerRevision),
{
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let (length, from) = match socket.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(error) => {
                log::debug!(
                    target: "heartbeat", cause:% = error;
                    "can't receive a heartbeat; retrying"
                );
                core.clock.sleep(Millis(20)).await;
                continue;
            }
        };
        match decode(&buffer[..length]) {
            Ok(datagram) => answer(&core, &socket, datagram, &on_newer).await,
            Err(error) => {
                log::debug!(
                    target: "heartbeat", from:% = from, cause:% = error;
                    "ignoring a malformed heartbeat"
                );
            }
        }
    }
}

/// Applies a datagram, and sends the heartbeats that it calls for.
async fn answer<OnNewer>(core: &Core, socket: &UdpSocket, datagram: Datagram, on_newer: &OnNewer)
where
    OnNewer: Fn(NewerRevision),
{
    let (view, requests_reply) = (datagram.view, datagram.extension.requests_reply);
    let sender = datagram.heartbeat.members.first().cloned();
    let made = sender.as_ref().and_then(|sender| date(core, sender, datagram.timing?));
    let joined = received::apply(core, datagram, made, on_newer);
    if let Some(joined) = joined {
        send_members(core, socket, joined).await;
    }
    let Some(sender) = sender else {
        return;
    };
    if view.requests_members && joined.is_none() {
        send_members(core, socket, sender.heartbeats).await;
    }
    if lacks_members(core, view) {
        let message = encode(core, Vec::new(), &[], false);
        send_with(core, socket, &message, sender.heartbeats, true).await;
    }
    let known = core.members.borrow().superseding(&sender).cloned();
    if requests_reply || known.is_some() {
        let message = encode(core, known.into_iter().collect(), &[], false);
        send_to(core, socket, &message, sender.heartbeats).await;
    }
}

/// Whether a peer with the given view knows many VMs that this one doesn't know, and is to be sent
/// a request for them now.
fn lacks_members(core: &Core, view: View) -> bool {
    let (live, now) = (core.live_count(), core.clock.now());
    view.live.is_some_and(|peers| core.convergence.borrow_mut().record_peer(peers, live, now))
}

/// Sends all live peers to a VM that has just joined or requests them, so that it knows the whole
/// deployment at once.
async fn send_members(core: &Core, socket: &UdpSocket, target: SocketAddr) {
    let alive: Vec<Member> = core.members.borrow().alive(core.clock.now()).cloned().collect();
    for members in alive.chunks(JOIN_MEMBERS) {
        send_to(core, socket, &encode(core, members.to_vec(), &[], false), target).await;
    }
}

/// Records the timing of a heartbeat; returns the earliest moment at which it can have been made.
fn date(core: &Core, sender: &Member, timing: Timing) -> Option<Millis> {
    let mut echoes = core.echoes.borrow_mut();
    echoes.record(sender.heartbeats, timing.stamp, core.clock.now());
    echoes.made_at(timing.echo?)
}

/// Removes and logs peers whose heartbeats have ceased.
fn expire_members(core: &Core, now: Millis) {
    for vm in core.members.borrow_mut().expire(now, now - INTERVAL) {
        log::info!(target: "belief", vm = vm.as_ref(); "entry VM dead: no heartbeat in time");
    }
    core.echoes.borrow_mut().expire(now);
}
