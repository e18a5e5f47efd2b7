//! Result table, targets and comparisons of the budget simulation.

use super::{
    result::ResultRow,
    scenario::{PolicyCase, Scenario},
};

/// Target for the partition scenario: the largest allowed ratio of the predictive policy's false
/// refusals to those of the static split.
const PARTITION_REFUSAL_RATIO: f64 = 0.1;

pub(crate) fn print_header(seed: u64) {
    println!("budgets, seed {seed}");
    println!(
        "{:<17} {:<13} {:>16} {:>14} {:>9} {:>9} {:>16} {:>21}",
        "scenario",
        "policy",
        "overspend_tokens",
        "false_refusals",
        "refusals",
        "admitted",
        "held_tokens_max",
        "platform_writes_per_s"
    );
}

pub(crate) fn print_row(row: &ResultRow) {
    println!(
        "{:<17} {:<13} {:>16} {:>14} {:>9} {:>9} {:>16} {:>21.2}",
        row.scenario.name(),
        row.policy.name(),
        row.overspend,
        row.false_refusals,
        row.refusals,
        row.admitted,
        row.max_held_tokens,
        row.writes_per_s
    );
}

fn find_row(rows: &[ResultRow], scenario: Scenario, policy: PolicyCase) -> Option<&ResultRow> {
    rows.iter()
        .find(|row| row.scenario == scenario && row.policy == policy)
}

/// Prints comparisons and targets. Returns whether every target is met.
pub(crate) fn print_summary(rows: &[ResultRow]) -> bool {
    print_platform_calls(rows);
    print_lost_tokens(rows);
    print_forecast_comparison(rows);
    println!();
    let overspend: u64 = rows.iter().map(|row| row.overspend).sum();
    let mut is_reached = print_target("overspend of all rows, tokens", overspend as f64, 0.0);
    for row in rows
        .iter()
        .filter(|row| row.policy == PolicyCase::Predictive)
    {
        let name = format!(
            "{}: false refusals with the platform reachable and 2% or 20 requests free",
            row.scenario.name()
        );
        is_reached &= print_target(&name, row.target_refusals as f64, 0.0);
        if row.target_refusals > 0 {
            println!(
                "      of these with 2% and 20 requests free: {}, {} of them in the first 5 s",
                row.ample_balance_refusals, row.startup_refusals
            );
        }
    }
    let split = find_row(rows, Scenario::Partition, PolicyCase::StaticSplit);
    let predictive = find_row(rows, Scenario::Partition, PolicyCase::Predictive);
    if let (Some(split), Some(predictive)) = (split, predictive) {
        let limit = split.false_refusals as f64 * PARTITION_REFUSAL_RATIO;
        let name = "partition: false refusals, limit a tenth of the static split";
        is_reached &= print_target(name, predictive.false_refusals as f64, limit);
    }
    is_reached
}

/// Prints results of the predictive policy with the weights `held_money` and `false_refusals`.
pub(crate) fn print_weight_comparison(held_money: &[ResultRow], rows: &[ResultRow]) {
    println!("\nweight held_money / false_refusals");
    for row in held_money {
        if let Some(other) = find_row(rows, row.scenario, PolicyCase::Predictive) {
            println!(
                "{:<17} overspend {} / {}, false refusals {} / {}, held {} / {}, lost {} / {}",
                row.scenario.name(),
                row.overspend,
                other.overspend,
                row.false_refusals,
                other.false_refusals,
                row.max_held_tokens,
                other.max_held_tokens,
                row.lost_unspent,
                other.lost_unspent
            );
        }
    }
}

fn print_target(name: &str, value: f64, limit: f64) -> bool {
    let is_reached = value <= limit;
    let word = if is_reached { "pass" } else { "MISS" };
    println!("{word}: {name}: {value} (at most {limit})");
    is_reached
}

fn print_platform_calls(rows: &[ResultRow]) {
    println!("\nplatform calls of policy predictive");
    for row in rows
        .iter()
        .filter(|row| row.policy == PolicyCase::Predictive)
    {
        println!(
            "{:<17} {:>8.2} reads/s {:>8.2} writes/s {:>6} conflicts {:>7} requests waited",
            row.scenario.name(),
            row.reads_per_s,
            row.writes_per_s,
            row.conflicts,
            row.requests_waited
        );
    }
}

fn print_lost_tokens(rows: &[ResultRow]) {
    println!("\n(a) tokens left held by crashed holders");
    for row in rows.iter().filter(|row| row.crashes > 0) {
        println!(
            "{:<17} {:<13} {} crashes, {} unspent and {} unreported tokens, {} per crash",
            row.scenario.name(),
            row.policy.name(),
            row.crashes,
            row.lost_unspent,
            row.lost_unreported,
            (row.lost_unspent + row.lost_unreported) / row.crashes
        );
    }
}

fn print_forecast_comparison(rows: &[ResultRow]) {
    println!("\n(b) double exponential smoothing against the fixed low-water mark");
    for scenario in Scenario::ALL {
        let fixed = find_row(rows, scenario, PolicyCase::LowWater);
        let smooth = find_row(rows, scenario, PolicyCase::Predictive);
        if let (Some(fixed), Some(smooth)) = (fixed, smooth) {
            println!(
                "{:<17} false refusals {} / {}, held {} / {}, writes/s {:.2} / {:.2}, waited {} / {}",
                scenario.name(),
                smooth.false_refusals,
                fixed.false_refusals,
                smooth.max_held_tokens,
                fixed.max_held_tokens,
                smooth.writes_per_s,
                fixed.writes_per_s,
                smooth.requests_waited,
                fixed.requests_waited
            );
        }
    }
}
