//! Policies that are compared.

/// Lists the policies.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum PolicyKind {
    /// Each router takes the upstreams in turn.
    RoundRobin,
    /// Each router draws evenly.
    Random,
    /// Each router draws two and takes the one with fewer own requests in flight.
    TwoChoices,
    /// The policy of the design.
    Design,
    /// One instance knows exact counts and speeds, but not the prompts in progress.
    ExactCounts,
    /// One instance knows the exact state of every engine.
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
