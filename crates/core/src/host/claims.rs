//! Claims on idempotency keys, which limit a request that is not idempotent to one dispatch.

use toucanwall_coordination::ledger::entry;
use toucanwall_coordination::ledger::outbox;

use crate::action;
use crate::counter;
use crate::event;
use crate::refusal;
use crate::request;

use super::Host;
use super::InFlight;

/// Longest time that a request waits for its claim to become durable, in milliseconds.
const CLAIM_TIMEOUT_MS: u64 = 3_000;
/// Time after which a caller may retry while an earlier request with the same key is in
/// progress, in milliseconds.
const IN_PROGRESS_RETRY_AFTER_MS: u64 = 2_000;

impl Host {
    /// Submits a claim on a request's key; the request is dispatched once the claim is durable.
    pub(super) fn start_claim(
        &mut self,
        request: request::Request<request::Admitted>,
        key: entry::ClaimKey,
    ) {
        let claim_number = self.next_claim_number;
        self.next_claim_number += 1;
        let id = entry::ClaimId { host: self.id(), number: claim_number };
        let claim = request::Claim { key, id };
        let content = request.head.content_digest;
        let shard = outbox::shard_of_claim(key, self.config.ledger_shards);
        self.outbox.submit(
            shard,
            entry::Entry::Claim { key, claim: id, content_digest: content },
            self.now.mono_ms,
        );
        let claim_deadline_ms =
            request.state.plan.deadline_ms.min(self.now.mono_ms + CLAIM_TIMEOUT_MS);
        let request_id = request.head.request_id;
        self.requests_by_claim.insert(claim_number, request_id);
        self.requests
            .insert(request_id, InFlight::Claiming(request.claim(claim, claim_deadline_ms)));
        self.flush_outbox();
    }

    pub(super) fn on_claim_outcome(
        &mut self,
        key: entry::ClaimKey,
        claim: entry::ClaimId,
        outcome: entry::EntryOutcome,
    ) {
        let request_id = self.requests_by_claim.remove(&claim.number);
        let in_flight = request_id.and_then(|request_id| self.requests.remove(&request_id));
        let Some(InFlight::Claiming(request)) = in_flight else {
            // The caller was already told that the request was not executed. The release that
            // was submitted then ensures that the claim can't lead to a dispatch.
            return;
        };
        if request.state.claim.key != key || request.state.claim.id != claim {
            self.report_breach("outcome does not match the pending claim");
            self.refuse_claiming(request, refusal::Reason::ClaimUnavailable);
            return;
        }
        let request_id = request.head.request_id;
        match outcome {
            entry::EntryOutcome::Granted => {
                self.counters.add(counter::Counter::ClaimsGranted);
                self.dispatch_claimed(request.confirm_claim());
            }
            entry::EntryOutcome::AlreadySettled(answer) => {
                self.counters.add(counter::Counter::Replayed);
                self.release_claim(request.state.claim);
                self.push_action(action::Action::Replay { request_id, answer });
            }
            entry::EntryOutcome::InProgress => {
                self.release_claim(request.state.claim);
                let failure =
                    refusal::Failure::InProgress { retry_after_ms: IN_PROGRESS_RETRY_AFTER_MS };
                self.push_action(action::Action::Fail { request_id, failure });
            }
            entry::EntryOutcome::ContentMismatch => {
                self.refuse_claiming(request, refusal::Reason::IdempotencyKeyReused);
            }
            _ => self.refuse_claiming(request, refusal::Reason::ClaimUnavailable),
        }
    }

    /// Refuses requests whose claim did not become durable in time.
    pub(super) fn expire_claims(&mut self) {
        let now_ms = self.now.mono_ms;
        let expired: Vec<event::RequestId> = self
            .requests
            .iter()
            .filter_map(|(request_id, in_flight)| match in_flight {
                InFlight::Claiming(request) if now_ms >= request.state.claim_deadline_ms => {
                    Some(*request_id)
                }
                _ => None,
            })
            .collect();
        for request_id in expired {
            if let Some(InFlight::Claiming(request)) = self.requests.remove(&request_id) {
                self.refuse_claiming(request, refusal::Reason::ClaimUnavailable);
            }
        }
    }

    /// Refuses a request whose claim may still become durable, and releases the claim.
    pub(super) fn refuse_claiming(
        &mut self,
        request: request::Request<request::Claiming>,
        reason: refusal::Reason,
    ) {
        self.requests_by_claim.remove(&request.state.claim.id.number);
        self.release_claim(request.state.claim);
        self.refuse(request, reason);
    }

    /// Releases a claim permanently; must only be called if its request was not dispatched.
    pub(super) fn release_claim(&mut self, claim: request::Claim) {
        let shard = outbox::shard_of_claim(claim.key, self.config.ledger_shards);
        let entry = entry::Entry::Release { key: claim.key, claim: claim.id };
        self.outbox.submit(shard, entry, self.now.mono_ms);
    }

    /// Stores the answer of a claimed request, to be replayed if the caller sends it again.
    pub(super) fn settle_claim(&mut self, claim: request::Claim, answer: entry::StoredResponse) {
        let shard = outbox::shard_of_claim(claim.key, self.config.ledger_shards);
        let entry = entry::Entry::Settle { key: claim.key, claim: claim.id, response: answer };
        self.outbox.submit(shard, entry, self.now.mono_ms);
    }
}
