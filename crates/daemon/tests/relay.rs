//! Hosts of one data centre that hear of the store's changes through each other.

mod site;

use std::time;

use rstest::rstest;
use site::Site;
use toucanwall_platform_standin::backend;
use toucanwall_platform_standin::proxy;

const HOSTS: usize = 5;
/// Hosts of a data centre that watch the store.
const RELAYS: usize = 2;

/// A fault of a host that relays.
#[derive(Debug, Clone, Copy)]
enum Fault {
    Kill,
    Pause,
    /// Its calls to the store get no answer.
    LoseStore,
}

/// Hosts whose calls to the store pass through a proxy each.
struct World {
    site: Site,
    store_proxies: Vec<proxy::Proxy>,
    _server: backend::Backend,
}

impl World {
    async fn start() -> Self {
        let server = backend::Backend::start("s-1", backend::Behaviour::Respond).await;
        let mut site = Site::prepare().await;
        site.store.put("config", "main", &site::configuration(2));
        site.register("desk", &server, "ready");
        let mut store_proxies = Vec::new();
        for _ in 0..HOSTS {
            let proxy = proxy::Proxy::start(site.store.address).await;
            site.store_address = proxy.address;
            store_proxies.push(proxy);
            site.add_host();
        }
        let world = Self { site, store_proxies, _server: server };
        let site = &world.site;
        for index in 0..HOSTS {
            site.wait_for("the host to be ready", async || site.is_ready(index).await).await;
        }
        let settled = async || world.relays().len() == RELAYS;
        site.wait_for("all but two hosts to listen to others", settled).await;
        world
    }

    /// Hosts that watch the store.
    fn relays(&self) -> Vec<usize> {
        (0..HOSTS).filter(|index| !self.listens(*index)).collect()
    }

    fn listens(&self, index: usize) -> bool {
        let log = self.site.log(index);
        let sources = log.lines().rfind(|line| line.contains("receiving changes from"));
        sources.is_some_and(|line| line.contains("from another host"))
    }

    /// Takes a key away, and checks that hosts refuse it in time.
    async fn revoke(&self, version: u64, hosts: &[usize]) {
        let mut next = site::configuration(version);
        next["tenants"][1]["api_keys"] = serde_json::json!([]);
        self.site.store.put("config", "main", &next);
        tokio::time::sleep(site::CONFIG_APPLY).await;
        let with_other = [("authorization", "Token key-2")];
        for index in hosts {
            let answer = self.site.send(*index, "GET", "/read/x", &with_other).await;
            let status = answer.map(|answer| answer.status);
            assert_eq!(status, Some(401), "host {index}\n{}", self.site.log(*index));
        }
    }
}

#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn a_change_costs_calls_of_few_hosts_and_reaches_all() {
    let world = World::start().await;
    // The calls of hosts that watched at the start have ended by now.
    tokio::time::sleep(time::Duration::from_secs(1)).await;
    let before = world.site.store.calls();
    world.revoke(5, &[0, 1, 2, 3, 4]).await;
    let calls = world.site.store.calls() - before;
    // A call that waits and its successor for each of two hosts, and their looks at the store.
    assert!(calls <= 20, "{calls} calls for one change");
}

#[rstest]
#[case::killed(Fault::Kill)]
#[case::paused(Fault::Pause)]
#[case::without_the_store(Fault::LoseStore)]
#[tokio::test(flavor = "multi_thread")]
async fn a_change_reaches_hosts_behind_relays_that_fail(#[case] fault: Fault) {
    let mut world = World::start().await;
    let relays = world.relays();
    for index in &relays {
        match fault {
            Fault::Kill => world.site.hosts[*index].child.kill().unwrap_or_default(),
            Fault::Pause => assert!(world.site.signal(*index, "-STOP")),
            Fault::LoseStore => world.store_proxies[*index].set_mode(proxy::Mode::Stall),
        }
    }
    let others: Vec<_> = (0..HOSTS).filter(|index| !relays.contains(index)).collect();
    world.revoke(5, &others).await;
}

#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn a_host_that_is_turned_away_by_the_store_hears_through_others() {
    let world = World::start().await;
    let listening: Vec<_> = (0..HOSTS).filter(|index| world.listens(*index)).collect();
    for index in &listening {
        world.store_proxies[*index].set_mode(proxy::Mode::Reset);
    }
    world.revoke(5, &listening).await;
}

/// The store turns both relays away for a while; the hosts behind them are bound by what it tells them.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn a_server_that_leaves_while_relays_are_turned_away_gets_nothing_new() {
    let world = World::start().await;
    let site = &world.site;
    let leaving = backend::Backend::start("s-2", backend::Behaviour::Respond).await;
    site.register("desk", &leaving, "ready");
    let relays = world.relays();
    let others: Vec<_> = (0..HOSTS).filter(|index| !relays.contains(index)).collect();
    for index in &relays {
        world.store_proxies[*index].set_mode(proxy::Mode::Reset);
    }
    let watches = async || others.iter().any(|index| !world.listens(*index));
    site.wait_for("one of the others to watch the store", watches).await;
    // By now it has asked the relays once more.
    tokio::time::sleep(time::Duration::from_millis(3_100)).await;
    site.store.delete("servers", "s-2");
    tokio::time::sleep(time::Duration::from_secs(2)).await;
    let before = leaving.executed().len();
    for index in others {
        for _ in 0..10 {
            let answer = site.send(index, "GET", "/read/x", &[]).await;
            assert_eq!(answer.map(|answer| answer.status), Some(200));
        }
    }
    assert_eq!(leaving.executed().len(), before, "{}", site.log(0));
}

/// Ids of requests that try a new version from the start of its roll-out.
fn early_ids() -> impl Iterator<Item = String> {
    let unit = |id: &String| xxhash_rust::xxh3::xxh3_64(id.as_bytes()) >> 32;
    (0..)
        .map(|number: u32| format!("early-{number}"))
        .filter(move |id| unit(id) < u64::from(u32::MAX) / 50)
}

/// No host sees enough of a bad version by itself; those that relay see what the others report.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn hosts_find_a_bad_version_together() {
    let world = World::start().await;
    let bad = backend::Backend::start("s-2", backend::Behaviour::Fail).await;
    world.site.register_version("desk", &bad, "v2");
    let order = serde_json::json!({ "service": "desk", "target": "v2", "duration_s": 24 });
    world.site.store.put("rollouts", "desk", &order);
    let state = || {
        let object = world.site.store.get("rollouts", "desk").unwrap_or_default();
        object["status"]["state"].as_str().unwrap_or("").to_owned()
    };
    world.site.wait_for("the roll-out to begin", async || state() == "in_progress").await;
    let known = async || (0..HOSTS).all(|index| world.site.log(index).contains("s-2"));
    world.site.wait_for("all hosts to know the new server", known).await;
    let mut ids = early_ids();
    for index in (0..HOSTS).filter(|index| world.listens(*index)) {
        for id in ids.by_ref().take(2) {
            let request = world.site.prepare_request(index, "POST", "/book/x", &id);
            assert_eq!(request.send().await.map(|answer| answer.status), Some(500), "{id}");
        }
    }
    world.site.wait_for("the roll-out to be reverted", async || state() == "reverted").await;
    assert_eq!(bad.executed().len(), 2 * (HOSTS - RELAYS));
}

#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn a_relay_that_was_paused_takes_nothing_back() {
    let world = World::start().await;
    let relays = world.relays();
    for index in &relays {
        assert!(world.site.signal(*index, "-STOP"));
    }
    let others: Vec<_> = (0..HOSTS).filter(|index| !relays.contains(index)).collect();
    world.revoke(5, &others).await;
    for index in &relays {
        assert!(world.site.signal(*index, "-CONT"));
    }
    let site = &world.site;
    let settled = async || world.relays().len() == RELAYS;
    site.wait_for("all but two hosts to listen to others", settled).await;
    let with_other = [("authorization", "Token key-2")];
    for index in 0..HOSTS {
        let answer = site.send(index, "GET", "/read/x", &with_other).await;
        assert_eq!(answer.map(|answer| answer.status), Some(401), "host {index}");
    }
}
