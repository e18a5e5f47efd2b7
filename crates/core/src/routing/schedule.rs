//! Schedule of load polls.

use std::{collections::HashMap, time::Duration};

use crate::base::{MonotonicTime, UpstreamName};

/// Spreads the polls of upstreams evenly over the poll period.
#[derive(Clone, Debug, Default)]
pub struct PollSchedule {
    last_poll: HashMap<UpstreamName, MonotonicTime>,
}

impl PollSchedule {
    /// Returns the upstreams to poll at a tick: those due, at most the fraction `tick / period` of
    /// all.
    ///
    /// The bound also applies to new upstreams, so that a membership or document change does not
    /// cause a burst.
    pub fn tick(
        &mut self,
        upstreams: Vec<UpstreamName>,
        period: Duration,
        tick: Duration,
        now: MonotonicTime,
    ) -> Vec<UpstreamName> {
        // Allows for ticks that fire slightly early, which must not skip a poll.
        let wait = period.saturating_sub(tick / 2);
        self.choose(upstreams, period, tick, now, |last_poll| {
            last_poll.is_none_or(|last_poll| now.since(last_poll) >= wait)
        })
    }

    /// Returns the upstreams to poll immediately after a change: those never polled, with the same
    /// bound as [`PollSchedule::tick`].
    pub fn changed(
        &mut self,
        upstreams: Vec<UpstreamName>,
        period: Duration,
        tick: Duration,
        now: MonotonicTime,
    ) -> Vec<UpstreamName> {
        self.choose(upstreams, period, tick, now, |last_poll| {
            last_poll.is_none()
        })
    }

    fn choose(
        &mut self,
        upstreams: Vec<UpstreamName>,
        period: Duration,
        tick: Duration,
        now: MonotonicTime,
        is_due: impl Fn(Option<MonotonicTime>) -> bool,
    ) -> Vec<UpstreamName> {
        let share = tick.as_secs_f64() / period.max(tick).as_secs_f64().max(f64::MIN_POSITIVE);
        let limit = (upstreams.len() as f64 * share).ceil() as usize;
        let mut previous = std::mem::take(&mut self.last_poll);
        let mut due = Vec::new();
        for name in upstreams {
            let last_poll = previous.remove(&name);
            if is_due(last_poll) {
                due.push((last_poll, name.clone()));
            }
            if let Some(last_poll) = last_poll {
                self.last_poll.insert(name, last_poll);
            }
        }
        due.sort_unstable();
        due.truncate(limit);
        let names = due.into_iter().map(|(_, name)| name);
        let names: Vec<UpstreamName> = names.collect();
        self.last_poll
            .extend(names.iter().map(|name| (name.clone(), now)));
        names
    }
}
