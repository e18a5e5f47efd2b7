//! Log output that never blocks a request and whose volume is bounded.

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

/// Lines of one event that are written in a second. A site of today writes below 20.
const LINES_PER_SECOND: u64 = 200;
/// Lines that wait for a slow reader of the output before further ones are dropped.
const LINES_WAITING: usize = 4_096;
/// Bits of a counter that hold the lines of the current second.
const COUNT_BITS: u32 = 32;

static STARTED: LazyLock<Instant> = LazyLock::new(Instant::now);
static DROPPED: AtomicU64 = AtomicU64::new(0);
static WRITTEN: LazyLock<Vec<AtomicU64>> =
    LazyLock::new(|| LogEvent::ALL.iter().map(|_| AtomicU64::new(0)).collect());

/// Returns whether another line of an event fits into the current second.
pub(crate) fn allows_line(event: LogEvent) -> bool {
    // The events are few and in ascending order of numbers.
    let index = LogEvent::ALL.iter().position(|other| *other == event);
    let Some(counter) = index.and_then(|index| WRITTEN.get(index)) else {
        return true;
    };
    let second = STARTED.elapsed().as_secs();
    let (current, count) = split(counter.load(Ordering::Relaxed));
    let count = if current == second { count } else { 0 };
    if count >= LINES_PER_SECOND {
        DROPPED.fetch_add(1, Ordering::Relaxed);
        return false;
    }
    counter.store((second << COUNT_BITS) | (count + 1), Ordering::Relaxed);
    true
}

const fn split(value: u64) -> (u64, u64) {
    (value >> COUNT_BITS, value & ((1 << COUNT_BITS) - 1))
}

/// Returns the number of lines that were dropped since the start.
pub(crate) fn dropped_lines() -> u64 {
    DROPPED.load(Ordering::Relaxed)
}

/// Passes whole lines to a thread that writes them; drops lines if it falls behind.
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

/// Starts the log on standard output, with `level` unless the environment names another.
///
/// # Errors
///
/// Returns the error of the operating system if the writing thread cannot be started.
pub fn open_log(level: &str) -> io::Result<()> {
    let (lines, waiting) = sync_channel::<Vec<u8>>(LINES_WAITING);
    thread::Builder::new()
        .name("log".to_owned())
        .spawn(move || {
            let mut output = io::stdout();
            while let Ok(line) = waiting.recv() {
                // Without a reader of the output there is nobody to tell.
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
