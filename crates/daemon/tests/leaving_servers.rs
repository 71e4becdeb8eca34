//! Servers that say in their responses that they are leaving.

mod gateway_fleet;

use std::collections;
use std::time;

use gateway_fleet::GatewayFleet;
use rstest::rstest;
use toucanwall_platform_standin::backend;
use toucanwall_platform_standin::backend::Behaviour;
use toucanwall_platform_standin::store;

/// Longest time for which a leaving server may receive further requests, as in the `drain_ms`
/// setting.
const DRAIN_LIMIT: time::Duration = time::Duration::from_secs(2);
/// Requests that are sent to find out whether a server still receives any. Placement chooses among
/// equal servers at random.
const PROBES: usize = 24;
/// Time for a response that needs no server.
const PROMPT: time::Duration = time::Duration::from_millis(500);
const LAST_EVENT: u64 = 6;

/// A host with a leaving server and another one of the same service.
struct Scenario {
    fleet: GatewayFleet,
    leaving: backend::Backend,
    remaining: backend::Backend,
    path: &'static str,
}

impl Scenario {
    async fn start(path: &'static str) -> Self {
        let is_stream = path.starts_with("/chat/");
        let behaviour =
            if is_stream { Behaviour::Stream { last: LAST_EVENT } } else { Behaviour::Respond };
        let service = if is_stream { "engines" } else { "desk" };
        let leaving = backend::Backend::start("s-1", behaviour.clone()).await;
        let remaining = backend::Backend::start("s-2", behaviour).await;
        let fleet = GatewayFleet::start(1, &[(service, &leaving), (service, &remaining)]).await;
        Self { fleet, leaving, remaining, path }
    }

    async fn send(&self) -> gateway_fleet::Response {
        let method = if self.path.starts_with("/read/") { "GET" } else { "POST" };
        self.fleet.send(0, method, self.path, &[]).await.expect("a response")
    }

    /// Lets the first server announce that it is leaving, and sends requests until one reaches it.
    async fn announce_leaving(&self) {
        self.leaving.announce_leaving(true);
        let before = self.leaving.arrivals().len();
        for _ in 0..8 * PROBES {
            if self.leaving.arrivals().len() > before {
                return;
            }
            self.send().await;
        }
        panic!("no request reached the leaving server\n{}", self.fleet.log(0));
    }

    /// Sends requests and returns how many reached the leaving server.
    async fn probe(&self) -> usize {
        let before = self.leaving.arrivals().len();
        for _ in 0..PROBES {
            self.send().await;
        }
        self.leaving.arrivals().len() - before
    }
}

#[rstest]
#[case::success("/read/x", Behaviour::Respond)]
#[case::failure("/read/x", Behaviour::Fail)]
#[case::declined("/read/x", Behaviour::Decline)]
#[case::mismatched("/read/x", Behaviour::WrongAttemptId)]
#[case::without_seal("/read/x", Behaviour::MissingSeal)]
#[case::truncated("/read/x", Behaviour::TruncateResponse)]
#[case::connection_closed("/read/x", Behaviour::RespondAndClose)]
#[case::non_idempotent("/book/x", Behaviour::Respond)]
#[case::stream("/chat/x", Behaviour::Stream { last: LAST_EVENT })]
#[case::interrupted_stream("/chat/x", Behaviour::TruncateStream { after: 3 })]
#[tokio::test(flavor = "multi_thread")]
async fn server_that_says_it_leaves_receives_no_later_requests(
    #[case] path: &'static str,
    #[case] last_response: Behaviour,
    #[values(store::Mode::Up, store::Mode::Unresponsive)] store_mode: store::Mode,
) {
    let scenario = Scenario::start(path).await;
    scenario.fleet.store.set_mode(store_mode);
    scenario.fleet.store.abort_watches();
    scenario.leaving.enqueue([last_response]);
    scenario.announce_leaving().await;
    tokio::time::sleep(DRAIN_LIMIT).await;
    assert_eq!(scenario.probe().await, 0, "{}", scenario.fleet.log(0));
    assert_eq!(scenario.send().await.status, 200);
}

#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn no_connection_is_opened_to_a_leaving_server() {
    let scenario = Scenario::start("/book/x").await;
    scenario.announce_leaving().await;
    let before = scenario.leaving.connections_opened();
    scenario.probe().await;
    assert_eq!(scenario.leaving.connections_opened(), before, "{}", scenario.fleet.log(0));
}

/// The registry may show a leaving server as ready for some time.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn entry_that_is_written_again_does_not_bring_back_a_leaving_server() {
    let scenario = Scenario::start("/read/x").await;
    scenario.announce_leaving().await;
    scenario.fleet.store.delete("servers", "s-1");
    tokio::time::sleep(DRAIN_LIMIT / 2).await;
    scenario.fleet.register("desk", &scenario.leaving, "ready");
    tokio::time::sleep(DRAIN_LIMIT).await;
    assert_eq!(scenario.probe().await, 0, "{}", scenario.fleet.log(0));
}

/// A server's older heartbeat may be written after its last one.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn draining_entry_that_becomes_ready_again_receives_no_requests() {
    let scenario = Scenario::start("/read/x").await;
    scenario.fleet.register("desk", &scenario.leaving, "draining");
    tokio::time::sleep(DRAIN_LIMIT / 2).await;
    scenario.fleet.register("desk", &scenario.leaving, "ready");
    tokio::time::sleep(DRAIN_LIMIT / 2).await;
    assert_eq!(scenario.probe().await, 0, "{}", scenario.fleet.log(0));
}

#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn next_run_of_a_server_that_left_receives_requests() {
    let scenario = Scenario::start("/read/x").await;
    scenario.fleet.register_run("desk", &scenario.leaving, 1_000);
    tokio::time::sleep(DRAIN_LIMIT / 2).await;
    scenario.announce_leaving().await;
    scenario.leaving.announce_leaving(false);
    assert_eq!(scenario.probe().await, 0, "{}", scenario.fleet.log(0));
    scenario.fleet.register_run("desk", &scenario.leaving, 2_000);
    let has_returned = async || scenario.probe().await > 0;
    scenario.fleet.wait_for("the next run to receive requests", has_returned).await;
}

#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn server_that_says_in_an_interim_response_that_it_leaves_receives_no_later_requests() {
    let scenario = Scenario::start("/read/x").await;
    scenario.leaving.enqueue([Behaviour::AnnounceLeavingInInterim]);
    let is_told = async || {
        scenario.send().await;
        !scenario.leaving.arrivals().is_empty()
    };
    scenario.fleet.wait_for("a request to reach the leaving server", is_told).await;
    tokio::time::sleep(DRAIN_LIMIT).await;
    assert_eq!(scenario.probe().await, 0, "{}", scenario.fleet.log(0));
}

/// A server at a reused address rejects requests for the one that was there before.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn notice_in_a_rejection_concerns_the_server_at_that_address() {
    let engine = backend::Backend::start("e-1", Behaviour::Stream { last: LAST_EVENT }).await;
    let gone = backend::Backend::start("s-1", Behaviour::Respond).await;
    let mut fleet = GatewayFleet::prepare().await;
    fleet.store.put("config", "main", &gateway_fleet::configuration(2));
    fleet.register_at("desk", &gone, engine.address, "ready");
    fleet.register("engines", &engine, "ready");
    fleet.add_ready_host().await;
    engine.announce_leaving(true);
    assert_eq!(fleet.send(0, "GET", "/read/x", &[]).await.expect("a response").status, 503);
    tokio::time::sleep(DRAIN_LIMIT).await;
    assert_eq!(fleet.send(0, "POST", "/chat/x", &[]).await.expect("a response").status, 503);
    assert!(engine.executed().is_empty(), "{}", fleet.log(0));
}

#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn requests_are_refused_at_once_if_all_servers_leave() {
    let scenario = Scenario::start("/read/x").await;
    scenario.remaining.announce_leaving(true);
    scenario.announce_leaving().await;
    scenario.fleet.store.delete("servers", "s-1");
    let both_have_answered = async || {
        scenario.send().await;
        !scenario.remaining.arrivals().is_empty()
    };
    scenario.fleet.wait_for("both servers to have answered", both_have_answered).await;
    let started = time::Instant::now();
    let response = scenario.send().await;
    assert_eq!(response.status, 503, "{}", scenario.fleet.log(0));
    assert!(started.elapsed() < PROMPT, "{:?}", started.elapsed());
    let retry_after = response.header("retry-after").and_then(|text| text.parse::<f64>().ok());
    assert!(retry_after.is_some_and(|seconds| seconds > 0.0), "{response:?}");
}

/// The servers that a request has tried are tried again after an escalation.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn request_is_not_escalated_to_a_leaving_server() {
    let low_confidence = Behaviour::LowConfidenceStream { last: LAST_EVENT };
    let leaving = backend::Backend::start("e-1", low_confidence.clone()).await;
    let remaining = backend::Backend::start("e-2", low_confidence).await;
    let mut fleet = GatewayFleet::prepare().await;
    fleet.store.put("config", "main", &gateway_fleet::cascade_configuration(2));
    fleet.register("engines", &leaving, "ready");
    fleet.register("engines", &remaining, "ready");
    fleet.add_ready_host().await;
    leaving.announce_leaving(true);
    let any_model = [("x-toucanwall-model-name", "*"), ("x-toucanwall-token-count", "100,10")];
    let is_told = async || {
        fleet.send(0, "POST", "/chat/x", &any_model).await;
        !leaving.arrivals().is_empty()
    };
    fleet.wait_for("a request to reach the leaving server", is_told).await;
    for _ in 0..PROBES {
        fleet.send(0, "POST", "/chat/x", &any_model).await.expect("a response");
    }
    assert_eq!(leaving.arrivals().len(), 1, "{}", fleet.log(0));
    let runs = remaining.executed();
    let runs = runs.iter().filter_map(|run| run.headers.get("x-toucanwall-attempt-id"));
    let requests: collections::BTreeSet<_> = runs.clone().collect();
    assert!(runs.count() > requests.len(), "no request was escalated");
}

#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn stream_is_not_resumed_at_a_leaving_server() {
    let scenario = Scenario::start("/chat/x").await;
    scenario.announce_leaving().await;
    let before = scenario.leaving.arrivals().len();
    scenario.remaining.enqueue([Behaviour::TruncateStream { after: 3 }]);
    let response = scenario.send().await;
    assert!(!response.is_complete, "{response:?}");
    assert_eq!(scenario.leaving.arrivals().len(), before, "{}", scenario.fleet.log(0));
}

/// Servers close connections also without leaving.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn server_that_closes_a_connection_still_receives_requests() {
    let scenario = Scenario::start("/read/x").await;
    scenario.leaving.enqueue([Behaviour::RespondAndClose]);
    let has_closed = async || {
        scenario.send().await;
        !scenario.leaving.arrivals().is_empty()
    };
    scenario.fleet.wait_for("a request to reach the server", has_closed).await;
    assert!(scenario.probe().await > 0, "{}", scenario.fleet.log(0));
}
