//! Entries of the ledger and what becomes of them.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::identity;

/// Largest answer that is kept with a settled claim, in bytes.
pub const STORED_RESPONSE_MAX_BYTES: usize = 4_096;

/// Digest of an organisation and its idempotency key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct ClaimKey(pub u128);

/// One attempt to claim a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct ClaimId {
    /// The host that claims.
    pub host: identity::HostId,
    /// Counts the claims of that host.
    pub number: u64,
}

/// One request, for billing.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct BillId {
    /// The host that admitted the request.
    pub host: identity::HostId,
    /// Counts the requests of that host.
    pub number: u64,
}

/// How a billed request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub enum RequestOutcome {
    /// The whole answer went to the caller.
    Answered,
    /// The backend server failed, or the caller left; nothing is charged.
    Failed,
    /// The host was lost with the request open; nothing is charged.
    Interrupted,
}

/// What a request costs.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Bill {
    /// The request.
    pub id: BillId,
    /// The organisation that pays.
    pub organisation: Arc<str>,
    /// What ran, as `model@version` or the name of a service.
    pub item: Arc<str>,
    /// Tokens generated.
    pub tokens: u64,
    /// Price in microcents.
    pub cost_microcents: u64,
    /// How the request ended.
    pub outcome: RequestOutcome,
}

/// The answer of a settled request.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct StoredResponse {
    /// HTTP status.
    pub status: u16,
    /// Media type of the body.
    pub content_type: Arc<str>,
    /// The whole body, if it is short enough to keep.
    pub body: Option<Arc<[u8]>>,
}

/// One entry of a shard.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Entry {
    /// Claims a key, so that its request may run.
    Claim {
        /// The key.
        key: ClaimKey,
        /// The attempt.
        claim: ClaimId,
        /// Digest of the request, to tell a repetition from another request.
        content_digest: u64,
    },
    /// Gives a claim up before its request was dispatched.
    Release {
        /// The key.
        key: ClaimKey,
        /// The attempt.
        claim: ClaimId,
    },
    /// States the answer to a claimed request.
    Settle {
        /// The key.
        key: ClaimKey,
        /// The attempt.
        claim: ClaimId,
        /// The answer.
        response: StoredResponse,
    },
    /// Bills a request.
    Bill(Bill),
}

/// What became of an [`Entry`].
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum EntryOutcome {
    /// The claim holds: its request may run, once.
    Granted,
    /// Another attempt holds the key; whether its request ran is not known yet.
    InProgress,
    /// The key's request was answered.
    AlreadySettled(StoredResponse),
    /// The key belongs to a request with other content.
    ContentMismatch,
    /// The claim is given up and will never be granted.
    Released,
    /// The answer is kept.
    Settled,
    /// The bill is durable; this one or an earlier one for the same request.
    Billed,
    /// The shard holds as many claims as it may.
    Full,
}

/// Entries as one object of the log.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Batch {
    /// The host that wrote it.
    pub owner: identity::HostId,
    /// Tells one's own write from another's.
    pub nonce: u64,
    /// Wall-clock time in seconds since the epoch.
    pub at_s: u64,
    /// The entries in order.
    pub entries: Vec<Entry>,
}
