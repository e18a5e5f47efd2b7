//! Learnt time to the first token of a service, by the number of prompt tokens to read.

/// Weight of a new sample.
const SAMPLE_WEIGHT: f64 = 0.02;
/// Weight of the configured line, in samples, so that a few outliers do not replace it.
const INITIAL_SAMPLES: f64 = 10.0;
/// Prompt lengths of the two points that stand for the configured line.
const INITIAL_TOKENS: [f64; 2] = [0.0, 8_000.0];
/// Smallest share of the configured slope that is assumed.
const SLOPE_MIN: f64 = 0.1;

/// Line through the measured times of a service, by least squares over decaying samples.
#[derive(Clone, Copy, Debug)]
pub(super) struct PromptLine {
    initial_slope: f64,
    weight: f64,
    tokens: f64,
    time_s: f64,
    tokens_squared: f64,
    product: f64,
}

impl PromptLine {
    /// Creates the configured line: a time in seconds without a prompt, and tokens a second.
    pub(super) fn new(base_s: f64, rate: f64) -> Self {
        let mut line = Self {
            initial_slope: 1.0 / rate,
            weight: 0.0,
            tokens: 0.0,
            time_s: 0.0,
            tokens_squared: 0.0,
            product: 0.0,
        };
        for tokens in INITIAL_TOKENS {
            line.add(tokens, base_s + tokens / rate, INITIAL_SAMPLES / 2.0);
        }
        line
    }

    /// Adds a measured time.
    pub(super) fn record(&mut self, tokens: f64, time_s: f64) {
        let kept = 1.0 - SAMPLE_WEIGHT;
        self.weight *= kept;
        self.tokens *= kept;
        self.time_s *= kept;
        self.tokens_squared *= kept;
        self.product *= kept;
        self.add(tokens, time_s, 1.0);
    }

    fn add(&mut self, tokens: f64, time_s: f64, weight: f64) {
        self.weight += weight;
        self.tokens += weight * tokens;
        self.time_s += weight * time_s;
        self.tokens_squared += weight * tokens * tokens;
        self.product += weight * tokens * time_s;
    }

    /// Returns the time in seconds for one prompt token.
    pub(super) fn slope(&self) -> f64 {
        let variance = self.weight * self.tokens_squared - self.tokens * self.tokens;
        let covariance = self.weight * self.product - self.tokens * self.time_s;
        let slope = covariance / variance.max(f64::MIN_POSITIVE);
        slope.max(SLOPE_MIN * self.initial_slope)
    }

    /// Returns the time in seconds to the first token of a prompt.
    pub(super) fn first_token_s(&self, tokens: f64) -> f64 {
        let mean_s = self.time_s / self.weight;
        let mean_tokens = self.tokens / self.weight;
        (mean_s + self.slope() * (tokens - mean_tokens)).max(0.001)
    }
}
