//! Daemon processes on loopback, with stand-ins for the platform and the backend servers in the
//! test's own process.

#![allow(dead_code, reason = "each test file uses a different part")]

use std::collections;
use std::fs;
use std::net;
use std::path;
use std::process;
use std::sync::Arc;
use std::sync::atomic;
use std::time;

use http_body_util::BodyExt as _;
use toucanwall_coordination::config_replica;
use toucanwall_coordination::ledger::entry;
use toucanwall_document::check;
use toucanwall_document::parts;
use toucanwall_platform::Client;
use toucanwall_platform::configuration;
use toucanwall_platform_standin::store;
use toucanwall_standin::engine;
use toucanwall_standin::fixture;
use toucanwall_standin::rating;
use toucanwall_standin::server;
use toucanwall_standin::service;

/// The API key of the test organisation.
pub const KEY: &str = "a-key-of-the-test";
/// How long a test waits for a condition without a time limit of its own.
const WAIT_TIMEOUT: time::Duration = time::Duration::from_mins(1);
const SHARDS: u32 = 2;

type Body = http_body_util::Full<bytes::Bytes>;
type Connector = hyper_util::client::legacy::connect::HttpConnector;

/// Daemon processes with the store, engines and service that they use.
pub struct Fleet {
    pub store: store::Store,
    pub engines: Vec<(engine::Engine, server::RunningServer)>,
    pub service: service::Service,
    pub hosts: Vec<HostProcess>,
    temp_dir: tempfile::TempDir,
    http: hyper_util::client::legacy::Client<Connector, Body>,
    _servers: Vec<server::RunningServer>,
}

/// A running daemon.
pub struct HostProcess {
    pub child: process::Child,
    pub caller_address: net::SocketAddr,
    pub peer_address: net::SocketAddr,
    pub admin_address: net::SocketAddr,
    settings_path: path::PathBuf,
}

/// A response as a caller received it.
#[derive(Debug, Clone)]
pub struct Response {
    pub status: u16,
    pub headers: hyper::HeaderMap,
    pub body: String,
    /// Whether the body was received to its end without an error.
    pub is_complete: bool,
}

impl Response {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).and_then(|value| value.to_str().ok())
    }

    pub fn error_type(&self) -> String {
        let json: serde_json::Value = serde_json::from_str(&self.body).unwrap_or_default();
        json["error"]["type"].as_str().unwrap_or_default().to_owned()
    }

    pub fn tokens(&self) -> Vec<String> {
        self.body
            .lines()
            .filter_map(|line| line.strip_prefix("data: "))
            .filter_map(|data| serde_json::from_str::<serde_json::Value>(data).ok())
            .filter_map(|json| json["choices"][0]["delta"]["content"].as_str().map(str::to_owned))
            .collect()
    }
}

impl Drop for HostProcess {
    fn drop(&mut self) {
        self.child.kill().unwrap_or_default();
        self.child.wait().map(drop).unwrap_or_default();
    }
}

/// Behaviour of a fast engine without faults.
pub fn fast_engine() -> engine::Behaviour {
    engine::Behaviour {
        loaded_versions: ["small@1", "small@2", "large@1"].map(str::to_owned).into(),
        first_token_ms: 5,
        token_interval_ms: 1,
        stall_after: None,
        reset_after: None,
    }
}

/// The test document with `from` replaced by `to`.
pub fn document_with(from: &str, to: &str) -> String {
    let digest = {
        use sha2::Digest as _;
        hex::encode(sha2::Sha256::digest(KEY.as_bytes()))
    };
    let text = format!(
        "pools:\n  engines: {{ progress_ms: 1000 }}\n  desk: {{ progress_ms: 4000 }}\n\
         models:\n  small:\n    pool: engines\n    cost_microcents_per_kilotoken: 1000\n    versions:\n      \"1\": {{ share_percent: 100 }}\n      \"2\": {{ share_percent: 0 }}\n\
         \x20 large:\n    pool: engines\n    cost_microcents_per_kilotoken: 9000\n    versions:\n      \"1\": {{ share_percent: 100 }}\n\
         cascades:\n  chat: {{ stages: [small, large], quality_target_percent: 80 }}\n\
         services:\n  desk: {{ pool: desk, non_idempotent: [\"POST /bookings\"], cost_microcents_per_call: 7 }}\n\
         organisations:\n  org:\n    key_sha256: {digest}\n    models: [small, large]\n    cascades: [chat]\n    services: [desk]\n    requests_per_s: 100000\n"
    );
    assert!(text.contains(from), "the document has no `{from}`");
    text.replace(from, to)
}

impl Fleet {
    /// Starts stand-ins and `hosts` daemons, and waits until they are ready.
    pub async fn start(hosts: usize) -> Self {
        let store = store::Store::start().await;
        let rating = rating::serve(loopback_any_port()).await.expect("a free port");
        let service = service::Service::new();
        let desk = service.serve(loopback_any_port()).await.expect("a free port");
        fixture::register_server(
            &store,
            "desk",
            desk.address,
            &collections::BTreeSet::new(),
            false,
        );
        let rating_address = rating.address;
        let mut fleet = Self {
            store,
            engines: Vec::new(),
            service,
            hosts: Vec::new(),
            temp_dir: tempfile::tempdir().expect("a temporary directory"),
            http: hyper_util::client::legacy::Client::builder(hyper_util::rt::TokioExecutor::new())
                .build_http(),
            _servers: vec![rating, desk],
        };
        for _ in 0..3 {
            fleet.add_engine(fast_engine()).await;
        }
        fleet.apply(&document_with("", "")).await;
        let key_file = fleet.temp_dir.path().join("keys");
        fs::write(key_file, "1:secret-of-the-test-hosts\n").expect("a key file");
        let peer_addresses: Vec<net::SocketAddr> = (0..hosts).map(|_| free_address()).collect();
        for (index, peer_address) in peer_addresses.iter().enumerate() {
            fleet.write_settings(index, *peer_address, &peer_addresses, rating_address);
            let host = fleet.spawn(index, *peer_address);
            fleet.hosts.push(host);
        }
        for index in 0..hosts {
            fleet.wait_for_ready(index).await;
        }
        fleet.wait_for_members(hosts).await;
        fleet
    }

    pub async fn add_engine(&mut self, behaviour: engine::Behaviour) {
        let loaded = behaviour.loaded_versions.clone();
        let engine = engine::Engine::new(behaviour);
        let running = engine.serve(loopback_any_port()).await.expect("a free port");
        fixture::register_server(&self.store, "engines", running.address, &loaded, false);
        self.engines.push((engine, running));
    }

    /// Applies a document at the platform.
    pub async fn apply(&self, text: &str) -> configuration::Outcome {
        let client = Client::new(self.store.address);
        let document = check::check("test", text).unwrap_or_else(|findings| panic!("{findings}"));
        let base = configuration::load(&client).await.expect("the platform answers");
        let proposal = configuration::Proposal {
            base,
            parts: parts::split(&document),
            author: Arc::from("test"),
            reason: Arc::from("test"),
            at_ms: 0,
            nonce: 7,
        };
        configuration::append(&client, &proposal, WAIT_TIMEOUT).await
    }

    /// Kills a daemon and starts a new one with the same settings.
    pub fn restart(&mut self, index: usize) {
        let peer_address = self.hosts[index].peer_address;
        self.hosts[index].child.kill().unwrap_or_default();
        self.hosts[index].child.wait().map(drop).unwrap_or_default();
        let host = self.spawn(index, peer_address);
        self.hosts[index] = host;
    }

    pub async fn wait_for_ready(&self, index: usize) {
        let admin_address = self.hosts[index].admin_address;
        self.wait_for("the host to be ready", async || {
            self.get(admin_address, "/readyz").await.is_some_and(|response| response.status == 200)
        })
        .await;
    }

    pub async fn wait_for_members(&self, count: usize) {
        for host in &self.hosts {
            self.wait_for("all hosts to be members", async || {
                let Some(response) = self.get(host.admin_address, "/status").await else {
                    return false;
                };
                response.body.matches("\"alive\"").count() >= count
            })
            .await;
        }
    }

    /// Waits until the platform's current revision is in force at every host.
    pub async fn wait_for_revision(&self) {
        let revision = self.revision().await;
        for host in &self.hosts {
            self.wait_for("the revision to be in force", async || {
                let Some(response) = self.get(host.admin_address, "/status").await else {
                    return false;
                };
                response.body.contains(&format!("\"revision\":{revision}"))
            })
            .await;
        }
    }

    pub async fn wait_for<F>(&self, description: &str, condition: F)
    where
        F: AsyncFn() -> bool,
    {
        let started = time::Instant::now();
        while !condition().await {
            let has_time = started.elapsed() < WAIT_TIMEOUT;
            assert!(has_time, "timed out waiting for {description}\n{}", self.logs());
            tokio::time::sleep(time::Duration::from_millis(20)).await;
        }
    }

    fn logs(&self) -> String {
        let logs = self.hosts.iter().enumerate().map(|(index, host)| {
            let file = self.temp_dir.path().join(format!("host-{index}.log"));
            let text = fs::read_to_string(file).unwrap_or_default();
            let last: Vec<&str> = text.lines().rev().take(12).collect();
            format!("host {index} at {}: {last:#?}\n", host.peer_address)
        });
        logs.collect::<Vec<String>>().concat()
    }

    /// The effective bills in the ledger: the first one of each request.
    pub fn bills(&self) -> Vec<entry::Bill> {
        let mut seen = collections::BTreeSet::new();
        let mut bills = self.all_bills();
        bills.retain(|bill| seen.insert(bill.id));
        bills
    }

    /// All bills in the ledger's log in their order, including duplicates.
    fn all_bills(&self) -> Vec<entry::Bill> {
        let mut bills = Vec::new();
        for shard in 0..SHARDS {
            for value in
                fixture::values_with_prefix(&self.store, &format!("ledger/{shard:04}/log/"))
            {
                let batch: entry::Batch = postcard::from_bytes(&value).expect("a batch decodes");
                bills.extend(batch.entries.into_iter().filter_map(|entry| match entry {
                    entry::Entry::Bill(bill) => Some(bill),
                    _ => None,
                }));
            }
        }
        bills
    }

    pub async fn chat(&self, host: usize, prompt: &str, max_tokens: u64) -> Response {
        self.chat_with(host, prompt, max_tokens, &[]).await.expect("the host answers")
    }

    /// Sends a streaming chat request; `None` if the connection fails before the response head. A
    /// header named `model` selects the model instead of being sent.
    pub async fn chat_with(
        &self,
        host: usize,
        prompt: &str,
        max_tokens: u64,
        headers: &[(&str, &str)],
    ) -> Option<Response> {
        let model = headers.iter().find(|(name, _)| *name == "model").map_or("small", |h| h.1);
        let body = serde_json::json!({
            "model": model,
            "stream": true,
            "max_tokens": max_tokens,
            "messages": [{ "role": "user", "content": prompt }],
        });
        let address = self.hosts[host].caller_address;
        let uri = format!("http://{address}/v1/chat/completions");
        self.send(hyper::Request::post(uri), headers, body.to_string()).await
    }

    pub async fn book(&self, host: usize, key: &str, body: &str) -> Option<Response> {
        let address = self.hosts[host].caller_address;
        let uri = format!("http://{address}/v1/services/desk/bookings");
        let headers = [("idempotency-key", key)];
        self.send(hyper::Request::post(uri), &headers, body.to_owned()).await
    }

    pub async fn get(&self, address: net::SocketAddr, path: &str) -> Option<Response> {
        let request = hyper::Request::get(format!("http://{address}{path}"));
        self.send(request, &[], String::new()).await
    }

    pub async fn send(
        &self,
        request: hyper::http::request::Builder,
        headers: &[(&str, &str)],
        body: String,
    ) -> Option<Response> {
        let mut request = request;
        if !headers.iter().any(|(name, _)| *name == "authorization") {
            request = request.header("authorization", format!("Bearer {KEY}"));
        }
        for (name, value) in headers.iter().filter(|(name, _)| *name != "model") {
            request = request.header(*name, *value);
        }
        let request = request.body(Body::from(body)).expect("a valid request");
        let response = self.http.request(request).await.ok()?;
        let (parts, mut incoming) = response.into_parts();
        let mut bytes = Vec::new();
        let mut is_complete = true;
        while let Some(frame) = incoming.frame().await {
            match frame {
                Ok(frame) => bytes.extend(frame.into_data().unwrap_or_default()),
                Err(_) => is_complete = false,
            }
        }
        let body = String::from_utf8_lossy(&bytes).into_owned();
        Some(Response { status: parts.status.as_u16(), headers: parts.headers, body, is_complete })
    }

    /// The value of a host's metric, zero if it is missing.
    pub async fn metric(&self, host: usize, name: &str) -> u64 {
        let response = self.get(self.hosts[host].admin_address, "/metrics").await;
        let text = response.map(|response| response.body).unwrap_or_default();
        text.lines()
            .find_map(|line| line.strip_prefix(&format!("toucanwall_{name} ")))
            .and_then(|value| value.trim().parse().ok())
            .unwrap_or(0)
    }

    pub fn signal(&self, host: usize, signal: &str) {
        let pid = self.hosts[host].child.id().to_string();
        let status = process::Command::new("kill").args([signal, &pid]).status();
        assert!(status.is_ok_and(|status| status.success()), "kill {signal} {pid}");
    }

    async fn revision(&self) -> u64 {
        let client = Client::new(self.store.address);
        configuration::load(&client)
            .await
            .map_or(0, |snapshot: config_replica::Snapshot| snapshot.revision)
    }

    fn write_settings(
        &self,
        index: usize,
        peer_address: net::SocketAddr,
        peer_addresses: &[net::SocketAddr],
        rating_address: net::SocketAddr,
    ) {
        let key_file = self.temp_dir.path().join("keys");
        let text = format!(
            "data_centre: dc-{}\nregion: region\ncaller_address: {}\npeer_address: {peer_address}\nadmin_address: {}\n\
             platform_address: {}\nrating_address: {rating_address}\npeers: {peer_addresses:?}\nkey_file: {}\n\
             address_ttl_ms: 300\nshutdown_ms: 20000\nledger_shards: {SHARDS}\n",
            index % 2,
            free_address(),
            free_address(),
            self.store.address,
            key_file.display(),
        );
        fs::write(self.settings_path(index), text).expect("a settings file");
    }

    fn settings_path(&self, index: usize) -> path::PathBuf {
        self.temp_dir.path().join(format!("host-{index}.yaml"))
    }

    fn spawn(&self, index: usize, peer_address: net::SocketAddr) -> HostProcess {
        let settings_path = self.settings_path(index);
        let text = fs::read_to_string(&settings_path).expect("a settings file");
        let address = |field: &str| {
            let line = text.lines().find_map(|line| line.strip_prefix(&format!("{field}: ")));
            line.and_then(|value| value.parse().ok()).expect("an address")
        };
        let (caller_address, admin_address) = (address("caller_address"), address("admin_address"));
        let log = fs::File::create(self.temp_dir.path().join(format!("host-{index}.log")));
        let child = process::Command::new(env!("CARGO_BIN_EXE_toucanwall"))
            .arg("--settings")
            .arg(&settings_path)
            .stderr(log.expect("a log file"))
            .spawn()
            .expect("the daemon starts");
        HostProcess { child, caller_address, peer_address, admin_address, settings_path }
    }
}

impl HostProcess {
    pub fn settings_path(&self) -> &path::Path {
        &self.settings_path
    }
}

/// Loopback address that binds to any free port.
pub fn loopback_any_port() -> net::SocketAddr {
    net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, 0))
}

/// An address whose port was free when it was checked.
///
/// Each has a different loopback IP address, so that other tests cannot take the port of a daemon
/// while it restarts.
pub fn free_address() -> net::SocketAddr {
    static NEXT: atomic::AtomicU32 = atomic::AtomicU32::new(0);
    let number = NEXT.fetch_add(1, atomic::Ordering::SeqCst);
    let [_, _, pid_high, pid_low] = process::id().to_be_bytes();
    let [_, _, _, number_byte] = number.to_be_bytes();
    let ip = net::Ipv4Addr::new(127, number_byte.max(1), pid_high, pid_low.clamp(1, 254));
    let listener = net::TcpListener::bind((ip, 0)).expect("a free port");
    listener.local_addr().expect("an address")
}
