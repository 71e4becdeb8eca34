//! From a document to form fields and back.

use serde_json::Value;
use toucanwall_coordination::parts;

use super::Fields;

/// Sections of a document in the order of the forms.
pub const SECTIONS: [&str; 5] = ["pools", "models", "cascades", "services", "organisations"];

/// What a field holds, and so how its text is read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// A text.
    Text,
    /// A whole number.
    Integer,
    /// True or false.
    Flag,
    /// Texts with commas between them.
    List,
    /// Entries with a name of their own.
    Entries,
}

/// The fields of an entry, by the section and the depth that it stands at.
#[must_use]
pub fn fields_of(section: &str, is_nested: bool) -> &'static [(&'static str, Kind)] {
    match (section, is_nested) {
        ("pools", _) => &[
            ("checks_fencing", Kind::Flag),
            ("progress_ms", Kind::Integer),
            ("server_slots", Kind::Integer),
        ],
        ("models", false) => &[
            ("pool", Kind::Text),
            ("cost_microcents_per_kilotoken", Kind::Integer),
            ("versions", Kind::Entries),
        ],
        ("models", true) => &[("share_percent", Kind::Integer), ("withdrawn", Kind::Flag)],
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

/// The document that parts add up to, unchecked.
#[must_use]
pub fn document_of(parts: &parts::Parts) -> Value {
    let mut document = serde_json::json!({});
    for (key, text) in &parts.0 {
        if let Some((section, name)) = key.split_once('/') {
            document[section][name] = serde_json::from_str(text).unwrap_or(Value::Null);
        }
    }
    document
}

/// The document that a form holds, unchecked: what cannot be read stays as it was typed.
#[must_use]
pub fn document_from(fields: &Fields) -> Value {
    let mut document = serde_json::json!({});
    for section in SECTIONS {
        document[section] = serde_json::json!({});
        let added = fields.get(&format!("new/{section}")).map(|text| text.trim());
        let names = names_under(fields, section).into_iter().chain(added.map(str::to_owned));
        for name in names.filter(|name| !name.is_empty()) {
            let path = format!("{section}/{name}");
            if !fields.contains_key(&format!("remove/{path}")) {
                document[section][&name] = entry_from(fields, section, &path);
            }
        }
    }
    document
}

fn entry_from(fields: &Fields, section: &str, path: &str) -> Value {
    let mut entry = serde_json::json!({});
    for (field, kind) in fields_of(section, false) {
        let path = format!("{path}/{field}");
        let value = match kind {
            Kind::Entries => Some(entries_from(fields, section, &path)),
            _ => fields.get(&path).and_then(|text| value_from(text, *kind)),
        };
        if let Some(value) = value {
            entry[*field] = value;
        }
    }
    entry
}

fn entries_from(fields: &Fields, section: &str, path: &str) -> Value {
    let mut entries = serde_json::json!({});
    let added = fields.get(&format!("new/{path}")).map(|text| text.trim().to_owned());
    let names = names_under(fields, path).into_iter().chain(added);
    for name in names.filter(|name| !name.is_empty()) {
        let path = format!("{path}/{name}");
        if fields.contains_key(&format!("remove/{path}")) {
            continue;
        }
        entries[&name] = nested_from(fields, section, &path);
    }
    entries
}

fn nested_from(fields: &Fields, section: &str, path: &str) -> Value {
    let nested = fields_of(section, true);
    if nested.is_empty() {
        // A plain list under a name, such as the versions that an organisation is held to.
        let text = fields.get(path).map(String::as_str).unwrap_or_default();
        return value_from(text, Kind::List).unwrap_or_else(|| serde_json::json!([]));
    }
    let mut entry = serde_json::json!({});
    for (field, kind) in nested {
        let text = fields.get(&format!("{path}/{field}"));
        if let Some(value) = text.and_then(|text| value_from(text, *kind)) {
            entry[*field] = value;
        }
    }
    entry
}

fn value_from(text: &str, kind: Kind) -> Option<Value> {
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
        Kind::Flag => Some(match text {
            "true" => Value::Bool(true),
            "false" => Value::Bool(false),
            _ => Value::String(text.to_owned()),
        }),
        Kind::Text | Kind::Entries => Some(Value::String(text.to_owned())),
    }
}

/// Names that stand right under a path, once each.
fn names_under(fields: &Fields, path: &str) -> Vec<String> {
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
