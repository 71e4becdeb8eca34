//! Attempts that failed: another attempt, a stronger stage, or the truth for the caller.

use std::sync::Arc;

use toucanwall_coordination::ledger::entry;
use toucanwall_policy::balance;

use crate::action;
use crate::counter;
use crate::event;
use crate::refusal;
use crate::request;

use super::Host;
use super::Live;

/// Attempts that one request gets at most.
const ATTEMPTS_MAX: event::Attempt = 3;
/// When to come back after a failure, in milliseconds.
const FAILED_RETRY_MS: u64 = 1_000;

/// What a further attempt costs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Cost {
    /// Nothing: no server has run the attempt before.
    Free,
    /// One retry of the budget.
    Budget,
}

impl Host {
    pub(super) fn escalate(&mut self, mut request: request::Request<request::Dispatched>) {
        self.counters.add(counter::Counter::Escalated);
        let cost = self.cost_microcents(&request, request.state.held_tokens);
        self.counters.add_many(counter::Counter::EscalatedMicrocents, cost);
        if let request::Work::Model { stage, .. } = &mut request.state.plan.work {
            *stage += 1;
        }
        self.dispatch_next(request, false);
    }

    pub(super) fn on_failed(
        &mut self,
        mut request: request::Request<request::Dispatched>,
        fault: event::Fault,
        delivered_events: u64,
        is_resumable: bool,
    ) {
        self.counters.add(counter::Counter::AttemptsFailed);
        let server = request.state.server;
        match fault {
            event::Fault::Crashed => self.implicate(request.head.content, server),
            _ => self.poison.record_end(request.head.content),
        }
        request.state.plan.excluded.insert(server);
        request.state.plan.delivered_events = delivered_events;
        match fault {
            event::Fault::NotSent => self.send_elsewhere(request),
            event::Fault::Declined if request.state.claim.is_none() => {
                self.retry(request, Cost::Free);
            }
            event::Fault::TooLong => self.escalate(request),
            _ if request.state.claim.is_some() || !is_resumable => self.give_up(&request),
            _ => self.retry(request, Cost::Budget),
        }
    }

    /// Sends a request elsewhere whose dispatch never left this host.
    fn send_elsewhere(&mut self, request: request::Request<request::Dispatched>) {
        if let Some(claim) = request.state.claim.filter(|_| request.state.is_abandoned) {
            self.release(claim);
            self.give_up(&request);
            return;
        }
        let number = request.state.number;
        if request.state.plan.attempts >= ATTEMPTS_MAX || request.state.claim.is_none() {
            self.retry(request, Cost::Free);
            return;
        }
        // The next dispatch opens a number of its own; this one was never run.
        self.notes.close(number);
        match request.unsent() {
            request::Unsent::Claimed(request) => self.dispatch_claimed(request),
            request::Unsent::Admitted(request) => self.dispatch_admitted(request),
        }
    }

    fn retry(&mut self, request: request::Request<request::Dispatched>, cost: Cost) {
        let has_attempts = request.state.plan.attempts < ATTEMPTS_MAX;
        let has_time = self.now.mono_ms < request.state.plan.deadline_ms;
        let may_retry = !request.state.is_abandoned && has_attempts && has_time;
        if !may_retry || (cost == Cost::Budget && !self.retries.try_spend()) {
            self.give_up(&request);
            return;
        }
        self.counters.add(counter::Counter::Retried);
        self.dispatch_next(request, true);
    }

    /// Dispatches once more, with the same stage or the next one.
    fn dispatch_next(
        &mut self,
        mut request: request::Request<request::Dispatched>,
        is_same_stage: bool,
    ) {
        let ticket = request.head.ticket;
        let attempt = request.state.attempt;
        if !is_same_stage || request.state.is_held {
            self.act(action::Action::Discard { ticket, attempt });
        }
        let head = Arc::clone(&request.head);
        let route = match self.route(&head, &mut request.state.plan) {
            Ok(route) => route,
            Err(reason) => {
                self.log(action::Level::Info, format!("no further attempt: {}", reason.code()));
                self.give_up(&request);
                return;
            }
        };
        let number = Some(request.state.number);
        let sent = self.sent(&route, &mut request.state.plan, number);
        match request.dispatch_again(sent) {
            Ok(request) => self.start(request, route, false),
            Err(request) => {
                self.breach("a claimed request would be dispatched twice");
                self.give_up(&request);
            }
        }
    }

    fn give_up(&mut self, request: &request::Request<request::Dispatched>) {
        if !request.state.is_abandoned {
            self.tell_failure(request);
        }
        self.bill(request, 0, entry::Ending::Failed);
    }

    pub(super) fn tell_failure(&mut self, request: &request::Request<request::Dispatched>) {
        let failure = request.failure(FAILED_RETRY_MS);
        self.counters.add(match failure {
            refusal::Failure::OutcomeUnknown => counter::Counter::OutcomeUnknown,
            _ => counter::Counter::Failed,
        });
        self.act(action::Action::Fail { ticket: request.head.ticket, failure });
    }

    /// Ends a request that nobody waits for; one that may not be repeated runs to its end.
    pub(super) fn abandon(&mut self, mut request: request::Request<request::Dispatched>) {
        if request.state.claim.is_some() {
            request.state.is_abandoned = true;
            self.requests.insert(request.head.ticket, Live::Running(request));
            return;
        }
        if !request.state.is_attempt_over {
            let (ticket, attempt) = (request.head.ticket, request.state.attempt);
            self.act(action::Action::Cancel { ticket, attempt });
            let outcome = balance::Outcome::Success;
            self.balancer.record_end(request.state.server, outcome, self.now.mono_ms);
        }
        self.poison.record_end(request.head.content);
        self.bill(&request, 0, entry::Ending::Failed);
    }
}

/// What the end of an attempt says about its server.
pub(super) fn outcome_of(end: &event::AttemptEnd) -> balance::Outcome {
    let event::AttemptEnd::Failed { fault, .. } = end else {
        return balance::Outcome::Success;
    };
    match fault {
        event::Fault::TooLong | event::Fault::Declined => balance::Outcome::Success,
        event::Fault::NotSent | event::Fault::Crashed => balance::Outcome::Unreachable,
        event::Fault::Cut | event::Fault::Silent | event::Fault::ErrorStatus => {
            balance::Outcome::Failed
        }
    }
}
