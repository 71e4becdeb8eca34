//! Limits what a server may send before the head of its response is complete, and at once.
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
/// Number of bytes of a body that are read at once. The HTTP client enlarges the buffer of a connection
/// while reads fill it; this is just below its smallest buffer.
const READ_MAX_BYTES: usize = 8 * 1024 - 1;
/// Number of bytes of a head that are read at first. Small, since interim responses are counted only
/// once a whole read has been parsed.
const FIRST_READ_BYTES: usize = 1024;
/// Number of interim responses from which on no more bytes are read before the head is complete: each
/// takes processor time, however small it is.
const INTERIM_MAX: usize = 32;

/// Counts the bytes read and interim responses received since a request was sent; clones share the
/// counts.
#[derive(Debug, Clone, Default)]
pub struct HeadLimit {
    /// Bytes read so far, or [`NOT_WAITING`].
    read_bytes: Arc<atomic::AtomicUsize>,
    /// Interim responses so far.
    interim_responses: Arc<atomic::AtomicUsize>,
}

/// Marks that no response head is awaited.
const NOT_WAITING: usize = usize::MAX;

impl HeadLimit {
    /// Starts to count for the next response.
    pub fn start(&self) {
        self.read_bytes.store(0, atomic::Ordering::Relaxed);
        self.interim_responses.store(0, atomic::Ordering::Relaxed);
    }

    /// Counts an interim response.
    pub fn record_interim(&self) {
        self.interim_responses.fetch_add(1, atomic::Ordering::Relaxed);
    }

    /// Ends the limit: the head is complete.
    pub fn end(&self) {
        self.read_bytes.store(NOT_WAITING, atomic::Ordering::Relaxed);
    }

    /// Whether the server has sent too much.
    #[must_use]
    pub fn is_exceeded(&self) -> bool {
        let read_bytes = self.read_bytes.load(atomic::Ordering::Relaxed);
        let interim_responses = self.interim_responses.load(atomic::Ordering::Relaxed);
        read_bytes != NOT_WAITING
            && (read_bytes > HEAD_MAX_BYTES || interim_responses > INTERIM_MAX)
    }

    /// Number of bytes to read at most. Reads of a head double what was read of it, since the client
    /// parses an incomplete head anew after each of them.
    fn read_max_bytes(&self) -> usize {
        match self.read_bytes.load(atomic::Ordering::Relaxed) {
            NOT_WAITING => READ_MAX_BYTES,
            read_bytes => read_bytes.max(FIRST_READ_BYTES),
        }
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
            let reason = format!(
                "no response within {HEAD_MAX_BYTES} bytes and {INTERIM_MAX} interim responses"
            );
            return task::Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, reason)));
        }
        let part_len = self.limit.read_max_bytes().min(buf.remaining());
        let mut part = tokio::io::ReadBuf::new(buf.initialize_unfilled_to(part_len));
        let result = pin::Pin::new(&mut self.stream).poll_read(cx, &mut part);
        let read_bytes = part.filled().len();
        buf.advance(read_bytes);
        self.limit.add(read_bytes);
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
