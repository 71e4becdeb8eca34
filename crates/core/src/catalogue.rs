//! The document in force, with an index of keys.

use std::collections;
use std::sync::Arc;

use toucanwall_document::document;
use toucanwall_document::name;

/// The document in force.
#[derive(Debug, Default)]
pub struct Catalogue {
    document: document::Document,
    names_by_key: collections::BTreeMap<Arc<str>, name::Name>,
}

impl Catalogue {
    /// Indexes a document.
    #[must_use]
    pub fn new(document: document::Document) -> Self {
        let names_by_key = document
            .organisations
            .iter()
            .map(|(name, entry)| (Arc::clone(&entry.key_sha256), name.clone()))
            .collect();
        Self { document, names_by_key }
    }

    /// The document.
    #[must_use]
    pub fn document(&self) -> &document::Document {
        &self.document
    }

    /// The organisation whose key has this digest.
    #[must_use]
    pub fn organisation(&self, key_sha256: &str) -> Option<(&name::Name, &document::Organisation)> {
        let name = self.names_by_key.get(key_sha256)?;
        self.document.organisations.get_key_value(name)
    }
}
