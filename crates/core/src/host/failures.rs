//! Failed attempts, which lead to a retry, to the next stage of a cascade or to a failure
//! that is reported to the caller.

use std::sync::Arc;

use toucanwall_coordination::ledger::entry;
use toucanwall_policy::balance;

use crate::action;
use crate::counter;
use crate::event;
use crate::refusal;
use crate::request;

use super::Host;
use super::InFlight;

/// Most attempts of one request.
const ATTEMPTS_MAX: event::Attempt = 3;
/// Time after which a caller may retry a failed request, in milliseconds.
const FAILED_RETRY_AFTER_MS: u64 = 1_000;

/// Whether a retry counts against the retry budget.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RetryCost {
    /// It doesn't, since no server has executed the failed attempt.
    Free,
    /// It uses one retry of the budget.
    Budget,
}

impl Host {
    /// Discards an answer and dispatches the request to the next stage of the cascade.
    pub(super) fn escalate(&mut self, mut request: request::Request<request::Dispatched>) {
        self.counters.add(counter::Counter::Escalated);
        let cost = self.cost_microcents(&request, request.state.buffered_tokens);
        self.counters.add_many(counter::Counter::EscalatedMicrocents, cost);
        if let request::ResolvedTarget::Model { stage, .. } = &mut request.state.plan.target {
            *stage += 1;
        }
        self.redispatch(request, false);
    }

    pub(super) fn on_attempt_failed(
        &mut self,
        mut request: request::Request<request::Dispatched>,
        fault: event::Fault,
        delivered_events: u64,
        is_resumable: bool,
    ) {
        self.counters.add(counter::Counter::AttemptsFailed);
        let server = request.state.server;
        match fault {
            event::Fault::Crashed => self.record_crash(request.head.content_digest, server),
            _ => self.poison.record_end(request.head.content_digest),
        }
        request.state.plan.excluded.insert(server);
        request.state.plan.delivered_events = delivered_events;
        match fault {
            event::Fault::NotSent => self.redispatch_unsent(request),
            event::Fault::Declined if request.state.claim.is_none() => {
                self.retry(request, RetryCost::Free);
            }
            event::Fault::AnswerTooLarge => self.escalate(request),
            _ if request.state.claim.is_some() || !is_resumable => self.fail_request(&request),
            _ => self.retry(request, RetryCost::Budget),
        }
    }

    /// Dispatches a request to another server after a dispatch that never left this host.
    fn redispatch_unsent(&mut self, request: request::Request<request::Dispatched>) {
        if let Some(claim) = request.state.claim.filter(|_| request.state.is_abandoned) {
            self.release_claim(claim);
            self.fail_request(&request);
            return;
        }
        let bill_number = request.state.bill_number;
        if request.state.plan.attempts >= ATTEMPTS_MAX || request.state.claim.is_none() {
            self.retry(request, RetryCost::Free);
            return;
        }
        // The next dispatch gets a new bill number, since nothing was executed under this one.
        self.backup_sender.close(bill_number);
        match request.into_unsent() {
            request::Unsent::Claimed(request) => self.dispatch_claimed(request),
            request::Unsent::Admitted(request) => self.dispatch_admitted(request),
        }
    }

    /// Retries a request at the same stage if its attempts, deadline and cost allow it.
    fn retry(&mut self, request: request::Request<request::Dispatched>, cost: RetryCost) {
        let has_attempts = request.state.plan.attempts < ATTEMPTS_MAX;
        let has_time = self.now.mono_ms < request.state.plan.deadline_ms;
        let may_retry = !request.state.is_abandoned && has_attempts && has_time;
        if !may_retry || (cost == RetryCost::Budget && !self.retry_budget.try_spend()) {
            self.fail_request(&request);
            return;
        }
        self.counters.add(counter::Counter::Retried);
        self.redispatch(request, true);
    }

    /// Dispatches a request again, to the same stage or the next one.
    fn redispatch(
        &mut self,
        mut request: request::Request<request::Dispatched>,
        is_same_stage: bool,
    ) {
        let request_id = request.head.request_id;
        let attempt = request.state.attempt;
        if !is_same_stage || request.state.is_buffered {
            self.push_action(action::Action::Discard { request_id, attempt });
        }
        let head = Arc::clone(&request.head);
        let route = match self.route(&head, &mut request.state.plan) {
            Ok(route) => route,
            Err(reason) => {
                self.log(
                    action::Level::Info,
                    format!("request can't be retried: {}", reason.code()),
                );
                self.fail_request(&request);
                return;
            }
        };
        let bill_number = Some(request.state.bill_number);
        let dispatch_info = self.record_dispatch(&route, &mut request.state.plan, bill_number);
        match request.dispatch_again(dispatch_info) {
            Ok(request) => self.start_attempt(request, route, false),
            Err(request) => {
                self.report_breach("claimed request would be dispatched twice");
                self.fail_request(&request);
            }
        }
    }

    /// Reports a request as failed, unless its caller no longer waits, and bills it.
    fn fail_request(&mut self, request: &request::Request<request::Dispatched>) {
        if !request.state.is_abandoned {
            self.report_failure(request);
        }
        self.bill(request, 0, entry::RequestOutcome::Failed);
    }

    pub(super) fn report_failure(&mut self, request: &request::Request<request::Dispatched>) {
        let failure = request.failure(FAILED_RETRY_AFTER_MS);
        self.counters.add(match failure {
            refusal::Failure::OutcomeUnknown => counter::Counter::OutcomeUnknown,
            _ => counter::Counter::Failed,
        });
        self.push_action(action::Action::Fail { request_id: request.head.request_id, failure });
    }

    /// Cancels a request that no caller waits for.
    ///
    /// A request that is not idempotent runs to its end, so that its answer can be stored.
    pub(super) fn abandon(&mut self, mut request: request::Request<request::Dispatched>) {
        if request.state.claim.is_some() {
            request.state.is_abandoned = true;
            self.requests.insert(request.head.request_id, InFlight::Running(request));
            return;
        }
        if !request.state.is_awaiting_rating {
            let (request_id, attempt) = (request.head.request_id, request.state.attempt);
            self.push_action(action::Action::Cancel { request_id, attempt });
            let outcome = balance::Outcome::Success;
            self.balancer.record_end(request.state.server, outcome, self.now.mono_ms);
        }
        self.poison.record_end(request.head.content_digest);
        self.bill(&request, 0, entry::RequestOutcome::Failed);
    }
}

/// Returns what the end of an attempt says about the health of its server.
pub(super) fn server_outcome(end: &event::AttemptEnd) -> balance::Outcome {
    let event::AttemptEnd::Failed { fault, .. } = end else {
        return balance::Outcome::Success;
    };
    match fault {
        event::Fault::AnswerTooLarge | event::Fault::Declined => balance::Outcome::Success,
        event::Fault::NotSent | event::Fault::Crashed => balance::Outcome::Unreachable,
        event::Fault::ConnectionLost
        | event::Fault::ProgressTimeout
        | event::Fault::ErrorStatus => balance::Outcome::Failed,
    }
}
