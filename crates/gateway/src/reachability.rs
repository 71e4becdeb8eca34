//! Reachability of the platform's store, shared by all tasks of this host that call it.

use std::sync::Arc;
use std::time;

use toucanwall_routing::position;

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
    /// Position up to which changes of the configuration are known; `None` before the first list.
    configuration_position: Arc<std::sync::Mutex<Option<position::Position>>>,
}

impl Tracker {
    /// Creates a tracker that assumes that the store is reachable.
    #[must_use]
    pub fn new() -> Self {
        let (state, _) = tokio::sync::watch::channel(Reachability { is_reachable: true, epoch: 0 });
        Self {
            state,
            answered_at: Arc::new(std::sync::Mutex::new(tokio::time::Instant::now())),
            invalidated_at: Arc::new(std::sync::Mutex::new(None)),
            configuration_position: Arc::default(),
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

    /// Records the position up to which changes of the configuration are known.
    pub fn set_configuration_position(&self, position: Option<position::Position>) {
        *self.lock_configuration_position() = position;
    }

    /// Position up to which changes of the configuration are known; `None` before the first list.
    #[must_use]
    pub fn configuration_position(&self) -> Option<position::Position> {
        *self.lock_configuration_position()
    }

    fn lock_configuration_position(&self) -> std::sync::MutexGuard<'_, Option<position::Position>> {
        self.configuration_position.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}

impl Default for Tracker {
    fn default() -> Self {
        Self::new()
    }
}
