//! Time in which an instance asks the load balancer for fewer callers.

use std::time::Duration;

use crate::base::MonotonicTime;

/// Shortest time, beyond the congestion. Callers that fall on the instance by a hash come back with
/// their whole load, and it takes seconds until they have moved again.
const AWAY_MIN: Duration = Duration::from_secs(30);
/// Longest time, beyond the congestion.
const AWAY_MAX: Duration = Duration::from_secs(240);
/// Time without a congestion after which the next one counts as the first.
const RELAPSE_TIME: Duration = Duration::from_secs(60);

/// Time in which the instance asks for fewer callers.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct AwayTime {
    until: Option<MonotonicTime>,
    /// Time beyond the congestion.
    hold: Duration,
}

impl AwayTime {
    pub(super) fn is_away(&self, now: MonotonicTime) -> bool {
        self.until.is_some_and(|until| now < until)
    }

    /// Records that the path stays congested. Returns the time beyond the congestion if the instance
    /// was not away.
    pub(super) fn extend(&mut self, now: MonotonicTime) -> Option<Duration> {
        let was_away = self.is_away(now);
        if !was_away {
            let has_relapsed = self.until.is_some_and(|end| now.since(end) < RELAPSE_TIME);
            self.hold = match has_relapsed {
                true => (self.hold * 2).min(AWAY_MAX),
                false => AWAY_MIN,
            };
        }
        self.until = Some(now + self.hold);
        (!was_away).then_some(self.hold)
    }
}
