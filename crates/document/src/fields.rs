//! Reads the fields of a map and collects findings.

use std::collections;
use std::sync::Arc;

use crate::finding;
use crate::name;
use crate::node;

/// A reader of the fields of one map that records which fields have been asked for.
#[derive(Debug)]
pub struct Fields<'a> {
    entries: &'a [node::Entry],
    position: finding::Position,
    path: String,
    known: collections::BTreeSet<&'static str>,
}

impl<'a> Fields<'a> {
    /// Creates a reader of a map. Null reads as an empty map; any other value does too, with a
    /// finding.
    pub fn from_node(node: &'a node::Node, path: &str, findings: &mut finding::Findings) -> Self {
        let entries: &[node::Entry] = match &node.value {
            node::Value::Map(entries) => entries,
            node::Value::Null => &[],
            _ => {
                findings.add(
                    node.position,
                    path,
                    &format!("expected a map, found {}", node.kind()),
                );
                &[]
            }
        };
        Self {
            entries,
            position: node.position,
            path: path.to_owned(),
            known: collections::BTreeSet::new(),
        }
    }

    /// Returns the position of the map.
    #[must_use]
    pub fn position(&self) -> finding::Position {
        self.position
    }

    /// Returns the dotted path of the field `name` from the root.
    #[must_use]
    pub fn field_path(&self, name: &str) -> String {
        if self.path.is_empty() { name.to_owned() } else { format!("{}.{name}", self.path) }
    }

    /// Reads an optional field.
    pub fn optional(&mut self, name: &'static str) -> Option<&'a node::Node> {
        self.known.insert(name);
        self.entries.iter().find(|entry| &*entry.key == name).map(|entry| &entry.node)
    }

    /// Reads a required field; adds a finding if it is missing.
    pub fn required(
        &mut self,
        name: &'static str,
        findings: &mut finding::Findings,
    ) -> Option<&'a node::Node> {
        let found = self.optional(name);
        if found.is_none() {
            findings.add(self.position, &self.field_path(name), "this field is missing");
        }
        found
    }

    /// Reads a required, non-empty string.
    pub fn string(&mut self, name: &'static str, findings: &mut finding::Findings) -> Arc<str> {
        let path = self.field_path(name);
        match self.required(name, findings) {
            Some(node) => string(node, &path, findings),
            None => Arc::from(""),
        }
    }

    /// Reads an integer in `range`. A missing field reads as `default`, or is a finding if there is
    /// none.
    pub fn integer(
        &mut self,
        name: &'static str,
        range: std::ops::RangeInclusive<u64>,
        default: Option<u64>,
        findings: &mut finding::Findings,
    ) -> u64 {
        let path = self.field_path(name);
        let node = match default {
            Some(value) => match self.optional(name) {
                Some(node) => node,
                None => return value,
            },
            None => match self.required(name, findings) {
                Some(node) => node,
                None => return *range.start(),
            },
        };
        integer(node, &path, range, findings)
    }

    /// Reads a boolean; a missing field reads as `default`.
    pub fn boolean(
        &mut self,
        name: &'static str,
        default: bool,
        findings: &mut finding::Findings,
    ) -> bool {
        let path = self.field_path(name);
        match self.optional(name).map(|node| (node, &node.value)) {
            None => default,
            Some((_, node::Value::Bool(flag))) => *flag,
            Some((node, _)) => {
                findings.add(
                    node.position,
                    &path,
                    &format!("expected true or false, found {}", node.kind()),
                );
                default
            }
        }
    }

    /// Reads a list; a missing field reads as an empty list.
    pub fn list(
        &mut self,
        name: &'static str,
        findings: &mut finding::Findings,
    ) -> &'a [node::Node] {
        let path = self.field_path(name);
        match self.optional(name).map(|node| (node, &node.value)) {
            None | Some((_, node::Value::Null)) => &[],
            Some((_, node::Value::List(items))) => items,
            Some((node, _)) => {
                findings.add(
                    node.position,
                    &path,
                    &format!("expected a list, found {}", node.kind()),
                );
                &[]
            }
        }
    }

    /// Reads a list of names; a missing field reads as an empty list.
    pub fn names(
        &mut self,
        name: &'static str,
        findings: &mut finding::Findings,
    ) -> Vec<Positioned<name::Name>> {
        let path = self.field_path(name);
        let items = self.list(name, findings);
        items.iter().filter_map(|node| read_name(node, &path, findings)).collect()
    }

    /// Reads a map from names to nodes; a missing field reads as an empty map.
    pub fn entries(
        &mut self,
        name: &'static str,
        findings: &mut finding::Findings,
    ) -> Vec<NamedNode<'a>> {
        let path = self.field_path(name);
        match self.optional(name) {
            Some(node) => named_entries(node, &path, findings),
            None => Vec::new(),
        }
    }

    /// Adds a finding for each field of the map that has not been asked for.
    pub fn finish(self, findings: &mut finding::Findings) {
        for entry in self.entries {
            if !self.known.contains(&*entry.key) {
                let hint = finding::suggest_similar_name(&entry.key, self.known.iter().copied());
                let path = self.field_path(&entry.key);
                findings.add_with_hint(entry.position, &path, "unknown field", &hint);
            }
        }
    }
}

/// A value with its position in the text.
#[derive(Debug, Clone)]
pub struct Positioned<T> {
    /// Position of the value.
    pub position: finding::Position,
    /// The value itself.
    pub value: T,
}

/// An entry of a map whose keys are names.
#[derive(Debug)]
pub struct NamedNode<'a> {
    /// Name of the entry.
    pub name: name::Name,
    /// Dotted path of the entry from the root.
    pub path: String,
    /// Value of the entry.
    pub node: &'a node::Node,
}

/// Reads a non-empty string. An integer reads as its decimal digits.
pub fn string(node: &node::Node, path: &str, findings: &mut finding::Findings) -> Arc<str> {
    match &node.value {
        node::Value::String(text) if !text.is_empty() => Arc::clone(text),
        node::Value::Integer(number) => number.to_string().into(),
        _ => {
            findings.add(
                node.position,
                path,
                &format!("expected a non-empty string, found {}", node.kind()),
            );
            Arc::from("")
        }
    }
}

/// Reads an integer in `range`. Any other value is a finding and reads as the lower bound.
pub fn integer(
    node: &node::Node,
    path: &str,
    range: std::ops::RangeInclusive<u64>,
    findings: &mut finding::Findings,
) -> u64 {
    let number = match node.value {
        node::Value::Integer(number) => u64::try_from(number).ok(),
        _ => None,
    };
    match number {
        Some(number) if range.contains(&number) => number,
        _ => {
            let problem =
                format!("expected a whole number from {} to {}", range.start(), range.end());
            findings.add(node.position, path, &problem);
            *range.start()
        }
    }
}

fn read_name(
    node: &node::Node,
    path: &str,
    findings: &mut finding::Findings,
) -> Option<Positioned<name::Name>> {
    let text = string(node, path, findings);
    if text.is_empty() {
        return None;
    }
    match name::Name::try_from(text) {
        Ok(value) => Some(Positioned { position: node.position, value }),
        Err(error) => {
            findings.add(node.position, path, &error.to_string());
            None
        }
    }
}

fn named_entries<'a>(
    node: &'a node::Node,
    path: &str,
    findings: &mut finding::Findings,
) -> Vec<NamedNode<'a>> {
    let fields = Fields::from_node(node, path, findings);
    let mut named = Vec::new();
    for entry in fields.entries {
        let path = fields.field_path(&entry.key);
        match name::Name::try_from(Arc::clone(&entry.key)) {
            Ok(name) => named.push(NamedNode { name, path, node: &entry.node }),
            Err(error) => findings.add(entry.position, &path, &error.to_string()),
        }
    }
    named
}
