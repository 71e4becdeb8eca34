//! Interface to the platform: the versioned object store that the deployment already runs.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

/// Version of one object, or a position in the store's change stream.
pub type Version = u64;

/// A call to the object store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Call {
    /// Creates an object if its key does not exist.
    Create {
        /// Key of the object.
        key: String,
        /// Value of the object.
        value: Arc<[u8]>,
    },
    /// Replaces an object if its current version is the given one.
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
    /// Lists objects in key order.
    List {
        /// Prefix of the keys.
        prefix: String,
        /// Lists only keys that sort after this one.
        after: String,
        /// Maximum number of objects to return.
        limit: u32,
    },
    /// Waits for changes under a prefix, then lists the changed objects.
    Watch {
        /// Prefix of the keys.
        prefix: String,
        /// Returns only changes after this version.
        after: Version,
        /// Longest time to wait for a change, in milliseconds.
        wait_ms: u64,
    },
}

/// An object as read from the store.
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

/// The reply to a [`Call`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Reply {
    /// The object was created or replaced.
    Written {
        /// Its new version.
        version: Version,
    },
    /// The condition did not hold; nothing was written by this call.
    Conflict,
    /// The current object.
    Found(Object),
    /// The object does not exist.
    Absent,
    /// Listed objects, and the version of the store at the time of the read.
    Listing {
        /// The objects in key order.
        objects: Vec<Object>,
        /// The version of the store.
        version: Version,
    },
    /// Indefinite result, such as a timeout: the call may or may not have taken effect.
    Unknown,
}
