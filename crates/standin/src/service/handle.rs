//! Handle of a running service stand-in.

use std::{collections::BTreeMap, io, net::SocketAddr, sync::Arc, time::Duration};

use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use tokio::{sync::Notify, task::JoinHandle};

use crate::{
    connection::ListenerGate,
    service::{ServiceFaults, server},
};

/// Options of the service stand-in.
#[derive(Clone, Debug)]
pub struct ServiceOptions {
    /// The address to listen on; port 0 selects a free port.
    pub address: SocketAddr,
    /// The duration of a call.
    pub call_duration: Duration,
    /// The concurrency limit in load reports; the stand-in does not enforce it.
    pub concurrency: u64,
    /// Whether an order is rejected if its fencing number is below the highest one seen for it.
    pub fencing: bool,
    /// The time from a crash until the service accepts connections again.
    pub restart_delay: Duration,
}

impl Default for ServiceOptions {
    fn default() -> Self {
        Self {
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            call_duration: Duration::from_millis(2),
            concurrency: 64,
            fencing: false,
            restart_delay: Duration::from_millis(500),
        }
    }
}

/// Counters since the start of the service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceCounts {
    /// Received calls.
    pub received: u64,
    /// Calls received while the service reported itself as leaving.
    pub received_leaving: u64,
    /// Executed lookups.
    pub lookups: u64,
    /// Executed orders.
    pub orders: u64,
    /// Orders rejected because of an outdated or missing fencing number.
    pub fenced: u64,
    /// Crashes caused by calls with the crash marker.
    pub crashes: u64,
}

#[derive(Debug, Default)]
pub(crate) struct ServiceState {
    pub(crate) faults: ServiceFaults,
    pub(crate) counts: ServiceCounts,
    /// The number of executions per order id.
    pub(crate) executions: BTreeMap<String, u64>,
    /// The number of runs per path and query of a lookup.
    pub(crate) lookups: BTreeMap<String, u64>,
    /// The highest fencing number seen per order id.
    pub(crate) fences: BTreeMap<String, u64>,
    pub(crate) running: u64,
}

/// State shared by the handle and the HTTP server.
#[derive(Clone, Debug)]
pub(crate) struct ServiceShared {
    pub(crate) options: Arc<ServiceOptions>,
    pub(crate) state: Arc<Mutex<ServiceState>>,
    pub(crate) faults_changed: Arc<Notify>,
    pub(crate) crashed: Arc<Notify>,
}

/// Controls a running service stand-in.
#[derive(Debug)]
pub struct ServiceHandle {
    shared: ServiceShared,
    gate: ListenerGate,
    tasks: [JoinHandle<()>; 2],
}

/// Starts a service stand-in.
///
/// # Errors
///
/// Returns an error if the address cannot be bound.
pub async fn bind(options: ServiceOptions) -> io::Result<ServiceHandle> {
    let address = options.address;
    let shared = ServiceShared {
        options: Arc::new(options),
        state: Arc::default(),
        faults_changed: Arc::default(),
        crashed: Arc::default(),
    };
    let (gate, server) = ListenerGate::serve(address, server::build(shared.clone())).await?;
    let fault_task = tokio::spawn(apply_state_changes(shared.clone(), gate.clone()));
    Ok(ServiceHandle {
        shared,
        gate,
        tasks: [server, fault_task],
    })
}

impl ServiceHandle {
    /// Returns the address of the service.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.gate.address()
    }

    /// Returns the base URL of the service.
    #[must_use]
    pub fn url(&self) -> String {
        format!("http://{}", self.address())
    }

    /// Replaces the injected faults.
    pub fn set_faults(&self, faults: ServiceFaults) {
        self.gate.set_open(!faults.refuse);
        self.shared.state.lock().faults = faults;
    }

    /// Returns the counters since the start.
    #[must_use]
    pub fn counts(&self) -> ServiceCounts {
        self.shared.state.lock().counts
    }

    /// Returns the number of executions per order id.
    #[must_use]
    pub fn executions(&self) -> BTreeMap<String, u64> {
        self.shared.state.lock().executions.clone()
    }

    /// Returns the number of runs per path and query of a lookup.
    #[must_use]
    pub fn lookups(&self) -> BTreeMap<String, u64> {
        self.shared.state.lock().lookups.clone()
    }

    /// Stops the stand-in and aborts its connections.
    pub async fn close(self) {
        for task in &self.tasks {
            task.abort();
        }
        self.gate.abort_all();
        for task in self.tasks {
            let _ = task.await;
        }
    }
}

/// Applies crashes and changes of `refuse` that are made over HTTP to the listener.
async fn apply_state_changes(shared: ServiceShared, gate: ListenerGate) {
    loop {
        tokio::select! {
            () = shared.faults_changed.notified() => {}
            () = shared.crashed.notified() => {
                gate.set_open(false);
                gate.abort_all();
                tokio::time::sleep(shared.options.restart_delay).await;
                gate.abort_all();
            }
        }
        let refuse = shared.state.lock().faults.refuse;
        gate.set_open(!refuse);
    }
}
