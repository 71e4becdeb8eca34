//! The validated document and its entries.

use std::collections;
use std::sync::Arc;

use serde::Serialize;

use crate::name;

/// A validated configuration document.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize)]
pub struct Document {
    /// Pools of backend servers by name.
    pub pools: collections::BTreeMap<name::Name, Pool>,
    /// Models by name.
    pub models: collections::BTreeMap<name::Name, Model>,
    /// Cascades by name.
    pub cascades: collections::BTreeMap<name::Name, Cascade>,
    /// Services by name.
    pub services: collections::BTreeMap<name::Name, Service>,
    /// Organisations by name.
    pub organisations: collections::BTreeMap<name::Name, Organisation>,
}

/// A group of interchangeable backend servers.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize)]
pub struct Pool {
    /// Whether its servers reject requests with a stale fencing token.
    pub checks_fencing: bool,
    /// Time without progress after which a server counts as stalled, in milliseconds.
    pub progress_ms: u64,
    /// Requests that each server runs concurrently.
    pub server_slots: u64,
}

/// A model with its versions.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize)]
pub struct Model {
    /// Pool whose servers run the model.
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
    /// Share of new sessions routed to this version, in percent.
    pub share_percent: u64,
    /// Whether the version is withdrawn; a withdrawn version receives no requests.
    pub withdrawn: bool,
}

/// A sequence of models from the cheapest to the strongest, along which requests escalate.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize)]
pub struct Cascade {
    /// Models in ascending order of price.
    pub stages: Vec<name::Name>,
    /// Lowest rating at which an answer is accepted, in percent.
    pub quality_target_percent: u64,
}

/// An HTTP service that is not a model.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize)]
pub struct Service {
    /// Pool whose servers run the service.
    pub pool: name::Name,
    /// Prefixes of calls that must not be retried, each a method and a path such as
    /// `POST /bookings`.
    pub non_idempotent: Vec<Arc<str>>,
    /// Price of a call, in microcents.
    pub cost_microcents_per_call: u64,
}

/// An organisation and what it may use.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize)]
pub struct Organisation {
    /// SHA-256 digest of its API key, in lower-case hexadecimal.
    pub key_sha256: Arc<str>,
    /// Models that it may use, in every version unless `versions` restricts them.
    pub models: collections::BTreeSet<name::Name>,
    /// Versions that it is restricted to, by model.
    pub versions: collections::BTreeMap<name::Name, collections::BTreeSet<name::Name>>,
    /// Cascades that it may use.
    pub cascades: collections::BTreeSet<name::Name>,
    /// Services that it may use.
    pub services: collections::BTreeSet<name::Name>,
    /// Rate limit in requests per second, summed over all hosts.
    pub requests_per_s: u64,
}

impl Document {
    /// Finds the organisation whose API key has the given SHA-256 digest.
    #[must_use]
    pub fn organisation_by_key(&self, key_sha256: &str) -> Option<(&name::Name, &Organisation)> {
        self.organisations.iter().find(|(_, entry)| &*entry.key_sha256 == key_sha256)
    }

    /// Serialises the document as YAML.
    ///
    /// # Panics
    /// Never: every field of a document can be represented in YAML.
    #[must_use]
    pub fn to_yaml(&self) -> String {
        serde_saphyr::to_string(self).expect("every document serialises to YAML")
    }
}

impl Model {
    /// Versions that are not withdrawn.
    pub fn active_versions(&self) -> impl Iterator<Item = (&name::Name, &Version)> {
        self.versions.iter().filter(|(_, version)| !version.withdrawn)
    }
}

impl Organisation {
    /// Whether the organisation may use the given version of a model.
    #[must_use]
    pub fn may_use(&self, model: &name::Name, version: &name::Name) -> bool {
        self.models.contains(model)
            && self.versions.get(model).is_none_or(|allowed| allowed.contains(version))
    }
}

impl Service {
    /// Whether a call must not be retried; `call` is the method and the path.
    #[must_use]
    pub fn is_non_idempotent(&self, call: &str) -> bool {
        self.non_idempotent.iter().any(|prefix| call.starts_with(&**prefix))
    }
}
