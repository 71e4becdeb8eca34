//! Which hosts watch the store and relay its changes, and when a subscriber leaves its relay.
//!
//! If every host watched the store, each change would cost one call per host, and all hosts would
//! list everything at the same moment after an outage. Therefore two hosts of each data centre,
//! more in a large one, watch the store and relay its changes to the others. A relay that falls
//! silent or loses the store is left within 1.5 seconds, so that the deadlines for changes hold for
//! its subscribers as if they watched the store themselves.

use std::cmp;
use std::collections;
use std::sync::Arc;

use toucanwall_routing::host;
use toucanwall_routing::name;

/// Minimum number of relays in a data centre: one may fail.
const MIN_RELAYS: usize = 2;
/// Hosts for each relay: its outgoing traffic grows with them, and a small link can carry this many
/// copies of a configuration within the deadline for changes.
const HOSTS_PER_RELAY: usize = 16;
/// Number of hosts ranked after the relays that subscribers may also connect to, in case relays are
/// gone.
const STANDBY_RELAYS: usize = 2;

/// Interval between a relay's heartbeats, in milliseconds: several fit into
/// `HEARTBEAT_TIMEOUT_MS`.
pub const HEARTBEAT_INTERVAL_MS: u64 = 250;
/// Time without a message after which a relay is suspected, in milliseconds: three heartbeats, and
/// room for a lost packet.
const HEARTBEAT_TIMEOUT_MS: u64 = 900;
/// Time since the store last answered a relay after which the relay is suspected, in milliseconds:
/// long enough for the relay to probe a slow but available store twice and to report the answer in
/// its next heartbeat.
const STORE_STALE_MS: u64 = 1_300;
/// Time within which a newly connected relay must show that the store answers it, in milliseconds:
/// it probes the store at once and reports the result in its next heartbeat.
const STORE_PROOF_TIMEOUT_MS: u64 = 350;
/// Age below which the store's last answer to a relay proves that the store answers it, in
/// milliseconds: less than `STORE_STALE_MS`, so that a relay that lost the store together with the
/// previous one, and has not noticed yet, does not pass for healthy.
const STORE_PROOF_MAX_AGE_MS: u64 = 900;
/// Time for which a relay may report the store as lost while the store answers this host, in
/// milliseconds: after an outage hosts do not notice the store's return at the same moment.
const STORE_RECOVERY_LAG_MS: u64 = 600;
/// Interval between store probes of a host that suspects its relay, in milliseconds.
const PROBE_INTERVAL_MS: u64 = 400;

/// How a host learns of changes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Role {
    /// The host watches the store and relays its changes.
    Relay,
    /// The host subscribes to one of these relays, tried in this order.
    Subscriber(Vec<Arc<host::HostEntry>>),
}

/// The role of a host among those of its data centre.
///
/// Hosts are ranked by CPU time, and equal ones by a hash of their names. A host subscribes only to
/// hosts that rank before it, so that no two hosts subscribe to each other.
#[must_use]
pub fn role<'a, H>(hosts: H, own_host: &'a Arc<host::HostEntry>) -> Role
where
    H: IntoIterator<Item = &'a Arc<host::HostEntry>>,
{
    let others = hosts.into_iter().filter(|host| host.name != own_host.name);
    let mut ranked: Vec<_> =
        others.filter(|host| host.data_centre == own_host.data_centre).chain([own_host]).collect();
    ranked.sort_by_key(|host| relay_order(host));
    let relays = relay_count(ranked.len());
    let preferred = ranked.iter().take_while(|host| host.name != own_host.name);
    let mut candidates: Vec<_> =
        preferred.take(relays + STANDBY_RELAYS).map(|host| Arc::clone(host)).collect();
    if candidates.len() < relays {
        return Role::Relay;
    }
    // Subscribers spread over the relays, each in an order of its own; standby relays stay last.
    let seed = hash(own_host.name.as_str(), 0);
    candidates[..relays].sort_by_key(|host| hash(host.name.as_str(), seed));
    Role::Subscriber(candidates)
}

/// The names of the relays of all data centres.
#[must_use]
pub fn relays<'a, H>(hosts: H) -> collections::BTreeSet<&'a name::HostName>
where
    H: IntoIterator<Item = &'a Arc<host::HostEntry>>,
{
    let mut data_centres: collections::BTreeMap<&name::DataCentre, Vec<&Arc<host::HostEntry>>> =
        collections::BTreeMap::new();
    for host in hosts {
        data_centres.entry(&host.data_centre).or_default().push(host);
    }
    let relays = data_centres.into_values().flat_map(|mut hosts| {
        hosts.sort_by_key(|host| relay_order(host));
        let count = relay_count(hosts.len());
        hosts.into_iter().take(count).map(|host| &host.name)
    });
    relays.collect()
}

/// The order in which hosts of a data centre become relays.
fn relay_order(host: &host::HostEntry) -> (cmp::Reverse<u64>, u64, &name::HostName) {
    (cmp::Reverse(host.cpu_millicores), hash(host.name.as_str(), 0), &host.name)
}

fn relay_count(hosts: usize) -> usize {
    MIN_RELAYS.max(hosts.div_ceil(HOSTS_PER_RELAY))
}

/// What a host knows about the relay that it subscribes to.
#[derive(Debug, Clone, Copy)]
pub struct RelayHealth {
    /// When the subscription began.
    created_ms: u64,
    /// Whether the relay has shown since then that the store answers it.
    has_proved_store: bool,
    /// When the last message from the relay arrived.
    last_message_ms: u64,
    /// When the store last answered the relay, according to the relay.
    store_answered_ms: u64,
    /// When the relay reported that it lost the store, unless the store has answered it since.
    store_lost_ms: Option<u64>,
    /// When this host last probed the store itself.
    probed_ms: Option<u64>,
    /// Whether the store answered that probe.
    store_answers: bool,
    /// Since when the store has answered this host's probes, unless the last one failed.
    store_answers_since_ms: Option<u64>,
}

/// What to do next about a relay.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// Keep the subscription.
    Continue,
    /// Probe whether the store answers this host.
    ProbeStore,
    /// Leave the relay: the store answered this host's last probe, and the relay has degraded
    /// since.
    Leave,
}

/// What a probe of the store means for the subscription.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Keep the subscription: the relay is no worse connected than this host.
    Keep,
    /// Leave the relay: it is degraded, and the store answers this host.
    Leave,
    /// Neither the relay nor this host reaches the store.
    Isolated,
}

impl RelayHealth {
    /// Creates the state for a relay that has just answered but not yet shown that the store
    /// answers it.
    #[must_use]
    pub fn new(now_ms: u64) -> Self {
        Self {
            created_ms: now_ms,
            has_proved_store: false,
            last_message_ms: now_ms,
            store_answered_ms: now_ms,
            store_lost_ms: None,
            probed_ms: None,
            store_answers: false,
            store_answers_since_ms: None,
        }
    }

    /// Records that any message arrived from the relay.
    pub fn record_message(&mut self, now_ms: u64) {
        self.last_message_ms = now_ms;
    }

    /// Records a heartbeat: the age of the store's last answer to the relay, and whether the relay
    /// considers the store available.
    pub fn record_heartbeat(&mut self, store_age_ms: u64, has_store: bool, now_ms: u64) {
        self.last_message_ms = now_ms;
        self.store_answered_ms = self.store_answered_ms.max(now_ms.saturating_sub(store_age_ms));
        self.has_proved_store |= has_store && store_age_ms < STORE_PROOF_MAX_AGE_MS;
        self.store_lost_ms = if has_store { None } else { self.store_lost_ms.or(Some(now_ms)) };
    }

    /// The next action at this time.
    #[must_use]
    pub fn next_action(&self, now_ms: u64) -> Action {
        let was_probed_recently =
            self.probed_ms.is_some_and(|at_ms| now_ms < at_ms + PROBE_INTERVAL_MS);
        let is_suspect = self.is_degraded(now_ms) || self.store_lost_ms.is_some();
        match was_probed_recently {
            true if self.store_answers && self.is_degraded(now_ms) => Action::Leave,
            false if is_suspect => Action::ProbeStore,
            _ => Action::Continue,
        }
    }

    /// Records the result of a store probe and returns what it means for the subscription.
    pub fn record_probe(&mut self, store_answers: bool, now_ms: u64) -> Verdict {
        self.probed_ms = Some(now_ms);
        self.store_answers = store_answers;
        self.store_answers_since_ms =
            if store_answers { self.store_answers_since_ms.or(Some(now_ms)) } else { None };
        match store_answers {
            true if self.is_degraded(now_ms) => Verdict::Leave,
            false if self.is_silent(now_ms) || self.store_lost_ms.is_some() => Verdict::Isolated,
            _ => Verdict::Keep,
        }
    }

    /// Whether a host that the store answers should leave the relay.
    fn is_degraded(&self, now_ms: u64) -> bool {
        // After an outage the relay has as long to notice the store's return as this host.
        let has_lost_store = self.store_lost_ms.zip(self.store_answers_since_ms).is_some_and(
            |(lost_ms, since_ms)| now_ms >= lost_ms.max(since_ms) + STORE_RECOVERY_LAG_MS,
        );
        has_lost_store
            || self.is_silent(now_ms)
            || self.is_stale(now_ms)
            || self.is_unproved(now_ms)
    }

    fn is_silent(&self, now_ms: u64) -> bool {
        now_ms >= self.last_message_ms + HEARTBEAT_TIMEOUT_MS
    }

    /// Whether the relay has failed to show in time that the store answers it.
    fn is_unproved(&self, now_ms: u64) -> bool {
        !self.has_proved_store && now_ms >= self.created_ms + STORE_PROOF_TIMEOUT_MS
    }

    /// Whether the store has stopped answering the relay and the relay has not noticed it yet.
    fn is_stale(&self, now_ms: u64) -> bool {
        self.store_lost_ms.is_none() && now_ms >= self.store_answered_ms + STORE_STALE_MS
    }
}

fn hash(text: &str, seed: u64) -> u64 {
    xxhash_rust::xxh3::xxh3_64_with_seed(text.as_bytes(), seed)
}
