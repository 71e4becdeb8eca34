//! A caller's connection that can be reset instead of closed, and that fails once its caller does not
//! read for too long.

use std::io;
use std::pin;
use std::sync::Arc;
use std::sync::atomic;
use std::task;
use std::time;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;

/// Time for which a connection may take no bytes, though some wait to be written, before its caller is
/// given up, in milliseconds. The kernel reports room only once a third of the send buffer is free, so
/// that a caller needs to read some 5 KB a second to count as reading.
const STALL_TIMEOUT_MS: u64 = 4_000;
/// Size of the send buffer of a caller's connection in bytes, of which the kernel reserves the double.
/// Without a limit, the kernel held 890 KB for a caller that did not read, 266 MB for 300 of them: more
/// than the memory of a small host.
pub const SEND_BUFFER_BYTES: u32 = 32 * 1024;

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
    stall: Stall,
}

/// Since when the caller has taken no bytes, though some wait.
#[derive(Debug, Default)]
struct Stall {
    timer: Option<pin::Pin<Box<tokio::time::Sleep>>>,
    stalled: Stalled,
}

/// Whether a connection ended because its caller did not read; clones share it.
#[derive(Debug, Clone, Default)]
pub struct Stalled(Arc<atomic::AtomicBool>);

impl Stalled {
    /// Whether the caller was given up.
    #[must_use]
    pub fn is_set(&self) -> bool {
        self.0.load(atomic::Ordering::Relaxed)
    }
}

impl Stall {
    /// Passes on the result of a write, unless the connection has taken no bytes for too long.
    fn limit(
        &mut self,
        cx: &mut task::Context<'_>,
        written: task::Poll<io::Result<usize>>,
    ) -> task::Poll<io::Result<usize>> {
        if written.is_ready() {
            self.timer = None;
            return written;
        }
        let timeout = time::Duration::from_millis(STALL_TIMEOUT_MS);
        let timer = self.timer.get_or_insert_with(|| Box::pin(tokio::time::sleep(timeout)));
        if timer.as_mut().poll(cx).is_pending() {
            return task::Poll::Pending;
        }
        self.stalled.0.store(true, atomic::Ordering::Relaxed);
        let reason = format!("caller has read nothing for {STALL_TIMEOUT_MS} ms");
        task::Poll::Ready(Err(io::Error::new(io::ErrorKind::TimedOut, reason)))
    }
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
        Self { stream, reset_switch, stall: Stall::default() }
    }

    /// Tells whether the caller was given up, also after the connection has ended.
    #[must_use]
    pub fn stalled(&self) -> Stalled {
        self.stall.stalled.clone()
    }
}

impl Drop for CallerStream {
    fn drop(&mut self) {
        // A reset frees what the kernel holds for a caller that does not read.
        if (self.reset_switch.is_set() || self.stall.stalled.is_set())
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
        let written = pin::Pin::new(&mut self.stream).poll_write(cx, buf);
        self.stall.limit(cx, written)
    }

    fn poll_write_vectored(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        bufs: &[std::io::IoSlice<'_>],
    ) -> task::Poll<std::io::Result<usize>> {
        let written = pin::Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.stall.limit(cx, written)
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
