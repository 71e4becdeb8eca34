//! Which hosts watch the store for the others, and when a host leaves one that it listens to.
//!
//! Answers the load that many hosts put on one store: each change is a call of every host that waits
//! for it, and all of them list everything at the same moment after an outage. Two hosts of each data
//! centre, more in a large one, watch the store and relay what they hear to the rest. A relay that
//! falls silent or loses the store is left within a second and a half, so that bounds on changes hold for
//! the hosts behind it as if they watched for themselves.

use std::cmp;
use std::sync::Arc;

use toucanwall_routing::host;

/// Relays of a data centre at least: one may fail.
const RELAYS_MIN: usize = 2;
/// Hosts for each relay: what it sends grows with them, and a small link carries that many copies of
/// a configuration within the bound on changes.
const HOSTS_PER_RELAY: usize = 16;
/// Hosts after the relays in rank that are asked as well: they step in for relays that are gone.
const SUBSTITUTES: usize = 2;

/// Time between two signs of life of a relay, in milliseconds: several fit into [`SILENT_MS`].
pub const BEAT_MS: u64 = 250;
/// Time without a sign of life after which a relay is doubted, in milliseconds: three beats, and room
/// for a lost packet.
const SILENT_MS: u64 = 900;
/// Time since the store last answered a relay after which the relay is doubted, in milliseconds: two
/// of its looks at a store that is slow but there, and the beat that tells of them.
const STALE_MS: u64 = 1_300;
/// Time in which a relay that has just been asked shows that the store answers it, in milliseconds: it
/// looks at once, and its next beat tells.
const PROVE_MS: u64 = 350;
/// Time since the store's last answer to a relay that shows that the store answers it, in milliseconds:
/// less than the time after which a relay is doubted, so that two that fail together are told apart
/// from one that is well.
const PROOF_MS: u64 = 900;
/// Time for which a relay may be without the store that answers this host, in milliseconds: after an
/// outage hosts do not hear of the store's return at the same moment.
const LAG_MS: u64 = 600;
/// Time between two looks at the store of a host that doubts its relay, in milliseconds.
const LOOK_MS: u64 = 400;

/// How a host hears of changes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Role {
    /// It watches the store, and relays what it hears.
    Watch,
    /// It listens to one of these, asked in this order.
    Listen(Vec<Arc<host::HostEntry>>),
}

/// The role of a host among those of its data centre.
///
/// Hosts with more processor time go first; equal ones are ranked by a hash of their names. A host
/// asks only those that rank before it, so that no two listen to each other.
#[must_use]
pub fn role<'a, H>(hosts: H, me: &'a Arc<host::HostEntry>) -> Role
where
    H: IntoIterator<Item = &'a Arc<host::HostEntry>>,
{
    let others = hosts.into_iter().filter(|host| host.name != me.name);
    let mut ranked: Vec<_> =
        others.filter(|host| host.data_centre == me.data_centre).chain([me]).collect();
    ranked.sort_by_key(|host| {
        (cmp::Reverse(host.cpu_millicores), hash(host.name.as_str(), 0), &host.name)
    });
    let relays = RELAYS_MIN.max(ranked.len().div_ceil(HOSTS_PER_RELAY));
    let before = ranked.iter().take_while(|host| host.name != me.name);
    let mut asked: Vec<_> =
        before.take(relays + SUBSTITUTES).map(|host| Arc::clone(host)).collect();
    if asked.len() < relays {
        return Role::Watch;
    }
    // Hosts spread over the relays, each in an order of its own; substitutes stay behind.
    let seed = hash(me.name.as_str(), 0);
    asked[..relays].sort_by_key(|host| hash(host.name.as_str(), seed));
    Role::Listen(asked)
}

/// What a host knows of the relay that it listens to.
#[derive(Debug, Clone, Copy)]
pub struct Contact {
    /// When it began to listen.
    since_ms: u64,
    /// Whether the relay has shown since then that the store answers it.
    has_proved: bool,
    /// When the relay last gave a sign of life.
    heard_ms: u64,
    /// When the store last answered the relay, as far as the relay said.
    fresh_ms: u64,
    /// Since when the store has not answered the relay.
    away_since_ms: Option<u64>,
    /// When this host last looked at the store itself.
    looked_ms: Option<u64>,
    /// Whether the store answered that look.
    has_answered: bool,
}

/// What to do about a relay.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Next {
    /// Go on listening.
    Listen,
    /// Look whether the store answers this host.
    Look,
    /// The relay has become worse off than this host since its last look.
    Leave,
}

/// What a look at the store says about a relay.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Judgement {
    /// The relay is no worse off than this host.
    Keep,
    /// The relay is gone or cut off, and the store answers this host.
    Leave,
    /// Neither the relay nor this host has the store.
    CutOff,
}

impl Contact {
    /// A relay that has just answered, and has yet to show that the store answers it.
    #[must_use]
    pub fn new(now_ms: u64) -> Self {
        Self {
            since_ms: now_ms,
            has_proved: false,
            heard_ms: now_ms,
            fresh_ms: now_ms,
            away_since_ms: None,
            looked_ms: None,
            has_answered: false,
        }
    }

    /// Notes anything that came from the relay.
    pub fn heard(&mut self, now_ms: u64) {
        self.heard_ms = now_ms;
    }

    /// Takes a sign of life: the age of the store's last answer to the relay, and whether the relay
    /// takes the store to be there.
    pub fn beat(&mut self, store_age_ms: u64, has_store: bool, now_ms: u64) {
        self.heard_ms = now_ms;
        self.fresh_ms = self.fresh_ms.max(now_ms.saturating_sub(store_age_ms));
        self.has_proved |= has_store && store_age_ms < PROOF_MS;
        self.away_since_ms = if has_store { None } else { self.away_since_ms.or(Some(now_ms)) };
    }

    /// What to do about the relay now.
    #[must_use]
    pub fn next(&self, now_ms: u64) -> Next {
        let has_looked = self.looked_ms.is_some_and(|at_ms| now_ms < at_ms + LOOK_MS);
        let is_doubtful = self.is_worse_off(now_ms) || self.away_since_ms.is_some();
        match has_looked {
            true if self.has_answered && self.is_worse_off(now_ms) => Next::Leave,
            false if is_doubtful => Next::Look,
            _ => Next::Listen,
        }
    }

    /// Notes a look at the store and judges the relay by it.
    pub fn judge(&mut self, has_answered: bool, now_ms: u64) -> Judgement {
        self.looked_ms = Some(now_ms);
        self.has_answered = has_answered;
        match has_answered {
            true if self.is_worse_off(now_ms) => Judgement::Leave,
            false if self.is_silent(now_ms) || self.away_since_ms.is_some() => Judgement::CutOff,
            _ => Judgement::Keep,
        }
    }

    /// Whether the relay is of no use to a host that the store answers.
    fn is_worse_off(&self, now_ms: u64) -> bool {
        let is_away_long = self.away_since_ms.is_some_and(|since_ms| now_ms >= since_ms + LAG_MS);
        is_away_long || self.is_silent(now_ms) || self.is_stale(now_ms) || self.is_unproved(now_ms)
    }

    fn is_silent(&self, now_ms: u64) -> bool {
        now_ms >= self.heard_ms + SILENT_MS
    }

    /// Whether the relay has had the time to show that the store answers it, and has not.
    fn is_unproved(&self, now_ms: u64) -> bool {
        !self.has_proved && now_ms >= self.since_ms + PROVE_MS
    }

    /// Whether the relay has not noticed itself yet that the store does not answer it.
    fn is_stale(&self, now_ms: u64) -> bool {
        self.away_since_ms.is_none() && now_ms >= self.fresh_ms + STALE_MS
    }
}

fn hash(text: &str, seed: u64) -> u64 {
    xxhash_rust::xxh3::xxh3_64_with_seed(text.as_bytes(), seed)
}
