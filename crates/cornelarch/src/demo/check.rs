//! Checks of the guarantees against the records of the customers, the stand-ins and the ledger.

use std::collections::BTreeMap;

use cornelarch_core::{
    base::{BudgetName, TokenCount},
    budget::BudgetTotals,
};
use snafu::Whatever;

use crate::demo::{
    call::{CallKind, CallRecord, CallResult, item_path},
    fleet::DemoFleet,
    scenario::{DemoResults, ProbeRecord},
    seed::read_totals,
};

/// Result of checking one guarantee.
pub(crate) struct GuaranteeCheck {
    /// The guarantee in a few words.
    pub(crate) text: &'static str,
    /// What was counted or measured.
    pub(crate) detail: String,
    /// Descriptions of the violations; empty if the guarantee was kept.
    pub(crate) violations: Vec<String>,
}

/// Final state of a budget, from the ledger and from the customers' records.
pub(crate) struct BudgetLine {
    pub(crate) budget: BudgetName,
    pub(crate) totals: BudgetTotals,
    /// The tokens spent at stopped routers that were not reported to the platform. Part of `held`.
    pub(crate) unreported: u64,
    /// The tokens whose report to the platform or to a peer was in flight when a router stopped.
    /// The receiver may or may not have counted them.
    pub(crate) uncertain: u64,
    /// The sum of the usage reported to customers.
    pub(crate) reported: u64,
    /// The upper bound of what attempts without a complete answer may have been billed in
    /// addition.
    pub(crate) unconfirmed: u64,
}

/// Execution counts at the stand-ins, by prompt, lookup path and order id.
struct RunCounts {
    prompts: BTreeMap<String, u64>,
    lookups: BTreeMap<String, u64>,
    orders: BTreeMap<String, u64>,
}

impl RunCounts {
    fn collect(fleet: &DemoFleet) -> Self {
        let mut counts = Self {
            prompts: BTreeMap::new(),
            lookups: BTreeMap::new(),
            orders: BTreeMap::new(),
        };
        for engine in fleet.engines.values() {
            add_counts(&mut counts.prompts, engine.runs());
        }
        for service in fleet.services.values() {
            add_counts(&mut counts.lookups, service.lookups());
            add_counts(&mut counts.orders, service.executions());
        }
        counts
    }

    fn runs_of(&self, record: &CallRecord) -> u64 {
        let text = &record.spec.payload;
        let count = match record.spec.kind {
            CallKind::Chat | CallKind::Stream => self.prompts.get(text),
            CallKind::Lookup => self.lookups.get(&item_path(text)),
            CallKind::Order => self.orders.get(text),
        };
        count.copied().unwrap_or(0)
    }
}

fn add_counts(sum: &mut BTreeMap<String, u64>, counts: BTreeMap<String, u64>) {
    for (key, count) in counts {
        *sum.entry(key).or_default() += count;
    }
}

/// Reads the ledger totals of every budget and sums up the usage that its customers saw.
///
/// # Errors
///
/// Returns an error if the ledger cannot be read.
pub(crate) async fn read_budgets(
    fleet: &DemoFleet,
    results: &DemoResults,
) -> Result<Vec<BudgetLine>, Whatever> {
    let counts = RunCounts::collect(fleet);
    let mut lines = Vec::new();
    for budget in fleet.document.budgets.keys() {
        let totals = read_totals(&fleet.store, &fleet.document, budget).await?;
        let records = results.records.iter();
        let records: Vec<_> = records
            .filter(|record| record.spec.budget == *budget)
            .collect();
        let (unreported, uncertain) = count_unreported(fleet, budget);
        lines.push(BudgetLine {
            budget: budget.clone(),
            totals,
            unreported,
            uncertain,
            reported: count_reported(&records, &counts),
            unconfirmed: count_unconfirmed(&records),
        });
    }
    Ok(lines)
}

/// Returns the tokens that stopped routers spent without reporting them, and those whose report was
/// in flight.
fn count_unreported(fleet: &DemoFleet, budget: &BudgetName) -> (u64, u64) {
    let ledgers = fleet
        .nodes
        .iter()
        .filter_map(|node| node.final_ledger.as_ref());
    let (mut unreported, mut uncertain) = (TokenCount::ZERO, TokenCount::ZERO);
    for ledger in ledgers {
        let accounts = ledger.accounts.iter();
        for account in accounts.filter(|account| account.budget == *budget) {
            let certain = account.unreported.saturating_sub(account.reporting);
            unreported = unreported.saturating_add(certain);
            uncertain = uncertain.saturating_add(account.reporting);
        }
        let transfers = ledger.transfers.iter();
        let transfers = transfers.filter(|transfer| transfer.budget == *budget);
        uncertain = uncertain.saturating_add(transfers.map(|transfer| transfer.spent).sum());
    }
    (unreported.get(), uncertain.get())
}

/// Returns the sum of the reported usage. An order counts once per execution, because a repeat
/// returns the stored answer and is not billed.
fn count_reported(records: &[&CallRecord], counts: &RunCounts) -> u64 {
    let mut reported = 0;
    let mut orders = BTreeMap::new();
    for record in records {
        match record.spec.kind {
            CallKind::Order => {
                orders.insert(
                    &record.spec.payload,
                    counts.runs_of(record) * record.spec.cost,
                );
            }
            CallKind::Chat | CallKind::Stream | CallKind::Lookup => {
                reported += record.answered_tokens().unwrap_or(0);
            }
        }
    }
    reported + orders.values().sum::<u64>()
}

/// Returns the upper bound of what attempts without a complete answer may have been billed.
fn count_unconfirmed(records: &[&CallRecord]) -> u64 {
    let mut unconfirmed = 0;
    for record in records {
        let unclear = record.attempts.iter().filter(|(_, result)| match result {
            CallResult::Broken { sent } => *sent,
            CallResult::Refused { run, .. } => run != "not_run",
            CallResult::Answered { .. } => false,
        });
        unconfirmed += unclear.count() as u64 * record.spec.max_cost();
    }
    unconfirmed
}

/// Checks every guarantee.
pub(crate) fn check_guarantees(
    fleet: &DemoFleet,
    results: &DemoResults,
    budgets: &[BudgetLine],
) -> Vec<GuaranteeCheck> {
    let counts = RunCounts::collect(fleet);
    vec![
        check_budgets(budgets),
        check_billing(budgets),
        check_answers(&results.records),
        check_refusals(results, &counts),
        check_probes(&results.probes, &counts),
        check_orders(&results.records, &counts),
        check_leaving_upstream(results),
        check_drain(results),
        check_config(results),
        check_outage(&results.outage_calls),
    ]
}

fn check_budgets(budgets: &[BudgetLine]) -> GuaranteeCheck {
    let violations = budgets.iter().filter_map(|line| {
        let totals = &line.totals;
        let sum = totals.spent.get() + totals.held.get() + totals.available.get();
        let spent = totals.spent.get() + line.unreported;
        let balanced = sum == totals.paid.get() && spent <= totals.paid.get();
        (!balanced).then(|| format!("{}: {totals:?}, spent {spent}", line.budget))
    });
    GuaranteeCheck {
        text: "spent <= paid = spent + held + available",
        detail: format!("{} budgets", budgets.len()),
        violations: violations.collect(),
    }
}

fn check_billing(budgets: &[BudgetLine]) -> GuaranteeCheck {
    let violations = budgets.iter().filter_map(|line| {
        let billed = line.totals.spent.get() + line.unreported;
        let most = billed + line.uncertain;
        let (low, high) = (line.reported, line.reported + line.unconfirmed);
        let text = || {
            format!(
                "{}: {billed} to {most}, reported {low} to {high}",
                line.budget
            )
        };
        (billed > high || most < low).then(text)
    });
    let unconfirmed: u64 = budgets.iter().map(|line| line.unconfirmed).sum();
    let reported: u64 = budgets.iter().map(|line| line.reported).sum();
    GuaranteeCheck {
        text: "each request billed once, as reported",
        detail: format!("{reported} tokens, {unconfirmed} unclear at most"),
        violations: violations.collect(),
    }
}

fn check_answers(records: &[CallRecord]) -> GuaranteeCheck {
    let wrong = |record: &&CallRecord| {
        let mut results = record.attempts.iter();
        results.any(|(_, result)| matches!(result, CallResult::Answered { matches: false, .. }))
    };
    let answers = records
        .iter()
        .filter(|it| it.answered_tokens().is_some())
        .count();
    GuaranteeCheck {
        text: "every answer is complete and the caller's own",
        detail: format!("{answers} answers compared"),
        violations: records
            .iter()
            .filter(wrong)
            .map(|it| it.spec.payload.clone())
            .collect(),
    }
}

fn check_refusals(results: &DemoResults, counts: &RunCounts) -> GuaranteeCheck {
    let refused: Vec<_> = results
        .records
        .iter()
        .filter(|it| it.is_not_run())
        .collect();
    // A repeat may be refused as not run although the order itself was executed.
    let without_executed_duplicate = |record: &&&CallRecord| {
        let mut records = results.records.iter();
        !records.any(|other| other.spec.payload == record.spec.payload && !other.is_not_run())
    };
    let violations = refused
        .iter()
        .filter(without_executed_duplicate)
        .filter(|record| counts.runs_of(record) > 0);
    GuaranteeCheck {
        text: "what was refused as not run, was not run",
        detail: format!("{} refused calls", refused.len()),
        violations: violations
            .map(|record| record.spec.payload.clone())
            .collect(),
    }
}

fn check_probes(probes: &[ProbeRecord], counts: &RunCounts) -> GuaranteeCheck {
    let violations = probes.iter().filter_map(|probe| {
        let code = match &probe.result {
            CallResult::Refused { code, run } if run == "not_run" => code.as_str(),
            _ => "none",
        };
        let run = counts.prompts.contains_key(&probe.payload)
            || counts.orders.contains_key(&probe.payload);
        let passed = code == probe.expected && !run;
        (!passed).then(|| format!("{}: {:?}", probe.name, probe.result))
    });
    GuaranteeCheck {
        text: "bad requests get their refusal and are not run",
        detail: format!("{} requests", probes.len()),
        violations: violations.collect(),
    }
}

fn check_orders(records: &[CallRecord], counts: &RunCounts) -> GuaranteeCheck {
    let mut violations: Vec<String> = Vec::new();
    let mut repeats = 0;
    let mut seen = BTreeMap::new();
    for record in records.iter().filter(|it| it.spec.kind == CallKind::Order) {
        let runs = counts.runs_of(record);
        let earlier = seen.insert(&record.spec.payload, runs);
        repeats += u64::from(earlier.is_some());
        if runs > 1 || (runs == 0 && record.answered_tokens().is_some()) {
            violations.push(format!("{} ran {runs} times", record.spec.payload));
        }
    }
    GuaranteeCheck {
        text: "every order ran at most once",
        detail: format!("{} orders, {repeats} repeated", seen.len()),
        violations,
    }
}

fn check_leaving_upstream(results: &DemoResults) -> GuaranteeCheck {
    let (detail, violations) = match &results.leaving_upstream {
        Some((name, 0)) => (format!("{name} got nothing after 2 s"), Vec::new()),
        Some((name, count)) => (String::new(), vec![format!("{name} got {count} requests")]),
        None => ("not played with this document".to_owned(), Vec::new()),
    };
    GuaranteeCheck {
        text: "a leaving upstream gets no new work",
        detail,
        violations,
    }
}

fn check_drain(results: &DemoResults) -> GuaranteeCheck {
    let attempts = results.records.iter().flat_map(|record| {
        let attempts = record.attempts.iter();
        attempts.map(move |(router, result)| (record, *router, result))
    });
    let drained = attempts.filter(|(_, router, _)| Some(*router) == results.drained_router);
    let violations = drained.filter(|(_, _, result)| **result == CallResult::Broken { sent: true });
    GuaranteeCheck {
        text: "a planned stop interrupts nothing",
        detail: match results.drained_router {
            Some(_) => "1 router drained under load".to_owned(),
            None => "no router drained".to_owned(),
        },
        violations: violations
            .map(|(record, _, _)| record.spec.payload.clone())
            .collect(),
    }
}

fn check_config(results: &DemoResults) -> GuaranteeCheck {
    let (detail, violations) = match (&results.leaving_upstream, results.config_time) {
        (_, Some(time)) => (format!("in force everywhere after {time:.1?}"), Vec::new()),
        (None, None) => ("not played with this document".to_owned(), Vec::new()),
        (Some(_), None) => (String::new(), vec!["not in force within 14 s".to_owned()]),
    };
    GuaranteeCheck {
        text: "an accepted configuration is in force everywhere",
        detail,
        violations,
    }
}

fn check_outage(outage: &[CallRecord]) -> GuaranteeCheck {
    let is_order = |record: &&CallRecord| record.spec.kind == CallKind::Order;
    let orders: Vec<_> = outage.iter().filter(is_order).collect();
    let refused = |record: &&&CallRecord| {
        matches!(record.final_result(), Some(CallResult::Refused { code, run })
            if code == "platform_unavailable" && run == "not_run")
    };
    let wrong = orders.iter().filter(|record| !refused(record));
    let mut violations: Vec<String> = wrong
        .map(|record| format!("{:?}", record.final_result()))
        .collect();
    let others = outage.iter().filter(|record| !is_order(record));
    let served = others
        .filter(|record| record.answered_tokens().is_some())
        .count();
    if served == 0 && !outage.is_empty() {
        violations.push("nothing was served without the platform".to_owned());
    }
    GuaranteeCheck {
        text: "an outage of the platform refuses orders only",
        detail: format!("{served} others answered, {} orders refused", orders.len()),
        violations,
    }
}
