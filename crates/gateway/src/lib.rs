//! Gateway of the router fleet: forwards requests that a host and a path select to the upstreams
//! of a service, within the prepaid budgets of the customers.
//!
//! The gateway knows no platform. [`PlatformEdge`] reads configuration and upstreams and stores the
//! ledger, and [`HeaderNames`] tells which headers carry what. [`Gateway::bind`] starts an instance
//! and returns its running handle.

mod connection;
mod edge;
mod process;
mod request;

pub use edge::{
    DirectoryChange, DirectoryEvent, DirectoryList, DocumentChange, EdgeError, HeaderNames,
    PlatformEdge, ReadAge, StoredObject, Versioned,
};
pub use process::{Gateway, GatewayError, GatewaySettings, LogEvent, ledger_options, open_log};
