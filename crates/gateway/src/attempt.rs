//! One send of a request to one backend server.

use std::sync::Arc;
use std::time;

use toucanwall_platform::answer;
use toucanwall_policy::canary;
use toucanwall_policy::placement;
use toucanwall_routing::server;

use crate::exchange;
use crate::execution;
use crate::pool;
use crate::state;

/// An answer whose head has come.
#[derive(Debug)]
pub struct OpenResponse {
    /// What the router reads in its head.
    pub head: answer::Head,
    /// Its status and headers.
    pub parts: hyper::http::response::Parts,
    /// Its body.
    pub body: hyper::body::Incoming,
    /// The connection that it comes on.
    pub connection: pool::Connection,
    /// The stay at the server.
    pub in_flight: InFlight,
}

/// Why a send has no answer.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub enum AttemptError {
    /// The server takes no connection.
    #[error("no connection: {0}")]
    Unreachable(std::io::Error),
    /// The connection was closed before anything was written.
    #[error("the idle connection was closed before the request was written")]
    NotWritten,
    /// The server says that it did not run the request.
    #[error("declined with status {}", .0.status)]
    Declined(Box<answer::Head>),
    /// The connection broke off, or what came is no answer.
    #[error("broke off: {0}")]
    Broken(String),
    /// Nothing came for too long.
    #[error("no response within {timeout_ms} ms")]
    TimedOut {
        /// Time that was waited, in milliseconds.
        timeout_ms: u64,
    },
    /// What came answers another request, or does not say which.
    #[error("answered another request")]
    Mismatched,
    /// An answer that no server has sealed, or in an encoding that servers do not use.
    #[error("an answer without the server's seal")]
    Unsealed,
    /// The status would promise that the request has not run, and nothing proves it.
    #[error("status {0} without a proof that the request has not run")]
    UnprovedNotRun(hyper::StatusCode),
    /// The server failed the request, and says so.
    #[error("failed by the server with status {0}")]
    ServerError(hyper::StatusCode),
}

/// A request's stay at a server; its end is noted when it is dropped.
#[derive(Debug)]
pub struct InFlight {
    state: Arc<state::GatewayState>,
    /// The server.
    pub server: Arc<server::BackendServer>,
    side: Option<canary::Side>,
    route_hash: u64,
    forecast_key: state::ForecastKey,
    /// Work of reading its prompt.
    prompt_units: u64,
    /// Work that lay before its first byte.
    units_before_first_byte: u64,
    /// Connections to the server that may rest.
    idle_max: u32,
    sent_at_ms: u64,
    has_first_byte: bool,
    ending: Option<placement::Ending>,
}

/// Sends a request to a server and waits for the head of the answer.
///
/// # Errors
/// The [`Fault`], and the proof that the request did not run, where there is one.
pub async fn send(
    exchange: &exchange::Exchange,
    assignment: exchange::Assignment,
    timeout: time::Duration,
) -> Result<OpenResponse, (AttemptError, Option<execution::NotRunProof>)> {
    let mut in_flight = InFlight::start(exchange, assignment);
    let not_written = Some(execution::NotRunProof::nothing_written());
    let reuse_policy = if exchange.is_retry_safe() {
        pool::ReusePolicy::AllowIdle
    } else {
        pool::ReusePolicy::NewOnly
    };
    let mut reuse_policy = Some(reuse_policy);
    loop {
        let connecting = exchange
            .state
            .pool
            .connect(&in_flight.server, reuse_policy.unwrap_or(pool::ReusePolicy::NewOnly));
        let mut connection = match connecting.await {
            Ok(connection) => connection,
            Err(error) => {
                in_flight.record_ending(placement::Ending::Unreachable);
                return Err((AttemptError::Unreachable(error), not_written));
            }
        };
        exchange.state.metrics.record_connection(connection.is_new());
        let request = exchange.request_to(&in_flight.server).map_err(|error| {
            let error = AttemptError::Broken(error.to_string());
            (error, not_written)
        })?;
        let response = match tokio::time::timeout(timeout, connection.send(request)).await {
            Ok(Ok(response)) => response,
            // An idle connection that was closed meanwhile says nothing about the server.
            Ok(Err(pool::SendError::NotWritten)) if !connection.is_new() => {
                reuse_policy = None;
                continue;
            }
            Ok(Err(pool::SendError::NotWritten)) => {
                in_flight.record_ending(placement::Ending::Failed);
                return Err((AttemptError::NotWritten, not_written));
            }
            Ok(Err(pool::SendError::Broken(error))) => {
                in_flight.record_ending(placement::Ending::Failed);
                return Err((AttemptError::Broken(error.to_string()), None));
            }
            Err(_elapsed) => {
                in_flight.record_ending(placement::Ending::Failed);
                let timeout_ms = u64::try_from(timeout.as_millis()).unwrap_or(u64::MAX);
                return Err((AttemptError::TimedOut { timeout_ms }, None));
            }
        };
        let (parts, body) = response.into_parts();
        let head = answer::decode(&parts, &exchange.head.attempt_id);
        return validate(OpenResponse { head, parts, body, connection, in_flight });
    }
}

/// Tells an answer of the server to this request from anything else.
fn validate(
    mut opened: OpenResponse,
) -> Result<OpenResponse, (AttemptError, Option<execution::NotRunProof>)> {
    let head = &opened.head;
    if head.is_own == Some(false) {
        opened.in_flight.record_ending(placement::Ending::Failed);
        return Err((AttemptError::Mismatched, None));
    }
    opened.in_flight.record_load(head);
    if let Some(proof) = execution::NotRunProof::from_response(head) {
        opened.in_flight.record_ending(placement::Ending::Fine);
        return Err((AttemptError::Declined(Box::new(head.clone())), Some(proof)));
    }
    let error = if !head.is_sealed || head.is_encoded {
        AttemptError::Unsealed
    } else if head.is_own.is_none() {
        AttemptError::Mismatched
    } else if head.promise == answer::Promise::Unproved {
        AttemptError::UnprovedNotRun(head.status)
    } else {
        return Ok(opened);
    };
    opened.in_flight.record_ending(placement::Ending::Failed);
    Err((error, None))
}

impl InFlight {
    fn start(exchange: &exchange::Exchange, assignment: exchange::Assignment) -> Self {
        let exchange::Assignment { server, side, units } = assignment;
        let state = Arc::clone(&exchange.state);
        let sent_at_ms = state.clock.now_ms();
        let job = exchange.job();
        state.placement().start(&server.id, job, sent_at_ms);
        Self {
            state,
            server,
            side,
            route_hash: exchange.route_hash(),
            forecast_key: (exchange.service.clone(), exchange.model.clone()),
            prompt_units: job.units(),
            units_before_first_byte: units,
            idle_max: exchange.connection_share().idle_max,
            sent_at_ms,
            has_first_byte: false,
            ending: None,
        }
    }

    /// Notes that the first byte of the answer's body has come, or that the answer is whole.
    pub fn record_first_byte(&mut self) {
        if !self.has_first_byte {
            self.has_first_byte = true;
            self.state.placement().first_byte(&self.server.id, self.prompt_units);
            let waited_ms = self.state.clock.now_ms().saturating_sub(self.sent_at_ms);
            self.state.metrics.record_first_byte(waited_ms);
            if self.prompt_units > 0 {
                self.state.record_first_byte_time(
                    self.forecast_key.clone(),
                    self.units_before_first_byte,
                    waited_ms,
                );
            }
            self.record_rollout_sample(false, Some(waited_ms));
        }
    }

    /// Keeps the connection of an answer that is whole, if there is room for it.
    pub fn release_connection(&self, connection: pool::Connection, keep_alive: answer::KeepAlive) {
        self.state.pool.release(connection, keep_alive, self.idle_max);
    }

    /// Notes how it ended.
    pub fn record_ending(&mut self, ending: placement::Ending) {
        if self.ending.is_none() {
            self.ending = Some(ending);
            if ending == placement::Ending::Failed {
                self.record_rollout_sample(true, None);
            }
        }
    }

    fn record_rollout_sample(&self, has_failed: bool, first_byte_ms: Option<u64>) {
        if let Some(side) = self.side {
            let service = &self.server.service;
            let now_ms = self.state.clock.now_ms();
            let rollouts = &self.state.rollouts;
            rollouts.note(service, side, self.route_hash, has_failed, first_byte_ms, now_ms);
        }
    }

    fn record_load(&self, head: &answer::Head) {
        if let Some(load) = head.load {
            let now_ms = self.state.clock.now_ms();
            self.state.placement().report(&self.server.id, load.running, load.waiting, now_ms);
        }
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        let now_ms = self.state.clock.now_ms();
        let mut placement = self.state.placement();
        if !self.has_first_byte {
            placement.first_byte(&self.server.id, self.prompt_units);
        }
        let ending = self.ending.unwrap_or(placement::Ending::Cancelled);
        if placement.end(&self.server.id, ending, now_ms) {
            log::info!(
                target: "toucanwall",
                server = self.server.id.as_str(), service = self.server.service.as_str(),
                last_ending:? = ending; "server left out for a while"
            );
        }
    }
}
