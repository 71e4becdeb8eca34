//! One caller's request, from its admission to the answer.

use std::collections;
use std::sync::Arc;

use http_body_util::BodyExt as _;
use toucanwall_platform::answer;
use toucanwall_platform::request;
use toucanwall_policy::admission;
use toucanwall_policy::canary;
use toucanwall_policy::placement;
use toucanwall_routing::configuration;
use toucanwall_routing::name;
use toucanwall_routing::server;

use crate::attempt;
use crate::execution;
use crate::ingress;
use crate::pool;
use crate::sse;
use crate::state;
use crate::stream;

/// Largest answer that is held until it is whole, in bytes.
const BUFFERED_RESPONSE_MAX_BYTES: usize = 16 * 1024 * 1024;
/// Time before the deadline at which a request is answered, in milliseconds: the answer has to get
/// to the caller before it leaves.
const RESPONSE_MARGIN_MS: u64 = 20;
/// Shortest time that is left for a server to be of use, in milliseconds.
const MIN_ATTEMPT_MS: u64 = 30;
/// Time after which a caller may come back where a server is expected to be free soon, in
/// milliseconds; doubled by chance, so that callers do not come back together.
const RETRY_SOON_MS: u64 = 300;
/// Time after which a caller may come back where no server is known, in milliseconds.
const RETRY_LATER_MS: u64 = 1_000;

/// One caller's request.
#[derive(Debug)]
pub struct Exchange {
    /// What all requests share.
    pub state: Arc<state::GatewayState>,
    /// What the router reads in its head.
    pub head: request::Head,
    /// Its method, path and headers.
    pub parts: hyper::http::request::Parts,
    /// Its body.
    pub body: bytes::Bytes,
    /// The route that it takes.
    pub route: Arc<configuration::Route>,
    /// The organisation that sends it.
    pub organisation: Option<Arc<configuration::Organisation>>,
    /// Whether the key is kept from servers.
    pub strips_key: bool,
    /// The service that runs it.
    pub service: name::ServiceName,
    /// When it came in.
    pub received_at_ms: u64,
    /// When its answer is due.
    pub deadline_at_ms: u64,
    /// Number of the last event that the caller has.
    pub last_event_id: Option<u64>,
    /// The model that answers, where the router chooses it.
    pub model: Option<name::ModelName>,
    /// Servers that it was sent to.
    pub attempts: u32,
    /// Servers that it is not sent to again.
    pub excluded: collections::BTreeSet<name::ServerId>,
}

/// An answer that can be passed on.
#[derive(Debug)]
pub enum Response {
    /// A whole one.
    Complete(hyper::Response<bytes::Bytes>),
    /// A stream that has begun.
    Stream(Box<stream::EventStream>),
    /// The request was not run.
    Refused(answer::Refusal, &'static str),
    /// Nobody can tell whether it ran.
    Failed(hyper::StatusCode, &'static str),
}

/// Where a request goes.
#[derive(Debug, Clone)]
pub struct Assignment {
    /// The server.
    pub server: Arc<server::BackendServer>,
    /// The side of a roll-out that it is on.
    pub side: Option<canary::Side>,
    /// Work that lies before the first byte, in prompt tokens of the smallest model.
    pub units: u64,
}

/// What to do next about a request.
enum NextStep {
    Send(Assignment, execution::Execution<execution::Sent>),
    End(Response),
}

/// What one send came to.
enum AttemptOutcome {
    Response(Response),
    /// The model doubts its answer; a larger one is asked.
    Escalate(name::ModelName),
    Failed(attempt::AttemptError, Option<execution::NotRunProof>),
}

impl Exchange {
    /// Sends the request until there is an answer.
    pub async fn run(mut self) -> Response {
        self.state.record_request(&self.service);
        let mut execution = execution::Status::NotRun(execution::Execution::new());
        // A server's own failure is passed on where nothing better comes of it.
        let mut fallback: Option<hyper::Response<bytes::Bytes>> = None;
        loop {
            let (assignment, sent) = match self.next_step(execution) {
                NextStep::Send(assignment, sent) => (assignment, sent),
                NextStep::End(response) => return fallback.map_or(response, Response::Complete),
            };
            let server = self.record_attempt(&assignment);
            let (outcome, error_response) = self.run_attempt(assignment).await;
            fallback = error_response.or(fallback);
            execution = match outcome {
                AttemptOutcome::Response(Response::Stream(mut event_stream)) => {
                    event_stream.attach_exchange(self);
                    return Response::Stream(event_stream);
                }
                AttemptOutcome::Response(response) => return response,
                AttemptOutcome::Escalate(model) => {
                    self.log_event("escalated to a larger model", &server, model.as_str());
                    self.model = Some(model);
                    self.excluded.clear();
                    sent.unknown()
                }
                AttemptOutcome::Failed(error, proof) => {
                    self.log_event("attempt failed", &server, &error.to_string());
                    self.state.metrics.record_attempt_error(&error);
                    match proof {
                        Some(proof) => sent.proved_not_run(proof),
                        None => sent.unknown(),
                    }
                }
            };
        }
    }

    /// Sends the rest of a stream's request to another server.
    ///
    /// # Errors
    /// Why the stream cannot go on.
    pub async fn resume(&mut self) -> Result<attempt::OpenResponse, &'static str> {
        if self.route.repeat != configuration::Repeat::Resumable {
            return Err("it may not be resumed");
        }
        let mut execution = execution::Status::interrupted();
        loop {
            let (assignment, sent) = match self.next_step(execution) {
                NextStep::Send(assignment, sent) => (assignment, sent),
                NextStep::End(Response::Refused(_, reason) | Response::Failed(_, reason)) => {
                    return Err(reason);
                }
                NextStep::End(Response::Complete(_) | Response::Stream(_)) => {
                    return Err("it ended in another way");
                }
            };
            let server = self.record_attempt(&assignment);
            let timeout = self.response_timeout();
            execution = match attempt::send(self, assignment, timeout).await {
                Ok(opened) if stream::is_event_stream(&opened.parts) => return Ok(opened),
                Ok(opened) => {
                    self.log_event("resumption failed", &server, opened.head.status.as_str());
                    sent.unknown()
                }
                Err((error, proof)) => {
                    self.log_event("resumption failed", &server, &error.to_string());
                    self.state.metrics.record_attempt_error(&error);
                    match proof {
                        Some(proof) => sent.proved_not_run(proof),
                        None => sent.unknown(),
                    }
                }
            };
        }
    }

    /// Notes that the request goes to a server.
    fn record_attempt(&mut self, assignment: &Assignment) -> Arc<server::BackendServer> {
        self.attempts += 1;
        self.excluded.insert(assignment.server.id.clone());
        let view = self.state.view();
        log::info!(
            target: "toucanwall",
            request = &*self.head.attempt_id, route = self.route.name.as_str(),
            server = assignment.server.id.as_str(), version = assignment.server.version.as_str(),
            attempt = self.attempts, left_ms = self.remaining_ms(), work = assignment.units,
            model = self.model.as_ref().map(name::ModelName::as_str),
            side = assignment.side.map(canary::Side::as_str), configuration = view.version(),
            view_age_ms = view.age_ms(self.state.clock.now_ms()); "sent"
        );
        Arc::clone(&assignment.server)
    }

    /// Decides about the next send.
    fn next_step(&self, execution: execution::Status) -> NextStep {
        let now_ms = self.state.clock.now_ms();
        if now_ms + MIN_ATTEMPT_MS >= self.deadline_at_ms {
            return Self::give_up(
                execution,
                hyper::StatusCode::GATEWAY_TIMEOUT,
                None,
                "no time left",
            );
        }
        let is_unknown = matches!(execution, execution::Status::Unknown);
        let bad_gateway = hyper::StatusCode::BAD_GATEWAY;
        if is_unknown && !self.is_retry_safe() {
            return Self::give_up(execution, bad_gateway, None, "outcome unknown");
        }
        if self.attempts >= self.route.max_attempts {
            return Self::give_up(execution, bad_gateway, Some(RETRY_SOON_MS), "attempts used up");
        }
        if self.attempts > 0 && !self.state.try_take_retry(&self.service) {
            let reason = "retry budget used up";
            return Self::give_up(execution, bad_gateway, Some(RETRY_LATER_MS), reason);
        }
        match self.choose_server(now_ms, self.job(), &self.excluded) {
            (placement::Choice::Server { server, units }, side) => {
                let forecast_key = (self.service.clone(), self.model.clone());
                let expected_ms = self.state.expected_first_byte_ms(&forecast_key, units);
                match admission::judge(expected_ms, self.deadline_at_ms.saturating_sub(now_ms)) {
                    admission::Verdict::Refuse { retry_after_ms } if self.attempts == 0 => {
                        let reason = "cannot be answered in time";
                        Self::give_up(execution, bad_gateway, Some(retry_after_ms), reason)
                    }
                    _ => NextStep::Send(Assignment { server, side, units }, execution.send()),
                }
            }
            (placement::Choice::Full, _) => {
                Self::give_up(execution, bad_gateway, Some(RETRY_SOON_MS), "all servers full")
            }
            (placement::Choice::NoServer, _) => {
                Self::give_up(execution, bad_gateway, Some(RETRY_LATER_MS), "no server left")
            }
        }
    }

    fn give_up(
        execution: execution::Status,
        status_if_unknown: hyper::StatusCode,
        retry_after_ms: Option<u64>,
        reason: &'static str,
    ) -> NextStep {
        NextStep::End(match execution {
            execution::Status::NotRun(not_run) => {
                let retry_after_ms = retry_after_ms.map(ingress::with_jitter_ms);
                let status = hyper::StatusCode::SERVICE_UNAVAILABLE;
                Response::Refused(not_run.refuse(status, retry_after_ms), reason)
            }
            execution::Status::Unknown => Response::Failed(status_if_unknown, reason),
        })
    }

    /// Chooses a server, on the side of a roll-out that the request falls to.
    #[must_use]
    pub fn choose_server(
        &self,
        now_ms: u64,
        job: placement::Job<'_>,
        excluded: &collections::BTreeSet<name::ServerId>,
    ) -> (placement::Choice, Option<canary::Side>) {
        let view = self.state.view();
        let servers = view.servers_of(&self.service);
        let request = self.rollout_request();
        let rollouts = &self.state.rollouts;
        let (servers, side) = rollouts.eligible(&self.service, servers, request, now_ms);
        let choice =
            self.state.placement().choose(job, &servers, excluded, now_ms, &mut rand::rng());
        (choice, side)
    }

    /// One send; also returns a server's own failure, which may be passed on.
    async fn run_attempt(
        &self,
        assignment: Assignment,
    ) -> (AttemptOutcome, Option<hyper::Response<bytes::Bytes>>) {
        let opened = match attempt::send(self, assignment, self.response_timeout()).await {
            Ok(opened) => opened,
            Err((error, proof)) => return (AttemptOutcome::Failed(error, proof), None),
        };
        if let Some(model) = self.larger_model(&opened.head) {
            return (AttemptOutcome::Escalate(model), None);
        }
        if opened.head.status.is_success() && stream::is_event_stream(&opened.parts) {
            return (self.begin_stream(opened).await, None);
        }
        self.buffer_response(opened).await
    }

    async fn begin_stream(&self, opened: attempt::OpenResponse) -> AttemptOutcome {
        let splitter = sse::EventSplitter::resume_after(self.last_event_id);
        match stream::EventStream::begin(opened, splitter, self.response_timeout()).await {
            Ok(event_stream) => AttemptOutcome::Response(Response::Stream(Box::new(event_stream))),
            Err(error) => AttemptOutcome::Failed(error, None),
        }
    }

    async fn buffer_response(
        &self,
        opened: attempt::OpenResponse,
    ) -> (AttemptOutcome, Option<hyper::Response<bytes::Bytes>>) {
        let attempt::OpenResponse { head, parts, body, connection, mut in_flight } = opened;
        in_flight.record_first_byte();
        let body = http_body_util::Limited::new(body, BUFFERED_RESPONSE_MAX_BYTES).collect();
        let bytes = match tokio::time::timeout(self.response_timeout(), body).await {
            Ok(Ok(body)) => body.to_bytes(),
            Ok(Err(error)) => {
                in_flight.record_ending(placement::Ending::Failed);
                return (
                    AttemptOutcome::Failed(attempt::AttemptError::Broken(error.to_string()), None),
                    None,
                );
            }
            Err(_elapsed) => {
                in_flight.record_ending(placement::Ending::Failed);
                let timeout_ms = self.remaining_ms();
                return (
                    AttemptOutcome::Failed(attempt::AttemptError::TimedOut { timeout_ms }, None),
                    None,
                );
            }
        };
        in_flight.release_connection(connection, head.keep_alive);
        let status = head.status;
        let is_failure = status.is_server_error();
        in_flight.record_ending(if is_failure {
            placement::Ending::Failed
        } else {
            placement::Ending::Fine
        });
        let mut response = hyper::Response::new(bytes);
        *response.status_mut() = status;
        *response.headers_mut() = answer::encode(&parts.headers);
        if is_failure && self.is_retry_safe() {
            return (
                AttemptOutcome::Failed(attempt::AttemptError::ServerError(status), None),
                Some(response),
            );
        }
        (AttemptOutcome::Response(Response::Complete(response)), None)
    }

    /// The request as it goes to a server.
    ///
    /// # Errors
    /// Its parts make no request.
    pub fn request_to(
        &self,
        server: &server::BackendServer,
    ) -> Result<hyper::Request<pool::RequestBody>, hyper::http::Error> {
        let forwarded = request::Forwarded {
            server: &server.id,
            deadline_ms: self.remaining_ms(),
            organisation: self.organisation.as_ref().map(|organisation| &organisation.name),
            last_event_id: self.last_event_id,
            model: self.model.as_ref(),
            urgency: Some(self.server_priority()),
            hides_key: self.strips_key,
        };
        let path = self.parts.uri.path_and_query().map_or("/", |path| path.as_str());
        let mut request = hyper::Request::builder()
            .method(self.parts.method.clone())
            .uri(path)
            .body(pool::RequestBody::new(self.body.clone()))?;
        *request.headers_mut() = request::encode(&self.parts.headers, &forwarded);
        Ok(request)
    }

    /// Whether it may be sent again when nobody can tell whether it ran.
    #[must_use]
    pub fn is_retry_safe(&self) -> bool {
        self.route.repeat.is_repeatable()
    }

    /// Time until the answer is due, in milliseconds.
    #[must_use]
    pub fn remaining_ms(&self) -> u64 {
        self.deadline_at_ms.saturating_sub(self.state.clock.now_ms())
    }

    /// A hash of its kind.
    #[must_use]
    pub fn route_hash(&self) -> u64 {
        ingress::stable_hash(self.route.name.as_str())
    }

    fn log_event(&self, what: &str, server: &server::BackendServer, why: &str) {
        log::info!(
            target: "toucanwall",
            request = &*self.head.attempt_id, route = self.route.name.as_str(),
            server = server.id.as_str(), attempt = self.attempts, left_ms = self.remaining_ms(),
            why = why; "{what}"
        );
    }
}

/// When a request is due: the caller's deadline or the route's time-out, whichever comes first.
#[must_use]
pub fn deadline_at_ms(
    route: &configuration::Route,
    head: &request::Head,
    received_at_ms: u64,
) -> u64 {
    let wait_ms = head.deadline_ms.unwrap_or(route.timeout_ms).min(route.timeout_ms);
    received_at_ms + wait_ms.saturating_sub(RESPONSE_MARGIN_MS)
}
