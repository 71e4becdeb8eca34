//! A simulation of roll-outs at several hosts that report to each other.

use rand::RngExt as _;
use rand::SeedableRng as _;
use toucanwall_policy::attribution;
use toucanwall_policy::canary;
use toucanwall_routing::rollout;

/// Interval at which hosts report to each other and take the next step, in milliseconds.
const REPORT_INTERVAL_MS: u64 = 100;
/// Time before the roll-out in which hosts learn the times of the old version, in milliseconds.
const WARM_UP_MS: u64 = 6_000;
/// Maximum number of attempts of a request.
const ATTEMPTS: usize = 2;
/// Part of the requests that fail on every server.
const HOPELESS_RATE: f64 = 0.04;
/// Route whose callers wait for less time than any server takes.
const IMPATIENT_ROUTE: u64 = 2;
const IMPATIENT_DEADLINE_MS: u64 = 20;

/// A roll-out of a plain service and the traffic that it gets.
#[derive(Debug, Clone, Copy)]
pub struct Scenario {
    pub requests_per_s: u32,
    pub hosts: u64,
    pub duration_ms: u64,
    pub exposure_fraction: f64,
    pub exposure_allowance: u64,
    pub fault: Fault,
    pub traffic: Traffic,
}

/// Requests of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Traffic {
    /// Every version can answer them.
    Answerable,
    /// Some fail on every version, and on one route no version answers in time.
    Mixed,
}

/// What is wrong with the new version.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Fault {
    None,
    /// This part of the requests takes eight times as long.
    Slow(f64),
    /// This part of the requests fails.
    Errors(f64),
    /// This part of the requests of the rarer route fails.
    OneRoute(f64),
    /// This part of the requests fails from three seconds after the start.
    Late(f64),
}

#[derive(Debug, Clone, Copy)]
#[allow(dead_code, reason = "the example reads only the state")]
pub struct Outcome {
    pub state: rollout::State,
    /// Requests that the new version got until the deadline, if it was not reverted before.
    pub exposed: u32,
    pub requests: u32,
}

/// Plays a roll-out; requests and service times are drawn from the seed.
pub fn play(scenario: Scenario, seed: u64) -> Outcome {
    let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(seed);
    let mut history = canary::History::default();
    for _ in 0..u64::from(scenario.requests_per_s) * WARM_UP_MS / 1_000 / scenario.hosts {
        let route = route(scenario.traffic, &mut rng);
        history.record(route, answer(Fault::None, route, 0, &mut rng));
    }
    let mut canaries: Vec<_> = (0..scenario.hosts)
        .map(|_| {
            let plan = canary::Plan {
                duration_ms: scenario.duration_ms,
                exposure_fraction: scenario.exposure_fraction,
                exposure_allowance: scenario.exposure_allowance,
                hosts: scenario.hosts,
                rounding: rng.random(),
            };
            canary::Canary::new(plan, history.clone(), 0, 0)
        })
        .collect();
    let mut state = rollout::State::InProgress;
    let mut pending: Vec<(u64, usize, canary::Side, canary::Kind, canary::Answer)> = Vec::new();
    let (mut exposed, mut requests) = (0, 0);
    for now_ms in 0..scenario.duration_ms {
        if rng.random_bool(f64::from(scenario.requests_per_s) / 1_000.0) {
            let host = rng.random_range(0..canaries.len());
            let mut request = canary::Request {
                key: rng.random(),
                has_session: false,
                has_failed_on_target: false,
            };
            let route = route(scenario.traffic, &mut rng);
            let kind = canary::Kind { route, timing: route };
            let is_hopeless = scenario.traffic == Traffic::Mixed && rng.random_bool(HOPELESS_RATE);
            let mut attribution = attribution::Attribution::default();
            let mut ends_ms = now_ms;
            requests += 1;
            for _ in 0..ATTEMPTS {
                let side = canaries[host].side(state, request, now_ms);
                exposed += u32::from(side == canary::Side::Target);
                let fault = if side == canary::Side::Target { scenario.fault } else { Fault::None };
                let mut answer = answer(fault, route, now_ms, &mut rng);
                answer.has_failed |= is_hopeless && route != IMPATIENT_ROUTE;
                ends_ms += answer.first_byte_ms.unwrap_or(10);
                if !answer.has_failed {
                    pending.push((ends_ms, host, side, kind, answer));
                    break;
                }
                attribution.record_failure(Some(side), request.has_session);
                request.has_failed_on_target = attribution.avoids_target();
            }
            if let Some(Some(side)) = attribution.settle() {
                let failure = canary::Answer { has_failed: true, ..canary::Answer::default() };
                pending.push((ends_ms, host, side, kind, failure));
            }
        }
        pending.retain(|(ends_ms, host, side, kind, answer)| {
            if *ends_ms <= now_ms {
                canaries[*host].record_answer(*side, *kind, *answer, now_ms);
            }
            *ends_ms > now_ms
        });
        if now_ms % REPORT_INTERVAL_MS == 0 {
            let reports: Vec<_> =
                canaries.iter_mut().map(canary::Canary::take_unreported).enumerate().collect();
            for (sender, report) in reports.iter().filter(|(_, report)| report.answers.answers > 0)
            {
                let others = canaries.iter_mut().enumerate().filter(|(host, _)| host != sender);
                others.for_each(|(_, canary)| canary.merge_report(report));
            }
        }
        if state == rollout::State::InProgress && now_ms % REPORT_INTERVAL_MS == 0 {
            let actions: Vec<_> = canaries
                .iter()
                .map(|canary| canary.next_action(state, now_ms, canary::StepDelay::default()))
                .collect();
            if actions.contains(&canary::Action::Revert) {
                state = rollout::State::Reverted;
            } else if actions.contains(&canary::Action::Complete) {
                state = rollout::State::Completed;
            }
        }
    }
    Outcome { state, exposed, requests }
}

fn route<R>(traffic: Traffic, rng: &mut R) -> u64
where
    R: rand::Rng,
{
    match traffic {
        Traffic::Answerable => u64::from(rng.random_bool(0.28)),
        Traffic::Mixed => match rng.random_range(0..100) {
            0..5 => IMPATIENT_ROUTE,
            5..33 => 1,
            _ => 0,
        },
    }
}

/// An answer of a server whose usual times spread by half, and now and then five times as much.
fn answer<R>(fault: Fault, route: u64, now_ms: u64, rng: &mut R) -> canary::Answer
where
    R: rand::Rng,
{
    let usual_ms = rng.random_range(30..90) * if rng.random_bool(0.01) { 5 } else { 1 };
    let (fail_rate, slow_rate) = match fault {
        Fault::None => (0.0, 0.0),
        Fault::Slow(rate) => (0.0, rate),
        Fault::Errors(rate) => (rate, 0.0),
        Fault::OneRoute(rate) => (if route == 1 { rate } else { 0.0 }, 0.0),
        Fault::Late(rate) => (if now_ms >= 3_000 { rate } else { 0.0 }, 0.0),
    };
    if route == IMPATIENT_ROUTE {
        return canary::Answer {
            first_byte_ms: Some(IMPATIENT_DEADLINE_MS),
            has_timed_out: true,
            ..canary::Answer::default()
        };
    }
    let factor = if rng.random_bool(slow_rate) { 8 } else { 1 };
    let has_failed = rng.random_bool(fail_rate.max(0.005));
    let first_byte_ms = (!has_failed).then_some(usual_ms * factor);
    canary::Answer { has_failed, first_byte_ms, ..canary::Answer::default() }
}
