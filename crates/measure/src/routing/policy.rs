//! Routing policies under comparison.

/// A routing policy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum PolicyKind {
    /// Each router cycles through the upstreams.
    RoundRobin,
    /// Each router selects uniformly at random.
    Random,
    /// Each router draws two at random and selects the one with fewer own requests in flight.
    TwoChoices,
    /// The policy of the core crate, with load reports, prefix hints and the admission queue.
    Design,
    /// A central selector that knows exact request counts and speeds, but not the prompts in
    /// progress.
    ExactCounts,
    /// A central selector that knows the exact state of every engine.
    Omniscient,
}

impl PolicyKind {
    pub(super) const ALL: [Self; 6] = [
        Self::RoundRobin,
        Self::Random,
        Self::TwoChoices,
        Self::Design,
        Self::ExactCounts,
        Self::Omniscient,
    ];

    pub(super) const fn name(self) -> &'static str {
        match self {
            Self::RoundRobin => "round-robin",
            Self::Random => "random",
            Self::TwoChoices => "two-choices",
            Self::Design => "design",
            Self::ExactCounts => "exact-counts",
            Self::Omniscient => "omniscient",
        }
    }
}
