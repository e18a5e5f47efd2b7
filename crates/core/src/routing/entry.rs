//! State and score of one upstream.

use std::time::Duration;

use crate::{
    base::MonotonicTime,
    limit::ConcurrencyLimit,
    notice::NoticeState,
    routing::{
        InstanceState, RouteRequest, RoutingOptions, UpstreamSpec, UseState,
        health::UpstreamHealth,
        load::LoadEstimate,
        prefix::CachedPrefixes,
        speed::{LatencyModel, SpeedEstimate},
    },
};

/// Overcommit of the concurrency limit. A short queue at the upstream keeps its batch full between
/// load reports; without it, goodput at twice the capacity dropped to 0.82 of its peak.
const OVERCOMMIT: f64 = 1.25;
/// Maximum excess load in standard deviations, so that the exponential stays finite.
const EXCESS_MAX: f64 = 500.0;
/// Assumed duration of an answer in seconds before any is measured.
const PRIOR_DURATION_S: f64 = 2.0;
/// Fraction of a prefix that counts as cached at the upstream that all routers prefer for it. It is
/// small so that it only breaks near ties: at 0.5, prefixes settled at slow upstreams, and the 95th
/// percentile of latency under prefix-heavy load was 318 ms instead of 207 ms.
const PREFERRED_SHARE: f64 = 0.02;
/// Latency in seconds that a failed attempt adds for the caller.
const FAILURE_COST_S: f64 = 1.0;

/// Configuration, load, speed and health of one upstream.
#[derive(Clone, Debug)]
pub(super) struct UpstreamEntry {
    pub(super) spec: UpstreamSpec,
    pub(super) removed: bool,
    /// Number of routers that share the upstream; `None` stands for all routers.
    pub(super) sharing_routers: Option<u32>,
    /// Age after which a load report is ignored.
    pub(super) report_max_age: Duration,
    pub(super) penalty: Duration,
    pub(super) listed_state: InstanceState,
    pub(super) reports_leaving: bool,
    /// What responses have said.
    pub(super) notices: NoticeState,
    pub(super) load: LoadEstimate,
    pub(super) speed: SpeedEstimate,
    pub(super) health: UpstreamHealth,
    pub(super) limit: ConcurrencyLimit,
    pub(super) prefixes: CachedPrefixes,
    /// Uncached prompt tokens of requests of this router that have no first token yet.
    pub(super) pending_tokens: f64,
}

impl UpstreamEntry {
    /// Returns whether any source marks the upstream as leaving.
    pub(super) fn is_leaving(&self) -> bool {
        self.removed
            || self.spec.leaving
            || self.reports_leaving
            || self.notices.is_leaving()
            || self.listed_state == InstanceState::Leaving
    }

    /// Returns the number of routers that share the upstream.
    fn routers(&self, options: &RoutingOptions) -> u32 {
        self.sharing_routers.unwrap_or(options.routers).max(1)
    }

    /// Returns the estimated number of requests at the upstream.
    pub(super) fn estimated_load(&self, options: &RoutingOptions, now: MonotonicTime) -> f64 {
        let others = f64::from(self.routers(options) - 1);
        let scale = 1.0 + options.peer_weight * others;
        self.load.estimate(scale, self.report_max_age, now)
    }

    /// Returns the maximum number of concurrent requests, reduced during slow start.
    pub(super) fn capacity(&self, options: &RoutingOptions, now: MonotonicTime) -> f64 {
        let ramp = self.health.ramp(options.slow_start, now);
        (f64::from(self.limit.limit()) * ramp).max(1.0)
    }

    /// Returns the estimated load relative to the concurrency.
    pub(super) fn utilisation(&self, options: &RoutingOptions, now: MonotonicTime) -> f64 {
        self.estimated_load(options, now) / f64::from(self.spec.concurrency.max(1))
    }

    /// Returns whether the upstream is neither leaving nor ejected, and does not pause.
    pub(super) fn is_usable(&self, now: MonotonicTime) -> bool {
        !self.is_leaving()
            && self.health.ejected_until(now).is_none()
            && self.notices.pause_left(now).is_none()
    }

    /// Returns how many more requests the upstream can take.
    ///
    /// Only routers below their fair share may exceed the limit. Otherwise, at saturation, a router
    /// with few requests in flight could never catch up, because each finished request frees room
    /// for just one.
    pub(super) fn free(&self, options: &RoutingOptions, now: MonotonicTime) -> f64 {
        let capacity = self.capacity(options, now);
        let estimate = self.estimated_load(options, now);
        let own = f64::from(self.load.in_flight());
        let share = capacity * OVERCOMMIT / f64::from(self.routers(options));
        if own < share.floor() {
            (capacity * OVERCOMMIT - estimate).max(share.floor() - own)
        } else {
            capacity - estimate
        }
    }

    /// Returns whether the upstream can be selected, and if not, why.
    pub(super) fn use_state(&self, options: &RoutingOptions, now: MonotonicTime) -> UseState {
        if self.removed {
            return UseState::Removed;
        }
        if self.is_leaving() {
            return UseState::Leaving;
        }
        if let Some(left) = self.notices.pause_left(now) {
            return UseState::Paused {
                remaining_ms: left.as_millis() as u64,
            };
        }
        if let Some(until) = self.health.ejected_until(now) {
            return UseState::Ejected {
                remaining_ms: until.since(now).as_millis() as u64,
            };
        }
        if self.free(options, now) < 1.0 {
            return UseState::Full;
        }
        if self.health.ramp(options.slow_start, now) < 1.0 {
            return UseState::SlowStart;
        }
        UseState::Used
    }

    /// Returns the expected queueing delay in seconds of a request that arrives now.
    pub(super) fn expected_wait_s(&self, options: &RoutingOptions, now: MonotonicTime) -> f64 {
        let load = self.estimated_load(options, now);
        let slots = f64::from(self.spec.concurrency.max(1));
        // The load at arrival varies around the estimate like a Poisson count, so a request may
        // already queue at a nearly full upstream. Softplus models this instead of a hard maximum.
        let spread = slots.sqrt();
        let relative = ((load + 1.0 - slots) / spread).min(EXCESS_MAX);
        let excess = spread * relative.exp().ln_1p();
        excess * self.speed.duration_s().unwrap_or(PRIOR_DURATION_S) / slots
    }

    /// Returns whether the load is below the bound of prefix affinity.
    pub(super) fn is_within(
        &self,
        bound: f64,
        options: &RoutingOptions,
        now: MonotonicTime,
    ) -> bool {
        // The extra request keeps affinity in an idle group, whose bound would be 0.
        let limit = bound * f64::from(self.spec.concurrency) + 1.0;
        self.estimated_load(options, now) < limit
    }

    /// Returns the prompt tokens that need no prefill because the prefix is cached.
    ///
    /// At the preferred upstream, a small fraction counts as cached before the prefix is known to be
    /// there, so that routers without cache events choose the same upstream.
    pub(super) fn cached_tokens(&self, request: &RouteRequest, is_preferred: bool) -> f64 {
        match request.prefix {
            Some(hint) if self.prefixes.contains(hint.digest) => f64::from(hint.tokens),
            Some(hint) if is_preferred => PREFERRED_SHARE * f64::from(hint.tokens),
            _ => 0.0,
        }
    }

    /// Returns the score: the expected time to first token, in seconds, of a prompt with `tokens` to
    /// prefill, plus penalties for distance and failures.
    pub(super) fn score_s(
        &self,
        tokens: f64,
        latency_model: &LatencyModel,
        options: &RoutingOptions,
        now: MonotonicTime,
    ) -> f64 {
        let tokens = tokens.max(0.0);
        let failures =
            f64::from(self.health.consecutive_failures().min(5)) + self.health.failure_rate();
        self.expected_wait_s(options, now)
            + latency_model.value_s(tokens + self.pending_tokens) * self.speed.factor(now)
            + self.penalty.as_secs_f64()
            + failures * FAILURE_COST_S
    }

    /// Returns the weight of the upstream in the random sampling of candidates.
    pub(super) fn weight(&self, options: &RoutingOptions, now: MonotonicTime) -> f64 {
        let duration_s = self.speed.duration_s().unwrap_or(PRIOR_DURATION_S);
        self.capacity(options, now) / duration_s.max(0.001)
    }
}
