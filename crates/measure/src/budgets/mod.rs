//! Simulation of a fleet of budget ledgers.
//!
//! Runs the production ledger state machine against a fake platform in virtual time.

mod fleet;
mod instance;
mod platform;
mod report;
mod result;
mod scenario;
mod workload;

use std::process::ExitCode;

use getopts::Options;

use fleet::Fleet;
use scenario::{PolicyCase, Scenario};

/// Seed used when `--seed` is not given.
const DEFAULT_SEED: u64 = 1;

/// Scenarios in which the budget weights `held_money` and `false_refusals` are compared.
const WEIGHT_SCENARIOS: [Scenario; 3] = [Scenario::Partition, Scenario::Outage, Scenario::Churn];

/// Simulates every combination of scenario and policy and prints one row for each.
///
/// Returns a failure exit code if a target is missed.
pub(crate) fn run(arguments: &[String]) -> ExitCode {
    let mut options = Options::new();
    options.optopt("", "seed", "seed of the random numbers", "N");
    let matches = match options.parse(arguments) {
        Ok(matches) => matches,
        Err(error) => return fail(&error.to_string()),
    };
    let seed = match matches.opt_get_default("seed", DEFAULT_SEED) {
        Ok(seed) => seed,
        Err(error) => return fail(&format!("--seed: {error}")),
    };
    let mut rows = Vec::new();
    report::print_header(seed);
    for scenario in Scenario::ALL {
        for policy in PolicyCase::ALL {
            let row = Fleet::new(scenario, policy, seed).run();
            report::print_row(&row);
            rows.push(row);
        }
    }
    let held_money =
        WEIGHT_SCENARIOS.map(|scenario| Fleet::new(scenario, PolicyCase::HeldMoney, seed).run());
    report::print_weight_comparison(&held_money, &rows);
    match report::print_summary(&rows) {
        true => ExitCode::SUCCESS,
        false => ExitCode::FAILURE,
    }
}

fn fail(message: &str) -> ExitCode {
    eprintln!("cornelarch-measure budgets: {message}");
    ExitCode::FAILURE
}
