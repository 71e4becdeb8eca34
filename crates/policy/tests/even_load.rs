//! Placement on servers of uneven speed, simulated.

use rstest::rstest;

mod load_simulation;

use load_simulation::Delivery;
use load_simulation::Rule;
use load_simulation::Scenario;
use load_simulation::Speeds;

fn simulate(
    rule: Rule,
    hosts: usize,
    speeds: Speeds,
    delivery: Delivery,
) -> load_simulation::Outcome {
    let scenario = Scenario { rule, hosts, speeds, delivery, report_ms: 200, load: 1.0 };
    load_simulation::simulate(scenario, 1)
}

/// Guards against slow servers that are sent as much as fast ones, so that their requests wait.
#[rstest]
fn waiting_is_a_third_shorter_where_speeds_differ(
    #[values(6, 90)] hosts: usize,
    #[values(Speeds::Uneven, Speeds::Disturbed)] speeds: Speeds,
    #[values(Delivery::Broadcast, Delivery::Responses)] delivery: Delivery,
) {
    let before = simulate(Rule::WithoutSpeed, hosts, speeds, delivery);
    let after = simulate(Rule::Policy, hosts, speeds, delivery);
    assert!(after.waiting_p99_ms * 3 <= before.waiting_p99_ms * 2, "{before:?} {after:?}");
}

/// Guards against differences that are learned where servers do not differ: with enough responses, the
/// placement is the one without speeds.
#[rstest]
fn no_speed_is_learned_where_speeds_do_not_differ() {
    let after = simulate(Rule::Policy, 6, Speeds::Equal, Delivery::Broadcast);
    assert!(after.speed_error_percent < 1.0, "{after:?}");
}
