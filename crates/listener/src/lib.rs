//! What HTTP servers of the product share: a TCP listener that sends each piece of an answer at
//! once, and a way to answer before a body is in.
//!
//! The library's own listener leaves Nagle's algorithm on, which holds a token back until
//! the one before it is acknowledged: up to 40 ms.

mod lingering_close;

use std::io;
use std::net;

use poem::listener::Acceptor;
use poem::web;

pub use lingering_close::LingeringClose;
pub use lingering_close::LingeringCloseEndpoint;

/// Accepts connections and turns Nagle's algorithm off on each.
#[derive(Debug)]
pub struct NoDelayAcceptor(tokio::net::TcpListener);

impl NoDelayAcceptor {
    /// Listens at an address; port 0 takes a free one.
    ///
    /// # Errors
    /// The address is in use or not one of this machine.
    pub async fn bind(address: net::SocketAddr) -> io::Result<Self> {
        tokio::net::TcpListener::bind(address).await.map(Self)
    }

    /// Where it listens.
    ///
    /// # Errors
    /// The system does not say.
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
