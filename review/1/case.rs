//! The store comes back from a copy; then the operator takes a key away and moves a route.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use stand_ins::case::Case;
use stand_ins::hosts::{self, Host};
use stand_ins::json::Json;
use stand_ins::server::{self, Server};
use stand_ins::store::Store;

const KEPT_KEY: &str = "Token key-kept";
const REVOKED_KEY: &str = "Token key-revoked";
/// Number of configurations that the operator applies after the copy was taken.
const LOST_VERSIONS: u64 = 4;
/// Time from the copy to the moment at which the store goes away.
const COPY_AGE: Duration = Duration::from_secs(3);
/// Time for which the store is away.
const AWAY: Duration = Duration::from_millis(800);
/// Time after a change at which the requests are sent that must follow it.
const AFTER_CHANGE: Duration = Duration::from_millis(hosts::CONFIG_APPLY_MS + 1_500);
/// Number of requests of each sort that are sent to each host.
const REQUESTS: usize = 5;

fn main() {
    let case = Case::begin();
    let result = run(&case);
    case.end(result);
}

fn run(case: &Case) -> Result<(usize, String), String> {
    let record = &case.record;
    let store = Store::start(record);
    let answer = |name: &'static str| {
        Arc::new(
            move |request: &stand_ins::http::Request,
                  connection: &mut stand_ins::http::Connection| {
                connection.write(&server::sealed(request, 200, name.as_bytes()))
            },
        )
    };
    let old = Server::start("i-old", record, answer("old desk"));
    let new = Server::start("i-new", record, answer("new desk"));
    store.put("servers", &old.id, &server::entry("desk-old", old.address, "ready", 1_000));
    store.put("servers", &new.id, &server::entry("desk-new", new.address, "ready", 1_000));
    store.put("config", "main", &configuration(1, "desk-old", true));
    let hosts: Vec<_> =
        (1..=2).map(|number| Host::start(number, store.address, &case.folder)).collect();
    for host in &hosts {
        if !host.wait_until_ready(record) {
            return Err("a host does not become ready".to_owned());
        }
    }
    thread::sleep(Duration::from_secs(4));

    let copy = store.copy();
    record.line("a copy of the store is taken");
    // The operator applies some configurations, the last of which is written again after the loss.
    for number in 1..=LOST_VERSIONS {
        thread::sleep(COPY_AGE / u32::try_from(LOST_VERSIONS).unwrap_or(1));
        store.put("config", "main", &configuration(1 + number, "desk-old", true));
    }
    if case.has_trouble {
        store.go_away();
        thread::sleep(AWAY);
        store.come_back(Some(copy));
        store.put("config", "main", &configuration(1 + LOST_VERSIONS, "desk-old", true));
    }
    // All hosts are in touch again before the next change.
    thread::sleep(Duration::from_millis(hosts::CONTACT_MS + 2_000));
    for host in &hosts {
        let (_, response) = case.send(
            host.frontend(),
            "GET",
            "/read/before",
            &[("Authorization", REVOKED_KEY)],
            2_000,
        );
        if response.is_none_or(|response| response.status != 200) {
            return Err("a host does not serve before the change".to_owned());
        }
    }

    store.put("config", "main", &configuration(2 + LOST_VERSIONS, "desk-new", false));
    record.line("acknowledged: the route goes to desk-new, and key-revoked is gone");
    thread::sleep(AFTER_CHANGE);

    let mut violations = 0;
    for host in &hosts {
        for _ in 0..REQUESTS {
            let headers = [("Authorization", REVOKED_KEY)];
            let (id, response) =
                case.send(host.frontend(), "GET", "/read/revoked", &headers, 2_000);
            if response.is_some_and(|response| response.status == 200) {
                record.line(&format!("CONFIG: {id} was served with a key that was taken away"));
                violations += 1;
            }
            let headers = [("Authorization", KEPT_KEY)];
            let (id, _) = case.send(host.frontend(), "GET", "/read/moved", &headers, 2_000);
            if old.executed().iter().any(|run| run.attempt_id == id) {
                record.line(&format!("CONFIG: {id} was run by the old service"));
                violations += 1;
            }
        }
    }
    Ok((violations, "requests were handled as only an older version allows".to_owned()))
}

fn configuration(version: u64, service: &str, has_revoked_key: bool) -> Json {
    let keys = if has_revoked_key { "\"key-kept\",\"key-revoked\"" } else { "\"key-kept\"" };
    let service_text = |name: &str| {
        format!("{{\"name\":\"{name}\",\"health_path\":\"/healthz\",\"max_connections\":96}}")
    };
    let text = format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"r-read\",\"host\":\"site.example\",\
         \"path_prefix\":\"/read/\",\"route_type\":\"safe\",\"timeout_ms\":2000,\
         \"target_latency_ms\":300,\"priority\":1,\"service\":\"{service}\",\"max_attempts\":2,\
         \"public\":false}}],\"services\":[{},{}],\"limits\":{{\"max_header_bytes\":16384,\
         \"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\
         \"tenants\":[{{\"name\":\"org-1\",\"api_keys\":[{keys}]}}]}}",
        service_text("desk-old"),
        service_text("desk-new"),
    );
    Json::parse(&text).expect("a valid configuration")
}
