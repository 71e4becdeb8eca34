//! Tracks whether a host may rely on its copy of the configuration being current.

use serde::Deserialize;
use serde::Serialize;

/// Maximum age of the last confirmation for the state to be fresh, in milliseconds.
pub const FRESH_MAX_AGE_MS: u64 = 6_000;
/// Confirmation age after which a host that cannot rule out a network partition takes no new
/// work, in milliseconds.
pub const ISOLATED_AFTER_MS: u64 = 12_000;
/// Time without any answer from a peer after which a host assumes that it has lost contact, in
/// milliseconds.
pub const CONTACT_TIMEOUT_MS: u64 = 4_000;
/// Time for which the highest observed number of hosts is kept, in milliseconds.
///
/// The majority is taken of this peak. Otherwise, hosts that crash one after the other before a
/// partition would lower the count until the smaller side of the partition looks like a majority.
pub const PEAK_HOSTS_WINDOW_MS: u64 = 60_000;

/// How far a host may rely on its configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum State {
    /// The platform confirmed it recently, to this host or to a peer.
    Fresh,
    /// The platform does not answer but a majority of the hosts is live: a platform outage.
    Unconfirmed,
    /// Neither the platform nor a majority of the hosts is reachable: the configuration may lack
    /// a change.
    Isolated,
}

/// The last confirmation by the platform, as sent to a peer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Confirmation {
    /// Age of the confirmation in milliseconds.
    pub age_ms: u64,
    /// Highest number of live hosts within [`PEAK_HOSTS_WINDOW_MS`], the base of the majority.
    pub peak_hosts: u32,
    /// Age of that observation in milliseconds.
    pub peak_hosts_age_ms: u64,
}

/// Tracks when the platform last confirmed the configuration, directly or through peers.
///
/// A majority of live hosts suffices to keep serving through a platform outage, but not to
/// start serving again: a host that was isolated or paused, or has just started, must first
/// catch up with a peer that was not, or get a confirmation from the platform.
#[derive(Debug, Clone, Default)]
pub struct Freshness {
    confirmed: Option<Confirmed>,
    invalidated_ms: Option<u64>,
    last_contact_ms: Option<u64>,
    is_caught_up: bool,
}

#[derive(Debug, Clone, Copy)]
struct Confirmed {
    at_ms: u64,
    peak_hosts: u32,
    peak_hosts_at_ms: u64,
}

impl Freshness {
    /// Creates the tracker without a confirmation.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records a reply of the platform to a call sent at `sent_ms`.
    pub fn record_confirmation(&mut self, sent_ms: u64, live_hosts: usize) {
        // The reply to a call sent before a pause may be as old as the pause is long.
        if self.invalidated_ms.is_some_and(|at_ms| sent_ms < at_ms) {
            return;
        }
        let peak_hosts = to_u32(live_hosts);
        self.merge(Confirmed { at_ms: sent_ms, peak_hosts, peak_hosts_at_ms: sent_ms });
    }

    /// Records that a peer answered a ping sent at `sent_ms`.
    pub fn record_contact(&mut self, sent_ms: u64) {
        self.last_contact_ms = self.last_contact_ms.max(Some(sent_ms));
    }

    /// Records a peer's confirmation once this host has caught up with that peer.
    ///
    /// The confirmation must come with the answer to a ping sent at `sent_ms`, which bounds its
    /// age: any other message may have been buffered for an unknown time. An isolated peer has
    /// no confirmation to send.
    pub fn record_peer_confirmation(&mut self, confirmation: Confirmation, sent_ms: u64) {
        let at_ms = sent_ms.saturating_sub(confirmation.age_ms);
        let peak_hosts_at_ms = sent_ms.saturating_sub(confirmation.peak_hosts_age_ms);
        self.merge(Confirmed { at_ms, peak_hosts: confirmation.peak_hosts, peak_hosts_at_ms });
    }

    /// Discards the current confirmation, as after a pause of this host.
    pub fn invalidate(&mut self, now_ms: u64) {
        // Only the peak number of hosts stays valid; the confirmation itself does not.
        *self = Self { confirmed: self.confirmed, invalidated_ms: Some(now_ms), ..Self::default() };
    }

    /// Advances the time; an isolated host has to catch up before it relies on a majority again.
    pub fn tick(&mut self, now_ms: u64, live_hosts: usize) {
        if self.is_caught_up && self.state(now_ms, live_hosts) == State::Isolated {
            self.is_caught_up = false;
        }
    }

    /// Returns the last confirmation to send to a peer, or `None` if this host is isolated.
    #[must_use]
    pub fn confirmation(&self, now_ms: u64, live_hosts: usize) -> Option<Confirmation> {
        if self.state(now_ms, live_hosts) == State::Isolated {
            return None;
        }
        let confirmed = self.confirmed?;
        let age_ms = now_ms.saturating_sub(confirmed.at_ms);
        let peak_hosts_age_ms = now_ms.saturating_sub(confirmed.peak_hosts_at_ms);
        Some(Confirmation { age_ms, peak_hosts: confirmed.peak_hosts, peak_hosts_age_ms })
    }

    /// Returns the age of the last valid confirmation in milliseconds.
    #[must_use]
    pub fn age_ms(&self, now_ms: u64) -> Option<u64> {
        let confirmed = self.confirmed.filter(|_| self.invalidated_ms.is_none())?;
        Some(now_ms.saturating_sub(confirmed.at_ms))
    }

    /// Returns the current state; `live_hosts` counts the live members including this host.
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
        let has_lost_contact =
            self.last_contact_ms.is_none_or(|at_ms| now_ms > at_ms + CONTACT_TIMEOUT_MS);
        let peak_hosts = self.confirmed.map_or(0, |confirmed| confirmed.peak_hosts);
        self.is_caught_up && !has_lost_contact && to_u32(live_hosts) > peak_hosts / 2
    }

    fn merge(&mut self, confirmed: Confirmed) {
        self.is_caught_up = true;
        let Some(current) = &mut self.confirmed else {
            self.confirmed = Some(confirmed);
            return;
        };
        if self.invalidated_ms.take().is_some() || confirmed.at_ms > current.at_ms {
            current.at_ms = confirmed.at_ms;
        }
        if confirmed.peak_hosts >= current.peak_hosts
            || confirmed.at_ms >= current.peak_hosts_at_ms + PEAK_HOSTS_WINDOW_MS
        {
            current.peak_hosts = confirmed.peak_hosts;
            current.peak_hosts_at_ms = confirmed.peak_hosts_at_ms;
        }
    }
}

fn to_u32(count: usize) -> u32 {
    u32::try_from(count).unwrap_or(u32::MAX)
}
