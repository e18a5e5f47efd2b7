//! State of one upstream in the placement table.

use std::{collections::HashMap, time::Duration};

use crate::{
    base::MonotonicTime,
    placement::{FlightOutcome, PlacementOptions, PromptPart, RequestSize, UpstreamRecord},
};

/// Prompt parts that are remembered for one engine.
const PARTS_MAX: usize = 4_096;
/// Weight of a new observation in learnt speeds and durations.
const LEARN_WEIGHT: f64 = 0.15;
/// Bounds of the learnt speed relative to the prior, so that one odd answer cannot ruin it.
const SPEED_RANGE: (f64, f64) = (0.1, 4.0);
/// Weight of a new outcome in the failure rate.
const FAILURE_WEIGHT: f64 = 0.25;
/// Largest exponent of the ejection time.
const EJECT_STEPS_MAX: u32 = 4;

#[derive(Clone, Copy, Debug)]
struct LoadReport {
    /// Requests that ran or waited.
    requests: f64,
    /// Own requests in flight when the report arrived.
    own: u32,
    at: MonotonicTime,
}

/// Holds everything known about one upstream.
#[derive(Clone, Debug)]
pub(super) struct Entry {
    pub(super) record: UpstreamRecord,
    /// Whether the platform no longer lists it.
    pub(super) is_removed: bool,
    /// Own requests in flight.
    pub(super) own: u32,
    /// Tokens of own prompts that wait for their first token.
    pub(super) pending_tokens: f64,
    /// Tokens in the memory of the engine for own requests.
    pub(super) memory_used: u64,
    report: Option<LoadReport>,
    speed: f64,
    duration_s: Option<f64>,
    failure_rate: f64,
    failure_at: MonotonicTime,
    failures_in_a_row: u32,
    ejected_until: Option<MonotonicTime>,
    cached: HashMap<u64, MonotonicTime>,
}

impl Entry {
    pub(super) fn new(record: UpstreamRecord) -> Self {
        Self {
            record,
            is_removed: false,
            own: 0,
            pending_tokens: 0.0,
            memory_used: 0,
            report: None,
            speed: 1.0,
            duration_s: None,
            failure_rate: 0.0,
            failure_at: MonotonicTime::START,
            failures_in_a_row: 0,
            ejected_until: None,
            cached: HashMap::new(),
        }
    }

    /// Takes over a new record; knowledge of an earlier incarnation is dropped.
    pub(super) fn update(&mut self, record: UpstreamRecord) {
        let is_same = record.address == self.record.address
            && record.started_unix_ms == self.record.started_unix_ms;
        if !is_same {
            let fresh = Self::new(record.clone());
            let (own, pending, memory) = (self.own, self.pending_tokens, self.memory_used);
            *self = fresh;
            (self.own, self.pending_tokens, self.memory_used) = (own, pending, memory);
        }
        self.record = record;
        self.is_removed = false;
    }

    /// Returns whether new requests may be sent.
    pub(super) const fn is_listed(&self) -> bool {
        !self.is_removed && !self.record.is_leaving
    }

    /// Returns whether the upstream is kept out of use after failures. When the time is over, one
    /// request at a time tries it.
    pub(super) fn is_ejected(&self, now: MonotonicTime) -> bool {
        self.ejected_until
            .is_some_and(|until| now < until || self.own > 0)
    }

    /// Returns the estimated number of requests at the upstream.
    pub(super) fn load(&self, options: &PlacementOptions, now: MonotonicTime) -> f64 {
        let own = f64::from(self.own);
        match self.report {
            Some(report) if now.since(report.at) < options.report_max_age => {
                (report.requests + own - f64::from(report.own)).max(own)
            }
            _ => own,
        }
    }

    /// Returns the prompt tokens that the engine has to read, given the part of the shared tokens
    /// that counts as cached if this instance does not know better.
    pub(super) fn uncached_tokens(
        &self,
        size: &RequestSize,
        shared_part: f64,
        options: &PlacementOptions,
        now: MonotonicTime,
    ) -> f64 {
        let is_cached = |part: &&PromptPart| {
            self.cached
                .get(&part.digest)
                .is_some_and(|at| now.since(*at) < options.cache_time)
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
        let cached = (known as f64).max(shared as f64 * shared_part);
        (size.prompt_tokens as f64 - cached).max(0.0)
    }

    /// Returns the predicted time in seconds until `tokens` have been read and the first token is
    /// there.
    pub(super) fn first_token_s(
        &self,
        tokens: f64,
        options: &PlacementOptions,
        now: MonotonicTime,
    ) -> f64 {
        let rate = options.prompt_rate * self.speed;
        let running = self.load(options, now) * options.running_cost.as_secs_f64();
        options.first_token.as_secs_f64() / self.speed
            + (self.pending_tokens + tokens) / rate
            + running
    }

    /// Returns the measured duration of a call in seconds, if there is one.
    pub(super) const fn duration_s(&self) -> Option<f64> {
        self.duration_s
    }

    /// Returns the predicted time in seconds until a call to a plain service is answered. Calls at
    /// an upstream without a measured duration count as usual ones.
    pub(super) fn call_s(
        &self,
        usual_s: f64,
        options: &PlacementOptions,
        now: MonotonicTime,
    ) -> f64 {
        let duration_s = self.duration_s.unwrap_or(usual_s);
        let slots = f64::from(self.record.slots.max(1));
        let load = self.load(options, now);
        let waiting = (load + 1.0 - slots).max(0.0) / slots;
        // Among upstreams with free slots, the emptier one has more room for other instances.
        duration_s * (1.0 + waiting + 0.3 * load / slots)
    }

    /// Returns the cost in seconds of the failures that are to be expected.
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
            own: self.own,
            at: now,
        });
    }

    pub(super) fn remember_parts(&mut self, size: &RequestSize, now: MonotonicTime) {
        if self.cached.len() + size.parts.len() > PARTS_MAX {
            let mut times: Vec<MonotonicTime> = self.cached.values().copied().collect();
            let middle = times.len() / 2;
            let (_, median, _) = times.select_nth_unstable(middle);
            let median = *median;
            self.cached.retain(|_, at| *at > median);
        }
        // The last part of a request is not read again, except as that of a session.
        for part in &size.parts {
            self.cached.insert(part.digest, now);
        }
    }

    /// Learns the speed from the time to a first token and the time predicted at speed 1.
    pub(super) fn learn_speed(&mut self, predicted_s: f64, measured: Duration) {
        let measured_s = measured.as_secs_f64().max(0.001);
        let sample = (predicted_s / measured_s).clamp(SPEED_RANGE.0, SPEED_RANGE.1);
        // Averages in logarithms, because speeds are factors.
        let mean = (self.speed.ln() * (1.0 - LEARN_WEIGHT) + sample.ln() * LEARN_WEIGHT).exp();
        self.speed = mean.clamp(SPEED_RANGE.0, SPEED_RANGE.1);
    }

    pub(super) fn learn_duration(&mut self, measured: Duration) {
        let sample = measured.as_secs_f64();
        self.duration_s = Some(match self.duration_s {
            Some(mean) => mean * (1.0 - LEARN_WEIGHT) + sample * LEARN_WEIGHT,
            None => sample,
        });
    }

    pub(super) const fn speed(&self) -> f64 {
        self.speed
    }

    /// Records how a request ended.
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
                self.failures_in_a_row = 0;
                self.ejected_until = None;
            }
            FlightOutcome::Cancelled => {}
            FlightOutcome::Failed | FlightOutcome::Refused => {
                self.failure_rate = rate + (1.0 - rate) * FAILURE_WEIGHT;
                self.failure_at = now;
            }
            FlightOutcome::NotReached | FlightOutcome::Lost | FlightOutcome::TimedOut => {
                self.failure_rate = rate + (1.0 - rate) * FAILURE_WEIGHT;
                self.failure_at = now;
                self.failures_in_a_row += 1;
                if end == FlightOutcome::NotReached || self.failures_in_a_row >= 2 {
                    self.eject(options, now);
                }
                // The process may have been replaced by one with an empty memory.
                self.report = None;
            }
        }
    }

    fn eject(&mut self, options: &PlacementOptions, now: MonotonicTime) {
        let steps = self
            .failures_in_a_row
            .saturating_sub(1)
            .min(EJECT_STEPS_MAX);
        let time = options.eject_min * 2_u32.pow(steps);
        self.ejected_until = Some(now + time.min(options.eject_max));
        self.cached.clear();
    }
}

/// Returns the parts of a prompt that other requests may share.
pub(super) fn shared_parts(size: &RequestSize) -> &[PromptPart] {
    size.parts.split_last().map_or(&[], |(_, shared)| shared)
}
