//! Demonstration of a small fleet in one process: `cornelarch demo`.
//!
//! Starts stand-ins for the platform, the engines and the services of a document, and two routers
//! in each of its failure domains. Customers send HTTP requests while one router is drained,
//! another is killed and the platform is unavailable. Every guarantee is checked at the end.

mod call;
mod check;
mod client;
mod document;
mod fleet;
mod scenario;
mod seed;
mod table;

use std::process::ExitCode;

use getopts::{Matches, Options};
use snafu::{ResultExt, Whatever, ensure_whatever};

use crate::demo::{
    check::{check_guarantees, read_budgets},
    client::DemoClient,
    document::demo_key,
    fleet::{DemoFleet, OPERATOR_KEY},
    scenario::DemoScenario,
};

/// Runs the demo with the command-line arguments after `demo`. Exits successfully only if every
/// guarantee was kept.
#[must_use]
pub fn run(arguments: &[String]) -> ExitCode {
    let mut options = Options::new();
    options
        .optflag("h", "help", "print this help")
        .optflag("", "serve", "keep running at the end and print curl lines")
        .optopt("", "settings", "use another document", "FILE");
    let matches = match options.parse(arguments) {
        Ok(matches) if matches.free.is_empty() => matches,
        Ok(matches) => return fail(&format!("argument {:?} is unknown", matches.free[0])),
        Err(error) => return fail(&error.to_string()),
    };
    if matches.opt_present("help") {
        print!("{}", options.usage("Usage: cornelarch demo [OPTIONS]"));
        return ExitCode::SUCCESS;
    }
    let result = match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime.block_on(run_demo(&matches)),
        Err(error) => return fail(&error.to_string()),
    };
    match result {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => fail("a guarantee was broken"),
        Err(error) => fail(&snafu::Report::from_error(error).to_string()),
    }
}

fn fail(message: &str) -> ExitCode {
    eprintln!("demo: {message}");
    ExitCode::FAILURE
}

/// Runs every phase of the demo and prints the tables; returns whether every guarantee was kept.
async fn run_demo(matches: &Matches) -> Result<bool, Whatever> {
    let settings = matches.opt_str("settings");
    let mut fleet = DemoFleet::start(settings.as_deref()).await?;
    print_start(&fleet);
    let callers = fleet.nodes.iter().map(|node| node.caller_address).collect();
    let client = DemoClient::new(callers).whatever_context("HTTP client cannot be set up")?;
    let mut scenario = DemoScenario::new(&mut fleet, client);
    scenario.run().await?;
    let results = scenario.results;
    table::print_customers(&results);
    if matches.opt_present("serve") {
        serve(&fleet).await?;
    }
    fleet.close_nodes().await?;
    table::print_upstreams(&fleet);
    let budgets = read_budgets(&fleet, &results).await?;
    table::print_budgets(&budgets);
    let mut checks = check_guarantees(&fleet, &results, &budgets);
    if matches.opt_present("serve") {
        // External requests are billed, but the usage that their responses reported is unknown.
        checks.retain(|check| !check.text.contains("billed"));
    }
    let all_kept = table::print_guarantees(&checks);
    println!("\n{:.1} s in total", fleet.started.elapsed().as_secs_f64());
    fleet.close().await;
    Ok(all_kept)
}

fn print_start(fleet: &DemoFleet) {
    let elapsed = fleet.started.elapsed().as_secs_f64();
    println!(
        "{elapsed:6.2} s  {} routers, {} engines and {} service instances run on loopback",
        fleet.nodes.len(),
        fleet.engines.len(),
        fleet.services.len()
    );
    println!("\n    time   calls  answers  refused  sent again   phase");
}

/// Prints example `curl` commands and waits for an interrupt signal.
async fn serve(fleet: &DemoFleet) -> Result<(), Whatever> {
    let live = fleet.live_routers();
    ensure_whatever!(!live.is_empty(), "no live router is left");
    println!("\nThe routers keep running until they are interrupted. Try:\n");
    for index in live {
        print_curl(fleet, index);
    }
    let interrupt = tokio::signal::ctrl_c().await;
    interrupt.whatever_context("interrupt signal cannot be awaited")
}

fn print_curl(fleet: &DemoFleet, index: usize) {
    let node = &fleet.nodes[index];
    let document = &fleet.document;
    if let Some((customer, section)) = document.customers.first_key_value() {
        let key = demo_key(customer);
        if let Some(model) = document
            .models
            .keys()
            .find(|name| section.models.allows(name))
        {
            println!(
                "curl -N http://{}/v1/chat/completions -H 'Authorization: Bearer {key}' \\\n  \
                 -d '{{\"model\":\"{model}\",\"stream\":true,\"messages\":\
                 [{{\"role\":\"user\",\"content\":\"hello\"}}]}}'",
                node.caller_address
            );
        }
    }
    println!(
        "curl http://{}/status -H 'Authorization: Bearer {OPERATOR_KEY}'",
        node.operator_address
    );
}
