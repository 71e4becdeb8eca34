//! Answers given before a request's body has come in.

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

/// Time for which the rest of a body is read after the answer, in milliseconds: long enough for
/// a sender that is still sending to see the answer and stop.
const LINGER_MS: u64 = 2_000;
/// Most bytes of the rest that are read; bounds what a sender that ignores the answer costs.
const LINGER_MAX_BYTES: usize = 64 * 1024 * 1024;

/// Reads the rest of a body whose request was answered early, and closes the connection after it.
///
/// Closing a connection with unread bytes resets it, which may destroy the answer on its way. And
/// without `Connection: close` the caller would send its next request on a connection that is
/// about to go.
#[derive(Debug, Clone, Copy, Default)]
pub struct LingeringClose;

/// An endpoint behind [`LingeringClose`].
#[derive(Debug)]
pub struct LingeringCloseEndpoint<E>(E);

/// The part of a body that nobody has read yet.
struct Unread {
    stream: stream::BoxStream<'static, std::io::Result<bytes::Bytes>>,
    is_ended: bool,
}

/// Reads a body that [`LingeringCloseEndpoint`] can go on reading.
struct Shared(Arc<Mutex<Unread>>);

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
        let unread = Arc::new(Mutex::new(Unread { stream, is_ended: false }));
        req.set_body(poem::Body::from_bytes_stream(Shared(Arc::clone(&unread))));
        let mut response = self.0.get_response(req).await;
        let mut rest = Shared(unread);
        if !rest.is_ended().await {
            let close = header::HeaderValue::from_static("close");
            response.headers_mut().insert(header::CONNECTION, close);
            tokio::spawn(async move { rest.discard().await });
        }
        Ok(response)
    }
}

impl Shared {
    /// Whether the body is at its end; an empty one is, without having been read.
    async fn is_ended(&mut self) -> bool {
        let next = futures_util::poll!(pin::Pin::new(&mut *self).next());
        // Bytes that are there already mean that more was sent than anybody wanted.
        matches!(next, task::Poll::Ready(None))
    }

    async fn discard(&mut self) {
        let limit = time::Duration::from_millis(LINGER_MS);
        let mut left_bytes = LINGER_MAX_BYTES;
        let reading = async {
            while let Some(Ok(bytes)) = self.next().await {
                left_bytes = left_bytes.saturating_sub(bytes.len());
                if left_bytes == 0 {
                    break;
                }
            }
        };
        if tokio::time::timeout(limit, reading).await.is_err() {
            log::debug!(target: "toucanwall", "the body of an answered request goes on; the connection is closed");
        }
    }
}

impl Stream for Shared {
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
        // A body that failed has no more bytes either.
        unread.is_ended = matches!(next, task::Poll::Ready(None | Some(Err(_))));
        next
    }
}
