//! The cases: each starts a small deployment, brings its disruption about and judges what clients got.

use std::io::{self, BufReader, Read};
use std::net::TcpStream;
use std::thread;
use std::time::{Duration, Instant};

use crate::fleet::{self, Fleet, Host, Record};
use crate::http;

/// Whether the rule was kept.
pub enum Outcome {
    Held,
    Broken,
}

impl Outcome {
    fn of(breaks: usize) -> Self {
        if breaks == 0 { Self::Held } else { Self::Broken }
    }
}

/// Runs a case in `review/NUMBER`, with its disruption or without.
pub fn run(number: &str, has_trouble: bool) -> io::Result<Outcome> {
    let record = Record::create(&format!("review/{number}/record.txt"))?;
    record.line(if has_trouble { "with the disruption" } else { "without the disruption" });
    let fleet = Fleet::start(record)?;
    match number {
        "6" => cut_answers(&fleet, has_trouble),
        "7" => slow_readers(&fleet, has_trouble),
        _ => Err(io::Error::other("no such case")),
    }
}

/// The ids of the events in a body.
fn event_ids(body: &[u8]) -> Vec<u64> {
    let text = String::from_utf8_lossy(body);
    text.lines().filter_map(|line| line.strip_prefix("id: ")?.parse().ok()).collect()
}

/// A request on its way, in a thread of its own.
type Pending = thread::JoinHandle<io::Result<http::Response>>;

fn request(host: &Host, method: &str, path: &str, id: &str) -> io::Result<Pending> {
    let stream = fleet::send(host, method, path, id, b"")?;
    Ok(thread::spawn(move || http::read_response(&mut BufReader::new(stream))))
}

/// Servers that have announced that they leave are gone within their answers.
fn cut_answers(fleet: &Fleet, has_trouble: bool) -> io::Result<Outcome> {
    const BODY_BYTES: usize = 4_000;
    const EVENTS: u64 = 40;
    let record = &fleet.record;
    fleet.store.put("config", "main", &fleet::configuration(2));
    let plain = ["unframed", "body_bytes=4000", "parts=40", "part_ms=100"];
    let stream = ["unframed", "events=40", "gap_ms=100"];
    let desk = fleet.add_server("desk-1", &plain)?;
    let engine = fleet.add_server("engine-1", &stream)?;
    fleet.register(&desk, "desk", "ready");
    fleet.register(&engine, "engines", "ready");
    let host = fleet.add_host("host-1")?;
    let mut pending = Vec::new();
    for number in 0..3 {
        for (method, route) in [("POST", "book"), ("GET", "read"), ("POST", "draft")] {
            let id = format!("{route}-{number}");
            record.line(&format!("client: sends {id}"));
            pending.push((id.clone(), request(&host, method, &format!("/{route}/x"), &id)?));
        }
    }
    thread::sleep(Duration::from_millis(500));
    // Others take over before these leave.
    let next_desk = fleet.add_server("desk-2", &plain)?;
    let next_engine = fleet.add_server("engine-2", &stream)?;
    fleet.register(&next_desk, "desk", "ready");
    fleet.register(&next_engine, "engines", "ready");
    if has_trouble {
        fleet.register(&desk, "desk", "draining");
        fleet.register(&engine, "engines", "draining");
        thread::sleep(Duration::from_secs(2));
        for server in [&desk, &engine] {
            record.line(&format!("server {} is gone, 2 s after it said that it leaves", server.id));
            server.process.signal("-KILL");
        }
    }
    let mut breaks = 0;
    for (id, pending) in pending {
        let Ok(response) = pending.join().unwrap() else {
            record.line(&format!("client: {id} got no answer"));
            continue;
        };
        let is_whole = if id.starts_with("draft") {
            event_ids(&response.body) == (1..=EVENTS).collect::<Vec<_>>()
        } else {
            response.body.len() == BODY_BYTES
        };
        let looks_complete = response.status == 200 && response.is_complete;
        let is_broken = looks_complete && !is_whole;
        breaks += usize::from(is_broken);
        record.line(&format!(
            "client: {id} got status {}, {} bytes, {} events, seal {:?}, framing complete: {}, whole: {is_whole}{}",
            response.status,
            response.body.len(),
            event_ids(&response.body).len(),
            response.headers.get("x-toucanwall-server-seal"),
            response.is_complete,
            if is_broken { " -- BROKEN: looks complete and is not" } else { "" }
        ));
    }
    record.line(&format!("{breaks} answers that ended early look complete"));
    Ok(Outcome::of(breaks))
}

/// A host gets SIGTERM while clients read their answers slowly.
fn slow_readers(fleet: &Fleet, has_trouble: bool) -> io::Result<Outcome> {
    const BODY_BYTES: usize = 1_000_000;
    const PART_BYTES: usize = 16_384;
    const PART_PAUSE: Duration = Duration::from_millis(90);
    let record = &fleet.record;
    fleet.store.put("config", "main", &fleet::configuration(2));
    let desk = fleet.add_server("desk-1", &[&format!("body_bytes={BODY_BYTES}")])?;
    fleet.register(&desk, "desk", "ready");
    let host = fleet.add_host("host-1")?;
    let read_slowly = |mut stream: TcpStream| {
        let (mut bytes, mut part) = (Vec::new(), vec![0; PART_BYTES]);
        let sent = Instant::now();
        let is_whole = |bytes: &[u8]| {
            let mut reader = bytes;
            http::read_response(&mut reader).is_ok_and(|response| response.is_complete)
        };
        loop {
            match stream.read(&mut part) {
                Ok(0) => break (bytes, sent.elapsed(), "end of the connection".to_owned()),
                Ok(count) => bytes.extend_from_slice(&part[..count]),
                Err(error) => break (bytes, sent.elapsed(), error.to_string()),
            }
            if bytes.len() > BODY_BYTES && is_whole(&bytes) {
                break (bytes, sent.elapsed(), "whole answer".to_owned());
            }
            thread::sleep(PART_PAUSE);
        }
    };
    let mut pending = Vec::new();
    for number in 0..3 {
        for (method, route) in [("POST", "book"), ("GET", "read")] {
            let id = format!("{route}-{number}");
            record.line(&format!("client: sends {id}"));
            let stream = fleet::send(&host, method, &format!("/{route}/x"), &id, b"")?;
            pending.push((id, thread::spawn(move || read_slowly(stream))));
        }
    }
    thread::sleep(Duration::from_millis(500));
    let terminated = Instant::now();
    let mut host = host;
    if has_trouble {
        record.line("host host-1 gets SIGTERM");
        host.process.signal("-TERM");
        while host.process.child.try_wait()?.is_none() {
            if terminated.elapsed() > Duration::from_secs(fleet::GRACE_S) {
                record.line("host host-1 gets SIGKILL after grace_s");
                host.process.signal("-KILL");
            }
            thread::sleep(Duration::from_millis(10));
        }
        let after_ms = terminated.elapsed().as_millis();
        record.line(&format!("host host-1 has ended {after_ms} ms after SIGTERM"));
    }
    let mut breaks = 0;
    for (id, pending) in pending {
        let (bytes, took, ending) = pending.join().unwrap();
        let response = http::read_response(&mut bytes.as_slice()).unwrap_or_default();
        let has_run = desk.count(&format!("run {id} ")) > 0;
        let is_broken = has_run && !response.is_complete;
        breaks += usize::from(is_broken);
        record.line(&format!(
            "client: {id} got status {} and {} of {BODY_BYTES} bytes until {} ms after it was sent ({ending}){}",
            response.status,
            response.body.len(),
            took.as_millis(),
            if is_broken { " -- BROKEN: ran, and the answer was cut off" } else { "" }
        ));
    }
    record.line(&format!("{breaks} answers were cut off"));
    Ok(Outcome::of(breaks))
}
