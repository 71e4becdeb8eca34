//! Which other hosts a host watches, and which of them it takes for lost.
//!
//! A host that loses power cannot take its entry out of the registry, and callers would be sent to
//! it for good. Each host therefore pings the hosts that follow it on a ring, so that every host is
//! watched by several others at a cost that does not depend on their number. A host that stops
//! answering is left out of address lists by those that watch it, and one of them removes its entry,
//! by which all others learn of the loss. While the store does not answer, no entry can be removed, and
//! each host watches all others.

use std::collections;
use std::sync::Arc;

use toucanwall_routing::host;
use toucanwall_routing::name;

/// Number of answering hosts that a host watches. In a small deployment, every host watches all
/// others and needs no store to notice a loss.
const WATCHED_HOSTS: usize = 6;
/// Number of further hosts that a host pings for each watched one that has just missed a ping: the
/// hosts behind a lost one may have lost all others that watch them.
const PINGED_PER_SUSPECT: usize = 3;
/// Maximum number of hosts that are pinged in a round, however many of them do not answer.
const MAX_PINGED_HOSTS: usize = 64;
/// Number of rounds in the time after which a silent host is out of contact: enough for
/// [`MISSES_TO_SILENCE`] misses, the removal of the entry, and the delay until it is known.
const ROUNDS_PER_CONTACT: u64 = 6;
/// Unanswered pings in a row after which a host counts as silent. Single datagrams may be lost.
const MISSES_TO_SILENCE: u32 = 3;
/// Maximum number of unanswered pings that are awaited before the entry of a host is removed again
/// after it has registered again.
const MAX_MISSES_TO_REMOVAL: u32 = 48;
/// Delay before the entry of a lost host is removed, for each host that is closer to it on the
/// ring and not lost itself, in milliseconds: several times the duration of a removal, so that
/// usually one host does it.
const REMOVAL_STAGGER_MS: u64 = 100;
/// Rounds for which a host is remembered after its entry has vanished.
const FORGET_AFTER_ROUNDS: u32 = 120;

/// Watches other hosts by pings that they answer.
#[derive(Debug)]
pub struct HostMonitor {
    own_name: name::HostName,
    round_interval_ms: u64,
    /// The other hosts that answer pings, in the order in which they follow this one on the ring.
    ring: Vec<Arc<host::HostEntry>>,
    watched: collections::BTreeMap<name::HostName, Watched>,
    last_round_ms: Option<u64>,
    /// Whether the store does not answer.
    is_store_lost: bool,
}

/// A host that is or was watched.
#[derive(Debug)]
struct Watched {
    host: Arc<host::HostEntry>,
    /// Rounds since its entry vanished; `None` while it is registered.
    rounds_unregistered: Option<u32>,
    /// Whether a ping is unanswered.
    is_pending: bool,
    /// Whether it has ever answered.
    has_answered: bool,
    /// Unanswered pings since the last answer.
    misses: u32,
    /// Unanswered pings since the last answer, the last removal or the last registration.
    misses_while_registered: u32,
    /// Unanswered pings after which its entry is removed.
    misses_to_removal: u32,
    /// Since when its entry has been due to be removed.
    lost_since_ms: Option<u64>,
}

impl HostMonitor {
    /// Creates a monitor that watches no host yet; a silent host is out of contact after
    /// `contact_ms`.
    #[must_use]
    pub fn new(own_name: name::HostName, contact_ms: u64) -> Self {
        Self {
            own_name,
            round_interval_ms: (contact_ms / ROUNDS_PER_CONTACT).max(1),
            ring: Vec::new(),
            watched: collections::BTreeMap::new(),
            last_round_ms: None,
            is_store_lost: false,
        }
    }

    /// Interval between two rounds of pings, in milliseconds.
    #[must_use]
    pub fn round_interval_ms(&self) -> u64 {
        self.round_interval_ms
    }

    /// Replaces the registered hosts.
    pub fn set_hosts(
        &mut self,
        hosts: &collections::BTreeMap<name::HostName, Arc<host::HostEntry>>,
    ) {
        let own_position = ring_position(&self.own_name);
        let others = hosts.values().filter(|host| host.name != self.own_name && host.answers_pings);
        self.ring = others.map(Arc::clone).collect();
        self.ring.sort_by_key(|host| {
            let position = ring_position(&host.name);
            (position < own_position, position)
        });
        self.watched.retain(|name, watched| match hosts.get(name) {
            Some(host) if host.run_id == watched.host.run_id => {
                watched.record_registered(host);
                true
            }
            // Another run of the host is watched from the next round on.
            Some(_) => false,
            None => {
                watched.record_unregistered();
                true
            }
        });
    }

    /// Sets whether the store does not answer. Until it does, hosts learn of a loss only by their own
    /// pings.
    pub fn set_store_lost(&mut self, is_store_lost: bool) {
        self.is_store_lost = is_store_lost;
    }

    /// Ends a round of pings and starts the next one; returns the hosts to ping.
    pub fn start_round(&mut self, now_ms: u64) -> Vec<Arc<host::HostEntry>> {
        let elapsed_ms = self.last_round_ms.map_or(0, |at_ms| now_ms.saturating_sub(at_ms));
        self.last_round_ms = Some(now_ms);
        // After a pause of this host, answers may still wait to be read.
        let was_paused = elapsed_ms > 2 * self.round_interval_ms;
        for watched in self.watched.values_mut() {
            watched.end_round(was_paused);
        }
        self.watched
            .retain(|_, watched| watched.rounds_unregistered.unwrap_or(0) < FORGET_AFTER_ROUNDS);
        let pinged = self.hosts_to_ping();
        self.watched.retain(|name, watched| {
            watched.rounds_unregistered.is_some() || pinged.iter().any(|host| host.name == *name)
        });
        for host in &pinged {
            let watched = self.watched.entry(host.name.clone());
            watched.or_insert_with(|| Watched::new(Arc::clone(host))).is_pending = true;
        }
        self.update_lost(now_ms);
        pinged
    }

    /// Records that a run of a host answered a ping.
    pub fn record_answer(&mut self, run_id: u64) {
        if let Some(watched) = self.watched.values_mut().find(|it| it.host.run_id == run_id) {
            watched.record_answer();
        }
    }

    /// The registered hosts that this one watches.
    #[must_use]
    pub fn watched_hosts(&self) -> Vec<Arc<host::HostEntry>> {
        let registered = self.watched.values().filter(|it| it.rounds_unregistered.is_none());
        registered.map(|watched| Arc::clone(&watched.host)).collect()
    }

    /// Watched hosts that do not answer.
    #[must_use]
    pub fn silent_hosts(&self) -> collections::BTreeSet<name::HostName> {
        let silent = self.watched.iter().filter(|(_, watched)| watched.is_silent());
        silent.map(|(name, _)| name.clone()).collect()
    }

    /// Whether no watched host answers, so that this host may itself be cut off from all others. One
    /// that has only just been pinged for the first time is no evidence.
    #[must_use]
    pub fn is_isolated(&self) -> bool {
        let mut registered = self.watched.values().filter(|it| it.rounds_unregistered.is_none());
        !registered.any(|watched| watched.has_answered && !watched.is_silent())
    }

    /// Hosts whose entries this host has to remove now. A host whose entry stays, or comes back, is
    /// returned again after twice the time.
    pub fn take_removals(&mut self, now_ms: u64) -> Vec<Arc<host::HostEntry>> {
        let mut removals = Vec::new();
        let mut delay_ms = 0;
        for host in &self.ring {
            let Some(watched) = self.watched.get_mut(&host.name) else { continue };
            if !watched.is_silent() {
                delay_ms += REMOVAL_STAGGER_MS;
                continue;
            }
            let is_due =
                watched.lost_since_ms.is_some_and(|since_ms| now_ms >= since_ms + delay_ms);
            if is_due {
                watched.postpone_removal();
                removals.push(Arc::clone(host));
            }
        }
        removals
    }

    /// The next hosts on the ring, until enough of them answer; more of them as long as it is not
    /// clear whether some are lost. Silent ones further on are pinged until they answer or their entries
    /// are removed, since they would be named again otherwise.
    fn hosts_to_ping(&self) -> Vec<Arc<host::HostEntry>> {
        let mut wanted = if self.is_store_lost { MAX_PINGED_HOSTS } else { WATCHED_HOSTS };
        let mut answering = 0;
        let mut pinged = Vec::new();
        for host in self.ring.iter().take(MAX_PINGED_HOSTS) {
            let watched = self.watched.get(&host.name);
            if answering >= wanted && !watched.is_some_and(Watched::is_silent) {
                continue;
            }
            match watched {
                Some(watched) if watched.is_silent() => {}
                Some(watched) if watched.misses > 0 => wanted += PINGED_PER_SUSPECT,
                Some(_) | None => answering += 1,
            }
            pinged.push(Arc::clone(host));
        }
        pinged
    }

    /// Records since when hosts have been lost. An isolated host finds no host lost.
    fn update_lost(&mut self, now_ms: u64) {
        let is_isolated = self.is_isolated();
        for watched in self.watched.values_mut() {
            let is_lost = !is_isolated
                && watched.rounds_unregistered.is_none()
                && watched.misses_while_registered >= watched.misses_to_removal;
            watched.lost_since_ms =
                if is_lost { watched.lost_since_ms.or(Some(now_ms)) } else { None };
        }
    }
}

impl Watched {
    fn new(host: Arc<host::HostEntry>) -> Self {
        Self {
            host,
            rounds_unregistered: None,
            is_pending: false,
            has_answered: false,
            misses: 0,
            misses_while_registered: 0,
            misses_to_removal: MISSES_TO_SILENCE,
            lost_since_ms: None,
        }
    }

    fn is_silent(&self) -> bool {
        self.misses >= MISSES_TO_SILENCE
    }

    fn end_round(&mut self, was_paused: bool) {
        if let Some(rounds) = &mut self.rounds_unregistered {
            *rounds += 1;
        }
        if std::mem::take(&mut self.is_pending) && !was_paused {
            self.misses = self.misses.saturating_add(1);
            self.misses_while_registered = self.misses_while_registered.saturating_add(1);
        }
    }

    fn record_answer(&mut self) {
        self.is_pending = false;
        self.has_answered = true;
        self.misses = 0;
        self.misses_while_registered = 0;
        self.misses_to_removal = MISSES_TO_SILENCE;
        self.lost_since_ms = None;
    }

    /// Doubles the time until the entry is removed (again): a host that keeps registering may be
    /// alive and only cut off from this one.
    fn postpone_removal(&mut self) {
        self.misses_while_registered = 0;
        self.misses_to_removal =
            self.misses_to_removal.saturating_mul(2).min(MAX_MISSES_TO_REMOVAL);
        self.lost_since_ms = None;
    }

    fn record_registered(&mut self, host: &Arc<host::HostEntry>) {
        self.host = Arc::clone(host);
        if self.rounds_unregistered.take().is_some() {
            self.postpone_removal();
        }
    }

    fn record_unregistered(&mut self) {
        self.rounds_unregistered = self.rounds_unregistered.or(Some(0));
    }
}

fn ring_position(host: &name::HostName) -> u64 {
    xxhash_rust::xxh3::xxh3_64(host.as_str().as_bytes())
}
