//! Decision logic of the cornelarch router fleet.
//!
//! Every module is a deterministic state machine that handles an event at a given time by updating
//! its state and returning effects. No module performs I/O, reads a clock or uses a global random
//! source, so the same code runs in production, fault tests, model checking and simulation.

pub mod admission;
pub mod base;
pub mod blocklist;
pub mod budget;
pub mod config;
pub mod error;
mod event;
pub mod limit;
pub mod membership;
pub mod notice;
pub mod order;
pub mod placement;
pub mod retry;
pub mod route;
pub mod routing;
pub mod stream;

/// Re-export of the log facade for [`define_log_events`].
#[doc(hidden)]
pub use log;
