//! Requests to cold servers.

mod cold_simulation;

use std::net;

use cold_simulation::Demand;
use cold_simulation::Fault;
use cold_simulation::Scenario;
use rstest::rstest;
use toucanwall_policy::cold_starts;
use toucanwall_policy::cold_starts::Availability;
use toucanwall_policy::cold_starts::Change;
use toucanwall_routing::name;
use toucanwall_routing::position;
use toucanwall_routing::server;

const SEEDS: u64 = 3;
const START_MS: u64 = 20_000;
const SETTLING_MS: u64 = 3_000;
/// When a host that joined at 0 sends its whole share, in milliseconds.
const SETTLED_MS: u64 = 10_000;

fn server_run(started_unix_ms: u64) -> server::BackendServer {
    server::BackendServer {
        id: name::ServerId::from("server"),
        service: name::ServiceName::from("service"),
        address: net::SocketAddr::from(([127, 0, 0, 1], 9)),
        data_centre: name::DataCentre::from("dc"),
        version: name::Version::from("v1"),
        slots: 8,
        readiness: server::Readiness::Ready,
        started_unix_ms: Some(started_unix_ms),
    }
}

fn revision(revision: u64) -> position::Position {
    position::Position::new(position::Era::default(), revision)
}

fn host_names(count: usize) -> Vec<name::HostName> {
    (0..count).map(|number| name::HostName::from(format!("host-{number}").as_str())).collect()
}

fn limit() -> cold_starts::Limit {
    cold_starts::Limit::new(START_MS, 22.0, 1.5, 5.0).expect("a limit")
}

/// The state of each of several hosts that have known each other since 0.
fn hosts(count: usize) -> Vec<cold_starts::ColdStarts> {
    let names = host_names(count);
    let state_of = |name: &name::HostName| {
        let mut state = cold_starts::ColdStarts::new(name.clone(), SETTLING_MS);
        state.set_limits([(name::ServiceName::from("service"), limit())].into());
        state.set_hosts(names.clone(), false, 0);
        state
    };
    names.iter().map(state_of).collect()
}

fn single_host() -> cold_starts::ColdStarts {
    hosts(1).remove(0)
}

/// Requests that a host can send in a span if it always has some.
fn sends(state: &mut cold_starts::ColdStarts, span: std::ops::Range<u64>) -> usize {
    span.filter(|now_ms| state.take(&server_run(1), *now_ms)).count()
}

fn is_open(state: &cold_starts::ColdStarts, started_unix_ms: u64, now_ms: u64) -> bool {
    state.availability(&server_run(started_unix_ms), now_ms) == Availability::Open
}

/// Guards against limits where the configuration asks for none.
#[rstest]
fn service_without_limit_is_open() {
    let mut state = single_host();
    state.set_limits(std::collections::BTreeMap::new());
    assert!(state.is_off());
    state.record_entry(&server_run(1), revision(1), Some(5_000), 0);
    assert!(is_open(&state, 1, 10));
    assert_eq!(sends(&mut state, 0..100), 100);
    for (start_ms, per_s) in [(0, 22.0), (1, 0.0), (1, -1.0), (1, f64::NAN), (1, f64::INFINITY)] {
        assert_eq!(cold_starts::Limit::new(start_ms, per_s, 1.5, 5.0), None, "{start_ms} {per_s}");
    }
}

/// Guards against a burst to a server that the host knows nothing of.
#[rstest]
fn run_that_is_new_to_the_host_is_cold_for_its_start_time() {
    let mut state = single_host();
    assert!(!is_open(&state, 1, 0));
    assert_eq!(state.record_entry(&server_run(1), revision(1), None, 100), Change::Cold);
    assert!(!is_open(&state, 1, 100 + START_MS - 1));
    assert!(is_open(&state, 1, 100 + START_MS));
    // An entry without the figure says nothing new.
    state.record_entry(&server_run(1), revision(2), None, 100 + START_MS);
    assert!(is_open(&state, 1, 100 + START_MS));
    // Neither does a later start, if the wall clock has jumped back.
    for (started_unix_ms, heard_ms) in [(9, 50_000), (3, 90_000)] {
        let server = server_run(started_unix_ms);
        assert_eq!(state.record_entry(&server, revision(heard_ms), None, heard_ms), Change::Cold);
        assert!(!is_open(&state, started_unix_ms, heard_ms + START_MS - 1));
        assert!(is_open(&state, started_unix_ms, heard_ms + START_MS));
    }
}

/// Guards against cold limits for servers that have been warm since before the host started.
#[rstest]
fn entry_without_remaining_time_is_warm() {
    let mut state = single_host();
    assert_eq!(state.record_entry(&server_run(1), revision(1), Some(0), 5), Change::Unchanged);
    assert!(is_open(&state, 1, 5));
}

/// Guards against an end of the cold time at another time than the server states.
#[rstest]
fn entry_states_the_remaining_time() {
    let mut state = single_host();
    state.record_entry(&server_run(1), revision(1), Some(700), 0);
    assert!(!is_open(&state, 1, 699));
    assert!(is_open(&state, 1, 700));
    assert_eq!(state.record_entry(&server_run(1), revision(2), Some(900), 1_000), Change::Cold);
    assert!(!is_open(&state, 1, 1_899));
    assert_eq!(state.record_entry(&server_run(1), revision(3), Some(0), 1_200), Change::Warm);
    assert!(is_open(&state, 1, 1_200));
    // A figure without an end is not added beyond the end of time.
    state.record_entry(&server_run(1), revision(4), Some(u64::MAX), 1_300);
    assert!(!is_open(&state, 1, 1_400));
}

/// Guards against a list that repeats a known entry, of which the time has passed.
#[rstest]
fn known_entry_says_nothing_new() {
    let mut state = single_host();
    state.record_entry(&server_run(1), revision(5), Some(700), 0);
    for known in [5, 4] {
        let change = state.record_entry(&server_run(1), revision(known), Some(700), 800);
        assert_eq!(change, Change::Unchanged);
    }
    assert!(is_open(&state, 1, 800));
}

/// Guards against a burst when a warm server becomes cold again before its entry shows it.
#[rstest]
fn response_states_the_remaining_time() {
    let mut state = single_host();
    state.record_entry(&server_run(1), revision(1), Some(0), 0);
    assert_eq!(state.record_response(&server_run(1), 800, 1_000), Change::Cold);
    assert!(!is_open(&state, 1, 1_799));
    // The entry may have been written before.
    state.record_entry(&server_run(1), revision(2), Some(0), 1_100);
    assert!(!is_open(&state, 1, 1_799));
    assert!(is_open(&state, 1, 1_800));
    state.record_entry(&server_run(1), revision(3), Some(5_000), 2_000);
    assert_eq!(state.record_response(&server_run(1), 0, 2_100), Change::Warm);
    assert!(is_open(&state, 1, 2_100));
}

/// Guards against a late response of an ended run that opens the next one.
#[rstest]
fn response_of_another_run_is_ignored() {
    let mut state = single_host();
    state.record_entry(&server_run(1), revision(1), Some(0), 0);
    state.record_entry(&server_run(2), revision(2), None, 100);
    assert_eq!(state.record_response(&server_run(1), 0, 200), Change::Unchanged);
    assert!(!is_open(&state, 2, 200));
}

/// Guards against a burst at the end of an evacuation, if hosts hear of it before the entry shows that
/// the server is cold.
#[rstest]
fn returning_server_is_cold() {
    let mut state = single_host();
    state.record_entry(&server_run(1), revision(1), Some(0), 0);
    assert_eq!(state.record_return(&server_run(1), 500), Change::Cold);
    assert!(!is_open(&state, 1, 500 + START_MS - 1));
    state.record_entry(&server_run(1), revision(2), Some(100), 600);
    assert!(is_open(&state, 1, 700));
}

/// Guards against requests of hosts that others do not know of yet.
#[rstest]
fn host_that_has_just_registered_sends_nothing() {
    let mut state = single_host();
    state.record_entry(&server_run(1), revision(1), None, 0);
    assert_eq!(sends(&mut state, 0..SETTLING_MS), 0);
    assert!(sends(&mut state, SETTLING_MS..SETTLING_MS + 1_000) > 0);
    // Its entry is removed, and written again.
    state.set_hosts([name::HostName::from("other")], false, 5_000);
    assert_eq!(sends(&mut state, 5_000..6_000), 0);
    state.set_hosts(host_names(1), false, 6_000);
    assert_eq!(sends(&mut state, 6_000..6_000 + SETTLING_MS), 0);
}

/// Guards against whole shares while hosts may have two views.
#[rstest]
fn host_sends_58_percent_of_its_share_while_views_may_differ() {
    let mut state = single_host();
    state.record_entry(&server_run(1), revision(1), None, SETTLED_MS);
    assert_eq!(sends(&mut state, SETTLED_MS..SETTLED_MS + 1_100), 24);
    state.set_hosts(host_names(1), true, 12_000);
    assert_eq!(sends(&mut state, 12_050..13_150), 13);
    // Changes that it has missed may still be on their way.
    state.set_hosts(host_names(1), false, 14_000);
    assert_eq!(sends(&mut state, 14_050..15_150), 13);
    let settled_ms = 14_000 + SETTLING_MS + cold_starts::WINDOW_MS;
    assert_eq!(sends(&mut state, settled_ms + 50..settled_ms + 1_150), 24);
}

/// Guards against shares that rise while hosts are removed one after the other and all go on, each with
/// the share of its last view.
#[rstest]
fn share_does_not_rise_when_hosts_are_lost() {
    let mut states = hosts(6);
    let state = &mut states[0];
    state.record_entry(&server_run(1), revision(1), None, SETTLED_MS);
    assert_eq!(sends(state, 12_000..13_100), 4);
    for (lost, now_ms) in (1..6).zip([14_000, 15_000, 16_000, 17_000, 18_000]) {
        state.set_hosts(host_names(6 - lost), false, now_ms);
    }
    assert_eq!(sends(state, 22_500..23_600), 4);
    state.record_entry(&server_run(1), revision(2), Some(START_MS), 80_000);
    assert_eq!(sends(state, 80_000..81_100), 24);
}

/// Guards against a burst after a time without requests.
#[rstest]
fn unused_share_is_not_saved_up() {
    let mut state = single_host();
    state.record_entry(&server_run(1), revision(1), None, SETTLED_MS);
    assert!(state.take(&server_run(1), 15_000));
    assert!(!state.take(&server_run(1), 15_001));
    assert_eq!(state.availability(&server_run(1), 15_001), Availability::Cold { may_send: false });
}

/// Guards against a lost share if a kept connection turns out to be closed.
#[rstest]
fn request_that_was_not_written_does_not_count() {
    let mut state = single_host();
    state.record_entry(&server_run(1), revision(1), None, SETTLED_MS);
    let server = server_run(1);
    assert!(state.take(&server, SETTLED_MS));
    state.give_back(&server.id, SETTLED_MS);
    assert!(state.take(&server, SETTLED_MS + 1));
    state.give_back(&server.id, SETTLED_MS);
    assert!(!state.take(&server, SETTLED_MS + 2));
}

/// Guards against hosts that disagree on the senders, and against more senders than the limit can be
/// divided among.
#[rstest]
#[case(1, 1)]
#[case(4, 4)]
#[case(6, 6)]
#[case(90, 12)]
#[case(300, 12)]
fn hosts_agree_on_the_senders(#[case] count: usize, #[case] senders: usize) {
    let mut states = hosts(count);
    for state in &mut states {
        state.record_entry(&server_run(1), revision(1), None, SETTLED_MS);
    }
    assert_eq!(
        states.iter().filter(|state| state.is_sender(&server_run(1), SETTLED_MS)).count(),
        senders
    );
}

/// Guards against shares of which the sum, over the senders of two views, exceeds the bound, against
/// shares of less than one request, and against limits that cannot be used.
#[rstest]
fn shares_of_two_views_keep_the_bound() {
    for per_s in 1..=200_u32 {
        for overshoot in [1.0, 1.5, 2.0] {
            for tolerance in [0.0, 1.0, 5.0, 20.0] {
                let limit = cold_starts::Limit::new(1, f64::from(per_s), overshoot, tolerance)
                    .expect("a limit");
                for hosts in [1, 2, 3, 5, 6, 90, 300] {
                    let share = limit.share(hosts);
                    let senders = u64::try_from(share.senders).expect("a small number");
                    let both = senders * (share.settled + share.unsettled);
                    assert!(both <= limit.bound(), "{per_s} {overshoot} {tolerance} {share:?}");
                    assert!(share.senders <= hosts);
                    assert!(share.total() > 0 || limit.bound() < 1, "{per_s} {share:?}");
                    assert!(share.unsettled > 0 || limit.bound() < 2, "{per_s} {share:?}");
                }
            }
        }
    }
    assert_eq!(limit().share(90).total(), 24);
    // 7 a second: the two requests that a sender needs at least leave room for fewer senders.
    assert!(cold_starts::Limit::new(1, 4.0, 1.5, 1.0).expect("a limit").share(90).senders <= 2);
}

/// Guards against callers that all come back at once, and less urgent ones before others.
#[rstest]
fn callers_come_back_by_priority() {
    for random in [0, 1, 199, 7_777, u64::MAX] {
        assert!((200..400).contains(&cold_starts::retry_after_ms(0, random)));
        assert!((800..1_600).contains(&cold_starts::retry_after_ms(9, random)));
    }
}

/// Guards against servers that are forgotten while lists may still show them.
#[rstest]
fn server_is_remembered_for_a_while() {
    let mut state = single_host();
    state.record_entry(&server_run(1), revision(1), Some(0), 0);
    state.retain_known(|_| false, 599_999);
    assert!(is_open(&state, 1, 599_999));
    state.retain_known(|_| false, 600_000);
    assert!(!is_open(&state, 1, 600_000));
}

/// Guards against more requests than a cold server bears in any second, whatever happens to the hosts.
#[rstest]
fn no_second_exceeds_the_bound(
    #[values(6, 90, 300)] hosts: usize,
    #[values(
        Fault::None,
        Fault::StartTogether,
        Fault::Kills,
        Fault::CutOff,
        Fault::Partition,
        Fault::StoreLost,
        Fault::Starts,
        Fault::NewRuns,
        Fault::All
    )]
    fault: Fault,
    #[values(Demand::Endless, Demand::High)] demand: Demand,
) {
    for seed in 0..SEEDS {
        let scenario = Scenario { hosts, servers: 12, fault, demand };
        let outcome = cold_simulation::simulate(scenario, seed);
        println!("{scenario:?} {seed} {outcome:?}");
        assert!(outcome.worst_window <= cold_simulation::BOUND, "{scenario:?} {seed} {outcome:?}");
    }
}

/// Guards against a limit that is kept by sending little. Each host of six is a sender of each server,
/// so that there only deployments without lost hosts can use the rate.
#[rstest]
#[case(6, Fault::None)]
#[case(6, Fault::StartTogether)]
#[case(6, Fault::NewRuns)]
#[case(90, Fault::None)]
#[case(90, Fault::StartTogether)]
#[case(90, Fault::NewRuns)]
#[case(90, Fault::Kills)]
#[case(90, Fault::CutOff)]
#[case(300, Fault::None)]
#[case(300, Fault::StartTogether)]
#[case(300, Fault::NewRuns)]
#[case(300, Fault::Kills)]
#[case(300, Fault::CutOff)]
fn at_least_80_percent_of_the_rate_is_used(#[case] hosts: usize, #[case] fault: Fault) {
    for seed in 0..SEEDS {
        let scenario = Scenario { hosts, servers: 60, fault, demand: Demand::High };
        let outcome = cold_simulation::simulate(scenario, seed);
        println!("{scenario:?} {seed} {outcome:?}");
        assert!(outcome.used >= 0.8, "{scenario:?} {seed} {outcome:?}");
    }
}
