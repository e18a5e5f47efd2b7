//! Limit of the bytes that an upstream sends besides the body of a response.

use std::{
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    task::{Context, Poll},
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

use crate::connection::ConnectionState;

/// Maximum number of bytes of informational responses, the head, and what is received but not yet
/// processed. The read buffer alone may have 64 kB, and the head as much.
const OVERHEAD_MAX: u64 = 256 * 1024;
/// Maximum number of bytes on the connection per byte of the body. A chunk of one byte has six.
const FRAMING_MAX: u64 = 8;
/// Size from which a piece of the body, such as a chunk, does not count as small, in bytes.
const PIECE_BYTES_MIN: u64 = 16;

/// Counts the bytes of a response, including those that never become part of its head or body, such
/// as informational responses and the zeros before a chunk size. The HTTP parser accepts any number
/// of them.
#[derive(Debug, Default)]
pub(crate) struct ResponseMeter {
    received: AtomicU64,
    body: AtomicU64,
    pieces: AtomicU64,
}

impl ResponseMeter {
    /// Starts to count the bytes of the next response.
    pub(crate) fn start_response(&self) {
        self.received.store(0, Ordering::Relaxed);
        self.body.store(0, Ordering::Relaxed);
        self.pieces.store(0, Ordering::Relaxed);
    }

    /// Records that a piece of the body was processed. Returns whether there are at most `pieces_max`
    /// pieces more than the size of the body explains: processing one takes time whatever its size.
    pub(crate) fn record_body(&self, bytes: usize, pieces_max: u64) -> bool {
        let bytes = bytes as u64;
        let body = self.body.fetch_add(bytes, Ordering::Relaxed) + bytes;
        let pieces = self.pieces.fetch_add(1, Ordering::Relaxed) + 1;
        pieces <= pieces_max.saturating_add(body / PIECE_BYTES_MIN)
    }

    /// Records received bytes and returns whether there are too many.
    fn record_received(&self, bytes: usize) -> bool {
        let bytes = bytes as u64;
        let received = self.received.fetch_add(bytes, Ordering::Relaxed) + bytes;
        let body = self.body.load(Ordering::Relaxed);
        received > OVERHEAD_MAX + body.saturating_mul(FRAMING_MAX)
    }
}

/// Connection to an upstream whose received bytes are counted. A response with too many of them
/// ends with an error.
#[derive(Debug)]
pub(super) struct MeteredStream {
    stream: TcpStream,
    meter: Arc<ResponseMeter>,
    state: Arc<ConnectionState>,
}

impl MeteredStream {
    pub(super) const fn new(
        stream: TcpStream,
        meter: Arc<ResponseMeter>,
        state: Arc<ConnectionState>,
    ) -> Self {
        Self {
            stream,
            meter,
            state,
        }
    }
}

impl Drop for MeteredStream {
    fn drop(&mut self) {
        self.state.record_closed();
        // The system would deliver the rest of a request that was given up when the upstream can be
        // reached again, seconds later.
        if self.state.is_busy()
            && let Err(error) = self.stream.set_zero_linger()
        {
            log::debug!("connection is closed without a reset: {error}");
        }
    }
}

impl AsyncRead for MeteredStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(context, buffer);
        let bytes = buffer.filled().len() - before;
        match &polled {
            Poll::Pending => self.state.record_drained(),
            Poll::Ready(Ok(())) if bytes > 0 => self.state.record_read(),
            Poll::Ready(_) => self.state.record_closed(),
        }
        if self.meter.record_received(bytes) {
            let error = "upstream sends too many bytes besides the body";
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, error)));
        }
        polled
    }
}

impl AsyncWrite for MeteredStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
