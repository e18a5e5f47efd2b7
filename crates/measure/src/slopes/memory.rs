//! Resident memory of this process.

use std::{fs, mem::forget};

/// Returns the resident set of this process in bytes, or zero where the system does not tell it.
pub(super) fn resident_bytes() -> f64 {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let kilobytes = line.and_then(|line| line.split_whitespace().nth(1));
    kilobytes
        .and_then(|text| text.parse::<f64>().ok())
        .map_or(0.0, |kilobytes| kilobytes * 1024.0)
}

/// Returns the bytes by which the resident set grows for what `build` returns.
///
/// Both results stay allocated until the end of the process. The first build leaves free pages
/// behind that the temporary values of the second one use, so only lasting memory counts.
pub(super) fn measure_growth<T>(build: impl Fn() -> T) -> f64 {
    forget(build());
    let before = resident_bytes();
    forget(build());
    resident_bytes() - before
}
