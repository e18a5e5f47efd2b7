//! Generates requests and their arrival times.

use rand::Rng;
use rand_chacha::ChaCha8Rng;

use crate::routing::{
    engine::SimulatedEngine,
    scenario::{Deployment, Scenario},
};

/// Mean length of a prompt in tokens.
const PROMPT_MEAN: f64 = 600.0;
/// Mean length of an answer in tokens.
const ANSWER_MEAN: f64 = 150.0;
/// Length of a shared prefix in tokens.
const PREFIX_TOKENS: u32 = 2_000;
/// Number of shared prefixes.
const PREFIX_COUNT: u64 = 40;
/// Prefix cache hit rate assumed in the capacity estimate.
const PREFIX_HIT_RATE: f64 = 0.7;
/// Number of customers.
pub(super) const CUSTOMER_COUNT: usize = 10;

/// Size, customer and prefix of a request.
#[derive(Clone, Copy, Debug)]
pub(super) struct RequestShape {
    pub(super) customer: usize,
    pub(super) prompt_tokens: u32,
    pub(super) answer_tokens: u32,
    pub(super) prefix: Option<(u64, u32)>,
}

/// Generator of requests.
#[derive(Clone, Copy, Debug)]
pub(super) struct Workload {
    scenario: Scenario,
    capacity: f64,
}

impl Workload {
    pub(super) fn new(scenario: Scenario, deployment: &Deployment) -> Self {
        let prompt_tokens = match scenario {
            Scenario::PrefixHeavy => {
                PROMPT_MEAN / 3.0 + f64::from(PREFIX_TOKENS) * (1.0 - PREFIX_HIT_RATE)
            }
            _ => PROMPT_MEAN,
        };
        let capacity = deployment.speed() * SimulatedEngine::capacity(prompt_tokens, ANSWER_MEAN);
        Self { scenario, capacity }
    }

    /// Returns the time to the next arrival in microseconds.
    pub(super) fn interarrival_us(&self, now_us: u64, rng: &mut ChaCha8Rng) -> u64 {
        let rate = self.capacity * self.scenario.load(now_us as f64 / 1e6);
        (exponential(1e6 / rate, rng) as u64).max(1)
    }

    pub(super) fn next_request(&self, rng: &mut ChaCha8Rng) -> RequestShape {
        let customer = match self.scenario {
            Scenario::LargeCustomer if rng.random::<f64>() < 1.0 / 1.63 => 0,
            Scenario::LargeCustomer => rng.random_range(1..CUSTOMER_COUNT),
            _ => rng.random_range(0..CUSTOMER_COUNT),
        };
        let answer_tokens = exponential(ANSWER_MEAN, rng).clamp(8.0, 800.0) as u32;
        let prompt_length =
            |mean: f64, rng: &mut ChaCha8Rng| exponential(mean, rng).clamp(20.0, 4_000.0) as u32;
        if self.scenario != Scenario::PrefixHeavy {
            let prompt_tokens = prompt_length(PROMPT_MEAN, rng);
            return RequestShape {
                customer,
                prompt_tokens,
                answer_tokens,
                prefix: None,
            };
        }
        // Squaring the uniform draw makes low digests more frequent, so that some prefixes are more
        // popular than others.
        let draw = rng.random::<f64>();
        let digest = (draw * draw * PREFIX_COUNT as f64) as u64;
        RequestShape {
            customer,
            prompt_tokens: PREFIX_TOKENS + prompt_length(PROMPT_MEAN / 3.0, rng),
            answer_tokens,
            prefix: Some((digest, PREFIX_TOKENS)),
        }
    }
}

fn exponential(mean: f64, rng: &mut ChaCha8Rng) -> f64 {
    -mean * (1.0 - rng.random::<f64>()).ln()
}
