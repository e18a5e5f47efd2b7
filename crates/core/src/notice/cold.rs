//! Requests to upstreams that have just started and bear only few.

use std::time::Duration;

use crate::{base::MonotonicTime, notice::share::RateShare};

/// Time after the start of this instance in which it does not use cold upstreams, because it does
/// not know yet with how many others it shares them.
const LEARN_TIME: Duration = Duration::from_secs(5);
/// Standard deviations of the number of requests in a second that the bound covers.
const DEVIATIONS: f64 = 3.5;

/// Bound of the requests of all instances to a cold upstream in any second: `rate * excess + slack`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdBound {
    /// Factor of the rate that the service states.
    pub excess: f64,
    /// Additional requests.
    pub slack: f64,
}

impl ColdBound {
    /// Returns the requests a second that all instances share. Parts that wait for up to a second may
    /// come together with those of the next second, and the instances take theirs independently of
    /// each other: the parts of two seconds and some standard deviations more are within the bound.
    #[must_use]
    pub fn shared_rate(&self, rate: f64) -> f64 {
        let bound = rate * self.excess + self.slack;
        let root = ((DEVIATIONS * DEVIATIONS + 4.0 * bound).sqrt() - DEVIATIONS) / 2.0;
        rate.min(root * root / 2.0)
    }
}

/// How the cold upstreams of a service are used.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdRule {
    /// Time for which an upstream is cold after its start, if nothing else is known.
    pub start: Duration,
    /// Requests a second that all instances together send to a cold upstream.
    pub rate: f64,
}

/// What the parts of the instances depend on.
#[derive(Clone, Copy, Debug)]
pub struct ColdContext {
    /// How cold upstreams are used; `None` if they need no care.
    pub rule: Option<ColdRule>,
    /// Number of instances that share a cold upstream.
    pub instances: usize,
    /// Number from 0 to 1 that differs between the instances.
    pub phase: f64,
}

/// The cold period of an upstream and the part of this instance in its requests.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ColdState {
    period: Option<ColdPeriod>,
    share: Option<RateShare>,
}

#[derive(Clone, Copy, Debug, PartialEq)]
struct ColdPeriod {
    start: MonotonicTime,
    end: MonotonicTime,
}

impl ColdState {
    /// Records that the upstream is cold for `left` from now on, or warm if it is zero. A period that
    /// is already known keeps its parts.
    pub fn record(&mut self, left: Duration, context: &ColdContext, now: MonotonicTime) {
        let start = match self.period {
            Some(period) if now < period.end => period.start,
            _ => {
                self.share = None;
                now
            }
        };
        self.period = (!left.is_zero()).then_some(ColdPeriod {
            start,
            end: now + left,
        });
        self.divide(context);
    }

    /// Divides the requests anew, after the rule or the number of instances has changed.
    pub fn divide(&mut self, context: &ColdContext) {
        let (Some(period), Some(rule)) = (self.period, context.rule) else {
            self.share = None;
            return;
        };
        let start = period.start.max(MonotonicTime::START + LEARN_TIME);
        let mut share = RateShare::new(rule.rate, context.instances, context.phase, 0, start);
        if let Some(previous) = self.share {
            share.delay_as(&previous);
        }
        self.share = Some(share);
    }

    /// Returns whether the upstream is cold.
    #[must_use]
    pub fn is_cold(&self, now: MonotonicTime) -> bool {
        self.period.is_some_and(|period| now < period.end)
    }

    /// Returns the time until a request may be placed, or `None` if one may be placed now.
    #[must_use]
    pub fn wait_left(&self, now: MonotonicTime) -> Option<Duration> {
        let period = self.period.filter(|period| now < period.end)?;
        let wait = self.share?.wait_left(now)?;
        Some(wait.min(period.end.since(now)))
    }

    /// Records that a request is placed.
    pub fn take_request(&mut self, now: MonotonicTime) {
        if self.is_cold(now)
            && let Some(share) = &mut self.share
        {
            share.take(now);
        }
    }
}
