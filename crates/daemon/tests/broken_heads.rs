//! Servers that stop within the head of a response, or right behind it.

mod gateway_fleet;

use std::net;
use std::sync::Arc;
use std::sync::atomic;
use std::time;

use gateway_fleet::GatewayFleet;
use rstest::rstest;
use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;
use toucanwall_platform_standin::backend;

/// Pause between two pieces of a response.
const PIECE_PAUSE: time::Duration = time::Duration::from_millis(30);
/// The lines of a head that every server sends, without the last line feed.
const NAMED: &str = "x-toucanwall-attempt-id: {id}\r\nx-toucanwall-server-seal: seal\r\n";

/// How a connection ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum End {
    Close,
    Reset,
}

/// A server that responds with given bytes, in pieces, and ends the connection.
struct RawServer {
    address: net::SocketAddr,
    requests: Arc<atomic::AtomicUsize>,
}

impl RawServer {
    /// Answers the first `whole` requests of each connection in full, and the next one with `pieces`, in
    /// which `{id}` stands for the id of the attempt.
    async fn start(whole: usize, pieces: Vec<String>, end: End) -> Self {
        let listener = tokio::net::TcpListener::bind((net::Ipv4Addr::LOCALHOST, 0))
            .await
            .expect("a free port");
        let address = listener.local_addr().expect("a bound address");
        let requests = Arc::new(atomic::AtomicUsize::new(0));
        let counter = Arc::clone(&requests);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(respond(stream, whole, pieces.clone(), end, Arc::clone(&counter)));
            }
        });
        Self { address, requests }
    }

    fn requests(&self) -> usize {
        self.requests.load(atomic::Ordering::SeqCst)
    }
}

async fn respond(
    mut stream: tokio::net::TcpStream,
    whole: usize,
    pieces: Vec<String>,
    end: End,
    counter: Arc<atomic::AtomicUsize>,
) {
    for number in 0..=whole {
        let Some(id) = read_request(&mut stream).await else { return };
        counter.fetch_add(1, atomic::Ordering::SeqCst);
        if number < whole {
            let named = NAMED.replace("{id}", &id);
            let response = format!("HTTP/1.1 200 OK\r\n{named}content-length: 5\r\n\r\nwhole");
            if stream.write_all(response.as_bytes()).await.is_err() {
                return;
            }
            continue;
        }
        for piece in &pieces {
            let piece = piece.replace("{id}", &id);
            if stream.write_all(piece.as_bytes()).await.is_err() {
                return;
            }
            tokio::time::sleep(PIECE_PAUSE).await;
        }
    }
    if end == End::Reset {
        stream.set_zero_linger().expect("an option that sockets have");
    }
}

/// Reads the head of a request and its body; returns the id of the attempt.
async fn read_request(stream: &mut tokio::net::TcpStream) -> Option<String> {
    let mut bytes = Vec::new();
    loop {
        let text = String::from_utf8_lossy(&bytes).to_lowercase();
        if let Some((head, body)) = text.split_once("\r\n\r\n") {
            let value = |name: &str| {
                let line = head.lines().find_map(|line| line.strip_prefix(name));
                line.map(|value| value.trim().to_owned())
            };
            let length = value("content-length:").and_then(|length| length.parse().ok());
            if body.len() >= length.unwrap_or(0) {
                return value("x-toucanwall-attempt-id:");
            }
        }
        let mut buffer = [0; 4_096];
        let length = stream.read(&mut buffer).await.ok().filter(|length| *length > 0)?;
        bytes.extend_from_slice(&buffer[..length]);
    }
}

fn service_of(path: &str) -> &'static str {
    if path.starts_with("/chat/") { "engines" } else { "desk" }
}

async fn start_host(server: &RawServer, path: &str) -> GatewayFleet {
    let mut fleet = GatewayFleet::prepare().await;
    fleet.store.put("config", "main", &gateway_fleet::configuration(2));
    let entry = backend::Backend::start("s-1", backend::Behaviour::Respond).await;
    fleet.register_at(service_of(path), &entry, server.address, "ready");
    fleet.add_ready_host().await;
    fleet
}

/// Sends a request that a caller of this version of HTTP sends; returns all that arrives.
async fn send(fleet: &GatewayFleet, path: &str, version: &str) -> String {
    let method = if path.starts_with("/read/") { "GET" } else { "POST" };
    let request = format!(
        "{method} {path} HTTP/{version}\r\nhost: site.example\r\nx-toucanwall-attempt-id: a-1\r\n\
         authorization: Token {}\r\nconnection: close\r\ncontent-length: 0\r\n\r\n",
        gateway_fleet::KEY
    );
    let mut stream = fleet.send_raw(0, &request).await;
    let mut bytes = Vec::new();
    // A reset is an end as well.
    drop(stream.read_to_end(&mut bytes).await);
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Guards against an event whose end is overlooked because it arrives in pieces.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn stream_whose_events_end_in_pieces_is_forwarded_whole(
    #[values(&["\n", "\n"], &["\r", "\n", "\r", "\n"], &["\r\n\r", "\n"], &["\n\r", "\n"])]
    event_end: &[&str],
) {
    let head = format!(
        "HTTP/1.1 200 OK\r\n{NAMED}content-type: text/event-stream\r\n\
         transfer-encoding: chunked\r\n\r\n"
    );
    let chunk = |text: &str| format!("{:x}\r\n{text}\r\n", text.len());
    let mut pieces = vec![head];
    let mut body = String::new();
    for id in 1..=3 {
        let event = format!("id: {id}\ndata: text");
        for piece in std::iter::once(&*event).chain(event_end.iter().copied()) {
            pieces.push(chunk(piece));
            body.push_str(piece);
        }
    }
    pieces.push("0\r\n\r\n".to_owned());
    let server = RawServer::start(0, pieces, End::Close).await;
    let fleet = start_host(&server, "/chat/x").await;
    let response = send(&fleet, "/chat/x", "1.0").await;
    assert!(response.ends_with(&format!("\r\n\r\n{body}")), "{response:?}\n{}", fleet.log(0));
    assert_eq!(server.requests(), 1, "{}", fleet.log(0));
}

/// A response that a server breaks off is an error, at one request at the server.
#[rstest]
#[case::within_a_header(0, &["HTTP/1.1 200 OK\r\nx-toucanwall-ser"])]
#[case::within_a_header_on_a_kept_connection(1, &["HTTP/1.1 200 OK\r\nx-toucanwall-ser"])]
#[case::after_a_line(0, &["HTTP/1.1 200 OK\r\n", NAMED])]
#[case::after_a_line_on_a_kept_connection(1, &["HTTP/1.1 200 OK\r\n", NAMED])]
#[case::in_pieces(0, &["HTTP/1.1 2", "00 OK\r\nx-toucan", "wall-server-seal: seal\r\n"])]
#[case::before_the_last_line_feed(0, &["HTTP/1.1 200 OK\r\n", NAMED, "content-length: 0\r\n\r"])]
#[case::after_a_bare_line_feed(0, &["HTTP/1.1 200 OK\nx-toucanwall-attempt-id: {id}\n"])]
#[case::after_an_interim_response(0, &["HTTP/1.1 103 Early\r\n\r\nHTTP/1.1 200 OK\r\n", NAMED])]
#[case::before_the_body(0, &["HTTP/1.1 200 OK\r\n", NAMED, "content-length: 5\r\n\r\n"])]
#[case::before_an_unframed_body(0, &["HTTP/1.1 200 OK\r\n", NAMED, "\r\n"])]
#[case::before_the_last_chunk(
    0,
    &["HTTP/1.1 200 OK\r\n", NAMED, "transfer-encoding: chunked\r\n\r\n5\r\nwhole\r\n"]
)]
#[tokio::test(flavor = "multi_thread")]
async fn response_that_is_broken_off_is_an_error(
    #[case] whole: usize,
    #[case] pieces: &[&str],
    #[values("/read/x", "/book/x")] path: &str,
    #[values(End::Close, End::Reset)] end: End,
    #[values("1.0", "1.1")] version: &str,
) {
    let pieces = pieces.iter().map(|piece| (*piece).to_owned()).collect();
    let server = RawServer::start(whole, pieces, end).await;
    let fleet = start_host(&server, path).await;
    // Bookings use new connections, on which the first response is whole.
    let is_kept = path.starts_with("/read/");
    for _ in 0..whole {
        let response = send(&fleet, path, version).await;
        assert!(response.ends_with("whole"), "{response:?}");
    }
    if whole > 0 && !is_kept {
        return;
    }
    let response = send(&fleet, path, version).await;
    assert!(response.contains(" 502 "), "{response:?}\n{}", fleet.log(0));
    assert_eq!(server.requests(), whole + 1, "{}", fleet.log(0));
}

/// Forms of a complete response that few servers use.
#[rstest]
#[case::bare_line_feeds(
    &["HTTP/1.1 200 OK\nx-toucanwall-attempt-id: {id}\nx-toucanwall-server-seal: seal\n", "content-length: 5\n\nwhole"]
)]
#[case::length_given_twice(
    &["HTTP/1.1 200 OK\r\n", NAMED, "content-length: 5, 5\r\n\r\nwhole"]
)]
#[case::unframed(&["HTTP/1.1 200 OK\r\n", NAMED, "\r\n", "whole"])]
#[case::in_many_pieces(&["HTTP/1.", "1 200 OK\r", "\n", NAMED, "content-length: 5", "\r\n\r", "\nwh", "ole"])]
#[tokio::test(flavor = "multi_thread")]
async fn complete_response_is_forwarded(#[case] pieces: &[&str]) {
    let pieces = pieces.iter().map(|piece| (*piece).to_owned()).collect();
    let server = RawServer::start(0, pieces, End::Close).await;
    let fleet = start_host(&server, "/read/x").await;
    let response = send(&fleet, "/read/x", "1.1").await;
    assert!(response.contains(" 200 OK") && response.ends_with("whole"), "{response:?}");
}

/// A stream whose resumption is broken off within the head does not look complete.
#[rstest]
#[case::within_the_head("HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\nx-toucan")]
#[case::behind_the_head(
    "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\nx-toucanwall-attempt-id: {id}\r\n\
     x-toucanwall-server-seal: seal\r\n\r\n"
)]
#[tokio::test(flavor = "multi_thread")]
async fn stream_with_a_broken_resumption_ends_visibly(#[case] head: &str) {
    let first = backend::Behaviour::TruncateStream { after: 2 };
    let first = backend::Backend::start("s-1", first).await;
    let second = RawServer::start(0, vec![head.to_owned()], End::Close).await;
    let mut fleet = GatewayFleet::prepare().await;
    fleet.store.put("config", "main", &gateway_fleet::configuration(2));
    fleet.register("engines", &first, "ready");
    let entry = backend::Backend::start("s-2", backend::Behaviour::Respond).await;
    fleet.register_at("engines", &entry, second.address, "ready");
    fleet.add_ready_host().await;
    // Placement chooses among equal servers at random, so that some streams begin at the second one.
    for _ in 0..40 {
        let response = fleet.send(0, "POST", "/chat/x", &[]).await.expect("a response");
        let is_whole = response.status == 200 && response.is_complete;
        assert!(!is_whole, "{response:?}\n{}", fleet.log(0));
        if second.requests() > 0 {
            return;
        }
    }
    panic!("the second server got no request\n{}", fleet.log(0));
}
