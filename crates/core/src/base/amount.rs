//! Token amounts.

use std::{fmt, iter::Sum};

use serde::{Deserialize, Serialize};

/// Number of tokens.
///
/// All arithmetic is checked or saturating, because a wrapped amount would violate a budget.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct TokenCount(u64);

impl TokenCount {
    /// Zero tokens.
    pub const ZERO: Self = Self(0);
    /// The largest representable amount.
    pub const MAX: Self = Self(u64::MAX);

    /// Creates an amount of `tokens`.
    #[must_use]
    pub const fn new(tokens: u64) -> Self {
        Self(tokens)
    }

    /// Returns the amount in tokens.
    #[must_use]
    pub const fn get(self) -> u64 {
        self.0
    }

    /// Returns whether the amount is zero.
    #[must_use]
    pub const fn is_zero(self) -> bool {
        self.0 == 0
    }

    /// Returns the sum, or `None` on overflow.
    #[must_use]
    pub const fn checked_add(self, other: Self) -> Option<Self> {
        match self.0.checked_add(other.0) {
            Some(sum) => Some(Self(sum)),
            None => None,
        }
    }

    /// Returns the difference, or `None` if `other` is larger.
    #[must_use]
    pub const fn checked_sub(self, other: Self) -> Option<Self> {
        match self.0.checked_sub(other.0) {
            Some(difference) => Some(Self(difference)),
            None => None,
        }
    }

    /// Returns the sum, limited to [`TokenCount::MAX`].
    #[must_use]
    pub const fn saturating_add(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }

    /// Returns the difference, or zero if `other` is larger.
    #[must_use]
    pub const fn saturating_sub(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }

    /// Returns the amount multiplied by a non-negative `factor`, rounded down.
    #[must_use]
    pub fn scaled(self, factor: f64) -> Self {
        // A float cast saturates, so an infinite or NaN factor cannot wrap.
        Self((self.0 as f64 * factor.max(0.0)) as u64)
    }
}

impl fmt::Display for TokenCount {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

impl From<u64> for TokenCount {
    fn from(tokens: u64) -> Self {
        Self(tokens)
    }
}

impl Sum for TokenCount {
    fn sum<I: Iterator<Item = Self>>(iter: I) -> Self {
        iter.fold(Self::ZERO, Self::saturating_add)
    }
}
