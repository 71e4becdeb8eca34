//! Escalation from a small model to a larger one, where the router selects the model.
//!
//! Many requests are easy, and the smallest model reads prompts several times as fast at a fraction
//! of the cost, so it is asked first. If its confidence in the answer is low, the largest model is
//! asked and the first answer is discarded. A request is escalated only if the pool is not
//! overloaded and the largest model can still answer and end in time, so that the expensive escalations do
//! not make all requests late.

use std::collections;

use toucanwall_routing::name;
use toucanwall_routing::number;

use crate::repetition;

/// Confidence below which an answer is discarded, in percent: the model's estimate is rough, and a
/// wrong answer is worth little.
const MIN_CONFIDENCE_PERCENT: u8 = 50;

/// Expected time to the first byte up to which a request is escalated, in percent of the route's
/// target: a good answer that is somewhat late is worth more than a poor one in time.
const MAX_LATENCY_PERCENT: u64 = 160;
/// Time that the smallest model may have taken, in percent of the route's target: if even it takes
/// longer, the pool has no room for escalations, and first answers would be late as well.
const OVERLOAD_LATENCY_PERCENT: u64 = 50;
/// Relative cost of the smallest model, in percent.
pub const SMALLEST_MODEL_COST_PERCENT: u64 = 100;

/// A model's answer whose header section has arrived.
#[derive(Debug, Clone, Copy)]
pub struct ModelAnswer<'a> {
    /// Models of the route, smallest first.
    pub models: &'a [name::ModelName],
    /// The model that answered.
    pub model: &'a name::ModelName,
    /// The model's confidence in its answer.
    pub confidence_percent: Option<u8>,
    /// Time since the request arrived, in milliseconds.
    pub elapsed_ms: u64,
    /// Expected time to the first byte with the largest model, in milliseconds, if known.
    pub expected_ms: Option<u64>,
    /// Expected time from the first byte to the end of the stream with the largest model, in
    /// milliseconds, if known.
    pub expected_rest_ms: Option<u64>,
    /// Time until the deadline, in milliseconds.
    pub remaining_ms: u64,
    /// The route's target time to the first byte, in milliseconds.
    pub target_latency_ms: u64,
}

/// The model that a request is sent to first.
#[must_use]
pub fn first_model(models: &[name::ModelName]) -> Option<&name::ModelName> {
    models.first()
}

/// The model that the request is escalated to, if any: the largest one.
#[must_use]
pub fn escalation_target(answer: ModelAnswer<'_>) -> Option<name::ModelName> {
    let largest = answer.models.last()?;
    let is_unconfident = answer.confidence_percent? < MIN_CONFIDENCE_PERCENT;
    let is_overloaded =
        answer.elapsed_ms * 100 > answer.target_latency_ms * OVERLOAD_LATENCY_PERCENT;
    let limit_ms = answer.target_latency_ms * MAX_LATENCY_PERCENT / 100;
    let has_time =
        !is_overloaded && answer.elapsed_ms + answer.expected_ms.unwrap_or(0) <= limit_ms;
    let repeat =
        repetition::decide(answer.expected_ms, answer.expected_rest_ms, answer.remaining_ms);
    let can_end = repeat == repetition::Decision::Send;
    (largest != answer.model && is_unconfident && has_time && can_end).then(|| largest.clone())
}

/// Cost of a token with a model relative to the smallest model, in percent.
///
/// The configured prices are the only measure of a model's size that operators state.
#[must_use]
pub fn cost_percent(
    prices: &collections::BTreeMap<name::ModelName, f64>,
    models: &[name::ModelName],
    model: &name::ModelName,
) -> u64 {
    let price = |model: &name::ModelName| prices.get(model).copied().filter(|price| *price > 0.0);
    let smallest = models.first().and_then(price);
    let ratio = match (price(model), smallest) {
        (Some(price), Some(smallest)) => price / smallest,
        _ => 1.0,
    };
    number::saturating_u64(ratio * 100.0)
}
