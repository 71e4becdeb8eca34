//! Refusals and failures, as reported to callers.

use crate::request;

/// Why a request was refused before it was executed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Reason {
    /// The host is shutting down.
    Stopping,
    /// The host has not loaded the configuration yet.
    NotReady,
    /// The host can no longer confirm its configuration and may have missed a change, as in a
    /// network partition.
    CutOff,
    /// The backlog of bills that are not durable yet is full.
    BacklogFull,
    /// No organisation has this API key.
    Unauthorised,
    /// The organisation may not use this model, cascade or service.
    NotAllowed,
    /// The session token is invalid or belongs to another organisation.
    BadSession,
    /// The model version to which the session is pinned was withdrawn.
    SessionWithdrawn,
    /// The call is not idempotent and has no idempotency key.
    NoIdempotencyKey,
    /// The idempotency key was already used for a request with different content.
    IdempotencyKeyReused,
    /// The organisation has exceeded its rate limit.
    OverLimit,
    /// Every server that could execute the request is at capacity.
    AllServersFull,
    /// No available server has loaded the version or belongs to the service's pool.
    NoServer,
    /// The content crashed too many of the servers that executed it.
    Poison,
    /// The content is suspected of crashing servers and is being tried by another request.
    Suspect,
    /// The claim on the idempotency key could not be made durable in time.
    ClaimUnavailable,
}

impl Reason {
    /// Returns the code that answers and metrics show.
    #[must_use]
    pub fn code(self) -> &'static str {
        match self {
            Self::Stopping => "stopping",
            Self::NotReady => "not_ready",
            Self::CutOff => "cut_off",
            Self::BacklogFull => "backlog_full",
            Self::Unauthorised => "unauthorised",
            Self::NotAllowed => "not_allowed",
            Self::BadSession => "bad_session",
            Self::SessionWithdrawn => "session_withdrawn",
            Self::NoIdempotencyKey => "idempotency_key_missing",
            Self::IdempotencyKeyReused => "idempotency_key_reused",
            Self::OverLimit => "over_limit",
            Self::AllServersFull => "full",
            Self::NoServer => "no_server",
            Self::Poison => "poison",
            Self::Suspect => "suspect",
            Self::ClaimUnavailable => "claim_unavailable",
        }
    }

    /// Returns the HTTP status of the answer.
    #[must_use]
    pub fn status(self) -> u16 {
        match self {
            Self::Unauthorised => 401,
            Self::NotAllowed => 403,
            Self::BadSession | Self::NoIdempotencyKey => 400,
            Self::SessionWithdrawn => 409,
            Self::IdempotencyKeyReused | Self::Poison => 422,
            Self::OverLimit => 429,
            _ => 503,
        }
    }

    /// Returns the time in milliseconds after which the caller may retry, if a retry can
    /// succeed.
    #[must_use]
    pub fn retry_after_ms(self) -> Option<u64> {
        match self {
            Self::Stopping | Self::CutOff | Self::Suspect | Self::AllServersFull => Some(1_000),
            Self::NotReady | Self::OverLimit | Self::ClaimUnavailable => Some(2_000),
            Self::NoServer => Some(5_000),
            Self::BacklogFull => Some(10_000),
            _ => None,
        }
    }

    /// Returns advice for the caller.
    #[must_use]
    pub fn hint(self) -> &'static str {
        match self {
            Self::Stopping => "ask /v1/addresses again and use another host",
            Self::NotReady => "the host has just started; use another host meanwhile",
            Self::CutOff => "the host is cut off; use another host",
            Self::BacklogFull => "the platform has been away for long; come back later",
            Self::Unauthorised => "send the organisation's key as a bearer token",
            Self::NotAllowed => "ask your operator which models and services you may use",
            Self::BadSession | Self::SessionWithdrawn => {
                "leave the session token out to start a new session"
            }
            Self::NoIdempotencyKey => "send an Idempotency-Key with calls that may not be repeated",
            Self::IdempotencyKeyReused => "use a new Idempotency-Key for a new request",
            Self::OverLimit => "send fewer requests or ask your operator for a higher limit",
            Self::AllServersFull => "all servers are busy",
            Self::NoServer => "no live server has this version; your operator sees it too",
            Self::Poison => "this content took down the servers that ran it",
            Self::Suspect => "this content is being tried on one server; come back",
            Self::ClaimUnavailable => "the claim could not be stored; the request was not run",
        }
    }
}

/// Proof that a request was not executed and will not be.
///
/// It can only be created from a request in a state before its dispatch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NotRun {
    reason: Reason,
    retry_after_ms: Option<u64>,
}

impl NotRun {
    pub(crate) fn new<S>(_request: &request::Request<S>, reason: Reason) -> Self
    where
        S: request::NeverDispatched,
    {
        Self { reason, retry_after_ms: reason.retry_after_ms() }
    }

    pub(crate) fn with_retry_after(mut self, retry_after_ms: u64) -> Self {
        self.retry_after_ms = Some(retry_after_ms);
        self
    }

    /// Returns why the request was refused.
    #[must_use]
    pub fn reason(&self) -> Reason {
        self.reason
    }

    /// Returns the time in milliseconds after which the caller may retry.
    #[must_use]
    pub fn retry_after_ms(&self) -> Option<u64> {
        self.retry_after_ms
    }
}

/// The outcome of a request that was dispatched or claimed and has no complete answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Failure {
    /// The request failed; it is idempotent, so the caller may send it again.
    Failed {
        /// Time after which the caller may retry, in milliseconds.
        retry_after_ms: u64,
    },
    /// The request is not idempotent and may have been executed.
    OutcomeUnknown,
    /// An earlier request with the same idempotency key is still in progress, or its outcome
    /// is not known yet.
    InProgress {
        /// Time after which the caller may retry with the same key, in milliseconds.
        retry_after_ms: u64,
    },
}
