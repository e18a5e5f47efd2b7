//! Resident memory of the current process.

use std::{fs, mem::forget};

/// Returns the resident set size in bytes, or zero if `/proc/self/status` does not provide it.
pub(super) fn resident_bytes() -> f64 {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let kilobytes = line.and_then(|line| line.split_whitespace().nth(1));
    kilobytes
        .and_then(|text| text.parse::<f64>().ok())
        .map_or(0.0, |kilobytes| kilobytes * 1024.0)
}

/// Returns the growth of the resident set, in bytes, caused by the value that `build` returns.
///
/// Builds two values and leaks both. Temporaries of the second build reuse pages that the first one
/// freed, so the growth counts only memory that the value retains.
pub(super) fn measure_growth<T>(build: impl Fn() -> T) -> f64 {
    forget(build());
    let before = resident_bytes();
    forget(build());
    resident_bytes() - before
}
