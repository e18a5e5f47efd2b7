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

/// Progress of reading from a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ReadPhase {
    /// Everything that has arrived was read, and the upstream has not closed the connection.
    Drained,
    /// More may have arrived. The end of the connection is not seen until all of it is read.
    Reading,
    Closed,
}

#[derive(Clone, Copy, Debug)]
struct ReadState {
    phase: ReadPhase,
    /// Last time at which everything was read.
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
            read: Mutex::new(ReadState {
                phase: ReadPhase::Reading,
                last_drained: None,
            }),
            is_busy: AtomicBool::new(false),
            completed: watch::Sender::new(None),
        }
    }

    /// Records that nothing is left to read on the open connection.
    pub(super) fn record_drained(&self) {
        *self.read.lock() = ReadState {
            phase: ReadPhase::Drained,
            last_drained: Some(Instant::now()),
        };
    }

    /// Records that something was read.
    pub(super) fn record_read(&self) {
        let mut read = self.read.lock();
        if read.phase == ReadPhase::Drained {
            read.last_drained = Some(Instant::now());
        }
        read.phase = ReadPhase::Reading;
    }

    /// Records that either side has closed the connection.
    pub(super) fn record_closed(&self) {
        self.read.lock().phase = ReadPhase::Closed;
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

    /// Returns the last time at which a connection that is not closed was known to be open at the
    /// upstream.
    pub(crate) fn last_open(&self) -> Option<Instant> {
        let read = *self.read.lock();
        match read.phase {
            ReadPhase::Drained => Some(Instant::now()),
            ReadPhase::Reading => read.last_drained,
            ReadPhase::Closed => None,
        }
    }

    fn is_drained(&self) -> bool {
        self.read.lock().phase == ReadPhase::Drained
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
            .filter(|state| state.opened <= alive && state.is_drained())
            .collect()
    }
}
