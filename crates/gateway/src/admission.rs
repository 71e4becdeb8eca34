//! Whether an attempt at a server is made, in view of the time that is left.

use toucanwall_policy::admission;
use toucanwall_policy::repetition;
use toucanwall_routing::name;

use crate::exchange;
use crate::state;

/// Retry-after time for callers whose repeat is left out, in milliseconds, at least.
const MIN_RETRY_AFTER_MS: u64 = 300;

/// Why an attempt is not made.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Rejection {
    /// Reason for logs and metrics.
    pub reason: &'static str,
    /// Time after which the caller may try again, in milliseconds.
    pub retry_after_ms: u64,
}

impl exchange::Exchange {
    /// Decides whether the request is sent to a server that has `units` of work before the first byte,
    /// in prompt tokens of the smallest model.
    #[must_use]
    pub fn reject_attempt(&self, units: u64, now_ms: u64) -> Option<Rejection> {
        let forecast_key = (self.service.clone(), self.model.clone());
        let expected_ms = self.state.expected_first_byte_ms(&forecast_key, units);
        let remaining_ms = self.deadline_at_ms.saturating_sub(now_ms);
        if self.attempts > 0 {
            let rest_ms = self.expected_rest_ms(self.model.as_ref());
            return match repetition::decide(expected_ms, rest_ms, remaining_ms) {
                repetition::Decision::Send => None,
                repetition::Decision::Omit { excess_ms } => Some(Rejection {
                    reason: "repeat cannot end in time",
                    retry_after_ms: excess_ms.max(MIN_RETRY_AFTER_MS),
                }),
            };
        }
        match admission::decide(expected_ms, remaining_ms) {
            admission::Decision::Admit => None,
            admission::Decision::Refuse { retry_after_ms } => {
                Some(Rejection { reason: "cannot be answered in time", retry_after_ms })
            }
        }
    }

    /// Returns the expected time from the next event to the end of the stream with a model, in
    /// milliseconds; `None` if it is not known.
    #[must_use]
    pub fn expected_rest_ms(&self, model: Option<&name::ModelName>) -> Option<u64> {
        let key = (self.route.name.clone(), model.cloned());
        // Events are numbered from 1; a stream without numbers is not resumed.
        self.state.expected_rest_ms(&key, self.last_event_id.unwrap_or(0))
    }

    /// Returns the key under which the pace of the request's stream is recorded.
    #[must_use]
    pub fn pace_key(&self) -> state::PaceKey {
        (self.route.name.clone(), self.model.clone())
    }
}
