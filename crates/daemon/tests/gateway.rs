//! Hosts on the users' platform: what callers, backend servers and the store see of them.

mod site;

use std::time;

use rstest::rstest;
use site::Site;
use toucanwall_platform_standin::backend;
use toucanwall_platform_standin::backend::Behaviour;
use toucanwall_platform_standin::store;

async fn desk(id: &str) -> backend::Backend {
    backend::Backend::start(id, Behaviour::Respond).await
}

async fn engine(id: &str) -> backend::Backend {
    backend::Backend::start(id, Behaviour::Stream { last: 6 }).await
}

#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn a_request_reaches_its_server_as_it_was_sent() {
    let server = desk("s-1").await;
    let site = Site::start(1, &[("desk", &server)]).await;
    let headers = [
        ("x-toucanwall-tenant-id", "forged"),
        ("x-toucanwall-retention", "forged"),
        ("x-own", "kept"),
    ];
    let answer = site.send(0, "POST", "/book/slot?a=1", &headers).await.expect("an answer");
    assert_eq!((answer.status, answer.body.as_str()), (200, backend::RESPONSE_BODY));
    assert_eq!(answer.header("x-toucanwall-server-seal"), Some("seal"));
    let runs = server.executed();
    let [run] = runs.as_slice() else { panic!("ran {} times", runs.len()) };
    let header = |name: &str| run.headers.get(name).map(String::as_str);
    assert_eq!((run.target.as_str(), run.body.as_slice()), ("/book/slot?a=1", &b"a body"[..]));
    assert_eq!(header("x-toucanwall-tenant-id"), Some("org-1"));
    assert_eq!(header("x-toucanwall-expected-instance"), Some("s-1"));
    assert_eq!(header("x-own"), Some("kept"));
    assert_eq!((header("authorization"), header("x-toucanwall-retention")), (None, None));
    let left_ms: u64 = header("x-toucanwall-deadline-ms").and_then(|ms| ms.parse().ok()).unwrap();
    assert!((2_000..=3_000).contains(&left_ms), "{left_ms}");
}

#[rstest]
#[case::unknown_key("/read/x", &[("authorization", "Token nobody")], 401)]
#[case::no_route("/nothing/x", &[], 404)]
#[case::prefix_without_its_slash("/read", &[], 404)]
#[tokio::test(flavor = "multi_thread")]
async fn what_no_configuration_allows_is_rejected(
    #[case] path: &str,
    #[case] headers: &[(&str, &str)],
    #[case] status: u16,
) {
    let server = desk("s-1").await;
    let site = Site::start(1, &[("desk", &server)]).await;
    let answer = site.send(0, "GET", path, headers).await.expect("an answer");
    assert_eq!(answer.status, status);
    assert!(server.executed().is_empty());
}

#[rstest]
#[case::lost_answer(Behaviour::DropResponse)]
#[case::answer_to_another(Behaviour::WrongAttemptId)]
#[case::no_seal(Behaviour::MissingSeal)]
#[case::cut_off(Behaviour::TruncateResponse)]
#[case::failure(Behaviour::Fail)]
#[case::answer_to_nobody(Behaviour::MissingAttemptId)]
#[case::silence(Behaviour::Hang)]
#[tokio::test(flavor = "multi_thread")]
async fn an_idempotent_request_is_sent_again_after_a_fault(#[case] fault: Behaviour) {
    let (first, second) = (desk("s-1").await, desk("s-2").await);
    first.enqueue([fault.clone()]);
    second.enqueue([fault]);
    let site = Site::start(1, &[("desk", &first), ("desk", &second)]).await;
    // One of the two misbehaves with whichever request comes first; clear the other one.
    let answer = site.send(0, "GET", "/read/x", &[]).await.expect("an answer");
    let ran = first.executed().len() + second.executed().len();
    assert_eq!(ran, 2, "{answer:?}");
    let answer = site.send(0, "GET", "/read/x", &[]).await.expect("an answer");
    assert_eq!((answer.status, answer.body.as_str()), (200, backend::RESPONSE_BODY));
}

#[rstest]
#[case::lost_answer(Behaviour::DropResponse, 502)]
#[case::answer_to_another(Behaviour::WrongAttemptId, 502)]
#[case::no_seal(Behaviour::MissingSeal, 502)]
#[case::cut_off(Behaviour::TruncateResponse, 502)]
#[case::failure(Behaviour::Fail, 500)]
#[case::answer_to_nobody(Behaviour::MissingAttemptId, 502)]
#[case::unproved_503(Behaviour::FailWithStatus(503), 502)]
#[case::unproved_429(Behaviour::FailWithStatus(429), 502)]
#[case::unproved_408(Behaviour::FailWithStatus(408), 502)]
#[case::silence(Behaviour::Hang, 504)]
#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_may_not_be_repeated_runs_once(
    #[case] fault: Behaviour,
    #[case] status: u16,
) {
    let (first, second) = (desk("s-1").await, desk("s-2").await);
    first.enqueue([fault.clone()]);
    second.enqueue([fault]);
    let site = Site::start(1, &[("desk", &first), ("desk", &second)]).await;
    let answer = site.send(0, "POST", "/book/x", &[]).await.expect("an answer");
    assert_eq!(answer.status, status, "{answer:?}");
    assert_eq!(first.executed().len() + second.executed().len(), 1);
}

#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn a_refusal_says_truly_that_the_request_has_not_run() {
    let server = desk("s-1").await;
    server.enqueue([Behaviour::Decline]);
    let site = Site::start(1, &[("desk", &server)]).await;
    let answer = site.send(0, "POST", "/book/x", &[]).await.expect("an answer");
    assert_eq!(answer.status, 503);
    let retry_after: f64 = answer.header("retry-after").and_then(|s| s.parse().ok()).expect("when");
    assert!((0.05..1.0).contains(&retry_after), "{retry_after}");
    assert!(server.executed().is_empty());
}

#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn a_second_answer_on_a_kept_connection_reaches_nobody() {
    let server = desk("s-1").await;
    server.enqueue([Behaviour::RespondTwice]);
    let site = Site::start(1, &[("desk", &server)]).await;
    for _ in 0..4 {
        let answer = site.send(0, "GET", "/read/x", &[]).await.expect("an answer");
        assert_eq!((answer.status, answer.body.as_str()), (200, backend::RESPONSE_BODY));
    }
}

#[rstest]
#[case::broken_off(Behaviour::TruncateStream { after: 3 })]
#[case::silent(Behaviour::StallStream { after: 3 })]
#[case::an_event_left_out(Behaviour::StreamWithGap { after: 3, last: 6 })]
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_that_is_interrupted_goes_on_at_another_server(#[case] fault: Behaviour) {
    let (first, second) = (engine("e-1").await, engine("e-2").await);
    first.enqueue([fault.clone()]);
    let site = Site::start(1, &[("engines", &first), ("engines", &second)]).await;
    // Placement breaks ties at random, so that any fixed number of requests may miss the fault.
    let mut requests = 0;
    while requests < 8 || (first.executed().is_empty() && requests < 64) {
        requests += 1;
        let answer = site.send(0, "POST", "/chat/x", &[]).await.expect("an answer");
        assert_eq!(answer.status, 200);
        assert!(answer.is_whole, "{answer:?}\n{}", site.log(0));
        assert_eq!(site::event_numbers(&answer.body), [1, 2, 3, 4, 5, 6]);
    }
    assert!(!first.executed().is_empty(), "the faulty server ran none of {requests} requests");
    let resumed = second.executed().into_iter().chain(first.executed());
    let resumed = resumed.filter(|run| run.headers.contains_key("last-event-id"));
    assert_eq!(resumed.count(), 1, "it goes on where it was interrupted");
}

#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_that_cannot_go_on_does_not_look_whole() {
    let server = engine("e-1").await;
    server.enqueue([Behaviour::TruncateStream { after: 3 }]);
    let site = Site::start(1, &[("engines", &server)]).await;
    let answer = site.send(0, "POST", "/chat/x", &[]).await.expect("an answer");
    assert!(!answer.is_whole);
    assert_eq!(site::event_numbers(&answer.body), [1, 2, 3], "only whole events are passed on");
}

#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn a_key_that_was_taken_away_is_refused_in_time() {
    let server = desk("s-1").await;
    let site = Site::start(1, &[("desk", &server)]).await;
    let with_other = [("authorization", "Token key-2")];
    assert_eq!(site.send(0, "GET", "/read/x", &with_other).await.expect("one").status, 200);
    let mut next = site::configuration(5);
    next["tenants"][1]["api_keys"] = serde_json::json!([]);
    site.store.put("config", "main", &next);
    tokio::time::sleep(site::CONFIG_APPLY).await;
    assert_eq!(site.send(0, "GET", "/read/x", &with_other).await.expect("one").status, 401);
    // A version that is older than the one in force changes nothing.
    site.store.put("config", "main", &site::configuration(4));
    tokio::time::sleep(site::CONFIG_APPLY / 2).await;
    assert_eq!(site.send(0, "GET", "/read/x", &with_other).await.expect("one").status, 401);
}

/// A call that waits at a store that is dropping its history may never be answered.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn a_configuration_is_in_force_though_the_store_dropped_its_history() {
    let server = desk("s-1").await;
    let site = Site::start(1, &[("desk", &server)]).await;
    site.store.set_mode(store::Mode::EmptyWatches);
    let mut next = site::configuration(5);
    next["tenants"][1]["api_keys"] = serde_json::json!([]);
    site.store.put("config", "main", &next);
    tokio::time::sleep(time::Duration::from_millis(300)).await;
    site.store.abort_watches();
    // The host asks again within this time, before the history is dropped.
    tokio::time::sleep(time::Duration::from_millis(300)).await;
    site.store.drop_history();
    site.store.set_mode(store::Mode::Up);
    tokio::time::sleep(site::CONFIG_APPLY).await;
    let with_other = [("authorization", "Token key-2")];
    let answer = site.send(0, "GET", "/read/x", &with_other).await.expect("an answer");
    assert_eq!(answer.status, 401, "{}", site.log(0));
}

#[rstest]
#[case::busy(store::Mode::Unavailable)]
#[case::silent(store::Mode::Unresponsive)]
#[tokio::test(flavor = "multi_thread")]
async fn an_outage_of_the_store_stops_nothing_and_is_made_up_for(#[case] mode: store::Mode) {
    let server = desk("s-1").await;
    let site = Site::start(1, &[("desk", &server)]).await;
    site.store.set_mode(mode);
    site.store.abort_watches();
    tokio::time::sleep(time::Duration::from_secs(3)).await;
    assert_eq!(site.send(0, "GET", "/read/x", &[]).await.expect("one").status, 200);
    assert!(site.is_ready(0).await);
    let mut next = site::configuration(5);
    next["tenants"][1]["api_keys"] = serde_json::json!([]);
    site.store.put("config", "main", &next);
    site.store.set_mode(store::Mode::Up);
    // The bounds hold again once the store has been there for the time that contact takes.
    tokio::time::sleep(time::Duration::from_secs(3)).await;
    let with_other = [("authorization", "Token key-2")];
    let answer = site.send(0, "GET", "/read/x", &with_other).await.expect("an answer");
    assert_eq!(answer.status, 401, "{}", site.log(0));
}

#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn a_leaving_server_gets_nothing_new() {
    let (leaving, staying) = (desk("s-1").await, desk("s-2").await);
    let site = Site::start(1, &[("desk", &leaving), ("desk", &staying)]).await;
    site.register("desk", &leaving, "draining");
    tokio::time::sleep(time::Duration::from_secs(2)).await;
    let before = leaving.executed().len();
    for _ in 0..20 {
        assert_eq!(site.send(0, "GET", "/read/x", &[]).await.expect("one").status, 200);
    }
    assert_eq!(leaving.executed().len(), before);
    site.store.delete("servers", "s-2");
    tokio::time::sleep(time::Duration::from_secs(2)).await;
    assert_eq!(site.send(0, "GET", "/read/x", &[]).await.expect("one").status, 503);
}

#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn an_entry_that_cannot_be_read_names_no_server() {
    let server = desk("s-1").await;
    let site = Site::start(1, &[("desk", &server)]).await;
    for (name, spec) in [
        ("s-2", serde_json::json!("no entry")),
        ("s-3", serde_json::json!({ "service": "desk", "address": 7 })),
        ("s-4", serde_json::json!({ "service": "desk", "state": "asleep" })),
    ] {
        site.store.put("servers", name, &spec);
    }
    tokio::time::sleep(time::Duration::from_secs(1)).await;
    for _ in 0..10 {
        assert_eq!(site.send(0, "GET", "/read/x", &[]).await.expect("one").status, 200);
    }
    assert!(site.log(0).contains("malformed store entry ignored"));
}

#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_finishes_what_was_taken() {
    let server = desk("s-1").await;
    let mut site = Site::start(2, &[("desk", &server)]).await;
    let hosts_known = async || {
        let answer = site.addresses(1).await;
        answer.is_some_and(|answer| answer.body.matches(":8227").count() == 2)
    };
    site.wait_for("both hosts to be in the directory", hosts_known).await;
    server.enqueue([Behaviour::RespondAfter(time::Duration::from_millis(1_500))]);
    let (answer, ()) = tokio::join!(site.send(0, "POST", "/book/x", &[]), async {
        tokio::time::sleep(time::Duration::from_millis(300)).await;
        assert!(site.signal(0, "-TERM"));
        tokio::time::sleep(time::Duration::from_millis(200)).await;
        assert!(!site.is_ready(0).await);
    });
    let answer = answer.expect("an answer");
    assert_eq!((answer.status, answer.is_whole), (200, true));
    let is_gone = async || {
        let answer = site.addresses(1).await;
        answer.is_some_and(|answer| answer.body.matches(":8227").count() == 1)
    };
    site.wait_for("the host to leave the directory", is_gone).await;
    let status = site.wait_for_end(0).await;
    assert!(status.success(), "{status}");
    assert!(site.store.get("toucanwall-hosts", "host-0").is_none());
}

#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn a_host_without_a_configuration_says_so() {
    let mut site = Site::prepare().await;
    site.add_host();
    site.wait_for("the host to answer", async || {
        site.send(0, "GET", "/read/x", &[]).await.is_some()
    })
    .await;
    let answer = site.send(0, "GET", "/read/x", &[]).await.expect("an answer");
    assert_eq!(answer.status, 503);
    assert!(answer.header("retry-after").is_some());
    assert!(!site.is_ready(0).await);
}

#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn what_callers_saw_stands_in_the_metrics() {
    let server = desk("s-1").await;
    let site = Site::start(1, &[("desk", &server)]).await;
    for _ in 0..3 {
        site.send(0, "GET", "/read/x", &[]).await.expect("an answer");
    }
    site.send(0, "GET", "/nothing/", &[]).await.expect("an answer");
    let metrics = site.metrics(0).await;
    assert!(metrics.contains("toucanwall_requests_answered_total{status=\"2xx\"} 3"), "{metrics}");
    assert!(
        metrics.contains("toucanwall_requests_refused_total{reason=\"no route\"} 1"),
        "{metrics}"
    );
    assert!(metrics.contains("toucanwall_configuration_version 2"), "{metrics}");
}

/// The lines about a request, in their order.
fn lines_about(log: &str, id: &str) -> Vec<serde_json::Value> {
    let lines = log.lines().filter_map(|line| serde_json::from_str(line).ok());
    lines.filter(|line: &serde_json::Value| line["request"] == id).collect()
}

#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn each_decision_about_a_request_leaves_a_line_with_its_inputs() {
    let (first, second) = (engine("e-1").await, engine("e-2").await);
    first.enqueue([Behaviour::TruncateStream { after: 3 }]);
    let site = Site::start(1, &[("engines", &first), ("engines", &second)]).await;
    for _ in 0..8 {
        site.send(0, "POST", "/chat/x", &[]).await.expect("an answer");
    }
    let refused = [("authorization", "Token nobody")];
    site.send(0, "POST", "/chat/x", &refused).await.expect("an answer");
    site.wait_for("the log's last line", async || site.log(0).contains("unknown key")).await;
    let log = site.log(0);
    let interrupted = log.lines().find(|line| line.contains("stream interrupted")).expect("one");
    let interrupted: serde_json::Value = serde_json::from_str(interrupted).expect("JSON");
    let told = lines_about(&log, interrupted["request"].as_str().expect("an id"));
    let messages: Vec<_> = told.iter().filter_map(|line| line["message"].as_str()).collect();
    let wanted = ["sent", "stream begun", "stream interrupted", "sent", "stream ended"];
    assert_eq!(messages, wanted, "{log}");
    assert_eq!(told[0]["configuration"], 2);
    assert!(told[0]["server"].is_string() && told[0]["left_ms"].is_u64(), "{log}");
    assert!(told.iter().any(|line| line["last_event"] == 3), "{log}");
    let refusal = log.lines().find(|line| line.contains("unknown key")).expect("a refusal");
    assert!(refusal.contains("\"status\":401") && refusal.contains("\"configuration\":2"));
}

#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn a_log_that_nobody_reads_holds_nothing_up() {
    const REQUESTS: usize = 3_000;

    let server = desk("s-1").await;
    let mut site = Site::prepare().await;
    site.store.put("config", "main", &site::configuration(2));
    site.register("desk", &server, "ready");
    let host = site.spawn_with(0, std::process::Stdio::piped());
    site.hosts.push(host);
    site.wait_for("the host to be ready", async || site.is_ready(0).await).await;
    for _ in 0..REQUESTS {
        assert_eq!(site.send(0, "GET", "/read/x", &[]).await.expect("one").status, 200);
    }
    let metrics = site.metrics(0).await;
    let dropped =
        metrics.lines().find_map(|line| line.strip_prefix("toucanwall_log_lines_dropped "));
    let dropped: u64 = dropped.and_then(|count| count.parse().ok()).expect("a count");
    assert!(dropped > 0, "{metrics}");
}

/// An outage that is shorter than the time between two looks at the store may lose a call that
/// waits, without a sign of it.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn a_configuration_is_in_force_though_a_waiting_call_was_lost() {
    let server = desk("s-1").await;
    let site = Site::start(1, &[("desk", &server)]).await;
    site.store.set_mode(store::Mode::UnansweredWatches);
    // The host hears of this one and asks again, in vain.
    site.store.put("config", "main", &site::configuration(3));
    tokio::time::sleep(time::Duration::from_millis(1_500)).await;
    site.store.set_mode(store::Mode::Up);
    tokio::time::sleep(time::Duration::from_secs(3)).await;
    let mut next = site::configuration(5);
    next["tenants"][1]["api_keys"] = serde_json::json!([]);
    site.store.put("config", "main", &next);
    tokio::time::sleep(site::CONFIG_APPLY).await;
    let with_other = [("authorization", "Token key-2")];
    let answer = site.send(0, "GET", "/read/x", &with_other).await.expect("an answer");
    assert_eq!(answer.status, 401, "{}", site.log(0));
}

/// The small model's answer is passed on where the budget has no second run left.
#[rstest]
#[case::with_budget(None, 2)]
#[case::without_budget(Some(0), 1)]
#[tokio::test(flavor = "multi_thread")]
async fn a_doubted_answer_is_dropped_only_for_a_second_run(
    #[case] retry_allowance: Option<u64>,
    #[case] runs: usize,
) {
    let doubted = Behaviour::LowConfidenceStream { last: 6 };
    let server = backend::Backend::start("e-1", doubted).await;
    let mut site = Site::prepare().await;
    site.retry_allowance = retry_allowance;
    let mut configuration = site::configuration(2);
    configuration["routes"][2]["sizes"] = serde_json::json!(["small", "large"]);
    configuration["services"][1]["inference_engine"] = serde_json::json!({
        "slots": 8, "kv_capacity": 100_000,
        "models": [{ "name": "small", "cost": 0.1 }, { "name": "large", "cost": 1.0 }],
    });
    site.store.put("config", "main", &configuration);
    site.register("engines", &server, "ready");
    site.add_ready_host().await;
    // The budget grows with requests for the service.
    for _ in 0..10 {
        site.send(0, "POST", "/chat/x", &[]).await.expect("an answer");
    }
    let before = server.executed().len();
    let any = [("x-toucanwall-model-name", "*"), ("x-toucanwall-token-count", "100,10")];
    let answer = site.send(0, "POST", "/chat/x", &any).await.expect("an answer");
    assert_eq!((answer.status, answer.is_whole), (200, true), "{}", site.log(0));
    assert_eq!(server.executed().len() - before, runs, "{}", site.log(0));
}

/// A server is not to work for a caller that has left.
#[rstest]
#[case::before_the_answer("desk", "/read/x", Behaviour::Hang)]
#[case::booking("desk", "/book/x", Behaviour::Hang)]
#[case::within_a_stream("engines", "/chat/x", Behaviour::StallStream { after: 3 })]
#[tokio::test(flavor = "multi_thread")]
async fn a_server_hears_that_its_caller_has_left(
    #[case] service: &str,
    #[case] path: &str,
    #[case] act: Behaviour,
) {
    let server = backend::Backend::start("s-1", act).await;
    let site = Site::start(1, &[(service, &server)]).await;
    let request = format!(
        "POST {path} HTTP/1.1\r\nhost: site.example\r\nx-toucanwall-attempt-id: gone-1\r\n\
         x-toucanwall-deadline-ms: 3000\r\nauthorization: Token {}\r\n\r\n",
        site::KEY
    );
    let caller = site.write(0, &request).await;
    site.wait_for("the server to run it", async || server.executed().len() == 1).await;
    drop(caller);
    let left = time::Instant::now();
    site.wait_for("the server to hear of it", async || server.abandoned() == 1).await;
    // The platform counts work that goes on for half a second.
    assert!(left.elapsed() < time::Duration::from_millis(500), "{:?}", left.elapsed());
    assert_eq!(server.executed().len(), 1);
}

/// The address of a server that is gone is used again before the host hears of it.
#[rstest]
#[case::safe("GET", "/read/x")]
#[case::not_to_be_repeated("POST", "/book/x")]
#[tokio::test(flavor = "multi_thread")]
async fn a_server_at_a_reused_address_runs_nothing(#[case] method: &str, #[case] path: &str) {
    let (gone, other) = (desk("s-1").await, desk("s-2").await);
    let mut site = Site::prepare().await;
    site.store.put("config", "main", &site::configuration(2));
    site.register_at("desk", &gone, other.address, "ready");
    site.add_ready_host().await;
    let answer = site.send(0, method, path, &[]).await.expect("an answer");
    assert_eq!(answer.status, 503, "{answer:?}");
    assert!(answer.header("retry-after").is_some());
    assert!(other.executed().is_empty());
}

/// A second request hidden where hosts and servers could disagree about the end of the first.
#[rstest]
#[case::length_and_chunks("content-length: 6\r\ntransfer-encoding: chunked", "0\r\n\r\n")]
#[case::two_lengths("content-length: 0\r\ncontent-length: 44", "")]
#[case::unknown_encoding("transfer-encoding: xchunked\r\ncontent-length: 0", "")]
#[case::chunks_in_disguise("transfer-encoding : chunked\r\ncontent-length: 5", "0\r\n\r\n")]
#[case::line_in_a_header("x-a: b\nx-toucanwall-tenant-id: forged\r\ncontent-length: 0", "")]
#[tokio::test(flavor = "multi_thread")]
async fn a_hidden_request_reaches_no_server(#[case] framing: &str, #[case] body: &str) {
    let server = desk("s-1").await;
    let site = Site::start(1, &[("desk", &server)]).await;
    let request = |path: &str, id: &str, rest: &str| {
        format!(
            "POST {path} HTTP/1.1\r\nhost: site.example\r\nx-toucanwall-attempt-id: {id}\r\n\
             x-toucanwall-deadline-ms: 3000\r\nauthorization: Token {}\r\n{rest}\r\n\r\n",
            site::KEY
        )
    };
    // The hidden one has no key, so that it runs only if a server takes it for a request.
    let hidden = "POST /book/hidden HTTP/1.1\r\nx-toucanwall-attempt-id: hidden\r\n\r\n";
    let bytes = format!("{}{body}{hidden}", request("/book/x", "first", framing));
    let caller = site.write(0, &bytes).await;
    let plain = request("/book/y", "second", "content-length: 0");
    let other = site.write(0, &plain).await;
    let has_run = async || server.executed().iter().any(|run| run.target == "/book/y");
    site.wait_for("another caller's request to run", has_run).await;
    tokio::time::sleep(time::Duration::from_millis(200)).await;
    let runs = server.executed();
    assert!(runs.iter().all(|run| run.target != "/book/hidden"), "{runs:?}");
    let tenants = runs.iter().filter_map(|run| run.headers.get("x-toucanwall-tenant-id"));
    assert!(tenants.into_iter().all(|tenant| tenant == "org-1"), "{runs:?}");
    drop((caller, other));
}

/// A server resets connections beyond its limit, and what was written on them is in doubt.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn connections_that_rest_count_against_the_limit_of_a_server() {
    const LIMIT: usize = 8;
    let server = desk("s-1").await;
    let mut site = Site::prepare().await;
    let mut configuration = site::configuration(2);
    configuration["services"][0]["max_connections"] = LIMIT.into();
    site.store.put("config", "main", &configuration);
    site.register("desk", &server, "ready");
    site.add_ready_host().await;
    for _ in 0..4 * LIMIT {
        // Each booking has a new connection.
        assert_eq!(site.send(0, "POST", "/book/x", &[]).await.expect("one").status, 200);
    }
    assert!(server.peak_connections() <= LIMIT, "{} connections", server.peak_connections());
}

/// A server's word that it did not run a request says nothing of the server before it.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn a_doubt_is_not_settled_by_another_server() {
    let losing = backend::Backend::start("s-1", Behaviour::DropResponse).await;
    let declining = backend::Backend::start("s-2", Behaviour::Decline).await;
    let site = Site::start(1, &[("desk", &losing), ("desk", &declining)]).await;
    let mut doubtful = 0;
    for number in 0..12 {
        let id = format!("doubt-{number}");
        let answer = site.prepare_request(0, "GET", "/read/x", &id).send().await.expect("one");
        let has_run = losing.executed().iter().any(|run| {
            run.headers.get("x-toucanwall-attempt-id").is_some_and(|run_id| *run_id == id)
        });
        assert_eq!(answer.status, if has_run { 502 } else { 503 }, "{id}");
        doubtful += u32::from(has_run);
    }
    assert!(doubtful > 0, "some requests reached the server that loses answers");
}

/// Servers could not renew their entries while the store was away; they are back soon after it.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn a_server_whose_entry_lapsed_with_the_store_is_kept_for_a_while() {
    let server = desk("s-1").await;
    let site = Site::start(1, &[("desk", &server)]).await;
    site.store.set_mode(store::Mode::Unavailable);
    site.store.abort_watches();
    site.wait_for("the outage to show", async || site.log(0).contains("store lost")).await;
    site.store.delete("servers", "s-1");
    site.store.set_mode(store::Mode::Up);
    let lists = || site.log(0).matches(r#""kind":"servers""#).count();
    let before = lists();
    site.wait_for("the servers to be listed anew", async || lists() > before).await;
    assert_eq!(site.send(0, "GET", "/read/x", &[]).await.expect("one").status, 200);
    // An entry that is not back in time is taken as gone.
    let is_gone = async || site.log(0).contains("servers did not re-register after an outage");
    site.wait_for("the server to be taken as gone", is_gone).await;
    assert_eq!(site.send(0, "GET", "/read/x", &[]).await.expect("one").status, 503);
}

/// A kept connection may be closed while a request is on its way, which leaves its fate open.
#[rstest]
#[case::not_to_be_repeated("POST", "/book/x", 6)]
#[case::safe("GET", "/read/x", 1)]
#[tokio::test(flavor = "multi_thread")]
async fn only_requests_that_may_be_repeated_use_kept_connections(
    #[case] method: &str,
    #[case] path: &str,
    #[case] opened: usize,
) {
    let server = desk("s-1").await;
    let site = Site::start(1, &[("desk", &server)]).await;
    for _ in 0..6 {
        assert_eq!(site.send(0, method, path, &[]).await.expect("one").status, 200);
    }
    assert_eq!(server.connections_opened(), opened);
}
