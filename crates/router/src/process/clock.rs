//! Monotonic clock of a router.

use std::time::{Duration, Instant};

use cornelarch_core::base::MonotonicTime;

/// Converts between the Tokio clock and the [`MonotonicTime`] of the state machines.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RouterClock {
    start: Instant,
}

impl RouterClock {
    /// Starts the clock at time zero.
    #[must_use]
    pub(crate) fn start() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    /// Returns the time since the start.
    #[must_use]
    pub(crate) fn now(&self) -> MonotonicTime {
        let micros = u64::try_from(self.start.elapsed().as_micros()).unwrap_or(u64::MAX);
        MonotonicTime::from_micros(micros)
    }

    /// Converts `time` to an instant of the Tokio clock.
    #[must_use]
    pub(crate) fn instant(&self, time: MonotonicTime) -> tokio::time::Instant {
        tokio::time::Instant::from_std(self.start + Duration::from_micros(time.as_micros()))
    }
}
