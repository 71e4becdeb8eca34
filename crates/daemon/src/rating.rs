//! Client of the rating service, which scores the quality of answers.

use std::net;
use std::time;

use http_body_util::BodyExt as _;
use serde::Deserialize;

/// Timeout for rating one answer, in milliseconds.
const RATING_TIMEOUT_MS: u64 = 2_000;
/// Maximum size of the service's response body, in bytes.
const RESPONSE_MAX_BYTES: usize = 64 * 1024;

type Body = http_body_util::Full<bytes::Bytes>;
type Connector = hyper_util::client::legacy::connect::HttpConnector;

/// Client of the rating service.
#[derive(Debug, Clone)]
pub struct RatingClient {
    address: net::SocketAddr,
    http: hyper_util::client::legacy::Client<Connector, Body>,
}

/// Response body of the service.
#[derive(Debug)]
#[derive(Deserialize)]
struct RatingResponse {
    score_percent: u64,
}

impl RatingClient {
    /// Creates a client of the service at `address`.
    #[must_use]
    pub fn new(address: net::SocketAddr) -> Self {
        let executor = hyper_util::rt::TokioExecutor::new();
        let http = hyper_util::client::legacy::Client::builder(executor).build(Connector::new());
        Self { address, http }
    }

    /// Requests a rating of an answer, in percent.
    ///
    /// Returns `None` if the service fails or does not respond in time.
    pub async fn rate(&self, item: &str, prompt: &[u8], answer: &[u8]) -> Option<u64> {
        let timeout = time::Duration::from_millis(RATING_TIMEOUT_MS);
        tokio::time::timeout(timeout, self.request_rating(item, prompt, answer)).await.ok()?
    }

    async fn request_rating(&self, item: &str, prompt: &[u8], answer: &[u8]) -> Option<u64> {
        let request_body = serde_json::json!({
            "item": item,
            "prompt": String::from_utf8_lossy(prompt),
            "answer": String::from_utf8_lossy(answer),
        });
        let request = hyper::Request::post(format!("http://{}/v1/rate", self.address))
            .header("content-type", "application/json")
            .body(Body::from(request_body.to_string()))
            .ok()?;
        let response = self.http.request(request).await.ok()?;
        let body = http_body_util::Limited::new(response.into_body(), RESPONSE_MAX_BYTES);
        let bytes = body.collect().await.ok()?.to_bytes();
        serde_json::from_slice::<RatingResponse>(&bytes).ok().map(|response| response.score_percent)
    }
}
