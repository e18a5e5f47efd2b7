//! Measurements of the cornelarch state machines and daemon.

mod budgets;
mod config;
mod path;
mod routing;

use std::process::ExitCode;

/// Subcommands in the order of the documentation; each prints its options with `--help`.
const USAGE: &str = "Usage: cornelarch-measure budgets|routing|path|config [OPTIONS]";

fn main() -> ExitCode {
    let default = env_logger::Env::default().default_filter_or("error");
    env_logger::Builder::from_env(default).init();
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let Some((command, rest)) = arguments.split_first() else {
        eprintln!("{USAGE}");
        return ExitCode::FAILURE;
    };
    match command.as_str() {
        "budgets" => budgets::run(rest),
        "routing" => routing::run(rest),
        "path" => path::run(rest),
        "config" => config::run(rest),
        "-h" | "--help" => {
            println!("{USAGE}");
            ExitCode::SUCCESS
        }
        _ => {
            eprintln!("subcommand {command:?} does not exist\n{USAGE}");
            ExitCode::FAILURE
        }
    }
}
