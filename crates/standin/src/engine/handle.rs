//! Running engine stand-in.

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

/// Waits below this are not slept, because the timer has a resolution of about a millisecond.
const TIMER_RESOLUTION: Duration = Duration::from_millis(1);

/// Delay of the batch clock above which the lost time is given up instead of made good.
const MAX_CLOCK_LAG: Duration = Duration::from_millis(100);

/// Configures the engine stand-in.
#[derive(Clone, Debug)]
pub struct EngineOptions {
    /// The address to listen at; port 0 lets the system choose.
    pub address: SocketAddr,
    /// The speed of reading prompts, in tokens per second; 0 means no delay.
    pub prefill_tokens_per_s: u32,
    /// The speed of generation, in tokens per second for the whole batch; 0 means no delay.
    pub decode_tokens_per_s: u32,
    /// The shortest time of a step, in which each running request gets one token.
    pub min_step_time: Duration,
    /// The shortest time between two tokens of one request; 0 means one token in each step.
    pub min_token_interval: Duration,
    /// The largest number of requests that run at once.
    pub batch_limit: usize,
    /// The largest number of requests that wait; more are refused with 503.
    pub queue_limit: usize,
    /// The size of the prefix cache, in blocks of 256 bytes of prompt text.
    pub cache_blocks: usize,
    /// The lag of load reports.
    pub load_report_lag: Duration,
    /// The time from a crash until the engine listens again.
    pub restart_delay: Duration,
    /// Whether the runs of each prompt are recorded; the record grows without bound.
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

/// Shares the batch between the handle, the driver and the HTTP server.
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
/// Returns the error of the bind.
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

    /// Replaces the faults in force.
    pub fn set_faults(&self, faults: EngineFaults) {
        self.gate.set_open(!faults.refuse);
        self.shared.set_faults(faults);
    }

    /// Returns the faults in force, with the remaining numbers.
    #[must_use]
    pub fn faults(&self) -> EngineFaults {
        self.shared.batch.lock().faults.clone()
    }

    /// Returns the counts since the start.
    #[must_use]
    pub fn counts(&self) -> EngineCounts {
        self.shared.batch.lock().counts
    }

    /// Returns the number of runs of each prompt text, empty unless `record_runs` is set.
    #[must_use]
    pub fn runs(&self) -> BTreeMap<String, u64> {
        self.shared.batch.lock().runs.clone()
    }

    /// Returns the load report that callers see now.
    #[must_use]
    pub fn load(&self) -> LoadReport {
        self.shared.batch.lock().visible_load()
    }

    /// Ends the stand-in and cuts its connections.
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

/// Runs the steps of the batch on a clock, so that short steps add up to the set speed.
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

/// Drops all connections and work, and comes back after the crash time.
async fn crash(shared: &EngineShared, gate: &ListenerGate) {
    gate.set_open(false);
    // A caller that notices the crash must find it in the counts.
    let time = {
        let mut batch = shared.batch.lock();
        batch.crash();
        batch.options.restart_delay
    };
    gate.abort_all();
    tokio::time::sleep(time).await;
    // A request that was accepted during the cut is lost with the rest.
    gate.abort_all();
    let mut batch = shared.batch.lock();
    batch.drop_work();
    gate.set_open(!batch.faults.refuse);
}

/// Applies refusals that were set over HTTP to the listener.
async fn apply_fault_changes(shared: EngineShared, gate: ListenerGate, changed: Arc<Notify>) {
    loop {
        changed.notified().await;
        let refuse = shared.batch.lock().faults.refuse;
        gate.set_open(!refuse);
    }
}
