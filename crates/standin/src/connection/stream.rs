//! TCP stream that can be aborted at any time.

use std::{
    io,
    pin::Pin,
    task::{Context, Poll},
};

use axum::{extract::connect_info::Connected, serve::IncomingStream};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};
use tokio_util::sync::{CancellationToken, WaitForCancellationFutureOwned};

use crate::connection::GateListener;

/// A TCP stream whose reads and writes fail with a connection reset once it is aborted.
pub struct AbortableStream {
    inner: TcpStream,
    token: CancellationToken,
    aborted: Pin<Box<WaitForCancellationFutureOwned>>,
}

impl AbortableStream {
    pub(crate) fn new(inner: TcpStream, token: CancellationToken) -> Self {
        let aborted = Box::pin(token.clone().cancelled_owned());
        Self {
            inner,
            token,
            aborted,
        }
    }

    /// Returns an error if the connection was aborted; otherwise registers the task to be woken
    /// by an abort.
    fn check_aborted(&mut self, context: &mut Context<'_>) -> io::Result<()> {
        match self.token.is_cancelled() || self.aborted.as_mut().poll(context).is_ready() {
            true => Err(io::ErrorKind::ConnectionReset.into()),
            false => Ok(()),
        }
    }
}

impl AsyncRead for AbortableStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.check_aborted(context)?;
        Pin::new(&mut self.inner).poll_read(context, buffer)
    }
}

impl AsyncWrite for AbortableStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.check_aborted(context)?;
        Pin::new(&mut self.inner).poll_write(context, buffer)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.check_aborted(context)?;
        Pin::new(&mut self.inner).poll_write_vectored(context, buffers)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.check_aborted(context)?;
        Pin::new(&mut self.inner).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(context)
    }
}

/// Aborts the connection of the request that it was extracted from.
#[derive(Clone, Debug)]
pub struct StreamAbortHandle(CancellationToken);

impl StreamAbortHandle {
    /// Aborts the connection and never returns; the server drops the handler together with the
    /// connection.
    pub async fn abort(&self) -> ! {
        self.0.cancel();
        std::future::pending().await
    }

    /// Aborts the connection and returns, for use inside a response body.
    pub fn abort_now(&self) {
        self.0.cancel();
    }
}

impl Connected<IncomingStream<'_, GateListener>> for StreamAbortHandle {
    fn connect_info(stream: IncomingStream<'_, GateListener>) -> Self {
        Self(stream.io().token.clone())
    }
}
