//! Counts of what a host did, for metrics.

use std::collections;

/// Something that is counted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Counter {
    /// Requests received.
    Received,
    /// Requests whose whole answer went out.
    Answered,
    /// Requests answered from the ledger.
    Replayed,
    /// Attempts sent to backend servers.
    Dispatched,
    /// Attempts that failed.
    AttemptsFailed,
    /// Attempts made again.
    Retried,
    /// Held answers replaced by a stronger stage.
    Escalated,
    /// Requests told that they failed.
    Failed,
    /// Requests told that their outcome is unknown.
    OutcomeUnknown,
    /// Claims granted.
    ClaimsGranted,
    /// Claims given up.
    ClaimsReleased,
    /// Bills made durable.
    Billed,
    /// Bills written for hosts that were lost.
    OrphansBilled,
    /// Answers let go without the backup's word.
    FinishedWithoutBackup,
    /// Creates in the ledger that met another owner's.
    LedgerRaces,
    /// Ledger shards too large for a checkpoint.
    CheckpointsSkipped,
    /// Changes of the configuration that did not fit.
    ConfigurationMismatches,
    /// Contents convicted of taking servers down.
    PoisonConvicted,
    /// Pauses of this host.
    Paused,
    /// Steps refused because they would break an invariant.
    InvariantBreaches,
    /// Microcents of answers that a stronger stage replaced.
    EscalatedMicrocents,
}

impl Counter {
    /// The count's name in metrics.
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

/// Counts by kind, and refusals by reason.
#[derive(Debug, Clone, Default)]
pub struct Counters {
    counts: collections::BTreeMap<Counter, u64>,
    refusals: collections::BTreeMap<&'static str, u64>,
}

impl Counters {
    /// Adds one.
    pub fn add(&mut self, counter: Counter) {
        self.add_many(counter, 1);
    }

    /// Adds several.
    pub fn add_many(&mut self, counter: Counter, count: u64) {
        *self.counts.entry(counter).or_default() += count;
    }

    /// Adds one refusal.
    pub fn add_refusal(&mut self, reason: &'static str) {
        *self.refusals.entry(reason).or_default() += 1;
    }

    /// One count.
    #[must_use]
    pub fn get(&self, counter: Counter) -> u64 {
        self.counts.get(&counter).copied().unwrap_or(0)
    }

    /// All counts that are not zero.
    pub fn iter(&self) -> impl Iterator<Item = (Counter, u64)> {
        self.counts.iter().map(|(counter, count)| (*counter, *count))
    }

    /// Refusals by reason.
    #[must_use]
    pub fn refusals(&self) -> &collections::BTreeMap<&'static str, u64> {
        &self.refusals
    }
}
