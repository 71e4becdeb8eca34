//! Authentication of messages between hosts, with key ids so that keys can be rotated.

use std::fmt;
use std::net;
use std::sync::Arc;

use hmac::KeyInit as _;
use hmac::Mac as _;
use serde::Deserialize;
use serde::Serialize;
use toucanwall_coordination::identity;

use crate::message;

/// Length in bytes of a message authentication code, which is a truncated HMAC-SHA-256.
const MAC_BYTES: usize = 16;

type Hmac = hmac::Hmac<sha2::Sha256>;

/// Keys shared by all hosts; the first one signs, all of them verify.
#[derive(Clone)]
pub struct Keys(Arc<Vec<Key>>);

/// A shared key.
#[derive(Clone)]
struct Key {
    id: u8,
    secret: Arc<[u8]>,
}

/// A line of the key file that is not a valid key.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(thiserror::Error)]
#[error(
    "line {line}: expected `id:secret` with an id from 0 to 255 and a secret of 16 bytes or more"
)]
pub struct KeysError {
    line: usize,
}

/// Why a message was rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum EnvelopeError {
    /// It is truncated or cannot be decoded.
    #[error("the message is malformed")]
    Malformed,
    /// Its key is unknown or its authentication code does not match.
    #[error("the message is not signed by a known key")]
    Unauthentic,
}

/// A message with its sender, as it is signed and sent to another host.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Envelope {
    /// Host id of the sender.
    pub sender: identity::HostId,
    /// Address on which the sender listens for peers.
    pub from: net::SocketAddr,
    /// The message.
    pub message: message::Message,
}

impl TryFrom<&str> for Keys {
    type Error = KeysError;

    fn try_from(text: &str) -> Result<Self, Self::Error> {
        let mut keys = Vec::new();
        for (index, line) in text.lines().enumerate() {
            let line = line.trim();
            if line.is_empty() || line.starts_with('#') {
                continue;
            }
            let error = KeysError { line: index + 1 };
            let (id, secret) = line.split_once(':').ok_or_else(|| error.clone())?;
            let id = id.parse().map_err(|_ignored| error.clone())?;
            if secret.len() < 16 {
                return Err(error);
            }
            keys.push(Key { id, secret: secret.as_bytes().into() });
        }
        if keys.is_empty() { Err(KeysError { line: 1 }) } else { Ok(Self(Arc::new(keys))) }
    }
}

impl fmt::Debug for Keys {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let ids: Vec<u8> = self.0.iter().map(|key| key.id).collect();
        f.debug_struct("Keys").field("ids", &ids).finish_non_exhaustive()
    }
}

impl Keys {
    /// Signs bytes with the first key; returns the key id, the authentication code and the bytes.
    ///
    /// The context separates the uses of a key: a signature is only valid in its own context.
    #[must_use]
    pub fn sign(&self, context: &str, bytes: &[u8]) -> Vec<u8> {
        let key = &self.0[0];
        let mut signed = vec![key.id];
        signed.extend_from_slice(&truncated_mac(key, context, bytes));
        signed.extend_from_slice(bytes);
        signed
    }

    /// Verifies signed bytes; returns the bytes without key id and authentication code.
    ///
    /// # Errors
    /// Returns [`EnvelopeError`] if the bytes are truncated or no known key signed them.
    pub fn verify<'a>(&self, context: &str, signed: &'a [u8]) -> Result<&'a [u8], EnvelopeError> {
        let (id, rest) = signed.split_first().ok_or(EnvelopeError::Malformed)?;
        let (received_mac, bytes) =
            rest.split_at_checked(MAC_BYTES).ok_or(EnvelopeError::Malformed)?;
        let key = self.0.iter().find(|key| key.id == *id).ok_or(EnvelopeError::Unauthentic)?;
        mac(key, context, bytes)
            .verify_truncated_left(received_mac)
            .map_err(|_ignored| EnvelopeError::Unauthentic)?;
        Ok(bytes)
    }
}

/// Encodes and signs an envelope.
#[must_use]
pub fn sign(keys: &Keys, envelope: &Envelope) -> Vec<u8> {
    keys.sign("peer", &postcard::to_stdvec(envelope).unwrap_or_default())
}

/// Verifies and decodes an envelope.
///
/// # Errors
/// Returns [`EnvelopeError`] if it is malformed or no known key signed it.
pub fn verify(keys: &Keys, bytes: &[u8]) -> Result<Envelope, EnvelopeError> {
    let bytes = keys.verify("peer", bytes)?;
    postcard::from_bytes(bytes).map_err(|_ignored| EnvelopeError::Malformed)
}

fn truncated_mac(key: &Key, context: &str, bytes: &[u8]) -> [u8; MAC_BYTES] {
    let full_mac = mac(key, context, bytes).finalize().into_bytes();
    let mut truncated = [0; MAC_BYTES];
    truncated.copy_from_slice(&full_mac[..MAC_BYTES]);
    truncated
}

fn mac(key: &Key, context: &str, bytes: &[u8]) -> Hmac {
    let mut mac = Hmac::new_from_slice(&key.secret).expect("HMAC takes keys of any length");
    mac.update(context.as_bytes());
    mac.update(&[0]);
    mac.update(bytes);
    mac
}
