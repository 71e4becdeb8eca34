//! Canary analysis of a roll-out: which part of a service's traffic the new version gets, and when
//! the roll-out is completed or reverted.
//!
//! The new version may fail or slow down at once, later, under load or for one kind of request
//! only. In the first half of the roll-out's duration, sessions keep their version, and only
//! requests without a session try the new one. Then a part of all traffic goes to the new version,
//! so that failures show while few requests are affected. All traffic is cut over shortly before
//! the end. Until the end the new version gets no more than a bad one may get, whatever its
//! answers show: some versions fail only under a load that does not come before the end. A service
//! with few requests would show little of the new version within that part of its traffic, so some
//! more requests try it, within the number that a bad version may get in addition. Each host
//! judges by its own answers and by the reports of other hosts; a host that finds the new version
//! bad reverts the roll-out for all.

use std::collections;

use toucanwall_routing::number;
use toucanwall_routing::rollout;

use crate::sequential_test as sequential;

/// Part of the exposure allowed for a bad version that is used between the first half and the
/// cutover; with [`EARLY_FRACTION`] and the cutover itself it stays below the whole.
const EXPOSURE_BEFORE_CUTOVER: f64 = 0.2;
/// Maximum fraction of the traffic that the new version gets before the cutover.
const MAX_FRACTION_BEFORE_CUTOVER: f64 = 0.3;
/// Fraction of the requests without a session that the new version gets from the start, relative to
/// the exposure allowed for a bad version.
const EARLY_FRACTION: f64 = 0.2;
/// Time after the first half in which sessions still keep their version, in milliseconds: hosts
/// learn of a roll-out at slightly different times.
const SESSION_PHASE_MARGIN_MS: u64 = 400;
/// Time between the cutover and the end, in milliseconds: streams of the old version need some
/// seconds to end.
const CUTOVER_BEFORE_END_MS: u64 = 6_000;
/// Part of the exposure allowed for a bad version that is used from the cutover to the end.
const EXPOSURE_AFTER_CUTOVER: f64 = 0.5;
/// Part of the requests that a bad version may get regardless of the traffic that is used to try
/// the new version; the rest covers hosts that restart and requests that are retried.
const TRIAL_FRACTION: f64 = 0.7;
/// Time before the end at which the roll-out is marked as completed, in milliseconds: leaves room
/// for a store that is slow to answer.
const COMPLETE_BEFORE_END_MS: u64 = 1_500;
/// Divisor of the duration: the time from the completion to the end is at most this part of it,
/// except in short roll-outs, so that requests to the old version may end after the cutover.
const COMPLETE_DIVISOR: u64 = 20;
/// Time from the completion to the end that is kept unless the cutover leaves less, in milliseconds:
/// several times what another host waits before it takes the step in place of the first one.
const MIN_COMPLETE_BEFORE_END_MS: u64 = 600;
/// Part of the time from the cutover to the end that may be left at the completion, in percent.
const COMPLETE_AFTER_CUTOVER_PERCENT: u64 = 90;
/// Answers of the old version that are needed to estimate its rate of bad answers.
const MIN_BASELINE_ANSWERS: u64 = 10;
/// Rate of bad answers, above that of the old version, that is accepted.
const ACCEPTED_EXCESS: f64 = 0.03;
/// Rate of bad answers, above the accepted one, that must lead to a revert.
const REJECTED_EXCESS: f64 = 0.2;
/// Evidence at which a host that judges alone reverts, as the logarithm of the likelihood ratio of
/// bad to good: a good version reaches it by chance once in `e^6`, about four hundred, answers.
/// With several hosts the threshold is higher, since each of them could be wrong.
const REVERT_THRESHOLD: f64 = 6.0;
/// Evidence at which a version is reverted rather than completed, on the same scale: after the
/// completion the old servers are gone, and a doubt can no longer be cleared up.
const DOUBT_THRESHOLD: f64 = 3.0;
/// Evidence by which that of a single route must exceed the thresholds: each route is a further
/// chance to err.
const ROUTE_PENALTY: f64 = 1.0;
/// Maximum number of routes whose answers are kept apart.
const MAX_ROUTES: usize = 32;
/// Minimum rate of bad answers in the comparison; lower ones cannot be told from zero.
const MIN_RATE: f64 = 0.01;
/// Maximum rate of bad answers in the comparison.
const MAX_RATE: f64 = 0.95;
/// When a first byte is slow. It depends much on what servers have cached.
const SLOW_FIRST_BYTE: SlowLimit = SlowLimit { median_percent: 400, percentile: 95 };
/// When a plain answer is slow.
const SLOW_ANSWER: SlowLimit = SlowLimit { median_percent: 200, percentile: 90 };
/// When the events of a stream are slow. Their times hardly depend on what servers have cached.
const SLOW_EVENTS: SlowLimit = SlowLimit { median_percent: 150, percentile: 90 };
/// Rate of slow answers that is accepted: those of a version that is as fast as the old one exceed
/// the percentile as often as the old version's own.
const ACCEPTED_SLOW_RATE: f64 = 0.13;
/// Time from which an answer or its events are stalled, in percent of the old version's median. A
/// few such answers give away a version that is slow now and then.
const STALLED_MEDIAN_PERCENT: u64 = 400;
/// Answers of the old version from which on older ones count half.
const MAX_HISTORY_ANSWERS: u64 = 400;
/// Latency samples of the old version that are needed to recognise slow answers.
const MIN_LATENCY_SAMPLES: usize = 10;
/// Latency samples of the old version that are needed to recognise stalled answers.
const MIN_STALL_SAMPLES: usize = 4;
/// Maximum number of latency samples of the old version that are kept for each kind of request.
const MAX_LATENCY_SAMPLES: usize = 64;

/// Parameters of a roll-out.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Plan {
    /// Duration that the operator set, in milliseconds.
    pub duration_ms: u64,
    /// Fraction of the service's requests that a bad version may get.
    pub exposure_fraction: f64,
    /// Number of requests that a bad version may get in addition, at all hosts together.
    pub exposure_allowance: u64,
    /// Number of hosts that judge the version.
    pub hosts: u64,
    /// Drawn at random from 0 to 1 for each host, so that hosts whose part of the allowance is less
    /// than a request together use about their sum.
    pub rounding: f64,
}

/// The properties of a request that decide which version it gets.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Request {
    /// A hash that is the same for all requests of a session, on all hosts.
    pub key: u64,
    /// Whether the request belongs to a session.
    pub has_session: bool,
}

/// The kind of a request, as far as its answers are compared.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Kind {
    /// Groups requests that may fail alike: a hash of the route, the same on all hosts.
    pub route: u64,
    /// Groups requests whose times can be compared.
    pub timing: u64,
}

/// An answer of a server, as evidence on its version.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Answer {
    /// Whether the server failed.
    pub has_failed: bool,
    /// Time to the first byte in milliseconds, if there was one.
    pub first_byte_ms: Option<u64>,
    /// Usual time between the first events of a stream, in milliseconds.
    pub event_interval_ms: Option<u64>,
}

/// What one or several hosts have observed of a version.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Observations {
    /// Answers, and those of them that failed or began late.
    pub answers: sequential::Evidence,
    /// Answers whose speed could be compared with the old version, and those that were slow.
    pub speeds: sequential::Evidence,
    /// Number of the slow answers that were stalled.
    pub stalled: u64,
    /// The part of `answers` that belongs to each route.
    pub routes: collections::BTreeMap<u64, sequential::Evidence>,
}

/// When a time is slow compared with those of the old version: if it exceeds both.
#[derive(Debug, Clone, Copy)]
struct SlowLimit {
    /// Part of the median, in percent.
    median_percent: u64,
    /// Percentile of the times.
    percentile: usize,
}

/// Evidence against the new version, as a cumulative sum (CUSUM): good answers lower it to zero at
/// most, so that a version that turns bad late is found as fast as one that is bad from the start.
#[derive(Debug, Clone, Copy, Default)]
struct Cusum(f64);

/// How fast an answer of the new version was, compared with the old one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Speed {
    Normal,
    Slow,
    Stalled,
}

/// The two sides that a roll-out compares.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Side {
    /// The old version.
    Baseline,
    /// The new version.
    Target,
}

impl Side {
    /// The name of the side in log lines.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Baseline => "before",
            Self::Target => "target",
        }
    }
}

/// What to do next about a roll-out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// Nothing yet.
    Wait,
    /// Mark the roll-out as in progress.
    MarkStarted,
    /// Mark the roll-out as completed.
    Complete,
    /// Mark the roll-out as reverted, since the new version is bad.
    Revert,
}

/// The state of one roll-out at one host.
#[derive(Debug)]
pub struct Canary {
    plan: Plan,
    /// Time since the start of the roll-out when this host learned of it, in milliseconds.
    elapsed_at_creation_ms: u64,
    created_ms: u64,
    baseline: sequential::Evidence,
    target: Observations,
    /// The part of `target` that this host has observed itself.
    own_target: Observations,
    /// The part of `own_target` that has not been reported to the relay yet.
    unreported: Observations,
    failures: Cusum,
    route_failures: collections::BTreeMap<u64, Cusum>,
    slowness: Cusum,
    stalls: Cusum,
    history: History,
    /// Keys of requests that try the new version within the allowance.
    trials: collections::BTreeSet<u64>,
    is_bad: bool,
}

/// How reliably and how fast servers of the version in use answer.
#[derive(Debug, Clone, Default)]
pub struct History {
    /// Recent answers.
    answers: sequential::Evidence,
    /// Times to the first byte.
    first_bytes_ms: collections::BTreeMap<u64, LatencySamples>,
    /// Times between the events of streams.
    event_intervals_ms: collections::BTreeMap<u64, LatencySamples>,
}

/// The latest times of one kind of request, in milliseconds.
#[derive(Debug, Clone, Default)]
struct LatencySamples(collections::VecDeque<u64>);

impl Canary {
    /// Creates the state for a roll-out that started `elapsed_at_creation_ms` ago; `history` is
    /// that of the old version so far.
    #[must_use]
    pub fn new(plan: Plan, history: History, elapsed_at_creation_ms: u64, now_ms: u64) -> Self {
        Self {
            plan,
            elapsed_at_creation_ms,
            created_ms: now_ms,
            baseline: sequential::Evidence::default(),
            target: Observations::default(),
            own_target: Observations::default(),
            unreported: Observations::default(),
            failures: Cusum::default(),
            route_failures: collections::BTreeMap::new(),
            slowness: Cusum::default(),
            stalls: Cusum::default(),
            history,
            trials: collections::BTreeSet::new(),
            is_bad: false,
        }
    }

    /// The side that a request is sent to.
    pub fn side(&mut self, state: rollout::State, request: Request, now_ms: u64) -> Side {
        match state {
            rollout::State::Completed => Side::Target,
            rollout::State::Reverted => Side::Baseline,
            rollout::State::Ordered | rollout::State::InProgress if self.is_bad => Side::Baseline,
            rollout::State::Ordered | rollout::State::InProgress => {
                let elapsed_ms = self.elapsed_ms(now_ms);
                let target_fraction = self.target_fraction(request.has_session, elapsed_ms);
                if unit_interval(request.key) < target_fraction
                    || self.is_trial(request, elapsed_ms)
                {
                    Side::Target
                } else {
                    Side::Baseline
                }
            }
        }
    }

    /// Whether a request without a session tries the new version within the allowance, of which a
    /// part is released with time. Tries of one request stay on the same side.
    fn is_trial(&mut self, request: Request, elapsed_ms: u64) -> bool {
        if request.has_session {
            return false;
        }
        if self.trials.contains(&request.key) {
            return true;
        }
        let hosts = number::saturating_f64(self.plan.hosts.max(1));
        let own_allowance =
            number::saturating_f64(self.plan.exposure_allowance) * TRIAL_FRACTION / hosts;
        let elapsed_fraction =
            number::saturating_f64(elapsed_ms) / number::saturating_f64(self.cutover_ms().max(1));
        let released = own_allowance * elapsed_fraction.min(1.0) + self.plan.rounding;
        let released = usize::try_from(number::saturating_u64(released)).unwrap_or(usize::MAX);
        let is_trial = self.trials.len() < released;
        if is_trial {
            self.trials.insert(request.key);
        }
        is_trial
    }

    /// Records an answer.
    pub fn record_answer(&mut self, side: Side, kind: Kind, answer: Answer, now_ms: u64) {
        match side {
            Side::Baseline => {
                self.baseline.add(answer.has_failed);
                self.history.record(kind.timing, answer);
            }
            Side::Target => {
                // After the cutover engines read prompts that they have not cached, so that the
                // first byte of any version is late.
                let has_warm_servers = self.elapsed_ms(now_ms) < self.cutover_ms();
                let first_byte_ms = answer.first_byte_ms.filter(|_| has_warm_servers);
                let first_byte = self.history.compare_first_byte(kind.timing, first_byte_ms);
                let mut observed = Observations::default();
                let is_bad =
                    answer.has_failed || first_byte.is_some_and(|speed| speed != Speed::Normal);
                observed.answers.add(is_bad);
                observed.routes.entry(kind.route).or_default().add(is_bad);
                let answer = Answer { first_byte_ms, ..answer };
                if let Some(speed) = self.history.compare_speed(kind.timing, answer) {
                    observed.speeds.add(speed != Speed::Normal);
                    observed.stalled += u64::from(speed == Speed::Stalled);
                }
                self.unreported.merge(&observed);
                self.own_target.merge(&observed);
                self.merge_report(&observed);
            }
        }
    }

    /// All that this host has observed of the new version itself.
    #[must_use]
    pub fn own_observations(&self) -> &Observations {
        &self.own_target
    }

    /// Takes what this host has observed of the new version since the last call.
    pub fn take_unreported(&mut self) -> Observations {
        std::mem::take(&mut self.unreported)
    }

    /// Adds what another host has observed of the new version.
    pub fn merge_report(&mut self, report: &Observations) {
        self.target.merge(report);
        let accepted = accepted_rate(self.history.answers);
        self.failures.add(report.answers, accepted);
        for (route, answers) in &report.routes {
            if self.route_failures.contains_key(route) || self.route_failures.len() < MAX_ROUTES {
                self.route_failures.entry(*route).or_default().add(*answers, accepted);
            }
        }
        self.slowness.add(report.speeds, ACCEPTED_SLOW_RATE);
        let stalls = sequential::Evidence { bad: report.stalled, ..report.speeds };
        self.stalls.add(stalls, accepted_rate(self.history.stalls()));
        let threshold =
            REVERT_THRESHOLD + number::saturating_f64(self.plan.hosts.max(1)).ln() / 2.0;
        self.is_bad = self.is_bad || self.evidence_against() >= threshold;
    }

    /// The strongest evidence against the new version, as the logarithm of a likelihood ratio.
    fn evidence_against(&self) -> f64 {
        let routes = self.route_failures.values().map(|failures| failures.0 - ROUTE_PENALTY);
        let overall = [self.failures.0, self.slowness.0, self.stalls.0];
        overall.into_iter().chain(routes).fold(0.0, f64::max)
    }

    /// The next action at this host.
    ///
    /// `delay_ms` differs between hosts, so that usually only one of them marks the roll-out as
    /// started or completed; a revert is not delayed.
    #[must_use]
    pub fn next_action(&self, state: rollout::State, now_ms: u64, delay_ms: u64) -> Action {
        if state.is_final() {
            return Action::Wait;
        }
        let elapsed_ms = self.elapsed_ms(now_ms).saturating_sub(delay_ms);
        let after_cutover_ms = self.plan.duration_ms - self.cutover_ms();
        let lead_ms = COMPLETE_BEFORE_END_MS
            .min(self.plan.duration_ms / COMPLETE_DIVISOR)
            .max(MIN_COMPLETE_BEFORE_END_MS)
            .min(after_cutover_ms * COMPLETE_AFTER_CUTOVER_PERCENT / 100);
        let complete_ms = self.plan.duration_ms - lead_ms;
        match state {
            _ if self.is_bad => Action::Revert,
            _ if elapsed_ms >= complete_ms && self.is_doubtful() => Action::Revert,
            _ if elapsed_ms >= complete_ms => Action::Complete,
            rollout::State::Ordered if self.elapsed_ms(now_ms) >= delay_ms => Action::MarkStarted,
            _ => Action::Wait,
        }
    }

    fn is_doubtful(&self) -> bool {
        self.evidence_against() >= DOUBT_THRESHOLD
    }

    /// The answers of the old version, and what is known of the new one.
    #[must_use]
    pub fn evidence(&self) -> (sequential::Evidence, &Observations) {
        (self.baseline, &self.target)
    }

    /// Time since the start of the roll-out, in milliseconds.
    #[must_use]
    pub fn elapsed_ms(&self, now_ms: u64) -> u64 {
        self.elapsed_at_creation_ms + now_ms.saturating_sub(self.created_ms)
    }

    /// Fraction of the requests that the new version gets; never decreases.
    fn target_fraction(&self, has_session: bool, elapsed_ms: u64) -> f64 {
        let session_phase_end_ms = self.plan.duration_ms / 2 + SESSION_PHASE_MARGIN_MS;
        if elapsed_ms >= self.cutover_ms() {
            return 1.0;
        }
        let early_fraction = self.plan.exposure_fraction * EARLY_FRACTION;
        if elapsed_ms >= session_phase_end_ms {
            let exposed_ms = EXPOSURE_BEFORE_CUTOVER
                * self.plan.exposure_fraction
                * number::saturating_f64(self.plan.duration_ms);
            let length_ms = number::saturating_f64(
                self.cutover_ms().saturating_sub(session_phase_end_ms).max(1),
            );
            return (exposed_ms / length_ms)
                .clamp(early_fraction, MAX_FRACTION_BEFORE_CUTOVER.max(early_fraction));
        }
        if has_session { 0.0 } else { early_fraction }
    }

    /// Time from the start of the roll-out to the cutover, in milliseconds.
    fn cutover_ms(&self) -> u64 {
        let exposed_ms = EXPOSURE_AFTER_CUTOVER
            * self.plan.exposure_fraction
            * number::saturating_f64(self.plan.duration_ms);
        let lead_ms = CUTOVER_BEFORE_END_MS.min(number::saturating_u64(exposed_ms));
        self.plan.duration_ms.saturating_sub(lead_ms)
    }
}

impl Observations {
    /// Adds further observations.
    pub fn merge(&mut self, other: &Self) {
        self.answers.merge(other.answers);
        self.speeds.merge(other.speeds);
        self.stalled += other.stalled;
        for (route, answers) in &other.routes {
            self.routes.entry(*route).or_default().merge(*answers);
        }
    }
}

impl Cusum {
    /// Adds evidence on whether the rate of bad answers is the accepted one or
    /// [`REJECTED_EXCESS`] above it.
    fn add(&mut self, evidence: sequential::Evidence, accepted_rate: f64) {
        let rejected_rate = accepted_rate + REJECTED_EXCESS;
        // Good answers first: a report does not tell the order of its answers.
        for _ in evidence.bad..evidence.answers {
            let increment = ((1.0 - rejected_rate) / (1.0 - accepted_rate)).ln();
            self.0 = (self.0 + increment).max(0.0);
        }
        for _ in 0..evidence.bad {
            self.0 += (rejected_rate / accepted_rate).ln();
        }
    }
}

impl History {
    /// Records an answer of the old version.
    pub fn record(&mut self, kind: u64, answer: Answer) {
        self.answers.add(answer.has_failed);
        if self.answers.answers >= MAX_HISTORY_ANSWERS {
            self.answers.answers /= 2;
            self.answers.bad /= 2;
        }
        if answer.has_failed {
            return;
        }
        self.first_bytes_ms.entry(kind).or_default().record(answer.first_byte_ms);
        if answer.event_interval_ms.is_some() {
            self.event_intervals_ms.entry(kind).or_default().record(answer.event_interval_ms);
        }
    }

    /// The samples whose speed later answers are compared with, and those of them that were stalled.
    fn stalls(&self) -> sequential::Evidence {
        let is_plain = |kind: &u64| !self.event_intervals_ms.contains_key(kind);
        let plain = self.first_bytes_ms.iter().filter(|(kind, _)| is_plain(kind));
        let samples = plain.map(|(_, samples)| samples).chain(self.event_intervals_ms.values());
        samples.map(LatencySamples::stalls).fold(
            sequential::Evidence::default(),
            |mut total, stalls| {
                total.merge(stalls);
                total
            },
        )
    }

    /// Compares the time to the first byte with those of the old version, if there are enough.
    fn compare_first_byte(&self, kind: u64, time_ms: Option<u64>) -> Option<Speed> {
        self.first_bytes_ms.get(&kind)?.compare(time_ms?, SLOW_FIRST_BYTE)
    }

    /// Compares the speed of a stream, or the time of a plain answer, with those of the old version,
    /// if there are enough.
    fn compare_speed(&self, kind: u64, answer: Answer) -> Option<Speed> {
        match answer.event_interval_ms {
            Some(time_ms) => self.event_intervals_ms.get(&kind)?.compare(time_ms, SLOW_EVENTS),
            None if self.event_intervals_ms.contains_key(&kind) => None,
            None => self.first_bytes_ms.get(&kind)?.compare(answer.first_byte_ms?, SLOW_ANSWER),
        }
    }
}

impl LatencySamples {
    /// The samples, and those of them that were stalled.
    fn stalls(&self) -> sequential::Evidence {
        let mut sorted: Vec<u64> = self.0.iter().copied().collect();
        sorted.sort_unstable();
        let median_ms = sorted.get(sorted.len() / 2).copied().unwrap_or(0).max(1);
        let mut stalls = sequential::Evidence::default();
        for time_ms in sorted {
            stalls.add(time_ms > median_ms * STALLED_MEDIAN_PERCENT / 100);
        }
        stalls
    }

    fn record(&mut self, time_ms: Option<u64>) {
        self.0.extend(time_ms);
        if self.0.len() > MAX_LATENCY_SAMPLES {
            self.0.pop_front();
        }
    }

    /// Compares a time; `None` if there are not enough samples.
    fn compare(&self, time_ms: u64, limit: SlowLimit) -> Option<Speed> {
        if self.0.len() < MIN_STALL_SAMPLES {
            return None;
        }
        let mut sorted: Vec<u64> = self.0.iter().copied().collect();
        sorted.sort_unstable();
        let median_ms = sorted[sorted.len() / 2].max(1);
        let percentile_ms = sorted[sorted.len() * limit.percentile / 100];
        let slow_ms = percentile_ms.max(median_ms * limit.median_percent / 100);
        Some(match time_ms {
            _ if time_ms > slow_ms.max(median_ms * STALLED_MEDIAN_PERCENT / 100) => Speed::Stalled,
            _ if time_ms > slow_ms && sorted.len() >= MIN_LATENCY_SAMPLES => Speed::Slow,
            _ => Speed::Normal,
        })
    }
}

/// Maps a hash to a number from 0 to 1.
fn unit_interval(key: u64) -> f64 {
    let high = u32::try_from(key >> 32).unwrap_or(u32::MAX);
    f64::from(high) / f64::from(u32::MAX)
}

/// Rate of bad answers that is accepted of the new version, given those of the old one.
fn accepted_rate(baseline: sequential::Evidence) -> f64 {
    let baseline_rate = if baseline.answers < MIN_BASELINE_ANSWERS { 0.0 } else { rate(baseline) };
    (baseline_rate + ACCEPTED_EXCESS).clamp(MIN_RATE, MAX_RATE - REJECTED_EXCESS)
}

fn rate(evidence: sequential::Evidence) -> f64 {
    if evidence.answers == 0 {
        0.0
    } else {
        number::saturating_f64(evidence.bad) / number::saturating_f64(evidence.answers)
    }
}
