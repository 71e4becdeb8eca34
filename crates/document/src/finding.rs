//! Findings: what is wrong in a text, where, and what to do about it.

use std::fmt;

use serde::Serialize;

/// A position in a text; line and column count from one, zero means unknown.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize)]
pub struct Position {
    /// Line of the text.
    pub line: u64,
    /// Column of the text.
    pub column: u64,
}

/// One thing that is wrong in a text.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize)]
pub struct Finding {
    /// Where the text is wrong.
    #[serde(rename = "place")]
    pub position: Position,
    /// The field, as a dotted path from the root.
    pub field: String,
    /// What is wrong.
    pub problem: String,
    /// What to do about it; empty where the problem says it all.
    pub hint: String,
}

/// Every finding of one text, ordered by position when shown.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize)]
pub struct Findings {
    /// The name of the text, shown before each finding.
    pub source: String,
    /// The findings.
    pub items: Vec<Finding>,
}

impl Findings {
    /// Starts an empty collection for the text called `source`.
    #[must_use]
    pub fn new(source: &str) -> Self {
        Self { source: source.to_owned(), items: Vec::new() }
    }

    /// Whether nothing was found.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// Adds a finding without a hint.
    pub fn add(&mut self, position: Position, field: &str, problem: &str) {
        self.add_with_hint(position, field, problem, "");
    }

    /// Adds a finding with a hint.
    pub fn add_with_hint(&mut self, position: Position, field: &str, problem: &str, hint: &str) {
        self.items.push(Finding {
            position,
            field: field.to_owned(),
            problem: problem.to_owned(),
            hint: hint.to_owned(),
        });
    }
}

impl fmt::Display for Findings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut sorted: Vec<&Finding> = self.items.iter().collect();
        sorted.sort();
        for (index, finding) in sorted.iter().enumerate() {
            if index > 0 {
                writeln!(f)?;
            }
            write!(f, "{}:{}:{}: ", self.source, finding.position.line, finding.position.column)?;
            if !finding.field.is_empty() {
                write!(f, "{}: ", finding.field)?;
            }
            write!(f, "{}", finding.problem)?;
            if !finding.hint.is_empty() {
                write!(f, " (hint: {})", finding.hint)?;
            }
        }
        Ok(())
    }
}

impl std::error::Error for Findings {}

/// Names the known name nearest to `unknown` as a hint, if one is near.
#[must_use]
pub fn suggest_similar_name<'a, I>(unknown: &str, known: I) -> String
where
    I: IntoIterator<Item = &'a str>,
{
    known
        .into_iter()
        .map(|name| (strsim::damerau_levenshtein(unknown, name), name))
        .filter(|(distance, name)| *distance * 2 <= name.len().max(2))
        .min()
        .map(|(_, name)| format!("did you mean `{name}`?"))
        .unwrap_or_default()
}
