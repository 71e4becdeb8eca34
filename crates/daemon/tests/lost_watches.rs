//! Answers of the store to waiting calls for changes that are lost, while all else works.

mod gateway_fleet;

use std::time;

use gateway_fleet::GatewayFleet;
use rstest::rstest;
use toucanwall_platform_standin::backend;
use toucanwall_platform_standin::backend::Behaviour;
use toucanwall_platform_standin::store;

/// Enough hosts in a data centre that one of them hears of changes through another.
const HOSTS: usize = 3;
/// Hosts among them that watch the store.
const WATCHING_HOSTS: u64 = 2;
/// Time within which a host notices that an answer was lost: the `contact_ms` setting.
const CONTACT: time::Duration = time::Duration::from_secs(3);
/// Longest time for which a leaving server receives requests, as in the `drain_ms` setting.
const DRAIN_LIMIT: time::Duration = time::Duration::from_secs(2);
/// Requests that are sent to each host to find out which servers it uses.
const PROBES: usize = 12;
const VERSION: u64 = 5;

struct Scenario {
    fleet: GatewayFleet,
    servers: Vec<backend::Backend>,
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
        // Calls for changes wait for a short time only after a start.
        tokio::time::sleep(CONTACT).await;
        Self { fleet, servers }
    }

    /// Loses the next answer about a kind to each host that watches the store.
    fn lose(&self, kind: &str) {
        self.fleet.store.lose_watch_responses(kind, WATCHING_HOSTS);
    }

    async fn probe(&self, server: usize) -> usize {
        let before = self.servers[server].arrivals().len();
        for host in 0..HOSTS {
            for _ in 0..PROBES {
                self.fleet.send(host, "GET", "/read/x", &[]).await;
            }
        }
        self.servers[server].arrivals().len() - before
    }

    fn order_rollout(&self, version: &str) {
        let order = serde_json::json!({ "service": "desk", "target": version, "duration_s": 30 });
        self.fleet.store.put("rollouts", "desk", &order);
    }

    /// Checks that the answers were lost, and that hosts found that out and say so.
    async fn check_loss(&self, kind: &str) {
        let mut found = 0;
        for host in 0..HOSTS {
            let name = format!("toucanwall_lost_watches_total{{kind=\"{kind}\"}} 1");
            found += usize::from(self.fleet.metrics(host).await.contains(&name));
        }
        assert!(found > 0, "no host has found a lost answer\n{}", self.fleet.logs());
    }
}

/// Blocks a part of prompts.
fn block_part(fleet: &GatewayFleet) {
    let hash = format!("{:016x}", xxhash_rust::xxh3::xxh3_64(b"engines\0bad0"));
    let block = serde_json::json!({ "blocked_part": hash });
    fleet.store.put("toucanwall-crashes", &format!("blocked-{hash}"), &block);
}

/// Checks that a host rejects a request with the part.
async fn assert_part_is_rejected(fleet: &GatewayFleet, host: usize) {
    let prompt = format!("f1f1:9,bad0:9,a{host}:9");
    let headers = [("x-toucanwall-prefix-hash", &*prompt), ("x-toucanwall-token-count", "27,40")];
    let response = fleet.send(host, "POST", "/chat/x", &headers).await;
    assert_eq!(response.map(|it| it.status), Some(503), "{}", fleet.logs());
}

/// Guards against a withdrawn key that works until the waiting call times out.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn configuration_of_which_the_answer_was_lost_is_in_force_in_time() {
    let scenario = Scenario::start().await;
    scenario.lose("config");
    let mut next = gateway_fleet::configuration(VERSION);
    next["tenants"][1]["api_keys"] = serde_json::json!([]);
    scenario.fleet.store.put("config", "main", &next);
    tokio::time::sleep(CONTACT).await;
    for host in 0..HOSTS {
        let with_other_key = [("authorization", "Token key-2")];
        let response = scenario.fleet.send(host, "GET", "/read/x", &with_other_key).await;
        assert_eq!(response.map(|it| it.status), Some(401), "{}", scenario.fleet.logs());
    }
    scenario.check_loss("config").await;
}

/// Guards against a leaving server that receives requests until the waiting call times out.
#[rstest]
#[case::draining(true)]
#[case::removed(false)]
#[tokio::test(flavor = "multi_thread")]
async fn server_that_leaves_in_a_lost_answer_receives_no_later_requests(#[case] drains: bool) {
    let scenario = Scenario::start().await;
    scenario.lose("servers");
    if drains {
        scenario.fleet.register("desk", &scenario.servers[0], "draining");
    } else {
        scenario.fleet.store.delete("servers", "s-1");
    }
    tokio::time::sleep(CONTACT).await;
    assert_eq!(scenario.probe(0).await, 0, "{}", scenario.fleet.logs());
    scenario.check_loss("servers").await;
}

/// Guards against a bad version that is taken for an ordinary one while hosts don't know of its order.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn version_whose_order_was_lost_gets_no_ordinary_traffic() {
    let scenario = Scenario::start().await;
    let slow = Behaviour::RespondAfter(time::Duration::from_millis(40));
    let bad = backend::Backend::start("s-bad", slow).await;
    scenario.lose("rollouts");
    scenario.order_rollout("v2");
    let ordered_at = time::Instant::now();
    tokio::time::sleep(time::Duration::from_millis(300)).await;
    scenario.fleet.register_version("desk", &bad, "v2");
    let (mut sent, mut exposed) = (0, 0);
    while ordered_at.elapsed() < CONTACT * 2 {
        for host in 0..HOSTS {
            scenario.fleet.send(host, "GET", "/read/x", &[]).await;
            sent += 1;
        }
        exposed = bad.arrivals().len();
        tokio::time::sleep(time::Duration::from_millis(10)).await;
    }
    // A roll-out tries its version with a small part of the requests.
    assert!(exposed * 10 < sent, "{exposed} of {sent} requests\n{}", scenario.fleet.logs());
    let object = scenario.fleet.store.get("rollouts", "desk").unwrap_or_default();
    let state = object["status"]["state"].as_str().unwrap_or_default().to_owned();
    assert!(
        ["in_progress", "reverted"].contains(&state.as_str()),
        "{state}\n{}",
        scenario.fleet.logs()
    );
    scenario.check_loss("rollouts").await;
}

/// Guards against a starting host that lets a blocked part through while it reads what is blocked.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn host_whose_first_list_of_blocked_parts_was_lost_rejects_them() {
    let engine = backend::Backend::start("e-1", Behaviour::Stream { last: 3 }).await;
    let mut fleet = GatewayFleet::prepare().await;
    fleet.store.put("config", "main", &gateway_fleet::configuration(2));
    fleet.register("engines", &engine, "ready");
    block_part(&fleet);
    fleet.store.lose_lists("toucanwall-crashes", 1);
    fleet.add_ready_host().await;
    assert_part_is_rejected(&fleet, 0).await;
    assert!(engine.executed().is_empty(), "{}", fleet.logs());
}

/// Guards against a starting host that takes a bad version for an ordinary one while it reads the
/// orders.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn host_whose_first_list_of_orders_was_lost_gives_versions_no_ordinary_traffic() {
    let server = backend::Backend::start("s-1", Behaviour::Respond).await;
    let slow = Behaviour::RespondAfter(time::Duration::from_millis(40));
    let bad = backend::Backend::start("s-bad", slow).await;
    let mut fleet = GatewayFleet::prepare().await;
    fleet.store.put("config", "main", &gateway_fleet::configuration(2));
    fleet.register("desk", &server, "ready");
    let order = serde_json::json!({ "service": "desk", "target": "v2", "duration_s": 30 });
    fleet.store.put("rollouts", "desk", &order);
    fleet.register_version("desk", &bad, "v2");
    fleet.store.lose_lists("rollouts", 1);
    fleet.add_ready_host().await;
    for _ in 0..PROBES {
        fleet.send(0, "GET", "/read/x", &[]).await;
    }
    let exposed = bad.arrivals().len();
    assert!(exposed <= 2, "{exposed} of {PROBES} requests\n{}", fleet.logs());
}

/// Guards against a version that is never used because nothing confirms that it isn't rolled out.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn version_without_an_order_is_used_soon() {
    let scenario = Scenario::start().await;
    scenario.fleet.register_version("desk", &scenario.servers[2], "v2");
    let registered_at = time::Instant::now();
    for host in 0..HOSTS {
        let is_used = async || {
            let before = scenario.servers[2].arrivals().len();
            for _ in 0..PROBES {
                scenario.fleet.send(host, "GET", "/read/x", &[]).await;
            }
            scenario.servers[2].arrivals().len() > before
        };
        scenario.fleet.wait_for("the version to be used", is_used).await;
    }
    let elapsed = registered_at.elapsed();
    assert!(elapsed < DRAIN_LIMIT, "{elapsed:?}\n{}", scenario.fleet.logs());
}

/// Guards against a host that callers don't learn of until the waiting call times out.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn host_that_registers_in_a_lost_answer_is_named_in_time() {
    let mut scenario = Scenario::start().await;
    scenario.lose("toucanwall-hosts");
    scenario.fleet.add_ready_host().await;
    tokio::time::sleep(CONTACT).await;
    let address = scenario.fleet.caller_address(HOSTS).to_string();
    for host in 0..HOSTS {
        let response = scenario.fleet.resolve(host).await.expect("a response");
        assert!(response.body.contains(&address), "{}\n{}", response.body, scenario.fleet.logs());
    }
    scenario.check_loss("toucanwall-hosts").await;
}

/// Guards against a blocked part of prompts that hosts let through until the waiting call times out.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn part_that_is_blocked_in_a_lost_answer_is_rejected_in_time() {
    let scenario = Scenario::start().await;
    let engine = backend::Backend::start("e-1", Behaviour::Stream { last: 3 }).await;
    scenario.fleet.register("engines", &engine, "ready");
    tokio::time::sleep(CONTACT).await;
    scenario.lose("toucanwall-crashes");
    block_part(&scenario.fleet);
    tokio::time::sleep(CONTACT).await;
    for host in 0..HOSTS {
        assert_part_is_rejected(&scenario.fleet, host).await;
    }
    assert!(engine.executed().is_empty(), "{}", scenario.fleet.logs());
    scenario.check_loss("toucanwall-crashes").await;
}

/// Guards against a first list that is awaited for long.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn host_whose_first_list_was_lost_is_ready_soon(
    #[values("config", "servers", "rollouts", "toucanwall-hosts", "toucanwall-crashes")] kind: &str,
) {
    let server = backend::Backend::start("s-1", Behaviour::Respond).await;
    let mut fleet = GatewayFleet::prepare().await;
    fleet.store.put("config", "main", &gateway_fleet::configuration(2));
    fleet.register("desk", &server, "ready");
    fleet.store.lose_lists(kind, 1);
    let started_at = time::Instant::now();
    fleet.add_ready_host().await;
    let response = fleet.send(0, "GET", "/read/x", &[]).await;
    assert_eq!(response.map(|it| it.status), Some(200), "{}", fleet.log(0));
    assert!(started_at.elapsed() < CONTACT, "{:?}\n{}", started_at.elapsed(), fleet.log(0));
}

/// Guards against a kind that nothing confirms because its checks are not answered either.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn server_that_leaves_while_no_call_for_changes_is_answered_receives_no_later_requests() {
    let scenario = Scenario::start().await;
    scenario.fleet.store.set_mode(store::Mode::UnansweredChanges);
    scenario.fleet.store.abort_watches();
    tokio::time::sleep(CONTACT).await;
    scenario.fleet.register("desk", &scenario.servers[0], "draining");
    tokio::time::sleep(CONTACT).await;
    assert_eq!(scenario.probe(0).await, 0, "{}", scenario.fleet.logs());
}
