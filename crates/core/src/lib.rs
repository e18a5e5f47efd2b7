//! Decision logic of the cornelarch router fleet.
//!
//! Every module is a pure state machine: an event and the current time go in, new state and
//! effects come out. No module does I/O, reads a clock or owns a global random source, so the
//! same code serves production, fault tests, model checking and measurement.

pub mod base;
pub mod blocklist;
pub mod budget;
pub mod config;
pub mod error;
mod event;
pub mod limit;
pub mod membership;
pub mod order;
pub mod placement;
pub mod retry;
pub mod route;
pub mod routing;
pub mod stream;

/// The log facade, for [`define_log_events`].
#[doc(hidden)]
pub use log;
