//! Converts a parsed text into a validated document.

use std::collections;
use std::sync::Arc;

use crate::document;
use crate::fields;
use crate::finding;
use crate::name;
use crate::node;
use crate::validation;

/// Maximum size of a document's text, in bytes.
pub const DOCUMENT_MAX_BYTES: usize = 1_000_000;

/// Parses and validates the text of the document named `source`.
///
/// # Errors
/// All findings of the text.
pub fn check(source: &str, text: &str) -> Result<document::Document, finding::Findings> {
    if text.len() > DOCUMENT_MAX_BYTES {
        let mut findings = finding::Findings::new(source);
        let problem =
            format!("the document has {} bytes; the limit is {DOCUMENT_MAX_BYTES}", text.len());
        let hint = "remove entries that are no longer used";
        findings.add_with_hint(finding::Position::default(), "", &problem, hint);
        return Err(findings);
    }
    check_node(source, &node::Node::parse(source, text)?)
}

/// Validates a parsed document.
///
/// # Errors
/// All findings of the document.
pub fn check_node(
    source: &str,
    root: &node::Node,
) -> Result<document::Document, finding::Findings> {
    let mut findings = finding::Findings::new(source);
    let document = read_document(root, &mut findings);
    validation::validate(&document, root, &mut findings);
    if findings.is_empty() { Ok(document) } else { Err(findings) }
}

impl TryFrom<&node::Node> for document::Document {
    type Error = finding::Findings;

    fn try_from(root: &node::Node) -> Result<Self, Self::Error> {
        check_node("document", root)
    }
}

fn read_document(root: &node::Node, findings: &mut finding::Findings) -> document::Document {
    let mut fields = fields::Fields::from_node(root, "", findings);
    let document = document::Document {
        pools: read_entries(&mut fields, "pools", findings, read_pool),
        models: read_entries(&mut fields, "models", findings, read_model),
        cascades: read_entries(&mut fields, "cascades", findings, read_cascade),
        services: read_entries(&mut fields, "services", findings, read_service),
        organisations: read_entries(&mut fields, "organisations", findings, read_organisation),
    };
    fields.finish(findings);
    document
}

fn read_entries<T, F>(
    fields: &mut fields::Fields<'_>,
    section: &'static str,
    findings: &mut finding::Findings,
    read: F,
) -> collections::BTreeMap<name::Name, T>
where
    F: Fn(&mut fields::Fields<'_>, &mut finding::Findings) -> T,
{
    let mut entries = collections::BTreeMap::new();
    for entry in fields.entries(section, findings) {
        let mut inner = fields::Fields::from_node(entry.node, &entry.path, findings);
        let value = read(&mut inner, findings);
        inner.finish(findings);
        if entries.insert(entry.name, value).is_some() {
            findings.add(entry.node.position, &entry.path, "duplicate name");
        }
    }
    entries
}

fn read_pool(fields: &mut fields::Fields<'_>, findings: &mut finding::Findings) -> document::Pool {
    document::Pool {
        checks_fencing: fields.boolean("checks_fencing", false, findings),
        progress_ms: fields.integer("progress_ms", 100..=600_000, Some(10_000), findings),
        server_slots: fields.integer("server_slots", 1..=100_000, Some(64), findings),
    }
}

fn read_model(
    fields: &mut fields::Fields<'_>,
    findings: &mut finding::Findings,
) -> document::Model {
    document::Model {
        pool: read_name(fields, "pool", findings),
        cost_microcents_per_kilotoken: fields.integer(
            "cost_microcents_per_kilotoken",
            0..=1_000_000_000_000,
            None,
            findings,
        ),
        versions: read_entries(fields, "versions", findings, read_version),
    }
}

fn read_version(
    fields: &mut fields::Fields<'_>,
    findings: &mut finding::Findings,
) -> document::Version {
    document::Version {
        share_percent: fields.integer("share_percent", 0..=100, Some(0), findings),
        withdrawn: fields.boolean("withdrawn", false, findings),
    }
}

fn read_cascade(
    fields: &mut fields::Fields<'_>,
    findings: &mut finding::Findings,
) -> document::Cascade {
    document::Cascade {
        stages: strip_positions(fields.names("stages", findings)),
        quality_target_percent: fields.integer("quality_target_percent", 0..=100, None, findings),
    }
}

fn read_service(
    fields: &mut fields::Fields<'_>,
    findings: &mut finding::Findings,
) -> document::Service {
    document::Service {
        pool: read_name(fields, "pool", findings),
        non_idempotent: read_strings(fields, "non_idempotent", findings),
        cost_microcents_per_call: fields.integer(
            "cost_microcents_per_call",
            0..=1_000_000_000_000,
            Some(0),
            findings,
        ),
    }
}

fn read_organisation(
    fields: &mut fields::Fields<'_>,
    findings: &mut finding::Findings,
) -> document::Organisation {
    document::Organisation {
        key_sha256: read_digest(fields, findings),
        models: strip_positions(fields.names("models", findings)),
        versions: read_allowed_versions(fields, findings),
        cascades: strip_positions(fields.names("cascades", findings)),
        services: strip_positions(fields.names("services", findings)),
        requests_per_s: fields.integer("requests_per_s", 1..=10_000_000, None, findings),
    }
}

fn read_allowed_versions(
    fields: &mut fields::Fields<'_>,
    findings: &mut finding::Findings,
) -> collections::BTreeMap<name::Name, collections::BTreeSet<name::Name>> {
    let mut allowed = collections::BTreeMap::new();
    for entry in fields.entries("versions", findings) {
        let node::Value::List(items) = &entry.node.value else {
            findings.add(entry.node.position, &entry.path, "expected a list of version names");
            continue;
        };
        let mut versions = collections::BTreeSet::new();
        for item in items {
            match name::Name::try_from(fields::string(item, &entry.path, findings)) {
                Ok(version) => drop(versions.insert(version)),
                Err(error) => findings.add(item.position, &entry.path, &error.to_string()),
            }
        }
        allowed.insert(entry.name, versions);
    }
    allowed
}

fn read_digest(fields: &mut fields::Fields<'_>, findings: &mut finding::Findings) -> Arc<str> {
    let position = fields.position();
    let digest = fields.string("key_sha256", findings);
    let is_digest =
        digest.len() == 64 && digest.bytes().all(|b| matches!(b, b'0'..=b'9' | b'a'..=b'f'));
    if !digest.is_empty() && !is_digest {
        let hint = "generate one with `toucanctl key`; the document holds the digest, never the key itself";
        let path = fields.field_path("key_sha256");
        findings.add_with_hint(position, &path, "expected 64 lower-case hexadecimal digits", hint);
    }
    digest
}

fn read_strings(
    fields: &mut fields::Fields<'_>,
    name: &'static str,
    findings: &mut finding::Findings,
) -> Vec<Arc<str>> {
    let path = fields.field_path(name);
    let items = fields.list(name, findings);
    items.iter().map(|item| fields::string(item, &path, findings)).collect()
}

fn read_name(
    fields: &mut fields::Fields<'_>,
    field: &'static str,
    findings: &mut finding::Findings,
) -> name::Name {
    let position = fields.position();
    let text = fields.string(field, findings);
    let placeholder = || name::Name::try_from("unnamed").expect("the placeholder is a valid name");
    if text.is_empty() {
        return placeholder();
    }
    name::Name::try_from(text).unwrap_or_else(|error| {
        findings.add(position, &fields.field_path(field), &error.to_string());
        placeholder()
    })
}

fn strip_positions<T, C>(items: Vec<fields::Positioned<T>>) -> C
where
    C: FromIterator<T>,
{
    items.into_iter().map(|item| item.value).collect()
}
