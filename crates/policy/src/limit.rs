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
const MILLITOKENS: u64 = 1_000;

/// What to do with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
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
    at_ms: u64,
}

/// One token bucket an organisation.
#[derive(Debug, Default)]
pub struct Limits {
    buckets: collections::BTreeMap<name::Name, Bucket>,
}

impl Limits {
    /// No organisation seen yet.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes a token of an organisation, if this host's part of the limit has one left.
    pub fn take(
        &mut self,
        organisation: &name::Name,
        requests_per_s: u64,
        hosts: u64,
        now_ms: u64,
    ) -> Verdict {
        let hosts = hosts.max(1);
        // One whole request must always fit, however small this host's part is.
        let full = (requests_per_s * BURST_MS / hosts).max(MILLITOKENS);
        let bucket = self
            .buckets
            .entry(organisation.clone())
            .or_insert(Bucket { millitokens: full, at_ms: now_ms });
        let elapsed_ms = now_ms.saturating_sub(bucket.at_ms);
        let gained = elapsed_ms * requests_per_s / hosts;
        if gained > 0 {
            bucket.at_ms = now_ms;
            bucket.millitokens = (bucket.millitokens + gained).min(full);
        }
        if bucket.millitokens >= MILLITOKENS {
            bucket.millitokens -= MILLITOKENS;
            return Verdict::Admit;
        }
        let lacking = MILLITOKENS - bucket.millitokens;
        Verdict::Refuse { retry_after_ms: (lacking * hosts).div_ceil(requests_per_s.max(1)) }
    }
}
