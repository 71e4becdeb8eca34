//! What happens to a host.

use std::net;
use std::sync::Arc;

use toucanwall_coordination::identity;
use toucanwall_coordination::ledger::entry;
use toucanwall_coordination::platform;

use crate::action;
use crate::message;

/// Ties the events and actions of one request together; chosen by the shell.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// Counts the attempts of one request.
pub type Attempt = u32;

/// Something that happened.
#[derive(Debug, Clone)]
pub enum Event {
    /// A caller sent a request.
    Request(Arc<RequestHead>),
    /// An attempt at a backend server ended.
    AttemptEnded {
        /// The request.
        request_id: RequestId,
        /// The attempt.
        attempt: Attempt,
        /// How it ended.
        end: AttemptEnd,
    },
    /// The rating service judged a held answer.
    AnswerRated {
        /// The request.
        request_id: RequestId,
        /// The attempt.
        attempt: Attempt,
        /// The rating in percent, if the service gave one.
        score_percent: Option<u64>,
    },
    /// The caller closed its connection.
    CallerDisconnected {
        /// The request.
        request_id: RequestId,
    },
    /// A backend server said how many requests it runs.
    LoadReported {
        /// The server.
        server: net::SocketAddr,
        /// Requests that it runs.
        running: u64,
    },
    /// Another host sent a message.
    Peer {
        /// Where the sender listens.
        from: net::SocketAddr,
        /// Who sent it.
        sender: identity::HostId,
        /// The message.
        message: message::Message,
    },
    /// The platform answered, or did not.
    PlatformReply {
        /// The call.
        call: action::CallId,
        /// The answer.
        reply: platform::Reply,
    },
    /// Time moved on.
    Tick,
    /// The host is to stop gracefully.
    Stop,
}

/// What a request says, without its body.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestHead {
    /// The request.
    pub request_id: RequestId,
    /// SHA-256 of the caller's key, in lower-case hexadecimal.
    pub key_sha256: Arc<str>,
    /// What is asked for.
    pub target: Target,
    /// The session that it belongs to, if any.
    pub session: SessionRef,
    /// The caller's key for a request that may not be repeated.
    pub idempotency_key: Option<Arc<str>>,
    /// Time within which the caller wants its answer, in milliseconds.
    pub timeout_ms: u64,
    /// The caller's word for this kind of request, or its size class.
    pub class: Arc<str>,
    /// Digest of the content, the same when it is sent again.
    pub content_digest: u64,
    /// Hash of the prompt's prefix, if it is worth keeping together.
    pub prefix_hash: Option<u64>,
    /// Events of the answer that the caller already has.
    pub resume_from: u64,
}

/// What a request asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Target {
    /// A model or a cascade.
    Model(Arc<str>),
    /// A call of a plain service.
    Service {
        /// The service.
        name: Arc<str>,
        /// Method and path, such as `POST /bookings`.
        call: Arc<str>,
    },
}

/// How a request names its session.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SessionRef {
    /// It does not.
    None,
    /// By the token that came with an earlier answer.
    Token(Arc<str>),
    /// By a name of the caller's own.
    Named(Arc<str>),
}

/// How an attempt ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The whole answer came; a streamed one waits for its last piece to be let go.
    Answered {
        /// Tokens generated.
        tokens: u64,
        /// The answer, where it may have to be kept.
        answer: entry::KeptAnswer,
    },
    /// The answer did not come or is not whole.
    Failed {
        /// What went wrong.
        fault: Fault,
        /// Events of the answer that the caller has so far.
        delivered_events: u64,
        /// Whether another attempt can go on from there.
        is_resumable: bool,
    },
}

/// What went wrong with an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// No connection came about: nothing was sent.
    NotSent,
    /// The server answered that it did not run the request.
    Declined,
    /// The connection broke while the request ran, and the server takes no new one.
    Crashed,
    /// The connection broke while the request ran; the server takes new ones.
    ConnectionLost,
    /// The connection went silent for longer than the server's progress bound.
    ProgressTimeout,
    /// The server answered with an error.
    ErrorStatus,
    /// The answer is longer than what may be held.
    AnswerTooLarge,
}
