//! Calls to the object store that the deployment already runs.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

/// Version of one object, or position in the store's stream of changes.
pub type Version = u64;

/// A call to the object store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Call {
    /// Creates an object unless the key exists.
    Create {
        /// Key of the object.
        key: String,
        /// Value of the object.
        value: Arc<[u8]>,
    },
    /// Replaces an object if it still has the given version.
    Update {
        /// Key of the object.
        key: String,
        /// Version that the object must have.
        version: Version,
        /// New value.
        value: Arc<[u8]>,
    },
    /// Reads one object.
    Read {
        /// Key of the object.
        key: String,
    },
    /// Reads objects in the order of their keys.
    List {
        /// Prefix of the keys.
        prefix: String,
        /// Only keys after this one.
        after: String,
        /// Most objects to return.
        limit: u32,
    },
    /// Waits for a change under a prefix, then lists what is after a key.
    Watch {
        /// Prefix of the keys.
        prefix: String,
        /// Only changes after this version.
        after: Version,
        /// Longest wait in milliseconds.
        wait_ms: u64,
    },
}

/// An object as listed.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Object {
    /// Key of the object.
    pub key: String,
    /// Version of the object.
    pub version: Version,
    /// Value of the object; empty if it was deleted.
    pub value: Arc<[u8]>,
}

/// The answer to a [`Call`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Reply {
    /// The object was created or replaced.
    Written {
        /// Its version now.
        version: Version,
    },
    /// The condition did not hold; nothing was written by this call.
    Conflict,
    /// The object as it is.
    Found(Object),
    /// There is no such object.
    Absent,
    /// Objects, and the store's version when it was read.
    Listing {
        /// The objects in the order of their keys.
        objects: Vec<Object>,
        /// The store's version.
        version: Version,
    },
    /// No definite answer: the call may or may not have taken effect.
    Unknown,
}
