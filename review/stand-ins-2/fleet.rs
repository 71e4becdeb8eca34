//! A small deployment on loopback: the store, servers and hosts, each server and host a process.

use std::fs;
use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::store::Store;
use crate::window;

pub const KEY: &str = "key-1";
pub const GRACE_S: u64 = 8;
const DESCRIPTORS: usize = 4_100;
const FILE_DESCRIPTORS: usize = 200;

/// The record of a case, with the time of each line.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    file: Arc<Mutex<fs::File>>,
}

impl Record {
    pub fn create(path: &str) -> io::Result<Self> {
        Ok(Self { started: Instant::now(), file: Arc::new(Mutex::new(fs::File::create(path)?)) })
    }

    pub fn line(&self, text: &str) {
        let ms = self.started.elapsed().as_millis();
        let mut file = self.file.lock().unwrap();
        writeln!(file, "{ms:>6} ms  {text}").unwrap();
        println!("{ms:>6} ms  {text}");
    }
}

/// A process that ends with this value.
pub struct Process {
    pub child: Child,
}

impl Process {
    pub fn signal(&self, signal: &str) {
        let pid = self.child.id().to_string();
        Command::new("kill").args([signal, &pid]).status().unwrap();
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.child.kill().ok();
        self.child.wait().ok();
    }
}

/// A server process and what it has written.
pub struct ServerProcess {
    pub process: Process,
    pub id: String,
    pub port: u16,
    pub lines: Arc<Mutex<Vec<String>>>,
}

impl ServerProcess {
    /// Number of lines that begin so.
    pub fn count(&self, start: &str) -> usize {
        self.lines.lock().unwrap().iter().filter(|line| line.starts_with(start)).count()
    }
}

/// A host process.
pub struct Host {
    pub process: Process,
    pub caller: SocketAddr,
    pub ready: SocketAddr,
    pub registry: SocketAddr,
}

pub struct Fleet {
    pub store: Store,
    pub record: Record,
    pub dir: PathBuf,
    /// Memory of hosts that are started from now on, in megabytes.
    pub memory_mb: u64,
    /// Share of a core of hosts that are started from now on.
    pub cores: f64,
    root: PathBuf,
}

impl Fleet {
    pub fn start(record: Record) -> io::Result<Self> {
        let dir = std::env::temp_dir().join(format!("toucanwall-review-{}", std::process::id()));
        fs::create_dir_all(&dir)?;
        let root = std::env::current_dir()?;
        Ok(Self { store: Store::start()?, record, dir, memory_mb: 260, cores: 0.25, root })
    }

    /// Starts a server with these arguments, which does not register it.
    pub fn add_server(&self, id: &str, arguments: &[&str]) -> io::Result<ServerProcess> {
        let mut command = Command::new(std::env::current_exe()?);
        command.arg("server").arg(id).args(arguments).stdout(Stdio::piped());
        let mut child = command.spawn()?;
        let mut output = BufReader::new(child.stdout.take().unwrap());
        let mut line = String::new();
        output.read_line(&mut line)?;
        let port = line.trim().trim_start_matches("port ").parse().map_err(io::Error::other)?;
        let lines = Arc::new(Mutex::new(Vec::new()));
        let (sink, record, name) = (Arc::clone(&lines), self.record.clone(), id.to_owned());
        thread::spawn(move || {
            for line in output.lines().map_while(Result::ok) {
                record.line(&format!("server {name}: {line}"));
                sink.lock().unwrap().push(line);
            }
        });
        Ok(ServerProcess { process: Process { child }, id: id.to_owned(), port, lines })
    }

    /// Writes the entry of a server.
    pub fn register(&self, server: &ServerProcess, service: &str, state: &str) {
        let (id, port) = (&server.id, server.port);
        self.record.line(&format!("store: server {id} of {service} is {state}"));
        let entry = format!(
            "{{\"service\":\"{service}\",\"address\":\"127.0.0.1:{port}\",\"zone\":\"zone-1\",\
             \"version\":\"v1\",\"slots\":64,\"state\":\"{state}\",\"cold_remaining_ms\":0,\
             \"sequence\":1}}"
        );
        self.store.put("servers", id, &entry);
    }

    /// Starts a host with the command of the deploy file and waits until it is ready.
    pub fn add_host(&self, name: &str) -> io::Result<Host> {
        let [caller, ready, registry, first] =
            [free_port()?, free_port()?, free_port()?, free_port()?];
        let last = (first + 1..).find(|port| is_free(*port)).unwrap();
        let settings = format!(
            "node_name: \"{name}\"\nrole: \"host\"\nmachine_class: \"edge\"\nserves:\n  - \"edge\"\n  - \"registry\"\n\
             ip: \"127.0.0.1\"\nzone: \"zone-1\"\nregion: \"region-1\"\nzones:\n  zone-1: \"region-1\"\n\
             listen:\n  frontend: \"127.0.0.1:{caller}\"\n  ready: \"127.0.0.1:{ready}\"\n  registry: \"127.0.0.1:{registry}\"\n\
             internal_ports:\n  - {first}\n  - {last}\nseed_nodes: []\nbootstrap: true\nfault_counted: false\n\
             limits:\n  cpu_fraction: {}\n  cpu_cores: 1\n  memory_mb: {}\n  file_descriptors: {DESCRIPTORS}\n  bandwidth_mbps: 1000.0\n  disk_mb: 0\n\
             heartbeat_ms: 1200\nbounds:\n  seed_lag_s: 3\n  reuse_after_s: 2\n  contact_ms: 3000\n  ack_ms: 4000\n  catch_up_s: 4\n\
             \x20 drain_ms: 2000\n  grace_s: {GRACE_S}\n  loss_slack_ms: 200\n  config_apply_ms: 2000\n  revert_slack_ms: 250\n\
             \x20 outer_bound_ms: 5000\n  fail_closed: false\n  revoke_ms: 5000\n  retry_budget_ratio: 0.9\n  budget_window_s: 10\n\
             \x20 retry_allowance: 52\n  exposure_fraction: 0.15\n  exposure_tolerance: 30\n  rollback_ms: 5000\n  recovery_s: 12\n\
             \x20 iteration_ms: 120\n  reuse_window_s: 8.1\n  session_ttl_s: 5\n  ttl_max_s: 5\n\
             platform:\n  address: \"{}\"\n  form: \"objects\"\n  writes_per_s: 400\n  reads_per_s: 2000\n  history_s: 20\n  value_bytes: 1048576\n  ttl_min_ms: 1000\n",
            self.cores, self.memory_mb, self.store.address
        );
        let path = self.dir.join(format!("{name}.yaml"));
        fs::write(&path, settings)?;
        let log = fs::File::create(self.dir.join(format!("{name}.log")))?;
        // The platform limits the descriptors of a process and keeps some of them for files.
        let sockets = DESCRIPTORS - FILE_DESCRIPTORS;
        let command = format!("ulimit -n {sockets}; exec target/release/toucanwall gateway");
        let child = Command::new("sh")
            .args(["-c", &command])
            .env("TOUCANWALL_CONFIG", &path)
            .current_dir(&self.root)
            .stdout(log)
            .spawn()?;
        let address = |port: u16| SocketAddr::from(([127, 0, 0, 1], port));
        let host = Host {
            process: Process { child },
            caller: address(caller),
            ready: address(ready),
            registry: address(registry),
        };
        let until = Instant::now() + Duration::from_secs(20);
        while !host.is_ready() {
            if Instant::now() > until {
                return Err(io::Error::other(format!("host {name} is not ready after 20 s")));
            }
            thread::sleep(Duration::from_millis(50));
        }
        self.record.line(&format!("host {name} is ready"));
        Ok(host)
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        if std::env::var_os("KEEP").is_none() {
            fs::remove_dir_all(&self.dir).ok();
        }
    }
}

impl Host {
    /// Memory of the process, now and at the most so far, in kilobytes.
    pub fn memory_kb(&self) -> (u64, u64) {
        let path = format!("/proc/{}/status", self.process.child.id());
        let status = fs::read_to_string(path).unwrap_or_default();
        let figure = |name: &str| {
            let line = status.lines().find_map(|line| line.strip_prefix(name));
            line.and_then(|text| text.trim().trim_end_matches(" kB").parse().ok()).unwrap_or(0)
        };
        (figure("VmRSS:"), figure("VmHWM:"))
    }

    /// Opens the connection on which the platform asks whether the host is ready.
    pub fn open_readiness(&self) -> io::Result<Readiness> {
        let stream = TcpStream::connect_timeout(&self.ready, Duration::from_millis(500))?;
        stream.set_read_timeout(Some(Duration::from_millis(1_000)))?;
        Ok(Readiness(stream))
    }

    /// Number of open descriptors of the process.
    pub fn descriptors(&self) -> usize {
        let path = format!("/proc/{}/fd", self.process.child.id());
        fs::read_dir(path).map_or(0, Iterator::count)
    }

    /// Processor time that the process has used, in milliseconds.
    pub fn processor_ms(&self) -> u64 {
        const MS_PER_TICK: u64 = 10;
        let path = format!("/proc/{}/stat", self.process.child.id());
        let stat = fs::read_to_string(path).unwrap_or_default();
        let figures = stat.rsplit(')').next().unwrap_or("").split_whitespace();
        let ticks = figures.skip(11).take(2).filter_map(|text| text.parse::<u64>().ok());
        ticks.sum::<u64>() * MS_PER_TICK
    }

    fn is_ready(&self) -> bool {
        let ask = || -> io::Result<u16> {
            let mut stream = TcpStream::connect_timeout(&self.ready, Duration::from_millis(500))?;
            stream.set_read_timeout(Some(Duration::from_millis(500)))?;
            write!(stream, "GET /readyz HTTP/1.1\r\nHost: host\r\nConnection: close\r\n\r\n")?;
            Ok(crate::http::read_response(&mut BufReader::new(stream))?.status)
        };
        ask().is_ok_and(|status| status == 200)
    }
}

fn free_port() -> io::Result<u16> {
    Ok(TcpListener::bind("127.0.0.1:0")?.local_addr()?.port())
}

fn is_free(port: u16) -> bool {
    TcpListener::bind(("127.0.0.1", port)).is_ok() && UdpSocket::bind(("127.0.0.1", port)).is_ok()
}

/// The configuration: a safe, an unsafe and a resumable streaming route of three services.
pub fn configuration(version: u64) -> String {
    let route = |name: &str, kind: &str, service: &str, attempts: u64, latency_ms: u64| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"site.example\",\"path_prefix\":\"/{name}/\",\
             \"route_type\":\"{kind}\",\"timeout_ms\":10000,\"target_latency_ms\":{latency_ms},\
             \"priority\":1,\"service\":\"{service}\",\"max_attempts\":{attempts},\"public\":false,\
             \"resumable\":{},\"sticky\":false,\"itl_target_ms\":600}}",
            kind == "streaming"
        )
    };
    let service = |name: &str| {
        format!("{{\"name\":\"{name}\",\"health_path\":\"/healthz\",\"max_connections\":610}}")
    };
    format!(
        "{{\"version\":{version},\"routes\":[{},{},{}],\"services\":[{},{}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\
         \"idle_timeout_ms\":15000}},\"tenants\":[{{\"name\":\"tenant-1\",\"api_keys\":[\"{KEY}\"]}}]}}",
        route("read", "safe", "desk", 2, 300),
        route("book", "unsafe", "desk", 1, 300),
        route("draft", "streaming", "engines", 3, 2000),
        service("desk"),
        service("engines"),
    )
}

/// Time that clients wait for an answer, in milliseconds.
const DEADLINE_MS: u64 = 10_000;

/// Sends a request and returns the connection.
pub fn send(
    caller: SocketAddr,
    method: &str,
    path: &str,
    id: &str,
    body: &[u8],
) -> io::Result<TcpStream> {
    send_within(caller, DEADLINE_MS, method, path, id, body)
}

/// Sends a request on a new connection with a small window and returns the connection.
pub fn send_to_slow_client(
    caller: SocketAddr,
    deadline_ms: u64,
    path: &str,
    id: &str,
) -> io::Result<TcpStream> {
    let mut stream = window::open(caller)?;
    stream.set_read_timeout(Some(Duration::from_millis(deadline_ms * 2)))?;
    write_request(&mut stream, deadline_ms, "POST", path, id, b"")?;
    Ok(stream)
}

fn send_within(
    caller: SocketAddr,
    deadline_ms: u64,
    method: &str,
    path: &str,
    id: &str,
    body: &[u8],
) -> io::Result<TcpStream> {
    let mut stream = TcpStream::connect_timeout(&caller, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(Duration::from_millis(deadline_ms * 2)))?;
    write_request(&mut stream, deadline_ms, method, path, id, body)?;
    Ok(stream)
}

pub fn send_on(
    stream: &mut TcpStream,
    method: &str,
    path: &str,
    id: &str,
    body: &[u8],
) -> io::Result<()> {
    write_request(stream, DEADLINE_MS, method, path, id, body)
}

fn write_request(
    stream: &mut TcpStream,
    deadline_ms: u64,
    method: &str,
    path: &str,
    id: &str,
    body: &[u8],
) -> io::Result<()> {
    write!(
        stream,
        "{method} {path} HTTP/1.1\r\nHost: site.example\r\nX-Toucanwall-Attempt-Id: {id}\r\n\
         X-Toucanwall-Deadline-Ms: {deadline_ms}\r\nAuthorization: Token {KEY}\r\nContent-Length: {}\r\n\r\n",
        body.len()
    )?;
    stream.write_all(body)
}

/// The platform's connection to the readiness address of a host.
pub struct Readiness(TcpStream);

impl Readiness {
    pub fn is_ready(&mut self) -> bool {
        let mut ask = || -> io::Result<u16> {
            write!(self.0, "GET /readyz HTTP/1.1\r\nHost: host\r\n\r\n")?;
            Ok(crate::http::read_response(&mut BufReader::new(self.0.try_clone()?))?.status)
        };
        ask().is_ok_and(|status| status == 200)
    }
}

/// Asks a host for addresses; returns the connection, which stays open.
pub fn resolve(registry: SocketAddr) -> io::Result<TcpStream> {
    let mut stream = TcpStream::connect_timeout(&registry, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(Duration::from_secs(1)))?;
    write!(
        stream,
        "GET /resolution?name=site.example&region=region-1&zone=zone-1 HTTP/1.1\r\nHost: host\r\n\r\n"
    )?;
    let response = crate::http::read_response(&mut BufReader::new(stream.try_clone()?))?;
    if response.status == 200 { Ok(stream) } else { Err(io::Error::other("no addresses")) }
}
