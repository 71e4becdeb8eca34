//! What a host keeps while the store, restored from a copy, lacks what was written since.

use rstest::rstest;
use toucanwall_routing::LocalState;
use toucanwall_routing::host;
use toucanwall_routing::local_state;
use toucanwall_routing::position;
use toucanwall_routing::rollout;
use toucanwall_routing::server;

const TIMES: local_state::RewriteTimes =
    local_state::RewriteTimes { hosts_ms: 3_000, server_expiry_ms: 4_800 };
const DURATION_MS: u64 = 16_000;
const VERSION_WAIT_MS: u64 = 3_000;

fn era(number: u64) -> position::Era {
    position::Era::try_from(number.to_string().as_str()).expect("a number")
}

fn server(id: &str, started_unix_ms: u64) -> local_state::Registration {
    let server = server::BackendServer {
        id: id.into(),
        service: "desk".into(),
        address: "127.0.0.1:80".parse().expect("an address"),
        data_centre: "dc-1".into(),
        version: "v1".into(),
        slots: 8,
        readiness: server::Readiness::Ready,
        started_unix_ms: Some(started_unix_ms),
    };
    local_state::Registration { server, created: position::Position::default() }
}

fn host(name: &str) -> host::HostEntry {
    let address = "127.0.0.1:80".parse().expect("an address");
    host::HostEntry {
        name: name.into(),
        run_id: 1,
        started_unix_ms: 1,
        caller_address: address,
        peer_address: address,
        data_centre: "dc-1".into(),
        region: "r".into(),
        cpu_millicores: 250,
        answers_pings: true,
        phase: host::Phase::Serving,
    }
}

fn rollout(target: &str, order: position::Position, state: rollout::State) -> rollout::Rollout {
    rollout::Rollout {
        service: "desk".into(),
        target: target.into(),
        duration_ms: DURATION_MS,
        state,
        order,
        started_unix_ms: (state != rollout::State::Ordered).then_some(7),
    }
}

fn order(era_number: u64, revision: u64) -> position::Position {
    position::Position::new(era(era_number), revision)
}

fn known_state(state: &LocalState) -> Option<(String, rollout::State)> {
    let view = state.view();
    let rollout = view.rollouts.values().next()?;
    Some((rollout.target.as_str().to_owned(), rollout.state))
}

fn ready_servers(state: &LocalState) -> Vec<String> {
    let view = state.view();
    let ready = view.ready_servers_of(&"desk".into());
    ready.iter().map(|server| server.id.as_str().to_owned()).collect()
}

/// Guards against a comparison of revisions of different eras.
#[rstest]
fn positions_of_a_later_era_follow_all_of_an_earlier_one() {
    assert!(order(2, 1) > order(1, 99));
    assert!(order(2, 3) > order(2, 2));
    assert!(order(1, 0) > position::Position::new(position::Era::default(), 99));
    position::Era::try_from("2.5").unwrap_err();
    assert_eq!(position::Era::try_from(" 12 ").map(position::Era::number), Ok(12));
}

/// Guards against servers that are dropped because a copy lacks them.
#[rstest]
fn servers_that_the_restored_store_lacks_are_kept_until_they_had_time_to_register() {
    let mut state = LocalState::new(VERSION_WAIT_MS);
    state.replace_servers(vec![server("s-1", 1), server("s-2", 1)], 0);
    state.store_restored(1_000, TIMES);
    state.replace_servers(vec![server("s-1", 1)], 1_000);
    assert_eq!(ready_servers(&state), ["s-1", "s-2"]);
    assert!(state.tick(1_000 + local_state::REREGISTRATION_GRACE_MS - 1).servers.is_empty());
    let expired = state.tick(1_000 + local_state::REREGISTRATION_GRACE_MS);
    assert_eq!(expired.servers, ["s-2".into()]);
    assert_eq!(ready_servers(&state), ["s-1"]);
}

/// Guards against servers that are used again because a copy still holds their entries.
#[rstest]
#[case::removed_by_an_event(true)]
#[case::missing_in_a_list(false)]
fn server_that_had_left_is_not_used_while_its_entry_may_be_of_the_copy(#[case] by_event: bool) {
    let mut state = LocalState::new(VERSION_WAIT_MS);
    state.replace_servers(vec![server("s-1", 1), server("s-2", 1)], 0);
    if by_event {
        assert_eq!(state.remove_server("s-1", 500), local_state::Removal::Gone);
    } else {
        state.replace_servers(vec![server("s-2", 1)], 500);
    }
    state.store_restored(1_000, TIMES);
    state.replace_servers(vec![server("s-1", 1), server("s-2", 1)], 1_000);
    assert_eq!(ready_servers(&state), ["s-2"]);
    let until_ms = 1_000 + TIMES.server_expiry_ms;
    state.tick(until_ms - 1);
    assert_eq!(ready_servers(&state), ["s-2"]);
    assert_eq!(state.tick(until_ms).departures, ["s-1".into()]);
    assert_eq!(ready_servers(&state), ["s-1", "s-2"]);
}

#[rstest]
#[case::writes_its_entry(server("s-1", 1), true)]
#[case::has_started_again(server("s-1", 2), false)]
fn server_that_is_back_is_used_at_once(
    #[case] back: local_state::Registration,
    #[case] writes: bool,
) {
    let mut state = LocalState::new(VERSION_WAIT_MS);
    state.replace_servers(vec![server("s-1", 1)], 0);
    state.remove_server("s-1", 500);
    state.store_restored(1_000, TIMES);
    if writes {
        state.replace_servers(vec![server("s-1", 1)], 1_000);
        state.put_server(back.clone(), 1_000);
        // Until it has left again, lists show it as well.
        state.replace_servers(vec![back], 1_100);
    } else {
        state.replace_servers(vec![back], 1_000);
    }
    assert_eq!(ready_servers(&state), ["s-1"]);
}

/// Without a restored store, an entry that is back shows that the server is.
#[rstest]
fn server_that_registers_again_without_a_loss_is_used_at_once() {
    let mut state = LocalState::new(VERSION_WAIT_MS);
    state.replace_servers(vec![server("s-1", 1)], 0);
    state.remove_server("s-1", 500);
    state.replace_servers(vec![server("s-1", 1)], 1_000);
    assert_eq!(ready_servers(&state), ["s-1"]);
}

/// Guards against hosts that take larger shares because a copy lacks the others.
#[rstest]
fn hosts_that_the_restored_store_lacks_are_kept_until_they_had_time_to_register() {
    let mut state = LocalState::new(VERSION_WAIT_MS);
    state.replace_hosts(vec![host("host-1"), host("host-2")], 0);
    state.store_restored(1_000, TIMES);
    state.replace_hosts(vec![host("host-1")], 1_000);
    assert_eq!(state.view().hosts.len(), 2);
    assert!(!state.is_host_stored(&"host-2".into()));
    let until_ms = 1_000 + TIMES.hosts_ms;
    assert!(state.tick(until_ms - 1).hosts.is_empty());
    assert_eq!(state.tick(until_ms).hosts, ["host-2".into()]);
    assert_eq!(state.view().hosts.len(), 1);
}

#[rstest]
fn host_that_registers_again_or_is_removed_is_not_kept_as_missing() {
    let mut state = LocalState::new(VERSION_WAIT_MS);
    state.replace_hosts(vec![host("host-1"), host("host-2"), host("host-3")], 0);
    state.store_restored(1_000, TIMES);
    state.replace_hosts(vec![host("host-1")], 1_000);
    state.put_host(host("host-2"));
    state.remove_host("host-3");
    assert!(state.is_host_stored(&"host-2".into()));
    assert!(state.tick(1_000 + TIMES.hosts_ms).hosts.is_empty());
    assert_eq!(state.view().hosts.len(), 2);
}

/// Guards against a decided roll-out that begins again.
#[rstest]
#[case::order_is_in_the_copy(order(2, 5))]
#[case::order_is_written_again(order(2, 3))]
fn decided_rollout_does_not_begin_again(
    #[case] shown_order: position::Position,
    #[values(rollout::State::Reverted, rollout::State::Completed)] decision: rollout::State,
    #[values(rollout::State::Ordered, rollout::State::InProgress)] shown: rollout::State,
) {
    let mut state = LocalState::new(VERSION_WAIT_MS);
    state.put_rollout(rollout("v2", order(1, 5), decision));
    state.store_restored(1_000, TIMES);
    state.replace_rollouts(Vec::new());
    assert_eq!(known_state(&state), Some(("v2".to_owned(), decision)));
    assert_eq!(state.unstored_rollouts().count(), 0, "there is no object to write it to");
    state.put_rollout(rollout("v2", shown_order, shown));
    assert_eq!(known_state(&state), Some(("v2".to_owned(), decision)));
    assert_eq!(state.unstored_rollouts().count(), 1);
    state.put_rollout(rollout("v2", shown_order, decision));
    assert_eq!(state.unstored_rollouts().count(), 0);
}

/// What another host has decided meanwhile is in the store and counts.
#[rstest]
fn decision_in_the_store_goes_before_a_lost_one() {
    let mut state = LocalState::new(VERSION_WAIT_MS);
    state.put_rollout(rollout("v2", order(1, 5), rollout::State::Reverted));
    state.store_restored(1_000, TIMES);
    state.put_rollout(rollout("v2", order(2, 5), rollout::State::Completed));
    assert_eq!(known_state(&state), Some(("v2".to_owned(), rollout::State::Completed)));
}

/// Guards against the order before the lost one, which the copy still holds.
#[rstest]
fn earlier_order_in_the_copy_does_not_replace_the_lost_one() {
    let mut state = LocalState::new(VERSION_WAIT_MS);
    let earlier = rollout("v2", order(1, 5), rollout::State::Completed);
    state.put_rollout(earlier);
    state.put_rollout(rollout("v3", order(1, 9), rollout::State::InProgress));
    state.store_restored(1_000, TIMES);
    state.replace_rollouts(vec![rollout("v2", order(2, 5), rollout::State::Completed)]);
    assert_eq!(known_state(&state), Some(("v3".to_owned(), rollout::State::InProgress)));
    state.put_rollout(rollout("v3", order(2, 7), rollout::State::Ordered));
    assert_eq!(known_state(&state), Some(("v3".to_owned(), rollout::State::InProgress)));
}

#[rstest]
fn other_order_begins_anew() {
    let mut state = LocalState::new(VERSION_WAIT_MS);
    state.put_rollout(rollout("v2", order(1, 5), rollout::State::Reverted));
    state.store_restored(1_000, TIMES);
    state.put_rollout(rollout("v3", order(2, 5), rollout::State::Ordered));
    assert_eq!(known_state(&state), Some(("v3".to_owned(), rollout::State::Ordered)));
    // The same version, ordered again in the same era.
    state.put_rollout(rollout("v3", order(2, 5), rollout::State::Reverted));
    state.put_rollout(rollout("v3", order(2, 8), rollout::State::Ordered));
    assert_eq!(known_state(&state), Some(("v3".to_owned(), rollout::State::Ordered)));
}

#[rstest]
fn rollout_that_is_not_ordered_again_ends_after_its_duration() {
    let mut state = LocalState::new(VERSION_WAIT_MS);
    state.put_rollout(rollout("v2", order(1, 5), rollout::State::InProgress));
    state.store_restored(1_000, TIMES);
    state.replace_rollouts(Vec::new());
    assert!(state.tick(1_000 + DURATION_MS - 1).rollouts.is_empty());
    assert_eq!(state.tick(1_000 + DURATION_MS).rollouts, ["desk".into()]);
    assert_eq!(known_state(&state), None);
}

/// The operator's decision, as opposed to a loss of the store.
#[rstest]
fn rollout_that_is_removed_is_not_kept() {
    let mut state = LocalState::new(VERSION_WAIT_MS);
    state.put_rollout(rollout("v2", order(1, 5), rollout::State::InProgress));
    state.store_restored(1_000, TIMES);
    state.remove_rollout("desk");
    assert_eq!(known_state(&state), None);
    state.put_rollout(rollout("v2", order(2, 5), rollout::State::InProgress));
    state.replace_rollouts(Vec::new());
    assert_eq!(known_state(&state), None);
}
