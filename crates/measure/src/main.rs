//! Measurement tool for the cornelarch state machines and daemon.

mod budgets;
mod config;
mod path;
mod routing;
mod slopes;

use std::process::ExitCode;

/// Usage line with the subcommands, in the order in which the documentation lists them.
const USAGE: &str = "Usage: cornelarch-measure budgets|routing|config|path|slopes [OPTIONS]";

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
        "config" => config::run(rest),
        "path" => path::run(rest),
        "slopes" => slopes::run(rest),
        "-h" | "--help" => {
            println!("{USAGE}");
            ExitCode::SUCCESS
        }
        _ => {
            eprintln!("unknown subcommand {command:?}\n{USAGE}");
            ExitCode::FAILURE
        }
    }
}
