//! Forecast of the time to a request's first byte.
//!
//! Without a forecast, each request to an overloaded pool joins the queue, and all of them are
//! late. Hosts know the work ahead of a request only as a number of prompt tokens of the smallest
//! model, so they learn the time per token from observed answers.

use toucanwall_routing::number;

/// Factor by which older answers decay with each new one: about fifty answers count, which is a few
/// seconds of a host's traffic.
const DECAY: f64 = 0.98;
/// Answers that are needed for a forecast.
const MIN_ANSWERS: f64 = 10.0;

/// Age from which a forecast is discarded, in milliseconds: a model that is avoided because it is
/// slow is asked again, which shows whether it still is.
const MAX_AGE_MS: u64 = 1_500;

/// Learns the time per unit of work, a prompt token of the smallest model, with one model of a
/// service.
#[derive(Debug, Clone, Copy, Default)]
pub struct Forecast {
    /// Sum of the times to the first byte, with decaying weights.
    sum_ms: f64,
    /// Sum of the units of work, with the same weights.
    sum_units: f64,
    /// Sum of the weights.
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
        self.sum_ms = self.sum_ms * DECAY + number::saturating_f64(first_byte_ms);
        self.sum_units = self.sum_units * DECAY + number::saturating_f64(units);
        self.answers = self.answers * DECAY + 1.0;
    }

    /// The expected time to the first byte for `units` of work, in milliseconds; none without
    /// recent answers.
    #[must_use]
    pub fn predict_ms(&self, units: u64, now_ms: u64) -> Option<u64> {
        let is_expired = now_ms >= self.updated_ms + MAX_AGE_MS;
        if is_expired || self.answers < MIN_ANSWERS || self.sum_units <= 0.0 {
            return None;
        }
        Some(number::saturating_u64(number::saturating_f64(units) * self.sum_ms / self.sum_units))
    }
}
