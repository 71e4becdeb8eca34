//! Requests from their admission to their bill.

use std::sync::Arc;

use toucanwall_coordination::ledger::backup;
use toucanwall_coordination::ledger::entry;
use toucanwall_policy::limit;

use crate::action;
use crate::counter;
use crate::event;
use crate::refusal;
use crate::request;

use super::Host;
use super::Live;
use super::failures;
use super::routing;

/// Longest answer that is held to be rated, in bytes.
const HELD_MAX_BYTES: usize = 64 * 1024;
/// Longest wait for the backup's word before the last piece of an answer, in milliseconds.
const FINISH_WAIT_MS: u64 = 2_000;

impl Host {
    pub(super) fn on_request(&mut self, head: Arc<event::Head>) {
        self.counters.add(counter::Counter::Received);
        let request = request::Request::receive(head);
        let reason = self
            .unready_reason()
            .or_else(|| self.journal.is_full().then_some(refusal::Reason::BacklogFull));
        if let Some(reason) = reason {
            self.refuse(request, reason);
            return;
        }
        let head = Arc::clone(&request.head);
        match self.plan(&head) {
            Ok(plan) => self.admit(request, plan),
            Err(reason) => self.refuse(request, reason),
        }
    }

    pub(super) fn on_attempt_ended(
        &mut self,
        ticket: event::Ticket,
        attempt: event::Attempt,
        end: event::AttemptEnd,
    ) {
        let Some(request) = self.take_running(ticket, attempt) else {
            return;
        };
        self.balancer.record_end(
            request.state.server,
            failures::outcome_of(&end),
            self.now.mono_ms,
        );
        match end {
            event::AttemptEnd::Answered { tokens, answer } => {
                self.on_answered(request, tokens, answer);
            }
            event::AttemptEnd::Failed { fault, delivered_events, is_resumable } => {
                self.on_failed(request, fault, delivered_events, is_resumable);
            }
        }
    }

    pub(super) fn on_rated(
        &mut self,
        ticket: event::Ticket,
        attempt: event::Attempt,
        score_percent: Option<u64>,
    ) {
        let Some(request) = self.take_running(ticket, attempt) else {
            return;
        };
        let request::Work::Model { stage, quality_target_percent, kind, .. } =
            &request.state.plan.work
        else {
            return;
        };
        let has_passed = score_percent.is_some_and(|score| score >= *quality_target_percent);
        if let (Some(kind), Some(_)) = (kind, score_percent) {
            self.cascades.record_rating(kind, *stage, has_passed);
        }
        if has_passed {
            let tokens = request.state.held_tokens;
            self.complete(request, tokens);
        } else {
            self.escalate(request);
        }
    }

    pub(super) fn on_caller_left(&mut self, ticket: event::Ticket) {
        match self.requests.remove(&ticket) {
            Some(Live::Claiming(request)) => {
                self.refuse_claiming(request, refusal::Reason::ClaimUnavailable);
            }
            Some(Live::Running(request)) => self.abandon(request),
            Some(Live::Finishing(_)) => self.finishing -= 1,
            None => {}
        }
    }

    /// Ends what has taken longer than its caller waits.
    pub(super) fn expire_requests(&mut self) {
        self.expire_claims();
        self.finish_kept();
        let now_ms = self.now.mono_ms;
        let late: Vec<event::Ticket> = self
            .requests
            .iter()
            .filter_map(|(ticket, live)| match live {
                Live::Running(request)
                    if now_ms >= request.state.plan.deadline_ms && !request.state.is_abandoned =>
                {
                    Some(*ticket)
                }
                _ => None,
            })
            .collect();
        for ticket in late {
            if let Some(Live::Running(request)) = self.requests.remove(&ticket) {
                self.tell_failure(&request);
                self.abandon(request);
            }
        }
    }

    /// Lets the last pieces of answers go whose requests the backup knows.
    pub(super) fn finish_kept(&mut self) {
        if self.finishing == 0 {
            return;
        }
        let now_ms = self.now.mono_ms;
        let mut done = Vec::new();
        for (ticket, live) in &self.requests {
            let Live::Finishing(request) = live else { continue };
            let copy = self.notes.copy_of(request.state.number);
            if copy != backup::CopyState::Awaited || now_ms >= request.state.give_up_ms {
                done.push((*ticket, request.state.attempt, copy));
            }
        }
        self.finishing -= done.len();
        for (ticket, attempt, copy) in done {
            self.requests.remove(&ticket);
            self.counters.add(counter::Counter::Answered);
            if copy != backup::CopyState::Kept {
                self.counters.add(counter::Counter::FinishedWithoutBackup);
            }
            self.act(action::Action::Finish { ticket, attempt });
        }
    }

    pub(super) fn refuse<S>(&mut self, request: request::Request<S>, reason: refusal::Reason)
    where
        S: request::NeverDispatched,
    {
        let ticket = request.head.ticket;
        self.counters.refuse(reason.code());
        let refusal = request.refuse(reason);
        self.act(action::Action::Refuse { ticket, refusal });
    }

    pub(super) fn dispatch_claimed(&mut self, mut request: request::Request<request::Claimed>) {
        let head = Arc::clone(&request.head);
        match self.route(&head, &mut request.state.plan) {
            Ok(route) => {
                let sent = self.sent(&route, &mut request.state.plan, None);
                self.start(request.dispatch(sent), route, true);
            }
            Err(reason) => {
                self.release(request.state.claim);
                self.refuse(request, reason);
            }
        }
    }

    fn admit(&mut self, request: request::Request<request::Received>, plan: request::Plan) {
        if let Some(retry_after_ms) = self.over_limit(&plan) {
            let ticket = request.head.ticket;
            self.counters.refuse(refusal::Reason::OverLimit.code());
            let refusal =
                request.refuse(refusal::Reason::OverLimit).coming_back_after(retry_after_ms);
            self.act(action::Action::Refuse { ticket, refusal });
            return;
        }
        self.retries.record_request();
        let is_idempotent = plan.is_idempotent();
        let request = request.admit(plan);
        if is_idempotent {
            self.dispatch_admitted(request);
            return;
        }
        match request.head.idempotency_key.clone() {
            Some(key) => {
                let key = claim_key(&request, &key);
                self.start_claim(request, key);
            }
            None => self.refuse(request, refusal::Reason::KeyMissing),
        }
    }

    fn over_limit(&mut self, plan: &request::Plan) -> Option<u64> {
        let document = self.catalogue.document();
        let requests_per_s = document.organisations.get(&plan.organisation)?.requests_per_s;
        let hosts = u64::try_from(self.membership.eligible().count()).unwrap_or(1);
        let now_ms = self.now.mono_ms;
        match self.limits.try_acquire(&plan.organisation, requests_per_s, hosts, now_ms) {
            limit::Decision::Admit => None,
            limit::Decision::Refuse { retry_after_ms } => Some(retry_after_ms),
        }
    }

    pub(super) fn dispatch_admitted(&mut self, mut request: request::Request<request::Admitted>) {
        let head = Arc::clone(&request.head);
        match self.route(&head, &mut request.state.plan) {
            Ok(route) => {
                let sent = self.sent(&route, &mut request.state.plan, None);
                self.start(request.dispatch(sent), route, true);
            }
            Err(reason) => self.refuse(request, reason),
        }
    }

    /// Notes an attempt; a request's first one gives the number that it is billed under.
    pub(super) fn sent(
        &mut self,
        route: &routing::Route,
        plan: &mut request::Plan,
        number: Option<u64>,
    ) -> request::Sent {
        let attempt = plan.attempts;
        plan.attempts += 1;
        let number = number.unwrap_or_else(|| {
            let number = self.next_request;
            self.next_request += 1;
            number
        });
        request::Sent {
            number,
            attempt,
            server: route.server,
            started_ms: self.now.mono_ms,
            item: Arc::clone(&route.item),
            is_held: route.is_held,
        }
    }

    pub(super) fn start(
        &mut self,
        request: request::Request<request::Dispatched>,
        route: routing::Route,
        is_first: bool,
    ) {
        let state = &request.state;
        if !self.balancer.accepts_requests(state.server) {
            self.breach("a dispatch would reach a server that takes no work");
        }
        self.counters.add(counter::Counter::Dispatched);
        self.balancer.record_start(state.server);
        let organisation: Arc<str> = Arc::from(state.plan.organisation.as_str());
        if state.claim.is_some() {
            // What may not be repeated is copied at once: its call takes effect right now.
            self.next_flush_ms = self.now.mono_ms;
        }
        if is_first {
            self.notes.open(state.number, Arc::clone(&organisation));
        }
        let mode = if state.is_held {
            action::Mode::Hold { max_bytes: HELD_MAX_BYTES }
        } else {
            action::Mode::Stream
        };
        let dispatch = action::Dispatch {
            ticket: request.head.ticket,
            attempt: state.attempt,
            bill: entry::BillId { host: self.id(), number: state.number },
            server: state.server,
            item: route.item,
            organisation,
            mode,
            progress_ms: route.progress_ms,
            resume_from: state.plan.delivered_events,
            session_token: route.session_token,
            revision: self.catalogue_revision,
        };
        self.act(action::Action::Dispatch(dispatch));
        self.requests.insert(request.head.ticket, Live::Running(request));
    }

    fn take_running(
        &mut self,
        ticket: event::Ticket,
        attempt: event::Attempt,
    ) -> Option<request::Request<request::Dispatched>> {
        match self.requests.remove(&ticket)? {
            Live::Running(request) if request.state.attempt == attempt => Some(request),
            other => {
                // A late word of an earlier attempt changes nothing.
                self.requests.insert(ticket, other);
                None
            }
        }
    }

    fn on_answered(
        &mut self,
        mut request: request::Request<request::Dispatched>,
        tokens: u64,
        answer: entry::KeptAnswer,
    ) {
        self.poison.record_success(request.head.content);
        let took_ms = self.now.mono_ms - request.state.started_ms;
        if let request::Work::Model { stages, stage, .. } = &request.state.plan.work
            && let Some(model) = stages.get(*stage).cloned()
        {
            self.learn_answer_time(&model, took_ms);
        }
        if request.state.is_held {
            request.state.held_tokens = tokens;
            request.state.is_attempt_over = true;
            let (ticket, attempt) = (request.head.ticket, request.state.attempt);
            self.requests.insert(ticket, Live::Running(request));
            self.act(action::Action::Rate { ticket, attempt });
            return;
        }
        if let Some(claim) = request.state.claim {
            self.settle(claim, answer);
        }
        self.complete(request, tokens);
    }

    /// Bills a whole answer and lets it go once the backup knows the request.
    fn complete(&mut self, request: request::Request<request::Dispatched>, tokens: u64) {
        self.bill(&request, tokens, entry::Ending::Answered);
        if request.state.is_abandoned {
            return;
        }
        let ticket = request.head.ticket;
        let answered = request.answer(self.now.mono_ms + FINISH_WAIT_MS);
        self.requests.insert(ticket, Live::Finishing(answered));
        self.finishing += 1;
        self.finish_kept();
    }
}

/// The digest of an organisation, a service and an idempotency key.
fn claim_key(request: &request::Request<request::Admitted>, key: &str) -> entry::ClaimKey {
    use sha2::Digest as _;
    let service = match &request.state.plan.work {
        request::Work::Service { name, .. } => name.as_str(),
        request::Work::Model { .. } => "",
    };
    let mut hasher = sha2::Sha256::new();
    for part in [request.state.plan.organisation.as_str(), service, key] {
        hasher.update(part.len().to_le_bytes());
        hasher.update(part.as_bytes());
    }
    let mut bytes = [0; 16];
    bytes.copy_from_slice(&hasher.finalize()[..16]);
    entry::ClaimKey(u128::from_le_bytes(bytes))
}
