//! Checks of the guarantees against what customers, stand-ins and the ledger saw.

use std::collections::BTreeMap;

use cornelarch_core::{
    base::{BudgetName, TokenCount},
    budget::BudgetTotals,
};
use snafu::Whatever;

use crate::demo::{
    call::{CallKind, CallRecord, CallResult, item_path},
    script::{DemoJournal, ProbeRecord},
    seed::read_totals,
    world::DemoWorld,
};

/// Tells whether a guarantee was kept.
pub(crate) struct PromiseCheck {
    /// The guarantee in short.
    pub(crate) text: &'static str,
    /// What was counted.
    pub(crate) detail: String,
    /// The first few violations; none if the guarantee was kept.
    pub(crate) broken: Vec<String>,
}

/// Describes a budget at the end.
pub(crate) struct BudgetLine {
    pub(crate) budget: BudgetName,
    pub(crate) totals: BudgetTotals,
    /// The tokens spent at ended routers that the platform does not know, part of `held`.
    pub(crate) unreported: u64,
    /// The tokens whose report to the platform or to a peer was under way when a router ended;
    /// the receiver may or may not have counted them.
    pub(crate) uncertain: u64,
    /// The sum of the usage that answers reported.
    pub(crate) reported: u64,
    /// The highest amount that broken calls may have been billed on top.
    pub(crate) slack: u64,
}

/// Counts what the stand-ins ran.
struct RunCounts {
    prompts: BTreeMap<String, u64>,
    lookups: BTreeMap<String, u64>,
    orders: BTreeMap<String, u64>,
}

impl RunCounts {
    fn collect(world: &DemoWorld) -> Self {
        let mut counts = Self {
            prompts: BTreeMap::new(),
            lookups: BTreeMap::new(),
            orders: BTreeMap::new(),
        };
        for engine in world.engines.values() {
            add_counts(&mut counts.prompts, engine.runs());
        }
        for service in world.services.values() {
            add_counts(&mut counts.lookups, service.lookups());
            add_counts(&mut counts.orders, service.executions());
        }
        counts
    }

    fn of(&self, record: &CallRecord) -> u64 {
        let text = &record.spec.text;
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

/// Compares the ledger with the usage that the answers reported.
///
/// # Errors
///
/// Returns an error if the ledger cannot be read.
pub(crate) async fn read_budgets(
    world: &DemoWorld,
    journal: &DemoJournal,
) -> Result<Vec<BudgetLine>, Whatever> {
    let counts = RunCounts::collect(world);
    let mut lines = Vec::new();
    for budget in world.document.budgets.keys() {
        let totals = read_totals(&world.store, &world.document, budget).await?;
        let records = journal.records.iter();
        let records: Vec<_> = records
            .filter(|record| record.spec.budget == *budget)
            .collect();
        let (unreported, uncertain) = count_unreported(world, budget);
        lines.push(BudgetLine {
            budget: budget.clone(),
            totals,
            unreported,
            uncertain,
            reported: count_reported(&records, &counts),
            slack: count_slack(&records),
        });
    }
    Ok(lines)
}

/// Returns what ended routers spent without a report, and what they were reporting.
fn count_unreported(world: &DemoWorld, budget: &BudgetName) -> (u64, u64) {
    let ledgers = world
        .nodes
        .iter()
        .filter_map(|node| node.last_ledger.as_ref());
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

/// Returns the sum of the reported usage. Orders count as often as they ran, because a repeat
/// returns the stored answer and is not billed.
fn count_reported(records: &[&CallRecord], counts: &RunCounts) -> u64 {
    let mut reported = 0;
    let mut orders = BTreeMap::new();
    for record in records {
        match record.spec.kind {
            CallKind::Order => {
                orders.insert(&record.spec.text, counts.of(record) * record.spec.cost);
            }
            CallKind::Chat | CallKind::Stream | CallKind::Lookup => {
                reported += record.answered().unwrap_or(0);
            }
        }
    }
    reported + orders.values().sum::<u64>()
}

/// Returns what attempts without a complete answer may have been billed.
fn count_slack(records: &[&CallRecord]) -> u64 {
    let mut slack = 0;
    for record in records {
        let unclear = record.attempts.iter().filter(|(_, result)| match result {
            CallResult::Broken { sent } => *sent,
            CallResult::Refused { run, .. } => run != "not_run",
            CallResult::Answered { .. } => false,
        });
        slack += unclear.count() as u64 * record.spec.highest_cost();
    }
    slack
}

/// Checks every guarantee.
pub(crate) fn check_promises(
    world: &DemoWorld,
    journal: &DemoJournal,
    budgets: &[BudgetLine],
) -> Vec<PromiseCheck> {
    let counts = RunCounts::collect(world);
    vec![
        check_budgets(budgets),
        check_billing(budgets),
        check_answers(&journal.records),
        check_refusals(journal, &counts),
        check_probes(&journal.probes, &counts),
        check_orders(&journal.records, &counts),
        check_leaving(journal),
        check_drain(journal),
        check_config(journal),
        check_outage(&journal.outage),
    ]
}

fn check_budgets(budgets: &[BudgetLine]) -> PromiseCheck {
    let broken = budgets.iter().filter_map(|line| {
        let totals = &line.totals;
        let sum = totals.spent.get() + totals.held.get() + totals.available.get();
        let spent = totals.spent.get() + line.unreported;
        let balanced = sum == totals.paid.get() && spent <= totals.paid.get();
        (!balanced).then(|| format!("{}: {totals:?}, spent {spent}", line.budget))
    });
    PromiseCheck {
        text: "spent <= paid = spent + held + available",
        detail: format!("{} budgets", budgets.len()),
        broken: broken.collect(),
    }
}

fn check_billing(budgets: &[BudgetLine]) -> PromiseCheck {
    let broken = budgets.iter().filter_map(|line| {
        let billed = line.totals.spent.get() + line.unreported;
        let most = billed + line.uncertain;
        let (low, high) = (line.reported, line.reported + line.slack);
        let text = || {
            format!(
                "{}: {billed} to {most}, reported {low} to {high}",
                line.budget
            )
        };
        (billed > high || most < low).then(text)
    });
    let slack: u64 = budgets.iter().map(|line| line.slack).sum();
    let reported: u64 = budgets.iter().map(|line| line.reported).sum();
    PromiseCheck {
        text: "each request billed once, as reported",
        detail: format!("{reported} tokens, {slack} unclear at most"),
        broken: broken.collect(),
    }
}

fn check_answers(records: &[CallRecord]) -> PromiseCheck {
    let wrong = |record: &&CallRecord| {
        let mut results = record.attempts.iter();
        results.any(|(_, result)| matches!(result, CallResult::Answered { matches: false, .. }))
    };
    let answers = records.iter().filter(|it| it.answered().is_some()).count();
    PromiseCheck {
        text: "every answer is complete and the caller's own",
        detail: format!("{answers} answers compared"),
        broken: records
            .iter()
            .filter(wrong)
            .map(|it| it.spec.text.clone())
            .collect(),
    }
}

fn check_refusals(journal: &DemoJournal, counts: &RunCounts) -> PromiseCheck {
    let refused: Vec<_> = journal
        .records
        .iter()
        .filter(|it| it.is_not_run())
        .collect();
    // A repeat of an order that was run may itself be refused as not run.
    let alone = |record: &&&CallRecord| {
        let mut records = journal.records.iter();
        !records.any(|other| other.spec.text == record.spec.text && !other.is_not_run())
    };
    let broken = refused
        .iter()
        .filter(alone)
        .filter(|record| counts.of(record) > 0);
    PromiseCheck {
        text: "what was refused as not run, was not run",
        detail: format!("{} refused calls", refused.len()),
        broken: broken.map(|record| record.spec.text.clone()).collect(),
    }
}

fn check_probes(probes: &[ProbeRecord], counts: &RunCounts) -> PromiseCheck {
    let broken = probes.iter().filter_map(|probe| {
        let code = match &probe.result {
            CallResult::Refused { code, run } if run == "not_run" => code.as_str(),
            _ => "none",
        };
        let run =
            counts.prompts.contains_key(&probe.text) || counts.orders.contains_key(&probe.text);
        let kept = code == probe.expected && !run;
        (!kept).then(|| format!("{}: {:?}", probe.name, probe.result))
    });
    PromiseCheck {
        text: "bad requests get their refusal and are not run",
        detail: format!("{} requests", probes.len()),
        broken: broken.collect(),
    }
}

fn check_orders(records: &[CallRecord], counts: &RunCounts) -> PromiseCheck {
    let mut broken: Vec<String> = Vec::new();
    let mut repeats = 0;
    let mut seen = BTreeMap::new();
    for record in records.iter().filter(|it| it.spec.kind == CallKind::Order) {
        let runs = counts.of(record);
        let earlier = seen.insert(&record.spec.text, runs);
        repeats += u64::from(earlier.is_some());
        if runs > 1 || (runs == 0 && record.answered().is_some()) {
            broken.push(format!("{} ran {runs} times", record.spec.text));
        }
    }
    PromiseCheck {
        text: "every order ran at most once",
        detail: format!("{} orders, {repeats} repeated", seen.len()),
        broken,
    }
}

fn check_leaving(journal: &DemoJournal) -> PromiseCheck {
    let (detail, broken) = match &journal.leaving {
        Some((name, 0)) => (format!("{name} got nothing after 2 s"), Vec::new()),
        Some((name, count)) => (String::new(), vec![format!("{name} got {count} requests")]),
        None => ("not played with this document".to_owned(), Vec::new()),
    };
    PromiseCheck {
        text: "a leaving upstream gets no new work",
        detail,
        broken,
    }
}

fn check_drain(journal: &DemoJournal) -> PromiseCheck {
    let attempts = journal.records.iter().flat_map(|record| {
        let attempts = record.attempts.iter();
        attempts.map(move |(router, result)| (record, *router, result))
    });
    let drained = attempts.filter(|(_, router, _)| Some(*router) == journal.drained);
    let broken = drained.filter(|(_, _, result)| **result == CallResult::Broken { sent: true });
    PromiseCheck {
        text: "a planned stop interrupts nothing",
        detail: match journal.drained {
            Some(_) => "1 router drained under load".to_owned(),
            None => "no router drained".to_owned(),
        },
        broken: broken
            .map(|(record, _, _)| record.spec.text.clone())
            .collect(),
    }
}

fn check_config(journal: &DemoJournal) -> PromiseCheck {
    let (detail, broken) = match (&journal.leaving, journal.config_time) {
        (_, Some(time)) => (format!("in force everywhere after {time:.1?}"), Vec::new()),
        (None, None) => ("not played with this document".to_owned(), Vec::new()),
        (Some(_), None) => (String::new(), vec!["not in force within 14 s".to_owned()]),
    };
    PromiseCheck {
        text: "an accepted configuration is in force everywhere",
        detail,
        broken,
    }
}

fn check_outage(outage: &[CallRecord]) -> PromiseCheck {
    let is_order = |record: &&CallRecord| record.spec.kind == CallKind::Order;
    let orders: Vec<_> = outage.iter().filter(is_order).collect();
    let refused = |record: &&&CallRecord| {
        matches!(record.last(), Some(CallResult::Refused { code, run })
            if code == "platform_unavailable" && run == "not_run")
    };
    let wrong = orders.iter().filter(|record| !refused(record));
    let mut broken: Vec<String> = wrong.map(|record| format!("{:?}", record.last())).collect();
    let others = outage.iter().filter(|record| !is_order(record));
    let served = others.filter(|record| record.answered().is_some()).count();
    if served == 0 && !outage.is_empty() {
        broken.push("nothing was served without the platform".to_owned());
    }
    PromiseCheck {
        text: "an outage of the platform refuses orders only",
        detail: format!("{served} others answered, {} orders refused", orders.len()),
        broken,
    }
}
