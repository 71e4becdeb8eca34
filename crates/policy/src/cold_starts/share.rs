//! The part of a cold server's limit that each of its senders may use.

use toucanwall_routing::number;

/// Span of sending times that can arrive within one second, in milliseconds: requests take up to
/// 100 ms to arrive.
pub const WINDOW_MS: u64 = 1_100;
/// Hosts that send to a cold server in small deployments.
const SENDERS: usize = 6;
/// Most senders of a cold server in larger deployments.
const SENDERS_MAX: usize = 12;
/// Hosts for each sender in larger deployments: with 90 hosts and 60 servers, each host can send to eight
/// cold ones. With six senders for each, a third of 300 hosts could send to none of them.
const HOSTS_PER_SENDER: usize = 7;
/// Part of its share that a host uses while its view of the hosts may differ from that of others, in
/// percent.
const UNSETTLED_PERCENT: u64 = 58;
/// Least part of the limit that has to be left after it is divided into whole requests, in percent;
/// otherwise there are fewer senders.
const DIVIDED_MIN_PERCENT: u64 = 90;

/// The requests that a cold server of a service takes from all hosts together.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limit {
    start_ms: u64,
    /// Requests that may arrive in any second.
    bound: u64,
    /// Requests for one window that all senders share while their views are the same.
    shared: u64,
}

/// What each sender of a cold server may send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Share {
    /// Number of senders.
    pub senders: usize,
    /// Requests in a window.
    pub settled: u64,
    /// Requests in a window while views may differ.
    pub unsettled: u64,
}

impl Limit {
    /// Creates the limit of servers that are cold for `start_ms`, take `per_s` requests a second, and
    /// at most `per_s` x `overshoot` + `tolerance` in any second. `None` if that is no limit.
    #[must_use]
    pub fn new(start_ms: u64, per_s: f64, overshoot: f64, tolerance: f64) -> Option<Self> {
        let is_limit = start_ms > 0 && per_s > 0.0 && overshoot >= 0.0 && tolerance >= 0.0;
        let bound = per_s * overshoot + tolerance;
        if !is_limit || !bound.is_finite() {
            return None;
        }
        let bound = number::saturating_u64(bound.floor());
        let per_window = number::saturating_u64(
            per_s * std::time::Duration::from_millis(WINDOW_MS).as_secs_f64(),
        );
        // Senders with the latest view, and those of an earlier one that are cut off.
        let with_two_views = bound.saturating_mul(100) / (100 + UNSETTLED_PERCENT);
        Some(Self { start_ms, bound, shared: with_two_views.min(per_window).max(1).min(bound) })
    }

    /// Time from its start for which a server is cold, in milliseconds.
    #[must_use]
    pub fn start_ms(&self) -> u64 {
        self.start_ms
    }

    /// Requests that may arrive in any second.
    #[must_use]
    pub fn bound(&self) -> u64 {
        self.bound
    }

    /// Divides the limit among the senders that `hosts` hosts have for a server: as many as the whole
    /// requests of the limit can be divided among.
    #[must_use]
    pub fn share(&self, hosts: usize) -> Share {
        let shares = (1..=senders_max(hosts)).rev().map(|senders| self.divide(senders));
        let is_whole = |share: &Share| {
            share.unsettled > 0
                && share.total().saturating_mul(100)
                    >= self.shared.saturating_mul(DIVIDED_MIN_PERCENT)
        };
        shares.clone().find(is_whole).unwrap_or_else(|| self.divide(1))
    }

    fn divide(&self, senders: usize) -> Share {
        let count = u64::try_from(senders).unwrap_or(u64::MAX);
        let settled = self.shared / count;
        let unsettled = settled.saturating_mul(UNSETTLED_PERCENT) / 100;
        // Of a single request there is no part, but the bound may have room for another one.
        let has_room = count.saturating_mul(settled.saturating_add(1)) <= self.bound;
        Share { senders, settled, unsettled: unsettled.max(u64::from(has_room && settled > 0)) }
    }
}

/// Most senders that a server has in a deployment with this number of hosts.
pub fn senders_max(hosts: usize) -> usize {
    (hosts / HOSTS_PER_SENDER).clamp(SENDERS, SENDERS_MAX).min(hosts.max(1))
}

impl Share {
    /// Requests of all senders in a window while their views are the same.
    #[must_use]
    pub fn total(&self) -> u64 {
        self.settled.saturating_mul(u64::try_from(self.senders).unwrap_or(u64::MAX))
    }

    /// Time between two requests of a sender, in milliseconds; `None` if it may send none.
    ///
    /// A window then has room for no more than the sender's requests, wherever it begins.
    #[must_use]
    pub fn interval_ms(&self, is_settled: bool) -> Option<u64> {
        let requests = if is_settled { self.settled } else { self.unsettled };
        (requests > 0).then(|| WINDOW_MS.div_ceil(requests))
    }
}
