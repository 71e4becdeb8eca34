//! Splits a stream of server-sent events into complete events and counts them.

use bytes::Buf as _;

/// Start of the event that ends an answer.
const FINAL_EVENT_PREFIX: &[u8] = b"data: [DONE]";
/// Maximum size of an event, in bytes.
const EVENT_MAX_BYTES: usize = 1024 * 1024;

/// Splits a byte stream into events.
///
/// Only complete events are forwarded, so that an interrupted answer can be resumed after the
/// last of them. The final event is withheld until the answer is known to be complete.
#[derive(Debug, Default)]
pub struct EventSplitter {
    partial: bytes::BytesMut,
    forwarded_events: u64,
    final_event: Option<bytes::Bytes>,
}

/// An event exceeded the maximum size.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EventTooLong;

impl EventSplitter {
    /// Adds data from the stream and returns the complete events to forward.
    ///
    /// # Errors
    /// [`EventTooLong`] if an incomplete event exceeds 1 MiB.
    pub fn push(&mut self, data: &[u8]) -> Result<bytes::Bytes, EventTooLong> {
        self.partial.extend_from_slice(data);
        let mut out = bytes::BytesMut::new();
        while let Some(length) = event_length(&self.partial) {
            let event = self.partial.split_to(length).freeze();
            if event.starts_with(FINAL_EVENT_PREFIX) {
                self.final_event = Some(event);
            } else {
                self.forwarded_events += u64::from(is_data_event(event.chunk()));
                out.extend_from_slice(&event);
            }
        }
        if self.partial.len() > EVENT_MAX_BYTES { Err(EventTooLong) } else { Ok(out.freeze()) }
    }

    /// Returns the number of data events forwarded so far.
    #[must_use]
    pub fn forwarded_events(&self) -> u64 {
        self.forwarded_events
    }

    /// Returns the final event of the answer, if it has arrived.
    #[must_use]
    pub fn final_event(&self) -> Option<bytes::Bytes> {
        self.final_event.clone()
    }
}

fn event_length(bytes: &[u8]) -> Option<usize> {
    bytes.windows(2).position(|pair| pair == b"\n\n").map(|index| index + 2)
}

fn is_data_event(event: &[u8]) -> bool {
    event.starts_with(b"data:") || event.windows(6).any(|window| window == b"\ndata:")
}
