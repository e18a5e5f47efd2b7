//! CPU time of a delta and memory of a document.

use std::{fs, hint::black_box, time::Instant};

use cornelarch_core::{
    base::MonotonicTime,
    config::{ConfigEvent, ConfigOptions, ConfigState, Delta, Document, HeadObject},
};

use crate::config::document::{build_document, build_text, change_budget, change_customer};

/// Deltas that are measured per document.
const DELTAS: u64 = 50;
/// Size of a memory page, in bytes.
const PAGE_BYTES: u64 = 4_096;
/// Budgets that all copies of a document have together, so that memory is measurable.
const BUDGETS_IN_COPIES: usize = 200_000;

/// Costs of one document.
#[derive(Debug)]
pub(super) struct DocumentCost {
    pub(super) budgets: usize,
    pub(super) text_bytes: usize,
    pub(super) parse_ms: f64,
    pub(super) memory_bytes: u64,
    pub(super) customer_delta_us: f64,
    pub(super) budget_delta_us: f64,
}

/// Measures a document with this number of budgets.
///
/// # Panics
///
/// Panics if the generated document or a change is not valid.
pub(super) fn measure(budgets: usize) -> DocumentCost {
    let text = build_text(budgets);
    let memory_bytes = measure_memory(budgets);
    let start = Instant::now();
    black_box(Document::parse(&text).expect("generated document is valid"));
    let parse_ms = start.elapsed().as_secs_f64() * 1e3;
    DocumentCost {
        budgets,
        text_bytes: text.len(),
        parse_ms,
        memory_bytes,
        customer_delta_us: measure_delta(&text, change_customer),
        budget_delta_us: measure_delta(&text, change_budget),
    }
}

/// Returns the resident memory of this process, in bytes.
fn resident_bytes() -> u64 {
    let text = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text
        .split_whitespace()
        .nth(1)
        .and_then(|word| word.parse::<u64>().ok());
    pages.unwrap_or(0) * PAGE_BYTES
}

/// Compares the resident memory with some copies and with twice as many, so that memory that the
/// allocator keeps from parsing is in both.
fn measure_memory(budgets: usize) -> u64 {
    let copies = (BUDGETS_IN_COPIES / budgets).max(2);
    let first: Vec<Document> = (0..copies).map(|_| build_document(budgets)).collect();
    let before = resident_bytes();
    let second: Vec<Document> = (0..copies).map(|_| build_document(budgets)).collect();
    let after = resident_bytes();
    // The copies are kept, because freed memory would hide that of the next document.
    std::mem::forget((first, second));
    after.saturating_sub(before) / copies as u64
}

/// Returns the mean time of a delta from the head to the document in force, in microseconds.
fn measure_delta(text: &str, change: fn(u64) -> Delta) -> f64 {
    let now = MonotonicTime::START;
    let options = ConfigOptions::default();
    let mut state = ConfigState::new("production".into(), "router".into(), options, now);
    let mut head = HeadObject::initial(change(0), 1);
    let mut object_version = 1;
    let read = |head: &HeadObject, object_version| ConfigEvent::HeadRead {
        object_version,
        head: head.clone(),
    };
    let _ = state.handle(read(&head, object_version), now);
    let base_id = head.base_id.clone();
    let text = text.to_owned();
    let _ = state.handle(ConfigEvent::BaseRead { base_id, text }, now);
    let mut total = 0.0;
    for number in 1..=DELTAS {
        head = head.with_delta(change(number));
        object_version += 1;
        let event = read(&head, object_version);
        let start = Instant::now();
        let effects = state.handle(event, now);
        total += start.elapsed().as_secs_f64();
        black_box(effects);
    }
    assert_eq!(state.version(), DELTAS + 1, "every delta is in force");
    total * 1e6 / DELTAS as f64
}
