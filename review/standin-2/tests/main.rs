//! Stand-ins and cases of the second review. `standin CASE` plays one case, writes its record to
//! `review/N/record.txt`, and exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.

mod edge;
mod http;
mod json;
mod runner;
mod socket;
mod store;
mod world;

mod case_leave;
mod case_names;
mod case_slow;
mod case_tenant;

use std::{env, process::exit};

fn main() {
    let name = env::args().nth(1).unwrap_or_default();
    let trouble = env::var("TROUBLE").map_or(true, |value| value != "0");
    let play: fn(bool) -> bool = match name.as_str() {
        "slow" => case_slow::play,
        "leave" => case_leave::play,
        "names" => case_names::play,
        "tenant" => case_tenant::play,
        _ => {
            eprintln!("unknown case {name:?}");
            exit(2);
        }
    };
    // A panic means that the case couldn't run; processes are ended as it unwinds.
    match std::panic::catch_unwind(|| play(trouble)) {
        Ok(is_broken) => exit(i32::from(is_broken)),
        Err(_) => exit(2),
    }
}
