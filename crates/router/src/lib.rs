//! Router that forwards requests of callers to upstreams and enforces prepaid token budgets.
//!
//! [`Router::bind`] starts an instance and returns a handle to it. Several instances can run in one
//! process.

mod connection;
mod process;
mod request;
mod version;

pub use process::{
    LogEvent, MetricKind, MetricName, MetricsError, Router, RouterAddresses, RouterError,
    RouterMetrics, RouterSettings, RouterView, SecretText, SettingsError, SettingsFault,
};
