//! Sending the response to a caller: the channel between a request's task and its HTTP handler.

use std::io;
use std::sync::Arc;

use toucanwall_coordination::ledger::entry;
use toucanwall_core::refusal;

/// Maximum number of body chunks buffered for a slow caller.
const BODY_CHUNKS_MAX: usize = 16;

/// Status and headers of a response.
#[derive(Debug)]
pub struct Head {
    /// HTTP status code.
    pub status: u16,
    /// Media type.
    pub content_type: Arc<str>,
    /// Additional headers.
    pub headers: Vec<(&'static str, String)>,
}

/// Receiving end of a response, held by the HTTP handler.
#[derive(Debug)]
pub struct Receiver {
    /// The head, which is sent before the body.
    pub head: tokio::sync::oneshot::Receiver<Head>,
    /// Chunks of the body; an error aborts the response.
    pub body: tokio::sync::mpsc::Receiver<Result<bytes::Bytes, io::Error>>,
}

/// Sending end of a response, held by the request's task.
#[derive(Debug)]
pub struct Sender {
    head: Option<tokio::sync::oneshot::Sender<Head>>,
    body: tokio::sync::mpsc::Sender<Result<bytes::Bytes, io::Error>>,
    request_id: String,
    is_event_stream: bool,
}

/// Creates the channel for one response.
#[must_use]
pub fn channel(request_id: String) -> (Sender, Receiver) {
    let (head_sender, head) = tokio::sync::oneshot::channel();
    let (body_sender, body) = tokio::sync::mpsc::channel(BODY_CHUNKS_MAX);
    let sender =
        Sender { head: Some(head_sender), body: body_sender, request_id, is_event_stream: false };
    (sender, Receiver { head, body })
}

impl Sender {
    /// Returns the sender of the body, to wait for capacity or for the caller to disconnect.
    #[must_use]
    pub fn body_sender(&self) -> tokio::sync::mpsc::Sender<Result<bytes::Bytes, io::Error>> {
        self.body.clone()
    }

    /// Returns the request id that is sent to the caller.
    #[must_use]
    pub fn request_id(&self) -> &str {
        &self.request_id
    }

    /// Returns whether the head has been sent.
    #[must_use]
    pub fn is_head_sent(&self) -> bool {
        self.head.is_none()
    }

    /// Sends the head; has no effect if it has already been sent.
    pub fn send_head(&mut self, mut head: Head) {
        if let Some(head_sender) = self.head.take() {
            self.is_event_stream = head.content_type.starts_with("text/event-stream");
            head.headers.push(("x-request-id", self.request_id.clone()));
            // Sending fails only if the caller has disconnected.
            drop(head_sender.send(head));
        }
    }

    /// Sends a chunk of the body.
    pub async fn send_chunk(&self, chunk: bytes::Bytes) {
        if !chunk.is_empty() {
            drop(self.body.send(Ok(chunk)).await);
        }
    }

    /// Sends the stored response of an earlier request.
    pub async fn replay(&mut self, response: entry::StoredResponse) {
        if let Some(body) = response.body {
            self.send_head(Head {
                status: response.status,
                content_type: response.content_type,
                headers: vec![("x-toucanwall-replayed", "true".to_owned())],
            });
            self.send_chunk(bytes::Bytes::copy_from_slice(&body)).await;
        } else {
            let error = ErrorBody {
                error_type: "already_answered",
                reason: "answer_not_kept",
                hint: "the request was answered once; its answer was too long to keep",
                retry_after_ms: None,
            };
            self.send_error(409, &error).await;
        }
    }

    /// Reports that the request was not executed.
    pub async fn refuse(&mut self, refusal: &refusal::NotRun) {
        let reason = refusal.reason();
        let error = ErrorBody {
            error_type: "not_run",
            reason: reason.code(),
            hint: reason.hint(),
            retry_after_ms: refusal.retry_after_ms(),
        };
        self.send_error(reason.status(), &error).await;
    }

    /// Reports that there is no complete answer.
    pub async fn fail(&mut self, failure: refusal::Failure) {
        let (status, error) = match failure {
            refusal::Failure::Failed { retry_after_ms } => (
                502,
                ErrorBody {
                    error_type: "failed",
                    reason: "no_whole_answer",
                    hint: "the request may be sent again",
                    retry_after_ms: Some(retry_after_ms),
                },
            ),
            refusal::Failure::OutcomeUnknown => (
                504,
                ErrorBody {
                    error_type: "outcome_unknown",
                    reason: "no_answer",
                    hint: "it may have run; ask again with the same Idempotency-Key",
                    retry_after_ms: Some(2_000),
                },
            ),
            refusal::Failure::InProgress { retry_after_ms } => (
                409,
                ErrorBody {
                    error_type: "outcome_unknown",
                    reason: "in_progress",
                    hint: "an equal request is under way; ask again with the same Idempotency-Key",
                    retry_after_ms: Some(retry_after_ms),
                },
            ),
        };
        if !self.is_head_sent() {
            self.send_error(status, &error).await;
        } else if self.is_event_stream {
            let event = format!("event: error\ndata: {}\n\n", error.to_json());
            self.send_chunk(event.into()).await;
        } else {
            // The head has been sent, so aborting the connection is the only way left to signal
            // that the response is incomplete.
            drop(self.body.send(Err(io::Error::from(io::ErrorKind::ConnectionAborted))).await);
        }
    }

    /// Sends an error response.
    pub async fn send_error(&mut self, status: u16, error: &ErrorBody) {
        let mut headers = Vec::new();
        if let Some(retry_after_ms) = error.retry_after_ms {
            headers.push(("retry-after", retry_after_ms.div_ceil(1_000).to_string()));
        }
        self.send_head(Head { status, content_type: Arc::from("application/json"), headers });
        self.send_chunk(error.to_json().into()).await;
    }
}

/// Content of an error body.
#[derive(Debug, Clone, Copy)]
pub struct ErrorBody {
    /// Type of the error: `not_run`, `failed`, `outcome_unknown` or `already_answered`.
    pub error_type: &'static str,
    /// Code of the reason.
    pub reason: &'static str,
    /// What the caller can do.
    pub hint: &'static str,
    /// Time after which the caller may retry, in milliseconds.
    pub retry_after_ms: Option<u64>,
}

impl ErrorBody {
    /// Returns the body as JSON.
    #[must_use]
    pub fn to_json(self) -> String {
        serde_json::json!({
            "error": {
                "type": self.error_type,
                "reason": self.reason,
                "message": self.hint,
                "retry_after_ms": self.retry_after_ms,
            }
        })
        .to_string()
    }
}
