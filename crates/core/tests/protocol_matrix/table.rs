//! The generated rows of `docs/fault-matrix.md`.

use std::{fmt::Debug, fs, path::Path};

use crate::{BudgetStep, Fault, OrderStep, budget_exclusion, order_exclusion};

/// If this variable is set, the test regenerates the rows of the page.
const WRITE_VARIABLE: &str = "CORNELARCH_WRITE_FAULT_MATRIX";
const PAGE: &str = include_str!("../../../../docs/fault-matrix.md");
const START: &str = "<!-- generated rows -->\n\n";
const END: &str = "\n<!-- end of generated rows -->";

fn render() -> String {
    let mut rows = "| protocol | step | fault | what happens | test | result |\n".to_owned();
    rows += "|---|---|---|---|---|---|\n";
    for step in BudgetStep::ALL {
        for (fault, effect, _) in Fault::ALL {
            rows += &render_row(
                "budget",
                *step,
                *fault,
                effect,
                budget_exclusion(step.0, *fault),
            );
        }
    }
    for step in OrderStep::ALL {
        for (fault, _, effect) in Fault::ALL {
            rows += &render_row(
                "order",
                *step,
                *fault,
                effect,
                order_exclusion(step.0, *fault),
            );
        }
    }
    rows
}

fn render_row<S: Debug>(
    protocol: &str,
    (step, test, guard): (S, &str, &str),
    fault: Fault,
    effect: &str,
    exclusion: Option<&str>,
) -> String {
    let cell = format!("| {protocol} | {step:?} | {fault:?} |");
    match exclusion {
        Some(reason) => format!("{cell} {reason} | none | cannot occur |\n"),
        None => format!("{cell} {effect}; guards against {guard} | `{test}` | holds |\n"),
    }
}

/// Guards against a page that does not match the cells that the tests run.
#[test]
fn page_lists_every_cell() {
    let (rows, (head, rest)) = (
        render(),
        PAGE.split_once(START).expect("page has the start marker"),
    );
    let (listed, tail) = rest.split_once(END).expect("page has the end marker");
    let count = |result| rows.lines().filter(|line| line.ends_with(result)).count();
    println!(
        "{} cells hold, {} cannot occur",
        count("| holds |"),
        count("| cannot occur |")
    );
    if std::env::var_os(WRITE_VARIABLE).is_some() {
        let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/fault-matrix.md");
        fs::write(path, [head, START, &rows, END, tail].concat()).expect("page is writable");
    } else {
        assert!(
            listed == rows,
            "rows are out of date: run with {WRITE_VARIABLE}=1"
        );
    }
}
