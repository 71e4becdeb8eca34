//! Shares of parts among the requests of a host that have ended lately.
//!
//! Requests are counted, and the time for which they were in flight: requests that crash their servers
//! at once are in flight more rarely than their number suggests.

use std::collections;

use super::likelihood;

/// Length of a generation of counts, in milliseconds: one for what is usual, and one that shows a part
/// that has become frequent just now.
const GENERATIONS_MS: [u64; 2] = [15_000, 1_500];
/// Maximum number of parts in a generation.
const MAX_PARTS: usize = 4_096;
/// Requests for which the share at crashes counts beside those that were sent.
const PRIOR_REQUESTS: f64 = 20.0;

/// Counts of requests by part.
#[derive(Debug, Default)]
pub struct Traffic {
    counters: [Counter; 2],
}

#[derive(Debug, Default)]
struct Counter {
    begun_ms: u64,
    current: Generation,
    previous: Generation,
}

#[derive(Debug, Default)]
struct Generation {
    all: Count,
    by_part: collections::BTreeMap<u64, Count>,
}

/// A number of requests and the time for which they were in flight.
#[derive(Debug, Clone, Copy, Default)]
struct Count {
    requests: f64,
    in_flight_ms: f64,
}

/// Shares of a part in the traffic.
#[derive(Debug, Clone, Copy)]
pub struct Shares {
    /// Share of the requests.
    pub of_requests: f64,
    /// Share of the requests in flight at a moment.
    pub in_flight: f64,
}

impl Traffic {
    /// Counts a request that has ended.
    pub fn record(&mut self, parts: &[u64], in_flight_ms: u64, now_ms: u64) {
        let request = Count { requests: 1.0, in_flight_ms: likelihood::milliseconds(in_flight_ms) };
        for (counter, length_ms) in self.counters.iter_mut().zip(GENERATIONS_MS) {
            if now_ms >= counter.begun_ms + length_ms {
                let is_recent = now_ms < counter.begun_ms + 2 * length_ms;
                let ended = std::mem::take(&mut counter.current);
                counter.previous = if is_recent { ended } else { Generation::default() };
                counter.begun_ms = now_ms;
            }
            counter.current.record(parts, request);
        }
    }

    /// Estimates the shares of a part. The share at crashes counts like some requests more, for hosts
    /// that have few.
    #[must_use]
    pub fn shares(&self, part: u64, at_crashes: f64) -> Shares {
        let share = |counter: &Counter, of: fn(&Count) -> f64| {
            let generations = [&counter.current, &counter.previous];
            let all: f64 = generations.iter().map(|it| of(&it.all)).sum();
            let requests: f64 = generations.iter().map(|it| it.all.requests).sum();
            let with_part: f64 =
                generations.iter().filter_map(|it| it.by_part.get(&part)).map(of).sum();
            let prior = if requests > 0.0 { PRIOR_REQUESTS * all / requests } else { 1.0 };
            (with_part + prior * at_crashes) / (all + prior)
        };
        let highest = |of: fn(&Count) -> f64| {
            self.counters.iter().map(|counter| share(counter, of)).fold(0.0, f64::max).min(1.0)
        };
        Shares {
            of_requests: highest(|count| count.requests),
            in_flight: highest(|count| count.in_flight_ms),
        }
    }
}

impl Generation {
    fn record(&mut self, parts: &[u64], request: Count) {
        self.all.add(request);
        for part in parts {
            if self.by_part.len() < MAX_PARTS || self.by_part.contains_key(part) {
                self.by_part.entry(*part).or_default().add(request);
            }
        }
    }
}

impl Count {
    fn add(&mut self, other: Self) {
        self.requests += other.requests;
        self.in_flight_ms += other.in_flight_ms;
    }
}
