//! TCP connections that fail when the remote host stops responding.

use clock::Millis;
use socket2::{SockRef, TcpKeepalive};
use std::io;
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use tokio::net::{TcpListener, TcpSocket, TcpStream};

/// Unacknowledged keep-alive probes after which the kernel closes a connection.
const KEEPALIVE_PROBES: u32 = 2;
/// Connections waiting to be accepted; an overflow delays callers by seconds.
const BACKLOG: u32 = 4_096;

/// Timeouts of a connection.
#[derive(Clone, Copy, Debug)]
pub struct Timeouts {
    /// Time to open the connection.
    pub connect: Millis,
    /// Time without an acknowledgement from the remote host of what was sent.
    pub silence: Millis,
}

/// Opens a connection. It fails once bytes that were sent are not acknowledged for
/// `timeouts.silence`.
///
/// # Errors
///
/// Those of the operating system, and `TimedOut` after `timeouts.connect`.
pub async fn connect(address: SocketAddr, timeouts: Timeouts) -> io::Result<TcpStream> {
    let opening = TcpStream::connect(address);
    let stream = tokio::time::timeout(timeouts.connect.duration(), opening).await??;
    stream.set_nodelay(true)?;
    set_user_timeout(&stream, timeouts.silence)?;
    Ok(stream)
}

/// Disables Nagle's algorithm, and fails the connection after `silence` without a segment or
/// acknowledgement from the remote host, also while nothing is sent.
///
/// # Errors
///
/// Those of the operating system.
pub fn configure(stream: &TcpStream, silence: Millis) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(silence.duration()))?;
    let interval = Millis((silence.0 / u64::from(KEEPALIVE_PROBES + 1)).max(1_000));
    let probes = TcpKeepalive::new()
        .with_time(interval.duration())
        .with_interval(interval.duration())
        .with_retries(KEEPALIVE_PROBES);
    socket.set_tcp_keepalive(&probes)
}

/// Fails the connection after `timeout` in which the remote host acknowledges nothing or, for bytes that
/// it has no room for, reads nothing.
///
/// # Errors
///
/// Those of the operating system.
pub fn set_user_timeout(stream: &TcpStream, timeout: Millis) -> io::Result<()> {
    SockRef::from(stream).set_tcp_user_timeout(Some(timeout.duration()))
}

/// Whether bytes have been received that are not read yet, also those that the runtime doesn't know of
/// because the process got no processor time.
pub fn has_received(stream: &TcpStream) -> bool {
    let mut byte = [MaybeUninit::uninit()];
    matches!(SockRef::from(stream).peek(&mut byte), Ok(length) if length > 0)
}

/// Makes every close of the connection a reset, which discards unsent data.
///
/// An abandoned request must not reach its upstream later, when a network partition heals.
///
/// # Errors
///
/// Those of the operating system.
pub fn reset_on_close(stream: &TcpStream) -> io::Result<()> {
    SockRef::from(stream).set_linger(Some(std::time::Duration::ZERO))
}

/// Listens at `address`, even right after another process has released it.
///
/// # Errors
///
/// Those of the operating system.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}
