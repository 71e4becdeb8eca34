//! Roll-outs known to a host: the traffic thread records responses, the control thread advances the
//! roll-outs.

use std::collections;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic;

use serde::Deserialize;
use serde::Serialize;
use toucanwall_policy::canary;
use toucanwall_policy::sequential_test as sequential;
use toucanwall_routing::name;
use toucanwall_routing::position;
use toucanwall_routing::rollout;
use toucanwall_routing::server;
use toucanwall_routing::settings;

/// Largest valid number of responses in one report. Even a host that reports only once in a whole
/// roll-out stays below it.
const MAX_REPORTED_ANSWERS: u64 = 100_000;
/// Largest number of routes in one report: bounds the size of a datagram.
const MAX_REPORTED_ROUTES: usize = 8;

/// The roll-outs known to this host, by service.
#[derive(Debug)]
pub struct Rollouts {
    bounds: settings::Bounds,
    tracked: Mutex<collections::BTreeMap<name::ServiceName, TrackedRollout>>,
    /// How the version in use has answered, by service.
    histories: Mutex<collections::BTreeMap<name::ServiceName, canary::History>>,
    next_attempt: atomic::AtomicU64,
}

/// Identifies a request that was sent to a target version.
pub type AttemptId = u64;

/// A request that was sent to a target version and has had no first byte.
#[derive(Debug, Clone, Copy)]
struct OpenAttempt {
    kind: canary::Kind,
    sent_ms: u64,
    /// Whether it has been counted as late.
    is_counted: bool,
}

/// A roll-out together with its canary evaluation.
#[derive(Debug)]
struct TrackedRollout {
    rollout: Arc<rollout::Rollout>,
    canary: canary::Canary,
    open_attempts: collections::BTreeMap<AttemptId, OpenAttempt>,
    /// Evidence that other hosts reported, by host.
    peers: collections::BTreeMap<name::HostName, PeerEvidence>,
}

/// What another host has observed of a target version. A host may report to its relay and in
/// datagrams to hosts that it watches; the reports cover the same answers. A host that has restarted
/// counts again only beyond what its former run reported.
#[derive(Debug, Default)]
struct PeerEvidence {
    /// Sum of the reports to this host as a relay.
    as_relay: canary::Observations,
    /// Latest report in a datagram.
    in_datagrams: canary::Observations,
    /// The part that has been counted.
    counted: canary::Observations,
}

/// A roll-out state that is due to be written to the store.
#[derive(Debug, Clone)]
pub struct StatusUpdate {
    /// The roll-out with its new state.
    pub rollout: rollout::Rollout,
    /// Evidence for the decision, as text for the log.
    pub evidence: String,
}

/// Responses of a roll-out's target version that a host observed.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Report {
    /// Service of the roll-out.
    pub service: name::ServiceName,
    /// Store revision of the roll-out's order.
    pub order_revision: u64,
    /// Era of that revision.
    #[serde(default, skip_serializing_if = "position::Era::is_unstated")]
    pub order_era: position::Era,
    /// Number of responses.
    pub answers: u64,
    /// Number of responses among them that failed or began late.
    pub bad: u64,
    /// Number of responses whose speed could be compared with the previous version.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub compared: u64,
    /// Number of slow responses among those.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub slow: u64,
    /// Number of responses of which any time could be compared with the previous version.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub timed: u64,
    /// Number of responses among the slow ones that were several times as slow.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub stalled: u64,
    /// Numbers of responses, and of those that failed or began late, by hash of the route.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub routes: Vec<(u64, u64, u64)>,
}

/// The current time by the monotonic and the wall clock.
#[derive(Debug, Clone, Copy)]
pub struct Timestamp {
    /// Milliseconds by the monotonic clock.
    pub monotonic_ms: u64,
    /// Milliseconds since the Unix epoch by the wall clock, which may jump.
    pub unix_ms: u64,
}

impl Rollouts {
    /// Creates an empty set; `bounds` limit what a bad version may receive.
    #[must_use]
    pub fn new(bounds: settings::Bounds) -> Self {
        Self {
            bounds,
            tracked: Mutex::new(collections::BTreeMap::new()),
            histories: Mutex::new(collections::BTreeMap::new()),
            next_attempt: atomic::AtomicU64::new(0),
        }
    }

    /// Replaces the roll-outs by those of a new view, which `hosts` hosts evaluate.
    pub fn update(
        &self,
        rollouts: &collections::BTreeMap<name::ServiceName, Arc<rollout::Rollout>>,
        hosts: u64,
        now: Timestamp,
    ) {
        let mut tracked = self.lock();
        tracked.retain(|service, _| rollouts.contains_key(service));
        for (service, rollout) in rollouts {
            let is_same_order = |tracked: &&mut TrackedRollout| rollout.continues(&tracked.rollout);
            if let Some(tracked) = tracked.get_mut(service).filter(is_same_order) {
                tracked.rollout = Arc::clone(rollout);
                continue;
            }
            let plan = canary::Plan {
                duration_ms: rollout.duration_ms,
                exposure_fraction: self.bounds.exposure_fraction,
                exposure_allowance: self.bounds.exposure_allowance,
                hosts,
                rounding: rand::random(),
            };
            let since_start_ms = since_start_ms(rollout, now.unix_ms);
            let history = lock(&self.histories).get(service).cloned().unwrap_or_default();
            let canary = canary::Canary::new(plan, history, since_start_ms, now.monotonic_ms);
            let new = TrackedRollout {
                rollout: Arc::clone(rollout),
                canary,
                open_attempts: collections::BTreeMap::new(),
                peers: collections::BTreeMap::new(),
            };
            tracked.insert(service.clone(), new);
        }
    }

    /// The servers that may handle a request, and the side of the roll-out that they are on if the
    /// service has one.
    #[must_use]
    pub fn eligible_servers(
        &self,
        service: &name::ServiceName,
        servers: &[Arc<server::BackendServer>],
        request: canary::Request,
        now_ms: u64,
    ) -> (Vec<Arc<server::BackendServer>>, Option<canary::Side>) {
        let mut tracked = self.lock();
        let Some(tracked) = tracked.get_mut(service) else {
            return (servers.to_vec(), None);
        };
        let (target, baseline): (Vec<_>, Vec<_>) =
            servers.iter().cloned().partition(|server| server.version == tracked.rollout.target);
        match tracked.canary.side(tracked.rollout.state, request, now_ms) {
            canary::Side::Target if !target.is_empty() => (target, Some(canary::Side::Target)),
            canary::Side::Baseline if !baseline.is_empty() => {
                (baseline, Some(canary::Side::Baseline))
            }
            // A reverted version is not used even if no other server is available.
            canary::Side::Baseline if tracked.rollout.state == rollout::State::Reverted => {
                (baseline, Some(canary::Side::Baseline))
            }
            canary::Side::Target => (baseline, Some(canary::Side::Baseline)),
            canary::Side::Baseline => (target, Some(canary::Side::Target)),
        }
    }

    /// Records a response, from one side of a roll-out if the service has one.
    pub fn record_response(
        &self,
        service: &name::ServiceName,
        side: Option<canary::Side>,
        kind: canary::Kind,
        answer: canary::Answer,
        now_ms: u64,
    ) {
        let mut tracked = self.lock();
        let tracked = tracked.get_mut(service);
        if is_in_use(side, tracked.as_deref()) {
            lock(&self.histories).entry(service.clone()).or_default().record(kind.timing, answer);
        }
        if let (Some(tracked), Some(side)) = (tracked, side) {
            tracked.canary.record_answer(side, kind, answer, now_ms);
        }
    }

    /// Records that a request is sent to one side of a roll-out; returns its id if its first byte is
    /// awaited as evidence.
    #[must_use]
    pub fn begin_attempt(
        &self,
        service: &name::ServiceName,
        side: Option<canary::Side>,
        kind: canary::Kind,
        now_ms: u64,
    ) -> Option<AttemptId> {
        let mut tracked = self.lock();
        let tracked = tracked.get_mut(service).filter(|it| !it.rollout.state.is_final())?;
        if side != Some(canary::Side::Target) {
            return None;
        }
        let id = self.next_attempt.fetch_add(1, atomic::Ordering::Relaxed);
        let attempt = OpenAttempt { kind, sent_ms: now_ms, is_counted: false };
        tracked.open_attempts.insert(id, attempt);
        Some(id)
    }

    /// Records that the first byte of a request has arrived, or that it has failed; returns whether
    /// the request has been counted as late before.
    pub fn end_attempt(&self, service: &name::ServiceName, id: AttemptId) -> bool {
        let mut tracked = self.lock();
        let attempt = tracked.get_mut(service).and_then(|it| it.open_attempts.remove(&id));
        attempt.is_some_and(|attempt| attempt.is_counted)
    }

    /// Records that a request was given up after it had waited for its first byte for `waited_ms`.
    pub fn record_given_up(
        &self,
        service: &name::ServiceName,
        side: Option<canary::Side>,
        kind: canary::Kind,
        waited_ms: u64,
        now_ms: u64,
    ) {
        let mut tracked = self.lock();
        let tracked = tracked.get_mut(service);
        if is_in_use(side, tracked.as_deref())
            && let Some(history) = lock(&self.histories).get_mut(service)
        {
            history.record_given_up(kind.timing, waited_ms);
        }
        match (tracked, side) {
            (Some(tracked), Some(canary::Side::Target)) => {
                tracked.canary.record_waiting(kind, waited_ms, now_ms);
            }
            (Some(tracked), Some(canary::Side::Baseline)) => {
                tracked.canary.record_given_up_by_baseline(kind, waited_ms);
            }
            (_, None) | (None, _) => {}
        }
    }

    /// Counts the requests that have waited for their first byte for longer than the previous version
    /// takes.
    pub fn count_overdue(&self, now_ms: u64) {
        for tracked in self.lock().values_mut() {
            for attempt in tracked.open_attempts.values_mut().filter(|it| !it.is_counted) {
                let waited_ms = now_ms.saturating_sub(attempt.sent_ms);
                attempt.is_counted = tracked.canary.record_waiting(attempt.kind, waited_ms, now_ms);
            }
        }
    }

    /// All responses of target versions that this host has observed so far.
    #[must_use]
    pub fn own_reports(&self) -> Vec<Report> {
        let tracked = self.lock();
        let open = tracked.iter().filter(|(_, tracked)| !tracked.rollout.state.is_final());
        let reports = open.map(|(service, tracked)| {
            let observations = tracked.canary.own_observations();
            Report::new(service.clone(), &tracked.rollout, observations)
        });
        reports.filter(|report| report.answers > 0).collect()
    }

    /// Takes the responses of target versions that were recorded since the last call.
    #[must_use]
    pub fn take_unreported(&self) -> Vec<Report> {
        let mut tracked = self.lock();
        let reports = tracked.iter_mut().map(|(service, tracked)| {
            let observations = tracked.canary.take_unreported();
            Report::new(service.clone(), &tracked.rollout, &observations)
        });
        reports.filter(|report| report.answers > 0).collect()
    }

    /// Merges a report that a subscriber sent since its last one; ignores an invalid one and one on
    /// another order.
    pub fn merge_from_subscriber(&self, host: &name::HostName, report: &Report) {
        self.merge(host, report, |peer, observations| peer.as_relay.merge(&observations));
    }

    /// Merges a report of all that another host has observed so far; ignores an invalid one and one
    /// on another order.
    pub fn merge_total(&self, host: &name::HostName, report: &Report) {
        self.merge(host, report, |peer, observations| {
            // Datagrams may overtake each other.
            if observations.answers.answers > peer.in_datagrams.answers.answers {
                peer.in_datagrams = observations;
            }
        });
    }

    fn merge<F>(&self, host: &name::HostName, report: &Report, update: F)
    where
        F: FnOnce(&mut PeerEvidence, canary::Observations),
    {
        let is_valid = report.bad <= report.answers
            && report.slow <= report.compared
            && report.stalled <= report.slow
            && report.routes.len() <= MAX_REPORTED_ROUTES
            && report.routes.iter().all(|(_, answers, bad)| bad <= answers)
            && report.routes.iter().all(|(_, answers, _)| *answers <= report.answers)
            && report.compared <= report.answers
            && report.timed <= report.answers
            && report.answers <= MAX_REPORTED_ANSWERS;
        let mut tracked = self.lock();
        let matching = tracked
            .get_mut(&report.service)
            .filter(|tracked| report.is_about(tracked.rollout.order));
        match matching {
            Some(tracked) if is_valid => {
                let peer = tracked.peers.entry(host.clone()).or_default();
                update(peer, report.observations());
                tracked.canary.merge_report(&peer.take_uncounted());
            }
            _ => log::info!(
                target: "toucanwall", service = report.service.as_str(),
                order = report.order_revision, answers = report.answers, bad = report.bad;
                "roll-out report ignored"
            ),
        }
    }

    /// The roll-out states that are due to be written now; `delay` returns for how long this host
    /// leaves the steps of a roll-out to other hosts.
    #[must_use]
    pub fn pending_updates<F>(&self, now: Timestamp, delay: F) -> Vec<StatusUpdate>
    where
        F: Fn(&rollout::Rollout) -> canary::StepDelay,
    {
        let tracked = self.lock();
        let open = tracked.values().filter(|tracked| !tracked.rollout.state.is_final());
        let updates = open.filter_map(|tracked| {
            let state = match tracked.canary.next_action(
                tracked.rollout.state,
                now.monotonic_ms,
                delay(&tracked.rollout),
            ) {
                canary::Action::Wait => return None,
                canary::Action::MarkStarted => rollout::State::InProgress,
                canary::Action::Complete => rollout::State::Completed,
                canary::Action::Revert => rollout::State::Reverted,
            };
            let (baseline, target) = tracked.canary.evidence();
            let evidence = format!(
                "bad responses: {} of {} from the previous version, {} of {} from the target version; \
                 slow: {} of {}, of these stalled: {}; {} with a time to compare",
                baseline.bad,
                baseline.answers,
                target.answers.bad,
                target.answers.answers,
                target.speeds.bad,
                target.speeds.answers,
                target.stalled,
                target.timed
            );
            let elapsed_ms = tracked.canary.elapsed_ms(now.monotonic_ms);
            let started_unix_ms =
                tracked.rollout.started_unix_ms.or(Some(now.unix_ms.saturating_sub(elapsed_ms)));
            let rollout = rollout::Rollout { state, started_unix_ms, ..(*tracked.rollout).clone() };
            Some(StatusUpdate { rollout, evidence })
        });
        updates.collect()
    }

    fn lock(&self) -> MutexGuard<'_, collections::BTreeMap<name::ServiceName, TrackedRollout>> {
        lock(&self.tracked)
    }
}

/// Whether the answers of a side are those of the version in use.
fn is_in_use(side: Option<canary::Side>, tracked: Option<&TrackedRollout>) -> bool {
    match (side, tracked.map(|tracked| tracked.rollout.state)) {
        (Some(canary::Side::Target), Some(state)) => state == rollout::State::Completed,
        _ => true,
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Report {
    fn new(
        service: name::ServiceName,
        rollout: &rollout::Rollout,
        observations: &canary::Observations,
    ) -> Self {
        let routes = observations.routes.iter().take(MAX_REPORTED_ROUTES);
        Self {
            service,
            order_revision: rollout.order.revision,
            order_era: rollout.order.era,
            answers: observations.answers.answers,
            bad: observations.answers.bad,
            compared: observations.speeds.answers,
            slow: observations.speeds.bad,
            timed: observations.timed,
            stalled: observations.stalled,
            routes: routes.map(|(route, count)| (*route, count.answers, count.bad)).collect(),
        }
    }

    /// Whether the report is about an order; a host of an earlier build states no era.
    fn is_about(&self, order: position::Position) -> bool {
        self.order_revision == order.revision
            && (self.order_era == order.era || self.order_era.is_unstated())
    }

    fn observations(&self) -> canary::Observations {
        canary::Observations {
            answers: sequential::Evidence { answers: self.answers, bad: self.bad },
            speeds: sequential::Evidence { answers: self.compared, bad: self.slow },
            stalled: self.stalled,
            timed: self.timed,
            routes: self
                .routes
                .iter()
                .map(|(route, answers, bad)| {
                    (*route, sequential::Evidence { answers: *answers, bad: *bad })
                })
                .collect(),
        }
    }
}

#[expect(clippy::trivially_copy_pass_by_ref, reason = "serde passes fields by reference")]
fn is_zero(number: &u64) -> bool {
    *number == 0
}

impl PeerEvidence {
    /// Takes the observations that have not been counted yet.
    fn take_uncounted(&mut self) -> canary::Observations {
        let latest = if self.as_relay.answers.answers > self.in_datagrams.answers.answers {
            &self.as_relay
        } else {
            &self.in_datagrams
        };
        let speeds = difference(latest.speeds, self.counted.speeds);
        let routes = latest.routes.iter().map(|(route, answers)| {
            let counted = self.counted.routes.get(route).copied().unwrap_or_default();
            (*route, difference(*answers, counted))
        });
        let uncounted = canary::Observations {
            answers: difference(latest.answers, self.counted.answers),
            speeds,
            stalled: latest.stalled.saturating_sub(self.counted.stalled).min(speeds.answers),
            timed: latest.timed.saturating_sub(self.counted.timed),
            routes: routes.collect(),
        };
        self.counted.merge(&uncounted);
        uncounted
    }
}

/// The evidence that was added since `earlier`. The two ways by which a host reports may differ in
/// what they have covered so far, so that there may be more bad answers than answers.
fn difference(latest: sequential::Evidence, earlier: sequential::Evidence) -> sequential::Evidence {
    let bad = latest.bad.saturating_sub(earlier.bad);
    let answers = latest.answers.saturating_sub(earlier.answers).max(bad);
    sequential::Evidence { answers, bad }
}

/// Time since a roll-out was started, in milliseconds; zero if no host has started it yet.
fn since_start_ms(rollout: &rollout::Rollout, unix_ms: u64) -> u64 {
    let since_start_ms = rollout.started_unix_ms.map_or(0, |at_ms| unix_ms.saturating_sub(at_ms));
    since_start_ms.min(rollout.duration_ms)
}
