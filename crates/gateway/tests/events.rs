//! Consistency of the log events with their documentation.

use cornelarch_gateway::LogEvent;

/// Guards against log events that the documentation page lacks, and against listed events that do
/// not exist.
#[test]
fn page_lists_every_event() {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/events.md");
    let page = std::fs::read_to_string(path).expect("page");
    let rows: Vec<&str> = page
        .lines()
        .filter(|line| line.starts_with("| E2"))
        .collect();
    assert_eq!(rows.len(), LogEvent::ALL.len());
    for (row, event) in rows.iter().zip(LogEvent::ALL) {
        let start = format!(
            "| E{} | {} | {} |",
            event.number(),
            event.level(),
            event.text()
        );
        assert!(row.starts_with(&start), "{row} does not begin with {start}");
    }
}
