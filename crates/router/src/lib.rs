//! Router between callers and upstreams, with prepaid token budgets.
//!
//! [`Router::bind`] starts one instance and returns its running handle. Several instances can run
//! in one process.

mod connection;
mod process;
mod request;
mod version;

pub use process::{
    LogEvent, MetricKind, MetricName, MetricsError, Router, RouterAddresses, RouterError,
    RouterMetrics, RouterSettings, RouterView, SecretText, SettingsError, SettingsFault,
};
