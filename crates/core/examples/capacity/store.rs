//! An in-memory object store that stands in for the platform.

use std::collections;
use std::sync::Arc;

use toucanwall_coordination::platform;

/// The stored objects and the number of calls.
#[derive(Debug, Default)]
pub struct Store {
    version: u64,
    objects: collections::BTreeMap<String, (u64, Arc<[u8]>)>,
    /// Number of create and update calls.
    pub writes: u64,
    /// Number of read, list and watch calls.
    pub reads: u64,
    /// Whether every call ends without a reply.
    pub is_unavailable: bool,
}

impl Store {
    /// Stores an object unconditionally.
    pub fn put(&mut self, key: &str, value: Arc<[u8]>) {
        self.version += 1;
        self.objects.insert(key.to_owned(), (self.version, value));
    }

    /// Executes a call; returns `None` if it is a watch without new objects, which has to wait.
    pub fn execute(&mut self, call: &platform::Call) -> Option<platform::Reply> {
        if self.is_unavailable {
            return Some(platform::Reply::Unknown);
        }
        Some(match call {
            platform::Call::Create { key, value } => self.write(key, None, value),
            platform::Call::Update { key, version, value } => {
                self.write(key, Some(*version), value)
            }
            platform::Call::Read { key } => match self.objects.get(key) {
                Some((version, value)) => platform::Reply::Found(platform::Object {
                    key: key.clone(),
                    version: *version,
                    value: Arc::clone(value),
                }),
                None => platform::Reply::Absent,
            },
            platform::Call::List { prefix, after, limit } => {
                let objects = self.objects_with_prefix(
                    prefix,
                    |key, _| key > after.as_str(),
                    *limit as usize,
                );
                platform::Reply::Listing { objects, version: self.version }
            }
            platform::Call::Watch { prefix, after, .. } => {
                let objects =
                    self.objects_with_prefix(prefix, |_, version| version > *after, usize::MAX);
                if objects.is_empty() {
                    return None;
                }
                platform::Reply::Listing { objects, version: self.version }
            }
        })
    }

    /// Returns the reply to a watch that ended without new objects.
    pub fn empty_listing(&self) -> platform::Reply {
        platform::Reply::Listing { objects: Vec::new(), version: self.version }
    }

    fn write(
        &mut self,
        key: &str,
        expected_version: Option<u64>,
        value: &Arc<[u8]>,
    ) -> platform::Reply {
        if self.objects.get(key).map(|(version, _)| *version) != expected_version {
            return platform::Reply::Conflict;
        }
        self.put(key, Arc::clone(value));
        platform::Reply::Written { version: self.version }
    }

    fn objects_with_prefix<F>(
        &self,
        prefix: &str,
        is_wanted: F,
        limit: usize,
    ) -> Vec<platform::Object>
    where
        F: Fn(&str, u64) -> bool,
    {
        self.objects
            .range(prefix.to_owned()..)
            .take_while(|(key, _)| key.starts_with(prefix))
            .filter(|(key, (version, _))| is_wanted(key, *version))
            .take(limit)
            .map(|(key, (version, value))| platform::Object {
                key: key.clone(),
                version: *version,
                value: Arc::clone(value),
            })
            .collect()
    }
}
