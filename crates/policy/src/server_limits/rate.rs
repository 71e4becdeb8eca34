//! Rates of requests.

use serde::Deserialize;
use serde::Serialize;

/// Highest rate, in requests in a thousand seconds; no server reaches it.
const MAX_PER_1000_S: u64 = 1_000_000_000;

/// A number of requests per time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct Rate {
    /// Requests in a thousand seconds.
    per_1000_s: u64,
}

impl Rate {
    /// Creates a rate of requests in a thousand seconds; one that no server reaches is lowered to a
    /// million a second.
    #[must_use]
    pub const fn from_per_1000_s(per_1000_s: u64) -> Self {
        if per_1000_s > MAX_PER_1000_S {
            return Self { per_1000_s: MAX_PER_1000_S };
        }
        Self { per_1000_s }
    }

    /// Requests in a thousand seconds.
    #[must_use]
    pub const fn per_1000_s(self) -> u64 {
        self.per_1000_s
    }

    /// The rate in millionths of a request per millisecond.
    pub(super) const fn micro_per_ms(self) -> u64 {
        self.per_1000_s
    }
}
