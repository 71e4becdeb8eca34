//! Processes of the `gateway` command on loopback, with stand-ins for the store and the backend
//! servers of the users' platform.

#![allow(dead_code, reason = "each test file uses a different part")]

use std::fs;
use std::net;
use std::process;
use std::sync::atomic;
use std::time;

use http_body_util::BodyExt as _;
use tokio::io::AsyncWriteExt as _;
use toucanwall_platform_standin::backend;
use toucanwall_platform_standin::store;

/// A key of the organisation `org-1`.
pub const KEY: &str = "key-1";
/// A key of the organisation `org-2`.
pub const OTHER_KEY: &str = "key-2";
/// Longest time until a new configuration is in force, as in the `config_apply_ms` setting.
pub const CONFIG_APPLY_LIMIT: time::Duration = time::Duration::from_secs(2);
/// How long a test waits for a condition without a time limit of its own.
const WAIT_TIMEOUT: time::Duration = time::Duration::from_mins(1);

const GRACE_S: u64 = 4;
const CALLER_PORT: u16 = 8_227;
const READINESS_PORT: u16 = 8_220;
const REGISTRY_PORT: u16 = 8_224;
const FIRST_INTERNAL_PORT: u16 = 7_340;
const LAST_INTERNAL_PORT: u16 = 7_355;

type Body = http_body_util::Full<bytes::Bytes>;
type Connector = hyper_util::client::legacy::connect::HttpConnector;

/// A store and the gateway hosts that use it.
pub struct GatewayFleet {
    pub store: store::Store,
    pub hosts: Vec<Host>,
    /// Retries per service and window, with a retry ratio of zero; `None` for an ample retry
    /// budget.
    pub retry_allowance: Option<u64>,
    /// Time between SIGTERM and the end of hosts that are started from now on, in seconds.
    pub grace_s: u64,
    /// Memory in the settings of hosts that are started from now on, in megabytes; `None` if they do
    /// not state it.
    pub memory_mb: Option<u64>,
    /// Overshoot and tolerance of cold servers in the settings of hosts that are started from now on; such
    /// hosts also follow evacuations.
    pub cold_bounds: Option<(f64, u64)>,
    /// Bound for evacuations in the settings of hosts that are started from now on; `None` if the
    /// deployment has no evacuations.
    pub evacuation_ms: Option<u64>,
    /// Data centre and region of hosts that are started from now on.
    pub location: (&'static str, &'static str),
    /// Data centres with their regions in the settings of hosts that are started from now on.
    pub zones: &'static [(&'static str, &'static str)],
    /// Address of the store in the settings of hosts that are started from now on.
    pub store_address: net::SocketAddr,
    temp_dir: tempfile::TempDir,
    http: hyper_util::client::legacy::Client<Connector, Body>,
}

/// A running gateway process.
pub struct Host {
    pub child: process::Child,
    pub ip: net::Ipv4Addr,
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
}

impl Drop for Host {
    fn drop(&mut self) {
        self.child.kill().unwrap_or_default();
        self.child.wait().map(drop).unwrap_or_default();
    }
}

/// A request that can be sent without access to the fleet.
pub struct PreparedRequest {
    http: hyper_util::client::legacy::Client<Connector, Body>,
    request: hyper::Request<Body>,
}

impl PreparedRequest {
    pub async fn send(self) -> Option<Response> {
        let response = self.http.request(self.request).await.ok()?;
        let (parts, mut incoming) = response.into_parts();
        let mut bytes = Vec::new();
        let mut is_complete = true;
        while let Some(frame) = incoming.frame().await {
            let Ok(frame) = frame else {
                is_complete = false;
                break;
            };
            bytes.extend(frame.into_data().unwrap_or_default());
        }
        let body = String::from_utf8_lossy(&bytes).into_owned();
        Some(Response { status: parts.status.as_u16(), headers: parts.headers, body, is_complete })
    }
}

/// The ids of the server-sent events in a body.
pub fn event_numbers(body: &str) -> Vec<u64> {
    body.lines().filter_map(|line| line.strip_prefix("id: ")?.parse().ok()).collect()
}

/// Ids of requests that are routed to a new version from the start of its roll-out.
pub fn canary_request_ids() -> impl Iterator<Item = String> {
    let hash = |id: &String| xxhash_rust::xxh3::xxh3_64(id.as_bytes()) >> 32;
    (0..)
        .map(|number: u32| format!("early-{number}"))
        .filter(move |id| hash(id) < u64::from(u32::MAX) / 50)
}

/// The test configuration with the given version number.
pub fn configuration(version: u64) -> serde_json::Value {
    let route = |prefix: &str, kind: &str, service: &str, attempts: u64| {
        serde_json::json!({
            "name": format!("r-{kind}"), "host": "site.example", "path_prefix": prefix,
            "route_type": kind, "timeout_ms": 4_000, "target_latency_ms": 300, "priority": 1,
            "service": service, "max_attempts": attempts, "public": false,
            "resumable": kind == "streaming", "sticky": kind == "streaming", "itl_target_ms": 400,
        })
    };
    serde_json::json!({
        "version": version,
        "routes": [
            route("/read/", "safe", "desk", 2),
            route("/book/", "unsafe", "desk", 1),
            route("/chat/", "streaming", "engines", 3),
        ],
        "services": [
            { "name": "desk", "health_path": "/healthz", "max_connections": 100 },
            { "name": "engines", "health_path": "/healthz", "max_connections": 100 },
        ],
        "limits": {
            "max_header_bytes": 16_384, "max_body_bytes": 100_000,
            "header_timeout_ms": 3_000, "idle_timeout_ms": 15_000,
        },
        "tenants": [
            { "name": "org-1", "api_keys": [KEY] },
            { "name": "org-2", "api_keys": [OTHER_KEY] },
        ],
    })
}

/// The test configuration with a route that may use two models.
pub fn cascade_configuration(version: u64) -> serde_json::Value {
    let mut configuration = configuration(version);
    configuration["routes"][2]["sizes"] = serde_json::json!(["small", "large"]);
    configuration["services"][1]["inference_engine"] = serde_json::json!({
        "slots": 8, "kv_capacity": 100_000,
        "models": [{ "name": "small", "cost": 0.1 }, { "name": "large", "cost": 1.0 }],
    });
    configuration
}

impl GatewayFleet {
    /// Registers the backend servers, starts hosts and waits until they are ready.
    pub async fn start(hosts: usize, servers: &[(&str, &backend::Backend)]) -> Self {
        let mut fleet = Self::prepare().await;
        fleet.store.put("config", "main", &configuration(2));
        for (service, server) in servers {
            fleet.register(service, server, "ready");
        }
        for _ in 0..hosts {
            fleet.add_host();
        }
        for index in 0..hosts {
            fleet.wait_for("the host to be ready", async || fleet.is_ready(index).await).await;
        }
        fleet
    }

    /// Starts an empty store and no hosts.
    pub async fn prepare() -> Self {
        let store = store::Store::start().await;
        Self {
            retry_allowance: None,
            grace_s: GRACE_S,
            memory_mb: None,
            cold_bounds: None,
            evacuation_ms: None,
            location: ("dc-1", "r"),
            zones: &[],
            store_address: store.address,
            store,
            hosts: Vec::new(),
            temp_dir: tempfile::tempdir().expect("a temporary directory"),
            http: hyper_util::client::legacy::Client::builder(hyper_util::rt::TokioExecutor::new())
                .retry_canceled_requests(false)
                .build_http(),
        }
    }

    pub fn register(&self, service: &str, server: &backend::Backend, state: &str) {
        self.register_at(service, server, server.address, state);
    }

    /// Registers a server under another address, such as that of a proxy.
    pub fn register_at(
        &self,
        service: &str,
        server: &backend::Backend,
        address: net::SocketAddr,
        state: &str,
    ) {
        let spec = server_entry(service, address, "v1", state);
        self.store.put("servers", &server.id, &spec);
    }

    /// Registers a server that runs the given version.
    pub fn register_version(&self, service: &str, server: &backend::Backend, version: &str) {
        let spec = server_entry(service, server.address, version, "ready");
        self.store.put("servers", &server.id, &spec);
    }

    /// Registers a server that runs as many requests as any test sends.
    pub fn register_large(&self, service: &str, server: &backend::Backend) {
        let mut spec = server_entry(service, server.address, "v1", "ready");
        spec["slots"] = 1_000.into();
        self.store.put("servers", &server.id, &spec);
    }

    /// Registers a server in the given data centre.
    pub fn register_in(&self, service: &str, server: &backend::Backend, data_centre: &str) {
        let mut spec = server_entry(service, server.address, "v1", "ready");
        spec["zone"] = data_centre.into();
        self.store.put("servers", &server.id, &spec);
    }

    /// Registers a run of a server that started at the given time.
    pub fn register_run(&self, service: &str, server: &backend::Backend, born: u64) {
        let mut spec = server_entry(service, server.address, "v1", "ready");
        spec["born"] = born.into();
        self.store.put("servers", &server.id, &spec);
    }

    /// Registers a server that says for how long it stays cold.
    pub fn register_cold(&self, service: &str, server: &backend::Backend, remaining_ms: u64) {
        let mut spec = server_entry(service, server.address, "v1", "ready");
        spec["cold_remaining_ms"] = remaining_ms.into();
        self.store.put("servers", &server.id, &spec);
    }

    /// Starts the next host.
    pub fn add_host(&mut self) {
        let host = self.spawn(self.hosts.len());
        self.hosts.push(host);
    }

    /// Starts the next host and waits until it is ready.
    pub async fn add_ready_host(&mut self) {
        self.add_host();
        let index = self.hosts.len() - 1;
        self.wait_for("the host to be ready", async || self.is_ready(index).await).await;
    }

    pub fn spawn(&self, index: usize) -> Host {
        let log = fs::File::create(self.log_file(index)).expect("a log file");
        self.spawn_with(index, process::Stdio::from(log))
    }

    /// Starts a host that logs to `log`.
    pub fn spawn_with(&self, index: usize, log: process::Stdio) -> Host {
        self.start_process(index, next_loopback_ip(), log)
    }

    fn start_process(&self, index: usize, ip: net::Ipv4Addr, log: process::Stdio) -> Host {
        let settings_path = self.temp_dir.path().join(format!("host-{index}.yaml"));
        fs::write(&settings_path, self.settings_yaml(index, ip)).expect("a settings file");
        let child = process::Command::new(env!("CARGO_BIN_EXE_toucanwall"))
            .arg("gateway")
            .env("TOUCANWALL_CONFIG", &settings_path)
            .stdout(log)
            .spawn()
            .expect("the host starts");
        Host { child, ip }
    }

    /// Kills a host and starts a new process at its address.
    pub fn restart(&mut self, index: usize) {
        self.hosts[index].child.kill().unwrap_or_default();
        self.hosts[index].child.wait().map(drop).unwrap_or_default();
        let log = fs::OpenOptions::new().append(true).create(true).open(self.log_file(index));
        let log = process::Stdio::from(log.expect("a log file"));
        let host = self.start_process(index, self.hosts[index].ip, log);
        self.hosts[index] = host;
    }

    pub async fn is_ready(&self, index: usize) -> bool {
        let address = self.address(index, READINESS_PORT);
        self.get(address, "/readyz").await.is_some_and(|response| response.status == 200)
    }

    pub async fn resolve(&self, index: usize) -> Option<Response> {
        let address = self.address(index, REGISTRY_PORT);
        self.get(address, "/resolution?name=site.example&region=r&zone=dc-1").await
    }

    /// Asks a host for addresses for a host name, as a caller in the given region.
    pub async fn resolve_from(&self, index: usize, name: &str, region: &str) -> Option<Response> {
        let address = self.address(index, REGISTRY_PORT);
        self.get(address, &format!("/resolution?name={name}&region={region}&zone=dc-1")).await
    }

    pub async fn metrics(&self, index: usize) -> String {
        let address = self.address(index, LAST_INTERNAL_PORT);
        self.get(address, "/metrics").await.map(|response| response.body).unwrap_or_default()
    }

    /// Sends a request with a unique id to a host.
    pub async fn send(
        &self,
        index: usize,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
    ) -> Option<Response> {
        static NEXT: atomic::AtomicU64 = atomic::AtomicU64::new(1);
        let id = format!("{:016x}", NEXT.fetch_add(1, atomic::Ordering::SeqCst));
        self.prepare_request_with(index, method, path, &id, headers).send().await
    }

    /// Prepares a request to a host.
    pub fn prepare_request(
        &self,
        index: usize,
        method: &str,
        path: &str,
        id: &str,
    ) -> PreparedRequest {
        self.prepare_request_with(index, method, path, id, &[])
    }

    /// Prepares a request with additional headers to a host.
    pub fn prepare_request_with(
        &self,
        index: usize,
        method: &str,
        path: &str,
        id: &str,
        headers: &[(&str, &str)],
    ) -> PreparedRequest {
        let mut request = hyper::Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.address(index, CALLER_PORT)))
            .header("host", "site.example")
            .header("x-toucanwall-attempt-id", id);
        for (name, value) in
            [("x-toucanwall-deadline-ms", "3000"), ("authorization", &format!("Token {KEY}"))]
        {
            if !headers.iter().any(|(given, _)| *given == name) {
                request = request.header(name, value);
            }
        }
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let request = request.body(Body::from("a body")).expect("a valid request");
        PreparedRequest { http: self.http.clone(), request }
    }

    /// Opens a connection to a host and writes `bytes` to it.
    pub async fn send_raw(&self, index: usize, bytes: &str) -> tokio::net::TcpStream {
        let address = self.caller_address(index);
        let mut stream = tokio::net::TcpStream::connect(address).await.expect("a connection");
        stream.write_all(bytes.as_bytes()).await.expect("the request is written");
        stream
    }

    pub fn address(&self, index: usize, port: u16) -> net::SocketAddr {
        net::SocketAddr::from((self.hosts[index].ip, port))
    }

    pub fn caller_address(&self, index: usize) -> net::SocketAddr {
        self.address(index, CALLER_PORT)
    }

    /// Largest amount of memory that a host has used so far, in kibibytes.
    pub fn peak_memory_kib(&self, index: usize) -> u64 {
        let path = format!("/proc/{}/status", self.hosts[index].child.id());
        let status = fs::read_to_string(path).expect("the host runs");
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).expect("a peak");
        line.trim_end_matches("kB").trim().parse().expect("a number")
    }

    /// Sends a signal to a host; returns whether its process existed.
    pub fn signal(&self, index: usize, signal: &str) -> bool {
        let pid = self.hosts[index].child.id().to_string();
        let kill = process::Command::new("kill").args([signal, &pid]).output();
        kill.is_ok_and(|output| output.status.success())
    }

    /// Whether a host's process has exited.
    pub fn has_exited(&mut self, index: usize) -> bool {
        self.hosts[index].child.try_wait().is_ok_and(|status| status.is_some())
    }

    /// Waits until a host's process exits.
    pub async fn wait_for_exit(&mut self, index: usize) -> process::ExitStatus {
        let started = time::Instant::now();
        loop {
            if let Some(status) =
                self.hosts[index].child.try_wait().expect("the state of the process")
            {
                return status;
            }
            assert!(
                started.elapsed() < WAIT_TIMEOUT,
                "the host does not exit\n{}",
                self.log(index)
            );
            tokio::time::sleep(time::Duration::from_millis(20)).await;
        }
    }

    pub async fn wait_for<F>(&self, description: &str, condition: F)
    where
        F: AsyncFn() -> bool,
    {
        let started = time::Instant::now();
        while !condition().await {
            let has_time = started.elapsed() < WAIT_TIMEOUT;
            assert!(has_time, "timed out waiting for {description}\n{}", self.log(0));
            tokio::time::sleep(time::Duration::from_millis(20)).await;
        }
    }

    /// The log lines of a host.
    pub fn log(&self, index: usize) -> String {
        fs::read_to_string(self.log_file(index)).unwrap_or_default()
    }

    /// The log lines of all hosts.
    pub fn logs(&self) -> String {
        let logs = (0..self.hosts.len()).map(|index| format!("host {index}:\n{}", self.log(index)));
        logs.collect::<Vec<_>>().join("\n")
    }

    async fn get(&self, address: net::SocketAddr, path: &str) -> Option<Response> {
        let request = hyper::Request::get(format!("http://{address}{path}"));
        self.request(request.body(Body::default()).expect("a valid request")).await
    }

    async fn request(&self, request: hyper::Request<Body>) -> Option<Response> {
        PreparedRequest { http: self.http.clone(), request }.send().await
    }

    fn log_file(&self, index: usize) -> std::path::PathBuf {
        self.temp_dir.path().join(format!("host-{index}.log"))
    }

    fn settings_yaml(&self, index: usize, ip: net::Ipv4Addr) -> String {
        let (store, grace_s) = (self.store_address, self.grace_s);
        let limits = self
            .memory_mb
            .map_or_else(String::new, |memory_mb| format!("limits:\n  memory_mb: {memory_mb}\n"));
        let cold_bounds = self.cold_bounds.map_or_else(String::new, |(overshoot, tolerance)| {
            format!("  cold_overshoot: {overshoot}\n  cold_tolerance: {tolerance}\n  evacuation_ms: 5000\n")
        });
        let evacuation = self
            .evacuation_ms
            .map_or_else(String::new, |bound_ms| format!("  evacuation_ms: {bound_ms}\n"));
        let (data_centre, region) = self.location;
        let zones = self.zones.iter().map(|(zone, region)| format!("  {zone}: {region}\n"));
        let zones: String = std::iter::once("zones:\n".to_owned()).chain(zones).collect();
        let (ratio, allowance) = self.retry_allowance.map_or((0.9, 52), |extra| (0.0, extra));
        format!(
            "node_name: host-{index}\nzone: {data_centre}\nregion: {region}\nip: {ip}\nheartbeat_ms: 1200\n\
             listen:\n  frontend: {ip}:{CALLER_PORT}\n  ready: {ip}:{READINESS_PORT}\n  registry: {ip}:{REGISTRY_PORT}\n\
             internal_ports:\n  - {FIRST_INTERNAL_PORT}\n  - {LAST_INTERNAL_PORT}\n\
             bounds:\n  contact_ms: 3000\n  config_apply_ms: 2000\n  drain_ms: 2000\n  grace_s: {grace_s}\n  \
             retry_budget_ratio: {ratio}\n  budget_window_s: 10\n  retry_allowance: {allowance}\n{cold_bounds}{evacuation}\
             platform:\n  address: {store}\n{limits}{zones}"
        )
    }
}

/// The store entry of a backend server.
fn server_entry(
    service: &str,
    address: net::SocketAddr,
    version: &str,
    state: &str,
) -> serde_json::Value {
    serde_json::json!({
        "service": service, "address": address, "zone": "dc-1", "version": version,
        "slots": 8, "state": state, "cold_remaining_ms": 0, "sequence": 1,
    })
}

/// Returns a different loopback address for each host, so that all hosts can use the same ports.
fn next_loopback_ip() -> net::Ipv4Addr {
    static NEXT: atomic::AtomicU32 = atomic::AtomicU32::new(0);
    let number = NEXT.fetch_add(1, atomic::Ordering::SeqCst);
    let [_, _, pid_high, pid_low] = process::id().to_be_bytes();
    let [_, _, _, number_byte] = number.to_be_bytes();
    net::Ipv4Addr::new(127, 0x80 | (number_byte & 0x7f), pid_high, pid_low.clamp(1, 254))
}
