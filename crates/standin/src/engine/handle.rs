//! Handle of a running engine stand-in.

use std::{collections::BTreeMap, io, net::SocketAddr, sync::Arc, time::Duration};

use parking_lot::Mutex;
use tokio::{sync::Notify, task::JoinHandle, time::Instant};

use crate::{
    connection::ListenerGate,
    engine::{
        EngineCounts, EngineFaults, LoadReport,
        batch::{BatchQueue, StepOutcome},
        server,
    },
};

/// Delays below this are skipped, because the timer has a resolution of about one millisecond.
const TIMER_RESOLUTION: Duration = Duration::from_millis(1);

/// Maximum delay of the batch schedule that is caught up; any delay beyond it is dropped.
const MAX_CLOCK_LAG: Duration = Duration::from_millis(100);

/// Options of the engine stand-in.
#[derive(Clone, Debug)]
pub struct EngineOptions {
    /// The address to listen on; port 0 selects a free port.
    pub address: SocketAddr,
    /// The prefill rate, in tokens per second; 0 means no delay.
    pub prefill_tokens_per_s: u32,
    /// The decode rate of the whole batch, in tokens per second; 0 means no delay.
    pub decode_tokens_per_s: u32,
    /// The minimum duration of a step, which generates one token per running request.
    pub min_step_time: Duration,
    /// The minimum time between two tokens of a request; 0 means one token per step.
    pub min_token_interval: Duration,
    /// The maximum number of concurrently running requests.
    pub batch_limit: usize,
    /// The maximum number of waiting requests; more are rejected with status 503.
    pub queue_limit: usize,
    /// The capacity of the prefix cache, in blocks of 256 bytes of prompt text.
    pub cache_blocks: usize,
    /// The time until a change of the load becomes visible in load reports.
    pub load_report_lag: Duration,
    /// The time from a crash until the engine accepts connections again.
    pub restart_delay: Duration,
    /// Whether the runs of each prompt are counted; the memory for this grows without bound.
    pub record_runs: bool,
}

impl Default for EngineOptions {
    fn default() -> Self {
        Self {
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            prefill_tokens_per_s: 50_000,
            decode_tokens_per_s: 5_000,
            min_step_time: Duration::from_millis(2),
            min_token_interval: Duration::ZERO,
            batch_limit: 16,
            queue_limit: 1_000,
            cache_blocks: 256,
            load_report_lag: Duration::from_millis(100),
            restart_delay: Duration::from_millis(500),
            record_runs: true,
        }
    }
}

/// State shared by the handle, the batch driver and the HTTP server.
#[derive(Clone, Debug)]
pub(crate) struct EngineShared {
    pub(crate) batch: Arc<Mutex<BatchQueue>>,
    pub(crate) work_added: Arc<Notify>,
}

/// Controls a running engine stand-in.
#[derive(Debug)]
pub struct EngineHandle {
    shared: EngineShared,
    gate: ListenerGate,
    tasks: [JoinHandle<()>; 3],
}

/// Starts an engine stand-in.
///
/// # Errors
///
/// Returns an error if the address cannot be bound.
pub async fn bind(options: EngineOptions) -> io::Result<EngineHandle> {
    let shared = EngineShared {
        batch: Arc::new(Mutex::new(BatchQueue::new(options.clone()))),
        work_added: Arc::default(),
    };
    let faults = Arc::new(Notify::new());
    let router = server::build(shared.clone(), faults.clone());
    let (gate, server) = ListenerGate::serve(options.address, router).await?;
    let driver = tokio::spawn(drive_batch(shared.clone(), gate.clone()));
    let fault_task = tokio::spawn(apply_fault_changes(shared.clone(), gate.clone(), faults));
    Ok(EngineHandle {
        shared,
        gate,
        tasks: [server, driver, fault_task],
    })
}

impl EngineHandle {
    /// Returns the address of the engine.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.gate.address()
    }

    /// Returns the base URL of the engine.
    #[must_use]
    pub fn url(&self) -> String {
        format!("http://{}", self.address())
    }

    /// Replaces the injected faults.
    pub fn set_faults(&self, faults: EngineFaults) {
        self.gate.set_open(!faults.refuse);
        self.shared.set_faults(faults);
    }

    /// Returns the injected faults with their remaining counts.
    #[must_use]
    pub fn faults(&self) -> EngineFaults {
        self.shared.batch.lock().faults.clone()
    }

    /// Returns the counters since the start.
    #[must_use]
    pub fn counts(&self) -> EngineCounts {
        self.shared.batch.lock().counts
    }

    /// Returns the number of runs of each prompt text, empty unless `record_runs` is set.
    #[must_use]
    pub fn runs(&self) -> BTreeMap<String, u64> {
        self.shared.batch.lock().runs.clone()
    }

    /// Returns the load report that is currently visible to callers.
    #[must_use]
    pub fn load(&self) -> LoadReport {
        self.shared.batch.lock().visible_load()
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

impl EngineShared {
    pub(crate) fn set_faults(&self, faults: EngineFaults) {
        let mut batch = self.batch.lock();
        batch.faults = faults;
        batch.record_load();
    }
}

/// Runs the batch steps on an absolute schedule, so that steps shorter than the timer resolution
/// still add up to the configured rate.
async fn drive_batch(shared: EngineShared, gate: ListenerGate) {
    let mut next_step_at = Instant::now();
    loop {
        let outcome = shared.batch.lock().step();
        match outcome {
            StepOutcome::Idle => {
                shared.work_added.notified().await;
                next_step_at = next_step_at.max(Instant::now());
            }
            StepOutcome::Completed(time) => {
                let now = Instant::now();
                next_step_at = (next_step_at + time).max(now - MAX_CLOCK_LAG);
                match next_step_at > now + TIMER_RESOLUTION {
                    true => tokio::time::sleep_until(next_step_at).await,
                    false => tokio::task::yield_now().await,
                }
            }
            StepOutcome::Crashed => {
                crash(&shared, &gate).await;
                next_step_at = Instant::now();
            }
        }
    }
}

/// Aborts all connections, drops all requests and listens again after the restart delay.
async fn crash(shared: &EngineShared, gate: &ListenerGate) {
    gate.set_open(false);
    // Count the crash before callers can notice it.
    let time = {
        let mut batch = shared.batch.lock();
        batch.crash();
        batch.options.restart_delay
    };
    gate.abort_all();
    tokio::time::sleep(time).await;
    // Requests accepted while the connections were being aborted are dropped as well.
    gate.abort_all();
    let mut batch = shared.batch.lock();
    batch.drop_work();
    gate.set_open(!batch.faults.refuse);
}

/// Applies changes of `refuse` that are made over HTTP to the listener.
async fn apply_fault_changes(shared: EngineShared, gate: ListenerGate, changed: Arc<Notify>) {
    loop {
        changed.notified().await;
        let refuse = shared.batch.lock().faults.refuse;
        gate.set_open(!refuse);
    }
}
