//! Compares routing policies on simulated engines in virtual time.

mod cost;
mod engine;
mod exchange;
mod policy;
mod report;
mod router;
mod scenario;
mod simulation;
mod size;
mod stats;
mod workload;

use std::process::ExitCode;

use getopts::Options;

/// Runs the `routing` subcommand.
pub(crate) fn run(arguments: &[String]) -> ExitCode {
    let mut options = Options::new();
    options.optopt("", "seed", "seed of all random choices", "N");
    options.optflag(
        "",
        "quick",
        "run only the steady scenario and the goodput series",
    );
    options.optflag(
        "",
        "sizes",
        "run only the comparison of views in one domain at the target size",
    );
    let matches = match options.parse(arguments) {
        Ok(matches) => matches,
        Err(error) => {
            eprintln!(
                "{error}\n{}",
                options.usage("cornelarch-measure routing --seed N")
            );
            return ExitCode::FAILURE;
        }
    };
    let seed = matches.opt_get_default("seed", 1);
    match seed {
        Ok(seed) if matches.opt_present("sizes") => {
            size::print_sizes(seed);
            ExitCode::SUCCESS
        }
        Ok(seed) => report::print_all(seed, matches.opt_present("quick")),
        Err(error) => {
            eprintln!("option --seed: {error}");
            ExitCode::FAILURE
        }
    }
}
