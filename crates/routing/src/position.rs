//! Positions in the history of the platform's store.

use std::num;

use serde::Deserialize;
use serde::Serialize;

/// A part of the store's history without a loss. A store that is restored from a copy begins a new
/// era, in which it gives out revisions of the earlier one again.
///
/// Zero stands for the era of a store, or of a host of an earlier build, that states none.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct Era(u64);

/// A point in the history of the store. The order of positions is that of the history: each of a
/// later era follows all of an earlier one.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub struct Position {
    /// The era.
    #[serde(default, skip_serializing_if = "Era::is_unstated")]
    pub era: Era,
    /// Revision of the store within the era.
    pub revision: u64,
}

/// A text that names no era.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(thiserror::Error)]
#[error("`{text}` is not the number of an era: {error}")]
pub struct EraError {
    text: String,
    error: num::ParseIntError,
}

impl Era {
    /// Whether no era was stated.
    #[must_use]
    pub fn is_unstated(&self) -> bool {
        self.0 == 0
    }

    /// The number of the era.
    #[must_use]
    pub fn number(self) -> u64 {
        self.0
    }
}

impl TryFrom<&str> for Era {
    type Error = EraError;

    fn try_from(text: &str) -> Result<Self, Self::Error> {
        let number = text.trim().parse();
        number.map(Self).map_err(|error| EraError { text: text.to_owned(), error })
    }
}

impl Position {
    /// The point at a revision of an era.
    #[must_use]
    pub fn new(era: Era, revision: u64) -> Self {
        Self { era, revision }
    }
}
