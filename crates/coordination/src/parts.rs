//! A replicated value cut into parts, so that only what changed has to travel.

use std::collections;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

/// Texts keyed by `section/name`.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Parts(pub collections::BTreeMap<Arc<str>, Arc<str>>);

/// The difference between two values.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Difference {
    /// Parts that are new or have a new text.
    pub set: collections::BTreeMap<Arc<str>, Arc<str>>,
    /// Keys of parts that are gone.
    pub removed: collections::BTreeSet<Arc<str>>,
}

impl Parts {
    /// What leads from `self` to `next`.
    #[must_use]
    pub fn difference_to(&self, next: &Self) -> Difference {
        Difference {
            set: next
                .0
                .iter()
                .filter(|(key, text)| self.0.get(*key) != Some(*text))
                .map(|(key, text)| (Arc::clone(key), Arc::clone(text)))
                .collect(),
            removed: self.0.keys().filter(|key| !next.0.contains_key(*key)).cloned().collect(),
        }
    }

    /// Applies a difference.
    pub fn apply(&mut self, difference: &Difference) {
        for key in &difference.removed {
            self.0.remove(key);
        }
        for (key, text) in &difference.set {
            self.0.insert(Arc::clone(key), Arc::clone(text));
        }
    }

    /// A digest of all parts; equal values have equal digests.
    #[must_use]
    pub fn digest(&self) -> u64 {
        let mut hasher = xxhash_rust::xxh3::Xxh3::new();
        for (key, text) in &self.0 {
            hasher.update(key.as_bytes());
            hasher.update(&[0]);
            hasher.update(text.as_bytes());
            hasher.update(&[0]);
        }
        hasher.digest()
    }
}

impl Difference {
    /// Whether nothing changes.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.set.is_empty() && self.removed.is_empty()
    }
}
