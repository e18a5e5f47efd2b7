//! Costs of the candidates for a request, and the draw of the candidates.

use std::time::Duration;

use crate::placement::PlacementKey;

/// Bounds of the number of drawn candidates.
const DRAWN: (usize, usize) = (3, 9);
/// Number of candidates that all instances together draw for one request each.
const DRAWN_BY_ALL: usize = 36;

/// An upstream with its predicted latency and cost for a request.
#[derive(Clone, Copy, Debug)]
pub(super) struct Candidate {
    pub(super) key: PlacementKey,
    /// Predicted time in seconds to the first token or the answer.
    pub(super) expected_s: f64,
    /// Cost in seconds for this caller and the others.
    pub(super) cost_s: f64,
    /// Prompt tokens that the engine has to prefill.
    pub(super) uncached: f64,
    pub(super) has_memory: bool,
}

impl Candidate {
    /// Returns the predicted time to the first token or the answer.
    pub(super) fn expected(&self) -> Duration {
        Duration::from_secs_f64(self.expected_s.clamp(0.0, 3_600.0))
    }

    /// Returns whether a request can start here within its latency limit.
    pub(super) fn is_in_time(&self, limit: Duration) -> bool {
        self.expected() <= limit
    }
}

/// Returns the time in seconds that `streams` running requests lose to a prompt which takes `prompt_s`
/// to read. It grows with the square: a pause is noticed only once it comes near `pause_s`.
pub(super) fn stream_loss_s(streams: f64, prompt_s: f64, pause_s: f64) -> f64 {
    streams * prompt_s * prompt_s / pause_s
}

/// Returns the number of drawn candidates. The more instances see similar reports, the fewer: otherwise
/// most of them would take the same best one of all.
pub(super) fn draw_count(instances: usize) -> usize {
    (DRAWN_BY_ALL / instances.max(1)).clamp(DRAWN.0, DRAWN.1)
}

/// Draws `count` different upstreams at random.
pub(super) fn draw(mut keys: Vec<PlacementKey>, count: usize, seed: u64) -> Vec<PlacementKey> {
    let count = count.min(keys.len());
    let mut state = seed;
    for index in 0..count {
        let left = (keys.len() - index) as u64;
        let chosen = index + (next_random(&mut state) % left) as usize;
        keys.swap(index, chosen);
    }
    keys.truncate(count);
    keys
}

/// Returns the next number of the `SplitMix64` sequence.
const fn next_random(state: &mut u64) -> u64 {
    *state = state.wrapping_add(0x9E37_79B9_7F4A_7C15);
    let mut mixed = *state;
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    mixed ^ (mixed >> 31)
}
