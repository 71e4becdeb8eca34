//! Parts shared by the HTTP servers: a TCP listener with `TCP_NODELAY` and a lingering close for
//! responses sent before the request body has been received.
//!
//! poem's own listener leaves Nagle's algorithm enabled, which delays each token of a streamed
//! response until the previous one is acknowledged, by up to 40 ms.

mod lingering_close;

use std::io;
use std::net;

use poem::listener::Acceptor;
use poem::web;

pub use lingering_close::LingeringClose;
pub use lingering_close::LingeringCloseEndpoint;

/// Accepts TCP connections and disables Nagle's algorithm on each.
#[derive(Debug)]
pub struct NoDelayAcceptor(tokio::net::TcpListener);

impl NoDelayAcceptor {
    /// Listens on an address; port 0 selects a free port.
    ///
    /// # Errors
    /// The address is in use or does not belong to this machine.
    pub async fn bind(address: net::SocketAddr) -> io::Result<Self> {
        tokio::net::TcpListener::bind(address).await.map(Self)
    }

    /// Returns the local address of the listener.
    ///
    /// # Errors
    /// The operating system cannot report the address.
    pub fn address(&self) -> io::Result<net::SocketAddr> {
        self.0.local_addr()
    }
}

impl Acceptor for NoDelayAcceptor {
    type Io = tokio::net::TcpStream;

    fn local_addr(&self) -> Vec<web::LocalAddr> {
        self.address().map(|address| web::LocalAddr(address.into())).into_iter().collect()
    }

    async fn accept(
        &mut self,
    ) -> io::Result<(Self::Io, web::LocalAddr, web::RemoteAddr, poem::http::uri::Scheme)> {
        let (stream, remote) = self.0.accept().await?;
        stream.set_nodelay(true)?;
        let local = web::LocalAddr(stream.local_addr()?.into());
        let scheme = poem::http::uri::Scheme::HTTP;
        Ok((stream, local, web::RemoteAddr(remote.into()), scheme))
    }
}
