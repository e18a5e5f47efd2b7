//! Measurements of the cornelarch state machines and daemon.

mod config;
mod routing;

use std::process::ExitCode;

const USAGE: &str = "usage: cornelarch-measure config|routing --seed N";

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    match arguments.split_first() {
        Some((command, rest)) if command == "config" => config::run(rest),
        Some((command, rest)) if command == "routing" => routing::run(rest),
        _ => {
            eprintln!("{USAGE}");
            ExitCode::FAILURE
        }
    }
}
