//! State machine of one shard: the result of applying its batches in log order.

use std::collections;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::identity;
use crate::interval;
use crate::ledger::entry;

/// Maximum number of claims held by one shard.
pub const CLAIMS_MAX: usize = 8_192;
/// Time for which a claim is retained, in seconds.
pub const CLAIM_RETENTION_S: u64 = 86_400;

/// The state of a claimed key.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ClaimState {
    /// The attempt that holds the key.
    pub claim: entry::ClaimId,
    /// Digest of the claimed request.
    pub content_digest: u64,
    /// When the key was claimed, in seconds since the Unix epoch.
    pub claimed_at_s: u64,
    /// The response, once the claim is settled.
    pub response: Option<entry::StoredResponse>,
}

/// Totals of the bills of one organisation.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Total {
    /// Number of bills.
    pub bills: u64,
    /// Number of generated tokens.
    pub tokens: u64,
    /// Total price in microcents.
    pub cost_microcents: u64,
}

/// The state of one shard after applying a prefix of its log.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ShardState {
    /// Sequence number of the next batch.
    pub next_sequence: u64,
    /// Latest batch time, in seconds since the Unix epoch.
    at_s: u64,
    claims: collections::BTreeMap<entry::ClaimKey, ClaimState>,
    /// Numbers of the released claims, by claiming host.
    released: collections::BTreeMap<identity::HostId, interval::IntervalSet>,
    /// Numbers of the billed requests, by the host that dispatched them.
    billed: collections::BTreeMap<identity::HostId, interval::IntervalSet>,
    totals: collections::BTreeMap<Arc<str>, Total>,
}

/// How an entry must be processed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Evaluation {
    /// The entry must be appended and then has this outcome.
    Append(entry::EntryOutcome),
    /// The outcome is known without appending the entry.
    Known(entry::EntryOutcome),
}

impl ShardState {
    /// Evaluates an entry against the current state.
    #[must_use]
    pub fn evaluate(&self, entry: &entry::Entry) -> Evaluation {
        match entry {
            entry::Entry::Claim { key, claim, content_digest } => {
                self.evaluate_claim(*key, *claim, *content_digest)
            }
            entry::Entry::Release { claim, .. } => self.evaluate_release(*claim),
            entry::Entry::Settle { key, claim, .. } => self.evaluate_settle(*key, *claim),
            entry::Entry::Bill(bill) => self.evaluate_bill(bill.id),
        }
    }

    /// Applies the batch with the sequence number `next_sequence`; returns the outcome of each entry.
    pub fn apply(&mut self, batch: &entry::Batch) -> Vec<entry::EntryOutcome> {
        self.next_sequence += 1;
        self.at_s = self.at_s.max(batch.at_s);
        let outcomes = batch.entries.iter().map(|entry| self.apply_entry(entry)).collect();
        self.expire();
        outcomes
    }

    /// Returns the totals of the bills by organisation.
    #[must_use]
    pub fn totals(&self) -> &collections::BTreeMap<Arc<str>, Total> {
        &self.totals
    }

    /// Returns the number of claims held.
    #[must_use]
    pub fn claim_count(&self) -> usize {
        self.claims.len()
    }

    /// Returns the claim on a key, if any.
    #[must_use]
    pub fn claim(&self, key: entry::ClaimKey) -> Option<&ClaimState> {
        self.claims.get(&key)
    }

    fn evaluate_claim(
        &self,
        key: entry::ClaimKey,
        claim: entry::ClaimId,
        content_digest: u64,
    ) -> Evaluation {
        if contains(&self.released, claim.host, claim.number) {
            return Evaluation::Known(entry::EntryOutcome::Released);
        }
        let Some(existing) = self.claims.get(&key) else {
            return if self.claims.len() >= CLAIMS_MAX {
                Evaluation::Known(entry::EntryOutcome::Full)
            } else {
                Evaluation::Append(entry::EntryOutcome::Granted)
            };
        };
        Evaluation::Known(match &existing.response {
            _ if existing.content_digest != content_digest => entry::EntryOutcome::ContentMismatch,
            Some(response) => entry::EntryOutcome::AlreadySettled(response.clone()),
            None if existing.claim == claim => entry::EntryOutcome::Granted,
            None => entry::EntryOutcome::InProgress,
        })
    }

    fn evaluate_release(&self, claim: entry::ClaimId) -> Evaluation {
        if contains(&self.released, claim.host, claim.number) {
            Evaluation::Known(entry::EntryOutcome::Released)
        } else {
            Evaluation::Append(entry::EntryOutcome::Released)
        }
    }

    fn evaluate_settle(&self, key: entry::ClaimKey, claim: entry::ClaimId) -> Evaluation {
        match self.claims.get(&key) {
            Some(existing) if existing.claim == claim && existing.response.is_none() => {
                Evaluation::Append(entry::EntryOutcome::Settled)
            }
            // The response is dropped if the claim has expired or is already settled.
            _ => Evaluation::Known(entry::EntryOutcome::Settled),
        }
    }

    fn evaluate_bill(&self, id: entry::BillId) -> Evaluation {
        if contains(&self.billed, id.host, id.number) {
            Evaluation::Known(entry::EntryOutcome::Billed)
        } else {
            Evaluation::Append(entry::EntryOutcome::Billed)
        }
    }

    /// Applies an entry by the current state alone, regardless of the state that its writer saw.
    fn apply_entry(&mut self, entry: &entry::Entry) -> entry::EntryOutcome {
        let outcome = match self.evaluate(entry) {
            Evaluation::Known(outcome) => return outcome,
            Evaluation::Append(outcome) => outcome,
        };
        match entry {
            entry::Entry::Claim { key, claim, content_digest } => {
                let claimed_at_s = self.at_s;
                let state = ClaimState {
                    claim: *claim,
                    content_digest: *content_digest,
                    claimed_at_s,
                    response: None,
                };
                self.claims.insert(*key, state);
            }
            entry::Entry::Release { key, claim } => self.apply_release(*key, *claim),
            entry::Entry::Settle { key, response, .. } => {
                if let Some(existing) = self.claims.get_mut(key) {
                    existing.response = Some(response.clone());
                }
            }
            entry::Entry::Bill(bill) => self.apply_bill(bill),
        }
        outcome
    }

    fn apply_release(&mut self, key: entry::ClaimKey, claim: entry::ClaimId) {
        self.released.entry(claim.host).or_default().insert(claim.number);
        if self
            .claims
            .get(&key)
            .is_some_and(|existing| existing.claim == claim && existing.response.is_none())
        {
            self.claims.remove(&key);
        }
    }

    fn apply_bill(&mut self, bill: &entry::Bill) {
        self.billed.entry(bill.id.host).or_default().insert(bill.id.number);
        let total = self.totals.entry(Arc::clone(&bill.organisation)).or_default();
        total.bills += 1;
        total.tokens += bill.tokens;
        total.cost_microcents += bill.cost_microcents;
    }

    fn expire(&mut self) {
        let oldest_s = self.at_s.saturating_sub(CLAIM_RETENTION_S);
        self.claims.retain(|_, existing| existing.claimed_at_s >= oldest_s);
    }
}

fn contains(
    sets: &collections::BTreeMap<identity::HostId, interval::IntervalSet>,
    host: identity::HostId,
    number: u64,
) -> bool {
    sets.get(&host).is_some_and(|set| set.contains(number))
}
