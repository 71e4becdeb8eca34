//! Connections to backend servers.

use std::collections;
use std::net;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time;

use http_body_util::BodyExt as _;
use toucanwall_core::event;

/// Time for a new connection, in milliseconds.
const CONNECT_MS: u64 = 1_000;
/// Time for a probe whether a server takes connections, in milliseconds.
const PROBE_MS: u64 = 500;
/// Idle connections kept for one server.
const IDLE_MAX: usize = 64;

type Body = http_body_util::Full<bytes::Bytes>;
type Sender = hyper::client::conn::http1::SendRequest<Body>;

/// Idle connections by server.
#[derive(Debug, Clone, Default)]
pub struct Backends {
    idle: Arc<Mutex<collections::BTreeMap<net::SocketAddr, Vec<Sender>>>>,
}

/// A request as it goes out.
#[derive(Debug, Clone)]
pub struct Outgoing {
    /// Method.
    pub method: hyper::Method,
    /// Path and query.
    pub path: String,
    /// Headers.
    pub headers: hyper::HeaderMap,
    /// Body.
    pub body: bytes::Bytes,
    /// Whether the request may run twice; others never use an idle connection.
    pub is_idempotent: bool,
}

/// An answer that is coming in.
#[derive(Debug)]
pub struct Exchange {
    server: net::SocketAddr,
    sender: Option<Sender>,
    body: hyper::body::Incoming,
    progress: time::Duration,
}

/// What comes next of an answer.
#[derive(Debug)]
pub enum Piece {
    /// Bytes of the body.
    Data(bytes::Bytes),
    /// The body is whole.
    End,
    /// The answer broke off.
    Fault(event::Fault),
}

impl Backends {
    /// Sends a request and waits for the answer's head.
    ///
    /// # Errors
    /// The [`event::Fault`], which tells whether anything was sent.
    pub async fn open(
        &self,
        server: net::SocketAddr,
        outgoing: &Outgoing,
        progress_ms: u64,
    ) -> Result<(hyper::http::response::Parts, Exchange), event::Fault> {
        let progress = time::Duration::from_millis(progress_ms);
        if outgoing.is_idempotent
            && let Some(sender) = self.take_idle(server)
        {
            match self.send(server, sender, outgoing, progress).await {
                // An idle connection may have been closed meanwhile: a new one tells.
                Err(event::Fault::ConnectionLost) => {}
                other => return other,
            }
        }
        let sender = connect(server).await.map_err(|_ignored| event::Fault::NotSent)?;
        self.send(server, sender, outgoing, progress).await
    }

    async fn send(
        &self,
        server: net::SocketAddr,
        mut sender: Sender,
        outgoing: &Outgoing,
        progress: time::Duration,
    ) -> Result<(hyper::http::response::Parts, Exchange), event::Fault> {
        let request = build(server, outgoing).ok_or(event::Fault::NotSent)?;
        let answer = tokio::time::timeout(progress, sender.send_request(request))
            .await
            .map_err(|_ignored| event::Fault::ProgressTimeout)?
            .map_err(|_ignored| event::Fault::ConnectionLost)?;
        let (parts, body) = answer.into_parts();
        Ok((parts, Exchange { server, sender: Some(sender), body, progress }))
    }

    /// Whether a server takes new connections.
    pub async fn probe(&self, server: net::SocketAddr) -> bool {
        let limit = time::Duration::from_millis(PROBE_MS);
        let connecting = tokio::net::TcpStream::connect(server);
        matches!(tokio::time::timeout(limit, connecting).await, Ok(Ok(_)))
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
        if senders.len() < IDLE_MAX {
            senders.push(sender);
        }
    }
}

impl Exchange {
    /// The next piece; safe to drop while it waits.
    pub async fn next(&mut self) -> Piece {
        match tokio::time::timeout(self.progress, self.body.frame()).await {
            Err(_) => Piece::Fault(event::Fault::ProgressTimeout),
            Ok(None) => Piece::End,
            Ok(Some(Err(_))) => Piece::Fault(event::Fault::ConnectionLost),
            Ok(Some(Ok(frame))) => Piece::Data(frame.into_data().unwrap_or_default()),
        }
    }

    /// Keeps the connection of a whole answer for another request.
    pub async fn keep(mut self, backends: &Backends) {
        if let Some(mut sender) = self.sender.take()
            && sender.ready().await.is_ok()
        {
            backends.put_idle(self.server, sender);
        }
    }
}

async fn connect(server: net::SocketAddr) -> std::io::Result<Sender> {
    let limit = time::Duration::from_millis(CONNECT_MS);
    let stream = tokio::time::timeout(limit, tokio::net::TcpStream::connect(server)).await??;
    stream.set_nodelay(true)?;
    let io = hyper_util::rt::TokioIo::new(stream);
    let (sender, connection) =
        hyper::client::conn::http1::handshake(io).await.map_err(std::io::Error::other)?;
    tokio::spawn(async move {
        // The exchange on this connection sees the same error.
        drop(connection.await);
    });
    Ok(sender)
}

fn build(server: net::SocketAddr, outgoing: &Outgoing) -> Option<hyper::Request<Body>> {
    let mut request = hyper::Request::builder()
        .method(outgoing.method.clone())
        .uri(&outgoing.path)
        .body(Body::new(outgoing.body.clone()))
        .ok()?;
    *request.headers_mut() = outgoing.headers.clone();
    let host = hyper::header::HeaderValue::from_str(&server.to_string()).ok()?;
    request.headers_mut().insert(hyper::header::HOST, host);
    Some(request)
}
