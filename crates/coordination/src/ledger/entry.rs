//! Entries of the ledger and their outcomes.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::identity;

/// Maximum size of a response body that is stored with a settled claim, in bytes.
pub const STORED_RESPONSE_MAX_BYTES: usize = 4_096;

/// Digest of an organisation, a service and an idempotency key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct ClaimKey(pub u128);

/// One attempt to claim a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct ClaimId {
    /// The claiming host.
    pub host: identity::HostId,
    /// Sequence number among the claims of that host.
    pub number: u64,
}

/// Identifier of a request for billing.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct BillId {
    /// The host that admitted the request.
    pub host: identity::HostId,
    /// Sequence number among the requests of that host.
    pub number: u64,
}

/// How a billed request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub enum RequestOutcome {
    /// The complete response arrived from the backend server.
    Answered,
    /// The backend server failed or the caller disconnected; nothing is charged.
    Failed,
    /// The host was lost while the request was open; nothing is charged.
    Interrupted,
}

/// The bill of one request.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Bill {
    /// The billed request.
    pub id: BillId,
    /// The organisation to charge.
    pub organisation: Arc<str>,
    /// The item that served the request: `model@version` or the name of a service.
    pub item: Arc<str>,
    /// Number of generated tokens.
    pub tokens: u64,
    /// Price in microcents.
    pub cost_microcents: u64,
    /// How the request ended.
    pub outcome: RequestOutcome,
}

/// The stored response to a settled request.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct StoredResponse {
    /// HTTP status code.
    pub status: u16,
    /// Media type of the body.
    pub content_type: Arc<str>,
    /// The complete body, unless it exceeds [`STORED_RESPONSE_MAX_BYTES`].
    pub body: Option<Arc<[u8]>>,
}

/// An entry in the log of a shard.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Entry {
    /// Claims a key so that its request may run.
    Claim {
        /// The claimed key.
        key: ClaimKey,
        /// The claiming attempt.
        claim: ClaimId,
        /// Digest of the request, which distinguishes a retry from a different request.
        content_digest: u64,
    },
    /// Gives up a claim whose request was not dispatched.
    Release {
        /// The claimed key.
        key: ClaimKey,
        /// The claiming attempt.
        claim: ClaimId,
    },
    /// Stores the response to a claimed request.
    Settle {
        /// The claimed key.
        key: ClaimKey,
        /// The claiming attempt.
        claim: ClaimId,
        /// The response.
        response: StoredResponse,
    },
    /// Bills a request.
    Bill(Bill),
}

/// The outcome of submitting an [`Entry`].
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum EntryOutcome {
    /// The claim is granted: its request may run once.
    Granted,
    /// Another attempt holds the key, and whether its request ran is not known yet.
    InProgress,
    /// The request of this key was answered with this response.
    AlreadySettled(StoredResponse),
    /// The key is in use for a request with different content.
    ContentMismatch,
    /// The claim is released and will never be granted.
    Released,
    /// The response is stored.
    Settled,
    /// The bill, or an earlier one for the same request, is durable.
    Billed,
    /// The shard has reached its limit of claims.
    Full,
}

/// A batch of entries, stored as one object of the log.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Batch {
    /// The host that wrote the batch.
    pub owner: identity::HostId,
    /// Distinguishes a writer's own object from that of a concurrent writer.
    pub nonce: u64,
    /// Wall-clock time in seconds since the Unix epoch.
    pub at_s: u64,
    /// The entries in log order.
    pub entries: Vec<Entry>,
}
