//! State of one upstream.

use std::time::Duration;

use crate::{
    base::MonotonicTime,
    limit::ConcurrencyLimit,
    routing::{
        InstanceState, RouteRequest, RoutingOptions, UpstreamSpec, UseState,
        health::UpstreamHealth, load::LoadEstimate, prefix::PrefixMemory, speed::SpeedEstimate,
    },
};

/// Seconds to first token per effective token before anything is learnt.
const PRIOR_FIRST_S: f64 = 0.000_5;
/// Duration of an answer in seconds before anything is learnt.
const PRIOR_DURATION_S: f64 = 2.0;
/// Time that a failed attempt costs the caller, in seconds.
const FAILURE_COST_S: f64 = 1.0;

/// Holds everything known about one upstream.
#[derive(Clone, Debug)]
pub(super) struct UpstreamEntry {
    pub(super) spec: UpstreamSpec,
    pub(super) removed: bool,
    pub(super) penalty: Duration,
    pub(super) listed: InstanceState,
    pub(super) says_leaving: bool,
    pub(super) load: LoadEstimate,
    pub(super) speed: SpeedEstimate,
    pub(super) health: UpstreamHealth,
    pub(super) limit: ConcurrencyLimit,
    pub(super) prefixes: PrefixMemory,
}

impl UpstreamEntry {
    /// Returns whether any source says that the upstream is leaving.
    pub(super) fn is_leaving(&self) -> bool {
        self.removed
            || self.spec.leaving
            || self.says_leaving
            || self.listed == InstanceState::Leaving
    }

    /// Returns the estimated number of requests at the upstream.
    pub(super) fn estimated_load(&self, options: &RoutingOptions, now: MonotonicTime) -> f64 {
        let others = f64::from(options.routers.saturating_sub(1));
        let scale = 1.0 + options.others_weight * others;
        self.load.estimate(scale, options.report_max_age, now)
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
    pub(super) fn free(&self, options: &RoutingOptions, now: MonotonicTime) -> f64 {
        self.capacity(options, now) - self.estimated_load(options, now)
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

    /// Returns the learnt or assumed seconds to first token per effective token.
    pub(super) fn first_s(&self, now: MonotonicTime) -> f64 {
        self.speed.first_s(now).unwrap_or(PRIOR_FIRST_S)
    }

    /// Returns the expected queueing time in seconds of a request that arrives now.
    pub(super) fn expected_wait_s(&self, options: &RoutingOptions, now: MonotonicTime) -> f64 {
        let load = self.estimated_load(options, now);
        let slots = f64::from(self.spec.concurrency.max(1));
        let excess = (load + 1.0 - slots).max(0.0);
        excess * self.speed.duration_s().unwrap_or(PRIOR_DURATION_S) / slots
    }

    /// Returns the expected time to first token in seconds, which is the score.
    pub(super) fn score_s(
        &self,
        request: &RouteRequest,
        is_preferred: bool,
        options: &RoutingOptions,
        now: MonotonicTime,
    ) -> f64 {
        let cached = match request.prefix {
            Some(hint) if self.prefixes.contains(hint.digest) => f64::from(hint.tokens),
            Some(hint) if is_preferred => 0.5 * f64::from(hint.tokens),
            _ => 0.0,
        };
        let tokens = SpeedEstimate::effective_tokens(request.prompt_tokens) - cached;
        let failures = f64::from(self.health.in_a_row().min(5)) + self.health.failure_rate();
        self.expected_wait_s(options, now)
            + tokens.max(1.0) * self.first_s(now)
            + self.penalty.as_secs_f64()
            + failures * FAILURE_COST_S
    }

    /// Returns the weight of the upstream in the random choice of candidates.
    pub(super) fn weight(&self, options: &RoutingOptions, now: MonotonicTime) -> f64 {
        let duration_s = self.speed.duration_s().unwrap_or(PRIOR_DURATION_S);
        self.capacity(options, now) / duration_s.max(0.001)
    }
}
