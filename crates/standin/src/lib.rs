//! Small stand-ins for the external systems that the router depends on.
//!
//! Each stand-in serves the HTTP protocol of the system that it replaces. `bind` starts it and
//! returns a handle for injecting faults and reading counters; `close` stops it.

pub mod connection;
pub mod crowd;
pub mod engine;
pub mod platform;
pub mod service;
