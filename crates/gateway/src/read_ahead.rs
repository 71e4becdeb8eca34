//! Reads a stream from its server while its caller reads more slowly.
//!
//! Servers cut a response that stays unread for some seconds. Events that the caller has not read yet
//! are held for it, and count towards the memory budget.

use std::sync::Arc;
use std::time;

use crate::memory_budget;
use crate::patience;
use crate::state;
use crate::stream;

/// Number of bytes that are held for a caller before its server's response is left unread.
const READ_AHEAD_BYTES: usize = 64 * 1024;
/// Time for which a response is left unread at most, in milliseconds; servers cut it after some 3 s. From
/// then on it is read without pauses until the caller has caught up, and only the memory budget limits
/// it: servers could still not write for 4.5 s when only 64 KB more were read, since their own send
/// buffers were larger.
const UNREAD_MAX_MS: u64 = 1_500;
/// Memory that has to be free for a response that is read on; otherwise its caller is given up. When 300
/// responses were read on together, a busy host needed seconds to read as much of each as its server had
/// to get rid of before it could write again.
const READ_ON_BYTES: usize = 1024 * 1024;

/// The events that have been read and not yet written to the caller's connection. Dropping it ends the
/// stream.
#[derive(Debug)]
pub struct ReadAhead {
    events: tokio::sync::mpsc::UnboundedReceiver<Result<bytes::Bytes, stream::StreamError>>,
    reader: tokio::task::AbortHandle,
}

/// What a stream is read with.
#[derive(Debug)]
pub struct Inputs {
    /// State that all requests share.
    pub state: Arc<state::GatewayState>,
    /// What is held for the caller.
    pub account: memory_budget::Account,
    /// Resolves once the body of the request has to be given up.
    pub body_eviction: memory_budget::EvictionSignal,
    /// When the request was received, on the monotonic clock in milliseconds.
    pub received_at_ms: u64,
    /// When the response has to be complete.
    pub deadline: tokio::time::Instant,
}

impl ReadAhead {
    /// Starts to read a stream.
    #[must_use]
    pub fn start(stream: stream::EventStream, inputs: Inputs) -> Self {
        let (sender, events) = tokio::sync::mpsc::unbounded_channel();
        let reader = tokio::spawn(read(stream, inputs, sender)).abort_handle();
        Self { events, reader }
    }

    /// Returns the next bytes to forward, or `None` at the end.
    ///
    /// # Errors
    /// [`stream::StreamError`] if the stream cannot be completed.
    pub async fn next(&mut self) -> Option<Result<bytes::Bytes, stream::StreamError>> {
        let next = self.events.recv().await;
        if let Some(Err(_)) = &next {
            // An error discards what the connection has not written yet, so that the events before it
            // are written first.
            tokio::task::yield_now().await;
        }
        next
    }
}

impl Drop for ReadAhead {
    fn drop(&mut self) {
        self.reader.abort();
    }
}

/// Reads a stream to its end, and closes the server's connection if it is broken off before.
async fn read(
    mut stream: stream::EventStream,
    inputs: Inputs,
    events: tokio::sync::mpsc::UnboundedSender<Result<bytes::Bytes, stream::StreamError>>,
) {
    let Inputs { state, account, body_eviction, received_at_ms, deadline } = inputs;
    let mut read_on = None;
    loop {
        let reading = read_next(&mut stream, &account, &mut read_on);
        let next = tokio::select! {
            next = tokio::time::timeout_at(deadline, reading) => {
                next.unwrap_or_else(|_elapsed| Some(Err(stream::StreamError::DEADLINE)))
            }
            () = state.lifecycle.ended(state.clock) => Some(Err(stream::StreamError::STOPPING)),
            () = body_eviction.evicted() => Some(Err(stream::StreamError::NO_MEMORY)),
        };
        let Some(next) = next else {
            record_duration(&stream, &state, received_at_ms);
            return;
        };
        let is_broken = next.is_err();
        let is_caller_gone = events.send(next.map(|bytes| account.hold(bytes))).is_err();
        if is_broken || is_caller_gone {
            return;
        }
    }
}

/// Reads the next events once there is room for them, or the response would be unread for too long.
async fn read_next(
    stream: &mut stream::EventStream,
    account: &memory_budget::Account,
    read_on: &mut Option<memory_budget::Reservation>,
) -> Option<Result<bytes::Bytes, stream::StreamError>> {
    if account.held_bytes() < READ_AHEAD_BYTES {
        *read_on = None;
    } else {
        let unread_since = tokio::time::Instant::now();
        let unread_until = unread_since + time::Duration::from_millis(UNREAD_MAX_MS);
        let waiting = account.wait_for_room(READ_AHEAD_BYTES);
        if read_on.is_none() && patience::until(unread_until, waiting).await.is_err() {
            *read_on = account.reserve_or_give_up(READ_ON_BYTES);
            if read_on.is_none() {
                // The connection of the caller ends, and this task with it.
                return std::future::pending().await;
            }
        }
        stream.discount(unread_since.elapsed());
    }
    stream.next().await
}

fn record_duration(stream: &stream::EventStream, state: &state::GatewayState, received_at_ms: u64) {
    if let Some(exchange) = stream.exchange() {
        let took_ms = state.clock.now_ms().saturating_sub(received_at_ms);
        state.record_duration(&exchange.route.name, took_ms);
    }
}
