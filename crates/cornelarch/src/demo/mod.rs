//! Placeholder of the demo.

use std::process::ExitCode;

/// Runs the demo with the arguments after `demo`.
#[must_use]
pub fn run(_args: &[String]) -> ExitCode {
    eprintln!("the demo is not part of this build");
    ExitCode::FAILURE
}
