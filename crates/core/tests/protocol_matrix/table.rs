//! The table of all cells in `docs/fault-matrix.md`.

use std::{fmt::Write as _, fs, path::Path};

use crate::{
    BudgetStep, Fault, OrderStep,
    cell::{budget_effect, budget_gap, budget_guard, order_effect, order_gap, order_guard},
};

/// Set to any value, it makes the test write the page anew.
const WRITE_VARIABLE: &str = "CORNELARCH_WRITE_FAULT_MATRIX";
const PAGE: &str = include_str!("../../../../docs/fault-matrix.md");
const INTRODUCTION: &str = include_str!("introduction.md");

const REQUEST_STEPS: [(&str, &str); 6] = [
    ("Queued", "the request waits for a free upstream"),
    ("Selected", "an upstream is selected, nothing is sent"),
    ("Sent", "the request is sent, no chunk has arrived"),
    ("Streaming", "some chunks have arrived"),
    ("LastChunk", "all chunks but the last have arrived"),
    ("Settled", "the answer is complete and settled"),
];

const UPSTREAM_FAULTS: [(&str, &str); 10] = [
    (
        "ConnectionRefused",
        "another upstream runs it if it was not sent, otherwise `upstream_lost`",
    ),
    (
        "ResetBeforeFirst",
        "repeated or resumed if allowed, otherwise `upstream_lost`",
    ),
    (
        "ResetMidStream",
        "resumed if allowed, otherwise `upstream_lost`",
    ),
    (
        "Timeout",
        "repeated or resumed if allowed, otherwise `upstream_timeout`",
    ),
    (
        "LateAnswer",
        "as after a timeout; late chunks of the old attempt are dropped",
    ),
    ("DuplicatedChunk", "each chunk is delivered once"),
    ("ReorderedChunk", "chunks are delivered in order"),
    (
        "OverloadRefusal",
        "another upstream runs it if no chunk came, otherwise as after a reset",
    ),
    (
        "CrashByRequest",
        "at most two upstreams are lost, then the request is blocked",
    ),
    (
        "Leaving",
        "a leaving upstream gets no new work; running requests end",
    ),
];

fn render() -> String {
    let mut page = INTRODUCTION.to_owned();
    page.push_str("\n| protocol | step | fault | what happens | test | result |\n");
    page.push_str("|---|---|---|---|---|---|\n");
    for step in BudgetStep::ALL.iter().copied() {
        for fault in Fault::ALL.iter().copied() {
            let names = format!("budget | {step:?} | {fault:?}");
            let text = (budget_effect(fault), budget_guard(step));
            write_row(
                &mut page,
                &names,
                text,
                step.test_name(),
                budget_gap(step, fault),
            );
        }
    }
    for step in OrderStep::ALL.iter().copied() {
        for fault in Fault::ALL.iter().copied() {
            let names = format!("order | {step:?} | {fault:?}");
            let text = (order_effect(fault), order_guard(step));
            write_row(
                &mut page,
                &names,
                text,
                step.test_name(),
                order_gap(step, fault),
            );
        }
    }
    for (fault, effect) in UPSTREAM_FAULTS {
        for (step, meaning) in REQUEST_STEPS {
            let text = match step {
                "Settled" => "the caller has the whole answer",
                _ => effect,
            };
            let test = format!("`fault_matrix` `{fault}::{step}`");
            let _ = writeln!(
                page,
                "| upstream | {step} ({meaning}) | {fault} | {text} | {test} | holds in 12 variants |"
            );
        }
    }
    page
}

fn write_row(
    page: &mut String,
    names: &str,
    (effect, guard): (&str, &str),
    test: &str,
    gap: Option<&str>,
) {
    let row = match gap {
        Some(reason) => format!("| {names} | {reason} | none | cannot occur |\n"),
        None => {
            format!("| {names} | {effect}; guards against {guard} | `{test}` | holds |\n")
        }
    };
    page.push_str(&row);
}

/// Guards against a page that differs from the cells that the tests run.
#[test]
fn page_lists_every_cell() {
    let page = render();
    if std::env::var_os(WRITE_VARIABLE).is_some() {
        let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/fault-matrix.md");
        return fs::write(path, page).expect("page is writable");
    }
    let rows = |kind: &str| page.lines().filter(|line| line.ends_with(kind)).count();
    println!(
        "{} cells hold, {} cannot occur",
        rows("| holds |"),
        rows("| cannot occur |")
    );
    assert!(
        page == PAGE,
        "docs/fault-matrix.md is out of date: run the test with {WRITE_VARIABLE}=1"
    );
}
