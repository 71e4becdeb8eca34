//! Fakes of the callers: they send, and send again with the same key.

use std::collections;
use std::sync::Arc;

use rand::RngExt as _;
use rand::seq::IndexedRandom as _;
use toucanwall_coordination::ledger::entry;
use toucanwall_core::event;
use toucanwall_core::refusal;

use super::Happening;
use super::SLOTS;
use super::Violation;
use super::World;
use super::document;

/// Sends of one request at most.
const SENDS_MAX: u32 = 6;

/// What a caller got.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Got {
    Nothing,
    Answer,
    Replay,
    NotRun,
    Failure,
    HostLost,
}

/// One send of a request.
#[derive(Debug)]
pub struct Send {
    pub slot: usize,
    pub run: u64,
    pub request: usize,
    pub got: Got,
    /// Whether it has reached its host.
    pub is_delivered: bool,
    /// Under which the request is billed, once it was dispatched.
    pub bill: Option<entry::BillId>,
    /// What its session runs on, if it named one.
    expected: Option<Arc<str>>,
}

/// What a caller wants.
#[derive(Debug)]
struct Wish {
    key: Option<Arc<str>>,
    session: Option<usize>,
    is_cascade: bool,
    sends: u32,
}

/// The callers.
#[derive(Debug, Default)]
pub struct FakeCallers {
    wishes: Vec<Wish>,
    pub sends: collections::BTreeMap<event::RequestId, Send>,
    /// Keys whose call was sent to a server at least once.
    pub dispatched: collections::BTreeSet<Arc<str>>,
    /// Last sends of keys whose call never was.
    pub last_tries: Vec<event::RequestId>,
    /// Session tokens, and the item that each session's model ran on first.
    sessions: Vec<Session>,
}

#[derive(Debug)]
struct Session {
    token: Option<Arc<str>>,
    item: Option<Arc<str>>,
}

impl FakeCallers {
    /// The idempotency key of a send.
    pub fn key_of(&self, request_id: event::RequestId) -> Option<Arc<str>> {
        let send = self.sends.get(&request_id)?;
        self.wishes[send.request].key.clone()
    }

    fn session_of(&mut self, request_id: event::RequestId) -> Option<&mut Session> {
        let send = self.sends.get(&request_id)?;
        self.sessions.get_mut(self.wishes[send.request].session?)
    }
}

impl World {
    pub(super) fn caller_sends(&mut self) {
        if self.is_healing {
            return;
        }
        let is_booking = self.chance(50);
        let session = (!is_booking && self.chance(60)).then(|| self.draw_session());
        let is_cascade = session.is_none() && self.chance(50);
        let request = self.callers.wishes.len();
        self.callers.wishes.push(Wish {
            // Few keys, so that the same one is sent to several hosts at once.
            key: is_booking.then(|| Arc::from(format!("key-{}", request / 2))),
            session,
            is_cascade,
            sends: 0,
        });
        self.report.requests += 1;
        self.send(request);
        let at_ms = self.now_ms + self.rng.random_range(10..800);
        self.push(at_ms, Happening::CallerSends);
    }

    /// A key whose call was only ever refused must still be good for a call.
    pub(super) fn try_refused_keys(&mut self) {
        let mut tried = self.callers.dispatched.clone();
        for request in 0..self.callers.wishes.len() {
            let Some(key) = self.callers.wishes[request].key.clone() else { continue };
            if tried.insert(key) {
                let request_id = self.send(request);
                self.callers.last_tries.extend(request_id);
            }
        }
    }

    pub(super) fn caller_resends(&mut self, request: usize) {
        if !self.is_healing && self.callers.wishes[request].sends < SENDS_MAX {
            self.send(request);
        }
    }

    pub(super) fn caller_answered(&mut self, request_id: event::RequestId) {
        self.report.answered += 1;
        self.end_send(request_id, Got::Answer);
    }

    pub(super) fn caller_replayed(&mut self, request_id: event::RequestId) {
        self.end_send(request_id, Got::Replay);
    }

    pub(super) fn on_refused(&mut self, request_id: event::RequestId, refusal: &refusal::NotRun) {
        self.trace_line(0, &format!("refused {:?} of {request_id:?}", refusal.reason()));
        self.end_send(request_id, Got::NotRun);
        if refusal.reason() == refusal::Reason::SessionWithdrawn
            && let Some(session) = self.callers.session_of(request_id)
        {
            *session = Session { token: None, item: None };
        }
        self.resend_later(request_id);
    }

    pub(super) fn caller_failed(
        &mut self,
        request_id: event::RequestId,
        _failure: refusal::Failure,
    ) {
        self.end_send(request_id, Got::Failure);
        self.resend_later(request_id);
    }

    pub(super) fn note_delivery(&mut self, event: &event::Event) {
        if let event::Event::Request(head) = event
            && let Some(send) = self.callers.sends.get_mut(&head.request_id)
        {
            send.is_delivered = true;
        }
    }

    /// The connections to a lost host break: its callers go elsewhere.
    pub(super) fn callers_lose_host(&mut self, slot: usize) {
        let run = self.slots[slot].run;
        let open: Vec<event::RequestId> = self
            .callers
            .sends
            .iter()
            .filter(|(_, send)| send.slot == slot && send.run == run && send.got == Got::Nothing)
            .map(|(request_id, _)| *request_id)
            .collect();
        for request_id in open {
            self.end_send(request_id, Got::HostLost);
            self.resend_later(request_id);
        }
    }

    /// A session runs on one version from the answer that started it on.
    pub(super) fn note_session(
        &mut self,
        request_id: event::RequestId,
        item: &Arc<str>,
        token: &Arc<str>,
    ) {
        let Some(send) = self.callers.sends.get_mut(&request_id) else {
            return;
        };
        let request = send.request;
        let expected = send.expected.get_or_insert_with(|| Arc::clone(item));
        let has_changed = expected != item;
        let Some(index) = self.callers.wishes[request].session else {
            return;
        };
        if has_changed {
            self.violate(Violation::SessionChangedVersion);
            return;
        }
        let session = &mut self.callers.sessions[index];
        session.token = Some(Arc::clone(token));
        session.item = Some(Arc::clone(item));
    }

    fn draw_session(&mut self) -> usize {
        if self.callers.sessions.len() < 8 {
            self.callers.sessions.push(Session { token: None, item: None });
        }
        self.rng.random_range(0..self.callers.sessions.len())
    }

    fn send(&mut self, request: usize) -> Option<event::RequestId> {
        let alive: Vec<usize> = (0..SLOTS).filter(|s| self.slots[*s].host.is_some()).collect();
        let slot = alive.choose(&mut self.rng).copied()?;
        let request_id = event::RequestId(self.rng.random());
        let run = self.slots[slot].run;
        let wish = &mut self.callers.wishes[request];
        wish.sends += 1;
        let known = wish.session.map(|index| &self.callers.sessions[index]);
        let expected = known.and_then(|session| session.item.clone());
        let session = known
            .and_then(|session| session.token.clone())
            .map_or(event::SessionRef::None, event::SessionRef::Token);
        let target = match &wish.key {
            Some(_) => event::Target::Service {
                name: Arc::from("desk"),
                call: Arc::from("POST /bookings"),
            },
            None if wish.is_cascade => event::Target::Model(Arc::from("cascade")),
            None => event::Target::Model(Arc::from("model")),
        };
        // Two wishes share a key and are the same call.
        let same_call = u64::try_from(request / 2).unwrap_or(0);
        let content = if wish.key.is_some() { same_call } else { self.rng.random() };
        let head = event::RequestHead {
            request_id,
            key_sha256: document::key_sha256(),
            target,
            session,
            idempotency_key: wish.key.clone(),
            timeout_ms: 10_000,
            class: Arc::from("short"),
            content_digest: content,
            prefix_hash: None,
            resume_from: 0,
        };
        let got = Got::Nothing;
        let send = Send { slot, run, request, got, is_delivered: false, bill: None, expected };
        self.callers.sends.insert(request_id, send);
        let event = event::Event::Request(Arc::new(head));
        let at_ms = self.now_ms + self.rng.random_range(0..5);
        self.push(at_ms, Happening::Deliver { slot, run: Some(run), event });
        Some(request_id)
    }

    fn end_send(&mut self, request_id: event::RequestId, got: Got) {
        let Some(send) = self.callers.sends.get_mut(&request_id) else {
            return;
        };
        if send.got != Got::Nothing {
            let violation = Violation::TwoFinalAnswers { first: send.got, second: got };
            self.violate(violation);
            return;
        }
        send.got = got;
    }

    fn resend_later(&mut self, request_id: event::RequestId) {
        let Some(send) = self.callers.sends.get(&request_id) else {
            return;
        };
        let request = send.request;
        let at_ms = self.now_ms + self.rng.random_range(50..3_000);
        self.push(at_ms, Happening::CallerResends { request });
    }
}
