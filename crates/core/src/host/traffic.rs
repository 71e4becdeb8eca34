//! The processing of requests from admission to completion.

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
use super::InFlight;
use super::failures;
use super::routing;

/// Size of the largest answer that is buffered to be rated, in bytes.
const BUFFERED_ANSWER_MAX_BYTES: usize = 64 * 1024;
/// Longest time that the last part of an answer waits for the backup's acknowledgement, in
/// milliseconds.
const BACKUP_ACK_TIMEOUT_MS: u64 = 2_000;

impl Host {
    pub(super) fn on_request(&mut self, head: Arc<event::RequestHead>) {
        self.counters.add(counter::Counter::Received);
        let request = request::Request::receive(head);
        let reason = self
            .unready_reason()
            .or_else(|| self.outbox.is_full().then_some(refusal::Reason::BacklogFull));
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
        request_id: event::RequestId,
        attempt: event::Attempt,
        end: event::AttemptEnd,
    ) {
        let Some(request) = self.take_running(request_id, attempt) else {
            return;
        };
        self.balancer.record_end(
            request.state.server,
            failures::server_outcome(&end),
            self.now.mono_ms,
        );
        match end {
            event::AttemptEnd::Answered { tokens, answer } => {
                self.on_answered(request, tokens, answer);
            }
            event::AttemptEnd::Failed { fault, delivered_events, is_resumable } => {
                self.on_attempt_failed(request, fault, delivered_events, is_resumable);
            }
        }
    }

    pub(super) fn on_answer_rated(
        &mut self,
        request_id: event::RequestId,
        attempt: event::Attempt,
        score_percent: Option<u64>,
    ) {
        let Some(request) = self.take_running(request_id, attempt) else {
            return;
        };
        let request::ResolvedTarget::Model { stage, quality_target_percent, kind, .. } =
            &request.state.plan.target
        else {
            return;
        };
        let has_passed = score_percent.is_some_and(|score| score >= *quality_target_percent);
        if let (Some(kind), Some(_)) = (kind, score_percent) {
            self.cascades.record_rating(kind, *stage, has_passed);
        }
        if has_passed {
            let tokens = request.state.buffered_tokens;
            self.complete(request, tokens);
        } else {
            self.escalate(request);
        }
    }

    pub(super) fn on_disconnect(&mut self, request_id: event::RequestId) {
        match self.requests.remove(&request_id) {
            Some(InFlight::Claiming(request)) => {
                self.refuse_claiming(request, refusal::Reason::ClaimUnavailable);
            }
            Some(InFlight::Running(request)) => self.abandon(request),
            Some(InFlight::Finishing(_)) => self.finishing_count -= 1,
            None => {}
        }
    }

    /// Fails requests and claims that have passed their deadline, and completes answers that
    /// have waited long enough for the backup.
    pub(super) fn expire_requests(&mut self) {
        self.expire_claims();
        self.finish_backed_up();
        let now_ms = self.now.mono_ms;
        let expired: Vec<event::RequestId> = self
            .requests
            .iter()
            .filter_map(|(request_id, in_flight)| match in_flight {
                InFlight::Running(request)
                    if now_ms >= request.state.plan.deadline_ms && !request.state.is_abandoned =>
                {
                    Some(*request_id)
                }
                _ => None,
            })
            .collect();
        for request_id in expired {
            if let Some(InFlight::Running(request)) = self.requests.remove(&request_id) {
                self.report_failure(&request);
                self.abandon(request);
            }
        }
    }

    /// Completes the answers of requests that the backup has acknowledged or that no longer
    /// wait for it.
    pub(super) fn finish_backed_up(&mut self) {
        if self.finishing_count == 0 {
            return;
        }
        let now_ms = self.now.mono_ms;
        let mut finished = Vec::new();
        for (request_id, in_flight) in &self.requests {
            let InFlight::Finishing(request) = in_flight else { continue };
            let backup_state = self.backup_sender.backup_state(request.state.bill_number);
            if backup_state != backup::BackupState::Pending
                || now_ms >= request.state.backup_deadline_ms
            {
                finished.push((*request_id, request.state.attempt, backup_state));
            }
        }
        self.finishing_count -= finished.len();
        for (request_id, attempt, backup_state) in finished {
            self.requests.remove(&request_id);
            self.counters.add(counter::Counter::Answered);
            if backup_state != backup::BackupState::Stored {
                self.counters.add(counter::Counter::FinishedWithoutBackup);
            }
            self.push_action(action::Action::Finish { request_id, attempt });
        }
    }

    pub(super) fn refuse<S>(&mut self, request: request::Request<S>, reason: refusal::Reason)
    where
        S: request::NeverDispatched,
    {
        let request_id = request.head.request_id;
        self.counters.add_refusal(reason.code());
        let refusal = request.refuse(reason);
        self.push_action(action::Action::Refuse { request_id, refusal });
    }

    pub(super) fn dispatch_claimed(&mut self, mut request: request::Request<request::Claimed>) {
        let head = Arc::clone(&request.head);
        match self.route(&head, &mut request.state.plan) {
            Ok(route) => {
                let dispatch_info = self.record_dispatch(&route, &mut request.state.plan, None);
                self.start_attempt(request.dispatch(dispatch_info), route, true);
            }
            Err(reason) => {
                self.release_claim(request.state.claim);
                self.refuse(request, reason);
            }
        }
    }

    fn admit(&mut self, request: request::Request<request::Received>, plan: request::Plan) {
        if let Some(retry_after_ms) = self.check_rate_limit(&plan) {
            let request_id = request.head.request_id;
            self.counters.add_refusal(refusal::Reason::OverLimit.code());
            let refusal =
                request.refuse(refusal::Reason::OverLimit).with_retry_after(retry_after_ms);
            self.push_action(action::Action::Refuse { request_id, refusal });
            return;
        }
        self.retry_budget.record_request();
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
            None => self.refuse(request, refusal::Reason::NoIdempotencyKey),
        }
    }

    /// Takes a request from the organisation's rate limit; returns the time after which to
    /// retry, in milliseconds, if the limit is exceeded.
    fn check_rate_limit(&mut self, plan: &request::Plan) -> Option<u64> {
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
                let dispatch_info = self.record_dispatch(&route, &mut request.state.plan, None);
                self.start_attempt(request.dispatch(dispatch_info), route, true);
            }
            Err(reason) => self.refuse(request, reason),
        }
    }

    /// Counts an attempt and describes its dispatch; assigns a bill number if there is none.
    pub(super) fn record_dispatch(
        &mut self,
        route: &routing::Route,
        plan: &mut request::Plan,
        bill_number: Option<u64>,
    ) -> request::DispatchInfo {
        let attempt = plan.attempts;
        plan.attempts += 1;
        let bill_number = bill_number.unwrap_or_else(|| {
            let bill_number = self.next_bill_number;
            self.next_bill_number += 1;
            bill_number
        });
        request::DispatchInfo {
            bill_number,
            attempt,
            server: route.server,
            started_ms: self.now.mono_ms,
            item: Arc::clone(&route.item),
            is_buffered: route.is_buffered,
        }
    }

    pub(super) fn start_attempt(
        &mut self,
        request: request::Request<request::Dispatched>,
        route: routing::Route,
        is_first: bool,
    ) {
        let state = &request.state;
        if !self.balancer.accepts_requests(state.server) {
            self.report_breach("dispatch to a server that accepts no requests");
        }
        self.counters.add(counter::Counter::Dispatched);
        self.balancer.record_start(state.server);
        let organisation: Arc<str> = Arc::from(state.plan.organisation.as_str());
        if state.claim.is_some() {
            // The call takes effect immediately and can't be repeated, so the backup is told
            // without waiting for the batch interval.
            self.next_flush_ms = self.now.mono_ms;
        }
        if is_first {
            self.backup_sender.open(state.bill_number, Arc::clone(&organisation));
        }
        let mode = if state.is_buffered {
            action::DeliveryMode::Buffer { max_bytes: BUFFERED_ANSWER_MAX_BYTES }
        } else {
            action::DeliveryMode::Stream
        };
        let dispatch = action::Dispatch {
            request_id: request.head.request_id,
            attempt: state.attempt,
            bill_id: entry::BillId { host: self.id(), number: state.bill_number },
            server: state.server,
            item: route.item,
            organisation,
            mode,
            progress_timeout_ms: route.progress_timeout_ms,
            resume_from: state.plan.delivered_events,
            session_token: route.session_token,
            revision: self.catalogue_revision,
        };
        self.push_action(action::Action::Dispatch(dispatch));
        self.requests.insert(request.head.request_id, InFlight::Running(request));
    }

    /// Removes and returns a running request if `attempt` is its current attempt.
    fn take_running(
        &mut self,
        request_id: event::RequestId,
        attempt: event::Attempt,
    ) -> Option<request::Request<request::Dispatched>> {
        match self.requests.remove(&request_id)? {
            InFlight::Running(request) if request.state.attempt == attempt => Some(request),
            other => {
                // A late event of an earlier attempt is ignored.
                self.requests.insert(request_id, other);
                None
            }
        }
    }

    fn on_answered(
        &mut self,
        mut request: request::Request<request::Dispatched>,
        tokens: u64,
        answer: entry::StoredResponse,
    ) {
        self.poison.record_success(request.head.content_digest);
        let elapsed_ms = self.now.mono_ms - request.state.started_ms;
        if let request::ResolvedTarget::Model { stages, stage, .. } = &request.state.plan.target
            && let Some(model) = stages.get(*stage).cloned()
        {
            self.record_answer_time(&model, elapsed_ms);
        }
        if request.state.is_buffered {
            request.state.buffered_tokens = tokens;
            request.state.is_awaiting_rating = true;
            let (request_id, attempt) = (request.head.request_id, request.state.attempt);
            self.requests.insert(request_id, InFlight::Running(request));
            self.push_action(action::Action::RateAnswer { request_id, attempt });
            return;
        }
        if let Some(claim) = request.state.claim {
            self.settle_claim(claim, answer);
        }
        self.complete(request, tokens);
    }

    /// Bills a complete answer, and sends its last part once the backup has acknowledged the
    /// request.
    fn complete(&mut self, request: request::Request<request::Dispatched>, tokens: u64) {
        self.bill(&request, tokens, entry::RequestOutcome::Answered);
        if request.state.is_abandoned {
            return;
        }
        let request_id = request.head.request_id;
        let answered = request.into_answered(self.now.mono_ms + BACKUP_ACK_TIMEOUT_MS);
        self.requests.insert(request_id, InFlight::Finishing(answered));
        self.finishing_count += 1;
        self.finish_backed_up();
    }
}

/// Returns the key of a claim, which is a digest of organisation, service and idempotency key.
fn claim_key(request: &request::Request<request::Admitted>, key: &str) -> entry::ClaimKey {
    use sha2::Digest as _;
    let service = match &request.state.plan.target {
        request::ResolvedTarget::Service { name, .. } => name.as_str(),
        request::ResolvedTarget::Model { .. } => "",
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
