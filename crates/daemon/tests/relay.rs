//! Relays: hosts of a data centre that forward changes of the store to the other hosts.

mod gateway_fleet;

use std::time;

use gateway_fleet::GatewayFleet;
use rstest::rstest;
use toucanwall_platform_standin::backend;
use toucanwall_platform_standin::proxy;
use toucanwall_platform_standin::store;

const HOST_COUNT: usize = 5;
/// Number of hosts of a data centre that watch the store and act as relays.
const RELAY_COUNT: usize = 2;
/// Time after which hosts that started together have their final roles: one that started before the
/// relays were known watches the store for three seconds.
const ROLES_SETTLED: time::Duration = time::Duration::from_millis(3_500);

/// A fault of a relay.
#[derive(Debug, Clone, Copy)]
enum Fault {
    Kill,
    Pause,
    /// The relay receives no responses from the store.
    StallStore,
}

/// Hosts that each reach the store through a proxy of their own.
struct Deployment {
    fleet: GatewayFleet,
    store_proxies: Vec<proxy::Proxy>,
    _server: backend::Backend,
}

impl Deployment {
    async fn start() -> Self {
        let server = backend::Backend::start("s-1", backend::Behaviour::Respond).await;
        let mut fleet = GatewayFleet::prepare().await;
        fleet.store.put("config", "main", &gateway_fleet::configuration(2));
        fleet.register("desk", &server, "ready");
        let mut store_proxies = Vec::new();
        for _ in 0..HOST_COUNT {
            let proxy = proxy::Proxy::start(fleet.store.address).await;
            fleet.store_address = proxy.address;
            store_proxies.push(proxy);
            fleet.add_host();
        }
        let deployment = Self { fleet, store_proxies, _server: server };
        let fleet = &deployment.fleet;
        for index in 0..HOST_COUNT {
            fleet.wait_for("the host to be ready", async || fleet.is_ready(index).await).await;
        }
        let relays_settled = async || deployment.relays().len() == RELAY_COUNT;
        fleet.wait_for("all but two hosts to subscribe to relays", relays_settled).await;
        deployment
    }

    /// Indices of the hosts that watch the store.
    fn relays(&self) -> Vec<usize> {
        (0..HOST_COUNT).filter(|index| !self.uses_relay(*index)).collect()
    }

    fn uses_relay(&self, index: usize) -> bool {
        let log = self.fleet.log(index);
        let last_source = log.lines().rfind(|line| line.contains("receiving changes from"));
        last_source.is_some_and(|line| line.contains("from another host"))
    }

    /// Revokes a key and checks that the given hosts reject it in time.
    async fn revoke(&self, version: u64, hosts: &[usize]) {
        let mut next = gateway_fleet::configuration(version);
        next["tenants"][1]["api_keys"] = serde_json::json!([]);
        self.fleet.store.put("config", "main", &next);
        tokio::time::sleep(gateway_fleet::CONFIG_APPLY_LIMIT).await;
        let with_other_key = [("authorization", "Token key-2")];
        for index in hosts {
            let response = self.fleet.send(*index, "GET", "/read/x", &with_other_key).await;
            let status = response.map(|response| response.status);
            assert_eq!(status, Some(401), "host {index}\n{}", self.fleet.log(*index));
        }
    }
}

#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn change_reaches_all_hosts_with_few_store_calls() {
    let deployment = Deployment::start().await;
    // By then, the initial watches of the subscribers have ended.
    tokio::time::sleep(time::Duration::from_secs(1)).await;
    let before = deployment.fleet.store.calls();
    deployment.revoke(5, &[0, 1, 2, 3, 4]).await;
    let calls = deployment.fleet.store.calls() - before;
    // A watch and its successor for each of two hosts, and their probes of the store.
    assert!(calls <= 20, "{calls} store calls for one change");
}

#[rstest]
#[case::killed(Fault::Kill)]
#[case::paused(Fault::Pause)]
#[case::store_unresponsive(Fault::StallStore)]
#[tokio::test(flavor = "multi_thread")]
async fn change_reaches_hosts_whose_relays_fail(#[case] fault: Fault) {
    let mut deployment = Deployment::start().await;
    let relays = deployment.relays();
    for index in &relays {
        match fault {
            Fault::Kill => deployment.fleet.hosts[*index].child.kill().unwrap_or_default(),
            Fault::Pause => assert!(deployment.fleet.signal(*index, "-STOP")),
            Fault::StallStore => deployment.store_proxies[*index].set_mode(proxy::Mode::Stall),
        }
    }
    let subscribers: Vec<_> = (0..HOST_COUNT).filter(|index| !relays.contains(index)).collect();
    deployment.revoke(5, &subscribers).await;
}

/// While the store drops its history it answers no call for changes. Hosts that then left their
/// relays would all list every object at once.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn relays_are_kept_while_the_store_answers_no_calls_for_changes() {
    let deployment = Deployment::start().await;
    let fleet = &deployment.fleet;
    tokio::time::sleep(ROLES_SETTLED).await;
    let relays = deployment.relays();
    assert_eq!(relays.len(), RELAY_COUNT);
    let relays_left = |index| fleet.log(index).matches("relay left").count();
    let left_before: Vec<_> = (0..HOST_COUNT).map(relays_left).collect();
    fleet.store.set_mode(store::Mode::UnansweredChanges);
    tokio::time::sleep(time::Duration::from_secs(3)).await;
    fleet.store.set_mode(store::Mode::Up);
    for (index, left_before) in left_before.into_iter().enumerate() {
        assert_eq!(relays_left(index), left_before, "host {index}\n{}", fleet.log(index));
    }
    assert_eq!(deployment.relays(), relays, "the same hosts watch the store");
    deployment.revoke(3, &(0..HOST_COUNT).collect::<Vec<_>>()).await;
}

#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn host_without_access_to_the_store_receives_changes_from_relays() {
    let deployment = Deployment::start().await;
    let subscribers: Vec<_> =
        (0..HOST_COUNT).filter(|index| deployment.uses_relay(*index)).collect();
    for index in &subscribers {
        deployment.store_proxies[*index].set_mode(proxy::Mode::Reset);
    }
    deployment.revoke(5, &subscribers).await;
}

/// Both relays lose the store, but their subscribers reach it and must apply its changes in time.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn server_removed_while_relays_cannot_reach_the_store_receives_no_requests() {
    let deployment = Deployment::start().await;
    let fleet = &deployment.fleet;
    let removed = backend::Backend::start("s-2", backend::Behaviour::Respond).await;
    fleet.register("desk", &removed, "ready");
    let relays = deployment.relays();
    let subscribers: Vec<_> = (0..HOST_COUNT).filter(|index| !relays.contains(index)).collect();
    for index in &relays {
        deployment.store_proxies[*index].set_mode(proxy::Mode::Reset);
    }
    let one_watches = async || subscribers.iter().any(|index| !deployment.uses_relay(*index));
    fleet.wait_for("one of the subscribers to watch the store", one_watches).await;
    // By then it has contacted the relays again.
    tokio::time::sleep(time::Duration::from_millis(3_100)).await;
    fleet.store.delete("servers", "s-2");
    tokio::time::sleep(time::Duration::from_secs(2)).await;
    let before = removed.executed().len();
    for index in subscribers {
        for _ in 0..10 {
            let response = fleet.send(index, "GET", "/read/x", &[]).await;
            assert_eq!(response.map(|response| response.status), Some(200));
        }
    }
    assert_eq!(removed.executed().len(), before, "{}", fleet.log(0));
}

/// No single host receives enough bad responses to detect a bad version; relays combine the reports
/// of their subscribers.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn bad_version_is_detected_from_reports_of_several_hosts() {
    let deployment = Deployment::start().await;
    let bad = backend::Backend::start("s-2", backend::Behaviour::Fail).await;
    deployment.fleet.register_version("desk", &bad, "v2");
    let rollout = serde_json::json!({ "service": "desk", "target": "v2", "duration_s": 24 });
    deployment.fleet.store.put("rollouts", "desk", &rollout);
    let state = || {
        let object = deployment.fleet.store.get("rollouts", "desk").unwrap_or_default();
        object["status"]["state"].as_str().unwrap_or("").to_owned()
    };
    deployment.fleet.wait_for("the roll-out to start", async || state() == "in_progress").await;
    let all_know_server =
        async || (0..HOST_COUNT).all(|index| deployment.fleet.log(index).contains("s-2"));
    deployment.fleet.wait_for("all hosts to know the new server", all_know_server).await;
    let mut ids = gateway_fleet::canary_request_ids();
    for index in (0..HOST_COUNT).filter(|index| deployment.uses_relay(*index)) {
        for id in ids.by_ref().take(2) {
            let request = deployment.fleet.prepare_request(index, "POST", "/book/x", &id);
            assert_eq!(request.send().await.map(|response| response.status), Some(500), "{id}");
        }
    }
    deployment.fleet.wait_for("the roll-out to be reverted", async || state() == "reverted").await;
    assert_eq!(bad.executed().len(), 2 * (HOST_COUNT - RELAY_COUNT));
}

#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn resumed_relay_does_not_revert_a_change() {
    let deployment = Deployment::start().await;
    let relays = deployment.relays();
    for index in &relays {
        assert!(deployment.fleet.signal(*index, "-STOP"));
    }
    let subscribers: Vec<_> = (0..HOST_COUNT).filter(|index| !relays.contains(index)).collect();
    deployment.revoke(5, &subscribers).await;
    for index in &relays {
        assert!(deployment.fleet.signal(*index, "-CONT"));
    }
    let fleet = &deployment.fleet;
    let relays_settled = async || deployment.relays().len() == RELAY_COUNT;
    fleet.wait_for("all but two hosts to subscribe to relays", relays_settled).await;
    let with_other_key = [("authorization", "Token key-2")];
    for index in 0..HOST_COUNT {
        let response = fleet.send(index, "GET", "/read/x", &with_other_key).await;
        assert_eq!(response.map(|response| response.status), Some(401), "host {index}");
    }
}
