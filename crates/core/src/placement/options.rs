//! Settings of the placement table.

use std::time::Duration;

use crate::base::DomainName;

/// Configures [`PlacementTable`](crate::placement::PlacementTable).
#[derive(Clone, Debug, PartialEq)]
pub struct PlacementOptions {
    /// Failure domain of this instance.
    pub domain: DomainName,
    /// Prompt tokens that an engine reads per second before its speed is learnt. Only the order of
    /// magnitude matters, because the speed of each engine is learnt from its first answers.
    pub prompt_rate: f64,
    /// Time to the first token of an empty prompt at an idle engine.
    pub first_token: Duration,
    /// Additional cost of an upstream in another domain: twice the usual one-way delay, and the
    /// price of the bytes.
    pub remote_cost: Duration,
    /// Cost of each request that already runs at an engine, which slows every token of all.
    pub running_cost: Duration,
    /// Duration of a call to a plain service before one is measured.
    pub call_duration: Duration,
    /// Cost of an upstream that fails every request: a caller that repeats waits about this long.
    pub failure_cost: Duration,
    /// Time in which the memory of failures halves.
    pub failure_half_life: Duration,
    /// Time for which an upstream that cannot be reached gets no request, doubling with each
    /// further failure in a row.
    pub eject_min: Duration,
    /// Longest such time.
    pub eject_max: Duration,
    /// Age after which a load report is ignored.
    pub report_max_age: Duration,
    /// Time for which a prompt part counts as cached after its last use.
    pub cache_time: Duration,
    /// Part of the tokens that count as cached at the engine that all instances prefer for a
    /// session, as long as this instance has not used it there.
    pub preferred_part: f64,
    /// Part of an engine's memory that running requests may take up.
    pub memory_part: f64,
}

impl PlacementOptions {
    /// Creates the default settings for an instance in `domain`.
    #[must_use]
    pub const fn new(domain: DomainName) -> Self {
        Self {
            domain,
            prompt_rate: 40_000.0,
            first_token: Duration::from_millis(20),
            remote_cost: Duration::from_millis(4),
            running_cost: Duration::from_millis(4),
            call_duration: Duration::from_millis(50),
            failure_cost: Duration::from_millis(800),
            failure_half_life: Duration::from_secs(3),
            eject_min: Duration::from_millis(500),
            eject_max: Duration::from_secs(4),
            report_max_age: Duration::from_millis(1_500),
            cache_time: Duration::from_secs(30),
            preferred_part: 0.8,
            memory_part: 0.9,
        }
    }
}
