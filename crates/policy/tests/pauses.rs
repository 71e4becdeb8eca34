//! Pauses of servers, simulated with many hosts.

mod pause_simulation;

use pause_simulation::Rule;
use pause_simulation::Scenario;
use pause_simulation::Trouble;
use rstest::rstest;
use toucanwall_policy::admission;

/// Requests from one host that may reach a server within a pause.
const SENDS_MAX: usize = 2;

fn scenario(rule: Rule, trouble: Trouble, hosts: usize) -> Scenario {
    let (servers, requests_per_s) = if hosts > 100 { (30, 450.0) } else { (12, 180.0) };
    Scenario { rule, trouble, hosts, servers, requests_per_s, pause_ms: 2_000 }
}

#[rstest]
fn hosts_send_at_most_two_requests_within_a_pause_and_keep_the_retry_budget(
    #[values(6, 300)] hosts: usize,
    #[values(
        Trouble::Share(0.2),
        Trouble::Share(0.5),
        Trouble::Share(1.0),
        Trouble::Overload(3.0)
    )]
    trouble: Trouble,
) {
    for seed in 0..3 {
        let outcome = pause_simulation::simulate(scenario(Rule::Policy, trouble, hosts), seed);
        let sends = outcome.sends_within_pause;
        assert!(sends <= SENDS_MAX, "seed {seed}: {sends} requests within a pause");
        let excess = outcome.retries_over_budget;
        assert!(excess <= 0, "seed {seed}: {excess} retries more than allowed");
    }
}

/// Without this, the test above would pass in a simulation in which nobody asks for pauses.
#[rstest]
fn hosts_that_do_not_hear_of_pauses_send_more_requests_within_one() {
    let outcome = pause_simulation::simulate(scenario(Rule::Ignore, Trouble::Share(0.5), 6), 0);
    assert!(outcome.sends_within_pause > SENDS_MAX, "{}", outcome.sends_within_pause);
}

/// Callers come back when they are told to. Without a slow start, their requests and the new ones
/// make the servers pause again and again.
#[rstest]
#[case::all_servers(Trouble::Share(1.0), 2_000)]
#[case::overload(Trouble::Overload(3.0), 5_000)]
fn service_recovers_after_pauses_for_which_callers_wait(
    #[case] trouble: Trouble,
    #[case] trouble_ms: u64,
) {
    for seed in 0..5 {
        let outcome = pause_simulation::simulate(scenario(Rule::Policy, trouble, 6), seed);
        let back_ms = outcome.back_after_ms(trouble_ms);
        assert!(back_ms.is_some_and(|ms| ms <= 2_000), "seed {seed}: back after {back_ms:?} ms");
    }
}

#[rstest]
fn callers_of_urgent_requests_come_back_first_after_a_pause() {
    let mut sorted_by_priority = Vec::new();
    for priority in [0, 3] {
        let delays = (0..1_000).map(|it| admission::retry_after_pause_ms(4_000, priority, it));
        sorted_by_priority.push(delays.clone().sum::<u64>() / 1_000);
        assert!(delays.clone().all(|ms| (4_000..6_000).contains(&ms)), "within the pause or late");
        let different = delays.collect::<std::collections::BTreeSet<_>>().len();
        assert!(different > 500, "callers come back at {different} different times");
    }
    assert!(sorted_by_priority[0] < sorted_by_priority[1], "{sorted_by_priority:?}");
    assert_eq!(admission::retry_after_pause_ms(u64::MAX, 9, u64::MAX), u64::MAX);
}
