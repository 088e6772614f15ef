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

/// Connections that may wait to be accepted.
const BACKLOG: u32 = 1024;

/// A bound address that doesn't serve yet, so that its port can be told to others first.
pub struct Socket {
    address: SocketAddr,
    acceptor: TcpAcceptor,
}

impl Socket {
    /// Binds `address`, whose port may be 0.
    ///
    /// # Errors
    ///
    /// [`Kind::BadSettings`] when the address can't be bound.
    pub async fn bind(address: SocketAddr) -> Result<Socket, Error> {
        let refused = |cause: String| {
            Error::new(Kind::BadSettings, format!("can't listen on {address}: {cause}"))
        };
        let listener = listen(address).map_err(|cause| refused(cause.to_string()))?;
        let acceptor =
            TcpAcceptor::try_from(listener).map_err(|cause| refused(cause.to_string()))?;
        let address = local_address(&acceptor).ok_or_else(|| refused("no local address".into()))?;
        Ok(Socket { address, acceptor })
    }

    /// The address that was bound, with its real port.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Serves `router` from here on.
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

    /// The address that was bound, with its real port.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops accepting, waits at most `patience` for exchanges under way, and ends.
    pub async fn close(self, patience: Millis) {
        self.handle.stop_graceful(patience.duration());
        // The server task ends by itself; a join error means that it was ended with its runtime.
        let _ = self.task.await;
    }
}

/// Listens at `address`; connections inherit that they send small answers at once, since a head
/// and a body in two segments would otherwise wait for the caller's delayed acknowledgement.
fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.set_nodelay(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

fn local_address(acceptor: &TcpAcceptor) -> Option<SocketAddr> {
    let holding = acceptor.holdings().first()?;
    holding.local_addr.clone().into_std()
}
