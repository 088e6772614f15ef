use clock::Millis;
use settings::{Class, Deployment, Link, Region, Service};
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use steering::{Snapshot, State, Upstream, Vm, sample};

const ENTRY_VMS: usize = 9;
const UPSTREAMS: u32 = 12;
const CONNECTIONS: u32 = 330;
const UPSTREAM_PORT: u16 = 8000;

/// One of the two deployments that heatherbend is made for, with nine entry VMs and 12 upstreams.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scenario {
    /// Three regions 12 ms apart; three slots on each upstream.
    Maalwerk,
    /// Three regions 55 ms apart; eight slots on each upstream of the status service.
    Lumiere,
}

impl Scenario {
    /// Both deployments.
    pub const ALL: [Scenario; 2] = [Scenario::Maalwerk, Scenario::Lumiere];

    /// The deployment of this name; `None` if the name is unknown.
    pub fn parse(name: &str) -> Option<Scenario> {
        Scenario::ALL.into_iter().find(|scenario| scenario.name() == name)
    }

    /// The deployment's name on the command line.
    pub fn name(self) -> &'static str {
        match self {
            Scenario::Maalwerk => "maalwerk",
            Scenario::Lumiere => "lumiere",
        }
    }

    /// The service that callers read status from; its requests are short.
    pub fn status_service(self) -> &'static str {
        match self {
            Scenario::Maalwerk => "status-desk",
            Scenario::Lumiere => "circuit-status",
        }
    }

    /// Requests that one upstream of the status service runs at a time.
    pub fn slots(self) -> u32 {
        match self {
            Scenario::Maalwerk => 3,
            Scenario::Lumiere => 8,
        }
    }

    /// The round trip to the platform's table when it is in another region.
    pub fn store_round_trip(self) -> Millis {
        let delay = self.links()[0].delay;
        delay + delay
    }

    /// The snapshot that every entry VM uses.
    pub fn snapshot(self) -> Snapshot {
        let mut snapshot = sample::snapshot(sample::Size::TODAY);
        snapshot.deployment = Arc::new(self.deployment());
        snapshot.vms = (0..ENTRY_VMS).map(|number| self.entry(number)).collect();
        snapshot.upstreams = (0..UPSTREAMS as usize).map(|number| self.upstream(number)).collect();
        snapshot.preset.long_share = LONG_SHARE;
        snapshot
    }

    fn deployment(self) -> Deployment {
        let mut deployment = sample::deployment(sample::Size::TODAY, 10_000);
        deployment.name = self.name().into();
        deployment.domain_delay = self.domain_delay();
        deployment.regions = self.regions().iter().map(|name| region(name)).collect();
        deployment.links = self.links();
        deployment.sites.clear();
        deployment.services = vec![Service {
            name: self.status_service().into(),
            class: Class::Short,
            servers: UPSTREAMS,
            slots: self.slots(),
            connections: CONNECTIONS,
            connect: Millis(1),
            deadline: Millis(5000),
        }];
        deployment
    }

    fn regions(self) -> [&'static str; 3] {
        match self {
            Scenario::Maalwerk => ["antwerpen", "gent", "leuven"],
            Scenario::Lumiere => ["nord", "centre", "sud"],
        }
    }

    /// The one-way delay between two regions.
    pub fn link_delay(self) -> Millis {
        match self {
            Scenario::Maalwerk => Millis(12),
            Scenario::Lumiere => Millis(55),
        }
    }

    fn domain_delay(self) -> Millis {
        match self {
            Scenario::Maalwerk => Millis(5),
            Scenario::Lumiere => Millis(4),
        }
    }

    /// The round trip between two regions.
    pub fn region_round_trip(self) -> Millis {
        self.region_delay() + self.region_delay()
    }

    fn region_delay(self) -> Millis {
        match self {
            Scenario::Maalwerk => Millis(12),
            Scenario::Lumiere => Millis(55),
        }
    }

    fn links(self) -> Vec<Link> {
        let delay = self.region_delay();
        let capacity_mbit = match self {
            Scenario::Maalwerk => 280,
            Scenario::Lumiere => 4000,
        };
        let regions = self.regions();
        let link = |from: usize, to: usize| Link {
            from: regions[from].into(),
            to: regions[to].into(),
            capacity_mbit,
            delay,
        };
        vec![link(0, 1), link(0, 2), link(1, 2)]
    }

    fn entry(self, number: usize) -> Vm {
        let mut vm = sample::vm(number);
        vm.domain = self.domain(number);
        vm
    }

    fn upstream(self, number: usize) -> Upstream {
        let octets = [10, 1, 0, number as u8];
        Upstream {
            name: format!("server-{number:02}").into(),
            service: self.status_service().into(),
            domain: self.domain(number),
            address: SocketAddr::from((Ipv4Addr::from(octets), UPSTREAM_PORT)),
            state: State::Live,
        }
    }

    /// The failure domain of the VM or upstream `number`: even over the regions, then over the
    /// failure domains of each region.
    fn domain(self, number: usize) -> Arc<str> {
        let region = self.regions()[number % 3];
        domain_name(region, number / 3 % 2)
    }
}

/// The share of the slots that long requests may hold.
const LONG_SHARE: f64 = 0.34;

fn region(name: &str) -> Region {
    let domains = vec![domain_name(name, 0), domain_name(name, 1)];
    Region { name: name.into(), domains, capacity: 10_000 }
}

fn domain_name(region: &str, number: usize) -> Arc<str> {
    format!("{region}-{number}").into()
}
