//! Forwards event streams from servers to callers and resumes them after an interruption.

use std::time;

use http_body_util::BodyExt as _;
use toucanwall_platform::response;
use toucanwall_policy::placement;
use toucanwall_routing::configuration;

use crate::attempt;
use crate::exchange;
use crate::memory_budget;
use crate::patience;
use crate::pool;
use crate::sse;

/// Multiple of the route's target pause between events after which a stream times out.
const IDLE_TIMEOUT_FACTOR: u64 = 3;
/// Multiple of the route's target pause between events after which callers leave a stream.
const CALLER_PAUSE_FACTOR: u64 = 8;
/// Multiple of the route's target latency after which callers leave a stream.
const CALLER_LATENCY_FACTOR: u64 = 4;
/// Minimum pause between events after which callers leave a stream, in milliseconds.
const CALLER_PAUSE_MIN_MS: u64 = 2_000;
/// Minimum pause between events after which a stream times out, in milliseconds.
const IDLE_TIMEOUT_MIN_MS: u64 = 1_500;

/// An event stream of which the first event, or the end, has been received.
#[derive(Debug)]
pub struct EventStream {
    head: hyper::http::response::Parts,
    first_events: bytes::Bytes,
    source: Source,
    splitter: sse::EventSplitter,
    exchange: Option<exchange::Exchange>,
    last_event_at: tokio::time::Instant,
    /// When an event arrived that is more than a comment, or the stream was resumed.
    last_progress_at: tokio::time::Instant,
    longest_pause: time::Duration,
    /// When the first event was received, unless the stream has been resumed since.
    begun_at: Option<tokio::time::Instant>,
}

/// Response of the server from which the events are read.
#[derive(Debug)]
struct Upstream {
    head: response::Head,
    body: hyper::body::Incoming,
    connection: pool::Connection,
    in_flight: attempt::InFlight,
    /// Memory of the incomplete event.
    share: memory_budget::Share,
}

/// Where the next events come from.
#[derive(Debug)]
enum Source {
    /// The response of a server.
    Upstream(Box<Upstream>),
    /// No server: its response broke off behind events that have been handed over.
    Broken(attempt::AttemptError),
    /// No server: the stream is complete.
    Ended,
}

/// Item read from the upstream server.
enum UpstreamItem {
    Events(bytes::Bytes),
    /// Events, and why none follow.
    LastEvents(bytes::Bytes, attempt::AttemptError),
    End,
}

/// Result of advancing a stream.
enum Step {
    Forward(bytes::Bytes),
    End,
    Abort(&'static str),
}

/// Error that ends a stream before it is complete. The caller's connection is closed before the end
/// of the body, so that the caller notices the truncation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(thiserror::Error)]
#[error("stream aborted: {0}")]
pub struct StreamError(&'static str);

impl StreamError {
    /// The deadline of the request has passed.
    pub const DEADLINE: Self = Self("deadline exceeded");
    /// The host has shut down.
    pub const STOPPING: Self = Self("host stops");
    /// The memory for bytes of other processes is exceeded.
    pub const NO_MEMORY: Self = Self("no memory");
}

/// Returns whether a response is an event stream. An error is none, whatever its type.
#[must_use]
pub fn is_event_stream(opened: &attempt::OpenResponse) -> bool {
    let content_type = opened.parts.headers.get(hyper::header::CONTENT_TYPE);
    opened.head.status.is_success()
        && content_type.is_some_and(|value| value.as_bytes().starts_with(b"text/event-stream"))
}

impl EventStream {
    /// Waits for the first complete event of a response, or for its end.
    ///
    /// # Errors
    /// The response fails before the first event, or its first event does not follow the last one
    /// that the caller has received.
    pub async fn begin(
        opened: attempt::OpenResponse,
        mut splitter: sse::EventSplitter,
        timeout: time::Duration,
    ) -> Result<Self, attempt::AttemptError> {
        let attempt::OpenResponse { head, parts, body, connection, in_flight } = opened;
        let share = in_flight.open_share();
        let mut upstream = Upstream { head, body, connection, in_flight, share };
        let (first_events, source) = match upstream.next(&mut splitter, timeout).await? {
            UpstreamItem::Events(first_events) => {
                (first_events, Source::Upstream(Box::new(upstream)))
            }
            UpstreamItem::LastEvents(first_events, error) => (first_events, Source::Broken(error)),
            UpstreamItem::End => {
                upstream.finish();
                (bytes::Bytes::new(), Source::Ended)
            }
        };
        Ok(Self {
            head: parts,
            first_events,
            source,
            splitter,
            exchange: None,
            last_event_at: tokio::time::Instant::now(),
            last_progress_at: tokio::time::Instant::now(),
            longest_pause: time::Duration::ZERO,
            begun_at: Some(tokio::time::Instant::now()),
        })
    }

    /// Lets a break of the stream count as evidence on the server's version.
    pub fn count_break(&mut self) {
        if let Source::Upstream(upstream) = &mut self.source {
            upstream.in_flight.count_break();
        }
    }

    /// Attaches the request, so that the stream can be resumed on another server.
    pub fn attach_exchange(&mut self, exchange: exchange::Exchange) {
        self.exchange = Some(exchange);
    }

    /// Returns the status and headers from the server that started the stream.
    #[must_use]
    pub fn head(&self) -> &hyper::http::response::Parts {
        &self.head
    }

    /// Returns the next bytes to forward, or `None` at the end.
    ///
    /// # Errors
    /// [`StreamError`] if the stream cannot be completed.
    pub async fn next(&mut self) -> Option<Result<bytes::Bytes, StreamError>> {
        if !self.first_events.is_empty() {
            return Some(Ok(std::mem::take(&mut self.first_events)));
        }
        loop {
            match self.advance().await {
                Step::Forward(bytes) if bytes.is_empty() => {}
                Step::Forward(bytes) => {
                    self.longest_pause = self.longest_pause.max(self.last_event_at.elapsed());
                    self.last_event_at = tokio::time::Instant::now();
                    return Some(Ok(bytes));
                }
                Step::End => {
                    self.record_pace();
                    self.log_end();
                    return None;
                }
                Step::Abort(reason) => return Some(Err(StreamError(reason))),
            }
        }
    }

    /// Leaves a time in which the stream was not read out of its pauses: the server may have gone on.
    pub fn discount(&mut self, unread: time::Duration) {
        self.last_progress_at += unread;
        self.last_event_at += unread;
    }

    /// Returns the request, if one is attached.
    #[must_use]
    pub fn exchange(&self) -> Option<&exchange::Exchange> {
        self.exchange.as_ref()
    }

    /// Records the pace of a complete stream that one server has sent from the first event on.
    fn record_pace(&self) {
        let (Some(exchange), Some(begun_at)) = (&self.exchange, self.begun_at) else { return };
        if exchange.head.last_event_id.is_none() {
            let duration = self.last_progress_at.saturating_duration_since(begun_at);
            let duration_ms = u64::try_from(duration.as_millis()).unwrap_or(u64::MAX);
            let events = self.splitter.events();
            exchange.state.record_stream_pace(exchange.pace_key(), events, duration_ms);
        }
    }

    fn log_end(&self) {
        if let Some(exchange) = &self.exchange {
            let longest_pause_ms =
                u64::try_from(self.longest_pause.as_millis()).unwrap_or(u64::MAX);
            log::info!(
                target: "toucanwall",
                request = &*exchange.head.attempt_id, route = exchange.route.name.as_str(),
                last_event = self.splitter.last_id(), attempts = exchange.attempts,
                longest_pause_ms = longest_pause_ms, left_ms = exchange.remaining_ms();
                "stream ended"
            );
        }
    }

    async fn advance(&mut self) -> Step {
        // Comments show that the connection works, not that the server makes progress.
        let timeout = self.idle_timeout().saturating_sub(self.last_progress_at.elapsed());
        let events_before = self.splitter.events();
        let item = match &mut self.source {
            Source::Upstream(upstream) => upstream.next(&mut self.splitter, timeout).await,
            Source::Broken(_) => return self.resume().await,
            Source::Ended => return Step::End,
        };
        if self.splitter.events() > events_before {
            self.last_progress_at = tokio::time::Instant::now();
        }
        // Replacing the source closes the connection, which cancels the request there, before another
        // server resumes it.
        match item {
            Ok(UpstreamItem::Events(bytes)) => Step::Forward(bytes),
            Ok(UpstreamItem::LastEvents(bytes, error)) => {
                self.splitter.discard_incomplete();
                self.source = Source::Broken(error);
                Step::Forward(bytes)
            }
            Ok(UpstreamItem::End) => {
                if let Source::Upstream(upstream) =
                    std::mem::replace(&mut self.source, Source::Ended)
                {
                    upstream.finish();
                }
                Step::End
            }
            Err(error) => {
                self.splitter.discard_incomplete();
                self.source = Source::Broken(error);
                self.resume().await
            }
        }
    }

    /// Lets another server go on after a break.
    async fn resume(&mut self) -> Step {
        let (Source::Broken(error), Some(exchange)) = (&self.source, &mut self.exchange) else {
            return Step::Abort("stream has no request to resume");
        };
        log::info!(
            target: "toucanwall",
            request = &*exchange.head.attempt_id, last_event = self.splitter.last_id(),
            attempt = exchange.attempts, left_ms = exchange.remaining_ms(), why = error.to_string();
            "stream interrupted"
        );
        exchange.state.metrics.record_attempt_error(error);
        exchange.last_event_id = self.splitter.last_id().or(exchange.last_event_id);
        match exchange.resume().await {
            Ok(opened) => {
                let attempt::OpenResponse { head, body, connection, in_flight, .. } = opened;
                self.splitter = sse::EventSplitter::resume_after(exchange.last_event_id);
                self.last_progress_at = tokio::time::Instant::now();
                self.begun_at = None;
                let share = in_flight.open_share();
                let upstream = Upstream { head, body, connection, in_flight, share };
                self.source = Source::Upstream(Box::new(upstream));
                Step::Forward(bytes::Bytes::new())
            }
            Err(reason) => Step::Abort(reason),
        }
    }

    fn idle_timeout(&self) -> time::Duration {
        let Some(exchange) = &self.exchange else {
            return time::Duration::from_millis(IDLE_TIMEOUT_MIN_MS);
        };
        let route = &exchange.route;
        let pause_ms = route.target_inter_event_ms.unwrap_or(IDLE_TIMEOUT_MIN_MS);
        let timeout_ms = if route.idempotency == configuration::Idempotency::Resumable {
            (pause_ms * IDLE_TIMEOUT_FACTOR).max(IDLE_TIMEOUT_MIN_MS)
        } else {
            // No other server can go on, so the stream may take as long as its caller waits.
            (pause_ms * CALLER_PAUSE_FACTOR)
                .max(route.target_latency_ms * CALLER_LATENCY_FACTOR)
                .max(CALLER_PAUSE_MIN_MS)
        };
        time::Duration::from_millis(timeout_ms.min(exchange.remaining_ms()))
    }
}

impl Upstream {
    /// Returns the next complete events, or the end of the stream.
    async fn next(
        &mut self,
        splitter: &mut sse::EventSplitter,
        timeout: time::Duration,
    ) -> Result<UpstreamItem, attempt::AttemptError> {
        let until = tokio::time::Instant::now() + timeout;
        loop {
            let reading = self.share.unless_evicted(self.body.frame());
            let read = match patience::until(until, reading).await {
                Ok(Err(exceeded)) => return Err(self.give_up(exceeded)),
                Ok(Ok(read)) => Ok(read),
                Err(elapsed) => Err(elapsed),
            };
            let frame = match read {
                Ok(Some(Ok(frame))) => frame,
                Ok(None) if !splitter.is_at_boundary() => {
                    let reason = "stream ended within an event".to_owned();
                    return Err(self.in_flight.record_break(reason).await);
                }
                // The end of the connection before the first event is no answer. A resumed stream may
                // have no events left, but then its server looks like one that has ended.
                Ok(None) if splitter.events() == 0 && self.in_flight.ends_with_connection() => {
                    let reason = "connection ended before the first event".to_owned();
                    return Err(self.in_flight.record_break(reason).await);
                }
                Ok(None) if self.in_flight.may_be_cut_off().await => {
                    let reason = "server ended with its stream".to_owned();
                    return Err(self.in_flight.record_break(reason).await);
                }
                Ok(None) => return Ok(UpstreamItem::End),
                Ok(Some(Err(error))) => {
                    return Err(self.in_flight.record_break(error.to_string()).await);
                }
                Err(patience::Elapsed) => {
                    self.in_flight.record_outcome(placement::Outcome::Failed);
                    let timeout_ms = u64::try_from(timeout.as_millis()).unwrap_or(u64::MAX);
                    return Err(attempt::AttemptError::TimedOut { timeout_ms });
                }
            };
            let Ok(data) = frame.into_data() else { continue };
            self.in_flight.record_first_byte();
            match splitter.push(&data) {
                sse::Split::Complete(events) if events.is_empty() => {
                    if let Err(exceeded) = self.share.resize(splitter.buffered_bytes()) {
                        return Err(self.give_up(exceeded));
                    }
                }
                sse::Split::Complete(events) => {
                    self.record_events(splitter);
                    return Ok(match self.share.resize(splitter.buffered_bytes()) {
                        Ok(()) => UpstreamItem::Events(events),
                        Err(exceeded) => UpstreamItem::LastEvents(events, self.give_up(exceeded)),
                    });
                }
                sse::Split::Broken { events, error } => {
                    self.in_flight.record_outcome(placement::Outcome::Failed);
                    let error = attempt::AttemptError::Broken(error.to_string());
                    if events.is_empty() {
                        return Err(error);
                    }
                    self.record_events(splitter);
                    return Ok(UpstreamItem::LastEvents(events, error));
                }
            }
        }
    }

    /// Ends the response because it takes up too much memory.
    fn give_up(&mut self, exceeded: memory_budget::Exceeded) -> attempt::AttemptError {
        self.in_flight.record_outcome(placement::Outcome::Failed);
        attempt::AttemptError::TooLarge(exceeded.to_string())
    }

    fn record_events(&mut self, splitter: &sse::EventSplitter) {
        if let Some(last_event_id) = splitter.last_id() {
            self.in_flight.record_events(last_event_id);
        }
    }

    fn finish(mut self) {
        self.in_flight.record_success();
        self.in_flight.release_connection(self.connection, self.head.keep_alive);
    }
}
