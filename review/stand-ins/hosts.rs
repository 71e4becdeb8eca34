//! Processes of the system, started as the deploy file says, with settings of a small deployment.

use std::fs;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{self, Child, Command};
use std::sync::{Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use crate::http;
use crate::record::Record;

const FRONTEND_PORT: u16 = 8_227;
const READY_PORT: u16 = 8_220;
const REGISTRY_PORT: u16 = 8_224;
const CONTROL_PORT: u16 = 8_229;
const INTERNAL_PORTS: [u16; 2] = [7_340, 7_355];

/// Bounds of the sheet of `hkc-router`.
pub const CONTACT_MS: u64 = 3_000;
pub const CONFIG_APPLY_MS: u64 = 2_000;
pub const DRAIN_MS: u64 = 2_000;
pub const GRACE_S: u64 = 8;

/// Ids of the processes that run.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends all processes that were started, and this one with exit code 2, after a time.
pub fn end_after(time: Duration) {
    thread::spawn(move || {
        thread::sleep(time);
        for id in running().iter() {
            let _ = Command::new("kill").args(["-KILL", &id.to_string()]).status();
        }
        println!("cannot run: the time is up");
        process::exit(2)
    });
}

/// Lets a process be ended with those of the system.
pub fn register(id: u32) {
    running().push(id);
}

/// Forgets a process that has ended.
pub fn forget(id: u32) {
    running().retain(|it| *it != id);
}

fn running() -> MutexGuard<'static, Vec<u32>> {
    RUNNING.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}

/// A process of the system. It is killed when it is dropped.
pub struct Host {
    pub name: String,
    pub ip: Ipv4Addr,
    child: Child,
    folder: PathBuf,
    store: SocketAddr,
}

impl Host {
    /// Starts a process, which waits for its settings in `folder`.
    pub fn start(number: u8, store: SocketAddr, folder: &Path) -> Self {
        let ip = free_ip(number);
        let name = format!("edge-zone-1-{number}");
        let child = spawn(&name, ip, store, folder);
        Self { name, ip, child, folder: folder.to_owned(), store }
    }

    /// Kills the process and starts it again at once with the same settings.
    pub fn restart(&mut self) {
        self.kill();
        self.child = spawn(&self.name, self.ip, self.store, &self.folder);
    }

    pub fn frontend(&self) -> SocketAddr {
        (self.ip, FRONTEND_PORT).into()
    }

    pub fn is_ready(&self) -> bool {
        let address = SocketAddr::from((self.ip, READY_PORT));
        let request =
            http::request("GET", "/readyz", &[("Host", "host"), ("Connection", "close")], b"");
        let timeout = Duration::from_secs(1);
        http::Connection::connect(address, timeout)
            .and_then(|mut it| it.exchange(&request, Instant::now() + timeout))
            .is_ok_and(|response| response.status == 200)
    }

    /// Waits until the process is ready; returns whether it is.
    pub fn wait_until_ready(&self, record: &Record) -> bool {
        for _ in 0..200 {
            if self.is_ready() {
                record.line(&format!("host {}: ready", self.name));
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        forget(self.child.id());
    }

    /// Sends a signal, such as `-TERM`.
    pub fn signal(&self, signal: &str) {
        let pid = self.child.id().to_string();
        let _ = Command::new("kill").args([signal, &pid]).status();
    }

    /// Id of the process.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Whether the process still runs.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        self.kill();
    }
}

fn spawn(name: &str, ip: Ipv4Addr, store: SocketAddr, folder: &Path) -> Child {
    let settings = folder.join(format!("{name}.yaml"));
    fs::write(&settings, settings_text(name, ip, store)).expect("the settings can be written");
    let log = fs::OpenOptions::new()
        .append(true)
        .create(true)
        .open(folder.join(format!("{name}.log")))
        .expect("the log can be written");
    let errors = fs::OpenOptions::new()
        .append(true)
        .create(true)
        .open(folder.join(format!("{name}.errors")))
        .expect("the log of errors can be written");
    let child = Command::new("target/release/toucanwall")
        .arg("gateway")
        .env("TOUCANWALL_CONFIG", &settings)
        .stdout(log)
        .stderr(errors)
        .spawn()
        .expect("the program starts; build it first");
    register(child.id());
    child
}

/// A loopback address at which the ports of a host are free, of those of this process and host.
fn free_ip(number: u8) -> Ipv4Addr {
    let [_, _, high, low] = std::process::id().to_be_bytes();
    for attempt in 0..8_u8 {
        let ip =
            Ipv4Addr::new(127, 64 + number.wrapping_mul(8).wrapping_add(attempt) % 128, high, low);
        let ports = [
            FRONTEND_PORT,
            READY_PORT,
            REGISTRY_PORT,
            CONTROL_PORT,
            INTERNAL_PORTS[0],
            INTERNAL_PORTS[1],
        ];
        if ports.iter().all(|port| TcpListener::bind((ip, *port)).is_ok()) {
            return ip;
        }
    }
    panic!("no loopback address with free ports");
}

fn settings_text(name: &str, ip: Ipv4Addr, store: SocketAddr) -> String {
    format!(
        "node_name: \"{name}\"
role: \"host\"
machine_class: \"edge\"
serves:
  - \"edge\"
  - \"registry\"
ip: \"{ip}\"
zone: \"zone-1\"
region: \"region-1\"
zones:
  zone-1: \"region-1\"
listen:
  frontend: \"{ip}:{FRONTEND_PORT}\"
  ready: \"{ip}:{READY_PORT}\"
  control_plane: \"{ip}:{CONTROL_PORT}\"
  registry: \"{ip}:{REGISTRY_PORT}\"
internal_ports:
  - {first}
  - {last}
seed_nodes: []
bootstrap: true
limits:
  cpu_fraction: 0.25
  cpu_cores: 1
  memory_mb: 260
  file_descriptors: 4100
  bandwidth_mbps: 1000.0
  disk_mb: 0
data_path: null
discovery: \"platform\"
entry_point: \"registry\"
heartbeat_ms: 1200
bounds:
  seed_lag_s: 3
  reuse_after_s: 2
  contact_ms: {CONTACT_MS}
  ack_ms: 4000
  catch_up_s: 4
  drain_ms: {DRAIN_MS}
  grace_s: {GRACE_S}
  loss_slack_ms: 200
  config_apply_ms: {CONFIG_APPLY_MS}
  revert_slack_ms: 250
  outer_bound_ms: 5000
  fail_closed: false
  revoke_ms: 5000
  retry_budget_ratio: 0.9
  budget_window_s: 10
  retry_allowance: 52
  exposure_fraction: 0.15
  exposure_tolerance: 30
  rollback_ms: 5000
  recovery_s: 12
  iteration_ms: 120
  reuse_window_s: 8.1
  session_ttl_s: 5
  ttl_max_s: 5
platform:
  address: \"{store}\"
  form: \"objects\"
  writes_per_s: 400
  reads_per_s: 2000
  history_s: 20
  value_bytes: 1048576
  ttl_min_ms: 1000
",
        first = INTERNAL_PORTS[0],
        last = INTERNAL_PORTS[1],
    )
}
