use crate::world::Setup;
use clock::{Clock, Millis};
use settings::{Class, Service};
use std::net::SocketAddr;
use std::sync::Arc;
use steering::sample::{Size, snapshot as sample};
use steering::{Snapshot, State, Upstream};
use upstream::fake::{Fleet, Performance, Server};

const SIZE: Size = Size { vms: 3, sites: 3, blocks: 4 };

pub fn snapshot(setup: &Setup) -> Snapshot {
    let mut snapshot = sample(SIZE);
    let mut deployment = (*snapshot.deployment).clone();
    deployment.services =
        setup.services.iter().map(|(name, class)| service(name, *class, setup.upstreams)).collect();
    for (number, vm) in snapshot.vms.iter_mut().enumerate() {
        vm.name = format!("e{}", number + 1).into();
    }
    for (number, member) in snapshot.plan.members.iter_mut().enumerate() {
        member.vm = format!("e{}", number + 1).into();
    }
    let domains: Vec<Arc<str>> =
        deployment.regions.iter().flat_map(|region| region.domains.clone()).collect();
    snapshot.upstreams = deployment
        .services
        .iter()
        .enumerate()
        .flat_map(|(index, service)| upstreams(index, service, &domains))
        .collect();
    snapshot.upstreams.sort_by(|one, other| one.name.cmp(&other.name));
    snapshot.deployment = Arc::new(deployment);
    snapshot
}

fn service(name: &str, class: Class, upstreams: u16) -> Service {
    Service {
        name: name.into(),
        class,
        servers: u32::from(upstreams),
        slots: 3,
        connections: 330,
        connect: Millis(1),
        deadline: Millis(5_000),
    }
}

fn upstreams(index: usize, service: &Service, domains: &[Arc<str>]) -> Vec<Upstream> {
    let upstream = |number: u16| Upstream {
        name: format!("{}{}", &service.name[..1], number + 1).into(),
        service: Arc::clone(&service.name),
        domain: Arc::clone(&domains[usize::from(number) % domains.len()]),
        address: SocketAddr::from(([10, 1, index as u8, number as u8], 8000)),
        state: State::Live,
    };
    (0..service.servers as u16).map(upstream).collect()
}

pub fn fleet(snapshot: &Snapshot, clock: Clock) -> Arc<Fleet> {
    let fleet = Fleet::new();
    for upstream in &snapshot.upstreams {
        let server = Server::new(Arc::clone(&upstream.name), clock, Performance::default());
        fleet.put(upstream.address, Arc::new(server));
    }
    Arc::new(fleet)
}
