//! Processor time to apply a delta and memory of a document.

use std::{fs, hint::black_box, time::Instant};

use cornelarch_core::{
    base::MonotonicTime,
    config::{ConfigEvent, ConfigOptions, ConfigState, Delta, Document, HeadObject},
};

use crate::config::document::{build_document, build_text, change_budget, change_customer};

/// Number of deltas measured per document.
const DELTA_COUNT: u64 = 50;
/// Size of a memory page, in bytes.
const PAGE_BYTES: u64 = 4_096;
/// Total number of budgets in the copies of a document, large enough for resident memory to
/// resolve the size of small documents.
const BUDGETS_PER_SAMPLE: usize = 200_000;

/// Measured cost of one document.
#[derive(Debug)]
pub(super) struct DocumentCost {
    pub(super) budgets: usize,
    pub(super) text_bytes: usize,
    pub(super) parse_ms: f64,
    pub(super) memory_bytes: u64,
    pub(super) customer_delta_us: f64,
    pub(super) budget_delta_us: f64,
}

/// Measures a document with `budgets` budgets.
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

/// Returns the resident memory of one document, in bytes.
///
/// Compares the resident memory before and after a second, equal set of copies, so that memory
/// which the allocator retains from parsing is included in both readings.
fn measure_memory(budgets: usize) -> u64 {
    let copies = (BUDGETS_PER_SAMPLE / budgets).max(2);
    let baseline_copies: Vec<Document> = (0..copies).map(|_| build_document(budgets)).collect();
    let before = resident_bytes();
    let measured_copies: Vec<Document> = (0..copies).map(|_| build_document(budgets)).collect();
    let after = resident_bytes();
    // Leaks the copies, because freed memory would be reused and hide that of the next document.
    std::mem::forget((baseline_copies, measured_copies));
    after.saturating_sub(before) / copies as u64
}

/// Returns the mean time from reading a head with a new delta to activating the document, in
/// microseconds.
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
    for number in 1..=DELTA_COUNT {
        head = head.with_delta(change(number));
        object_version += 1;
        let event = read(&head, object_version);
        let start = Instant::now();
        let effects = state.handle(event, now);
        total += start.elapsed().as_secs_f64();
        black_box(effects);
    }
    assert_eq!(state.version(), DELTA_COUNT + 1, "every delta is active");
    total * 1e6 / DELTA_COUNT as f64
}
