//! A document cut into parts, so that only what changed has to travel.

use std::collections;

use toucanwall_coordination::parts;

use crate::check;
use crate::document;
use crate::finding;
use crate::node;

/// Cuts a document into one JSON text an entry, keyed by `section/name`.
///
/// # Panics
/// Never: every field of a document has a JSON form.
#[must_use]
pub fn split(document: &document::Document) -> parts::Parts {
    let json = serde_json::to_value(document).expect("a document has a JSON form");
    let mut texts = collections::BTreeMap::new();
    for (section, entries) in json.as_object().into_iter().flatten() {
        for (name, entry) in entries.as_object().into_iter().flatten() {
            texts.insert(format!("{section}/{name}").into(), entry.to_string().into());
        }
    }
    parts::Parts(texts)
}

/// Joins parts to a checked document.
///
/// # Errors
/// Every finding of the joined document.
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
