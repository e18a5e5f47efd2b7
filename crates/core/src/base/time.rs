//! Monotonic time of one process.

use std::{ops::Add, time::Duration};

use serde::{Deserialize, Serialize};

/// Monotonic timestamp, in microseconds since the start of the process.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct MonotonicTime(u64);

impl MonotonicTime {
    /// The start of the process.
    pub const START: Self = Self(0);

    /// Creates a timestamp from microseconds since the start of the process.
    #[must_use]
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// Creates a timestamp from milliseconds since the start of the process.
    #[must_use]
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis.saturating_mul(1_000))
    }

    /// Returns the microseconds since the start of the process.
    #[must_use]
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Returns the time elapsed since `earlier`, or zero if `earlier` is later.
    #[must_use]
    pub const fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for MonotonicTime {
    type Output = Self;

    fn add(self, duration: Duration) -> Self {
        let micros = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(micros))
    }
}
