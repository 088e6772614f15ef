//! How connections of callers and peers end.

use clock::Millis;
use http1::Reader;
use telemetry::names;
use tokio::net::tcp::OwnedReadHalf;

/// How long a closing connection waits for the caller to close it too. Callers may read the last
/// response slowly.
const LINGER_TIMEOUT: Millis = Millis(5_000);
/// The most bytes that are discarded meanwhile.
const MAX_LINGER_BYTES: usize = 4 * 1024 * 1024;

/// Why this process closes a connection that its other end has not ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// Others need the memory that it holds.
    Memory,
    /// Others need its descriptor.
    Connections,
    /// It is new, and no other can make room for it.
    Full,
    /// It was idle for too long.
    Idle,
    /// Its request did not end in time, or its response was not read in time.
    Slow,
    /// Its request can't be understood.
    Malformed,
}

impl Cause {
    /// The value of the label `reason`.
    pub const fn as_str(self) -> &'static str {
        match self {
            Cause::Memory => "memory",
            Cause::Connections => "connections",
            Cause::Full => "full",
            Cause::Idle => "idle",
            Cause::Slow => "slow",
            Cause::Malformed => "malformed",
        }
    }
}

/// Counts and logs that a connection to the address `listener` is closed.
pub fn report(listener: &'static str, cause: Cause) {
    let limit = cause.as_str();
    metrics::counter!(names::CLOSINGS, names::LISTENER => listener, names::REASON => limit)
        .increment(1);
    if cause == Cause::Idle || telemetry::admit_line() == telemetry::Admission::Suppressed {
        return;
    }
    let text = match cause {
        Cause::Memory | Cause::Connections => {
            "others need what the connection holds for longest; closing it"
        }
        Cause::Full => {
            "connection limit of the address reached, and none is idle; closing a new one"
        }
        Cause::Idle | Cause::Slow => {
            "request or response not complete in time; closing the connection"
        }
        Cause::Malformed => "malformed request; closing the connection",
    };
    log::info!(target: "listener", listener = listener, limit = limit; "{text}");
}

/// Waits until the caller has closed the connection too: closing a socket with unread bytes resets
/// the connection and could discard a response in flight. Further requests are discarded.
pub async fn linger(reader: &mut Reader<OwnedReadHalf>) {
    let discard = async {
        let mut discarded = 0;
        while discarded < MAX_LINGER_BYTES {
            match reader.discard().await {
                Ok(length) if length > 0 => discarded += length,
                _ => return,
            }
        }
    };
    // After the timeout, the connection is closed anyway.
    let _ = tokio::time::timeout(LINGER_TIMEOUT.duration(), discard).await;
}
