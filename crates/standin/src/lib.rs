//! Small stand-ins for the external systems around the router fleet.
//!
//! Each stand-in is met through its published protocol over HTTP. `bind` returns a running
//! handle on which faults are set and counts are read, and `close` ends it.

pub mod connection;
pub mod engine;
pub mod platform;
pub mod service;
