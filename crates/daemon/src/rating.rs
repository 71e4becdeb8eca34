//! The rating service.

use std::net;
use std::time;

use http_body_util::BodyExt as _;
use serde::Deserialize;

/// Time that a rating may take, in milliseconds.
const RATE_MS: u64 = 2_000;
/// Largest answer that is read, in bytes.
const BODY_MAX_BYTES: usize = 64 * 1024;

type Body = http_body_util::Full<bytes::Bytes>;
type Connector = hyper_util::client::legacy::connect::HttpConnector;

/// A client of the rating service.
#[derive(Debug, Clone)]
pub struct Rating {
    address: net::SocketAddr,
    http: hyper_util::client::legacy::Client<Connector, Body>,
}

#[derive(Debug)]
#[derive(Deserialize)]
struct Rated {
    score_percent: u64,
}

impl Rating {
    /// A client of the service at `address`.
    #[must_use]
    pub fn new(address: net::SocketAddr) -> Self {
        let executor = hyper_util::rt::TokioExecutor::new();
        let http = hyper_util::client::legacy::Client::builder(executor).build(Connector::new());
        Self { address, http }
    }

    /// Asks how good an answer is, in percent; nothing if the service does not say in time.
    pub async fn rate(&self, item: &str, prompt: &[u8], answer: &[u8]) -> Option<u64> {
        let limit = time::Duration::from_millis(RATE_MS);
        tokio::time::timeout(limit, self.ask(item, prompt, answer)).await.ok()?
    }

    async fn ask(&self, item: &str, prompt: &[u8], answer: &[u8]) -> Option<u64> {
        let question = serde_json::json!({
            "item": item,
            "prompt": String::from_utf8_lossy(prompt),
            "answer": String::from_utf8_lossy(answer),
        });
        let request = hyper::Request::post(format!("http://{}/v1/rate", self.address))
            .header("content-type", "application/json")
            .body(Body::from(question.to_string()))
            .ok()?;
        let answer = self.http.request(request).await.ok()?;
        let body = http_body_util::Limited::new(answer.into_body(), BODY_MAX_BYTES);
        let bytes = body.collect().await.ok()?.to_bytes();
        serde_json::from_slice::<Rated>(&bytes).ok().map(|rated| rated.score_percent)
    }
}
