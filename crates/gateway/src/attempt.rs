//! A single attempt to run a request on a backend server.

use std::sync::Arc;
use std::time;

use toucanwall_platform::response;
use toucanwall_policy::canary;
use toucanwall_policy::crash_causes;
use toucanwall_policy::placement;
use toucanwall_policy::server_limits;
use toucanwall_policy::server_notices;
use toucanwall_routing::server;

use crate::cold_starts;
use crate::crashes;
use crate::exchange;
use crate::execution;
use crate::leaving;
use crate::limits;
use crate::memory_budget;
use crate::patience;
use crate::pauses;
use crate::pool;
use crate::rollouts;
use crate::server_loads;
use crate::state;

/// Time after the first byte of a response in which a request counts as just started, in
/// milliseconds.
const START_MS: u64 = 500;

/// Time after the head of a response after which it is first noted that the server has survived the
/// request, in milliseconds; again each time when it has doubled.
const SURVIVAL_MS: u64 = 300;
/// Number of events by which the speed of a stream is measured, unless it takes longer than
/// [`MEASURED_MS`].
const MEASURED_EVENTS: usize = 16;
/// Time after the first byte by which the speed of a stream is measured, in milliseconds.
const MEASURED_MS: u64 = 800;
/// Time after which a server that broke a connection is checked again, in milliseconds.
const LATE_END_MS: u64 = 50;

/// A response of which the head has been received and the body has not been read.
#[derive(Debug)]
pub struct OpenResponse {
    /// Fields of the head that the gateway interprets.
    pub head: response::Head,
    /// Status and headers.
    pub parts: hyper::http::response::Parts,
    /// Body that has not been read yet.
    pub body: hyper::body::Incoming,
    /// Connection on which the response arrives.
    pub connection: pool::Connection,
    /// Accounting of the request while the server works on it.
    pub in_flight: InFlight,
}

/// How a response shows where it ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Framing {
    /// By a length or by chunks.
    Delimited,
    /// By the end of the connection, which looks the same if the server has ended.
    ConnectionEnd,
}

/// Reason why an attempt produced no usable response.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub enum AttemptError {
    /// The server has begun to leave since it was chosen; the request was not sent.
    #[error("server no longer accepts requests")]
    Leaving,
    /// The server has asked for a pause since it was chosen; the request was not sent.
    #[error("server has asked for a pause")]
    Paused,
    /// The server has named a limit since it was chosen, or the permit has expired; the request was not
    /// sent.
    #[error("server has reached its limit")]
    Limited,
    /// The server is cold, and other requests have used up this host's share since it was chosen; the
    /// request was not sent.
    #[error("server is cold")]
    Cold,
    /// A part of the prompt has been found to end servers since the server was chosen.
    #[error("a part of the prompt ends servers")]
    Blocked,
    /// The connection to the server could not be established.
    #[error("cannot connect to the server: {0}")]
    Unreachable(std::io::Error),
    /// The connection was closed before any byte of the request was written.
    #[error("connection closed before the request was written")]
    NotWritten,
    /// The server declined the request and stated that it did not run it.
    #[error("declined by the server with status {}", .0.status)]
    Declined(Box<response::Head>),
    /// The connection failed before the response was complete, or the request or response is
    /// malformed.
    #[error("connection or message error: {0}")]
    Broken(String),
    /// The connection failed before the response was complete, and the server has ended.
    #[error("server ended while it worked on the request: {0}")]
    ServerEnded(String),
    /// The server sent nothing within the timeout.
    #[error("no response within {timeout_ms} ms")]
    TimedOut {
        /// Timeout in milliseconds.
        timeout_ms: u64,
    },
    /// The server sent more than a response may have.
    #[error("{0}")]
    TooLarge(String),
    /// The response names the ID of another attempt, or none.
    #[error("response does not carry the ID of this attempt")]
    Mismatched,
    /// The response lacks the seal header of backend servers, or has a content encoding, which
    /// backend servers never use.
    #[error("response has no server seal or has a content encoding")]
    Unsealed,
    /// Callers read the status as a statement that the request did not run, but the response
    /// carries no proof of it.
    #[error("status {0} without proof that the request did not run")]
    UnprovedNotRun(hyper::StatusCode),
    /// The server responded with a 5xx status.
    #[error("server error with status {0}")]
    ServerError(hyper::StatusCode),
}

impl From<memory_budget::ReadError> for AttemptError {
    fn from(error: memory_budget::ReadError) -> Self {
        match error {
            memory_budget::ReadError::Broken(error) => Self::Broken(error.to_string()),
            memory_budget::ReadError::TooLarge(_) | memory_budget::ReadError::Exceeded(_) => {
                Self::TooLarge(error.to_string())
            }
        }
    }
}

impl AttemptError {
    /// Returns whether the server failed the request: it was reached and did not decline.
    #[must_use]
    pub fn is_server_failure(&self) -> bool {
        !matches!(
            self,
            Self::Leaving
                | Self::Paused
                | Self::Limited
                | Self::Cold
                | Self::Blocked
                | Self::Unreachable(_)
                | Self::Declined(_)
        )
    }
}

/// Accounting of a request that a server works on; dropping it records the end of the attempt.
#[derive(Debug)]
pub struct InFlight {
    state: Arc<state::GatewayState>,
    /// Server to which the request is sent.
    pub server: Arc<server::BackendServer>,
    side: Option<canary::Side>,
    kind: canary::Kind,
    /// Whether a break from now on is evidence on the server's version: the failures of a request
    /// count once, and before the response has begun another attempt shows whether they count.
    counts_break: bool,
    request: Arc<str>,
    suspect: crash_causes::Suspect,
    /// Time after the head of the response from which it is noted again that the server goes on.
    next_survival_ms: u64,
    forecast_key: state::ForecastKey,
    /// Work of processing the prompt, in prompt tokens of the smallest model.
    prompt_units: u64,
    /// Work that the server has to complete before the first byte of the response, in the same
    /// unit.
    units_before_first_byte: u64,
    /// Maximum number of idle connections to the server.
    idle_max: u32,
    sent_at_ms: u64,
    /// Whether the request counts as running with the parts of its prompt.
    is_running: bool,
    head_at_ms: Option<u64>,
    framing: Framing,
    first_byte_at_ms: Option<u64>,
    /// Number and time of the latest event of a stream.
    last_event: Option<(u64, u64)>,
    /// Times between the first events of a stream, in milliseconds.
    event_intervals_ms: Vec<u64>,
    is_rollout_answer_recorded: bool,
    /// Id of the request if its first byte is awaited as evidence on a new version.
    open_attempt: Option<rollouts::AttemptId>,
    outcome: Option<placement::Outcome>,
}

/// Sends a request to a server and waits for the head of the response.
///
/// # Errors
/// [`AttemptError`], with the proof that the request did not run if there is one.
pub async fn send(
    exchange: &exchange::Exchange,
    assignment: exchange::Assignment,
    timeout: time::Duration,
) -> Result<OpenResponse, (AttemptError, Option<execution::NotRunProof>)> {
    let permit = assignment.permit;
    let mut in_flight = InFlight::start(exchange, assignment);
    let not_written = Some(execution::NotRunProof::nothing_written());
    let reuse_policy = if exchange.allows_retry() {
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
                in_flight.record_outcome(placement::Outcome::Unreachable);
                if error.kind() == std::io::ErrorKind::ConnectionRefused {
                    let now = exchange.state.clock.now();
                    exchange.state.crashes.record_end(&in_flight.server, now);
                }
                return Err((AttemptError::Unreachable(error), not_written));
            }
        };
        exchange.state.metrics.record_connection(connection.is_new());
        let checked = check_still_allowed(exchange, &in_flight.server, permit);
        let cold_permission = checked.map_err(|error| {
            in_flight.record_outcome(placement::Outcome::Cancelled);
            (error, not_written)
        })?;
        let built = exchange.request_to(&in_flight.server);
        let mut request =
            built.map_err(|error| (AttemptError::Broken(error.to_string()), not_written))?;
        leaving::watch_interim_responses(
            &mut request,
            &exchange.state,
            &in_flight.server,
            &exchange.head.attempt_id,
            connection.head_limit(),
        );
        exchange.send_record.record_send();
        in_flight.begin_run();
        let deadline = tokio::time::Instant::now() + timeout;
        let sending = patience::until(deadline, connection.send(request));
        let sent = tokio::select! {
            sent = sending => sent,
            // The request may wait at the server, which does not run it once it is cancelled.
            () = exchange.state.crashes.part_blocked(&exchange.part_hashes) => {
                in_flight.record_outcome(placement::Outcome::Cancelled);
                return Err((AttemptError::Blocked, None));
            }
        };
        let response = match sent {
            Ok(Ok(response)) => response,
            // A server may close an idle connection at any time. That is no failure of the server;
            // the request is sent again on a new connection.
            Ok(Err(pool::SendError::NotWritten)) if !connection.is_new() => {
                reuse_policy = None;
                exchange.state.cold_starts.give_back(&in_flight.server.id, cold_permission);
                in_flight.end_run();
                continue;
            }
            Ok(Err(pool::SendError::NotWritten)) => {
                in_flight.record_outcome(placement::Outcome::Failed);
                return Err((AttemptError::NotWritten, not_written));
            }
            Ok(Err(error @ pool::SendError::HeadTooLarge)) => {
                in_flight.record_outcome(placement::Outcome::Failed);
                return Err((AttemptError::TooLarge(error.to_string()), None));
            }
            Ok(Err(pool::SendError::Broken(error))) => {
                return Err((in_flight.record_break(error.to_string()).await, None));
            }
            Err(patience::Elapsed) => {
                in_flight.record_outcome(placement::Outcome::Failed);
                let timeout_ms = u64::try_from(timeout.as_millis()).unwrap_or(u64::MAX);
                return Err((AttemptError::TimedOut { timeout_ms }, None));
            }
        };
        in_flight.head_at_ms = Some(exchange.state.clock.now_ms());
        let (parts, body) = response.into_parts();
        in_flight.framing = Framing::of(&parts.headers);
        let head = response::decode(&parts, &exchange.head.attempt_id);
        leaving::record_notice(
            &exchange.state,
            &in_flight.server,
            &exchange.head.attempt_id,
            head.leaving,
            leaving::Source::Final(head.status),
        );
        pauses::record_request(
            &exchange.state,
            &in_flight.server,
            &exchange.head.attempt_id,
            head.pause,
        );
        limits::record_response(&exchange.state, &in_flight, &exchange.head.attempt_id, &head);
        cold_starts::record_response(&exchange.state, &in_flight, &head);
        return validate(OpenResponse { head, parts, body, connection, in_flight });
    }
}

/// Checks what the host may have learned while the connection was being opened: that the server leaves,
/// has asked for a pause or names a limit, or that a part of the prompt ends servers. Counts the request
/// if the server is cold.
fn check_still_allowed(
    exchange: &exchange::Exchange,
    server: &server::BackendServer,
    permit: Option<server_limits::Permit>,
) -> Result<cold_starts::Permission, AttemptError> {
    match exchange.state.current_acceptance(server) {
        server_notices::Acceptance::Accepts => {}
        server_notices::Acceptance::Paused { .. } => return Err(AttemptError::Paused),
        server_notices::Acceptance::Leaving => return Err(AttemptError::Leaving),
    }
    let now_ms = exchange.state.clock.now_ms();
    match exchange.crash_verdict(now_ms) {
        crashes::Verdict::PartBlocked | crashes::Verdict::Held { .. } => {
            return Err(AttemptError::Blocked);
        }
        crashes::Verdict::RequestBlocked { .. }
        | crashes::Verdict::Suspected
        | crashes::Verdict::Allowed => {}
    }
    match exchange.state.limits.take_permit(server, permit, now_ms) {
        limits::Permission::Unlimited => {}
        limits::Permission::Permitted(_) => {
            exchange.state.metrics.record_limited_send(&server.service);
        }
        limits::Permission::Denied => return Err(AttemptError::Limited),
    }
    match exchange.state.cold_starts.take(server, now_ms) {
        cold_starts::Permission::Open => Ok(cold_starts::Permission::Open),
        counted @ cold_starts::Permission::Counted { .. } => {
            exchange.state.metrics.record_cold_send(&server.service);
            Ok(counted)
        }
        cold_starts::Permission::Denied => Err(AttemptError::Cold),
    }
}

/// Checks that a response comes from the server, belongs to this attempt and leaves no doubt
/// whether the request ran.
fn validate(
    mut opened: OpenResponse,
) -> Result<OpenResponse, (AttemptError, Option<execution::NotRunProof>)> {
    let head = &opened.head;
    if head.matches_attempt == Some(false) {
        opened.in_flight.record_outcome(placement::Outcome::Failed);
        return Err((AttemptError::Mismatched, None));
    }
    opened.in_flight.record_load(head);
    if let Some(proof) = execution::NotRunProof::from_response(head) {
        opened.in_flight.record_outcome(placement::Outcome::Declined);
        return Err((AttemptError::Declined(Box::new(head.clone())), Some(proof)));
    }
    let error = if !head.is_sealed || head.is_encoded {
        AttemptError::Unsealed
    } else if head.matches_attempt.is_none() {
        AttemptError::Mismatched
    } else if head.non_execution == response::NonExecution::Unconfirmed {
        AttemptError::UnprovedNotRun(head.status)
    } else {
        opened.in_flight.record_acceptance();
        return Ok(opened);
    };
    opened.in_flight.record_outcome(placement::Outcome::Failed);
    Err((error, None))
}

impl Framing {
    fn of(headers: &hyper::HeaderMap) -> Self {
        let is_delimited = headers.contains_key(hyper::header::CONTENT_LENGTH)
            || headers.contains_key(hyper::header::TRANSFER_ENCODING);
        if is_delimited { Self::Delimited } else { Self::ConnectionEnd }
    }
}

impl InFlight {
    fn start(exchange: &exchange::Exchange, assignment: exchange::Assignment) -> Self {
        let exchange::Assignment { server, side, units, .. } = assignment;
        let state = Arc::clone(&exchange.state);
        let sent_at_ms = state.clock.now_ms();
        let request = exchange.placement_request();
        state.placement().record_start(&server.id, request, sent_at_ms);
        let open_attempt =
            state.rollouts.begin_attempt(&server.service, side, exchange.kind(), sent_at_ms);
        Self {
            state,
            server,
            side,
            kind: exchange.kind(),
            counts_break: false,
            request: Arc::clone(&exchange.head.attempt_id),
            suspect: exchange.suspect(),
            next_survival_ms: SURVIVAL_MS,
            forecast_key: (exchange.service.clone(), exchange.model.clone()),
            prompt_units: request.prompt_units(),
            units_before_first_byte: units,
            idle_max: exchange.connection_limits().idle_max,
            sent_at_ms,
            is_running: false,
            head_at_ms: None,
            framing: Framing::Delimited,
            first_byte_at_ms: None,
            last_event: None,
            event_intervals_ms: Vec::new(),
            is_rollout_answer_recorded: false,
            open_attempt,
            outcome: None,
        }
    }

    /// Counts the request as running with the parts of its prompt.
    fn begin_run(&mut self) {
        self.is_running = true;
        self.state.crashes.record_start_of_request(&self.suspect);
    }

    /// Ends what [`Self::begin_run`] has begun.
    fn end_run(&mut self) {
        if std::mem::replace(&mut self.is_running, false) {
            let now_ms = self.state.clock.now_ms();
            let in_flight_ms = now_ms.saturating_sub(self.sent_at_ms);
            self.state.crashes.record_end_of_request(&self.suspect, in_flight_ms, now_ms);
        }
    }

    /// Opens a share of the memory for bytes of other processes.
    #[must_use]
    pub fn open_share(&self) -> memory_budget::Share {
        self.state.memory_budget.open_share()
    }

    /// When the request was sent at the earliest, in milliseconds.
    #[must_use]
    pub fn sent_at_ms(&self) -> u64 {
        self.sent_at_ms
    }

    /// Whether the end of the connection is the end of the response.
    #[must_use]
    pub fn ends_with_connection(&self) -> bool {
        self.framing == Framing::ConnectionEnd
    }

    /// Whether a response that ended with its connection may lack its end: a process that is killed
    /// closes its connections in order. A server that leaves as planned ends responses before it ends.
    pub async fn may_be_cut_off(&self) -> bool {
        let is_leaving = || {
            let acceptance = self.state.current_acceptance(&self.server);
            acceptance == server_notices::Acceptance::Leaving
        };
        self.ends_with_connection() && !is_leaving() && pool::is_ending(self.server.address).await
    }

    /// Lets a break of the stream that has begun count as evidence on the server's version.
    pub fn count_break(&mut self) {
        self.counts_break = true;
    }

    /// Records the first byte of a stream, or the head of a response that is buffered in full; only
    /// the first call has an effect.
    pub fn record_first_byte(&mut self) {
        if self.first_byte_at_ms.is_none() {
            let now_ms = self.state.clock.now_ms();
            self.first_byte_at_ms = Some(now_ms);
            self.end_wait_for_first_byte();
            self.state.placement().record_first_byte(&self.server.id, self.prompt_units);
            let first_byte_ms = now_ms.saturating_sub(self.sent_at_ms);
            self.state.metrics.record_first_byte(first_byte_ms);
            if self.prompt_units > 0 {
                self.state.record_first_byte_time(
                    self.forecast_key.clone(),
                    self.units_before_first_byte,
                    first_byte_ms,
                );
            }
        }
    }

    /// Ends the wait for the first byte. A request that has been counted as late is not counted again.
    fn end_wait_for_first_byte(&mut self) {
        if let Some(id) = self.open_attempt.take() {
            let is_counted = self.state.rollouts.end_attempt(&self.server.service, id);
            self.is_rollout_answer_recorded |= is_counted;
        }
    }

    /// Records what a request that is given up has shown of its server's version until now.
    fn record_given_up(&mut self) {
        let now_ms = self.state.clock.now_ms();
        self.end_wait_for_first_byte();
        if self.first_byte_at_ms.is_some() {
            self.record_rollout_answer();
        } else if !std::mem::replace(&mut self.is_rollout_answer_recorded, true) {
            let waited_ms = now_ms.saturating_sub(self.sent_at_ms);
            let (service, side) = (&self.server.service, self.side);
            self.state.rollouts.record_given_up(service, side, self.kind, waited_ms, now_ms);
        }
    }

    /// Records that the events of a stream up to a number have arrived.
    pub fn record_events(&mut self, last_event_id: u64) {
        let now_ms = self.state.clock.now_ms();
        let survived_ms = now_ms.saturating_sub(self.begun_at_ms().unwrap_or(now_ms));
        if survived_ms >= self.next_survival_ms {
            self.next_survival_ms = survived_ms * 2;
            self.record_survival(survived_ms);
        }
        if self.is_rollout_answer_recorded {
            // Only the progress matters from now on.
            self.last_event = Some((last_event_id, now_ms));
            return;
        }
        let previous = self.last_event.replace((last_event_id, now_ms));
        if let Some((previous_id, previous_ms)) = previous {
            let events = last_event_id.saturating_sub(previous_id);
            let interval_ms = now_ms.saturating_sub(previous_ms).checked_div(events);
            self.event_intervals_ms.extend(interval_ms);
        }
        let first_byte_at_ms = self.first_byte_at_ms.unwrap_or(now_ms);
        if self.event_intervals_ms.len() >= MEASURED_EVENTS
            || now_ms >= first_byte_at_ms + MEASURED_MS
        {
            self.record_rollout_answer();
        }
    }

    /// Records the answer as evidence on the server's version; only the first call has an effect.
    pub fn record_rollout_answer(&mut self) {
        if !std::mem::replace(&mut self.is_rollout_answer_recorded, true) {
            let first_byte_ms =
                self.first_byte_at_ms.map(|at_ms| at_ms.saturating_sub(self.sent_at_ms));
            // The lower quartile leaves out pauses in which the server reads the prompts of other
            // requests.
            self.event_intervals_ms.sort_unstable();
            let quartile = self.event_intervals_ms.len() / 4;
            let event_interval_ms = self.event_intervals_ms.get(quartile).copied();
            let answer =
                canary::Answer { first_byte_ms, event_interval_ms, ..canary::Answer::default() };
            self.record_rollout_sample(answer);
            let now_ms = self.state.clock.now_ms();
            let intervals_ms = &self.event_intervals_ms;
            self.state.placement().record_speed(&self.server, intervals_ms, now_ms);
        }
    }

    /// Returns the connection to the pool after the response has been read in full.
    pub fn release_connection(
        &self,
        connection: pool::Connection,
        keep_alive: response::KeepAlive,
    ) {
        self.state.pool.release(connection, keep_alive, self.idle_max);
    }

    /// Records that the server ran the request to a successful end.
    pub fn record_success(&mut self) {
        self.record_outcome(placement::Outcome::Fine);
        self.record_rollout_answer();
        if self.framing == Framing::Delimited || self.has_run(self.state.clock.now_ms()) {
            self.state.crashes.record_success(self.suspect.content_hash);
            self.record_survival(crash_causes::WHOLE_ANSWER_MS);
        }
    }

    /// Records for how long the server has gone on after the answer had begun.
    fn record_survival(&self, survived_ms: u64) {
        if let Some(begun_ms) = self.begun_at_ms() {
            self.state.crashes.record_survival(&self.suspect, begun_ms, survived_ms);
        }
    }

    /// When the answer began, in milliseconds.
    fn begun_at_ms(&self) -> Option<u64> {
        self.head_at_ms.or(self.first_byte_at_ms)
    }

    /// Whether the answer began so long ago that it shows its server to work.
    fn has_run(&self, now_ms: u64) -> bool {
        self.first_byte_at_ms.is_some_and(|at_ms| now_ms >= at_ms + START_MS)
    }

    /// What this request is suspected of if its server ends now.
    fn current_suspect(&self, now_ms: u64) -> crash_causes::Suspect {
        let progress = match self.begun_at_ms() {
            None => crash_causes::Progress::Waiting,
            Some(at_ms) => {
                crash_causes::Progress::Answering { since_ms: now_ms.saturating_sub(at_ms) }
            }
        };
        crash_causes::Suspect { progress, ..self.suspect.clone() }
    }

    /// Records that the connection broke, and whether the server ended under the request.
    pub async fn record_break(&mut self, reason: String) -> AttemptError {
        self.record_outcome(placement::Outcome::Failed);
        let now_ms = self.state.clock.now_ms();
        let suspect = self.current_suspect(now_ms);
        if pool::has_ended(self.server.address).await {
            self.log_crash(now_ms);
            self.state.crashes.record_crash(&self.server, suspect, self.state.clock.now());
            return AttemptError::ServerEnded(reason);
        }
        tokio::spawn(self.check_late_end(suspect));
        AttemptError::Broken(reason)
    }

    /// Logs how far the answer had come when the server ended, and the parts of the prompt: of the
    /// requests in flight, the one whose answer had just begun is the most likely cause.
    fn log_crash(&self, now_ms: u64) {
        let part_hashes = self.suspect.parts.iter().map(|hash| format!("{hash:016x}"));
        log::info!(
            target: "toucanwall",
            request = &*self.request, server = self.server.id.as_str(),
            content = format!("{:016x}", self.suspect.content_hash),
            parts = part_hashes.collect::<Vec<_>>().join(","),
            sent_before_ms = now_ms.saturating_sub(self.sent_at_ms),
            head_before_ms = self.head_at_ms.map(|at_ms| now_ms.saturating_sub(at_ms)),
            last_event = self.last_event.map(|(id, _)| id);
            "in flight when the server ended"
        );
    }

    /// Records that the server ended if it does not accept connections a little later: an ending
    /// process may close its listening socket after the connections.
    fn check_late_end(&self, suspect: crash_causes::Suspect) -> impl Future<Output = ()> + use<> {
        let (state, server) = (Arc::clone(&self.state), Arc::clone(&self.server));
        async move {
            tokio::time::sleep(time::Duration::from_millis(LATE_END_MS)).await;
            if pool::has_ended(server.address).await {
                state.crashes.record_crash(&server, suspect, state.clock.now());
            }
        }
    }

    /// Records how the attempt ended; only the first call has an effect.
    pub fn record_outcome(&mut self, outcome: placement::Outcome) {
        if self.outcome.is_none() {
            self.outcome = Some(outcome);
            if outcome == placement::Outcome::Failed && self.counts_break {
                let answer = canary::Answer { has_failed: true, ..canary::Answer::default() };
                self.record_rollout_sample(answer);
            }
        }
    }

    fn record_rollout_sample(&self, answer: canary::Answer) {
        let now_ms = self.state.clock.now_ms();
        let rollouts = &self.state.rollouts;
        rollouts.record_response(&self.server.service, self.side, self.kind, answer, now_ms);
    }

    fn record_acceptance(&self) {
        self.state.placement().record_acceptance(&self.server.id);
    }

    fn record_load(&self, head: &response::Head) {
        if let Some(load) = head.load {
            server_loads::record_load(&self.state, &self.server, &self.request, load);
        }
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        let now_ms = self.state.clock.now_ms();
        self.end_run();
        let is_given_up = matches!(self.outcome, None | Some(placement::Outcome::Cancelled));
        if is_given_up {
            self.state.crashes.record_given_up(&self.server, self.current_suspect(now_ms), now_ms);
        }
        match self.outcome {
            None | Some(placement::Outcome::Cancelled) => self.record_given_up(),
            Some(_) => self.end_wait_for_first_byte(),
        }
        let mut placement = self.state.placement();
        if self.first_byte_at_ms.is_none() {
            placement.record_first_byte(&self.server.id, self.prompt_units);
        }
        let outcome = self.outcome.unwrap_or(placement::Outcome::Cancelled);
        if placement.record_end(&self.server.id, outcome, now_ms) {
            log::info!(
                target: "toucanwall",
                server = self.server.id.as_str(), service = self.server.service.as_str(),
                last_ending:? = outcome; "server left out for a while"
            );
        }
    }
}
