//! Session tokens, which any host honours without a shared table.

use std::collections;
use std::sync::Arc;

use base64::Engine as _;
use serde::Deserialize;
use serde::Serialize;
use toucanwall_document::name;

use crate::envelope;

const SIGNING_CONTEXT: &str = "session";
const BASE64: base64::engine::GeneralPurpose = base64::engine::general_purpose::URL_SAFE_NO_PAD;

/// What a session is held to.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Token {
    /// The organisation that it belongs to.
    pub organisation: name::Name,
    /// Hash that picks versions of models that the session has not used yet.
    pub session_hash: u64,
    /// Versions by model.
    pub pins: collections::BTreeMap<name::Name, name::Name>,
}

/// Why a token was not honoured.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(thiserror::Error)]
#[error("the session token is not one of ours")]
pub struct TokenError;

impl Token {
    /// The signed token as text.
    #[must_use]
    pub fn sign(&self, keys: &envelope::Keys) -> Arc<str> {
        let bytes = postcard::to_stdvec(self).unwrap_or_default();
        BASE64.encode(keys.sign(SIGNING_CONTEXT, &bytes)).into()
    }

    /// Checks a token.
    ///
    /// # Errors
    /// [`TokenError`] if it is not a token or no known key signed it.
    pub fn verify(keys: &envelope::Keys, text: &str) -> Result<Self, TokenError> {
        let signed = BASE64.decode(text).map_err(|_ignored| TokenError)?;
        let bytes = keys.verify(SIGNING_CONTEXT, &signed).map_err(|_ignored| TokenError)?;
        postcard::from_bytes(bytes).map_err(|_ignored| TokenError)
    }
}
