//! Non-blocking log output with a bounded volume.

use std::{
    io::{self, Write},
    sync::{
        LazyLock,
        atomic::{AtomicU64, Ordering},
        mpsc::{SyncSender, TrySendError, sync_channel},
    },
    thread,
    time::Instant,
};

use env_logger::{Builder, Env, Target};

use crate::process::LogEvent;

/// Limit of log lines per event and second. A present-day site writes fewer than 20.
const LINES_PER_SECOND_MAX: u64 = 200;
/// Capacity of the queue to the writer thread. Lines are dropped when a slow reader of standard
/// output fills it.
const QUEUED_LINES_MAX: usize = 4_096;
/// Low bits of a counter that hold the number of lines; the high bits hold the second.
const COUNT_BITS: u32 = 32;

static STARTED: LazyLock<Instant> = LazyLock::new(Instant::now);
static DROPPED: AtomicU64 = AtomicU64::new(0);
static LINE_COUNTS: LazyLock<Vec<AtomicU64>> =
    LazyLock::new(|| LogEvent::ALL.iter().map(|_| AtomicU64::new(0)).collect());

/// Returns whether another line of an event may be written in the current second, and counts it as
/// written or dropped.
pub(crate) fn allows_line(event: LogEvent) -> bool {
    // A linear search suffices because there are few events.
    let index = LogEvent::ALL.iter().position(|other| *other == event);
    let Some(counter) = index.and_then(|index| LINE_COUNTS.get(index)) else {
        return true;
    };
    let second = STARTED.elapsed().as_secs();
    let (current, count) = unpack_counter(counter.load(Ordering::Relaxed));
    let count = if current == second { count } else { 0 };
    if count >= LINES_PER_SECOND_MAX {
        DROPPED.fetch_add(1, Ordering::Relaxed);
        return false;
    }
    counter.store((second << COUNT_BITS) | (count + 1), Ordering::Relaxed);
    true
}

const fn unpack_counter(value: u64) -> (u64, u64) {
    (value >> COUNT_BITS, value & ((1 << COUNT_BITS) - 1))
}

/// Returns the number of lines dropped since the start of the process.
pub(crate) fn dropped_lines() -> u64 {
    DROPPED.load(Ordering::Relaxed)
}

/// Writer that queues whole lines for the log thread and drops them when the queue is full.
struct LineSender {
    lines: SyncSender<Vec<u8>>,
}

impl Write for LineSender {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        match self.lines.try_send(bytes.to_vec()) {
            Ok(()) => {}
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => {
                DROPPED.fetch_add(1, Ordering::Relaxed);
            }
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Starts logging to standard output at `level`, unless the environment sets another level.
///
/// # Errors
///
/// Returns the error of the operating system if the log thread cannot be started.
pub fn open_log(level: &str) -> io::Result<()> {
    let (lines, receiver) = sync_channel::<Vec<u8>>(QUEUED_LINES_MAX);
    thread::Builder::new()
        .name("log".to_owned())
        .spawn(move || {
            let mut output = io::stdout();
            while let Ok(line) = receiver.recv() {
                // A failed write cannot be reported anywhere but in the counter.
                if output
                    .write_all(&line)
                    .and_then(|()| output.flush())
                    .is_err()
                {
                    DROPPED.fetch_add(1, Ordering::Relaxed);
                }
            }
        })?;
    Builder::from_env(Env::default().default_filter_or(level))
        .target(Target::Pipe(Box::new(LineSender { lines })))
        .init();
    Ok(())
}
