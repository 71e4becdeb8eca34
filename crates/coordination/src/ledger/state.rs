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
    pub content: u64,
    /// When it was claimed, in seconds since the epoch.
    pub at_s: u64,
    /// The answer, once there is one.
    pub answer: Option<entry::KeptAnswer>,
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
pub enum Judgement {
    /// It has to be appended; then this is its verdict.
    Append(entry::Verdict),
    /// Nothing needs to be appended.
    Known(entry::Verdict),
}

impl ShardState {
    /// Judges an entry against the state.
    #[must_use]
    pub fn judge(&self, entry: &entry::Entry) -> Judgement {
        match entry {
            entry::Entry::Claim { key, claim, content } => self.judge_claim(*key, *claim, *content),
            entry::Entry::Release { claim, .. } => self.judge_release(*claim),
            entry::Entry::Settle { key, claim, .. } => self.judge_settle(*key, *claim),
            entry::Entry::Bill(bill) => self.judge_bill(bill.id),
        }
    }

    /// Applies the batch with the sequence number `next`; returns a verdict for each entry.
    pub fn apply(&mut self, batch: &entry::Batch) -> Vec<entry::Verdict> {
        self.next += 1;
        self.at_s = self.at_s.max(batch.at_s);
        let verdicts = batch.entries.iter().map(|entry| self.apply_entry(entry)).collect();
        self.expire();
        verdicts
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

    fn judge_claim(&self, key: entry::ClaimKey, claim: entry::ClaimId, content: u64) -> Judgement {
        if contains(&self.released, claim.host, claim.number) {
            return Judgement::Known(entry::Verdict::Released);
        }
        let Some(held) = self.claims.get(&key) else {
            return if self.claims.len() >= CLAIMS_MAX {
                Judgement::Known(entry::Verdict::Full)
            } else {
                Judgement::Append(entry::Verdict::Granted)
            };
        };
        Judgement::Known(match &held.answer {
            _ if held.content != content => entry::Verdict::ContentDiffers,
            Some(answer) => entry::Verdict::AlreadySettled(answer.clone()),
            None if held.claim == claim => entry::Verdict::Granted,
            None => entry::Verdict::InProgress,
        })
    }

    fn judge_release(&self, claim: entry::ClaimId) -> Judgement {
        if contains(&self.released, claim.host, claim.number) {
            Judgement::Known(entry::Verdict::Released)
        } else {
            Judgement::Append(entry::Verdict::Released)
        }
    }

    fn judge_settle(&self, key: entry::ClaimKey, claim: entry::ClaimId) -> Judgement {
        match self.claims.get(&key) {
            Some(held) if held.claim == claim && held.answer.is_none() => {
                Judgement::Append(entry::Verdict::Settled)
            }
            // A claim that has expired or been settled has nothing left to keep.
            _ => Judgement::Known(entry::Verdict::Settled),
        }
    }

    fn judge_bill(&self, id: entry::BillId) -> Judgement {
        if contains(&self.billed, id.host, id.number) {
            Judgement::Known(entry::Verdict::Billed)
        } else {
            Judgement::Append(entry::Verdict::Billed)
        }
    }

    /// Applies an entry whatever its writer thought: the state alone decides what counts.
    fn apply_entry(&mut self, entry: &entry::Entry) -> entry::Verdict {
        let verdict = match self.judge(entry) {
            Judgement::Known(verdict) => return verdict,
            Judgement::Append(verdict) => verdict,
        };
        match entry {
            entry::Entry::Claim { key, claim, content } => {
                let at_s = self.at_s;
                let state = ClaimState { claim: *claim, content: *content, at_s, answer: None };
                self.claims.insert(*key, state);
            }
            entry::Entry::Release { key, claim } => self.apply_release(*key, *claim),
            entry::Entry::Settle { key, answer, .. } => {
                if let Some(held) = self.claims.get_mut(key) {
                    held.answer = Some(answer.clone());
                }
            }
            entry::Entry::Bill(bill) => self.apply_bill(bill),
        }
        verdict
    }

    fn apply_release(&mut self, key: entry::ClaimKey, claim: entry::ClaimId) {
        self.released.entry(claim.host).or_default().insert(claim.number);
        if self.claims.get(&key).is_some_and(|held| held.claim == claim && held.answer.is_none()) {
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
        self.claims.retain(|_, held| held.at_s >= oldest_s);
    }
}

fn contains(
    sets: &collections::BTreeMap<identity::HostId, interval::IntervalSet>,
    host: identity::HostId,
    number: u64,
) -> bool {
    sets.get(&host).is_some_and(|set| set.contains(number))
}
