//! Counters of a host, for metrics.

use std::collections;

/// A counter.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Counter {
    /// Requests received.
    Received,
    /// Requests whose complete answer was sent.
    Answered,
    /// Requests answered with a stored answer from the ledger.
    Replayed,
    /// Attempts sent to backend servers.
    Dispatched,
    /// Attempts that failed.
    AttemptsFailed,
    /// Retries after a failed attempt.
    Retried,
    /// Buffered answers discarded in favour of the next stage of the cascade.
    Escalated,
    /// Requests reported to the caller as failed.
    Failed,
    /// Requests reported to the caller with an unknown outcome.
    OutcomeUnknown,
    /// Claims granted.
    ClaimsGranted,
    /// Claims released.
    ClaimsReleased,
    /// Bills made durable.
    Billed,
    /// Bills submitted on behalf of hosts that were lost.
    OrphansBilled,
    /// Answers completed before a backup acknowledged the request.
    FinishedWithoutBackup,
    /// Writes to a ledger shard that conflicted with a write of another host.
    LedgerRaces,
    /// Checkpoints not written because the state of the ledger shard was too large.
    CheckpointsSkipped,
    /// Changes of the configuration that did not apply to the local state.
    ConfigurationMismatches,
    /// Contents refused because they crashed too many servers.
    PoisonConvicted,
    /// Pauses of this host's process.
    Paused,
    /// Detected violations of an invariant.
    InvariantBreaches,
    /// Cost in microcents of the answers discarded in favour of the next stage of a cascade.
    EscalatedMicrocents,
}

impl Counter {
    /// Returns the name that metrics show.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Received => "requests_received",
            Self::Answered => "requests_answered",
            Self::Replayed => "requests_replayed",
            Self::Dispatched => "attempts_dispatched",
            Self::AttemptsFailed => "attempts_failed",
            Self::Retried => "attempts_retried",
            Self::Escalated => "stages_escalated",
            Self::Failed => "requests_failed",
            Self::OutcomeUnknown => "requests_outcome_unknown",
            Self::ClaimsGranted => "claims_granted",
            Self::ClaimsReleased => "claims_released",
            Self::Billed => "bills_durable",
            Self::OrphansBilled => "bills_for_lost_hosts",
            Self::FinishedWithoutBackup => "answers_without_backup",
            Self::LedgerRaces => "ledger_races",
            Self::CheckpointsSkipped => "ledger_checkpoints_skipped",
            Self::ConfigurationMismatches => "configuration_mismatches",
            Self::PoisonConvicted => "poison_convicted",
            Self::Paused => "host_paused",
            Self::InvariantBreaches => "invariant_breaches",
            Self::EscalatedMicrocents => "escalated_cost_microcents",
        }
    }
}

/// The values of all counters, and the refusals by reason.
#[derive(Debug, Clone, Default)]
pub struct Counters {
    counts: collections::BTreeMap<Counter, u64>,
    refusals: collections::BTreeMap<&'static str, u64>,
}

impl Counters {
    /// Increments a counter by one.
    pub fn add(&mut self, counter: Counter) {
        self.add_many(counter, 1);
    }

    /// Increments a counter by `count`.
    pub fn add_many(&mut self, counter: Counter, count: u64) {
        *self.counts.entry(counter).or_default() += count;
    }

    /// Counts one refusal for `reason`.
    pub fn add_refusal(&mut self, reason: &'static str) {
        *self.refusals.entry(reason).or_default() += 1;
    }

    /// Returns the value of a counter.
    #[must_use]
    pub fn get(&self, counter: Counter) -> u64 {
        self.counts.get(&counter).copied().unwrap_or(0)
    }

    /// Iterates over the counters that were incremented.
    pub fn iter(&self) -> impl Iterator<Item = (Counter, u64)> {
        self.counts.iter().map(|(counter, count)| (*counter, *count))
    }

    /// Returns the number of refusals by reason.
    #[must_use]
    pub fn refusals(&self) -> &collections::BTreeMap<&'static str, u64> {
        &self.refusals
    }
}
