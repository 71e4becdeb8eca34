//! Which requests are admitted while a service is overloaded, and which are rejected at once.
//!
//! Answers overload by a burst of one kind of request, by one organisation, or by callers that retry at
//! once. Without it, all requests join the queue until it is as long as the deadline, and most answers
//! are late. A request may find a queue of up to a part of its target latency; the part is larger the
//! more urgent it is among the latest ones. So the queue stays short enough for those that are admitted.
//!
//! All state is that of one host and one service, and is rebuilt from traffic within seconds.

use std::cmp;
use std::collections;

use toucanwall_routing::name;

use crate::window;

/// Part of its target latency that the queue may take for the least urgent requests, in percent. Late
/// answers take as much engine time as others, so both limits stay below the target: the simulation
/// served 0.673 of the value with limits of 60 and 80, and 0.625 with 60 and 120.
const LEAST_URGENT_PERCENT: u64 = 40;
/// Part of its target latency that the queue may take for the most urgent requests, in percent.
const MOST_URGENT_PERCENT: u64 = 70;
/// Length of the window of arrivals among which a request is ranked, in milliseconds.
const RANK_WINDOW_MS: u64 = 2_000;
/// Length of the window in which the admitted part of a kind or an organisation is measured, in
/// milliseconds.
const FLOOR_WINDOW_MS: u64 = 10_000;
/// Admitted part of a kind or an organisation below which its requests rank as the most urgent ones,
/// in percent of the admitted part of all.
const FLOOR_PERCENT: u64 = 50;
/// Part of a service's places below which no request is rejected, in percent. A rejection is wrong
/// below 50; load reports are up to a second old, so that the servers may have fewer requests by now.
const MIN_TAKEN_PERCENT: u64 = 70;
/// Minimum retry delay given to a caller, in milliseconds: an overload lasts for seconds. With 300 ms,
/// the simulation served 0.673 of the value, with 1 s 0.705.
const MIN_RETRY_MS: u64 = 1_000;
/// Priority from which retry delays do not increase further; 0 is the most urgent.
const LAST_RETURN_PRIORITY: u32 = 3;

/// A first attempt that competes with others for a service.
#[derive(Debug, Clone, Copy)]
pub struct Request<'a> {
    /// Organisation that sends it, if it is known.
    pub organisation: Option<&'a name::OrganisationName>,
    /// Kind of the request.
    pub kind: &'a name::RouteName,
    /// Priority; 0 is the most urgent.
    pub priority: u32,
    /// Expected time to the first byte, in milliseconds, if known.
    pub expected_ms: Option<u64>,
    /// Time left until the target latency, in milliseconds.
    pub target_left_ms: u64,
}

/// Load of the servers of a service that have reported theirs lately.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Load {
    /// Running requests.
    pub running: u64,
    /// Waiting requests.
    pub waiting: u64,
    /// Number of requests that can run concurrently.
    pub places: u64,
}

/// The decision on a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// Send the request to a server.
    Admit,
    /// Reject the request at once, without running it.
    Reject {
        /// Time in which the queue becomes short enough if no others arrive, in milliseconds, but at
        /// least a second, and longer for less urgent requests.
        retry_after_ms: u64,
    },
}

/// The competition for one service, as one host sees it.
#[derive(Debug)]
pub struct Competition {
    /// The latest arrivals by priority.
    arrivals: collections::BTreeMap<u32, window::SlidingWindow>,
    all: Share,
    kinds: collections::BTreeMap<name::RouteName, Share>,
    organisations: collections::BTreeMap<name::OrganisationName, Share>,
    next_eviction_ms: u64,
}

/// Admitted part of the requests of a group.
#[derive(Debug)]
struct Share {
    offered: window::SlidingWindow,
    admitted: window::SlidingWindow,
}

impl Competition {
    /// Creates a competition without requests.
    #[must_use]
    pub fn new() -> Self {
        Self {
            arrivals: collections::BTreeMap::new(),
            all: Share::new(),
            kinds: collections::BTreeMap::new(),
            organisations: collections::BTreeMap::new(),
            next_eviction_ms: 0,
        }
    }

    /// Decides on a request and records it. The load is asked for only if the queue is too long.
    pub fn decide<F>(&mut self, request: Request<'_>, load: F, now_ms: u64) -> Decision
    where
        F: FnOnce() -> Load,
    {
        let decision = match self.excess_ms(request, now_ms) {
            Some(excess_ms) if !load().has_room() => {
                Decision::Reject { retry_after_ms: retry_after_ms(excess_ms, request.priority) }
            }
            Some(_) | None => Decision::Admit,
        };
        self.record(request, decision == Decision::Admit, now_ms);
        decision
    }

    /// Time by which the expected time to the first byte exceeds what is allowed, in milliseconds;
    /// `None` if it does not.
    fn excess_ms(&mut self, request: Request<'_>, now_ms: u64) -> Option<u64> {
        let expected_ms = request.expected_ms?;
        let less_urgent_percent = if self.is_below_floor(request, now_ms) {
            0
        } else {
            self.percentile(request.priority, now_ms)
        };
        let range_percent = MOST_URGENT_PERCENT - LEAST_URGENT_PERCENT;
        let allowed_percent = MOST_URGENT_PERCENT - range_percent * less_urgent_percent / 100;
        let allowed_ms = request.target_left_ms.saturating_mul(allowed_percent) / 100;
        expected_ms.checked_sub(allowed_ms).filter(|excess_ms| *excess_ms > 0)
    }

    /// Part of the latest arrivals that goes before a request, in percent; of those of the same
    /// priority, one half does.
    fn percentile(&mut self, priority: u32, now_ms: u64) -> u64 {
        let (mut before, mut all) = (0, 0);
        for (other, window) in &mut self.arrivals {
            let count = window.count(now_ms);
            all += count * 2;
            before += match (*other).cmp(&priority) {
                cmp::Ordering::Less => count * 2,
                cmp::Ordering::Equal => count,
                cmp::Ordering::Greater => 0,
            };
        }
        (before * 100).checked_div(all).unwrap_or(0)
    }

    /// Whether the kind or the organisation of a request would be admitted too rarely if the request
    /// were rejected.
    fn is_below_floor(&mut self, request: Request<'_>, now_ms: u64) -> bool {
        let all = self.all.counts(now_ms);
        let kind = self.kinds.get_mut(request.kind);
        let organisation = request.organisation.and_then(|it| self.organisations.get_mut(it));
        let mut groups = kind.into_iter().chain(organisation);
        groups.any(|group| {
            let (offered, admitted) = group.counts(now_ms);
            admitted * all.0 * 100 < (offered + 1) * all.1 * FLOOR_PERCENT
        })
    }

    fn record(&mut self, request: Request<'_>, is_admitted: bool, now_ms: u64) {
        self.evict_idle(now_ms);
        let arrivals = self.arrivals.entry(request.priority);
        arrivals.or_insert_with(|| window::SlidingWindow::new(RANK_WINDOW_MS)).record(now_ms);
        self.all.record(is_admitted, now_ms);
        let kind = self.kinds.entry(request.kind.clone()).or_insert_with(Share::new);
        kind.record(is_admitted, now_ms);
        if let Some(organisation) = request.organisation {
            let group = self.organisations.entry(organisation.clone()).or_insert_with(Share::new);
            group.record(is_admitted, now_ms);
        }
    }

    /// Forgets kinds, organisations and priorities without recent requests.
    fn evict_idle(&mut self, now_ms: u64) {
        if now_ms < self.next_eviction_ms {
            return;
        }
        self.next_eviction_ms = now_ms + FLOOR_WINDOW_MS;
        self.arrivals.retain(|_, window| window.count(now_ms) > 0);
        self.kinds.retain(|_, share| share.counts(now_ms).0 > 0);
        self.organisations.retain(|_, share| share.counts(now_ms).0 > 0);
    }
}

impl Default for Competition {
    fn default() -> Self {
        Self::new()
    }
}

impl Load {
    /// Whether so many places are free that a rejection would be wrong, whatever the forecast says.
    /// Without reports, nobody knows that there are too few.
    fn has_room(self) -> bool {
        self.places == 0 || (self.running + self.waiting) * 100 < self.places * MIN_TAKEN_PERCENT
    }
}

impl Share {
    fn new() -> Self {
        Self {
            offered: window::SlidingWindow::new(FLOOR_WINDOW_MS),
            admitted: window::SlidingWindow::new(FLOOR_WINDOW_MS),
        }
    }

    fn record(&mut self, is_admitted: bool, now_ms: u64) {
        self.offered.record(now_ms);
        if is_admitted {
            self.admitted.record(now_ms);
        }
    }

    /// Numbers of offered and of admitted requests.
    fn counts(&mut self, now_ms: u64) -> (u64, u64) {
        (self.offered.count(now_ms), self.admitted.count(now_ms))
    }
}

/// The queue shrinks by the excess in that time if nothing arrives; urgent requests come back first.
fn retry_after_ms(excess_ms: u64, priority: u32) -> u64 {
    let rank = u64::from(priority.min(LAST_RETURN_PRIORITY));
    let step_ms = excess_ms.max(MIN_RETRY_MS);
    step_ms.saturating_add(step_ms / 2 * rank)
}
