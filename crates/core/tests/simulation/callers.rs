//! Fakes of the callers, which send requests and resend them with the same idempotency key.

use std::collections;
use std::sync::Arc;

use rand::RngExt as _;
use rand::seq::IndexedRandom as _;
use toucanwall_coordination::ledger::entry;
use toucanwall_core::event;
use toucanwall_core::refusal;

use super::HOST_SLOTS;
use super::Simulation;
use super::Task;
use super::Violation;
use super::document;

/// Number of sends after which a request is no longer resent.
const MAX_SENDS: u32 = 6;

/// The final result of a send, as the caller sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// No result yet.
    Nothing,
    /// A complete answer.
    Answer,
    /// The stored answer of an earlier send.
    Replay,
    /// A refusal: the request was not executed.
    NotRun,
    /// A failure: the request may have been executed.
    Failure,
    /// The connection to the host was lost.
    HostLost,
}

/// One send of a request to a host.
#[derive(Debug)]
pub struct SentRequest {
    pub slot: usize,
    pub generation: u64,
    /// Index of the request in [`FakeCallers::requests`].
    pub request_index: usize,
    pub outcome: Outcome,
    /// Whether the request has reached its host.
    pub is_delivered: bool,
    /// Id of the request's bill, once it was dispatched.
    pub bill: Option<entry::BillId>,
    /// Item to which its session is pinned, or else the item of its first dispatch.
    expected_item: Option<Arc<str>>,
}

/// A request of a caller, which may be sent several times.
#[derive(Debug)]
struct CallerRequest {
    /// Idempotency key, if the call is not idempotent.
    key: Option<Arc<str>>,
    /// Index of its session.
    session: Option<usize>,
    is_cascade: bool,
    send_count: u32,
}

/// The state of all callers.
#[derive(Debug, Default)]
pub struct FakeCallers {
    requests: Vec<CallerRequest>,
    pub sent_requests: collections::BTreeMap<event::RequestId, SentRequest>,
    /// Idempotency keys whose call was dispatched to a backend server at least once.
    pub dispatched_keys: collections::BTreeSet<Arc<str>>,
    /// Sends of the idempotency keys that were not dispatched before the second half of the
    /// recovery phase.
    pub undispatched_key_sends: Vec<event::RequestId>,
    sessions: Vec<Session>,
}

/// The session token of a caller, and the item to which the session is pinned.
#[derive(Debug)]
struct Session {
    token: Option<Arc<str>>,
    item: Option<Arc<str>>,
}

impl FakeCallers {
    /// Returns the idempotency key of a send.
    pub fn key_of(&self, request_id: event::RequestId) -> Option<Arc<str>> {
        let sent = self.sent_requests.get(&request_id)?;
        self.requests[sent.request_index].key.clone()
    }

    fn session_of(&mut self, request_id: event::RequestId) -> Option<&mut Session> {
        let sent = self.sent_requests.get(&request_id)?;
        self.sessions.get_mut(self.requests[sent.request_index].session?)
    }
}

impl Simulation {
    pub(super) fn send_new_request(&mut self) {
        if self.is_recovering {
            return;
        }
        let is_non_idempotent = self.chance(50);
        let session = (!is_non_idempotent && self.chance(60)).then(|| self.random_session());
        let is_cascade = session.is_none() && self.chance(50);
        let request_index = self.callers.requests.len();
        self.callers.requests.push(CallerRequest {
            // Two requests share a key, so that several hosts receive the same key concurrently.
            key: is_non_idempotent.then(|| Arc::from(format!("key-{}", request_index / 2))),
            session,
            is_cascade,
            send_count: 0,
        });
        self.report.requests += 1;
        self.send(request_index);
        let at_ms = self.now_ms + self.rng.random_range(10..800);
        self.schedule(at_ms, Task::SendNewRequest);
    }

    /// Sends each idempotency key whose call was never dispatched once more; such a key must still
    /// be usable.
    pub(super) fn send_undispatched_keys(&mut self) {
        let mut seen_keys = self.callers.dispatched_keys.clone();
        for request_index in 0..self.callers.requests.len() {
            let Some(key) = self.callers.requests[request_index].key.clone() else { continue };
            if seen_keys.insert(key) {
                let request_id = self.send(request_index);
                self.callers.undispatched_key_sends.extend(request_id);
            }
        }
    }

    pub(super) fn resend_request(&mut self, request_index: usize) {
        if !self.is_recovering && self.callers.requests[request_index].send_count < MAX_SENDS {
            self.send(request_index);
        }
    }

    pub(super) fn on_answered(&mut self, request_id: event::RequestId) {
        self.report.answered += 1;
        self.record_outcome(request_id, Outcome::Answer);
    }

    pub(super) fn on_replayed(&mut self, request_id: event::RequestId) {
        self.record_outcome(request_id, Outcome::Replay);
    }

    pub(super) fn on_refused(&mut self, request_id: event::RequestId, refusal: &refusal::NotRun) {
        self.trace_line(0, &format!("refused {:?} of {request_id:?}", refusal.reason()));
        self.record_outcome(request_id, Outcome::NotRun);
        if refusal.reason() == refusal::Reason::SessionWithdrawn
            && let Some(session) = self.callers.session_of(request_id)
        {
            *session = Session { token: None, item: None };
        }
        self.schedule_resend(request_id);
    }

    pub(super) fn on_failed(&mut self, request_id: event::RequestId, _failure: refusal::Failure) {
        self.record_outcome(request_id, Outcome::Failure);
        self.schedule_resend(request_id);
    }

    pub(super) fn record_delivery(&mut self, event: &event::Event) {
        if let event::Event::Request(head) = event
            && let Some(sent) = self.callers.sent_requests.get_mut(&head.request_id)
        {
            sent.is_delivered = true;
        }
    }

    /// Breaks the connections to a lost host; its callers resend to other hosts.
    pub(super) fn disconnect_callers(&mut self, slot: usize) {
        let generation = self.slots[slot].generation;
        let unanswered: Vec<event::RequestId> = self
            .callers
            .sent_requests
            .iter()
            .filter(|(_, sent)| {
                sent.slot == slot
                    && sent.generation == generation
                    && sent.outcome == Outcome::Nothing
            })
            .map(|(request_id, _)| *request_id)
            .collect();
        for request_id in unanswered {
            self.record_outcome(request_id, Outcome::HostLost);
            self.schedule_resend(request_id);
        }
    }

    /// Records the item and the token of a session and checks that the item has not changed: a
    /// session stays on the version of its first answer.
    pub(super) fn record_session_item(
        &mut self,
        request_id: event::RequestId,
        item: &Arc<str>,
        token: &Arc<str>,
    ) {
        let Some(sent) = self.callers.sent_requests.get_mut(&request_id) else {
            return;
        };
        let request_index = sent.request_index;
        let expected_item = sent.expected_item.get_or_insert_with(|| Arc::clone(item));
        let has_changed = expected_item != item;
        let Some(index) = self.callers.requests[request_index].session else {
            return;
        };
        if has_changed {
            self.fail(Violation::SessionChangedVersion);
            return;
        }
        let session = &mut self.callers.sessions[index];
        session.token = Some(Arc::clone(token));
        session.item = Some(Arc::clone(item));
    }

    fn random_session(&mut self) -> usize {
        if self.callers.sessions.len() < 8 {
            self.callers.sessions.push(Session { token: None, item: None });
        }
        self.rng.random_range(0..self.callers.sessions.len())
    }

    fn send(&mut self, request_index: usize) -> Option<event::RequestId> {
        let running_slots: Vec<usize> =
            (0..HOST_SLOTS).filter(|slot| self.slots[*slot].host.is_some()).collect();
        let slot = running_slots.choose(&mut self.rng).copied()?;
        let request_id = event::RequestId(self.rng.random());
        let generation = self.slots[slot].generation;
        let caller_request = &mut self.callers.requests[request_index];
        caller_request.send_count += 1;
        let session_state = caller_request.session.map(|index| &self.callers.sessions[index]);
        let expected_item = session_state.and_then(|session| session.item.clone());
        let session = session_state
            .and_then(|session| session.token.clone())
            .map_or(event::SessionRef::None, event::SessionRef::Token);
        let target = match &caller_request.key {
            Some(_) => event::Target::Service {
                name: Arc::from("desk"),
                call: Arc::from("POST /bookings"),
            },
            None if caller_request.is_cascade => event::Target::Model(Arc::from("cascade")),
            None => event::Target::Model(Arc::from("model")),
        };
        // Two requests share a key and have the same content.
        let call_number = u64::try_from(request_index / 2).unwrap_or(0);
        let content = if caller_request.key.is_some() { call_number } else { self.rng.random() };
        let head = event::RequestHead {
            request_id,
            key_sha256: document::key_sha256(),
            target,
            session,
            idempotency_key: caller_request.key.clone(),
            timeout_ms: 10_000,
            class: Arc::from("short"),
            content_digest: content,
            prefix_hash: None,
            resume_from: 0,
        };
        let outcome = Outcome::Nothing;
        let sent = SentRequest {
            slot,
            generation,
            request_index,
            outcome,
            is_delivered: false,
            bill: None,
            expected_item,
        };
        self.callers.sent_requests.insert(request_id, sent);
        let event = event::Event::Request(Arc::new(head));
        let at_ms = self.now_ms + self.rng.random_range(0..5);
        self.schedule(at_ms, Task::Deliver { slot, generation: Some(generation), event });
        Some(request_id)
    }

    fn record_outcome(&mut self, request_id: event::RequestId, outcome: Outcome) {
        let Some(sent) = self.callers.sent_requests.get_mut(&request_id) else {
            return;
        };
        if sent.outcome != Outcome::Nothing {
            let violation = Violation::TwoFinalAnswers { first: sent.outcome, second: outcome };
            self.fail(violation);
            return;
        }
        sent.outcome = outcome;
    }

    fn schedule_resend(&mut self, request_id: event::RequestId) {
        let Some(sent) = self.callers.sent_requests.get(&request_id) else {
            return;
        };
        let request_index = sent.request_index;
        let at_ms = self.now_ms + self.rng.random_range(50..3_000);
        self.schedule(at_ms, Task::ResendRequest { request_index });
    }
}
