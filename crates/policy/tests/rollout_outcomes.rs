//! Outcomes of whole roll-outs at several hosts that report to each other, for versions of different
//! strength of fault.

use rstest::rstest;
use toucanwall_routing::rollout;

mod rollout_simulation;

use rollout_simulation::Fault;
use rollout_simulation::Scenario;
use rollout_simulation::Traffic;

const RUNS: u64 = 40;

fn scenario(requests_per_s: u32, duration_ms: u64, fault: Fault) -> Scenario {
    Scenario {
        requests_per_s,
        hosts: 6,
        duration_ms,
        exposure_fraction: 0.15,
        exposure_allowance: 30,
        fault,
        traffic: Traffic::Answerable,
    }
}

fn completed(scenario: Scenario) -> u64 {
    let outcomes = (0..RUNS).map(|seed| rollout_simulation::play(scenario, seed));
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

/// Requests that no version can answer must not hide a bad one.
#[rstest]
fn bad_version_is_not_completed_among_requests_that_fail_anyway(
    #[values(Fault::Slow(0.5), Fault::Errors(0.5), Fault::Late(0.5))] fault: Fault,
) {
    let scenario = Scenario { traffic: Traffic::Mixed, ..scenario(31, 14_000, fault) };
    assert_eq!(completed(scenario), 0, "of {RUNS} roll-outs");
}

/// A fault of one route shows in few answers, so that more of them are needed.
#[rstest]
fn version_that_fails_one_route_is_not_completed() {
    let completed = completed(scenario(46, 24_000, Fault::OneRoute(0.5)));
    assert_eq!(completed, 0, "of {RUNS} roll-outs");
}

#[rstest]
fn good_version_is_completed(
    #[values(Traffic::Answerable, Traffic::Mixed)] traffic: Traffic,
    #[values((31, 8_000), (46, 14_000), (31, 24_000), (150, 16_000))] (requests_per_s, duration_ms): (
        u32,
        u64,
    ),
) {
    let scenario = scenario(requests_per_s, duration_ms, Fault::None);
    let completed = completed(Scenario { traffic, ..scenario });
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
        let outcome = rollout_simulation::play(scenario, seed);
        let allowed = exposure_fraction * f64::from(outcome.requests) + 30.0;
        let exposed = f64::from(outcome.exposed);
        assert!(exposed <= allowed, "{exposed} of {} with seed {seed}", outcome.requests);
    }
}
