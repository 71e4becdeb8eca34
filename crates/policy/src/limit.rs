//! Rate limits of organisations, enforced over all hosts without coordination for each request.
//!
//! Each live host admits an equal share of the limit, with a burst of one second. During a network
//! partition each side divides the limit by the hosts that it can reach, so a partition into `k`
//! sides admits at most `k` times the limit.

use std::collections;

use toucanwall_document::name;

/// Length of the burst that a host admits above the steady rate, in milliseconds.
const BURST_MS: u64 = 1_000;
/// Buckets count thousandths of a token, so that small increments add up.
const MILLITOKENS_PER_TOKEN: u64 = 1_000;

/// The decision on a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// The request is within the limit.
    Admit,
    /// The request exceeds the limit.
    Refuse {
        /// Time until the next request would be admitted, in milliseconds.
        retry_after_ms: u64,
    },
}

#[derive(Debug)]
struct Bucket {
    millitokens: u64,
    refilled_ms: u64,
}

/// A token bucket for each organisation.
#[derive(Debug, Default)]
pub struct RateLimiter {
    buckets: collections::BTreeMap<name::Name, Bucket>,
}

impl RateLimiter {
    /// Creates a limiter without organisations.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes a token from an organisation's bucket at this host, if one is left.
    pub fn try_acquire(
        &mut self,
        organisation: &name::Name,
        requests_per_s: u64,
        host_count: u64,
        now_ms: u64,
    ) -> Decision {
        let host_count = host_count.max(1);
        // The bucket must hold one whole request, however small this host's share is.
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
