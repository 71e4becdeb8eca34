//! The roll-outs that a host knows, with the progress that the store may have lost.

use std::collections;
use std::sync::Arc;

use crate::name;
use crate::rollout;

/// The roll-outs of all services as one host knows them.
///
/// A store that is restored from a copy may show an earlier state of a roll-out, an earlier order or
/// none, until the order and its status are written again. A roll-out that was decided does not begin
/// again meanwhile.
#[derive(Debug, Default)]
pub struct RolloutLog {
    entries: collections::BTreeMap<name::ServiceName, Entry>,
    /// Roll-outs that were known when the store was restored and that it has not shown since.
    carried: collections::BTreeMap<name::ServiceName, Carried>,
}

#[derive(Debug)]
struct Entry {
    rollout: Arc<rollout::Rollout>,
    /// The state that the store shows.
    stored_state: rollout::State,
    /// The order that this one replaced.
    previous: Option<Arc<rollout::Rollout>>,
}

#[derive(Debug)]
struct Carried {
    rollout: Arc<rollout::Rollout>,
    previous: Option<Arc<rollout::Rollout>>,
    /// Until when the order is expected to be written again, in milliseconds.
    until_ms: u64,
}

impl RolloutLog {
    /// Adds or replaces the roll-out of a service, as the store shows it.
    pub fn put(&mut self, rollout: rollout::Rollout) {
        let service = rollout.service.clone();
        if let Some(carried) = self.carried.remove(&service) {
            if carried.is_earlier_order(&rollout) {
                self.carried.insert(service, carried);
                return;
            }
            let entry = Entry {
                stored_state: carried.rollout.state,
                rollout: carried.rollout,
                previous: carried.previous,
            };
            self.entries.insert(service.clone(), entry);
        }
        let stored_state = rollout.state;
        let known = self.entries.remove(&service);
        let (rollout, previous) = match known {
            Some(known) if rollout.continues(&known.rollout) => {
                (rollout.with_progress_of(&known.rollout), known.previous)
            }
            Some(known) => (rollout, Some(known.rollout)),
            None => (rollout, None),
        };
        let entry = Entry { rollout: Arc::new(rollout), stored_state, previous };
        self.entries.insert(service, entry);
    }

    /// Replaces all roll-outs by those that the store shows.
    pub fn replace(&mut self, rollouts: Vec<rollout::Rollout>) {
        let is_listed =
            |service: &name::ServiceName| rollouts.iter().any(|it| it.service == *service);
        self.entries.retain(|service, _| is_listed(service));
        for rollout in rollouts {
            self.put(rollout);
        }
    }

    /// Handles the removal of a service's roll-out, which is a decision of the operator.
    pub fn remove(&mut self, service: &str) {
        self.entries.remove(service);
        self.carried.remove(service);
    }

    /// Keeps all roll-outs although the store may no longer show them: each for its duration, and for
    /// at least `min_ms`.
    pub fn store_restored(&mut self, now_ms: u64, min_ms: u64) {
        for (service, entry) in std::mem::take(&mut self.entries) {
            let kept_ms = entry.rollout.duration_ms.max(min_ms);
            let until_ms = now_ms.saturating_add(kept_ms);
            let Entry { rollout, previous, .. } = entry;
            self.carried.insert(service, Carried { rollout, previous, until_ms });
        }
    }

    /// Drops the roll-outs that the store has not shown again in time; returns their services.
    pub fn tick(&mut self, now_ms: u64) -> Vec<name::ServiceName> {
        let expired = self.carried.iter().filter(|(_, carried)| now_ms >= carried.until_ms);
        let expired: Vec<_> = expired.map(|(service, _)| service.clone()).collect();
        self.carried.retain(|_, carried| now_ms < carried.until_ms);
        expired
    }

    /// The version that a service's roll-out is about.
    #[must_use]
    pub fn target_of(&self, service: &name::ServiceName) -> Option<&name::Version> {
        let entry = self.entries.get(service).map(|entry| &entry.rollout);
        let rollout = entry.or_else(|| self.carried.get(service).map(|it| &it.rollout));
        rollout.map(|rollout| &rollout.target)
    }

    /// The roll-outs by service.
    #[must_use]
    pub fn all(&self) -> collections::BTreeMap<name::ServiceName, Arc<rollout::Rollout>> {
        let carried =
            self.carried.iter().map(|(service, it)| (service.clone(), Arc::clone(&it.rollout)));
        let entries =
            self.entries.iter().map(|(service, it)| (service.clone(), Arc::clone(&it.rollout)));
        entries.chain(carried).collect()
    }

    /// The roll-outs of which the store shows less progress than this host knows.
    pub fn unstored(&self) -> impl Iterator<Item = &Arc<rollout::Rollout>> {
        let behind = self.entries.values().filter(|it| it.stored_state != it.rollout.state);
        behind.map(|entry| &entry.rollout)
    }
}

impl Carried {
    /// Whether the store shows the order before this one, which the copy still held.
    fn is_earlier_order(&self, shown: &rollout::Rollout) -> bool {
        !shown.continues(&self.rollout)
            && self.previous.as_ref().is_some_and(|previous| {
                previous.target == shown.target
                    && previous.order.revision == shown.order.revision
                    && previous.duration_ms == shown.duration_ms
            })
    }
}
