//! Entry point of the operator tool `cornelarch`.

use std::process::ExitCode;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    match args.first().map(String::as_str) {
        Some("demo") => cornelarch::demo::run(&args[1..]),
        _ => cornelarch::operator::run(&args),
    }
}
