//! Processing of a caller's request from admission to the response.

use std::collections;
use std::sync::Arc;
use std::time;

use rand::RngExt as _;
use toucanwall_platform::request;
use toucanwall_platform::response;
use toucanwall_policy::admission;
use toucanwall_policy::attribution;
use toucanwall_policy::canary;
use toucanwall_policy::cold_starts;
use toucanwall_policy::crash_causes;
use toucanwall_policy::placement;
use toucanwall_policy::server_limits;
use toucanwall_policy::server_notices;
use toucanwall_routing::configuration;
use toucanwall_routing::name;
use toucanwall_routing::server;

use crate::attempt;
use crate::crashes;
use crate::execution;
use crate::ingress;
use crate::limits;
use crate::memory_budget;
use crate::patience;
use crate::pool;
use crate::sse;
use crate::state;
use crate::stream;

/// Time before the caller's deadline at which a request times out, in milliseconds. The response
/// has to reach the caller before the caller gives up.
const RESPONSE_MARGIN_MS: u64 = 20;
/// Minimum time until the deadline for which another attempt is worthwhile, in milliseconds.
const MIN_ATTEMPT_MS: u64 = 30;
/// Retry-after time for callers where a server is expected to be free soon, in milliseconds. Jitter
/// of up to the same time is added, so that callers do not retry simultaneously.
const RETRY_SOON_MS: u64 = 300;
/// Retry-after time for callers where no server is available or the retry budget is exhausted, in
/// milliseconds.
const RETRY_LATER_MS: u64 = 1_000;

/// A caller's request and the state of its processing.
#[derive(Debug)]
pub struct Exchange {
    /// State that all requests share.
    pub state: Arc<state::GatewayState>,
    /// Fields of the head that the gateway interprets.
    pub head: request::Head,
    /// Method, path and headers.
    pub parts: hyper::http::request::Parts,
    /// Body of the request.
    pub body: bytes::Bytes,
    /// What is held for the caller.
    pub account: memory_budget::Account,
    /// Route that matches the request.
    pub route: Arc<configuration::Route>,
    /// Organisation to which the API key belongs.
    pub organisation: Option<Arc<configuration::Organisation>>,
    /// Whether the API key is removed before the request is sent to a server.
    pub strips_key: bool,
    /// Hash of what identifies the request's content across its tries.
    pub content_hash: u64,
    /// Hashes of the parts of the prompt in order, the last of which is the request's own.
    pub part_hashes: Arc<[u64]>,
    /// Service that runs the request.
    pub service: name::ServiceName,
    /// Time at which the request was received, on the monotonic clock in milliseconds.
    pub received_at_ms: u64,
    /// Deadline of the response, on the monotonic clock in milliseconds.
    pub deadline_at_ms: u64,
    /// ID of the last event that the caller has received.
    pub last_event_id: Option<u64>,
    /// Model that runs the request, if the gateway chooses it.
    pub model: Option<name::ModelName>,
    /// Number of attempts so far.
    pub attempts: u32,
    /// Which version failed attempts count against.
    pub attribution: attribution::Attribution,
    /// Servers to which the request is not sent again.
    pub excluded: collections::BTreeSet<name::ServerId>,
    /// Whether the request may have reached a server.
    pub send_record: execution::SendRecord,
    /// Place among the requests that wait for permits.
    pub place: limits::Place,
    /// Until when the request may wait for a permit, in milliseconds, once it waits.
    pub waits_until_ms: Option<u64>,
}

/// Final response to a request.
#[derive(Debug)]
pub enum Response {
    /// A response that is buffered in full.
    Complete(hyper::Response<bytes::Bytes>),
    /// An event stream that has started.
    Stream(Box<stream::EventStream>),
    /// The request did not run.
    Refused(response::Refusal, &'static str),
    /// It is unknown whether the request ran.
    Failed(hyper::StatusCode, &'static str),
}

/// Server to which a request is sent.
#[derive(Debug, Clone)]
pub struct Assignment {
    /// Server that was chosen.
    pub server: Arc<server::BackendServer>,
    /// Side of the roll-out that the server is on, if a roll-out is in progress.
    pub side: Option<canary::Side>,
    /// Work before the first byte of the response, in prompt tokens of the smallest model.
    pub units: u64,
    /// Permit for the request, if the server names a limit.
    pub permit: Option<server_limits::Permit>,
}

/// The result of choosing a server among those on a side of a roll-out.
#[derive(Debug)]
pub struct Selection {
    /// The choice.
    pub choice: placement::Choice,
    /// Side of the roll-out that was chosen from.
    pub side: Option<canary::Side>,
    /// Server that would have been chosen if there were a permit for it.
    pub without_permit: Option<name::ServerId>,
    /// Whether servers were left out because they are cold.
    pub has_held_back: bool,
}

/// Decision on whether to make another attempt.
enum NextStep {
    Send(Assignment, execution::Execution<execution::Sent>),
    /// Wait for a permit of a server and decide again.
    Wait(limits::Waiting, execution::Status),
    End(Response),
}

/// What follows once there is nothing to wait for.
enum SettledStep {
    Send(Assignment, execution::Execution<execution::Sent>),
    End(Response),
}

/// Outcome of an attempt.
enum AttemptOutcome {
    Response(Response),
    /// The model reported low confidence; a larger model runs the request.
    Escalate(name::ModelName),
    Failed(attempt::AttemptError, Option<execution::NotRunProof>),
}

impl Response {
    fn is_server_error(&self) -> bool {
        matches!(self, Self::Complete(response) if response.status().is_server_error())
    }
}

impl Exchange {
    /// Makes attempts until there is a final response.
    pub async fn run(mut self) -> Response {
        self.state.record_request(&self.service);
        let mut execution = execution::Status::NotRun(execution::Execution::new());
        // The latest 5xx response of a server, returned if no later attempt succeeds.
        let mut fallback: Option<hyper::Response<bytes::Bytes>> = None;
        loop {
            let (assignment, sent) = match self.next_settled_step(execution).await {
                SettledStep::Send(assignment, sent) => (assignment, sent),
                SettledStep::End(response) => {
                    self.settle_failure();
                    return fallback.map_or(response, Response::Complete);
                }
            };
            let server = self.record_attempt(&assignment);
            let (side, sent_at_ms) = (assignment.side, self.state.clock.now_ms());
            let (outcome, error_response) = self.run_attempt(assignment).await;
            fallback = error_response.or(fallback);
            match &outcome {
                AttemptOutcome::Failed(error, _) if error.is_server_failure() => {
                    self.record_failure(side, sent_at_ms);
                }
                AttemptOutcome::Response(response) if response.is_server_error() => {
                    self.record_failure(side, sent_at_ms);
                    self.settle_failure();
                }
                AttemptOutcome::Response(_) | AttemptOutcome::Escalate(_) => self.settle_failure(),
                AttemptOutcome::Failed(..) => {}
            }
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
                    self.uncount_unsent(&error);
                    match proof {
                        Some(proof) => sent.proved_not_run(proof),
                        None => sent.unknown(),
                    }
                }
            };
        }
    }

    /// Resumes an interrupted stream on another server.
    ///
    /// # Errors
    /// The reason why the stream cannot be resumed.
    pub async fn resume(&mut self) -> Result<attempt::OpenResponse, &'static str> {
        if self.route.idempotency != configuration::Idempotency::Resumable {
            return Err("route does not allow resumption");
        }
        let mut execution = execution::Status::interrupted();
        loop {
            let (assignment, sent) = match self.next_settled_step(execution).await {
                SettledStep::Send(assignment, sent) => (assignment, sent),
                SettledStep::End(Response::Refused(_, reason) | Response::Failed(_, reason)) => {
                    return Err(reason);
                }
                SettledStep::End(Response::Complete(_) | Response::Stream(_)) => {
                    return Err("request ended with a complete response");
                }
            };
            let server = self.record_attempt(&assignment);
            let timeout = self.response_timeout();
            execution = match attempt::send(self, assignment, timeout).await {
                Ok(opened) if stream::is_event_stream(&opened) => return Ok(opened),
                Ok(mut opened) => {
                    opened.in_flight.record_outcome(placement::Outcome::Failed);
                    self.log_event("resumption failed", &server, opened.head.status.as_str());
                    sent.unknown()
                }
                Err((error, proof)) => {
                    self.log_event("resumption failed", &server, &error.to_string());
                    self.state.metrics.record_attempt_error(&error);
                    self.uncount_unsent(&error);
                    match proof {
                        Some(proof) => sent.proved_not_run(proof),
                        None => sent.unknown(),
                    }
                }
            };
        }
    }

    /// Records a failed attempt as evidence on the version of its server. One that lasted until the
    /// deadline says how long the server takes, not that it failed.
    fn record_failure(&mut self, side: Option<canary::Side>, sent_at_ms: u64) {
        let now_ms = self.state.clock.now_ms();
        if now_ms + MIN_ATTEMPT_MS < self.deadline_at_ms {
            self.attribution.record_failure(side, self.head.session.is_some());
            return;
        }
        let answer = canary::Answer {
            first_byte_ms: Some(now_ms.saturating_sub(sent_at_ms)),
            has_timed_out: true,
            ..canary::Answer::default()
        };
        self.record_rollout_answer(side, answer);
    }

    /// Counts a failed attempt against the version that failed it, now that no further attempt can
    /// show that the request itself fails.
    fn settle_failure(&mut self) {
        if let Some(side) = self.attribution.settle() {
            let answer = canary::Answer { has_failed: true, ..canary::Answer::default() };
            self.record_rollout_answer(side, answer);
        }
    }

    fn record_rollout_answer(&self, side: Option<canary::Side>, answer: canary::Answer) {
        let now_ms = self.state.clock.now_ms();
        self.state.rollouts.record_response(&self.service, side, self.kind(), answer, now_ms);
    }

    /// Counts and logs an attempt, and excludes the server from later ones.
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

    /// Does not count an attempt whose request was not sent because the server had begun to leave or
    /// to pause, or had reached its limit, or was cold.
    fn uncount_unsent(&mut self, error: &attempt::AttemptError) {
        if matches!(
            error,
            attempt::AttemptError::Leaving
                | attempt::AttemptError::Paused
                | attempt::AttemptError::Limited
                | attempt::AttemptError::Cold
        ) {
            self.attempts = self.attempts.saturating_sub(1);
        }
    }

    /// Decides whether to make another attempt, and on which server, and waits for a permit if that is
    /// worthwhile.
    async fn next_settled_step(&mut self, mut execution: execution::Status) -> SettledStep {
        loop {
            match self.next_step(execution) {
                NextStep::Send(assignment, sent) => {
                    self.waits_until_ms = None;
                    return SettledStep::Send(assignment, sent);
                }
                NextStep::End(response) => return SettledStep::End(response),
                NextStep::Wait(waiting, unsent) => {
                    execution = unsent;
                    let now_ms = self.state.clock.now_ms();
                    let until_ms = *self.waits_until_ms.get_or_insert(now_ms + limits::MAX_WAIT_MS);
                    let timeout = time::Duration::from_millis(until_ms.saturating_sub(now_ms));
                    waiting.wait(timeout).await;
                }
            }
        }
    }

    /// Decides whether to make another attempt, and on which server.
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
        let bad_gateway = hyper::StatusCode::BAD_GATEWAY;
        let is_unknown = matches!(execution, execution::Status::Unknown);
        if let Some((reason, retry_after_ms)) = self.rejection_after_crashes(is_unknown, now_ms) {
            return Self::give_up(execution, bad_gateway, retry_after_ms, reason);
        }
        if is_unknown && !self.allows_retry() {
            return Self::give_up(execution, bad_gateway, None, "outcome unknown");
        }
        if self.attempts >= self.route.max_attempts {
            return Self::give_up(execution, bad_gateway, Some(RETRY_SOON_MS), "attempts used up");
        }
        let selection = self.choose_server(now_ms, self.placement_request(), &self.excluded);
        if let (Some(id), None) = (&selection.without_permit, self.waits_until_ms) {
            self.state.limits.record_demand(id, self.caller_priority(), now_ms);
        }
        let side = selection.side;
        if selection.has_held_back {
            let has_other = matches!(selection.choice, placement::Choice::Server { .. });
            self.state.metrics.record_cold_hold(&self.service, has_other);
        }
        match (selection.choice, selection.without_permit) {
            (placement::Choice::Server { server, units }, _) => {
                let chosen = Assignment { server, side, units, permit: None };
                self.assign(chosen, execution, now_ms)
            }
            (placement::Choice::Full | placement::Choice::NoServer, Some(limited)) => {
                self.wait_for_permit(&limited, execution, now_ms)
            }
            (placement::Choice::Full, None) => {
                Self::give_up(execution, bad_gateway, Some(RETRY_SOON_MS), "all servers full")
            }
            (placement::Choice::NoServer, None) if selection.has_held_back => {
                let retry_after_ms =
                    cold_starts::retry_after_ms(self.caller_priority(), rand::rng().random());
                let reason = "all servers are cold";
                Self::give_up_until(execution, bad_gateway, Some(retry_after_ms), reason)
            }
            (placement::Choice::NoServer, None) => self.give_up_without_server(execution, now_ms),
        }
    }

    /// Sends the request to the chosen server if admission control, the retry budget and the server's
    /// limit allow it.
    fn assign(&self, chosen: Assignment, execution: execution::Status, now_ms: u64) -> NextStep {
        let bad_gateway = hyper::StatusCode::BAD_GATEWAY;
        if let Some(rejection) = self.reject_attempt(chosen.units, now_ms) {
            let (reason, retry_after_ms) = (rejection.reason, rejection.retry_after_ms);
            return Self::give_up(execution, bad_gateway, Some(retry_after_ms), reason);
        }
        if self.attempts > 0 && !self.state.try_take_retry(&self.service) {
            let reason = "retry budget used up";
            return Self::give_up(execution, bad_gateway, Some(RETRY_LATER_MS), reason);
        }
        let permit = match self.state.limits.take_permit(&chosen.server, None, now_ms) {
            limits::Permission::Unlimited => None,
            limits::Permission::Permitted(permit) => Some(permit),
            limits::Permission::Denied => {
                return self.wait_for_permit(&chosen.server.id, execution, now_ms);
            }
        };
        NextStep::Send(Assignment { permit, ..chosen }, execution.send())
    }

    /// Lets the request wait for a permit of a server, or rejects it if it has waited or so many others
    /// wait that it has no prospect.
    fn wait_for_permit(
        &self,
        id: &name::ServerId,
        execution: execution::Status,
        now_ms: u64,
    ) -> NextStep {
        let has_time = self.waits_until_ms.is_none_or(|until_ms| now_ms < until_ms);
        if let Some(waiting) =
            has_time.then(|| self.state.limits.begin_wait(id, self.place)).flatten()
        {
            return NextStep::Wait(waiting, execution);
        }
        let random = rand::rng().random();
        let retry_after_ms = admission::retry_after_limit_ms(self.caller_priority(), random);
        let reason = "all servers have reached their limit";
        Self::give_up_until(execution, hyper::StatusCode::BAD_GATEWAY, Some(retry_after_ms), reason)
    }

    /// Why the request may not be sent to a server, since servers ended under it or under a part of
    /// its prompt, and when to try again.
    fn rejection_after_crashes(
        &self,
        is_unknown: bool,
        now_ms: u64,
    ) -> Option<(&'static str, Option<u64>)> {
        match self.crash_verdict(now_ms) {
            crashes::Verdict::PartBlocked => Some(("a part of the prompt ends servers", None)),
            crashes::Verdict::RequestBlocked { retry_after_ms } => {
                Some(("servers ended under this request", Some(retry_after_ms)))
            }
            crashes::Verdict::Held { retry_after_ms } => {
                Some(("a part of the prompt may end servers", Some(retry_after_ms)))
            }
            crashes::Verdict::Suspected if is_unknown => {
                Some(("a part of the prompt may end servers; not sent again", None))
            }
            crashes::Verdict::Suspected | crashes::Verdict::Allowed => None,
        }
    }

    /// Whether the request may be sent to servers, in view of crashes.
    #[must_use]
    pub fn crash_verdict(&self, now_ms: u64) -> crashes::Verdict {
        self.state.crashes.verdict(self.content_hash, &self.part_hashes, now_ms)
    }

    /// What the request is suspected of if its server ends.
    #[must_use]
    pub fn suspect(&self) -> crash_causes::Suspect {
        let shared = self.part_hashes.split_last().map_or(&[][..], |(_, shared)| shared);
        crash_causes::Suspect {
            content_hash: self.content_hash,
            progress: crash_causes::Progress::Waiting,
            parts: shared.iter().take(crash_causes::MAX_PARTS).copied().collect(),
        }
    }

    fn give_up_without_server(&self, execution: execution::Status, now_ms: u64) -> NextStep {
        let bad_gateway = hyper::StatusCode::BAD_GATEWAY;
        if self.is_confined_to_other_regions() {
            let reason = "no server in an allowed region";
            return Self::give_up(execution, bad_gateway, Some(RETRY_LATER_MS), reason);
        }
        let has_ready_servers = !self.state.view().ready_servers_of(&self.service).is_empty();
        let (servers, _) = self.servers_on_side(self.rollout_request(), now_ms);
        let reason = match self.state.earliest_acceptance(&servers) {
            server_notices::Acceptance::Paused { until_ms } => {
                let reason = "all servers have asked for a pause";
                let left_ms = until_ms.saturating_sub(now_ms);
                let random = rand::rng().random();
                let retry_after_ms =
                    admission::retry_after_pause_ms(left_ms, self.caller_priority(), random);
                return Self::give_up_until(execution, bad_gateway, Some(retry_after_ms), reason);
            }
            server_notices::Acceptance::Leaving if has_ready_servers => "all servers are leaving",
            server_notices::Acceptance::Leaving | server_notices::Acceptance::Accepts => {
                "no server left"
            }
        };
        Self::give_up(execution, bad_gateway, Some(RETRY_LATER_MS), reason)
    }

    fn give_up(
        execution: execution::Status,
        status_if_unknown: hyper::StatusCode,
        retry_after_ms: Option<u64>,
        reason: &'static str,
    ) -> NextStep {
        let retry_after_ms = retry_after_ms.map(ingress::with_jitter_ms);
        Self::give_up_until(execution, status_if_unknown, retry_after_ms, reason)
    }

    /// Gives up with a retry-after time to which no jitter is added.
    fn give_up_until(
        execution: execution::Status,
        status_if_unknown: hyper::StatusCode,
        retry_after_ms: Option<u64>,
        reason: &'static str,
    ) -> NextStep {
        NextStep::End(match execution {
            execution::Status::NotRun(not_run) => {
                let status = hyper::StatusCode::SERVICE_UNAVAILABLE;
                Response::Refused(not_run.refuse(status, retry_after_ms), reason)
            }
            execution::Status::Unknown => Response::Failed(status_if_unknown, reason),
        })
    }

    /// Chooses a server among those on the side of the roll-out that serves the request.
    #[must_use]
    pub fn choose_server(
        &self,
        now_ms: u64,
        placement_request: placement::Request<'_>,
        excluded: &collections::BTreeSet<name::ServerId>,
    ) -> Selection {
        let request = self.rollout_request();
        let (mut servers, mut side) = self.servers_on_side(request, now_ms);
        self.state.retain_accepting(&mut servers);
        let mut exhausted = self.state.limits.exhausted(&servers, self.place, now_ms);
        let mut held_back = self.state.cold_starts.held_back(&servers, now_ms);
        let is_unavailable = |server: &Arc<server::BackendServer>| {
            exhausted.contains(&server.id) || held_back.contains(&server.id)
        };
        if side == Some(canary::Side::Target) && servers.iter().all(is_unavailable) {
            // A session stays on its side all the same.
            let on_baseline = canary::Request { has_failed_on_target: true, ..request };
            (servers, side) = self.servers_on_side(on_baseline, now_ms);
            self.state.retain_accepting(&mut servers);
            exhausted = self.state.limits.exhausted(&servers, self.place, now_ms);
            held_back = self.state.cold_starts.held_back(&servers, now_ms);
        }
        servers.retain(|server| !excluded.contains(&server.id) && !held_back.contains(&server.id));
        let has_held_back = !held_back.is_empty();
        self.state.crashes.confine(&self.part_hashes, &mut servers);
        let placement = self.state.placement();
        let rng = &mut rand::rng();
        let choice = placement.choose(placement_request, &servers, excluded, now_ms, rng);
        let placement::Choice::Server { server, .. } = &choice else {
            return Selection { choice, side, without_permit: None, has_held_back };
        };
        if !exhausted.contains(&server.id) {
            return Selection { choice, side, without_permit: None, has_held_back };
        }
        let without_permit = Some(server.id.clone());
        exhausted.extend(excluded.iter().cloned());
        let choice = placement.choose(placement_request, &servers, &exhausted, now_ms, rng);
        Selection { choice, side, without_permit, has_held_back }
    }

    /// The servers that may run a request, some of which may pause. Pauses end, so they do not move a
    /// request to the other side of a roll-out.
    fn servers_on_side(
        &self,
        request: canary::Request,
        now_ms: u64,
    ) -> (Vec<Arc<server::BackendServer>>, Option<canary::Side>) {
        let servers = self.staying_servers();
        self.state.rollouts.eligible_servers(&self.service, &servers, request, now_ms)
    }

    /// Makes an attempt. Also returns the server's 5xx response if the attempt may be retried.
    async fn run_attempt(
        &self,
        assignment: Assignment,
    ) -> (AttemptOutcome, Option<hyper::Response<bytes::Bytes>>) {
        let mut opened = match attempt::send(self, assignment, self.response_timeout()).await {
            Ok(opened) => opened,
            Err((error, proof)) => return (AttemptOutcome::Failed(error, proof), None),
        };
        if let Some(model) = self.escalation_target(&opened.head) {
            opened.in_flight.record_first_byte();
            return (AttemptOutcome::Escalate(model), None);
        }
        if stream::is_event_stream(&opened) {
            return (self.begin_stream(opened).await, None);
        }
        self.buffer_response(opened).await
    }

    async fn begin_stream(&self, opened: attempt::OpenResponse) -> AttemptOutcome {
        let splitter = sse::EventSplitter::resume_after(self.last_event_id);
        match stream::EventStream::begin(opened, splitter, self.response_timeout()).await {
            Ok(mut event_stream) => {
                if self.attribution.is_none() {
                    event_stream.count_break();
                }
                AttemptOutcome::Response(Response::Stream(Box::new(event_stream)))
            }
            Err(error) => AttemptOutcome::Failed(error, None),
        }
    }

    async fn buffer_response(
        &self,
        opened: attempt::OpenResponse,
    ) -> (AttemptOutcome, Option<hyper::Response<bytes::Bytes>>) {
        let attempt::OpenResponse { head, parts, body, connection, mut in_flight } = opened;
        in_flight.record_first_byte();
        let reading = self.state.memory_budget.read(body, &self.account);
        let deadline = tokio::time::Instant::now() + self.response_timeout();
        let bytes = match patience::until(deadline, reading).await {
            Ok(Ok(bytes)) => bytes,
            Ok(Err(error)) => {
                in_flight.record_outcome(placement::Outcome::Failed);
                return (AttemptOutcome::Failed(error.into(), None), None);
            }
            Err(patience::Elapsed) => {
                in_flight.record_outcome(placement::Outcome::Failed);
                let timeout_ms = self.remaining_ms();
                return (
                    AttemptOutcome::Failed(attempt::AttemptError::TimedOut { timeout_ms }, None),
                    None,
                );
            }
        };
        let status = head.status;
        // A server that ends behind the head looks the same as one that has nothing to say.
        let is_head_response = self.parts.method == hyper::Method::HEAD;
        if bytes.is_empty()
            && in_flight.ends_with_connection()
            && status == hyper::StatusCode::OK
            && !is_head_response
        {
            let reason = "connection ended before the body".to_owned();
            let error = in_flight.record_break(reason).await;
            return (AttemptOutcome::Failed(error, None), None);
        }
        if !is_head_response && in_flight.may_be_cut_off().await {
            let reason = "server ended with its response".to_owned();
            let error = in_flight.record_break(reason).await;
            return (AttemptOutcome::Failed(error, None), None);
        }
        in_flight.release_connection(connection, head.keep_alive);
        let is_failure = status.is_server_error();
        if is_failure {
            in_flight.record_outcome(placement::Outcome::Failed);
        } else {
            in_flight.record_success();
        }
        let mut response = hyper::Response::new(bytes);
        *response.status_mut() = status;
        *response.headers_mut() = response::encode(&parts.headers);
        if is_failure && self.allows_retry() {
            return (
                AttemptOutcome::Failed(attempt::AttemptError::ServerError(status), None),
                Some(response),
            );
        }
        (AttemptOutcome::Response(Response::Complete(response)), None)
    }

    /// Builds the request that is sent to a server.
    ///
    /// # Errors
    /// The parts do not form a valid HTTP request.
    pub fn request_to(
        &self,
        server: &server::BackendServer,
    ) -> Result<hyper::Request<pool::RequestBody>, hyper::http::Error> {
        let forwarded = request::UpstreamRequest {
            server: &server.id,
            deadline_ms: self.remaining_ms(),
            organisation: self.organisation.as_ref().map(|organisation| &organisation.name),
            last_event_id: self.last_event_id,
            model: self.model.as_ref(),
            priority: Some(self.server_priority()),
            strips_api_key: self.strips_key,
        };
        let path = self.parts.uri.path_and_query().map_or("/", |path| path.as_str());
        let mut request = hyper::Request::builder()
            .method(self.parts.method.clone())
            .uri(path)
            .body(pool::RequestBody::new(self.body.clone()))?;
        *request.headers_mut() = request::encode(&self.parts.headers, &forwarded);
        Ok(request)
    }

    /// Returns whether the request may be sent again although it may have run already.
    #[must_use]
    pub fn allows_retry(&self) -> bool {
        self.route.idempotency.allows_retry()
    }

    /// Returns the time until the deadline in milliseconds.
    #[must_use]
    pub fn remaining_ms(&self) -> u64 {
        self.deadline_at_ms.saturating_sub(self.state.clock.now_ms())
    }

    /// Returns a hash of the route and the model, by which roll-outs group comparable requests.
    #[must_use]
    pub fn kind(&self) -> canary::Kind {
        let model = self.model.as_ref().map_or("", name::ModelName::as_str);
        let route = ingress::stable_hash(self.route.name.as_str());
        canary::Kind { route, timing: route ^ ingress::stable_hash(model) }
    }

    fn log_event(&self, what: &str, server: &server::BackendServer, why: &str) {
        log::info!(
            target: "toucanwall",
            request = &*self.head.attempt_id, route = self.route.name.as_str(),
            server = server.id.as_str(), attempt = self.attempts, left_ms = self.remaining_ms(),
            content = format!("{:016x}", self.content_hash), why = why; "{what}"
        );
    }
}

/// Returns the deadline of a request: the caller's deadline or the route's timeout, whichever is
/// earlier, less [`RESPONSE_MARGIN_MS`].
#[must_use]
pub fn deadline_at_ms(
    route: &configuration::Route,
    head: &request::Head,
    received_at_ms: u64,
) -> u64 {
    let wait_ms = head.deadline_ms.unwrap_or(route.timeout_ms).min(route.timeout_ms);
    received_at_ms + wait_ms.saturating_sub(RESPONSE_MARGIN_MS)
}
