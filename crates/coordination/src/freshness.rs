//! How sure a host may be that it knows the latest configuration.

use serde::Deserialize;
use serde::Serialize;

/// Age of the last confirmation up to which it counts as fresh, in milliseconds.
pub const FRESH_MAX_AGE_MS: u64 = 6_000;
/// Age after which a host that cannot rule out a partition takes no new work, in milliseconds.
pub const ISOLATED_AFTER_MS: u64 = 12_000;
/// Silence of all peers after which a host counts as alone, in milliseconds.
pub const CONTACT_TIMEOUT_MS: u64 = 4_000;
/// Time for which the highest number of hosts counts, in milliseconds.
///
/// Without it hosts that crash one after the other before a partition would make the
/// smaller side of it look like most of them.
pub const PEAK_HOSTS_WINDOW_MS: u64 = 60_000;
/// What a host may conclude about its configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum State {
    /// The platform confirmed it a short while ago, here or at a peer.
    Fresh,
    /// The platform is silent, but most hosts are heard: an outage of the platform.
    Unconfirmed,
    /// Neither the platform nor most hosts are heard: a change may have passed unseen.
    Isolated,
}

/// The last confirmation by the platform, as told to a peer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Confirmation {
    /// Its age in milliseconds.
    pub age_ms: u64,
    /// Most live hosts of the last minute, of which more than half must still be heard.
    pub peak_hosts: u32,
    /// Age of that number in milliseconds.
    pub peak_hosts_age_ms: u64,
}

/// When the platform last confirmed the configuration, directly or through peers.
///
/// Hearing most hosts is enough to go on through an outage of the platform, but not to
/// start anew: a host that was cut off, paused or has just started must first catch up with
/// a peer that was not, or be confirmed by the platform.
#[derive(Debug, Clone, Default)]
pub struct Freshness {
    confirmed: Option<Confirmed>,
    invalidated_ms: Option<u64>,
    last_contact_ms: Option<u64>,
    is_caught_up: bool,
}

#[derive(Debug, Clone, Copy)]
struct Confirmed {
    confirmed_at_ms: u64,
    peak_hosts: u32,
    peak_hosts_at_ms: u64,
}

impl Freshness {
    /// Starts without a confirmation.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes a reply of the platform to a call made at `asked_ms`.
    pub fn record_confirmation(&mut self, sent_ms: u64, live_hosts: usize) {
        // A reply to a call from before a pause may be as old as the pause.
        if self.invalidated_ms.is_some_and(|at_ms| sent_ms < at_ms) {
            return;
        }
        let peak_hosts = to_u32(live_hosts);
        self.merge(Confirmed { confirmed_at_ms: sent_ms, peak_hosts, peak_hosts_at_ms: sent_ms });
    }

    /// Notes that a peer answered a question asked at `asked_ms`.
    pub fn record_contact(&mut self, sent_ms: u64) {
        self.last_contact_ms = self.last_contact_ms.max(Some(sent_ms));
    }

    /// Notes that this host has all that a peer had when it answered a question.
    ///
    /// The confirmation is the peer's; a peer that is cut off has none to tell. Only answers
    /// count: any other message may have waited in a buffer for long.
    pub fn record_peer_confirmation(&mut self, confirmation: Confirmation, sent_ms: u64) {
        let confirmed_at_ms = sent_ms.saturating_sub(confirmation.age_ms);
        let peak_hosts_at_ms = sent_ms.saturating_sub(confirmation.peak_hosts_age_ms);
        self.merge(Confirmed {
            confirmed_at_ms,
            peak_hosts: confirmation.peak_hosts,
            peak_hosts_at_ms,
        });
    }

    /// Treats everything as lapsed, as after a pause of this host.
    pub fn invalidate(&mut self, now_ms: u64) {
        // The number of hosts still counts; the confirmation itself does not.
        *self = Self { confirmed: self.confirmed, invalidated_ms: Some(now_ms), ..Self::default() };
    }

    /// Moves time on: a host that is cut off has to catch up before it relies on peers again.
    pub fn tick(&mut self, now_ms: u64, live_hosts: usize) {
        if self.is_caught_up && self.state(now_ms, live_hosts) == State::Isolated {
            self.is_caught_up = false;
        }
    }

    /// The last confirmation, for a peer; a host that is cut off has none to tell.
    #[must_use]
    pub fn confirmation(&self, now_ms: u64, live_hosts: usize) -> Option<Confirmation> {
        if self.state(now_ms, live_hosts) == State::Isolated {
            return None;
        }
        let confirmed = self.confirmed?;
        let age_ms = now_ms.saturating_sub(confirmed.confirmed_at_ms);
        let peak_hosts_age_ms = now_ms.saturating_sub(confirmed.peak_hosts_at_ms);
        Some(Confirmation { age_ms, peak_hosts: confirmed.peak_hosts, peak_hosts_age_ms })
    }

    /// Age of the last confirmation in milliseconds, if there was one.
    #[must_use]
    pub fn age_ms(&self, now_ms: u64) -> Option<u64> {
        let confirmed = self.confirmed.filter(|_| self.invalidated_ms.is_none())?;
        Some(now_ms.saturating_sub(confirmed.confirmed_at_ms))
    }

    /// What the host may conclude; `hosts_heard` counts the live members, itself included.
    #[must_use]
    pub fn state(&self, now_ms: u64, live_hosts: usize) -> State {
        let age_ms = self.age_ms(now_ms).unwrap_or(u64::MAX);
        if age_ms <= FRESH_MAX_AGE_MS {
            State::Fresh
        } else if age_ms <= ISOLATED_AFTER_MS || self.has_majority(now_ms, live_hosts) {
            State::Unconfirmed
        } else {
            State::Isolated
        }
    }

    fn has_majority(&self, now_ms: u64, live_hosts: usize) -> bool {
        let has_no_contact =
            self.last_contact_ms.is_none_or(|at_ms| now_ms > at_ms + CONTACT_TIMEOUT_MS);
        let peak_hosts = self.confirmed.map_or(0, |confirmed| confirmed.peak_hosts);
        self.is_caught_up && !has_no_contact && to_u32(live_hosts) > peak_hosts / 2
    }

    fn merge(&mut self, confirmed: Confirmed) {
        self.is_caught_up = true;
        let Some(current) = &mut self.confirmed else {
            self.confirmed = Some(confirmed);
            return;
        };
        if self.invalidated_ms.take().is_some()
            || confirmed.confirmed_at_ms > current.confirmed_at_ms
        {
            current.confirmed_at_ms = confirmed.confirmed_at_ms;
        }
        if confirmed.peak_hosts >= current.peak_hosts
            || confirmed.confirmed_at_ms >= current.peak_hosts_at_ms + PEAK_HOSTS_WINDOW_MS
        {
            current.peak_hosts = confirmed.peak_hosts;
            current.peak_hosts_at_ms = confirmed.peak_hosts_at_ms;
        }
    }
}

fn to_u32(count: usize) -> u32 {
    u32::try_from(count).unwrap_or(u32::MAX)
}
