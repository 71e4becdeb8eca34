//! How much crashes say against a part: a likelihood ratio with unknown timing.
//!
//! A cause crashes each server that runs it, at some moment of the answer that nobody knows
//! beforehand. Crashes of one cause agree in that moment more or less, while requests that are in
//! flight by chance are spread over it. So a part is weighed by several windows of the progress of
//! answers, and the window that fits best counts, less a penalty for the choice.
//!
//! For a window, the fraction of the crashes at which a request with the part was in it is compared
//! with the probability that one is in it by chance. Crashes without such a request count against
//! the part, so that a part which is in flight often gathers nothing over many crashes.

use std::collections;

use super::evidence;
use super::traffic;
use crate::crash_history;

/// Crashes within this time count as one, in milliseconds: a failing rack ends many servers at once.
pub const MOMENT_MS: u64 = 100;
/// Widths of the windows, in milliseconds.
const WIDTHS_MS: [u64; 6] = [50, 100, 200, 400, 800, 1_600];
/// Time by which a window begins before an observed progress, in milliseconds.
const SLACK_MS: u64 = 10;
/// Number of observed values of the progress at which windows of a part begin.
const MAX_STARTS: usize = 24;
/// Time by which an answer must have gone on beyond a window to refute it, in milliseconds.
const SURVIVAL_MARGIN_MS: u64 = 100;
/// Probability that the cause is known to wait when its server ends.
const WAITING_PRIOR: f64 = 0.3;
/// Moments up to this time after the head are about equally likely, later ones less, in milliseconds.
const EARLY_MS: f64 = 100.0;
/// Latest moment after the head at which a cause is expected, in milliseconds.
const LATEST_MS: f64 = 10_000.0;
/// Fractions of the crashes that a part may have caused. Reports that are lost or late take requests
/// out of some crashes, and crashes may have several causes.
const CAUSED_FRACTIONS: [f64; 7] = [0.1, 0.25, 0.4, 0.55, 0.7, 0.85, 0.97];
/// Bounds of the probability that a part is in flight by chance.
const CHANCE_BOUNDS: (f64, f64) = (0.002, 0.998);

/// A range of the progress of answers in which a part may crash servers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Window {
    /// Any progress.
    Any,
    /// Until the answer has gone on for a time; zero stands for the wait for its head.
    Until {
        /// End, in milliseconds after the head.
        to_ms: u64,
    },
    /// Some time after the head.
    Between {
        /// Beginning, in milliseconds after the head.
        from_ms: u64,
        /// End, in milliseconds after the head.
        to_ms: u64,
    },
}

/// Crashes that have no explanation yet, and the requests in flight at them.
#[derive(Debug, Default)]
pub struct Sample {
    /// Weights of the crashes: those within [`MOMENT_MS`] count as one together.
    weights: collections::BTreeMap<crash_history::ServerRun, f64>,
    total_weight: f64,
    /// Time since the head of each answer, in milliseconds, with the sum of the weights up to it.
    answering: Vec<(u64, f64)>,
    waiting: f64,
}

/// The evidence against a part.
#[derive(Debug, Clone, Copy)]
pub struct Summary {
    /// The logarithm of a likelihood ratio, less the penalty for the choice of the window.
    pub score: f64,
    /// The window that fits best.
    pub window: Window,
    /// Crashes at different moments in that window.
    pub moments: usize,
    /// Different requests in that window.
    pub contents: usize,
    /// Fraction of the crashes of which the part may be the cause.
    pub coverage: f64,
    /// Position of the part in the prompts.
    pub depth: usize,
}

impl Window {
    /// Whether the progress of an answer is in the window.
    #[must_use]
    pub fn contains(self, progress: evidence::Progress) -> bool {
        match (self, progress) {
            (Self::Any, _) | (Self::Until { .. }, evidence::Progress::Waiting) => true,
            (Self::Between { .. }, evidence::Progress::Waiting) => false,
            (Self::Until { to_ms }, evidence::Progress::Answering { since_ms }) => since_ms < to_ms,
            (Self::Between { from_ms, to_ms }, evidence::Progress::Answering { since_ms }) => {
                (from_ms..to_ms).contains(&since_ms)
            }
        }
    }

    /// Whether an answer that went on for a time shows that the part does not crash servers in the
    /// window.
    ///
    /// `latest_ms` is the latest progress of the part's answers at any crash.
    fn is_refuted_by(self, survived_ms: Option<u64>, latest_ms: u64) -> bool {
        let to_ms = match self {
            Self::Any => latest_ms,
            Self::Until { to_ms } | Self::Between { to_ms, .. } => to_ms.min(latest_ms),
        };
        survived_ms.is_some_and(|it| it >= to_ms.saturating_add(SURVIVAL_MARGIN_MS))
    }

    /// The logarithm of the probability that a cause has this window, before any crash.
    fn log_prior(self) -> f64 {
        let early = |at_ms: u64| {
            let at_ms = milliseconds(at_ms).min(LATEST_MS);
            (1.0 + at_ms / EARLY_MS).ln() / (1.0 + LATEST_MS / EARLY_MS).ln()
        };
        let probability = match self {
            Self::Any => 1.0,
            Self::Until { to_ms } => WAITING_PRIOR + (1.0 - WAITING_PRIOR) * early(to_ms),
            Self::Between { from_ms, to_ms } => {
                (1.0 - WAITING_PRIOR) * (early(to_ms) - early(from_ms))
            }
        };
        probability.max(CHANCE_BOUNDS.0).ln()
    }

    /// The windows by which a part is weighed.
    fn candidates<'a, I>(progress: I) -> Vec<Self>
    where
        I: Iterator<Item = &'a evidence::Progress>,
    {
        let mut windows =
            vec![Self::Any, Self::Until { to_ms: 0 }, Self::Until { to_ms: WIDTHS_MS[1] }];
        windows.extend(WIDTHS_MS[3..].iter().step_by(2).map(|to_ms| Self::Until { to_ms: *to_ms }));
        let starts: collections::BTreeSet<u64> = progress
            .filter_map(|progress| match progress {
                evidence::Progress::Waiting => None,
                evidence::Progress::Answering { since_ms } => {
                    Some(since_ms.saturating_sub(SLACK_MS))
                }
            })
            .collect();
        for from_ms in starts.into_iter().take(MAX_STARTS) {
            let to_window = |width_ms: &u64| Self::Between { from_ms, to_ms: from_ms + width_ms };
            windows.extend(WIDTHS_MS.iter().map(to_window));
        }
        windows
    }
}

impl Sample {
    /// Weighs crashes and counts the requests in flight at them.
    pub fn new<'a, I>(crashes: I) -> Self
    where
        I: Iterator<Item = (&'a crash_history::ServerRun, &'a evidence::Crash)>,
    {
        let mut crashes: Vec<_> = crashes.collect();
        crashes.sort_by_key(|(_, crash)| crash.noticed_unix_ms);
        let mut sample = Self::default();
        let is_same_moment = |first: &(_, &evidence::Crash), next: &(_, &evidence::Crash)| {
            next.1.noticed_unix_ms < first.1.noticed_unix_ms.saturating_add(MOMENT_MS)
        };
        let mut rest = &*crashes;
        while let Some(first) = rest.first() {
            // The first one is of its own moment, also at the end of time.
            let later = rest.iter().skip(1).take_while(|next| is_same_moment(first, next));
            let count = 1 + later.count();
            let (moment, later) = rest.split_at(count);
            rest = later;
            sample.total_weight += 1.0;
            let weight = 1.0 / approximate(count);
            for (run, crash) in moment {
                sample.weights.insert((*run).clone(), weight);
                for suspect in &crash.suspects {
                    match suspect.progress {
                        evidence::Progress::Waiting => sample.waiting += weight,
                        evidence::Progress::Answering { since_ms } => {
                            sample.answering.push((since_ms, weight));
                        }
                    }
                }
            }
        }
        sample.answering.sort_by_key(|(since_ms, _)| *since_ms);
        let mut sum = 0.0;
        for (_, weight) in &mut sample.answering {
            sum += *weight;
            *weight = sum;
        }
        sample
    }

    /// Number of moments at which servers crashed.
    #[must_use]
    pub fn moments(&self) -> f64 {
        self.total_weight
    }

    /// Requests in flight at all crashes.
    #[must_use]
    pub fn requests(&self) -> f64 {
        self.waiting + self.answering.last().map_or(0.0, |(_, sum)| *sum)
    }

    /// Number of crashes among those of the sample; those at one moment count as one.
    pub fn weight_of<'a, I>(&self, runs: I) -> f64
    where
        I: Iterator<Item = &'a crash_history::ServerRun>,
    {
        runs.filter_map(|run| self.weights.get(run)).sum()
    }

    /// Requests with a part in flight at its crashes, among those of the sample.
    pub fn requests_with<'a, I>(&self, runs: I) -> f64
    where
        I: Iterator<Item = (&'a crash_history::ServerRun, &'a evidence::Evidence)>,
    {
        let weigh = |(run, it): (_, &evidence::Evidence)| {
            self.weights.get(run).map_or(0.0, |weight| weight * approximate(it.progress.len()))
        };
        runs.map(weigh).sum()
    }

    /// Mean number of requests in a window at a crash.
    fn mean_requests(&self, window: Window) -> f64 {
        let before = |at_ms: u64| {
            let count = self.answering.partition_point(|(since_ms, _)| *since_ms < at_ms);
            count.checked_sub(1).map_or(0.0, |index| self.answering[index].1)
        };
        let requests = match window {
            Window::Any => self.requests(),
            Window::Until { to_ms } => self.waiting + before(to_ms),
            Window::Between { from_ms, to_ms } => before(to_ms) - before(from_ms),
        };
        requests / self.total_weight.max(1.0)
    }

    /// Sums up what crashes say about a part with these shares of the traffic, in view of answers after
    /// the crashes if `counts_answers`; `None` if it is a suspect of none.
    pub fn summarise<'a, I>(
        &self,
        runs: I,
        shares: traffic::Shares,
        counts_answers: bool,
    ) -> Option<Summary>
    where
        I: Iterator<Item = (&'a crash_history::ServerRun, &'a evidence::Evidence)>,
    {
        let mut runs: Vec<(&evidence::Evidence, f64)> = runs
            .filter_map(|(run, it)| Some((it, *self.weights.get(run)?)))
            .filter(|(it, _)| !(counts_answers && it.is_refuted()))
            .collect();
        runs.sort_by_key(|(it, _)| it.noticed_unix_ms);
        let depth = runs.iter().map(|(it, _)| it.depth).max()?;
        let coverage =
            runs.iter().map(|(_, weight)| weight).sum::<f64>() / self.total_weight.max(1.0);
        let windows = Window::candidates(runs.iter().flat_map(|(it, _)| &it.progress));
        let latest_ms = runs.iter().flat_map(|(it, _)| &it.progress).map(|it| it.since_ms()).max();
        let latest_ms = latest_ms.unwrap_or(0);
        let is_in = |window: Window, it: &evidence::Evidence| {
            let is_refuted = counts_answers && window.is_refuted_by(it.survived_ms, latest_ms);
            !is_refuted && it.progress.iter().any(|progress| window.contains(*progress))
        };
        let score_of = |window: Window| {
            let share = match window {
                Window::Any => shares.in_flight,
                Window::Until { .. } | Window::Between { .. } => shares.of_requests,
            };
            let by_chance = 1.0 - (1.0 - share).powf(self.mean_requests(window));
            let mut seen: collections::BTreeSet<u64> = collections::BTreeSet::new();
            let inside = runs.iter().filter(|(it, _)| is_in(window, it));
            let inside = inside.map(|(it, weight)| {
                let is_repeated = it.contents.iter().all(|content| seen.contains(content));
                seen.extend(&it.contents);
                (it.chance(by_chance, is_repeated), *weight)
            });
            self.log_ratio(inside) + window.log_prior()
        };
        let (window, score) = windows
            .into_iter()
            .map(|window| (window, score_of(window)))
            .max_by(|(_, a), (_, b)| a.total_cmp(b))?;
        let inside: Vec<_> =
            runs.iter().map(|(it, _)| *it).filter(|it| is_in(window, it)).collect();
        let contents: collections::BTreeSet<u64> =
            inside.iter().flat_map(|it| it.contents.iter().copied()).collect();
        let moments = count_moments(inside.iter().map(|it| it.noticed_unix_ms));
        Some(Summary { score, window, moments, contents: contents.len(), coverage, depth })
    }

    /// The logarithm of a likelihood ratio: that a part causes some fraction of the crashes, against
    /// that it was in flight by chance. `inside` has the crashes at which it was: the probability of
    /// that by chance, and the weight.
    fn log_ratio<I>(&self, inside: I) -> f64
    where
        I: Iterator<Item = (f64, f64)>,
    {
        let inside: Vec<_> = inside.collect();
        let outside = self.total_weight - inside.iter().map(|(_, weight)| weight).sum::<f64>();
        let ratio_for = |caused: f64| {
            let terms = inside
                .iter()
                .map(|(by_chance, weight)| weight * (1.0 - caused + caused / by_chance).ln());
            terms.sum::<f64>() + outside.max(0.0) * (1.0 - caused).ln()
        };
        CAUSED_FRACTIONS.into_iter().map(ratio_for).fold(0.0, f64::max)
    }
}

impl evidence::Evidence {
    /// The probability that a request with the part was in flight by chance, if it is `by_chance` for
    /// requests that are spread over all servers.
    fn chance(&self, by_chance: f64, is_repeated: bool) -> f64 {
        let by_chance = self.confined_to.map_or(by_chance, |fraction| fraction.min(by_chance));
        // A request that was in flight at an earlier crash is sent again at once, to one of the
        // servers that are left.
        let by_repetition = if is_repeated { 1.0 / approximate(self.servers.max(1)) } else { 0.0 };
        by_chance.max(by_repetition).clamp(CHANCE_BOUNDS.0, CHANCE_BOUNDS.1)
    }
}

/// Number of moments among times in ascending order.
fn count_moments<I>(times_unix_ms: I) -> usize
where
    I: Iterator<Item = u64>,
{
    let mut count = 0;
    let mut moment: Option<u64> = None;
    for at_ms in times_unix_ms {
        if moment.is_none_or(|first_ms| at_ms - first_ms >= MOMENT_MS) {
            moment = Some(at_ms);
            count += 1;
        }
    }
    count
}

/// A count as a floating-point number.
#[must_use]
pub fn approximate(count: usize) -> f64 {
    u32::try_from(count).map_or(f64::from(u32::MAX), f64::from)
}

/// A time in milliseconds as a floating-point number.
#[must_use]
pub fn milliseconds(at_ms: u64) -> f64 {
    u32::try_from(at_ms).map_or(f64::from(u32::MAX), f64::from)
}
