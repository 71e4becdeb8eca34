//! Streams of server-sent events, cut into whole events.

use toucanwall_platform::answer;

/// Largest event that is taken, in bytes.
const EVENT_MAX_BYTES: usize = 1024 * 1024;

/// Cuts a stream into whole events and follows their numbers.
#[derive(Debug, Default)]
pub struct EventSplitter {
    /// Bytes of an event that is not whole yet.
    buffer: Vec<u8>,
    last_id: Option<u64>,
}

/// Why a stream cannot go on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum EventError {
    /// An event repeats what was passed on, or leaves something out.
    #[error("event {got} follows event {last}")]
    OutOfOrder {
        /// The last event that was passed on.
        last: u64,
        /// The event that came.
        got: u64,
    },
    /// An event is too long.
    #[error("an event has more than {EVENT_MAX_BYTES} bytes")]
    TooLong,
}

impl EventSplitter {
    /// A stream that goes on after an event, if any.
    #[must_use]
    pub fn resume_after(last_id: Option<u64>) -> Self {
        Self { buffer: Vec::new(), last_id }
    }

    /// Takes bytes; returns the whole events among them.
    ///
    /// # Errors
    /// [`EventError`] if they do not follow what was passed on.
    pub fn push(&mut self, bytes: &[u8]) -> Result<bytes::Bytes, EventError> {
        self.buffer.extend_from_slice(bytes);
        let mut complete_len = 0;
        while let Some(end) = event_end(&self.buffer[complete_len..]) {
            if let Some(id) = event_id(&self.buffer[complete_len..complete_len + end]) {
                self.advance_to(id)?;
            }
            complete_len += end;
        }
        if self.buffer.len() - complete_len > EVENT_MAX_BYTES {
            return Err(EventError::TooLong);
        }
        let rest = self.buffer.split_off(complete_len);
        Ok(std::mem::replace(&mut self.buffer, rest).into())
    }

    /// Number of the last event that was passed on.
    #[must_use]
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Whether the stream stands between two events.
    #[must_use]
    pub fn is_at_boundary(&self) -> bool {
        self.buffer.is_empty()
    }

    fn advance_to(&mut self, id: u64) -> Result<(), EventError> {
        if let Some(last) = self.last_id
            && id != last + 1
        {
            return Err(EventError::OutOfOrder { last, got: id });
        }
        self.last_id = Some(id);
        Ok(())
    }
}

/// Length of the first event, the empty line at its end included.
fn event_end(bytes: &[u8]) -> Option<usize> {
    let newlines = bytes.iter().enumerate().filter(|(_, byte)| **byte == b'\n');
    newlines
        .map(|(at, _)| at + 1)
        .find(|start| {
            let after = &bytes[*start..];
            after.starts_with(b"\n") || after.starts_with(b"\r\n")
        })
        .map(|start| start + if bytes[start] == b'\r' { 2 } else { 1 })
}

fn event_id(event: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(event).ok()?;
    let mut lines = text.lines().filter(|line| !answer::is_weights_line(line));
    lines.find_map(|line| line.strip_prefix("id:")).and_then(|id| id.trim().parse().ok())
}
