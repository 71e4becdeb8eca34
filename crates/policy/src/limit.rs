//! Limits of an organisation over all hosts, without a call a request.
//!
//! Each live host admits its equal part of the limit, with a burst of one second. While
//! hosts cannot hear each other each side divides by the hosts that it hears, so the sum
//! over a partition into `k` sides is at most `k` times the limit.

use std::collections;

use toucanwall_document::name;

/// Length of the burst that a host admits above the steady rate, in milliseconds.
const BURST_MS: u64 = 1_000;
/// A token in thousandths, so that small parts add up.
const MILLITOKENS_PER_TOKEN: u64 = 1_000;

/// What to do with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// It is within the limit.
    Admit,
    /// It is over the limit; come back after this time.
    Refuse {
        /// Time until there is room again, in milliseconds.
        retry_after_ms: u64,
    },
}

#[derive(Debug)]
struct Bucket {
    millitokens: u64,
    refilled_ms: u64,
}

/// One token bucket an organisation.
#[derive(Debug, Default)]
pub struct RateLimiter {
    buckets: collections::BTreeMap<name::Name, Bucket>,
}

impl RateLimiter {
    /// No organisation seen yet.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes a token of an organisation, if this host's part of the limit has one left.
    pub fn try_acquire(
        &mut self,
        organisation: &name::Name,
        requests_per_s: u64,
        host_count: u64,
        now_ms: u64,
    ) -> Decision {
        let host_count = host_count.max(1);
        // One whole request must always fit, however small this host's part is.
        let capacity = (requests_per_s * BURST_MS / host_count).max(MILLITOKENS_PER_TOKEN);
        let bucket = self
            .buckets
            .entry(organisation.clone())
            .or_insert(Bucket { millitokens: capacity, refilled_ms: now_ms });
        let elapsed_ms = now_ms.saturating_sub(bucket.refilled_ms);
        let gained = elapsed_ms * requests_per_s / host_count;
        if gained > 0 {
            bucket.refilled_ms = now_ms;
            bucket.millitokens = (bucket.millitokens + gained).min(capacity);
        }
        if bucket.millitokens >= MILLITOKENS_PER_TOKEN {
            bucket.millitokens -= MILLITOKENS_PER_TOKEN;
            return Decision::Admit;
        }
        let missing = MILLITOKENS_PER_TOKEN - bucket.millitokens;
        Decision::Refuse { retry_after_ms: (missing * host_count).div_ceil(requests_per_s.max(1)) }
    }
}
