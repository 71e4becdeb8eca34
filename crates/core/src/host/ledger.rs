//! This host's roles in the ledger: it owns shards, submits entries and stores backups for
//! other hosts.

use std::net;

use toucanwall_coordination::identity;
use toucanwall_coordination::ledger::backup;
use toucanwall_coordination::ledger::entry;
use toucanwall_coordination::ledger::message as ledger_message;
use toucanwall_coordination::ledger::outbox;
use toucanwall_coordination::ledger::owner;
use toucanwall_coordination::membership;
use toucanwall_coordination::platform;
use toucanwall_coordination::rendezvous;

use crate::action;
use crate::counter;
use crate::message;

use super::Host;
use super::Lifecycle;

/// Interval at which updates are sent to the backup while no answer waits for its
/// acknowledgement, in milliseconds.
const BACKUP_BATCH_MS: u64 = 100;
/// Combined with the number of a shard to give its rendezvous key, which keeps shards apart
/// from other uses of rendezvous hashing; spells "shard" in ASCII.
const SHARD_RANKING_KEY: u64 = 0x73_68_61_72_64_00_00_00;

impl Host {
    /// Reassigns the owner of each shard and this host's backup if the members have changed.
    pub(super) fn update_ownership(&mut self) {
        if !std::mem::take(&mut self.has_membership_changed) {
            return;
        }
        let own_id = self.id();
        let eligible: Vec<identity::HostId> = self.membership.eligible_ids().collect();
        self.shard_owners = (0..self.config.ledger_shards)
            .map(|shard| {
                rendezvous::first(SHARD_RANKING_KEY | u64::from(shard), eligible.iter().copied())
            })
            .collect();
        for (shard, owner) in self.shards.iter_mut().zip(&self.shard_owners) {
            shard.set_assigned(*owner == Some(own_id));
        }
        self.backup_sender.set_backup(self.choose_backup());
        self.outbox.resend_all();
    }

    pub(super) fn tick_ledger(&mut self) {
        let now = self.now;
        for shard in 0..self.shards.len() {
            let effects = self.shards[shard].tick(now.mono_ms, now.wall_s);
            self.apply_shard_effects(shard, effects);
        }
        let members = self.membership.members();
        let is_lost = |host: identity::HostId| {
            let status = members.get(&host).map(|member| member.record.status);
            status.is_none_or(|status| status == membership::Status::Dead)
        };
        self.backup_store.update_lost_hosts(is_lost, now.mono_ms);
        let orphan_delay_ms = match self.lifecycle {
            Lifecycle::Serving => backup::ORPHAN_DELAY_MS,
            Lifecycle::Leaving { .. } | Lifecycle::Stopped => 0,
        };
        for bill in self.backup_store.take_orphan_bills(orphan_delay_ms, now.mono_ms) {
            self.counters.add(counter::Counter::OrphansBilled);
            let shard = outbox::shard_of_bills(bill.id.host, self.config.ledger_shards);
            self.outbox.submit(shard, entry::Entry::Bill(bill), self.now.mono_ms);
        }
        self.flush_outbox();
        for (former_backup, message) in self.backup_sender.due_discards(now.mono_ms) {
            if let Some(to) = self.membership.address_of(former_backup) {
                self.send_ledger_message(to, message);
            }
        }
    }

    /// Sends the entries that are due to the owners of their shards.
    pub(super) fn flush_outbox(&mut self) {
        let own_id = self.id();
        for outgoing in self.outbox.due(self.now.mono_ms) {
            let shard = outgoing.shard as usize;
            let Some(owner) = self.shard_owners.get(shard).copied().flatten() else {
                continue;
            };
            if owner == own_id {
                let effects = self.shards[shard].submit(own_id, outgoing.submissions);
                self.apply_shard_effects(shard, effects);
            } else if let Some(to) = self.membership.address_of(owner) {
                self.send_ledger_message(
                    to,
                    ledger_message::Message::Submit {
                        shard: outgoing.shard,
                        submissions: outgoing.submissions,
                    },
                );
            }
        }
    }

    /// Sends the updates that are due to this host's backup.
    pub(super) fn flush_backup_updates(&mut self) {
        if self.now.mono_ms < self.next_flush_ms && self.finishing_count == 0 {
            return;
        }
        let Some((backup, message)) = self.backup_sender.due_updates(self.now.mono_ms) else {
            return;
        };
        self.next_flush_ms = self.now.mono_ms + BACKUP_BATCH_MS;
        if let Some(to) = self.membership.address_of(backup) {
            self.send_ledger_message(to, message);
        }
    }

    pub(super) fn on_ledger(
        &mut self,
        from: net::SocketAddr,
        sender: identity::HostId,
        message: ledger_message::Message,
    ) {
        match message {
            ledger_message::Message::Submit { shard, submissions } => {
                self.on_submit(shard, sender, submissions);
            }
            ledger_message::Message::Outcomes { to, outcomes } => {
                if to == self.id() {
                    self.on_outcomes(outcomes);
                }
            }
            ledger_message::Message::BackupUpdates { term, sequence, updates } => {
                if self.backup_store.store(sender, term, sequence, updates) {
                    let to = sender;
                    self.send_ledger_message(
                        from,
                        ledger_message::Message::BackupUpdatesStored { to, sequence },
                    );
                }
            }
            ledger_message::Message::BackupUpdatesStored { to, sequence } => {
                if to == self.id() && !self.backup_sender.handle_ack(sender, sequence).is_empty() {
                    self.finish_backed_up();
                }
            }
            ledger_message::Message::DiscardBackup { term } => {
                self.backup_store.discard(sender, term);
                let to = sender;
                self.send_ledger_message(
                    from,
                    ledger_message::Message::BackupDiscarded { to, term },
                );
            }
            ledger_message::Message::BackupDiscarded { to, term } => {
                if to == self.id() {
                    self.backup_sender.handle_discarded(sender, term);
                }
            }
        }
    }

    pub(super) fn on_shard_reply(&mut self, shard: u32, reply: &platform::Reply) {
        let now_ms = self.now.mono_ms;
        let Some(owner) = self.shards.get_mut(shard as usize) else {
            return;
        };
        let effects = owner.handle_reply(reply, now_ms);
        self.apply_shard_effects(shard as usize, effects);
        self.tick_shard(shard as usize);
    }

    pub(super) fn submit_bill(&mut self, bill: entry::Bill) {
        let shard = outbox::shard_of_bills(bill.id.host, self.config.ledger_shards);
        self.outbox.submit(shard, entry::Entry::Bill(bill), self.now.mono_ms);
    }

    fn on_submit(
        &mut self,
        shard: u32,
        sender: identity::HostId,
        submissions: Vec<ledger_message::Submission>,
    ) {
        let Some(owner) = self.shards.get_mut(shard as usize) else {
            return;
        };
        let effects = owner.submit(sender, submissions);
        self.apply_shard_effects(shard as usize, effects);
        self.tick_shard(shard as usize);
    }

    /// Advances a shard immediately instead of at the next tick.
    fn tick_shard(&mut self, shard: usize) {
        let now = self.now;
        let effects = self.shards[shard].tick(now.mono_ms, now.wall_s);
        self.apply_shard_effects(shard, effects);
    }

    fn apply_shard_effects(&mut self, shard: usize, effects: Vec<owner::Effect>) {
        for effect in effects {
            match effect {
                owner::Effect::Call(call) => {
                    let id = action::CallId::Shard(u32::try_from(shard).unwrap_or(u32::MAX));
                    self.push_action(action::Action::CallPlatform { id, call });
                }
                owner::Effect::Outcomes { to, outcomes } => self.send_outcomes(to, outcomes),
                owner::Effect::WriteConflict => self.counters.add(counter::Counter::LedgerRaces),
                owner::Effect::CheckpointTooLarge => {
                    self.counters.add(counter::Counter::CheckpointsSkipped);
                }
            }
        }
    }

    fn send_outcomes(
        &mut self,
        to: identity::HostId,
        outcomes: Vec<ledger_message::SubmissionOutcome>,
    ) {
        if to == self.id() {
            self.on_outcomes(outcomes);
        } else if let Some(address) = self.membership.address_of(to) {
            self.send_ledger_message(address, ledger_message::Message::Outcomes { to, outcomes });
        }
    }

    fn on_outcomes(&mut self, outcomes: Vec<ledger_message::SubmissionOutcome>) {
        for outcome in outcomes {
            let Some(entry) = self.outbox.resolve(outcome.number) else {
                continue;
            };
            match entry {
                entry::Entry::Claim { key, claim, .. } => {
                    self.on_claim_outcome(key, claim, outcome.outcome);
                }
                entry::Entry::Release { .. } => {
                    self.counters.add(counter::Counter::ClaimsReleased);
                }
                entry::Entry::Settle { .. } => {}
                entry::Entry::Bill(bill) => {
                    self.counters.add(counter::Counter::Billed);
                    if bill.id.host == self.id() {
                        self.backup_sender.close(bill.id.number);
                    }
                }
            }
        }
    }

    /// Chooses this host's backup.
    ///
    /// Hosts that are not leaving, in another data centre and in the same region come first,
    /// in this order of importance.
    fn choose_backup(&self) -> Option<identity::HostId> {
        let own_info = &self.config.info;
        let preference = |record: &membership::Record| {
            let info = &record.info;
            let is_staying = !record.leaving;
            let is_in_other_data_centre = info.data_centre != own_info.data_centre;
            (
                is_staying,
                is_in_other_data_centre,
                info.region == own_info.region,
                rendezvous::weight(own_info.id.0, info.id),
            )
        };
        self.membership
            .members()
            .values()
            .map(|member| &member.record)
            .filter(|record| {
                record.info.id != own_info.id && record.status != membership::Status::Dead
            })
            .max_by_key(|record| preference(record))
            .map(|record| record.info.id)
    }

    fn send_ledger_message(&mut self, to: net::SocketAddr, message: ledger_message::Message) {
        let message = message::Message::Ledger(message);
        self.push_action(action::Action::SendPeer { to, message });
    }
}
