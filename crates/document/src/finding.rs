//! Findings: the errors of a document or settings file, with position and hint.

use std::fmt;

use serde::Serialize;

/// A position in a text. Line and column start at one; zero means unknown.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize)]
pub struct Position {
    /// Line number.
    pub line: u64,
    /// Column number.
    pub column: u64,
}

/// One error in a text.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize)]
pub struct Finding {
    /// Position of the error.
    #[serde(rename = "place")]
    pub position: Position,
    /// Dotted path of the field from the root.
    pub field: String,
    /// Description of the error.
    pub problem: String,
    /// How to correct it; empty if the problem needs no explanation.
    pub hint: String,
}

/// All findings of one text, displayed in order of position.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize)]
pub struct Findings {
    /// Name of the text, such as its file name, shown before each finding.
    pub source: String,
    /// The findings, in the order in which they were added.
    pub items: Vec<Finding>,
}

impl Findings {
    /// Creates an empty collection for the text named `source`.
    #[must_use]
    pub fn new(source: &str) -> Self {
        Self { source: source.to_owned(), items: Vec::new() }
    }

    /// Whether there are no findings.
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

/// Returns a hint with the known name that is most similar to `unknown` by edit distance, or an
/// empty string if none is similar enough.
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
