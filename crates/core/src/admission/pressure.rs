//! Load of the instance's own path to the upstreams, and which requests it hands back.

use std::time::Duration;

use crate::{
    admission::usage::{CustomerUsage, RouteLimits},
    base::{CustomerName, MonotonicTime},
};

/// Time over which the usual shares of customers are learnt: longer than a burst.
const USUAL_WINDOW: Duration = Duration::from_secs(30);
/// Time over which the requests that are taken from them are counted.
const TAKEN_WINDOW: Duration = Duration::from_secs(1);

/// Time to open a connection, beyond the shortest one, above which the own path is suspected: longer
/// than the handshake of a busy upstream.
const CONNECT_SLOW_S: f64 = 0.05;
/// Multiple of the shortest time, since some domains are farther away than others.
const ROUND_TRIPS: f64 = 3.0;
/// Growth of the shortest known time with each connection, so that it follows a longer path.
const SHORTEST_GROWTH: f64 = 1.001;
/// Fraction of the connections that must open quickly. During a cut or a failure of some upstreams,
/// the others still do.
const QUICK_FRACTION: f64 = 0.1;
/// Period of the decisions about the limit.
const WINDOW: Duration = Duration::from_millis(200);
/// Time after a connection in the own domain in which those to others do not count.
const NEAR_TIME: Duration = Duration::from_secs(10);
/// Number of connections that are needed to tell that the path is congested.
const SAMPLES_MIN: u32 = 8;
/// The same while it is congested: fewer requests are sent then.
const SAMPLES_CONGESTED_MIN: u32 = 4;
/// Number of quick connections that show that it is clear.
const QUICK_MIN: u32 = 2;
/// Longest window.
const WINDOW_MAX: Duration = Duration::from_secs(2);
/// Number of slow windows in a row that show a congestion.
const SLOW_WINDOWS: u32 = 2;
/// Number of slow windows in a row after which the instance asks for fewer callers.
const AWAY_WINDOWS: u32 = 4;
/// Shortest time for which it does, beyond the congestion. Callers that fall on the instance by a hash
/// come back with their whole load, and it takes seconds until they have moved again.
const AWAY_MIN: Duration = Duration::from_secs(30);
/// Longest time for which it does.
const AWAY_MAX: Duration = Duration::from_secs(240);
/// Time without a congestion after which the next one counts as the first.
const RELAPSE_TIME: Duration = Duration::from_secs(60);
/// Time after a reduction in which its effect does not show yet.
const SETTLE_TIME: Duration = Duration::from_millis(600);
/// Factor of the limit while the path is congested.
const REDUCTION: f64 = 0.8;
/// Factor of the limit for each window in which the path is clear, at first.
const GROWTH: f64 = 1.03;
/// The same once the path has been clear for some windows, or while the limit is far below what the
/// path has carried.
const GROWTH_FAST: f64 = 1.25;
/// Fraction of what the path has carried up to which the limit grows fast.
const CARRIED_FRACTION: f64 = 0.7;
/// Factor of what the path has carried with each reduction, as it may carry less now.
const CARRIED_DECAY: f64 = 0.97;
/// Number of clear windows after which the limit grows fast.
const CLEAR_WINDOWS: u32 = 10;
/// Fraction of the requests that is always taken, which shows when the path is clear again.
const TAKEN_FRACTION_MIN: f64 = 0.1;
/// Requests a second that are always taken.
const RATE_MIN: f64 = 5.0;
/// Requests a second up to which the limit grows fast, as they take little of a path.
const RATE_SMALL: f64 = 20.0;
/// Multiple of the demand above which a limit is lifted.
const LIFT_FACTOR: f64 = 2.0;
/// Time in which the tokens for all admissions are refilled.
const BURST_TIME: Duration = Duration::from_millis(200);
/// Least number of requests that may be admitted at once.
const BURST_MIN: f64 = 4.0;
/// Time constant of the demand.
const DEMAND_WINDOW: Duration = Duration::from_millis(500);
/// Delay after which a caller that is handed back may try another instance.
pub const DETOUR: Duration = Duration::from_millis(50);
/// Multiples of the detour from which an objective bears it, with the fraction of the tokens that
/// is left to less patient callers.
const PATIENCE_LEVELS: [(u32, f64); 2] = [(20, 0.5), (8, 0.25)];
/// Fraction of the tokens that is left to customers that have not had their share.
const SHARE_RESERVE: f64 = 0.5;
/// Fraction of the tokens that is left to callers that were refused and have come back, as they may
/// not get another chance.
const RETURN_RESERVE: f64 = 0.75;

/// A request that has arrived.
#[derive(Clone, Copy, Debug)]
pub struct ArrivedRequest<'a> {
    /// Customer that sends the request.
    pub customer: &'a CustomerName,
    /// Name of the route.
    pub route: &'a str,
    /// Time within which a response should begin.
    pub objective: Duration,
    /// Time for which the caller waits.
    pub limit: Duration,
}

/// What a window has shown so far.
#[derive(Clone, Copy, Debug, Default)]
struct PathWindow {
    since: MonotonicTime,
    quick: u32,
    slow: u32,
}

/// Decaying rate of events.
#[derive(Clone, Copy, Debug, Default)]
struct EventRate {
    count: f64,
    at: MonotonicTime,
}

impl EventRate {
    fn record(&mut self, now: MonotonicTime) {
        self.count = self.remaining(now) + 1.0;
        self.at = now;
    }

    fn remaining(&self, now: MonotonicTime) -> f64 {
        let age = now.since(self.at).as_secs_f64();
        self.count * (-age / DEMAND_WINDOW.as_secs_f64()).exp()
    }

    fn per_second(&self, now: MonotonicTime) -> f64 {
        self.remaining(now) / DEMAND_WINDOW.as_secs_f64()
    }
}

/// Limit of the requests that are taken, while the path is or was congested.
#[derive(Clone, Copy, Debug)]
struct TakenLimit {
    /// Requests a second.
    rate: f64,
    tokens: f64,
    filled_at: MonotonicTime,
    reduced_at: MonotonicTime,
    clear_windows: u32,
}

impl TakenLimit {
    fn burst(&self) -> f64 {
        (self.rate * BURST_TIME.as_secs_f64()).max(BURST_MIN)
    }

    fn refill(&mut self, now: MonotonicTime) {
        let added = self.rate * now.since(self.filled_at).as_secs_f64();
        self.tokens = (self.tokens + added).min(self.burst());
        self.filled_at = now;
    }
}

/// Time in which the instance asks for fewer callers.
#[derive(Clone, Copy, Debug)]
struct AwayTime {
    until: MonotonicTime,
    /// Time beyond the congestion.
    hold: Duration,
}

/// Detects that the own path to the upstreams is congested, and hands back the requests that exceed
/// what it carries.
///
/// Callers are distributed unevenly. If those of one instance need more than its network or
/// processor bears, connections to all upstreams become slow at once, while other instances have
/// room. A request that is handed back at once is served there in time; one that is held would fail.
/// Slow connections to some upstreams only are the concern of placement.
///
/// Requests that are handed back have used the path already. If it stays congested, the instance asks
/// the load balancer for fewer callers.
#[derive(Clone, Debug)]
pub struct PathPressure {
    window: PathWindow,
    limit: Option<TakenLimit>,
    away: Option<AwayTime>,
    /// Time of a departure that was not returned yet.
    announced: Option<Duration>,
    /// Time until which only connections in the own domain count.
    near_until: MonotonicTime,
    /// Shortest time to open a connection, in seconds.
    shortest_s: f64,
    slow_windows: u32,
    /// Most requests a second that were taken while the path was clear.
    carried: f64,
    arrived: EventRate,
    taken: EventRate,
    usual: CustomerUsage,
    taken_from: CustomerUsage,
    limits: RouteLimits,
}

impl Default for PathPressure {
    fn default() -> Self {
        Self {
            window: PathWindow::default(),
            limit: None,
            away: None,
            announced: None,
            near_until: MonotonicTime::START,
            shortest_s: f64::INFINITY,
            slow_windows: 0,
            carried: 0.0,
            arrived: EventRate::default(),
            taken: EventRate::default(),
            usual: CustomerUsage::new(USUAL_WINDOW),
            taken_from: CustomerUsage::new(TAKEN_WINDOW),
            limits: RouteLimits::default(),
        }
    }
}

impl PathPressure {
    /// Records the time until a connection to an upstream was open or was refused by it, or `None` if it
    /// did not answer. Connections to other domains count only if there are none to the own one, as a
    /// cut between domains is no congestion. Returns the time for which the instance now asks for fewer
    /// callers, if it begins to.
    pub fn record_connect(
        &mut self,
        answered: Option<Duration>,
        is_near: bool,
        now: MonotonicTime,
    ) -> Option<Duration> {
        if is_near {
            self.near_until = now + NEAR_TIME;
        } else if now < self.near_until {
            return None;
        }
        match answered.is_some_and(|time| self.is_quick(time)) {
            true => self.window.quick += 1,
            false => self.window.slow += 1,
        }
        self.close_window(now);
        self.announced.take()
    }

    fn is_quick(&mut self, time: Duration) -> bool {
        let time_s = time.as_secs_f64();
        self.shortest_s = time_s.min(self.shortest_s * SHORTEST_GROWTH);
        time_s < CONNECT_SLOW_S + self.shortest_s * ROUND_TRIPS
    }

    /// Returns whether the instance should get fewer callers.
    #[must_use]
    pub fn is_away(&self, now: MonotonicTime) -> bool {
        self.away.is_some_and(|away| now < away.until)
    }

    /// Returns whether the path is congested, so that a connection that fails says nothing about its
    /// upstream.
    #[must_use]
    pub const fn is_congested(&self) -> bool {
        self.slow_windows >= SLOW_WINDOWS
    }

    /// Returns the requests per second that are taken, or `None` if they are not limited.
    #[must_use]
    pub fn rate_limit(&self) -> Option<f64> {
        self.limit.map(|limit| limit.rate)
    }

    /// Decides whether a request that has arrived is taken.
    ///
    /// # Errors
    ///
    /// Returns the delay after which the caller may try another instance if it is handed back.
    pub fn admit(
        &mut self,
        request: &ArrivedRequest<'_>,
        now: MonotonicTime,
    ) -> Result<(), Duration> {
        self.close_window(now);
        self.arrived.record(now);
        self.usual.record(request.customer, 1, now);
        let has_returned = self.limits.record(request.route, request.limit);
        if let Some(limit) = &mut self.limit {
            limit.refill(now);
            let share = self.usual.share(request.customer, now);
            let had_share = self.taken_from.share(request.customer, now) > share;
            let mut reserve = patience_reserve(request.objective);
            if !had_share {
                reserve -= SHARE_RESERVE;
            }
            if has_returned {
                reserve -= RETURN_RESERVE;
            }
            if limit.tokens < reserve * limit.burst() + 1.0 {
                return Err(DETOUR);
            }
            limit.tokens -= 1.0;
        }
        self.taken_from.record(request.customer, 1, now);
        self.taken.record(now);
        Ok(())
    }

    /// Decides about the limit if the window is over.
    fn close_window(&mut self, now: MonotonicTime) {
        let age = now.since(self.window.since);
        let (quick, slow) = (self.window.quick, self.window.slow);
        let is_slow = f64::from(quick) < f64::from(quick + slow) * QUICK_FRACTION;
        let needed = match self.is_congested() {
            true => SAMPLES_CONGESTED_MIN,
            false => SAMPLES_MIN,
        };
        let is_clear = slow == 0 || (!is_slow && quick >= QUICK_MIN);
        let is_known = is_clear || quick + slow >= needed;
        if age < WINDOW || (!is_known && age < WINDOW_MAX) {
            return;
        }
        self.window = PathWindow {
            since: now,
            ..PathWindow::default()
        };
        if !is_known || !is_slow {
            // Without any connection, more requests are needed to tell.
            if quick + slow > 0 {
                self.slow_windows = 0;
            }
            self.grow(now);
            return;
        }
        self.slow_windows = self.slow_windows.saturating_add(1);
        if self.is_congested() {
            self.reduce(now);
        }
        if self.slow_windows >= AWAY_WINDOWS {
            self.extend_away(now);
        }
    }

    fn extend_away(&mut self, now: MonotonicTime) {
        let hold = match self.away {
            Some(away) if now < away.until => away.hold,
            Some(away) if now.since(away.until) < RELAPSE_TIME => (away.hold * 2).min(AWAY_MAX),
            _ => AWAY_MIN,
        };
        if !self.is_away(now) {
            self.announced = Some(hold);
        }
        let until = now + hold;
        self.away = Some(AwayTime { until, hold });
    }

    fn reduce(&mut self, now: MonotonicTime) {
        let settles = |limit: &TakenLimit| now.since(limit.reduced_at) < SETTLE_TIME;
        if self.limit.as_ref().is_some_and(settles) {
            return;
        }
        self.carried *= CARRIED_DECAY;
        let taken = self.taken.per_second(now);
        let least = self.arrived.per_second(now) * TAKEN_FRACTION_MIN;
        let rate = (taken * REDUCTION).max(least).max(RATE_MIN);
        let tokens = self.limit.map_or(0.0, |limit| limit.tokens);
        self.limit = Some(TakenLimit {
            rate,
            tokens,
            filled_at: now,
            reduced_at: now,
            clear_windows: 0,
        });
    }

    fn grow(&mut self, now: MonotonicTime) {
        let demand = self.arrived.per_second(now);
        self.carried = self.carried.max(self.taken.per_second(now));
        let low = RATE_SMALL.max(self.carried * CARRIED_FRACTION);
        let Some(limit) = &mut self.limit else {
            return;
        };
        limit.refill(now);
        limit.clear_windows += 1;
        limit.rate *= match limit.clear_windows > CLEAR_WINDOWS || limit.rate < low {
            true => GROWTH_FAST,
            false => GROWTH,
        };
        if limit.rate > demand * LIFT_FACTOR {
            self.limit = None;
        }
    }
}

/// Returns the fraction of the tokens that a request leaves to those that bear a detour less.
fn patience_reserve(objective: Duration) -> f64 {
    let mut levels = PATIENCE_LEVELS.iter();
    let level = levels.find(|(factor, _)| objective >= DETOUR * *factor);
    level.map_or(0.0, |(_, reserve)| *reserve)
}
