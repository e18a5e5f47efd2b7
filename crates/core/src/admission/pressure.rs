//! Load of the instance's own path to the upstreams, and which requests it hands back.

use std::time::Duration;

use crate::{
    admission::{
        limit::{RequestRates, TakenLimit},
        rotation::AwayTime,
        usage::{CustomerUsage, DecayingSum, RouteLimits},
        window::{PathWindow, WindowResult},
    },
    base::{CustomerName, MonotonicTime},
};

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
/// Time over which the usual shares of customers are learnt: longer than a burst.
const USUAL_WINDOW: Duration = Duration::from_secs(30);
/// Time over which the requests that are taken from them are counted.
const TAKEN_WINDOW: Duration = Duration::from_secs(1);
/// Time over which the demand is measured.
const DEMAND_WINDOW: Duration = Duration::from_millis(500);
/// Factor of what the path has carried with each reduction, as it may carry less now.
const CARRIED_DECAY: f64 = 0.97;
/// Number of slow windows in a row that show a congestion.
const SLOW_WINDOWS: u32 = 2;
/// Number of slow windows in a row after which the instance asks for fewer callers.
const AWAY_WINDOWS: u32 = 4;

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
    slow_windows: u32,
    limit: Option<TakenLimit>,
    away: AwayTime,
    /// Time of a departure that was not returned yet.
    announced: Option<Duration>,
    /// Most requests a second that were taken while the path was clear.
    carried: f64,
    arrived: DecayingSum,
    taken: DecayingSum,
    usual: CustomerUsage,
    taken_from: CustomerUsage,
    limits: RouteLimits,
}

impl Default for PathPressure {
    fn default() -> Self {
        Self {
            window: PathWindow::default(),
            slow_windows: 0,
            limit: None,
            away: AwayTime::default(),
            announced: None,
            carried: 0.0,
            arrived: DecayingSum::new(DEMAND_WINDOW),
            taken: DecayingSum::new(DEMAND_WINDOW),
            usual: CustomerUsage::new(USUAL_WINDOW),
            taken_from: CustomerUsage::new(TAKEN_WINDOW),
            limits: RouteLimits::default(),
        }
    }
}

impl PathPressure {
    /// Records the time until a connection to an upstream was open or was refused by it, or `None` if it
    /// did not answer. Connections to other domains count only if there are none to the own one, as a
    /// cut between domains is no congestion. Returns the time for which the instance asks for fewer
    /// callers beyond the congestion, if it begins to.
    pub fn record_connect(
        &mut self,
        answered: Option<Duration>,
        is_near: bool,
        now: MonotonicTime,
    ) -> Option<Duration> {
        self.window.record(answered, is_near, now);
        self.close_window(now);
        self.announced.take()
    }

    /// Returns whether the path is congested, so that a connection that fails says nothing about its
    /// upstream.
    #[must_use]
    pub const fn is_congested(&self) -> bool {
        self.slow_windows >= SLOW_WINDOWS
    }

    /// Returns whether the instance should get fewer callers.
    #[must_use]
    pub fn is_away(&self, now: MonotonicTime) -> bool {
        self.away.is_away(now)
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
        self.arrived.add(1.0, now);
        self.usual.record(request.customer, now);
        let has_returned = self.limits.record(request.route, request.limit);
        let reserve = self.reserve(request, has_returned, now);
        if let Some(limit) = &mut self.limit
            && !limit.try_take(reserve, now)
        {
            return Err(DETOUR);
        }
        self.taken_from.record(request.customer, now);
        self.taken.add(1.0, now);
        Ok(())
    }

    /// Returns the fraction of the tokens that a request leaves to others.
    fn reserve(&self, request: &ArrivedRequest<'_>, has_returned: bool, now: MonotonicTime) -> f64 {
        let customer = request.customer;
        let had_share = self.taken_from.share(customer, now) > self.usual.share(customer, now);
        let mut reserve = patience_reserve(request.objective);
        if !had_share {
            reserve -= SHARE_RESERVE;
        }
        if has_returned {
            reserve -= RETURN_RESERVE;
        }
        reserve
    }

    /// Adapts the limit if the window is over.
    fn close_window(&mut self, now: MonotonicTime) {
        match self.window.close(self.is_congested(), now) {
            None => {}
            // More requests are needed to tell.
            Some(WindowResult::Empty) => self.grow(now),
            Some(WindowResult::Clear) => {
                self.slow_windows = 0;
                self.grow(now);
            }
            Some(WindowResult::Slow) => {
                self.slow_windows = self.slow_windows.saturating_add(1);
                if self.is_congested() {
                    self.reduce(now);
                }
                if self.slow_windows >= AWAY_WINDOWS {
                    self.announced = self.announced.or(self.away.extend(now));
                }
            }
        }
    }

    fn reduce(&mut self, now: MonotonicTime) {
        let rates = self.rates(now);
        let is_reduced = match &mut self.limit {
            Some(limit) => limit.reduce(&rates, now),
            None => {
                self.limit = Some(TakenLimit::new(&rates, now));
                true
            }
        };
        if is_reduced {
            self.carried *= CARRIED_DECAY;
        }
    }

    fn grow(&mut self, now: MonotonicTime) {
        let rates = self.rates(now);
        self.carried = self.carried.max(rates.taken);
        self.limit = self
            .limit
            .take()
            .and_then(|mut limit| limit.grow(&rates, now).then_some(limit));
    }

    fn rates(&self, now: MonotonicTime) -> RequestRates {
        RequestRates {
            demand: self.arrived.per_second(now),
            taken: self.taken.per_second(now),
            carried: self.carried,
        }
    }
}

/// Returns the fraction of the tokens that a request leaves to those that bear a detour less.
fn patience_reserve(objective: Duration) -> f64 {
    let mut levels = PATIENCE_LEVELS.iter();
    let level = levels.find(|(factor, _)| objective >= DETOUR * *factor);
    level.map_or(0.0, |(_, reserve)| *reserve)
}
