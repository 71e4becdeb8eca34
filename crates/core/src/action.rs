//! What a host wants done.

use std::net;
use std::sync::Arc;

use toucanwall_coordination::ledger::entry;
use toucanwall_coordination::platform;

use crate::event;
use crate::message;
use crate::refusal;

/// Something to do.
#[derive(Debug, Clone)]
pub enum Action {
    /// Send a request to a backend server.
    Dispatch(Dispatch),
    /// Ask the rating service about the held answer of an attempt.
    RateAnswer {
        /// The request.
        request_id: event::RequestId,
        /// The attempt.
        attempt: event::Attempt,
    },
    /// Pass on what is still held of an answer; it is then whole.
    Finish {
        /// The request.
        request_id: event::RequestId,
        /// The attempt.
        attempt: event::Attempt,
    },
    /// Drop the held answer of an attempt: another one follows.
    Discard {
        /// The request.
        request_id: event::RequestId,
        /// The attempt.
        attempt: event::Attempt,
    },
    /// Give the caller the kept answer of an earlier, equal request.
    Replay {
        /// The request.
        request_id: event::RequestId,
        /// The answer.
        answer: entry::KeptAnswer,
    },
    /// Tell the caller that its request was not run.
    Refuse {
        /// The request.
        request_id: event::RequestId,
        /// Why, and when to come back.
        refusal: refusal::NotRun,
    },
    /// Tell the caller that its request was run, perhaps, and has no whole answer.
    Fail {
        /// The request.
        request_id: event::RequestId,
        /// What is known.
        failure: refusal::Failure,
    },
    /// Close the connection of an attempt.
    Cancel {
        /// The request.
        request_id: event::RequestId,
        /// The attempt.
        attempt: event::Attempt,
    },
    /// Send a message to another host.
    SendPeer {
        /// Where it listens.
        to: net::SocketAddr,
        /// The message.
        message: message::Message,
    },
    /// Replace the connection to another host.
    Reconnect {
        /// Where it listens.
        address: net::SocketAddr,
    },
    /// Call the platform.
    CallPlatform {
        /// Names the call in its answer.
        id: CallId,
        /// The call.
        call: platform::Call,
    },
    /// Write a line to the log.
    Log(LogLine),
    /// The host has stopped: nothing is left to do.
    Stopped,
}

/// A request on its way to a backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Dispatch {
    /// The request.
    pub request_id: event::RequestId,
    /// The attempt.
    pub attempt: event::Attempt,
    /// Under which the request is billed, whichever attempt answers.
    pub bill_id: entry::BillId,
    /// The server.
    pub server: net::SocketAddr,
    /// What runs, as `model@version` or the name of a service.
    pub item: Arc<str>,
    /// The organisation, for the log.
    pub organisation: Arc<str>,
    /// What to do with the answer as it comes.
    pub mode: DeliveryMode,
    /// Longest silence of a server that is making progress, in milliseconds.
    pub progress_timeout_ms: u64,
    /// Events of the answer that the caller already has.
    pub resume_from: u64,
    /// Token that names the session from now on.
    pub session_token: Option<Arc<str>>,
    /// Revision of the configuration that allowed it.
    pub revision: u64,
}

/// What to do with an answer as it comes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DeliveryMode {
    /// Pass it on, but for its last piece.
    Stream,
    /// Hold it, up to a bound.
    Buffer {
        /// The bound in bytes.
        max_bytes: usize,
    },
}

/// A call of the platform; at most one of each id is in flight.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum CallId {
    /// For the configuration.
    Configuration,
    /// For the status objects.
    Status,
    /// For a shard of the ledger.
    Shard(u32),
}

/// A line for the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogLine {
    /// How serious it is.
    pub level: Level,
    /// What happened.
    pub text: String,
}

/// How serious a log line is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Level {
    /// A normal event.
    Info,
    /// Something an operator should know.
    Warn,
    /// A breach of an invariant.
    Error,
}
