//! Lingering close for responses sent before the request body has been received.

use std::pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::task;
use std::time;

use futures_util::Stream;
use futures_util::StreamExt as _;
use futures_util::stream;
use poem::http::header;

/// Time for which the rest of a request body is read after the response, in milliseconds. It is
/// long enough for a client that is still sending to receive the response and stop.
const LINGERING_TIMEOUT_MS: u64 = 2_000;
/// Maximum number of bytes that are read after the response; bounds the cost of a client that
/// ignores it.
const LINGERING_MAX_BYTES: usize = 64 * 1024 * 1024;

/// Middleware that reads and discards the rest of the body of a request that was answered early,
/// then closes the connection.
///
/// Closing a connection with unread bytes resets it, and the client may lose the response. The
/// response carries `Connection: close`, because the client would otherwise send its next request
/// on a connection that is about to be closed.
#[derive(Debug, Clone, Copy, Default)]
pub struct LingeringClose;

/// An endpoint wrapped in [`LingeringClose`].
#[derive(Debug)]
pub struct LingeringCloseEndpoint<E>(E);

/// The part of a request body that has not been read yet.
struct UnreadBody {
    stream: stream::BoxStream<'static, std::io::Result<bytes::Bytes>>,
    is_ended: bool,
}

/// A request body that the wrapped endpoint and [`LingeringCloseEndpoint`] both read from.
struct SharedBody(Arc<Mutex<UnreadBody>>);

impl<E> poem::Middleware<E> for LingeringClose
where
    E: poem::Endpoint,
{
    type Output = LingeringCloseEndpoint<E>;

    fn transform(&self, ep: E) -> Self::Output {
        LingeringCloseEndpoint(ep)
    }
}

impl<E> poem::Endpoint for LingeringCloseEndpoint<E>
where
    E: poem::Endpoint,
{
    type Output = poem::Response;

    async fn call(&self, mut req: poem::Request) -> poem::Result<Self::Output> {
        let stream = req.take_body().into_bytes_stream().boxed();
        let unread = Arc::new(Mutex::new(UnreadBody { stream, is_ended: false }));
        req.set_body(poem::Body::from_bytes_stream(SharedBody(Arc::clone(&unread))));
        let mut response = self.0.get_response(req).await;
        let mut unread_body = SharedBody(unread);
        if !unread_body.is_ended().await {
            let close = header::HeaderValue::from_static("close");
            response.headers_mut().insert(header::CONNECTION, close);
            tokio::spawn(async move { unread_body.discard().await });
        }
        Ok(response)
    }
}

impl SharedBody {
    /// Whether the body has ended. An empty body has ended even if the endpoint never read it.
    async fn is_ended(&mut self) -> bool {
        let next = futures_util::poll!(pin::Pin::new(&mut *self).next());
        // Data that is already available was sent but not read by the endpoint.
        matches!(next, task::Poll::Ready(None))
    }

    async fn discard(&mut self) {
        let timeout = time::Duration::from_millis(LINGERING_TIMEOUT_MS);
        let mut remaining_bytes = LINGERING_MAX_BYTES;
        let drain = async {
            while let Some(Ok(bytes)) = self.next().await {
                remaining_bytes = remaining_bytes.saturating_sub(bytes.len());
                if remaining_bytes == 0 {
                    break;
                }
            }
        };
        if tokio::time::timeout(timeout, drain).await.is_err() {
            log::debug!(target: "toucanwall", "timed out reading the rest of a request body after its response; closing the connection");
        }
    }
}

impl Stream for SharedBody {
    type Item = std::io::Result<bytes::Bytes>;

    fn poll_next(
        self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<Option<Self::Item>> {
        let mut unread = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if unread.is_ended {
            return task::Poll::Ready(None);
        }
        let next = unread.stream.poll_next_unpin(cx);
        // A body that failed yields no more bytes.
        unread.is_ended = matches!(next, task::Poll::Ready(None | Some(Err(_))));
        next
    }
}
