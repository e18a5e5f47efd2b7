//! Listener that can stop listening and cut all its connections.

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

/// Pause before a failed accept or bind is tried again.
const RETRY_INTERVAL: Duration = Duration::from_millis(5);

/// Controls a running listener: refuses, accepts and cuts connections.
#[derive(Clone, Debug)]
pub struct ListenerGate {
    address: SocketAddr,
    open: Arc<watch::Sender<bool>>,
    connections: Arc<Mutex<CancellationToken>>,
}

impl ListenerGate {
    /// Binds `address`, serves `router` in a task and returns the gate with the task.
    ///
    /// # Errors
    ///
    /// Returns the error of the bind.
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

    /// Opens or closes the listening socket; a closed one refuses new connections.
    pub fn set_open(&self, open: bool) {
        self.open.send_replace(open);
    }

    /// Waits until the listening socket accepts connections, after it was opened again.
    pub async fn wait_until_open(&self) {
        while TcpStream::connect(self.address).await.is_err() {
            tokio::time::sleep(RETRY_INTERVAL).await;
        }
    }

    /// Cuts every open connection.
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
    /// Returns the socket once the gate is open, and closes it while the gate is closed.
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
                    // The token is taken before the gate is checked: whoever closes the gate cuts
                    // the connections afterwards, so none is accepted that stays open.
                    let token = self.gate.connections.lock().child_token();
                    if !*self.open.borrow() {
                        continue;
                    }
                    // Streamed chunks are small; without this they wait for an acknowledgement.
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
