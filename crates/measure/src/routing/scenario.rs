//! Deployments and load scenarios.

use std::time::Duration;

/// Offered load of the steady scenarios relative to the capacity.
const STEADY_LOAD: f64 = 0.8;

/// Selects the upstreams that a router uses and how often it polls them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ViewKind {
    /// All upstreams, polled every 2 s.
    Whole,
    /// All upstreams, polled at the rate of the poll schedule.
    WholePaced,
    /// The router's subset, polled at the rate of the poll schedule.
    Subset,
}

impl ViewKind {
    pub(super) const ALL: [Self; 3] = [Self::Whole, Self::WholePaced, Self::Subset];

    pub(super) const fn name(self) -> &'static str {
        match self {
            Self::Whole => "whole-2s",
            Self::WholePaced => "whole-paced",
            Self::Subset => "subset",
        }
    }
}

/// A deployment of engines and routers.
#[derive(Clone, Debug)]
pub(super) struct Deployment {
    pub(super) name: &'static str,
    /// Relative speed and failure domain of each engine.
    pub(super) engines: Vec<(f64, usize)>,
    pub(super) domains: usize,
    pub(super) routers: usize,
    pub(super) view: ViewKind,
    /// One-way network latency between domains.
    pub(super) one_way_latency: Duration,
}

impl Deployment {
    /// Returns the two present deployments, of 9 engines and 9 routers each.
    pub(super) fn all() -> Vec<Self> {
        let speeds = [2.0, 1.5, 1.5, 1.2, 1.0, 1.0, 0.8, 0.6, 0.5];
        let build = |name, domains, one_way_latency| Self {
            name,
            engines: (0..9)
                .map(|index| (speeds[index], index % domains))
                .collect(),
            domains,
            routers: 9,
            view: ViewKind::Whole,
            one_way_latency: Duration::from_micros(one_way_latency),
        };
        vec![build("3x9", 3, 500), build("4x9", 4, 1_000)]
    }

    /// Returns a deployment of one domain with 30 routers.
    pub(super) fn domain(name: &'static str, engines: usize, view: ViewKind) -> Self {
        let base_engines = &Self::all()[0].engines;
        let speeds = base_engines.iter().map(|(speed, _)| (*speed, 0)).cycle();
        Self {
            name,
            engines: speeds.take(engines).collect(),
            domains: 1,
            routers: 30,
            view,
            one_way_latency: Duration::from_micros(500),
        }
    }

    /// Returns the total speed of the engines.
    pub(super) fn speed(&self) -> f64 {
        self.engines.iter().map(|(speed, _)| speed).sum()
    }
}

/// A load scenario, with its faults.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Scenario {
    /// 80% of the capacity.
    Steady,
    /// 80% of the capacity, with load reports that are 3 s old.
    LaggingReports,
    /// The fastest engine crashes and restarts after 15 s.
    EngineCrash,
    /// The fastest engine runs at a fifth of its speed for 60 s.
    SlowEngine,
    /// Half of the capacity, with a surge to 1.6 times the capacity for 20 s.
    FlashCrowd,
    /// A constant multiple of the capacity.
    Constant(f64),
    /// Most prompts begin with one of 40 prefixes.
    PrefixHeavy,
    /// One of ten customers sends ten times its share.
    LargeCustomer,
}

impl Scenario {
    /// Scenarios in which all policies are compared.
    pub(super) const COMPARED: [Self; 8] = [
        Self::Steady,
        Self::LaggingReports,
        Self::EngineCrash,
        Self::SlowEngine,
        Self::FlashCrowd,
        Self::Constant(2.0),
        Self::PrefixHeavy,
        Self::LargeCustomer,
    ];

    pub(super) fn name(self) -> String {
        match self {
            Self::Steady => "steady-80%".to_owned(),
            Self::LaggingReports => "lagging-reports".to_owned(),
            Self::EngineCrash => "engine-crash".to_owned(),
            Self::SlowEngine => "slow-engine".to_owned(),
            Self::FlashCrowd => "flash-crowd".to_owned(),
            Self::Constant(load) => format!("load-{load:.1}"),
            Self::PrefixHeavy => "prefix-heavy".to_owned(),
            Self::LargeCustomer => "large-customer".to_owned(),
        }
    }

    /// Returns the offered load relative to the capacity.
    pub(super) fn load(self, seconds: f64) -> f64 {
        match self {
            Self::Steady
            | Self::LaggingReports
            | Self::EngineCrash
            | Self::SlowEngine
            | Self::PrefixHeavy => STEADY_LOAD,
            Self::FlashCrowd if (80.0..100.0).contains(&seconds) => 1.6,
            Self::FlashCrowd => 0.5,
            Self::Constant(load) => load,
            // Nine customers at 70% of their share (0.63) and one at ten times its share (1.0).
            Self::LargeCustomer => 0.63 + 1.0,
        }
    }

    /// Returns the age of load reports on arrival at a router.
    pub(super) fn report_lag(self) -> Duration {
        match self {
            Self::LaggingReports => Duration::from_secs(3),
            _ => Duration::from_millis(250),
        }
    }
}
