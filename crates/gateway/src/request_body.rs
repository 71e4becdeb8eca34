//! Reads the bodies of requests.

use std::time;

use http_body_util::BodyExt as _;
use hyper::body::Body as _;

use crate::ingress;
use crate::memory_budget;
use crate::state;

/// Time for which the rest of a body is read and discarded after an early response, in
/// milliseconds.
const LINGER_MS: u64 = 2_000;

/// Reads the body of a request to its end. Whoever uses it has to drop it once the signal resolves.
///
/// # Errors
/// The response if the body is cut off, too large, or does not fit into the memory.
pub async fn read(
    state: &state::GatewayState,
    mut body: hyper::body::Incoming,
    max_bytes: usize,
) -> Result<(bytes::Bytes, memory_budget::EvictionSignal), ingress::Rejection> {
    let declared_bytes = body.size_hint().lower();
    let mut share = state.memory_budget.open_share();
    let mut read = memory_budget::Blocks::default();
    let is_too_large = |bytes: u64| bytes > u64::try_from(max_bytes).unwrap_or(u64::MAX);
    let mut is_large = is_too_large(declared_bytes);
    while !is_large {
        match share.unless_evicted(body.frame()).await.map_err(no_memory)? {
            None => return Ok(share.keep(read.into_vec())),
            Some(Ok(frame)) => {
                let data = frame.into_data().unwrap_or_default();
                read.extend(&data);
                is_large = read.len() > max_bytes;
                share.resize(read.allocated_bytes()).map_err(no_memory)?;
            }
            Some(Err(_)) => {
                let status = hyper::StatusCode::BAD_REQUEST;
                return Err(ingress::Rejection {
                    status,
                    reason: "body cut off",
                    retry_after_ms: None,
                });
            }
        }
    }
    // Closing a socket with unread bytes sends a TCP reset, which can discard the response before
    // the caller has read it.
    tokio::spawn(async move {
        let rest = async { while let Some(Ok(_)) = body.frame().await {} };
        if tokio::time::timeout(time::Duration::from_millis(LINGER_MS), rest).await.is_err() {
            log::debug!(target: "toucanwall", "timed out discarding an oversized request body");
        }
    });
    let status = hyper::StatusCode::PAYLOAD_TOO_LARGE;
    Err(ingress::Rejection { status, reason: "body too large", retry_after_ms: None })
}

/// Rejects a request whose body does not fit into the memory beside those of others.
fn no_memory(exceeded: memory_budget::Exceeded) -> ingress::Rejection {
    log::warn!(target: "toucanwall", why = exceeded.to_string(); "body of a request not read");
    ingress::NO_MEMORY
}
