//! How sure a host may be that it knows the latest configuration.

/// Age of the last confirmation up to which it counts as fresh, in milliseconds.
pub const FRESH_MS: u64 = 6_000;
/// Age after which a host that cannot rule out a partition takes no new work, in milliseconds.
pub const CUT_OFF_MS: u64 = 12_000;
/// Allowance for the time that a message between hosts takes, in milliseconds.
const TRANSIT_MS: u64 = 250;

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

/// When the platform last confirmed the configuration, directly or through peers.
#[derive(Debug, Clone)]
pub struct Freshness {
    confirmed_ms: Option<u64>,
    hosts_at_confirmation: usize,
}

impl Freshness {
    /// Starts without a confirmation.
    #[must_use]
    pub fn new() -> Self {
        Self { confirmed_ms: None, hosts_at_confirmation: 0 }
    }

    /// Notes a reply of the platform to a call made at `asked_ms`.
    pub fn confirm(&mut self, asked_ms: u64, hosts_heard: usize) {
        if self.confirmed_ms.is_none_or(|known_ms| asked_ms > known_ms) {
            self.confirmed_ms = Some(asked_ms);
            self.hosts_at_confirmation = hosts_heard;
        }
    }

    /// Notes the age that a peer gave for its own confirmation, in milliseconds.
    pub fn hear(&mut self, age_ms: Option<u64>, now_ms: u64, hosts_heard: usize) {
        if let Some(age_ms) = age_ms {
            self.confirm(now_ms.saturating_sub(age_ms + TRANSIT_MS), hosts_heard);
        }
    }

    /// Forgets the confirmation, as after a pause of this host.
    pub fn lapse(&mut self) {
        self.confirmed_ms = None;
    }

    /// Age of the last confirmation in milliseconds, if there was one.
    #[must_use]
    pub fn age_ms(&self, now_ms: u64) -> Option<u64> {
        self.confirmed_ms.map(|at_ms| now_ms.saturating_sub(at_ms))
    }

    /// What the host may conclude; `hosts_heard` counts the live members, itself included.
    #[must_use]
    pub fn standing(&self, now_ms: u64, hosts_heard: usize) -> Standing {
        let hears_most = hosts_heard * 2 > self.hosts_at_confirmation;
        match self.age_ms(now_ms) {
            Some(age_ms) if age_ms <= FRESH_MS => Standing::Fresh,
            Some(age_ms) if age_ms <= CUT_OFF_MS => Standing::Unconfirmed,
            _ if hears_most && hosts_heard > 1 => Standing::Unconfirmed,
            _ => Standing::CutOff,
        }
    }
}

impl Default for Freshness {
    fn default() -> Self {
        Self::new()
    }
}
