//! Prints the result tables and checks the targets.

use std::process::ExitCode;

use crate::routing::{
    cost::print_cost,
    policy::PolicyKind,
    scenario::{Deployment, Scenario},
    simulation::Simulation,
    size::print_sizes,
    stats::RunStats,
};

/// Offered loads for the goodput series, as multiples of the capacity.
const GOODPUT_LOADS: [f64; 5] = [0.8, 1.0, 1.2, 1.5, 2.0];
/// Maximum ratio of the 95th percentile to that of round robin.
const ROUND_ROBIN_RATIO_MAX: f64 = 0.5;
/// Maximum ratio of the 95th percentile to that of the omniscient policy.
const OMNISCIENT_RATIO_MAX: f64 = 1.15;
/// Minimum ratio of the goodput at twice the capacity to the peak goodput.
const GOODPUT_RATIO_MIN: f64 = 0.9;
/// Maximum number of retries per request.
const RETRY_RATE_MAX: f64 = 0.1;

/// Checks results against their targets and counts the misses.
#[derive(Debug, Default)]
struct TargetChecks {
    missed: u32,
}

impl TargetChecks {
    fn check(&mut self, name: &str, value: f64, bound: f64, is_met: bool) {
        let verdict = if is_met { "pass" } else { "MISS" };
        self.missed += u32::from(!is_met);
        println!("  {verdict}  {name}: {value:.3} (bound {bound:.3})");
    }
}

/// Prints all tables; returns failure if a target is missed.
pub(super) fn print_all(seed: u64, is_quick: bool) -> ExitCode {
    let mut targets = TargetChecks::default();
    for deployment in Deployment::all() {
        print_header(&deployment, seed);
        let scenarios = if is_quick {
            &Scenario::COMPARED[..1]
        } else {
            &Scenario::COMPARED[..]
        };
        for scenario in scenarios {
            print_scenario(*scenario, &deployment, seed, &mut targets);
        }
        print_goodput(&deployment, seed, &mut targets);
    }
    if !is_quick {
        print_sizes(seed);
        print_cost(seed);
    }
    println!("\ntargets missed: {}", targets.missed);
    match targets.missed {
        0 => ExitCode::SUCCESS,
        _ => ExitCode::FAILURE,
    }
}

fn print_header(deployment: &Deployment, seed: u64) {
    println!(
        "\ndeployment {}: {} domains, {} engines, {} routers, seed {seed}",
        deployment.name,
        deployment.domains,
        deployment.engines.len(),
        deployment.routers
    );
    println!(
        "{:<16} {:<12} {:>8} {:>8} {:>8} {:>8} {:>6} {:>7} {:>7} {:>6} {:>6} {:>8} {:>8} {:>9}",
        "scenario",
        "policy",
        "p50_ms",
        "p95_ms",
        "p99_ms",
        "small95",
        "small%",
        "request",
        "refused",
        "failed",
        "late",
        "wasted",
        "retries",
        "good_t/s"
    );
}

fn print_scenario(
    scenario: Scenario,
    deployment: &Deployment,
    seed: u64,
    targets: &mut TargetChecks,
) {
    let results: Vec<(PolicyKind, RunStats)> = PolicyKind::ALL
        .into_iter()
        .map(|policy| {
            (
                policy,
                Simulation::new(scenario, policy, deployment, seed).run(),
            )
        })
        .collect();
    for (policy, stats) in &results {
        print_row(&scenario.name(), policy.name(), stats);
    }
    let stats_of = |wanted: PolicyKind| {
        let found = results.iter().find(|(policy, _)| *policy == wanted);
        &found.expect("every policy was run").1
    };
    let design = stats_of(PolicyKind::Design);
    if scenario == Scenario::Steady {
        let p95 = design.first_token_ms(0.95);
        let ratio = p95 / stats_of(PolicyKind::RoundRobin).first_token_ms(0.95);
        let is_met = ratio <= ROUND_ROBIN_RATIO_MAX;
        targets.check(
            "p95 / round robin p95",
            ratio,
            ROUND_ROBIN_RATIO_MAX,
            is_met,
        );
        let ratio = p95 / stats_of(PolicyKind::Omniscient).first_token_ms(0.95);
        let is_met = ratio <= OMNISCIENT_RATIO_MAX;
        targets.check("p95 / omniscient p95", ratio, OMNISCIENT_RATIO_MAX, is_met);
    }
    let rate = design.retry_rate();
    targets.check(
        "retries per request",
        rate,
        RETRY_RATE_MAX,
        rate <= RETRY_RATE_MAX,
    );
}

fn print_goodput(deployment: &Deployment, seed: u64, targets: &mut TargetChecks) {
    let mut peak: f64 = 0.0;
    let mut last = 0.0;
    for load in GOODPUT_LOADS {
        let scenario = Scenario::Constant(load);
        let stats = Simulation::new(scenario, PolicyKind::Design, deployment, seed).run();
        print_row(&scenario.name(), PolicyKind::Design.name(), &stats);
        last = stats.goodput();
        peak = peak.max(last);
    }
    let ratio = last / peak;
    let is_met = ratio >= GOODPUT_RATIO_MIN;
    targets.check(
        "goodput at twice the capacity / peak",
        ratio,
        GOODPUT_RATIO_MIN,
        is_met,
    );
}

fn print_row(scenario: &str, policy: &str, stats: &RunStats) {
    println!(
        "{scenario:<16} {policy:<12} {:>8.0} {:>8.0} {:>8.0} {:>8.0} {:>6.1} {:>7} {:>7} {:>6} {:>6} {:>8} {:>8.4} {:>9.0}",
        stats.first_token_ms(0.5),
        stats.first_token_ms(0.95),
        stats.first_token_ms(0.99),
        stats.small_first_token_us.value_at_quantile(0.95) as f64 / 1e3,
        stats.small_rate() * 100.0,
        stats.requests,
        stats.refused,
        stats.failed,
        stats.late,
        stats.wasted_tokens,
        stats.retry_rate(),
        stats.goodput(),
    );
}
