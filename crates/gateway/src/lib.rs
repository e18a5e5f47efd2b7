//! Gateway of the router fleet: routes HTTP requests by host and path to the upstreams of a service
//! and charges them to the prepaid budgets of the customers.
//!
//! The gateway does not depend on a particular platform. A [`PlatformEdge`] supplies the
//! configuration and the upstreams and stores the ledger; [`HeaderNames`] defines the names of the
//! headers. [`Gateway::bind`] starts an instance and returns a handle to it.

mod connection;
mod edge;
mod process;
mod request;

pub use edge::{
    DirectoryChange, DirectoryEvent, DirectoryList, DocumentChange, EdgeError, EvacuationEvents,
    HeaderNames, PlatformEdge, ReadAge, StoredObject, Versioned,
};
pub use process::{Gateway, GatewayError, GatewaySettings, LogEvent, ledger_options, open_log};
