//! Resource usage from `/proc`: processor time of named threads, memory and file limit of the
//! process, and load average.

use std::{fs, io, time::Duration};

/// Returns the processor time of all threads whose name begins with `prefix`.
///
/// # Errors
///
/// Returns an error if the system does not provide these numbers.
pub(crate) fn thread_time(prefix: &str) -> io::Result<Duration> {
    let mut nanos = 0;
    for entry in fs::read_dir("/proc/self/task")? {
        let path = entry?.path();
        // A thread may end between the listing and the reads.
        let (Ok(name), Ok(stat)) = (
            fs::read_to_string(path.join("comm")),
            fs::read_to_string(path.join("schedstat")),
        ) else {
            continue;
        };
        if name.trim_end().starts_with(prefix) {
            let first = stat.split_whitespace().next().unwrap_or_default();
            nanos += first.parse::<u64>().unwrap_or(0);
        }
    }
    Ok(Duration::from_nanos(nanos))
}

/// Returns the processor time in user mode and in system mode of all threads whose name begins
/// with `prefix`, in clock ticks.
pub(crate) fn thread_ticks(prefix: &str) -> io::Result<(u64, u64)> {
    let (mut user, mut system) = (0, 0);
    for entry in fs::read_dir("/proc/self/task")? {
        let Ok(stat) = fs::read_to_string(entry?.path().join("stat")) else {
            continue;
        };
        // The thread name is in parentheses and may contain spaces.
        let Some((head, tail)) = stat.rsplit_once(") ") else {
            continue;
        };
        if head
            .split_once('(')
            .is_some_and(|(_, name)| name.starts_with(prefix))
        {
            let mut fields = tail.split_whitespace().skip(11);
            let mut next = || {
                fields
                    .next()
                    .and_then(|field| field.parse().ok())
                    .unwrap_or(0)
            };
            user += next();
            system += next();
        }
    }
    Ok((user, system))
}

/// Returns the resident memory of the process in KiB.
///
/// # Errors
///
/// Returns an error if the system does not provide this number.
pub(crate) fn resident_kib() -> io::Result<u64> {
    let status = fs::read_to_string("/proc/self/status")?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let value = line.and_then(|line| line.split_whitespace().next());
    let value = value.and_then(|value| value.parse().ok());
    value.ok_or_else(|| io::Error::other("/proc/self/status has no VmRSS"))
}

/// Returns the soft limit on open files of the process.
///
/// # Errors
///
/// Returns an error if the system does not provide this number.
pub(crate) fn open_file_limit() -> io::Result<u64> {
    let limits = fs::read_to_string("/proc/self/limits")?;
    let line = limits
        .lines()
        .find_map(|line| line.strip_prefix("Max open files"));
    let value = line.and_then(|line| line.split_whitespace().next());
    let value = value.and_then(|value| value.parse().ok());
    value.ok_or_else(|| io::Error::other("/proc/self/limits has no 'Max open files' entry"))
}

/// Returns the one-minute load average as text, or `unknown`.
pub(crate) fn load_average() -> String {
    let text = fs::read_to_string("/proc/loadavg").unwrap_or_default();
    text.split_whitespace()
        .next()
        .unwrap_or("unknown")
        .to_owned()
}
