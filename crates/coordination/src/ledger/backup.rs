//! Backup of open requests and of bills that are not durable yet, at another host, preferably
//! in another data centre.

use std::collections;
use std::sync::Arc;

use crate::identity;
use crate::ledger::entry;
use crate::ledger::message;

/// Time after which unacknowledged messages are sent again, in milliseconds.
pub const RESEND_MS: u64 = 300;
/// Time after the loss of a host before its stored requests are billed, in milliseconds.
pub const ORPHAN_DELAY_MS: u64 = 15_000;
/// Maximum number of requests stored for other hosts.
pub const STORED_MAX: usize = 200_000;

/// Replicates the open requests of this host to its backup.
#[derive(Debug, Default)]
pub struct BackupSender {
    backup: Option<identity::HostId>,
    term: u64,
    /// Former backups that may still store requests, with the term of these.
    former: collections::BTreeMap<identity::HostId, u64>,
    next_discard_ms: u64,
    open: collections::BTreeMap<u64, OpenRequest>,
    queue: Vec<message::BackupUpdate>,
    in_flight: Option<InFlight>,
    sequence: u64,
}

#[derive(Debug)]
struct OpenRequest {
    organisation: Arc<str>,
    bill: Option<entry::Bill>,
    stored_by: collections::BTreeSet<identity::HostId>,
}

/// Whether another host stores a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BackupState {
    /// Another host stores the request, or none needs to any more.
    Stored,
    /// The backup has not acknowledged the request yet.
    Pending,
    /// There is no host to act as backup.
    Unavailable,
}

#[derive(Debug)]
struct InFlight {
    sequence: u64,
    updates: Vec<message::BackupUpdate>,
    next_send_ms: u64,
}

impl BackupSender {
    /// Creates a sender without a backup or open requests.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the backup; a new one is sent all requests that are still open.
    pub fn set_backup(&mut self, backup: Option<identity::HostId>) {
        if self.backup == backup {
            return;
        }
        self.former.extend(self.backup.map(|host| (host, self.term)));
        self.backup = backup;
        self.term += 1;
        self.former.retain(|host, _| Some(*host) != backup);
        self.in_flight = None;
        self.queue.clear();
        for (number, open) in &self.open {
            let organisation = Arc::clone(&open.organisation);
            self.queue.push(message::BackupUpdate::Opened { number: *number, organisation });
            self.queue.extend(open.bill.clone().map(message::BackupUpdate::Billed));
        }
    }

    /// Returns the current backup, if any.
    #[must_use]
    pub fn backup(&self) -> Option<identity::HostId> {
        self.backup
    }

    /// Returns the hosts that store each request whose bill is not durable, including lost hosts.
    ///
    /// Once the current backup stores a request, former backups may have discarded it.
    pub fn holders(&self) -> impl Iterator<Item = (u64, collections::BTreeSet<identity::HostId>)> {
        self.open.iter().map(|(number, open)| {
            let current = self.backup.filter(|backup| open.stored_by.contains(backup));
            let hosts = current.map_or_else(|| open.stored_by.clone(), |host| [host].into());
            (*number, hosts)
        })
    }

    /// Records that a request was dispatched and must be billed.
    pub fn open(&mut self, number: u64, organisation: Arc<str>) {
        let update =
            message::BackupUpdate::Opened { number, organisation: Arc::clone(&organisation) };
        self.queue.push(update);
        self.open.insert(
            number,
            OpenRequest { organisation, bill: None, stored_by: collections::BTreeSet::new() },
        );
    }

    /// Records the bill of a request.
    pub fn bill(&mut self, bill: entry::Bill) {
        if let Some(open) = self.open.get_mut(&bill.id.number) {
            open.bill = Some(bill.clone());
            self.queue.push(message::BackupUpdate::Billed(bill));
        }
    }

    /// Records that the bill of a request is durable.
    pub fn close(&mut self, number: u64) {
        if self.open.remove(&number).is_some() {
            self.queue.push(message::BackupUpdate::Closed { number });
        }
    }

    /// Returns whether another host stores a request.
    #[must_use]
    pub fn backup_state(&self, number: u64) -> BackupState {
        let Some(open) = self.open.get(&number) else { return BackupState::Stored };
        let is_live =
            |host: &identity::HostId| self.backup == Some(*host) || self.former.contains_key(host);
        if open.stored_by.iter().any(is_live) {
            BackupState::Stored
        } else if self.backup.is_some() {
            BackupState::Pending
        } else {
            BackupState::Unavailable
        }
    }

    /// Returns the number of requests that are open or whose bill is not durable.
    #[must_use]
    pub fn open_count(&self) -> usize {
        self.open.len()
    }

    /// Returns the message with updates that is due to be sent to the backup, if any.
    pub fn due_updates(&mut self, now_ms: u64) -> Option<(identity::HostId, message::Message)> {
        let to = self.backup?;
        if self.in_flight.is_none() && !self.queue.is_empty() {
            self.sequence += 1;
            let updates = std::mem::take(&mut self.queue);
            let in_flight = InFlight { sequence: self.sequence, updates, next_send_ms: now_ms };
            self.in_flight = Some(in_flight);
        }
        let in_flight = self.in_flight.as_mut()?;
        if now_ms < in_flight.next_send_ms {
            return None;
        }
        in_flight.next_send_ms = now_ms + RESEND_MS;
        let sequence = in_flight.sequence;
        let updates = in_flight.updates.clone();
        Some((to, message::Message::BackupUpdates { term: self.term, sequence, updates }))
    }

    /// Returns the discard messages to former backups, once the current one stores all requests.
    pub fn due_discards(&mut self, now_ms: u64) -> Vec<(identity::HostId, message::Message)> {
        let Some(backup) = self.backup else { return Vec::new() };
        if self.former.is_empty() || now_ms < self.next_discard_ms {
            return Vec::new();
        }
        let is_all_acked = self.in_flight.is_none() && self.queue.is_empty();
        if !is_all_acked || !self.open.values().all(|open| open.stored_by.contains(&backup)) {
            return Vec::new();
        }
        self.next_discard_ms = now_ms + RESEND_MS;
        for open in self.open.values_mut() {
            // From here on, no request relies on a copy that a former backup discards.
            open.stored_by.retain(|host| *host == backup);
        }
        self.former
            .iter()
            .map(|(host, term)| (*host, message::Message::DiscardBackup { term: *term }))
            .collect()
    }

    /// Records that a former backup is lost, together with the requests that it stored.
    pub fn remove_lost_backup(&mut self, host: identity::HostId) {
        self.former.remove(&host);
    }

    /// Records that a former backup has discarded the requests of a term.
    pub fn handle_discarded(&mut self, host: identity::HostId, term: u64) {
        if self.former.get(&host) != Some(&term) {
            return;
        }
        self.former.remove(&host);
    }

    /// Handles an acknowledgement by the backup; returns the requests that it now stores.
    pub fn handle_ack(&mut self, from: identity::HostId, sequence: u64) -> Vec<u64> {
        let is_ack = self.in_flight.as_ref().is_some_and(|f| f.sequence == sequence);
        if !is_ack || self.backup != Some(from) {
            return Vec::new();
        }
        let updates = self.in_flight.take().map(|f| f.updates).unwrap_or_default();
        let mut numbers = Vec::new();
        for update in updates {
            if let message::BackupUpdate::Opened { number, .. } = update
                && let Some(open) = self.open.get_mut(&number)
            {
                open.stored_by.insert(from);
                numbers.push(number);
            }
        }
        numbers
    }
}

/// The requests that this host stores for other hosts.
#[derive(Debug, Default)]
pub struct BackupStore {
    hosts: collections::BTreeMap<identity::HostId, HostBackup>,
    lost_since_ms: collections::BTreeMap<identity::HostId, u64>,
    count: usize,
}

#[derive(Debug, Default)]
struct HostBackup {
    term: u64,
    sequence: u64,
    requests: collections::BTreeMap<u64, StoredRequest>,
}

#[derive(Debug)]
struct StoredRequest {
    organisation: Arc<str>,
    bill: Option<entry::Bill>,
}

impl BackupStore {
    /// Creates an empty store.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the number of stored requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.count
    }

    /// Returns whether no request is stored.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.count == 0
    }

    /// Stores updates of a host; returns false and stores nothing if there is no room.
    pub fn store(
        &mut self,
        from: identity::HostId,
        term: u64,
        sequence: u64,
        updates: Vec<message::BackupUpdate>,
    ) -> bool {
        if self.count + updates.len() > STORED_MAX {
            return false;
        }
        let host = self.hosts.entry(from).or_default();
        if sequence <= host.sequence {
            // A delayed duplicate of updates that are already stored.
            return true;
        }
        host.sequence = sequence;
        let before = host.requests.len();
        if term > host.term {
            host.term = term;
            host.requests.clear();
        }
        for update in updates {
            host.apply(update);
        }
        self.count = self.count + host.requests.len() - before;
        true
    }

    /// Discards the requests of a host up to a term.
    pub fn discard(&mut self, from: identity::HostId, term: u64) {
        let Some(host) = self.hosts.get_mut(&from) else { return };
        if term >= host.term {
            self.count -= host.requests.len();
            host.requests.clear();
        }
    }

    /// Updates which of the hosts with stored requests are lost.
    ///
    /// Must be called on each tick, since updates may arrive from a host that is already
    /// considered lost.
    pub fn update_lost_hosts<F>(&mut self, is_lost: F, now_ms: u64)
    where
        F: Fn(identity::HostId) -> bool,
    {
        for (host, stored) in &self.hosts {
            if is_lost(*host) && !stored.requests.is_empty() {
                self.lost_since_ms.entry(*host).or_insert(now_ms);
            } else {
                self.lost_since_ms.remove(host);
            }
        }
    }

    /// Treats every loss as just detected, as after a pause of this host.
    pub fn restart_delays(&mut self, now_ms: u64) {
        for since_ms in self.lost_since_ms.values_mut() {
            *since_ms = now_ms;
        }
    }

    /// Removes and returns the bills of the hosts that have been lost for `delay_ms`.
    ///
    /// The delay is [`ORPHAN_DELAY_MS`], or zero if this host is about to stop.
    pub fn take_orphan_bills(&mut self, delay_ms: u64, now_ms: u64) -> Vec<entry::Bill> {
        let due: Vec<identity::HostId> = self
            .lost_since_ms
            .iter()
            .filter(|(_, since_ms)| now_ms >= **since_ms + delay_ms)
            .map(|(host, _)| *host)
            .collect();
        let mut bills = Vec::new();
        for host in due {
            self.lost_since_ms.remove(&host);
            let stored = self.hosts.remove(&host).unwrap_or_default();
            self.count -= stored.requests.len();
            bills.extend(
                stored
                    .requests
                    .into_iter()
                    .map(|(number, stored)| orphan_bill(host, number, stored)),
            );
        }
        bills
    }

    /// Returns the number of requests stored for a host, for invariant checks.
    #[must_use]
    pub fn stored_count(&self, host: identity::HostId) -> usize {
        self.hosts.get(&host).map_or(0, |host| host.requests.len())
    }
}

impl HostBackup {
    fn apply(&mut self, update: message::BackupUpdate) {
        match update {
            message::BackupUpdate::Opened { number, organisation } => {
                self.requests.entry(number).or_insert(StoredRequest { organisation, bill: None });
            }
            message::BackupUpdate::Billed(bill) => {
                if let Some(stored) = self.requests.get_mut(&bill.id.number) {
                    stored.bill = Some(bill);
                }
            }
            message::BackupUpdate::Closed { number } => drop(self.requests.remove(&number)),
        }
    }
}

fn orphan_bill(host: identity::HostId, number: u64, stored: StoredRequest) -> entry::Bill {
    stored.bill.unwrap_or(entry::Bill {
        id: entry::BillId { host, number },
        organisation: stored.organisation,
        item: Arc::from("interrupted"),
        tokens: 0,
        cost_microcents: 0,
        outcome: entry::RequestOutcome::Interrupted,
    })
}
