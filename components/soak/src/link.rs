//! A proxy in front of an upstream that delays, resets, cuts and silences connections.

use crate::fault::Line;
use clock::Millis;
use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::Notify;

const BUFFER: usize = 16 * 1024;

/// The way to one upstream.
#[derive(Debug, Default)]
pub struct Link {
    line: Cell<Line>,
    changed: Notify,
}

impl Link {
    /// Passes connections to `address` on to `inner`.
    pub fn open(address: SocketAddr, inner: SocketAddr) -> io::Result<Rc<Link>> {
        let listener = http1::net::listen(address)?;
        let link = Rc::new(Link::default());
        let shared = Rc::clone(&link);
        tokio::task::spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::task::spawn_local(Rc::clone(&shared).serve(stream, inner));
            }
        });
        Ok(link)
    }

    /// Sets what happens from now on.
    pub fn set(&self, line: Line) {
        self.line.set(line);
        self.changed.notify_waiters();
    }

    async fn serve(self: Rc<Link>, outer: TcpStream, inner: SocketAddr) {
        // Whatever ends here ends as a reset, which is what a failing network shows.
        if http1::net::reset_on_close(&outer).is_err() || self.line.get() == Line::Resets {
            return;
        }
        let Ok(inner) = TcpStream::connect(inner).await else {
            return;
        };
        let (from_outer, to_outer) = outer.into_split();
        let (from_inner, to_inner) = inner.into_split();
        tokio::select! {
            () = self.pass(from_outer, to_inner, false) => {}
            () = self.pass(from_inner, to_outer, true) => {}
            () = self.reset() => {}
        }
    }

    async fn reset(&self) {
        loop {
            self.changed.notified().await;
            if self.line.get() == Line::Resets {
                return;
            }
        }
    }

    /// Passes bytes on until either side ends; `back` is the way from the upstream.
    async fn pass(&self, mut from: OwnedReadHalf, mut to: OwnedWriteHalf, back: bool) {
        let mut buffer = vec![0; BUFFER];
        let mut dead = false;
        while let Ok(count @ 1..) = from.read(&mut buffer).await {
            match self.line.get() {
                Line::Delays(span) => tokio::time::sleep(span.duration()).await,
                Line::Silent => dead = true,
                Line::CutBack if back => dead = true,
                _ => {}
            }
            if !dead && to.write_all(&buffer[..count]).await.is_err() {
                return;
            }
        }
        if dead {
            // The end of a connection that was cut is not heard either.
            tokio::time::sleep(Millis::from_secs(5).duration()).await;
        }
    }
}
