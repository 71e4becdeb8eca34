//! What must hold at every step and at the end.

use std::collections;

use toucanwall_coordination::identity;
use toucanwall_coordination::ledger::entry;
use toucanwall_coordination::ledger::owner;
use toucanwall_coordination::ledger::state;
use toucanwall_core::counter;
use toucanwall_core::event;

use super::SHARDS;
use super::SLOTS;
use super::World;
use super::callers;

/// Losses this close leave no time to copy or bill what was open, in milliseconds.
const LOST_TOGETHER_MS: u64 = 45_000;

/// Something that must hold and did not.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Violation {
    WithdrawnVersionDispatched { late_ms: u64 },
    LeavingServerDispatched { late_ms: u64 },
    SessionChangedVersion,
    TwoFinalAnswers { first: callers::Got, second: callers::Got },
    RevisionReverted { from: u64, to: u64 },
    InvariantBreach,
    StoppedWithOpenRequests { open: usize },
    EffectRepeated { key: String, times: u64 },
    NotRunButRan,
    RefusedKeyIsStuck { got: callers::Got },
    AnsweredButNoEffect,
    NotInForceEverywhere { revision: u64, host: u64 },
    NoFinalAnswer { sends: usize },
    Unbilled { got: callers::Got, id: entry::BillId },
    TotalsDiffer { naive: u64, state: u64 },
}

impl World {
    pub(super) fn violate(&mut self, violation: Violation) {
        self.trace_line(0, &format!("violation {violation:?}"));
        self.violations.push(violation);
    }

    pub(super) fn check_host(&mut self, slot: usize) {
        let known = self.slots[slot].revision;
        let Some(host) = &self.slots[slot].host else {
            return;
        };
        let revision = host.revision();
        let has_breach = host.counters().get(counter::Counter::InvariantBreaches) > 0;
        self.slots[slot].revision = revision;
        if revision < known {
            self.violate(Violation::RevisionReverted { from: known, to: revision });
        }
        if has_breach {
            self.violate(Violation::InvariantBreach);
        }
    }

    /// A planned stop cuts off no request.
    pub(super) fn check_stopped(&mut self, slot: usize) {
        let run = self.slots[slot].run;
        let open = self
            .callers
            .sends
            .values()
            .filter(|send| {
                send.slot == slot
                    && send.run == run
                    && send.is_delivered
                    && send.got == callers::Got::Nothing
            })
            .count();
        if open > 0 && self.slots[slot].is_stopping {
            self.violate(Violation::StoppedWithOpenRequests { open });
        }
    }

    pub(super) fn check_at_end(&mut self) {
        if !self.violations.is_empty() {
            return;
        }
        self.check_effects();
        self.check_refusals();
        self.check_last_tries();
        self.check_in_force();
        self.check_final_answers();
        self.check_bills();
        self.report.effects = self.backends.effects.values().sum();
    }

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

    fn check_refusals(&mut self) {
        let sends: Vec<_> = self.callers.sends.iter().map(|(t, s)| (*t, s.got)).collect();
        for (request_id, got) in sends {
            let has_run = self.backends.runs.contains_key(&request_id);
            match got {
                callers::Got::NotRun if has_run => self.violate(Violation::NotRunButRan),
                callers::Got::Answer if !has_run => self.violate(Violation::AnsweredButNoEffect),
                _ => {}
            }
        }
    }

    fn check_last_tries(&mut self) {
        let tries = self.callers.last_tries.iter();
        let stuck: Vec<callers::Got> = tries
            .filter(|request_id| !self.may_be_claimed_by_lost_host(**request_id))
            .map(|request_id| self.callers.sends[request_id].got)
            .filter(|got| *got != callers::Got::Answer)
            .collect();
        for got in stuck {
            self.violate(Violation::RefusedKeyIsStuck { got });
        }
    }

    /// Nobody but the holder of a claim may release it; a lost holder never will.
    fn may_be_claimed_by_lost_host(&self, request_id: event::RequestId) -> bool {
        let key = self.callers.key_of(request_id);
        self.callers.sends.iter().any(|(other, send)| {
            self.lost_runs.contains(&(send.slot, send.run)) && self.callers.key_of(*other) == key
        })
    }

    fn check_in_force(&mut self) {
        let revision = self.value_in_force().revision;
        for slot in 0..SLOTS {
            let known = self.slots[slot].host.as_ref().map(toucanwall_core::Host::revision);
            if let Some(host) = known.filter(|known| *known != revision) {
                self.violate(Violation::NotInForceEverywhere { revision, host });
            }
        }
    }

    fn check_final_answers(&mut self) {
        let sends = self.callers.sends.values().filter(|s| s.got == callers::Got::Nothing).count();
        if sends > 0 {
            self.violate(Violation::NoFinalAnswer { sends });
        }
    }

    /// Reads the whole log naively and compares.
    fn check_bills(&mut self) {
        let mut billed = collections::BTreeSet::new();
        let mut naive_cost = 0;
        let mut state_cost = 0;
        for shard in 0..SHARDS {
            let mut state = state::ShardState::default();
            for object in self.platform.under(&owner::log_prefix(shard)) {
                let batch: entry::Batch =
                    postcard::from_bytes(&object.value).expect("a batch decodes");
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
            state_cost += state.totals().values().map(|t| t.cost_microcents).sum::<u64>();
        }
        if naive_cost != state_cost {
            let (naive, state) = (naive_cost, state_cost);
            self.violate(Violation::TotalsDiffer { naive, state });
        }
        self.check_each_request_billed(&billed);
    }

    /// Each request that was dispatched has a bill, unless its host and backup were both lost.
    fn check_each_request_billed(&mut self, billed: &collections::BTreeSet<entry::BillId>) {
        let mut unbilled = Vec::new();
        for send in self.callers.sends.values() {
            // A request that was refused in the end never ran and is not billed.
            let is_billed = send.got != callers::Got::NotRun;
            if let Some(id) = send.bill.filter(|id| is_billed && !billed.contains(id)) {
                unbilled.push((id, send.got));
            }
        }
        for (id, got) in unbilled {
            let loss = self.lost.get(&id.host);
            let keepers = loss.and_then(|loss| loss.keepers.get(&id.number));
            self.trace_line(0, &format!("unbilled {id:?} kept by {keepers:?}"));
            if self.may_be_unbilled(id, got) {
                self.report.bills_lost_with_host += 1;
            } else {
                self.violate(Violation::Unbilled { got, id });
            }
        }
    }

    /// A request may go unbilled if its host was lost before it was answered, together with
    /// every host that kept a copy, or after it said that it answered without a copy.
    fn may_be_unbilled(&self, id: entry::BillId, got: callers::Got) -> bool {
        let Some(loss) = self.lost.get(&id.host) else { return false };
        let is_keeper_lost = |keeper: &identity::HostId| {
            self.lost
                .get(keeper)
                .is_some_and(|other| other.at_ms.abs_diff(loss.at_ms) <= LOST_TOGETHER_MS)
        };
        let Some(keepers) = loss.keepers.get(&id.number) else { return false };
        let is_copied = !keepers.is_empty();
        if is_copied {
            return keepers.iter().all(is_keeper_lost);
        }
        got != callers::Got::Answer || loss.has_answered_without_backup
    }
}
