//! The task of a request, which executes the commands of the control thread.

use std::net;
use std::sync::Arc;

use toucanwall_coordination::ledger::entry;
use toucanwall_core::action;
use toucanwall_core::event;
use toucanwall_core::refusal;

use crate::backend;
use crate::control;
use crate::rating;
use crate::response;
use crate::sse;

/// Sends commands to the task of a request.
pub type CommandSender = tokio::sync::mpsc::UnboundedSender<Command>;

/// A command from the control thread to the task of a request.
#[derive(Debug)]
pub enum Command {
    /// Send the request to a backend server.
    Dispatch(action::Dispatch),
    /// Request a rating of the buffered answer.
    Rate {
        /// Number of the attempt that produced the answer.
        attempt: event::Attempt,
    },
    /// Send the caller what is still withheld of the answer, which completes it.
    Finish,
    /// Drop the buffered answer.
    Discard,
    /// Send the caller the stored response of an earlier request.
    Replay(entry::StoredResponse),
    /// Tell the caller that the request was not executed.
    Refuse(refusal::NotRun),
    /// Tell the caller that there is no complete answer.
    Fail(refusal::Failure),
    /// Close the connection of an attempt.
    Cancel {
        /// Number of the attempt.
        attempt: event::Attempt,
    },
}

/// The task of a request.
#[derive(Debug)]
pub struct Task {
    /// Metadata of the request, without its body.
    pub head: Arc<event::RequestHead>,
    /// The request as it is sent to backend servers.
    pub outgoing_request: backend::OutgoingRequest,
    /// Receives commands from the control thread.
    pub commands: tokio::sync::mpsc::UnboundedReceiver<Command>,
    /// Sends inputs to the control thread.
    pub input_sender: control::InputSender,
    /// Sends the response to the caller.
    pub response: response::Sender,
    /// Pool of connections to backend servers.
    pub connection_pool: backend::ConnectionPool,
    /// Client of the rating service, if there is one.
    pub rating_client: Option<rating::RatingClient>,
    /// The part of the answer that is withheld from the caller.
    pub withheld: WithheldAnswer,
}

/// The part of an answer that is withheld until the control thread releases it.
///
/// For a buffered answer this is the whole answer, for a streamed one only the final event.
#[derive(Debug, Default)]
pub struct WithheldAnswer {
    head: Option<response::Head>,
    item: Arc<str>,
    body: Vec<u8>,
    final_event: Option<bytes::Bytes>,
}

/// State of a task after a step.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum TaskState {
    /// It waits for the next command.
    Running,
    /// It has ended.
    Ended,
}

/// How an attempt ended.
enum Outcome {
    /// It has a result, which is reported to the control thread.
    Ended(event::AttemptEnd),
    /// The control thread cancelled it.
    Cancelled,
}

impl Task {
    /// Runs until the response is complete or the caller has disconnected.
    pub async fn run(mut self) {
        while self.step().await == TaskState::Running {}
        self.input_sender.send_task_ended(self.head.request_id);
    }

    async fn step(&mut self) -> TaskState {
        let body_sender = self.response.body_sender();
        let command = tokio::select! {
            command = self.commands.recv() => command,
            () = body_sender.closed() => {
                self.input_sender.send_event(
                    event::Event::CallerDisconnected { request_id: self.head.request_id }
                );
                return TaskState::Ended;
            }
        };
        match command {
            None | Some(Command::Cancel { .. }) => TaskState::Ended,
            Some(Command::Dispatch(dispatch)) => self.run_attempt(dispatch).await,
            Some(Command::Rate { attempt }) => self.rate_answer(attempt).await,
            Some(Command::Finish) => self.finish().await,
            Some(Command::Discard) => self.discard(),
            Some(Command::Replay(answer)) => {
                self.response.replay(answer).await;
                TaskState::Ended
            }
            Some(Command::Refuse(refusal)) => {
                self.response.refuse(&refusal).await;
                TaskState::Ended
            }
            Some(Command::Fail(failure)) => {
                self.response.fail(failure).await;
                TaskState::Ended
            }
        }
    }

    fn discard(&mut self) -> TaskState {
        self.withheld = WithheldAnswer::default();
        TaskState::Running
    }

    async fn finish(&mut self) -> TaskState {
        let withheld = std::mem::take(&mut self.withheld);
        if let Some(head) = withheld.head {
            self.response.send_head(head);
        }
        self.response.send_chunk(withheld.body.into()).await;
        if let Some(final_event) = withheld.final_event {
            self.response.send_chunk(final_event).await;
        }
        TaskState::Ended
    }

    async fn rate_answer(&mut self, attempt: event::Attempt) -> TaskState {
        let score_percent = match &self.rating_client {
            Some(rating_client) => {
                rating_client
                    .rate(&self.withheld.item, &self.outgoing_request.body, &self.withheld.body)
                    .await
            }
            None => None,
        };
        let request_id = self.head.request_id;
        self.input_sender.send_event(event::Event::AnswerRated {
            request_id,
            attempt,
            score_percent,
        });
        TaskState::Running
    }

    /// Turns a lost connection into a crash if the server accepts no new connections either.
    async fn detect_crash(&self, mut outcome: Outcome, server: net::SocketAddr) -> Outcome {
        if let Outcome::Ended(event::AttemptEnd::Failed { fault, .. }) = &mut outcome
            && *fault == event::Fault::ConnectionLost
            && !self.connection_pool.accepts_connections(server).await
        {
            *fault = event::Fault::Crashed;
        }
        outcome
    }

    async fn run_attempt(&mut self, dispatch: action::Dispatch) -> TaskState {
        let request_id = self.head.request_id;
        let attempt = dispatch.attempt;
        let server = dispatch.server;
        let log_prefix = format!(
            "request {} of organisation {}: {} on {server}, revision {}, attempt {attempt}",
            self.response.request_id(),
            dispatch.organisation,
            dispatch.item,
            dispatch.revision,
        );
        let mut runner = AttemptRunner::new(self, dispatch);
        let outcome = runner.run().await;
        let is_task_done = runner.is_task_done;
        let outcome = self.detect_crash(outcome, server).await;
        if let Outcome::Ended(end) = outcome {
            log::debug!(target: "toucanwall", "{log_prefix}: {}", describe_end(&end));
            self.input_sender.send_event(event::Event::AttemptEnded { request_id, attempt, end });
        }
        if is_task_done { TaskState::Ended } else { TaskState::Running }
    }
}

/// Runs one attempt to execute the request on a backend server.
struct AttemptRunner<'a> {
    task: &'a mut Task,
    dispatch: action::Dispatch,
    events: Option<sse::EventSplitter>,
    /// Body to store with the claim of a request that is not idempotent.
    stored_body: Vec<u8>,
    status: u16,
    content_type: Arc<str>,
    tokens: u64,
    /// Whether any part of the body has been sent to the caller.
    has_delivered_bytes: bool,
    /// Whether the task ends with this attempt: the caller has disconnected or was told of a
    /// failure, or the attempt was cancelled.
    is_task_done: bool,
}

impl<'a> AttemptRunner<'a> {
    fn new(task: &'a mut Task, dispatch: action::Dispatch) -> Self {
        Self {
            task,
            dispatch,
            events: None,
            stored_body: Vec::new(),
            status: 0,
            content_type: Arc::from(""),
            tokens: 0,
            has_delivered_bytes: false,
            is_task_done: false,
        }
    }

    async fn run(&mut self) -> Outcome {
        let outgoing_request = self.build_request();
        let connection_pool = self.task.connection_pool.clone();
        let (server, progress_timeout_ms) =
            (self.dispatch.server, self.dispatch.progress_timeout_ms);
        let mut pending_response =
            std::pin::pin!(connection_pool.send(server, &outgoing_request, progress_timeout_ms));
        let (parts, response_body) = loop {
            let body_sender = self.task.response.body_sender();
            tokio::select! {
                response = &mut pending_response => match response {
                    Ok(response) => break response,
                    Err(fault) => return self.failure(fault),
                },
                command = self.task.commands.recv() => {
                    if self.handle_command(command).await {
                        return Outcome::Cancelled;
                    }
                }
                () = body_sender.closed(), if !self.is_task_done => self.handle_disconnect(),
            }
        };
        self.handle_head(&parts);
        if let Some(fault) = reported_fault(&parts) {
            return self.failure(fault);
        }
        self.forward_body(response_body).await
    }

    /// Forwards the response body from the server to the caller.
    ///
    /// At most one chunk is buffered; while it waits for a slow caller, the server is not read.
    async fn forward_body(&mut self, mut response_body: backend::ResponseBody) -> Outcome {
        let mut pending_chunk = bytes::Bytes::new();
        loop {
            let body_sender = self.task.response.body_sender();
            let has_pending_chunk = !pending_chunk.is_empty() && !self.is_task_done;
            tokio::select! {
                permit = body_sender.reserve(), if has_pending_chunk => {
                    if let Ok(permit) = permit {
                        permit.send(Ok(std::mem::take(&mut pending_chunk)));
                        self.has_delivered_bytes = true;
                    } else {
                        pending_chunk.clear();
                    }
                }
                event = response_body.next(), if !has_pending_chunk => match event {
                    backend::BodyEvent::Data(data) => match self.handle_data(&data) {
                        Ok(chunk) => pending_chunk = chunk,
                        Err(fault) => return self.failure(fault),
                    },
                    backend::BodyEvent::End => {
                        response_body.release_connection(&self.task.connection_pool).await;
                        return self.completion();
                    }
                    backend::BodyEvent::Fault(fault) => return self.failure(fault),
                },
                command = self.task.commands.recv() => {
                    if self.handle_command(command).await {
                        return Outcome::Cancelled;
                    }
                }
                () = body_sender.closed(), if !self.is_task_done => self.handle_disconnect(),
            }
        }
    }

    fn build_request(&self) -> backend::OutgoingRequest {
        let mut outgoing_request = self.task.outgoing_request.clone();
        insert_header(&mut outgoing_request.headers, "x-toucanwall-item", &self.dispatch.item);
        if self.dispatch.resume_from > 0 {
            let resume_from = self.dispatch.resume_from.to_string();
            insert_header(&mut outgoing_request.headers, "x-resume-from", &resume_from);
        }
        outgoing_request
    }

    fn handle_disconnect(&mut self) {
        self.is_task_done = true;
        let request_id = self.task.head.request_id;
        self.task.input_sender.send_event(event::Event::CallerDisconnected { request_id });
    }

    /// Handles a command during the attempt; returns whether to cancel the attempt.
    async fn handle_command(&mut self, command: Option<Command>) -> bool {
        match command {
            None => {
                self.is_task_done = true;
                true
            }
            Some(Command::Cancel { attempt }) if attempt == self.dispatch.attempt => {
                self.is_task_done = true;
                true
            }
            Some(Command::Fail(failure)) => {
                if !self.is_task_done {
                    self.task.response.fail(failure).await;
                }
                self.is_task_done = true;
                false
            }
            Some(_) => false,
        }
    }

    fn handle_head(&mut self, parts: &hyper::http::response::Parts) {
        self.status = parts.status.as_u16();
        self.content_type = header(parts, "content-type").unwrap_or_default().into();
        if let Some(running) = header(parts, "x-load-running").and_then(|text| text.parse().ok()) {
            let server = self.dispatch.server;
            self.task.input_sender.send_event(event::Event::LoadReported { server, running });
        }
        self.tokens =
            header(parts, "x-usage-tokens").and_then(|text| text.parse().ok()).unwrap_or(0);
        if self.content_type.starts_with("text/event-stream") {
            self.events = Some(sse::EventSplitter::default());
        }
        if reported_fault(parts).is_some() {
            return;
        }
        let head = self.response_head();
        match self.dispatch.mode {
            action::DeliveryMode::Stream => self.task.response.send_head(head),
            action::DeliveryMode::Buffer { .. } => {
                self.task.withheld.head = Some(head);
                self.task.withheld.item = Arc::clone(&self.dispatch.item);
            }
        }
    }

    fn response_head(&self) -> response::Head {
        let mut headers = vec![
            ("x-toucanwall-item", self.dispatch.item.to_string()),
            ("x-toucanwall-revision", self.dispatch.revision.to_string()),
        ];
        if let Some(token) = &self.dispatch.session_token {
            headers.push(("x-toucanwall-session", token.to_string()));
        }
        response::Head {
            status: self.status,
            content_type: Arc::clone(&self.content_type),
            headers,
        }
    }

    /// Handles data from the server; returns what to forward to the caller immediately.
    fn handle_data(&mut self, data: &bytes::Bytes) -> Result<bytes::Bytes, event::Fault> {
        let chunk = match &mut self.events {
            Some(events) => events.push(data).map_err(|_ignored| event::Fault::AnswerTooLarge)?,
            None => data.clone(),
        };
        if !self.task.outgoing_request.is_idempotent
            && self.stored_body.len() <= entry::STORED_RESPONSE_MAX_BYTES
        {
            self.stored_body.extend_from_slice(&chunk);
        }
        match self.dispatch.mode {
            action::DeliveryMode::Stream => Ok(chunk),
            action::DeliveryMode::Buffer { max_bytes } => {
                self.task.withheld.body.extend_from_slice(&chunk);
                if self.task.withheld.body.len() > max_bytes {
                    return Err(event::Fault::AnswerTooLarge);
                }
                Ok(bytes::Bytes::new())
            }
        }
    }

    fn completion(&mut self) -> Outcome {
        if let Some(events) = &self.events {
            // Without its final event the stream is incomplete, even if the body ended cleanly.
            let Some(final_event) = events.final_event() else {
                return self.failure(event::Fault::ConnectionLost);
            };
            self.task.withheld.final_event = Some(final_event);
            self.tokens = self.tokens.max(events.forwarded_events());
        }
        let body = (self.stored_body.len() <= entry::STORED_RESPONSE_MAX_BYTES)
            .then(|| Arc::from(std::mem::take(&mut self.stored_body)));
        let content_type = Arc::clone(&self.content_type);
        let answer = entry::StoredResponse { status: self.status, content_type, body };
        Outcome::Ended(event::AttemptEnd::Answered { tokens: self.tokens, answer })
    }

    fn failure(&self, fault: event::Fault) -> Outcome {
        let forwarded_events = self.events.as_ref().map_or(0, sse::EventSplitter::forwarded_events);
        let is_streamed = self.dispatch.mode == action::DeliveryMode::Stream;
        let delivered = if is_streamed { forwarded_events } else { 0 };
        Outcome::Ended(event::AttemptEnd::Failed {
            fault,
            delivered_events: self.dispatch.resume_from + delivered,
            is_resumable: self.events.is_some() || !self.has_delivered_bytes,
        })
    }
}

/// Describes the result of an attempt for the log.
fn describe_end(end: &event::AttemptEnd) -> String {
    match end {
        event::AttemptEnd::Answered { tokens, .. } => format!("answered with {tokens} tokens"),
        event::AttemptEnd::Failed { fault, .. } => format!("failed: {fault:?}"),
    }
}

/// Returns the fault that the head of a response reports, if any.
fn reported_fault(parts: &hyper::http::response::Parts) -> Option<event::Fault> {
    if header(parts, "x-not-run").is_some() {
        return Some(event::Fault::Declined);
    }
    parts.status.is_server_error().then_some(event::Fault::ErrorStatus)
}

fn header<'a>(parts: &'a hyper::http::response::Parts, name: &str) -> Option<&'a str> {
    parts.headers.get(name).and_then(|value| value.to_str().ok())
}

fn insert_header(headers: &mut hyper::HeaderMap, name: &'static str, value: &str) {
    if let Ok(value) = hyper::header::HeaderValue::from_str(value) {
        headers.insert(name, value);
    }
}
