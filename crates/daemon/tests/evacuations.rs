//! Data centres that operators evacuate: their servers get no requests from the bound on, until the
//! evacuation ends.

mod gateway_fleet;

use std::time;

use gateway_fleet::GatewayFleet;
use rstest::rstest;
use toucanwall_platform_standin::backend;
use toucanwall_platform_standin::backend::Behaviour;
use toucanwall_platform_standin::proxy;

/// Enough hosts in a data centre that one of them hears of changes through another.
const HOSTS: usize = 3;
/// Hosts among them that watch the store.
const WATCHING_HOSTS: u64 = 2;
/// Data centre of the hosts, whose servers they prefer.
const LOCAL: &str = "dc-1";
/// Another data centre.
const REMOTE: &str = "dc-2";
/// Time from the store's acknowledgement after which nothing is sent to evacuated servers: the
/// `evacuation_ms` setting of these hosts.
const BOUND: time::Duration = time::Duration::from_secs(3);
/// Time for which requests are sent after the bound.
const WATCHED: time::Duration = time::Duration::from_millis(1_500);
/// Time for a response that needs no server.
const PROMPT: time::Duration = time::Duration::from_millis(500);
/// Pause between two requests to a host.
const INTERVAL: time::Duration = time::Duration::from_millis(10);
/// Pause before each event of a slow stream.
const EVENT_INTERVAL: time::Duration = time::Duration::from_millis(300);
const LAST_EVENT: u64 = 6;

/// Hosts with a server in the data centre that is evacuated and one in another.
struct Scenario {
    fleet: GatewayFleet,
    evacuated: backend::Backend,
    remaining: backend::Backend,
    path: &'static str,
    /// Data centre that is evacuated.
    data_centre: &'static str,
}

impl Scenario {
    /// Starts the servers, the evacuated one in `data_centre`; the first behaviour is that of this one.
    async fn prepare(
        path: &'static str,
        data_centre: &'static str,
        behaviours: [Behaviour; 2],
    ) -> Self {
        let [evacuated, remaining] = behaviours;
        let evacuated = backend::Backend::start("s-evacuated", evacuated).await;
        let remaining = backend::Backend::start("s-remaining", remaining).await;
        let mut fleet = GatewayFleet::prepare().await;
        fleet.evacuation_ms = u64::try_from(BOUND.as_millis()).ok();
        fleet.store.put("config", "main", &gateway_fleet::configuration(2));
        let service = if path.starts_with("/chat/") { "engines" } else { "desk" };
        fleet.register_in(service, &evacuated, data_centre);
        let other = if data_centre == LOCAL { REMOTE } else { LOCAL };
        fleet.register_in(service, &remaining, other);
        Self { fleet, evacuated, remaining, path, data_centre }
    }

    async fn start(
        path: &'static str,
        data_centre: &'static str,
        hosts: usize,
        behaviours: [Behaviour; 2],
    ) -> Self {
        let mut scenario = Self::prepare(path, data_centre, behaviours).await;
        for _ in 0..hosts {
            scenario.fleet.add_host();
        }
        let fleet = &scenario.fleet;
        for host in 0..hosts {
            fleet.wait_for("the host to be ready", async || fleet.is_ready(host).await).await;
        }
        if hosts == HOSTS {
            let one_subscribes = async || (0..HOSTS).any(|host| scenario.uses_relay(host));
            fleet.wait_for("a host to subscribe to a relay", one_subscribes).await;
        }
        scenario
    }

    fn uses_relay(&self, host: usize) -> bool {
        let log = self.fleet.log(host);
        let last_source = log.lines().rfind(|line| line.contains("receiving changes from"));
        last_source.is_some_and(|line| line.contains("from another host"))
    }

    async fn send(&self, host: usize) -> Option<gateway_fleet::Response> {
        let method = if self.path.starts_with("/read/") { "GET" } else { "POST" };
        self.fleet.send(host, method, self.path, &[]).await
    }

    /// Starts the evacuation; returns when the store had acknowledged it.
    fn evacuate(&self) -> time::Instant {
        self.fleet.store.put("evacuations", self.data_centre, &serde_json::json!({}));
        time::Instant::now()
    }

    fn end_evacuation(&self) {
        self.fleet.store.delete("evacuations", self.data_centre);
    }

    /// Sends requests to the hosts, one after the other, until `until`.
    async fn send_until(&self, hosts: &[usize], until: time::Instant) {
        while time::Instant::now() < until {
            for host in hosts {
                self.send(*host).await;
            }
            tokio::time::sleep(INTERVAL).await;
        }
    }

    /// Sends requests to each of the hosts until the server in question has received one from it.
    async fn wait_for_use(&self, hosts: &[usize]) {
        for host in hosts {
            let is_used = async || {
                let before = self.evacuated.arrivals().len();
                self.send(*host).await;
                self.evacuated.arrivals().len() > before
            };
            self.fleet.wait_for("the server to receive a request", is_used).await;
        }
    }

    /// Requests that reached the evacuated server after the given time.
    fn arrivals_after(&self, time: time::Instant) -> usize {
        self.evacuated.arrivals().iter().filter(|arrival| arrival.at > time).count()
    }

    /// Evacuates the data centre under load and checks that nothing reaches it after the bound.
    async fn check_evacuation(&self, hosts: &[usize]) {
        let bound = self.evacuate() + BOUND;
        self.send_until(hosts, bound + WATCHED).await;
        assert_eq!(self.arrivals_after(bound), 0, "{}", self.fleet.logs());
    }

    /// Checks the number of evacuated data centres that the hosts report.
    async fn check_metric(&self, hosts: &[usize], data_centres: usize) {
        let line = format!("toucanwall_evacuated_data_centres {data_centres}\n");
        for host in hosts {
            let metrics = self.fleet.metrics(*host).await;
            assert!(metrics.contains(&line), "{metrics}");
        }
    }

    /// Checks that the remaining server answers what the hosts are sent.
    async fn check_service(&self, hosts: &[usize]) {
        for host in hosts {
            let response = self.send(*host).await;
            assert_eq!(response.map(|it| it.status), Some(200), "{}", self.fleet.log(*host));
        }
    }
}

/// Guards against first attempts at evacuated servers, by hosts that watch the store and by one behind
/// a relay, and against servers that stay unused after the end of an evacuation.
#[rstest]
#[case::idempotent("/read/x", Behaviour::Respond)]
#[case::non_idempotent("/book/x", Behaviour::Respond)]
#[case::stream("/chat/x", Behaviour::Stream { last: LAST_EVENT })]
#[tokio::test(flavor = "multi_thread")]
async fn evacuated_server_receives_no_first_attempts_until_the_end(
    #[case] path: &'static str,
    #[case] behaviour: Behaviour,
) {
    let scenario = Scenario::start(path, LOCAL, HOSTS, [behaviour.clone(), behaviour]).await;
    let hosts: Vec<_> = (0..HOSTS).collect();
    scenario.wait_for_use(&hosts).await;
    scenario.check_evacuation(&hosts).await;
    scenario.check_service(&hosts).await;
    scenario.check_metric(&hosts, 1).await;
    scenario.end_evacuation();
    let ended_at = time::Instant::now();
    scenario.wait_for_use(&hosts).await;
    assert!(ended_at.elapsed() < BOUND, "{:?}\n{}", ended_at.elapsed(), scenario.fleet.logs());
    scenario.check_metric(&hosts, 0).await;
}

/// Guards against a retry at the only server that has not failed, which is evacuated.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn evacuated_server_receives_no_retries() {
    let behaviours = [Behaviour::Respond, Behaviour::Fail];
    let scenario = Scenario::start("/read/x", REMOTE, 1, behaviours).await;
    scenario.wait_for_use(&[0]).await;
    scenario.check_evacuation(&[0]).await;
    assert_eq!(scenario.send(0).await.map(|it| it.status), Some(500), "{}", scenario.fleet.log(0));
}

/// Guards against a stream that is resumed at an evacuated server.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn stream_is_not_resumed_at_an_evacuated_server() {
    let whole = Behaviour::Stream { last: LAST_EVENT };
    let broken = Behaviour::TruncateStream { after: LAST_EVENT / 2 };
    let scenario = Scenario::start("/chat/x", REMOTE, 1, [whole, broken]).await;
    let is_resumed = async || {
        scenario.send(0).await;
        let executed = scenario.evacuated.executed();
        executed.iter().any(|it| it.headers.contains_key("last-event-id"))
    };
    scenario.fleet.wait_for("a stream to be resumed", is_resumed).await;
    scenario.check_evacuation(&[0]).await;
    let response = scenario.send(0).await.expect("a response");
    assert!(!response.is_complete, "{response:?}");
}

/// Guards against a stream that began before the evacuation, breaks off after the bound and is resumed
/// at an evacuated server.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn stream_that_began_before_the_evacuation_is_not_resumed_there() {
    let events = u64::try_from((BOUND + WATCHED).as_millis() / EVENT_INTERVAL.as_millis());
    let after = events.expect("a few events");
    let behaviours = [
        Behaviour::Stream { last: after + LAST_EVENT },
        Behaviour::TruncateSlowStream { after, pause: EVENT_INTERVAL },
    ];
    let mut scenario = Scenario::prepare("/chat/x", REMOTE, behaviours).await;
    let mut configuration = gateway_fleet::configuration(3);
    configuration["routes"][2]["timeout_ms"] = 20_000.into();
    scenario.fleet.store.put("config", "main", &configuration);
    scenario.fleet.store.delete("servers", "s-evacuated");
    scenario.fleet.add_ready_host().await;
    let headers = [("x-toucanwall-deadline-ms", "20000")];
    let stream = scenario.fleet.prepare_request_with(0, "POST", "/chat/x", "0a", &headers);
    let stream = tokio::spawn(stream.send());
    let has_begun = async || !scenario.remaining.arrivals().is_empty();
    scenario.fleet.wait_for("the stream to begin", has_begun).await;
    scenario.fleet.register_in("engines", &scenario.evacuated, REMOTE);
    let bound = scenario.evacuate() + BOUND;
    let response = stream.await.expect("the request ends").expect("a response");
    let numbers = gateway_fleet::event_numbers(&response.body);
    assert_eq!(numbers.last(), Some(&after), "{}", scenario.fleet.log(0));
    assert!(!response.is_complete && time::Instant::now() > bound, "{response:?}");
    assert_eq!(scenario.arrivals_after(bound), 0, "{}", scenario.fleet.log(0));
}

/// Guards against a host that serves requests before it knows of evacuations, also if the first answer
/// about them is lost.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn host_that_starts_during_an_evacuation_sends_nothing_there(
    #[values(false, true)] loses_first_list: bool,
) {
    let mut scenario =
        Scenario::prepare("/read/x", LOCAL, [Behaviour::Respond, Behaviour::Respond]).await;
    scenario.evacuate();
    scenario.fleet.add_ready_host().await;
    tokio::time::sleep(BOUND).await;
    if loses_first_list {
        scenario.fleet.store.lose_lists("evacuations", 1);
    }
    scenario.fleet.add_ready_host().await;
    scenario.send_until(&[0, 1], time::Instant::now() + WATCHED).await;
    assert_eq!(scenario.evacuated.arrivals().len(), 0, "{}", scenario.fleet.logs());
    scenario.check_service(&[0, 1]).await;
}

/// Guards against an evacuation that hosts learn of only when their waiting call times out.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn evacuation_of_which_the_answer_was_lost_takes_effect_in_time() {
    let behaviours = [Behaviour::Respond, Behaviour::Respond];
    let scenario = Scenario::start("/read/x", LOCAL, HOSTS, behaviours).await;
    // Calls for changes wait for a short time only after a start.
    tokio::time::sleep(BOUND).await;
    let hosts: Vec<_> = (0..HOSTS).collect();
    scenario.wait_for_use(&hosts).await;
    scenario.fleet.store.lose_watch_responses("evacuations", WATCHING_HOSTS);
    scenario.check_evacuation(&hosts).await;
    let mut found = 0;
    for host in hosts {
        let name = "toucanwall_lost_watches_total{kind=\"evacuations\"} 1";
        found += usize::from(scenario.fleet.metrics(host).await.contains(name));
    }
    assert!(found > 0, "no host has found a lost answer\n{}", scenario.fleet.logs());
}

/// Guards against a host that misses an evacuation because its relays end at that moment.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn evacuation_reaches_a_host_whose_relays_are_killed() {
    let behaviours = [Behaviour::Respond, Behaviour::Respond];
    let mut scenario = Scenario::start("/read/x", LOCAL, HOSTS, behaviours).await;
    let subscribers: Vec<_> = (0..HOSTS).filter(|host| scenario.uses_relay(*host)).collect();
    scenario.wait_for_use(&subscribers).await;
    for host in (0..HOSTS).filter(|host| !subscribers.contains(host)) {
        scenario.fleet.hosts[host].child.kill().expect("the host runs");
    }
    scenario.check_evacuation(&subscribers).await;
    scenario.check_service(&subscribers).await;
}

/// Guards against a host that uses the servers again while it cannot know whether the evacuation has
/// ended, and against one that never hears of the end.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn evacuation_that_ends_while_a_host_is_cut_off_ends_for_it_afterwards(
    #[values(false, true)] drops_history: bool,
    #[values(proxy::Mode::Reset, proxy::Mode::Stall)] cut: proxy::Mode,
) {
    let behaviours = [Behaviour::Respond, Behaviour::Respond];
    let mut scenario = Scenario::prepare("/read/x", LOCAL, behaviours).await;
    let store_proxy = proxy::Proxy::start(scenario.fleet.store.address).await;
    scenario.fleet.store_address = store_proxy.address;
    scenario.fleet.add_ready_host().await;
    scenario.wait_for_use(&[0]).await;
    scenario.check_evacuation(&[0]).await;
    store_proxy.set_mode(cut);
    scenario.end_evacuation();
    if drops_history {
        scenario.fleet.store.drop_history();
    }
    let cut_at = time::Instant::now();
    scenario.send_until(&[0], cut_at + BOUND).await;
    assert_eq!(scenario.arrivals_after(cut_at), 0, "{}", scenario.fleet.log(0));
    scenario.check_service(&[0]).await;
    store_proxy.set_mode(proxy::Mode::Forward);
    scenario.wait_for_use(&[0]).await;
}

/// Guards against an evacuation that begins while a host is cut off and is missed by it afterwards.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn evacuation_that_begins_while_a_host_is_cut_off_holds_for_it_afterwards(
    #[values(false, true)] drops_history: bool,
) {
    let behaviours = [Behaviour::Respond, Behaviour::Respond];
    let mut scenario = Scenario::prepare("/read/x", LOCAL, behaviours).await;
    let store_proxy = proxy::Proxy::start(scenario.fleet.store.address).await;
    scenario.fleet.store_address = store_proxy.address;
    scenario.fleet.add_ready_host().await;
    scenario.wait_for_use(&[0]).await;
    store_proxy.set_mode(proxy::Mode::Reset);
    scenario.evacuate();
    if drops_history {
        scenario.fleet.store.drop_history();
    }
    tokio::time::sleep(BOUND).await;
    store_proxy.set_mode(proxy::Mode::Forward);
    let bound = time::Instant::now() + BOUND;
    scenario.send_until(&[0], bound + WATCHED).await;
    assert_eq!(scenario.arrivals_after(bound), 0, "{}", scenario.fleet.log(0));
    scenario.check_service(&[0]).await;
}

/// Guards against requests that wait for servers of an evacuated data centre.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn requests_are_rejected_at_once_if_all_servers_are_evacuated() {
    let behaviours = [Behaviour::Respond, Behaviour::Respond];
    let scenario = Scenario::start("/read/x", LOCAL, 1, behaviours).await;
    scenario.fleet.store.delete("servers", "s-remaining");
    scenario.evacuate();
    tokio::time::sleep(BOUND).await;
    let started = time::Instant::now();
    let response = scenario.send(0).await.expect("a response");
    assert_eq!(response.status, 503, "{}", scenario.fleet.log(0));
    assert!(started.elapsed() < PROMPT, "{:?}", started.elapsed());
}
