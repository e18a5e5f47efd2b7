//! Whether the connections that are opened in a period show a congested path.

use std::time::Duration;

use crate::base::MonotonicTime;

/// Time to open a connection, beyond the shortest one, above which the own path is suspected: longer
/// than the handshake of a busy upstream.
const CONNECT_SLOW_S: f64 = 0.05;
/// Multiple of the shortest time, since some domains are farther away than others.
const ROUND_TRIPS: f64 = 3.0;
/// Growth of the shortest known time with each connection, so that it follows a longer path.
const SHORTEST_GROWTH: f64 = 1.001;
/// Fraction of the connections that must open quickly. If some upstreams of the domain have failed,
/// those to the others still do.
const QUICK_FRACTION: f64 = 0.1;
/// Period of the decisions about the limit.
const WINDOW: Duration = Duration::from_millis(200);
/// Longest window.
const WINDOW_MAX: Duration = Duration::from_secs(2);
/// Time after a connection in the own domain in which those to others do not count.
const NEAR_TIME: Duration = Duration::from_secs(10);
/// Number of connections that are needed to tell that the path is congested.
const SAMPLES_MIN: u32 = 8;
/// The same while it is congested: fewer requests are sent then.
const SAMPLES_CONGESTED_MIN: u32 = 4;
/// Number of quick connections that show that it is clear.
const QUICK_MIN: u32 = 2;

/// What the connections of a window show.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum WindowResult {
    /// No connection was opened.
    Empty,
    /// Some connections open quickly, or there are too few to tell.
    Clear,
    /// Nearly all connections are slow.
    Slow,
}

/// Connections of the current window.
#[derive(Clone, Debug)]
pub(super) struct PathWindow {
    since: MonotonicTime,
    quick: u32,
    slow: u32,
    /// Time until which only connections in the own domain count.
    near_until: MonotonicTime,
    /// Shortest time to open a connection, in seconds.
    shortest_s: f64,
}

impl Default for PathWindow {
    fn default() -> Self {
        Self {
            since: MonotonicTime::START,
            quick: 0,
            slow: 0,
            near_until: MonotonicTime::START,
            shortest_s: f64::INFINITY,
        }
    }
}

impl PathWindow {
    pub(super) fn record(&mut self, answered: Option<Duration>, is_near: bool, now: MonotonicTime) {
        if is_near {
            self.near_until = now + NEAR_TIME;
        } else if now < self.near_until {
            return;
        }
        match answered.is_some_and(|time| self.is_quick(time)) {
            true => self.quick += 1,
            false => self.slow += 1,
        }
    }

    fn is_quick(&mut self, time: Duration) -> bool {
        let time_s = time.as_secs_f64();
        self.shortest_s = time_s.min(self.shortest_s * SHORTEST_GROWTH);
        time_s < CONNECT_SLOW_S + self.shortest_s * ROUND_TRIPS
    }

    /// Begins the next window if this one is over, and returns what it has shown.
    pub(super) fn close(&mut self, is_congested: bool, now: MonotonicTime) -> Option<WindowResult> {
        let age = now.since(self.since);
        let (quick, slow) = (self.quick, self.slow);
        let is_slow = f64::from(quick) < f64::from(quick + slow) * QUICK_FRACTION;
        let needed = match is_congested {
            true => SAMPLES_CONGESTED_MIN,
            false => SAMPLES_MIN,
        };
        let is_clear = slow == 0 || (!is_slow && quick >= QUICK_MIN);
        let is_known = is_clear || quick + slow >= needed;
        if age < WINDOW || (!is_known && age < WINDOW_MAX) {
            return None;
        }
        (self.since, self.quick, self.slow) = (now, 0, 0);
        Some(match (quick + slow, is_known && is_slow) {
            (0, _) => WindowResult::Empty,
            (_, true) => WindowResult::Slow,
            (_, false) => WindowResult::Clear,
        })
    }
}
