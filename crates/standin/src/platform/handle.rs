//! Handle of a running platform stand-in.

use std::{io, net::SocketAddr, sync::Arc};

use bytes::Bytes;
use cornelarch_platform::{InstanceEntry, VersionedValue};
use parking_lot::Mutex;
use tokio::{sync::watch, task::JoinHandle};

use crate::{
    connection::ListenerGate,
    platform::{CallCounts, PlatformFaults, server, state::PlatformState, state::WriteCall},
};

/// Options of the platform stand-in.
#[derive(Clone, Debug)]
pub struct PlatformOptions {
    /// The address to listen on; port 0 selects a free port.
    pub address: SocketAddr,
    /// The maximum number of reads and opened watches per second; 0 means no limit.
    pub reads_per_s: u32,
    /// The maximum number of writes per second; 0 means no limit.
    pub writes_per_s: u32,
}

impl Default for PlatformOptions {
    fn default() -> Self {
        Self {
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            reads_per_s: 2_000,
            writes_per_s: 500,
        }
    }
}

/// State shared by the handle and the HTTP server.
#[derive(Clone, Debug)]
pub(crate) struct PlatformShared {
    pub(crate) state: Arc<Mutex<PlatformState>>,
    /// Notifies waiting watches of changes of objects or faults.
    pub(crate) changed: Arc<watch::Sender<()>>,
}

/// Controls a running platform stand-in.
#[derive(Debug)]
pub struct PlatformHandle {
    shared: PlatformShared,
    gate: ListenerGate,
    task: JoinHandle<()>,
}

/// Starts a platform stand-in.
///
/// # Errors
///
/// Returns an error if the address cannot be bound.
pub async fn bind(options: PlatformOptions) -> io::Result<PlatformHandle> {
    let shared = PlatformShared {
        state: Arc::new(Mutex::new(PlatformState::new(&options))),
        changed: Arc::new(watch::Sender::new(())),
    };
    let (gate, task) = ListenerGate::serve(options.address, server::build(shared.clone())).await?;
    Ok(PlatformHandle { shared, gate, task })
}

impl PlatformHandle {
    /// Returns the address of the API.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.gate.address()
    }

    /// Returns the base URL of the API.
    #[must_use]
    pub fn url(&self) -> String {
        format!("http://{}", self.address())
    }

    /// Replaces the injected faults.
    pub fn set_faults(&self, faults: PlatformFaults) {
        self.gate.set_open(!faults.unreachable);
        if faults.unreachable {
            self.gate.abort_all();
        }
        self.shared.set_faults(faults);
    }

    /// Waits until the API accepts connections again after `unreachable` was cleared.
    pub async fn wait_reachable(&self) {
        self.gate.wait_until_open().await;
    }

    /// Returns the injected faults with the remaining counts of lost and held writes.
    #[must_use]
    pub fn faults(&self) -> PlatformFaults {
        self.shared.state.lock().faults.clone()
    }

    /// Executes all held writes, like writes that arrive late, and returns their number.
    pub fn release_held(&self) -> usize {
        self.shared.release_held()
    }

    /// Returns the number of held writes.
    #[must_use]
    pub fn held_count(&self) -> usize {
        self.shared.state.lock().held_calls.len()
    }

    /// Replaces the instance list; the change becomes visible after the current lag.
    pub fn set_instances(&self, entries: Vec<InstanceEntry>) {
        self.shared.state.lock().set_instances(entries);
    }

    /// Returns the call counters.
    #[must_use]
    pub fn counts(&self) -> CallCounts {
        self.shared.state.lock().counts
    }

    /// Returns an object without counting a call, for assertions in tests.
    #[must_use]
    pub fn peek(&self, key: &str) -> Option<VersionedValue> {
        self.shared.state.lock().get(key)
    }

    /// Returns the keys that begin with `prefix` without counting a call, at most 1,000.
    #[must_use]
    pub fn peek_keys(&self, prefix: &str) -> Vec<String> {
        let entries = self.shared.state.lock().list(prefix, "");
        entries.into_iter().map(|(key, _)| key).collect()
    }

    /// Writes an object unconditionally, for test setup.
    pub fn store(&self, key: &str, value: Bytes) {
        let mut state = self.shared.state.lock();
        let expected_version = state.get(key).map_or(0, |value| value.version);
        state.write(WriteCall {
            key: key.to_owned(),
            expected_version,
            value: Some(value),
        });
        drop(state);
        self.shared.changed.send_replace(());
    }

    /// Stops the stand-in and aborts its connections.
    pub async fn close(self) {
        self.task.abort();
        self.gate.abort_all();
        let _ = self.task.await;
    }
}

impl PlatformShared {
    pub(crate) fn set_faults(&self, faults: PlatformFaults) {
        self.state.lock().faults = faults;
        self.changed.send_replace(());
    }

    pub(crate) fn release_held(&self) -> usize {
        let mut state = self.state.lock();
        let held = std::mem::take(&mut state.held_calls);
        let count = held.len();
        for call in held {
            state.write(call);
        }
        drop(state);
        self.changed.send_replace(());
        count
    }
}
