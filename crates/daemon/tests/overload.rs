//! Requests and repeats that real hosts leave out under overload.

use std::time;

use rstest::rstest;
use toucanwall_platform_standin::backend;

mod gateway_fleet;

use gateway_fleet::GatewayFleet;

const PROMPT: (&str, &str) = ("x-toucanwall-token-count", "100,10");
/// Number of responses after which hosts know times to the first byte and the pace of streams.
const LEARNED_RESPONSES: usize = 12;
/// Number of requests, of which the last ones find a host that knows these times.
const REQUESTS: usize = 18;
/// More than the target latency of the route, 300 ms.
const RESPONSE_DELAY: time::Duration = time::Duration::from_millis(400);
const EVENTS: u64 = 10;
const EVENT_PAUSE: time::Duration = time::Duration::from_millis(100);

async fn post(fleet: &GatewayFleet, headers: &[(&str, &str)]) -> gateway_fleet::Response {
    fleet.send(0, "POST", "/chat/x", headers).await.expect("a response")
}

/// Guards against rejections of requests that can still be answered before their deadline, though late:
/// callers that come back are answered later still.
#[rstest]
#[case::busy("8,8,8")]
#[case::free("1,0,8")]
#[tokio::test]
async fn first_attempts_are_served_while_they_can_be_answered_before_the_deadline(
    #[case] load: &str,
) {
    let engine =
        backend::Backend::start("e-1", backend::Behaviour::RespondAfter(RESPONSE_DELAY)).await;
    engine.report_load(load);
    let fleet = GatewayFleet::start(1, &[("engines", &engine)]).await;
    for _ in 0..REQUESTS {
        assert_eq!(post(&fleet, &[PROMPT]).await.status, 200, "{}", fleet.log(0));
    }
    assert_eq!(engine.arrivals().len(), REQUESTS);
}

/// Guards against resumptions of streams that end after their callers have left, and against hosts that
/// leave out those that can end in time.
#[rstest]
#[case::time_left("3000", 2)]
#[case::no_time_left("600", 1)]
#[tokio::test]
async fn streams_are_resumed_only_if_the_rest_can_end_in_time(
    #[case] deadline_ms: &str,
    #[case] expected_arrivals: usize,
) {
    let stream = backend::Behaviour::SlowStream { last: EVENTS, pause: EVENT_PAUSE };
    let engines = [
        backend::Backend::start("e-1", stream.clone()).await,
        backend::Backend::start("e-2", stream).await,
    ];
    let servers = [("engines", &engines[0]), ("engines", &engines[1])];
    let fleet = GatewayFleet::start(1, &servers).await;
    let learning = (0..LEARNED_RESPONSES).map(|_| post(&fleet, &[PROMPT]));
    for response in futures_util::future::join_all(learning).await {
        assert!(response.is_complete && response.status == 200, "{response:?}");
    }
    let arrivals = || engines.iter().map(|engine| engine.arrivals().len()).sum::<usize>();
    let arrivals_before = arrivals();
    for engine in &engines {
        engine.enqueue([backend::Behaviour::TruncateStream { after: 1 }]);
    }
    post(&fleet, &[PROMPT, ("x-toucanwall-deadline-ms", deadline_ms)]).await;
    assert_eq!(arrivals() - arrivals_before, expected_arrivals, "{}", fleet.log(0));
    let is_omitted = fleet.log(0).contains("repeat cannot end in time");
    assert_eq!(is_omitted, expected_arrivals == 1, "{}", fleet.log(0));
}
