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
    place: finding::Place,
    path: String,
    known: collections::BTreeSet<&'static str>,
}

impl<'a> Fields<'a> {
    /// Opens a map; anything else is a finding and reads as an empty map.
    pub fn open(node: &'a node::Node, path: &str, findings: &mut finding::Findings) -> Self {
        let entries: &[node::Entry] = match &node.value {
            node::Value::Map(entries) => entries,
            node::Value::Null => &[],
            _ => {
                findings.add(node.place, path, &format!("expected a map, found {}", node.kind()));
                &[]
            }
        };
        Self {
            entries,
            place: node.place,
            path: path.to_owned(),
            known: collections::BTreeSet::new(),
        }
    }

    /// Where the map stands.
    #[must_use]
    pub fn place(&self) -> finding::Place {
        self.place
    }

    /// The path of the field `name` from the root.
    #[must_use]
    pub fn path_of(&self, name: &str) -> String {
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
            findings.add(self.place, &self.path_of(name), "this field is missing");
        }
        found
    }

    /// Takes a text that must be there and not be empty.
    pub fn text(&mut self, name: &'static str, findings: &mut finding::Findings) -> Arc<str> {
        let path = self.path_of(name);
        match self.required(name, findings) {
            Some(node) => text(node, &path, findings),
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
        let path = self.path_of(name);
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
    pub fn flag(
        &mut self,
        name: &'static str,
        default: bool,
        findings: &mut finding::Findings,
    ) -> bool {
        let path = self.path_of(name);
        match self.optional(name).map(|node| (node, &node.value)) {
            None => default,
            Some((_, node::Value::Bool(flag))) => *flag,
            Some((node, _)) => {
                findings.add(
                    node.place,
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
        let path = self.path_of(name);
        match self.optional(name).map(|node| (node, &node.value)) {
            None | Some((_, node::Value::Null)) => &[],
            Some((_, node::Value::List(items))) => items,
            Some((node, _)) => {
                findings.add(node.place, &path, &format!("expected a list, found {}", node.kind()));
                &[]
            }
        }
    }

    /// Takes a list of names, empty where the field is absent.
    pub fn names(
        &mut self,
        name: &'static str,
        findings: &mut finding::Findings,
    ) -> Vec<Placed<name::Name>> {
        let path = self.path_of(name);
        let items = self.list(name, findings);
        items.iter().filter_map(|node| name_at(node, &path, findings)).collect()
    }

    /// Takes a map from names to nodes, empty where the field is absent.
    pub fn entries(
        &mut self,
        name: &'static str,
        findings: &mut finding::Findings,
    ) -> Vec<NamedNode<'a>> {
        let path = self.path_of(name);
        match self.optional(name) {
            Some(node) => named_entries(node, &path, findings),
            None => Vec::new(),
        }
    }

    /// Reports every field that nobody took.
    pub fn finish(self, findings: &mut finding::Findings) {
        for entry in self.entries {
            if !self.known.contains(&*entry.key) {
                let hint = finding::nearest_hint(&entry.key, self.known.iter().copied());
                let path = self.path_of(&entry.key);
                findings.add_with_hint(entry.place, &path, "this field is unknown", &hint);
            }
        }
    }
}

/// A value and where it stands.
#[derive(Debug, Clone)]
pub struct Placed<T> {
    /// Where the value stands.
    pub place: finding::Place,
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
pub fn text(node: &node::Node, path: &str, findings: &mut finding::Findings) -> Arc<str> {
    match &node.value {
        node::Value::Text(text) if !text.is_empty() => Arc::clone(text),
        node::Value::Integer(number) => number.to_string().into(),
        _ => {
            findings.add(node.place, path, &format!("expected a text, found {}", node.kind()));
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
            findings.add(node.place, path, &problem);
            *range.start()
        }
    }
}

fn name_at(
    node: &node::Node,
    path: &str,
    findings: &mut finding::Findings,
) -> Option<Placed<name::Name>> {
    let text = text(node, path, findings);
    if text.is_empty() {
        return None;
    }
    match name::Name::try_from(text) {
        Ok(value) => Some(Placed { place: node.place, value }),
        Err(error) => {
            findings.add(node.place, path, &error.to_string());
            None
        }
    }
}

fn named_entries<'a>(
    node: &'a node::Node,
    path: &str,
    findings: &mut finding::Findings,
) -> Vec<NamedNode<'a>> {
    let fields = Fields::open(node, path, findings);
    let mut named = Vec::new();
    for entry in fields.entries {
        let path = fields.path_of(&entry.key);
        match name::Name::try_from(Arc::clone(&entry.key)) {
            Ok(name) => named.push(NamedNode { name, path, node: &entry.node }),
            Err(error) => findings.add(entry.place, &path, &error.to_string()),
        }
    }
    named
}
