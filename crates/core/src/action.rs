//! Actions that a host asks its shell to carry out.

use std::net;
use std::sync::Arc;

use toucanwall_coordination::ledger::entry;
use toucanwall_coordination::platform;

use crate::event;
use crate::message;
use crate::refusal;

/// An action for the shell to carry out.
#[derive(Debug, Clone)]
pub enum Action {
    /// Send a request to a backend server.
    Dispatch(Dispatch),
    /// Ask the rating service to rate the buffered answer of an attempt.
    RateAnswer {
        /// Identifies the request.
        request_id: event::RequestId,
        /// Number of the attempt.
        attempt: event::Attempt,
    },
    /// Send the caller what is still withheld of an answer, which completes it.
    Finish {
        /// Identifies the request.
        request_id: event::RequestId,
        /// Number of the attempt.
        attempt: event::Attempt,
    },
    /// Drop the buffered answer of an attempt; another attempt follows.
    Discard {
        /// Identifies the request.
        request_id: event::RequestId,
        /// Number of the attempt.
        attempt: event::Attempt,
    },
    /// Send the caller the stored answer of an earlier request with the same idempotency key.
    Replay {
        /// Identifies the request.
        request_id: event::RequestId,
        /// The stored answer.
        answer: entry::StoredResponse,
    },
    /// Tell the caller that its request was not executed.
    Refuse {
        /// Identifies the request.
        request_id: event::RequestId,
        /// The reason, and when the caller may retry.
        refusal: refusal::NotRun,
    },
    /// Tell the caller that there is no complete answer, although the request may have been
    /// executed.
    Fail {
        /// Identifies the request.
        request_id: event::RequestId,
        /// What is known about the outcome.
        failure: refusal::Failure,
    },
    /// Close the connection of an attempt.
    Cancel {
        /// Identifies the request.
        request_id: event::RequestId,
        /// Number of the attempt.
        attempt: event::Attempt,
    },
    /// Send a message to another host.
    SendPeer {
        /// Address on which the host listens for peers.
        to: net::SocketAddr,
        /// The message.
        message: message::Message,
    },
    /// Replace the connection to another host.
    Reconnect {
        /// Address on which the host listens for peers.
        address: net::SocketAddr,
    },
    /// Call the platform's API.
    CallPlatform {
        /// Identifies the call in the platform's reply.
        id: CallId,
        /// The call to make.
        call: platform::Call,
    },
    /// Write a line to the log.
    Log(LogLine),
    /// The host has shut down; the process may exit.
    Stopped,
}

/// An attempt of a request, to be sent to a backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Dispatch {
    /// Identifies the request.
    pub request_id: event::RequestId,
    /// Number of the attempt.
    pub attempt: event::Attempt,
    /// Identifies the request's bill, whichever attempt answers.
    pub bill_id: entry::BillId,
    /// Address of the backend server.
    pub server: net::SocketAddr,
    /// What is executed: `model@version` or the name of a service.
    pub item: Arc<str>,
    /// Name of the caller's organisation, for the log.
    pub organisation: Arc<str>,
    /// How the answer is delivered to the caller.
    pub mode: DeliveryMode,
    /// Longest time that the server may send nothing before the attempt fails, in milliseconds.
    pub progress_timeout_ms: u64,
    /// Number of events of the answer that the caller has already received.
    pub resume_from: u64,
    /// Session token that goes to the caller with the answer.
    pub session_token: Option<Arc<str>>,
    /// Revision of the configuration by which the attempt was routed.
    pub revision: u64,
}

/// How an answer is delivered to the caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DeliveryMode {
    /// Forward it as it arrives, except for the last part, which waits for
    /// [`Action::Finish`].
    Stream,
    /// Buffer it, so that it can be rated or discarded.
    Buffer {
        /// Size in bytes above which the attempt fails.
        max_bytes: usize,
    },
}

/// Identifies a call to the platform; at most one call of each id is in flight.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum CallId {
    /// Reads or watches the configuration.
    Configuration,
    /// Reads or watches the status objects.
    Status,
    /// Reads or writes a shard of the ledger.
    Shard(u32),
}

/// A line to write to the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogLine {
    /// Severity.
    pub level: Level,
    /// The message.
    pub text: String,
}

/// Severity of a log line.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Level {
    /// A normal event.
    Info,
    /// An abnormal event that the host can handle.
    Warn,
    /// The violation of an invariant.
    Error,
}
