//! Tests strongly suspected parts by one request at a time.
//!
//! A crash under the test speaks against the part alone, and a whole answer clears it, so that few
//! servers are lost and innocent parts are cleared by being served. Hosts do not see each other's
//! requests. After a crash none is sent for a while, in which all hosts learn of it. Then a single host
//! may send, and twice as many each time that a test may have ended: hosts that get no request with the
//! part cannot test it. The order of the hosts is the same for all parts, since a request with several
//! suspected parts is sent only by a host that may test all of them.

use std::collections;

use xxhash_rust::xxh3;

/// Time after a crash for which requests with a strongly suspected part are not sent, in
/// milliseconds; it doubles with each further crash. Other hosts learn of the crash meanwhile, and few
/// requests run at the next one.
const PAUSE_MS: u64 = 1_000;
/// Number of times that the pause doubles.
const PAUSE_DOUBLINGS_MAX: usize = 4;
/// Time after which twice as many hosts may test a part, in milliseconds, beside the length of a test:
/// a host gets a request with the part, and the result goes to other hosts.
const DOUBLING_MS: u64 = 1_000;
/// Longest length of a test that is waited for, in milliseconds: sound parts that are suspected are not
/// to wait for ever.
const LENGTH_MAX_MS: u64 = 3_000;

/// Time for which a test whose request was given up counts as running, in milliseconds: its server may
/// still crash, and other hosts have to learn of that.
const GIVEN_UP_MS: u64 = 1_000;

/// When a part may be tested.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Schedule {
    /// When the first host may test it, in milliseconds.
    pub from_ms: u64,
    /// Time after the head of an answer at which servers crashed, in milliseconds.
    pub length_ms: u64,
}

/// The strongly suspected parts, and whether this host may send requests with them.
#[derive(Debug, Default)]
pub struct Probation {
    own_name: String,
    /// Names of all hosts.
    hosts: Vec<String>,
    /// When each part may be tested.
    tests: collections::BTreeMap<u64, Schedule>,
    /// Until when there was no server to test parts on, in milliseconds.
    without_servers_until_ms: u64,
    /// Parts that this host may test now.
    open: collections::BTreeSet<u64>,
    /// Number of this host's requests in flight with each part.
    in_flight: collections::BTreeMap<u64, usize>,
    /// Until when tests that were given up count as running, in milliseconds.
    given_up_until_ms: collections::BTreeMap<u64, u64>,
}

impl Probation {
    /// Replaces the hosts that may test parts.
    pub fn set_hosts<'a, I>(&mut self, own_name: &str, hosts: I)
    where
        I: IntoIterator<Item = &'a str>,
    {
        own_name.clone_into(&mut self.own_name);
        self.hosts = hosts.into_iter().map(str::to_owned).collect();
    }

    /// Replaces the parts that are tested.
    pub fn replace(&mut self, tests: collections::BTreeMap<u64, Schedule>) {
        self.tests = tests;
    }

    /// Whether a request with a part may be sent by this host now, as far as tests go.
    pub fn allows(&self, part: u64) -> bool {
        !self.tests.contains_key(&part)
            || (self.open.contains(&part) && !self.in_flight.contains_key(&part))
    }

    /// Records that a request is sent.
    pub fn record_start(&mut self, parts: &[u64]) {
        for part in parts {
            *self.in_flight.entry(*part).or_default() += 1;
        }
    }

    /// Records that a request has ended. Its parts are tested again only after the result is weighed.
    pub fn record_end(&mut self, parts: &[u64]) {
        for part in parts {
            self.open.remove(part);
            if let Some(count) = self.in_flight.get_mut(part) {
                *count = count.saturating_sub(1);
                if *count == 0 {
                    self.in_flight.remove(part);
                }
            }
        }
    }

    /// Records that a request was given up, whose server may still crash.
    pub fn record_given_up(&mut self, parts: &[u64], now_ms: u64) {
        for part in parts.iter().filter(|part| self.tests.contains_key(part)) {
            self.open.remove(part);
            self.given_up_until_ms.insert(*part, now_ms.saturating_add(GIVEN_UP_MS));
        }
    }

    /// Decides which parts this host may test now. While there is no server, the hosts that may test do
    /// not become more: all would send at once when servers are back.
    pub fn advance(&mut self, now_ms: u64, lacks_servers: bool) {
        if lacks_servers {
            self.without_servers_until_ms = now_ms;
        }
        self.given_up_until_ms.retain(|_, until_ms| now_ms < *until_ms);
        let rank = self.rank();
        let is_open = |(part, schedule): &(&u64, &Schedule)| {
            let from_ms = schedule.from_ms.max(self.without_servers_until_ms);
            now_ms.checked_sub(from_ms).is_some_and(|waited_ms| {
                let doubling_ms = DOUBLING_MS + schedule.length_ms.min(LENGTH_MAX_MS);
                let doublings = u32::try_from(waited_ms / doubling_ms).unwrap_or(u32::MAX);
                let testing = 1_usize.checked_shl(doublings).unwrap_or(usize::MAX);
                rank < testing && !self.given_up_until_ms.contains_key(part)
            })
        };
        self.open = self.tests.iter().filter(is_open).map(|(part, _)| *part).collect();
    }

    /// Position of this host among those that may test parts.
    fn rank(&self) -> usize {
        let weight = |host: &str| xxh3::xxh3_64(host.as_bytes());
        let own_weight = weight(&self.own_name);
        self.hosts.iter().filter(|host| weight(host) > own_weight).count()
    }
}

/// Time after a crash for which a part is not tested, in milliseconds, if so many servers have crashed
/// since it has been strongly suspected.
pub fn pause_ms(crashes: usize) -> u64 {
    PAUSE_MS << crashes.min(PAUSE_DOUBLINGS_MAX)
}
