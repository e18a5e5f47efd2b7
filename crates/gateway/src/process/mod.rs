//! Process-wide state and background tasks of a gateway.

mod blocklist;
mod crash;
mod documents;
mod evacuation;
mod event;
mod gateway;
mod ledger;
mod log;
mod metrics;
mod peers;
mod settings;
mod state;
mod sync;
mod version;
mod witness;

pub(crate) use blocklist::sync_blocklist;
pub(crate) use crash::{CrashMonitor, LostRequest, run_blocking};
pub(crate) use documents::serve_documents;
pub(crate) use evacuation::sync_evacuations;
pub use event::LogEvent;
pub(crate) use event::log_event;
pub use gateway::{Gateway, GatewayError};
pub use ledger::ledger_options;
pub(crate) use ledger::{SharedLedger, TOKEN_WAIT, run_ledger};
pub use log::open_log;
pub(crate) use log::{allows_line, dropped_lines};
pub(crate) use metrics::{GatewayMetrics, MetricGauges, PlatformCall, RequestOutcome, TimedStage};
pub(crate) use peers::{PeerCommand, run_peers};
pub use settings::GatewaySettings;
pub(crate) use state::{DrainTimes, GatewayState, RunningGuard};
pub(crate) use sync::{PlatformOutage, sync_directory, sync_document};
pub(crate) use version::VersionMonitor;
pub(crate) use witness::{ProcessWitness, check_complete, watch_process};
