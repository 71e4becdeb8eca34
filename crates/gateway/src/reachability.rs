//! Whether the platform's store answers this host, as all that call it share it.

use std::sync::Arc;
use std::sync::atomic;
use std::time;

/// Time in which several signs of lost calls count as one, in milliseconds: one cause breaks several
/// calls at a time.
const DOUBT_MS: u64 = 300;

/// Whether the store answers, and since when its answers can be relied on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Reachability {
    /// Whether it answers.
    pub is_up: bool,
    /// Raised whenever a call that waits may have been lost; such calls are made anew.
    pub epoch: u64,
}

/// What is known of the store's reach; clones share it.
#[derive(Debug, Clone)]
pub struct Tracker {
    reach: tokio::sync::watch::Sender<Reachability>,
    /// When the newest call that the store answered was made.
    answered_at: Arc<std::sync::Mutex<tokio::time::Instant>>,
    /// When the epoch was last raised.
    doubted_at: Arc<std::sync::Mutex<Option<tokio::time::Instant>>>,
    /// Revision up to which the changes of the configuration are known; zero before the first.
    configuration_revision: Arc<atomic::AtomicU64>,
}

impl Tracker {
    /// A store that is taken to answer.
    #[must_use]
    pub fn new() -> Self {
        let (reach, _) = tokio::sync::watch::channel(Reachability { is_up: true, epoch: 0 });
        Self {
            reach,
            answered_at: Arc::new(std::sync::Mutex::new(tokio::time::Instant::now())),
            doubted_at: Arc::new(std::sync::Mutex::new(None)),
            configuration_revision: Arc::new(atomic::AtomicU64::new(0)),
        }
    }

    /// Whether the store answers.
    #[must_use]
    pub fn is_up(&self) -> bool {
        self.reach.borrow().is_up
    }

    /// Time since the newest call that the store answered was made.
    #[must_use]
    pub fn age(&self) -> time::Duration {
        self.lock_answered().elapsed()
    }

    /// Notes that the store answered a call that was made at a moment.
    pub fn answered(&self, called_at: tokio::time::Instant) {
        *self.lock_answered() = called_at;
    }

    /// Hears of changes.
    #[must_use]
    pub fn subscribe(&self) -> tokio::sync::watch::Receiver<Reachability> {
        self.reach.subscribe()
    }

    /// Notes whether the store answers; returns whether that is news.
    pub fn set_up(&self, is_up: bool) -> bool {
        self.reach.send_if_modified(|reach| {
            let has_changed = reach.is_up != is_up;
            // What waited while the store was away may never be answered.
            reach.epoch += u64::from(has_changed && is_up);
            reach.is_up = is_up;
            has_changed
        })
    }

    /// Has every call that waits made anew, since one of them was lost.
    pub fn doubt(&self) {
        let now = tokio::time::Instant::now();
        let mut doubted_at =
            self.doubted_at.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        let is_recent =
            doubted_at.is_some_and(|at| now < at + time::Duration::from_millis(DOUBT_MS));
        if !is_recent {
            *doubted_at = Some(now);
            self.reach.send_modify(|reach| reach.epoch += 1);
        }
    }

    fn lock_answered(&self) -> std::sync::MutexGuard<'_, tokio::time::Instant> {
        self.answered_at.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// Notes up to which revision the changes of the configuration are known.
    pub fn set_configuration_revision(&self, revision: u64) {
        self.configuration_revision.store(revision, atomic::Ordering::Relaxed);
    }

    /// Revision up to which the changes of the configuration are known; zero before the first.
    #[must_use]
    pub fn configuration_revision(&self) -> u64 {
        self.configuration_revision.load(atomic::Ordering::Relaxed)
    }
}

impl Default for Tracker {
    fn default() -> Self {
        Self::new()
    }
}
