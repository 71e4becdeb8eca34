//! The store loses the answers in which hosts would have learned of a roll-out of a bad version.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::Duration;

use stand_ins::case::Case;
use stand_ins::hosts::{self, Host};
use stand_ins::http::{Connection, Request};
use stand_ins::json::Json;
use stand_ins::server::{self, Server};
use stand_ins::store::Store;

const KEY: &str = "Token key-1";
/// Duration of the roll-out, and bounds of the sheet of `hkc-router`.
const DURATION_S: u64 = 16;
const EXPOSURE_FRACTION: f64 = 0.15;
const EXPOSURE_TOLERANCE: f64 = 30.0;
/// Time that the old version takes for a request, and the new one.
const WORK: Duration = Duration::from_millis(4);
const SLOW_WORK: Duration = Duration::from_millis(4 * 8);
/// Time from the order to the registration of the new servers, which start alongside the old ones.
const START: Duration = Duration::from_millis(1_000);
/// Time for which answers are lost.
const LOSS: Duration = Duration::from_millis(500);
const CLIENTS: usize = 6;
const PAUSE: Duration = Duration::from_millis(85);

fn main() {
    let case = Arc::new(Case::begin());
    let result = run(&case);
    case.end(result);
}

fn run(case: &Arc<Case>) -> Result<(usize, String), String> {
    let record = &case.record;
    let store = Store::start(record);
    let server = |id: &str, work: Duration| {
        Server::start(
            id,
            record,
            Arc::new(move |request: &Request, connection: &mut Connection| {
                thread::sleep(work);
                connection.write(&server::sealed(request, 200, b"an answer"))
            }),
        )
    };
    let old = [server("i-old-1", WORK), server("i-old-2", WORK)];
    let new = [server("i-new-1", SLOW_WORK), server("i-new-2", SLOW_WORK)];
    for it in &old {
        store.put("servers", &it.id, &server::entry("desk", it.address, "ready", 1_000));
    }
    store.put("config", "main", &configuration());
    let hosts: Vec<_> =
        (1..=2).map(|number| Host::start(number, store.address, &case.folder)).collect();
    for host in &hosts {
        if !host.wait_until_ready(record) {
            return Err("a host does not become ready".to_owned());
        }
    }
    let is_over = Arc::new(AtomicBool::new(false));
    let served = Arc::new(AtomicU64::new(0));
    let addresses: Vec<_> = hosts.iter().map(Host::frontend).collect();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (case, is_over, served) =
                (Arc::clone(case), Arc::clone(&is_over), Arc::clone(&served));
            let address = addresses[number % addresses.len()];
            thread::spawn(move || {
                while !is_over.load(Ordering::Relaxed) {
                    let headers = [("Authorization", KEY)];
                    let (_, response) = case.send(address, "GET", "/read/one", &headers, 2_000);
                    let is_served = response.is_some_and(|response| response.status == 200);
                    served.fetch_add(u64::from(is_served), Ordering::Relaxed);
                    thread::sleep(PAUSE);
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(4));

    let ordered_ms = record.now_ms();
    if case.has_trouble {
        store.lose_answers(Some("rollouts"));
    }
    let order = format!("{{\"service\":\"desk\",\"target\":\"v2\",\"duration_s\":{DURATION_S}}}");
    store.put("rollouts", "desk", &Json::parse(&order).expect("a valid order"));
    thread::sleep(LOSS);
    if case.has_trouble {
        store.lose_answers(None);
    }
    let in_touch_ms = record.now_ms() + hosts::CONTACT_MS;
    thread::sleep(START - LOSS);
    for it in &new {
        store.put("servers", &it.id, &server::entry_of("desk", it.address, "v2", "ready", 2_000));
    }
    let deadline_ms = ordered_ms + DURATION_S * 1_000;
    while record.now_ms() < deadline_ms {
        // The platform takes the new servers away some seconds after the roll-out was reverted.
        thread::sleep(Duration::from_millis(100));
        if store.status("rollouts", "desk").get("state").as_text() == "reverted" {
            thread::sleep(Duration::from_secs(2));
            for it in &new {
                let entry = server::entry_of("desk", it.address, "v2", "draining", 2_000);
                store.put("servers", &it.id, &entry);
            }
            thread::sleep(Duration::from_millis(deadline_ms.saturating_sub(record.now_ms())));
        }
    }
    is_over.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    if served.load(Ordering::Relaxed) < 100 {
        return Err("hardly any request was served".to_owned());
    }
    let count = |servers: &[Server], from_ms: u64| {
        let runs = servers.iter().flat_map(Server::executed);
        runs.filter(|run| run.at_ms >= from_ms && run.at_ms < deadline_ms).count()
    };
    let all = count(&old, ordered_ms) + count(&new, ordered_ms);
    let exposed = count(&new, in_touch_ms);
    let allowed = all as f64 * EXPOSURE_FRACTION + EXPOSURE_TOLERANCE;
    record.line(&format!(
        "EXPOSURE: {exposed} requests reached the bad version from hosts in touch, {} in all; \
         {all} reached the service; allowed {allowed:.1}",
        count(&new, ordered_ms)
    ));
    let is_broken = exposed as f64 > allowed;
    let what = format!("times EXPOSURE broken: {exposed} requests, allowed {allowed:.1}");
    Ok((usize::from(is_broken), what))
}

fn configuration() -> Json {
    let text = "{\"version\":1,\"routes\":[{\"name\":\"r-read\",\"host\":\"site.example\",\
         \"path_prefix\":\"/read/\",\"route_type\":\"safe\",\"timeout_ms\":2000,\
         \"target_latency_ms\":300,\"priority\":1,\"service\":\"desk\",\"max_attempts\":2,\
         \"public\":false}],\
         \"services\":[{\"name\":\"desk\",\"health_path\":\"/healthz\",\"max_connections\":96}],\
         \"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},\
         \"tenants\":[{\"name\":\"org-1\",\"api_keys\":[\"key-1\"]}]}";
    Json::parse(text).expect("a valid configuration")
}
