//! State of one upstream in the placement table.

use std::{collections::HashMap, time::Duration};

use crate::{
    base::MonotonicTime,
    notice::{ColdContext, ColdState, NoticeState, RecentRequests},
    placement::{
        FlightOutcome, PlacementOptions, PromptPart, RequestSize, UpstreamRecord, shared_parts,
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
    /// Whether the domain of the upstream is evacuated.
    pub(super) is_evacuated: bool,
    /// Whether and how long the upstream is cold.
    pub(super) cold: ColdState,
    /// Revision of the directory entry whose statement about that was recorded last.
    cold_revision: Option<u64>,
    /// Requests that were placed in the last seconds.
    pub(super) recent: RecentRequests,
    /// Requests of this instance in flight.
    pub(super) in_flight: u32,
    /// Uncached prompt tokens of requests of this instance that have no first token yet.
    pub(super) pending_tokens: f64,
    /// Tokens of engine memory reserved by requests of this instance.
    pub(super) memory_used: u64,
    report: Option<LoadReport>,
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
            is_evacuated: false,
            cold: ColdState::default(),
            cold_revision: None,
            recent: RecentRequests::default(),
            in_flight: 0,
            pending_tokens: 0.0,
            memory_used: 0,
            report: None,
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

    /// Returns whether the upstream may get new requests.
    pub(super) const fn is_usable(&self) -> bool {
        self.is_listed() && !self.is_evacuated
    }

    /// Returns whether a request that was placed may be sent to the upstream now.
    pub(super) fn accepts(&self, now: MonotonicTime) -> bool {
        self.is_usable() && self.notices.pause_left(now).is_none()
    }

    /// Returns the time until a request may be placed, because of a pause, a limit or a cold start,
    /// or `None` if one may be placed now.
    pub(super) fn wait_left(&self, now: MonotonicTime) -> Option<Duration> {
        self.notices.wait_left(now).max(self.cold.wait_left(now))
    }

    /// Records the statement of the directory about the cold period, unless it is known. The time
    /// counts from now, because the age of the entry is unknown.
    pub(super) fn update_cold(
        &mut self,
        has_started: bool,
        context: &ColdContext,
        now: MonotonicTime,
    ) {
        let left = match self.record.cold {
            Some(notice) if Some(notice.revision) <= self.cold_revision => return,
            Some(notice) => {
                self.cold_revision = Some(notice.revision);
                notice.left
            }
            None if has_started => context.rule.map_or(Duration::ZERO, |rule| rule.start),
            None => return,
        };
        self.cold.record(left, context, now);
    }

    /// Assumes that the upstream is cold until a newer directory entry says something else.
    pub(super) fn assume_cold(&mut self, context: &ColdContext, now: MonotonicTime) {
        if let Some(rule) = context.rule {
            self.cold.record(rule.start, context, now);
        }
    }

    /// Records that a request is placed.
    pub(super) fn record_placement(&mut self, now: MonotonicTime) {
        self.in_flight += 1;
        self.recent.record(now);
        self.notices.take_request(now);
        self.cold.take_request(now);
    }

    /// Returns whether the upstream is ejected because of failures. After the ejection time, it gets
    /// one probing request at a time until one succeeds.
    pub(super) fn is_ejected(&self, now: MonotonicTime) -> bool {
        self.ejected_until
            .is_some_and(|until| now < until || self.in_flight > 0)
    }

    /// Returns the estimated number of requests at the upstream.
    pub(super) fn load(&self, options: &PlacementOptions, now: MonotonicTime) -> f64 {
        let in_flight = f64::from(self.in_flight);
        match self.report {
            Some(report) if now.since(report.at) < options.report_max_age => {
                (report.requests + in_flight - f64::from(report.in_flight)).max(in_flight)
            }
            _ => in_flight,
        }
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

    /// Returns the predicted time to first token in seconds of a prompt with `tokens` to prefill.
    pub(super) fn first_token_s(
        &self,
        tokens: f64,
        options: &PlacementOptions,
        now: MonotonicTime,
    ) -> f64 {
        let rate = options.prompt_rate * self.speed;
        let running = self.load(options, now) * options.running_cost.as_secs_f64();
        options.base_first_token.as_secs_f64() / self.speed
            + (self.pending_tokens + tokens) / rate
            + running
    }

    /// Returns the average duration of a call in seconds, if any was measured.
    pub(super) const fn duration_s(&self) -> Option<f64> {
        self.duration_s
    }

    /// Returns the predicted latency in seconds of a call to a plain service. An upstream without a
    /// measured duration is assumed to take `mean_duration_s`.
    pub(super) fn call_s(
        &self,
        mean_duration_s: f64,
        options: &PlacementOptions,
        now: MonotonicTime,
    ) -> f64 {
        let duration_s = self.duration_s.unwrap_or(mean_duration_s);
        let slots = f64::from(self.record.slots.max(1));
        let load = self.load(options, now);
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

    pub(super) fn report(&mut self, running: u32, waiting: u32, now: MonotonicTime) {
        self.report = Some(LoadReport {
            requests: f64::from(running) + f64::from(waiting),
            in_flight: self.in_flight,
            at: now,
        });
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

    /// Updates the speed with a measured time to first token; `predicted_s` is the prediction at
    /// speed 1.
    pub(super) fn update_speed(&mut self, predicted_s: f64, measured: Duration) {
        let measured_s = measured.as_secs_f64().max(0.001);
        let sample = (predicted_s / measured_s).clamp(SPEED_RANGE.0, SPEED_RANGE.1);
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

    pub(super) const fn speed(&self) -> f64 {
        self.speed
    }

    /// Updates the failure rate and the ejection with the outcome of a request.
    pub(super) fn record_end(
        &mut self,
        end: FlightOutcome,
        options: &PlacementOptions,
        now: MonotonicTime,
    ) {
        let rate = self.failure_rate(options, now);
        match end {
            FlightOutcome::Answered => {
                self.failure_rate = rate * (1.0 - FAILURE_WEIGHT);
                self.failure_at = now;
                self.consecutive_failures = 0;
                self.ejected_until = None;
            }
            FlightOutcome::Cancelled | FlightOutcome::NotSent => {}
            FlightOutcome::Failed | FlightOutcome::Refused => {
                self.failure_rate = rate + (1.0 - rate) * FAILURE_WEIGHT;
                self.failure_at = now;
            }
            FlightOutcome::NotReached | FlightOutcome::Lost | FlightOutcome::TimedOut => {
                self.failure_rate = rate + (1.0 - rate) * FAILURE_WEIGHT;
                self.failure_at = now;
                self.consecutive_failures += 1;
                if end == FlightOutcome::NotReached || self.consecutive_failures >= 2 {
                    self.eject(options, now);
                }
                // The process may have restarted, so the report no longer holds.
                self.report = None;
            }
        }
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
