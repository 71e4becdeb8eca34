//! Pool of connections to backend servers.

use std::collections;
use std::net;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time;

use toucanwall_platform::response;
use toucanwall_routing::server;

use crate::head_limit;

/// Timeout for connecting in milliseconds. A lost SYN packet is retransmitted only after a second;
/// trying another server is faster.
const CONNECT_TIMEOUT_MS: u64 = 400;
/// Margin before the server's keep-alive timeout at which an idle connection expires, in
/// milliseconds. Allows for a slow network and an overloaded host.
const KEEP_ALIVE_MARGIN_MS: u64 = 1_000;
/// Time for which an idle connection is kept if the server announces no keep-alive timeout, in
/// milliseconds.
const KEEP_ALIVE_DEFAULT_MS: u64 = 2_000;
/// Maximum time for which an idle connection is kept, in milliseconds. A peer that vanished without
/// closing the connection is noticed only when the connection is used.
const KEEP_ALIVE_MAX_MS: u64 = 10_000;

/// Time for a server to read the rest of a request that it has answered already, in milliseconds. The
/// connection, with the body, is closed after it.
const REST_TIMEOUT_MS: u64 = 2_000;
/// Size of the send buffer of a connection to a server in bytes, of which the kernel reserves the
/// double. Without a limit, a server that does not read bodies takes up to 4 MB for each.
const SEND_BUFFER_BYTES: u32 = 64 * 1024;

/// Size of the receive buffer of a connection to a server in bytes, of which the kernel reserves the
/// double: the most that it holds of a response that is left unread for a while.
const RECEIVE_BUFFER_BYTES: u32 = 64 * 1024;

/// Time for a server to accept a connection that only tests whether it still runs, in milliseconds.
const LIVENESS_TIMEOUT_MS: u64 = 100;
/// Time for which a process that ends may still take connections, in milliseconds.
const ENDING_MS: u64 = 10;

/// Body of a request to a server.
pub type RequestBody = http_body_util::Full<bytes::Bytes>;

type Sender = hyper::client::conn::http1::SendRequest<RequestBody>;
type ServerKey = (net::SocketAddr, Arc<str>);

/// Idle connections, grouped by server.
#[derive(Debug, Default)]
pub struct Pool {
    idle: Mutex<collections::BTreeMap<ServerKey, Vec<IdleConnection>>>,
}

#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    expires_at: tokio::time::Instant,
}

/// A connection in use. Dropping it closes it, which cancels the request that the server works on.
#[derive(Debug)]
pub struct Connection {
    sender: Sender,
    driver: tokio::task::AbortHandle,
    head_limit: head_limit::HeadLimit,
    key: ServerKey,
    is_new: bool,
}

/// Whether a request may use an idle connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReusePolicy {
    /// Use an idle connection if there is one.
    AllowIdle,
    /// Open a new connection: the server may close an idle one while the request is being sent.
    NewOnly,
}

impl Pool {
    /// Returns an idle or a new connection to a server.
    ///
    /// # Errors
    /// The connection cannot be established, or not within the timeout.
    pub async fn connect(
        &self,
        server: &server::BackendServer,
        reuse_policy: ReusePolicy,
    ) -> std::io::Result<Connection> {
        let key = (server.address, Arc::from(server.id.as_str()));
        let idle = match reuse_policy {
            ReusePolicy::AllowIdle => self.take_idle(&key),
            ReusePolicy::NewOnly => None,
        };
        match idle {
            Some(connection) => Ok(connection),
            None => open_connection(key).await,
        }
    }

    /// Returns a connection to the pool once its response has been read in full. It is closed
    /// instead if the server closes it or `idle_max` connections to that server are idle already.
    pub fn release(
        self: &Arc<Self>,
        mut connection: Connection,
        keep_alive: response::KeepAlive,
        idle_max: u32,
    ) {
        let keep_for = match keep_alive {
            response::KeepAlive::Closes => return,
            response::KeepAlive::For(time) => {
                time.saturating_sub(time::Duration::from_millis(KEEP_ALIVE_MARGIN_MS))
            }
            response::KeepAlive::Unknown => time::Duration::from_millis(KEEP_ALIVE_DEFAULT_MS),
        };
        let expires_at = tokio::time::Instant::now()
            + keep_for.min(time::Duration::from_millis(KEEP_ALIVE_MAX_MS));
        if connection.sender.is_ready() {
            self.insert_idle(IdleConnection { connection, expires_at }, idle_max);
            return;
        }
        let pool = Arc::clone(self);
        tokio::spawn(async move {
            // The connection becomes ready once the rest of the request has been sent.
            let rest = time::Duration::from_millis(REST_TIMEOUT_MS);
            if matches!(tokio::time::timeout(rest, connection.sender.ready()).await, Ok(Ok(()))) {
                pool.insert_idle(IdleConnection { connection, expires_at }, idle_max);
            }
        });
    }

    /// Closes idle connections that have expired.
    pub fn close_expired(&self) {
        let now = tokio::time::Instant::now();
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.retain(|_, connections| {
            connections
                .retain(|entry| now < entry.expires_at && !entry.connection.sender.is_closed());
            !connections.is_empty()
        });
    }

    fn insert_idle(&self, entry: IdleConnection, idle_max: u32) {
        let now = tokio::time::Instant::now();
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let connections = idle.entry(entry.connection.key.clone()).or_default();
        connections.retain(|entry| now < entry.expires_at && !entry.connection.sender.is_closed());
        // A connection beyond the limit is dropped, which closes it.
        if u32::try_from(connections.len()).is_ok_and(|count| count < idle_max) {
            connections.push(entry);
        }
    }

    fn take_idle(&self, key: &ServerKey) -> Option<Connection> {
        let now = tokio::time::Instant::now();
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let connections = idle.get_mut(key)?;
        while let Some(mut entry) = connections.pop() {
            if now < entry.expires_at && entry.connection.sender.is_ready() {
                entry.connection.is_new = false;
                return Some(entry.connection);
            }
        }
        None
    }
}

impl Connection {
    /// Sends a request and waits for the head of its response.
    ///
    /// # Errors
    /// [`SendError`], which tells whether the request may have been written.
    pub async fn send(
        &mut self,
        request: hyper::Request<RequestBody>,
    ) -> Result<hyper::Response<hyper::body::Incoming>, SendError> {
        self.head_limit.start();
        let result = self.sender.try_send_request(request).await;
        let is_head_too_large = self.head_limit.is_exceeded() && result.is_err();
        self.head_limit.end();
        result.map_err(|mut error| {
            if error.take_message().is_some() {
                SendError::NotWritten
            } else if is_head_too_large {
                SendError::HeadTooLarge
            } else {
                SendError::Broken(error.into_error())
            }
        })
    }

    /// The limit on what the server sends before the head of a response.
    #[must_use]
    pub fn head_limit(&self) -> &head_limit::HeadLimit {
        &self.head_limit
    }

    /// Returns whether the connection was opened for this request.
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

/// Error while sending a request.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub enum SendError {
    /// The connection was closed before any byte of the request was written.
    #[error("connection closed before the request was written")]
    NotWritten,
    /// The connection failed, or the response is not valid HTTP.
    #[error("{0}")]
    Broken(hyper::Error),
    /// The server sent too many bytes that are no response.
    #[error("no response within the bytes and interim responses that may precede it")]
    HeadTooLarge,
}

/// Returns whether a server's process has ended, as shown by a refused connection.
///
/// A server that cannot be reached at all may be cut off from this host and still run.
pub async fn has_ended(address: net::SocketAddr) -> bool {
    let timeout = time::Duration::from_millis(LIVENESS_TIMEOUT_MS);
    match tokio::time::timeout(timeout, tokio::net::TcpStream::connect(address)).await {
        Ok(Err(error)) => error.kind() == std::io::ErrorKind::ConnectionRefused,
        Ok(Ok(_)) | Err(_) => false,
    }
}

/// Returns whether a server's process has ended or is ending now.
///
/// An ending process may close its listening socket a moment after its connections. Until then the
/// socket takes further connections, which end with it.
pub async fn is_ending(address: net::SocketAddr) -> bool {
    let timeout = time::Duration::from_millis(LIVENESS_TIMEOUT_MS);
    let connecting = tokio::net::TcpStream::connect(address);
    match tokio::time::timeout(timeout, connecting).await {
        Ok(Ok(connection)) => {
            let ending = time::Duration::from_millis(ENDING_MS);
            let ended = tokio::time::timeout(ending, connection.readable()).await;
            ended.is_ok() && has_ended(address).await
        }
        Ok(Err(error)) => error.kind() == std::io::ErrorKind::ConnectionRefused,
        Err(_elapsed) => false,
    }
}

/// Returns a socket for the kind of an address, so that its buffers can be set before it is used.
///
/// # Errors
/// The operating system has no socket left.
pub fn new_socket(address: net::SocketAddr) -> std::io::Result<tokio::net::TcpSocket> {
    match address {
        net::SocketAddr::V4(_) => tokio::net::TcpSocket::new_v4(),
        net::SocketAddr::V6(_) => tokio::net::TcpSocket::new_v6(),
    }
}

async fn open_connection(key: ServerKey) -> std::io::Result<Connection> {
    let timeout = time::Duration::from_millis(CONNECT_TIMEOUT_MS);
    let socket = new_socket(key.0)?;
    socket.set_send_buffer_size(SEND_BUFFER_BYTES)?;
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES)?;
    let stream = tokio::time::timeout(timeout, socket.connect(key.0)).await??;
    stream.set_nodelay(true)?;
    let head_limit = head_limit::HeadLimit::default();
    head_limit.end();
    let stream = head_limit::LimitedStream::new(stream, head_limit.clone());
    let io = hyper_util::rt::TokioIo::new(stream);
    let (sender, driver) =
        hyper::client::conn::http1::handshake(io).await.map_err(std::io::Error::other)?;
    let driver = tokio::spawn(async move {
        // The error is also returned to the request that waits for a response on this connection.
        drop(driver.await);
    });
    Ok(Connection { sender, driver: driver.abort_handle(), head_limit, key, is_new: true })
}
