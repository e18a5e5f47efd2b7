//! Whether this instance itself is the reason that it does not reach upstreams.

use std::{collections::VecDeque, time::Duration};

use crate::{base::MonotonicTime, placement::PlacementKey};

/// Time over which connections are counted.
const WINDOW: Duration = Duration::from_secs(1);
/// Maximum number of connections that are counted.
const TRIES_MAX: usize = 512;
/// Least number of failed connections, and of different upstreams among them, from which the instance
/// counts as strained.
const FAILED_MIN: usize = 12;
const UPSTREAMS_MIN: usize = 4;
/// Share of failed connections from which the instance counts as strained.
const FAILED_SHARE: f64 = 0.5;
/// Number and share of failed connections from which the instance may be the cause.
const DOUBTFUL_MIN: u32 = 4;
const DOUBTFUL_SHARE: f64 = 0.3;
/// Time for which it counts as strained at first; doubles if it is strained again soon, because a
/// balancer that assigns callers by a hash sends the same ones again. Longer times would leave too few
/// instances if the callers fill the links of several in turn.
const HOLD_MIN: Duration = Duration::from_secs(10);
const HOLD_MAX: Duration = Duration::from_secs(60);
/// Time without strain after which the next one starts with the shortest time again.
const CALM: Duration = Duration::from_secs(60);

#[derive(Clone, Copy, Debug)]
struct ConnectionTry {
    at: MonotonicTime,
    upstream: PlacementKey,
    has_failed: bool,
}

/// Connections to upstreams of the own domain. If most fail, to different upstreams, the cause is this
/// instance: its link is full or cut off.
#[derive(Clone, Debug, Default)]
pub(super) struct ReachMonitor {
    tries: VecDeque<ConnectionTry>,
    strained_until: Option<MonotonicTime>,
    hold: Duration,
}

impl ReachMonitor {
    /// Records whether a connection to an upstream was opened. Returns whether the instance is strained
    /// since then.
    pub(super) fn record(
        &mut self,
        upstream: PlacementKey,
        has_failed: bool,
        now: MonotonicTime,
    ) -> bool {
        let is_old = |tried: &ConnectionTry| now.since(tried.at) > WINDOW;
        while self.tries.len() >= TRIES_MAX || self.tries.front().is_some_and(is_old) {
            self.tries.pop_front();
        }
        self.tries.push_back(ConnectionTry {
            at: now,
            upstream,
            has_failed,
        });
        let begins = has_failed && !self.is_strained(now) && self.fails();
        if begins {
            self.begin(now);
        }
        begins
    }

    /// Returns whether the instance is strained.
    pub(super) fn is_strained(&self, now: MonotonicTime) -> bool {
        self.strained_until.is_some_and(|until| now < until)
    }

    /// Returns whether a failed connection may be the fault of this instance, so that it should not be
    /// told to others.
    pub(super) fn is_doubtful(&self, now: MonotonicTime) -> bool {
        let recent = self
            .tries
            .iter()
            .filter(|tried| now.since(tried.at) <= WINDOW);
        let (failed, all) = recent.fold((0_u32, 0_u32), |(failed, all), tried| {
            (failed + u32::from(tried.has_failed), all + 1)
        });
        let is_frequent = f64::from(failed) > DOUBTFUL_SHARE * f64::from(all);
        self.is_strained(now) || (failed >= DOUBTFUL_MIN && is_frequent)
    }

    fn fails(&self) -> bool {
        let failed = self.tries.iter().filter(|tried| tried.has_failed);
        let mut upstreams: Vec<PlacementKey> = failed.map(|tried| tried.upstream).collect();
        let count = upstreams.len();
        upstreams.sort_unstable();
        upstreams.dedup();
        count >= FAILED_MIN
            && upstreams.len() >= UPSTREAMS_MIN
            && count as f64 >= FAILED_SHARE * self.tries.len() as f64
    }

    fn begin(&mut self, now: MonotonicTime) {
        let is_repeated = self
            .strained_until
            .is_some_and(|until| now.since(until) < CALM);
        self.hold = match is_repeated {
            true => (self.hold * 2).min(HOLD_MAX),
            false => HOLD_MIN,
        };
        self.strained_until = Some(now + self.hold);
        self.tries.clear();
    }
}
