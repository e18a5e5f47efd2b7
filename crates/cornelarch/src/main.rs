//! Operator tool of the cornelarch router fleet.

use std::process::ExitCode;

use cornelarch::demo;

fn main() -> ExitCode {
    let default = env_logger::Env::default().default_filter_or("error");
    env_logger::Builder::from_env(default).init();
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    match arguments.split_first() {
        Some((command, rest)) if command == "demo" => demo::run(rest),
        _ => {
            eprintln!("Usage: cornelarch demo [OPTIONS]");
            ExitCode::FAILURE
        }
    }
}
