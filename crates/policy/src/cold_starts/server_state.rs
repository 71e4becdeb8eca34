//! What a host knows of how long a server stays cold.

use toucanwall_routing::name;
use toucanwall_routing::position;

use crate::server_run;

/// What news of a server changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// The server has become cold.
    Cold,
    /// The server has become warm before it was expected to.
    Warm,
    /// Neither.
    Unchanged,
}

/// The hosts that may send to a cold server, in the view of one host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Senders {
    /// Rank of this host among all, 0 for the first; `None` if it is not registered.
    pub rank: Option<usize>,
    /// Hash of the names of those that may be senders.
    pub hash: u64,
}

/// What a host knows of a run of a server.
#[derive(Debug)]
pub struct ServerState {
    /// The run.
    pub run: server_run::ServerRun,
    /// The service that it belongs to.
    pub service: name::ServiceName,
    /// The hosts that may send to it while it is cold, and this host's place among them.
    senders: Senders,
    /// When they last changed, in milliseconds.
    senders_changed_ms: u64,
    /// When this host last sent it a request while it was cold, in milliseconds.
    pub last_sent_ms: Option<u64>,
    /// When the host last knew an entry of the server, in milliseconds.
    pub last_known_ms: u64,
    /// When the host first heard of the run, in milliseconds.
    heard_ms: u64,
    /// Until when its entry says that it is cold, in milliseconds, if it says anything.
    entry_until_ms: Option<u64>,
    /// Until when its responses say that it is cold, in milliseconds.
    response_until_ms: u64,
    /// Position of the latest entry.
    position: Option<position::Position>,
}

impl ServerState {
    /// Creates the state of a run that the host has just heard of.
    pub fn new(
        run: server_run::ServerRun,
        service: name::ServiceName,
        senders: Senders,
        senders_changed_ms: u64,
        now_ms: u64,
    ) -> Self {
        Self {
            run,
            service,
            senders,
            senders_changed_ms,
            last_sent_ms: None,
            last_known_ms: now_ms,
            heard_ms: now_ms,
            entry_until_ms: None,
            response_until_ms: 0,
            position: None,
        }
    }

    /// Replaces the hosts that may send to the server.
    pub fn set_senders(&mut self, senders: Senders, now_ms: u64) {
        if senders.hash != self.senders.hash {
            self.senders_changed_ms = now_ms;
        }
        self.senders = senders;
    }

    /// Rank of this host among those that may send to the server.
    pub fn rank(&self) -> Option<usize> {
        self.senders.rank
    }

    /// When the hosts that may send to the server last changed, in milliseconds.
    pub fn senders_changed_ms(&self) -> u64 {
        self.senders_changed_ms
    }

    /// Whether no entry of the server is known yet.
    pub fn is_new(&self) -> bool {
        self.position.is_none()
    }

    /// Whether the server is cold; without a statement of its own it is for `start_ms` from when the
    /// host first heard of the run.
    pub fn is_cold(&self, start_ms: u64, now_ms: u64) -> bool {
        let until_ms = self.entry_until_ms.unwrap_or(self.heard_ms.saturating_add(start_ms));
        now_ms < until_ms.max(self.response_until_ms)
    }

    /// Begins another run. The time of the latest request stays: hosts may hear of a run one after the
    /// other, and a server that is registered anew may be the same process.
    pub fn begin_run(&mut self, run: server_run::ServerRun, now_ms: u64) {
        self.run = run;
        self.position = None;
        self.restart(now_ms);
    }

    /// Counts the run as one that the host has just heard of.
    pub fn restart(&mut self, now_ms: u64) {
        self.heard_ms = now_ms;
        self.entry_until_ms = None;
        self.response_until_ms = 0;
    }

    /// Records an entry. It does not end what a response has said: the entry may have been written
    /// before.
    pub fn record_entry(
        &mut self,
        position: position::Position,
        remaining_ms: Option<u64>,
        now_ms: u64,
    ) {
        if self.position.is_some_and(|known| position <= known) {
            return;
        }
        self.position = Some(position);
        if let Some(remaining_ms) = remaining_ms {
            self.entry_until_ms = Some(now_ms.saturating_add(remaining_ms));
        }
    }

    /// Records that a response says how long the server stays cold.
    pub fn record_response(&mut self, remaining_ms: u64, now_ms: u64) {
        self.response_until_ms = now_ms.saturating_add(remaining_ms);
        if remaining_ms == 0 {
            self.entry_until_ms = Some(now_ms);
        }
    }
}
