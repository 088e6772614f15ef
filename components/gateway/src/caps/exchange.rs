//! Messages between holders of shares and the coordinator: UDP datagrams encoded by `rmp-serde`.

use super::{Leader, rank, refresh};
use crate::core::Core;
use clock::Millis;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::rc::Rc;
use steering::cap::{Duty, Reply, Report};
use steering::membership::{Member, Members};
use tokio::net::UdpSocket;

/// Time between two regular reports.
const INTERVAL: Millis = Millis(500);
/// Requests that find no token within this time share a report.
const GATHER_SPAN: Millis = Millis(5);
const MAX_DATAGRAM_BYTES: usize = 65_535;

/// A datagram.
#[derive(Debug, Serialize, Deserialize)]
enum Message {
    Report(Report),
    Reply(Reply),
    /// The coordinator that the sender follows.
    Leader(Leader),
    /// The coordinator of an epoch is about to stop, and the receiver is to succeed it.
    Resign {
        epoch: u64,
    },
}

/// Where a VM gets messages about caps: the port behind that of its heartbeats.
pub fn address(heartbeats: SocketAddr) -> SocketAddr {
    SocketAddr::new(heartbeats.ip(), heartbeats.port() + 1)
}

/// Reports this VM's demand to the coordinator until the process ends.
pub async fn report(core: Rc<Core>, socket: Rc<UdpSocket>) {
    let mut next = core.clock.now();
    loop {
        tokio::select! {
            () = core.clock.sleep_until(next) => {}
            () = core.caps.urgent.notified() => core.clock.sleep(GATHER_SPAN).await,
        }
        let now = core.clock.now();
        let is_regular = now >= next;
        if is_regular {
            next = now + INTERVAL;
            refresh(&core);
        }
        let Some(target) = target(&core, now) else { continue };
        let report = core.caps.holder.borrow_mut().report(is_regular, now);
        if let Some(report) = report {
            send(&socket, &Message::Report(report), target).await;
        }
    }
}

/// The address of the coordinator that this VM follows, unless that is known to be dead; otherwise
/// that of the VM which is to become the coordinator, as it may know.
fn target(core: &Core, now: Millis) -> Option<SocketAddr> {
    let members = core.members.borrow();
    let leader = core.caps.leader.borrow();
    if let Some(leader) = leader.as_ref() {
        let is_alive = members.alive(now).any(|member| member.vm == leader.vm);
        if is_alive || leader.vm == core.settings().vm || !core.has_converged() {
            return Some(leader.address);
        }
    }
    best(&members, now).map(address)
}

/// The address for heartbeats of the live VM that is to become the coordinator, other than this one.
fn best(members: &Members, now: Millis) -> Option<SocketAddr> {
    let rank = |member: &&Member| rank(member.millicores, &member.vm);
    members.alive(now).max_by_key(rank).map(|member| member.heartbeats)
}

/// Asks another VM to become the coordinator, as this one is about to stop.
pub async fn resign(core: &Core, socket: &UdpSocket) {
    let epoch = core.caps.duty.borrow().as_ref().map(|duty| duty.row().epoch);
    let successor = best(&core.members.borrow(), core.clock.now());
    if let (Some(epoch), Some(successor)) = (epoch, successor) {
        send(socket, &Message::Resign { epoch }, address(successor)).await;
    }
}

/// Tells the live VMs which this coordinator has not heard that it is one, while it waits for some.
pub async fn announce(core: &Core, socket: &UdpSocket) {
    let Some(leader) = core.caps.leader.borrow().clone() else { return };
    let targets: Vec<SocketAddr> = {
        let (members, duty) = (core.members.borrow(), core.caps.duty.borrow());
        let coordinator = duty.as_ref().map(Duty::coordinator);
        let Some(coordinator) = coordinator.filter(|coordinator| !coordinator.is_settled()) else {
            return;
        };
        let alive = members.alive(core.clock.now());
        alive
            .filter(|member| !coordinator.has_heard(&member.vm))
            .map(|member| address(member.heartbeats))
            .collect()
    };
    let message = Message::Leader(leader);
    for target in targets {
        send(socket, &message, target).await;
    }
}

/// Receives messages until the process ends.
pub async fn receive(core: Rc<Core>, socket: Rc<UdpSocket>) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let (length, from) = match socket.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(error) => {
                log::debug!(target: "caps", cause:% = error; "can't receive a message; retrying");
                core.clock.sleep(Millis(20)).await;
                continue;
            }
        };
        let message = rmp_serde::from_slice(&buffer[..length]);
        match message {
            Ok(Message::Report(report)) => {
                refresh(&core);
                if let Some(answer) = answer(&core, &report) {
                    send(&socket, &answer, from).await;
                }
            }
            Ok(Message::Reply(reply)) => {
                let now = core.clock.now();
                let awards = core.caps.holder.borrow_mut().apply(&reply, now);
                core.caps.award(awards, now);
                if now < core.caps.holder.borrow().closed_until() {
                    core.caps.wake_waiting();
                }
                if core.caps.holder.borrow().is_report_due() {
                    core.caps.urgent.notify_one();
                }
            }
            Ok(Message::Leader(leader)) => core.caps.follow(leader),
            Ok(Message::Resign { epoch }) => {
                core.caps.resigned.set(epoch);
                core.caps.is_summoned.set(true);
            }
            Err(error) => {
                log::debug!(
                    target: "caps", from:% = from, cause:% = error;
                    "ignoring a malformed message"
                );
            }
        }
    }
}

/// The answer to a report: of the coordinator, or of another VM that knows the coordinator.
fn answer(core: &Core, report: &Report) -> Option<Message> {
    let (caps, now) = (&core.caps, core.clock.now());
    if let Some(duty) = caps.duty.borrow_mut().as_mut() {
        if report.epoch < duty.row().epoch {
            return caps.leader.borrow().clone().map(Message::Leader);
        }
        return duty.receive(report, now).map(Message::Reply);
    }
    let leader = caps.leader.borrow().clone();
    match leader.filter(|leader| leader.vm != core.settings().vm) {
        Some(leader) if leader.epoch > report.epoch => Some(Message::Leader(leader)),
        _ => {
            caps.is_summoned.set(true);
            None
        }
    }
}

async fn send(socket: &UdpSocket, message: &Message, target: SocketAddr) {
    let datagram = match rmp_serde::to_vec(message) {
        Ok(datagram) => datagram,
        Err(error) => {
            log::error!(target: "caps", cause:% = error; "can't encode a message; not sending it");
            return;
        }
    };
    if let Err(error) = socket.send_to(&datagram, target).await {
        log::debug!(target: "caps", cause:% = error; "can't send a message; the next one follows");
    }
}
