//! Signed session tokens, which every host can verify without shared state.

use std::collections;
use std::sync::Arc;

use base64::Engine as _;
use serde::Deserialize;
use serde::Serialize;
use toucanwall_document::name;

use crate::envelope;

const SIGNING_CONTEXT: &str = "session";
const BASE64: base64::engine::GeneralPurpose = base64::engine::general_purpose::URL_SAFE_NO_PAD;

/// The state of a session, which pins it to versions of models.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Token {
    /// The organisation that the session belongs to.
    pub organisation: name::Name,
    /// Hash that selects the version of a model that the session has not used yet.
    pub session_hash: u64,
    /// Versions to which the session is pinned, by model.
    pub pins: collections::BTreeMap<name::Name, name::Name>,
}

/// A token that is malformed or not signed by a known key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(thiserror::Error)]
#[error("the session token is malformed or not signed by a known key")]
pub struct TokenError;

impl Token {
    /// Encodes and signs the token.
    #[must_use]
    pub fn sign(&self, keys: &envelope::Keys) -> Arc<str> {
        let bytes = postcard::to_stdvec(self).unwrap_or_default();
        BASE64.encode(keys.sign(SIGNING_CONTEXT, &bytes)).into()
    }

    /// Verifies and decodes a token.
    ///
    /// # Errors
    /// Returns [`TokenError`] if `text` is not a token or no known key signed it.
    pub fn verify(keys: &envelope::Keys, text: &str) -> Result<Self, TokenError> {
        let signed = BASE64.decode(text).map_err(|_ignored| TokenError)?;
        let bytes = keys.verify(SIGNING_CONTEXT, &signed).map_err(|_ignored| TokenError)?;
        postcard::from_bytes(bytes).map_err(|_ignored| TokenError)
    }
}
