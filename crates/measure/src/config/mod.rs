//! Time until a change is in force everywhere, bytes per instance, and cost of a delta, over the
//! real state machines of configuration and membership in virtual time.

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
        "only 9 and 30 instances, and no large document",
    );
    options.optopt(
        "",
        "instances",
        "only the fleet of this size, and no documents",
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
            let only = matches.opt_str("instances");
            let only = only.map(|text| text.parse().unwrap_or(0));
            report::print_all(seed, matches.opt_present("quick"), only)
        }
        Err(error) => {
            eprintln!("option --seed: {error}");
            ExitCode::FAILURE
        }
    }
}
