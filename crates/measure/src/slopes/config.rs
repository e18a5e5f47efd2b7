//! Memory and CPU cost of the active configuration document.

use std::{fmt::Write, hint::black_box, time::Instant};

use cornelarch_core::config::Document;

use super::{SlopeRow, memory::measure_growth};

/// Number of budgets at a tenth of the target size and at the target size.
const BUDGET_COUNTS: [u32; 2] = [10_000, 100_000];
/// Budgets per customer at target size.
const BUDGETS_PER_CUSTOMER: u32 = 15;

/// Measures text size, memory and parse time of a document per budget.
pub(super) fn measure() -> Vec<SlopeRow> {
    let texts = BUDGET_COUNTS.map(build_text);
    let bytes = [texts[0].len() as f64, texts[1].len() as f64];
    let time = [measure_parse(&texts[0]), measure_parse(&texts[1])];
    let memory = [measure_memory(&texts[0]), measure_memory(&texts[1])];
    let row = |name, unit, costs: [f64; 2]| SlopeRow {
        name,
        unit,
        small: (f64::from(BUDGET_COUNTS[0]), costs[0]),
        large: (f64::from(BUDGET_COUNTS[1]), costs[1]),
    };
    vec![
        row(
            "document text, 1 customer per 15 budgets",
            "bytes/budget",
            bytes,
        ),
        row(
            "document memory, 1 customer per 15 budgets",
            "bytes/budget",
            memory,
        ),
        row("document parse", "us/budget", time),
    ]
}

fn build_text(budgets: u32) -> String {
    let mut text = String::from(
        "[environment]\nname = production\n\n[model small]\nmax_tokens_limit = 2000\n\n\
         [upstream engine-1]\nkind = engine\naddress = 127.0.0.1:9001\ndomain = north\n\
         models = small\n\n",
    );
    for budget in 0..budgets {
        let written = writeln!(text, "[budget budget-{budget:06}]\npaid = 1000000\n");
        debug_assert!(written.is_ok());
    }
    for customer in 0..budgets / BUDGETS_PER_CUSTOMER {
        let budget = customer * BUDGETS_PER_CUSTOMER;
        let written = writeln!(
            text,
            "[customer customer-{customer:05}]\nkey_sha256 = {customer:064x}\n\
             budget = budget-{budget:06}\nmodels = small\n"
        );
        debug_assert!(written.is_ok());
    }
    text
}

fn parse(text: &str) -> Document {
    Document::parse(text).expect("the generated document is valid")
}

fn measure_memory(text: &str) -> f64 {
    measure_growth(|| parse(text))
}

fn measure_parse(text: &str) -> f64 {
    let start = Instant::now();
    black_box(parse(text));
    start.elapsed().as_micros() as f64
}
