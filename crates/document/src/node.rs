//! A parsed YAML or JSON text as a tree of nodes with source positions.

use std::fmt;
use std::sync::Arc;

use serde::Deserialize;
use serde::de;

use crate::finding;

/// A value with its position in the text.
#[derive(Debug, Clone)]
pub struct Node {
    /// Position of the value.
    pub position: finding::Position,
    /// The value.
    pub value: Value,
}

/// The value of a [`Node`].
#[derive(Debug, Clone)]
pub enum Value {
    /// A null or missing value.
    Null,
    /// A boolean.
    Bool(bool),
    /// An integer.
    Integer(i64),
    /// A floating-point number.
    Float(f64),
    /// A string.
    String(Arc<str>),
    /// A list.
    List(Vec<Node>),
    /// A map, with its entries in source order.
    Map(Vec<Entry>),
}

/// One entry of a map.
#[derive(Debug, Clone)]
pub struct Entry {
    /// Position of the key.
    pub position: finding::Position,
    /// The key.
    pub key: Arc<str>,
    /// The value.
    pub node: Node,
}

impl Node {
    /// Parses a YAML or JSON text.
    ///
    /// # Errors
    /// One finding at the position of the syntax error.
    pub fn parse(source: &str, text: &str) -> Result<Self, finding::Findings> {
        serde_saphyr::from_str::<serde_saphyr::Spanned<Value>>(text)
            .map(Self::from)
            .map_err(|error| syntax_findings(source, &error))
    }

    /// Describes the kind of the value, for error messages.
    #[must_use]
    pub fn kind(&self) -> &'static str {
        match self.value {
            Value::Null => "nothing",
            Value::Bool(_) => "a boolean",
            Value::Integer(_) => "a whole number",
            Value::Float(_) => "a number",
            Value::String(_) => "a string",
            Value::List(_) => "a list",
            Value::Map(_) => "a map",
        }
    }
}

impl From<serde_saphyr::Spanned<Value>> for Node {
    fn from(spanned: serde_saphyr::Spanned<Value>) -> Self {
        Self { position: position_of(&spanned.referenced), value: spanned.value }
    }
}

impl From<serde_json::Value> for Node {
    fn from(json: serde_json::Value) -> Self {
        let value = match json {
            serde_json::Value::Null => Value::Null,
            serde_json::Value::Bool(flag) => Value::Bool(flag),
            serde_json::Value::Number(number) => json_number(&number),
            serde_json::Value::String(text) => Value::String(text.into()),
            serde_json::Value::Array(items) => {
                Value::List(items.into_iter().map(Self::from).collect())
            }
            serde_json::Value::Object(map) => {
                Value::Map(map.into_iter().map(Entry::from).collect())
            }
        };
        Self { position: finding::Position::default(), value }
    }
}

impl From<(String, serde_json::Value)> for Entry {
    fn from((key, value): (String, serde_json::Value)) -> Self {
        Self { position: finding::Position::default(), key: key.into(), node: Node::from(value) }
    }
}

impl<'de> Deserialize<'de> for Value {
    fn deserialize<D>(deserializer: D) -> Result<Self, D::Error>
    where
        D: de::Deserializer<'de>,
    {
        deserializer.deserialize_any(ValueVisitor)
    }
}

struct ValueVisitor;

impl<'de> de::Visitor<'de> for ValueVisitor {
    type Value = Value;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("a value")
    }

    fn visit_unit<E>(self) -> Result<Value, E> {
        Ok(Value::Null)
    }

    fn visit_none<E>(self) -> Result<Value, E> {
        Ok(Value::Null)
    }

    fn visit_some<D>(self, deserializer: D) -> Result<Value, D::Error>
    where
        D: de::Deserializer<'de>,
    {
        Value::deserialize(deserializer)
    }

    fn visit_bool<E>(self, v: bool) -> Result<Value, E> {
        Ok(Value::Bool(v))
    }

    fn visit_i64<E>(self, v: i64) -> Result<Value, E> {
        Ok(Value::Integer(v))
    }

    fn visit_u64<E>(self, v: u64) -> Result<Value, E> {
        // An integer that does not fit in an `i64` becomes a string of its digits.
        Ok(i64::try_from(v).map_or_else(|_| Value::String(v.to_string().into()), Value::Integer))
    }

    fn visit_f64<E>(self, v: f64) -> Result<Value, E> {
        Ok(Value::Float(v))
    }

    fn visit_str<E>(self, v: &str) -> Result<Value, E> {
        Ok(Value::String(v.into()))
    }

    fn visit_seq<A>(self, mut seq: A) -> Result<Value, A::Error>
    where
        A: de::SeqAccess<'de>,
    {
        let mut items = Vec::new();
        while let Some(item) = seq.next_element::<serde_saphyr::Spanned<Value>>()? {
            items.push(Node::from(item));
        }
        Ok(Value::List(items))
    }

    fn visit_map<A>(self, mut map: A) -> Result<Value, A::Error>
    where
        A: de::MapAccess<'de>,
    {
        let mut entries = Vec::new();
        while let Some(key) = map.next_key::<serde_saphyr::Spanned<String>>()? {
            let node = Node::from(map.next_value::<serde_saphyr::Spanned<Value>>()?);
            entries.push(Entry {
                position: position_of(&key.referenced),
                key: key.value.into(),
                node,
            });
        }
        Ok(Value::Map(entries))
    }
}

fn json_number(number: &serde_json::Number) -> Value {
    number
        .as_i64()
        .map_or_else(|| Value::Float(number.as_f64().unwrap_or(f64::NAN)), Value::Integer)
}

fn position_of(location: &serde_saphyr::Location) -> finding::Position {
    finding::Position { line: location.line(), column: location.column() }
}

fn syntax_findings(source: &str, error: &serde_saphyr::Error) -> finding::Findings {
    let mut findings = finding::Findings::new(source);
    let position = error.location().map_or_else(finding::Position::default, |at| position_of(&at));
    let text = error.to_string();
    let problem = text.lines().next().unwrap_or("syntax error");
    findings.add_with_hint(
        position,
        "",
        problem,
        "check the indentation and quoting, and that no key is repeated",
    );
    findings
}
