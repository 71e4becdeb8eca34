//! Roll-outs under way, as the traffic feeds them and the control thread acts on them.

use std::collections;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use serde::Deserialize;
use serde::Serialize;
use toucanwall_policy::canary;
use toucanwall_policy::sequential_test as sequential;
use toucanwall_routing::name;
use toucanwall_routing::rollout;
use toucanwall_routing::server;

/// Most answers in one report: a host that has not reported for a whole roll-out has seen fewer.
const REPORT_MAX_ANSWERS: u64 = 100_000;

/// Roll-outs by service.
#[derive(Debug)]
pub struct Rollouts {
    exposure_fraction: f64,
    known: Mutex<collections::BTreeMap<name::ServiceName, Known>>,
}

#[derive(Debug)]
struct Known {
    rollout: Arc<rollout::Rollout>,
    canary: canary::Canary,
}

/// Something to be written about a roll-out.
#[derive(Debug, Clone)]
pub struct Due {
    /// The roll-out with the state that is to be written.
    pub rollout: rollout::Rollout,
    /// What the decision rests on.
    pub why: String,
}

/// Answers of a roll-out's target that one host has seen.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Report {
    /// The service.
    pub service: name::ServiceName,
    /// The store's revision of the roll-out's order.
    pub order_revision: u64,
    /// Answers.
    pub answers: u64,
    /// Bad ones among them.
    pub bad: u64,
}

/// One moment on both clocks.
#[derive(Debug, Clone, Copy)]
pub struct Now {
    /// Milliseconds of the steady clock.
    pub steady_ms: u64,
    /// Milliseconds since the epoch; may jump.
    pub unix_ms: u64,
}

impl Rollouts {
    /// No roll-outs; a bad version may get `exposure_fraction` of a service's requests.
    #[must_use]
    pub fn new(exposure_fraction: f64) -> Self {
        Self { exposure_fraction, known: Mutex::new(collections::BTreeMap::new()) }
    }

    /// Takes the roll-outs of a new view, which `hosts` hosts judge.
    pub fn take(
        &self,
        rollouts: &collections::BTreeMap<name::ServiceName, Arc<rollout::Rollout>>,
        hosts: u64,
        now: Now,
    ) {
        let mut known = self.lock();
        known.retain(|service, _| rollouts.contains_key(service));
        for (service, rollout) in rollouts {
            let is_same = |known: &&mut Known| {
                known.rollout.target == rollout.target
                    && known.rollout.order_revision == rollout.order_revision
            };
            if let Some(known) = known.get_mut(service).filter(is_same) {
                known.rollout = Arc::clone(rollout);
                continue;
            }
            let plan = canary::Plan {
                duration_ms: rollout.duration_ms,
                exposure_fraction: self.exposure_fraction,
                hosts,
            };
            let passed_ms = passed_ms(rollout, now.unix_ms);
            let canary = canary::Canary::new(plan, passed_ms, now.steady_ms);
            known.insert(service.clone(), Known { rollout: Arc::clone(rollout), canary });
        }
    }

    /// The servers that a request may go to, and the side that it falls to if there is a choice.
    #[must_use]
    pub fn eligible(
        &self,
        service: &name::ServiceName,
        servers: &[Arc<server::BackendServer>],
        request: canary::Request,
        now_ms: u64,
    ) -> (Vec<Arc<server::BackendServer>>, Option<canary::Side>) {
        let known = self.lock();
        let Some(known) = known.get(service) else {
            return (servers.to_vec(), None);
        };
        let (target, before): (Vec<_>, Vec<_>) =
            servers.iter().cloned().partition(|server| server.version == known.rollout.target);
        match known.canary.side(known.rollout.state, request, now_ms) {
            canary::Side::Target if !target.is_empty() => (target, Some(canary::Side::Target)),
            canary::Side::Baseline if !before.is_empty() => (before, Some(canary::Side::Baseline)),
            // A version that was found bad is not used even where nothing else is left.
            canary::Side::Baseline if known.rollout.state == rollout::State::Reverted => {
                (before, Some(canary::Side::Baseline))
            }
            canary::Side::Target => (before, Some(canary::Side::Baseline)),
            canary::Side::Baseline => (target, Some(canary::Side::Target)),
        }
    }

    /// Notes an answer of one side.
    pub fn note(
        &self,
        service: &name::ServiceName,
        side: canary::Side,
        kind: u64,
        has_failed: bool,
        first_byte_ms: Option<u64>,
        now_ms: u64,
    ) {
        if let Some(known) = self.lock().get_mut(service) {
            known.canary.record_answer(side, kind, has_failed, first_byte_ms, now_ms);
        }
    }

    /// What this host has seen of the targets since the last call.
    #[must_use]
    pub fn take_unreported(&self) -> Vec<Report> {
        let mut known = self.lock();
        let reports = known.iter_mut().map(|(service, known)| {
            let seen = known.canary.take_unreported();
            Report {
                service: service.clone(),
                order_revision: known.rollout.order_revision,
                answers: seen.answers,
                bad: seen.bad,
            }
        });
        reports.filter(|report| report.answers > 0).collect()
    }

    /// Takes what another host has seen; a report on another order is passed over.
    pub fn merge(&self, report: &Report) {
        let is_plausible = report.bad <= report.answers && report.answers <= REPORT_MAX_ANSWERS;
        let mut known = self.lock();
        let same = known
            .get_mut(&report.service)
            .filter(|known| known.rollout.order_revision == report.order_revision);
        match same {
            Some(known) if is_plausible => {
                let seen = sequential::Evidence { answers: report.answers, bad: report.bad };
                known.canary.merge_report(seen);
            }
            _ => log::info!(
                target: "toucanwall", service = report.service.as_str(),
                order = report.order_revision, answers = report.answers, bad = report.bad;
                "report on a roll-out passed over"
            ),
        }
    }

    /// What is to be written now; `delay_ms` tells how long this host leaves the steps of a
    /// roll-out to the others.
    #[must_use]
    pub fn due<F>(&self, now: Now, delay_ms: F) -> Vec<Due>
    where
        F: Fn(&rollout::Rollout) -> u64,
    {
        let known = self.lock();
        let due = known.values().filter_map(|known| {
            let state = match known.canary.next_action(
                known.rollout.state,
                now.steady_ms,
                delay_ms(&known.rollout),
            ) {
                canary::Action::Wait => return None,
                canary::Action::MarkStarted => rollout::State::InProgress,
                canary::Action::Complete => rollout::State::Completed,
                canary::Action::Revert => rollout::State::Reverted,
            };
            let (before, target) = known.canary.evidence();
            let why = format!(
                "bad answers: {} of {} before, {} of {} at the target",
                before.bad, before.answers, target.bad, target.answers
            );
            let elapsed_ms = known.canary.elapsed_ms(now.steady_ms);
            let started_unix_ms =
                known.rollout.started_unix_ms.or(Some(now.unix_ms.saturating_sub(elapsed_ms)));
            let rollout = rollout::Rollout { state, started_unix_ms, ..(*known.rollout).clone() };
            Some(Due { rollout, why })
        });
        due.collect()
    }

    fn lock(&self) -> MutexGuard<'_, collections::BTreeMap<name::ServiceName, Known>> {
        self.known.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Time since a roll-out's order, in milliseconds, where another host has taken it up already.
fn passed_ms(rollout: &rollout::Rollout, unix_ms: u64) -> u64 {
    let passed_ms = rollout.started_unix_ms.map_or(0, |at_ms| unix_ms.saturating_sub(at_ms));
    passed_ms.min(rollout.duration_ms)
}
