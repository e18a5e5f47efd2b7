//! Settings of the placement table.

use std::time::Duration;

use crate::{base::DomainName, notice::PAUSE_MAX_DEFAULT};

/// Configures [`PlacementTable`](crate::placement::PlacementTable).
#[derive(Clone, Debug, PartialEq)]
pub struct PlacementOptions {
    /// Failure domain of this instance.
    pub domain: DomainName,
    /// Initial prefill rate of an engine, in tokens per second. Only the order of magnitude matters,
    /// because the speed of each engine is estimated from its first answers.
    pub prompt_rate: f64,
    /// Time to first token of an empty prompt at an idle engine.
    pub base_first_token: Duration,
    /// Additional cost of an upstream in another domain: the usual round-trip time and the price of
    /// the traffic.
    pub remote_cost: Duration,
    /// Cost of each request in the batch of an engine, because it slows decoding of all others.
    pub running_cost: Duration,
    /// Assumed duration of a call to a plain service before any is measured.
    pub initial_call_duration: Duration,
    /// Cost of an upstream that fails every request: about the time until a caller retries.
    pub failure_cost: Duration,
    /// Half-life of the failure rate.
    pub failure_half_life: Duration,
    /// Shortest ejection of an unreachable upstream; doubles with each consecutive failure.
    pub eject_min: Duration,
    /// Longest ejection.
    pub eject_max: Duration,
    /// Differs between instances, so that they do not use their parts of a limit at the same time.
    pub seed: u64,
    /// Longest pause of an upstream, whatever time it asks for.
    pub pause_max: Duration,
    /// Time in which the stated slowness of a machine loses most of its weight.
    pub slowness_decay: Duration,
    /// Longest pause between the events of a stream that its caller does not notice. The prompts that
    /// an engine reads beside its streams add to their pauses.
    pub pause_target: Duration,
    /// Weight of the time that running streams lose by the prompt of a request.
    pub stream_weight: f64,
    /// Age after which a load report is ignored.
    pub report_max_age: Duration,
    /// Time after its last use for which a prompt part counts as cached.
    pub cache_ttl: Duration,
    /// Fraction of the shared tokens that counts as cached at the engine that all instances prefer
    /// for a session, as long as this instance has not sent the session there.
    pub preferred_fraction: f64,
    /// Fraction of an engine's memory that running requests may reserve.
    pub memory_fraction: f64,
}

impl PlacementOptions {
    /// Creates the default settings for an instance in `domain`.
    #[must_use]
    pub const fn new(domain: DomainName) -> Self {
        Self {
            domain,
            prompt_rate: 40_000.0,
            base_first_token: Duration::from_millis(20),
            remote_cost: Duration::from_millis(4),
            running_cost: Duration::from_millis(4),
            initial_call_duration: Duration::from_millis(50),
            failure_cost: Duration::from_millis(800),
            failure_half_life: Duration::from_secs(3),
            eject_min: Duration::from_millis(500),
            eject_max: Duration::from_secs(4),
            seed: 0,
            pause_max: PAUSE_MAX_DEFAULT,
            slowness_decay: Duration::from_millis(300),
            pause_target: Duration::from_millis(300),
            stream_weight: 0.3,
            report_max_age: Duration::from_millis(1_500),
            cache_ttl: Duration::from_secs(30),
            preferred_fraction: 0.8,
            memory_fraction: 0.9,
        }
    }
}
