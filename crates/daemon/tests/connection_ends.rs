//! Responses that end with their connection, and streams that are slow, stall or break off.

mod gateway_fleet;

use std::time;

use gateway_fleet::GatewayFleet;
use rstest::rstest;
use tokio::io::AsyncReadExt as _;
use toucanwall_platform_standin::backend;
use toucanwall_platform_standin::backend::Behaviour;
use toucanwall_platform_standin::backend::Ending;

const LAST: u64 = 6;
const ALL_EVENTS: [u64; 6] = [1, 2, 3, 4, 5, 6];

/// A host and two model engines; streams may be resumed if `is_resumable`.
async fn start(is_resumable: bool) -> (GatewayFleet, Vec<backend::Backend>) {
    let mut servers = Vec::new();
    for number in 0..2 {
        let behaviour = Behaviour::Stream { last: LAST };
        servers.push(backend::Backend::start(&format!("s-{number}"), behaviour).await);
    }
    let mut fleet = GatewayFleet::prepare().await;
    let mut configuration = gateway_fleet::configuration(2);
    configuration["routes"][2]["resumable"] = is_resumable.into();
    fleet.store.put("config", "main", &configuration);
    for server in &servers {
        fleet.register("engines", server, "ready");
    }
    fleet.add_ready_host().await;
    (fleet, servers)
}

/// Lets the server that gets the next request treat it in this way.
fn enqueue(servers: &[backend::Backend], behaviour: &Behaviour) {
    for server in servers {
        server.enqueue([behaviour.clone()]);
    }
}

fn runs(servers: &[backend::Backend]) -> usize {
    servers.iter().map(|server| server.executed().len()).sum()
}

#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn unframed_stream_that_ends_between_events_is_complete() {
    let (fleet, servers) = start(true).await;
    enqueue(&servers, &Behaviour::UnframedStream { last: LAST, ending: Ending::Close });
    let response = fleet.send(0, "POST", "/chat/x", &[]).await.expect("a response");
    assert!(response.is_complete);
    assert_eq!(gateway_fleet::event_numbers(&response.body), ALL_EVENTS);
    assert_eq!(runs(&servers), 1);
}

#[rstest]
#[case::within_an_event(3, Ending::CloseWithinEvent)]
#[case::reset_between_events(3, Ending::Reset)]
#[case::within_the_first_event(0, Ending::CloseWithinEvent)]
#[case::before_the_first_event(0, Ending::Close)]
#[case::reset_before_the_first_event(0, Ending::Reset)]
#[tokio::test(flavor = "multi_thread")]
async fn unframed_stream_that_breaks_off_is_resumed(#[case] last: u64, #[case] ending: Ending) {
    let (fleet, servers) = start(true).await;
    let behaviour = Behaviour::UnframedStream { last, ending };
    for server in &servers {
        server.enqueue([behaviour.clone()]);
    }
    // The second server breaks off as well; the third attempt goes to neither.
    let third = backend::Backend::start("s-2", Behaviour::Stream { last: LAST }).await;
    fleet.register("engines", &third, "ready");
    tokio::time::sleep(time::Duration::from_secs(1)).await;
    let response = fleet.send(0, "POST", "/chat/x", &[]).await.expect("a response");
    assert!(response.is_complete, "{}", fleet.log(0));
    assert_eq!(gateway_fleet::event_numbers(&response.body), ALL_EVENTS, "{}", fleet.log(0));
}

#[rstest]
#[case::within_an_event(Ending::CloseWithinEvent)]
#[case::reset(Ending::Reset)]
#[tokio::test(flavor = "multi_thread")]
async fn unframed_stream_that_cannot_be_resumed_does_not_look_complete(#[case] ending: Ending) {
    let (fleet, servers) = start(false).await;
    enqueue(&servers, &Behaviour::UnframedStream { last: 3, ending });
    let response = fleet.send(0, "POST", "/chat/x", &[]).await.expect("a response");
    assert_eq!(response.status, 200);
    assert!(!response.is_complete, "{}", fleet.log(0));
    assert_eq!(gateway_fleet::event_numbers(&response.body), [1, 2, 3]);
}

/// Time from the first part of a response to the crash of its server.
const CRASH_DELAY: time::Duration = time::Duration::from_millis(50);
/// Time for which a crashed server refuses connections.
const DOWNTIME: time::Duration = time::Duration::from_secs(2);

/// Two servers of each service, of which the first crashes within its responses.
async fn start_with_crashes(listens_for: time::Duration) -> (GatewayFleet, Vec<backend::Backend>) {
    let (mut fleet, mut servers) = start(true).await;
    for number in 2..4 {
        let id = format!("s-{number}");
        servers.push(backend::Backend::start(&id, Behaviour::Respond).await);
        fleet.register("desk", &servers[number], "ready");
    }
    for server in [&servers[0], &servers[2]] {
        server.crash_within_responses(CRASH_DELAY, DOWNTIME, listens_for);
    }
    // A restart lists the servers at once.
    fleet.restart(0);
    fleet.wait_for("the host to be ready", async || fleet.is_ready(0).await).await;
    (fleet, servers)
}

/// Guards against a part of a response that looks complete since a killed process closes its
/// connections in order.
#[rstest]
#[case::safe("GET", "/read/x", 200)]
#[case::unsafe_request("POST", "/book/x", 502)]
#[case::resumable_stream("POST", "/chat/x", 200)]
#[tokio::test(flavor = "multi_thread")]
async fn part_of_an_unframed_response_of_a_server_that_ended_is_not_complete(
    #[case] method: &str,
    #[case] path: &str,
    #[case] status: u16,
    // The kernel closes the sockets of a process in no certain order.
    #[values(0, 3)] listens_for_ms: u64,
) {
    let listens_for = time::Duration::from_millis(listens_for_ms);
    let (fleet, servers) = start_with_crashes(listens_for).await;
    let crashes = || servers.iter().map(backend::Backend::crashes).sum::<usize>();
    let (mut sent, mut response) = (0, None);
    while crashes() == 0 && sent < 40 {
        response = fleet.send(0, method, path, &[]).await;
        sent += 1;
    }
    assert_eq!(crashes(), 1, "{}", fleet.log(0));
    let response = response.expect("a response");
    assert_eq!(response.status, status, "{:?}\n{}", response.body, fleet.log(0));
    if path == "/chat/x" {
        assert!(response.is_complete, "{}", fleet.log(0));
        assert_eq!(gateway_fleet::event_numbers(&response.body), ALL_EVENTS, "{}", fleet.log(0));
    } else if status == 200 {
        assert_eq!(response.body, backend::RESPONSE_BODY, "{}", fleet.log(0));
    }
}

/// Guards against a complete response that is given up because its server stops right behind it, as it
/// said before.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn unframed_response_of_a_server_that_leaves_is_complete() {
    let (fleet, servers) = start_with_crashes(time::Duration::ZERO).await;
    for server in &servers {
        server.announce_leaving(true);
    }
    servers[3].crash_within_responses(CRASH_DELAY, DOWNTIME, time::Duration::ZERO);
    let response = fleet.send(0, "POST", "/book/x", &[]).await.expect("a response");
    assert_eq!(response.status, 200, "{}", fleet.log(0));
    assert!(!response.body.is_empty());
}

/// Reads to the end of a connection; returns the bytes and whether the end was clean.
async fn read_to_end(mut stream: tokio::net::TcpStream) -> (String, bool) {
    let mut bytes = Vec::new();
    let mut buffer = [0; 4_096];
    loop {
        match stream.read(&mut buffer).await {
            Ok(0) => return (String::from_utf8_lossy(&bytes).into_owned(), true),
            Ok(count) => bytes.extend_from_slice(&buffer[..count]),
            Err(_) => return (String::from_utf8_lossy(&bytes).into_owned(), false),
        }
    }
}

#[rstest]
#[case::complete(Behaviour::Stream { last: LAST }, true)]
#[case::broken_off(Behaviour::TruncateStream { after: 3 }, false)]
#[tokio::test(flavor = "multi_thread")]
async fn callers_without_chunks_can_tell_a_stream_that_broke_off(
    #[case] behaviour: Behaviour,
    #[case] is_complete: bool,
) {
    let (fleet, servers) = start(false).await;
    enqueue(&servers, &behaviour);
    let request = format!(
        "POST /chat/x HTTP/1.0\r\nhost: site.example\r\nx-toucanwall-attempt-id: old\r\n\
         authorization: Token {}\r\ncontent-length: 0\r\n\r\n",
        gateway_fleet::KEY
    );
    let (text, is_clean) = read_to_end(fleet.send_raw(0, &request).await).await;
    assert!(text.contains(" 200 "), "{text}");
    assert_eq!(is_clean, is_complete, "{text}");
}

#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn slow_caller_gets_all_events_of_a_stream_that_broke_off() {
    let (fleet, servers) = start(false).await;
    enqueue(&servers, &Behaviour::TruncateStream { after: 3 });
    let request = format!(
        "POST /chat/x HTTP/1.1\r\nhost: site.example\r\nx-toucanwall-attempt-id: slow\r\n\
         authorization: Token {}\r\ncontent-length: 0\r\n\r\n",
        gateway_fleet::KEY
    );
    let stream = fleet.send_raw(0, &request).await;
    // The stream has broken off before the caller reads it.
    tokio::time::sleep(time::Duration::from_millis(500)).await;
    let (text, _) = read_to_end(stream).await;
    assert!(text.contains("id: 3\n"), "{text}");
    assert!(!text.ends_with("0\r\n\r\n"), "{text}");
}

#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn slow_stream_that_cannot_be_resumed_is_not_cut() {
    let (fleet, servers) = start(false).await;
    // Longer than the pause after which a stream is resumed elsewhere, and shorter than that after
    // which callers leave.
    let pause = time::Duration::from_millis(1_700);
    enqueue(&servers, &Behaviour::SlowStream { last: 1, pause });
    let response = fleet.send(0, "POST", "/chat/x", &[]).await.expect("a response");
    assert!(response.is_complete, "{}", fleet.log(0));
    assert_eq!(gateway_fleet::event_numbers(&response.body), [1]);
}

#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn stream_that_sends_only_comments_is_resumed() {
    let pause = time::Duration::from_millis(200);
    let stalling =
        backend::Backend::start("s-0", Behaviour::CommentStream { after: 3, pause }).await;
    let fleet = GatewayFleet::start(1, &[("engines", &stalling)]).await;
    let request = fleet.prepare_request(0, "POST", "/chat/x", "stalled");
    let response = tokio::spawn(request.send());
    tokio::time::sleep(time::Duration::from_millis(100)).await;
    let sound = backend::Backend::start("s-1", Behaviour::Stream { last: LAST }).await;
    fleet.register("engines", &sound, "ready");
    let response = response.await.expect("no panic").expect("a response");
    assert!(response.is_complete, "{}", fleet.log(0));
    assert_eq!(gateway_fleet::event_numbers(&response.body), ALL_EVENTS, "{}", fleet.log(0));
}
