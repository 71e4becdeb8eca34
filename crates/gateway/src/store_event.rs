//! Events from the platform's store, received from the store itself or through a relay.

use serde::Deserialize;
use serde::Serialize;
use toucanwall_platform::object;

/// An event from the platform's store.
#[derive(Debug, Clone)]
pub enum Event {
    /// The complete list of the objects of a kind.
    Listed(Listing),
    /// Changes to objects of a kind.
    Changed(ChangeSet),
    /// The store does not respond, for the given reason.
    Unavailable(String),
    /// The store responds.
    Available,
}

/// All objects of a kind, at one revision of the store.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub struct Listing {
    /// Kind of the objects.
    pub kind: object::Kind,
    /// Store revision of the list.
    pub revision: u64,
    /// The listed objects.
    pub objects: Vec<object::Object>,
}

/// Changes to objects of a kind between two revisions of the store.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub struct ChangeSet {
    /// Kind of the objects.
    pub kind: object::Kind,
    /// Store revision before the changes.
    #[serde(rename = "after")]
    pub base_revision: u64,
    /// Store revision after the changes.
    pub revision: u64,
    /// The changes, in the order in which the store made them.
    pub changes: Vec<object::Change>,
}
