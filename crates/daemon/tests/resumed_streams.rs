//! Streams that break off and are continued by a server that fails.

mod gateway_fleet;

use gateway_fleet::GatewayFleet;
use rstest::rstest;
use toucanwall_platform_standin::backend;
use toucanwall_platform_standin::backend::Behaviour;
use toucanwall_platform_standin::broken_stream::Break;
use toucanwall_platform_standin::broken_stream::BrokenStream;
use toucanwall_platform_standin::broken_stream::GARBAGE;

const LAST_EVENT: u64 = 6;
/// Number of the event after which streams break off.
const BREAK_AFTER: u64 = 3;
/// Requests that each test sends.
const REQUESTS: usize = 20;

/// Fails to continue streams only.
fn on_resumption(behaviour: Behaviour) -> Behaviour {
    Behaviour::OnResumption { last: LAST_EVENT, behaviour: Box::new(behaviour) }
}

async fn start(behaviours: [Behaviour; 2]) -> (GatewayFleet, [backend::Backend; 2]) {
    let [first, second] = behaviours;
    let servers =
        [backend::Backend::start("s-1", first).await, backend::Backend::start("s-2", second).await];
    let fleet = GatewayFleet::start(1, &[("engines", &servers[0]), ("engines", &servers[1])]).await;
    (fleet, servers)
}

/// Checks that a caller has received events from the first one on and nothing else, and that the
/// stream is complete only with all of them.
fn check(response: &gateway_fleet::Response, log: &str) {
    let numbers = gateway_fleet::event_numbers(&response.body);
    let expected: Vec<u64> = (1..=LAST_EVENT).collect();
    assert!(!response.body.contains(backend::ERROR_TEXT), "{response:?}\n{log}");
    assert!(!response.body.contains("HTTP/1.1"), "{response:?}\n{log}");
    if response.status == 200 {
        let is_whole = numbers == expected;
        assert!(expected.starts_with(&numbers), "{response:?}\n{log}");
        assert!(is_whole || !response.is_complete, "{response:?}\n{log}");
    }
}

/// Each stream breaks off; the next server answers with an error.
#[rstest]
#[case::status_with_the_type_of_a_stream(
    Behaviour::ErrorAsStream { status: 500, event_id_offset: None }
)]
#[case::status_and_the_next_event_id(
    Behaviour::ErrorAsStream { status: 500, event_id_offset: Some(1) }
)]
#[case::not_found(Behaviour::ErrorAsStream { status: 404, event_id_offset: Some(1) })]
#[case::declined_as_stream(Behaviour::ErrorAsStream { status: 503, event_id_offset: Some(1) })]
#[case::event_without_id(Behaviour::ErrorAsStream { status: 200, event_id_offset: None })]
#[case::repeated_event(Behaviour::ErrorAsStream { status: 200, event_id_offset: Some(0) })]
#[case::error(Behaviour::Fail)]
#[case::another_type(Behaviour::Respond)]
#[case::head_of_an_error(Behaviour::UnframedStreamWithError { after: BREAK_AFTER })]
#[case::head_of_an_error_after_an_event(
    Behaviour::UnframedStreamWithError { after: BREAK_AFTER + 1 }
)]
#[case::nothing(Behaviour::UnframedHead)]
#[case::lost(Behaviour::DropResponse)]
#[tokio::test(flavor = "multi_thread")]
async fn error_of_a_server_is_not_written_into_a_stream(#[case] failure: Behaviour) {
    let (fleet, servers) =
        start([Behaviour::TruncateStream { after: BREAK_AFTER }, on_resumption(failure)]).await;
    for _ in 0..REQUESTS {
        let response = fleet.send(0, "POST", "/chat/x", &[]).await.expect("a response");
        check(&response, &fleet.log(0));
    }
    let resumed = servers[1].executed().iter().any(|it| it.headers.contains_key("last-event-id"));
    let declined = servers[1].arrivals().len() > servers[1].executed().len();
    assert!(resumed || declined, "no stream was continued\n{}", fleet.log(0));
}

/// The end of the connection is the end of the response, so an error may come before it.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn error_within_an_unframed_stream_is_not_forwarded() {
    let failing = Behaviour::UnframedStreamWithError { after: BREAK_AFTER };
    let (fleet, servers) = start([failing, Behaviour::Stream { last: LAST_EVENT }]).await;
    for _ in 0..REQUESTS {
        let response = fleet.send(0, "POST", "/chat/x", &[]).await.expect("a response");
        check(&response, &fleet.log(0));
        assert!(response.is_complete, "{response:?}\n{}", fleet.log(0));
    }
    assert!(!servers[0].arrivals().is_empty());
}

/// A sound server continues the stream after the failing one.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn stream_is_continued_after_a_server_that_answers_with_an_error() {
    let (fleet, servers) = start([
        Behaviour::TruncateStream { after: BREAK_AFTER },
        on_resumption(Behaviour::ErrorAsStream { status: 500, event_id_offset: Some(1) }),
    ])
    .await;
    let sound = backend::Backend::start("s-3", Behaviour::Stream { last: LAST_EVENT }).await;
    fleet.register("engines", &sound, "ready");
    let is_used = async || {
        let response = fleet.send(0, "POST", "/chat/x", &[]).await.expect("a response");
        check(&response, &fleet.log(0));
        sound.executed().iter().any(|run| run.headers.contains_key("last-event-id"))
    };
    fleet.wait_for("a stream to be continued", is_used).await;
    drop(servers);
}

/// Guards against whole events that are lost, and missing in a stream that ends as complete, because
/// the bytes behind them break the stream off.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn events_before_a_break_in_the_same_bytes_are_forwarded(
    #[values(
        Break::Unnumbered,
        Break::Repeated,
        Break::Skipped,
        Break::Back,
        Break::Oversized,
        Break::Endless,
        Break::MalformedChunk,
        Break::OtherResponse,
        Break::Reset,
        Break::Truncated,
        Break::Unfinished,
        Break::Stalled
    )]
    how: Break,
    // Within a stream, in its first bytes, and in the first and later bytes of resumed streams.
    #[values(vec![3], vec![1], vec![2, 3], vec![1, 4])] breaks: Vec<u64>,
) {
    let broken = Behaviour::BreakStream(BrokenStream { last: LAST_EVENT, breaks, how });
    let (fleet, _servers) = start([broken.clone(), broken.clone()]).await;
    let third = backend::Backend::start("s-3", broken).await;
    fleet.register("engines", &third, "ready");
    let is_known = async || fleet.log(0).contains(r#""server":"s-3""#);
    fleet.wait_for("the third server to be known", is_known).await;
    // Enough for two streams that stall.
    let deadline = [("x-toucanwall-deadline-ms", "4000")];
    let response = fleet.send(0, "POST", "/chat/x", &deadline).await.expect("a response");
    assert!(!response.body.contains(GARBAGE), "{response:?}\n{}", fleet.log(0));
    let numbers = gateway_fleet::event_numbers(&response.body);
    let expected: Vec<u64> = (1..=LAST_EVENT).collect();
    let log = fleet.log(0);
    assert!(expected.starts_with(&numbers), "{response:?}\n{log}");
    assert!(response.is_complete, "{response:?}\n{log}");
    assert_eq!(numbers, expected, "{log}");
}

/// Guards against a stream that may not be resumed and looks complete behind such a break.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn stream_that_may_not_be_resumed_ends_visibly_behind_its_last_whole_event(
    #[values(Break::Unnumbered, Break::Skipped, Break::MalformedChunk, Break::Unfinished)]
    how: Break,
    #[values(vec![3], vec![1])] breaks: Vec<u64>,
) {
    let whole = breaks[0];
    let broken = BrokenStream { last: LAST_EVENT, breaks, how };
    let (fleet, servers) =
        start([Behaviour::BreakStream(broken.clone()), Behaviour::BreakStream(broken)]).await;
    let mut configuration = gateway_fleet::configuration(3);
    configuration["routes"][2]["resumable"] = false.into();
    fleet.store.put("config", "main", &configuration);
    tokio::time::sleep(gateway_fleet::CONFIG_APPLY_LIMIT).await;
    let response = fleet.send(0, "POST", "/chat/x", &[]).await.expect("a response");
    let log = fleet.log(0);
    assert!(!response.is_complete, "{response:?}\n{log}");
    let expected: Vec<u64> = (1..=whole).collect();
    assert_eq!(gateway_fleet::event_numbers(&response.body), expected, "{response:?}\n{log}");
    let runs: usize = servers.iter().map(|server| server.executed().len()).sum();
    assert_eq!(runs, 1, "{log}");
}
