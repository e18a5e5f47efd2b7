//! State of one upstream.

use std::time::Duration;

use crate::{
    base::MonotonicTime,
    limit::ConcurrencyLimit,
    routing::{
        InstanceState, RouteRequest, RoutingOptions, UpstreamSpec, UseState,
        health::UpstreamHealth,
        load::LoadEstimate,
        prefix::PrefixMemory,
        speed::{LatencyLine, SpeedEstimate},
    },
};

/// Requests that are sent relative to the limit. A short queue at the upstream keeps its batch full
/// between two load reports; without it the goodput at twice the capacity was 0.82 of its peak.
const OVERCOMMIT: f64 = 1.25;
/// Largest excess load relative to its spread, so that the exponential stays finite.
const EXCESS_MAX: f64 = 500.0;
/// Duration of an answer in seconds before anything is learnt.
const PRIOR_DURATION_S: f64 = 2.0;
/// Share of a prefix that counts at the upstream that all routers prefer for it. It decides between
/// nearly equal upstreams only: with a half, prefixes settled at slow upstreams and the 95th
/// percentile under prefix-heavy load was 318 ms instead of 207 ms.
const PREFERRED_SHARE: f64 = 0.02;
/// Time that a failed attempt costs the caller, in seconds.
const FAILURE_COST_S: f64 = 1.0;

/// Holds everything known about one upstream.
#[derive(Clone, Debug)]
pub(super) struct UpstreamEntry {
    pub(super) spec: UpstreamSpec,
    pub(super) removed: bool,
    /// Routers that share the upstream, if these are not all.
    pub(super) sharing: Option<u32>,
    /// Age after which a load report is ignored.
    pub(super) report_max_age: Duration,
    pub(super) penalty: Duration,
    pub(super) listed: InstanceState,
    pub(super) says_leaving: bool,
    pub(super) load: LoadEstimate,
    pub(super) speed: SpeedEstimate,
    pub(super) health: UpstreamHealth,
    pub(super) limit: ConcurrencyLimit,
    pub(super) prefixes: PrefixMemory,
    /// Prompt tokens of own requests that wait for their first token.
    pub(super) pending_tokens: f64,
}

impl UpstreamEntry {
    /// Returns whether any source says that the upstream is leaving.
    pub(super) fn is_leaving(&self) -> bool {
        self.removed
            || self.spec.leaving
            || self.says_leaving
            || self.listed == InstanceState::Leaving
    }

    /// Returns the number of routers that share the upstream.
    fn routers(&self, options: &RoutingOptions) -> u32 {
        self.sharing.unwrap_or(options.routers).max(1)
    }

    /// Returns the estimated number of requests at the upstream.
    pub(super) fn estimated_load(&self, options: &RoutingOptions, now: MonotonicTime) -> f64 {
        let others = f64::from(self.routers(options) - 1);
        let scale = 1.0 + options.others_weight * others;
        self.load.estimate(scale, self.report_max_age, now)
    }

    /// Returns the number of requests that the upstream should have at most.
    pub(super) fn capacity(&self, options: &RoutingOptions, now: MonotonicTime) -> f64 {
        let ramp = self.health.ramp(options.slow_start, now);
        (f64::from(self.limit.limit()) * ramp).max(1.0)
    }

    /// Returns the estimated load relative to the concurrency.
    pub(super) fn utilisation(&self, options: &RoutingOptions, now: MonotonicTime) -> f64 {
        self.estimated_load(options, now) / f64::from(self.spec.concurrency.max(1))
    }

    /// Returns whether the upstream is neither leaving nor ejected.
    pub(super) fn is_usable(&self, now: MonotonicTime) -> bool {
        !self.is_leaving() && self.health.ejected_until(now).is_none()
    }

    /// Returns how many more requests the upstream takes.
    ///
    /// Beyond the limit there is room only for routers below their even share. Otherwise a router
    /// with few requests in flight keeps few while all are busy, because each finished request
    /// makes room for one.
    pub(super) fn free(&self, options: &RoutingOptions, now: MonotonicTime) -> f64 {
        let capacity = self.capacity(options, now);
        let estimate = self.estimated_load(options, now);
        let own = f64::from(self.load.own());
        let share = capacity * OVERCOMMIT / f64::from(self.routers(options));
        if own < share.floor() {
            (capacity * OVERCOMMIT - estimate).max(share.floor() - own)
        } else {
            capacity - estimate
        }
    }

    /// Returns the state in which the upstream is for selection.
    pub(super) fn use_state(&self, options: &RoutingOptions, now: MonotonicTime) -> UseState {
        if self.removed {
            return UseState::Removed;
        }
        if self.is_leaving() {
            return UseState::Leaving;
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

    /// Returns the expected queueing time in seconds of a request that arrives now.
    pub(super) fn expected_wait_s(&self, options: &RoutingOptions, now: MonotonicTime) -> f64 {
        let load = self.estimated_load(options, now);
        let slots = f64::from(self.spec.concurrency.max(1));
        // The load at arrival differs from the estimate like a Poisson count, so an upstream that
        // is nearly full may already make the request wait (softplus instead of a maximum).
        let spread = slots.sqrt();
        let relative = ((load + 1.0 - slots) / spread).min(EXCESS_MAX);
        let excess = spread * relative.exp().ln_1p();
        excess * self.speed.duration_s().unwrap_or(PRIOR_DURATION_S) / slots
    }

    /// Returns whether the utilisation is below the bound of prefix affinity.
    pub(super) fn is_within(
        &self,
        bound: f64,
        options: &RoutingOptions,
        now: MonotonicTime,
    ) -> bool {
        // One request more keeps an idle group from spreading each prefix.
        let most = bound * f64::from(self.spec.concurrency) + 1.0;
        self.estimated_load(options, now) < most
    }

    /// Returns the prompt tokens that need no work because the prefix is cached.
    ///
    /// An upstream that all routers prefer for the prefix counts for a small part of it before the
    /// prefix is known to be there, so that routers without news agree.
    pub(super) fn cached_tokens(&self, request: &RouteRequest, is_preferred: bool) -> f64 {
        match request.prefix {
            Some(hint) if self.prefixes.contains(hint.digest) => f64::from(hint.tokens),
            Some(hint) if is_preferred => PREFERRED_SHARE * f64::from(hint.tokens),
            _ => 0.0,
        }
    }

    /// Returns the expected time to first token in seconds of a prompt with `tokens` to work on,
    /// which is the score.
    pub(super) fn score_s(
        &self,
        tokens: f64,
        line: &LatencyLine,
        options: &RoutingOptions,
        now: MonotonicTime,
    ) -> f64 {
        let tokens = tokens.max(0.0);
        let failures = f64::from(self.health.in_a_row().min(5)) + self.health.failure_rate();
        self.expected_wait_s(options, now)
            + line.value_s(tokens + self.pending_tokens) * self.speed.factor(now)
            + self.penalty.as_secs_f64()
            + failures * FAILURE_COST_S
    }

    /// Returns the weight of the upstream in the random choice of candidates.
    pub(super) fn weight(&self, options: &RoutingOptions, now: MonotonicTime) -> f64 {
        let duration_s = self.speed.duration_s().unwrap_or(PRIOR_DURATION_S);
        self.capacity(options, now) / duration_s.max(0.001)
    }
}
