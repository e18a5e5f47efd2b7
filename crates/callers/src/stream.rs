//! Connection of a caller whose bytes are counted.

use std::{
    io,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

use crate::entry::CallerEntry;

/// Connection of a caller. Dropping it releases what it held.
#[derive(Debug)]
pub struct CallerStream {
    stream: TcpStream,
    entry: Arc<CallerEntry>,
    key: usize,
}

impl CallerStream {
    pub(crate) const fn new(stream: TcpStream, entry: Arc<CallerEntry>, key: usize) -> Self {
        Self { stream, entry, key }
    }

    /// Returns the entry of the connection in the account.
    #[must_use]
    pub const fn entry(&self) -> &Arc<CallerEntry> {
        &self.entry
    }

    /// Returns the TCP connection.
    #[must_use]
    pub const fn tcp(&self) -> &TcpStream {
        &self.stream
    }

    fn check_open(&self, context: &Context<'_>) -> io::Result<()> {
        self.entry.waker.register(context.waker());
        match self.entry.is_closed() {
            true => Err(io::Error::new(
                io::ErrorKind::ConnectionAborted,
                "caller was cut",
            )),
            false => Ok(()),
        }
    }

    fn record_write(&self, polled: &Poll<io::Result<usize>>) {
        match polled {
            Poll::Ready(Ok(bytes)) => self.entry.record_written(Some(*bytes)),
            Poll::Pending => self.entry.record_written(None),
            // The connection ends.
            Poll::Ready(Err(_)) => {}
        }
    }
}

impl Drop for CallerStream {
    fn drop(&mut self) {
        self.entry.account.remove(self.key);
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.check_open(context)?;
        let before = buffer.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(context, buffer);
        let bytes = buffer.filled().len() - before;
        if bytes > 0 {
            self.entry.record_read(bytes);
        }
        polled
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.check_open(context)?;
        let polled = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.record_write(&polled);
        polled
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.check_open(context)?;
        let polled = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.record_write(&polled);
        polled
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
