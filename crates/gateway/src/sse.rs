//! Splits a stream of server-sent events into complete events.

use toucanwall_platform::response;

/// Maximum size of an event in bytes.
const EVENT_MAX_BYTES: usize = 1024 * 1024;

/// Splits a byte stream into complete events and checks that their IDs are consecutive.
#[derive(Debug, Default)]
pub struct EventSplitter {
    /// Bytes of an incomplete event.
    buffer: Vec<u8>,
    /// Number of bytes at the beginning of the buffer that hold no end of an event.
    searched_len: usize,
    last_id: Option<u64>,
    /// Number of complete events, without those that consist of comments.
    events: u64,
}

/// What a splitter has made of the bytes so far.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Split {
    /// Complete events, possibly none. More may follow.
    Complete(bytes::Bytes),
    /// Complete events, possibly none, and the error behind them: nothing else of the stream can be
    /// used.
    Broken {
        /// The events before the error.
        events: bytes::Bytes,
        /// Why no event follows.
        error: EventError,
    },
}

/// Error in a stream of events.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum EventError {
    /// The ID of an event is not the successor of the previous ID: events are repeated or missing.
    #[error("event ID {got} follows event ID {last}")]
    OutOfOrder {
        /// ID of the previous event.
        last: u64,
        /// ID of the received event.
        got: u64,
    },
    /// An event has no ID, though the previous one has: it may be the text of an error.
    #[error("event without an ID follows event ID {last}")]
    Unnumbered {
        /// ID of the previous event.
        last: u64,
    },
    /// An event exceeds the size limit.
    #[error("event is larger than {EVENT_MAX_BYTES} bytes")]
    TooLong,
}

impl EventSplitter {
    /// Creates a splitter for a stream that continues after the event `last_id`, or that starts
    /// from the beginning.
    #[must_use]
    pub fn resume_after(last_id: Option<u64>) -> Self {
        Self { last_id, ..Self::default() }
    }

    /// Appends bytes and returns the events that are now complete. The ID and the number of events
    /// advance by what is returned, and by nothing else.
    #[must_use]
    pub fn push(&mut self, bytes: &[u8]) -> Split {
        self.buffer.extend_from_slice(bytes);
        let mut complete_len = 0;
        let mut error = None;
        let mut searched_len = std::mem::take(&mut self.searched_len);
        while let Some(end) = event_end(&self.buffer[complete_len..], searched_len) {
            searched_len = 0;
            let event = &self.buffer[complete_len..complete_len + end];
            if !is_comment(event) {
                let id = event_id(event);
                if let Err(invalid) = self.advance_to(id) {
                    error = Some(invalid);
                    break;
                }
                self.events += 1;
            }
            complete_len += end;
        }
        if error.is_none() && self.buffer.len() - complete_len > EVENT_MAX_BYTES {
            error = Some(EventError::TooLong);
        }
        let rest = self.buffer.split_off(complete_len);
        // The last bytes may be the beginning of an end.
        self.searched_len = rest.len().saturating_sub(2);
        let events = std::mem::replace(&mut self.buffer, rest).into();
        match error {
            None => Split::Complete(events),
            Some(error) => {
                self.discard_incomplete();
                Split::Broken { events, error }
            }
        }
    }

    /// Returns the ID of the last complete event.
    #[must_use]
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Returns the number of complete events so far, without those that consist of comments.
    #[must_use]
    pub fn events(&self) -> u64 {
        self.events
    }

    /// Discards the incomplete event.
    pub fn discard_incomplete(&mut self) {
        (self.buffer, self.searched_len) = (Vec::new(), 0);
    }

    /// Returns the memory that the incomplete event takes up, in bytes.
    #[must_use]
    pub fn buffered_bytes(&self) -> usize {
        self.buffer.capacity()
    }

    /// Returns whether no event is incomplete.
    #[must_use]
    pub fn is_at_boundary(&self) -> bool {
        self.buffer.is_empty()
    }

    /// Checks the id of the next event. A stream either numbers all of its events or none.
    fn advance_to(&mut self, id: Option<u64>) -> Result<(), EventError> {
        match (self.last_id, id) {
            (Some(last), None) => return Err(EventError::Unnumbered { last }),
            (Some(last), Some(got)) if last.checked_add(1) != Some(got) => {
                return Err(EventError::OutOfOrder { last, got });
            }
            (_, id) => self.last_id = id,
        }
        Ok(())
    }
}

/// Returns the length of the first event, including the empty line that ends it. The line break before
/// the empty line is not among the first `searched_len` bytes.
fn event_end(bytes: &[u8], searched_len: usize) -> Option<usize> {
    let newlines = bytes.iter().enumerate().skip(searched_len).filter(|(_, byte)| **byte == b'\n');
    newlines
        .map(|(at, _)| at + 1)
        .find(|start| {
            let after = &bytes[*start..];
            after.starts_with(b"\n") || after.starts_with(b"\r\n")
        })
        .map(|start| start + if bytes[start] == b'\r' { 2 } else { 1 })
}

/// Returns whether an event has no fields, only comments or empty lines.
fn is_comment(event: &[u8]) -> bool {
    let mut lines = event.split(|byte| matches!(byte, b'\n' | b'\r'));
    lines.all(|line| line.is_empty() || line.starts_with(b":"))
}

fn event_id(event: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(event).ok()?;
    let mut lines = text.lines().filter(|line| !response::is_weight_versions_line(line));
    lines.find_map(|line| line.strip_prefix("id:")).and_then(|id| id.trim().parse().ok())
}
