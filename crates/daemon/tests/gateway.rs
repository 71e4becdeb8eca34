//! Behaviour of the `gateway` command towards callers, backend servers and the store.

mod gateway_fleet;

use std::time;

use gateway_fleet::GatewayFleet;
use rstest::rstest;
use toucanwall_platform_standin::backend;
use toucanwall_platform_standin::backend::Behaviour;
use toucanwall_platform_standin::store;

async fn start_desk_server(id: &str) -> backend::Backend {
    backend::Backend::start(id, Behaviour::Respond).await
}

async fn start_engine(id: &str) -> backend::Backend {
    backend::Backend::start(id, Behaviour::Stream { last: 6 }).await
}

#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn request_is_forwarded_unchanged_except_for_internal_headers() {
    let server = start_desk_server("s-1").await;
    let fleet = GatewayFleet::start(1, &[("desk", &server)]).await;
    let headers = [
        ("x-toucanwall-tenant-id", "forged"),
        ("x-toucanwall-retention", "forged"),
        ("x-own", "kept"),
    ];
    let response = fleet.send(0, "POST", "/book/slot?a=1", &headers).await.expect("a response");
    assert_eq!((response.status, response.body.as_str()), (200, backend::RESPONSE_BODY));
    assert_eq!(response.header("x-toucanwall-server-seal"), Some("seal"));
    let runs = server.executed();
    let [run] = runs.as_slice() else { panic!("executed {} times", runs.len()) };
    let header = |name: &str| run.headers.get(name).map(String::as_str);
    assert_eq!((run.target.as_str(), run.body.as_slice()), ("/book/slot?a=1", &b"a body"[..]));
    assert_eq!(header("x-toucanwall-tenant-id"), Some("org-1"));
    assert_eq!(header("x-toucanwall-expected-instance"), Some("s-1"));
    assert_eq!(header("x-own"), Some("kept"));
    assert_eq!((header("authorization"), header("x-toucanwall-retention")), (None, None));
    let remaining_ms: u64 =
        header("x-toucanwall-deadline-ms").and_then(|ms| ms.parse().ok()).unwrap();
    assert!((2_000..=3_000).contains(&remaining_ms), "{remaining_ms}");
}

#[rstest]
#[case::unknown_key("/read/x", &[("authorization", "Token nobody")], 401)]
#[case::no_route("/nothing/x", &[], 404)]
#[case::prefix_without_trailing_slash("/read", &[], 404)]
#[tokio::test(flavor = "multi_thread")]
async fn request_without_a_valid_key_or_route_is_rejected(
    #[case] path: &str,
    #[case] headers: &[(&str, &str)],
    #[case] status: u16,
) {
    let server = start_desk_server("s-1").await;
    let fleet = GatewayFleet::start(1, &[("desk", &server)]).await;
    let response = fleet.send(0, "GET", path, headers).await.expect("a response");
    assert_eq!(response.status, status);
    assert!(server.executed().is_empty());
}

#[rstest]
#[case::dropped_response(Behaviour::DropResponse)]
#[case::wrong_attempt_id(Behaviour::WrongAttemptId)]
#[case::missing_seal(Behaviour::MissingSeal)]
#[case::truncated_response(Behaviour::TruncateResponse)]
#[case::internal_error(Behaviour::Fail)]
#[case::missing_attempt_id(Behaviour::MissingAttemptId)]
#[case::no_response(Behaviour::Hang)]
#[tokio::test(flavor = "multi_thread")]
async fn idempotent_request_is_retried_after_a_fault(#[case] fault: Behaviour) {
    let (first, second) = (start_desk_server("s-1").await, start_desk_server("s-2").await);
    first.enqueue([fault.clone()]);
    second.enqueue([fault]);
    let fleet = GatewayFleet::start(1, &[("desk", &first), ("desk", &second)]).await;
    // Both servers fail their first request, so the first attempt and its retry use up both faults.
    let response = fleet.send(0, "GET", "/read/x", &[]).await.expect("a response");
    let ran = first.executed().len() + second.executed().len();
    assert_eq!(ran, 2, "{response:?}");
    let response = fleet.send(0, "GET", "/read/x", &[]).await.expect("a response");
    assert_eq!((response.status, response.body.as_str()), (200, backend::RESPONSE_BODY));
}

#[rstest]
#[case::dropped_response(Behaviour::DropResponse, 502)]
#[case::wrong_attempt_id(Behaviour::WrongAttemptId, 502)]
#[case::missing_seal(Behaviour::MissingSeal, 502)]
#[case::truncated_response(Behaviour::TruncateResponse, 502)]
#[case::internal_error(Behaviour::Fail, 500)]
#[case::missing_attempt_id(Behaviour::MissingAttemptId, 502)]
#[case::status_503_without_proof(Behaviour::FailWithStatus(503), 502)]
#[case::status_429_without_proof(Behaviour::FailWithStatus(429), 502)]
#[case::status_408_without_proof(Behaviour::FailWithStatus(408), 502)]
#[case::no_response(Behaviour::Hang, 504)]
#[tokio::test(flavor = "multi_thread")]
async fn non_idempotent_request_is_executed_once(#[case] fault: Behaviour, #[case] status: u16) {
    let (first, second) = (start_desk_server("s-1").await, start_desk_server("s-2").await);
    first.enqueue([fault.clone()]);
    second.enqueue([fault]);
    let fleet = GatewayFleet::start(1, &[("desk", &first), ("desk", &second)]).await;
    let response = fleet.send(0, "POST", "/book/x", &[]).await.expect("a response");
    assert_eq!(response.status, status, "{response:?}");
    assert_eq!(first.executed().len() + second.executed().len(), 1);
}

#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn declined_request_is_answered_with_503_and_retry_after() {
    let server = start_desk_server("s-1").await;
    server.enqueue([Behaviour::Decline]);
    let fleet = GatewayFleet::start(1, &[("desk", &server)]).await;
    let response = fleet.send(0, "POST", "/book/x", &[]).await.expect("a response");
    assert_eq!(response.status, 503);
    let retry_after: f64 =
        response.header("retry-after").and_then(|s| s.parse().ok()).expect("a Retry-After header");
    assert!((0.05..1.0).contains(&retry_after), "{retry_after}");
    assert!(server.executed().is_empty());
}

#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn surplus_response_on_a_reused_connection_is_discarded() {
    let server = start_desk_server("s-1").await;
    server.enqueue([Behaviour::RespondTwice]);
    let fleet = GatewayFleet::start(1, &[("desk", &server)]).await;
    for _ in 0..4 {
        let response = fleet.send(0, "GET", "/read/x", &[]).await.expect("a response");
        assert_eq!((response.status, response.body.as_str()), (200, backend::RESPONSE_BODY));
    }
}

#[rstest]
#[case::truncated(Behaviour::TruncateStream { after: 3 })]
#[case::stalled(Behaviour::StallStream { after: 3 })]
#[case::missing_event(Behaviour::StreamWithGap { after: 3, last: 6 })]
#[tokio::test(flavor = "multi_thread")]
async fn interrupted_stream_is_resumed_at_another_server(#[case] fault: Behaviour) {
    let (first, second) = (start_engine("e-1").await, start_engine("e-2").await);
    first.enqueue([fault.clone()]);
    let fleet = GatewayFleet::start(1, &[("engines", &first), ("engines", &second)]).await;
    // Placement breaks ties at random, so that any fixed number of requests may miss the fault.
    let mut requests = 0;
    while requests < 8 || (first.executed().is_empty() && requests < 64) {
        requests += 1;
        let response = fleet.send(0, "POST", "/chat/x", &[]).await.expect("a response");
        assert_eq!(response.status, 200);
        assert!(response.is_complete, "{response:?}\n{}", fleet.log(0));
        assert_eq!(gateway_fleet::event_numbers(&response.body), [1, 2, 3, 4, 5, 6]);
    }
    assert!(!first.executed().is_empty(), "the faulty server executed none of {requests} requests");
    let resumed = second.executed().into_iter().chain(first.executed());
    let resumed = resumed.filter(|run| run.headers.contains_key("last-event-id"));
    assert_eq!(resumed.count(), 1, "the stream is resumed exactly once");
}

#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn stream_that_cannot_be_resumed_ends_incomplete() {
    let server = start_engine("e-1").await;
    server.enqueue([Behaviour::TruncateStream { after: 3 }]);
    let fleet = GatewayFleet::start(1, &[("engines", &server)]).await;
    let response = fleet.send(0, "POST", "/chat/x", &[]).await.expect("a response");
    assert!(!response.is_complete);
    assert_eq!(
        gateway_fleet::event_numbers(&response.body),
        [1, 2, 3],
        "only complete events are forwarded"
    );
}

#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn revoked_key_is_rejected_in_time() {
    let server = start_desk_server("s-1").await;
    let fleet = GatewayFleet::start(1, &[("desk", &server)]).await;
    let with_other_key = [("authorization", "Token key-2")];
    assert_eq!(
        fleet.send(0, "GET", "/read/x", &with_other_key).await.expect("a response").status,
        200
    );
    let mut next = gateway_fleet::configuration(5);
    next["tenants"][1]["api_keys"] = serde_json::json!([]);
    fleet.store.put("config", "main", &next);
    tokio::time::sleep(gateway_fleet::CONFIG_APPLY_LIMIT).await;
    assert_eq!(
        fleet.send(0, "GET", "/read/x", &with_other_key).await.expect("a response").status,
        401
    );
    // A configuration with an older version than the current one is ignored.
    fleet.store.put("config", "main", &gateway_fleet::configuration(4));
    tokio::time::sleep(gateway_fleet::CONFIG_APPLY_LIMIT / 2).await;
    assert_eq!(
        fleet.send(0, "GET", "/read/x", &with_other_key).await.expect("a response").status,
        401
    );
}

/// A pending watch may never be answered if the store drops its history meanwhile.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn configuration_is_applied_after_the_store_dropped_its_history() {
    let server = start_desk_server("s-1").await;
    let fleet = GatewayFleet::start(1, &[("desk", &server)]).await;
    fleet.store.set_mode(store::Mode::EmptyWatches);
    let mut next = gateway_fleet::configuration(5);
    next["tenants"][1]["api_keys"] = serde_json::json!([]);
    fleet.store.put("config", "main", &next);
    tokio::time::sleep(time::Duration::from_millis(300)).await;
    fleet.store.abort_watches();
    // Within this time the host watches again, before the history is dropped.
    tokio::time::sleep(time::Duration::from_millis(300)).await;
    fleet.store.drop_history();
    fleet.store.set_mode(store::Mode::Up);
    tokio::time::sleep(gateway_fleet::CONFIG_APPLY_LIMIT).await;
    let with_other_key = [("authorization", "Token key-2")];
    let response = fleet.send(0, "GET", "/read/x", &with_other_key).await.expect("a response");
    assert_eq!(response.status, 401, "{}", fleet.log(0));
}

#[rstest]
#[case::unavailable(store::Mode::Unavailable)]
#[case::unresponsive(store::Mode::Unresponsive)]
#[tokio::test(flavor = "multi_thread")]
async fn host_serves_requests_in_a_store_outage_and_catches_up_after_it(#[case] mode: store::Mode) {
    let server = start_desk_server("s-1").await;
    let fleet = GatewayFleet::start(1, &[("desk", &server)]).await;
    fleet.store.set_mode(mode);
    fleet.store.abort_watches();
    tokio::time::sleep(time::Duration::from_secs(3)).await;
    assert_eq!(fleet.send(0, "GET", "/read/x", &[]).await.expect("a response").status, 200);
    assert!(fleet.is_ready(0).await);
    let mut next = gateway_fleet::configuration(5);
    next["tenants"][1]["api_keys"] = serde_json::json!([]);
    fleet.store.put("config", "main", &next);
    fleet.store.set_mode(store::Mode::Up);
    // The time limits apply again once the store has been up for `contact_ms`.
    tokio::time::sleep(time::Duration::from_secs(3)).await;
    let with_other_key = [("authorization", "Token key-2")];
    let response = fleet.send(0, "GET", "/read/x", &with_other_key).await.expect("a response");
    assert_eq!(response.status, 401, "{}", fleet.log(0));
}

#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn draining_server_receives_no_new_requests() {
    let (draining, remaining) = (start_desk_server("s-1").await, start_desk_server("s-2").await);
    let fleet = GatewayFleet::start(1, &[("desk", &draining), ("desk", &remaining)]).await;
    fleet.register("desk", &draining, "draining");
    tokio::time::sleep(time::Duration::from_secs(2)).await;
    let before = draining.executed().len();
    for _ in 0..20 {
        assert_eq!(fleet.send(0, "GET", "/read/x", &[]).await.expect("a response").status, 200);
    }
    assert_eq!(draining.executed().len(), before);
    fleet.store.delete("servers", "s-2");
    tokio::time::sleep(time::Duration::from_secs(2)).await;
    assert_eq!(fleet.send(0, "GET", "/read/x", &[]).await.expect("a response").status, 503);
}

#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn malformed_server_entry_is_ignored() {
    let server = start_desk_server("s-1").await;
    let fleet = GatewayFleet::start(1, &[("desk", &server)]).await;
    for (name, spec) in [
        ("s-2", serde_json::json!("no entry")),
        ("s-3", serde_json::json!({ "service": "desk", "address": 7 })),
        ("s-4", serde_json::json!({ "service": "desk", "state": "asleep" })),
    ] {
        fleet.store.put("servers", name, &spec);
    }
    tokio::time::sleep(time::Duration::from_secs(1)).await;
    for _ in 0..10 {
        assert_eq!(fleet.send(0, "GET", "/read/x", &[]).await.expect("a response").status, 200);
    }
    assert!(fleet.log(0).contains("malformed store entry ignored"));
}

#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn host_completes_accepted_requests_after_sigterm() {
    let server = start_desk_server("s-1").await;
    let mut fleet = GatewayFleet::start(2, &[("desk", &server)]).await;
    let both_registered = async || {
        let response = fleet.resolve(1).await;
        response.is_some_and(|response| response.body.matches(":8227").count() == 2)
    };
    fleet.wait_for("both hosts to be registered", both_registered).await;
    server.enqueue([Behaviour::RespondAfter(time::Duration::from_millis(1_500))]);
    let (response, ()) = tokio::join!(fleet.send(0, "POST", "/book/x", &[]), async {
        tokio::time::sleep(time::Duration::from_millis(300)).await;
        assert!(fleet.signal(0, "-TERM"));
        tokio::time::sleep(time::Duration::from_millis(200)).await;
        assert!(!fleet.is_ready(0).await);
    });
    let response = response.expect("a response");
    assert_eq!((response.status, response.is_complete), (200, true));
    let is_deregistered = async || {
        let response = fleet.resolve(1).await;
        response.is_some_and(|response| response.body.matches(":8227").count() == 1)
    };
    fleet.wait_for("the host to be deregistered", is_deregistered).await;
    let status = fleet.wait_for_exit(0).await;
    assert!(status.success(), "{status}");
    assert!(fleet.store.get("toucanwall-hosts", "host-0").is_none());
}

#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn host_without_a_configuration_is_not_ready() {
    let mut fleet = GatewayFleet::prepare().await;
    fleet.add_host();
    fleet
        .wait_for("the host to respond", async || {
            fleet.send(0, "GET", "/read/x", &[]).await.is_some()
        })
        .await;
    let response = fleet.send(0, "GET", "/read/x", &[]).await.expect("a response");
    assert_eq!(response.status, 503);
    assert!(response.header("retry-after").is_some());
    assert!(!fleet.is_ready(0).await);
}

#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn metrics_count_responses_and_refusals() {
    let server = start_desk_server("s-1").await;
    let fleet = GatewayFleet::start(1, &[("desk", &server)]).await;
    for _ in 0..3 {
        fleet.send(0, "GET", "/read/x", &[]).await.expect("a response");
    }
    fleet.send(0, "GET", "/nothing/", &[]).await.expect("a response");
    let metrics = fleet.metrics(0).await;
    assert!(metrics.contains("toucanwall_requests_answered_total{status=\"2xx\"} 3"), "{metrics}");
    assert!(
        metrics.contains("toucanwall_requests_refused_total{reason=\"no route\"} 1"),
        "{metrics}"
    );
    assert!(metrics.contains("toucanwall_configuration_version 2"), "{metrics}");
}

/// The log lines about a request, in their order.
fn log_lines_about(log: &str, id: &str) -> Vec<serde_json::Value> {
    let lines = log.lines().filter_map(|line| serde_json::from_str(line).ok());
    lines.filter(|line: &serde_json::Value| line["request"] == id).collect()
}

#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn each_decision_about_a_request_is_logged_with_its_inputs() {
    let (first, second) = (start_engine("e-1").await, start_engine("e-2").await);
    first.enqueue([Behaviour::TruncateStream { after: 3 }]);
    let fleet = GatewayFleet::start(1, &[("engines", &first), ("engines", &second)]).await;
    // Placement breaks ties at random, so that any fixed number of requests may miss the fault.
    let mut requests = 0;
    while requests < 8 || (first.executed().is_empty() && requests < 64) {
        requests += 1;
        fleet.send(0, "POST", "/chat/x", &[]).await.expect("a response");
    }
    let with_unknown_key = [("authorization", "Token nobody")];
    fleet.send(0, "POST", "/chat/x", &with_unknown_key).await.expect("a response");
    fleet.wait_for("the last log line", async || fleet.log(0).contains("unknown key")).await;
    let log = fleet.log(0);
    let interrupted = log.lines().find(|line| line.contains("stream interrupted")).expect("a line");
    let interrupted: serde_json::Value = serde_json::from_str(interrupted).expect("JSON");
    let lines = log_lines_about(&log, interrupted["request"].as_str().expect("an id"));
    let messages: Vec<_> = lines.iter().filter_map(|line| line["message"].as_str()).collect();
    let expected = ["sent", "stream begun", "stream interrupted", "sent", "stream ended"];
    assert_eq!(messages, expected, "{log}");
    assert_eq!(lines[0]["configuration"], 2);
    assert!(lines[0]["server"].is_string() && lines[0]["left_ms"].is_u64(), "{log}");
    assert!(lines.iter().any(|line| line["last_event"] == 3), "{log}");
    let refusal =
        log.lines().find(|line| line.contains("unknown key")).expect("a line about the refusal");
    assert!(refusal.contains("\"status\":401") && refusal.contains("\"configuration\":2"));
}

#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn unread_log_output_does_not_block_requests() {
    const REQUESTS: usize = 3_000;

    let server = start_desk_server("s-1").await;
    let mut fleet = GatewayFleet::prepare().await;
    fleet.store.put("config", "main", &gateway_fleet::configuration(2));
    fleet.register("desk", &server, "ready");
    let host = fleet.spawn_with(0, std::process::Stdio::piped());
    fleet.hosts.push(host);
    fleet.wait_for("the host to be ready", async || fleet.is_ready(0).await).await;
    for _ in 0..REQUESTS {
        assert_eq!(fleet.send(0, "GET", "/read/x", &[]).await.expect("a response").status, 200);
    }
    let metrics = fleet.metrics(0).await;
    let dropped =
        metrics.lines().find_map(|line| line.strip_prefix("toucanwall_log_lines_dropped "));
    let dropped: u64 = dropped.and_then(|count| count.parse().ok()).expect("a count");
    assert!(dropped > 0, "{metrics}");
}

/// A store outage that is shorter than the interval between two probes of the store may lose a
/// pending watch without an error.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn configuration_is_applied_after_a_watch_was_lost() {
    let server = start_desk_server("s-1").await;
    let fleet = GatewayFleet::start(1, &[("desk", &server)]).await;
    fleet.store.set_mode(store::Mode::UnansweredWatches);
    // The host receives this change; its next watch is never answered.
    fleet.store.put("config", "main", &gateway_fleet::configuration(3));
    tokio::time::sleep(time::Duration::from_millis(1_500)).await;
    fleet.store.set_mode(store::Mode::Up);
    tokio::time::sleep(time::Duration::from_secs(3)).await;
    let mut next = gateway_fleet::configuration(5);
    next["tenants"][1]["api_keys"] = serde_json::json!([]);
    fleet.store.put("config", "main", &next);
    tokio::time::sleep(gateway_fleet::CONFIG_APPLY_LIMIT).await;
    let with_other_key = [("authorization", "Token key-2")];
    let response = fleet.send(0, "GET", "/read/x", &with_other_key).await.expect("a response");
    assert_eq!(response.status, 401, "{}", fleet.log(0));
}

/// If the retry budget is used up, the small model's response is forwarded despite its low
/// confidence.
#[rstest]
#[case::with_retry_budget(None, 2)]
#[case::without_retry_budget(Some(0), 1)]
#[tokio::test(flavor = "multi_thread")]
async fn low_confidence_response_is_discarded_only_if_a_retry_is_allowed(
    #[case] retry_allowance: Option<u64>,
    #[case] expected_runs: usize,
) {
    let low_confidence = Behaviour::LowConfidenceStream { last: 6 };
    let server = backend::Backend::start("e-1", low_confidence).await;
    let mut fleet = GatewayFleet::prepare().await;
    fleet.retry_allowance = retry_allowance;
    fleet.store.put("config", "main", &gateway_fleet::cascade_configuration(2));
    fleet.register("engines", &server, "ready");
    fleet.add_ready_host().await;
    // The retry budget grows with the requests for the service.
    for _ in 0..10 {
        fleet.send(0, "POST", "/chat/x", &[]).await.expect("a response");
    }
    let before = server.executed().len();
    let any_model = [("x-toucanwall-model-name", "*"), ("x-toucanwall-token-count", "100,10")];
    let response = fleet.send(0, "POST", "/chat/x", &any_model).await.expect("a response");
    assert_eq!((response.status, response.is_complete), (200, true), "{}", fleet.log(0));
    assert_eq!(server.executed().len() - before, expected_runs, "{}", fleet.log(0));
}

/// A server must not go on working for a caller that has disconnected.
#[rstest]
#[case::before_the_response("desk", "/read/x", Behaviour::Hang)]
#[case::non_idempotent("desk", "/book/x", Behaviour::Hang)]
#[case::during_a_stream("engines", "/chat/x", Behaviour::StallStream { after: 3 })]
#[tokio::test(flavor = "multi_thread")]
async fn disconnect_of_the_caller_is_passed_on_to_the_server(
    #[case] service: &str,
    #[case] path: &str,
    #[case] behaviour: Behaviour,
) {
    let server = backend::Backend::start("s-1", behaviour).await;
    let fleet = GatewayFleet::start(1, &[(service, &server)]).await;
    let request = format!(
        "POST {path} HTTP/1.1\r\nhost: site.example\r\nx-toucanwall-attempt-id: gone-1\r\n\
         x-toucanwall-deadline-ms: 3000\r\nauthorization: Token {}\r\n\r\n",
        gateway_fleet::KEY
    );
    let connection = fleet.send_raw(0, &request).await;
    fleet
        .wait_for("the server to execute the request", async || server.executed().len() == 1)
        .await;
    drop(connection);
    let disconnected_at = time::Instant::now();
    fleet.wait_for("the server to notice the disconnect", async || server.abandoned() == 1).await;
    // The platform counts work that continues for half a second after the disconnect.
    assert!(
        disconnected_at.elapsed() < time::Duration::from_millis(500),
        "{:?}",
        disconnected_at.elapsed()
    );
    assert_eq!(server.executed().len(), 1);
}

/// Another server takes over the address of a removed one before the host is informed.
#[rstest]
#[case::safe("GET", "/read/x")]
#[case::non_idempotent("POST", "/book/x")]
#[tokio::test(flavor = "multi_thread")]
async fn server_at_a_reused_address_executes_nothing(#[case] method: &str, #[case] path: &str) {
    let (removed, other) = (start_desk_server("s-1").await, start_desk_server("s-2").await);
    let mut fleet = GatewayFleet::prepare().await;
    fleet.store.put("config", "main", &gateway_fleet::configuration(2));
    fleet.register_at("desk", &removed, other.address, "ready");
    fleet.add_ready_host().await;
    let response = fleet.send(0, method, path, &[]).await.expect("a response");
    assert_eq!(response.status, 503, "{response:?}");
    assert!(response.header("retry-after").is_some());
    assert!(other.executed().is_empty());
}

/// Request smuggling: a second request is placed where hosts and servers could disagree about the
/// end of the first.
#[rstest]
#[case::length_and_chunked("content-length: 6\r\ntransfer-encoding: chunked", "0\r\n\r\n")]
#[case::two_content_lengths("content-length: 0\r\ncontent-length: 44", "")]
#[case::unknown_transfer_encoding("transfer-encoding: xchunked\r\ncontent-length: 0", "")]
#[case::space_before_the_colon("transfer-encoding : chunked\r\ncontent-length: 5", "0\r\n\r\n")]
#[case::bare_line_feed_in_a_header(
    "x-a: b\nx-toucanwall-tenant-id: forged\r\ncontent-length: 0",
    ""
)]
#[tokio::test(flavor = "multi_thread")]
async fn smuggled_request_reaches_no_server(#[case] framing: &str, #[case] body: &str) {
    let server = start_desk_server("s-1").await;
    let fleet = GatewayFleet::start(1, &[("desk", &server)]).await;
    let request = |path: &str, id: &str, rest: &str| {
        format!(
            "POST {path} HTTP/1.1\r\nhost: site.example\r\nx-toucanwall-attempt-id: {id}\r\n\
             x-toucanwall-deadline-ms: 3000\r\nauthorization: Token {}\r\n{rest}\r\n\r\n",
            gateway_fleet::KEY
        )
    };
    // The smuggled request has no key, so it is executed only if a server parses it as a request.
    let smuggled = "POST /book/hidden HTTP/1.1\r\nx-toucanwall-attempt-id: hidden\r\n\r\n";
    let bytes = format!("{}{body}{smuggled}", request("/book/x", "first", framing));
    let first_connection = fleet.send_raw(0, &bytes).await;
    let second_request = request("/book/y", "second", "content-length: 0");
    let second_connection = fleet.send_raw(0, &second_request).await;
    let has_run = async || server.executed().iter().any(|run| run.target == "/book/y");
    fleet.wait_for("another caller's request to be executed", has_run).await;
    tokio::time::sleep(time::Duration::from_millis(200)).await;
    let runs = server.executed();
    assert!(runs.iter().all(|run| run.target != "/book/hidden"), "{runs:?}");
    let tenants = runs.iter().filter_map(|run| run.headers.get("x-toucanwall-tenant-id"));
    assert!(tenants.into_iter().all(|tenant| tenant == "org-1"), "{runs:?}");
    drop((first_connection, second_connection));
}

/// A server resets connections beyond its limit, which leaves the outcome of their requests
/// unknown.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn idle_connections_count_towards_the_connection_limit() {
    const LIMIT: usize = 8;
    let server = start_desk_server("s-1").await;
    let mut fleet = GatewayFleet::prepare().await;
    let mut configuration = gateway_fleet::configuration(2);
    configuration["services"][0]["max_connections"] = LIMIT.into();
    fleet.store.put("config", "main", &configuration);
    fleet.register("desk", &server, "ready");
    fleet.add_ready_host().await;
    for _ in 0..4 * LIMIT {
        // Each booking uses a new connection.
        assert_eq!(fleet.send(0, "POST", "/book/x", &[]).await.expect("a response").status, 200);
    }
    assert!(server.peak_connections() <= LIMIT, "{} connections", server.peak_connections());
}

/// A server's statement that it did not execute a request does not cover the attempt at another
/// server.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn unknown_outcome_is_not_settled_by_another_server() {
    let dropping = backend::Backend::start("s-1", Behaviour::DropResponse).await;
    let declining = backend::Backend::start("s-2", Behaviour::Decline).await;
    let fleet = GatewayFleet::start(1, &[("desk", &dropping), ("desk", &declining)]).await;
    let mut unknown_outcomes = 0;
    for number in 0..12 {
        let id = format!("attempt-{number}");
        let response =
            fleet.prepare_request(0, "GET", "/read/x", &id).send().await.expect("a response");
        let has_run = dropping.executed().iter().any(|run| {
            run.headers.get("x-toucanwall-attempt-id").is_some_and(|run_id| *run_id == id)
        });
        assert_eq!(response.status, if has_run { 502 } else { 503 }, "{id}");
        unknown_outcomes += u32::from(has_run);
    }
    assert!(unknown_outcomes > 0, "no request reached the server that drops its responses");
}

/// Servers cannot renew their entries in a store outage; they register again soon after it.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn server_entry_that_expired_in_an_outage_is_kept_for_a_grace_period() {
    let server = start_desk_server("s-1").await;
    let fleet = GatewayFleet::start(1, &[("desk", &server)]).await;
    fleet.store.set_mode(store::Mode::Unavailable);
    fleet.store.abort_watches();
    fleet.wait_for("the outage to be detected", async || fleet.log(0).contains("store lost")).await;
    fleet.store.delete("servers", "s-1");
    fleet.store.set_mode(store::Mode::Up);
    let listings = || fleet.log(0).matches(r#""kind":"servers""#).count();
    let before = listings();
    fleet.wait_for("the servers to be listed again", async || listings() > before).await;
    assert_eq!(fleet.send(0, "GET", "/read/x", &[]).await.expect("a response").status, 200);
    // A server that does not register again in time is removed.
    let is_removed = async || fleet.log(0).contains("servers did not re-register after an outage");
    fleet.wait_for("the server to be removed", is_removed).await;
    assert_eq!(fleet.send(0, "GET", "/read/x", &[]).await.expect("a response").status, 503);
}

/// A reused connection may be closed while a request is in transit, which leaves its outcome
/// unknown.
#[rstest]
#[case::non_idempotent("POST", "/book/x", 6)]
#[case::safe("GET", "/read/x", 1)]
#[tokio::test(flavor = "multi_thread")]
async fn only_idempotent_requests_reuse_connections(
    #[case] method: &str,
    #[case] path: &str,
    #[case] expected_connections: usize,
) {
    let server = start_desk_server("s-1").await;
    let fleet = GatewayFleet::start(1, &[("desk", &server)]).await;
    for _ in 0..6 {
        assert_eq!(fleet.send(0, method, path, &[]).await.expect("a response").status, 200);
    }
    assert_eq!(server.connections_opened(), expected_connections);
}
