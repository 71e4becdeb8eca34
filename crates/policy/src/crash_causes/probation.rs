//! Tests strongly suspected parts by one request at a time.
//!
//! A crash under the test speaks against the part alone, and a whole answer clears it, so that few
//! servers are lost and innocent parts are cleared by being served. Hosts do not see each other's
//! requests. After a crash none is sent for a while, in which all hosts learn of it. Then a single host
//! may send, by rendezvous hashing, and twice as many each second: hosts that get no request with the
//! part cannot test it.

use std::collections;

use xxhash_rust::xxh3;

/// Time after a crash for which requests with a strongly suspected part are not sent, in
/// milliseconds; it doubles with each further crash. Other hosts learn of the crash meanwhile, and few
/// requests run at the next one.
const PAUSE_MS: u64 = 1_000;
/// Number of times that the pause doubles.
const PAUSE_DOUBLINGS_MAX: usize = 4;
/// Time after which twice as many hosts may test a part, in milliseconds: longer than most tests take,
/// with the way of their result to other hosts.
const DOUBLING_MS: u64 = 1_000;

/// Time for which a test whose request was given up counts as running, in milliseconds: its server may
/// still crash, and other hosts have to learn of that.
const GIVEN_UP_MS: u64 = 1_000;

/// The strongly suspected parts, and whether this host may send requests with them.
#[derive(Debug, Default)]
pub struct Probation {
    own_name: String,
    /// Names of all hosts.
    hosts: Vec<String>,
    /// When each part may be tested, in milliseconds.
    tested_from_ms: collections::BTreeMap<u64, u64>,
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

    /// Replaces the parts that are tested, with the times from which they may be, in milliseconds.
    pub fn replace(&mut self, tested_from_ms: collections::BTreeMap<u64, u64>) {
        self.tested_from_ms = tested_from_ms;
    }

    /// Whether a request with a part may be sent by this host now, as far as tests go.
    pub fn allows(&self, part: u64) -> bool {
        !self.tested_from_ms.contains_key(&part)
            || (self.open.contains(&part) && !self.in_flight.contains_key(&part))
    }

    /// Records that a request is sent.
    pub fn record_start(&mut self, parts: &[u64]) {
        for part in parts {
            *self.in_flight.entry(*part).or_default() += 1;
        }
    }

    /// Records that a request has ended.
    pub fn record_end(&mut self, parts: &[u64]) {
        for part in parts {
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
        for part in parts.iter().filter(|part| self.tested_from_ms.contains_key(part)) {
            self.open.remove(part);
            self.given_up_until_ms.insert(*part, now_ms.saturating_add(GIVEN_UP_MS));
        }
    }

    /// Decides which parts this host may test now.
    pub fn advance(&mut self, now_ms: u64) {
        self.given_up_until_ms.retain(|_, until_ms| now_ms < *until_ms);
        let is_open = |(part, from_ms): &(&u64, &u64)| {
            now_ms.checked_sub(**from_ms).is_some_and(|waited_ms| {
                let doublings = u32::try_from(waited_ms / DOUBLING_MS).unwrap_or(u32::MAX);
                let testing = 1_usize.checked_shl(doublings).unwrap_or(usize::MAX);
                self.rank(**part) < testing && !self.given_up_until_ms.contains_key(part)
            })
        };
        self.open = self.tested_from_ms.iter().filter(is_open).map(|(part, _)| *part).collect();
    }

    /// Position of this host among those that may test a part.
    fn rank(&self, part: u64) -> usize {
        let weight = |host: &str| xxh3::xxh3_64_with_seed(host.as_bytes(), part);
        let own_weight = weight(&self.own_name);
        self.hosts.iter().filter(|host| weight(host) > own_weight).count()
    }
}

/// Time after a crash for which a part is not tested, in milliseconds, if so many servers have crashed
/// since it has been strongly suspected.
pub fn pause_ms(crashes: usize) -> u64 {
    PAUSE_MS << crashes.min(PAUSE_DOUBLINGS_MAX)
}
