//! Time limits that count what has arrived, on a thread that may be busy or stopped meanwhile.

use std::pin;
use std::task;

/// Number of rounds of the runtime after a time limit in which bytes that had arrived by then are
/// handled: in one they are read, in the next they reach the waiting task.
const ROUNDS: u32 = 3;

/// The time limit has passed, and nothing had arrived.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Elapsed;

/// Waits for a future until a time. After that, tasks that are ready run once more before the future is
/// given up: a thread that was busy or stopped finds an expired timer and the awaited bytes together.
///
/// # Errors
/// [`Elapsed`] if the future is not complete by then.
pub async fn until<F>(deadline: tokio::time::Instant, future: F) -> Result<F::Output, Elapsed>
where
    F: Future,
{
    let mut future = pin::pin!(future);
    if let Ok(output) = tokio::time::timeout_at(deadline, future.as_mut()).await {
        return Ok(output);
    }
    for _ in 0..ROUNDS {
        tokio::task::yield_now().await;
        let polled = std::future::poll_fn(|cx| task::Poll::Ready(future.as_mut().poll(cx))).await;
        if let task::Poll::Ready(output) = polled {
            return Ok(output);
        }
    }
    Err(Elapsed)
}
