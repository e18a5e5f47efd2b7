//! Result tables and targets.

use std::{process::ExitCode, time::Duration};

use crate::config::{
    cost::measure,
    fleet::{ByteCount, Fleet, FleetOptions, FleetResult},
};

/// Instances and failure domains of the simulated fleets.
const FLEET_SIZES: [(usize, usize); 4] = [(9, 3), (30, 3), (100, 6), (350, 12)];
/// Mean time between changes for present-day use: 720 a day. Users make fewer changes; the higher rate
/// ensures that a run contains some.
const CURRENT_CHANGE_INTERVAL: Duration = Duration::from_secs(120);
/// Mean time between changes at the target rate: 12,000 a day.
const TARGET_CHANGE_INTERVAL: Duration = Duration::from_millis(7_200);
/// Measured virtual time of a run.
const MEASURED_DURATION: Duration = Duration::from_secs(900);
/// Maximum time until a change is active on every instance.
const MAX_PROPAGATION_DELAY: Duration = Duration::from_secs(14);
/// Maximum control traffic of an instance in bytes per second, including the ledger.
const MAX_BYTES_PER_SECOND: f64 = 6_000.0;
/// Numbers of budgets in the measured documents.
const DOCUMENT_SIZES: [usize; 3] = [10, 1_000, 100_000];
/// Changes per second at the target rate.
const TARGET_CHANGE_RATE: f64 = 12_000.0 / 86_400.0;

/// Prints all tables; returns failure if a target is missed.
pub(super) fn print_all(seed: u64, quick: bool, size_filter: Option<usize>) -> ExitCode {
    // Documents come first, because memory freed by a simulation would be reused and hide theirs.
    if size_filter.is_none() {
        print_costs(quick);
    }
    println!(
        "\nconfiguration: {} s of virtual time, seed {seed}",
        MEASURED_DURATION.as_secs()
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
    let fleets = if quick {
        &FLEET_SIZES[..2]
    } else {
        &FLEET_SIZES[..]
    };
    let fleets = fleets
        .iter()
        .filter(|(instances, _)| size_filter.is_none_or(|size_filter| size_filter == *instances));
    for (instances, domains) in fleets {
        for change_interval in [CURRENT_CHANGE_INTERVAL, TARGET_CHANGE_INTERVAL] {
            for loss in [0.0, 0.1] {
                let options = FleetOptions {
                    instances: *instances,
                    domains: *domains,
                    change_interval,
                    duration: MEASURED_DURATION,
                    loss,
                };
                missed += print_fleet(&options, &Fleet::new(options, seed).run());
            }
        }
    }
    println!("targets missed: {missed}");
    match missed {
        0 => ExitCode::SUCCESS,
        _ => ExitCode::FAILURE,
    }
}

fn print_fleet(options: &FleetOptions, result: &FleetResult) -> u32 {
    let delay_quantile = |quantile: f64| {
        let last = result.delays.len().saturating_sub(1);
        let delay = result.delays.get((last as f64 * quantile).round() as usize);
        delay
            .copied()
            .flatten()
            .map_or(f64::INFINITY, |delay| delay.as_secs_f64())
    };
    let missing = result.delays.iter().filter(|delay| delay.is_none()).count();
    let mean = |field: fn(&ByteCount) -> u64| {
        let sum: u64 = result.bytes.iter().map(field).sum();
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
        options.instances,
        options.domains,
        result.delays.len(),
        options.loss,
        delay_quantile(0.5),
        delay_quantile(0.95),
        delay_quantile(1.0),
        missing,
        mean(|count| count.member),
        mean(|count| count.config),
        mean(|count| count.platform),
        largest,
        result.false_deaths
    );
    let late = delay_quantile(1.0) > MAX_PROPAGATION_DELAY.as_secs_f64();
    u32::from(late) + u32::from(largest > MAX_BYTES_PER_SECOND)
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
        &DOCUMENT_SIZES[..2]
    } else {
        &DOCUMENT_SIZES[..]
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
            slowest * TARGET_CHANGE_RATE / 1e4
        );
    }
}
