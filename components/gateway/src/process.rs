//! Start and stop of the process and its tasks.

use crate::changes::Puller;
use crate::closing::{self, Cause};
use crate::core::{self, Core, Phase};
use crate::crowd::Crowd;
use crate::heartbeat::Round;
use crate::{
    Ledger, Protocol, Settings, Source, caps, changes, connector, follow, health, heartbeat,
    inbound, lookup, settlement, simple_http,
};
use clock::{Clock, Millis};
use errors::{Error, Kind};
use http1::net;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use steering::catalogue::Feed;
use tokio::net::{TcpListener, UdpSocket};
use tokio::task::JoinHandle;

/// How long a stopping process still accepts connections, as callers hold leases on its address.
const ACCEPT_SPAN: Millis = Millis(2_500);
/// Margin before the end of the grace period, so that the process ends before it is killed.
const GRACE_MARGIN: Millis = Millis(400);
/// Time to write error responses to requests that could not be completed.
const LAST_RESPONSES_SPAN: Millis = Millis(100);
/// How often a stopping process checks whether all requests are done, and the delay after a failed
/// `accept`.
const POLL_INTERVAL: Millis = Millis(50);
/// The part of the connections that callers may use; the rest is for upstreams and peers.
const CALLER_CONNECTIONS_PART: f64 = 0.6;
/// The part that each of the other addresses may use, and the least of each.
const OTHER_CONNECTIONS_PART: f64 = 0.05;
const MIN_OTHER_CONNECTIONS: usize = 16;

/// A running gateway; its tasks run on the current `LocalSet`.
pub struct Gateway {
    core: Rc<Core>,
    accepting: JoinHandle<()>,
    heartbeats: Rc<UdpSocket>,
}

impl Gateway {
    /// Binds all addresses and starts the tasks; `sources` opens a store connection for each feed.
    ///
    /// # Errors
    ///
    /// [`Kind::BadSettings`] when an address can't be bound.
    pub async fn open<Sources>(
        settings: Settings,
        protocol: Box<dyn Protocol>,
        sources: Sources,
        clock: Clock,
    ) -> Result<Gateway, Error>
    where
        Sources: Fn() -> Box<dyn Source>,
    {
        let listen = settings.listen;
        let core = Rc::new(Core::new(settings, protocol, clock));
        let heartbeats = UdpSocket::bind(listen.heartbeats).await;
        let heartbeats =
            Rc::new(heartbeats.map_err(|cause| bind_failed(listen.heartbeats, &cause))?);
        let callers = bind(listen.callers)?;
        let shared = Rc::clone(&core);
        spawn(simple_http::serve(
            Rc::clone(&core),
            bind(listen.lookups)?,
            "lookups",
            Rc::new(move |head| lookup::look_up(&shared, head)),
        ));
        let shared = Rc::clone(&core);
        spawn(simple_http::serve(
            Rc::clone(&core),
            bind(listen.readiness)?,
            "readiness",
            Rc::new(move |head| lookup::readiness(&shared, head)),
        ));
        let shared = Rc::clone(&core);
        spawn(simple_http::serve(
            Rc::clone(&core),
            bind(listen.changes)?,
            "changes",
            Rc::new(move |head| changes::serve(&shared, head)),
        ));
        if let Some(address) = listen.metrics {
            let listener = bind(address)?;
            let handler = Rc::new(|_: &_| lookup::metrics());
            spawn(simple_http::serve(Rc::clone(&core), listener, "metrics", handler));
        }
        for feed in Feed::ALL {
            spawn(follow::follow(Rc::clone(&core), sources(), feed));
        }
        spawn(connector::close_unusable(Rc::clone(&core)));
        spawn(core::expire(Rc::clone(&core)));
        spawn(health::watch(Rc::clone(&core)));
        spawn(heartbeat::send(Rc::clone(&core), Rc::clone(&heartbeats)));
        spawn(heartbeat::request_from_readers(Rc::clone(&core), Rc::clone(&heartbeats)));
        let (puller, shared) = (Rc::new(Puller::default()), Rc::clone(&core));
        let on_newer = move |newer| puller.pull(&shared, newer);
        spawn(heartbeat::receive(Rc::clone(&core), Rc::clone(&heartbeats), on_newer));
        let accepting = spawn(accept(Rc::clone(&core), callers));
        log::info!(target: "process", vm = core.settings().vm.as_ref(); "started");
        Ok(Gateway { core, accepting, heartbeats })
    }

    /// Enforces the usage caps of client accounts, with shares that VMs agree on by the row of
    /// `ledger`. Without accounts that have caps, nothing is sent and the row is not used.
    ///
    /// # Errors
    ///
    /// [`Kind::BadSettings`] when the address for messages about caps can't be bound.
    pub async fn enforce_caps(&self, ledger: Box<dyn Ledger>) -> Result<(), Error> {
        let core = &self.core;
        let address = caps::address(core.settings().listen.heartbeats);
        let socket = UdpSocket::bind(address).await;
        let socket = Rc::new(socket.map_err(|cause| bind_failed(address, &cause))?);
        core.caps.enforce();
        spawn(caps::report(Rc::clone(core), Rc::clone(&socket)));
        spawn(caps::receive(Rc::clone(core), Rc::clone(&socket)));
        spawn(caps::keep_term(Rc::clone(core), ledger, socket));
        Ok(())
    }

    /// Shares with the processes that start later, by the row of `ledger`, that the store has again what
    /// it lacked when it came back from an older copy. Without a bound on withdrawn keys the row is not
    /// used.
    pub fn remember_eras(&self, ledger: Box<dyn Ledger>) {
        spawn(settlement::follow(Rc::clone(&self.core), ledger));
    }

    /// Applies changed settings; the addresses to listen on stay until a restart.
    pub fn reload(&self, settings: Settings) {
        log::info!(
            target: "process", vm = settings.vm.as_ref(), seeds = settings.seeds.len();
            "settings reloaded"
        );
        self.core.apply_settings(Settings { listen: self.core.settings().listen, ..settings });
    }

    /// Shuts down: accepts connections for a short time more, waits for requests in flight until
    /// shortly before the end of the grace period, and responds to the rest with an error.
    pub async fn close(self) {
        let Gateway { core, accepting, heartbeats } = self;
        let clock = core.clock;
        let started = clock.now();
        log::info!(target: "process", in_flight = core.in_flight.get(); "stopping");
        let deadline = started + core.settings().bounds.grace - GRACE_MARGIN;
        core.stop_deadline.set(Some(deadline));
        core.phase.send_replace(Phase::Stopping);
        heartbeat::send_round(&core, &heartbeats, Round::Brief).await;
        clock.sleep(ACCEPT_SPAN).await;
        accepting.abort();
        core.phase.send_replace(Phase::Closing);
        while clock.now() < deadline
            && (core.in_flight.get() > 0 || core.caller_connections.get() > 0)
        {
            clock.sleep(POLL_INTERVAL).await;
        }
        if core.in_flight.get() > 0 {
            core.phase.send_replace(Phase::Ending);
            clock.sleep(LAST_RESPONSES_SPAN).await;
        }
        log::info!(
            target: "process", in_flight = core.in_flight.get(),
            took_ms = (clock.now() - started).0;
            "stopped"
        );
    }
}

async fn accept(core: Rc<Core>, listener: TcpListener) {
    let crowd: Rc<Crowd> = Rc::default();
    loop {
        let accepted = listener.accept().await;
        let limit = (core.settings().max_connections as f64 * CALLER_CONNECTIONS_PART) as usize;
        match accepted {
            Ok((stream, _)) => match crowd.admit(limit, core.clock.now()) {
                Some(guest) => {
                    spawn(inbound::serve(Rc::clone(&core), stream, guest));
                }
                None => closing::report(inbound::LISTENER, Cause::Full),
            },
            Err(error) => {
                log::warn!(
                    target: "listener", cause:% = error;
                    "can't accept a connection; retrying"
                );
                core.clock.sleep(POLL_INTERVAL).await;
            }
        }
    }
}

/// The connections that each address other than that of callers' requests may have.
pub fn other_connections(core: &Core) -> usize {
    let part = core.settings().max_connections as f64 * OTHER_CONNECTIONS_PART;
    MIN_OTHER_CONNECTIONS.max(part as usize)
}

fn spawn<Task>(task: Task) -> JoinHandle<()>
where
    Task: Future<Output = ()> + 'static,
{
    tokio::task::spawn_local(task)
}

fn bind(address: SocketAddr) -> Result<TcpListener, Error> {
    net::listen(address).map_err(|cause| bind_failed(address, &cause))
}

fn bind_failed(address: SocketAddr, cause: &io::Error) -> Error {
    Error::new(Kind::BadSettings, format!("can't listen on {address}: {cause}"))
}
