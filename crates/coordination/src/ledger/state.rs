//! What the entries of one shard add up to.

use std::collections;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::identity;
use crate::interval;
use crate::ledger::entry;

/// Most claims that one shard holds.
pub const CLAIMS_MAX: usize = 8_192;
/// Time for which a claim is kept, in seconds.
pub const CLAIM_RETENTION_S: u64 = 86_400;

/// The state of a claimed key.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ClaimState {
    /// The attempt that holds the key.
    pub claim: entry::ClaimId,
    /// Digest of its request.
    pub content_digest: u64,
    /// When it was claimed, in seconds since the epoch.
    pub claimed_at_s: u64,
    /// The answer, once there is one.
    pub response: Option<entry::StoredResponse>,
}

/// Sums of the bills of one organisation.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Total {
    /// Number of bills.
    pub bills: u64,
    /// Tokens generated.
    pub tokens: u64,
    /// Price in microcents.
    pub cost_microcents: u64,
}

/// The state of one shard after a number of batches.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ShardState {
    /// Sequence number of the next batch.
    pub next: u64,
    /// Latest time of a batch, in seconds since the epoch.
    at_s: u64,
    claims: collections::BTreeMap<entry::ClaimKey, ClaimState>,
    released: collections::BTreeMap<identity::HostId, interval::IntervalSet>,
    billed: collections::BTreeMap<identity::HostId, interval::IntervalSet>,
    totals: collections::BTreeMap<Arc<str>, Total>,
}

/// What to do with an entry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Evaluation {
    /// It has to be appended; then this is its verdict.
    Append(entry::EntryOutcome),
    /// Nothing needs to be appended.
    Known(entry::EntryOutcome),
}

impl ShardState {
    /// Judges an entry against the state.
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

    /// Applies the batch with the sequence number `next`; returns a verdict for each entry.
    pub fn apply(&mut self, batch: &entry::Batch) -> Vec<entry::EntryOutcome> {
        self.next += 1;
        self.at_s = self.at_s.max(batch.at_s);
        let outcomes = batch.entries.iter().map(|entry| self.apply_entry(entry)).collect();
        self.expire();
        outcomes
    }

    /// Sums of the bills by organisation.
    #[must_use]
    pub fn totals(&self) -> &collections::BTreeMap<Arc<str>, Total> {
        &self.totals
    }

    /// Number of claims held.
    #[must_use]
    pub fn claim_count(&self) -> usize {
        self.claims.len()
    }

    /// The claim on a key, if there is one.
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
            // A claim that has expired or been settled has nothing left to keep.
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

    /// Applies an entry whatever its writer thought: the state alone decides what counts.
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
