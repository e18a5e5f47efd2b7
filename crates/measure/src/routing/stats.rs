//! Results of one run.

use hdrhistogram::Histogram;

/// Upper bound of the recorded time to first token, in microseconds; higher values are clamped.
const LATENCY_MAX_US: u64 = 120_000_000;

/// Counters and latency histograms of one run after the warm-up.
#[derive(Clone, Debug)]
pub(super) struct RunStats {
    pub(super) first_token_us: Histogram<u64>,
    /// Time to first token of all customers except the large one.
    pub(super) small_first_token_us: Histogram<u64>,
    pub(super) requests: u64,
    pub(super) answered: u64,
    pub(super) refused: u64,
    pub(super) failed: u64,
    pub(super) late: u64,
    pub(super) small_requests: u64,
    pub(super) small_answered: u64,
    pub(super) retries: u64,
    pub(super) wasted_tokens: u64,
    pub(super) goodput_tokens: u64,
    /// Polls by all routers after the warm-up.
    pub(super) polls: u64,
    /// Duration over which polls were counted, in seconds.
    pub(super) poll_seconds: f64,
    pub(super) seconds: f64,
}

impl RunStats {
    pub(super) fn new(seconds: f64, poll_seconds: f64) -> Self {
        let histogram = || Histogram::new_with_bounds(1, LATENCY_MAX_US, 3).expect("valid bounds");
        Self {
            first_token_us: histogram(),
            small_first_token_us: histogram(),
            requests: 0,
            answered: 0,
            refused: 0,
            failed: 0,
            late: 0,
            small_requests: 0,
            small_answered: 0,
            retries: 0,
            wasted_tokens: 0,
            goodput_tokens: 0,
            polls: 0,
            poll_seconds,
            seconds,
        }
    }

    pub(super) fn record_first_token(&mut self, latency_us: u64, is_small: bool) {
        self.first_token_us.saturating_record(latency_us.max(1));
        if is_small {
            self.small_first_token_us
                .saturating_record(latency_us.max(1));
        }
    }

    /// Returns a quantile of the time to first token in milliseconds.
    pub(super) fn first_token_ms(&self, quantile: f64) -> f64 {
        self.first_token_us.value_at_quantile(quantile) as f64 / 1e3
    }

    /// Returns the tokens per second of answers completed before their deadlines.
    pub(super) fn goodput(&self) -> f64 {
        self.goodput_tokens as f64 / self.seconds
    }

    /// Returns the fraction of answered requests among those of the small customers.
    pub(super) fn small_rate(&self) -> f64 {
        self.small_answered as f64 / self.small_requests.max(1) as f64
    }

    /// Returns the mean number of polls per second and router after the warm-up.
    pub(super) fn polls_per_s(&self, routers: usize) -> f64 {
        self.polls as f64 / (self.poll_seconds * routers as f64)
    }

    /// Returns the number of retries per request.
    pub(super) fn retry_rate(&self) -> f64 {
        self.retries as f64 / self.requests.max(1) as f64
    }
}
