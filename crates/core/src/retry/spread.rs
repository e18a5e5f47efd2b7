//! Spread of the retries of callers that are refused at the same time.

use std::time::Duration;

/// Longest time over which retries spread.
const SPREAD_MAX: Duration = Duration::from_secs(2);

/// Returns a retry delay that is never shorter than `delay`. `jitter`, from 0 to 1, differs between
/// callers.
#[must_use]
pub fn spread_delay(delay: Duration, jitter: f64) -> Duration {
    delay + delay.min(SPREAD_MAX).mul_f64(jitter)
}
