//! Messages about the ledger between hosts.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::identity;
use crate::ledger::entry;

/// An entry on its way to the owner of its shard.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Submission {
    /// Chosen by the sender; the verdict names it.
    pub number: u64,
    /// The entry.
    pub entry: entry::Entry,
}

/// A verdict on its way back.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct SubmissionOutcome {
    /// The submission.
    pub number: u64,
    /// What became of it.
    pub outcome: entry::EntryOutcome,
}

/// Something that a backup keeps for the host that says it.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum BackupUpdate {
    /// A request was admitted and has to be billed.
    Opened {
        /// Counts the requests of the sender.
        number: u64,
        /// The organisation that pays.
        organisation: Arc<str>,
    },
    /// The bill of a request, not durable yet.
    Billed(entry::Bill),
    /// The bill of a request is durable.
    Closed {
        /// Counts the requests of the sender.
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
    /// Verdicts on entries of a host.
    Outcomes {
        /// The run that they are for; a later one under the same address has other entries.
        to: identity::HostId,
        /// The verdicts.
        outcomes: Vec<SubmissionOutcome>,
    },
    /// Notes for the receiver to keep.
    BackupUpdates {
        /// Counts the sender's changes of backup; the first notes of a term hold all that is open.
        term: u64,
        /// Counts the sender's messages of this kind.
        sequence: u64,
        /// The notes in order.
        updates: Vec<BackupUpdate>,
    },
    /// Notes up to this one are kept.
    BackupUpdatesStored {
        /// The run that they are for.
        to: identity::HostId,
        /// The sequence number of the notes.
        sequence: u64,
    },
    /// Another host keeps the sender's notes now.
    DiscardBackup {
        /// The term of the notes; those of a later term stay kept.
        term: u64,
    },
    /// The notes of a host are forgotten.
    BackupDiscarded {
        /// The run that they were for.
        to: identity::HostId,
        /// The term of the notes.
        term: u64,
    },
}
