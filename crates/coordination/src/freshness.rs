//! How sure a host may be that it knows the latest configuration.

use serde::Deserialize;
use serde::Serialize;

/// Age of the last confirmation up to which it counts as fresh, in milliseconds.
pub const FRESH_MS: u64 = 6_000;
/// Age after which a host that cannot rule out a partition takes no new work, in milliseconds.
pub const CUT_OFF_MS: u64 = 12_000;
/// Silence of all peers after which a host counts as alone, in milliseconds.
pub const ALONE_MS: u64 = 4_000;
/// Time for which the highest number of hosts counts, in milliseconds.
///
/// Without it hosts that crash one after the other before a partition would make the
/// smaller side of it look like most of them.
pub const PEAK_MS: u64 = 60_000;
/// What a host may conclude about its configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Standing {
    /// The platform confirmed it a short while ago, here or at a peer.
    Fresh,
    /// The platform is silent, but most hosts are heard: an outage of the platform.
    Unconfirmed,
    /// Neither the platform nor most hosts are heard: a change may have passed unseen.
    CutOff,
}

/// The last confirmation by the platform, as told to a peer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Confirmation {
    /// Its age in milliseconds.
    pub age_ms: u64,
    /// Most live hosts of the last minute, of which more than half must still be heard.
    pub hosts: u32,
    /// Age of that number in milliseconds.
    pub hosts_age_ms: u64,
}

/// When the platform last confirmed the configuration, directly or through peers.
#[derive(Debug, Clone, Default)]
pub struct Freshness {
    confirmed: Option<Confirmed>,
    contact_ms: Option<u64>,
    relies_on_peers_from_ms: u64,
}

#[derive(Debug, Clone, Copy)]
struct Confirmed {
    at_ms: u64,
    hosts: u32,
    hosts_at_ms: u64,
}

impl Freshness {
    /// Starts without a confirmation.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes a reply of the platform to a call made at `asked_ms`.
    pub fn confirm(&mut self, asked_ms: u64, hosts_heard: usize) {
        let hosts = u32::try_from(hosts_heard).unwrap_or(u32::MAX);
        self.take(Confirmed { at_ms: asked_ms, hosts, hosts_at_ms: asked_ms });
    }

    /// Notes a peer's answer to a question asked at `asked_ms`.
    ///
    /// Only answers count: any other message may have waited in a buffer for long.
    pub fn hear(&mut self, confirmation: Option<Confirmation>, asked_ms: u64) {
        self.contact_ms = self.contact_ms.max(Some(asked_ms));
        if let Some(told) = confirmation {
            let at_ms = asked_ms.saturating_sub(told.age_ms);
            let hosts_at_ms = asked_ms.saturating_sub(told.hosts_age_ms);
            self.take(Confirmed { at_ms, hosts: told.hosts, hosts_at_ms });
        }
    }

    /// Treats everything as lapsed, as after a pause of this host.
    ///
    /// What it knows of the members is as old as the pause, so that it counts for nothing
    /// until they have been probed anew for `probing_ms`.
    pub fn lapse(&mut self, now_ms: u64, probing_ms: u64) {
        self.confirmed = None;
        self.contact_ms = None;
        self.relies_on_peers_from_ms = now_ms + probing_ms;
    }

    /// The last confirmation, for a peer.
    #[must_use]
    pub fn confirmation(&self, now_ms: u64) -> Option<Confirmation> {
        let confirmed = self.confirmed?;
        let age_ms = now_ms.saturating_sub(confirmed.at_ms);
        let hosts_age_ms = now_ms.saturating_sub(confirmed.hosts_at_ms);
        Some(Confirmation { age_ms, hosts: confirmed.hosts, hosts_age_ms })
    }

    /// Age of the last confirmation in milliseconds, if there was one.
    #[must_use]
    pub fn age_ms(&self, now_ms: u64) -> Option<u64> {
        self.confirmation(now_ms).map(|confirmation| confirmation.age_ms)
    }

    /// What the host may conclude; `hosts_heard` counts the live members, itself included.
    #[must_use]
    pub fn standing(&self, now_ms: u64, hosts_heard: usize) -> Standing {
        let Some(confirmation) = self.confirmation(now_ms) else { return Standing::CutOff };
        if confirmation.age_ms <= FRESH_MS {
            Standing::Fresh
        } else if confirmation.age_ms <= CUT_OFF_MS
            || self.hears_most(confirmation.hosts, now_ms, hosts_heard)
        {
            Standing::Unconfirmed
        } else {
            Standing::CutOff
        }
    }

    fn hears_most(&self, hosts: u32, now_ms: u64, hosts_heard: usize) -> bool {
        let is_alone = self.contact_ms.is_none_or(|at_ms| now_ms > at_ms + ALONE_MS);
        let heard = u32::try_from(hosts_heard).unwrap_or(u32::MAX);
        !is_alone && now_ms >= self.relies_on_peers_from_ms && heard > hosts / 2
    }

    fn take(&mut self, confirmed: Confirmed) {
        let Some(known) = &mut self.confirmed else {
            self.confirmed = Some(confirmed);
            return;
        };
        known.at_ms = known.at_ms.max(confirmed.at_ms);
        if confirmed.hosts >= known.hosts || confirmed.at_ms >= known.hosts_at_ms + PEAK_MS {
            known.hosts = confirmed.hosts;
            known.hosts_at_ms = confirmed.hosts_at_ms;
        }
    }
}
