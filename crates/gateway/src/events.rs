//! Streams of server-sent events, cut into whole events.

use toucanwall_platform::response;

/// Largest event that is taken, in bytes.
const EVENT_MAX_BYTES: usize = 1024 * 1024;

/// Cuts a stream into whole events and follows their numbers.
#[derive(Debug, Default)]
pub struct Events {
    /// Bytes of an event that is not whole yet.
    rest: Vec<u8>,
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

impl Events {
    /// A stream that goes on after an event, if any.
    #[must_use]
    pub fn after(last_id: Option<u64>) -> Self {
        Self { rest: Vec::new(), last_id }
    }

    /// Takes bytes; returns the whole events among them.
    ///
    /// # Errors
    /// [`EventError`] if they do not follow what was passed on.
    pub fn take(&mut self, bytes: &[u8]) -> Result<bytes::Bytes, EventError> {
        self.rest.extend_from_slice(bytes);
        let mut whole = 0;
        while let Some(end) = event_end(&self.rest[whole..]) {
            if let Some(id) = event_id(&self.rest[whole..whole + end]) {
                self.follow(id)?;
            }
            whole += end;
        }
        if self.rest.len() - whole > EVENT_MAX_BYTES {
            return Err(EventError::TooLong);
        }
        let rest = self.rest.split_off(whole);
        Ok(std::mem::replace(&mut self.rest, rest).into())
    }

    /// Number of the last event that was passed on.
    #[must_use]
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Whether the stream stands between two events.
    #[must_use]
    pub fn is_whole(&self) -> bool {
        self.rest.is_empty()
    }

    fn follow(&mut self, id: u64) -> Result<(), EventError> {
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
    let mut lines = text.lines().filter(|line| !response::is_weight_versions_line(line));
    lines.find_map(|line| line.strip_prefix("id:")).and_then(|id| id.trim().parse().ok())
}
