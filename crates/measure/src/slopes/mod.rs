//! Memory and CPU cost per unit of router state, the input of the capacity plan.
//!
//! Memory is the growth of the resident set while state of a known size is built. CPU time is the
//! wall time of a single thread that does nothing else. Each row gives the cost at two sizes and
//! the slope between them.

mod config;
mod ledger;
mod members;
mod memory;
mod upstreams;

use std::process::ExitCode;

const USAGE: &str = "usage: cornelarch-measure slopes --seed N

Prints the cost of the router's state per budget, upstream, peer and configuration section.

    --seed N    seed of the random choices (default 1)
    --help      print this text";

/// Cost of one kind of state at two sizes.
pub(crate) struct SlopeRow {
    /// Kind of state or operation.
    pub(crate) name: &'static str,
    /// Unit of the slope, such as `bytes/budget`.
    pub(crate) unit: &'static str,
    /// Smaller size and its cost.
    pub(crate) small: (f64, f64),
    /// Larger size and its cost.
    pub(crate) large: (f64, f64),
}

impl SlopeRow {
    fn slope(&self) -> f64 {
        (self.large.1 - self.small.1) / (self.large.0 - self.small.0)
    }
}

/// Runs the `slopes` subcommand.
pub(crate) fn run(arguments: &[String]) -> ExitCode {
    let mut options = getopts::Options::new();
    options.optopt("", "seed", "seed of the random choices", "N");
    options.optflag("h", "help", "print this text");
    let seed = match options.parse(arguments) {
        Ok(matches) if matches.opt_present("help") => {
            println!("{USAGE}");
            return ExitCode::SUCCESS;
        }
        Ok(matches) if matches.free.is_empty() => matches.opt_get_default("seed", 1_u64),
        Ok(matches) => {
            eprintln!("unexpected argument {:?}\n{USAGE}", matches.free[0]);
            return ExitCode::from(2);
        }
        Err(error) => {
            eprintln!("{error}\n{USAGE}");
            return ExitCode::from(2);
        }
    };
    let Ok(seed) = seed else {
        eprintln!("--seed must be an unsigned integer\n{USAGE}");
        return ExitCode::from(2);
    };
    print_rows(&measure_all(seed));
    ExitCode::SUCCESS
}

fn measure_all(seed: u64) -> Vec<SlopeRow> {
    let mut rows = ledger::measure();
    rows.extend(upstreams::measure());
    rows.extend(members::measure(seed));
    rows.extend(config::measure());
    rows
}

fn print_rows(rows: &[SlopeRow]) {
    println!(
        "{:44} {:>8} {:>14} {:>8} {:>14} {:>12}  unit",
        "state", "size", "cost", "size", "cost", "slope"
    );
    for row in rows {
        println!(
            "{:44} {:>8} {:>14.1} {:>8} {:>14.1} {:>12.4}  {}",
            row.name,
            row.small.0,
            row.small.1,
            row.large.0,
            row.large.1,
            row.slope(),
            row.unit
        );
    }
}
