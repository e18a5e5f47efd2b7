//! Rows and targets.

use std::{process::ExitCode, time::Duration};

use crate::config::{
    cost::measure,
    fleet::{ByteCount, Fleet, FleetPlan, FleetResult},
};

/// Instances and domains of the measured fleets.
const FLEETS: [(usize, usize); 4] = [(9, 3), (30, 3), (100, 6), (350, 12)];
/// Today's mean time between changes: 720 a day, more than the users make, so that a run has some.
const TODAY_INTERVAL: Duration = Duration::from_secs(120);
/// The target's mean time between changes: 12,000 a day.
const TARGET_INTERVAL: Duration = Duration::from_millis(7_200);
/// Measured time of a run.
const DURATION: Duration = Duration::from_secs(900);
/// Time in which a change must be in force everywhere.
const DELAY_LIMIT: Duration = Duration::from_secs(14);
/// Bytes per second that control may cost an instance, ledger included.
const BYTES_LIMIT: f64 = 6_000.0;
/// Sizes of the measured documents, in budgets.
const DOCUMENTS: [usize; 3] = [10, 1_000, 100_000];
/// Changes per second at target size.
const TARGET_RATE: f64 = 12_000.0 / 86_400.0;

/// Prints every row; returns failure if a target is missed.
pub(super) fn print_all(seed: u64, quick: bool, only: Option<usize>) -> ExitCode {
    // First, because memory that a simulation has freed would hide that of a document.
    if only.is_none() {
        print_costs(quick);
    }
    println!(
        "\nconfiguration: {} s of virtual time, seed {seed}",
        DURATION.as_secs()
    );
    println!(
        "{:>9} {:>8} {:>8} {:>5} {:>7} {:>8} {:>8} {:>8} {:>9} {:>9} {:>9} {:>9} {:>7}",
        "instances",
        "domains",
        "changes",
        "loss",
        "p50_s",
        "p95_s",
        "max_s",
        "missing",
        "member_Bs",
        "config_Bs",
        "plat_Bs",
        "max_Bs",
        "deaths"
    );
    let mut missed = 0;
    let fleets = if quick { &FLEETS[..2] } else { &FLEETS[..] };
    let fleets = fleets
        .iter()
        .filter(|(instances, _)| only.is_none_or(|only| only == *instances));
    for (instances, domains) in fleets {
        for change_interval in [TODAY_INTERVAL, TARGET_INTERVAL] {
            for loss in [0.0, 0.1] {
                let plan = FleetPlan {
                    instances: *instances,
                    domains: *domains,
                    change_interval,
                    duration: DURATION,
                    loss,
                };
                missed += print_fleet(&plan, &Fleet::new(plan, seed).run());
            }
        }
    }
    println!("targets missed: {missed}");
    match missed {
        0 => ExitCode::SUCCESS,
        _ => ExitCode::FAILURE,
    }
}

fn print_fleet(plan: &FleetPlan, result: &FleetResult) -> u32 {
    let at = |share: f64| {
        let last = result.delays.len().saturating_sub(1);
        let delay = result.delays.get((last as f64 * share).round() as usize);
        delay
            .copied()
            .flatten()
            .map_or(f64::INFINITY, |delay| delay.as_secs_f64())
    };
    let missing = result.delays.iter().filter(|delay| delay.is_none()).count();
    let mean = |part: fn(&ByteCount) -> u64| {
        let sum: u64 = result.bytes.iter().map(part).sum();
        sum as f64 / result.seconds / result.bytes.len() as f64
    };
    let largest = result
        .bytes
        .iter()
        .map(|count| count.total())
        .max()
        .unwrap_or(0);
    let largest = largest as f64 / result.seconds;
    println!(
        "{:>9} {:>8} {:>8} {:>5.2} {:>7.2} {:>8.2} {:>8.2} {:>8} {:>9.0} {:>9.0} {:>9.0} {:>9.0} {:>7}",
        plan.instances,
        plan.domains,
        result.delays.len(),
        plan.loss,
        at(0.5),
        at(0.95),
        at(1.0),
        missing,
        mean(|count| count.member),
        mean(|count| count.config),
        mean(|count| count.platform),
        largest,
        result.false_deaths
    );
    let late = at(1.0) > DELAY_LIMIT.as_secs_f64();
    u32::from(late) + u32::from(largest > BYTES_LIMIT)
}

fn print_costs(quick: bool) {
    println!(
        "{:>8} {:>10} {:>9} {:>10} {:>17} {:>15} {:>13}",
        "budgets",
        "text_KB",
        "parse_ms",
        "memory_KB",
        "customer_delta_us",
        "budget_delta_us",
        "core_percent"
    );
    let documents = if quick {
        &DOCUMENTS[..2]
    } else {
        &DOCUMENTS[..]
    };
    for budgets in documents {
        let cost = measure(*budgets);
        let slowest = cost.customer_delta_us.max(cost.budget_delta_us);
        println!(
            "{:>8} {:>10.1} {:>9.2} {:>10.1} {:>17.1} {:>15.1} {:>13.4}",
            cost.budgets,
            cost.text_bytes as f64 / 1e3,
            cost.parse_ms,
            cost.memory_bytes as f64 / 1e3,
            cost.customer_delta_us,
            cost.budget_delta_us,
            slowest * TARGET_RATE / 1e4
        );
    }
}
