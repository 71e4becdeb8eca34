//! Splits a document into parts, so that hosts exchange only what changed.

use std::collections;

use toucanwall_coordination::parts;

use crate::check;
use crate::document;
use crate::finding;
use crate::node;

/// Splits a document into one JSON text per entry, keyed by `section/name`.
///
/// # Panics
/// Never: every field of a document can be represented in JSON.
#[must_use]
pub fn split(document: &document::Document) -> parts::Parts {
    let json = serde_json::to_value(document).expect("every document serialises to JSON");
    let mut texts = collections::BTreeMap::new();
    for (section, entries) in json.as_object().into_iter().flatten() {
        for (name, entry) in entries.as_object().into_iter().flatten() {
            texts.insert(format!("{section}/{name}").into(), entry.to_string().into());
        }
    }
    parts::Parts(texts)
}

/// Joins parts and validates the resulting document.
///
/// # Errors
/// All findings of the joined document.
pub fn join(parts: &parts::Parts) -> Result<document::Document, finding::Findings> {
    let mut sections = serde_json::Map::new();
    for (key, text) in &parts.0 {
        let (section, name) = key.split_once('/').unwrap_or((key, ""));
        let entry = serde_json::from_str(text).unwrap_or(serde_json::Value::Null);
        let entries = sections
            .entry(section)
            .or_insert_with(|| serde_json::Value::Object(serde_json::Map::new()));
        if let Some(entries) = entries.as_object_mut() {
            entries.insert(name.to_owned(), entry);
        }
    }
    check::check_node("parts", &node::Node::from(serde_json::Value::Object(sections)))
}
