//! Reading the fields of a map, collecting findings on the way.

use std::collections;
use std::sync::Arc;

use crate::finding;
use crate::name;
use crate::node;

/// The fields of one map, each taken at most once.
#[derive(Debug)]
pub struct Fields<'a> {
    entries: &'a [node::Entry],
    position: finding::Position,
    path: String,
    known: collections::BTreeSet<&'static str>,
}

impl<'a> Fields<'a> {
    /// Opens a map; anything else is a finding and reads as an empty map.
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

    /// Where the map stands.
    #[must_use]
    pub fn position(&self) -> finding::Position {
        self.position
    }

    /// The path of the field `name` from the root.
    #[must_use]
    pub fn field_path(&self, name: &str) -> String {
        if self.path.is_empty() { name.to_owned() } else { format!("{}.{name}", self.path) }
    }

    /// Takes a field that may be absent.
    pub fn optional(&mut self, name: &'static str) -> Option<&'a node::Node> {
        self.known.insert(name);
        self.entries.iter().find(|entry| &*entry.key == name).map(|entry| &entry.node)
    }

    /// Takes a field whose absence is a finding.
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

    /// Takes a text that must be there and not be empty.
    pub fn string(&mut self, name: &'static str, findings: &mut finding::Findings) -> Arc<str> {
        let path = self.field_path(name);
        match self.required(name, findings) {
            Some(node) => string(node, &path, findings),
            None => Arc::from(""),
        }
    }

    /// Takes a whole number in `range`, or `default` where the field is absent.
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

    /// Takes a truth value, or `default` where the field is absent.
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

    /// Takes a list, empty where the field is absent.
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

    /// Takes a list of names, empty where the field is absent.
    pub fn names(
        &mut self,
        name: &'static str,
        findings: &mut finding::Findings,
    ) -> Vec<Positioned<name::Name>> {
        let path = self.field_path(name);
        let items = self.list(name, findings);
        items.iter().filter_map(|node| read_name(node, &path, findings)).collect()
    }

    /// Takes a map from names to nodes, empty where the field is absent.
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

    /// Reports every field that nobody took.
    pub fn finish(self, findings: &mut finding::Findings) {
        for entry in self.entries {
            if !self.known.contains(&*entry.key) {
                let hint = finding::suggest_similar_name(&entry.key, self.known.iter().copied());
                let path = self.field_path(&entry.key);
                findings.add_with_hint(entry.position, &path, "this field is unknown", &hint);
            }
        }
    }
}

/// A value and where it stands.
#[derive(Debug, Clone)]
pub struct Positioned<T> {
    /// Where the value stands.
    pub position: finding::Position,
    /// The value.
    pub value: T,
}

/// An entry of a map whose keys are names.
#[derive(Debug)]
pub struct NamedNode<'a> {
    /// The entry's name.
    pub name: name::Name,
    /// The entry's path from the root.
    pub path: String,
    /// The entry's value.
    pub node: &'a node::Node,
}

/// Reads a non-empty text; a number or truth value reads as it was written.
pub fn string(node: &node::Node, path: &str, findings: &mut finding::Findings) -> Arc<str> {
    match &node.value {
        node::Value::String(text) if !text.is_empty() => Arc::clone(text),
        node::Value::Integer(number) => number.to_string().into(),
        _ => {
            findings.add(node.position, path, &format!("expected a text, found {}", node.kind()));
            Arc::from("")
        }
    }
}

/// Reads a whole number in `range`; outside of it the nearest bound is returned.
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
