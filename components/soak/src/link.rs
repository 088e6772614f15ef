//! A TCP proxy in front of an upstream that injects network faults.

use crate::fault::Condition;
use clock::Millis;
use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::Notify;

const BUFFER_BYTES: usize = 16 * 1024;

/// The proxy of one upstream.
#[derive(Debug, Default)]
pub struct Link {
    condition: Cell<Condition>,
    changed: Notify,
}

impl Link {
    /// Starts to forward connections from `address` to `upstream`.
    pub fn open(address: SocketAddr, upstream: SocketAddr) -> io::Result<Rc<Link>> {
        let listener = http1::net::listen(address)?;
        let link = Rc::new(Link::default());
        let shared = Rc::clone(&link);
        tokio::task::spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::task::spawn_local(Rc::clone(&shared).serve(stream, upstream));
            }
        });
        Ok(link)
    }

    /// Sets the condition of all connections from now on.
    pub fn set(&self, condition: Condition) {
        self.condition.set(condition);
        self.changed.notify_waiters();
    }

    async fn serve(self: Rc<Link>, gateway: TcpStream, upstream: SocketAddr) {
        // Every close is a reset, as with a failing network.
        if http1::net::reset_on_close(&gateway).is_err()
            || self.condition.get() == Condition::Resets
        {
            return;
        }
        let Ok(upstream) = TcpStream::connect(upstream).await else {
            return;
        };
        let (from_gateway, to_gateway) = gateway.into_split();
        let (from_upstream, to_upstream) = upstream.into_split();
        tokio::select! {
            () = self.forward(from_gateway, to_upstream, false) => {}
            () = self.forward(from_upstream, to_gateway, true) => {}
            () = self.wait_for_reset() => {}
        }
    }

    async fn wait_for_reset(&self) {
        loop {
            self.changed.notified().await;
            if self.condition.get() == Condition::Resets {
                return;
            }
        }
    }

    /// Forwards bytes until one side closes; `is_response` marks the direction from the upstream.
    async fn forward(&self, mut from: OwnedReadHalf, mut to: OwnedWriteHalf, is_response: bool) {
        let mut buffer = vec![0; BUFFER_BYTES];
        let mut lost_bytes = false;
        while let Ok(count @ 1..) = from.read(&mut buffer).await {
            match self.condition.get() {
                Condition::Delays(span) => tokio::time::sleep(span.duration()).await,
                Condition::DropsAll => lost_bytes = true,
                Condition::DropsResponses if is_response => lost_bytes = true,
                _ => {}
            }
            if !lost_bytes && to.write_all(&buffer[..count]).await.is_err() {
                return;
            }
        }
        if lost_bytes {
            // The other side must not notice the close of a partitioned connection either.
            tokio::time::sleep(Millis::from_secs(5).duration()).await;
        }
    }
}
