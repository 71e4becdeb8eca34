//! Events that a host handles.

use std::net;
use std::sync::Arc;

use toucanwall_coordination::identity;
use toucanwall_coordination::ledger::entry;
use toucanwall_coordination::platform;

use crate::action;
use crate::message;

/// Identifies a request in events and actions; assigned by the shell.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// Number of an attempt of one request, starting at zero, or a count of attempts.
pub type Attempt = u32;

/// An event from a caller, a backend server, another host, the platform or the clock.
#[derive(Debug, Clone)]
pub enum Event {
    /// A caller sent a request.
    Request(Arc<RequestHead>),
    /// An attempt at a backend server ended.
    AttemptEnded {
        /// Identifies the request.
        request_id: RequestId,
        /// Number of the attempt.
        attempt: Attempt,
        /// The result of the attempt.
        end: AttemptEnd,
    },
    /// The rating service rated a buffered answer, or failed to.
    AnswerRated {
        /// Identifies the request.
        request_id: RequestId,
        /// Number of the attempt.
        attempt: Attempt,
        /// The rating in percent, if there is one.
        score_percent: Option<u64>,
    },
    /// The caller closed the connection before it had its answer.
    CallerDisconnected {
        /// Identifies the request.
        request_id: RequestId,
    },
    /// A backend server reported its load.
    LoadReported {
        /// Address of the backend server.
        server: net::SocketAddr,
        /// Number of requests that it is executing.
        running: u64,
    },
    /// Another host sent a message.
    Peer {
        /// Address on which the sender listens for peers.
        from: net::SocketAddr,
        /// Host id of the sender.
        sender: identity::HostId,
        /// The message.
        message: message::Message,
    },
    /// A call to the platform ended, with a reply or without one.
    PlatformReply {
        /// Identifies the call.
        call: action::CallId,
        /// The reply.
        reply: platform::Reply,
    },
    /// The shell's periodic timer fired.
    Tick,
    /// The host is to shut down gracefully.
    Stop,
}

/// The metadata of a request, without its body.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestHead {
    /// Identifies the request.
    pub request_id: RequestId,
    /// SHA-256 digest of the caller's API key, in lower-case hexadecimal.
    pub key_sha256: Arc<str>,
    /// What the caller wants executed.
    pub target: Target,
    /// The session that the request belongs to, if any.
    pub session: SessionRef,
    /// The caller's idempotency key, which a call that is not idempotent needs.
    pub idempotency_key: Option<Arc<str>>,
    /// Time that the caller waits for its answer, in milliseconds.
    pub timeout_ms: u64,
    /// Class of the request, as given by the caller or derived from the size of the body.
    pub class: Arc<str>,
    /// Digest of the content; a request that is sent again has the same one.
    pub content_digest: u64,
    /// Hash of the prompt's prefix for prefix-cache affinity, if the prompt is long enough.
    pub prefix_hash: Option<u64>,
    /// Number of events of the answer that the caller has already received.
    pub resume_from: u64,
}

/// What a request asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Target {
    /// A model or a cascade, by name.
    Model(Arc<str>),
    /// A call to a plain service.
    Service {
        /// Name of the service.
        name: Arc<str>,
        /// Method and path, such as `POST /bookings`.
        call: Arc<str>,
    },
}

/// How a request refers to its session.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SessionRef {
    /// It does not belong to a session.
    None,
    /// By the session token of an earlier answer.
    Token(Arc<str>),
    /// By a name that the caller chose.
    Named(Arc<str>),
}

/// The result of an attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The answer arrived completely; the shell still withholds the last part of a streamed
    /// one.
    Answered {
        /// Number of tokens generated.
        tokens: u64,
        /// The answer, to be stored with the claim of a request that is not idempotent.
        answer: entry::StoredResponse,
    },
    /// The answer did not arrive or is incomplete.
    Failed {
        /// Why the attempt failed.
        fault: Fault,
        /// Number of events of the answer that the caller has received so far.
        delivered_events: u64,
        /// Whether another attempt can resume the answer from there.
        is_resumable: bool,
    },
}

/// Why an attempt failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// The connection could not be established, so nothing was sent.
    NotSent,
    /// The server replied that it did not execute the request.
    Declined,
    /// The connection was lost while the request was in flight, and the server accepts no new
    /// ones.
    Crashed,
    /// The connection was lost while the request was in flight; the server accepts new ones.
    ConnectionLost,
    /// The server sent nothing for longer than the progress timeout.
    ProgressTimeout,
    /// The server replied with an error status.
    ErrorStatus,
    /// The answer, or one of its events, is larger than what may be buffered.
    AnswerTooLarge,
}
