//! Callers, and checks of each response that they receive.

use std::sync::Arc;
use std::sync::atomic;
use std::time;

use rand::RngExt as _;
use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;
use toucanwall_platform_standin::backend;
use toucanwall_platform_standin::broken_stream::GARBAGE;

use crate::deployment;
use crate::deployment::BOOKING_PATH;
use crate::deployment::CRASHING_PART;
use crate::deployment::FIRST_PART;
use crate::gateway_fleet;

impl deployment::Deployment {
    /// Sends requests one after the other until the test is finished.
    pub async fn run_caller(self: Arc<Self>, caller: u64, mut rng: deployment::Rng) {
        let mut number = 0;
        while !self.is_finished.load(atomic::Ordering::SeqCst) {
            number += 1;
            let part = rng.random_range(0..deployment::SOUND_PARTS + 1);
            let is_crashing = part == deployment::SOUND_PARTS;
            let id = format!(
                "{}c{caller}-{number}",
                if is_crashing { deployment::CRASHING_ID } else { "" }
            );
            let host = rng.random_range(0..deployment::host_count());
            let (method, path) = [
                ("GET", "/read/x"),
                ("POST", deployment::BOOKING_PATH),
                ("POST", "/chat/x"),
                ("POST", "/lab/x"),
            ][rng.random_range(0..4)];
            let (path, prompt) = if is_crashing {
                (format!("/lab/{id}"), format!("{FIRST_PART}:9,{CRASHING_PART}:9,a{number:x}:9"))
            } else {
                (path.to_owned(), format!("{FIRST_PART}:9,d{part}:9,a{number:x}:9"))
            };
            let method = if is_crashing { "POST" } else { method };
            self.requests_sent.fetch_add(1, atomic::Ordering::SeqCst);
            self.record_request(&id, host);
            let response = {
                let fleet = self.fleet.read().await;
                let headers = prompt_headers(&prompt);
                let request = fleet.prepare_request_with(host, method, &path, &id, &headers);
                drop(fleet);
                tokio::time::timeout(time::Duration::from_secs(8), request.send()).await
            };
            if let Ok(Some(response)) = response {
                self.check_response(&path, &id, &response);
            }
            tokio::time::sleep(time::Duration::from_millis(rng.random_range(1..15))).await;
        }
    }

    pub fn check_response(&self, path: &str, id: &str, response: &gateway_fleet::Response) {
        let claims_not_executed = [408, 421, 429, 503].contains(&response.status);
        if claims_not_executed
            && path == deployment::BOOKING_PATH
            && self.bookings().contains_key(id)
        {
            self.record_violation(format!(
                "{id} was refused with status {} but executed",
                response.status
            ));
        }
        if response.status != 200 {
            return;
        }
        if response.header("x-toucanwall-attempt-id") != Some(id) {
            self.record_violation(format!(
                "{id} received the response to another request: {response:?}"
            ));
        }
        if path.starts_with("/chat/") || path.starts_with("/lab/") {
            let numbers = gateway_fleet::event_numbers(&response.body);
            let expected: Vec<u64> = (1..=deployment::LAST_EVENT).collect();
            let is_expected = if response.is_complete {
                numbers == expected
            } else {
                expected.starts_with(&numbers)
            };
            if !is_expected || response.body.contains(GARBAGE) {
                self.record_violation(format!("{id} received events {numbers:?}: {response:?}"));
            }
        } else if response.is_complete && response.body != backend::RESPONSE_BODY {
            self.record_violation(format!("{id} received a wrong body: {response:?}"));
        }
        if response.is_complete {
            self.requests_served.fetch_add(1, atomic::Ordering::SeqCst);
        }
    }

    /// Sends bookings on one connection after the other, each for as long as the connection lasts,
    /// whatever its responses say.
    pub async fn run_kept_caller(self: Arc<Self>, caller: u64, mut rng: deployment::Rng) {
        let mut number = 0;
        while !self.is_finished.load(atomic::Ordering::SeqCst) {
            let host = rng.random_range(0..deployment::host_count());
            let address = self.fleet.read().await.caller_address(host);
            let Ok(mut stream) = tokio::net::TcpStream::connect(address).await else {
                tokio::time::sleep(time::Duration::from_millis(20)).await;
                continue;
            };
            loop {
                number += 1;
                let id = format!("k{caller}-{number}");
                self.record_request(&id, host);
                let sent = time::Instant::now();
                if !send_booking(&mut stream, &id).await {
                    let ended = time::Instant::now();
                    let mut unanswered = self.unanswered.lock().expect("the lock is not poisoned");
                    unanswered.push(deployment::Unanswered { id, host, sent, ended });
                    break;
                }
                if self.is_finished.load(atomic::Ordering::SeqCst) {
                    return;
                }
                let pause_ms = rng.random_range(1..30);
                tokio::time::sleep(time::Duration::from_millis(pause_ms)).await;
            }
        }
    }
}

/// Sends a booking on a connection; returns whether a complete response arrives.
pub async fn send_booking(stream: &mut tokio::net::TcpStream, id: &str) -> bool {
    let request = format!(
        "POST {BOOKING_PATH} HTTP/1.1\r\nhost: site.example\r\nx-toucanwall-attempt-id: {id}\r\n\
         x-toucanwall-deadline-ms: 3000\r\nauthorization: Token {}\r\ncontent-length: 4\r\n\r\nbook",
        gateway_fleet::KEY
    );
    if stream.write_all(request.as_bytes()).await.is_err() {
        return false;
    }
    let mut bytes = Vec::new();
    loop {
        let mut buffer = [0; 4_096];
        match tokio::time::timeout(time::Duration::from_secs(8), stream.read(&mut buffer)).await {
            Ok(Ok(length)) if length > 0 => bytes.extend_from_slice(&buffer[..length]),
            _ => return false,
        }
        let text = String::from_utf8_lossy(&bytes).to_lowercase();
        if let Some((head, body)) = text.split_once("\r\n\r\n") {
            let length = head.lines().find_map(|line| line.strip_prefix("content-length:"));
            let length: usize = length.and_then(|it| it.trim().parse().ok()).unwrap_or(0);
            if body.len() >= length {
                return true;
            }
        }
    }
}

pub fn prompt_headers(prompt: &str) -> [(&'static str, &str); 2] {
    [("x-toucanwall-prefix-hash", prompt), ("x-toucanwall-token-count", "27,40")]
}
