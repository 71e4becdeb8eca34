//! Hosts that are lost without a word are no longer named to callers.

mod gateway_fleet;

use std::collections;
use std::time;

use gateway_fleet::GatewayFleet;
use rstest::rstest;
use toucanwall_platform_standin::backend;
use toucanwall_platform_standin::store;

const HOST_COUNT: usize = 4;
/// Index of the host that is lost.
const LOST: usize = HOST_COUNT - 1;
/// Time after which a silent host is out of contact, as in the `contact_ms` setting.
const CONTACT_LIMIT: time::Duration = time::Duration::from_secs(3);
/// Longest time for which a killed host may still be named: the `contact_ms` setting and three seconds.
const NAMED_LIMIT: time::Duration = CONTACT_LIMIT.saturating_add(time::Duration::from_secs(3));
/// Time for which answers are checked after that.
const WATCHED: time::Duration = time::Duration::from_secs(2);

async fn start_fleet() -> (GatewayFleet, backend::Backend) {
    let server = backend::Backend::start("s-1", backend::Behaviour::Respond).await;
    let fleet = GatewayFleet::start(HOST_COUNT, &[("desk", &server)]).await;
    let all_listed = async || {
        for index in 0..HOST_COUNT {
            if !names_all(&fleet, index).await {
                return false;
            }
        }
        true
    };
    fleet.wait_for("all hosts to be named by all hosts", all_listed).await;
    (fleet, server)
}

async fn names_all(fleet: &GatewayFleet, index: usize) -> bool {
    for other in 0..HOST_COUNT {
        if !names(fleet, index, other).await {
            return false;
        }
    }
    true
}

/// Whether a host names another one in its answers to address queries.
async fn names(fleet: &GatewayFleet, index: usize, other: usize) -> bool {
    let address = fleet.caller_address(other).to_string();
    fleet.resolve(index).await.is_some_and(|response| response.body.contains(&address))
}

/// Checks that none of the remaining hosts names the lost one.
async fn assert_not_named(fleet: &GatewayFleet) {
    for index in 0..LOST {
        assert!(!names(fleet, index, LOST).await, "host {index} names it\n{}", fleet.log(index));
    }
}

#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn lost_host_is_not_named_to_callers() {
    let (mut fleet, _server) = start_fleet().await;
    fleet.hosts[LOST].child.kill().expect("the host runs");
    tokio::time::sleep(CONTACT_LIMIT).await;
    assert_not_named(&fleet).await;
    // The entry is removed as well, so that hosts which start later do not name it either.
    let is_removed =
        async || fleet.store.get("toucanwall-hosts", &format!("host-{LOST}")).is_none();
    fleet.wait_for("the entry to be removed", is_removed).await;
    for index in 0..LOST {
        for other in 0..LOST {
            assert!(names(&fleet, index, other).await, "host {index} does not name {other}");
        }
    }
}

#[rstest]
#[case::unavailable(store::Mode::Unavailable)]
#[case::unresponsive(store::Mode::Unresponsive)]
#[tokio::test(flavor = "multi_thread")]
async fn host_lost_during_a_store_outage_is_not_named_to_callers(#[case] mode: store::Mode) {
    let (mut fleet, _server) = start_fleet().await;
    fleet.store.set_mode(mode);
    fleet.hosts[LOST].child.kill().expect("the host runs");
    tokio::time::sleep(CONTACT_LIMIT).await;
    assert_not_named(&fleet).await;
    fleet.store.set_mode(store::Mode::Up);
    let is_removed =
        async || fleet.store.get("toucanwall-hosts", &format!("host-{LOST}")).is_none();
    fleet.wait_for("the entry to be removed", is_removed).await;
}

#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn host_lost_before_the_others_restarted_is_not_named_to_callers() {
    let (mut fleet, _server) = start_fleet().await;
    fleet.hosts[LOST].child.kill().expect("the host runs");
    for index in 0..LOST {
        fleet.restart(index);
    }
    tokio::time::sleep(CONTACT_LIMIT).await;
    assert_not_named(&fleet).await;
}

#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn restored_entry_of_a_lost_host_is_not_named_to_callers() {
    let (mut fleet, _server) = start_fleet().await;
    let name = format!("host-{LOST}");
    let entry = fleet.store.get("toucanwall-hosts", &name).expect("the host's entry");
    fleet.hosts[LOST].child.kill().expect("the host runs");
    let is_removed = async || fleet.store.get("toucanwall-hosts", &name).is_none();
    fleet.wait_for("the entry to be removed", is_removed).await;
    fleet.store.put("toucanwall-hosts", &name, &entry["spec"]);
    tokio::time::sleep(CONTACT_LIMIT).await;
    assert_not_named(&fleet).await;
}

#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn paused_host_is_named_again_after_it_resumes() {
    let (fleet, _server) = start_fleet().await;
    assert!(fleet.signal(LOST, "-STOP"));
    tokio::time::sleep(CONTACT_LIMIT).await;
    assert_not_named(&fleet).await;
    assert!(fleet.signal(LOST, "-CONT"));
    let is_named = async || names_all(&fleet, 0).await && names_all(&fleet, LOST).await;
    fleet.wait_for("the host to be named again", is_named).await;
}

#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn host_registers_again_if_its_entry_is_lost() {
    let (fleet, _server) = start_fleet().await;
    fleet.store.delete("toucanwall-hosts", &format!("host-{LOST}"));
    let is_registered =
        async || fleet.store.get("toucanwall-hosts", &format!("host-{LOST}")).is_some();
    fleet.wait_for("the host to register again", is_registered).await;
}

/// Guards against killed hosts that the directory names for long in fleets of which no host pings all
/// others, and where those that would find a host lost are killed with it. The indices are of killed
/// hosts.
#[rstest]
#[case::one_of_seven(7, &[3])]
#[case::three_of_seven(7, &[0, 1, 2])]
#[case::five_of_seven(7, &[0, 1, 2, 4, 6])]
#[case::one_of_eight(8, &[3])]
#[case::three_of_eight(8, &[0, 1, 2])]
#[case::six_of_eight(8, &[0, 1, 2, 3, 5, 7])]
#[case::half_of_twelve(12, &[0, 2, 4, 6, 8, 10])]
#[tokio::test(flavor = "multi_thread")]
async fn killed_hosts_are_not_named_after_the_limit(
    #[case] host_count: usize,
    #[case] killed: &[usize],
    #[values(store::Mode::Up, store::Mode::Unresponsive)] store_mode: store::Mode,
) {
    let server = backend::Backend::start("s-1", backend::Behaviour::Respond).await;
    let mut fleet = GatewayFleet::start(host_count, &[("desk", &server)]).await;
    let all: collections::BTreeSet<_> = (0..host_count).collect();
    for index in 0..host_count {
        let names_all = async || named(&fleet, index).await == all;
        fleet.wait_for("all hosts to be named", names_all).await;
    }
    fleet.store.set_mode(store_mode);
    for index in killed {
        fleet.hosts[*index].child.kill().expect("the host runs");
    }
    let killed_at = time::Instant::now();
    tokio::time::sleep(NAMED_LIMIT).await;
    let living: collections::BTreeSet<_> =
        all.into_iter().filter(|index| !killed.contains(index)).collect();
    while killed_at.elapsed() < NAMED_LIMIT + WATCHED {
        for index in &living {
            assert_eq!(named(&fleet, *index).await, living, "host {index}\n{}", fleet.log(*index));
        }
    }
}

/// The hosts that a host names, by index.
async fn named(fleet: &GatewayFleet, index: usize) -> collections::BTreeSet<usize> {
    let body = fleet.resolve(index).await.map(|response| response.body).unwrap_or_default();
    let addresses: collections::BTreeSet<_> = body.split('"').collect();
    let is_named = |other: &usize| addresses.contains(&*fleet.caller_address(*other).to_string());
    (0..fleet.hosts.len()).filter(is_named).collect()
}
