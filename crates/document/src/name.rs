//! Validated names of document entries, cheap to clone.

use std::borrow;
use std::fmt;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

/// Maximum length of a name, in bytes.
pub const NAME_MAX_BYTES: usize = 64;

/// A validated name of a document entry.
///
/// Names consist of ASCII letters, digits, `-`, `_` and `.`, so that they can be used in object
/// keys, headers and file names without escaping.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(try_from = "Arc<str>", into = "Arc<str>")]
pub struct Name(Arc<str>);

/// A string is not a valid [`Name`].
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(thiserror::Error)]
#[error("`{text}` is not a valid name: use 1 to {NAME_MAX_BYTES} letters, digits, `-`, `_` or `.`")]
pub struct NameError {
    text: String,
}

impl Name {
    /// Returns the name as a string slice.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl TryFrom<Arc<str>> for Name {
    type Error = NameError;

    fn try_from(text: Arc<str>) -> Result<Self, Self::Error> {
        let is_length_valid = !text.is_empty() && text.len() <= NAME_MAX_BYTES;
        if is_length_valid && text.bytes().all(is_name_byte) {
            Ok(Self(text))
        } else {
            Err(NameError { text: text.chars().take(NAME_MAX_BYTES).collect() })
        }
    }
}

impl TryFrom<&str> for Name {
    type Error = NameError;

    fn try_from(text: &str) -> Result<Self, Self::Error> {
        Self::try_from(Arc::<str>::from(text))
    }
}

impl From<Name> for Arc<str> {
    fn from(name: Name) -> Self {
        name.0
    }
}

impl borrow::Borrow<str> for Name {
    fn borrow(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for Name {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl fmt::Debug for Name {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Debug::fmt(&self.0, f)
    }
}

fn is_name_byte(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.')
}
