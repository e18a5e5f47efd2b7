//! Options of the budget ledger.

use std::time::Duration;

use crate::{
    base::{DomainName, EnvironmentName},
    budget::DrawPolicy,
};

/// Selects which of two budget metrics to favour. Either way spend never exceeds the paid amount.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum BudgetWeight {
    /// Hold more tokens, so that fewer requests are refused although the budget has tokens.
    #[default]
    FalseRefusals,
    /// Hold fewer tokens, so that fewer are lost when an instance fails.
    HeldMoney,
}

/// Selects the rate by which the outage reserve is sized.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum ReserveRate {
    /// The mean rate over minutes, for a reserve that lasts an hour.
    #[default]
    Mean,
    /// The rate over the last seconds, for a reserve that lasts seconds.
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
    /// The policy that sizes draws.
    pub policy: DrawPolicy,
    /// The budget metric to favour.
    pub weight: BudgetWeight,
    /// The time for which the balance of a shard owner should last.
    pub horizon: Duration,
    /// The time for which the balance of an instance that borrows should last.
    pub borrow_horizon: Duration,
    /// The requests that one draw should cover, so that there are far fewer draws than requests.
    pub draw_requests: u64,
    /// The requests that a loan to another instance of the domain should cover.
    pub loan_requests: u64,
    /// Factor on the tokens of waiting requests, so that a draw also covers the next requests.
    pub need_factor: u64,
    /// The additional time that held tokens should last while the platform is unavailable.
    pub outage_reserve: Duration,
    /// The rate by which that reserve is sized.
    pub reserve_rate: ReserveRate,
    /// The time after the start during which no reserve is held at [`ReserveRate::Recent`]. Until
    /// the instances know each other, several of one domain may each act as the shard owner and
    /// draw.
    pub warm_up: Duration,
    /// The largest fraction of the reachable tokens that one holder targets, before division by the
    /// number of domains. The result is limited to 0.75.
    pub hold_cap: f64,
    /// How long a request waits for tokens; the daemon enforces it.
    pub end_wait: Duration,
    /// The maximum read rate of an instance, in reads per second. Zero means no limit.
    pub read_rate: f64,
    /// The minimum interval between writes of one shard.
    pub flush_period: Duration,
    /// The minimum interval between writes of one shard while a request waits.
    pub urgent_period: Duration,
    /// The time after which spent tokens are reported even if no draw is due.
    pub idle_flush: Duration,
    /// The time for which a surplus of up to 20 requests is kept before it is returned. With a
    /// shorter time each request of a rarely used budget costs a draw and a return.
    pub idle_return: Duration,
    /// The maximum age of a cached shard value that a write may build on without a new read. With
    /// several writers per shard an older value usually causes a conflict, which costs a write and
    /// a read.
    pub cache_age: Duration,
    /// The minimum interval between reads of a shard whose budget is exhausted.
    pub reread_period: Duration,
    /// The time after which an instance stops waiting for the shard owner, and the minimum interval
    /// between two rounds of asking every instance of the domain.
    pub borrow_timeout: Duration,
    /// The number of requests to a live shard owner after which a borrower draws from the platform
    /// itself. An owner that answers without tokens is waiting for the platform. Further writers in
    /// the domain would only add conflicts, unless only the owner cannot reach the platform.
    pub max_owner_requests: u8,
    /// How long an instance draws from the platform itself after the shard owner did not answer.
    pub direct_draw_period: Duration,
    /// The time after which a transfer is first resent; doubles up to `resend_max`.
    pub resend_initial: Duration,
    /// The maximum interval between two resends of a transfer.
    pub resend_max: Duration,
    /// The time after which a failed platform call is first retried; doubles up to
    /// `platform_retry_max`.
    pub platform_retry: Duration,
    /// The maximum interval between two attempts while the platform is unavailable.
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
