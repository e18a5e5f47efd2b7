//! Listener that can stop listening and abort all its connections.

use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use axum::{Router, serve::Listener};
use parking_lot::Mutex;
use tokio::{
    net::{TcpListener, TcpStream},
    sync::watch,
    task::JoinHandle,
};
use tokio_util::sync::CancellationToken;

use crate::connection::{AbortableStream, StreamAbortHandle};

/// Delay before a failed accept, bind or connect is retried.
const RETRY_INTERVAL: Duration = Duration::from_millis(5);

/// Controls a running listener, which can refuse, accept and abort connections.
#[derive(Clone, Debug)]
pub struct ListenerGate {
    address: SocketAddr,
    open: Arc<watch::Sender<bool>>,
    connections: Arc<Mutex<CancellationToken>>,
}

impl ListenerGate {
    /// Binds `address`, serves `router` in a new task and returns the gate and the task.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub async fn serve(address: SocketAddr, router: Router) -> io::Result<(Self, JoinHandle<()>)> {
        let listener = TcpListener::bind(address).await?;
        let gate = Self {
            address: listener.local_addr()?,
            open: Arc::new(watch::Sender::new(true)),
            connections: Arc::default(),
        };
        let listener = GateListener {
            gate: gate.clone(),
            open: gate.open.subscribe(),
            inner: Some(listener),
        };
        let service = router.into_make_service_with_connect_info::<StreamAbortHandle>();
        let task = tokio::spawn(async move {
            // The server ends only when its task is aborted.
            let _ = axum::serve(listener, service).await;
        });
        Ok((gate, task))
    }

    /// Returns the bound address.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Opens or closes the listening socket; new connections are refused while it is closed.
    pub fn set_open(&self, open: bool) {
        self.open.send_replace(open);
    }

    /// Waits until the listening socket accepts connections again after it was reopened.
    pub async fn wait_until_open(&self) {
        while TcpStream::connect(self.address).await.is_err() {
            tokio::time::sleep(RETRY_INTERVAL).await;
        }
    }

    /// Aborts all open connections.
    pub fn abort_all(&self) {
        let mut token = self.connections.lock();
        token.cancel();
        *token = CancellationToken::new();
    }
}

/// Accepts connections while its gate is open.
pub struct GateListener {
    gate: ListenerGate,
    open: watch::Receiver<bool>,
    inner: Option<TcpListener>,
}

impl GateListener {
    /// Closes the socket while the gate is closed, and returns once the gate is open and the
    /// socket is bound.
    async fn apply_gate_state(&mut self) {
        while !*self.open.borrow_and_update() {
            self.inner = None;
            if self.open.changed().await.is_err() {
                std::future::pending::<()>().await;
            }
        }
        while self.inner.is_none() {
            match TcpListener::bind(self.gate.address).await {
                Ok(listener) => self.inner = Some(listener),
                Err(_) => tokio::time::sleep(RETRY_INTERVAL).await,
            }
        }
    }
}

impl Listener for GateListener {
    type Io = AbortableStream;
    type Addr = SocketAddr;

    async fn accept(&mut self) -> (Self::Io, Self::Addr) {
        loop {
            self.apply_gate_state().await;
            let Some(listener) = &self.inner else {
                continue;
            };
            let result = tokio::select! {
                result = listener.accept() => result,
                _ = self.open.changed() => continue,
            };
            match result {
                Ok((stream, address)) => {
                    // Take the token before checking the gate: connections are aborted only after
                    // the gate is closed, so a connection accepted meanwhile is either dropped
                    // here or aborted through its token.
                    let token = self.gate.connections.lock().child_token();
                    if !*self.open.borrow() {
                        continue;
                    }
                    // Nagle's algorithm would delay small chunks of a stream until the previous
                    // ones are acknowledged.
                    let _ = stream.set_nodelay(true);
                    return (AbortableStream::new(stream, token), address);
                }
                Err(_) => tokio::time::sleep(RETRY_INTERVAL).await,
            }
        }
    }

    fn local_addr(&self) -> io::Result<Self::Addr> {
        Ok(self.gate.address)
    }
}
