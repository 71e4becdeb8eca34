//! One caller's request, from its admission to the answer.

use std::collections;
use std::sync::Arc;

use http_body_util::BodyExt as _;
use toucanwall_platform::request;
use toucanwall_platform::response;
use toucanwall_policy::admission;
use toucanwall_policy::canary;
use toucanwall_policy::placement;
use toucanwall_routing::configuration;
use toucanwall_routing::name;
use toucanwall_routing::server;

use crate::attempt;
use crate::events;
use crate::fate;
use crate::front;
use crate::pool;
use crate::stream;
use crate::traffic;

/// Largest answer that is held until it is whole, in bytes.
const WHOLE_MAX_BYTES: usize = 16 * 1024 * 1024;
/// Time before the deadline at which a request is answered, in milliseconds: the answer has to get
/// to the caller before it leaves.
const ANSWER_MARGIN_MS: u64 = 20;
/// Shortest time that is left for a server to be of use, in milliseconds.
const USEFUL_MS: u64 = 30;
/// Time after which a caller may come back where a server is expected to be free soon, in
/// milliseconds; doubled by chance, so that callers do not come back together.
const RETRY_SOON_MS: u64 = 300;
/// Time after which a caller may come back where no server is known, in milliseconds.
const RETRY_LATER_MS: u64 = 1_000;

/// One caller's request.
#[derive(Debug)]
pub struct Exchange {
    /// What all requests share.
    pub traffic: Arc<traffic::Traffic>,
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
    pub hides_key: bool,
    /// The service that runs it.
    pub service: name::ServiceName,
    /// When it came in.
    pub arrived_ms: u64,
    /// When its answer is due.
    pub due_ms: u64,
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
pub enum Answer {
    /// A whole one.
    Whole(hyper::Response<bytes::Bytes>),
    /// A stream that has begun.
    Stream(Box<stream::Stream>),
    /// The request was not run.
    Refused(response::Refusal, &'static str),
    /// Nobody can tell whether it ran.
    Failed(hyper::StatusCode, &'static str),
}

/// Where a request goes.
#[derive(Debug, Clone)]
pub struct Placed {
    /// The server.
    pub server: Arc<server::BackendServer>,
    /// The side of a roll-out that it is on.
    pub side: Option<canary::Side>,
    /// Work that lies before the first byte, in prompt tokens of the smallest model.
    pub units: u64,
}

/// What to do next about a request.
enum Next {
    Send(Placed, fate::Fate<fate::Sent>),
    End(Answer),
}

/// What one send came to.
enum Outcome {
    Answer(Answer),
    /// The model doubts its answer; a larger one is asked.
    Escalate(name::ModelName),
    Fault(attempt::Fault, Option<fate::Proof>),
}

impl Exchange {
    /// Sends the request until there is an answer.
    pub async fn run(mut self) -> Answer {
        self.traffic.note_request(&self.service);
        let mut settled = fate::Settled::NotRun(fate::Fate::new());
        // A server's own failure is passed on where nothing better comes of it.
        let mut failure: Option<hyper::Response<bytes::Bytes>> = None;
        loop {
            let (placed, sent) = match self.next(settled) {
                Next::Send(placed, sent) => (placed, sent),
                Next::End(answer) => return failure.map_or(answer, Answer::Whole),
            };
            let server = self.leave_for(&placed);
            let (outcome, failed) = self.attempt(placed).await;
            failure = failed.or(failure);
            settled = match outcome {
                Outcome::Answer(Answer::Stream(mut begun)) => {
                    begun.adopt(self);
                    return Answer::Stream(begun);
                }
                Outcome::Answer(answer) => return answer,
                Outcome::Escalate(model) => {
                    self.log_step("escalated to a larger model", &server, model.as_str());
                    self.model = Some(model);
                    self.excluded.clear();
                    sent.unknown()
                }
                Outcome::Fault(fault, proof) => {
                    self.log_step("attempt failed", &server, &fault.to_string());
                    self.traffic.metrics.attempt_failed(&fault);
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
    pub async fn resume(&mut self) -> Result<attempt::Opened, &'static str> {
        if self.route.idempotency != configuration::Idempotency::Resumable {
            return Err("it may not be resumed");
        }
        let mut settled = fate::Settled::interrupted();
        loop {
            let (placed, sent) = match self.next(settled) {
                Next::Send(placed, sent) => (placed, sent),
                Next::End(Answer::Refused(_, reason) | Answer::Failed(_, reason)) => {
                    return Err(reason);
                }
                Next::End(Answer::Whole(_) | Answer::Stream(_)) => {
                    return Err("it ended in another way");
                }
            };
            let server = self.leave_for(&placed);
            let patience = self.patience();
            settled = match attempt::open(self, placed, patience).await {
                Ok(opened) if stream::is_stream(&opened.parts) => return Ok(opened),
                Ok(opened) => {
                    self.log_step("resumption failed", &server, opened.head.status.as_str());
                    sent.unknown()
                }
                Err((fault, proof)) => {
                    self.log_step("resumption failed", &server, &fault.to_string());
                    self.traffic.metrics.attempt_failed(&fault);
                    match proof {
                        Some(proof) => sent.proved_not_run(proof),
                        None => sent.unknown(),
                    }
                }
            };
        }
    }

    /// Notes that the request goes to a server.
    fn leave_for(&mut self, placed: &Placed) -> Arc<server::BackendServer> {
        self.attempts += 1;
        self.excluded.insert(placed.server.id.clone());
        let view = self.traffic.view();
        log::info!(
            target: "toucanwall",
            request = &*self.head.attempt_id, route = self.route.name.as_str(),
            server = placed.server.id.as_str(), version = placed.server.version.as_str(),
            attempt = self.attempts, left_ms = self.left_ms(), work = placed.units,
            model = self.model.as_ref().map(name::ModelName::as_str),
            side = placed.side.map(canary::Side::as_str), configuration = view.version(),
            view_age_ms = view.age_ms(self.traffic.clock.now_ms()); "sent"
        );
        Arc::clone(&placed.server)
    }

    /// Decides about the next send.
    fn next(&self, settled: fate::Settled) -> Next {
        let now_ms = self.traffic.clock.now_ms();
        if now_ms + USEFUL_MS >= self.due_ms {
            return Self::give_up(
                settled,
                hyper::StatusCode::GATEWAY_TIMEOUT,
                None,
                "no time left",
            );
        }
        let is_doubtful = matches!(settled, fate::Settled::Doubtful);
        let bad_gateway = hyper::StatusCode::BAD_GATEWAY;
        if is_doubtful && !self.is_repeatable() {
            return Self::give_up(settled, bad_gateway, None, "outcome unknown");
        }
        if self.attempts >= self.route.max_attempts {
            return Self::give_up(settled, bad_gateway, Some(RETRY_SOON_MS), "attempts used up");
        }
        if self.attempts > 0 && !self.traffic.try_repeat(&self.service) {
            let reason = "retry budget used up";
            return Self::give_up(settled, bad_gateway, Some(RETRY_LATER_MS), reason);
        }
        match self.choose(now_ms, self.job(), &self.excluded) {
            (placement::Choice::Server { server, units }, side) => {
                let work = (self.service.clone(), self.model.clone());
                let expected_ms = self.traffic.expect_ms(&work, units);
                match admission::decide(expected_ms, self.due_ms.saturating_sub(now_ms)) {
                    admission::Decision::Refuse { retry_after_ms } if self.attempts == 0 => {
                        let reason = "cannot be answered in time";
                        Self::give_up(settled, bad_gateway, Some(retry_after_ms), reason)
                    }
                    _ => Next::Send(Placed { server, side, units }, settled.send()),
                }
            }
            (placement::Choice::Full, _) => {
                Self::give_up(settled, bad_gateway, Some(RETRY_SOON_MS), "all servers full")
            }
            (placement::Choice::NoServer, _) => {
                Self::give_up(settled, bad_gateway, Some(RETRY_LATER_MS), "no server left")
            }
        }
    }

    fn give_up(
        settled: fate::Settled,
        doubtful: hyper::StatusCode,
        retry_after_ms: Option<u64>,
        reason: &'static str,
    ) -> Next {
        Next::End(match settled {
            fate::Settled::NotRun(fate) => {
                let retry_after_ms = retry_after_ms.map(front::spread_ms);
                let status = hyper::StatusCode::SERVICE_UNAVAILABLE;
                Answer::Refused(fate.refuse(status, retry_after_ms), reason)
            }
            fate::Settled::Doubtful => Answer::Failed(doubtful, reason),
        })
    }

    /// Chooses a server, on the side of a roll-out that the request falls to.
    #[must_use]
    pub fn choose(
        &self,
        now_ms: u64,
        job: placement::Request<'_>,
        excluded: &collections::BTreeSet<name::ServerId>,
    ) -> (placement::Choice, Option<canary::Side>) {
        let view = self.traffic.view();
        let servers = view.ready_servers_of(&self.service);
        let request = self.stable_request();
        let rollouts = &self.traffic.rollouts;
        let (servers, side) = rollouts.eligible(&self.service, servers, request, now_ms);
        let choice =
            self.traffic.placement().choose(job, &servers, excluded, now_ms, &mut rand::rng());
        (choice, side)
    }

    /// One send; also returns a server's own failure, which may be passed on.
    async fn attempt(&self, placed: Placed) -> (Outcome, Option<hyper::Response<bytes::Bytes>>) {
        let opened = match attempt::open(self, placed, self.patience()).await {
            Ok(opened) => opened,
            Err((fault, proof)) => return (Outcome::Fault(fault, proof), None),
        };
        if let Some(model) = self.larger_model(&opened.head) {
            return (Outcome::Escalate(model), None);
        }
        if opened.head.status.is_success() && stream::is_stream(&opened.parts) {
            return (self.begin_stream(opened).await, None);
        }
        self.take_whole(opened).await
    }

    async fn begin_stream(&self, opened: attempt::Opened) -> Outcome {
        let events = events::Events::after(self.last_event_id);
        match stream::Stream::begin(opened, events, self.patience()).await {
            Ok(begun) => Outcome::Answer(Answer::Stream(Box::new(begun))),
            Err(fault) => Outcome::Fault(fault, None),
        }
    }

    async fn take_whole(
        &self,
        opened: attempt::Opened,
    ) -> (Outcome, Option<hyper::Response<bytes::Bytes>>) {
        let attempt::Opened { head, parts, body, connection, mut visit } = opened;
        visit.first_byte();
        let body = http_body_util::Limited::new(body, WHOLE_MAX_BYTES).collect();
        let bytes = match tokio::time::timeout(self.patience(), body).await {
            Ok(Ok(body)) => body.to_bytes(),
            Ok(Err(error)) => {
                visit.ended(placement::Outcome::Failed);
                return (Outcome::Fault(attempt::Fault::Broken(error.to_string()), None), None);
            }
            Err(_elapsed) => {
                visit.ended(placement::Outcome::Failed);
                let patience_ms = self.left_ms();
                return (Outcome::Fault(attempt::Fault::Silent { patience_ms }, None), None);
            }
        };
        visit.keep(connection, head.keep_alive);
        let status = head.status;
        let is_failure = status.is_server_error();
        visit.ended(if is_failure { placement::Outcome::Failed } else { placement::Outcome::Fine });
        let mut response = hyper::Response::new(bytes);
        *response.status_mut() = status;
        *response.headers_mut() = response::encode(&parts.headers);
        if is_failure && self.is_repeatable() {
            return (Outcome::Fault(attempt::Fault::Failed(status), None), Some(response));
        }
        (Outcome::Answer(Answer::Whole(response)), None)
    }

    /// The request as it goes to a server.
    ///
    /// # Errors
    /// Its parts make no request.
    pub fn request_to(
        &self,
        server: &server::BackendServer,
    ) -> Result<hyper::Request<pool::RequestBody>, hyper::http::Error> {
        let forwarded = request::UpstreamRequest {
            server: &server.id,
            deadline_ms: self.left_ms(),
            organisation: self.organisation.as_ref().map(|organisation| &organisation.name),
            last_event_id: self.last_event_id,
            model: self.model.as_ref(),
            priority: Some(self.urgency()),
            strips_api_key: self.hides_key,
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
    pub fn is_repeatable(&self) -> bool {
        self.route.idempotency.allows_retry()
    }

    /// Time until the answer is due, in milliseconds.
    #[must_use]
    pub fn left_ms(&self) -> u64 {
        self.due_ms.saturating_sub(self.traffic.clock.now_ms())
    }

    /// A hash of its kind.
    #[must_use]
    pub fn kind_hash(&self) -> u64 {
        front::hash(self.route.name.as_str())
    }

    fn log_step(&self, what: &str, server: &server::BackendServer, why: &str) {
        log::info!(
            target: "toucanwall",
            request = &*self.head.attempt_id, route = self.route.name.as_str(),
            server = server.id.as_str(), attempt = self.attempts, left_ms = self.left_ms(),
            why = why; "{what}"
        );
    }
}

/// When a request is due: the caller's deadline or the route's time-out, whichever comes first.
#[must_use]
pub fn due_ms(route: &configuration::Route, head: &request::Head, arrived_ms: u64) -> u64 {
    let wait_ms = head.deadline_ms.unwrap_or(route.timeout_ms).min(route.timeout_ms);
    arrived_ms + wait_ms.saturating_sub(ANSWER_MARGIN_MS)
}
