//! Connections to backend servers.

use std::collections;
use std::net;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time;

use toucanwall_platform::response;
use toucanwall_routing::server;

/// Time for a new connection, in milliseconds: a lost packet is sent again after a second, and by
/// then another server has answered.
const CONNECT_MS: u64 = 400;
/// Time before a server closes an idle connection at which it is no longer used, in milliseconds:
/// covers a slow link and a host that runs slowly.
const KEEP_MARGIN_MS: u64 = 1_000;
/// Time for which an idle connection is kept where its server does not say, in milliseconds.
const KEEP_DEFAULT_MS: u64 = 2_000;
/// Longest time for which an idle connection is kept, in milliseconds: one that has gone silent
/// meanwhile shows only when it is used.
const KEEP_MAX_MS: u64 = 10_000;

/// The body of a request to a server.
pub type RequestBody = http_body_util::Full<bytes::Bytes>;

type Sender = hyper::client::conn::http1::SendRequest<RequestBody>;
type Key = (net::SocketAddr, Arc<str>);

/// Idle connections by server.
#[derive(Debug, Default)]
pub struct Pool {
    idle: Mutex<collections::BTreeMap<Key, Vec<Idle>>>,
}

#[derive(Debug)]
struct Idle {
    connection: Connection,
    until: tokio::time::Instant,
}

/// A connection in use; dropping it closes it, which cancels what its server works on.
#[derive(Debug)]
pub struct Connection {
    sender: Sender,
    driver: tokio::task::AbortHandle,
    key: Key,
    is_new: bool,
}

/// How old a connection may be.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Freshness {
    /// An idle one will do.
    Any,
    /// It must be new: an idle one may be closed while a request is on its way.
    New,
}

impl Pool {
    /// A connection to a server.
    ///
    /// # Errors
    /// The server takes no connection, or not in time.
    pub async fn connect(
        &self,
        server: &server::BackendServer,
        freshness: Freshness,
    ) -> std::io::Result<Connection> {
        let key = (server.address, Arc::from(server.id.as_str()));
        let idle = match freshness {
            Freshness::Any => self.take(&key),
            Freshness::New => None,
        };
        match idle {
            Some(connection) => Ok(connection),
            None => open(key).await,
        }
    }

    /// Keeps a connection whose answer is whole, unless its server closes it or `idle_max` of that
    /// server are kept already.
    pub fn put(
        self: &Arc<Self>,
        mut connection: Connection,
        keep_alive: response::KeepAlive,
        idle_max: u32,
    ) {
        let keep = match keep_alive {
            response::KeepAlive::Closes => return,
            response::KeepAlive::For(time) => {
                time.saturating_sub(time::Duration::from_millis(KEEP_MARGIN_MS))
            }
            response::KeepAlive::Unknown => time::Duration::from_millis(KEEP_DEFAULT_MS),
        };
        let until =
            tokio::time::Instant::now() + keep.min(time::Duration::from_millis(KEEP_MAX_MS));
        if connection.sender.is_ready() {
            self.keep(Idle { connection, until }, idle_max);
            return;
        }
        let pool = Arc::clone(self);
        tokio::spawn(async move {
            // The connection becomes ready once the rest of the request has gone out.
            if connection.sender.ready().await.is_ok() {
                pool.keep(Idle { connection, until }, idle_max);
            }
        });
    }

    /// Closes idle connections that are past their time.
    pub fn close_expired(&self) {
        let now = tokio::time::Instant::now();
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.retain(|_, connections| {
            connections.retain(|entry| now < entry.until && !entry.connection.sender.is_closed());
            !connections.is_empty()
        });
    }

    fn keep(&self, entry: Idle, idle_max: u32) {
        let now = tokio::time::Instant::now();
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let connections = idle.entry(entry.connection.key.clone()).or_default();
        connections.retain(|entry| now < entry.until && !entry.connection.sender.is_closed());
        // One beyond the limit is closed.
        if u32::try_from(connections.len()).is_ok_and(|count| count < idle_max) {
            connections.push(entry);
        }
    }

    fn take(&self, key: &Key) -> Option<Connection> {
        let now = tokio::time::Instant::now();
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let connections = idle.get_mut(key)?;
        while let Some(mut entry) = connections.pop() {
            if now < entry.until && entry.connection.sender.is_ready() {
                entry.connection.is_new = false;
                return Some(entry.connection);
            }
        }
        None
    }
}

impl Connection {
    /// Sends a request and waits for the head of its answer.
    ///
    /// # Errors
    /// [`SendError`], which tells whether anything was written.
    pub async fn send(
        &mut self,
        request: hyper::Request<RequestBody>,
    ) -> Result<hyper::Response<hyper::body::Incoming>, SendError> {
        self.sender.try_send_request(request).await.map_err(|mut error| {
            if error.take_message().is_some() {
                SendError::NotWritten
            } else {
                SendError::Broken(error.into_error())
            }
        })
    }

    /// Whether it was opened for this request.
    #[must_use]
    pub fn is_new(&self) -> bool {
        self.is_new
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// Why a request has no answer.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub enum SendError {
    /// The connection was closed before anything was written.
    #[error("the connection was closed before the request was written")]
    NotWritten,
    /// The connection broke off, or what came is no answer.
    #[error("{0}")]
    Broken(hyper::Error),
}

async fn open(key: Key) -> std::io::Result<Connection> {
    let limit = time::Duration::from_millis(CONNECT_MS);
    let stream = tokio::time::timeout(limit, tokio::net::TcpStream::connect(key.0)).await??;
    stream.set_nodelay(true)?;
    let io = hyper_util::rt::TokioIo::new(stream);
    let (sender, driver) =
        hyper::client::conn::http1::handshake(io).await.map_err(std::io::Error::other)?;
    let driver = tokio::spawn(async move {
        // Whoever waits for an answer on this connection gets the same error.
        drop(driver.await);
    });
    Ok(Connection { sender, driver: driver.abort_handle(), key, is_new: true })
}
