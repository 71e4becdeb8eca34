//! Which hosts watch the store, and when a relay is left.

use std::collections;
use std::sync::Arc;

use rstest::rstest;
use toucanwall_policy::relay;
use toucanwall_routing::host;

fn entry(number: usize, data_centre: &str, cpu_millicores: u64) -> Arc<host::HostEntry> {
    Arc::new(host::HostEntry {
        name: format!("host-{number}").into(),
        run_id: 1,
        started_unix_ms: 0,
        caller_address: ([127, 0, 0, 1], 1).into(),
        peer_address: ([127, 0, 0, 1], 2).into(),
        data_centre: data_centre.into(),
        region: "region".into(),
        cpu_millicores,
        phase: host::Phase::Serving,
    })
}

/// Hosts that watch, and whom the others ask.
fn roles(
    hosts: &[Arc<host::HostEntry>],
) -> (Vec<Arc<host::HostEntry>>, Vec<Vec<Arc<host::HostEntry>>>) {
    let (mut watching, mut listening) = (Vec::new(), Vec::new());
    for host in hosts {
        match relay::role(hosts, host) {
            relay::Role::Relay => watching.push(Arc::clone(host)),
            relay::Role::Subscriber(asked) => listening.push(asked),
        }
    }
    (watching, listening)
}

#[rstest]
#[case::one(1, 1)]
#[case::two(2, 2)]
#[case::three(3, 2)]
#[case::a_large_data_centre(75, 5)]
fn few_hosts_of_a_data_centre_watch_the_store(#[case] hosts: usize, #[case] watching: usize) {
    let hosts: Vec<_> = (0..hosts).map(|number| entry(number, "dc-1", 250)).collect();
    let elsewhere = [entry(1_000, "dc-2", 250), entry(1_001, "dc-2", 250)];
    let all: Vec<_> = hosts.iter().chain(&elsewhere).cloned().collect();
    let (watch, listening) = roles(&all);
    assert_eq!(watch.iter().filter(|host| host.data_centre.as_str() == "dc-1").count(), watching);
    let names: collections::BTreeSet<_> = watch.iter().map(|host| &host.name).collect();
    let mut first_asked: collections::BTreeMap<_, usize> = collections::BTreeMap::new();
    for asked in &listening {
        assert!(asked.iter().all(|host| host.data_centre.as_str() == "dc-1"));
        assert!(asked[..watching].iter().all(|host| names.contains(&host.name)));
        *first_asked.entry(&asked[0].name).or_default() += 1;
    }
    // No relay carries more than twice its even part.
    let even = listening.len().div_ceil(watching);
    assert!(first_asked.values().all(|count| *count <= 2 * even), "{first_asked:?}");
}

#[rstest]
fn hosts_with_more_processor_time_relay() {
    let hosts: Vec<_> =
        (0..20).map(|number| entry(number, "dc-1", if number < 17 { 120 } else { 500 })).collect();
    let (watching, _) = roles(&hosts);
    assert_eq!(watching.len(), 2);
    assert!(watching.iter().all(|host| host.cpu_millicores == 500));
}

#[rstest]
fn no_two_hosts_ask_each_other() {
    let hosts: Vec<_> = (0..40).map(|number| entry(number, "dc-1", 250)).collect();
    let asked: collections::BTreeMap<_, _> = hosts
        .iter()
        .filter_map(|host| match relay::role(&hosts, host) {
            relay::Role::Relay => None,
            relay::Role::Subscriber(asked) => Some((&host.name, asked)),
        })
        .collect();
    for (name, relays) in &asked {
        for relay in relays {
            let back = asked.get(&relay.name);
            assert!(back.is_none_or(|back| back.iter().all(|host| host.name != **name)));
        }
    }
}

#[rstest]
fn a_relay_that_beats_is_kept() {
    let mut contact = relay::RelayHealth::new(0);
    for now_ms in (0..10_000).step_by(250) {
        contact.record_heartbeat(400, true, now_ms);
        assert_eq!(contact.next_action(now_ms + 249), relay::Action::Continue, "at {now_ms}");
    }
}

/// Time until a host leaves its relay, with looks that take 10 ms.
fn left_after_ms<F>(store_answers: bool, beat: F) -> Option<u64>
where
    F: Fn(u64) -> Option<(u64, bool)>,
{
    let mut contact = relay::RelayHealth::new(0);
    contact.record_heartbeat(0, true, 0);
    let mut now_ms = 0;
    while now_ms < 5_000 {
        if let Some((age_ms, has_store)) = beat(now_ms) {
            contact.record_heartbeat(age_ms, has_store, now_ms);
        }
        let is_left = match contact.next_action(now_ms) {
            relay::Action::Continue => false,
            relay::Action::ProbeStore => {
                contact.record_probe(store_answers, now_ms + 10) == relay::Verdict::Leave
            }
            relay::Action::Leave => true,
        };
        if is_left {
            return Some(now_ms + 10);
        }
        now_ms += 50;
    }
    None
}

#[rstest]
#[case::silent(|_| None)]
#[case::without_the_store_and_unaware(|now_ms| Some((now_ms, true)))]
#[case::without_the_store(|_| Some((0, false)))]
fn a_relay_of_no_use_is_left_while_the_store_is_there(
    #[case] beat: fn(u64) -> Option<(u64, bool)>,
) {
    // The tightest bound on changes is two seconds; another relay and the store are tried after.
    let left_ms = left_after_ms(true, beat).expect("it is left");
    assert!(left_ms <= 1_400, "{left_ms}");
}

#[rstest]
#[case::silent(|_| None)]
#[case::without_the_store(|_| Some((0, false)))]
fn a_relay_is_kept_where_the_store_answers_nobody(#[case] beat: fn(u64) -> Option<(u64, bool)>) {
    assert_eq!(left_after_ms(false, beat), None);
}

/// Two relays that lose the store together must not cost the time for one of them twice.
#[rstest]
#[case::unaware(true)]
#[case::aware(false)]
fn a_relay_that_cannot_show_the_store_is_left_sooner(#[case] has_store: bool) {
    let mut contact = relay::RelayHealth::new(60_000);
    contact.record_heartbeat(1_000, has_store, 60_000);
    contact.record_heartbeat(1_250, has_store, 60_250);
    assert_eq!(contact.next_action(60_400), relay::Action::ProbeStore);
    assert_eq!(contact.record_probe(true, 60_410), relay::Verdict::Leave);
}

/// What a look has shown counts for a while: the relay may become worse off just after it.
#[rstest]
fn a_relay_is_left_by_the_look_before() {
    let mut contact = relay::RelayHealth::new(60_000);
    contact.record_heartbeat(1_200, false, 60_200);
    assert_eq!(contact.next_action(60_250), relay::Action::ProbeStore);
    assert_eq!(contact.record_probe(true, 60_260), relay::Verdict::Keep);
    assert_eq!(contact.next_action(60_350), relay::Action::Leave);
}

#[rstest]
fn a_host_that_hears_of_nobody_is_cut_off() {
    let mut contact = relay::RelayHealth::new(0);
    assert_eq!(contact.next_action(2_000), relay::Action::ProbeStore);
    assert_eq!(contact.record_probe(false, 2_000), relay::Verdict::Isolated);
}

#[rstest]
fn a_slow_store_does_not_part_a_host_from_its_relay() {
    // Answers take 240 ms: the relay's looks come each 640 ms, its beats lag up to 250 ms.
    let left_ms = left_after_ms(true, |now_ms| Some((240 + now_ms % 640, true)));
    assert_eq!(left_ms, None);
}

#[rstest]
fn the_store_is_away_once_it_answers_neither_the_relay_nor_the_host() {
    let mut contact = relay::RelayHealth::new(0);
    contact.record_heartbeat(0, true, 0);
    contact.record_heartbeat(400, false, 1_000);
    assert_eq!(contact.next_action(1_000), relay::Action::ProbeStore);
    assert_eq!(contact.record_probe(true, 1_010), relay::Verdict::Keep);
    assert_eq!(contact.record_probe(false, 1_410), relay::Verdict::Isolated);
}
