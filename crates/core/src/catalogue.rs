//! The configuration document in force, indexed by API key.

use std::collections;
use std::sync::Arc;

use toucanwall_document::document;
use toucanwall_document::name;

/// The configuration document in force, with the organisations indexed by the digest of
/// their API key.
#[derive(Debug, Default)]
pub struct Catalogue {
    document: document::Document,
    names_by_key: collections::BTreeMap<Arc<str>, name::Name>,
}

impl Catalogue {
    /// Creates a catalogue and its index.
    #[must_use]
    pub fn new(document: document::Document) -> Self {
        let names_by_key = document
            .organisations
            .iter()
            .map(|(name, entry)| (Arc::clone(&entry.key_sha256), name.clone()))
            .collect();
        Self { document, names_by_key }
    }

    /// Returns the document.
    #[must_use]
    pub fn document(&self) -> &document::Document {
        &self.document
    }

    /// Returns the organisation whose API key has the SHA-256 digest `key_sha256`.
    #[must_use]
    pub fn organisation(&self, key_sha256: &str) -> Option<(&name::Name, &document::Organisation)> {
        let name = self.names_by_key.get(key_sha256)?;
        self.document.organisations.get_key_value(name)
    }
}
