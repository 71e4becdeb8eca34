//! Servers that name a limit for the requests that they take from all hosts together.

mod gateway_fleet;

use std::collections;
use std::sync::Arc;
use std::sync::atomic;
use std::time;

use gateway_fleet::GatewayFleet;
use rstest::rstest;
use toucanwall_platform_standin::backend;
use toucanwall_platform_standin::backend::Behaviour;

/// Window in which requests to a limited server are counted.
const WINDOW: time::Duration = time::Duration::from_secs(4);
/// Time after a response that names a limit from which requests of its host are counted.
const NOTICE_TIME: time::Duration = time::Duration::from_millis(500);
/// Time for which callers send requests while a server names a limit.
const LIMITED_TIME: time::Duration = time::Duration::from_secs(10);
/// Pause of a caller between two requests.
const CALLER_PAUSE: time::Duration = time::Duration::from_millis(20);
const LAST_EVENT: u64 = 6;

/// Number of requests that a server with this limit may get within [`WINDOW`]: one and a half times the
/// limit, and five more.
fn allowed_requests(limit: &str) -> f64 {
    let per_s: f64 = limit.parse().expect("a number");
    1.5 * WINDOW.as_secs_f64() * per_s + 5.0
}

/// The host that a request was sent to, by the beginning of its id.
fn host_of(attempt_id: &str) -> &str {
    attempt_id.split('-').next().unwrap_or_default()
}

/// The largest number of requests that reached a server within a window from hosts that it had told of
/// a limit half a second before.
fn most_requests_from_told_hosts(server: &backend::Backend) -> u32 {
    let mut told = collections::BTreeMap::new();
    for named in server.named_limits() {
        told.entry(host_of(&named.attempt_id).to_owned()).or_insert(named.at);
    }
    let arrivals = server.arrivals();
    let counted = arrivals.iter().filter(|arrival| {
        told.get(host_of(&arrival.attempt_id)).is_some_and(|at| arrival.at > *at + NOTICE_TIME)
    });
    let times: Vec<_> = counted.map(|arrival| arrival.at).collect();
    let within = |first: &time::Instant| {
        times.iter().filter(|at| *at >= first && **at < *first + WINDOW).count()
    };
    let most = times.iter().map(within).max().unwrap_or(0);
    u32::try_from(most).expect("a small number")
}

/// Sends requests to a host one after the other until `is_finished`.
async fn run_caller(
    fleet: Arc<GatewayFleet>,
    host: usize,
    caller: usize,
    path: &'static str,
    is_finished: Arc<atomic::AtomicBool>,
) -> usize {
    let mut served = 0;
    for number in 0.. {
        if is_finished.load(atomic::Ordering::SeqCst) {
            break;
        }
        let id = format!("{host}-{caller}-{number}");
        let method = if path.starts_with("/read/") { "GET" } else { "POST" };
        let response = fleet.prepare_request(host, method, path, &id).send().await;
        served += usize::from(response.is_some_and(|response| response.status == 200));
        tokio::time::sleep(CALLER_PAUSE).await;
    }
    served
}

/// Hosts with callers, and two servers, one of which names a limit.
struct Scenario {
    fleet: Arc<GatewayFleet>,
    limited: backend::Backend,
    callers: tokio::task::JoinSet<usize>,
    is_finished: Arc<atomic::AtomicBool>,
}

impl Scenario {
    async fn start(path: &'static str, hosts: usize, callers_per_host: usize) -> Self {
        let is_stream = path.starts_with("/chat/");
        let behaviour =
            if is_stream { Behaviour::Stream { last: LAST_EVENT } } else { Behaviour::Respond };
        let service = if is_stream { "engines" } else { "desk" };
        let limited = backend::Backend::start("s-1", behaviour.clone()).await;
        let other = backend::Backend::start("s-2", behaviour).await;
        let fleet = GatewayFleet::start(hosts, &[(service, &limited), (service, &other)]).await;
        let fleet = Arc::new(fleet);
        let is_finished = Arc::new(atomic::AtomicBool::new(false));
        let mut callers = tokio::task::JoinSet::new();
        for caller in 0..hosts * callers_per_host {
            let (fleet, is_finished) = (Arc::clone(&fleet), Arc::clone(&is_finished));
            callers.spawn(run_caller(fleet, caller % hosts, caller, path, is_finished));
        }
        Self { fleet, limited, callers, is_finished }
    }

    /// Lets all callers finish; returns how many requests were served.
    async fn finish(&mut self) -> usize {
        self.is_finished.store(true, atomic::Ordering::SeqCst);
        let mut served = 0;
        while let Some(caller) = self.callers.join_next().await {
            served += caller.expect("a caller does not panic");
        }
        served
    }

    fn assert_limit_is_kept(&self, limit: &str) {
        let most = most_requests_from_told_hosts(&self.limited);
        let allowed = allowed_requests(limit);
        println!("at most {most} requests in {WINDOW:?} at {limit} a second, {allowed} allowed");
        assert!(
            f64::from(most) <= allowed,
            "{most} requests in {WINDOW:?}, {allowed} allowed\n{}",
            self.fleet.log(0)
        );
    }
}

#[rstest]
#[case::safe("/read/x", 2, "2.0")]
#[case::unsafe_on_new_connections("/book/x", 2, "2.0")]
#[case::stream("/chat/x", 2, "2.0")]
#[case::many_hosts("/read/x", 6, "2.2")]
#[case::low("/read/x", 6, "0.5")]
#[tokio::test(flavor = "multi_thread")]
async fn hosts_together_keep_the_limit_that_a_server_names(
    #[case] path: &'static str,
    #[case] hosts: usize,
    #[case] limit: &str,
) {
    let mut scenario = Scenario::start(path, hosts, 3).await;
    tokio::time::sleep(time::Duration::from_millis(500)).await;
    scenario.limited.name_limit(Some(limit));
    tokio::time::sleep(LIMITED_TIME).await;
    scenario.finish().await;
    scenario.assert_limit_is_kept(limit);
}

/// Two hosts with callers, and a single server, which names a limit.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn limit_is_used_and_what_is_beyond_it_is_rejected_with_a_time_to_come_back() {
    const HOSTS: usize = 2;
    const CALLERS_PER_HOST: usize = 3;
    let server = backend::Backend::start("s-1", Behaviour::Respond).await;
    let fleet = GatewayFleet::start(HOSTS, &[("desk", &server)]).await;
    server.name_limit(Some("10"));
    // Views of the hosts count as the same some seconds after the start.
    let counted_from = time::Instant::now() + time::Duration::from_secs(5);
    let until = counted_from + LIMITED_TIME;
    let mut callers = tokio::task::JoinSet::new();
    for caller in 0..HOSTS * CALLERS_PER_HOST {
        let requests: Vec<_> = (0..2_000)
            .map(|number| {
                let id = format!("{}-{caller}-{number}", caller % HOSTS);
                fleet.prepare_request(caller % HOSTS, "GET", "/read/x", &id)
            })
            .collect();
        callers.spawn(async move {
            let mut served = 0;
            for request in requests {
                let sent = time::Instant::now();
                if sent > until {
                    break;
                }
                let response = request.send().await.expect("a response");
                if response.status == 200 {
                    served += usize::from(sent > counted_from);
                } else {
                    assert_eq!(response.status, 503);
                    assert!(sent.elapsed() < time::Duration::from_secs(1), "held");
                    let retry_after_s: f64 = response
                        .header("retry-after")
                        .and_then(|value| value.parse().ok())
                        .expect("a time to come back");
                    assert!((0.5..=4.0).contains(&retry_after_s), "{retry_after_s} s");
                }
                tokio::time::sleep(CALLER_PAUSE).await;
            }
            served
        });
    }
    let served: usize = callers.join_all().await.into_iter().sum();
    println!("{served} of 100 requests served");
    assert!(served >= 60, "{served} of 100 requests served\n{}", fleet.log(0));
    let most = most_requests_from_told_hosts(&server);
    assert!(f64::from(most) <= allowed_requests("10"), "{most} requests in {WINDOW:?}");
}

#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn load_comes_back_after_the_end_of_a_limit() {
    let mut scenario = Scenario::start("/read/x", 2, 3).await;
    scenario.limited.name_limit(Some("1.0"));
    tokio::time::sleep(time::Duration::from_secs(3)).await;
    scenario.limited.name_limit(None);
    // At this limit a request goes out each second, and its response shows the end.
    tokio::time::sleep(time::Duration::from_secs(4)).await;
    let before = scenario.limited.arrivals().len();
    tokio::time::sleep(time::Duration::from_secs(2)).await;
    let requests = scenario.limited.arrivals().len() - before;
    scenario.finish().await;
    assert!(requests > 50, "{requests} requests in 2 s\n{}", scenario.fleet.log(0));
}

#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn host_hears_of_a_limit_from_another_host() {
    let server = backend::Backend::start("s-1", Behaviour::Respond).await;
    let fleet = GatewayFleet::start(2, &[("desk", &server)]).await;
    for (host, other) in [(0, 1), (1, 0)] {
        let address = fleet.caller_address(other).to_string();
        let is_known = async || {
            fleet.resolve(host).await.is_some_and(|response| response.body.contains(&address))
        };
        fleet.wait_for("the hosts to know each other", is_known).await;
    }
    server.name_limit(Some("1.0"));
    fleet.send(0, "GET", "/read/x", &[]).await;
    let has_heard = async || fleet.log(1).contains("limit of a server");
    fleet.wait_for("the other host to hear of the limit", has_heard).await;
    assert_eq!(server.arrivals().len(), 1);
}

#[rstest]
#[case::negative("-1")]
#[case::not_a_number("nan")]
#[case::exponent("1e3")]
#[case::empty("")]
#[case::word("none")]
#[case::no_server_reaches_it(&"9".repeat(400))]
#[tokio::test(flavor = "multi_thread")]
async fn value_without_a_meaning_limits_nothing(#[case] value: &str) {
    let server = backend::Backend::start("s-1", Behaviour::Respond).await;
    let fleet = GatewayFleet::start(1, &[("desk", &server)]).await;
    server.name_limit(Some(value));
    for _ in 0..30 {
        let response = fleet.send(0, "GET", "/read/x", &[]).await.expect("a response");
        assert_eq!(response.status, 200, "{}", fleet.log(0));
    }
}

#[rstest]
#[case::zero("0")]
#[case::lowest_of_several("10, 0.05")]
#[tokio::test(flavor = "multi_thread")]
async fn server_with_a_very_low_limit_gets_a_rare_request(#[case] value: &str) {
    let mut scenario = Scenario::start("/read/x", 2, 3).await;
    scenario.limited.name_limit(Some(value));
    tokio::time::sleep(time::Duration::from_secs(1)).await;
    let before = scenario.limited.arrivals().len();
    tokio::time::sleep(time::Duration::from_secs(8)).await;
    let requests = scenario.limited.arrivals().len() - before;
    scenario.finish().await;
    assert!(requests <= 3, "{requests} requests in 8 s\n{}", scenario.fleet.log(0));
}

#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn later_run_of_a_server_has_no_limit() {
    let server = backend::Backend::start("s-1", Behaviour::Respond).await;
    let fleet = GatewayFleet::start(1, &[]).await;
    fleet.register_run("desk", &server, 1);
    let is_served = async || {
        fleet.send(0, "GET", "/read/x", &[]).await.is_some_and(|response| response.status == 200)
    };
    fleet.wait_for("the server to be known", is_served).await;
    server.name_limit(Some("0"));
    is_served().await;
    assert!(!is_served().await, "{}", fleet.log(0));
    server.name_limit(None);
    fleet.register_run("desk", &server, 2);
    fleet.wait_for("the later run to be used", is_served).await;
}

/// While all servers are at their limits, permits go to the most urgent of the requests that wait.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn urgent_requests_are_served_first() {
    const CALLERS: usize = 6;
    let server = backend::Backend::start("s-1", Behaviour::Respond).await;
    let mut fleet = GatewayFleet::prepare().await;
    let mut configuration = gateway_fleet::configuration(2);
    configuration["routes"][0]["priority"] = 3.into();
    configuration["routes"][1]["priority"] = 0.into();
    fleet.store.put("config", "main", &configuration);
    fleet.register("desk", &server, "ready");
    fleet.add_ready_host().await;
    let fleet = Arc::new(fleet);
    server.name_limit(Some("5"));
    let is_finished = Arc::new(atomic::AtomicBool::new(false));
    let run = |path: &'static str| {
        let mut callers = tokio::task::JoinSet::new();
        for caller in 0..CALLERS {
            let caller = caller + if path == "/book/x" { CALLERS } else { 0 };
            let (fleet, is_finished) = (Arc::clone(&fleet), Arc::clone(&is_finished));
            callers.spawn(run_caller(fleet, 0, caller, path, is_finished));
        }
        callers
    };
    let (others, urgent) = (run("/read/x"), run("/book/x"));
    tokio::time::sleep(LIMITED_TIME).await;
    is_finished.store(true, atomic::Ordering::SeqCst);
    let others: usize = others.join_all().await.into_iter().sum();
    let urgent: usize = urgent.join_all().await.into_iter().sum();
    println!("{urgent} urgent and {others} other requests served");
    assert!(urgent > 3 * others, "{urgent} urgent and {others} others\n{}", fleet.log(0));
}

/// Responses that may come from another server or answer another request end no limit.
#[rstest]
#[case::without_seal(Behaviour::MissingSeal)]
#[case::of_another_attempt(Behaviour::WrongAttemptId)]
#[case::without_an_id(Behaviour::MissingAttemptId)]
#[tokio::test(flavor = "multi_thread")]
async fn limit_ends_only_with_a_response_that_is_certainly_its_servers(
    #[case] behaviour: Behaviour,
) {
    let server = backend::Backend::start("s-1", Behaviour::Respond).await;
    let fleet = GatewayFleet::start(1, &[("desk", &server)]).await;
    server.name_limit(Some("10"));
    fleet.send(0, "GET", "/read/x", &[]).await.expect("a response");
    server.name_limit(None);
    server.enqueue([behaviour]);
    let has_arrived = async |count: usize| {
        fleet.send(0, "POST", "/book/x", &[]).await.expect("a response");
        server.arrivals().len() == count
    };
    fleet.wait_for("the doubtful response", async || has_arrived(2).await).await;
    tokio::time::sleep(time::Duration::from_millis(50)).await;
    assert!(!fleet.log(0).contains("\"Ended\""), "{}", fleet.log(0));
    fleet.wait_for("a sealed response", async || has_arrived(3).await).await;
    let has_ended = async || fleet.log(0).contains("\"Ended\"");
    fleet.wait_for("the end of the limit", has_ended).await;
}

/// With 421 another server answers than the one that was asked.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn limit_of_another_server_at_the_address_concerns_nobody() {
    let server = backend::Backend::start("s-1", Behaviour::Respond).await;
    let moved = backend::Backend::start("s-2", Behaviour::Respond).await;
    let mut fleet = GatewayFleet::prepare().await;
    fleet.store.put("config", "main", &gateway_fleet::configuration(2));
    fleet.register_at("desk", &moved, server.address, "ready");
    fleet.add_ready_host().await;
    server.name_limit(Some("0"));
    for _ in 0..3 {
        fleet.send(0, "GET", "/read/x", &[]).await.expect("a response");
    }
    assert_eq!(server.arrivals().len(), 3, "{}", fleet.log(0));
}

/// A further attempt of a request keeps a limit as the first one does.
#[rstest]
#[case::retry("/read/x", Behaviour::Fail)]
#[case::resumption("/chat/x", Behaviour::TruncateStream { after: 2 })]
#[case::escalation("/chat/x", Behaviour::LowConfidenceStream { last: LAST_EVENT })]
#[tokio::test(flavor = "multi_thread")]
async fn further_attempts_keep_the_limit(#[case] path: &str, #[case] first_attempt: Behaviour) {
    const REQUESTS: usize = 30;
    let is_stream = path.starts_with("/chat/");
    let (service, method) = if is_stream { ("engines", "POST") } else { ("desk", "GET") };
    let whole = if is_stream { Behaviour::Stream { last: LAST_EVENT } } else { Behaviour::Respond };
    let limited = backend::Backend::start("s-1", whole.clone()).await;
    let other = backend::Backend::start("s-2", first_attempt).await;
    let mut fleet = GatewayFleet::prepare().await;
    fleet.store.put("config", "main", &gateway_fleet::cascade_configuration(2));
    fleet.register(service, &limited, "ready");
    fleet.register(service, &other, "ready");
    fleet.add_ready_host().await;
    let model = [("x-toucanwall-model-name", "*"), ("x-toucanwall-token-count", "100,10")];
    limited.name_limit(Some("0"));
    let is_told = async || {
        fleet.send(0, method, path, &model).await;
        !limited.arrivals().is_empty()
    };
    fleet.wait_for("the host to be told", is_told).await;
    let (limited_before, other_before) = (limited.arrivals().len(), other.arrivals().len());
    for _ in 0..REQUESTS {
        fleet.send(0, method, path, &model).await;
    }
    let sends = limited.arrivals().len() - limited_before;
    println!("{sends} requests, {} at the other server", other.arrivals().len() - other_before);
    assert!(other.arrivals().len() >= other_before + REQUESTS, "{}", fleet.log(0));
    assert!(sends <= 3, "{sends} requests\n{}", fleet.log(0));
}
