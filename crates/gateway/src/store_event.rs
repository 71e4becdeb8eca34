//! Events from the platform's store, received from the store itself or through a relay.

use serde::Deserialize;
use serde::Serialize;
use toucanwall_platform::object;
use toucanwall_routing::position;

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

/// All objects of a kind, at one position of the store.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub struct Listing {
    /// Kind of the objects.
    pub kind: object::Kind,
    /// Position of the list.
    #[serde(flatten)]
    pub position: position::Position,
    /// The listed objects.
    pub objects: Vec<object::Object>,
}

/// Changes to objects of a kind between two positions of the store, which are of the same era.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub struct ChangeSet {
    /// Kind of the objects.
    pub kind: object::Kind,
    /// Store revision before the changes.
    #[serde(rename = "after")]
    pub base_revision: u64,
    /// Position after the changes.
    #[serde(flatten)]
    pub position: position::Position,
    /// The changes, in the order in which the store made them.
    pub changes: Vec<object::Change>,
}

impl ChangeSet {
    /// Tells that a kind has not changed between two positions.
    #[must_use]
    pub fn unchanged(
        kind: object::Kind,
        base: position::Position,
        position: position::Position,
    ) -> Self {
        Self { kind, base_revision: base.revision, position, changes: Vec::new() }
    }
}

impl Event {
    /// States the era of an event from a relay of an earlier build, which states none.
    pub fn assume_era(&mut self, era: position::Era) {
        let position = match self {
            Self::Listed(listing) => &mut listing.position,
            Self::Changed(change_set) => &mut change_set.position,
            Self::Unavailable(_) | Self::Available => return,
        };
        if position.era.is_unstated() {
            position.era = era;
        }
    }

    /// Position of the store that the event tells of.
    #[must_use]
    pub fn position(&self) -> Option<position::Position> {
        match self {
            Self::Listed(listing) => Some(listing.position),
            Self::Changed(change_set) => Some(change_set.position),
            Self::Unavailable(_) | Self::Available => None,
        }
    }
}
