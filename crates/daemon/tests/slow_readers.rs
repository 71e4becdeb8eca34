//! Callers that read slowly or not at all, and servers that do not read the bodies of requests.

use std::fs;
use std::sync::Arc;
use std::sync::atomic;
use std::time;

use rstest::rstest;
use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;
use toucanwall_platform_standin::backend;

mod bulk_server;
mod gateway_fleet;

use bulk_server::BulkServer;
use gateway_fleet::GatewayFleet;

/// Memory of a small host in megabytes, as its settings state it.
const MEMORY_MB: u64 = 120;
/// Callers that read too slowly, at the same time.
const CALLERS: usize = 300;
/// Size of each response that they ask for.
const RESPONSE_BYTES: usize = 4_000_000;
/// Time for which the other callers send requests meanwhile.
const WATCH_TIME: time::Duration = time::Duration::from_secs(9);
/// Time within which another service's requests are answered meanwhile.
const LATENCY_LIMIT: time::Duration = time::Duration::from_secs(1);
/// Longest time for which a response may stay unread because its caller does not read: below the time
/// after which servers cut it.
const UNREAD_LIMIT: time::Duration = time::Duration::from_millis(3_200);
/// Bytes that the kernel may hold for one caller: the send buffer, and one segment of loopback, by
/// which a buffer may be exceeded.
const SOCKET_MAX_BYTES: u64 = 256 * 1024;
/// Lets the cases run one after the other, since each measures times and memory under load.
static TURN: tokio::sync::Mutex<()> = tokio::sync::Mutex::const_new(());

/// How callers treat what they have asked for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Reading {
    /// They read nothing.
    Never,
    /// They read eight bytes a second.
    FewBytes,
}

/// The test configuration with a service of large answers, large bodies and long timeouts.
fn configuration() -> serde_json::Value {
    let mut configuration = gateway_fleet::configuration(2);
    configuration["limits"]["max_body_bytes"] = 4_000_000.into();
    for (index, prefix, name) in [(0, "/bulk/", "r-bulk"), (1, "/upload/", "r-upload")] {
        let mut route = configuration["routes"][index].clone();
        route["name"] = name.into();
        route["path_prefix"] = prefix.into();
        route["service"] = "bulk".into();
        route["timeout_ms"] = 20_000.into();
        configuration["routes"].as_array_mut().expect("a list").push(route);
    }
    configuration["routes"][2]["timeout_ms"] = 20_000.into();
    let mut service = configuration["services"][0].clone();
    service["name"] = "bulk".into();
    configuration["services"].as_array_mut().expect("a list").push(service);
    for service in configuration["services"].as_array_mut().expect("a list") {
        service["max_connections"] = 800.into();
    }
    configuration
}

/// A small host, a server of large answers for `service`, and a sound one for the others.
async fn start_fleet(server: &BulkServer, service: &str) -> (GatewayFleet, backend::Backend) {
    let mut fleet = GatewayFleet::prepare().await;
    fleet.memory_mb = Some(MEMORY_MB);
    fleet.store.put("config", "main", &configuration());
    let sound = backend::Backend::start("s-sound", backend::Behaviour::Respond).await;
    fleet.register("desk", &sound, "ready");
    fleet.store.put("servers", "s-bulk", &server.entry(service));
    fleet.add_ready_host().await;
    (fleet, sound)
}

/// Head of a request with a key and a long deadline.
fn request_head(method: &str, path: &str, id: &str, body_bytes: usize) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nhost: site.example\r\nx-toucanwall-attempt-id: {id}\r\n\
         x-toucanwall-deadline-ms: 20000\r\nauthorization: Token {}\r\n\
         content-length: {body_bytes}\r\n\r\n",
        gateway_fleet::KEY
    )
}

/// Sends small requests for a time; returns the statuses of those that failed, the slowest time and the
/// most bytes that the kernel held for one caller and for all together.
async fn watch_others(fleet: &GatewayFleet) -> (Vec<Option<u16>>, time::Duration, (u64, u64)) {
    let (mut failed, mut slowest, mut queued) = (Vec::new(), time::Duration::ZERO, (0, 0));
    let started_at = time::Instant::now();
    while started_at.elapsed() < WATCH_TIME {
        let sent_at = time::Instant::now();
        let response = fleet.send(0, "POST", "/book/x", &[]).await;
        slowest = slowest.max(sent_at.elapsed());
        let status = response.map(|response| response.status);
        failed.extend(Some(status).filter(|status| *status != Some(200)));
        let (largest, total) = kernel_queues(fleet.caller_address(0));
        queued = (u64::max(queued.0, largest), u64::max(queued.1, total));
        tokio::time::sleep(time::Duration::from_millis(100)).await;
    }
    (failed, slowest, queued)
}

/// Bytes that the kernel holds unsent or unacknowledged for a host's callers: the most for one, and the
/// sum.
fn kernel_queues(address: std::net::SocketAddr) -> (u64, u64) {
    let std::net::IpAddr::V4(ip) = address.ip() else { return (0, 0) };
    let local = format!("{:08X}:{:04X}", u32::from_le_bytes(ip.octets()), address.port());
    let table = fs::read_to_string("/proc/net/tcp").expect("the kernel's table of connections");
    let queues = table.lines().filter_map(|line| {
        let mut fields = line.split_whitespace().skip(1);
        (fields.next()? == local).then_some(())?;
        let queues = fields.nth(2)?;
        u64::from_str_radix(queues.split(':').next()?, 16).ok()
    });
    queues.fold((0, 0), |(largest, sum), queue| (u64::max(largest, queue), sum + queue))
}

/// A counter or gauge of a host, or zero.
fn metric(metrics: &str, name: &str) -> u64 {
    let values = metrics.lines().filter(|line| line.starts_with(name));
    values.filter_map(|line| line.rsplit(' ').next()?.parse::<u64>().ok()).sum()
}

/// Guards against a host that keeps what callers do not read until it has no memory left for others,
/// and against servers whose responses stay unread meanwhile.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn memory_stays_bounded_while_callers_do_not_read(
    #[values("/chat/x", "/bulk/x")] path: &str,
    #[values(Reading::Never, Reading::FewBytes)] reading: Reading,
) {
    let _turn = TURN.lock().await;
    let server = BulkServer::start(RESPONSE_BYTES).await;
    let is_stream = path.starts_with("/chat/");
    let (fleet, _sound) = start_fleet(&server, if is_stream { "engines" } else { "bulk" }).await;
    let method = if is_stream { "POST" } else { "GET" };
    let mut callers = Vec::new();
    for number in 0..CALLERS {
        let head = request_head(method, path, &format!("slow-{number}"), 0);
        let mut stream = fleet.send_raw(0, &head).await;
        callers.push(tokio::spawn(async move {
            let mut byte = [0];
            while reading == Reading::FewBytes && stream.read_exact(&mut byte).await.is_ok() {
                tokio::time::sleep(time::Duration::from_millis(125)).await;
            }
            std::future::pending::<()>().await;
        }));
    }
    let (failed, slowest, (queue_max, queue_sum)) = watch_others(&fleet).await;
    let peak_kib = fleet.peak_memory_kib(0);
    let metrics = fleet.metrics(0).await;
    let given_up = metric(&metrics, "toucanwall_callers_given_up_total");
    let (unread, open) = (server.longest_unread(), server.open_responses());
    println!(
        "{path} {reading:?}: peak {peak_kib} KiB, kernel {queue_max} bytes for one and {queue_sum} \
         for all, {} of the others failed, slowest {slowest:?}, responses unread for {unread:?}, \
         {open} still open, {given_up} given up, {} requests at the server, {} bytes held",
        failed.len(),
        server.requests(),
        metric(&metrics, "toucanwall_buffered_bytes")
    );
    for caller in callers {
        caller.abort();
    }
    assert!(peak_kib < MEMORY_MB * 1024, "{peak_kib} KiB");
    assert_eq!(failed, [], "other callers");
    assert!(slowest < LATENCY_LIMIT, "another caller's request took {slowest:?}");
    assert!(unread < UNREAD_LIMIT, "a response stayed unread for {unread:?}");
    assert_eq!(open, 0, "the server's connections are closed");
    assert!(queue_max <= SOCKET_MAX_BYTES, "the kernel holds {queue_max} bytes for one caller");
    // Of the plain answers, only some fit into the memory; the others are refused while they are read.
    let given_up_min = if is_stream { CALLERS as u64 } else { 1 };
    assert!(given_up >= given_up_min, "only {given_up} callers were given up");
    let lines = fleet.log(0).lines().filter(|line| line.contains("caller given up")).count();
    assert!(lines > 0, "a line in the log says so");
}

/// Guards against giving up callers that are slow but read: their streams go on to the end.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn stream_to_a_slow_caller_that_reads_is_complete() {
    const PART_BYTES: usize = 16_384;
    let _turn = TURN.lock().await;
    let server = BulkServer::start(RESPONSE_BYTES / 4).await;
    let (fleet, _sound) = start_fleet(&server, "engines").await;
    let head = request_head("POST", "/chat/x", "slow-reader", 0);
    let mut stream = fleet.send_raw(0, &head).await;
    let (mut received, mut part) = (0, vec![0; PART_BYTES]);
    let mut is_complete = false;
    let started_at = time::Instant::now();
    while let Ok(bytes @ 1..) = stream.read(&mut part).await {
        received += bytes;
        is_complete = part[..bytes].ends_with(b"0\r\n\r\n");
        if is_complete {
            break;
        }
        tokio::time::sleep(time::Duration::from_millis(150)).await;
    }
    let (unread, took) = (server.longest_unread(), started_at.elapsed());
    println!("slow caller: {received} bytes in {took:?}, response unread for {unread:?}");
    assert!(is_complete, "{received} bytes\n{}", fleet.log(0));
    assert!(took > time::Duration::from_secs(6), "the caller was not slow: {took:?}");
    assert!(unread < UNREAD_LIMIT, "the response stayed unread for {unread:?}");
    assert_eq!(server.requests(), 1, "the stream was not resumed elsewhere");
}

/// Guards against bodies of requests that take up the memory because their server does not read them.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn memory_stays_bounded_while_a_server_does_not_read_bodies() {
    const BODY_BYTES: usize = 1_000_000;
    let _turn = TURN.lock().await;
    let server = BulkServer::start(RESPONSE_BYTES).await;
    let (fleet, _sound) = start_fleet(&server, "bulk").await;
    let answered = Arc::new(atomic::AtomicUsize::new(0));
    let mut callers = Vec::new();
    for number in 0..CALLERS {
        let head = request_head("POST", "/upload/hang", &format!("u-{number}"), BODY_BYTES);
        let mut stream = fleet.send_raw(0, &head).await;
        let answered = Arc::clone(&answered);
        callers.push(tokio::spawn(async move {
            let body = vec![b'x'; 16_384];
            for _ in 0..=BODY_BYTES / body.len() {
                if stream.write_all(&body).await.is_err() {
                    break;
                }
            }
            let mut status = [0; 12];
            let is_answered = stream.read_exact(&mut status).await.is_ok();
            answered.fetch_add(usize::from(is_answered), atomic::Ordering::Relaxed);
            std::future::pending::<()>().await;
        }));
    }
    let (failed, slowest, _) = watch_others(&fleet).await;
    let peak_kib = fleet.peak_memory_kib(0);
    let answered = answered.load(atomic::Ordering::Relaxed);
    let held = metric(&fleet.metrics(0).await, "toucanwall_buffered_bytes");
    println!(
        "bodies that the server does not read: peak {peak_kib} KiB, {} of the others failed, slowest \
         {slowest:?}, {answered} of {CALLERS} answered early, {held} bytes held",
        failed.len()
    );
    for caller in callers {
        caller.abort();
    }
    assert!(peak_kib < MEMORY_MB * 1024, "{peak_kib} KiB");
    assert_eq!(failed, [], "other callers");
    assert!(slowest < LATENCY_LIMIT, "another caller's request took {slowest:?}");
    assert!(answered > 0, "the bodies do not fit together");
}

/// Guards against connections that wait without limit, with the body, for a server that has answered
/// early and never reads the rest of the request.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn body_that_a_server_does_not_read_is_dropped_after_its_answer() {
    const BODY_BYTES: usize = 3_900_000;
    let _turn = TURN.lock().await;
    let server = BulkServer::start(RESPONSE_BYTES).await;
    let (fleet, _sound) = start_fleet(&server, "bulk").await;
    for number in 0..4 {
        let head = request_head("POST", "/upload/early", &format!("e-{number}"), BODY_BYTES);
        let mut stream = fleet.send_raw(0, &head).await;
        let body = vec![b'x'; BODY_BYTES];
        stream.write_all(&body).await.expect("the host reads the body");
        let mut status = [0; 12];
        stream.read_exact(&mut status).await.expect("an answer");
        assert_eq!(&status, b"HTTP/1.1 200");
    }
    tokio::time::sleep(time::Duration::from_secs(5)).await;
    let held = metric(&fleet.metrics(0).await, "toucanwall_buffered_bytes");
    println!("answered early: {held} bytes held");
    assert_eq!(held, 0, "bytes are held for a server that does not read them");
}
