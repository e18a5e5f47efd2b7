//! One instance's part of the requests that an upstream takes from all instances.

use std::time::Duration;

use crate::base::MonotonicTime;

/// Lowest rate in requests a second that is applied, whatever an upstream names. Without any
/// request, no response could tell that the limit has ended.
const RATE_MIN: f64 = 0.1;
/// Highest rate in requests a second that is told apart from no limit.
const RATE_MAX: f64 = 1e6;
/// Time for which a part that was not used can still be used. It bounds the requests of many
/// instances that become busy at the same time.
const KEEP_TIME: Duration = Duration::from_secs(1);
/// Relative change of a limit that is news, so that one that varies a little with each response does
/// not cause a message to all peers each time.
const CHANGE_MIN: f64 = 0.1;
/// Span of earlier requests that count towards a limit when it is first named.
const WINDOW: Duration = Duration::from_secs(4);

/// Equal part of a rate limit that all instances share without coordination: requests may be sent at
/// a fixed interval.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct RateShare {
    /// The limit for all instances, in requests a second.
    rate: f64,
    /// The limit when it was last news.
    known_rate: f64,
    interval: Duration,
    next_at: MonotonicTime,
    /// Time of the last response that named the limit.
    named_at: MonotonicTime,
}

impl RateShare {
    /// Creates the part of one of `instances` instances. `phase`, from 0 to 1, differs between them
    /// and spreads their first requests. `recent` is the number of requests that this instance has
    /// sent in the last [`WINDOW`].
    pub(super) fn new(
        rate: f64,
        instances: usize,
        phase: f64,
        recent: u32,
        now: MonotonicTime,
    ) -> Self {
        let interval = share_interval(rate, instances);
        let allowed = (WINDOW.as_secs_f64() / interval.as_secs_f64()).floor();
        let excess = (f64::from(recent) - allowed).max(0.0);
        // If the requests were sent evenly, this is when no more than the allowed ones remain.
        let debt = WINDOW.mul_f64(excess / f64::from(recent.max(1)));
        Self {
            rate,
            known_rate: rate,
            interval,
            next_at: now + interval.mul_f64(phase).max(debt),
            named_at: now,
        }
    }

    /// Records a further response that names a limit. Returns whether that is news.
    pub(super) fn update(&mut self, rate: f64, instances: usize, now: MonotonicTime) -> bool {
        let is_news = (rate - self.known_rate).abs() > self.known_rate * CHANGE_MIN;
        if is_news {
            self.known_rate = rate;
        }
        self.interval = share_interval(rate, instances);
        if rate > self.rate {
            self.next_at = self.next_at.min(now + self.interval);
        }
        self.rate = rate;
        self.named_at = now;
        is_news
    }

    /// Keeps the next request from being sent earlier than by the previous part.
    pub(super) fn delay_as(&mut self, previous: &Self) {
        self.next_at = self.next_at.max(previous.next_at);
    }

    /// Returns the limit for all instances, in requests a second.
    pub(super) const fn rate(&self) -> f64 {
        self.rate
    }

    /// Returns the time of the last response that named the limit.
    pub(super) const fn named_at(&self) -> MonotonicTime {
        self.named_at
    }

    /// Returns the time until a request may be sent, or `None` if one may be sent now.
    pub(super) fn wait_left(&self, now: MonotonicTime) -> Option<Duration> {
        let next = self.next_usable(now);
        (now < next).then(|| next.since(now))
    }

    /// Records that a request is sent.
    pub(super) fn take(&mut self, now: MonotonicTime) {
        self.next_at = self.next_usable(now) + self.interval;
    }

    /// Returns the time of the first request that has not expired.
    fn next_usable(&self, now: MonotonicTime) -> MonotonicTime {
        let late = now.since(self.next_at).saturating_sub(KEEP_TIME);
        if late.is_zero() {
            return self.next_at;
        }
        let expired = (late.as_secs_f64() / self.interval.as_secs_f64()).ceil();
        self.next_at + self.interval.mul_f64(expired)
    }
}

fn share_interval(rate: f64, instances: usize) -> Duration {
    Duration::from_secs_f64(instances.max(1) as f64 / rate.clamp(RATE_MIN, RATE_MAX))
}

/// Counts the requests of the last seconds in steps of half a window.
#[derive(Clone, Copy, Debug, Default)]
pub struct RecentRequests {
    step_at: MonotonicTime,
    current: u32,
    previous: u32,
}

impl RecentRequests {
    /// Records a request.
    pub fn record(&mut self, now: MonotonicTime) {
        self.advance(now);
        self.current += 1;
    }

    /// Returns the number of requests in the last 2 to 4 s.
    pub fn count(&mut self, now: MonotonicTime) -> u32 {
        self.advance(now);
        self.current + self.previous
    }

    fn advance(&mut self, now: MonotonicTime) {
        let age = now.since(self.step_at);
        if age < WINDOW / 2 {
            return;
        }
        self.previous = if age < WINDOW { self.current } else { 0 };
        self.current = 0;
        self.step_at = now;
    }
}
