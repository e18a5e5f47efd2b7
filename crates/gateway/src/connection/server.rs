//! HTTP server for the connections of callers.

use std::{convert::Infallible, future::Future, pin::pin, sync::Arc, time::Duration};

use http::{Request, Response};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::{sync::CancellationToken, task::TaskTracker};

use crate::{connection::set_stream_options, request::ResponseBody};

/// Delay after a failed accept, so that a lack of file descriptors does not cause a busy loop.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Minimum size of the read buffer that hyper accepts, in bytes.
const BUFFER_MIN: usize = 8 * 1024;

/// Limits of one caller connection.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ConnectionOptions {
    /// Maximum size of a request head, in bytes.
    pub(crate) header_bytes: usize,
    /// Maximum time to receive a request head, and maximum idle time.
    pub(crate) idle_timeout: Duration,
}

/// Accepts connections and serves requests on them.
#[derive(Clone, Debug, Default)]
pub(crate) struct ServerConnections {
    /// Closes idle connections at once and the others after their current request.
    pub(crate) closing: CancellationToken,
    tasks: TaskTracker,
}

impl ServerConnections {
    /// Accepts connections from a listener until `stop` is cancelled.
    pub(crate) async fn serve<H, F>(
        &self,
        listener: TcpListener,
        options: impl Fn() -> ConnectionOptions,
        handler: H,
        stop: CancellationToken,
    ) where
        H: Fn(Request<Incoming>) -> F + Send + Sync + 'static,
        F: Future<Output = Response<ResponseBody>> + Send + 'static,
    {
        let handler = Arc::new(handler);
        loop {
            let accepted = tokio::select! {
                () = stop.cancelled() => return,
                accepted = listener.accept() => accepted,
            };
            match accepted {
                Ok((stream, _)) => {
                    let closing = self.closing.clone();
                    let serve = serve_stream(stream, options(), Arc::clone(&handler), closing);
                    self.tasks.spawn(serve);
                }
                Err(error) => {
                    log::warn!("cannot accept connection: {error}");
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }

    /// Waits until all connections are closed.
    pub(crate) async fn wait_closed(&self) {
        self.tasks.close();
        self.tasks.wait().await;
    }
}

async fn serve_stream<H, F>(
    stream: TcpStream,
    options: ConnectionOptions,
    handler: Arc<H>,
    closing: CancellationToken,
) where
    H: Fn(Request<Incoming>) -> F + Send + Sync + 'static,
    F: Future<Output = Response<ResponseBody>> + Send + 'static,
{
    set_stream_options(&stream);
    let service = service_fn(move |request| {
        let answer = handler(request);
        async move { Ok::<_, Infallible>(answer.await) }
    });
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(options.idle_timeout)
        .max_buf_size(options.header_bytes.max(BUFFER_MIN));
    let mut connection = pin!(builder.serve_connection(TokioIo::new(stream), service));
    let result = tokio::select! {
        result = connection.as_mut() => result,
        () = closing.cancelled() => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = result {
        log::trace!("caller connection closed with an error: {error}");
    }
}
