//! Hosts whose process is stopped for a moment while answers arrive.

mod gateway_fleet;

use std::time;

use gateway_fleet::GatewayFleet;
use rstest::rstest;
use toucanwall_platform_standin::backend;
use toucanwall_platform_standin::backend::Behaviour;

/// Longer than an attempt waits for its response, and than a stream waits for its next event.
const PAUSE: time::Duration = time::Duration::from_millis(1_900);
/// Time from a request to the pause.
const UNTIL_PAUSE: time::Duration = time::Duration::from_millis(100);
const LAST: u64 = 8;

/// Guards against an answer that is given up, and its request sent again, although it had arrived while
/// the host could not read it.
#[rstest]
#[case::response("GET", "/read/x", Behaviour::RespondAfter(time::Duration::from_millis(400)))]
#[case::stream(
    "POST",
    "/chat/x",
    Behaviour::SlowStream { last: LAST, pause: time::Duration::from_millis(150) }
)]
#[tokio::test(flavor = "multi_thread")]
async fn answer_that_arrived_during_a_pause_of_the_host_counts(
    #[case] method: &str,
    #[case] path: &str,
    #[case] behaviour: Behaviour,
) {
    let server = backend::Backend::start("s-1", behaviour).await;
    let service = if path.starts_with("/chat/") { "engines" } else { "desk" };
    let fleet = GatewayFleet::start(1, &[(service, &server)]).await;
    let sending = tokio::spawn(fleet.prepare_request(0, method, path, "paused").send());
    tokio::time::sleep(UNTIL_PAUSE).await;
    assert!(fleet.signal(0, "-STOP"));
    tokio::time::sleep(PAUSE).await;
    assert!(fleet.signal(0, "-CONT"));
    let response = sending.await.expect("no panic").expect("a response");
    assert_eq!(response.status, 200, "{}", fleet.log(0));
    assert!(response.is_complete, "{}", fleet.log(0));
    if service == "engines" {
        let events: Vec<_> = (1..=LAST).collect();
        assert_eq!(gateway_fleet::event_numbers(&response.body), events, "{}", fleet.log(0));
    }
    assert_eq!(server.executed().len(), 1, "{}", fleet.log(0));
}

/// Guards against a time limit that never ends an attempt.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn answer_that_did_not_arrive_during_a_pause_of_the_host_is_given_up() {
    let server = backend::Backend::start("s-1", Behaviour::Hang).await;
    let fleet = GatewayFleet::start(1, &[("desk", &server)]).await;
    let started_at = time::Instant::now();
    let sending = tokio::spawn(fleet.prepare_request(0, "GET", "/read/x", "paused").send());
    tokio::time::sleep(UNTIL_PAUSE).await;
    assert!(fleet.signal(0, "-STOP"));
    tokio::time::sleep(PAUSE).await;
    assert!(fleet.signal(0, "-CONT"));
    let response = sending.await.expect("no panic").expect("a response");
    assert!(response.status >= 500, "{}", fleet.log(0));
    assert!(started_at.elapsed() < time::Duration::from_secs(4), "{}", fleet.log(0));
}
