//! Process-wide components of a router: actors, shared state, settings and metrics.

mod clock;
mod config;
mod dispatcher;
mod dump;
mod event;
mod ledger;
mod members;
mod metrics;
mod operator;
mod order;
mod poll;
mod router;
mod settings;
mod state;
mod sweep;

pub(crate) use clock::RouterClock;
pub(crate) use config::ConfigActor;
pub(crate) use dispatcher::{
    DispatchReports, DispatchRequest, RequestIdentity, UpstreamAttempt, UpstreamDispatcher,
};
pub(crate) use event::log_event;
pub(crate) use ledger::{LedgerActor, SharedLedger};
pub(crate) use members::{FleetView, MemberActor};
pub(crate) use order::OrderRegistry;
pub(crate) use poll::{PollClass, PollPlan};
pub(crate) use state::{RouterPhase, RouterState, RunningGuard};

pub use event::LogEvent;
pub use metrics::{MetricKind, MetricName, MetricsError, RouterMetrics};
pub use router::{Router, RouterAddresses, RouterError, RouterView};
pub use settings::{RouterSettings, SecretText, SettingsError, SettingsFault};
