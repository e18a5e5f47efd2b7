//! Policies that size the draws of a holder.

use std::time::Duration;

use crate::{
    base::TokenCount,
    budget::{BudgetTotals, BudgetWeight, BurnForecast, LedgerOptions, ReserveRate},
};

/// Number of requests that a balance must cover; below it a refill starts.
const MIN_BALANCE_REQUESTS: u64 = 4;

/// Fraction of the target balance below which a refill starts.
const REFILL_FRACTION: f64 = 0.95;

/// Fraction of the target balance below which a refill starts at [`ReserveRate::Recent`]. Refilling
/// a reserve for seconds at 0.95 would cost a write for every request.
const RECENT_REFILL_FRACTION: f64 = 0.8;

/// Fraction of the target balance below which a refill from a nearly exhausted budget starts.
const SCARCE_REFILL_FRACTION: f64 = 0.5;

/// Factor on the return target above which a balance counts as surplus.
const SURPLUS_FACTOR: f64 = 1.5;

/// Fraction of the paid amount below which a budget counts as nearly exhausted.
const SCARCE_FRACTION: f64 = 0.1;

/// Scale of horizon, reserve and hold cap at [`BudgetWeight::HeldMoney`].
const HELD_MONEY_SCALE: f64 = 0.25;

/// Largest fraction of the reachable tokens that a holder targets.
const MAX_HOLD_FRACTION: f64 = 0.75;

/// Time for which the balance of a nearly exhausted budget should last.
const SCARCE_HORIZON: Duration = Duration::from_secs(5);

/// A holder that is predicted to spend less than one request in this period counts as idle.
pub(crate) const IDLE_PERIOD: Duration = Duration::from_secs(60);

/// Safety factor on the refill delay, because the delay varies.
const DELAY_MARGIN: u32 = 2;

/// Determines when and how much a holder draws.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum DrawPolicy {
    /// Each instance draws an equal share of the paid amount once. Instances do not lend.
    StaticSplit {
        /// The number of instances among which the paid amount is divided.
        instances: u32,
    },
    /// Each request is drawn and settled by its own writes. Instances do not lend.
    PerRequest,
    /// A refill starts below a fixed low-water mark.
    LowWater {
        /// The balance below which a refill starts, in tokens.
        low: TokenCount,
        /// The balance after the refill, in tokens.
        high: TokenCount,
    },
    /// Refills follow the predicted burn rate.
    #[default]
    Predictive,
}

/// The state of a budget at a holder, from which a policy derives a [`DrawGoal`].
#[derive(Clone, Copy, Debug)]
pub struct DrawInput {
    /// The totals at the platform as of the last read.
    pub totals: BudgetTotals,
    /// The unreserved tokens of the holder.
    pub balance: TokenCount,
    /// The tokens that requests and borrowers wait for.
    pub need: TokenCount,
    /// The tokens that the holder has drawn since its start.
    pub drawn: TokenCount,
    /// The mean reservation of a request, in tokens.
    pub request_size: TokenCount,
    /// The measured delay of a platform call.
    pub delay: Duration,
    /// Whether there was a recent sign that the budget is scarce, such as another holder asking for
    /// idle tokens.
    pub is_scarce: bool,
    /// The time since the start of the holder.
    pub uptime: Duration,
}

/// The balance that a holder should have, in tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DrawGoal {
    /// A refill starts below this balance.
    pub refill_below: TokenCount,
    /// The balance after a refill.
    pub target: TokenCount,
    /// The balance after a return.
    pub return_target: TokenCount,
    /// A return starts above this balance.
    pub return_above: TokenCount,
    /// Whether the budget is nearly exhausted.
    pub is_scarce: bool,
}

impl DrawGoal {
    /// Covers exactly the tokens that requests and borrowers wait for.
    const fn exact(need: TokenCount) -> Self {
        Self {
            refill_below: need,
            target: need,
            return_target: need,
            return_above: need,
            is_scarce: false,
        }
    }
}

impl DrawPolicy {
    /// Returns whether instances lend tokens to each other.
    #[must_use]
    pub const fn is_lending(self) -> bool {
        matches!(self, Self::LowWater { .. } | Self::Predictive)
    }

    /// Returns the goal of a holder that draws from the platform.
    #[must_use]
    pub fn goal(
        self,
        input: &DrawInput,
        forecast: &BurnForecast,
        options: &LedgerOptions,
    ) -> DrawGoal {
        let need = input.need;
        match self {
            Self::StaticSplit { instances } => {
                let share = input.totals.paid.get() / u64::from(instances.max(1));
                let undrawn = TokenCount::new(share).saturating_sub(input.drawn);
                DrawGoal {
                    refill_below: need,
                    target: input.balance.saturating_add(undrawn),
                    return_target: TokenCount::MAX,
                    return_above: TokenCount::MAX,
                    is_scarce: false,
                }
            }
            Self::PerRequest => DrawGoal::exact(need),
            Self::LowWater { low, high } => DrawGoal {
                refill_below: low.saturating_add(need),
                target: high.saturating_add(need),
                return_target: high.saturating_add(need),
                return_above: high.scaled(2.0).saturating_add(need),
                is_scarce: input.is_scarce,
            },
            Self::Predictive => predict_goal(input, forecast, options),
        }
    }

    /// Returns the goal of a holder that borrows from the shard owner.
    #[must_use]
    pub fn loan_goal(
        self,
        input: &DrawInput,
        forecast: &BurnForecast,
        options: &LedgerOptions,
    ) -> DrawGoal {
        let need = input.need;
        if input.is_scarce {
            return DrawGoal {
                is_scarce: true,
                ..DrawGoal::exact(need)
            };
        }
        let (low, high) = match self {
            Self::LowWater { low, high } => (low, high),
            Self::StaticSplit { .. } | Self::PerRequest => (TokenCount::ZERO, TokenCount::ZERO),
            Self::Predictive => {
                // If many instances each kept the tokens of one request for a customer that rarely
                // uses them, together they could hold the whole budget without serving a request.
                if forecast.predict(options.borrow_horizon) < input.request_size {
                    return DrawGoal::exact(need);
                }
                let min_loan = input
                    .request_size
                    .get()
                    .saturating_mul(options.loan_requests);
                let min_loan = TokenCount::new(min_loan);
                let lead_time = options.borrow_timeout * DELAY_MARGIN + options.flush_period;
                (
                    forecast.predict(lead_time),
                    forecast.predict(options.borrow_horizon).max(min_loan),
                )
            }
        };
        DrawGoal {
            refill_below: low.saturating_add(need),
            target: high.saturating_add(need),
            return_target: high.saturating_add(need),
            return_above: high.scaled(2.0).saturating_add(need),
            is_scarce: false,
        }
    }
}

fn is_busy(input: &DrawInput, forecast: &BurnForecast) -> bool {
    !input.need.is_zero() || forecast.predict(IDLE_PERIOD) >= input.request_size
}

fn predict_goal(input: &DrawInput, forecast: &BurnForecast, options: &LedgerOptions) -> DrawGoal {
    let scale = match options.weight {
        BudgetWeight::FalseRefusals => 1.0,
        BudgetWeight::HeldMoney => HELD_MONEY_SCALE,
    };
    let horizon_demand = forecast.predict(options.horizon.mul_f64(scale));
    let reserve = options.outage_reserve.mul_f64(scale);
    let outage_demand = match options.reserve_rate {
        ReserveRate::Mean => forecast.predict_mean(reserve),
        ReserveRate::Recent if input.uptime < options.warm_up => TokenCount::ZERO,
        ReserveRate::Recent => forecast.predict_peak(reserve),
    };
    let desired = horizon_demand.saturating_add(outage_demand);
    let desired = match options.reserve_rate {
        ReserveRate::Mean => desired,
        // The spend of a few requests varies by about the square root of their number.
        ReserveRate::Recent => desired.saturating_add(TokenCount::new(
            (desired.get() as f64 * input.request_size.get() as f64).sqrt() as u64,
        )),
    };
    let is_low = input.totals.available < input.totals.paid.scaled(SCARCE_FRACTION);
    // Other holders also ask for idle tokens during an outage of the platform. If it has enough for
    // every domain afterwards, the budget is not scarce and the outage reserve must be restored.
    let domains = f64::from(options.domains.max(1));
    let is_sufficient = input.totals.available >= desired.scaled(domains);
    let is_scarce = is_low || (input.is_scarce && !is_sufficient);
    let target = match is_scarce {
        true => scarce_target(input, forecast, options),
        false => regular_target(input, forecast, options, desired, scale),
    };
    // A balance that is to cover an outage is kept nearly full instead of being refilled late.
    let (fraction, return_target) = match is_scarce {
        // Other holders request what they need. If all holders returned their reserves at once, the
        // budget would no longer count as scarce and the next draws would be large.
        true => (SCARCE_REFILL_FRACTION, target.max(desired)),
        false => match options.reserve_rate {
            ReserveRate::Mean => (REFILL_FRACTION, target),
            ReserveRate::Recent => (RECENT_REFILL_FRACTION, target),
        },
    };
    let requests = |count: u64| TokenCount::new(input.request_size.get().saturating_mul(count));
    let min_balance = match is_busy(input, forecast) {
        true => requests(MIN_BALANCE_REQUESTS),
        false => TokenCount::ZERO,
    };
    let lead_demand = forecast.predict((input.delay + options.flush_period) * DELAY_MARGIN);
    // A rarely used budget would otherwise be refilled after every request.
    let threshold = match is_scarce {
        true => target.scaled(fraction),
        false => target
            .scaled(fraction)
            .min(target.saturating_sub(requests(options.draw_requests))),
    };
    let refill_below = lead_demand.max(threshold).max(min_balance).min(target);
    DrawGoal {
        refill_below: refill_below.saturating_add(input.need),
        target: target.saturating_add(input.need),
        return_target: return_target.saturating_add(input.need),
        return_above: return_target
            .scaled(SURPLUS_FACTOR)
            .saturating_add(input.need),
        is_scarce,
    }
}

/// Returns the target balance for a nearly exhausted budget. It is at most half of the fair share
/// of this domain, so that enough remains for the other domains.
fn scarce_target(
    input: &DrawInput,
    forecast: &BurnForecast,
    options: &LedgerOptions,
) -> TokenCount {
    let reachable = input.totals.available.saturating_add(input.balance);
    let share = reachable.scaled(0.5 / f64::from(options.domains.max(1)));
    // Refunds and returned loans can lower the forecast to zero while requests arrive. Without a
    // minimum amount each request would then need its own write.
    let batch = match is_busy(input, forecast) {
        true => input
            .request_size
            .get()
            .saturating_mul(options.draw_requests),
        false => 0,
    };
    forecast
        .predict(SCARCE_HORIZON)
        .max(TokenCount::new(batch))
        .min(share)
}

/// Returns the target balance for a budget that is not nearly exhausted.
fn regular_target(
    input: &DrawInput,
    forecast: &BurnForecast,
    options: &LedgerOptions,
    desired: TokenCount,
    scale: f64,
) -> TokenCount {
    let batch = match is_busy(input, forecast) {
        true => input
            .request_size
            .get()
            .saturating_mul(options.draw_requests),
        false => 0,
    };
    // Waiting requests show that the forecast is too low, for example after a start.
    let batch = batch.max(input.need.get().saturating_mul(options.need_factor));
    let fraction = options.hold_cap * scale / f64::from(options.domains.max(1));
    let reachable = input.totals.available.saturating_add(input.balance);
    let cap = reachable.scaled(fraction.min(MAX_HOLD_FRACTION));
    desired.max(TokenCount::new(batch)).min(cap)
}
