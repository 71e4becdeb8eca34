//! Learning the speeds of servers, and placement by them.

use std::collections;
use std::sync::Arc;

use rand::SeedableRng as _;
use rstest::rstest;
use toucanwall_policy::placement;
use toucanwall_policy::server_speed;
use toucanwall_routing::generation;
use toucanwall_routing::name;
use toucanwall_routing::server;

fn servers(count: u16) -> Vec<Arc<server::BackendServer>> {
    let server = |index| server::BackendServer {
        id: format!("s-{index}").as_str().into(),
        service: "desk".into(),
        address: ([10, 0, 0, 1], index).into(),
        data_centre: "dc-1".into(),
        version: "v1".into(),
        slots: 64,
        readiness: server::Readiness::Ready,
        started_unix_ms: None,
    };
    (0..count).map(|index| Arc::new(server(index))).collect()
}

fn stream(output_tokens: u64) -> generation::GenerationRequest {
    generation::GenerationRequest {
        prompt_tokens: 700,
        output_hint_tokens: Some(output_tokens),
        ..generation::GenerationRequest::default()
    }
}

/// How often each server is chosen for a request by hosts that know the same.
fn choices(
    placement: &placement::Placement,
    servers: &[Arc<server::BackendServer>],
    generation: &generation::GenerationRequest,
    now_ms: u64,
) -> collections::BTreeMap<u16, u32> {
    let data_centre = name::DataCentre::from("dc-1");
    let request = placement::Request {
        generation: Some(generation),
        data_centre: &data_centre,
        in_flight_max: 64,
        relative_cost_percent: 100,
    };
    let excluded = collections::BTreeSet::new();
    let mut counts = collections::BTreeMap::new();
    for seed in 0..200 {
        let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(seed);
        let choice = placement.choose(request, servers, &excluded, now_ms, &mut rng);
        if let placement::Choice::Server { server, .. } = choice {
            *counts.entry(server.address.port()).or_default() += 1;
        }
    }
    counts
}

/// Records ten streams from a time on; every second one runs while the server reads prompts.
fn learn(
    speeds: &mut server_speed::ServerSpeeds,
    server: &server::BackendServer,
    interval_ms: u64,
    from_ms: u64,
) {
    for index in 0..10 {
        let measured_ms = [interval_ms * (1 + index % 2 * 3); 16];
        speeds.record(server, &measured_ms, 100, from_ms + index * 1_000);
    }
}

/// Guards against speeds that are learned from the load of a server instead of its machine, and
/// against differences that are none.
#[rstest]
#[case::fast(20, 62)]
#[case::slightly_slow(36, 100)]
#[case::slow(53, 165)]
#[case::far_too_slow(500, 200)]
#[case::no_time(0, 50)]
fn speed_is_learned_relative_to_the_median(#[case] interval_ms: u64, #[case] expected: u32) {
    let servers = servers(5);
    let mut speeds = server_speed::ServerSpeeds::new();
    for server in &servers[1..] {
        learn(&mut speeds, server, 32, 0);
    }
    learn(&mut speeds, &servers[0], interval_ms, 10_000);
    learn(&mut speeds, &servers[1], 32, 20_000);
    let learned = speeds.work_time_percent(&servers[0]);
    assert!(learned.abs_diff(expected) <= 3, "learned {learned}, expected {expected}");
    assert_eq!(speeds.work_time_percent(&servers[2]), server_speed::USUAL_PERCENT);
}

/// Guards against single servers of an even service that are avoided after a few measurements, and
/// against a slow one that is never found.
#[rstest]
#[case::few_measurements(1, 100)]
#[case::many_measurements(3, 200)]
fn single_slow_server_is_found_after_many_measurements(#[case] rounds: u64, #[case] expected: u32) {
    let servers = servers(20);
    let mut speeds = server_speed::ServerSpeeds::new();
    for round in 0..rounds {
        learn(&mut speeds, &servers[0], 64, round * 20_000);
        for server in &servers[1..] {
            learn(&mut speeds, server, 32, round * 20_000 + 10_000);
        }
    }
    learn(&mut speeds, &servers[1], 32, rounds * 20_000);
    let learned = speeds.work_time_percent(&servers[0]);
    assert!(learned.abs_diff(expected) <= 3, "learned {learned}, expected {expected}");
}

/// Guards against a momentary disturbance that is taken for the lasting speed of the machine.
#[rstest]
fn reported_disturbance_is_no_part_of_the_learned_speed() {
    let servers = servers(5);
    let mut speeds = server_speed::ServerSpeeds::new();
    for now_ms in 0..10 {
        speeds.record(&servers[0], &[80; 16], 250, now_ms * 1_000);
    }
    for server in &servers[1..] {
        learn(&mut speeds, server, 32, 0);
    }
    learn(&mut speeds, &servers[1], 32, 10_000);
    assert_eq!(speeds.work_time_percent(&servers[0]), server_speed::USUAL_PERCENT);
}

/// Guards against a server that is left out or overrun because nothing is known of it, as after its
/// return, and against memory held for servers that are gone.
#[rstest]
fn unknown_and_forgotten_servers_have_usual_speed() {
    let servers = servers(5);
    let mut speeds = server_speed::ServerSpeeds::new();
    for server in &servers {
        learn(&mut speeds, server, 32, 0);
    }
    learn(&mut speeds, &servers[0], 5, 10_000);
    assert!(speeds.work_time_percent(&servers[0]) < 100);
    speeds.retain(|id| *id != servers[0].id);
    assert_eq!(speeds.work_time_percent(&servers[0]), server_speed::USUAL_PERCENT);
}

/// Guards against a fourth figure that is not used, or that is used when it is old: it changes many
/// times a second.
#[rstest]
#[case::fresh(100, 100)]
#[case::old(700, 200)]
fn reported_work_time_counts_while_it_is_fresh(#[case] now_ms: u64, #[case] at_first: u32) {
    let servers = servers(2);
    let mut placement = placement::Placement::new();
    placement.record_load(&servers[0].id, 4, 0, Some(250), 0);
    placement.record_load(&servers[1].id, 5, 0, Some(100), 0);
    let counts = choices(&placement, &servers, &stream(1_000), now_ms);
    let first = counts.get(&0).copied().unwrap_or(0);
    assert!(first == 0 || first == at_first && now_ms == 700, "{counts:?}");
    assert_eq!(first == 0, now_ms == 100, "{counts:?}");
}

/// Guards against long streams that go to slow servers while a fast one is free.
#[rstest]
fn long_streams_go_to_the_fast_server_first() {
    let servers = servers(2);
    let mut placement = placement::Placement::new();
    placement.record_load(&servers[0].id, 0, 0, Some(200), 0);
    // Three times the cost of the first server for a short answer.
    placement.record_load(&servers[1].id, 16, 0, Some(100), 0);
    assert_eq!(choices(&placement, &servers, &stream(1), 0).get(&1), None);
    assert_eq!(choices(&placement, &servers, &stream(500), 0).get(&0), None);
}

/// Guards against hosts that see the same and all choose the same server, and against a choice that
/// ignores how much each server can take.
#[rstest]
fn servers_of_close_cost_share_the_requests_by_free_capacity() {
    let servers = servers(3);
    let mut placement = placement::Placement::new();
    placement.record_load(&servers[0].id, 0, 0, Some(101), 0);
    placement.record_load(&servers[1].id, 1, 0, Some(100), 0);
    placement.record_load(&servers[2].id, 64, 0, Some(100), 0);
    let counts = choices(&placement, &servers, &stream(1), 0);
    let share = |index| counts.get(&index).copied().unwrap_or(0);
    assert!(share(0) > 60 && share(1) > 60 && share(2) == 0, "{counts:?}");
}

/// Guards against a changed choice where servers report three figures and do not differ in speed.
#[rstest]
#[case::without_figure(None)]
#[case::with_usual_figure(Some(100))]
fn cheapest_server_is_chosen_where_speeds_do_not_differ(#[case] percent: Option<u32>) {
    let servers = servers(3);
    let mut placement = placement::Placement::new();
    placement.record_load(&servers[0].id, 2, 0, percent, 0);
    placement.record_load(&servers[1].id, 1, 0, percent, 0);
    placement.record_load(&servers[2].id, 2, 0, percent, 0);
    let counts = choices(&placement, &servers, &stream(1_000), 0);
    assert_eq!(counts, collections::BTreeMap::from([(1, 200)]));
}

/// Guards against figures of a faulty server that overflow the cost.
#[rstest]
#[case(0)]
#[case(u32::MAX)]
fn extreme_work_times_harm_nothing(#[case] percent: u32) {
    let servers = servers(2);
    let mut placement = placement::Placement::new();
    placement.record_load(&servers[0].id, u32::MAX, u32::MAX, Some(percent), 0);
    placement.record_load(&servers[1].id, 0, 0, Some(100), 0);
    let counts = choices(&placement, &servers, &stream(u64::MAX), 0);
    assert_eq!(counts.values().sum::<u32>(), 200);
}
