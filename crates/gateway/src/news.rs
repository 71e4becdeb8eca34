//! What a host hears of the platform's store, from the store itself or through another host.

use serde::Deserialize;
use serde::Serialize;
use toucanwall_platform::object;

/// What a host hears of the platform's store.
#[derive(Debug, Clone)]
pub enum News {
    /// The whole list of a kind.
    Listed(Listing),
    /// Changes of a kind.
    Changed(Difference),
    /// The store does not answer.
    Outage(String),
    /// The store answers.
    Answered,
}

/// All objects of a kind.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub struct Listing {
    /// The kind.
    pub kind: object::Kind,
    /// The store's revision of the list.
    pub revision: u64,
    /// The objects.
    pub objects: Vec<object::Object>,
}

/// Changes of a kind from one revision to another.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub struct Difference {
    /// The kind.
    pub kind: object::Kind,
    /// The store's revision before them.
    pub after: u64,
    /// The store's revision with them.
    pub revision: u64,
    /// The changes in their order.
    pub changes: Vec<object::Change>,
}
