//! HTTP client for backend servers.

use std::collections;
use std::net;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time;

use http_body_util::BodyExt as _;
use toucanwall_core::event;

/// Timeout for establishing a connection, in milliseconds.
const CONNECT_TIMEOUT_MS: u64 = 1_000;
/// Timeout for checking whether a server accepts connections, in milliseconds.
const PROBE_TIMEOUT_MS: u64 = 500;
/// Maximum number of idle connections per server.
const IDLE_CONNECTIONS_MAX: usize = 64;

type Body = http_body_util::Full<bytes::Bytes>;
type Sender = hyper::client::conn::http1::SendRequest<Body>;

/// Pool of idle connections, by server.
#[derive(Debug, Clone, Default)]
pub struct ConnectionPool {
    idle: Arc<Mutex<collections::BTreeMap<net::SocketAddr, Vec<Sender>>>>,
}

/// A request to a backend server.
#[derive(Debug, Clone)]
pub struct OutgoingRequest {
    /// HTTP method.
    pub method: hyper::Method,
    /// Path and query.
    pub path: String,
    /// Headers.
    pub headers: hyper::HeaderMap,
    /// Body.
    pub body: bytes::Bytes,
    /// Whether the request may be executed twice. Other requests never use an idle connection:
    /// if it turned out to be closed, they could not be sent again.
    pub is_idempotent: bool,
}

/// Body of a response that is being received.
#[derive(Debug)]
pub struct ResponseBody {
    server: net::SocketAddr,
    sender: Option<Sender>,
    body: hyper::body::Incoming,
    progress_timeout: time::Duration,
}

/// Result of reading from a response body.
#[derive(Debug)]
pub enum BodyEvent {
    /// Data of the body, possibly empty.
    Data(bytes::Bytes),
    /// The body is complete.
    End,
    /// The response was interrupted.
    Fault(event::Fault),
}

impl ConnectionPool {
    /// Sends a request and waits for the head of the response.
    ///
    /// # Errors
    /// [`event::Fault`], which tells whether anything was sent.
    pub async fn send(
        &self,
        server: net::SocketAddr,
        outgoing_request: &OutgoingRequest,
        progress_timeout_ms: u64,
    ) -> Result<(hyper::http::response::Parts, ResponseBody), event::Fault> {
        let progress_timeout = time::Duration::from_millis(progress_timeout_ms);
        if outgoing_request.is_idempotent
            && let Some(sender) = self.take_idle(server)
        {
            match self.send_on(server, sender, outgoing_request, progress_timeout).await {
                // The server may have closed the idle connection; retry on a new one.
                Err(event::Fault::ConnectionLost) => {}
                other => return other,
            }
        }
        let sender = connect(server).await.map_err(|_ignored| event::Fault::NotSent)?;
        self.send_on(server, sender, outgoing_request, progress_timeout).await
    }

    async fn send_on(
        &self,
        server: net::SocketAddr,
        mut sender: Sender,
        outgoing_request: &OutgoingRequest,
        progress_timeout: time::Duration,
    ) -> Result<(hyper::http::response::Parts, ResponseBody), event::Fault> {
        let request = build_request(server, outgoing_request).ok_or(event::Fault::NotSent)?;
        let response = tokio::time::timeout(progress_timeout, sender.send_request(request))
            .await
            .map_err(|_ignored| event::Fault::ProgressTimeout)?
            .map_err(|_ignored| event::Fault::ConnectionLost)?;
        let (parts, body) = response.into_parts();
        Ok((parts, ResponseBody { server, sender: Some(sender), body, progress_timeout }))
    }

    /// Returns whether a server accepts new connections.
    pub async fn accepts_connections(&self, server: net::SocketAddr) -> bool {
        let timeout = time::Duration::from_millis(PROBE_TIMEOUT_MS);
        let connecting = tokio::net::TcpStream::connect(server);
        matches!(tokio::time::timeout(timeout, connecting).await, Ok(Ok(_)))
    }

    fn take_idle(&self, server: net::SocketAddr) -> Option<Sender> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let senders = idle.get_mut(&server)?;
        while let Some(sender) = senders.pop() {
            if sender.is_ready() {
                return Some(sender);
            }
        }
        None
    }

    fn put_idle(&self, server: net::SocketAddr, sender: Sender) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let senders = idle.entry(server).or_default();
        if senders.len() < IDLE_CONNECTIONS_MAX {
            senders.push(sender);
        }
    }
}

impl ResponseBody {
    /// Reads the next part of the body; cancel-safe.
    pub async fn next(&mut self) -> BodyEvent {
        match tokio::time::timeout(self.progress_timeout, self.body.frame()).await {
            Err(_) => BodyEvent::Fault(event::Fault::ProgressTimeout),
            Ok(None) => BodyEvent::End,
            Ok(Some(Err(_))) => BodyEvent::Fault(event::Fault::ConnectionLost),
            Ok(Some(Ok(frame))) => BodyEvent::Data(frame.into_data().unwrap_or_default()),
        }
    }

    /// Returns the connection to the pool after a complete response.
    pub async fn release_connection(mut self, connection_pool: &ConnectionPool) {
        if let Some(mut sender) = self.sender.take()
            && sender.ready().await.is_ok()
        {
            connection_pool.put_idle(self.server, sender);
        }
    }
}

async fn connect(server: net::SocketAddr) -> std::io::Result<Sender> {
    let timeout = time::Duration::from_millis(CONNECT_TIMEOUT_MS);
    let stream = tokio::time::timeout(timeout, tokio::net::TcpStream::connect(server)).await??;
    stream.set_nodelay(true)?;
    let io = hyper_util::rt::TokioIo::new(stream);
    let (sender, connection) =
        hyper::client::conn::http1::handshake(io).await.map_err(std::io::Error::other)?;
    tokio::spawn(async move {
        // The request on this connection receives the same error.
        drop(connection.await);
    });
    Ok(sender)
}

fn build_request(
    server: net::SocketAddr,
    outgoing_request: &OutgoingRequest,
) -> Option<hyper::Request<Body>> {
    let mut request = hyper::Request::builder()
        .method(outgoing_request.method.clone())
        .uri(&outgoing_request.path)
        .body(Body::new(outgoing_request.body.clone()))
        .ok()?;
    *request.headers_mut() = outgoing_request.headers.clone();
    let host = hyper::header::HeaderValue::from_str(&server.to_string()).ok()?;
    request.headers_mut().insert(hyper::header::HOST, host);
    Some(request)
}
