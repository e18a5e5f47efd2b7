//! Measurements of the cornelarch state machines and daemon.

mod budgets;

use std::process::ExitCode;

const USAGE: &str = "usage: cornelarch-measure budgets --seed N";

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    match arguments.split_first() {
        Some((command, rest)) if command == "budgets" => budgets::run(rest),
        _ => {
            eprintln!("{USAGE}");
            ExitCode::FAILURE
        }
    }
}
