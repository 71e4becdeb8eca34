//! Streams of events on their way from a server to a caller.

use std::time;

use http_body_util::BodyExt as _;
use toucanwall_platform::response;
use toucanwall_policy::placement;

use crate::attempt;
use crate::events;
use crate::exchange;
use crate::pool;

/// Pauses that the route aims at after which a stream counts as silent.
const SILENT_PAUSES: u64 = 3;
/// Shortest pause after which a stream counts as silent, in milliseconds.
const SILENT_MIN_MS: u64 = 1_500;

/// A stream that has begun.
#[derive(Debug)]
pub struct Stream {
    head: hyper::http::response::Parts,
    first: bytes::Bytes,
    source: Option<Source>,
    events: events::Events,
    exchange: Option<exchange::Exchange>,
    last_event_at: tokio::time::Instant,
    longest_pause: time::Duration,
}

/// Where the events come from.
#[derive(Debug)]
struct Source {
    head: response::Head,
    body: hyper::body::Incoming,
    connection: pool::Connection,
    visit: attempt::Visit,
}

/// What came next from a server.
enum Piece {
    Events(bytes::Bytes),
    End,
}

/// What comes next of a stream.
enum Next {
    PassOn(bytes::Bytes),
    End,
    BreakOff(&'static str),
}

/// A stream that cannot be finished; its connection is closed without an end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(thiserror::Error)]
#[error("the stream broke off: {0}")]
pub struct BrokenOff(&'static str);

/// Whether an answer is a stream of events.
#[must_use]
pub fn is_stream(parts: &hyper::http::response::Parts) -> bool {
    let content_type = parts.headers.get(hyper::header::CONTENT_TYPE);
    content_type.is_some_and(|value| value.as_bytes().starts_with(b"text/event-stream"))
}

impl Stream {
    /// Waits for the first whole event of an answer.
    ///
    /// # Errors
    /// The answer breaks off before it, or does not follow what the caller has.
    pub async fn begin(
        opened: attempt::Opened,
        mut events: events::Events,
        patience: time::Duration,
    ) -> Result<Self, attempt::Fault> {
        let attempt::Opened { head, parts, body, connection, visit } = opened;
        let mut source = Source { head, body, connection, visit };
        let (first, source) = match source.next(&mut events, patience).await {
            Ok(Piece::Events(first)) => (first, Some(source)),
            Ok(Piece::End) => {
                source.finish();
                (bytes::Bytes::new(), None)
            }
            Err(fault) => return Err(fault),
        };
        Ok(Self {
            head: parts,
            first,
            source,
            events,
            exchange: None,
            last_event_at: tokio::time::Instant::now(),
            longest_pause: time::Duration::ZERO,
        })
    }

    /// Hands over the request, so that the stream can go on at another server.
    pub fn adopt(&mut self, exchange: exchange::Exchange) {
        self.exchange = Some(exchange);
    }

    /// The status and headers of the server that began it.
    #[must_use]
    pub fn head(&self) -> &hyper::http::response::Parts {
        &self.head
    }

    /// The next bytes to pass on; nothing at its end.
    ///
    /// # Errors
    /// [`BrokenOff`] if it cannot be finished.
    pub async fn next(&mut self) -> Option<Result<bytes::Bytes, BrokenOff>> {
        if !self.first.is_empty() {
            return Some(Ok(std::mem::take(&mut self.first)));
        }
        loop {
            match self.step().await {
                Next::PassOn(bytes) if bytes.is_empty() => {}
                Next::PassOn(bytes) => {
                    self.longest_pause = self.longest_pause.max(self.last_event_at.elapsed());
                    self.last_event_at = tokio::time::Instant::now();
                    return Some(Ok(bytes));
                }
                Next::End => {
                    self.log_end();
                    return None;
                }
                Next::BreakOff(reason) => return Some(Err(BrokenOff(reason))),
            }
        }
    }

    /// Breaks the stream off since its time is up.
    #[must_use]
    pub fn overdue(&mut self) -> BrokenOff {
        self.source = None;
        BrokenOff("its time is up")
    }

    /// The request that it answers.
    #[must_use]
    pub fn exchange(&self) -> Option<&exchange::Exchange> {
        self.exchange.as_ref()
    }

    fn log_end(&self) {
        if let Some(exchange) = &self.exchange {
            let longest_pause_ms =
                u64::try_from(self.longest_pause.as_millis()).unwrap_or(u64::MAX);
            log::info!(
                target: "toucanwall",
                request = &*exchange.head.attempt_id, route = exchange.route.name.as_str(),
                last_event = self.events.last_id(), attempts = exchange.attempts,
                longest_pause_ms = longest_pause_ms, left_ms = exchange.left_ms(); "stream ended"
            );
        }
    }

    async fn step(&mut self) -> Next {
        let patience = self.patience();
        let Some(source) = &mut self.source else {
            return Next::End;
        };
        match source.next(&mut self.events, patience).await {
            Ok(Piece::Events(bytes)) => Next::PassOn(bytes),
            Ok(Piece::End) => {
                if let Some(source) = self.source.take() {
                    source.finish();
                }
                Next::End
            }
            Err(fault) => {
                // The connection is closed before another server goes on with the same run.
                self.source = None;
                self.resume(&fault).await
            }
        }
    }

    async fn resume(&mut self, fault: &attempt::Fault) -> Next {
        let Some(exchange) = &mut self.exchange else {
            return Next::BreakOff("it cannot be resumed");
        };
        log::info!(
            target: "toucanwall",
            request = &*exchange.head.attempt_id, last_event = self.events.last_id(),
            attempt = exchange.attempts, left_ms = exchange.left_ms(), why = fault.to_string();
            "stream interrupted"
        );
        exchange.traffic.metrics.attempt_failed(fault);
        exchange.last_event_id = self.events.last_id().or(exchange.last_event_id);
        match exchange.resume().await {
            Ok(opened) => {
                let attempt::Opened { head, body, connection, visit, .. } = opened;
                self.events = events::Events::after(exchange.last_event_id);
                self.source = Some(Source { head, body, connection, visit });
                Next::PassOn(bytes::Bytes::new())
            }
            Err(reason) => Next::BreakOff(reason),
        }
    }

    fn patience(&self) -> time::Duration {
        let Some(exchange) = &self.exchange else {
            return time::Duration::from_millis(SILENT_MIN_MS);
        };
        let pause_ms = exchange.route.target_inter_event_ms.unwrap_or(SILENT_MIN_MS);
        let silent_ms = (pause_ms * SILENT_PAUSES).max(SILENT_MIN_MS);
        time::Duration::from_millis(silent_ms.min(exchange.left_ms()))
    }
}

impl Source {
    /// The next whole events, or the end.
    async fn next(
        &mut self,
        events: &mut events::Events,
        patience: time::Duration,
    ) -> Result<Piece, attempt::Fault> {
        let until = tokio::time::Instant::now() + patience;
        loop {
            let frame = match tokio::time::timeout_at(until, self.body.frame()).await {
                Ok(Some(Ok(frame))) => frame,
                Ok(None) if events.is_whole() => return Ok(Piece::End),
                Ok(None) => {
                    return Err(self.failed("the stream ends within an event".to_owned()));
                }
                Ok(Some(Err(error))) => return Err(self.failed(error.to_string())),
                Err(_elapsed) => {
                    self.visit.ended(placement::Outcome::Failed);
                    let patience_ms = u64::try_from(patience.as_millis()).unwrap_or(u64::MAX);
                    return Err(attempt::Fault::Silent { patience_ms });
                }
            };
            let Ok(data) = frame.into_data() else { continue };
            self.visit.first_byte();
            match events.take(&data) {
                Ok(whole) if whole.is_empty() => {}
                Ok(whole) => return Ok(Piece::Events(whole)),
                Err(error) => return Err(self.failed(error.to_string())),
            }
        }
    }

    fn failed(&mut self, why: String) -> attempt::Fault {
        self.visit.ended(placement::Outcome::Failed);
        attempt::Fault::Broken(why)
    }

    fn finish(mut self) {
        self.visit.ended(placement::Outcome::Fine);
        self.visit.keep(self.connection, self.head.keep_alive);
    }
}
