//! Servers of a version that may be rolled out, before the host knows whether it is.

use rstest::rstest;
use toucanwall_routing::LocalState;
use toucanwall_routing::configuration;
use toucanwall_routing::first_lists;
use toucanwall_routing::local_state;
use toucanwall_routing::position;
use toucanwall_routing::rollout;
use toucanwall_routing::server;

const WAIT_MS: u64 = 3_000;

fn at(revision: u64) -> position::Position {
    let era = position::Era::try_from("1").expect("a number");
    position::Position::new(era, revision)
}

fn server(id: &str, version: &str, created: u64) -> local_state::Registration {
    let server = server::BackendServer {
        id: id.into(),
        service: "desk".into(),
        address: "127.0.0.1:80".parse().expect("an address"),
        data_centre: "dc-1".into(),
        version: version.into(),
        slots: 8,
        readiness: server::Readiness::Ready,
        started_unix_ms: Some(1),
    };
    local_state::Registration { server, created: at(created) }
}

fn rollout(target: &str, revision: u64) -> rollout::Rollout {
    rollout::Rollout {
        service: "desk".into(),
        target: target.into(),
        duration_ms: 16_000,
        state: rollout::State::Ordered,
        order: at(revision),
        started_unix_ms: None,
    }
}

/// A host that knows a server of the version in use, and roll-outs up to revision 10.
fn state() -> LocalState {
    let mut state = LocalState::new(WAIT_MS);
    state.replace_servers(vec![server("s-1", "v1", 5)], 0);
    state.set_rollouts_position(at(10));
    state
}

fn configuration() -> configuration::Configuration {
    let limits = configuration::Limits {
        header_max_bytes: 1_024,
        body_max_bytes: 1_024,
        header_timeout_ms: 1_000,
        idle_timeout_ms: 1_000,
    };
    let raw = configuration::RawConfiguration {
        version: 1,
        routes: Vec::new(),
        services: Vec::new(),
        organisations: Vec::new(),
        limits,
    };
    configuration::Configuration::try_from(raw).expect("a valid configuration")
}

fn ready(state: &LocalState) -> Vec<String> {
    let view = state.view();
    let ready = view.ready_servers_of(&"desk".into());
    ready.iter().map(|server| server.id.as_str().to_owned()).collect()
}

/// Guards against a version that is taken for an ordinary one because the order of its roll-out is
/// heard later than its servers.
#[rstest]
fn server_of_a_new_version_waits_for_knowledge_of_rollouts() {
    let mut state = state();
    state.put_server(server("s-2", "v2", 12), 1_000);
    assert_eq!(ready(&state), ["s-1"]);
    state.set_rollouts_position(at(11));
    assert_eq!(ready(&state), ["s-1"]);
    state.set_rollouts_position(at(12));
    assert_eq!(ready(&state), ["s-1", "s-2"]);
}

#[rstest]
fn server_of_a_version_that_is_rolled_out_is_left_to_the_rollout() {
    let mut state = state();
    state.put_rollout(rollout("v2", 11));
    state.put_server(server("s-2", "v2", 12), 1_000);
    assert_eq!(ready(&state), ["s-1", "s-2"]);
}

#[rstest]
fn further_server_of_a_known_version_is_used_at_once() {
    let mut state = state();
    state.put_server(server("s-2", "v1", 12), 1_000);
    assert_eq!(ready(&state), ["s-1", "s-2"]);
}

#[rstest]
fn version_that_comes_again_after_its_last_server_waits_again() {
    let mut state = state();
    state.put_server(server("s-2", "v2", 8), 1_000);
    assert_eq!(ready(&state), ["s-1", "s-2"]);
    state.remove_server("s-2", 2_000);
    state.put_server(server("s-3", "v2", 14), 3_000);
    assert_eq!(ready(&state), ["s-1"]);
}

/// Guards against a service without servers.
#[rstest]
fn new_version_is_used_if_there_is_no_other() {
    let mut state = state();
    state.put_server(server("s-2", "v2", 12), 1_000);
    state.remove_server("s-1", 1_500);
    assert_eq!(ready(&state), ["s-2"]);
}

/// Guards against servers that are never used because a relay of an earlier build confirms nothing.
#[rstest]
fn new_version_waits_for_a_limited_time() {
    let mut state = state();
    state.put_server(server("s-2", "v2", 12), 1_000);
    assert!(state.tick(1_000 + WAIT_MS - 1).versions.is_empty());
    assert_eq!(state.tick(1_000 + WAIT_MS).versions, [("desk".into(), "v2".into())]);
    assert_eq!(ready(&state), ["s-1", "s-2"]);
}

/// Guards against a starting host that takes requests before it knows roll-outs and blocked parts,
/// and against one that never takes any because a relay does not send a kind.
#[rstest]
fn starting_host_waits_for_its_first_lists_for_a_limited_time() {
    let mut state = LocalState::new(WAIT_MS);
    assert!(state.tick(1_000 + WAIT_MS).lists.is_empty());
    state.replace_servers(Vec::new(), 0);
    state.apply_configuration(configuration());
    assert!(!state.view().is_complete());
    state.replace_rollouts(Vec::new());
    assert!(!state.view().is_complete());
    let since_ms = 10_000;
    assert!(state.tick(since_ms).lists.is_empty());
    assert!(state.tick(since_ms + WAIT_MS - 1).lists.is_empty());
    assert!(!state.view().is_complete());
    assert_eq!(state.tick(since_ms + WAIT_MS).lists, [first_lists::List::CrashReports]);
    assert!(state.view().is_complete());
    assert!(state.tick(since_ms + WAIT_MS).lists.is_empty());
}

#[rstest]
fn host_with_its_first_lists_waits_no_longer() {
    let mut state = LocalState::new(WAIT_MS);
    state.replace_servers(Vec::new(), 0);
    state.apply_configuration(configuration());
    state.record_crash_reports();
    assert!(!state.view().is_complete());
    state.replace_rollouts(Vec::new());
    assert!(state.view().is_complete());
}
