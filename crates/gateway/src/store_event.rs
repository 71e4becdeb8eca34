//! What a host hears of the platform's store, from the store itself or through another host.

use serde::Deserialize;
use serde::Serialize;
use toucanwall_platform::object;

/// What a host hears of the platform's store.
#[derive(Debug, Clone)]
pub enum StoreEvent {
    /// The whole list of a kind.
    Listed(Listing),
    /// Changes of a kind.
    Changed(ChangeSet),
    /// The store does not answer.
    Unavailable(String),
    /// The store answers.
    Available,
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
pub struct ChangeSet {
    /// The kind.
    pub kind: object::Kind,
    /// The store's revision before them.
    pub after: u64,
    /// The store's revision with them.
    pub revision: u64,
    /// The changes in their order.
    pub changes: Vec<object::Change>,
}
