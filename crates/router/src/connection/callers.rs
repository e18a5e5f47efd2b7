//! Connections of callers within their account.

use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use axum::{
    body::Body,
    extract::{ConnectInfo, Request, connect_info::Connected},
    middleware::Next,
    response::Response,
    serve::{IncomingStream, Listener},
};
use cornelarch_callers::{AnswerBody, CallerAccount, CallerEntry, CallerStream};
use tokio::net::TcpListener;

/// Delay after a failed accept, so that a lack of descriptors does not cause a busy loop.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Entry of the connection of a request in the account.
#[derive(Clone, Debug)]
pub(crate) struct CallerReference(pub(crate) Arc<CallerEntry>);

impl Connected<IncomingStream<'_, CallerListener>> for CallerReference {
    fn connect_info(stream: IncomingStream<'_, CallerListener>) -> Self {
        Self(Arc::clone(stream.io().entry()))
    }
}

/// Listener that takes connections into an account.
#[derive(Debug)]
pub(crate) struct CallerListener {
    listener: TcpListener,
    account: Arc<CallerAccount>,
}

impl CallerListener {
    pub(crate) const fn new(listener: TcpListener, account: Arc<CallerAccount>) -> Self {
        Self { listener, account }
    }
}

impl Listener for CallerListener {
    type Io = CallerStream;
    type Addr = SocketAddr;

    async fn accept(&mut self) -> (CallerStream, SocketAddr) {
        loop {
            match self.listener.accept().await {
                Ok((stream, address)) => {
                    // Stream events are small and latency-sensitive; Nagle's algorithm would delay
                    // them.
                    if let Err(error) = stream.set_nodelay(true) {
                        log::debug!("cannot set socket options: {error}");
                    }
                    if let Some(stream) = self.account.admit(stream).await {
                        return (stream, address);
                    }
                }
                Err(error) => {
                    log::warn!("cannot accept connection: {error}");
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }

    fn local_addr(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }
}

/// Records the stages of a request, and charges its answer until it is written.
pub(crate) async fn track_caller(
    ConnectInfo(CallerReference(entry)): ConnectInfo<CallerReference>,
    request: Request,
    next: Next,
) -> Response {
    entry.start_request();
    let answer = next.run(request).await;
    answer.map(|body| Body::new(AnswerBody::start(entry, body)))
}
