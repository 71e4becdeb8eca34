//! A host's demand for permits, and the permits that it holds.

use toucanwall_routing::name;

use super::rate;

/// Time after a permit was asked for in which it can be used, in milliseconds.
const PERMIT_TTL_MS: u64 = 1_000;
/// Time between two requests for permits for a server, in milliseconds; doubles up to
/// [`MAX_REQUEST_INTERVAL_MS`] with each one that yields nothing.
pub(super) const REQUEST_INTERVAL_MS: u64 = 100;
/// Longest time between two requests for permits, in milliseconds.
const MAX_REQUEST_INTERVAL_MS: u64 = 400;
/// Longest time after the latest request for a server in which permits are asked for, in
/// milliseconds.
const DEMAND_TTL_MS: u64 = 200;

/// A host's demand for permits for a server.
#[derive(Debug, Default)]
pub(super) struct Demand {
    /// Requests that have found no permit since the latest request for permits.
    pub(super) wanted: u32,
    /// Highest urgency among them.
    pub(super) priority: u32,
    pub(super) latest_ms: u64,
    /// Permit requests that may still yield permits.
    pub(super) requests: Vec<OpenRequest>,
    pub(super) next_request_ms: u64,
    /// Permit requests in a row that have yielded nothing.
    pub(super) unanswered: u32,
}

/// A permit request that may still yield permits.
#[derive(Debug)]
pub(super) struct OpenRequest {
    pub(super) issuer: name::HostName,
    pub(super) number: u64,
    pub(super) wanted: u32,
    pub(super) received: u32,
    pub(super) sent_ms: u64,
}

/// Allows one request to be sent to a limited server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Permit {
    /// When the permit expires, in milliseconds.
    pub(super) expires_ms: u64,
}

impl Demand {
    /// Whether requests have lately found no permit.
    pub(super) fn is_current(&self, now_ms: u64) -> bool {
        self.wanted > 0 && now_ms < self.latest_ms + DEMAND_TTL_MS
    }

    /// Records a request that has found no permit.
    pub(super) fn record(&mut self, priority: u32, max_wanted: u32, now_ms: u64) {
        if !self.is_current(now_ms) {
            self.wanted = 0;
            self.priority = priority;
        }
        if now_ms >= self.next_request_ms + MAX_REQUEST_INTERVAL_MS {
            self.unanswered = 0;
        }
        self.wanted = self.wanted.saturating_add(1).min(max_wanted);
        self.priority = self.priority.min(priority);
        self.latest_ms = now_ms;
    }

    pub(super) fn add_request(
        &mut self,
        issuer: name::HostName,
        number: u64,
        wanted: u32,
        now_ms: u64,
    ) {
        self.requests.retain(|open| now_ms < open.expires_ms());
        self.requests.push(OpenRequest { issuer, number, wanted, received: 0, sent_ms: now_ms });
    }
}

impl OpenRequest {
    pub(super) fn expires_ms(&self) -> u64 {
        self.sent_ms + PERMIT_TTL_MS
    }
}

impl Permit {
    /// Whether the permit can still be used.
    #[must_use]
    pub fn is_valid(&self, now_ms: u64) -> bool {
        now_ms < self.expires_ms
    }
}

/// Number of permits that a host can use before they expire at a limit.
pub(super) fn most_useful_permits(rate: rate::Rate) -> u32 {
    u32::try_from(rate.per_1000_s().saturating_mul(PERMIT_TTL_MS) / 1_000_000 + 1)
        .unwrap_or(u32::MAX)
}

pub(super) fn request_interval_ms(unanswered: u32) -> u64 {
    let doublings = unanswered.saturating_sub(1).min(16);
    (REQUEST_INTERVAL_MS << doublings).min(MAX_REQUEST_INTERVAL_MS)
}
