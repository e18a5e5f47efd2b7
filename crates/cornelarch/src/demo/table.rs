//! Output tables of the demo, at most 100 columns wide.

use std::collections::BTreeMap;

use cornelarch_core::base::CustomerName;

use crate::demo::{
    call::{CallRecord, CallResult},
    check::{BudgetLine, GuaranteeCheck},
    fleet::{DemoFleet, NodeState},
    scenario::DemoResults,
};

/// Maximum number of violations printed per guarantee.
const PRINTED_VIOLATIONS: usize = 3;

/// Call counters of one customer.
#[derive(Default)]
struct CustomerLine {
    requests: usize,
    answers: usize,
    refused: usize,
    unknown: usize,
    resent: usize,
    tokens: u64,
}

impl CustomerLine {
    fn add(&mut self, record: &CallRecord) {
        self.requests += 1;
        self.resent += record.attempts.len() - 1;
        match record.final_result() {
            Some(CallResult::Answered { tokens, .. }) => {
                self.answers += 1;
                self.tokens += tokens;
            }
            Some(CallResult::Refused { run, .. }) if run == "not_run" => self.refused += 1,
            _ => self.unknown += 1,
        }
    }
}

/// Prints the call counters by customer, then the refusals.
pub(crate) fn print_customers(results: &DemoResults) {
    let mut lines: BTreeMap<&CustomerName, CustomerLine> = BTreeMap::new();
    for record in &results.records {
        lines.entry(&record.spec.customer).or_default().add(record);
    }
    println!("\ncustomer    requests   answers   refused   unknown  sent again  reported tokens");
    for (customer, line) in lines {
        let CustomerLine {
            requests,
            answers,
            refused,
            unknown,
            resent,
            tokens,
        } = line;
        println!(
            "{customer:<10}{requests:>10}{answers:>10}{refused:>10}{unknown:>10}{resent:>12}\
             {tokens:>17}"
        );
    }
    print_refusals(results);
}

/// Prints the number of unanswered attempts by error kind and run state. Counts every attempt, also
/// those that were retried.
fn print_refusals(results: &DemoResults) {
    let mut kinds: BTreeMap<(&str, &str), usize> = BTreeMap::new();
    let attempts = results.records.iter().flat_map(|record| &record.attempts);
    let attempt_results = attempts.map(|(_, result)| result);
    let probes = results.probes.iter().map(|probe| &probe.result);
    for result in attempt_results.chain(probes) {
        match result {
            CallResult::Refused { code, run } => *kinds.entry((code, run)).or_default() += 1,
            CallResult::Broken { sent: true } => {
                *kinds.entry(("(connection lost)", "unknown")).or_default() += 1;
            }
            CallResult::Broken { sent: false } => {
                *kinds
                    .entry(("(connection refused)", "not_run"))
                    .or_default() += 1;
            }
            CallResult::Answered { .. } => {}
        }
    }
    println!("\nattempts without answer       run state     count");
    for ((code, run), count) in kinds {
        println!("{code:<30}{run:<10}{count:>9}");
    }
}

/// Prints the requests and tokens by upstream, and the final state of each router.
pub(crate) fn print_upstreams(fleet: &DemoFleet) {
    println!("\nupstream      domain  concurrency    requests      tokens");
    for (name, section) in fleet.document.upstreams.iter() {
        let (requests, tokens) = match (fleet.engines.get(name), fleet.services.get(name)) {
            (Some(engine), _) => {
                let counts = engine.counts();
                (counts.received, counts.decode_tokens.to_string())
            }
            (_, Some(service)) => (service.counts().received, "-".to_owned()),
            (None, None) => continue,
        };
        let (domain, concurrency) = (&section.domain, section.concurrency);
        println!("{name:<14}{domain:<6}{concurrency:>13}{requests:>12}{tokens:>12}");
    }
    println!("\nrouter        domain  end");
    for node in &fleet.nodes {
        let state = match node.state {
            NodeState::Live => "live",
            NodeState::Drained => "drained",
            NodeState::Killed => "killed",
        };
        println!("{:<14}{:<8}{state}", node.name, node.domain);
    }
}

/// Prints the ledger totals by budget.
pub(crate) fn print_budgets(lines: &[BudgetLine]) {
    println!("\nbudget          paid  =   spent  +    held  + available   spent but not reported");
    for line in lines {
        let totals = &line.totals;
        println!(
            "{:<10}{:>10}{:>11}{:>11}{:>13}{:>25}",
            line.budget, totals.paid, totals.spent, totals.held, totals.available, line.unreported
        );
    }
}

/// Prints the result of each guarantee check; returns whether all were kept.
pub(crate) fn print_guarantees(checks: &[GuaranteeCheck]) -> bool {
    println!("\n{:<8}{:<51}counted", "", "guarantee");
    for check in checks {
        let verdict = match check.violations.is_empty() {
            true => "ok",
            false => "BROKEN",
        };
        println!("{verdict:<8}{:<51}{}", check.text, check.detail);
        for violation in check.violations.iter().take(PRINTED_VIOLATIONS) {
            println!("        {violation}");
        }
        if check.violations.len() > PRINTED_VIOLATIONS {
            println!(
                "        and {} more",
                check.violations.len() - PRINTED_VIOLATIONS
            );
        }
    }
    checks.iter().all(|check| check.violations.is_empty())
}
