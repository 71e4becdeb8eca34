//! Servers that send bytes without end that are no response.

use std::time;

use rstest::rstest;
use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;
use toucanwall_platform_standin::backend;
use toucanwall_platform_standin::endless::Endless;
use toucanwall_platform_standin::store;

mod gateway_fleet;

use gateway_fleet::GatewayFleet;

/// Concurrent requests to a server that sends bytes without end.
const REQUESTS: usize = 20;
/// Time in which all of them have ended: the timeout of their route, and some more.
const TIME_LIMIT: time::Duration = time::Duration::from_secs(6);
/// Memory of the smallest hosts.
const MEMORY_LIMIT_KIB: u64 = 160 * 1024;
/// Time within which another service's requests are answered meanwhile.
const LATENCY_LIMIT: time::Duration = time::Duration::from_secs(1);
/// Lets the cases run one after the other, since each measures times under load.
static TURN: tokio::sync::Mutex<()> = tokio::sync::Mutex::const_new(());

#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn endless_response_ends_with_an_error(
    #[values(
        Endless::HeaderLine,
        Endless::Headers,
        Endless::Interim,
        Endless::Body,
        Endless::UnframedBody,
        Endless::ChunkExtension,
        Endless::Comments,
        Endless::Event
    )]
    endless: Endless,
) {
    let _turn = TURN.lock().await;
    let server = backend::Backend::start("s-1", backend::Behaviour::Endless(endless)).await;
    let other = backend::Backend::start("s-2", backend::Behaviour::Respond).await;
    let is_stream = matches!(endless, Endless::Comments | Endless::Event);
    let (service, other_service) =
        if is_stream { ("engines", "desk") } else { ("desk", "engines") };
    let (path, other_path) =
        if is_stream { ("/chat/x", "/read/x") } else { ("/read/x", "/chat/x") };
    let fleet = GatewayFleet::start(1, &[(service, &server), (other_service, &other)]).await;
    let started_at = time::Instant::now();
    let requests: Vec<_> = (0..REQUESTS)
        .map(|number| {
            let method = if is_stream { "POST" } else { "GET" };
            let request = fleet.prepare_request(0, method, path, &format!("r-{number}"));
            tokio::spawn(request.send())
        })
        .collect();
    let mut slowest = time::Duration::ZERO;
    for _ in 0..10 {
        let sent_at = time::Instant::now();
        let method = if is_stream { "GET" } else { "POST" };
        fleet.send(0, method, other_path, &[]).await.expect("a response");
        slowest = slowest.max(sent_at.elapsed());
        tokio::time::sleep(time::Duration::from_millis(100)).await;
    }
    for request in requests {
        let response = request.await.expect("no panic");
        let is_served =
            response.is_some_and(|response| response.status == 200 && response.is_complete);
        assert!(!is_served, "no response can be complete");
    }
    let elapsed = started_at.elapsed();
    tokio::time::sleep(time::Duration::from_millis(500)).await;
    let (runs, closed) = (server.executed().len(), server.abandoned());
    println!(
        "{endless:?}: {elapsed:?}, peak {} KiB, {} bytes sent in {runs} runs, {closed} closed, \
         slowest other {slowest:?}",
        fleet.peak_memory_kib(0),
        server.endless_bytes()
    );
    assert!(elapsed < TIME_LIMIT, "{elapsed:?}");
    assert!(fleet.peak_memory_kib(0) < MEMORY_LIMIT_KIB, "{} KiB", fleet.peak_memory_kib(0));
    assert_eq!(closed, runs, "the connections are closed");
    assert!(slowest < LATENCY_LIMIT, "another service's request took {slowest:?}");
}

/// Services of which all servers send bytes without end.
const SERVICES: [&str; 3] = ["first", "second", "third"];
/// Interim responses in an attempt: 32, and those of one more small read.
const INTERIM_MAX: usize = 32 + 1_024 / 28 + 1;
/// Concurrent requests to all of them together.
const MANY_REQUESTS: usize = 600;
/// Requests to a sound service meanwhile of which none may fail.
const SOUND_REQUESTS: usize = 20;

/// The test configuration with a route of each kind to each service.
fn configuration_with_services() -> serde_json::Value {
    let mut configuration = gateway_fleet::configuration(2);
    for service in SERVICES {
        for (index, prefix) in [(0, "read"), (2, "chat")] {
            let mut route = configuration["routes"][index].clone();
            route["name"] = format!("r-{prefix}-{service}").into();
            route["path_prefix"] = format!("/{prefix}-{service}/").into();
            route["service"] = service.into();
            configuration["routes"].as_array_mut().expect("a list").push(route);
        }
        let mut entry = configuration["services"][0].clone();
        entry["name"] = service.into();
        entry["max_connections"] = 800.into();
        configuration["services"].as_array_mut().expect("a list").push(entry);
    }
    configuration
}

/// Guards against a host that ends for lack of memory, and takes the requests of others with it.
#[rstest]
#[case::one_server(1, 1)]
#[case::all_servers_of_a_service(1, 10)]
#[case::all_servers_of_several_services(3, 4)]
#[tokio::test(flavor = "multi_thread")]
async fn memory_stays_bounded_while_many_servers_send_bytes_without_end(
    #[case] services: usize,
    #[case] servers_per_service: usize,
    #[values(
        Endless::HeaderLine,
        Endless::Headers,
        Endless::Interim,
        Endless::Body,
        Endless::UnframedBody,
        Endless::ChunkExtension,
        Endless::Trailers,
        Endless::Comments,
        Endless::Event,
        Endless::Events
    )]
    endless: Endless,
) {
    let _turn = TURN.lock().await;
    let mut fleet = GatewayFleet::prepare().await;
    fleet.memory_mb = Some(160);
    fleet.store.put("config", "main", &configuration_with_services());
    let sound = backend::Backend::start("s-sound", backend::Behaviour::Respond).await;
    fleet.register("desk", &sound, "ready");
    let mut servers = Vec::new();
    for service in &SERVICES[..services] {
        for number in 0..servers_per_service {
            let id = format!("s-{service}-{number}");
            let server = backend::Backend::start(&id, backend::Behaviour::Endless(endless)).await;
            fleet.register_large(service, &server);
            servers.push(server);
        }
    }
    fleet.add_ready_host().await;
    let (method, prefix) = if endless.is_stream() { ("POST", "chat") } else { ("GET", "read") };
    let requests: Vec<_> = (0..MANY_REQUESTS)
        .map(|number| {
            let path = format!("/{prefix}-{}/x", SERVICES[number % services]);
            let request = fleet.prepare_request(0, method, &path, &format!("r-{number}"));
            tokio::spawn(request.send())
        })
        .collect();
    let mut failed = Vec::new();
    for _ in 0..SOUND_REQUESTS {
        let response = fleet.send(0, "GET", "/read/x", &[]).await;
        let status = response.map(|response| response.status);
        failed.extend(Some(status).filter(|status| *status != Some(200)));
        tokio::time::sleep(time::Duration::from_millis(100)).await;
    }
    for request in requests {
        let response = request.await.expect("no panic");
        let is_served =
            response.is_some_and(|response| response.status == 200 && response.is_complete);
        assert!(!is_served, "no response can be complete");
    }
    let runs: usize = servers.iter().map(|server| server.executed().len()).sum();
    let sent: usize = servers.iter().map(backend::Backend::endless_bytes).sum();
    let peak_kib = fleet.peak_memory_kib(0);
    println!(
        "{endless:?}, {services} x {servers_per_service}: {peak_kib} KiB, {runs} runs, {sent} bytes"
    );
    assert!(peak_kib < MEMORY_LIMIT_KIB, "{peak_kib} KiB");
    let log = fleet.log(0);
    let about_sound: Vec<_> = log.lines().filter(|line| line.contains("s-sound")).collect();
    assert_eq!(failed, [], "requests to a sound service\n{}", about_sound.join("\n"));
    assert!(fleet.is_ready(0).await);
    if matches!(endless, Endless::Interim) {
        let read = interim_responses(&fleet.metrics(0).await);
        assert!(read > 0 && read <= runs * INTERIM_MAX, "{read} interim responses in {runs} runs");
    }
}

/// Interim responses that a host has read, by its metrics.
fn interim_responses(metrics: &str) -> usize {
    let mut values =
        metrics.lines().filter_map(|line| line.strip_prefix("toucanwall_interim_responses_total "));
    values.next().and_then(|value| value.parse().ok()).expect("the metric")
}

/// Guards against bodies of requests that take up the memory of the host together.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn memory_stays_bounded_while_callers_send_bodies_without_end() {
    const CALLERS: usize = 100;
    const BODY_MAX_BYTES: usize = 4_000_000;
    let _turn = TURN.lock().await;
    let mut fleet = GatewayFleet::prepare().await;
    fleet.memory_mb = Some(160);
    let mut configuration = gateway_fleet::configuration(2);
    configuration["limits"]["max_body_bytes"] = BODY_MAX_BYTES.into();
    fleet.store.put("config", "main", &configuration);
    let sound = backend::Backend::start("s-sound", backend::Behaviour::Respond).await;
    fleet.register("desk", &sound, "ready");
    fleet.add_ready_host().await;
    let mut callers = Vec::new();
    for number in 0..CALLERS {
        let head = format!(
            "POST /book/x HTTP/1.1\r\nhost: site.example\r\nx-toucanwall-attempt-id: b-{number}\r\n\
             authorization: Token {}\r\ntransfer-encoding: chunked\r\n\r\n",
            gateway_fleet::KEY
        );
        let stream = fleet.send_raw(0, &head).await;
        callers.push(tokio::spawn(send_body(stream, BODY_MAX_BYTES - 100_000)));
    }
    let mut failed = Vec::new();
    for _ in 0..SOUND_REQUESTS {
        let response = fleet.send(0, "GET", "/read/x", &[]).await;
        let status = response.map(|response| response.status);
        failed.extend(Some(status).filter(|status| *status != Some(200)));
        tokio::time::sleep(time::Duration::from_millis(100)).await;
    }
    let mut refused = 0;
    for caller in callers {
        refused += usize::from(caller.await.expect("no panic").starts_with("HTTP/1.1 503"));
    }
    let peak_kib = fleet.peak_memory_kib(0);
    println!("bodies of requests: {peak_kib} KiB, {refused} of {CALLERS} refused");
    assert!(peak_kib < MEMORY_LIMIT_KIB, "{peak_kib} KiB");
    assert!(refused > 0, "the bodies do not fit together");
    assert_eq!(failed, [], "requests with small bodies");
    let runs = sound.executed().iter().filter(|run| run.target == "/book/x").count();
    assert_eq!(runs, 0, "no body was complete");
}

/// Sends a chunked body without its end; returns what the host answers within a few seconds.
async fn send_body(mut stream: tokio::net::TcpStream, body_bytes: usize) -> String {
    let data = "x".repeat(4_096);
    let chunk = format!("{:x}\r\n{data}\r\n", data.len());
    for _ in 0..body_bytes / data.len() {
        if stream.write_all(chunk.as_bytes()).await.is_err() {
            break;
        }
    }
    let mut answer = vec![0; 12];
    let reading = stream.read_exact(&mut answer);
    match tokio::time::timeout(time::Duration::from_secs(2), reading).await {
        Ok(Ok(_)) => String::from_utf8_lossy(&answer).into_owned(),
        Ok(Err(_)) | Err(_) => String::new(),
    }
}

/// Guards against responses of the store and frames of other hosts that take up the memory.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn memory_stays_bounded_while_the_store_and_a_peer_send_bytes_without_end() {
    const PEERS: usize = 20;
    const PEER_PORT: u16 = 7_340;
    let _turn = TURN.lock().await;
    let sound = backend::Backend::start("s-sound", backend::Behaviour::Respond).await;
    let fleet = GatewayFleet::start(1, &[("desk", &sound)]).await;
    fleet.store.set_mode(store::Mode::Endless);
    fleet.store.abort_watches();
    let mut peers = Vec::new();
    for _ in 0..PEERS {
        let address = fleet.address(0, PEER_PORT);
        let mut peer = tokio::net::TcpStream::connect(address).await.expect("a connection");
        peers.push(tokio::spawn(async move {
            // The largest frame that any host may send.
            let length: u32 = 4 * 1024 * 1024;
            let mut frame = length.to_be_bytes().to_vec();
            while peer.write_all(&frame).await.is_ok() {
                frame = vec![0; 64 * 1024];
            }
        }));
    }
    let mut failed = Vec::new();
    for _ in 0..SOUND_REQUESTS * 2 {
        let response = fleet.send(0, "GET", "/read/x", &[]).await;
        let status = response.map(|response| response.status);
        failed.extend(Some(status).filter(|status| *status != Some(200)));
        tokio::time::sleep(time::Duration::from_millis(100)).await;
    }
    for peer in peers {
        peer.await.expect("no panic");
    }
    let peak_kib = fleet.peak_memory_kib(0);
    println!("store and peers: {peak_kib} KiB");
    assert!(peak_kib < MEMORY_LIMIT_KIB, "{peak_kib} KiB");
    assert_eq!(failed, [], "requests meanwhile");
    fleet.store.set_mode(store::Mode::Up);
    fleet.store.put("config", "main", &gateway_fleet::configuration(9));
    let in_force = async || fleet.metrics(0).await.contains("configuration_version 9\n");
    fleet.wait_for("the next configuration to be in force", in_force).await;
}
