//! Memory for what an upstream sends, which is counted before it is read. An upstream may send bytes
//! without end that are no response. See docs/design/upstream-bytes.md.

use crate::attempt::MAX_HEAD_BYTES;
use crate::core::Core;
use crate::memory::{Hold, Purpose};
use clock::Millis;
use http1::{Error, Headers, MAX_BUFFERED_BYTES, MAX_FIELDS_SIZE, Reader};
use std::cell::Cell;
use telemetry::names;
use tokio::net::tcp::OwnedReadHalf;

/// How often a response that found no memory tries again, until its deadline.
const RETRY_INTERVAL: Millis = Millis(20);

/// What a reader may hold, and the head that it has read.
const MAX_READ_BYTES: usize = MAX_BUFFERED_BYTES + MAX_HEAD_BYTES + MAX_FIELDS_SIZE;

/// Pieces of a body that are read before other tasks get a turn.
const PIECES_PER_TURN: u32 = 4;

/// Counts the pieces of a body, so that an upstream which always has more doesn't keep the thread.
#[derive(Debug, Default)]
pub struct Turn {
    pieces: u32,
}

impl Turn {
    /// Records a piece; lets other tasks run if it is their turn.
    pub async fn record_piece(&mut self) {
        self.pieces += 1;
        if self.pieces == PIECES_PER_TURN {
            self.pieces = 0;
            tokio::task::yield_now().await;
        }
    }
}

/// Waits until bytes have arrived on a connection and there is memory to read them. The hold covers
/// what the reader has and hasn't passed on, and a head.
///
/// # Errors
///
/// [`Error::Broken`].
pub async fn begin(
    core: &Core,
    request: &Hold,
    reader: &Reader<OwnedReadHalf>,
) -> Result<Hold, Error> {
    reader.stream().readable().await.map_err(|source| Error::Broken { source })?;
    let mut hold = request.sibling(Purpose::Response);
    grow(core, &mut hold, MAX_READ_BYTES as u64).await;
    Ok(hold)
}

/// Counts `bytes` more, once there is room.
pub async fn grow(core: &Core, hold: &mut Hold, bytes: u64) {
    let is_reported = Cell::new(false);
    while hold.grow(bytes).await.is_err() {
        report(&is_reported);
        core.clock.sleep(RETRY_INTERVAL).await;
    }
}

/// Lets `hold` count what the reader may have and the head that was read.
pub fn keep_reader_and_head(hold: &mut Hold, headers: &Headers) {
    hold.shrink((MAX_BUFFERED_BYTES + headers.size()) as u64);
}

/// Lets `hold` count only a head that was read.
pub fn keep_head(hold: &mut Hold, headers: &Headers) {
    hold.shrink(headers.size() as u64);
}

/// Takes a head that was read out of `hold`, which counts only what the reader may have then.
pub fn split_head(hold: &mut Hold, headers: &Headers) -> Hold {
    let head = hold.split(headers.size() as u64);
    hold.shrink(MAX_BUFFERED_BYTES as u64);
    head
}

fn report(is_reported: &Cell<bool>) {
    if is_reported.replace(true) {
        return;
    }
    metrics::counter!(names::SLOW_READERS, names::ACTION => "no_memory").increment(1);
    if telemetry::admit_line() != telemetry::Admission::Suppressed {
        log::info!(
            target: "attempt", action = "no_memory";
            "no memory for a response; its upstream waits"
        );
    }
}
