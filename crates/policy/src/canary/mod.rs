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

mod evidence;
mod history;
mod schedule;
mod step_delay;

pub use evidence::Observations;
pub use history::History;
pub use step_delay::StepDelay;

/// Part of the requests that a bad version may get regardless of the traffic that is used to try
/// the new version; the rest covers hosts that restart.
const TRIAL_FRACTION: f64 = 0.7;
/// Evidence at which a host that judges alone reverts, as the logarithm of the likelihood ratio of
/// bad to good: a good version reaches it by chance once in `e^6`, about four hundred, answers.
/// With several hosts the threshold is higher, since each of them could be wrong.
const REVERT_THRESHOLD: f64 = 6.0;
/// Evidence at which a version is reverted rather than completed, on the same scale: after the
/// completion the old servers are gone, and a doubt can no longer be cleared up. A single bad answer
/// does not reach it.
const DOUBT_THRESHOLD: f64 = 2.1;
/// Evidence by which that of a single route must exceed the thresholds: each route is a further
/// chance to err.
const ROUTE_PENALTY: f64 = 0.5;
/// Answers whose times could be compared that a version needs to be completed: one that is several
/// times as slow for half of its answers shows no slow one among so many once in 128 times.
const MIN_TIMED_ANSWERS: u64 = 7;
/// Evidence that a version neither fails nor is slow at which it is completed, as the logarithm of
/// the likelihood ratio of good to bad.
const PROOF_THRESHOLD: f64 = 2.3;
/// Maximum number of routes whose answers are kept apart.
const MAX_ROUTES: usize = 32;
/// Rate of slow answers that is accepted: those of a version that is as fast as the old one exceed
/// the percentile as often as the old version's own.
const ACCEPTED_SLOW_RATE: f64 = 0.13;
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
    /// Whether an attempt has failed on the new version.
    pub has_failed_on_target: bool,
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
    /// Whether the caller's deadline passed first. The time to the first byte is then the time until
    /// the deadline; on some routes no version answers before it.
    pub has_timed_out: bool,
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
    failures: evidence::Cusum,
    route_failures: collections::BTreeMap<u64, evidence::Cusum>,
    slowness: evidence::Cusum,
    stalls: evidence::Cusum,
    history: History,
    /// Keys of requests that try the new version within the allowance.
    trials: collections::BTreeSet<u64>,
    is_bad: bool,
}

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
            failures: evidence::Cusum::default(),
            route_failures: collections::BTreeMap::new(),
            slowness: evidence::Cusum::default(),
            stalls: evidence::Cusum::default(),
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
            rollout::State::Ordered | rollout::State::InProgress
                if self.is_bad || (request.has_failed_on_target && !request.has_session) =>
            {
                Side::Baseline
            }
            rollout::State::Ordered | rollout::State::InProgress => {
                let elapsed_ms = self.elapsed_ms(now_ms);
                let target_fraction =
                    self.schedule().target_fraction(request.has_session, elapsed_ms);
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
        let elapsed_fraction = number::saturating_f64(elapsed_ms)
            / number::saturating_f64(self.schedule().cutover_ms().max(1));
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
                let has_warm_servers = self.elapsed_ms(now_ms) < self.schedule().cutover_ms();
                let is_comparable = has_warm_servers || answer.has_timed_out;
                let first_byte_ms = answer.first_byte_ms.filter(|_| is_comparable);
                let first_byte = self.history.compare_first_byte(kind.timing, first_byte_ms);
                let mut observed = Observations::default();
                let is_bad = answer.has_failed
                    || first_byte.is_some_and(|speed| speed != history::Speed::Normal);
                observed.answers.add(is_bad);
                observed.routes.entry(kind.route).or_default().add(is_bad);
                let answer = Answer { first_byte_ms, ..answer };
                let speed = self.history.compare_speed(kind.timing, answer);
                observed.timed = u64::from(first_byte.is_some() || speed.is_some());
                if let Some(speed) = speed {
                    observed.speeds.add(speed != history::Speed::Normal);
                    observed.stalled += u64::from(speed == history::Speed::Stalled);
                }
                self.unreported.merge(&observed);
                self.own_target.merge(&observed);
                self.merge_report(&observed);
            }
        }
    }

    /// Records a request that has had no first byte for `waited_ms`, while it is still open or when it
    /// is given up; returns whether it counts as an answer of the new version. One that has already
    /// waited longer than the old version takes counts as late without waiting for its end: a slow
    /// version would otherwise be judged by its fast answers alone.
    pub fn record_waiting(&mut self, kind: Kind, waited_ms: u64, now_ms: u64) -> bool {
        let sent_ms = now_ms.saturating_sub(waited_ms);
        let had_warm_servers = self.elapsed_ms(sent_ms) < self.schedule().cutover_ms();
        let counts = had_warm_servers && self.history.is_overdue(kind.timing, waited_ms);
        if counts {
            let first_byte_ms = Some(waited_ms);
            let answer = Answer { first_byte_ms, has_timed_out: true, ..Answer::default() };
            self.record_answer(Side::Target, kind, answer, now_ms);
        }
        counts
    }

    /// Records that a request to the old version was given up without a first byte.
    pub fn record_given_up_by_baseline(&mut self, kind: Kind, waited_ms: u64) {
        self.history.record_given_up(kind.timing, waited_ms);
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
        let accepted = evidence::accepted_rate(self.history.answers);
        self.failures.add(report.answers, accepted);
        for (route, answers) in &report.routes {
            if self.route_failures.contains_key(route) || self.route_failures.len() < MAX_ROUTES {
                self.route_failures.entry(*route).or_default().add(*answers, accepted);
            }
        }
        self.slowness.add(report.speeds, ACCEPTED_SLOW_RATE);
        let stalls = sequential::Evidence { bad: report.stalled, ..report.speeds };
        self.stalls.add(stalls, evidence::accepted_rate(self.history.stalls()));
        let threshold =
            REVERT_THRESHOLD + number::saturating_f64(self.plan.hosts.max(1)).ln() / 2.0;
        self.is_bad = self.is_bad || self.evidence_against() >= threshold;
    }

    /// The strongest evidence against the new version, as the logarithm of a likelihood ratio.
    fn evidence_against(&self) -> f64 {
        let routes = self.route_failures.values().map(|failures| failures.weight() - ROUTE_PENALTY);
        let overall = [self.failures.weight(), self.slowness.weight(), self.stalls.weight()];
        overall.into_iter().chain(routes).fold(0.0, f64::max)
    }

    /// The next action at this host; a revert is not delayed.
    #[must_use]
    pub fn next_action(&self, state: rollout::State, now_ms: u64, delay: StepDelay) -> Action {
        if state.is_final() {
            return Action::Wait;
        }
        let elapsed_ms = self.elapsed_ms(now_ms).saturating_sub(delay.complete_ms);
        let is_due = elapsed_ms >= self.schedule().complete_ms();
        match state {
            _ if self.is_bad => Action::Revert,
            _ if is_due && self.is_doubtful() => Action::Revert,
            _ if is_due && self.is_known() => Action::Complete,
            // In a large deployment most hosts hear of few answers, and one that has heard of more
            // completes the roll-out.
            _ if elapsed_ms >= self.schedule().give_up_ms() => Action::Revert,
            rollout::State::Ordered if self.elapsed_ms(now_ms) >= delay.start_ms => {
                Action::MarkStarted
            }
            _ => Action::Wait,
        }
    }

    /// Whether the answers so far suffice to tell a slow version from a good one.
    fn is_known(&self) -> bool {
        let answers = evidence::weight_of_fault(
            self.target.answers,
            evidence::accepted_rate(self.history.answers),
        );
        let stalls = evidence::weight_of_fault(
            sequential::Evidence { bad: self.target.stalled, ..self.target.speeds },
            evidence::accepted_rate(self.history.stalls()),
        );
        // The servers of the new version have less load than those of the old one, so that a slow
        // version seems less slow than it is.
        let slowness = evidence::weight_of_fault(self.target.speeds, ACCEPTED_SLOW_RATE);
        self.target.timed >= MIN_TIMED_ANSWERS
            && answers.max(stalls) <= -PROOF_THRESHOLD
            && slowness <= 0.0
    }

    /// Whether the answers so far leave a doubt, also of a slight fault: those that are spread over
    /// the whole roll-out never reach the cumulative sums' threshold.
    fn is_doubtful(&self) -> bool {
        let accepted = evidence::accepted_rate(self.history.answers);
        let stalls = sequential::Evidence { bad: self.target.stalled, ..self.target.speeds };
        let overall = [
            evidence::weight_of_slight_fault(self.target.answers, accepted),
            evidence::weight_of_slight_fault(self.target.speeds, ACCEPTED_SLOW_RATE),
            evidence::weight_of_slight_fault(
                stalls,
                evidence::accepted_rate(self.history.stalls()),
            ),
        ];
        overall.into_iter().fold(self.evidence_against(), f64::max) >= DOUBT_THRESHOLD
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

    fn schedule(&self) -> schedule::Schedule {
        let Plan { duration_ms, exposure_fraction, .. } = self.plan;
        schedule::Schedule { duration_ms, exposure_fraction }
    }
}

/// Maps a hash to a number from 0 to 1.
fn unit_interval(key: u64) -> f64 {
    let high = u32::try_from(key >> 32).unwrap_or(u32::MAX);
    f64::from(high) / f64::from(u32::MAX)
}
