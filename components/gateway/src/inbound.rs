//! Connections of callers. Pipelined requests are read ahead and processed concurrently; responses
//! are written in the order of the requests.

mod requests;

use crate::closing::{self, Cause};
use crate::core::Core;
use crate::crowd::Guest;
use crate::responses::{self, Activity};
use clock::Millis;
use http1::{Reader, net};
use requests::RequestReader;
use std::cell::Cell;
use std::rc::Rc;
use tokio::net::TcpStream;
use tokio::sync::{mpsc, watch};

/// The name of the address of callers' requests in logs and metrics.
pub const LISTENER: &str = "callers";
/// Limit of concurrent requests on one connection.
const MAX_PIPELINED: usize = 32;
/// TCP keepalive and user timeout: a caller that acknowledges nothing for this time is gone. The kernel
/// counts a caller that acknowledges but doesn't read as well, so the time is longer for requests that
/// may be answered later.
const SILENCE_TIMEOUT: Millis = Millis::from_secs(5);

/// Serves a connection until either side closes it.
pub async fn serve(core: Rc<Core>, stream: TcpStream, guest: Guest) {
    if let Err(error) = net::configure(&stream, SILENCE_TIMEOUT) {
        log::debug!(
            target: "caller", cause:% = error;
            "can't set socket options; closing the connection"
        );
        return;
    }
    core.caller_connections.set(core.caller_connections.get() + 1);
    let (read, write) = stream.into_split();
    let (queue, pending) = mpsc::channel(MAX_PIPELINED);
    let (disconnect, disconnected) = watch::channel(false);
    let registration = core.memory.register();
    let owner = Rc::clone(&registration.owner);
    let activity = Rc::new(Activity {
        owner: Rc::clone(&owner),
        place: Rc::clone(&guest.place),
        last_response: Cell::new(core.clock.now()),
    });
    let writer = responses::write(Rc::clone(&core), write, pending, Rc::clone(&activity));
    let mut writer = tokio::task::spawn_local(writer);
    let mut reader = Reader::new(read);
    let serving = async {
        let silence_timeout = Cell::new(SILENCE_TIMEOUT);
        let reading = RequestReader { core: &core, activity, queue, disconnected, silence_timeout };
        let is_gone = reading.run(&mut reader).await;
        if is_gone {
            // Fails if the connection has no request in flight.
            let _ = disconnect.send(true);
        }
        let was_closed = (&mut writer).await.unwrap_or_else(|error| {
            log::error!(
                target: "caller", cause:% = error;
                "response writer panicked; closing the connection"
            );
            false
        });
        if was_closed && !is_gone {
            closing::linger(&mut reader).await;
        }
    };
    tokio::select! {
        // No request is started on a connection that is to be closed.
        biased;
        () = owner.closed() => closing::report(LISTENER, Cause::Memory),
        () = guest.place.evicted() => closing::report(LISTENER, Cause::Connections),
        () = serving => {}
    }
    // Does nothing if the writer has ended.
    writer.abort();
    // Fails if the connection has no request in flight.
    let _ = disconnect.send(true);
    core.caller_connections.set(core.caller_connections.get() - 1);
}
