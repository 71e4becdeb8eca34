//! HTTP server for callers: admits requests and sends responses.

use std::net;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic;
use std::time;

use http_body_util::BodyExt as _;
use rand::RngExt as _;
use toucanwall_platform::request;
use toucanwall_platform::response;
use toucanwall_policy::attribution;
use toucanwall_policy::escalation;
use toucanwall_policy::shutdown;
use toucanwall_routing::configuration;
use toucanwall_routing::name;
use toucanwall_routing::view;

use crate::caller_stream;
use crate::exchange;
use crate::execution;
use crate::memory_budget;
use crate::pool;
use crate::read_ahead;
use crate::request_body;
use crate::state;
use crate::stream;

/// Maximum size of a request head in bytes, before a configuration is known; also a lower bound for
/// the configured maximum.
const HEADER_MAX_BYTES: usize = 64 * 1024;
/// Maximum size of a request body in bytes, before a configuration is known.
const BODY_MAX_BYTES: usize = 4 * 1024 * 1024;
/// Timeout for reading a request head and for idle connections in milliseconds, before a
/// configuration is known.
const IDLE_TIMEOUT_MS: u64 = 15_000;
/// Time for which a stopping host waits for requests on connections that it has accepted, in
/// milliseconds.
pub const UNREAD_MS: u64 = 500;
/// Number of connections that may wait to be accepted.
const LISTEN_BACKLOG: u32 = 1_024;
/// Retry-after time while this host has not loaded the state of the deployment, in milliseconds.
const RETRY_NOT_READY_MS: u64 = 500;
/// Retry-after time for a caller that should use another host, in milliseconds.
const RETRY_OTHER_HOST_MS: u64 = 50;

type Body = http_body_util::combinators::UnsyncBoxBody<bytes::Bytes, stream::StreamError>;

/// Listener for connections of callers.
#[derive(Debug)]
pub struct Ingress {
    state: Arc<state::GatewayState>,
    listener: tokio::net::TcpListener,
}

/// What all requests on a connection share.
#[derive(Debug)]
struct Caller {
    account: memory_budget::Account,
    reset_switch: caller_stream::ResetSwitch,
    /// Id of the latest request.
    request: Mutex<Option<Arc<str>>>,
}

/// Guard that counts a request as open until it is dropped.
#[derive(Debug)]
struct OpenRequest(Arc<state::GatewayState>);

/// Guard that counts a connection as open until it is dropped.
#[derive(Debug)]
struct OpenConnection(Arc<state::GatewayState>);

/// Response to a request that is not admitted or not run.
#[derive(Debug, Clone, Copy)]
pub struct Rejection {
    /// Status of the response.
    pub status: hyper::StatusCode,
    /// Why, as in the body of the response.
    pub reason: &'static str,
    /// Time after which the caller may try again, in milliseconds.
    pub retry_after_ms: Option<u64>,
}

/// Sends a caller to another host because this one shuts down.
const STOPPING: Rejection = Rejection {
    status: hyper::StatusCode::SERVICE_UNAVAILABLE,
    reason: "stopping",
    retry_after_ms: Some(RETRY_OTHER_HOST_MS),
};

/// Sends a caller to another host because a body does not fit into the memory beside those of others.
pub const NO_MEMORY: Rejection = Rejection {
    status: hyper::StatusCode::SERVICE_UNAVAILABLE,
    reason: "no memory",
    retry_after_ms: Some(RETRY_OTHER_HOST_MS),
};

impl Ingress {
    /// Binds the listening socket.
    ///
    /// # Errors
    /// The address is in use or does not belong to this machine.
    pub fn bind(
        state: Arc<state::GatewayState>,
        address: net::SocketAddr,
    ) -> std::io::Result<Self> {
        let socket = pool::new_socket(address)?;
        socket.set_reuseaddr(true)?;
        // Accepted connections inherit it.
        socket.set_send_buffer_size(caller_stream::SEND_BUFFER_BYTES)?;
        socket.bind(address)?;
        let listener = socket.listen(LISTEN_BACKLOG)?;
        Ok(Self { state, listener })
    }

    /// Accepts connections until `closing` becomes true. Open connections finish their current
    /// request.
    pub async fn accept(self, mut closing: tokio::sync::watch::Receiver<bool>) {
        loop {
            let accepted = tokio::select! {
                accepted = self.listener.accept() => accepted,
                _ = closing.wait_for(|is_closing| *is_closing) => break,
            };
            match accepted {
                Ok((stream, _)) => start_serving(&self.state, stream, &closing),
                Err(error) => {
                    log::warn!(target: "toucanwall", "cannot accept a connection: {error}");
                    tokio::time::sleep(time::Duration::from_millis(10)).await;
                }
            }
        }
        // Closing the socket resets connections that are established and wait to be accepted.
        // The runtime may not know of the latest ones yet, so the operating system is asked.
        let Self { state, listener } = self;
        let Ok(listener) = listener.into_std() else { return };
        while let Ok((stream, _)) = listener.accept() {
            let accepted =
                stream.set_nonblocking(true).and_then(|()| tokio::net::TcpStream::from_std(stream));
            match accepted {
                Ok(stream) => start_serving(&state, stream, &closing),
                Err(error) => {
                    log::warn!(target: "toucanwall", "cannot serve an accepted connection: {error}");
                }
            }
        }
    }
}

impl Caller {
    /// Records that the connection is closed because of what the caller has not read.
    fn record_given_up(
        &self,
        state: &state::GatewayState,
        reason: &'static str,
        held_bytes: usize,
    ) {
        let request = self.request.lock().unwrap_or_else(PoisonError::into_inner).clone();
        log::info!(
            target: "toucanwall", request = request.as_deref(), why = reason, held_bytes = held_bytes;
            "caller given up"
        );
        state.metrics.record_caller_given_up(reason);
    }
}

impl OpenRequest {
    fn new(state: &Arc<state::GatewayState>) -> Self {
        state.open_requests.fetch_add(1, atomic::Ordering::Relaxed);
        Self(Arc::clone(state))
    }
}

impl OpenConnection {
    fn new(state: &Arc<state::GatewayState>) -> Self {
        state.open_connections.fetch_add(1, atomic::Ordering::Relaxed);
        Self(Arc::clone(state))
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.open_connections.fetch_sub(1, atomic::Ordering::Relaxed);
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.0.open_requests.fetch_sub(1, atomic::Ordering::Relaxed);
    }
}

fn start_serving(
    state: &Arc<state::GatewayState>,
    stream: tokio::net::TcpStream,
    closing: &tokio::sync::watch::Receiver<bool>,
) {
    let open_connection = OpenConnection::new(state);
    tokio::spawn(serve_connection(open_connection, stream, closing.clone()));
}

async fn serve_connection(
    open_connection: OpenConnection,
    stream: tokio::net::TcpStream,
    mut closing: tokio::sync::watch::Receiver<bool>,
) {
    let state = Arc::clone(&open_connection.0);
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!(target: "toucanwall", "cannot set TCP_NODELAY: {error}");
        return;
    }
    let limits = state.view().configuration.as_ref().map(|configuration| configuration.limits());
    let idle_timeout_ms = limits.map_or(IDLE_TIMEOUT_MS, |limits| limits.idle_timeout_ms);
    let header_max_bytes =
        limits.map_or(HEADER_MAX_BYTES, |limits| limits.header_max_bytes.max(HEADER_MAX_BYTES));
    let caller = Arc::new(Caller {
        account: state.memory_budget.open_account(),
        reset_switch: caller_stream::ResetSwitch::default(),
        request: Mutex::default(),
    });
    let stream = caller_stream::CallerStream::new(stream, caller.reset_switch.clone());
    let stalled = stream.stalled();
    let (service_state, service_caller) = (Arc::clone(&state), Arc::clone(&caller));
    let service = hyper::service::service_fn(move |request| {
        let (state, caller) = (Arc::clone(&service_state), Arc::clone(&service_caller));
        async move { Ok::<_, std::convert::Infallible>(serve(state, request, caller).await) }
    });
    let mut builder = hyper::server::conn::http1::Builder::new();
    builder
        .timer(hyper_util::rt::TokioTimer::new())
        .header_read_timeout(time::Duration::from_millis(idle_timeout_ms))
        .max_buf_size(header_max_bytes);
    let connection = builder.serve_connection(hyper_util::rt::TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    let serving = async {
        tokio::select! {
            ended = connection.as_mut() => return ended,
            _ = closing.wait_for(|is_closing| *is_closing) => {}
        }
        // A request may be on its way; its response closes the connection.
        let unread = time::Duration::from_millis(UNREAD_MS);
        match tokio::time::timeout(unread, connection.as_mut()).await {
            Ok(ended) => ended,
            Err(_elapsed) => {
                connection.as_mut().graceful_shutdown();
                connection.as_mut().await
            }
        }
    };
    // Returning drops the connection and whatever is held for it.
    tokio::select! {
        ended = serving => match ended {
            Err(_) if stalled.is_set() => {
                caller.record_given_up(&state, "not reading", caller.account.held_bytes());
            }
            Err(error) => {
                log::debug!(target: "toucanwall", "connection from caller ended with an error: {error}");
            }
            Ok(()) => {}
        },
        held_bytes = caller.account.evicted() => {
            caller.reset_switch.set();
            caller.record_given_up(&state, "no memory", held_bytes);
        }
    }
}

async fn serve(
    state: Arc<state::GatewayState>,
    request: hyper::Request<hyper::body::Incoming>,
    caller: Arc<Caller>,
) -> hyper::Response<Body> {
    let open_request = OpenRequest::new(&state);
    // Callers with chunks miss the last one. A reset would take events from them that are on the way.
    let reset_switch =
        (request.version() == hyper::Version::HTTP_10).then(|| caller.reset_switch.clone());
    let received_at_ms = state.clock.now_ms();
    let (parts, body) = request.into_parts();
    let limits = state.view().configuration.as_ref().map(|configuration| configuration.limits());
    let body_max_bytes = limits.map_or(BODY_MAX_BYTES, |limits| limits.body_max_bytes);
    let read = tokio::select! {
        read = request_body::read(&state, body, body_max_bytes) => read,
        () = state.lifecycle.ended(state.clock) => Err(STOPPING),
    };
    let (body, body_eviction) = match read {
        Ok(read) => read,
        Err(rejection) => {
            let mut response = reject(&state, "unread", rejection);
            set_connection_close(&mut response);
            return response;
        }
    };
    let head = match request::decode(&parts) {
        Ok(head) => head,
        Err(error) => {
            log::info!(target: "toucanwall", why = error.to_string(); "request refused");
            let status = hyper::StatusCode::BAD_REQUEST;
            let rejection = Rejection { status, reason: "malformed", retry_after_ms: None };
            return reject(&state, "unknown", rejection);
        }
    };
    let attempt_id = Arc::clone(&head.attempt_id);
    *caller.request.lock().unwrap_or_else(PoisonError::into_inner) = Some(Arc::clone(&attempt_id));
    let view = state.view();
    let account = caller.account.clone();
    let mut response = match admit(&state, &view, head, parts, body, account, received_at_ms) {
        Ok(exchange) => respond(exchange, open_request, body_eviction, reset_switch).await,
        Err(rejection) => reject(&state, &attempt_id, rejection),
    };
    if state.lifecycle.stage() > state::Stage::Serving {
        set_connection_close(&mut response);
    }
    response
}

fn admit(
    state: &Arc<state::GatewayState>,
    view: &view::View,
    head: request::Head,
    parts: hyper::http::request::Parts,
    body: bytes::Bytes,
    account: memory_budget::Account,
    received_at_ms: u64,
) -> Result<exchange::Exchange, Rejection> {
    let unavailable = hyper::StatusCode::SERVICE_UNAVAILABLE;
    if state.lifecycle.stage() == state::Stage::Draining {
        return Err(STOPPING);
    }
    let Some(configuration) = view.configuration.as_ref().filter(|_| view.is_complete()) else {
        let retry_after_ms = Some(RETRY_NOT_READY_MS);
        return Err(Rejection { status: unavailable, reason: "not ready", retry_after_ms });
    };
    let route = configuration.route(&head.host, parts.uri.path()).ok_or(Rejection {
        status: hyper::StatusCode::NOT_FOUND,
        reason: "no route",
        retry_after_ms: None,
    })?;
    let needs_key = configuration.requires_api_key() && !route.is_public;
    let organisation = head.api_key.as_ref().and_then(|key| configuration.organisation(key));
    if needs_key && organisation.is_none() {
        let status = hyper::StatusCode::UNAUTHORIZED;
        return Err(Rejection { status, reason: "unknown key", retry_after_ms: None });
    }
    let service = choose_service(route, &head.attempt_id).ok_or(Rejection {
        status: unavailable,
        reason: "no service",
        retry_after_ms: None,
    })?;
    let deadline_at_ms = exchange::deadline_at_ms(route, &head, received_at_ms);
    if is_too_late(state, route, deadline_at_ms) {
        return Err(STOPPING);
    }
    let content_hash = content_hash(organisation.map(|known| &known.name), &parts, &body);
    let part_hashes = part_hashes(service, &head.prompt_part_ids);
    let priority = organisation.and_then(|organisation| organisation.priority);
    let priority = priority.unwrap_or(route.priority);
    let router_selects_model =
        head.generation.as_ref().is_some_and(|generation| generation.router_selects_model);
    Ok(exchange::Exchange {
        state: Arc::clone(state),
        route: Arc::clone(route),
        organisation: organisation.map(Arc::clone),
        strips_key: configuration.requires_api_key(),
        content_hash,
        part_hashes,
        service: service.clone(),
        received_at_ms,
        deadline_at_ms,
        last_event_id: head.last_event_id,
        model: escalation::first_model(&route.models).filter(|_| router_selects_model).cloned(),
        attempts: 0,
        attribution: attribution::Attribution::default(),
        excluded: std::collections::BTreeSet::new(),
        send_record: execution::SendRecord::default(),
        place: state.limits.new_place(priority),
        waits_until_ms: None,
        head,
        parts,
        body,
        account,
    })
}

/// Whether a request is likely to be still open when this host ends, if it shuts down.
fn is_too_late(
    state: &state::GatewayState,
    route: &configuration::Route,
    deadline_at_ms: u64,
) -> bool {
    let Some(ends_ms) = state.lifecycle.ends_ms() else { return false };
    let now_ms = state.clock.now_ms();
    let repetition = if route.idempotency.allows_retry() {
        shutdown::Repetition::Allowed
    } else {
        shutdown::Repetition::Forbidden
    };
    let decision = shutdown::decide(
        state.expected_duration_ms(&route.name, repetition),
        deadline_at_ms.saturating_sub(now_ms),
        ends_ms.saturating_sub(now_ms),
    );
    decision == shutdown::Decision::Reject
}

async fn respond(
    exchange: exchange::Exchange,
    open_request: OpenRequest,
    body_eviction: memory_budget::EvictionSignal,
    reset_switch: Option<caller_stream::ResetSwitch>,
) -> hyper::Response<Body> {
    let received_at_ms = exchange.received_at_ms;
    let account = exchange.account.clone();
    let state = Arc::clone(&exchange.state);
    let attempt_id = Arc::clone(&exchange.head.attempt_id);
    let route = exchange.route.name.clone();
    let deadline = state.clock.instant_at(exchange.deadline_at_ms);
    let send_record = exchange.send_record.clone();
    let outcome = tokio::select! {
        outcome = tokio::time::timeout_at(deadline, exchange.run()) => outcome.unwrap_or(
            exchange::Response::Failed(hyper::StatusCode::GATEWAY_TIMEOUT, "no answer in time"),
        ),
        () = state.lifecycle.ended(state.clock) => give_up(&send_record, STOPPING, "host stops"),
        () = body_eviction.evicted() => give_up(&send_record, NO_MEMORY, NO_MEMORY.reason),
    };
    let took_ms = state.clock.now_ms().saturating_sub(received_at_ms);
    if matches!(outcome, exchange::Response::Complete(_) | exchange::Response::Failed(..)) {
        state.record_duration(&route, took_ms);
    }
    match outcome {
        exchange::Response::Complete(response) => {
            let status = response.status().as_u16();
            log::info!(
                target: "toucanwall", request = &*attempt_id, route = route.as_str(),
                status = status, took_ms = took_ms; "answered"
            );
            state.metrics.record_response(status, took_ms);
            response.map(full_body)
        }
        exchange::Response::Stream(stream) => {
            log::info!(
                target: "toucanwall", request = &*attempt_id, route = route.as_str(),
                first_event_ms = took_ms; "stream begun"
            );
            state.metrics.record_response(stream.head().status.as_u16(), took_ms);
            let inputs =
                read_ahead::Inputs { state, account, body_eviction, received_at_ms, deadline };
            stream_response(*stream, open_request, inputs, reset_switch)
        }
        exchange::Response::Refused(refusal, reason) => {
            let (status, retry_after_ms) = (refusal.status, refusal.retry_after_ms);
            reject(&state, &attempt_id, Rejection { status, reason, retry_after_ms })
        }
        exchange::Response::Failed(status, reason) => {
            log::warn!(
                target: "toucanwall", request = &*attempt_id, route = route.as_str(),
                status = status.as_u16(), took_ms = took_ms, why = reason;
                "failed: it may have run"
            );
            state.metrics.record_failure(status.as_u16(), reason);
            error_response(status, reason)
        }
    }
}

/// Ends an open request; `reason` is given if it may have run.
fn give_up(
    send_record: &execution::SendRecord,
    rejection: Rejection,
    reason: &'static str,
) -> exchange::Response {
    match send_record.refuse_unsent(rejection.status, rejection.retry_after_ms) {
        Some(refusal) => exchange::Response::Refused(refusal, rejection.reason),
        None => exchange::Response::Failed(hyper::StatusCode::GATEWAY_TIMEOUT, reason),
    }
}

fn stream_response(
    stream: stream::EventStream,
    open_request: OpenRequest,
    inputs: read_ahead::Inputs,
    reset_switch: Option<caller_stream::ResetSwitch>,
) -> hyper::Response<Body> {
    let mut response = hyper::Response::new(());
    *response.status_mut() = stream.head().status;
    *response.headers_mut() = response::encode(&stream.head().headers);
    let attempt_id = stream.exchange().map(|exchange| Arc::clone(&exchange.head.attempt_id));
    let events = read_ahead::ReadAhead::start(stream, inputs);
    let frames = futures_util::stream::unfold(Some((events, open_request)), move |state| {
        let (attempt_id, reset_switch) = (attempt_id.clone(), reset_switch.clone());
        async move {
            let (mut events, open_request) = state?;
            let next = events.next().await?;
            if let Err(error) = &next {
                log::warn!(target: "toucanwall", request = attempt_id.as_deref(), why = error.to_string(); "stream broken off");
                if let Some(reset_switch) = reset_switch {
                    reset_switch.set();
                }
                return Some((next.map(hyper::body::Frame::data), None));
            }
            Some((next.map(hyper::body::Frame::data), Some((events, open_request))))
        }
    });
    response.map(|()| http_body_util::StreamBody::new(frames).boxed_unsync())
}

/// Chooses the service of a request by the weights of its route and a hash of its attempt ID.
fn choose_service<'a>(
    route: &'a configuration::Route,
    attempt_id: &str,
) -> Option<&'a name::ServiceName> {
    let total: u64 = route.destinations.iter().map(|(_, weight)| u64::from(*weight)).sum();
    let mut position = stable_hash(attempt_id).checked_rem(total)?;
    route.destinations.iter().find_map(|(service, weight)| {
        let is_selected = position < u64::from(*weight);
        position = position.saturating_sub(u64::from(*weight));
        is_selected.then_some(service)
    })
}

fn reject(
    state: &state::GatewayState,
    attempt_id: &str,
    rejection: Rejection,
) -> hyper::Response<Body> {
    let Rejection { status, reason, retry_after_ms } = rejection;
    let view = state.view();
    log::info!(
        target: "toucanwall", request = attempt_id, status = status.as_u16(), why = reason,
        retry_after_ms = retry_after_ms, configuration = view.version(),
        view_age_ms = view.age_ms(state.clock.now_ms()); "refused: not run"
    );
    state.metrics.record_refusal(reason);
    let mut response = error_response(status, reason);
    response
        .headers_mut()
        .extend(response::encode_refusal(response::Refusal { status, retry_after_ms }));
    response
}

fn error_response(status: hyper::StatusCode, reason: &str) -> hyper::Response<Body> {
    let json = serde_json::json!({ "error": { "reason": reason } });
    let mut response = hyper::Response::new(full_body(json.to_string().into()));
    *response.status_mut() = status;
    let content_type = hyper::header::HeaderValue::from_static("application/json");
    response.headers_mut().insert(hyper::header::CONTENT_TYPE, content_type);
    response
}

fn set_connection_close(response: &mut hyper::Response<Body>) {
    let close = hyper::header::HeaderValue::from_static("close");
    response.headers_mut().insert(hyper::header::CONNECTION, close);
}

fn full_body(bytes: bytes::Bytes) -> Body {
    http_body_util::Full::new(bytes).map_err(|never| match never {}).boxed_unsync()
}

/// Adds random jitter of up to the same time, so that callers do not retry simultaneously.
#[must_use]
pub fn with_jitter_ms(ms: u64) -> u64 {
    ms + rand::rng().random_range(0..=ms)
}

/// Hashes what a request asks for and for whom, to the same value on all hosts and for each try.
fn content_hash(
    organisation: Option<&name::OrganisationName>,
    parts: &hyper::http::request::Parts,
    body: &[u8],
) -> u64 {
    let mut hasher = xxhash_rust::xxh3::Xxh3::new();
    let path = parts.uri.path_and_query().map_or("/", |path| path.as_str());
    let organisation = organisation.map_or("", name::OrganisationName::as_str);
    for field in [organisation, parts.method.as_str(), path] {
        hasher.update(field.as_bytes());
        // Keeps apart fields that would otherwise join to the same text.
        hasher.update(&[0]);
    }
    hasher.update(body);
    hasher.digest()
}

/// Hashes the parts of a prompt, in order, to the same values on all hosts. Services run different
/// engines, so that a part that harms one may be sound for another.
fn part_hashes(service: &name::ServiceName, part_ids: &[Arc<str>]) -> Arc<[u64]> {
    let hash = |id: &Arc<str>| {
        let mut hasher = xxhash_rust::xxh3::Xxh3::new();
        hasher.update(service.as_str().as_bytes());
        hasher.update(&[0]);
        hasher.update(id.as_bytes());
        hasher.digest()
    };
    part_ids.iter().map(hash).collect()
}

/// Hashes a text to the same value on all hosts.
#[must_use]
pub fn stable_hash(text: &str) -> u64 {
    xxhash_rust::xxh3::xxh3_64(text.as_bytes())
}
