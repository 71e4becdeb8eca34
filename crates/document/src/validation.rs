//! Checks that span several fields: references to unknown names, traffic shares, the stages of
//! cascades, what each organisation may use, and duplicate API keys.

use std::collections;

use crate::document;
use crate::finding;
use crate::name;
use crate::node;

/// Adds a finding for each inconsistency in a document that was read from `root`.
pub fn validate(
    document: &document::Document,
    root: &node::Node,
    findings: &mut finding::Findings,
) {
    let mut validator = Validator { document, root, findings };
    for (name, model) in &document.models {
        validator.check_model(name, model);
    }
    for (name, cascade) in &document.cascades {
        validator.check_cascade(name, cascade);
    }
    for (name, service) in &document.services {
        let path = format!("services.{name}.pool");
        validator.check_exists(&path, "pool", &service.pool, &document.pools);
    }
    for (name, organisation) in &document.organisations {
        validator.check_organisation(name, organisation);
    }
    validator.check_unique_keys();
}

struct Validator<'a> {
    document: &'a document::Document,
    root: &'a node::Node,
    findings: &'a mut finding::Findings,
}

impl Validator<'_> {
    fn add(&mut self, path: &str, problem: &str, hint: &str) {
        self.findings.add_with_hint(position_of(self.root, path), path, problem, hint);
    }

    fn check_exists<T>(
        &mut self,
        path: &str,
        kind: &str,
        name: &name::Name,
        known: &collections::BTreeMap<name::Name, T>,
    ) {
        // `unnamed` replaces a missing or invalid name, for which there is a finding already.
        if !known.contains_key(name) && name.as_str() != "unnamed" {
            let hint =
                finding::suggest_similar_name(name.as_str(), known.keys().map(name::Name::as_str));
            self.add(path, &format!("there is no {kind} `{name}`"), &hint);
        }
    }

    fn check_model(&mut self, name: &name::Name, model: &document::Model) {
        let path = format!("models.{name}");
        self.check_exists(&format!("{path}.pool"), "pool", &model.pool, &self.document.pools);
        for (version, entry) in &model.versions {
            if entry.withdrawn && entry.share_percent > 0 {
                let path = format!("{path}.versions.{version}");
                let problem =
                    format!("a withdrawn version has {} % of new sessions", entry.share_percent);
                self.add(&path, &problem, "set its share to 0 and raise that of another version");
            }
        }
        if model.versions.is_empty() {
            self.add(&path, "the model has no version", "add one under `versions`");
        }
        let sum: u64 = model.active_versions().map(|(_, version)| version.share_percent).sum();
        if model.active_versions().next().is_some() && sum != 100 {
            let problem = format!("the shares of its versions add up to {sum} %, not 100 %");
            self.add(&format!("{path}.versions"), &problem, "withdrawn versions are not counted");
        }
    }

    fn check_cascade(&mut self, name: &name::Name, cascade: &document::Cascade) {
        let path = format!("cascades.{name}.stages");
        if cascade.stages.is_empty() {
            self.add(&path, "the cascade has no stage", "list models in ascending order of price");
        }
        for stage in &cascade.stages {
            self.check_exists(&path, "model", stage, &self.document.models);
        }
        let costs: Vec<u64> = cascade
            .stages
            .iter()
            .filter_map(|stage| self.document.models.get(stage))
            .map(|model| model.cost_microcents_per_kilotoken)
            .collect();
        if !costs.is_sorted() {
            self.add(
                &path,
                "a stage costs more than a later one",
                "list models in ascending order of price",
            );
        }
        let distinct: collections::BTreeSet<_> = cascade.stages.iter().collect();
        if distinct.len() < cascade.stages.len() {
            self.add(&path, "a model occurs more than once in the cascade", "list each model once");
        }
    }

    fn check_organisation(&mut self, name: &name::Name, organisation: &document::Organisation) {
        let path = format!("organisations.{name}");
        for model in &organisation.models {
            self.check_exists(&format!("{path}.models"), "model", model, &self.document.models);
            self.check_model_usable(&path, organisation, model);
        }
        for (model, versions) in &organisation.versions {
            self.check_allowed_versions(&path, organisation, model, versions);
        }
        for cascade in &organisation.cascades {
            let path = format!("{path}.cascades");
            self.check_exists(&path, "cascade", cascade, &self.document.cascades);
            self.check_cascade_usable(&path, organisation, cascade);
        }
        for service in &organisation.services {
            let path = format!("{path}.services");
            self.check_exists(&path, "service", service, &self.document.services);
        }
    }

    fn check_allowed_versions(
        &mut self,
        path: &str,
        organisation: &document::Organisation,
        model: &name::Name,
        versions: &collections::BTreeSet<name::Name>,
    ) {
        let path = format!("{path}.versions.{model}");
        if !organisation.models.contains(model) {
            self.add(&path, "the organisation may not use this model", "add it to `models`");
        }
        if let Some(entry) = self.document.models.get(model) {
            for version in versions {
                self.check_exists(&path, "version", version, &entry.versions);
            }
        }
    }

    fn check_model_usable(
        &mut self,
        path: &str,
        organisation: &document::Organisation,
        model: &name::Name,
    ) {
        let Some(entry) = self.document.models.get(model) else {
            return;
        };
        if !entry.active_versions().any(|(version, _)| organisation.may_use(model, version)) {
            let problem = format!("the organisation may use no active version of `{model}`");
            let hint =
                "keep one of its versions active, or remove the model from the organisation first";
            self.add(&format!("{path}.models"), &problem, hint);
        }
    }

    fn check_cascade_usable(
        &mut self,
        path: &str,
        organisation: &document::Organisation,
        cascade: &name::Name,
    ) {
        let Some(entry) = self.document.cascades.get(cascade) else {
            return;
        };
        if !entry.stages.iter().any(|stage| organisation.models.contains(stage)) {
            let problem = format!("the organisation may use no stage of the cascade `{cascade}`");
            self.add(
                path,
                &problem,
                "add one of the cascade's models to the organisation's `models`",
            );
        }
    }

    fn check_unique_keys(&mut self) {
        let mut owners_by_digest = collections::BTreeMap::new();
        for (name, organisation) in &self.document.organisations {
            if let Some(other) = owners_by_digest.insert(&organisation.key_sha256, name) {
                let path = format!("organisations.{name}.key_sha256");
                let problem = format!("the organisation `{other}` has the same key");
                self.add(&path, &problem, "give each organisation a key of its own");
            }
        }
    }
}

/// Returns the position of the deepest node on a dotted path. Names may contain dots, so the path
/// is matched key by key rather than split at the dots.
fn position_of(root: &node::Node, path: &str) -> finding::Position {
    let mut position = root.position;
    let mut node = root;
    let mut rest = path;
    while let node::Value::Map(entries) = &node.value {
        let next = entries.iter().find(|entry| {
            rest.strip_prefix(&*entry.key).is_some_and(|r| r.is_empty() || r.starts_with('.'))
        });
        let Some(entry) = next else { break };
        position = entry.position;
        node = &entry.node;
        rest = rest[entry.key.len()..].trim_start_matches('.');
    }
    position
}
