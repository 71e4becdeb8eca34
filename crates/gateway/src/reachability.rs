//! Reachability of the platform's store, shared by all tasks of this host that call it.

use std::sync::Arc;
use std::time;

use toucanwall_platform::object;
use toucanwall_policy::freshness;
use toucanwall_routing::position;

use crate::clock;

/// Time after an invalidation in which further ones are ignored, in milliseconds, since a single
/// cause breaks several calls at about the same time.
const INVALIDATION_DEBOUNCE_MS: u64 = 300;

/// Whether the store is reachable, and the epoch of the calls to it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Reachability {
    /// Whether the store answers calls.
    pub is_reachable: bool,
    /// Incremented whenever a pending call may have been lost; tasks then repeat their pending
    /// calls.
    pub epoch: u64,
}

/// Tracks the reachability of the store; clones share their state.
#[derive(Debug, Clone)]
pub struct Tracker {
    state: tokio::sync::watch::Sender<Reachability>,
    /// Start of the latest call that the store answered.
    answered_at: Arc<std::sync::Mutex<tokio::time::Instant>>,
    /// When pending calls were last invalidated.
    invalidated_at: Arc<std::sync::Mutex<Option<tokio::time::Instant>>>,
    clock: clock::Clock,
    /// What is known of each kind of object.
    freshness: Arc<std::sync::Mutex<freshness::Freshness<object::Kind>>>,
}

impl Tracker {
    /// Creates a tracker that assumes that the store is reachable. What is not confirmed for
    /// `max_age_ms` is taken to be outdated.
    #[must_use]
    pub fn new(clock: clock::Clock, max_age_ms: u64) -> Self {
        let (state, _) = tokio::sync::watch::channel(Reachability { is_reachable: true, epoch: 0 });
        Self {
            state,
            answered_at: Arc::new(std::sync::Mutex::new(tokio::time::Instant::now())),
            invalidated_at: Arc::new(std::sync::Mutex::new(None)),
            clock,
            freshness: Arc::new(std::sync::Mutex::new(freshness::Freshness::new(max_age_ms))),
        }
    }

    /// Whether the store is reachable.
    #[must_use]
    pub fn is_reachable(&self) -> bool {
        self.state.borrow().is_reachable
    }

    /// Time since the start of the latest call that the store answered.
    #[must_use]
    pub fn answer_age(&self) -> time::Duration {
        self.lock_answered_at().elapsed()
    }

    /// Records that the store answered a call that was made at `called_at`.
    pub fn record_answer(&self, called_at: tokio::time::Instant) {
        *self.lock_answered_at() = called_at;
    }

    /// Subscribes to changes of the reachability.
    #[must_use]
    pub fn subscribe(&self) -> tokio::sync::watch::Receiver<Reachability> {
        self.state.subscribe()
    }

    /// Records whether the store is reachable and returns whether that has changed.
    pub fn set_reachable(&self, is_reachable: bool) -> bool {
        self.state.send_if_modified(|state| {
            let has_changed = state.is_reachable != is_reachable;
            // Calls that were pending while the store was unreachable may never be answered.
            state.epoch += u64::from(has_changed && is_reachable);
            state.is_reachable = is_reachable;
            has_changed
        })
    }

    /// Makes tasks repeat their pending calls, since one of them was lost.
    pub fn invalidate_pending_calls(&self) {
        let now = tokio::time::Instant::now();
        let mut invalidated_at =
            self.invalidated_at.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        let is_recent = invalidated_at
            .is_some_and(|at| now < at + time::Duration::from_millis(INVALIDATION_DEBOUNCE_MS));
        if !is_recent {
            *invalidated_at = Some(now);
            self.state.send_modify(|state| state.epoch += 1);
        }
    }

    fn lock_answered_at(&self) -> std::sync::MutexGuard<'_, tokio::time::Instant> {
        self.answered_at.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// Records that the objects of a kind were listed, or that the waiting call has answered. It then
    /// tells of changes within `max_lag_ms`.
    pub fn record_kind(&self, kind: object::Kind, position: position::Position, max_lag_ms: u64) {
        self.lock_freshness().record_answer(kind, position, max_lag_ms, self.clock.now_ms());
    }

    /// Records that nothing is known of a kind until its objects are listed.
    pub fn forget_kind(&self, kind: object::Kind) {
        self.lock_freshness().forget(kind);
    }

    /// Position up to which the waiting call of a kind has told of changes.
    #[must_use]
    pub fn known_position(&self, kind: object::Kind) -> Option<position::Position> {
        self.lock_freshness().known(kind)
    }

    /// All kinds of which something is known, with the positions up to which it is.
    #[must_use]
    pub fn known_kinds(&self) -> Vec<(object::Kind, position::Position)> {
        self.lock_freshness().all_known()
    }

    /// Records that the store is at a position; returns the kinds that this does not confirm, with the
    /// positions up to which they are known.
    #[must_use]
    pub fn record_position(
        &self,
        store: position::Position,
    ) -> Vec<(object::Kind, position::Position)> {
        self.lock_freshness().record_position(store, self.clock.now_ms())
    }

    /// Records a check for changes of a kind after the position `base`.
    #[must_use]
    pub fn record_check(
        &self,
        kind: object::Kind,
        base: position::Position,
        check: freshness::Check,
    ) -> freshness::Verdict {
        self.lock_freshness().record_check(kind, base, check, self.clock.now_ms())
    }

    /// When a kind has to be checked again that a check has found changed.
    #[must_use]
    pub fn next_check(&self) -> Option<tokio::time::Instant> {
        self.lock_freshness().next_check_ms().map(|at_ms| self.clock.instant_at(at_ms))
    }

    fn lock_freshness(&self) -> std::sync::MutexGuard<'_, freshness::Freshness<object::Kind>> {
        self.freshness.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}
