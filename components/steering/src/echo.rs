//! Dates the messages of peers without comparing clocks.
//!
//! Each message carries its sender's time and returns the latest time of the receiver that the
//! sender knows, with how long ago it received that. The receiver learns a moment of its own clock
//! before which the message can't have been made, however long the message was on its way, waited
//! in a queue or lay with a VM that was frozen. See docs/DATAPATH.md, "Age of a copy".

use clock::Millis;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::net::SocketAddr;

/// How long a stamp is used. Clocks run at slightly different speeds, by up to 0.5 ms a second.
const MAX_HELD: Millis = Millis::from_secs(60);

/// When a message was sent, by its sender's clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stamp {
    /// Identifies the sender's process, as another one has another clock.
    pub process: u32,
    /// Time since the start of that process.
    pub sent: Millis,
}

/// The receiver's stamp that a message returns.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Echo {
    /// A stamp of the message's receiver.
    pub stamp: Stamp,
    /// Time since the message's sender received it.
    pub held: Millis,
}

#[derive(Clone, Copy, Debug)]
struct Received {
    stamp: Stamp,
    at: Millis,
}

/// The stamps of a process's peers, by the address that they get messages at.
#[derive(Debug)]
pub struct Echoes {
    process: u32,
    started: Millis,
    received: HashMap<SocketAddr, Received>,
}

impl Echoes {
    /// The state of the process with the number `process`, which started at `started`.
    pub fn new(process: u32, started: Millis) -> Echoes {
        Echoes { process, started, received: HashMap::new() }
    }

    /// The stamp of a message that is sent now.
    pub fn stamp(&self, now: Millis) -> Stamp {
        Stamp { process: self.process, sent: now - self.started }
    }

    /// Records the stamp of a message from `peer`. Of the stamps of a process, the one that was on
    /// its way for the shortest time dates messages best.
    pub fn record(&mut self, peer: SocketAddr, stamp: Stamp, now: Millis) {
        let is_better = self.received.get(&peer).is_none_or(|known| {
            known.stamp.process != stamp.process
                || now >= known.at + MAX_HELD
                || stamp.sent + known.at >= known.stamp.sent + now
        });
        if is_better {
            self.received.insert(peer, Received { stamp, at: now });
        }
    }

    /// The echo for a message that is sent to `peer` now; `None` if its stamp is not known.
    pub fn echo(&self, peer: SocketAddr, now: Millis) -> Option<Echo> {
        let received = self.received.get(&peer).filter(|each| now < each.at + MAX_HELD)?;
        Some(Echo { stamp: received.stamp, held: now - received.at })
    }

    /// The earliest moment at which a message that returns `echo` can have been made; `None` if the
    /// stamp is not of this process.
    pub fn made_at(&self, echo: Echo) -> Option<Millis> {
        (echo.stamp.process == self.process).then(|| self.started + echo.stamp.sent + echo.held)
    }

    /// Drops the stamps that are too old for use.
    pub fn expire(&mut self, now: Millis) {
        self.received.retain(|_, received| now < received.at + MAX_HELD);
    }
}
