//! Policies that choose how many tokens a holder draws.

use std::time::Duration;

use crate::{
    base::TokenCount,
    budget::{BudgetTotals, BudgetWeight, BurnForecast, LedgerOptions, ReserveRate},
};

/// Requests that a balance should cover before a refill starts.
const FEW_REQUESTS: u64 = 4;

/// Part of the stock below which a refill starts.
const REFILL_PART: f64 = 0.95;

/// Part of the stock below which a refill of a reserve for seconds starts. A refill at 0.95 would
/// write for every request.
const RECENT_REFILL_PART: f64 = 0.8;
/// Part of the stock below which a refill from a nearly exhausted budget starts.
const SCARCE_REFILL_PART: f64 = 0.5;

/// Factor on the stock above which a balance counts as surplus.
const KEEP_FACTOR: f64 = 1.5;

/// Part of the paid amount below which the available tokens count as nearly exhausted.
const SCARCE_PART: f64 = 0.1;

/// Part of horizon, reserve and cap that remains when held money matters more.
const HELD_MONEY_SCALE: f64 = 0.25;

/// Largest part of the reachable tokens that any holder targets.
const MAX_HOLD_PART: f64 = 0.75;

/// Time for which a holder keeps tokens of a nearly exhausted budget.
const SCARCE_HORIZON: Duration = Duration::from_secs(5);

/// Period in which a holder that does not expect a request counts as idle.
pub(crate) const IDLE_PERIOD: Duration = Duration::from_secs(60);

/// Factor on the refill delay, because the delay varies.
const DELAY_MARGIN: u32 = 2;

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

/// Describes the state of a budget at a holder that may draw.
#[derive(Clone, Copy, Debug)]
pub struct DrawInput {
    /// The state at the platform at the last read.
    pub totals: BudgetTotals,
    /// The free tokens of the holder.
    pub balance: TokenCount,
    /// The tokens that requests and borrowers wait for.
    pub need: TokenCount,
    /// The tokens that the holder has drawn since its start.
    pub drawn: TokenCount,
    /// The mean reservation of a request, in tokens.
    pub request_size: TokenCount,
    /// The measured delay of a platform call.
    pub delay: Duration,
    /// Whether another holder asked for idle tokens lately.
    pub is_scarce: bool,
    /// The time since the start of the holder.
    pub uptime: Duration,
}

/// Describes the balance that a holder should have, in tokens.
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
    /// Covers what is waited for and nothing more.
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
    /// Returns whether instances lend to each other.
    #[must_use]
    pub const fn is_lending(self) -> bool {
        matches!(self, Self::LowWater { .. } | Self::Predictive)
    }

    /// Returns the balance that a holder that draws from the platform should have.
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
                let rest = TokenCount::new(share).saturating_sub(input.drawn);
                DrawGoal {
                    refill_below: need,
                    target: input.balance.saturating_add(rest),
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

    /// Returns the balance that a holder that borrows from the shard owner should have.
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
                // Many instances that each keep a request's tokens for a customer whom they rarely
                // see would hold a whole budget without being able to serve anyone.
                if forecast.predict(options.borrow_horizon) < input.request_size {
                    return DrawGoal::exact(need);
                }
                let few = input
                    .request_size
                    .get()
                    .saturating_mul(options.loan_requests);
                let few = TokenCount::new(few);
                let lead = options.borrow_timeout * DELAY_MARGIN + options.flush_period;
                (
                    forecast.predict(lead),
                    forecast.predict(options.borrow_horizon).max(few),
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
    let soon = forecast.predict(options.horizon.mul_f64(scale));
    let reserve = options.outage_reserve.mul_f64(scale);
    let outage = match options.reserve_rate {
        ReserveRate::Mean => forecast.predict_mean(reserve),
        ReserveRate::Recent if input.uptime < options.warm_up => TokenCount::ZERO,
        ReserveRate::Recent => forecast.predict(reserve),
    };
    let wish = soon.saturating_add(outage);
    let wish = match options.reserve_rate {
        ReserveRate::Mean => wish,
        // The spend of few requests varies by about the root of their number.
        ReserveRate::Recent => wish.saturating_add(TokenCount::new(
            (wish.get() as f64 * input.request_size.get() as f64).sqrt() as u64,
        )),
    };
    let low = input.totals.available < input.totals.paid.scaled(SCARCE_PART);
    // Others also ask for idle tokens while the platform is away. If it then has enough for every
    // domain, the budget is not scarce, and the reserve for the next outage has to be built up.
    let domains = f64::from(options.domains.max(1));
    let is_plentiful = input.totals.available >= wish.scaled(domains);
    let is_scarce = low || (input.is_scarce && !is_plentiful);
    let stock = match is_scarce {
        true => find_scarce_stock(input, forecast, options),
        false => find_stock(input, forecast, options, wish, scale),
    };
    // A stock that is to cover an outage is kept nearly full, not refilled at the last moment.
    let (part, return_target) = match is_scarce {
        // Others ask for what they need. If every holder returned its reserve at the same moment,
        // the budget would count as plentiful again and the next draws would be large.
        true => (SCARCE_REFILL_PART, stock.max(wish)),
        false => match options.reserve_rate {
            ReserveRate::Mean => (REFILL_PART, stock),
            ReserveRate::Recent => (RECENT_REFILL_PART, stock),
        },
    };
    let requests = |count: u64| TokenCount::new(input.request_size.get().saturating_mul(count));
    let few = match is_busy(input, forecast) {
        true => requests(FEW_REQUESTS),
        false => TokenCount::ZERO,
    };
    let lead = forecast.predict((input.delay + options.flush_period) * DELAY_MARGIN);
    // A rarely used budget would otherwise be refilled after every request.
    let part = match is_scarce {
        true => stock.scaled(part),
        false => stock
            .scaled(part)
            .min(stock.saturating_sub(requests(options.draw_requests))),
    };
    let refill_below = lead.max(part).max(few).min(stock);
    DrawGoal {
        refill_below: refill_below.saturating_add(input.need),
        target: stock.saturating_add(input.need),
        return_target: return_target.saturating_add(input.need),
        return_above: return_target.scaled(KEEP_FACTOR).saturating_add(input.need),
        is_scarce,
    }
}

/// Returns the stock of a nearly exhausted budget: at most half the fair share, so that what this
/// domain takes leaves enough for the others.
fn find_scarce_stock(
    input: &DrawInput,
    forecast: &BurnForecast,
    options: &LedgerOptions,
) -> TokenCount {
    let reachable = input.totals.available.saturating_add(input.balance);
    let share = reachable.scaled(0.5 / f64::from(options.domains.max(1)));
    // Refunds and loans that come back can lower the forecast to zero while requests arrive. Without
    // a least amount each request would then need a write of its own.
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

/// Returns the stock of a budget with enough tokens.
fn find_stock(
    input: &DrawInput,
    forecast: &BurnForecast,
    options: &LedgerOptions,
    wish: TokenCount,
    scale: f64,
) -> TokenCount {
    let batch = match is_busy(input, forecast) {
        true => input
            .request_size
            .get()
            .saturating_mul(options.draw_requests),
        false => 0,
    };
    // Requests that wait show that the forecast is too low, as after a start.
    let batch = batch.max(input.need.get().saturating_mul(options.need_factor));
    let part = options.hold_cap * scale / f64::from(options.domains.max(1));
    let reachable = input.totals.available.saturating_add(input.balance);
    let cap = reachable.scaled(part.min(MAX_HOLD_PART));
    wish.max(TokenCount::new(batch)).min(cap)
}
