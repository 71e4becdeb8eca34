//! HTTP API for callers: host addresses, chat completions and calls to plain services.

use std::net;
use std::sync::Arc;
use std::sync::atomic;

use poem::EndpointExt as _;
use poem::IntoEndpoint as _;
use poem::web;
use toucanwall_core::event;
use toucanwall_document::settings;
use toucanwall_listener::LingeringClose;
use toucanwall_listener::NoDelayAcceptor;

use crate::backend;
use crate::control;
use crate::forward;
use crate::rating;
use crate::response;

/// Maximum size of a request body, in bytes.
const BODY_MAX_BYTES: usize = 4 * 1024 * 1024;
/// Deadline of a request that does not specify one, in milliseconds.
const DEADLINE_DEFAULT_MS: u64 = 120_000;
/// Longest deadline that a caller may specify, in milliseconds.
const DEADLINE_MAX_MS: u64 = 3_600_000;
/// Length of the prefix of a request body that is hashed for prefix-cache affinity, in bytes.
const PREFIX_BYTES: usize = 512;

/// State shared by the HTTP handlers.
#[derive(Debug)]
pub struct CallerApi {
    input_sender: control::InputSender,
    shared_snapshot: control::SharedSnapshot,
    connection_pool: backend::ConnectionPool,
    rating_client: Option<rating::RatingClient>,
    address_ttl_ms: u64,
    next_request_id: atomic::AtomicU64,
}

/// The parts of a caller's request from which the request to a backend server is built.
struct IncomingRequest {
    method: hyper::Method,
    path: String,
    target: event::Target,
    body: bytes::Bytes,
}

impl CallerApi {
    /// Creates the shared state.
    #[must_use]
    pub fn new(
        settings: &settings::Settings,
        input_sender: control::InputSender,
        shared_snapshot: control::SharedSnapshot,
    ) -> Self {
        Self {
            input_sender,
            shared_snapshot,
            connection_pool: backend::ConnectionPool::default(),
            rating_client: settings.rating_address.map(rating::RatingClient::new),
            address_ttl_ms: settings.address_ttl_ms,
            next_request_id: atomic::AtomicU64::new(0),
        }
    }

    async fn serve(&self, request: &poem::Request, incoming: IncomingRequest) -> poem::Response {
        let request_id = self.next_request_id.fetch_add(1, atomic::Ordering::Relaxed);
        let head = Arc::new(request_head(event::RequestId(request_id), request, &incoming));
        let (response, response_receiver) = response::channel(format!("{request_id:x}"));
        let (command_sender, command_receiver) = tokio::sync::mpsc::unbounded_channel();
        let task = forward::Task {
            outgoing_request: outgoing_request(request, incoming, &head),
            head: Arc::clone(&head),
            commands: command_receiver,
            input_sender: self.input_sender.clone(),
            response,
            connection_pool: self.connection_pool.clone(),
            rating_client: self.rating_client.clone(),
            withheld: forward::WithheldAnswer::default(),
        };
        self.input_sender.send_request(head, command_sender);
        tokio::spawn(task.run());
        receive_response(response_receiver).await
    }
}

/// Binds the address and serves callers in a background task.
///
/// # Errors
/// An I/O error if the address cannot be bound, for example because it is in use.
pub async fn listen(caller_api: Arc<CallerApi>, address: net::SocketAddr) -> std::io::Result<()> {
    let acceptor = NoDelayAcceptor::bind(address).await?;
    let routes = poem::Route::new()
        .at("/v1/addresses", poem::get(addresses))
        .at("/v1/revision", poem::get(revision))
        .at("/v1/chat/completions", poem::post(chat_completions))
        .at("/v1/services/:name/*path", call_service)
        .data(caller_api)
        .with(LingeringClose);
    let endpoint = routes.into_endpoint();
    tokio::spawn(async move {
        if let Err(error) = poem::Server::new_with_acceptor(acceptor).run(endpoint).await {
            log::error!(target: "toucanwall", "HTTP server for callers failed: {error}");
        }
    });
    Ok(())
}

#[poem::handler]
fn addresses(web::Data(caller_api): web::Data<&Arc<CallerApi>>) -> web::Json<serde_json::Value> {
    let snapshot = caller_api.shared_snapshot.get();
    web::Json(serde_json::json!({
        "addresses": snapshot.host.addresses,
        "valid_ms": caller_api.address_ttl_ms,
    }))
}

#[poem::handler]
fn revision(web::Data(caller_api): web::Data<&Arc<CallerApi>>) -> web::Json<serde_json::Value> {
    let snapshot = caller_api.shared_snapshot.get();
    web::Json(serde_json::json!({
        "revision": snapshot.host.revision,
        "digest": format!("{:016x}", snapshot.host.digest),
        "ready": snapshot.host.readiness,
    }))
}

#[poem::handler]
async fn chat_completions(
    request: &poem::Request,
    body: poem::Body,
    web::Data(caller_api): web::Data<&Arc<CallerApi>>,
) -> poem::Response {
    let body = match read_body(body).await {
        Ok(body) => body,
        Err(response) => return *response,
    };
    let json: serde_json::Value = match serde_json::from_slice(&body) {
        Ok(json) => json,
        Err(error) => {
            let message = format!("body:{}:{}: not JSON", error.line(), error.column());
            return error_response(400, "malformed_body", &message);
        }
    };
    let Some(model) = json["model"].as_str() else {
        return error_response(400, "malformed_body", "body: `model` must name a model or cascade");
    };
    let incoming = IncomingRequest {
        method: hyper::Method::POST,
        path: "/v1/chat/completions".to_owned(),
        target: event::Target::Model(model.into()),
        body,
    };
    caller_api.serve(request, incoming).await
}

#[poem::handler]
async fn call_service(
    request: &poem::Request,
    web::Path((name, path)): web::Path<(String, String)>,
    body: poem::Body,
    web::Data(caller_api): web::Data<&Arc<CallerApi>>,
) -> poem::Response {
    let body = match read_body(body).await {
        Ok(body) => body,
        Err(response) => return *response,
    };
    let query = request.uri().query().map(|query| format!("?{query}")).unwrap_or_default();
    let incoming = IncomingRequest {
        method: request.method().clone(),
        path: format!("/{path}{query}"),
        target: event::Target::Service {
            name: name.into(),
            call: format!("{} /{path}", request.method()).into(),
        },
        body,
    };
    caller_api.serve(request, incoming).await
}

async fn read_body(body: poem::Body) -> Result<bytes::Bytes, Box<poem::Response>> {
    match body.into_bytes_limit(BODY_MAX_BYTES).await {
        Ok(bytes) => Ok(bytes),
        Err(poem::error::ReadBodyError::PayloadTooLarge) => {
            let hint = format!("the body may have {BODY_MAX_BYTES} bytes at most");
            Err(Box::new(error_response(413, "body_too_large", &hint)))
        }
        Err(_) => Err(Box::new(error_response(400, "body_cut_off", "the body did not come whole"))),
    }
}

fn request_head(
    request_id: event::RequestId,
    request: &poem::Request,
    incoming: &IncomingRequest,
) -> event::RequestHead {
    let header = |name: &str| request.header(name);
    let session = match (header("x-toucanwall-session"), header("x-session-id")) {
        (Some(token), _) => event::SessionRef::Token(token.into()),
        (None, Some(name)) => event::SessionRef::Named(name.into()),
        (None, None) => event::SessionRef::None,
    };
    let integer_header = |name: &str| header(name).and_then(|text| text.parse::<u64>().ok());
    event::RequestHead {
        request_id,
        key_sha256: key_digest(header("authorization").unwrap_or_default()),
        target: incoming.target.clone(),
        session,
        idempotency_key: header("idempotency-key").map(Arc::from),
        timeout_ms: integer_header("x-deadline-ms")
            .unwrap_or(DEADLINE_DEFAULT_MS)
            .min(DEADLINE_MAX_MS),
        class: header("x-request-class")
            .map_or_else(|| default_class(incoming.body.len()), Arc::from),
        content_digest: content_digest(incoming),
        prefix_hash: (incoming.body.len() >= PREFIX_BYTES)
            .then(|| digest_u64(&incoming.body[..PREFIX_BYTES])),
        resume_from: integer_header("last-event-id").unwrap_or(0),
    }
}

fn outgoing_request(
    request: &poem::Request,
    incoming: IncomingRequest,
    head: &event::RequestHead,
) -> backend::OutgoingRequest {
    let mut headers = hyper::HeaderMap::new();
    for name in ["content-type", "accept", "x-priority", "idempotency-key"] {
        if let Some(value) = request.headers().get(name) {
            headers.insert(name, value.clone());
        }
    }
    backend::OutgoingRequest {
        // An idempotency key marks a request that must not be executed twice.
        is_idempotent: head.idempotency_key.is_none(),
        method: incoming.method,
        path: incoming.path,
        headers,
        body: incoming.body,
    }
}

async fn receive_response(receiver: response::Receiver) -> poem::Response {
    let Ok(head) = receiver.head.await else {
        return error_response(503, "stopping", "the host has stopped; use another host");
    };
    let status =
        poem::http::StatusCode::from_u16(head.status).unwrap_or(poem::http::StatusCode::OK);
    let mut response = poem::Response::builder().status(status).content_type(&*head.content_type);
    for (name, value) in head.headers {
        response = response.header(name, value);
    }
    let body = tokio_stream::wrappers::ReceiverStream::new(receiver.body);
    response.body(poem::Body::from_bytes_stream(body))
}

fn error_response(status: u16, reason: &str, message: &str) -> poem::Response {
    let json = serde_json::json!({
        "error": { "type": "not_run", "reason": reason, "message": message }
    });
    let status =
        poem::http::StatusCode::from_u16(status).unwrap_or(poem::http::StatusCode::BAD_REQUEST);
    poem::Response::builder().status(status).content_type("application/json").body(json.to_string())
}

/// Returns the SHA-256 digest of a bearer token, in hexadecimal.
fn key_digest(authorization: &str) -> Arc<str> {
    use sha2::Digest as _;
    let key = authorization.strip_prefix("Bearer ").unwrap_or(authorization);
    hex::encode(sha2::Sha256::digest(key.trim().as_bytes())).into()
}

/// Returns the digest by which a repeated request is recognised.
fn content_digest(incoming: &IncomingRequest) -> u64 {
    use sha2::Digest as _;
    let mut hasher = sha2::Sha256::new();
    hasher.update(incoming.method.as_str());
    hasher.update(incoming.path.as_bytes());
    hasher.update(&incoming.body);
    first_u64(&hasher.finalize())
}

/// Returns the first 64 bits of the SHA-256 digest.
fn digest_u64(bytes: &[u8]) -> u64 {
    use sha2::Digest as _;
    first_u64(&sha2::Sha256::digest(bytes))
}

fn first_u64(digest: &[u8]) -> u64 {
    let mut first_bytes = [0; 8];
    first_bytes.copy_from_slice(&digest[..8]);
    u64::from_le_bytes(first_bytes)
}

/// Returns the class of a request whose caller specifies none.
fn default_class(body_bytes: usize) -> Arc<str> {
    Arc::from(match body_bytes {
        0..1_024 => "short",
        1_024..16_384 => "medium",
        _ => "long",
    })
}
