//! Settings of the budget ledger.

use std::time::Duration;

use crate::{
    base::{DomainName, EnvironmentName},
    budget::DrawPolicy,
};

/// Tells which of the two budget metrics matters more. It never weakens the paid limit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum BudgetWeight {
    /// Hold more tokens, so that fewer requests are refused falsely.
    #[default]
    FalseRefusals,
    /// Hold fewer tokens, so that less is lost with a failed instance.
    HeldMoney,
}

/// Tells at which rate the outage reserve is predicted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum ReserveRate {
    /// The mean rate over minutes, for a reserve that lasts an hour.
    #[default]
    Mean,
    /// The rate of the last seconds, for a reserve that lasts seconds.
    Recent,
}

/// Configures a [`BudgetLedger`](crate::budget::BudgetLedger).
#[derive(Clone, Debug, PartialEq)]
pub struct LedgerOptions {
    /// The environment, part of the key of a shard object.
    pub environment: EnvironmentName,
    /// The number of ledger shards of the environment.
    pub shards: u32,
    /// The failure domain of this instance.
    pub domain: DomainName,
    /// The number of failure domains.
    pub domains: u32,
    /// How the amount of a draw is chosen.
    pub policy: DrawPolicy,
    /// Which budget metric matters more.
    pub weight: BudgetWeight,
    /// The time for which the balance of a shard owner should last.
    pub horizon: Duration,
    /// The time for which the balance of an instance that borrows should last.
    pub borrow_horizon: Duration,
    /// Requests that one draw should cover, so that draws stay far below one per request.
    pub draw_requests: u64,
    /// Requests that a loan to a neighbour should cover.
    pub loan_requests: u64,
    /// Factor on the tokens that requests wait for, so that the next requests need not wait as well.
    pub need_factor: u64,
    /// The additional time that held tokens should last when the platform is away.
    pub outage_reserve: Duration,
    /// The rate at which that reserve is predicted.
    pub reserve_rate: ReserveRate,
    /// The time after the start in which no reserve for seconds is built up. Until an instance knows
    /// the others, several of one domain may each take themselves for the one that draws.
    pub warm_up: Duration,
    /// The largest part of the reachable tokens that one holder targets, before division by the
    /// number of domains. The result is limited to three
    /// quarters.
    pub hold_cap: f64,
    /// How long a request that does not fit waits; the daemon enforces it.
    pub end_wait: Duration,
    /// The most reads of an instance, in reads per second. Zero stands for no limit.
    pub read_rate: f64,
    /// The least time between writes of one shard.
    pub flush_period: Duration,
    /// The least time between writes of one shard while a request waits.
    pub urgent_period: Duration,
    /// The time after which spent tokens are reported without a draw.
    pub idle_flush: Duration,
    /// The time for which a surplus of up to 20 requests is kept before it is returned. A shorter time costs a draw and
    /// a return for each request of a rarely used budget.
    pub idle_return: Duration,
    /// The age up to which a shard value is used for a write without a new read. With several
    /// writers per shard an older value mostly leads to a conflict, which costs a write and a read.
    pub cache_age: Duration,
    /// The least time between reads of a shard whose budget is exhausted.
    pub reread_period: Duration,
    /// The time after which an instance stops waiting for the shard owner, and the least time
    /// between two rounds of asking every neighbour.
    pub borrow_timeout: Duration,
    /// Requests to an owner that is alive before a borrower draws for itself. An owner that answers
    /// without tokens waits for the platform; more writers of the domain only add conflicts, unless
    /// the owner alone has lost the platform.
    pub max_owner_requests: u8,
    /// How long an instance draws for itself after the shard owner did not answer.
    pub direct_draw_period: Duration,
    /// The time after which a transfer is sent again; doubles up to `resend_max`.
    pub resend_initial: Duration,
    /// The longest time between two sendings of a transfer.
    pub resend_max: Duration,
    /// The time after which the platform is tried again; doubles up to `platform_retry_max`.
    pub platform_retry: Duration,
    /// The longest time between two attempts at a platform that is away.
    pub platform_retry_max: Duration,
}

impl Default for LedgerOptions {
    fn default() -> Self {
        Self {
            environment: EnvironmentName::new("trial"),
            shards: 8,
            domain: DomainName::new("a"),
            domains: 1,
            policy: DrawPolicy::Predictive,
            weight: BudgetWeight::FalseRefusals,
            horizon: Duration::from_secs(60),
            borrow_horizon: Duration::from_secs(10),
            draw_requests: 20,
            loan_requests: 4,
            need_factor: 8,
            outage_reserve: Duration::from_secs(3_900),
            reserve_rate: ReserveRate::Mean,
            warm_up: Duration::ZERO,
            hold_cap: 3.0,
            end_wait: Duration::from_millis(250),
            read_rate: 5.0,
            flush_period: Duration::from_secs(1),
            urgent_period: Duration::from_millis(50),
            idle_flush: Duration::from_secs(1_200),
            idle_return: Duration::from_secs(1_200),
            cache_age: Duration::from_millis(10),
            reread_period: Duration::from_secs(1),
            borrow_timeout: Duration::from_millis(60),
            max_owner_requests: 20,
            direct_draw_period: Duration::from_secs(5),
            resend_initial: Duration::from_millis(200),
            resend_max: Duration::from_secs(30),
            platform_retry: Duration::from_millis(500),
            platform_retry_max: Duration::from_secs(5),
        }
    }
}
