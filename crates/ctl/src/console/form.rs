//! Conversion between documents and form fields.
//!
//! A field is named after its path in the document, such as `pools/engines/progress_ms`. The field
//! `new/PATH` holds the name of an entry to add below a path, and `remove/PATH` is present if the
//! entry at the path is to be removed.

use serde_json::Value;
use toucanwall_coordination::parts;

use super::FormFields;

/// Sections of a document, in the order in which the form shows them.
pub const SECTIONS: [&str; 5] = ["pools", "models", "cascades", "services", "organisations"];

/// Type of a field, which determines how its text is parsed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// A string.
    Text,
    /// An integer.
    Integer,
    /// True or false.
    Bool,
    /// Comma-separated strings.
    List,
    /// Nested entries, each with a name.
    Entries,
}

/// Returns the fields of an entry of a section, or of an entry nested in one.
#[must_use]
pub fn entry_fields(section: &str, is_nested: bool) -> &'static [(&'static str, Kind)] {
    match (section, is_nested) {
        ("pools", _) => &[
            ("checks_fencing", Kind::Bool),
            ("progress_ms", Kind::Integer),
            ("server_slots", Kind::Integer),
        ],
        ("models", false) => &[
            ("pool", Kind::Text),
            ("cost_microcents_per_kilotoken", Kind::Integer),
            ("versions", Kind::Entries),
        ],
        ("models", true) => &[("share_percent", Kind::Integer), ("withdrawn", Kind::Bool)],
        ("cascades", _) => &[("stages", Kind::List), ("quality_target_percent", Kind::Integer)],
        ("services", _) => &[
            ("pool", Kind::Text),
            ("non_idempotent", Kind::List),
            ("cost_microcents_per_call", Kind::Integer),
        ],
        ("organisations", false) => &[
            ("key_sha256", Kind::Text),
            ("models", Kind::List),
            ("versions", Kind::Entries),
            ("cascades", Kind::List),
            ("services", Kind::List),
            ("requests_per_s", Kind::Integer),
        ],
        _ => &[],
    }
}

/// Joins parts into a document without checking it.
#[must_use]
pub fn document_from_parts(parts: &parts::Parts) -> Value {
    let mut document = serde_json::json!({});
    for (key, text) in &parts.0 {
        if let Some((section, name)) = key.split_once('/') {
            document[section][name] = serde_json::from_str(text).unwrap_or(Value::Null);
        }
    }
    document
}

/// Builds a document from form fields without checking it; text that cannot be parsed stays a
/// string, so that the check reports it.
#[must_use]
pub fn document_from_form(fields: &FormFields) -> Value {
    let mut document = serde_json::json!({});
    for section in SECTIONS {
        document[section] = serde_json::json!({});
        let new_name = fields.get(&format!("new/{section}")).map(|text| text.trim());
        let names = child_names(fields, section).into_iter().chain(new_name.map(str::to_owned));
        for name in names.filter(|name| !name.is_empty()) {
            let path = format!("{section}/{name}");
            if !fields.contains_key(&format!("remove/{path}")) {
                document[section][&name] = parse_entry(fields, section, &path);
            }
        }
    }
    document
}

fn parse_entry(fields: &FormFields, section: &str, path: &str) -> Value {
    let mut entry = serde_json::json!({});
    for (field, kind) in entry_fields(section, false) {
        let path = format!("{path}/{field}");
        let value = match kind {
            Kind::Entries => Some(parse_entries(fields, section, &path)),
            _ => fields.get(&path).and_then(|text| parse_value(text, *kind)),
        };
        if let Some(value) = value {
            entry[*field] = value;
        }
    }
    entry
}

fn parse_entries(fields: &FormFields, section: &str, path: &str) -> Value {
    let mut entries = serde_json::json!({});
    let new_name = fields.get(&format!("new/{path}")).map(|text| text.trim().to_owned());
    let names = child_names(fields, path).into_iter().chain(new_name);
    for name in names.filter(|name| !name.is_empty()) {
        let path = format!("{path}/{name}");
        if fields.contains_key(&format!("remove/{path}")) {
            continue;
        }
        entries[&name] = parse_nested_entry(fields, section, &path);
    }
    entries
}

fn parse_nested_entry(fields: &FormFields, section: &str, path: &str) -> Value {
    let nested_fields = entry_fields(section, true);
    if nested_fields.is_empty() {
        // Without nested fields, a name holds a list: the versions of a model that an organisation
        // may use.
        let text = fields.get(path).map(String::as_str).unwrap_or_default();
        return parse_value(text, Kind::List).unwrap_or_else(|| serde_json::json!([]));
    }
    let mut entry = serde_json::json!({});
    for (field, kind) in nested_fields {
        let text = fields.get(&format!("{path}/{field}"));
        if let Some(value) = text.and_then(|text| parse_value(text, *kind)) {
            entry[*field] = value;
        }
    }
    entry
}

fn parse_value(text: &str, kind: Kind) -> Option<Value> {
    let text = text.trim();
    match kind {
        Kind::List => Some(
            text.split(',')
                .map(str::trim)
                .filter(|item| !item.is_empty())
                .map(|item| Value::String(item.to_owned()))
                .collect(),
        ),
        _ if text.is_empty() => None,
        Kind::Integer => {
            Some(text.parse::<i64>().map_or_else(|_| Value::String(text.to_owned()), Value::from))
        }
        Kind::Bool => Some(match text {
            "true" => Value::Bool(true),
            "false" => Value::Bool(false),
            _ => Value::String(text.to_owned()),
        }),
        Kind::Text | Kind::Entries => Some(Value::String(text.to_owned())),
    }
}

/// Returns the names directly below a path, without duplicates.
fn child_names(fields: &FormFields, path: &str) -> Vec<String> {
    let prefix = format!("{path}/");
    let mut names: Vec<String> = fields
        .keys()
        .filter_map(|key| key.strip_prefix(&prefix))
        .filter_map(|rest| rest.split('/').next())
        .map(str::to_owned)
        .collect();
    names.dedup();
    names
}
