//! One send of a request to one backend server.

use std::sync::Arc;
use std::time;

use toucanwall_platform::response;
use toucanwall_policy::canary;
use toucanwall_policy::placement;
use toucanwall_routing::server;

use crate::exchange;
use crate::fate;
use crate::pool;
use crate::traffic;

/// An answer whose head has come.
#[derive(Debug)]
pub struct Opened {
    /// What the router reads in its head.
    pub head: response::Head,
    /// Its status and headers.
    pub parts: hyper::http::response::Parts,
    /// Its body.
    pub body: hyper::body::Incoming,
    /// The connection that it comes on.
    pub connection: pool::Connection,
    /// The stay at the server.
    pub visit: Visit,
}

/// Why a send has no answer.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub enum Fault {
    /// The server takes no connection.
    #[error("no connection: {0}")]
    Unreachable(std::io::Error),
    /// The connection was closed before anything was written.
    #[error("the idle connection was closed before the request was written")]
    NotWritten,
    /// The server says that it did not run the request.
    #[error("declined with status {}", .0.status)]
    Declined(Box<response::Head>),
    /// The connection broke off, or what came is no answer.
    #[error("broke off: {0}")]
    Broken(String),
    /// Nothing came for too long.
    #[error("silent for {patience_ms} ms")]
    Silent {
        /// Time that was waited, in milliseconds.
        patience_ms: u64,
    },
    /// What came answers another request, or does not say which.
    #[error("answered another request")]
    Foreign,
    /// An answer that no server has sealed, or in an encoding that servers do not use.
    #[error("an answer without the server's seal")]
    Unsealed,
    /// The status would promise that the request has not run, and nothing proves it.
    #[error("status {0} without a proof that the request has not run")]
    Unproved(hyper::StatusCode),
    /// The server failed the request, and says so.
    #[error("failed by the server with status {0}")]
    Failed(hyper::StatusCode),
}

/// A request's stay at a server; its end is noted when it is dropped.
#[derive(Debug)]
pub struct Visit {
    traffic: Arc<traffic::Traffic>,
    /// The server.
    pub server: Arc<server::BackendServer>,
    side: Option<canary::Side>,
    kind: u64,
    work: traffic::Work,
    /// Work of reading its prompt.
    prompt_units: u64,
    /// Work that lay before its first byte.
    units_before: u64,
    /// Connections to the server that may rest.
    idle_max: u32,
    sent_ms: u64,
    has_first_byte: bool,
    ending: Option<placement::Outcome>,
}

/// Sends a request to a server and waits for the head of the answer.
///
/// # Errors
/// The [`Fault`], and the proof that the request did not run, where there is one.
pub async fn open(
    exchange: &exchange::Exchange,
    placed: exchange::Placed,
    patience: time::Duration,
) -> Result<Opened, (Fault, Option<fate::Proof>)> {
    let mut visit = Visit::start(exchange, placed);
    let not_written = Some(fate::Proof::nothing_written());
    let freshness =
        if exchange.is_repeatable() { pool::Freshness::Any } else { pool::Freshness::New };
    let mut freshness = Some(freshness);
    loop {
        let connecting =
            exchange.traffic.pool.connect(&visit.server, freshness.unwrap_or(pool::Freshness::New));
        let mut connection = match connecting.await {
            Ok(connection) => connection,
            Err(error) => {
                visit.ended(placement::Outcome::Unreachable);
                return Err((Fault::Unreachable(error), not_written));
            }
        };
        exchange.traffic.metrics.connection(connection.is_new());
        let request = exchange.request_to(&visit.server).map_err(|error| {
            let fault = Fault::Broken(error.to_string());
            (fault, not_written)
        })?;
        let answer = match tokio::time::timeout(patience, connection.send(request)).await {
            Ok(Ok(answer)) => answer,
            // An idle connection that was closed meanwhile says nothing about the server.
            Ok(Err(pool::SendError::NotWritten)) if !connection.is_new() => {
                freshness = None;
                continue;
            }
            Ok(Err(pool::SendError::NotWritten)) => {
                visit.ended(placement::Outcome::Failed);
                return Err((Fault::NotWritten, not_written));
            }
            Ok(Err(pool::SendError::Broken(error))) => {
                visit.ended(placement::Outcome::Failed);
                return Err((Fault::Broken(error.to_string()), None));
            }
            Err(_elapsed) => {
                visit.ended(placement::Outcome::Failed);
                let patience_ms = u64::try_from(patience.as_millis()).unwrap_or(u64::MAX);
                return Err((Fault::Silent { patience_ms }, None));
            }
        };
        let (parts, body) = answer.into_parts();
        let head = response::decode(&parts, &exchange.head.attempt_id);
        return judge(Opened { head, parts, body, connection, visit });
    }
}

/// Tells an answer of the server to this request from anything else.
fn judge(mut opened: Opened) -> Result<Opened, (Fault, Option<fate::Proof>)> {
    let head = &opened.head;
    if head.matches_attempt == Some(false) {
        opened.visit.ended(placement::Outcome::Failed);
        return Err((Fault::Foreign, None));
    }
    opened.visit.take_load(head);
    if let Some(proof) = fate::Proof::of_answer(head) {
        opened.visit.ended(placement::Outcome::Fine);
        return Err((Fault::Declined(Box::new(head.clone())), Some(proof)));
    }
    let fault = if !head.is_sealed || head.is_encoded {
        Fault::Unsealed
    } else if head.matches_attempt.is_none() {
        Fault::Foreign
    } else if head.non_execution == response::NonExecution::Unconfirmed {
        Fault::Unproved(head.status)
    } else {
        return Ok(opened);
    };
    opened.visit.ended(placement::Outcome::Failed);
    Err((fault, None))
}

impl Visit {
    fn start(exchange: &exchange::Exchange, placed: exchange::Placed) -> Self {
        let exchange::Placed { server, side, units } = placed;
        let traffic = Arc::clone(&exchange.traffic);
        let sent_ms = traffic.clock.now_ms();
        let job = exchange.job();
        traffic.placement().record_start(&server.id, job, sent_ms);
        Self {
            traffic,
            server,
            side,
            kind: exchange.kind_hash(),
            work: (exchange.service.clone(), exchange.model.clone()),
            prompt_units: job.units(),
            units_before: units,
            idle_max: exchange.connections().idle_max,
            sent_ms,
            has_first_byte: false,
            ending: None,
        }
    }

    /// Notes that the first byte of the answer's body has come, or that the answer is whole.
    pub fn first_byte(&mut self) {
        if !self.has_first_byte {
            self.has_first_byte = true;
            self.traffic.placement().record_first_byte(&self.server.id, self.prompt_units);
            let waited_ms = self.traffic.clock.now_ms().saturating_sub(self.sent_ms);
            self.traffic.metrics.first_byte(waited_ms);
            if self.prompt_units > 0 {
                self.traffic.learn(self.work.clone(), self.units_before, waited_ms);
            }
            self.note(false, Some(waited_ms));
        }
    }

    /// Keeps the connection of an answer that is whole, if there is room for it.
    pub fn keep(&self, connection: pool::Connection, keep_alive: response::KeepAlive) {
        self.traffic.pool.put(connection, keep_alive, self.idle_max);
    }

    /// Notes how it ended.
    pub fn ended(&mut self, ending: placement::Outcome) {
        if self.ending.is_none() {
            self.ending = Some(ending);
            if ending == placement::Outcome::Failed {
                self.note(true, None);
            }
        }
    }

    fn note(&self, has_failed: bool, first_byte_ms: Option<u64>) {
        if let Some(side) = self.side {
            let service = &self.server.service;
            let now_ms = self.traffic.clock.now_ms();
            let rollouts = &self.traffic.rollouts;
            rollouts.note(service, side, self.kind, has_failed, first_byte_ms, now_ms);
        }
    }

    fn take_load(&self, head: &response::Head) {
        if let Some(load) = head.load {
            let now_ms = self.traffic.clock.now_ms();
            self.traffic.placement().record_load(
                &self.server.id,
                load.running,
                load.waiting,
                now_ms,
            );
        }
    }
}

impl Drop for Visit {
    fn drop(&mut self) {
        let now_ms = self.traffic.clock.now_ms();
        let mut placement = self.traffic.placement();
        if !self.has_first_byte {
            placement.record_first_byte(&self.server.id, self.prompt_units);
        }
        let ending = self.ending.unwrap_or(placement::Outcome::Cancelled);
        if placement.record_end(&self.server.id, ending, now_ms) {
            log::info!(
                target: "toucanwall",
                server = self.server.id.as_str(), service = self.server.service.as_str(),
                last_ending:? = ending; "server left out for a while"
            );
        }
    }
}
