//! Invariants that are checked after each event and at the end of a run.

use std::collections;

use toucanwall_coordination::identity;
use toucanwall_coordination::ledger::entry;
use toucanwall_coordination::ledger::owner;
use toucanwall_coordination::ledger::state;
use toucanwall_core::counter;
use toucanwall_core::event;

use super::HOST_SLOTS;
use super::LEDGER_SHARDS;
use super::Simulation;
use super::callers;

/// Longest time between two losses of hosts that count as simultaneous, in milliseconds. It is too
/// short to copy the open requests to another backup or to bill them.
const SIMULTANEOUS_LOSS_MS: u64 = 45_000;

/// A violated invariant.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Violation {
    /// A host dispatched to a withdrawn version after the deadline.
    WithdrawnVersionDispatched { late_ms: u64 },
    /// A host dispatched to a leaving server after the deadline.
    LeavingServerDispatched { late_ms: u64 },
    /// A session was moved to another version.
    SessionChangedVersion,
    /// A send got more than one final result.
    TwoFinalAnswers { first: callers::Outcome, second: callers::Outcome },
    /// A host's configuration went back to an earlier revision.
    RevisionReverted { from: u64, to: u64 },
    /// A host detected the violation of an invariant itself.
    InvariantBreach,
    /// A planned stop left delivered requests without a result.
    StoppedWithOpenRequests { open: usize },
    /// The call of an idempotency key was executed more than once.
    EffectRepeated { key: String, times: u64 },
    /// A request that was refused as not executed was executed.
    NotRunButRan,
    /// An idempotency key whose call was only ever refused could not be used.
    RefusedKeyIsStuck { got: callers::Outcome },
    /// A request was answered without having been executed.
    AnsweredButNoEffect,
    /// A host did not have the latest configuration at the end.
    NotInForceEverywhere { revision: u64, host: u64 },
    /// Sends had no final result at the end.
    NoFinalAnswer { sends: usize },
    /// A dispatched request has no bill.
    Unbilled { got: callers::Outcome, id: entry::BillId },
    /// The ledger's totals differ from the sum over its bills.
    TotalsDiffer { naive: u64, state: u64 },
}

impl Simulation {
    /// Records a violated invariant.
    pub(super) fn fail(&mut self, violation: Violation) {
        self.trace_line(0, &format!("violation {violation:?}"));
        self.violations.push(violation);
    }

    /// Checks that the host's revision never decreases and that it detected no violation itself.
    pub(super) fn check_host(&mut self, slot: usize) {
        let previous = self.slots[slot].revision;
        let Some(host) = &self.slots[slot].host else {
            return;
        };
        let revision = host.revision();
        let has_breach = host.counters().get(counter::Counter::InvariantBreaches) > 0;
        self.slots[slot].revision = revision;
        if revision < previous {
            self.fail(Violation::RevisionReverted { from: previous, to: revision });
        }
        if has_breach {
            self.fail(Violation::InvariantBreach);
        }
    }

    /// Checks that a planned stop left no delivered request without a result.
    pub(super) fn check_stopped(&mut self, slot: usize) {
        let generation = self.slots[slot].generation;
        let open = self
            .callers
            .sent_requests
            .values()
            .filter(|sent| {
                sent.slot == slot
                    && sent.generation == generation
                    && sent.is_delivered
                    && sent.outcome == callers::Outcome::Nothing
            })
            .count();
        if open > 0 && self.slots[slot].is_stopping {
            self.fail(Violation::StoppedWithOpenRequests { open });
        }
    }

    pub(super) fn check_at_end(&mut self) {
        if !self.violations.is_empty() {
            return;
        }
        self.check_effects();
        self.check_refusals();
        self.check_undispatched_keys();
        self.check_revisions();
        self.check_final_answers();
        self.check_bills();
        self.report.effects = self.backends.effects.values().sum();
    }

    /// Checks that the call of each idempotency key was executed at most once.
    fn check_effects(&mut self) {
        let repeated: Vec<Violation> = self
            .backends
            .effects
            .iter()
            .filter(|(_, times)| **times > 1)
            .map(|(key, times)| Violation::EffectRepeated { key: key.to_string(), times: *times })
            .collect();
        self.violations.extend(repeated);
    }

    /// Checks that refused requests were not executed and answered ones were.
    fn check_refusals(&mut self) {
        let sends: Vec<_> = self
            .callers
            .sent_requests
            .iter()
            .map(|(request_id, sent)| (*request_id, sent.outcome))
            .collect();
        for (request_id, got) in sends {
            let has_run = self.backends.executions.contains_key(&request_id);
            match got {
                callers::Outcome::NotRun if has_run => self.fail(Violation::NotRunButRan),
                callers::Outcome::Answer if !has_run => self.fail(Violation::AnsweredButNoEffect),
                _ => {}
            }
        }
    }

    /// Checks that an idempotency key whose call was only ever refused can still be used.
    fn check_undispatched_keys(&mut self) {
        let probes = self.callers.undispatched_key_sends.iter();
        let stuck: Vec<callers::Outcome> = probes
            .filter(|request_id| !self.may_be_claimed_by_lost_host(**request_id))
            .map(|request_id| self.callers.sent_requests[request_id].outcome)
            .filter(|got| *got != callers::Outcome::Answer)
            .collect();
        for got in stuck {
            self.fail(Violation::RefusedKeyIsStuck { got });
        }
    }

    /// Returns whether a lost host may hold the claim on a send's idempotency key: only the holder
    /// may release a claim, so this one is never released.
    fn may_be_claimed_by_lost_host(&self, request_id: event::RequestId) -> bool {
        let key = self.callers.key_of(request_id);
        self.callers.sent_requests.iter().any(|(other, sent)| {
            self.lost_generations.contains(&(sent.slot, sent.generation))
                && self.callers.key_of(*other) == key
        })
    }

    /// Checks that all hosts have the latest configuration.
    fn check_revisions(&mut self) {
        let revision = self.configuration_in_force().revision;
        for slot in 0..HOST_SLOTS {
            let host_revision = self.slots[slot].host.as_ref().map(toucanwall_core::Host::revision);
            if let Some(host) = host_revision.filter(|known| *known != revision) {
                self.fail(Violation::NotInForceEverywhere { revision, host });
            }
        }
    }

    /// Checks that each send got a final result.
    fn check_final_answers(&mut self) {
        let sends = self
            .callers
            .sent_requests
            .values()
            .filter(|sent| sent.outcome == callers::Outcome::Nothing)
            .count();
        if sends > 0 {
            self.fail(Violation::NoFinalAnswer { sends });
        }
    }

    /// Compares the totals of the ledger with a direct sum over the bills in its log.
    fn check_bills(&mut self) {
        let mut billed = collections::BTreeSet::new();
        let mut naive_cost = 0;
        let mut state_cost = 0;
        for shard in 0..LEDGER_SHARDS {
            let mut state = state::ShardState::default();
            for object in self.platform.objects_with_prefix(&owner::log_prefix(shard)) {
                let batch: entry::Batch =
                    postcard::from_bytes(&object.value).expect("the log object is a batch");
                state.apply(&batch);
                for entry in batch.entries {
                    let entry::Entry::Bill(bill) = entry else {
                        continue;
                    };
                    if billed.insert(bill.id) {
                        naive_cost += bill.cost_microcents;
                    }
                }
            }
            state_cost += state.totals().values().map(|total| total.cost_microcents).sum::<u64>();
        }
        if naive_cost != state_cost {
            let (naive, state) = (naive_cost, state_cost);
            self.fail(Violation::TotalsDiffer { naive, state });
        }
        self.check_each_request_billed(&billed);
    }

    /// Checks that each dispatched request has a bill, unless [`Self::may_be_unbilled`] permits it.
    fn check_each_request_billed(&mut self, billed: &collections::BTreeSet<entry::BillId>) {
        let mut unbilled = Vec::new();
        for sent in self.callers.sent_requests.values() {
            // A request that was refused after its dispatch was not executed and is not billed.
            let is_billable = sent.outcome != callers::Outcome::NotRun;
            if let Some(id) = sent.bill.filter(|id| is_billable && !billed.contains(id)) {
                unbilled.push((id, sent.outcome));
            }
        }
        for (id, got) in unbilled {
            let loss = self.lost_hosts.get(&id.host);
            let backup_holders = loss.and_then(|loss| loss.backup_holders.get(&id.number));
            self.trace_line(0, &format!("unbilled {id:?} kept by {backup_holders:?}"));
            if self.may_be_unbilled(id, got) {
                self.report.bills_lost_with_host += 1;
            } else {
                self.fail(Violation::Unbilled { got, id });
            }
        }
    }

    /// Returns whether a request may have no bill. Its host must have been lost, either together
    /// with every host that held a backup of the request, or while none did. In the second case
    /// the request must be unanswered, or the host must have counted answers without a backup.
    fn may_be_unbilled(&self, id: entry::BillId, got: callers::Outcome) -> bool {
        let Some(loss) = self.lost_hosts.get(&id.host) else { return false };
        let is_holder_lost = |holder: &identity::HostId| {
            self.lost_hosts
                .get(holder)
                .is_some_and(|other| other.at_ms.abs_diff(loss.at_ms) <= SIMULTANEOUS_LOSS_MS)
        };
        let Some(backup_holders) = loss.backup_holders.get(&id.number) else { return false };
        let has_backup = !backup_holders.is_empty();
        if has_backup {
            return backup_holders.iter().all(is_holder_lost);
        }
        got != callers::Outcome::Answer || loss.has_answered_without_backup
    }
}
