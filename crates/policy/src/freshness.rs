//! Whether a host still knows the latest state of each kind of object in the store.
//!
//! A host waits for changes of each kind in a call of its own, and a call whose answer is lost looks
//! like one without changes. So silence shows nothing: each kind has to be confirmed by a call that
//! could have failed. All objects share one counter of revisions, and each answer of the store states
//! it. One cheap call therefore confirms all kinds while nothing changes; after a change, the kinds that
//! the answer does not confirm are checked one by one.

use std::collections;

use toucanwall_routing::position;

/// What a host knows of each kind of object, and since when.
#[derive(Debug)]
pub struct Freshness<K> {
    /// Time without confirmation after which a kind is taken to be outdated, in milliseconds.
    max_age_ms: u64,
    kinds: collections::BTreeMap<K, Knowledge>,
}

#[derive(Debug)]
struct Knowledge {
    /// Position up to which the waiting call has told of changes.
    known: position::Position,
    /// Position up to which there are no other changes.
    confirmed: position::Position,
    /// When the kind was last confirmed, in milliseconds.
    confirmed_ms: u64,
    /// Time that the waiting call has to tell of a change that a check shows, in milliseconds.
    max_lag_ms: u64,
    /// When a check first showed changes that the waiting call has not told of, in milliseconds.
    lags_since_ms: Option<u64>,
}

/// What a check of one kind showed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Check {
    /// There are no changes up to this position.
    Unchanged(position::Position),
    /// There are changes, or the store no longer knows them.
    Changed,
    /// The store did not answer.
    Unanswered,
}

/// What follows from a check.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The host knows the latest state.
    Confirmed(position::Position),
    /// The waiting call may still tell of the changes.
    Pending,
    /// The waiting call is lost: the objects have to be listed again.
    Lost,
}

impl<K> Freshness<K>
where
    K: Copy + Ord,
{
    /// Creates a record of a host that knows nothing; a kind that is not confirmed for `max_age_ms` is
    /// taken to be outdated.
    #[must_use]
    pub fn new(max_age_ms: u64) -> Self {
        Self { max_age_ms, kinds: collections::BTreeMap::new() }
    }

    /// Records that the objects of a kind were listed, or that the waiting call has answered. It then
    /// tells of changes within `max_lag_ms`.
    pub fn record_answer(
        &mut self,
        kind: K,
        position: position::Position,
        max_lag_ms: u64,
        now_ms: u64,
    ) {
        let confirmed = self.kinds.get(&kind).map_or(position, |known| known.confirmed);
        let knowledge = Knowledge {
            known: position,
            confirmed: confirmed.max(position),
            confirmed_ms: now_ms,
            max_lag_ms,
            lags_since_ms: None,
        };
        self.kinds.insert(kind, knowledge);
    }

    /// Records that nothing is known of a kind until its objects are listed.
    pub fn forget(&mut self, kind: K) {
        self.kinds.remove(&kind);
    }

    /// Position up to which the waiting call of a kind has told of changes.
    #[must_use]
    pub fn known(&self, kind: K) -> Option<position::Position> {
        self.kinds.get(&kind).map(|knowledge| knowledge.known)
    }

    /// Records that the store is at a position; returns the kinds that this does not confirm, with the
    /// positions up to which they are known.
    pub fn record_position(
        &mut self,
        store: position::Position,
        now_ms: u64,
    ) -> Vec<(K, position::Position)> {
        let mut unconfirmed = Vec::new();
        for (kind, knowledge) in &mut self.kinds {
            if knowledge.confirmed < store {
                unconfirmed.push((*kind, knowledge.known));
            } else if knowledge.confirmed == store {
                knowledge.confirmed_ms = now_ms;
            }
        }
        unconfirmed
    }

    /// Records a check for changes of a kind after the position `base`.
    pub fn record_check(
        &mut self,
        kind: K,
        base: position::Position,
        check: Check,
        now_ms: u64,
    ) -> Verdict {
        let max_age_ms = self.max_age_ms;
        let Some(knowledge) = self.kinds.get_mut(&kind) else { return Verdict::Pending };
        if knowledge.known != base {
            // The waiting call has answered in the meantime.
            return Verdict::Pending;
        }
        match check {
            Check::Unchanged(position) => {
                knowledge.confirmed = knowledge.confirmed.max(position);
                knowledge.confirmed_ms = now_ms;
                knowledge.lags_since_ms = None;
                Verdict::Confirmed(knowledge.confirmed)
            }
            Check::Changed => {
                let since_ms = *knowledge.lags_since_ms.get_or_insert(now_ms);
                if now_ms < since_ms + knowledge.max_lag_ms {
                    return Verdict::Pending;
                }
                self.kinds.remove(&kind);
                Verdict::Lost
            }
            Check::Unanswered if now_ms < knowledge.confirmed_ms + max_age_ms => Verdict::Pending,
            Check::Unanswered => {
                self.kinds.remove(&kind);
                Verdict::Lost
            }
        }
    }

    /// All kinds of which something is known, with the positions up to which it is.
    #[must_use]
    pub fn all_known(&self) -> Vec<(K, position::Position)> {
        self.kinds.iter().map(|(kind, knowledge)| (*kind, knowledge.known)).collect()
    }

    /// When a kind has to be checked again that a check has found changed, in milliseconds.
    #[must_use]
    pub fn next_check_ms(&self) -> Option<u64> {
        let lagging = self.kinds.values();
        lagging.filter_map(|it| it.lags_since_ms.map(|since_ms| since_ms + it.max_lag_ms)).min()
    }
}
