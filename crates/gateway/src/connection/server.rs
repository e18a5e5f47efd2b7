//! HTTP server for the connections of callers.

use std::{convert::Infallible, future::Future, pin::pin, sync::Arc, time::Duration};

use cornelarch_callers::{AnswerBody, CallerAccount, CallerEntry, CallerStream};
use http::{Request, Response};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::TcpListener;
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
#[derive(Clone, Debug)]
pub(crate) struct ServerConnections {
    /// Closes idle connections at once and the others after their current request.
    pub(crate) closing: CancellationToken,
    tasks: TaskTracker,
    account: Arc<CallerAccount>,
}

impl ServerConnections {
    /// Creates the connections of a listener, which hold what `account` allows.
    pub(crate) fn new(account: Arc<CallerAccount>) -> Self {
        Self {
            closing: CancellationToken::new(),
            tasks: TaskTracker::new(),
            account,
        }
    }

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
                    let Some(stream) = self.account.admit(stream).await else {
                        continue;
                    };
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
    stream: CallerStream,
    options: ConnectionOptions,
    handler: Arc<H>,
    closing: CancellationToken,
) where
    H: Fn(Request<Incoming>) -> F + Send + Sync + 'static,
    F: Future<Output = Response<ResponseBody>> + Send + 'static,
{
    set_stream_options(stream.tcp());
    let entry = Arc::clone(stream.entry());
    let service = service_fn(move |mut request: Request<Incoming>| {
        let entry = Arc::clone(&entry);
        entry.start_request();
        request
            .extensions_mut()
            .insert::<Arc<CallerEntry>>(Arc::clone(&entry));
        let answer = handler(request);
        async move {
            let answer = answer.await;
            Ok::<_, Infallible>(answer.map(|body| AnswerBody::start(entry, body)))
        }
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
