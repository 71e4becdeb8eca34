//! Requests that crash the servers that run them are not sent to ever more servers.

mod gateway_fleet;

use std::sync::Mutex;
use std::time;

use gateway_fleet::GatewayFleet;
use rstest::rstest;
use toucanwall_platform_standin::backend;

const HOST_COUNT: usize = 3;
const SERVER_COUNT: usize = 8;
/// Path of the request that crashes servers.
const CRASHING_PATH: &str = "/read/crash";
/// Time after which a crashed server is back.
const DOWNTIME: time::Duration = time::Duration::from_millis(300);
/// Time until hosts know of a change of a server, less than the `drain_ms` setting.
const REGISTRATION_TIME: time::Duration = time::Duration::from_secs(1);
/// Servers that a request may crash before it is blocked on every host.
const CRASH_LIMIT: usize = 3;
/// Time until all hosts know of a crash, as in the `contact_ms` setting.
const CONTACT_LIMIT: time::Duration = time::Duration::from_secs(3);

struct Deployment {
    fleet: GatewayFleet,
    servers: Vec<backend::Backend>,
    /// When the registered run of each server was born.
    born: Mutex<Vec<usize>>,
}

impl Deployment {
    async fn start() -> Self {
        let mut servers = Vec::new();
        for number in 0..SERVER_COUNT {
            let id = format!("s-{number}");
            let server = backend::Backend::start(&id, backend::Behaviour::Respond).await;
            server.crash_on(CRASHING_PATH, DOWNTIME);
            servers.push(server);
        }
        let fleet = GatewayFleet::prepare().await;
        fleet.store.put("config", "main", &gateway_fleet::configuration(2));
        let born = Mutex::new(vec![0; SERVER_COUNT]);
        let mut deployment = Self { fleet, servers, born };
        deployment.register_servers();
        for _ in 0..HOST_COUNT {
            deployment.fleet.add_ready_host().await;
        }
        deployment
    }

    /// Registers the servers that have started since the last call.
    fn register_servers(&self) {
        let mut born = self.born.lock().expect("the lock is not poisoned");
        for (server, born) in self.servers.iter().zip(born.iter_mut()) {
            // Each run of a server is born at another time.
            let current = 1 + server.crashes();
            if *born != current {
                *born = current;
                let spec = serde_json::json!({
                    "service": "desk", "address": server.address, "zone": "dc-1", "version": "v1",
                    "slots": 8, "state": "ready", "cold_remaining_ms": 0, "sequence": 1,
                    "born": current,
                });
                self.fleet.store.put("servers", &server.id, &spec);
            }
        }
    }

    fn crashes(&self) -> usize {
        self.servers.iter().map(backend::Backend::crashes).sum()
    }

    /// Sends the crashing request and waits until the servers that it crashed are back.
    async fn send_crashing(&self, index: usize) -> Option<u16> {
        let response = self.fleet.send(index, "GET", CRASHING_PATH, &[]).await;
        self.wait_for_servers().await;
        response.map(|response| response.status)
    }

    /// Waits until the crashed servers are back and all hosts know them.
    async fn wait_for_servers(&self) {
        tokio::time::sleep(DOWNTIME).await;
        self.register_servers();
        tokio::time::sleep(REGISTRATION_TIME).await;
    }

    /// Sends the crashing request until it has crashed as many servers as it may.
    async fn crash_until_limit(&self, index: usize) {
        for _ in 0..CRASH_LIMIT {
            if self.crashes() < CRASH_LIMIT {
                self.send_crashing(index).await;
            }
        }
        assert!(self.crashes() >= CRASH_LIMIT, "{} crashes", self.crashes());
    }
}

#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn request_that_crashed_three_servers_is_rejected() {
    let deployment = Deployment::start().await;
    deployment.crash_until_limit(0).await;
    for _ in 0..4 {
        assert_eq!(deployment.send_crashing(0).await, Some(503));
    }
    let log = deployment.fleet.log(0);
    assert_eq!(deployment.crashes(), CRASH_LIMIT, "{log}");
    let other = deployment.fleet.send(0, "GET", "/read/x", &[]).await.expect("a response");
    assert_eq!(other.status, 200, "{log}");
}

#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn request_that_crashed_three_servers_is_rejected_by_all_hosts() {
    let mut deployment = Deployment::start().await;
    deployment.crash_until_limit(0).await;
    tokio::time::sleep(CONTACT_LIMIT).await;
    let before = deployment.crashes();
    for index in 1..HOST_COUNT {
        assert_eq!(deployment.send_crashing(index).await, Some(503), "host {index}");
    }
    // The host that reported the crashes, and all others after it, start with no memory of them.
    for index in 0..HOST_COUNT {
        deployment.fleet.restart(index);
        let fleet = &deployment.fleet;
        fleet.wait_for("the host to be ready", async || fleet.is_ready(index).await).await;
        assert_eq!(deployment.send_crashing(index).await, Some(503), "host {index}");
    }
    assert_eq!(deployment.crashes(), before);
}

#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn crashes_on_different_hosts_add_up() {
    let deployment = Deployment::start().await;
    // Requests that may not be repeated end with the first crash.
    for index in 0..CRASH_LIMIT {
        let path = "/book/crash";
        for server in &deployment.servers {
            server.crash_on(path, DOWNTIME);
        }
        let response = deployment.fleet.send(index, "POST", path, &[]).await.expect("a response");
        assert_eq!(response.status, 502);
        deployment.wait_for_servers().await;
    }
    tokio::time::sleep(CONTACT_LIMIT).await;
    assert_eq!(deployment.crashes(), CRASH_LIMIT);
    for index in 0..HOST_COUNT {
        let response = deployment.fleet.send(index, "POST", "/book/crash", &[]).await;
        assert_eq!(response.map(|response| response.status), Some(503), "host {index}");
    }
    assert_eq!(deployment.crashes(), CRASH_LIMIT);
}

#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn request_that_succeeded_before_is_not_blamed_for_crashes() {
    let deployment = Deployment::start().await;
    let warm_up = deployment.fleet.send(0, "GET", "/read/x", &[]).await.expect("a response");
    assert_eq!(warm_up.status, 200);
    for server in &deployment.servers {
        server.crash_on("/read/x", DOWNTIME);
    }
    while deployment.crashes() < CRASH_LIMIT {
        deployment.fleet.send(0, "GET", "/read/x", &[]).await;
        deployment.wait_for_servers().await;
    }
    for server in &deployment.servers {
        server.crash_on(CRASHING_PATH, DOWNTIME);
    }
    let response = deployment.fleet.send(0, "GET", "/read/x", &[]).await.expect("a response");
    assert_eq!(response.status, 200, "{}", deployment.fleet.log(0));
}
