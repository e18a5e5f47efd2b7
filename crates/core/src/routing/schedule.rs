//! Times at which upstreams are polled.

use std::{collections::HashMap, time::Duration};

use crate::base::{MonotonicTime, UpstreamName};

/// Spreads the polls of upstreams evenly over their period.
#[derive(Clone, Debug, Default)]
pub struct PollSchedule {
    polled: HashMap<UpstreamName, MonotonicTime>,
}

impl PollSchedule {
    /// Returns the upstreams to poll at a tick, at most the share of `tick` in `period` of all.
    ///
    /// The bound also holds for new upstreams, so that a change of the members or the document
    /// does not cause a burst.
    pub fn tick(
        &mut self,
        upstreams: Vec<UpstreamName>,
        period: Duration,
        tick: Duration,
        now: MonotonicTime,
    ) -> Vec<UpstreamName> {
        // A tick that comes slightly early must not skip a poll.
        let wait = period.saturating_sub(tick / 2);
        self.choose(upstreams, period, tick, now, |polled| {
            polled.is_none_or(|polled| now.since(polled) >= wait)
        })
    }

    /// Returns the upstreams to poll at once after a change: those that were never polled, with the
    /// bound of [`PollSchedule::tick`].
    pub fn changed(
        &mut self,
        upstreams: Vec<UpstreamName>,
        period: Duration,
        tick: Duration,
        now: MonotonicTime,
    ) -> Vec<UpstreamName> {
        self.choose(upstreams, period, tick, now, |polled| polled.is_none())
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
        let most = (upstreams.len() as f64 * share).ceil() as usize;
        let mut known = std::mem::take(&mut self.polled);
        let mut due = Vec::new();
        for name in upstreams {
            let polled = known.remove(&name);
            if is_due(polled) {
                due.push((polled, name.clone()));
            }
            if let Some(polled) = polled {
                self.polled.insert(name, polled);
            }
        }
        due.sort_unstable();
        due.truncate(most);
        let names = due.into_iter().map(|(_, name)| name);
        let names: Vec<UpstreamName> = names.collect();
        self.polled
            .extend(names.iter().map(|name| (name.clone(), now)));
        names
    }
}
