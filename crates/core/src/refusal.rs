//! What callers are told when there is no answer.

use crate::request;

/// Why a request was not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Reason {
    /// The host is stopping.
    Stopping,
    /// The host does not know the configuration yet.
    NotReady,
    /// The host cannot rule out that it missed a change of the configuration.
    CutOff,
    /// The bills that wait leave no room for more.
    BacklogFull,
    /// No organisation has this key.
    Unauthorised,
    /// The organisation has no such model, cascade or service.
    NotAllowed,
    /// The session's token is not one of ours or belongs to another organisation.
    BadSession,
    /// The session's version was withdrawn; a new session gets another one.
    SessionWithdrawn,
    /// The call may not be repeated and has no idempotency key.
    IdempotencyKeyMissing,
    /// The idempotency key was used for a request with other content.
    IdempotencyKeyReused,
    /// The organisation is over its limit.
    OverLimit,
    /// Every server that could run it is full.
    AllServersFull,
    /// No server has what it needs.
    NoServer,
    /// The content took down servers that ran it.
    Poison,
    /// The content is suspected of it and runs elsewhere now.
    Suspect,
    /// The claim could not be made durable in time.
    ClaimUnavailable,
}

impl Reason {
    /// The reason as it stands in answers and metrics.
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
            Self::IdempotencyKeyMissing => "idempotency_key_missing",
            Self::IdempotencyKeyReused => "idempotency_key_reused",
            Self::OverLimit => "over_limit",
            Self::AllServersFull => "full",
            Self::NoServer => "no_server",
            Self::Poison => "poison",
            Self::Suspect => "suspect",
            Self::ClaimUnavailable => "claim_unavailable",
        }
    }

    /// The HTTP status.
    #[must_use]
    pub fn status(self) -> u16 {
        match self {
            Self::Unauthorised => 401,
            Self::NotAllowed => 403,
            Self::BadSession | Self::IdempotencyKeyMissing => 400,
            Self::SessionWithdrawn => 409,
            Self::IdempotencyKeyReused | Self::Poison => 422,
            Self::OverLimit => 429,
            _ => 503,
        }
    }

    /// When to come back, in milliseconds, where that makes sense.
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

    /// What the caller can do.
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
            Self::IdempotencyKeyMissing => {
                "send an Idempotency-Key with calls that may not be repeated"
            }
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

/// A refusal that is true: the request did not and will not run.
///
/// Only a request that was never dispatched can make one.
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

    /// Why.
    #[must_use]
    pub fn reason(&self) -> Reason {
        self.reason
    }

    /// When to come back, in milliseconds.
    #[must_use]
    pub fn retry_after_ms(&self) -> Option<u64> {
        self.retry_after_ms
    }
}

/// What is known of a request that was dispatched and has no whole answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Failure {
    /// It may be sent again: it changes nothing by running twice.
    Failed {
        /// When to come back, in milliseconds.
        retry_after_ms: u64,
    },
    /// It may have run and may not be repeated.
    OutcomeUnknown,
    /// An equal request is under way, or its outcome is not known yet.
    InProgress {
        /// When to ask again with the same key, in milliseconds.
        retry_after_ms: u64,
    },
}
