//! Servers that have just started and take few requests.

mod gateway_fleet;

use std::time;

use gateway_fleet::GatewayFleet;
use rstest::rstest;
use toucanwall_platform_standin::backend;
use toucanwall_platform_standin::backend::Behaviour;

const LAST_EVENT: u64 = 6;
/// Time for which servers are cold, in milliseconds: longer than any test.
const COLD_MS: u64 = 120_000;
/// Time after which a host that has just registered sends its whole share.
const SETTLING_TIME: time::Duration = time::Duration::from_secs(5);
/// Requests a second that a cold server takes.
const PER_S: u64 = 4;
/// Requests that it bears in any second.
const BOUND: usize = 11;

/// Starts a host; services have limits for cold servers if `has_limits`.
async fn start(
    has_limits: bool,
    service: &str,
    warm: Option<&backend::Backend>,
    cold: &backend::Backend,
) -> GatewayFleet {
    let mut fleet = GatewayFleet::prepare().await;
    let mut configuration = gateway_fleet::cascade_configuration(2);
    if has_limits {
        for service in configuration["services"].as_array_mut().expect("services") {
            service["cold_start_s"] = 20.into();
            service["cold_per_s"] = PER_S.into();
        }
    }
    fleet.cold_bounds = Some((1.5, 5));
    fleet.store.put("config", "main", &configuration);
    fleet.register_cold(service, cold, COLD_MS);
    if let Some(warm) = warm {
        fleet.register_cold(service, warm, 0);
    }
    fleet.add_ready_host().await;
    fleet
}

/// Most requests that reached a server in a second.
fn worst_second(server: &backend::Backend) -> usize {
    let times: Vec<_> = server.arrivals().iter().map(|arrival| arrival.at).collect();
    let second = time::Duration::from_secs(1);
    let within = |first: &time::Instant| {
        times.iter().filter(|at| *at >= first && **at < *first + second).count()
    };
    times.iter().map(within).max().unwrap_or(0)
}

/// Sends requests for a time, some at once; returns the statuses and the times after which callers may
/// come back.
async fn call(
    fleet: &GatewayFleet,
    method: &str,
    path: &str,
    length: time::Duration,
) -> Vec<(u16, Option<f64>)> {
    let (started, mut callers) = (time::Instant::now(), tokio::task::JoinSet::new());
    for number in 0.. {
        if started.elapsed() >= length {
            break;
        }
        let id = format!("{:016x}-{number}", rand::random::<u64>());
        let model = [("x-toucanwall-model-name", "*"), ("x-toucanwall-token-count", "100,10")];
        let headers = if path.starts_with("/chat/") { &model[..] } else { &[] };
        callers.spawn(fleet.prepare_request_with(0, method, path, &id, headers).send());
        tokio::time::sleep(time::Duration::from_millis(10)).await;
    }
    let answered = |response: gateway_fleet::Response| {
        let retry_after = response.header("retry-after").and_then(|value| value.parse().ok());
        (response.status, retry_after)
    };
    callers.join_all().await.into_iter().flatten().map(answered).collect()
}

/// Guards against a path on which requests reach a cold server without being counted. Without limits
/// the same requests exceed the bound.
#[rstest]
#[case::first_attempt("/read/x", Behaviour::Respond)]
#[case::retry("/read/x", Behaviour::Fail)]
#[case::retry_after_refusal("/read/x", Behaviour::Decline)]
#[case::resumption("/chat/x", Behaviour::TruncateStream { after: 2 })]
#[case::escalation("/chat/x", Behaviour::LowConfidenceStream { last: LAST_EVENT })]
#[tokio::test(flavor = "multi_thread")]
async fn no_path_exceeds_the_bound(
    #[case] path: &str,
    #[case] behaviour: Behaviour,
    #[values(true, false)] has_limits: bool,
) {
    let is_stream = path.starts_with("/chat/");
    let (service, method) = if is_stream { ("engines", "POST") } else { ("desk", "GET") };
    let warm = backend::Backend::start("s-1", behaviour).await;
    let other = if is_stream { Behaviour::Stream { last: LAST_EVENT } } else { Behaviour::Respond };
    let cold = backend::Backend::start("s-2", other).await;
    let fleet = start(has_limits, service, Some(&warm), &cold).await;
    let started = time::Instant::now();
    call(&fleet, method, path, SETTLING_TIME + time::Duration::from_secs(4)).await;
    let (worst, elapsed) = (worst_second(&cold), started.elapsed());
    println!("{path} {has_limits}: {worst} in a second, {} in {elapsed:?}", cold.arrivals().len());
    if has_limits {
        assert!(worst <= BOUND, "{worst}\n{}", fleet.log(0));
        assert!(!cold.arrivals().is_empty(), "{}", fleet.log(0));
        let metrics = fleet.metrics(0).await;
        assert!(metrics.contains("toucanwall_cold_servers{"), "{metrics}");
        assert!(metrics.contains("toucanwall_sends_to_cold_servers_total{"), "{metrics}");
        assert!(fleet.log(0).contains("server is cold"), "{}", fleet.log(0));
    } else {
        assert!(worst > BOUND, "{worst}\n{}", fleet.log(0));
    }
}

/// Guards against rejections that are late or that name no time, and against servers that stay idle.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn requests_are_rejected_at_once_while_all_servers_are_cold() {
    let cold = backend::Backend::start("s-1", Behaviour::Respond).await;
    let fleet = start(true, "desk", None, &cold).await;
    tokio::time::sleep(SETTLING_TIME).await;
    let answers = call(&fleet, "GET", "/read/x", time::Duration::from_secs(5)).await;
    let served = answers.iter().filter(|(status, _)| *status == 200).count();
    let rejected: Vec<_> = answers.iter().filter(|(status, _)| *status == 503).collect();
    println!("{served} served, {} rejected", rejected.len());
    assert_eq!(served + rejected.len(), answers.len());
    assert!((16..=21).contains(&served), "{served}\n{}", fleet.log(0));
    // The route has priority 1.
    for (_, retry_after) in rejected {
        assert!(retry_after.is_some_and(|s| (0.4..0.8).contains(&s)), "{retry_after:?}");
    }
    assert!(worst_second(&cold) <= BOUND);
}

/// Guards against limits that last when a response says that the server is warm, and against servers
/// that become cold again and get all requests.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn responses_say_whether_the_server_is_cold() {
    let server = backend::Backend::start("s-1", Behaviour::Respond).await;
    let fleet = start(true, "desk", None, &server).await;
    tokio::time::sleep(SETTLING_TIME).await;
    server.announce_cold(Some("0"));
    call(&fleet, "GET", "/read/x", time::Duration::from_secs(1)).await;
    let length = time::Duration::from_secs(1);
    let answers = call(&fleet, "GET", "/read/x", length).await;
    assert!(answers.iter().all(|(status, _)| *status == 200), "{answers:?}\n{}", fleet.log(0));
    assert!(fleet.log(0).contains("server is no longer cold"), "{}", fleet.log(0));
    server.announce_cold(Some("60000"));
    call(&fleet, "GET", "/read/x", time::Duration::from_millis(200)).await;
    let before = server.arrivals().len();
    call(&fleet, "GET", "/read/x", time::Duration::from_secs(2)).await;
    let arrived = server.arrivals().len() - before;
    assert!((1..=2 * BOUND).contains(&arrived), "{arrived}\n{}", fleet.log(0));
}

/// Guards against a burst when hosts hear of the end of an evacuation before the entries of the servers
/// show that they are cold.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn servers_are_cold_after_an_evacuation() {
    let server = backend::Backend::start("s-1", Behaviour::Respond).await;
    let fleet = start(true, "desk", None, &server).await;
    fleet.register_cold("desk", &server, 0);
    tokio::time::sleep(SETTLING_TIME).await;
    let status = async || fleet.send(0, "GET", "/read/x", &[]).await.map(|it| it.status);
    let all_are_served = async || {
        let answers = call(&fleet, "GET", "/read/x", time::Duration::from_millis(500)).await;
        answers.iter().all(|(status, _)| *status == 200)
    };
    assert!(all_are_served().await, "{}", fleet.log(0));
    fleet.store.put("evacuations", "dc-1", &serde_json::json!({}));
    fleet.wait_for("the evacuation", async || status().await == Some(503)).await;
    let before = server.arrivals().len();
    fleet.store.delete("evacuations", "dc-1");
    call(&fleet, "GET", "/read/x", time::Duration::from_secs(3)).await;
    let arrived = server.arrivals().len() - before;
    println!("{arrived} arrived");
    assert!((1..=3 * BOUND).contains(&arrived), "{arrived}\n{}", fleet.log(0));
    fleet.register_cold("desk", &server, 0);
    fleet.wait_for("the entry that says that the server is warm", all_are_served).await;
}
