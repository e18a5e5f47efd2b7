//! State of one upstream in the placement table.

use std::{collections::HashMap, time::Duration};

use crate::{
    base::MonotonicTime,
    notice::{NoticeState, RecentRequests},
    placement::{
        FlightOutcome, LoadFigures, PlacementOptions, PromptPart, RequestSize, UpstreamRecord,
        prompt_line::PromptLine, shared_parts, slowness::SlownessEstimate,
    },
};

/// Maximum number of prompt parts tracked as cached per engine.
const CACHED_PARTS_MAX: usize = 4_096;
/// Smoothing factor of the moving averages of speed and duration.
const SMOOTHING: f64 = 0.15;
/// Bounds of the estimated speed relative to the configured rate, so that an outlier cannot distort
/// it.
const SPEED_RANGE: (f64, f64) = (0.1, 4.0);
/// Smoothing factor of the failure rate.
const FAILURE_WEIGHT: f64 = 0.25;
/// Failure rate up to which failures that peers have seen raise it.
const PEER_FAILURE_MAX: f64 = 0.4;
/// Maximum exponent of the ejection back-off.
const EJECT_EXPONENT_MAX: u32 = 4;

#[derive(Clone, Copy, Debug)]
struct LoadReport {
    /// Running and queued requests.
    requests: f64,
    /// Requests of this instance in flight when the report arrived.
    in_flight: u32,
    at: MonotonicTime,
}

/// Configuration, load, speed and health of one upstream.
#[derive(Clone, Debug)]
pub(super) struct UpstreamEntry {
    pub(super) record: UpstreamRecord,
    /// Whether the upstream is no longer listed by the platform.
    pub(super) is_removed: bool,
    /// Whether a newer state of the directory shows that the upstream has left.
    pub(super) has_departed: bool,
    /// What the responses of this incarnation have said.
    pub(super) notices: NoticeState,
    /// Requests that were placed in the last seconds.
    pub(super) recent: RecentRequests,
    /// Requests of this instance in flight.
    pub(super) in_flight: u32,
    /// Uncached prompt tokens of requests of this instance that have no first token yet.
    pub(super) pending_tokens: f64,
    /// Tokens of engine memory reserved by requests of this instance.
    pub(super) memory_used: u64,
    report: Option<LoadReport>,
    slowness: SlownessEstimate,
    speed: f64,
    duration_s: Option<f64>,
    failure_rate: f64,
    failure_at: MonotonicTime,
    consecutive_failures: u32,
    ejected_until: Option<MonotonicTime>,
    cached: HashMap<u64, MonotonicTime>,
}

impl UpstreamEntry {
    pub(super) fn new(record: UpstreamRecord) -> Self {
        Self {
            record,
            is_removed: false,
            has_departed: false,
            notices: NoticeState::default(),
            recent: RecentRequests::default(),
            in_flight: 0,
            pending_tokens: 0.0,
            memory_used: 0,
            report: None,
            slowness: SlownessEstimate::default(),
            speed: 1.0,
            duration_s: None,
            failure_rate: 0.0,
            failure_at: MonotonicTime::START,
            consecutive_failures: 0,
            ejected_until: None,
            cached: HashMap::new(),
        }
    }

    /// Replaces the record. Statistics are reset if it describes a new incarnation.
    pub(super) fn update(&mut self, record: UpstreamRecord) {
        if record.incarnation() != self.record.incarnation() {
            let fresh = Self::new(record.clone());
            let (in_flight, pending, memory) =
                (self.in_flight, self.pending_tokens, self.memory_used);
            *self = fresh;
            (self.in_flight, self.pending_tokens, self.memory_used) = (in_flight, pending, memory);
        }
        self.record = record;
        self.is_removed = false;
    }

    /// Returns whether the upstream accepts new requests.
    pub(super) const fn is_listed(&self) -> bool {
        !self.is_removed
            && !self.has_departed
            && !self.record.is_leaving
            && !self.notices.is_leaving()
    }

    /// Returns whether a request that was placed may be sent to the upstream now.
    pub(super) fn accepts(&self, now: MonotonicTime) -> bool {
        self.is_listed() && self.notices.pause_left(now).is_none()
    }

    /// Records that a request is placed.
    pub(super) fn record_placement(&mut self, now: MonotonicTime) {
        self.in_flight += 1;
        self.recent.record(now);
        self.notices.take_request(now);
    }

    /// Returns whether the upstream is ejected because of failures. After the ejection time, it gets
    /// one probing request at a time until one succeeds.
    pub(super) fn is_ejected(&self, now: MonotonicTime) -> bool {
        self.ejected_until
            .is_some_and(|until| now < until || self.in_flight > 0)
    }

    /// Returns the estimated number of requests of other instances at the upstream, if a recent report
    /// tells it.
    pub(super) fn others(&self, options: &PlacementOptions, now: MonotonicTime) -> Option<f64> {
        let report = self.report?;
        let is_recent = now.since(report.at) < options.report_max_age;
        is_recent.then(|| (report.requests - f64::from(report.in_flight)).max(0.0))
    }

    /// Returns the estimated number of requests at the upstream. `mean_others` is assumed of other
    /// instances if no recent report tells theirs.
    pub(super) fn load(
        &self,
        mean_others: f64,
        options: &PlacementOptions,
        now: MonotonicTime,
    ) -> f64 {
        f64::from(self.in_flight) + self.others(options, now).unwrap_or(mean_others)
    }

    /// Returns the prompt tokens that the engine has to prefill. `shared_fraction` is the fraction of
    /// the shared tokens that counts as cached if this instance knows of fewer cached tokens.
    pub(super) fn uncached_tokens(
        &self,
        size: &RequestSize,
        shared_fraction: f64,
        options: &PlacementOptions,
        now: MonotonicTime,
    ) -> f64 {
        let is_cached = |part: &&PromptPart| {
            self.cached
                .get(&part.digest)
                .is_some_and(|at| now.since(*at) < options.cache_ttl)
        };
        let known: u64 = size
            .parts
            .iter()
            .take_while(is_cached)
            .map(|part| u64::from(part.tokens))
            .sum();
        let shared: u64 = shared_parts(size)
            .iter()
            .map(|part| u64::from(part.tokens))
            .sum();
        let cached = (known as f64).max(shared as f64 * shared_fraction);
        (size.prompt_tokens as f64 - cached).max(0.0)
    }

    /// Returns whether the engine has cached most of the shared tokens of a prompt, as far as this
    /// instance knows.
    pub(super) fn holds_parts(
        &self,
        size: &RequestSize,
        options: &PlacementOptions,
        now: MonotonicTime,
    ) -> bool {
        let tokens = |parts: &[PromptPart]| parts.iter().map(|part| f64::from(part.tokens)).sum();
        let shared: f64 = tokens(shared_parts(size));
        let uncached = self.uncached_tokens(size, 0.0, options, now);
        shared > 0.0 && size.prompt_tokens as f64 - uncached > shared / 2.0
    }

    /// Returns the predicted time to first token in seconds of a prompt with `tokens` to prefill, once
    /// it has a slot.
    pub(super) fn first_token_s(
        &self,
        tokens: f64,
        line: &PromptLine,
        options: &PlacementOptions,
        now: MonotonicTime,
    ) -> f64 {
        line.first_token_s(self.pending_tokens + tokens) * self.work_factor(options, now)
    }

    /// Returns the duration of work now relative to the usual one of the service.
    pub(super) fn work_factor(&self, options: &PlacementOptions, now: MonotonicTime) -> f64 {
        self.slowness.factor(options.slowness_decay, now) / self.speed
    }

    /// Returns the predicted wait in seconds for a slot.
    pub(super) fn slot_wait_s(&self, load: f64, mean_duration_s: f64) -> f64 {
        let slots = f64::from(self.record.slots.max(1));
        let excess = (load + 1.0 - slots).max(0.0);
        excess * self.duration_s.unwrap_or(mean_duration_s) / slots
    }

    /// Returns the average duration of a call in seconds, if any was measured.
    pub(super) const fn duration_s(&self) -> Option<f64> {
        self.duration_s
    }

    /// Returns the predicted latency in seconds of a call to a plain service. An upstream without a
    /// measured duration is assumed to take `mean_duration_s`.
    pub(super) fn call_s(
        &self,
        load: f64,
        mean_duration_s: f64,
        options: &PlacementOptions,
        now: MonotonicTime,
    ) -> f64 {
        let slowness = self.slowness.factor(options.slowness_decay, now);
        let duration_s = self.duration_s.unwrap_or(mean_duration_s) * slowness;
        let slots = f64::from(self.record.slots.max(1));
        let waiting = (load + 1.0 - slots).max(0.0) / slots;
        // Prefers the least loaded upstream with free slots, to leave room for requests of other
        // instances.
        duration_s * (1.0 + waiting + 0.3 * load / slots)
    }

    /// Returns the expected cost of failures in seconds.
    pub(super) fn failure_s(&self, options: &PlacementOptions, now: MonotonicTime) -> f64 {
        self.failure_rate(options, now) * options.failure_cost.as_secs_f64()
    }

    pub(super) fn remote_s(&self, options: &PlacementOptions) -> f64 {
        match self.record.domain == options.domain {
            true => 0.0,
            false => options.remote_cost.as_secs_f64(),
        }
    }

    fn failure_rate(&self, options: &PlacementOptions, now: MonotonicTime) -> f64 {
        let age = now.since(self.failure_at).as_secs_f64();
        self.failure_rate * (-age / options.failure_half_life.as_secs_f64()).exp2()
    }

    /// Records the load that a response reports.
    pub(super) fn report(&mut self, figures: LoadFigures, now: MonotonicTime) {
        self.report = Some(LoadReport {
            requests: f64::from(figures.running) + f64::from(figures.waiting),
            in_flight: self.in_flight,
            at: now,
        });
        if let Some(slowness) = figures.slowness {
            self.slowness.record(slowness, now);
        }
    }

    /// Records a failure that a peer has seen. Several peers see the same outage, so that its weight is
    /// bounded.
    pub(super) fn record_peer_failure(&mut self, options: &PlacementOptions, now: MonotonicTime) {
        if self.failure_rate(options, now) < PEER_FAILURE_MAX {
            self.raise_failure_rate(options, now);
        }
    }

    pub(super) fn record_cached_parts(&mut self, size: &RequestSize, now: MonotonicTime) {
        if self.cached.len() + size.parts.len() > CACHED_PARTS_MAX {
            let mut times: Vec<MonotonicTime> = self.cached.values().copied().collect();
            let middle = times.len() / 2;
            let (_, median, _) = times.select_nth_unstable(middle);
            let median = *median;
            self.cached.retain(|_, at| *at > median);
        }
        // The last part is only reused by later requests of the same session.
        for part in &size.parts {
            self.cached.insert(part.digest, now);
        }
    }

    /// Updates the speed with a measured time to first token; `usual_s` is the usual one.
    pub(super) fn update_speed(&mut self, usual_s: f64, measured: Duration) {
        let sample = usual_s / measured.as_secs_f64().max(0.001);
        let sample = sample.clamp(SPEED_RANGE.0, SPEED_RANGE.1);
        // Geometric mean, because speeds are ratios.
        let mean = (self.speed.ln() * (1.0 - SMOOTHING) + sample.ln() * SMOOTHING).exp();
        self.speed = mean.clamp(SPEED_RANGE.0, SPEED_RANGE.1);
    }

    pub(super) fn update_duration(&mut self, measured: Duration) {
        let sample = measured.as_secs_f64();
        self.duration_s = Some(match self.duration_s {
            Some(mean) => mean * (1.0 - SMOOTHING) + sample * SMOOTHING,
            None => sample,
        });
    }

    /// Updates the failure rate and the ejection with the outcome of a request.
    pub(super) fn record_end(
        &mut self,
        end: FlightOutcome,
        options: &PlacementOptions,
        now: MonotonicTime,
    ) {
        match end {
            FlightOutcome::Answered => {
                self.record_success(options, now);
                self.consecutive_failures = 0;
                self.ejected_until = None;
            }
            FlightOutcome::Cancelled | FlightOutcome::NotSent => {}
            FlightOutcome::Failed | FlightOutcome::Refused => {
                self.raise_failure_rate(options, now);
            }
            FlightOutcome::NotReached | FlightOutcome::Lost | FlightOutcome::TimedOut => {
                self.raise_failure_rate(options, now);
                self.consecutive_failures += 1;
                if end == FlightOutcome::NotReached || self.consecutive_failures >= 2 {
                    self.eject(options, now);
                }
                // The process may have restarted, so the report no longer holds.
                self.report = None;
            }
        }
    }

    fn record_success(&mut self, options: &PlacementOptions, now: MonotonicTime) {
        self.failure_rate = self.failure_rate(options, now) * (1.0 - FAILURE_WEIGHT);
        self.failure_at = now;
    }

    fn raise_failure_rate(&mut self, options: &PlacementOptions, now: MonotonicTime) {
        let rate = self.failure_rate(options, now);
        self.failure_rate = rate + (1.0 - rate) * FAILURE_WEIGHT;
        self.failure_at = now;
    }

    fn eject(&mut self, options: &PlacementOptions, now: MonotonicTime) {
        let exponent = self
            .consecutive_failures
            .saturating_sub(1)
            .min(EJECT_EXPONENT_MAX);
        let time = options.eject_min * 2_u32.pow(exponent);
        self.ejected_until = Some(now + time.min(options.eject_max));
        self.cached.clear();
    }
}
