//! Detection and blocking of requests that crash upstreams, and the reports about them to peers.

pub mod content;
mod entry;
mod fingerprint;
mod report;
mod table;

pub use fingerprint::{Fingerprint, ParseFingerprintError};
pub use report::{CrashEffect, CrashEntry, CrashReport, CrashVerdict};
pub use table::{CrashOptions, CrashTable, FlightKey};
