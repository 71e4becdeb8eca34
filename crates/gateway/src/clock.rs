//! The monotonic clock of the process.

use std::time;

use crate::rollouts;

/// Measures milliseconds since it was started; unaffected by changes of the system time.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    started: tokio::time::Instant,
}

impl Clock {
    /// Starts the clock at zero.
    #[must_use]
    pub fn start() -> Self {
        Self { started: tokio::time::Instant::now() }
    }

    /// Returns the milliseconds since the start.
    #[must_use]
    pub fn now_ms(self) -> u64 {
        u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    /// Returns the current time on the monotonic clock and as Unix time.
    #[must_use]
    pub fn now(self) -> rollouts::Timestamp {
        let since_epoch =
            time::SystemTime::now().duration_since(time::UNIX_EPOCH).unwrap_or_default();
        let unix_ms = u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX);
        rollouts::Timestamp { monotonic_ms: self.now_ms(), unix_ms }
    }

    /// Converts a reading of this clock to a [`tokio::time::Instant`].
    #[must_use]
    pub fn instant_at(self, at_ms: u64) -> tokio::time::Instant {
        self.started + time::Duration::from_millis(at_ms)
    }
}
