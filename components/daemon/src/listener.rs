use clock::Millis;
use errors::{Error, Kind};
use salvo::conn::Acceptor;
use salvo::conn::tcp::TcpAcceptor;
use salvo::prelude::{Router, Server};
use salvo::server::ServerHandle;
use std::io;
use std::net::SocketAddr;
use tokio::net::{TcpListener, TcpSocket};
use tokio::task::JoinHandle;

/// Connections that the kernel queues until they are accepted.
const BACKLOG_CONNECTIONS: u32 = 1024;

/// A bound address that doesn't accept requests yet, so that its port can be published first.
pub struct Socket {
    address: SocketAddr,
    acceptor: TcpAcceptor,
}

impl Socket {
    /// Binds `address`; port 0 picks a free port.
    ///
    /// # Errors
    ///
    /// [`Kind::BadSettings`] when the address can't be bound.
    pub async fn bind(address: SocketAddr) -> Result<Socket, Error> {
        let bind_error = |cause: String| {
            Error::new(Kind::BadSettings, format!("can't listen on {address}: {cause}"))
        };
        let listener = listen(address).map_err(|cause| bind_error(cause.to_string()))?;
        let acceptor =
            TcpAcceptor::try_from(listener).map_err(|cause| bind_error(cause.to_string()))?;
        let address =
            local_address(&acceptor).ok_or_else(|| bind_error("no local address".into()))?;
        Ok(Socket { address, acceptor })
    }

    /// The bound address, with the port that was picked for port 0.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Starts serving `router`.
    pub fn serve(self, router: Router) -> Listener {
        let server = Server::new(self.acceptor);
        let handle = server.handle();
        let task = tokio::spawn(server.serve(router));
        Listener { address: self.address, handle, task }
    }
}

/// An address that serves a router until it is closed.
pub struct Listener {
    address: SocketAddr,
    handle: ServerHandle,
    task: JoinHandle<()>,
}

impl Listener {
    /// Binds `address` and serves `router` there.
    ///
    /// # Errors
    ///
    /// [`Kind::BadSettings`] when the address can't be bound.
    pub async fn open(address: SocketAddr, router: Router) -> Result<Listener, Error> {
        Ok(Socket::bind(address).await?.serve(router))
    }

    /// The bound address, with the port that was picked for port 0.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops accepting, waits at most `timeout` for requests in flight, and ends.
    pub async fn close(self, timeout: Millis) {
        self.handle.stop_graceful(timeout.duration());
        // A join error means that the runtime shut down first, which ends the task as well.
        let _ = self.task.await;
    }
}

/// Listens on `address`. Accepted connections inherit `TCP_NODELAY`: without it, a response whose
/// head and body are two segments would wait for the caller's delayed acknowledgement.
fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.set_nodelay(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG_CONNECTIONS)
}

fn local_address(acceptor: &TcpAcceptor) -> Option<SocketAddr> {
    let holding = acceptor.holdings().first()?;
    holding.local_addr.clone().into_std()
}
