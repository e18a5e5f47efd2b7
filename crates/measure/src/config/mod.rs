//! Simulates configuration distribution with the production configuration and membership state
//! machines in virtual time. Measures the propagation delay of a change, the bytes per instance and
//! the cost of a delta.

mod cost;
mod document;
mod fleet;
mod network;
mod report;

use std::process::ExitCode;

use getopts::Options;

/// Runs the subcommand and returns the exit code.
pub(crate) fn run(arguments: &[String]) -> ExitCode {
    let mut options = Options::new();
    options.optopt("", "seed", "seed of all random choices", "N");
    options.optflag(
        "",
        "quick",
        "measure only 9 and 30 instances, and skip the large document",
    );
    options.optopt(
        "",
        "instances",
        "measure only the fleet of this size, and skip the documents",
        "N",
    );
    options.optflag("h", "help", "print this text");
    let brief = "Usage: cornelarch-measure config [OPTIONS]";
    let matches = match options.parse(arguments) {
        Ok(matches) => matches,
        Err(error) => {
            eprintln!("{error}\n{}", options.usage(brief));
            return ExitCode::FAILURE;
        }
    };
    if matches.opt_present("help") {
        println!("{}", options.usage(brief));
        return ExitCode::SUCCESS;
    }
    match matches.opt_get_default("seed", 1) {
        Ok(seed) => {
            let size_filter = matches.opt_str("instances");
            let size_filter = size_filter.map(|text| text.parse().unwrap_or(0));
            report::print_all(seed, matches.opt_present("quick"), size_filter)
        }
        Err(error) => {
            eprintln!("option --seed: {error}");
            ExitCode::FAILURE
        }
    }
}
