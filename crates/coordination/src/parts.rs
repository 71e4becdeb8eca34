//! A configuration split into keyed parts, so that only the changed parts are replicated.

use std::collections;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

/// The parts of a configuration: serialised text keyed by `section/name`.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Parts(pub collections::BTreeMap<Arc<str>, Arc<str>>);

/// The difference between two sets of parts.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Difference {
    /// Parts that were added or whose text changed.
    pub set: collections::BTreeMap<Arc<str>, Arc<str>>,
    /// Keys of the removed parts.
    pub removed: collections::BTreeSet<Arc<str>>,
}

impl Parts {
    /// Computes the difference that turns `self` into `next`.
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

    /// Applies a difference to these parts.
    pub fn apply(&mut self, difference: &Difference) {
        for key in &difference.removed {
            self.0.remove(key);
        }
        for (key, text) in &difference.set {
            self.0.insert(Arc::clone(key), Arc::clone(text));
        }
    }

    /// Hashes all keys and texts; equal sets of parts have equal digests.
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
    /// Returns whether the difference changes nothing.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.set.is_empty() && self.removed.is_empty()
    }
}
