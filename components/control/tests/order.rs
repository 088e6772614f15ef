//! An agent never installs an older configuration or plan, whatever a peer claims.

use async_trait::async_trait;
use clock::Millis;
use control::fake::{Cluster, address};
use operator::Api;
use operator::wire::{Apply, UsePreset};
use peer::message::{Body, Header, Record, Request, Stamp};
use peer::{Handler, Message, Reply};
use std::sync::Arc;
use steering::{Plan, sample};

const STALE_PEER: usize = 5;

/// A peer that claims to have the newest versions but replies with old content.
struct StalePeer {
    current: Body,
    declaration: Body,
}

/// A header that claims versions newer than those of the fleet.
fn newer_header() -> Header {
    Header {
        own: Record { vm: sample::vm(STALE_PEER), beat: 1 },
        stamp: Stamp { version: 99, epoch: 99, sequence: 99 },
        records: Vec::new(),
        leaving_notices: Vec::new(),
        roster_digest: Default::default(),
    }
}

#[async_trait]
impl Handler for StalePeer {
    async fn handle(&self, message: Message) -> Reply {
        let body = match message.request {
            Request::Current => self.current.clone(),
            Request::Declaration { .. } => self.declaration.clone(),
            Request::Plan => Body::Plan(Plan { epoch: 1, sequence: 1, ..Plan::default() }),
            _ => Body::Acknowledged,
        };
        Reply { header: newer_header(), body }
    }
}

async fn request(cluster: &Cluster, request: Request) -> Body {
    let transport = cluster.network.transport(address(STALE_PEER));
    let message = Message { header: Header { stamp: Stamp::default(), ..newer_header() }, request };
    transport.call(address(0), message).await.expect("a running agent").body
}

#[tokio::test(start_paused = true)]
async fn an_old_version_and_an_old_plan_are_never_installed() {
    let mut cluster = Cluster::new(3, 1);
    cluster.start_all();
    let agent = cluster.agent(0).expect("a running agent");
    let source = settings::write(&cluster.declaration());
    let first = Apply { expected: 0, operation: "first".into(), source };
    agent.apply(first).await.expect("the first configuration");
    let current = request(&cluster, Request::Current).await;
    let Body::Current(old) = &current else { panic!("{current:?}") };
    let declaration =
        request(&cluster, Request::Declaration { digest: Arc::clone(&old.digest) }).await;
    let second = UsePreset { expected: 1, operation: "second".into(), preset: "peak".into() };
    agent.use_preset(second).await.expect("the second configuration");
    cluster.clock.sleep(Millis(20_000)).await;
    let before = agent.stamp();
    assert!(before.version == 2 && (before.epoch, before.sequence) > (1, 1), "{before:?}");

    cluster.network.attach(address(STALE_PEER), Arc::new(StalePeer { current, declaration }));
    let transport = cluster.network.transport(address(STALE_PEER));
    let push = Message {
        header: newer_header(),
        request: Request::Push { origin: sample::vm(STALE_PEER).name },
    };
    transport.call(address(0), push).await.expect("a running agent");
    cluster.clock.sleep(Millis(3000)).await;
    let after = agent.stamp();
    assert_eq!(after.version, 2);
    assert!((after.epoch, after.sequence) >= (before.epoch, before.sequence), "{after:?}");
}
