//! Scenarios and policies of the budget measurement.

use std::time::Duration;

use cornelarch_core::{
    base::TokenCount,
    budget::{BudgetWeight, DrawPolicy, LedgerOptions},
};

/// Mean cost of a generated request, in tokens.
pub(crate) const MEAN_COST: f64 = 550.0;

/// Mean reservation of a generated request, in tokens.
pub(crate) const MEAN_RESERVATION: u64 = 1_600;

/// Low-water mark of the fixed policy, in mean reservations.
const LOW_WATER_REQUESTS: u64 = 20;

/// Refill level of the fixed low-water policy, in mean reservations.
const HIGH_WATER_REQUESTS: u64 = 100;

/// Fleet, load and faults under which the policies are compared.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Scenario {
    Steady,
    Skewed,
    RunningOut,
    Partition,
    Outage,
    Churn,
    Hot,
}

impl Scenario {
    pub(crate) const ALL: [Self; 7] = [
        Self::Steady,
        Self::Skewed,
        Self::RunningOut,
        Self::Partition,
        Self::Outage,
        Self::Churn,
        Self::Hot,
    ];

    pub(crate) const fn name(self) -> &'static str {
        match self {
            Self::Steady => "steady",
            Self::Skewed => "skewed",
            Self::RunningOut => "running_out",
            Self::Partition => "partition_top_up",
            Self::Outage => "platform_outage",
            Self::Churn => "crash_restart",
            Self::Hot => "hot_every_domain",
        }
    }

    pub(crate) fn settings(self) -> ScenarioSettings {
        let base = ScenarioSettings::BASE;
        match self {
            Self::Steady => base,
            Self::Skewed => ScenarioSettings {
                paid_fraction: 1.1,
                is_skewed: true,
                ..base
            },
            Self::RunningOut => ScenarioSettings {
                paid_fraction: 0.5,
                ..base
            },
            Self::Partition => ScenarioSettings {
                seconds: 5_400,
                requests_per_s: 20.0,
                paid_fraction: 1.25,
                is_skewed: true,
                partition: Some((1_200, 4_800)),
                top_up_at: Some(2_400),
                ..base
            },
            Self::Outage => ScenarioSettings {
                seconds: 2_400,
                requests_per_s: 20.0,
                paid_fraction: 1.25,
                is_skewed: true,
                outage: Some((1_200, 2_100)),
                ..base
            },
            Self::Churn => ScenarioSettings {
                seconds: 1_200,
                crash_period: Some(60),
                restart_period: Some(20),
                ..base
            },
            Self::Hot => ScenarioSettings {
                domains: 12,
                regions: 5,
                budgets: 1,
                requests_per_s: 200.0,
                paid_fraction: 0.9,
                ..base
            },
        }
    }
}

/// Parameters of a scenario. Times are in seconds from its start.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ScenarioSettings {
    pub(crate) domains: usize,
    pub(crate) regions: usize,
    pub(crate) instances_per_domain: usize,
    pub(crate) budgets: usize,
    pub(crate) seconds: u64,
    pub(crate) requests_per_s: f64,
    /// Ratio of the paid amount to the expected token usage.
    pub(crate) paid_fraction: f64,
    /// Whether load is skewed: half of the requests go to the first domain, half of those to its
    /// first instance, and half of all requests use the first budget.
    pub(crate) is_skewed: bool,
    /// Start and end of a network partition between the first domain and both the other domains
    /// and the platform.
    pub(crate) partition: Option<(u64, u64)>,
    /// Start and end of a platform outage.
    pub(crate) outage: Option<(u64, u64)>,
    /// Time at which each budget is topped up by a fifth of its paid amount.
    pub(crate) top_up_at: Option<u64>,
    pub(crate) crash_period: Option<u64>,
    pub(crate) restart_period: Option<u64>,
}

impl ScenarioSettings {
    const BASE: Self = Self {
        domains: 4,
        regions: 1,
        instances_per_domain: 3,
        budgets: 8,
        seconds: 600,
        requests_per_s: 40.0,
        paid_fraction: 3.0,
        is_skewed: false,
        partition: None,
        outage: None,
        top_up_at: None,
        crash_period: None,
        restart_period: None,
    };

    pub(crate) const fn instances(&self) -> usize {
        self.domains * self.instances_per_domain
    }

    /// Returns the paid amount of a budget, in tokens.
    pub(crate) fn paid(&self, budget: usize) -> u64 {
        let expected_tokens = self.requests_per_s * self.seconds as f64 * MEAN_COST;
        let budget_share = match (self.is_skewed, budget) {
            (true, 0) => 0.5,
            (true, _) => 0.5 / (self.budgets - 1) as f64,
            (false, _) => 1.0 / self.budgets as f64,
        };
        (expected_tokens * budget_share * self.paid_fraction) as u64
    }

    /// Returns the one-way network delay between two domains.
    pub(crate) fn delay(&self, one: usize, other: usize) -> Duration {
        match one == other {
            true => Duration::from_micros(500),
            false if one % self.regions == other % self.regions => Duration::from_millis(1),
            false => Duration::from_millis(40),
        }
    }

    /// Returns the one-way network delay between a domain and the platform.
    pub(crate) fn platform_delay(&self, domain: usize) -> Duration {
        Duration::from_millis(1) + self.delay(domain, 0)
    }
}

/// Draw policy and budget weight under test.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PolicyCase {
    StaticSplit,
    PerRequest,
    LowWater,
    Predictive,
    /// The predictive policy with `weight = held_money`.
    HeldMoney,
}

impl PolicyCase {
    pub(crate) const ALL: [Self; 4] = [
        Self::StaticSplit,
        Self::PerRequest,
        Self::LowWater,
        Self::Predictive,
    ];

    pub(crate) const fn name(self) -> &'static str {
        match self {
            Self::StaticSplit => "static_split",
            Self::PerRequest => "per_request",
            Self::LowWater => "low_water",
            Self::Predictive => "predictive",
            Self::HeldMoney => "held_money",
        }
    }

    pub(crate) fn options(self, settings: &ScenarioSettings) -> LedgerOptions {
        let requests = |count: u64| TokenCount::new(count * MEAN_RESERVATION);
        let options = LedgerOptions {
            shards: 2,
            domains: settings.domains as u32,
            ..LedgerOptions::default()
        };
        match self {
            Self::StaticSplit => LedgerOptions {
                policy: DrawPolicy::StaticSplit {
                    instances: settings.instances() as u32,
                },
                ..options
            },
            Self::PerRequest => LedgerOptions {
                policy: DrawPolicy::PerRequest,
                read_rate: 0.0,
                flush_period: Duration::ZERO,
                urgent_period: Duration::ZERO,
                idle_return: Duration::from_secs(1),
                reread_period: Duration::from_millis(50),
                ..options
            },
            Self::LowWater => LedgerOptions {
                policy: DrawPolicy::LowWater {
                    low: requests(LOW_WATER_REQUESTS),
                    high: requests(HIGH_WATER_REQUESTS),
                },
                ..options
            },
            Self::Predictive => options,
            Self::HeldMoney => LedgerOptions {
                weight: BudgetWeight::HeldMoney,
                ..options
            },
        }
    }
}
