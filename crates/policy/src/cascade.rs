//! Which stage of a cascade a request starts at.

use std::collections;
use std::sync::Arc;

use toucanwall_document::document;
use toucanwall_document::name;

/// Number of ratings from which a learned pass rate is used without a prior.
const MIN_RATINGS: f64 = 20.0;
/// Factor by which the weight of older ratings decays with each new one.
const DECAY: f64 = 0.995;
/// Every n-th request of a kind starts at the first stage that can meet the deadline, so that its
/// pass rate is kept up to date.
const EXPLORATION_INTERVAL: u64 = 50;
/// Maximum number of request kinds that are counted, and of pass rates that are kept.
const MAX_REQUEST_KINDS: usize = 4_096;

/// A kind of request; requests of the same kind are expected to pass a stage equally often.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestKind {
    /// The organisation.
    pub organisation: name::Name,
    /// The cascade.
    pub cascade: name::Name,
    /// The request class that the caller states, or else its size class.
    pub class: Arc<str>,
}

/// Counts of passed and rated answers of a stage, with decaying weights.
#[derive(Debug, Clone, Copy, Default)]
struct PassRate {
    passed: f64,
    rated: f64,
}

/// The properties of a stage that the choice of the first one depends on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StageInfo {
    /// Price of a thousand tokens, in microcents.
    pub cost_microcents_per_kilotoken: u64,
    /// Expected duration of an answer, in milliseconds.
    pub answer_ms: u64,
}

/// Learns the pass rates of stages and selects the stage to start at.
#[derive(Debug, Default)]
pub struct StageSelector {
    pass_rates: collections::BTreeMap<(RequestKind, usize), PassRate>,
    request_counts: collections::BTreeMap<RequestKind, u64>,
}

impl StageSelector {
    /// Creates a selector without ratings.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records whether an answer of a stage met the quality target.
    pub fn record_rating(&mut self, kind: &RequestKind, stage: usize, has_passed: bool) {
        if self.pass_rates.len() >= MAX_REQUEST_KINDS
            && !self.pass_rates.contains_key(&(kind.clone(), stage))
        {
            self.pass_rates.pop_first();
        }
        let rate = self.pass_rates.entry((kind.clone(), stage)).or_default();
        rate.passed = rate.passed * DECAY + f64::from(u8::from(has_passed));
        rate.rated = rate.rated * DECAY + 1.0;
    }

    /// Selects the stage to start at: the one with the lowest expected cost.
    ///
    /// The cost of starting at a stage is its own cost plus, if its answer does not pass, the cost
    /// of the stages after it. A stage is not considered if its answer and those of all stages
    /// after it would take longer than the deadline allows; the last stage is always considered.
    pub fn select_start(
        &mut self,
        kind: &RequestKind,
        stages: &[StageInfo],
        remaining_ms: u64,
    ) -> usize {
        let last = stages.len().saturating_sub(1);
        let count = self.request_counts.entry(kind.clone()).or_default();
        *count += 1;
        let explores = (*count).is_multiple_of(EXPLORATION_INTERVAL);
        if self.request_counts.len() > MAX_REQUEST_KINDS {
            self.request_counts.pop_first();
        }
        let in_time =
            |first: usize| stages[first..].iter().map(|s| s.answer_ms).sum::<u64>() <= remaining_ms;
        let candidates = (0..stages.len()).filter(|first| *first == last || in_time(*first));
        if explores {
            return candidates.min().unwrap_or(last);
        }
        candidates
            .map(|first| (self.expected_cost(kind, stages, first), first))
            .min_by(|left, right| left.0.total_cmp(&right.0))
            .map_or(last, |(_, first)| first)
    }

    /// Expected cost of starting at a stage, in microcents per thousand tokens.
    #[must_use]
    pub fn expected_cost(&self, kind: &RequestKind, stages: &[StageInfo], first: usize) -> f64 {
        let mut expected = 0.0;
        let mut reach_probability = 1.0;
        for (stage, info) in stages.iter().enumerate().skip(first) {
            let cost = u32::try_from(info.cost_microcents_per_kilotoken).unwrap_or(u32::MAX);
            expected += reach_probability * f64::from(cost);
            reach_probability *= 1.0 - self.pass_rate(kind, stage);
        }
        expected
    }

    /// The rate at which answers of a stage pass; assumed to be high until there are enough
    /// ratings.
    #[must_use]
    pub fn pass_rate(&self, kind: &RequestKind, stage: usize) -> f64 {
        let rate = self.pass_rates.get(&(kind.clone(), stage)).copied().unwrap_or_default();
        let prior = (MIN_RATINGS - rate.rated).max(0.0);
        (rate.passed + prior) / (rate.rated + prior).max(1.0)
    }
}

/// The stages of a cascade that an organisation may use, in order.
#[must_use]
pub fn usable_stages(
    document: &document::Document,
    organisation: &document::Organisation,
    cascade: &document::Cascade,
) -> Vec<name::Name> {
    let is_usable = |model_name: &name::Name| {
        document.models.get(model_name).is_some_and(|model| {
            model.active_versions().any(|(version, _)| organisation.may_use(model_name, version))
        })
    };
    cascade.stages.iter().filter(|stage| is_usable(stage)).cloned().collect()
}
