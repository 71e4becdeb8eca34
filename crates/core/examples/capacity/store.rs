//! The platform's objects in memory, with counts of the calls.

use std::collections;
use std::sync::Arc;

use toucanwall_coordination::platform;

/// The objects.
#[derive(Debug, Default)]
pub struct Store {
    version: u64,
    objects: collections::BTreeMap<String, (u64, Arc<[u8]>)>,
    /// Creates and updates taken.
    pub writes: u64,
    /// Reads, lists and watches taken.
    pub reads: u64,
    /// Whether every call fails.
    pub is_out: bool,
}

impl Store {
    /// Stores an object whatever was there.
    pub fn put(&mut self, key: &str, value: Arc<[u8]>) {
        self.version += 1;
        self.objects.insert(key.to_owned(), (self.version, value));
    }

    /// Executes a call; nothing if a watch has to wait.
    pub fn execute(&mut self, call: &platform::Call) -> Option<platform::Reply> {
        if self.is_out {
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
                let objects = self.under(prefix, |key, _| key > after.as_str(), *limit as usize);
                platform::Reply::Listing { objects, version: self.version }
            }
            platform::Call::Watch { prefix, after, .. } => {
                let objects = self.under(prefix, |_, version| version > *after, usize::MAX);
                if objects.is_empty() {
                    return None;
                }
                platform::Reply::Listing { objects, version: self.version }
            }
        })
    }

    /// The reply to a watch that saw nothing.
    pub fn nothing_new(&self) -> platform::Reply {
        platform::Reply::Listing { objects: Vec::new(), version: self.version }
    }

    fn write(&mut self, key: &str, condition: Option<u64>, value: &Arc<[u8]>) -> platform::Reply {
        if self.objects.get(key).map(|(version, _)| *version) != condition {
            return platform::Reply::Conflict;
        }
        self.put(key, Arc::clone(value));
        platform::Reply::Written { version: self.version }
    }

    fn under<F>(&self, prefix: &str, is_wanted: F, limit: usize) -> Vec<platform::Object>
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
