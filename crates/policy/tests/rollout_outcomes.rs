//! Outcomes of whole roll-outs at several hosts that report to each other, for versions of different
//! strength of fault.

use rand::RngExt as _;
use rand::SeedableRng as _;
use rstest::rstest;
use toucanwall_policy::canary;
use toucanwall_routing::rollout;

/// Interval at which hosts report to each other and take the next step, in milliseconds.
const REPORT_INTERVAL_MS: u64 = 100;
/// Time before the roll-out in which hosts learn the times of the old version, in milliseconds.
const WARM_UP_MS: u64 = 6_000;
const RUNS: u64 = 40;

/// A roll-out of a plain service and the traffic that it gets.
#[derive(Debug, Clone, Copy)]
struct Scenario {
    requests_per_s: u32,
    hosts: u64,
    duration_ms: u64,
    exposure_fraction: f64,
    exposure_allowance: u64,
    fault: Fault,
}

/// What is wrong with the new version.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Fault {
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
struct Outcome {
    state: rollout::State,
    /// Requests that the new version got until the deadline, if it was not reverted before.
    exposed: u32,
    requests: u32,
}

/// Plays a roll-out; requests and service times are drawn from the seed.
fn play(scenario: Scenario, seed: u64) -> Outcome {
    let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(seed);
    let mut history = canary::History::default();
    for _ in 0..u64::from(scenario.requests_per_s) * WARM_UP_MS / 1_000 / scenario.hosts {
        let answer = answer(Fault::None, route(&mut rng), 0, &mut rng);
        history.record(0, answer);
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
            let request = canary::Request { key: rng.random(), has_session: false };
            let side = canaries[host].side(state, request, now_ms);
            requests += 1;
            exposed += u32::from(side == canary::Side::Target);
            let fault = if side == canary::Side::Target { scenario.fault } else { Fault::None };
            let route = route(&mut rng);
            let answer = answer(fault, route, now_ms, &mut rng);
            let kind = canary::Kind { route, timing: 0 };
            let ends_ms = now_ms + answer.first_byte_ms.unwrap_or(10);
            pending.push((ends_ms, host, side, kind, answer));
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
            let actions: Vec<_> =
                canaries.iter().map(|canary| canary.next_action(state, now_ms, 0)).collect();
            if actions.contains(&canary::Action::Revert) {
                state = rollout::State::Reverted;
            } else if actions.contains(&canary::Action::Complete) {
                state = rollout::State::Completed;
            }
        }
    }
    Outcome { state, exposed, requests }
}

fn route<R>(rng: &mut R) -> u64
where
    R: rand::Rng,
{
    u64::from(rng.random_bool(0.28))
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
    let factor = if rng.random_bool(slow_rate) { 8 } else { 1 };
    let has_failed = rng.random_bool(fail_rate.max(0.005));
    let first_byte_ms = (!has_failed).then_some(usual_ms * factor);
    canary::Answer { has_failed, first_byte_ms, event_interval_ms: None }
}

fn scenario(requests_per_s: u32, duration_ms: u64, fault: Fault) -> Scenario {
    Scenario {
        requests_per_s,
        hosts: 6,
        duration_ms,
        exposure_fraction: 0.15,
        exposure_allowance: 30,
        fault,
    }
}

fn completed(scenario: Scenario) -> u64 {
    let outcomes = (0..RUNS).map(|seed| play(scenario, seed));
    let completed = outcomes.filter(|outcome| outcome.state == rollout::State::Completed);
    u64::try_from(completed.count()).expect("a small number")
}

/// A bad version that is completed goes on to fail requests beyond what is allowed, since the
/// servers of the old version are gone.
#[rstest]
#[case::slow(Fault::Slow(0.3))]
#[case::slow_for_half(Fault::Slow(0.5))]
#[case::errors(Fault::Errors(0.3))]
#[case::late(Fault::Late(0.5))]
fn bad_version_of_a_service_with_few_requests_is_not_completed(
    #[case] fault: Fault,
    #[values((31, 8_000), (46, 8_000), (31, 14_000))] (requests_per_s, duration_ms): (u32, u64),
) {
    let completed = completed(scenario(requests_per_s, duration_ms, fault));
    assert_eq!(completed, 0, "of {RUNS} roll-outs");
}

/// A fault of one route shows in few answers, so that more of them are needed.
#[rstest]
fn version_that_fails_one_route_is_not_completed() {
    let completed = completed(scenario(46, 24_000, Fault::OneRoute(0.5)));
    assert_eq!(completed, 0, "of {RUNS} roll-outs");
}

#[rstest]
fn good_version_is_completed(
    #[values((31, 8_000), (46, 14_000), (31, 24_000), (150, 16_000))] (requests_per_s, duration_ms): (
        u32,
        u64,
    ),
) {
    let completed = completed(scenario(requests_per_s, duration_ms, Fault::None));
    assert!(completed >= RUNS - 1, "{completed} of {RUNS} roll-outs completed");
}

/// Whatever the answers show, the new version gets no more requests than a bad one may get.
#[rstest]
fn exposure_is_bounded(
    #[values(6, 95)] hosts: u64,
    #[values(0.0975, 0.15)] exposure_fraction: f64,
    #[values(4, 31, 150)] requests_per_s: u32,
    #[values(8_000, 24_000)] duration_ms: u64,
) {
    let base = scenario(requests_per_s, duration_ms, Fault::None);
    let scenario = Scenario { hosts, exposure_fraction, ..base };
    for seed in 0..RUNS {
        let outcome = play(scenario, seed);
        let allowed = exposure_fraction * f64::from(outcome.requests) + 30.0;
        let exposed = f64::from(outcome.exposed);
        assert!(exposed <= allowed, "{exposed} of {} with seed {seed}", outcome.requests);
    }
}
