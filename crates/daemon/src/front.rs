//! What callers see: addresses, chat completions and plain services.

use std::net;
use std::sync::Arc;
use std::sync::atomic;

use poem::EndpointExt as _;
use poem::IntoEndpoint as _;
use poem::web;
use toucanwall_core::event;
use toucanwall_document::settings;
use toucanwall_listener::Linger;
use toucanwall_listener::PromptAcceptor;

use crate::answer;
use crate::backend;
use crate::control;
use crate::forward;
use crate::rating;

/// Largest body of a request, in bytes.
const BODY_MAX_BYTES: usize = 4 * 1024 * 1024;
/// Time that a caller waits where it does not say, in milliseconds.
const DEADLINE_DEFAULT_MS: u64 = 120_000;
/// Longest time that a caller may wait, in milliseconds.
const DEADLINE_MAX_MS: u64 = 3_600_000;
/// Bytes of a prompt that make up its prefix.
const PREFIX_BYTES: usize = 512;

/// What the handlers share.
#[derive(Debug)]
pub struct Front {
    inputs: control::InputSender,
    view: control::SharedSnapshot,
    backends: backend::Backends,
    rating: Option<rating::RatingClient>,
    address_ttl_ms: u64,
    next_ticket: atomic::AtomicU64,
}

/// What a request to a backend server is made of.
struct Incoming {
    method: hyper::Method,
    path: String,
    target: event::Target,
    body: bytes::Bytes,
}

impl Front {
    /// The handlers' shared part.
    #[must_use]
    pub fn new(
        settings: &settings::Settings,
        inputs: control::InputSender,
        view: control::SharedSnapshot,
    ) -> Self {
        Self {
            inputs,
            view,
            backends: backend::Backends::default(),
            rating: settings.rating_address.map(rating::RatingClient::new),
            address_ttl_ms: settings.address_ttl_ms,
            next_ticket: atomic::AtomicU64::new(0),
        }
    }

    async fn serve(&self, request: &poem::Request, incoming: Incoming) -> poem::Response {
        let number = self.next_ticket.fetch_add(1, atomic::Ordering::Relaxed);
        let head = Arc::new(head(event::RequestId(number), request, &incoming));
        let (sink, source) = answer::channel(format!("{number:x}"));
        let (commands, receiver) = tokio::sync::mpsc::unbounded_channel();
        let task = forward::Task {
            outgoing: outgoing(request, incoming, &head),
            head: Arc::clone(&head),
            commands: receiver,
            inputs: self.inputs.clone(),
            sink,
            backends: self.backends.clone(),
            rating: self.rating.clone(),
            held: forward::Held::default(),
        };
        self.inputs.send_request(head, commands);
        tokio::spawn(task.run());
        respond(source).await
    }
}

/// Listens for callers.
///
/// # Errors
/// The address is in use or not one of this machine.
pub async fn listen(front: Arc<Front>, address: net::SocketAddr) -> std::io::Result<()> {
    let acceptor = PromptAcceptor::bind(address).await?;
    let routes = poem::Route::new()
        .at("/v1/addresses", poem::get(addresses))
        .at("/v1/revision", poem::get(revision))
        .at("/v1/chat/completions", poem::post(complete))
        .at("/v1/services/:name/*path", call_service)
        .data(front)
        .with(Linger);
    let endpoint = routes.into_endpoint();
    tokio::spawn(async move {
        if let Err(error) = poem::Server::new_with_acceptor(acceptor).run(endpoint).await {
            log::error!(target: "toucanwall", "callers are no longer served: {error}");
        }
    });
    Ok(())
}

#[poem::handler]
fn addresses(web::Data(front): web::Data<&Arc<Front>>) -> web::Json<serde_json::Value> {
    let picture = front.view.get();
    web::Json(serde_json::json!({
        "addresses": picture.host.addresses,
        "valid_ms": front.address_ttl_ms,
    }))
}

#[poem::handler]
fn revision(web::Data(front): web::Data<&Arc<Front>>) -> web::Json<serde_json::Value> {
    let picture = front.view.get();
    web::Json(serde_json::json!({
        "revision": picture.host.revision,
        "digest": format!("{:016x}", picture.host.digest),
        "ready": picture.host.readiness,
    }))
}

#[poem::handler]
async fn complete(
    request: &poem::Request,
    body: poem::Body,
    web::Data(front): web::Data<&Arc<Front>>,
) -> poem::Response {
    let body = match read_body(body).await {
        Ok(body) => body,
        Err(response) => return *response,
    };
    let json: serde_json::Value = match serde_json::from_slice(&body) {
        Ok(json) => json,
        Err(error) => {
            let place = format!("body:{}:{}: not JSON", error.line(), error.column());
            return problem(400, "malformed_body", &place);
        }
    };
    let Some(model) = json["model"].as_str() else {
        return problem(400, "malformed_body", "body: `model` must name a model or cascade");
    };
    let incoming = Incoming {
        method: hyper::Method::POST,
        path: "/v1/chat/completions".to_owned(),
        target: event::Target::Model(model.into()),
        body,
    };
    front.serve(request, incoming).await
}

#[poem::handler]
async fn call_service(
    request: &poem::Request,
    web::Path((name, path)): web::Path<(String, String)>,
    body: poem::Body,
    web::Data(front): web::Data<&Arc<Front>>,
) -> poem::Response {
    let body = match read_body(body).await {
        Ok(body) => body,
        Err(response) => return *response,
    };
    let query = request.uri().query().map(|query| format!("?{query}")).unwrap_or_default();
    let incoming = Incoming {
        method: request.method().clone(),
        path: format!("/{path}{query}"),
        target: event::Target::Service {
            name: name.into(),
            call: format!("{} /{path}", request.method()).into(),
        },
        body,
    };
    front.serve(request, incoming).await
}

async fn read_body(body: poem::Body) -> Result<bytes::Bytes, Box<poem::Response>> {
    match body.into_bytes_limit(BODY_MAX_BYTES).await {
        Ok(bytes) => Ok(bytes),
        Err(poem::error::ReadBodyError::PayloadTooLarge) => {
            let hint = format!("the body may have {BODY_MAX_BYTES} bytes at most");
            Err(Box::new(problem(413, "body_too_large", &hint)))
        }
        Err(_) => Err(Box::new(problem(400, "body_cut_off", "the body did not come whole"))),
    }
}

fn head(
    request_id: event::RequestId,
    request: &poem::Request,
    incoming: &Incoming,
) -> event::RequestHead {
    let header = |name: &str| request.header(name);
    let session = match (header("x-toucanwall-session"), header("x-session-id")) {
        (Some(token), _) => event::SessionRef::Token(token.into()),
        (None, Some(name)) => event::SessionRef::Named(name.into()),
        (None, None) => event::SessionRef::None,
    };
    let number = |name: &str| header(name).and_then(|text| text.parse::<u64>().ok());
    event::RequestHead {
        request_id,
        key_sha256: key_digest(header("authorization").unwrap_or_default()),
        target: incoming.target.clone(),
        session,
        idempotency_key: header("idempotency-key").map(Arc::from),
        timeout_ms: number("x-deadline-ms").unwrap_or(DEADLINE_DEFAULT_MS).min(DEADLINE_MAX_MS),
        class: header("x-request-class").map_or_else(|| size_class(incoming.body.len()), Arc::from),
        content_digest: content_digest(incoming),
        prefix_hash: (incoming.body.len() >= PREFIX_BYTES)
            .then(|| short_digest(&incoming.body[..PREFIX_BYTES])),
        resume_from: number("last-event-id").unwrap_or(0),
    }
}

fn outgoing(
    request: &poem::Request,
    incoming: Incoming,
    head: &event::RequestHead,
) -> backend::Outgoing {
    let mut headers = hyper::HeaderMap::new();
    for name in ["content-type", "accept", "x-priority", "idempotency-key"] {
        if let Some(value) = request.headers().get(name) {
            headers.insert(name, value.clone());
        }
    }
    backend::Outgoing {
        is_idempotent: head.idempotency_key.is_none(),
        method: incoming.method,
        path: incoming.path,
        headers,
        body: incoming.body,
    }
}

async fn respond(source: answer::Source) -> poem::Response {
    let Ok(head) = source.head.await else {
        return problem(503, "stopping", "the host has stopped; use another host");
    };
    let status =
        poem::http::StatusCode::from_u16(head.status).unwrap_or(poem::http::StatusCode::OK);
    let mut response = poem::Response::builder().status(status).content_type(&*head.content_type);
    for (name, value) in head.headers {
        response = response.header(name, value);
    }
    let body = tokio_stream::wrappers::ReceiverStream::new(source.body);
    response.body(poem::Body::from_bytes_stream(body))
}

fn problem(status: u16, reason: &str, message: &str) -> poem::Response {
    let json = serde_json::json!({
        "error": { "type": "not_run", "reason": reason, "message": message }
    });
    let status =
        poem::http::StatusCode::from_u16(status).unwrap_or(poem::http::StatusCode::BAD_REQUEST);
    poem::Response::builder().status(status).content_type("application/json").body(json.to_string())
}

/// The digest of a bearer token.
fn key_digest(authorization: &str) -> Arc<str> {
    use sha2::Digest as _;
    let key = authorization.strip_prefix("Bearer ").unwrap_or(authorization);
    hex::encode(sha2::Sha256::digest(key.trim().as_bytes())).into()
}

/// The digest that recognises a request when it is sent again.
fn content_digest(incoming: &Incoming) -> u64 {
    use sha2::Digest as _;
    let mut hasher = sha2::Sha256::new();
    hasher.update(incoming.method.as_str());
    hasher.update(incoming.path.as_bytes());
    hasher.update(&incoming.body);
    first_word(&hasher.finalize())
}

fn short_digest(bytes: &[u8]) -> u64 {
    use sha2::Digest as _;
    first_word(&sha2::Sha256::digest(bytes))
}

fn first_word(digest: &[u8]) -> u64 {
    let mut word = [0; 8];
    word.copy_from_slice(&digest[..8]);
    u64::from_le_bytes(word)
}

fn size_class(body_bytes: usize) -> Arc<str> {
    Arc::from(match body_bytes {
        0..1_024 => "short",
        1_024..16_384 => "medium",
        _ => "long",
    })
}
