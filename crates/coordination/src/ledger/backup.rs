//! Copies of open requests and unsaved bills at a host in another data centre.

use std::collections;
use std::sync::Arc;

use crate::identity;
use crate::ledger::entry;
use crate::ledger::message;

/// Time after which unkept notes are sent again, in milliseconds.
pub const RESEND_MS: u64 = 300;
/// Time for which a lost host's requests wait before they are billed, in milliseconds.
pub const ORPHAN_DELAY_MS: u64 = 15_000;
/// Most notes kept for other hosts.
pub const KEPT_MAX: usize = 400_000;

/// What this host asks its backup to keep.
#[derive(Debug, Default)]
pub struct Notes {
    backup: Option<identity::HostId>,
    former: collections::BTreeSet<identity::HostId>,
    next_forget_ms: u64,
    open: collections::BTreeMap<u64, Open>,
    queue: Vec<message::Note>,
    in_flight: Option<InFlight>,
    sequence: u64,
}

#[derive(Debug)]
struct Open {
    organisation: Arc<str>,
    bill: Option<entry::Bill>,
    is_kept: bool,
}

#[derive(Debug)]
struct InFlight {
    sequence: u64,
    notes: Vec<message::Note>,
    next_send_ms: u64,
}

impl Notes {
    /// Nothing noted yet.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Names the backup; a new one is told everything that is still open.
    pub fn set_backup(&mut self, backup: Option<identity::HostId>) {
        if self.backup == backup {
            return;
        }
        self.former.extend(self.backup);
        self.backup = backup;
        self.former.retain(|host| Some(*host) != backup);
        self.in_flight = None;
        self.queue.clear();
        for (number, open) in &mut self.open {
            open.is_kept = false;
            let organisation = Arc::clone(&open.organisation);
            self.queue.push(message::Note::Opened { number: *number, organisation });
            self.queue.extend(open.bill.clone().map(message::Note::Billed));
        }
    }

    /// The host that keeps the notes, if there is one.
    #[must_use]
    pub fn backup(&self) -> Option<identity::HostId> {
        self.backup
    }

    /// Notes that a request was admitted.
    pub fn open(&mut self, number: u64, organisation: Arc<str>) {
        let note = message::Note::Opened { number, organisation: Arc::clone(&organisation) };
        self.queue.push(note);
        self.open.insert(number, Open { organisation, bill: None, is_kept: false });
    }

    /// Notes the bill of a request.
    pub fn bill(&mut self, bill: entry::Bill) {
        if let Some(open) = self.open.get_mut(&bill.id.number) {
            open.bill = Some(bill.clone());
            self.queue.push(message::Note::Billed(bill));
        }
    }

    /// Notes that the bill of a request is durable.
    pub fn close(&mut self, number: u64) {
        if self.open.remove(&number).is_some() {
            self.queue.push(message::Note::Closed { number });
        }
    }

    /// Whether a request is known to the backup, or there is no backup to know it.
    #[must_use]
    pub fn is_kept(&self, number: u64) -> bool {
        self.backup.is_none() || self.open.get(&number).is_none_or(|open| open.is_kept)
    }

    /// Number of requests that are open or whose bill is not durable.
    #[must_use]
    pub fn open_count(&self) -> usize {
        self.open.len()
    }

    /// Notes to send now, if any.
    pub fn due(&mut self, now_ms: u64) -> Option<(identity::HostId, message::Message)> {
        let to = self.backup?;
        if self.in_flight.is_none() && !self.queue.is_empty() {
            self.sequence += 1;
            let notes = std::mem::take(&mut self.queue);
            let in_flight = InFlight { sequence: self.sequence, notes, next_send_ms: now_ms };
            self.in_flight = Some(in_flight);
        }
        let in_flight = self.in_flight.as_mut()?;
        if now_ms < in_flight.next_send_ms {
            return None;
        }
        in_flight.next_send_ms = now_ms + RESEND_MS;
        let sequence = in_flight.sequence;
        let notes = in_flight.notes.clone();
        Some((to, message::Message::Notes { sequence, notes }))
    }

    /// Former backups that may forget, once the present one keeps everything.
    pub fn due_to_forget(&mut self, now_ms: u64) -> Vec<(identity::HostId, message::Message)> {
        let is_all_kept = self.backup.is_some()
            && self.in_flight.is_none()
            && self.queue.is_empty()
            && self.open.values().all(|open| open.is_kept);
        if self.former.is_empty() || !is_all_kept || now_ms < self.next_forget_ms {
            return Vec::new();
        }
        self.next_forget_ms = now_ms + RESEND_MS;
        let message = message::Message::Forget { sequence: self.sequence };
        self.former.iter().map(|host| (*host, message.clone())).collect()
    }

    /// Notes that a former backup has forgotten, or is gone.
    pub fn forgotten(&mut self, host: identity::HostId) {
        self.former.remove(&host);
    }

    /// Takes the backup's word that notes are kept; returns the requests now known there.
    pub fn kept(&mut self, from: identity::HostId, sequence: u64) -> Vec<u64> {
        let is_answer = self.in_flight.as_ref().is_some_and(|f| f.sequence == sequence);
        if !is_answer || self.backup != Some(from) {
            return Vec::new();
        }
        let notes = self.in_flight.take().map(|f| f.notes).unwrap_or_default();
        let mut numbers = Vec::new();
        for note in notes {
            if let message::Note::Opened { number, .. } = note
                && let Some(open) = self.open.get_mut(&number)
            {
                open.is_kept = true;
                numbers.push(number);
            }
        }
        numbers
    }
}

/// What this host keeps for others.
#[derive(Debug, Default)]
pub struct Vault {
    kept: collections::BTreeMap<identity::HostId, KeptHost>,
    lost: collections::BTreeMap<identity::HostId, u64>,
    count: usize,
}

#[derive(Debug, Default)]
struct KeptHost {
    sequence: u64,
    requests: collections::BTreeMap<u64, Kept>,
}

#[derive(Debug)]
struct Kept {
    organisation: Arc<str>,
    bill: Option<entry::Bill>,
}

impl Vault {
    /// Nothing kept yet.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Number of requests kept.
    #[must_use]
    pub fn len(&self) -> usize {
        self.count
    }

    /// Whether nothing is kept.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.count == 0
    }

    /// Keeps notes of a host; returns false, and keeps nothing, if there is no room.
    pub fn keep(
        &mut self,
        from: identity::HostId,
        sequence: u64,
        notes: Vec<message::Note>,
    ) -> bool {
        if self.count + notes.len() > KEPT_MAX {
            return false;
        }
        let host = self.kept.entry(from).or_default();
        if sequence <= host.sequence {
            // A late copy of notes that were kept already.
            return true;
        }
        host.sequence = sequence;
        let before = host.requests.len();
        for note in notes {
            host.take(note);
        }
        self.count = self.count + host.requests.len() - before;
        true
    }

    /// Forgets the notes of a host up to a message of notes.
    pub fn forget(&mut self, from: identity::HostId, sequence: u64) {
        let Some(host) = self.kept.get_mut(&from) else {
            return;
        };
        if sequence >= host.sequence {
            self.count -= host.requests.len();
            host.requests.clear();
            host.sequence = sequence;
        }
    }

    /// Notes that a host was lost or is back.
    pub fn set_lost(&mut self, host: identity::HostId, is_lost: bool, now_ms: u64) {
        if is_lost {
            self.lost.entry(host).or_insert(now_ms);
        } else {
            self.lost.remove(&host);
        }
    }

    /// Treats every loss as just noticed, as after a pause of this host.
    pub fn restart_delays(&mut self, now_ms: u64) {
        for since_ms in self.lost.values_mut() {
            *since_ms = now_ms;
        }
    }

    /// Bills of the hosts that have been lost for [`ORPHAN_DELAY_MS`].
    pub fn orphans(&mut self, now_ms: u64) -> Vec<entry::Bill> {
        let due: Vec<identity::HostId> = self
            .lost
            .iter()
            .filter(|(_, since_ms)| now_ms >= **since_ms + ORPHAN_DELAY_MS)
            .map(|(host, _)| *host)
            .collect();
        let mut bills = Vec::new();
        for host in due {
            self.lost.remove(&host);
            let kept = self.kept.remove(&host).unwrap_or_default();
            self.count -= kept.requests.len();
            bills.extend(
                kept.requests.into_iter().map(|(number, kept)| orphan_bill(host, number, kept)),
            );
        }
        bills
    }

    /// All that is kept for a host, for a check of the invariants.
    #[must_use]
    pub fn kept_for(&self, host: identity::HostId) -> usize {
        self.kept.get(&host).map_or(0, |host| host.requests.len())
    }
}

impl KeptHost {
    fn take(&mut self, note: message::Note) {
        match note {
            message::Note::Opened { number, organisation } => {
                self.requests.entry(number).or_insert(Kept { organisation, bill: None });
            }
            message::Note::Billed(bill) => {
                if let Some(kept) = self.requests.get_mut(&bill.id.number) {
                    kept.bill = Some(bill);
                }
            }
            message::Note::Closed { number } => drop(self.requests.remove(&number)),
        }
    }
}

fn orphan_bill(host: identity::HostId, number: u64, kept: Kept) -> entry::Bill {
    kept.bill.unwrap_or(entry::Bill {
        id: entry::BillId { host, number },
        organisation: kept.organisation,
        item: Arc::from("interrupted"),
        tokens: 0,
        cost_microcents: 0,
        ending: entry::Ending::Interrupted,
    })
}
