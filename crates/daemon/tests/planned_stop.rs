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
