//! How long a request is going to wait for its first byte.
//!
//! Answers the load pattern of a pool that is pressed beyond what it can do: without a forecast each
//! request joins the queue, and all of them come late. Hosts know the work that lies before a request
//! only in units of their own, so they learn what a unit takes from the answers that they see.

use toucanwall_routing::number;

/// Part of what was learned that stays with each new answer: about fifty answers count, which is a
/// few seconds of a host's traffic.
const KEPT: f64 = 0.98;
/// Answers before which nothing is forecast.
const ANSWERS_MIN: f64 = 10.0;

/// Age at which what was learned counts for nothing, in milliseconds: a model that is not asked since
/// it is slow is asked again, and shows whether it still is.
const FORGET_MS: u64 = 1_500;

/// Learns what a unit of work takes with one model of a service.
#[derive(Debug, Clone, Copy, Default)]
pub struct Forecast {
    ms: f64,
    units: f64,
    answers: f64,
    learned_ms: u64,
}

impl Forecast {
    /// Nothing learned yet.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes the time to the first byte of a request that had `units` of work before it.
    pub fn learn(&mut self, units: u64, first_byte_ms: u64, now_ms: u64) {
        self.learned_ms = now_ms;
        self.ms = self.ms * KEPT + number::saturating_f64(first_byte_ms);
        self.units = self.units * KEPT + number::saturating_f64(units);
        self.answers = self.answers * KEPT + 1.0;
    }

    /// The time to the first byte that `units` of work are expected to take, in milliseconds.
    #[must_use]
    pub fn expect_ms(&self, units: u64, now_ms: u64) -> Option<u64> {
        let is_old = now_ms >= self.learned_ms + FORGET_MS;
        if is_old || self.answers < ANSWERS_MIN || self.units <= 0.0 {
            return None;
        }
        Some(number::saturating_u64(number::saturating_f64(units) * self.ms / self.units))
    }
}
