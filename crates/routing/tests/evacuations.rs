//! Servers of a data centre that operators evacuate get no requests until they take that back.

use std::collections;

use rstest::rstest;
use toucanwall_routing::LocalState;
use toucanwall_routing::first_lists;
use toucanwall_routing::local_state;
use toucanwall_routing::name;
use toucanwall_routing::position;
use toucanwall_routing::server;

const TIMES: local_state::RewriteTimes =
    local_state::RewriteTimes { hosts_ms: 3_000, server_expiry_ms: 4_800 };
const WAIT_MS: u64 = 3_000;

fn registration(id: &str, data_centre: &str) -> local_state::Registration {
    let server = server::BackendServer {
        id: id.into(),
        service: "desk".into(),
        address: "127.0.0.1:80".parse().expect("an address"),
        data_centre: data_centre.into(),
        version: "v1".into(),
        slots: 8,
        readiness: server::Readiness::Ready,
        started_unix_ms: Some(1),
    };
    local_state::Registration { server, created: position::Position::default() }
}

fn state() -> LocalState {
    let mut state = LocalState::new(WAIT_MS).await_evacuations();
    state.replace_servers(vec![registration("s-1", "dc-1"), registration("s-2", "dc-2")], 0);
    state.replace_rollouts(Vec::new());
    state
}

fn ready_servers(state: &LocalState) -> Vec<String> {
    let view = state.view();
    let ready = view.ready_servers_of(&"desk".into());
    ready.iter().map(|server| server.id.as_str().to_owned()).collect()
}

fn evacuated(names: &[&str]) -> collections::BTreeSet<name::DataCentre> {
    names.iter().map(|name| name::DataCentre::from(*name)).collect()
}

/// Guards against requests that reach servers of an evacuated data centre, also those that were
/// chosen before or register later, and against servers that stay unused afterwards.
#[rstest]
fn servers_of_an_evacuated_data_centre_are_not_used_until_that_is_taken_back() {
    let mut state = state();
    assert!(state.put_evacuation("dc-1".into()));
    assert!(!state.put_evacuation("dc-1".into()), "no news");
    state.put_server(registration("s-3", "dc-1"), 0);
    assert_eq!(ready_servers(&state), ["s-2"]);
    let view = state.view();
    assert_eq!(view.all_servers["s-1"].readiness, server::Readiness::Draining);
    assert!(state.remove_evacuation(&name::DataCentre::from("dc-1")));
    assert!(!state.remove_evacuation(&name::DataCentre::from("dc-1")), "no news");
    assert_eq!(ready_servers(&state), ["s-1", "s-2", "s-3"]);
}

/// Guards against an evacuation that is over and was taken back while the host was away.
#[rstest]
fn list_of_evacuations_replaces_what_the_host_knew() {
    let mut state = state();
    state.put_evacuation("dc-1".into());
    state.replace_evacuations(evacuated(&["dc-2"]), 0);
    assert_eq!(ready_servers(&state), ["s-1"]);
}

/// Guards against requests that reach evacuated servers after the store was restored from a copy.
#[rstest]
fn evacuation_that_a_restored_store_lacks_is_kept_until_it_can_be_written_again() {
    let mut state = state();
    state.put_evacuation("dc-1".into());
    state.store_restored(0, TIMES);
    state.replace_evacuations(evacuated(&[]), 100);
    assert_eq!(ready_servers(&state), ["s-2"]);
    state.tick(TIMES.hosts_ms - 1);
    assert_eq!(ready_servers(&state), ["s-2"]);
    assert_eq!(state.tick(TIMES.hosts_ms).evacuations, [name::DataCentre::from("dc-1")]);
    assert_eq!(ready_servers(&state), ["s-1", "s-2"]);
}

/// Guards against a starting host that sends requests to servers that are evacuated.
#[rstest]
fn starting_host_waits_for_the_list_of_evacuations_for_a_limited_time() {
    let mut state = state();
    state.record_crash_reports();
    assert!(!state.view().has_lists);
    state.replace_evacuations(evacuated(&["dc-1"]), 0);
    assert!(state.view().has_lists);

    let mut lists = first_lists::FirstLists::default();
    lists.await_list(first_lists::List::Evacuations);
    lists.record(first_lists::List::Rollouts);
    lists.record(first_lists::List::CrashReports);
    assert!(lists.tick(10, WAIT_MS).is_empty());
    assert_eq!(lists.tick(10 + WAIT_MS, WAIT_MS), [first_lists::List::Evacuations]);
    assert!(lists.are_complete());
}
