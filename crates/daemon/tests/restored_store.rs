//! A store that is restored from a copy, and gives out revisions again.

mod gateway_fleet;

use std::time;

use gateway_fleet::GatewayFleet;
use rstest::rstest;
use toucanwall_platform_standin::backend;
use toucanwall_platform_standin::backend::Behaviour;
use toucanwall_platform_standin::store;

/// Enough hosts in a data centre that one of them hears of changes through another.
const HOSTS: usize = 3;
/// Time within which all hosts act on what the restored store shows: the `contact_ms` setting.
const CONTACT: time::Duration = time::Duration::from_secs(3);
/// Longest time for which a leaving server receives requests, as in the `drain_ms` setting.
const DRAIN_LIMIT: time::Duration = time::Duration::from_secs(2);
/// Requests that are sent to each host to find out which servers it uses.
const PROBES: usize = 12;
/// Changes after the copy, so that the store gives out revisions again that hosts have seen.
const LOST_CHANGES: u64 = 6;

/// How connections to the store end when it is restored.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Return {
    /// They stay open, and waiting watches go on.
    Unnoticed,
    /// The same, and the store soon gives out the revisions again up to which hosts know changes.
    Overtaken,
    /// The store closes them and is away for a moment.
    AfterAbsence,
}

struct Scenario {
    fleet: GatewayFleet,
    servers: Vec<backend::Backend>,
    next_version: u64,
}

impl Scenario {
    async fn start() -> Self {
        let mut servers = Vec::new();
        for id in ["s-1", "s-2", "s-3"] {
            servers.push(backend::Backend::start(id, Behaviour::Respond).await);
        }
        let registered: Vec<_> = servers[..2].iter().map(|server| ("desk", server)).collect();
        let fleet = GatewayFleet::start(HOSTS, &registered).await;
        let hosts_known = async || fleet.store.list("toucanwall-hosts", "").len() == HOSTS;
        fleet.wait_for("all hosts to be registered", hosts_known).await;
        tokio::time::sleep(CONTACT).await;
        Self { fleet, servers, next_version: 3 }
    }

    /// Makes changes that the restored store will not have.
    fn change_configuration(&mut self, times: u64) {
        for _ in 0..times {
            let configuration = gateway_fleet::configuration(self.next_version);
            self.fleet.store.put("config", "main", &configuration);
            self.next_version += 1;
        }
    }

    async fn restore(&self, copy: store::Copy, how: Return) {
        let store = &self.fleet.store;
        if how == Return::AfterAbsence {
            store.set_mode(store::Mode::Away);
            store.abort_watches();
            tokio::time::sleep(time::Duration::from_millis(600)).await;
        }
        let lost_revision = store.revision();
        store.restore(copy);
        store.set_mode(store::Mode::Up);
        while how == Return::Overtaken && store.revision() <= lost_revision {
            store.put("other", "object", &serde_json::json!({ "at": store.revision() }));
        }
    }

    /// Number of requests among [`PROBES`] sent to each host that reached a server.
    async fn probe(&self, server: usize) -> usize {
        let before = self.servers[server].arrivals().len();
        for host in 0..HOSTS {
            for _ in 0..PROBES {
                self.fleet.send(host, "GET", "/read/x", &[]).await;
            }
        }
        self.servers[server].arrivals().len() - before
    }

    async fn statuses(&self, key: &str) -> Vec<Option<u16>> {
        let mut statuses = Vec::new();
        for host in 0..HOSTS {
            let headers = [("authorization", key)];
            let response = self.fleet.send(host, "GET", "/read/x", &headers).await;
            statuses.push(response.map(|response| response.status));
        }
        statuses
    }
}

/// Guards against hosts that stay on the configuration from before a restored store.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn configuration_after_a_restored_store_is_in_force(
    #[values(Return::Unnoticed, Return::Overtaken, Return::AfterAbsence)] how: Return,
) {
    let mut scenario = Scenario::start().await;
    let copy = scenario.fleet.store.copy();
    scenario.change_configuration(LOST_CHANGES);
    tokio::time::sleep(CONTACT).await;
    scenario.restore(copy, how).await;
    tokio::time::sleep(CONTACT).await;
    let mut next = gateway_fleet::configuration(scenario.next_version);
    next["tenants"][1]["api_keys"] = serde_json::json!([]);
    scenario.fleet.store.put("config", "main", &next);
    tokio::time::sleep(gateway_fleet::CONFIG_APPLY_LIMIT).await;
    let statuses = scenario.statuses("Token key-2").await;
    assert_eq!(statuses, vec![Some(401); HOSTS], "{}", scenario.fleet.logs());
}

/// Guards against a withdrawn key that works again because the copy still holds it.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn withdrawn_key_stays_withdrawn_after_a_restored_store() {
    let mut scenario = Scenario::start().await;
    let copy = scenario.fleet.store.copy();
    let mut next = gateway_fleet::configuration(scenario.next_version);
    next["tenants"][1]["api_keys"] = serde_json::json!([]);
    scenario.fleet.store.put("config", "main", &next);
    tokio::time::sleep(gateway_fleet::CONFIG_APPLY_LIMIT).await;
    scenario.next_version += 1;
    scenario.restore(copy, Return::AfterAbsence).await;
    for _ in 0..8 {
        tokio::time::sleep(time::Duration::from_millis(500)).await;
        let statuses = scenario.statuses("Token key-2").await;
        assert_eq!(statuses, vec![Some(401); HOSTS], "{}", scenario.fleet.logs());
    }
}

/// Guards against a server that leaves by its entry after a restored store, and is used for good.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn server_that_leaves_after_a_restored_store_receives_no_later_requests(
    #[values(Return::Unnoticed, Return::Overtaken, Return::AfterAbsence)] how: Return,
) {
    let mut scenario = Scenario::start().await;
    let copy = scenario.fleet.store.copy();
    // Changes of the same kind, so that its known revision is above that of the next ones.
    for _ in 0..LOST_CHANGES {
        scenario.fleet.register_run("desk", &scenario.servers[2], 1);
        scenario.fleet.register_run("desk", &scenario.servers[2], 2);
    }
    scenario.change_configuration(1);
    tokio::time::sleep(CONTACT).await;
    scenario.restore(copy, how).await;
    tokio::time::sleep(CONTACT).await;
    scenario.fleet.register("desk", &scenario.servers[0], "draining");
    tokio::time::sleep(DRAIN_LIMIT).await;
    assert_eq!(scenario.probe(0).await, 0, "{}", scenario.fleet.logs());
    assert!(scenario.probe(1).await > 0, "{}", scenario.fleet.logs());
}

/// Guards against a server that had left, and is used again because the copy still holds its entry.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn server_that_had_left_is_not_used_again_after_a_restored_store(
    #[values(Return::Unnoticed, Return::Overtaken, Return::AfterAbsence)] how: Return,
) {
    let scenario = Scenario::start().await;
    let copy = scenario.fleet.store.copy();
    scenario.fleet.store.delete("servers", "s-1");
    tokio::time::sleep(DRAIN_LIMIT).await;
    assert_eq!(scenario.probe(0).await, 0);
    scenario.restore(copy, how).await;
    // The platform removes the entry after three heartbeat intervals of silence.
    let restored_at = time::Instant::now();
    while restored_at.elapsed() < time::Duration::from_millis(3_600) {
        assert_eq!(scenario.probe(0).await, 0, "{}", scenario.fleet.logs());
        tokio::time::sleep(time::Duration::from_millis(100)).await;
    }
    scenario.fleet.store.delete("servers", "s-1");
    tokio::time::sleep(CONTACT).await;
    assert_eq!(scenario.probe(0).await, 0, "{}", scenario.fleet.logs());
}

/// Guards against a live server that stays unused because its entry had once been removed.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn server_whose_entry_the_copy_holds_is_used_if_it_stays() {
    let scenario = Scenario::start().await;
    let copy = scenario.fleet.store.copy();
    scenario.fleet.store.delete("servers", "s-1");
    tokio::time::sleep(DRAIN_LIMIT).await;
    scenario.restore(copy, Return::AfterAbsence).await;
    let is_used = async || scenario.probe(0).await > 0;
    scenario.fleet.wait_for("the server to be used", is_used).await;
}

/// Guards against a service without servers while these have not registered again.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn server_that_the_restored_store_lacks_is_used_until_it_registers_again(
    #[values(Return::Unnoticed, Return::Overtaken, Return::AfterAbsence)] how: Return,
) {
    let scenario = Scenario::start().await;
    let copy = scenario.fleet.store.copy();
    scenario.fleet.register("desk", &scenario.servers[2], "ready");
    let is_used = async || scenario.probe(2).await > 0;
    scenario.fleet.wait_for("the server to be used", is_used).await;
    scenario.restore(copy, how).await;
    tokio::time::sleep(time::Duration::from_millis(1_300)).await;
    assert!(scenario.probe(2).await > 0, "{}", scenario.fleet.logs());
    scenario.fleet.register("desk", &scenario.servers[2], "ready");
    tokio::time::sleep(CONTACT).await;
    assert!(scenario.probe(2).await > 0, "{}", scenario.fleet.logs());
    scenario.fleet.store.delete("servers", "s-3");
    tokio::time::sleep(DRAIN_LIMIT).await;
    assert_eq!(scenario.probe(2).await, 0, "{}", scenario.fleet.logs());
}

/// Guards against hosts that the others no longer know because the store has lost their entries.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn hosts_register_again_after_a_restored_store(
    #[values(Return::Unnoticed, Return::Overtaken, Return::AfterAbsence)] how: Return,
) {
    let server = backend::Backend::start("s-1", Behaviour::Respond).await;
    let mut fleet = GatewayFleet::prepare().await;
    fleet.store.put("config", "main", &gateway_fleet::configuration(2));
    fleet.register("desk", &server, "ready");
    let copy = fleet.store.copy();
    for _ in 0..HOSTS {
        fleet.add_ready_host().await;
    }
    let addresses: Vec<_> = (0..HOSTS).map(|host| fleet.caller_address(host).to_string()).collect();
    let names_all = async |host: usize| {
        let response = fleet.resolve(host).await.expect("a response");
        addresses.iter().all(|address| response.body.contains(address))
    };
    for host in 0..HOSTS {
        fleet.wait_for("all hosts to be named", async || names_all(host).await).await;
    }
    let scenario = Scenario { fleet, servers: vec![server], next_version: 3 };
    scenario.restore(copy, how).await;
    let restored_at = time::Instant::now();
    while restored_at.elapsed() < CONTACT {
        for host in 0..HOSTS {
            let response = scenario.fleet.resolve(host).await.expect("a response");
            let is_complete = addresses.iter().all(|address| response.body.contains(address));
            assert!(is_complete, "host {host}: {}\n{}", response.body, scenario.fleet.logs());
        }
        tokio::time::sleep(time::Duration::from_millis(100)).await;
    }
    assert_eq!(scenario.fleet.store.list("toucanwall-hosts", "").len(), HOSTS);
}

/// Guards against a roll-out that hosts don't hear of because its order has a lower revision.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn rollout_that_is_ordered_after_a_restored_store_is_begun(
    #[values(Return::Unnoticed, Return::Overtaken, Return::AfterAbsence)] how: Return,
) {
    let mut scenario = Scenario::start().await;
    let store = scenario.fleet.store.clone();
    let copy = store.copy();
    scenario.change_configuration(LOST_CHANGES);
    for _ in 0..LOST_CHANGES {
        order_rollout(&scenario.fleet, "engines", "v9");
    }
    tokio::time::sleep(CONTACT).await;
    scenario.restore(copy, how).await;
    tokio::time::sleep(CONTACT).await;
    scenario.fleet.register_version("desk", &scenario.servers[2], "v2");
    order_rollout(&scenario.fleet, "desk", "v2");
    let ordered_at = time::Instant::now();
    let is_begun = async || rollout_state(&store, "desk") == "in_progress";
    scenario.fleet.wait_for("the roll-out to begin", is_begun).await;
    assert!(
        ordered_at.elapsed() < CONTACT,
        "{:?}\n{}",
        ordered_at.elapsed(),
        scenario.fleet.logs()
    );
}

/// Guards against a bad version that is tried again because the store has lost the decision.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn reverted_rollout_is_not_begun_again_after_a_restored_store(
    #[values(Return::Unnoticed, Return::Overtaken, Return::AfterAbsence)] how: Return,
    #[values(false, true)] is_order_lost: bool,
) {
    let scenario = Scenario::start().await;
    let store = scenario.fleet.store.clone();
    let bad = backend::Backend::start("s-bad", Behaviour::Fail).await;
    let copy_before_order = store.copy();
    scenario.fleet.register_version("desk", &bad, "v2");
    order_rollout(&scenario.fleet, "desk", "v2");
    let copy_after_order = store.copy();
    let is_reverted = async || {
        for host in 0..HOSTS {
            for _ in 0..PROBES {
                scenario.fleet.send(host, "GET", "/read/x", &[]).await;
            }
        }
        rollout_state(&store, "desk") == "reverted"
    };
    scenario.fleet.wait_for("the roll-out to be reverted", is_reverted).await;
    tokio::time::sleep(CONTACT).await;
    let before = bad.arrivals().len();
    let copy = if is_order_lost { copy_before_order } else { copy_after_order };
    scenario.restore(copy, how).await;
    scenario.fleet.register_version("desk", &bad, "v2");
    tokio::time::sleep(CONTACT).await;
    if is_order_lost {
        order_rollout(&scenario.fleet, "desk", "v2");
    }
    let restored_at = time::Instant::now();
    while restored_at.elapsed() < CONTACT {
        scenario.probe(0).await;
    }
    assert_eq!(bad.arrivals().len(), before, "{}", scenario.fleet.logs());
    assert_eq!(rollout_state(&store, "desk"), "reverted", "{}", scenario.fleet.logs());
}

/// Guards against a listing of the earlier era, or none at all, behind each form of the header.
#[rstest]
#[case::missing(store::EraForm::Missing)]
#[case::not_a_number(store::EraForm::Text("third".to_owned()))]
#[case::negative(store::EraForm::Text("-1".to_owned()))]
#[case::empty(store::EraForm::Text(String::new()))]
#[case::too_large(store::EraForm::Text("99999999999999999999999".to_owned()))]
#[tokio::test(flavor = "multi_thread")]
async fn store_that_states_no_readable_era_is_followed(#[case] form: store::EraForm) {
    let mut scenario = Scenario::start().await;
    scenario.fleet.store.set_era_form(form);
    scenario.change_configuration(2);
    let mut next = gateway_fleet::configuration(scenario.next_version);
    next["tenants"][1]["api_keys"] = serde_json::json!([]);
    scenario.fleet.store.put("config", "main", &next);
    tokio::time::sleep(gateway_fleet::CONFIG_APPLY_LIMIT).await;
    let statuses = scenario.statuses("Token key-2").await;
    assert_eq!(statuses, vec![Some(401); HOSTS], "{}", scenario.fleet.logs());
}

/// Guards against a host that is of an earlier era than the others: two drills in a row, and a host
/// that starts between them.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn two_restorations_in_a_row_leave_all_hosts_on_the_latest_configuration() {
    let mut scenario = Scenario::start().await;
    let copy = scenario.fleet.store.copy();
    scenario.change_configuration(LOST_CHANGES);
    tokio::time::sleep(CONTACT / 2).await;
    scenario.restore(copy.clone(), Return::Unnoticed).await;
    scenario.fleet.restart(0);
    tokio::time::sleep(time::Duration::from_millis(300)).await;
    scenario.change_configuration(2);
    scenario.restore(copy, Return::AfterAbsence).await;
    let mut next = gateway_fleet::configuration(scenario.next_version);
    next["tenants"][1]["api_keys"] = serde_json::json!([]);
    tokio::time::sleep(CONTACT).await;
    scenario.fleet.store.put("config", "main", &next);
    tokio::time::sleep(gateway_fleet::CONFIG_APPLY_LIMIT).await;
    let statuses = scenario.statuses("Token key-2").await;
    assert_eq!(statuses, vec![Some(401); HOSTS], "{}", scenario.fleet.logs());
}

fn order_rollout(fleet: &GatewayFleet, service: &str, version: &str) {
    let order = serde_json::json!({ "service": service, "target": version, "duration_s": 30 });
    fleet.store.put("rollouts", service, &order);
}

fn rollout_state(store: &store::Store, service: &str) -> String {
    let object = store.get("rollouts", service).unwrap_or_default();
    object["status"]["state"].as_str().unwrap_or_default().to_owned()
}

/// Guards against a blocked part of prompts that is allowed to hosts that start later.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn blocked_part_that_the_restored_store_lacks_is_written_again() {
    let scenario = Scenario::start().await;
    let store = scenario.fleet.store.clone();
    let copy = store.copy();
    let (name, part) = ("blocked-00000000000000ab", "00000000000000ab");
    store.put("toucanwall-crashes", name, &serde_json::json!({ "blocked_part": part }));
    tokio::time::sleep(CONTACT).await;
    scenario.restore(copy, Return::Unnoticed).await;
    let is_written = async || store.get("toucanwall-crashes", name).is_some();
    scenario.fleet.wait_for("the block to be written again", is_written).await;
    // Until all hosts have seen it, any of them may write it.
    tokio::time::sleep(CONTACT).await;
    store.delete("toucanwall-crashes", name);
    tokio::time::sleep(CONTACT).await;
    assert!(store.get("toucanwall-crashes", name).is_none(), "a removed block stays removed");
}
