//! A planned stop under load answers each request whose connection the host has accepted.

mod gateway_fleet;

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic;
use std::time;

use gateway_fleet::GatewayFleet;
use rstest::rstest;
use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;
use toucanwall_platform_standin::backend;

/// Callers that open a new connection for each request.
const CALLERS: usize = 24;
const BEFORE_STOP: time::Duration = time::Duration::from_millis(500);

/// How a connection ended that was established.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum End {
    Answered,
    Unanswered,
}

/// Sends a request on a new connection; `None` if the host does not accept it.
async fn send(address: std::net::SocketAddr, id: &str) -> Option<End> {
    let mut stream = tokio::net::TcpStream::connect(address).await.ok()?;
    let request = format!(
        "GET /read/x HTTP/1.1\r\nhost: site.example\r\nx-toucanwall-attempt-id: {id}\r\n\
         authorization: Token {}\r\nconnection: close\r\n\r\n",
        gateway_fleet::KEY
    );
    if stream.write_all(request.as_bytes()).await.is_err() {
        return Some(End::Unanswered);
    }
    let mut bytes = Vec::new();
    // A reset after the response changes nothing.
    drop(stream.read_to_end(&mut bytes).await);
    let is_answered = bytes.starts_with(b"HTTP/1.1 ");
    Some(if is_answered { End::Answered } else { End::Unanswered })
}

#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn accepted_requests_are_answered_until_the_host_is_gone() {
    let behaviour = backend::Behaviour::RespondAfter(time::Duration::from_millis(10));
    let server = backend::Backend::start("s-1", behaviour).await;
    let mut fleet = GatewayFleet::start(1, &[("desk", &server)]).await;
    let address = fleet.caller_address(0);
    let is_gone = Arc::new(atomic::AtomicBool::new(false));
    let ends = Arc::new(Mutex::new(Vec::new()));
    let mut callers = tokio::task::JoinSet::new();
    for caller in 0..CALLERS {
        let (is_gone, ends) = (Arc::clone(&is_gone), Arc::clone(&ends));
        callers.spawn(async move {
            for number in 0.. {
                if is_gone.load(atomic::Ordering::SeqCst) {
                    return;
                }
                match send(address, &format!("c{caller}-{number}")).await {
                    Some(end) => ends.lock().expect("not poisoned").push(end),
                    None => tokio::time::sleep(time::Duration::from_millis(5)).await,
                }
            }
        });
    }
    tokio::time::sleep(BEFORE_STOP).await;
    fleet.signal(0, "-TERM");
    fleet.wait_for_exit(0).await;
    is_gone.store(true, atomic::Ordering::SeqCst);
    while callers.join_next().await.is_some() {}
    let ends = ends.lock().expect("not poisoned").clone();
    let unanswered = ends.iter().filter(|end| **end == End::Unanswered).count();
    println!("{} connections, {unanswered} without an answer", ends.len());
    assert_eq!(unanswered, 0, "of {}: {}", ends.len(), fleet.log(0));
}

/// Time that a server takes for a response in [`late_requests_are_answered_or_refused`].
const SLOW_RESPONSE: time::Duration = time::Duration::from_millis(3_600);

/// Sends a request with a deadline beyond the end of the host; returns all that arrives.
async fn send_slow(address: std::net::SocketAddr, path: &str, id: &str) -> Vec<u8> {
    let mut stream = tokio::net::TcpStream::connect(address).await.expect("a connection");
    let method = if path.starts_with("/read/") { "GET" } else { "POST" };
    let request = format!(
        "{method} {path} HTTP/1.1\r\nhost: site.example\r\nx-toucanwall-attempt-id: {id}\r\n\
         authorization: Token {}\r\ncontent-length: 0\r\n\r\n",
        gateway_fleet::KEY
    );
    stream.write_all(request.as_bytes()).await.expect("the request is written");
    let mut bytes = Vec::new();
    // A reset after the response changes nothing.
    drop(stream.read_to_end(&mut bytes).await);
    bytes
}

/// Requests that a stopping host has taken in its grace get a complete answer before it ends, whatever
/// their server does; one that is refused has not run.
#[rstest]
#[case::safe_at_once("/read/x", 4, 100)]
#[case::safe_late("/read/x", 4, 1_000)]
#[case::unsafe_at_once("/book/x", 4, 100)]
#[case::unsafe_late("/book/x", 4, 1_000)]
#[case::short_grace("/book/x", 1, 100)]
#[case::long_grace("/book/x", 12, 1_000)]
#[tokio::test(flavor = "multi_thread")]
async fn late_requests_are_answered_or_refused(
    #[case] path: &str,
    #[case] grace_s: u64,
    #[case] delay_ms: u64,
) {
    let behaviour = backend::Behaviour::RespondAfter(SLOW_RESPONSE);
    let server = backend::Backend::start("s-1", behaviour).await;
    let mut fleet = GatewayFleet::prepare().await;
    fleet.grace_s = grace_s;
    fleet.store.put("config", "main", &gateway_fleet::configuration(2));
    fleet.register("desk", &server, "ready");
    fleet.add_ready_host().await;
    let address = fleet.caller_address(0);
    fleet.signal(0, "-TERM");
    // A second signal changes nothing.
    fleet.signal(0, "-TERM");
    tokio::time::sleep(time::Duration::from_millis(delay_ms)).await;
    let response = send_slow(address, path, "late").await;
    fleet.wait_for_exit(0).await;
    let text = String::from_utf8_lossy(&response);
    assert!(text.starts_with("HTTP/1.1 "), "no answer: {text:?}\n{}", fleet.log(0));
    let (head, body) = text.split_once("\r\n\r\n").expect("a complete head");
    let length = format!("content-length: {}", body.len());
    assert!(head.contains(&length), "incomplete answer: {text:?}\n{}", fleet.log(0));
    let is_refused = head.starts_with("HTTP/1.1 503");
    assert!(!is_refused || server.executed().is_empty(), "refused and executed: {text:?}");
    // The route's time-out of 4 s ends within the longest grace only, and nothing else is known.
    assert_eq!(is_refused, grace_s <= 4, "{text:?}\n{}", fleet.log(0));
}

/// A request whose body is still being read when the host ends is refused.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn request_that_is_never_complete_is_refused_at_the_end() {
    let server = backend::Backend::start("s-1", backend::Behaviour::Respond).await;
    let mut fleet = GatewayFleet::start(1, &[("desk", &server)]).await;
    let request = format!(
        "POST /book/x HTTP/1.1\r\nhost: site.example\r\nx-toucanwall-attempt-id: half\r\n\
         authorization: Token {}\r\ncontent-length: 10\r\n\r\nhalf",
        gateway_fleet::KEY
    );
    let mut stream = fleet.send_raw(0, &request).await;
    fleet.signal(0, "-TERM");
    let mut bytes = Vec::new();
    drop(stream.read_to_end(&mut bytes).await);
    fleet.wait_for_exit(0).await;
    let text = String::from_utf8_lossy(&bytes);
    assert!(text.starts_with("HTTP/1.1 503 "), "{text:?}\n{}", fleet.log(0));
    assert!(server.executed().is_empty());
}

/// What a server is known to do fast is still taken in the grace.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn fast_requests_are_served_while_callers_learn_of_other_hosts() {
    let behaviour = backend::Behaviour::RespondAfter(time::Duration::from_millis(10));
    let server = backend::Backend::start("s-1", behaviour).await;
    let mut fleet = GatewayFleet::start(1, &[("desk", &server)]).await;
    for _ in 0..20 {
        fleet.send(0, "POST", "/book/x", &[]).await;
    }
    fleet.signal(0, "-TERM");
    tokio::time::sleep(time::Duration::from_secs(1)).await;
    let response = send_slow(fleet.caller_address(0), "/book/x", "late").await;
    fleet.wait_for_exit(0).await;
    assert!(response.starts_with(b"HTTP/1.1 200 "), "{response:?}\n{}", fleet.log(0));
}

/// A request that was taken before the stop and outlasts it gets an answer that promises nothing.
#[rstest]
#[case::safe("/read/x")]
#[case::unsafe_("/book/x")]
#[tokio::test(flavor = "multi_thread")]
async fn request_that_outlasts_the_host_is_answered_at_the_end(#[case] path: &'static str) {
    let behaviour = backend::Behaviour::RespondAfter(SLOW_RESPONSE);
    let server = backend::Backend::start("s-1", behaviour).await;
    let mut fleet = GatewayFleet::prepare().await;
    fleet.grace_s = 1;
    fleet.store.put("config", "main", &gateway_fleet::configuration(2));
    fleet.register("desk", &server, "ready");
    fleet.add_ready_host().await;
    let response = tokio::spawn(send_slow(fleet.caller_address(0), path, "early"));
    let is_taken = async || !server.executed().is_empty();
    fleet.wait_for("the request to reach the server", is_taken).await;
    fleet.signal(0, "-TERM");
    let response = response.await.expect("the caller does not panic");
    fleet.wait_for_exit(0).await;
    let text = String::from_utf8_lossy(&response);
    assert!(text.starts_with("HTTP/1.1 504 "), "{text:?}\n{}", fleet.log(0));
}
