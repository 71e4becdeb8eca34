//! Limits what a server may send before the head of its response is complete.
//!
//! Interim responses and header lines may come without end. The HTTP client reads on through them, so
//! they are counted where they are read.

use std::io;
use std::pin;
use std::sync::Arc;
use std::sync::atomic;
use std::task;

/// Number of bytes from which on no more are read before the head is complete. A read that
/// completes the head may exceed it, since it may hold a part of the body.
const HEAD_MAX_BYTES: usize = 64 * 1024;

/// Counts the bytes read since a request was sent; clones share the count.
#[derive(Debug, Clone, Default)]
pub struct HeadLimit {
    /// Bytes read so far, or [`NOT_WAITING`].
    read_bytes: Arc<atomic::AtomicUsize>,
}

/// Marks that no response head is awaited.
const NOT_WAITING: usize = usize::MAX;

impl HeadLimit {
    /// Starts to count for the next response.
    pub fn start(&self) {
        self.read_bytes.store(0, atomic::Ordering::Relaxed);
    }

    /// Ends the limit: the head is complete.
    pub fn end(&self) {
        self.read_bytes.store(NOT_WAITING, atomic::Ordering::Relaxed);
    }

    /// Whether the server has sent too much.
    #[must_use]
    pub fn is_exceeded(&self) -> bool {
        let read_bytes = self.read_bytes.load(atomic::Ordering::Relaxed);
        read_bytes != NOT_WAITING && read_bytes > HEAD_MAX_BYTES
    }

    fn add(&self, bytes: usize) {
        let read_bytes = self.read_bytes.load(atomic::Ordering::Relaxed);
        if read_bytes != NOT_WAITING {
            self.read_bytes.store(read_bytes.saturating_add(bytes), atomic::Ordering::Relaxed);
        }
    }
}

/// A connection whose reads fail once the limit is exceeded.
#[derive(Debug)]
pub struct LimitedStream {
    stream: tokio::net::TcpStream,
    limit: HeadLimit,
}

impl LimitedStream {
    /// Wraps a connection.
    #[must_use]
    pub fn new(stream: tokio::net::TcpStream, limit: HeadLimit) -> Self {
        Self { stream, limit }
    }
}

impl tokio::io::AsyncRead for LimitedStream {
    fn poll_read(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        buf: &mut tokio::io::ReadBuf<'_>,
    ) -> task::Poll<io::Result<()>> {
        if self.limit.is_exceeded() {
            let reason = format!("no response within {HEAD_MAX_BYTES} bytes");
            return task::Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, reason)));
        }
        let filled_before = buf.filled().len();
        let result = pin::Pin::new(&mut self.stream).poll_read(cx, buf);
        self.limit.add(buf.filled().len() - filled_before);
        result
    }
}

impl tokio::io::AsyncWrite for LimitedStream {
    fn poll_write(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        buf: &[u8],
    ) -> task::Poll<io::Result<usize>> {
        pin::Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> task::Poll<io::Result<usize>> {
        pin::Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        pin::Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        pin::Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
