//! Which model answers, where the router chooses among models of unlike size.
//!
//! Answers a load of which many requests are easy: the smallest model reads prompts several times as
//! fast and costs a fraction, so it goes first; where it doubts its answer, the largest one is asked,
//! and what the small one made is dropped. A pool under pressure is asked only for what it can still
//! answer in time, so that the dear second runs do not make all requests late.

use std::collections;

use toucanwall_routing::name;
use toucanwall_routing::number;

/// Confidence below which an answer is dropped, in percent: the model's opinion is rough, and a
/// wrong answer is worth little.
const CONFIDENCE_MIN_PERCENT: u8 = 50;

/// Expected time to the first byte up to which the largest model is asked, in percent of what the
/// route aims at: a good answer that comes somewhat late is worth more than a poor one in time.
const LATE_PERCENT: u64 = 160;
/// Time that the smallest model may have taken, in percent of what the route aims at: where even it
/// takes longer, the pool has no room for second runs, and first answers would come late as well.
const PRESSED_PERCENT: u64 = 50;
/// Weight of the smallest model, in percent.
pub const WEIGHT_OF_SMALLEST_PERCENT: u64 = 100;

/// A model's answer whose head has come.
#[derive(Debug, Clone, Copy)]
pub struct Step<'a> {
    /// The models, smallest first.
    pub models: &'a [name::ModelName],
    /// The model that answers.
    pub model: &'a name::ModelName,
    /// Its own opinion of its answer.
    pub confidence_percent: Option<u8>,
    /// Time that has passed since the request came, in milliseconds.
    pub elapsed_ms: u64,
    /// Time to the first byte that the largest model is expected to take, in milliseconds.
    pub expected_ms: Option<u64>,
    /// Time to the first byte that the route aims at, in milliseconds.
    pub target_latency_ms: u64,
}

/// The model that is asked first.
#[must_use]
pub fn first(models: &[name::ModelName]) -> Option<&name::ModelName> {
    models.first()
}

/// The larger model that is to answer instead, if any.
#[must_use]
pub fn larger(step: Step<'_>) -> Option<name::ModelName> {
    let largest = step.models.last()?;
    let is_doubted = step.confidence_percent? < CONFIDENCE_MIN_PERCENT;
    let is_pressed = step.elapsed_ms * 100 > step.target_latency_ms * PRESSED_PERCENT;
    let limit_ms = step.target_latency_ms * LATE_PERCENT / 100;
    let has_time = !is_pressed && step.elapsed_ms + step.expected_ms.unwrap_or(0) <= limit_ms;
    (largest != step.model && is_doubted && has_time).then(|| largest.clone())
}

/// How much more a token costs with a model than with the smallest one, in percent.
///
/// The configured prices are the only measure of a model's size that operators state.
#[must_use]
pub fn weight_percent(
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
