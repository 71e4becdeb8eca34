//! Selection of relays, and when a subscriber leaves its relay.

use std::collections;
use std::sync::Arc;

use rstest::rstest;
use toucanwall_policy::relay;
use toucanwall_routing::host;

fn host_entry(number: usize, data_centre: &str, cpu_millicores: u64) -> Arc<host::HostEntry> {
    Arc::new(host::HostEntry {
        name: format!("host-{number}").into(),
        run_id: 1,
        started_unix_ms: 0,
        caller_address: ([127, 0, 0, 1], 1).into(),
        peer_address: ([127, 0, 0, 1], 2).into(),
        data_centre: data_centre.into(),
        region: "region".into(),
        cpu_millicores,
        answers_pings: false,
        phase: host::Phase::Serving,
    })
}

/// The relays among the hosts, and the relays that each subscriber tries, in order.
fn assign_roles(
    hosts: &[Arc<host::HostEntry>],
) -> (Vec<Arc<host::HostEntry>>, Vec<Vec<Arc<host::HostEntry>>>) {
    let (mut relays, mut candidate_lists) = (Vec::new(), Vec::new());
    for host in hosts {
        match relay::role(hosts, host) {
            relay::Role::Relay => relays.push(Arc::clone(host)),
            relay::Role::Subscriber(candidates) => candidate_lists.push(candidates),
        }
    }
    (relays, candidate_lists)
}

#[rstest]
#[case::one_host(1, 1)]
#[case::two_hosts(2, 2)]
#[case::three_hosts(3, 2)]
#[case::large_data_centre(75, 5)]
fn each_data_centre_has_few_relays(#[case] host_count: usize, #[case] relay_count: usize) {
    let hosts: Vec<_> = (0..host_count).map(|number| host_entry(number, "dc-1", 250)).collect();
    let remote_hosts = [host_entry(1_000, "dc-2", 250), host_entry(1_001, "dc-2", 250)];
    let all_hosts: Vec<_> = hosts.iter().chain(&remote_hosts).cloned().collect();
    let (relays, candidate_lists) = assign_roles(&all_hosts);
    assert_eq!(
        relays.iter().filter(|host| host.data_centre.as_str() == "dc-1").count(),
        relay_count
    );
    let relay_names: collections::BTreeSet<_> = relays.iter().map(|host| &host.name).collect();
    let mut first_choices: collections::BTreeMap<_, usize> = collections::BTreeMap::new();
    for candidates in &candidate_lists {
        assert!(candidates.iter().all(|host| host.data_centre.as_str() == "dc-1"));
        assert!(candidates[..relay_count].iter().all(|host| relay_names.contains(&host.name)));
        *first_choices.entry(&candidates[0].name).or_default() += 1;
    }
    // No relay has more than twice its even share of the subscribers.
    let even_share = candidate_lists.len().div_ceil(relay_count);
    assert!(first_choices.values().all(|count| *count <= 2 * even_share), "{first_choices:?}");
}

#[rstest]
fn hosts_with_more_cpu_time_become_relays() {
    let hosts: Vec<_> = (0..20)
        .map(|number| host_entry(number, "dc-1", if number < 17 { 120 } else { 500 }))
        .collect();
    let (relays, _) = assign_roles(&hosts);
    assert_eq!(relays.len(), 2);
    assert!(relays.iter().all(|host| host.cpu_millicores == 500));
}

#[rstest]
fn no_two_hosts_subscribe_to_each_other() {
    let hosts: Vec<_> = (0..40).map(|number| host_entry(number, "dc-1", 250)).collect();
    let candidate_lists: collections::BTreeMap<_, _> = hosts
        .iter()
        .filter_map(|host| match relay::role(&hosts, host) {
            relay::Role::Relay => None,
            relay::Role::Subscriber(candidates) => Some((&host.name, candidates)),
        })
        .collect();
    for (name, relays) in &candidate_lists {
        for relay in relays {
            let upstream = candidate_lists.get(&relay.name);
            assert!(
                upstream.is_none_or(|upstream| upstream.iter().all(|host| host.name != **name))
            );
        }
    }
}

#[rstest]
fn relay_that_sends_heartbeats_is_kept() {
    let mut health = relay::RelayHealth::new(0);
    for now_ms in (0..10_000).step_by(250) {
        health.record_heartbeat(400, true, now_ms);
        assert_eq!(health.next_action(now_ms + 249), relay::Action::Continue, "at {now_ms}");
    }
}

/// Time until a host leaves its relay, if its probes of the store take 10 ms.
///
/// `heartbeat` returns the heartbeat that arrives at a given time, if any: the age of the store's
/// last answer to the relay, and whether the relay considers the store available.
fn time_to_leave_ms<F>(store_answers: bool, heartbeat: F) -> Option<u64>
where
    F: Fn(u64) -> Option<(u64, bool)>,
{
    let mut health = relay::RelayHealth::new(0);
    health.record_heartbeat(0, true, 0);
    let mut now_ms = 0;
    while now_ms < 5_000 {
        if let Some((store_age_ms, has_store)) = heartbeat(now_ms) {
            health.record_heartbeat(store_age_ms, has_store, now_ms);
        }
        let leaves = match health.next_action(now_ms) {
            relay::Action::Continue => false,
            relay::Action::ProbeStore => {
                health.record_probe(store_answers, now_ms + 10) == relay::Verdict::Leave
            }
            relay::Action::Leave => true,
        };
        if leaves {
            return Some(now_ms + 10);
        }
        now_ms += 50;
    }
    None
}

#[rstest]
#[case::silent(|_| None)]
#[case::store_loss_unnoticed(|now_ms| Some((now_ms, true)))]
#[case::store_loss_reported(|_| Some((0, false)))]
fn degraded_relay_is_left_while_the_store_answers(
    #[case] heartbeat: fn(u64) -> Option<(u64, bool)>,
) {
    // The shortest deadline for changes is two seconds; the rest is for trying another relay and
    // the store.
    let leave_ms = time_to_leave_ms(true, heartbeat).expect("the host leaves its relay");
    assert!(leave_ms <= 1_400, "{leave_ms}");
}

#[rstest]
#[case::silent(|_| None)]
#[case::store_loss_reported(|_| Some((0, false)))]
fn relay_is_kept_while_the_store_answers_nobody(#[case] heartbeat: fn(u64) -> Option<(u64, bool)>) {
    assert_eq!(time_to_leave_ms(false, heartbeat), None);
}

/// A host that leaves a relay may find that the next one has lost the store at the same time. It
/// must leave that one sooner, so that the two together do not take twice the time.
#[rstest]
#[case::store_loss_unnoticed(true)]
#[case::store_loss_reported(false)]
fn new_relay_without_proof_of_store_access_is_left_early(#[case] has_store: bool) {
    let mut health = relay::RelayHealth::new(60_000);
    health.record_heartbeat(1_000, has_store, 60_000);
    health.record_heartbeat(1_250, has_store, 60_250);
    assert_eq!(health.next_action(60_400), relay::Action::ProbeStore);
    assert_eq!(health.record_probe(true, 60_410), relay::Verdict::Leave);
}

/// A probe result stays valid for some time: if the relay degrades just after a probe, the host
/// leaves it without another one.
#[rstest]
fn recent_probe_result_is_reused() {
    let mut health = relay::RelayHealth::new(60_000);
    health.record_heartbeat(1_200, false, 60_200);
    assert_eq!(health.next_action(60_250), relay::Action::ProbeStore);
    assert_eq!(health.record_probe(true, 60_260), relay::Verdict::Keep);
    assert_eq!(health.next_action(60_350), relay::Action::Leave);
}

#[rstest]
fn host_without_relay_and_store_is_isolated() {
    let mut health = relay::RelayHealth::new(0);
    assert_eq!(health.next_action(2_000), relay::Action::ProbeStore);
    assert_eq!(health.record_probe(false, 2_000), relay::Verdict::Isolated);
}

#[rstest]
fn slow_store_does_not_make_a_host_leave_its_relay() {
    // Answers take 240 ms: the relay probes the store every 640 ms, and its heartbeats lag by up to
    // 250 ms.
    let leave_ms = time_to_leave_ms(true, |now_ms| Some((240 + now_ms % 640, true)));
    assert_eq!(leave_ms, None);
}

#[rstest]
fn host_is_isolated_once_the_store_answers_neither_it_nor_its_relay() {
    let mut health = relay::RelayHealth::new(0);
    health.record_heartbeat(0, true, 0);
    health.record_heartbeat(400, false, 1_000);
    assert_eq!(health.next_action(1_000), relay::Action::ProbeStore);
    assert_eq!(health.record_probe(true, 1_010), relay::Verdict::Keep);
    assert_eq!(health.record_probe(false, 1_410), relay::Verdict::Isolated);
}

/// Hosts and their relay do not notice the store's return at the same moment. If the hosts that are
/// first left the relay, all of them would list everything at once.
#[rstest]
fn relay_that_notices_the_return_of_the_store_later_is_kept() {
    let mut health = relay::RelayHealth::new(0);
    health.record_heartbeat(0, true, 0);
    for now_ms in (1_000..4_000).step_by(450) {
        health.record_heartbeat(now_ms, false, now_ms);
        assert_eq!(health.next_action(now_ms), relay::Action::ProbeStore);
        assert_eq!(health.record_probe(false, now_ms + 10), relay::Verdict::Isolated);
    }
    health.record_heartbeat(4_000, false, 4_200);
    assert_eq!(health.record_probe(true, 4_210), relay::Verdict::Keep);
    health.record_heartbeat(4_500, false, 4_500);
    assert_eq!(health.next_action(4_600), relay::Action::Continue);
    health.record_heartbeat(50, true, 4_750);
    assert_eq!(health.next_action(5_000), relay::Action::Continue);
}

#[rstest]
fn relay_that_does_not_notice_the_return_of_the_store_is_left() {
    let mut health = relay::RelayHealth::new(0);
    health.record_heartbeat(0, true, 0);
    health.record_heartbeat(400, false, 1_000);
    assert_eq!(health.record_probe(false, 1_010), relay::Verdict::Isolated);
    health.record_heartbeat(800, false, 1_400);
    assert_eq!(health.record_probe(true, 1_410), relay::Verdict::Keep);
    health.record_heartbeat(1_400, false, 2_000);
    assert_eq!(health.record_probe(true, 2_020), relay::Verdict::Leave);
}
