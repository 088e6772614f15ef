//! Starts and stops the tasks of a process.

use crate::changes::Asking;
use crate::core::{self, Core, Phase};
use crate::{Protocol, Settings, Source, changes, follow, heartbeat, inbound, lookup, small};
use clock::{Clock, Millis};
use errors::{Error, Kind};
use http1::net;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use steering::catalogue::Feed;
use tokio::net::{TcpListener, UdpSocket};
use tokio::task::JoinHandle;

/// How long a stopping process still accepts connections, since look-ups that name it are out.
const ACCEPTS: Millis = Millis(2_500);
/// What a stopping process leaves of its grace, so that its end isn't forced.
const GRACE_MARGIN: Millis = Millis(400);
/// Time for the answers to requests that could not be finished.
const LAST_ANSWERS: Millis = Millis(100);
/// How often a stopping process looks whether everything is answered.
const STOP_POLL: Millis = Millis(50);
/// The part of the connections that callers may take; the rest is for upstreams and neighbours.
const CALLERS_PART: f64 = 0.6;

/// A running process; all of its tasks are on the current `LocalSet`.
pub struct Gateway {
    core: Rc<Core>,
    accepting: JoinHandle<()>,
    heartbeats: Rc<UdpSocket>,
}

impl Gateway {
    /// Binds all addresses and starts; `sources` gives a connection to the store for each feed.
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
        let heartbeats = Rc::new(heartbeats.map_err(|cause| refused(listen.heartbeats, &cause))?);
        let callers = bind(listen.callers)?;
        let shared = Rc::clone(&core);
        spawn(small::serve(
            bind(listen.lookups)?,
            Rc::new(move |head| lookup::look_up(&shared, head)),
        ));
        let shared = Rc::clone(&core);
        spawn(small::serve(
            bind(listen.readiness)?,
            Rc::new(move |head| lookup::readiness(&shared, head)),
        ));
        let shared = Rc::clone(&core);
        spawn(small::serve(
            bind(listen.changes)?,
            Rc::new(move |head| changes::answer(&shared, head)),
        ));
        if let Some(address) = listen.metrics {
            spawn(small::serve(bind(address)?, Rc::new(|_| lookup::metrics())));
        }
        for feed in Feed::ALL {
            spawn(follow::follow(Rc::clone(&core), sources(), feed));
        }
        spawn(core::expire(Rc::clone(&core)));
        spawn(heartbeat::send(Rc::clone(&core), Rc::clone(&heartbeats)));
        let (asking, shared) = (Rc::new(Asking::default()), Rc::clone(&core));
        let notify = move |ahead| asking.ask(&shared, ahead);
        spawn(heartbeat::receive(Rc::clone(&core), Rc::clone(&heartbeats), notify));
        let accepting = spawn(accept(Rc::clone(&core), callers));
        log::info!(target: "process", vm = core.settings().vm.as_ref(); "started");
        Ok(Gateway { core, accepting, heartbeats })
    }

    /// Takes in changed settings; addresses stay as they are.
    pub fn reload(&self, settings: Settings) {
        log::info!(target: "process", vm = settings.vm.as_ref(), seeds = settings.seeds.len(); "reloaded");
        *self.core.settings.borrow_mut() =
            Rc::new(Settings { listen: self.core.settings().listen, ..settings });
    }

    /// Finishes every request that was read, then ends.
    pub async fn close(self) {
        let Gateway { core, accepting, heartbeats } = self;
        let clock = core.clock;
        let started = clock.now();
        log::info!(target: "process", in_flight = core.in_flight.get(); "stopping");
        let last = started + core.settings().bounds.grace - GRACE_MARGIN;
        core.ends_at.set(Some(last));
        core.stopping.send_replace(Phase::Stopping);
        heartbeat::round(&core, &heartbeats).await;
        clock.sleep(ACCEPTS).await;
        accepting.abort();
        core.stopping.send_replace(Phase::Closing);
        while clock.now() < last && (core.in_flight.get() > 0 || core.connections.get() > 0) {
            clock.sleep(STOP_POLL).await;
        }
        if core.in_flight.get() > 0 {
            core.stopping.send_replace(Phase::Ending);
            clock.sleep(LAST_ANSWERS).await;
        }
        log::info!(
            target: "process", in_flight = core.in_flight.get(),
            took_ms = (clock.now() - started).0;
            "stopped"
        );
    }
}

async fn accept(core: Rc<Core>, listener: TcpListener) {
    let most = (core.settings().max_connections as f64 * CALLERS_PART) as usize;
    loop {
        match listener.accept().await {
            Ok((stream, _)) if core.connections.get() < most => {
                spawn(inbound::serve(Rc::clone(&core), stream));
            }
            Ok(_) => {
                log::warn!(target: "listener", connections = most; "too many connections of callers");
            }
            Err(error) => {
                log::warn!(target: "listener", cause:% = error; "can't accept a connection");
                core.clock.sleep(STOP_POLL).await;
            }
        }
    }
}

fn spawn<Task>(task: Task) -> JoinHandle<()>
where
    Task: Future<Output = ()> + 'static,
{
    tokio::task::spawn_local(task)
}

fn bind(address: SocketAddr) -> Result<TcpListener, Error> {
    net::listen(address).map_err(|cause| refused(address, &cause))
}

fn refused(address: SocketAddr, cause: &io::Error) -> Error {
    Error::new(Kind::BadSettings, format!("can't listen on {address}: {cause}"))
}
