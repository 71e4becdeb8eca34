//! The checked document and its entries.

use std::collections;
use std::sync::Arc;

use serde::Serialize;

use crate::name;

/// Everything that the operators state, checked.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize)]
pub struct Document {
    /// Groups of backend servers by name.
    pub pools: collections::BTreeMap<name::Name, Pool>,
    /// Models by name.
    pub models: collections::BTreeMap<name::Name, Model>,
    /// Cascades by name.
    pub cascades: collections::BTreeMap<name::Name, Cascade>,
    /// Plain services by name.
    pub services: collections::BTreeMap<name::Name, Service>,
    /// Organisations by name.
    pub organisations: collections::BTreeMap<name::Name, Organisation>,
}

/// A group of backend servers of one kind.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize)]
pub struct Pool {
    /// Whether its servers refuse an order with an old fencing number.
    pub checks_fencing: bool,
    /// Longest silence of a server that is making progress, in milliseconds.
    pub progress_ms: u64,
    /// Requests that one server runs at a time.
    pub server_slots: u64,
}

/// A model with its versions.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize)]
pub struct Model {
    /// The pool that runs it.
    pub pool: name::Name,
    /// Price of a thousand tokens, in microcents.
    pub cost_microcents_per_kilotoken: u64,
    /// Versions by name.
    pub versions: collections::BTreeMap<name::Name, Version>,
}

/// A version of a model.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize)]
pub struct Version {
    /// Part of the new sessions that it gets, in percent.
    pub share_percent: u64,
    /// Whether it is withdrawn and gets no work at all.
    pub withdrawn: bool,
}

/// Models from cheap to strong.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize)]
pub struct Cascade {
    /// The models in order of price.
    pub stages: Vec<name::Name>,
    /// Lowest rating that an answer needs, in percent.
    pub quality_target_percent: u64,
}

/// A plain service beside the model engines.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize)]
pub struct Service {
    /// The pool that runs it.
    pub pool: name::Name,
    /// Path prefixes whose calls may not be repeated.
    pub non_idempotent: Vec<Arc<str>>,
    /// Price of a call, in microcents.
    pub cost_microcents_per_call: u64,
}

/// An organisation and what it may use.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize)]
pub struct Organisation {
    /// SHA-256 of its key, in lower-case hexadecimal.
    pub key_sha256: Arc<str>,
    /// Models that it may use, in all versions unless `versions` says otherwise.
    pub models: collections::BTreeSet<name::Name>,
    /// Versions that it is held to, by model.
    pub versions: collections::BTreeMap<name::Name, collections::BTreeSet<name::Name>>,
    /// Cascades that it may use.
    pub cascades: collections::BTreeSet<name::Name>,
    /// Plain services that it may use.
    pub services: collections::BTreeSet<name::Name>,
    /// Requests a second that it may send over all hosts.
    pub requests_per_s: u64,
}

impl Document {
    /// Finds the organisation whose key has this digest.
    #[must_use]
    pub fn organisation_by_key(&self, key_sha256: &str) -> Option<(&name::Name, &Organisation)> {
        self.organisations.iter().find(|(_, entry)| &*entry.key_sha256 == key_sha256)
    }

    /// The document as YAML text.
    ///
    /// # Panics
    /// Never: every field of a document has a YAML form.
    #[must_use]
    pub fn to_yaml(&self) -> String {
        serde_saphyr::to_string(self).expect("a document has a YAML form")
    }
}

impl Model {
    /// Versions that may get work.
    pub fn active_versions(&self) -> impl Iterator<Item = (&name::Name, &Version)> {
        self.versions.iter().filter(|(_, version)| !version.withdrawn)
    }
}

impl Organisation {
    /// Whether the organisation may use this version of this model.
    #[must_use]
    pub fn may_use(&self, model: &name::Name, version: &name::Name) -> bool {
        self.models.contains(model)
            && self.versions.get(model).is_none_or(|held| held.contains(version))
    }
}

impl Service {
    /// Whether a call of this path may not be repeated.
    #[must_use]
    pub fn is_non_idempotent(&self, path: &str) -> bool {
        self.non_idempotent.iter().any(|prefix| path.starts_with(&**prefix))
    }
}
