//! The parts of a heartbeat's datagram. Each later version appends one, and ignores those that it
//! doesn't know.

use crate::core::Core;
use crate::health;
use clock::Millis;
use serde::{Deserialize, Serialize};
use steering::catalogue::{Catalogue, Feed};
use steering::echo::{Echo, Stamp};
use steering::membership::{Member, Summary};

/// The unit of the ages in heartbeats.
const AGE_UNIT: Millis = Millis(50);

/// A heartbeat.
#[derive(Debug, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The sender, then some of its peers.
    pub members: Vec<Member>,
    /// Summaries of more peers, since in a large deployment every VM must be refreshed within 3 s.
    pub summaries: Vec<Summary>,
    /// The newest revision of each feed that the sender has, or 0.
    pub revisions: [u64; 2],
    /// Time since the store confirmed that the sender's copy of each feed was up to date, in ms.
    pub ages: [Option<u64>; 2],
    /// Time since the start and the end of the latest span without a store outage, in ms.
    pub contact: Option<(u64, u64)>,
}

/// What follows a [`Heartbeat`] in the same datagram. VMs of earlier versions don't read it.
#[derive(Debug, Serialize, Deserialize)]
pub struct Extension {
    /// The sender knows all changes of each feed after these revisions.
    pub complete_after: [u64; 2],
    /// Whether the sender requests a heartbeat in return.
    pub requests_reply: bool,
}

impl Extension {
    /// What is assumed of a sender that doesn't say.
    pub const NONE: Extension = Extension { complete_after: [u64::MAX; 2], requests_reply: false };
}

/// What follows an [`Extension`] in the same datagram. Without it, a heartbeat can't be dated, and
/// confirms no copy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Timing {
    /// When the sender sent the heartbeat.
    pub stamp: Stamp,
    /// The receiver's stamp, if the sender knows one.
    pub echo: Option<Echo>,
}

/// What follows a [`Timing`] in the same datagram: what the sender knows of the deployment's VMs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct View {
    /// The live VMs that the sender knows, including itself, once it has converged.
    pub live: Option<usize>,
    /// Whether the sender requests all VMs that the receiver knows.
    pub requests_members: bool,
}

impl View {
    /// What is assumed of a sender that doesn't say.
    pub const NONE: View = View { live: None, requests_members: false };
}

/// What follows a [`View`] in the same datagram: the time since the counter of each VM increased, in
/// [`AGE_UNIT`]s, rounded up. VMs of earlier versions don't say, and count as fresh.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Ages {
    /// Of the members in their order; the sender's is zero.
    pub members: Vec<u8>,
    /// Of the summaries in their order.
    pub summaries: Vec<u8>,
}

impl Ages {
    /// The age at an index, in milliseconds.
    pub fn at(ages: &[u8], index: usize) -> Millis {
        Millis(u64::from(ages.get(index).copied().unwrap_or_default()) * AGE_UNIT.0)
    }

    fn encode(age: Millis) -> u8 {
        age.0.div_ceil(AGE_UNIT.0).try_into().unwrap_or(u8::MAX)
    }
}

/// What follows [`Ages`] in the same datagram. VMs of earlier versions send revisions of the first
/// era only.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Eras {
    /// The eras of the store that the revisions of each feed belong to.
    pub eras: [u64; 2],
    /// The version of the sender's configuration, or 0.
    pub version: u64,
}

impl Eras {
    fn of(catalogue: &Catalogue) -> Eras {
        let eras = Feed::ALL.map(|feed| catalogue.position(feed).era);
        let is_listed = catalogue.is_listed(Feed::Operators);
        Eras { eras, version: if is_listed { catalogue.version() } else { 0 } }
    }
}

/// What follows [`Eras`] in the same datagram: the era of the store in which operators have written
/// again what it lacked when it came back from an older copy, or 0. VMs of earlier versions don't say.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Settled {
    /// The era.
    pub era: u64,
}

impl Settled {
    fn of(core: &Core) -> Settled {
        let known = core.key_confirmation.get();
        Settled { era: if known.is_settled(core.clock.now()) { known.era() } else { 0 } }
    }
}

/// What follows [`Settled`] in the same datagram: upstreams that health checks found to be cold, by
/// [`health::key`], with the time left in ms. VMs of earlier versions don't say.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cold {
    /// The upstreams.
    pub upstreams: Vec<(u64, u64)>,
}

/// An encoded heartbeat without the parts that depend on its receiver.
pub struct Message {
    pub bytes: Vec<u8>,
    /// When it was made; what it says of ages holds for this moment.
    pub made: Millis,
    pub ages: Ages,
    pub eras: Eras,
    pub settled: Settled,
    pub cold: Cold,
}

/// The parts of a datagram.
#[derive(Debug)]
pub struct Datagram {
    pub heartbeat: Heartbeat,
    pub extension: Extension,
    pub timing: Option<Timing>,
    pub view: View,
    pub ages: Ages,
    pub eras: Eras,
    pub settled: Settled,
    pub cold: Cold,
}

/// Decodes a datagram.
pub fn decode(bytes: &[u8]) -> Result<Datagram, rmp_serde::decode::Error> {
    let mut decoder = rmp_serde::Deserializer::from_read_ref(bytes);
    let heartbeat = Heartbeat::deserialize(&mut decoder)?;
    let extension = optional(Extension::deserialize(&mut decoder))?.unwrap_or(Extension::NONE);
    let timing = optional(Timing::deserialize(&mut decoder))?;
    let view = optional(View::deserialize(&mut decoder))?.unwrap_or(View::NONE);
    let ages = optional(Ages::deserialize(&mut decoder))?.unwrap_or_default();
    let eras = optional(Eras::deserialize(&mut decoder))?.unwrap_or_default();
    let settled = optional(Settled::deserialize(&mut decoder))?.unwrap_or_default();
    let cold = optional(Cold::deserialize(&mut decoder))?.unwrap_or_default();
    Ok(Datagram { heartbeat, extension, timing, view, ages, eras, settled, cold })
}

/// A part that VMs of earlier versions don't send.
fn optional<Part>(
    decoded: Result<Part, rmp_serde::decode::Error>,
) -> Result<Option<Part>, rmp_serde::decode::Error> {
    match decoded {
        Ok(part) => Ok(Some(part)),
        Err(rmp_serde::decode::Error::InvalidMarkerRead(_)) => Ok(None),
        Err(error) => Err(error),
    }
}

/// Encodes a heartbeat with this VM, `peers` in full and `summaries`; `requests_reply` is whether
/// the receiver shall send one in return.
pub fn encode(
    core: &Core,
    peers: Vec<Member>,
    summaries: &[(Summary, Millis)],
    requests_reply: bool,
) -> Message {
    let made = core.clock.now();
    let member_ages = {
        let (members, now) = (core.members.borrow(), core.clock.now());
        let peers = peers.iter().map(|peer| Ages::encode(members.age(&peer.vm, now)));
        Ages {
            members: std::iter::once(0).chain(peers).collect(),
            summaries: summaries.iter().map(|(_, age)| Ages::encode(*age)).collect(),
        }
    };
    let own = {
        let mut own = core.own_member.borrow_mut();
        own.counter += 1;
        own.ready = core.is_ready_for_peers();
        own.clone()
    };
    let members = std::iter::once(own).chain(peers).collect();
    let catalogue = core.catalogue.borrow();
    let revisions = Feed::ALL.map(|feed| match catalogue.is_listed(feed) {
        true => catalogue.newest_revision(feed),
        false => 0,
    });
    let ages = Feed::ALL.map(|feed| core.claimed_age(feed).map(|age| age.0));
    let now = core.clock.now();
    let contact = core.store_uptime.get().map(|known| ((now - known.start).0, (now - known.end).0));
    let summaries = summaries.iter().map(|(summary, _)| *summary).collect();
    let heartbeat = Heartbeat { members, summaries, revisions, ages, contact };
    let complete_after = Feed::ALL.map(|feed| match catalogue.is_listed(feed) {
        true => catalogue.complete_after(feed),
        false => u64::MAX,
    });
    let extension = Extension { complete_after, requests_reply };
    let mut bytes = Vec::new();
    let encoded = rmp_serde::encode::write(&mut bytes, &heartbeat)
        .and_then(|()| rmp_serde::encode::write(&mut bytes, &extension));
    if let Err(error) = encoded {
        log::error!(
            target: "heartbeat", cause:% = error;
            "can't encode a heartbeat; sending an empty datagram"
        );
        bytes.clear();
    }
    let (eras, settled) = (Eras::of(&catalogue), Settled::of(core));
    let cold = Cold { upstreams: health::told(core) };
    Message { bytes, made, ages: member_ages, eras, settled, cold }
}
