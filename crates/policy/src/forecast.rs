//! Forecast of the time to a request's first byte.
//!
//! Without a forecast, each request to an overloaded pool joins the queue, and all of them are
//! late. Hosts measure the work ahead of a request only in units of their own, so they learn the
//! time per unit from observed answers.

use toucanwall_routing::number;

/// Factor by which older answers decay with each new one: about fifty answers count, which is a few
/// seconds of a host's traffic.
const DECAY: f64 = 0.98;
/// Answers that are needed for a forecast.
const MIN_ANSWERS: f64 = 10.0;

/// Age from which a forecast is discarded, in milliseconds: a model that is avoided because it is
/// slow is asked again, which shows whether it still is.
const MAX_AGE_MS: u64 = 1_500;

/// Learns the time per unit of work with one model of a service.
#[derive(Debug, Clone, Copy, Default)]
pub struct Forecast {
    ms: f64,
    units: f64,
    answers: f64,
    updated_ms: u64,
}

impl Forecast {
    /// Creates a forecast without answers.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records the time to the first byte of a request that had `units` of work ahead of its first
    /// byte.
    pub fn record(&mut self, units: u64, first_byte_ms: u64, now_ms: u64) {
        self.updated_ms = now_ms;
        self.ms = self.ms * DECAY + number::saturating_f64(first_byte_ms);
        self.units = self.units * DECAY + number::saturating_f64(units);
        self.answers = self.answers * DECAY + 1.0;
    }

    /// The expected time to the first byte for `units` of work, in milliseconds; none without
    /// recent answers.
    #[must_use]
    pub fn predict_ms(&self, units: u64, now_ms: u64) -> Option<u64> {
        let is_expired = now_ms >= self.updated_ms + MAX_AGE_MS;
        if is_expired || self.answers < MIN_ANSWERS || self.units <= 0.0 {
            return None;
        }
        Some(number::saturating_u64(number::saturating_f64(units) * self.ms / self.units))
    }
}
