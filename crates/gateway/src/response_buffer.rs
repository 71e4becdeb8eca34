//! Reads response bodies into memory, within a limit on all of them together.

use std::sync::Arc;
use std::sync::atomic;

use http_body_util::BodyExt as _;

/// Maximum size of a body in bytes.
const BODY_MAX_BYTES: usize = 16 * 1024 * 1024;
/// Part of each body that does not count, in bytes: large bodies must not keep small ones out.
const UNCOUNTED_BYTES: usize = 64 * 1024;
/// Maximum number of bytes beyond it, of all bodies that are being read.
const TOTAL_MAX_BYTES: usize = 32 * 1024 * 1024;

/// Memory for the bodies that are being read; clones share it.
#[derive(Debug, Clone, Default)]
pub struct BufferBudget {
    used_bytes: Arc<atomic::AtomicUsize>,
}

/// Why a body was not read.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub enum ReadError {
    /// The connection failed or the body is malformed.
    #[error("{0}")]
    Broken(#[from] hyper::Error),
    /// The body is too large, or those that are being read are together.
    #[error("response body exceeds the memory for bodies after {0} bytes")]
    TooLarge(usize),
}

/// The part of the budget that a body uses; returned when dropped.
struct Share<'budget> {
    budget: &'budget BufferBudget,
    bytes: usize,
}

impl BufferBudget {
    /// Reads a body to its end.
    ///
    /// # Errors
    /// [`ReadError`]; the rest of the body is not read.
    pub async fn read(&self, mut body: hyper::body::Incoming) -> Result<bytes::Bytes, ReadError> {
        let mut share = Share { budget: self, bytes: 0 };
        let mut bytes = Vec::new();
        while let Some(frame) = body.frame().await {
            let Ok(data) = frame?.into_data() else { continue };
            let size = bytes.len() + data.len();
            if size > BODY_MAX_BYTES || !share.grow_to(size.saturating_sub(UNCOUNTED_BYTES)) {
                return Err(ReadError::TooLarge(bytes.len()));
            }
            bytes.extend_from_slice(&data);
        }
        Ok(bytes.into())
    }
}

impl Share<'_> {
    /// Enlarges the share; returns whether the budget allows it.
    fn grow_to(&mut self, bytes: usize) -> bool {
        let added = bytes.saturating_sub(self.bytes);
        let used_before = self.budget.used_bytes.fetch_add(added, atomic::Ordering::Relaxed);
        self.bytes += added;
        used_before + added <= TOTAL_MAX_BYTES
    }
}

impl Drop for Share<'_> {
    fn drop(&mut self) {
        self.budget.used_bytes.fetch_sub(self.bytes, atomic::Ordering::Relaxed);
    }
}
