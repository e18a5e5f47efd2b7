//! Generator of random requests. The same seed gives every policy of a scenario the same requests.

use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::scenario::ScenarioSettings;

/// The `max_tokens` limit of each request.
const MAX_TOKENS: u64 = 500;

/// Time the engine takes to generate one token.
const TOKEN_INTERVAL: Duration = Duration::from_millis(10);

/// A request of the workload.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Request {
    pub(crate) instance: usize,
    pub(crate) budget: usize,
    /// Reserved tokens: one per prompt byte, plus the `max_tokens` limit.
    pub(crate) reservation: u64,
    /// Tokens billed at completion.
    pub(crate) cost: u64,
    pub(crate) duration: Duration,
}

/// Generates requests with exponentially distributed inter-arrival times.
#[derive(Clone, Debug)]
pub(crate) struct Workload {
    rng: ChaCha8Rng,
    settings: ScenarioSettings,
}

impl Workload {
    pub(crate) fn new(settings: ScenarioSettings, seed: u64) -> Self {
        Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            settings,
        }
    }

    /// Returns the time until the next request, and the request.
    pub(crate) fn next_request(&mut self) -> (Duration, Request) {
        let settings = self.settings;
        let interval =
            -self.rng.random_range(f64::MIN_POSITIVE..1.0).ln() / settings.requests_per_s;
        let prompt_bytes = self.rng.random_range(200..2_000);
        let completion_tokens = self.rng.random_range(50..=MAX_TOKENS);
        let request = Request {
            instance: self.pick_instance(),
            budget: self.pick_budget(),
            reservation: prompt_bytes + MAX_TOKENS,
            cost: prompt_bytes / 4 + completion_tokens,
            duration: TOKEN_INTERVAL * completion_tokens as u32,
        };
        (Duration::from_secs_f64(interval), request)
    }

    fn pick_instance(&mut self) -> usize {
        let settings = self.settings;
        if !settings.is_skewed || self.rng.random_bool(0.5) {
            return self.rng.random_range(0..settings.instances());
        }
        match self.rng.random_bool(0.5) {
            true => 0,
            false => self.rng.random_range(0..settings.instances_per_domain),
        }
    }

    fn pick_budget(&mut self) -> usize {
        let budgets = self.settings.budgets;
        match self.settings.is_skewed && self.rng.random_bool(0.5) {
            true => 0,
            false if self.settings.is_skewed => self.rng.random_range(1..budgets),
            false => self.rng.random_range(0..budgets),
        }
    }
}
