//! State of the connections to upstreams, as evidence that their processes run.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{
        Arc, Weak,
        atomic::{AtomicBool, Ordering},
    },
};

use parking_lot::Mutex;
use tokio::{sync::watch, time::Instant};

#[derive(Clone, Copy, Debug, Default)]
struct ReadState {
    /// Whether everything that has arrived was read and the upstream has not closed the connection.
    is_drained: bool,
    /// Last time at which that was so.
    last_drained: Option<Instant>,
}

/// State of one connection to an upstream.
#[derive(Debug)]
pub(crate) struct ConnectionState {
    opened: Instant,
    read: Mutex<ReadState>,
    /// Whether a request was sent whose response was not received completely.
    is_busy: AtomicBool,
    /// Time at which the last response was received completely.
    completed: watch::Sender<Option<Instant>>,
}

impl ConnectionState {
    fn new() -> Self {
        Self {
            opened: Instant::now(),
            read: Mutex::default(),
            is_busy: AtomicBool::new(false),
            completed: watch::Sender::new(None),
        }
    }

    /// Records that nothing is left to read on the open connection.
    pub(super) fn record_drained(&self) {
        *self.read.lock() = ReadState {
            is_drained: true,
            last_drained: Some(Instant::now()),
        };
    }

    /// Records that something was read, or that the connection was closed. The end of the connection
    /// may follow unseen until everything is read.
    pub(super) fn record_undrained(&self) {
        self.read.lock().is_drained = false;
    }

    /// Records that a request is sent.
    pub(super) fn record_request(&self) {
        self.is_busy.store(true, Ordering::Relaxed);
    }

    /// Returns whether a response is due.
    pub(super) fn is_busy(&self) -> bool {
        self.is_busy.load(Ordering::Relaxed)
    }

    /// Records that a response was received completely.
    pub(super) fn record_completed(&self) {
        self.is_busy.store(false, Ordering::Relaxed);
        self.completed.send_replace(Some(Instant::now()));
    }

    /// Returns the last time at which the connection was known to be open at the upstream.
    pub(crate) fn last_open(&self) -> Option<Instant> {
        let ReadState {
            is_drained,
            last_drained,
        } = *self.read.lock();
        match is_drained {
            true => Some(Instant::now()),
            false => last_drained,
        }
    }

    /// Waits until a response has been received completely after `since`.
    pub(crate) async fn wait_completed(&self, since: Instant) {
        let mut completed = self.completed.subscribe();
        // The sender lives as long as this state.
        let _ = completed.wait_for(|at| *at >= Some(since)).await;
    }
}

/// Open connections to upstreams by address.
#[derive(Debug, Default)]
pub(super) struct ConnectionRegistry {
    connections: Mutex<HashMap<SocketAddr, Vec<Weak<ConnectionState>>>>,
}

impl ConnectionRegistry {
    /// Adds a connection that was just opened.
    pub(super) fn register(&self, address: SocketAddr) -> Arc<ConnectionState> {
        let state = Arc::new(ConnectionState::new());
        let mut connections = self.connections.lock();
        let known = connections.entry(address).or_default();
        known.retain(|other| other.strong_count() > 0);
        known.push(Arc::downgrade(&state));
        state
    }

    /// Forgets the connections that are closed.
    pub(super) fn remove_closed(&self) {
        self.connections.lock().retain(|_, known| {
            known.retain(|state| state.strong_count() > 0);
            !known.is_empty()
        });
    }
}

/// The other connections to the process that sends a response.
#[derive(Debug)]
pub(crate) struct SiblingConnections {
    pub(super) registry: Arc<ConnectionRegistry>,
    pub(super) address: SocketAddr,
    pub(super) own: Arc<ConnectionState>,
}

impl SiblingConnections {
    /// Returns the address of the upstream.
    pub(crate) const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the connections that are open at the upstream and lead to the same process. A later one
    /// than the last sign of life on the own connection may lead to another process at the address.
    pub(crate) fn find_open(&self) -> Vec<Arc<ConnectionState>> {
        let Some(alive) = self.own.read.lock().last_drained else {
            return Vec::new();
        };
        let connections = self.registry.connections.lock();
        let known = connections.get(&self.address).into_iter().flatten();
        known
            .filter_map(Weak::upgrade)
            .filter(|state| state.opened <= alive && state.read.lock().is_drained)
            .collect()
    }
}
