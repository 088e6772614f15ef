//! Connections that notice when the other side has fallen silent.

use clock::Millis;
use socket2::{SockRef, TcpKeepalive};
use std::io;
use std::net::SocketAddr;
use tokio::net::{TcpListener, TcpSocket, TcpStream};

/// Unanswered probes after which the system gives a connection up.
const PROBES: u32 = 2;
/// Connections that may wait to be accepted; a queue that overflows delays callers by seconds.
const BACKLOG: u32 = 4_096;

/// How long a connection may take to open, and to be silent once it is open.
#[derive(Clone, Copy, Debug)]
pub struct Timeouts {
    /// Time to open it.
    pub connect: Millis,
    /// Time without any sign of life from the other system.
    pub silence: Millis,
}

/// Opens a connection.
///
/// # Errors
///
/// The system's, and `TimedOut` after `timeouts.connect`.
pub async fn connect(address: SocketAddr, timeouts: Timeouts) -> io::Result<TcpStream> {
    let opening = TcpStream::connect(address);
    let stream = tokio::time::timeout(timeouts.connect.duration(), opening).await??;
    configure(&stream, timeouts.silence)?;
    Ok(stream)
}

/// Sends small messages at once, and fails the connection after `silence` without a sign of life.
///
/// # Errors
///
/// The system's.
pub fn configure(stream: &TcpStream, silence: Millis) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(silence.duration()))?;
    let interval = Millis((silence.0 / u64::from(PROBES + 1)).max(1_000));
    let probes = TcpKeepalive::new()
        .with_time(interval.duration())
        .with_interval(interval.duration())
        .with_retries(PROBES);
    socket.set_tcp_keepalive(&probes)
}

/// Makes every close of the connection a reset, which also takes back what is still on its way.
///
/// A request that was given up on must not reach its upstream later, when a cut link heals.
///
/// # Errors
///
/// The system's.
pub fn reset_on_close(stream: &TcpStream) -> io::Result<()> {
    SockRef::from(stream).set_linger(Some(std::time::Duration::ZERO))
}

/// Listens at `address`, also right after an earlier process had it.
///
/// # Errors
///
/// The system's.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}
