//! A server follows a complete event of a stream with bytes that are no answer.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use stand_ins::case::Case;
use stand_ins::hosts::Host;
use stand_ins::http::{Connection, Request};
use stand_ins::json::Json;
use stand_ins::server::{self, Server};
use stand_ins::store::Store;

const KEY: &str = "Token key-1";
/// Number of the last event of each stream.
const LAST: u64 = 12;
/// Event after which the faulty server sends bytes that are no answer.
const LAST_SOUND: u64 = 5;
/// Time between two events.
const PAUSE: Duration = Duration::from_millis(30);
/// Bytes that are no answer; they are repeated until the caller closes.
const JUNK: &str = "\u{7f}\u{7f} no event \u{7f}\u{7f}\n\n";
const REQUESTS: usize = 10;

fn main() {
    let case = Case::begin();
    let result = run(&case);
    case.end(result);
}

fn run(case: &Case) -> Result<(usize, String), String> {
    let record = &case.record;
    let store = Store::start(record);
    let has_trouble = case.has_trouble;
    let faulty = Server::start(
        "i-faulty",
        record,
        Arc::new(move |request: &Request, connection: &mut Connection| {
            stream(request, connection, has_trouble)
        }),
    );
    let sound = Server::start(
        "i-sound",
        record,
        Arc::new(|request: &Request, connection: &mut Connection| {
            stream(request, connection, false)
        }),
    );
    for server in [&faulty, &sound] {
        store.put("servers", &server.id, &server::entry("engines", server.address, "ready", 1_000));
    }
    store.put("config", "main", &configuration());
    let host = Host::start(1, store.address, &case.folder);
    if !host.wait_until_ready(record) {
        return Err("the host does not become ready".to_owned());
    }
    thread::sleep(Duration::from_secs(4));

    let (mut violations, mut complete) = (0, 0);
    for number in 0..REQUESTS {
        let target = format!("/chat/{number}");
        let headers = [("Authorization", KEY)];
        let (id, response) = case.send(host.frontend(), "POST", &target, &headers, 10_000);
        let Some(response) = response.filter(|response| response.status == 200) else { continue };
        let ids: Vec<u64> = response
            .text()
            .lines()
            .filter_map(|line| line.strip_prefix("id: ")?.parse().ok())
            .collect();
        let is_gapless = ids.iter().zip(1..).all(|(id, expected)| *id == expected);
        let is_whole = is_gapless && ids.len() as u64 == LAST;
        complete += usize::from(response.is_complete);
        if !is_gapless || (response.is_complete && !is_whole) {
            record.line(&format!(
                "ORDER: {id} got the events {ids:?}, end: {}",
                response.is_complete
            ));
            violations += 1;
        }
        thread::sleep(Duration::from_millis(200));
    }
    if complete == 0 {
        return Err("no stream was served to its end".to_owned());
    }
    Ok((violations, format!("of {REQUESTS} streams miss a piece or hold one twice")))
}

/// Streams the events after the last one that the caller has; a faulty run ends in bytes that are no
/// answer, which begin in the same chunk as the last sound event.
fn stream(request: &Request, connection: &mut Connection, is_faulty: bool) -> bool {
    let id = request.header("x-toucanwall-attempt-id");
    let after: u64 = request.header("last-event-id").parse().unwrap_or(0);
    let head = format!(
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\
         X-Toucanwall-Attempt-Id: {id}\r\nX-Toucanwall-Server-Seal: seal\r\n\r\n"
    );
    if !connection.write(head.as_bytes()) {
        return false;
    }
    for number in after + 1..=LAST {
        let event = format!("id: {number}\ndata: token {number}\n\n");
        let ends_here = is_faulty && number == LAST_SOUND;
        let text = if ends_here { event + JUNK } else { event };
        if !connection.write(chunk(&text).as_bytes()) {
            return false;
        }
        if ends_here {
            // Goes on until the caller closes.
            while connection.write(chunk(JUNK).as_bytes()) {
                thread::sleep(Duration::from_millis(1));
            }
            return false;
        }
        thread::sleep(PAUSE);
    }
    connection.write(b"0\r\n\r\n")
}

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

fn configuration() -> Json {
    let text = "{\"version\":1,\"routes\":[{\"name\":\"r-chat\",\"host\":\"site.example\",\
         \"path_prefix\":\"/chat/\",\"route_type\":\"streaming\",\"timeout_ms\":25000,\
         \"target_latency_ms\":1000,\"priority\":2,\"service\":\"engines\",\"max_attempts\":3,\
         \"public\":false,\"sticky\":true,\"resumable\":true,\"itl_target_ms\":600}],\
         \"services\":[{\"name\":\"engines\",\"health_path\":\"/healthz\",\"max_connections\":610}],\
         \"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},\
         \"tenants\":[{\"name\":\"org-1\",\"api_keys\":[\"key-1\"]}]}";
    Json::parse(text).expect("a valid configuration")
}
