//! Policies that choose how many tokens a holder draws.

use crate::base::TokenCount;

/// Chooses the amount of a draw.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum DrawPolicy {
    /// Each instance draws an equal share of the paid amount once. There is no lending.
    StaticSplit {
        /// The number of instances.
        instances: u32,
    },
    /// Each request is drawn and settled by writes of its own. There is no lending.
    PerRequest,
    /// A refill starts below a fixed balance.
    LowWater {
        /// The balance below which a refill starts, in tokens.
        low: TokenCount,
        /// The balance after the refill, in tokens.
        high: TokenCount,
    },
    /// A refill follows the predicted burn.
    #[default]
    Predictive,
}
