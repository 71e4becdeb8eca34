//! HTTP server for callers: admits requests and sends responses.

use std::net;
use std::sync::Arc;
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
/// Time for which the rest of a body is read and discarded after an early response, in
/// milliseconds.
const LINGER_MS: u64 = 2_000;
/// Time for which a stopping host waits for requests on connections that it has accepted, in
/// milliseconds.
pub const UNREAD_MS: u64 = 500;
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

/// Guard that counts a request as open until it is dropped.
#[derive(Debug)]
struct OpenRequest(Arc<state::GatewayState>);

/// Guard that counts a connection as open until it is dropped.
#[derive(Debug)]
struct OpenConnection(Arc<state::GatewayState>);

/// Response to a request that is not admitted or not run.
#[derive(Debug, Clone, Copy)]
struct Rejection {
    status: hyper::StatusCode,
    reason: &'static str,
    retry_after_ms: Option<u64>,
}

/// Sends a caller to another host because this one shuts down.
const STOPPING: Rejection = Rejection {
    status: hyper::StatusCode::SERVICE_UNAVAILABLE,
    reason: "stopping",
    retry_after_ms: Some(RETRY_OTHER_HOST_MS),
};

impl Ingress {
    /// Binds the listening socket.
    ///
    /// # Errors
    /// The address is in use or does not belong to this machine.
    pub async fn bind(
        state: Arc<state::GatewayState>,
        address: net::SocketAddr,
    ) -> std::io::Result<Self> {
        let listener = tokio::net::TcpListener::bind(address).await?;
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
    let reset_switch = caller_stream::ResetSwitch::default();
    let stream = caller_stream::CallerStream::new(stream, reset_switch.clone());
    let service = hyper::service::service_fn(move |request| {
        let (state, reset_switch) = (Arc::clone(&state), reset_switch.clone());
        async move { Ok::<_, std::convert::Infallible>(serve(state, request, reset_switch).await) }
    });
    let mut builder = hyper::server::conn::http1::Builder::new();
    builder
        .timer(hyper_util::rt::TokioTimer::new())
        .header_read_timeout(time::Duration::from_millis(idle_timeout_ms))
        .max_buf_size(header_max_bytes);
    let connection = builder.serve_connection(hyper_util::rt::TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    let event = tokio::select! {
        ended = connection.as_mut() => Err(ended),
        waited = closing.wait_for(|is_closing| *is_closing) => Ok(waited.is_ok()),
    };
    let ended = if let Err(ended) = event {
        ended
    } else {
        // A request may be on its way; its response closes the connection.
        let unread = time::Duration::from_millis(UNREAD_MS);
        match tokio::time::timeout(unread, connection.as_mut()).await {
            Ok(ended) => ended,
            Err(_elapsed) => {
                connection.as_mut().graceful_shutdown();
                connection.await
            }
        }
    };
    if let Err(error) = ended {
        log::debug!(target: "toucanwall", "connection from caller ended with an error: {error}");
    }
}

async fn serve(
    state: Arc<state::GatewayState>,
    request: hyper::Request<hyper::body::Incoming>,
    reset_switch: caller_stream::ResetSwitch,
) -> hyper::Response<Body> {
    let open_request = OpenRequest::new(&state);
    // Callers with chunks miss the last one. A reset would take events from them that are on the way.
    let reset_switch = (request.version() == hyper::Version::HTTP_10).then_some(reset_switch);
    let received_at_ms = state.clock.now_ms();
    let (parts, body) = request.into_parts();
    let limits = state.view().configuration.as_ref().map(|configuration| configuration.limits());
    let body_max_bytes = limits.map_or(BODY_MAX_BYTES, |limits| limits.body_max_bytes);
    let read = tokio::select! {
        read = read_body(&state, body, body_max_bytes) => read,
        () = state.lifecycle.ended(state.clock) => Err(STOPPING),
    };
    let body = match read {
        Ok(body) => body,
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
    let view = state.view();
    let mut response = match admit(&state, &view, head, parts, body, received_at_ms) {
        Ok(exchange) => respond(exchange, open_request, received_at_ms, reset_switch).await,
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
    received_at_ms: u64,
    reset_switch: Option<caller_stream::ResetSwitch>,
) -> hyper::Response<Body> {
    let state = Arc::clone(&exchange.state);
    let attempt_id = Arc::clone(&exchange.head.attempt_id);
    let route = exchange.route.name.clone();
    let deadline = state.clock.instant_at(exchange.deadline_at_ms);
    let send_record = exchange.send_record.clone();
    let outcome = tokio::select! {
        outcome = tokio::time::timeout_at(deadline, exchange.run()) => outcome.unwrap_or(
            exchange::Response::Failed(hyper::StatusCode::GATEWAY_TIMEOUT, "no answer in time"),
        ),
        () = state.lifecycle.ended(state.clock) => give_up_at_end(&send_record),
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
            stream_response(*stream, open_request, received_at_ms, deadline, reset_switch)
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

/// Ends a request that is open when the host ends.
fn give_up_at_end(send_record: &execution::SendRecord) -> exchange::Response {
    match send_record.refuse_unsent(STOPPING.status, STOPPING.retry_after_ms) {
        Some(refusal) => exchange::Response::Refused(refusal, STOPPING.reason),
        None => exchange::Response::Failed(hyper::StatusCode::GATEWAY_TIMEOUT, "host stops"),
    }
}

fn stream_response(
    stream: stream::EventStream,
    open_request: OpenRequest,
    received_at_ms: u64,
    deadline: tokio::time::Instant,
    reset_switch: Option<caller_stream::ResetSwitch>,
) -> hyper::Response<Body> {
    let mut response = hyper::Response::new(());
    *response.status_mut() = stream.head().status;
    *response.headers_mut() = response::encode(&stream.head().headers);
    let frames = futures_util::stream::unfold(
        Some((stream, open_request, reset_switch)),
        move |state| async move {
            let (mut stream, open_request, reset_switch) = state?;
            let state = Arc::clone(&open_request.0);
            let next = tokio::select! {
                next = tokio::time::timeout_at(deadline, stream.next()) => {
                    next.unwrap_or_else(|_elapsed| Some(Err(stream::StreamError::DEADLINE)))
                }
                () = state.lifecycle.ended(state.clock) => Some(Err(stream::StreamError::STOPPING)),
            };
            let Some(next) = next else {
                record_stream_duration(&stream, &state, received_at_ms);
                return None;
            };
            if let Err(error) = &next {
                let request = stream.exchange().map(|exchange| &*exchange.head.attempt_id);
                log::warn!(target: "toucanwall", request = request, why = error.to_string(); "stream broken off");
                if let Some(reset_switch) = reset_switch {
                    reset_switch.set();
                }
                return Some((next.map(hyper::body::Frame::data), None));
            }
            Some((next.map(hyper::body::Frame::data), Some((stream, open_request, reset_switch))))
        },
    );
    response.map(|()| http_body_util::StreamBody::new(frames).boxed_unsync())
}

fn record_stream_duration(
    stream: &stream::EventStream,
    state: &state::GatewayState,
    received_at_ms: u64,
) {
    if let Some(exchange) = stream.exchange() {
        let took_ms = state.clock.now_ms().saturating_sub(received_at_ms);
        state.record_duration(&exchange.route.name, took_ms);
    }
}

async fn read_body(
    state: &state::GatewayState,
    mut body: hyper::body::Incoming,
    max_bytes: usize,
) -> Result<bytes::Bytes, Rejection> {
    use hyper::body::Body as _;

    let declared_bytes = body.size_hint().lower();
    let mut share = state.memory_budget.open_share();
    let mut read = memory_budget::Blocks::default();
    let is_too_large = |bytes: u64| bytes > u64::try_from(max_bytes).unwrap_or(u64::MAX);
    let mut is_large = is_too_large(declared_bytes);
    while !is_large {
        match share.unless_evicted(body.frame()).await.map_err(no_memory)? {
            None => return Ok(share.keep(read.into_vec())),
            Some(Ok(frame)) => {
                let data = frame.into_data().unwrap_or_default();
                read.extend(&data);
                is_large = read.len() > max_bytes;
                share.resize(read.allocated_bytes()).map_err(no_memory)?;
            }
            Some(Err(_)) => {
                let status = hyper::StatusCode::BAD_REQUEST;
                return Err(Rejection { status, reason: "body cut off", retry_after_ms: None });
            }
        }
    }
    // Closing a socket with unread bytes sends a TCP reset, which can discard the response before
    // the caller has read it.
    tokio::spawn(async move {
        let rest = async { while let Some(Ok(_)) = body.frame().await {} };
        if tokio::time::timeout(time::Duration::from_millis(LINGER_MS), rest).await.is_err() {
            log::debug!(target: "toucanwall", "timed out discarding an oversized request body");
        }
    });
    let status = hyper::StatusCode::PAYLOAD_TOO_LARGE;
    Err(Rejection { status, reason: "body too large", retry_after_ms: None })
}

/// Rejects a request whose body does not fit into the memory beside those of others.
fn no_memory(exceeded: memory_budget::Exceeded) -> Rejection {
    log::warn!(target: "toucanwall", why = exceeded.to_string(); "body of a request not read");
    Rejection {
        status: hyper::StatusCode::SERVICE_UNAVAILABLE,
        reason: "no memory",
        retry_after_ms: Some(RETRY_OTHER_HOST_MS),
    }
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
