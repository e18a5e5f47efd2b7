//! The catalogue of log events.

use cornelarch_gateway::LogEvent;

/// Guards against events in the log that the page does not list, and the other way round.
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
