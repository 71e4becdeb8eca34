//! The steady clock of one process.

use std::time;

use crate::rollouts;

/// Milliseconds since the start of the process; not moved by changes of the time of day.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    started: tokio::time::Instant,
}

impl Clock {
    /// Starts at zero.
    #[must_use]
    pub fn start() -> Self {
        Self { started: tokio::time::Instant::now() }
    }

    /// Milliseconds since the start.
    #[must_use]
    pub fn now_ms(self) -> u64 {
        u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    /// This moment on the steady clock and by the time of day.
    #[must_use]
    pub fn now(self) -> rollouts::Now {
        let since = time::SystemTime::now().duration_since(time::UNIX_EPOCH).unwrap_or_default();
        let unix_ms = u64::try_from(since.as_millis()).unwrap_or(u64::MAX);
        rollouts::Now { steady_ms: self.now_ms(), unix_ms }
    }

    /// The moment that lies `at_ms` after the start.
    #[must_use]
    pub fn instant_at(self, at_ms: u64) -> tokio::time::Instant {
        self.started + time::Duration::from_millis(at_ms)
    }
}
