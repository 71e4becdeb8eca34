//! A caller's connection that can be reset instead of closed.

use std::pin;
use std::sync::Arc;
use std::sync::atomic;
use std::task;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;

/// Makes a caller's connection end with a reset.
///
/// Without a length or chunks, as for callers of HTTP/1.0, the end of the connection is the end of
/// the response. Only a reset shows such callers that it broke off.
#[derive(Debug, Clone, Default)]
pub struct ResetSwitch(Arc<atomic::AtomicBool>);

/// A connection from a caller.
#[derive(Debug)]
pub struct CallerStream {
    stream: tokio::net::TcpStream,
    reset_switch: ResetSwitch,
}

impl ResetSwitch {
    /// Resets the connection once it ends.
    pub fn set(&self) {
        self.0.store(true, atomic::Ordering::Relaxed);
    }

    fn is_set(&self) -> bool {
        self.0.load(atomic::Ordering::Relaxed)
    }
}

impl CallerStream {
    /// Wraps a connection that ends with a reset if the switch is set.
    #[must_use]
    pub fn new(stream: tokio::net::TcpStream, reset_switch: ResetSwitch) -> Self {
        Self { stream, reset_switch }
    }
}

impl Drop for CallerStream {
    fn drop(&mut self) {
        if self.reset_switch.is_set()
            && let Err(error) = self.stream.set_zero_linger()
        {
            log::warn!(target: "toucanwall", "cannot reset a connection: {error}");
        }
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        buf: &mut tokio::io::ReadBuf<'_>,
    ) -> task::Poll<std::io::Result<()>> {
        pin::Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        buf: &[u8],
    ) -> task::Poll<std::io::Result<usize>> {
        pin::Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        bufs: &[std::io::IoSlice<'_>],
    ) -> task::Poll<std::io::Result<usize>> {
        pin::Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<std::io::Result<()>> {
        pin::Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<std::io::Result<()>> {
        // A shutdown would tell the caller that the response is complete.
        if self.reset_switch.is_set() {
            return task::Poll::Ready(Ok(()));
        }
        pin::Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
