//! Messages between hosts about the ledger.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::identity;
use crate::ledger::entry;

/// An entry submitted to the owner of its shard.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Submission {
    /// Number chosen by the sender, which identifies the submission in its outcome.
    pub number: u64,
    /// The entry.
    pub entry: entry::Entry,
}

/// The outcome of a submission.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct SubmissionOutcome {
    /// Number of the submission.
    pub number: u64,
    /// Outcome of its entry.
    pub outcome: entry::EntryOutcome,
}

/// A change to the state of a request, replicated to the backup of the sender.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum BackupUpdate {
    /// A request was dispatched and must be billed.
    Opened {
        /// Sequence number among the requests of the sender.
        number: u64,
        /// The organisation to charge.
        organisation: Arc<str>,
    },
    /// The bill of a request, which is not durable yet.
    Billed(entry::Bill),
    /// The bill of a request is durable.
    Closed {
        /// Sequence number among the requests of the sender.
        number: u64,
    },
}

/// A message about the ledger.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Message {
    /// Entries for a shard that the sender believes the receiver to own.
    Submit {
        /// The shard.
        shard: u32,
        /// The entries.
        submissions: Vec<Submission>,
    },
    /// Outcomes of the submissions of a host.
    Outcomes {
        /// The receiving run; a later run at the same address has other submissions.
        to: identity::HostId,
        /// The outcomes.
        outcomes: Vec<SubmissionOutcome>,
    },
    /// Updates for the receiver to store as backup.
    BackupUpdates {
        /// Counts the sender's changes of backup; the first updates of a term cover all open
        /// requests.
        term: u64,
        /// Sequence number among the sender's messages of this kind.
        sequence: u64,
        /// The updates in order.
        updates: Vec<BackupUpdate>,
    },
    /// Acknowledges that the updates are stored.
    BackupUpdatesStored {
        /// The run that sent the updates.
        to: identity::HostId,
        /// Sequence number of the updates.
        sequence: u64,
    },
    /// Asks a former backup to discard the sender's requests, which another host stores now.
    DiscardBackup {
        /// Term of the requests to discard; those of a later term stay stored.
        term: u64,
    },
    /// Confirms that the requests of a host are discarded.
    BackupDiscarded {
        /// The run that the requests belonged to.
        to: identity::HostId,
        /// Term of the discarded requests.
        term: u64,
    },
}
