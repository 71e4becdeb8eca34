//! One request's task: carries out the control thread's commands about it.

use std::net;
use std::sync::Arc;

use toucanwall_coordination::ledger::entry;
use toucanwall_core::action;
use toucanwall_core::event;
use toucanwall_core::refusal;

use crate::answer;
use crate::backend;
use crate::control;
use crate::rating;
use crate::sse;

/// Where commands about a request go.
pub type Commands = tokio::sync::mpsc::UnboundedSender<Command>;

/// A command of the control thread about one request.
#[derive(Debug)]
pub enum Command {
    /// Send it to a backend server.
    Dispatch(action::Dispatch),
    /// Ask for a rating of the held answer.
    Rate {
        /// The attempt that is held.
        attempt: event::Attempt,
    },
    /// Pass on what is held; the answer is whole.
    Finish,
    /// Drop what is held.
    Discard,
    /// Give the kept answer of an earlier request.
    Replay(entry::StoredResponse),
    /// Say that it was not run.
    Refuse(refusal::NotRun),
    /// Say that it has no whole answer.
    Fail(refusal::Failure),
    /// Close the connection of an attempt.
    Cancel {
        /// The attempt.
        attempt: event::Attempt,
    },
}

/// One request's task.
#[derive(Debug)]
pub struct Task {
    /// What the caller sent, without its body.
    pub head: Arc<event::RequestHead>,
    /// What goes to the backend server.
    pub outgoing: backend::Outgoing,
    /// Commands about it.
    pub commands: tokio::sync::mpsc::UnboundedReceiver<Command>,
    /// The way to the control thread.
    pub inputs: control::InputSender,
    /// Where the answer goes.
    pub sink: answer::Sink,
    /// Connections to backend servers.
    pub backends: backend::Backends,
    /// The rating service, if there is one.
    pub rating: Option<rating::RatingClient>,
    /// What is held of the answer.
    pub held: Held,
}

/// What is held of an answer.
#[derive(Debug, Default)]
pub struct Held {
    head: Option<answer::Head>,
    item: Arc<str>,
    bytes: Vec<u8>,
    tail: Option<bytes::Bytes>,
}

/// Whether a task goes on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Next {
    Command,
    End,
}

/// How an attempt came to its end.
enum Outcome {
    /// Its end is for the control thread.
    Ended(event::AttemptEnd),
    /// The control thread closed it.
    Cancelled,
}

impl Task {
    /// Runs until the caller has its answer.
    pub async fn run(mut self) {
        while self.step().await == Next::Command {}
        self.inputs.send_task_ended(self.head.request_id);
    }

    async fn step(&mut self) -> Next {
        let body = self.sink.body();
        let command = tokio::select! {
            command = self.commands.recv() => command,
            () = body.closed() => {
                self.inputs.send_event(event::Event::CallerDisconnected { request_id: self.head.request_id });
                return Next::End;
            }
        };
        match command {
            None | Some(Command::Cancel { .. }) => Next::End,
            Some(Command::Dispatch(dispatch)) => self.attempt(dispatch).await,
            Some(Command::Rate { attempt }) => self.rate(attempt).await,
            Some(Command::Finish) => self.finish().await,
            Some(Command::Discard) => self.discard(),
            Some(Command::Replay(answer)) => {
                self.sink.replay(answer).await;
                Next::End
            }
            Some(Command::Refuse(refusal)) => {
                self.sink.refuse(&refusal).await;
                Next::End
            }
            Some(Command::Fail(failure)) => {
                self.sink.fail(failure).await;
                Next::End
            }
        }
    }

    fn discard(&mut self) -> Next {
        self.held = Held::default();
        Next::Command
    }

    async fn finish(&mut self) -> Next {
        let held = std::mem::take(&mut self.held);
        if let Some(head) = held.head {
            self.sink.send_head(head);
        }
        self.sink.send(held.bytes.into()).await;
        if let Some(tail) = held.tail {
            self.sink.send(tail).await;
        }
        Next::End
    }

    async fn rate(&mut self, attempt: event::Attempt) -> Next {
        let score_percent = match &self.rating {
            Some(rating) => {
                rating.rate(&self.held.item, &self.outgoing.body, &self.held.bytes).await
            }
            None => None,
        };
        let request_id = self.head.request_id;
        self.inputs.send_event(event::Event::AnswerRated { request_id, attempt, score_percent });
        Next::Command
    }

    /// A broken connection to a server that takes no new ones means that it went down.
    async fn tell_crash(&self, mut outcome: Outcome, server: net::SocketAddr) -> Outcome {
        if let Outcome::Ended(event::AttemptEnd::Failed { fault, .. }) = &mut outcome
            && *fault == event::Fault::ConnectionLost
            && !self.backends.probe(server).await
        {
            *fault = event::Fault::Crashed;
        }
        outcome
    }

    async fn attempt(&mut self, dispatch: action::Dispatch) -> Next {
        let request_id = self.head.request_id;
        let attempt = dispatch.attempt;
        let server = dispatch.server;
        let note = format!(
            "request {} of {} as {} on {server} by revision {}, attempt {attempt}",
            self.sink.request_id(),
            dispatch.organisation,
            dispatch.item,
            dispatch.revision,
        );
        let mut runner = Attempt::new(self, dispatch);
        let outcome = runner.run().await;
        let is_over = runner.is_over;
        let outcome = self.tell_crash(outcome, server).await;
        if let Outcome::Ended(end) = outcome {
            log::debug!(target: "toucanwall", "{note}: {}", ending(&end));
            self.inputs.send_event(event::Event::AttemptEnded { request_id, attempt, end });
        }
        if is_over { Next::End } else { Next::Command }
    }
}

/// One attempt at a backend server.
struct Attempt<'a> {
    task: &'a mut Task,
    dispatch: action::Dispatch,
    events: Option<sse::EventSplitter>,
    kept: Vec<u8>,
    status: u16,
    content_type: Arc<str>,
    tokens: u64,
    delivered_bytes: bool,
    /// Whether the caller has left or was given its final answer.
    is_over: bool,
}

impl<'a> Attempt<'a> {
    fn new(task: &'a mut Task, dispatch: action::Dispatch) -> Self {
        Self {
            task,
            dispatch,
            events: None,
            kept: Vec::new(),
            status: 0,
            content_type: Arc::from(""),
            tokens: 0,
            delivered_bytes: false,
            is_over: false,
        }
    }

    async fn run(&mut self) -> Outcome {
        let outgoing = self.outgoing();
        let backends = self.task.backends.clone();
        let (server, progress_ms) = (self.dispatch.server, self.dispatch.progress_timeout_ms);
        let mut opening = std::pin::pin!(backends.open(server, &outgoing, progress_ms));
        let (parts, exchange) = loop {
            let body = self.task.sink.body();
            tokio::select! {
                opened = &mut opening => match opened {
                    Ok(opened) => break opened,
                    Err(fault) => return self.failed(fault),
                },
                command = self.task.commands.recv() => {
                    if self.interrupted_by(command).await {
                        return Outcome::Cancelled;
                    }
                }
                () = body.closed(), if !self.is_over => self.caller_left(),
            }
        };
        self.take_head(&parts);
        if let Some(fault) = fault_of(&parts) {
            return self.failed(fault);
        }
        self.pump(exchange).await
    }

    /// Moves pieces from the server to the caller; one waits at a time.
    async fn pump(&mut self, mut exchange: backend::Exchange) -> Outcome {
        let mut waiting = bytes::Bytes::new();
        loop {
            let body = self.task.sink.body();
            let has_waiting = !waiting.is_empty() && !self.is_over;
            tokio::select! {
                room = body.reserve(), if has_waiting => {
                    if let Ok(room) = room {
                        room.send(Ok(std::mem::take(&mut waiting)));
                        self.delivered_bytes = true;
                    } else {
                        waiting.clear();
                    }
                }
                piece = exchange.next(), if !has_waiting => match piece {
                    backend::Piece::Data(data) => match self.take_data(&data) {
                        Ok(piece) => waiting = piece,
                        Err(fault) => return self.failed(fault),
                    },
                    backend::Piece::End => {
                        exchange.keep(&self.task.backends).await;
                        return self.ended();
                    }
                    backend::Piece::Fault(fault) => return self.failed(fault),
                },
                command = self.task.commands.recv() => {
                    if self.interrupted_by(command).await {
                        return Outcome::Cancelled;
                    }
                }
                () = body.closed(), if !self.is_over => self.caller_left(),
            }
        }
    }

    fn outgoing(&self) -> backend::Outgoing {
        let mut outgoing = self.task.outgoing.clone();
        put_header(&mut outgoing.headers, "x-toucanwall-item", &self.dispatch.item);
        if self.dispatch.resume_from > 0 {
            let resume_from = self.dispatch.resume_from.to_string();
            put_header(&mut outgoing.headers, "x-resume-from", &resume_from);
        }
        outgoing
    }

    fn caller_left(&mut self) {
        self.is_over = true;
        let request_id = self.task.head.request_id;
        self.task.inputs.send_event(event::Event::CallerDisconnected { request_id });
    }

    /// Takes a command while the attempt runs; returns whether the attempt is to end.
    async fn interrupted_by(&mut self, command: Option<Command>) -> bool {
        match command {
            None => {
                self.is_over = true;
                true
            }
            Some(Command::Cancel { attempt }) if attempt == self.dispatch.attempt => {
                self.is_over = true;
                true
            }
            Some(Command::Fail(failure)) => {
                if !self.is_over {
                    self.task.sink.fail(failure).await;
                }
                self.is_over = true;
                false
            }
            Some(_) => false,
        }
    }

    fn take_head(&mut self, parts: &hyper::http::response::Parts) {
        self.status = parts.status.as_u16();
        self.content_type = header(parts, "content-type").unwrap_or_default().into();
        if let Some(running) = header(parts, "x-load-running").and_then(|text| text.parse().ok()) {
            let server = self.dispatch.server;
            self.task.inputs.send_event(event::Event::LoadReported { server, running });
        }
        self.tokens =
            header(parts, "x-usage-tokens").and_then(|text| text.parse().ok()).unwrap_or(0);
        if self.content_type.starts_with("text/event-stream") {
            self.events = Some(sse::EventSplitter::default());
        }
        if fault_of(parts).is_some() {
            return;
        }
        let head = self.answer_head();
        match self.dispatch.mode {
            action::DeliveryMode::Stream => self.task.sink.send_head(head),
            action::DeliveryMode::Buffer { .. } => {
                self.task.held.head = Some(head);
                self.task.held.item = Arc::clone(&self.dispatch.item);
            }
        }
    }

    fn answer_head(&self) -> answer::Head {
        let mut headers = vec![
            ("x-toucanwall-item", self.dispatch.item.to_string()),
            ("x-toucanwall-revision", self.dispatch.revision.to_string()),
        ];
        if let Some(token) = &self.dispatch.session_token {
            headers.push(("x-toucanwall-session", token.to_string()));
        }
        answer::Head { status: self.status, content_type: Arc::clone(&self.content_type), headers }
    }

    /// Takes bytes; returns those that go to the caller now.
    fn take_data(&mut self, data: &bytes::Bytes) -> Result<bytes::Bytes, event::Fault> {
        let piece = match &mut self.events {
            Some(events) => events.push(data).map_err(|_ignored| event::Fault::AnswerTooLarge)?,
            None => data.clone(),
        };
        if !self.task.outgoing.is_idempotent && self.kept.len() <= entry::STORED_RESPONSE_MAX_BYTES
        {
            self.kept.extend_from_slice(&piece);
        }
        match self.dispatch.mode {
            action::DeliveryMode::Stream => Ok(piece),
            action::DeliveryMode::Buffer { max_bytes } => {
                self.task.held.bytes.extend_from_slice(&piece);
                if self.task.held.bytes.len() > max_bytes {
                    return Err(event::Fault::AnswerTooLarge);
                }
                Ok(bytes::Bytes::new())
            }
        }
    }

    fn ended(&mut self) -> Outcome {
        if let Some(events) = &self.events {
            // Without its last event a stream is not whole, however it ended.
            let Some(done) = events.final_event() else {
                return self.failed(event::Fault::ConnectionLost);
            };
            self.task.held.tail = Some(done);
            self.tokens = self.tokens.max(events.forwarded_events());
        }
        let body = (self.kept.len() <= entry::STORED_RESPONSE_MAX_BYTES)
            .then(|| Arc::from(std::mem::take(&mut self.kept)));
        let content_type = Arc::clone(&self.content_type);
        let answer = entry::StoredResponse { status: self.status, content_type, body };
        Outcome::Ended(event::AttemptEnd::Answered { tokens: self.tokens, answer })
    }

    fn failed(&self, fault: event::Fault) -> Outcome {
        let passed = self.events.as_ref().map_or(0, sse::EventSplitter::forwarded_events);
        let is_streamed = self.dispatch.mode == action::DeliveryMode::Stream;
        let delivered = if is_streamed { passed } else { 0 };
        Outcome::Ended(event::AttemptEnd::Failed {
            fault,
            delivered_events: self.dispatch.resume_from + delivered,
            is_resumable: self.events.is_some() || !self.delivered_bytes,
        })
    }
}

/// How an attempt ended, for the log.
fn ending(end: &event::AttemptEnd) -> String {
    match end {
        event::AttemptEnd::Answered { tokens, .. } => format!("answered with {tokens} tokens"),
        event::AttemptEnd::Failed { fault, .. } => format!("failed: {fault:?}"),
    }
}

/// An answer that is no answer to the request.
fn fault_of(parts: &hyper::http::response::Parts) -> Option<event::Fault> {
    if header(parts, "x-not-run").is_some() {
        return Some(event::Fault::Declined);
    }
    parts.status.is_server_error().then_some(event::Fault::ErrorStatus)
}

fn header<'a>(parts: &'a hyper::http::response::Parts, name: &str) -> Option<&'a str> {
    parts.headers.get(name).and_then(|value| value.to_str().ok())
}

fn put_header(headers: &mut hyper::HeaderMap, name: &'static str, value: &str) {
    if let Ok(value) = hyper::header::HeaderValue::from_str(value) {
        headers.insert(name, value);
    }
}
