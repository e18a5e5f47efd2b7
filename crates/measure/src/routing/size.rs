//! Compares router views in one failure domain of up to the target size.

use crate::routing::{
    exchange::{self, ExchangeSize},
    policy::PolicyKind,
    scenario::{Deployment, Scenario, ViewKind},
    simulation::Simulation,
};

/// Deployment names and numbers of engines in the domain. The target is 350 engines serving four
/// models.
const ENGINE_COUNTS: [(&str, usize); 2] = [("1x90", 90), ("1x350", 350)];
/// Maximum number of engines for runs of the omniscient policy, which scans all engines for each
/// request.
const OMNISCIENT_ENGINES_MAX: usize = 90;

/// Prints the time to first token and the polling cost of each view.
pub(super) fn print_sizes(seed: u64) {
    let exchange = match exchange::measure() {
        Ok(exchange) => exchange,
        Err(error) => {
            println!("\nfailed to measure the load report exchange: {error}");
            return;
        }
    };
    println!(
        "\none domain, 30 routers, seed {seed}, steady-80%; one load report exchange has {} + {} bytes, \
         {} with 3 packet headers",
        exchange.request,
        exchange.response,
        exchange.total()
    );
    println!(
        "{:<8} {:<12} {:>8} {:>8} {:>8} {:>8} {:>7} {:>6} {:>9} {:>9}",
        "engines",
        "view",
        "p50_ms",
        "p95_ms",
        "p99_ms",
        "request",
        "refused",
        "late",
        "polls/s",
        "bytes/s"
    );
    for (name, engines) in ENGINE_COUNTS {
        for view in ViewKind::ALL {
            let deployment = Deployment::domain(name, engines, view);
            print_row(&deployment, view.name(), PolicyKind::Design, seed, exchange);
        }
        let deployment = Deployment::domain(name, engines, ViewKind::Whole);
        let policy = PolicyKind::TwoChoices;
        print_row(&deployment, policy.name(), policy, seed, exchange);
        if engines <= OMNISCIENT_ENGINES_MAX {
            let policy = PolicyKind::Omniscient;
            print_row(&deployment, policy.name(), policy, seed, exchange);
        }
    }
}

fn print_row(
    deployment: &Deployment,
    name: &str,
    policy: PolicyKind,
    seed: u64,
    exchange: ExchangeSize,
) {
    let stats = Simulation::new(Scenario::Steady, policy, deployment, seed).run();
    // The other policies do not use load reports.
    let polls = match policy {
        PolicyKind::Design => stats.polls_per_s(deployment.routers),
        _ => 0.0,
    };
    println!(
        "{:<8} {name:<12} {:>8.0} {:>8.0} {:>8.0} {:>8} {:>7} {:>6} {polls:>9.2} {:>9.0}",
        deployment.name,
        stats.first_token_ms(0.5),
        stats.first_token_ms(0.95),
        stats.first_token_ms(0.99),
        stats.requests,
        stats.refused,
        stats.late,
        polls * exchange.total() as f64,
    );
}
