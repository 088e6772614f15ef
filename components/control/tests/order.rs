//! A node keeps the order of versions and plans, whatever a peer claims.

use async_trait::async_trait;
use clock::Millis;
use control::fake::{Cluster, address};
use operator::Api;
use operator::wire::{Apply, UsePreset};
use peer::message::{Ask, Body, Header, Record, Stamp};
use peer::{Handler, Message, Reply};
use std::sync::Arc;
use steering::{Plan, sample};

const LIAR: usize = 5;

/// A peer that claims to be ahead of everybody and holds old content.
struct Liar {
    current: Body,
    declaration: Body,
}

fn claim() -> Header {
    Header {
        own: Record { vm: sample::vm(LIAR), beat: 1 },
        stamp: Stamp { version: 99, epoch: 99, sequence: 99 },
        records: Vec::new(),
        notices: Vec::new(),
        sample: Default::default(),
    }
}

#[async_trait]
impl Handler for Liar {
    async fn handle(&self, message: Message) -> Reply {
        let body = match message.ask {
            Ask::Current => self.current.clone(),
            Ask::Declaration { .. } => self.declaration.clone(),
            Ask::Plan => Body::Plan(Plan { epoch: 1, sequence: 1, ..Plan::default() }),
            _ => Body::Heard,
        };
        Reply { header: claim(), body }
    }
}

async fn ask(cluster: &Cluster, ask: Ask) -> Body {
    let transport = cluster.network.transport(address(LIAR));
    let message = Message { header: Header { stamp: Stamp::default(), ..claim() }, ask };
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
    let current = ask(&cluster, Ask::Current).await;
    let Body::Current(old) = &current else { panic!("{current:?}") };
    let declaration = ask(&cluster, Ask::Declaration { digest: Arc::clone(&old.digest) }).await;
    let second = UsePreset { expected: 1, operation: "second".into(), preset: "peak".into() };
    agent.use_preset(second).await.expect("the second configuration");
    cluster.clock.sleep(Millis(20_000)).await;
    let held = agent.stamp();
    assert!(held.version == 2 && (held.epoch, held.sequence) > (1, 1), "{held:?}");

    cluster.network.attach(address(LIAR), Arc::new(Liar { current, declaration }));
    let transport = cluster.network.transport(address(LIAR));
    let push = Message { header: claim(), ask: Ask::Push { origin: sample::vm(LIAR).name } };
    transport.call(address(0), push).await.expect("a running agent");
    cluster.clock.sleep(Millis(3000)).await;
    let now = agent.stamp();
    assert_eq!(now.version, 2);
    assert!((now.epoch, now.sequence) >= (held.epoch, held.sequence), "{now:?}");
}
