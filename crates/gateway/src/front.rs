//! What callers see: requests in, answers out.

use std::net;
use std::sync::Arc;
use std::sync::atomic;
use std::time;

use http_body_util::BodyExt as _;
use rand::RngExt as _;
use toucanwall_platform::request;
use toucanwall_platform::response;
use toucanwall_policy::escalation;
use toucanwall_routing::configuration;
use toucanwall_routing::view;

use crate::exchange;
use crate::stream;
use crate::traffic;

/// Largest head of a request, in bytes, where no configuration is known yet.
const HEADER_MAX_BYTES: usize = 64 * 1024;
/// Largest body of a request, in bytes, where no configuration is known yet.
const BODY_MAX_BYTES: usize = 4 * 1024 * 1024;
/// Time for a head to come in and for a connection to be idle, in milliseconds, where no
/// configuration is known yet.
const IDLE_MS: u64 = 15_000;
/// Time for which the rest of a body is read after an early answer, in milliseconds.
const LINGER_MS: u64 = 2_000;
/// Time after which a caller may come back to a host that does not know the deployment yet, in
/// milliseconds.
const NOT_READY_MS: u64 = 500;
/// Time after which a caller may come back that is to use another host, in milliseconds.
const ELSEWHERE_MS: u64 = 50;

type Body = http_body_util::combinators::UnsyncBoxBody<bytes::Bytes, stream::BrokenOff>;

/// Accepts callers until it is dropped.
#[derive(Debug)]
pub struct Front {
    traffic: Arc<traffic::Traffic>,
    listener: tokio::net::TcpListener,
}

/// Counts a request as open until it is dropped.
#[derive(Debug)]
struct Open(Arc<traffic::Traffic>);

/// Why a request is not admitted.
#[derive(Debug, Clone, Copy)]
struct Rejection {
    status: hyper::StatusCode,
    reason: &'static str,
    retry_after_ms: Option<u64>,
}

impl Front {
    /// Listens for callers.
    ///
    /// # Errors
    /// The address is in use or not one of this machine.
    pub async fn bind(
        traffic: Arc<traffic::Traffic>,
        address: net::SocketAddr,
    ) -> std::io::Result<Self> {
        let listener = tokio::net::TcpListener::bind(address).await?;
        Ok(Self { traffic, listener })
    }

    /// Accepts callers until `closing` says so; their connections go on.
    pub async fn accept(self, mut closing: tokio::sync::watch::Receiver<bool>) {
        loop {
            let accepted = tokio::select! {
                accepted = self.listener.accept() => accepted,
                _ = closing.wait_for(|is_closing| *is_closing) => return,
            };
            match accepted {
                Ok((stream, _)) => {
                    let traffic = Arc::clone(&self.traffic);
                    tokio::spawn(serve_connection(traffic, stream, closing.clone()));
                }
                Err(error) => {
                    log::warn!(target: "toucanwall", "cannot accept a caller: {error}");
                    tokio::time::sleep(time::Duration::from_millis(10)).await;
                }
            }
        }
    }
}

impl Open {
    fn new(traffic: &Arc<traffic::Traffic>) -> Self {
        traffic.open_requests.fetch_add(1, atomic::Ordering::Relaxed);
        Self(Arc::clone(traffic))
    }
}

impl Drop for Open {
    fn drop(&mut self) {
        self.0.open_requests.fetch_sub(1, atomic::Ordering::Relaxed);
    }
}

async fn serve_connection(
    traffic: Arc<traffic::Traffic>,
    stream: tokio::net::TcpStream,
    mut closing: tokio::sync::watch::Receiver<bool>,
) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!(target: "toucanwall", "a caller's connection has gone: {error}");
        return;
    }
    let limits = traffic.view().configuration.as_ref().map(|known| known.limits());
    let idle_ms = limits.map_or(IDLE_MS, |limits| limits.idle_timeout_ms);
    let header_max_bytes =
        limits.map_or(HEADER_MAX_BYTES, |limits| limits.header_max_bytes.max(HEADER_MAX_BYTES));
    let service = hyper::service::service_fn(move |request| {
        let traffic = Arc::clone(&traffic);
        async move { Ok::<_, std::convert::Infallible>(serve(traffic, request).await) }
    });
    let mut builder = hyper::server::conn::http1::Builder::new();
    builder
        .timer(hyper_util::rt::TokioTimer::new())
        .header_read_timeout(time::Duration::from_millis(idle_ms))
        .max_buf_size(header_max_bytes);
    let connection = builder.serve_connection(hyper_util::rt::TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    let is_closing = tokio::select! {
        ended = connection.as_mut() => Err(ended),
        waited = closing.wait_for(|is_closing| *is_closing) => Ok(waited.is_ok()),
    };
    let ended = if let Err(ended) = is_closing {
        ended
    } else {
        connection.as_mut().graceful_shutdown();
        connection.await
    };
    if let Err(error) = ended {
        log::debug!(target: "toucanwall", "a caller's connection ended: {error}");
    }
}

async fn serve(
    traffic: Arc<traffic::Traffic>,
    request: hyper::Request<hyper::body::Incoming>,
) -> hyper::Response<Body> {
    let open = Open::new(&traffic);
    let arrived_ms = traffic.clock.now_ms();
    let (parts, body) = request.into_parts();
    let limits = traffic.view().configuration.as_ref().map(|known| known.limits());
    let body_max_bytes = limits.map_or(BODY_MAX_BYTES, |limits| limits.body_max_bytes);
    let body = match read_body(body, body_max_bytes).await {
        Ok(body) => body,
        Err(rejection) => {
            let mut response = reject(&traffic, "unread", rejection);
            close(&mut response);
            return response;
        }
    };
    let head = match request::decode(&parts) {
        Ok(head) => head,
        Err(error) => {
            log::info!(target: "toucanwall", why = error.to_string(); "request refused");
            let status = hyper::StatusCode::BAD_REQUEST;
            let rejection = Rejection { status, reason: "malformed", retry_after_ms: None };
            return reject(&traffic, "unknown", rejection);
        }
    };
    let attempt_id = Arc::clone(&head.attempt_id);
    let view = traffic.view();
    let mut response = match admit(&traffic, &view, head, parts, body, arrived_ms) {
        Ok(exchange) => answer(exchange, open, arrived_ms).await,
        Err(rejection) => reject(&traffic, &attempt_id, rejection),
    };
    if traffic.intake.stage() > traffic::Stage::Serving {
        close(&mut response);
    }
    response
}

fn admit(
    traffic: &Arc<traffic::Traffic>,
    view: &view::View,
    head: request::Head,
    parts: hyper::http::request::Parts,
    body: bytes::Bytes,
    arrived_ms: u64,
) -> Result<exchange::Exchange, Rejection> {
    let unavailable = hyper::StatusCode::SERVICE_UNAVAILABLE;
    if traffic.intake.stage() == traffic::Stage::Closed {
        let retry_after_ms = Some(ELSEWHERE_MS);
        return Err(Rejection { status: unavailable, reason: "stopping", retry_after_ms });
    }
    let Some(configuration) = view.configuration.as_ref().filter(|_| view.is_complete()) else {
        let retry_after_ms = Some(NOT_READY_MS);
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
    let service = destination(route, &head.attempt_id).ok_or(Rejection {
        status: unavailable,
        reason: "no service",
        retry_after_ms: None,
    })?;
    let is_any_model = head.generation.as_ref().is_some_and(|wanted| wanted.router_selects_model);
    Ok(exchange::Exchange {
        traffic: Arc::clone(traffic),
        route: Arc::clone(route),
        organisation: organisation.map(Arc::clone),
        hides_key: configuration.requires_api_key(),
        service: service.clone(),
        arrived_ms,
        due_ms: exchange::due_ms(route, &head, arrived_ms),
        last_event_id: head.last_event_id,
        model: escalation::first_model(&route.models).filter(|_| is_any_model).cloned(),
        attempts: 0,
        excluded: std::collections::BTreeSet::new(),
        head,
        parts,
        body,
    })
}

async fn answer(
    exchange: exchange::Exchange,
    open: Open,
    arrived_ms: u64,
) -> hyper::Response<Body> {
    let traffic = Arc::clone(&exchange.traffic);
    let attempt_id = Arc::clone(&exchange.head.attempt_id);
    let route = exchange.route.name.clone();
    let due = traffic.clock.at(exchange.due_ms);
    let answered = match tokio::time::timeout_at(due, exchange.run()).await {
        Ok(answered) => answered,
        Err(_elapsed) => {
            let status = hyper::StatusCode::GATEWAY_TIMEOUT;
            exchange::Answer::Failed(status, "no answer in time")
        }
    };
    let took_ms = traffic.clock.now_ms().saturating_sub(arrived_ms);
    match answered {
        exchange::Answer::Whole(response) => {
            let status = response.status().as_u16();
            log::info!(
                target: "toucanwall", request = &*attempt_id, route = route.as_str(),
                status = status, took_ms = took_ms; "answered"
            );
            traffic.metrics.answered(status, took_ms);
            response.map(full)
        }
        exchange::Answer::Stream(stream) => {
            log::info!(
                target: "toucanwall", request = &*attempt_id, route = route.as_str(),
                first_event_ms = took_ms; "stream begun"
            );
            traffic.metrics.answered(stream.head().status.as_u16(), took_ms);
            stream_response(*stream, open, due)
        }
        exchange::Answer::Refused(refusal, reason) => {
            let (status, retry_after_ms) = (refusal.status, refusal.retry_after_ms);
            reject(&traffic, &attempt_id, Rejection { status, reason, retry_after_ms })
        }
        exchange::Answer::Failed(status, reason) => {
            log::warn!(
                target: "toucanwall", request = &*attempt_id, route = route.as_str(),
                status = status.as_u16(), took_ms = took_ms, why = reason;
                "failed: it may have run"
            );
            traffic.metrics.failed(status.as_u16(), reason);
            problem(status, reason)
        }
    }
}

fn stream_response(
    stream: stream::Stream,
    open: Open,
    due: tokio::time::Instant,
) -> hyper::Response<Body> {
    let mut response = hyper::Response::new(());
    *response.status_mut() = stream.head().status;
    *response.headers_mut() = response::encode(&stream.head().headers);
    let frames = futures_util::stream::unfold(Some((stream, open)), move |state| async move {
        let (mut stream, open) = state?;
        let next = match tokio::time::timeout_at(due, stream.next()).await {
            Ok(next) => next?,
            Err(_elapsed) => Err(stream.overdue()),
        };
        if let Err(error) = &next {
            let request = stream.exchange().map(|exchange| &*exchange.head.attempt_id);
            log::warn!(target: "toucanwall", request = request, why = error.to_string(); "stream broken off");
            return Some((next.map(hyper::body::Frame::data), None));
        }
        Some((next.map(hyper::body::Frame::data), Some((stream, open))))
    });
    response.map(|()| http_body_util::StreamBody::new(frames).boxed_unsync())
}

async fn read_body(
    mut body: hyper::body::Incoming,
    max_bytes: usize,
) -> Result<bytes::Bytes, Rejection> {
    use hyper::body::Body as _;

    let declared = body.size_hint().lower();
    let mut read = Vec::new();
    let is_too_large = |bytes: u64| bytes > u64::try_from(max_bytes).unwrap_or(u64::MAX);
    let mut is_large = is_too_large(declared);
    while !is_large {
        match body.frame().await {
            None => return Ok(read.into()),
            Some(Ok(frame)) => {
                let data = frame.into_data().unwrap_or_default();
                read.extend_from_slice(&data);
                is_large = read.len() > max_bytes;
            }
            Some(Err(_)) => {
                let status = hyper::StatusCode::BAD_REQUEST;
                return Err(Rejection { status, reason: "body cut off", retry_after_ms: None });
            }
        }
    }
    // Unread bytes would reset the connection and could destroy the answer on its way.
    tokio::spawn(async move {
        let rest = async { while let Some(Ok(_)) = body.frame().await {} };
        if tokio::time::timeout(time::Duration::from_millis(LINGER_MS), rest).await.is_err() {
            log::debug!(target: "toucanwall", "a body that is too large goes on; the connection is closed");
        }
    });
    let status = hyper::StatusCode::PAYLOAD_TOO_LARGE;
    Err(Rejection { status, reason: "body too large", retry_after_ms: None })
}

/// The service that a request falls to, by the weights of its route.
fn destination<'a>(
    route: &'a configuration::Route,
    attempt_id: &str,
) -> Option<&'a toucanwall_routing::name::ServiceName> {
    let total: u64 = route.destinations.iter().map(|(_, weight)| u64::from(*weight)).sum();
    let mut drawn = hash(attempt_id).checked_rem(total)?;
    route.destinations.iter().find_map(|(service, weight)| {
        let is_here = drawn < u64::from(*weight);
        drawn = drawn.saturating_sub(u64::from(*weight));
        is_here.then_some(service)
    })
}

fn reject(
    traffic: &traffic::Traffic,
    attempt_id: &str,
    rejection: Rejection,
) -> hyper::Response<Body> {
    let Rejection { status, reason, retry_after_ms } = rejection;
    let view = traffic.view();
    log::info!(
        target: "toucanwall", request = attempt_id, status = status.as_u16(), why = reason,
        retry_after_ms = retry_after_ms, configuration = view.version(),
        view_age_ms = view.age_ms(traffic.clock.now_ms()); "refused: not run"
    );
    traffic.metrics.refused(reason);
    let mut response = problem(status, reason);
    response
        .headers_mut()
        .extend(response::encode_refusal(response::Refusal { status, retry_after_ms }));
    response
}

fn problem(status: hyper::StatusCode, reason: &str) -> hyper::Response<Body> {
    let json = serde_json::json!({ "error": { "reason": reason } });
    let mut response = hyper::Response::new(full(json.to_string().into()));
    *response.status_mut() = status;
    let json = hyper::header::HeaderValue::from_static("application/json");
    response.headers_mut().insert(hyper::header::CONTENT_TYPE, json);
    response
}

fn close(response: &mut hyper::Response<Body>) {
    let close = hyper::header::HeaderValue::from_static("close");
    response.headers_mut().insert(hyper::header::CONNECTION, close);
}

fn full(bytes: bytes::Bytes) -> Body {
    http_body_util::Full::new(bytes).map_err(|never| match never {}).boxed_unsync()
}

/// A time up to twice as long, so that callers that are told it do not come back together.
#[must_use]
pub fn spread_ms(ms: u64) -> u64 {
    ms + rand::rng().random_range(0..=ms)
}

/// A hash of a text that is the same on all hosts.
#[must_use]
pub fn hash(text: &str) -> u64 {
    xxhash_rust::xxh3::xxh3_64(text.as_bytes())
}
