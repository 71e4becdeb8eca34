//! The answer on its way to the caller.

use std::io;
use std::sync::Arc;

use toucanwall_coordination::ledger::entry;
use toucanwall_core::refusal;

/// Pieces that wait for a slow caller at most.
const PIECES_MAX: usize = 16;

/// Status and headers of an answer.
#[derive(Debug)]
pub struct Head {
    /// HTTP status.
    pub status: u16,
    /// Media type.
    pub content_type: Arc<str>,
    /// Further headers.
    pub headers: Vec<(&'static str, String)>,
}

/// The caller's end of an answer.
#[derive(Debug)]
pub struct Source {
    /// Comes first.
    pub head: tokio::sync::oneshot::Receiver<Head>,
    /// The body; an error breaks it off.
    pub body: tokio::sync::mpsc::Receiver<Result<bytes::Bytes, io::Error>>,
}

/// Where the pieces of an answer go.
#[derive(Debug)]
pub struct Sink {
    head: Option<tokio::sync::oneshot::Sender<Head>>,
    body: tokio::sync::mpsc::Sender<Result<bytes::Bytes, io::Error>>,
    request_id: String,
    is_event_stream: bool,
}

/// Opens the way of one answer.
#[must_use]
pub fn channel(request_id: String) -> (Sink, Source) {
    let (head_sender, head) = tokio::sync::oneshot::channel();
    let (body_sender, body) = tokio::sync::mpsc::channel(PIECES_MAX);
    let sink =
        Sink { head: Some(head_sender), body: body_sender, request_id, is_event_stream: false };
    (sink, Source { head, body })
}

impl Sink {
    /// The way for the body, to wait for room or for the caller to leave.
    #[must_use]
    pub fn body(&self) -> tokio::sync::mpsc::Sender<Result<bytes::Bytes, io::Error>> {
        self.body.clone()
    }

    /// The id that the caller sees with its answer.
    #[must_use]
    pub fn request_id(&self) -> &str {
        &self.request_id
    }

    /// Whether the caller has seen the head.
    #[must_use]
    pub fn has_head(&self) -> bool {
        self.head.is_none()
    }

    /// Sends the head, once.
    pub fn send_head(&mut self, mut head: Head) {
        if let Some(sender) = self.head.take() {
            self.is_event_stream = head.content_type.starts_with("text/event-stream");
            head.headers.push(("x-request-id", self.request_id.clone()));
            // A caller that has left needs no answer.
            drop(sender.send(head));
        }
    }

    /// Sends a piece of the body.
    pub async fn send(&self, piece: bytes::Bytes) {
        if !piece.is_empty() {
            drop(self.body.send(Ok(piece)).await);
        }
    }

    /// Gives the kept answer of an earlier request.
    pub async fn replay(&mut self, answer: entry::StoredResponse) {
        if let Some(body) = answer.body {
            self.send_head(Head {
                status: answer.status,
                content_type: answer.content_type,
                headers: vec![("x-toucanwall-replayed", "true".to_owned())],
            });
            self.send(bytes::Bytes::copy_from_slice(&body)).await;
        } else {
            let problem = Problem {
                kind: "already_answered",
                reason: "answer_not_kept",
                hint: "the request was answered once; its answer was too long to keep",
                retry_after_ms: None,
            };
            self.send_problem(409, &problem).await;
        }
    }

    /// Says that the request was not run.
    pub async fn refuse(&mut self, refusal: &refusal::NotRun) {
        let reason = refusal.reason();
        let problem = Problem {
            kind: "not_run",
            reason: reason.code(),
            hint: reason.hint(),
            retry_after_ms: refusal.retry_after_ms(),
        };
        self.send_problem(reason.status(), &problem).await;
    }

    /// Says that there is no whole answer.
    pub async fn fail(&mut self, failure: refusal::Failure) {
        let (status, problem) = match failure {
            refusal::Failure::Failed { retry_after_ms } => (
                502,
                Problem {
                    kind: "failed",
                    reason: "no_whole_answer",
                    hint: "the request may be sent again",
                    retry_after_ms: Some(retry_after_ms),
                },
            ),
            refusal::Failure::OutcomeUnknown => (
                504,
                Problem {
                    kind: "outcome_unknown",
                    reason: "no_answer",
                    hint: "it may have run; ask again with the same Idempotency-Key",
                    retry_after_ms: Some(2_000),
                },
            ),
            refusal::Failure::InProgress { retry_after_ms } => (
                409,
                Problem {
                    kind: "outcome_unknown",
                    reason: "in_progress",
                    hint: "an equal request is under way; ask again with the same Idempotency-Key",
                    retry_after_ms: Some(retry_after_ms),
                },
            ),
        };
        if !self.has_head() {
            self.send_problem(status, &problem).await;
        } else if self.is_event_stream {
            let event = format!("event: error\ndata: {}\n\n", problem.to_json());
            self.send(event.into()).await;
        } else {
            // Breaking off is the one way left to say that the answer is not whole.
            drop(self.body.send(Err(io::Error::from(io::ErrorKind::ConnectionAborted))).await);
        }
    }

    /// Says what is wrong with a request.
    pub async fn send_problem(&mut self, status: u16, problem: &Problem) {
        let mut headers = Vec::new();
        if let Some(retry_after_ms) = problem.retry_after_ms {
            headers.push(("retry-after", retry_after_ms.div_ceil(1_000).to_string()));
        }
        self.send_head(Head { status, content_type: Arc::from("application/json"), headers });
        self.send(problem.to_json().into()).await;
    }
}

/// A typed error body.
#[derive(Debug, Clone, Copy)]
pub struct Problem {
    /// `not_run`, `failed`, `outcome_unknown` or `already_answered`.
    pub kind: &'static str,
    /// Why.
    pub reason: &'static str,
    /// What the caller can do.
    pub hint: &'static str,
    /// When to come back, in milliseconds.
    pub retry_after_ms: Option<u64>,
}

impl Problem {
    /// The body.
    #[must_use]
    pub fn to_json(self) -> String {
        serde_json::json!({
            "error": {
                "type": self.kind,
                "reason": self.reason,
                "message": self.hint,
                "retry_after_ms": self.retry_after_ms,
            }
        })
        .to_string()
    }
}
