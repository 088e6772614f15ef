//! A message is dated by the receiver's own clock, and never later than it was made.

use clock::Millis;
use proptest::prelude::*;
use std::net::SocketAddr;
use steering::echo::{Echo, Echoes, Stamp};

/// A process whose clock started at another time than the true one.
struct Process {
    address: SocketAddr,
    offset: u64,
    echoes: Echoes,
}

impl Process {
    fn new(number: u16, offset: u64) -> Process {
        let echoes = Echoes::new(number.into(), Millis(offset));
        Process { address: SocketAddr::from(([127, 0, 0, 1], number)), offset, echoes }
    }

    /// What its clock reads at a true time.
    fn clock(&self, now: u64) -> Millis {
        Millis(now + self.offset)
    }

    /// What it sends to `peer` at a true time.
    fn message(&self, peer: &Process, now: u64) -> (Stamp, Option<Echo>) {
        let now = self.clock(now);
        (self.echoes.stamp(now), self.echoes.echo(peer.address, now))
    }

    /// Receives a message at a true time; returns the true time before which it can't be made.
    fn receive(
        &mut self,
        peer: SocketAddr,
        (stamp, echo): (Stamp, Option<Echo>),
        now: u64,
    ) -> Option<u64> {
        let now = self.clock(now);
        self.echoes.record(peer, stamp, now);
        let made = self.echoes.made_at(echo?)?;
        Some((made - Millis(self.offset)).0)
    }
}

#[test]
fn a_message_is_dated_when_the_sender_knows_a_stamp_of_the_receiver() {
    let (mut a, mut b) = (Process::new(1, 5_000), Process::new(2, 900_000));
    let first = a.message(&b, 100);
    assert_eq!(b.receive(a.address, first, 110), None);
    let second = b.message(&a, 400);
    // The stamp was on its way for 10 ms, which counts as time before the message was made.
    assert_eq!(a.receive(b.address, second, 3_400), Some(390));
}

#[test]
fn a_message_to_the_process_before_a_restart_is_not_dated() {
    let (a, mut b) = (Process::new(1, 5_000), Process::new(2, 900_000));
    b.receive(a.address, a.message(&b, 100), 110);
    let mut restarted = Process::new(3, 1_000);
    restarted.address = a.address;
    let message = b.message(&restarted, 400);
    assert_eq!(restarted.receive(b.address, message, 410), None);
}

#[test]
fn a_stamp_that_was_delayed_does_not_replace_a_better_one_until_that_is_old() {
    let (mut a, mut b) = (Process::new(1, 0), Process::new(2, 0));
    b.receive(a.address, a.message(&b, 100), 105);
    b.receive(a.address, a.message(&b, 200), 2_200);
    let message = b.message(&a, 2_300);
    assert_eq!(a.receive(b.address, message, 2_305), Some(2_295));
    b.receive(a.address, a.message(&b, 70_000), 70_500);
    let message = b.message(&a, 71_000);
    assert_eq!(a.receive(b.address, message, 71_005), Some(70_500));
    b.echoes.expire(Millis(140_000));
    let message = b.message(&a, 140_000);
    assert_eq!(a.receive(b.address, message, 140_005), None);
}

proptest! {
    /// Guards against old statements that count as fresh: whatever the delays of messages, which
    /// stand for queues, links and VMs that are frozen, none is dated later than it was made.
    #[test]
    fn no_message_is_dated_later_than_it_was_made(
        steps in prop::collection::vec((any::<bool>(), 1_u64..2_000, 0_u64..6_000), 1..60),
    ) {
        let (mut a, mut b) = (Process::new(1, 1_000_000), Process::new(2, 77));
        let mut now = 0;
        let mut on_the_way = Vec::new();
        for (from_a, pause, delay) in steps {
            now += pause;
            let message = if from_a { a.message(&b, now) } else { b.message(&a, now) };
            on_the_way.push((now + delay, now, from_a, message));
            on_the_way.sort_by_key(|(arrives, ..)| *arrives);
            while on_the_way.first().is_some_and(|(arrives, ..)| *arrives <= now) {
                let (arrives, made, from_a, message) = on_the_way.remove(0);
                let (sender, receiver) = if from_a { (&a, &mut b) } else { (&b, &mut a) };
                if let Some(earliest) = receiver.receive(sender.address, message, arrives) {
                    prop_assert!(earliest <= made, "made at {made}, dated {earliest}");
                }
            }
        }
    }
}
