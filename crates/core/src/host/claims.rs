//! Claims on idempotency keys: at most one dispatch of a request that may not be repeated.

use toucanwall_coordination::ledger::entry;
use toucanwall_coordination::ledger::journal;

use crate::action;
use crate::counter;
use crate::event;
use crate::refusal;
use crate::request;

use super::Host;
use super::Live;

/// Longest time that a claim may take, in milliseconds.
const CLAIM_MS: u64 = 3_000;
/// When to ask again about a request that is under way, in milliseconds.
const IN_PROGRESS_RETRY_MS: u64 = 2_000;

impl Host {
    /// Claims the key of a request; it is dispatched once the claim is durable.
    pub(super) fn start_claim(
        &mut self,
        request: request::Request<request::Admitted>,
        key: entry::ClaimKey,
    ) {
        let number = self.next_claim;
        self.next_claim += 1;
        let id = entry::ClaimId { host: self.id(), number };
        let claim = request::Claim { key, id };
        let content = request.head.content_digest;
        let shard = journal::shard_of_claim(key, self.config.ledger_shards);
        self.journal.submit(
            shard,
            entry::Entry::Claim { key, claim: id, content },
            self.now.mono_ms,
        );
        let give_up_ms = request.state.plan.deadline_ms.min(self.now.mono_ms + CLAIM_MS);
        let request_id = request.head.request_id;
        self.claims.insert(number, request_id);
        self.requests.insert(request_id, Live::Claiming(request.claim(claim, give_up_ms)));
        self.flush_journal();
    }

    pub(super) fn on_claim_verdict(
        &mut self,
        key: entry::ClaimKey,
        claim: entry::ClaimId,
        verdict: entry::Verdict,
    ) {
        let request_id = self.claims.remove(&claim.number);
        let live = request_id.and_then(|request_id| self.requests.remove(&request_id));
        let Some(Live::Claiming(request)) = live else {
            // The caller was told "not run" already, which the release makes true for good.
            return;
        };
        if request.state.claim.key != key || request.state.claim.id != claim {
            self.breach("a verdict names another claim");
            self.refuse_claiming(request, refusal::Reason::ClaimUnavailable);
            return;
        }
        let request_id = request.head.request_id;
        match verdict {
            entry::Verdict::Granted => {
                self.counters.add(counter::Counter::ClaimsGranted);
                self.dispatch_claimed(request.hold());
            }
            entry::Verdict::AlreadySettled(answer) => {
                self.counters.add(counter::Counter::Replayed);
                self.release(request.state.claim);
                self.act(action::Action::Replay { request_id, answer });
            }
            entry::Verdict::InProgress => {
                self.release(request.state.claim);
                let failure = refusal::Failure::InProgress { retry_after_ms: IN_PROGRESS_RETRY_MS };
                self.act(action::Action::Fail { request_id, failure });
            }
            entry::Verdict::ContentDiffers => {
                self.refuse_claiming(request, refusal::Reason::IdempotencyKeyReused);
            }
            _ => self.refuse_claiming(request, refusal::Reason::ClaimUnavailable),
        }
    }

    /// Gives up claims whose time is over: the caller is told at once.
    pub(super) fn expire_claims(&mut self) {
        let now_ms = self.now.mono_ms;
        let late: Vec<event::RequestId> = self
            .requests
            .iter()
            .filter_map(|(request_id, live)| match live {
                Live::Claiming(request) if now_ms >= request.state.give_up_ms => Some(*request_id),
                _ => None,
            })
            .collect();
        for request_id in late {
            if let Some(Live::Claiming(request)) = self.requests.remove(&request_id) {
                self.refuse_claiming(request, refusal::Reason::ClaimUnavailable);
            }
        }
    }

    /// Refuses a request whose claim may still become durable, and takes the claim back.
    pub(super) fn refuse_claiming(
        &mut self,
        request: request::Request<request::Claiming>,
        reason: refusal::Reason,
    ) {
        self.claims.remove(&request.state.claim.id.number);
        self.release(request.state.claim);
        self.refuse(request, reason);
    }

    /// Takes a claim back for good; only ever called for a request that was not dispatched.
    pub(super) fn release(&mut self, claim: request::Claim) {
        let shard = journal::shard_of_claim(claim.key, self.config.ledger_shards);
        let entry = entry::Entry::Release { key: claim.key, claim: claim.id };
        self.journal.submit(shard, entry, self.now.mono_ms);
    }

    /// Keeps the answer of a claimed request for callers that send it again.
    pub(super) fn settle(&mut self, claim: request::Claim, answer: entry::KeptAnswer) {
        let shard = journal::shard_of_claim(claim.key, self.config.ledger_shards);
        let entry = entry::Entry::Settle { key: claim.key, claim: claim.id, answer };
        self.journal.submit(shard, entry, self.now.mono_ms);
    }
}
