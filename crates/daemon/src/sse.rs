//! Server-sent events: passes whole events on and counts them.

use bytes::Buf as _;

/// The event that ends an answer.
const DONE: &[u8] = b"data: [DONE]";
/// Longest event that is waited for, in bytes.
const EVENT_MAX_BYTES: usize = 1024 * 1024;

/// Cuts a byte stream into events.
///
/// Only whole events are passed on, so that an answer that breaks off can be resumed
/// behind the last of them; the event that ends the answer is kept back.
#[derive(Debug, Default)]
pub struct Events {
    partial: bytes::BytesMut,
    passed: u64,
    done: Option<bytes::Bytes>,
}

/// An event grew longer than what is waited for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EventTooLong;

impl Events {
    /// Takes bytes; returns the whole events that can be passed on.
    ///
    /// # Errors
    /// [`EventTooLong`] if an event does not end within a megabyte.
    pub fn take(&mut self, data: &[u8]) -> Result<bytes::Bytes, EventTooLong> {
        self.partial.extend_from_slice(data);
        let mut out = bytes::BytesMut::new();
        while let Some(length) = event_length(&self.partial) {
            let event = self.partial.split_to(length).freeze();
            if event.starts_with(DONE) {
                self.done = Some(event);
            } else {
                self.passed += u64::from(is_data(event.chunk()));
                out.extend_from_slice(&event);
            }
        }
        if self.partial.len() > EVENT_MAX_BYTES { Err(EventTooLong) } else { Ok(out.freeze()) }
    }

    /// Data events passed on so far.
    #[must_use]
    pub fn passed(&self) -> u64 {
        self.passed
    }

    /// The event that ends the answer, once it has come.
    #[must_use]
    pub fn done(&self) -> Option<bytes::Bytes> {
        self.done.clone()
    }
}

fn event_length(bytes: &[u8]) -> Option<usize> {
    bytes.windows(2).position(|pair| pair == b"\n\n").map(|at| at + 2)
}

fn is_data(event: &[u8]) -> bool {
    event.starts_with(b"data:") || event.windows(6).any(|window| window == b"\ndata:")
}
