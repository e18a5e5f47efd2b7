//! Requests that crash upstreams: which are suspected, which are blocked, and what peers are told.

mod entry;
mod fingerprint;
mod report;
mod table;

pub use fingerprint::{Fingerprint, ParseFingerprintError};
pub use report::{CrashEffect, CrashEntry, CrashReport, CrashVerdict};
pub use table::{CrashOptions, CrashTable, FlightKey};
