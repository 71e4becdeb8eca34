//! A server of large responses that measures for how long they stay unread.

use std::net;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time;

use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;

/// Size of the data of an event.
const EVENT_BYTES: usize = 5_000;
/// Time that a test may take.
const HANG_TIME: time::Duration = time::Duration::from_mins(1);

/// A server on loopback; clones share its counts. Paths that begin with `/chat/` get a stream of events,
/// `/upload/hang` gets no answer and `/upload/early` gets one before the body is read; neither body
/// is read. All others get a large answer with a length.
#[derive(Debug, Clone)]
pub struct BulkServer {
    address: net::SocketAddr,
    response_bytes: usize,
    counts: Arc<Mutex<Counts>>,
}

#[derive(Debug, Default)]
struct Counts {
    requests: usize,
    open_responses: usize,
    longest_unread: time::Duration,
}

impl BulkServer {
    pub async fn start(response_bytes: usize) -> Self {
        let listener = tokio::net::TcpListener::bind((net::Ipv4Addr::LOCALHOST, 0))
            .await
            .expect("a free port");
        let address = listener.local_addr().expect("a bound address");
        let server = Self { address, response_bytes, counts: Arc::default() };
        let accepting = server.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(accepting.clone().serve(stream));
            }
        });
        server
    }

    /// The store entry of the server.
    pub fn entry(&self, service: &str) -> serde_json::Value {
        serde_json::json!({
            "service": service, "address": self.address, "zone": "dc-1", "version": "v1",
            "slots": 1_000, "state": "ready", "cold_remaining_ms": 0, "sequence": 1,
        })
    }

    /// Number of requests that have arrived.
    pub fn requests(&self) -> usize {
        self.with_counts(|counts| counts.requests)
    }

    /// Number of responses that are being sent.
    pub fn open_responses(&self) -> usize {
        self.with_counts(|counts| counts.open_responses)
    }

    /// Longest time for which a response could not be written further.
    pub fn longest_unread(&self) -> time::Duration {
        self.with_counts(|counts| counts.longest_unread)
    }

    fn with_counts<F, T>(&self, action: F) -> T
    where
        F: FnOnce(&mut Counts) -> T,
    {
        action(&mut self.counts.lock().unwrap_or_else(PoisonError::into_inner))
    }

    async fn serve(self, mut stream: tokio::net::TcpStream) {
        while let Some(head) = read_head(&mut stream).await {
            self.with_counts(|counts| counts.requests += 1);
            if head.contains("/upload/hang ") {
                tokio::time::sleep(HANG_TIME).await;
                break;
            }
            if head.contains("/upload/early ") {
                let answer = response_head(&head, "content-length: 0\r\n");
                if stream.write_all(answer.as_bytes()).await.is_ok() {
                    tokio::time::sleep(HANG_TIME).await;
                }
                break;
            }
            self.with_counts(|counts| counts.open_responses += 1);
            let is_written = self.respond(&mut stream, &head).await;
            self.with_counts(|counts| counts.open_responses -= 1);
            if !is_written {
                break;
            }
        }
    }

    async fn respond(&self, stream: &mut tokio::net::TcpStream, head: &str) -> bool {
        let is_stream = head.contains(" /chat/");
        let framing = if is_stream {
            "content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n".to_owned()
        } else {
            format!("content-length: {}\r\n", self.response_bytes)
        };
        if !self.write(stream, response_head(head, &framing).as_bytes()).await {
            return false;
        }
        let data = "x".repeat(EVENT_BYTES);
        for number in 1..=self.response_bytes / EVENT_BYTES {
            let event = format!("id: {number}\ndata: {data}\n\n");
            let bytes =
                if is_stream { format!("{:x}\r\n{event}\r\n", event.len()) } else { data.clone() };
            if !self.write(stream, bytes.as_bytes()).await {
                return false;
            }
        }
        !is_stream || self.write(stream, b"0\r\n\r\n").await
    }

    /// Writes bytes and notes for how long the connection took none of them.
    async fn write(&self, stream: &mut tokio::net::TcpStream, mut bytes: &[u8]) -> bool {
        while !bytes.is_empty() {
            let started_at = time::Instant::now();
            let written = stream.write(bytes).await;
            let unread = started_at.elapsed();
            self.with_counts(|counts| counts.longest_unread = counts.longest_unread.max(unread));
            match written {
                Ok(written) => bytes = &bytes[written..],
                Err(_) => return false,
            }
        }
        true
    }
}

/// Reads the head of a request; `None` at the end of the connection.
async fn read_head(stream: &mut tokio::net::TcpStream) -> Option<String> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.ok()?);
    }
    Some(String::from_utf8_lossy(&head).into_owned())
}

/// Head of a response that names the attempt.
fn response_head(request_head: &str, framing: &str) -> String {
    const ID: &str = "x-toucanwall-attempt-id: ";
    let lower = request_head.to_ascii_lowercase();
    let id = lower.lines().find_map(|line| line.strip_prefix(ID)).unwrap_or_default();
    format!("HTTP/1.1 200 OK\r\n{framing}{ID}{id}\r\nx-toucanwall-server-seal: seal\r\n\r\n")
}
