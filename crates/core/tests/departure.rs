//! Upstreams that have left, in a state of the directory that is newer than the own one.

use std::time::Duration;

use cornelarch_core::{
    base::{DomainName, MonotonicTime, ServiceName, UpstreamName},
    placement::{
        PlacementOptions, PlacementRequest, PlacementTable, RequestSize, UpstreamDeparture,
        UpstreamRecord,
    },
};
use rstest::rstest;

/// Revision of the directory that has been read.
const READ: u64 = 10;

fn record(started_unix_ms: Option<u64>) -> UpstreamRecord {
    UpstreamRecord {
        name: UpstreamName::new("u1"),
        service: ServiceName::new("s"),
        address: ([127, 0, 0, 1], 1_000).into(),
        domain: DomainName::new("a"),
        slots: 6,
        is_leaving: false,
        started_unix_ms,
        cold: None,
    }
}

fn departure(revision: u64) -> UpstreamDeparture {
    UpstreamDeparture {
        upstream: UpstreamName::new("u1"),
        revision,
    }
}

fn empty_table() -> PlacementTable {
    PlacementTable::new(PlacementOptions::new(DomainName::new("a")))
}

/// Returns a table with one upstream from a directory at revision [`READ`].
fn table() -> PlacementTable {
    let mut table = empty_table();
    table.apply(record(Some(1)));
    table.confirm_directory(READ);
    table
}

/// Returns whether a request is placed at the upstream.
fn is_used(table: &PlacementTable) -> bool {
    let request = PlacementRequest {
        service: &ServiceName::new("s"),
        excluded: &[],
        homes: None,
        size: &RequestSize::default(),
        memory_tokens: 0,
        latency_limit: Duration::from_secs(2),
    };
    let placement = table.choose(&request, MonotonicTime::from_millis(1));
    placement.is_ok_and(|placement| table.accepts(placement.key, MonotonicTime::from_millis(1)))
}

/// Guards against an upstream that stays unused after the directory has been read in which it may
/// have come back, and against using it earlier.
#[test]
fn departed_upstream_is_used_before_the_directory_is_read() {
    let mut table = table();
    assert!(table.record_departure(&departure(READ + 5)));
    assert!(!is_used(&table));
    table.confirm_directory(READ + 4);
    assert!(!is_used(&table));
    table.confirm_directory(READ + 5);
    assert!(is_used(&table));
}

/// Guards against a late report that hides an upstream which has come back since.
#[rstest]
#[case::same(READ)]
#[case::older(READ - 1)]
fn late_report_hides_upstream(#[case] revision: u64) {
    let mut table = table();
    assert!(!table.record_departure(&departure(revision)));
    assert!(is_used(&table));
}

/// Guards against an older entry that makes a departed upstream usable: one that changes, one of
/// another incarnation, and one that is listed for the first time.
#[rstest]
#[case::changed(Some(1))]
#[case::restarted(Some(2))]
fn older_entry_makes_departed_upstream_usable(
    #[case] started: Option<u64>,
    #[values(true, false)] is_known: bool,
) {
    let mut table = if is_known { table() } else { empty_table() };
    table.record_departure(&departure(READ + 5));
    table.apply(record(started));
    table.confirm_directory(READ + 1);
    assert!(!is_used(&table));
    table.confirm_directory(READ + 6);
    assert!(is_used(&table));
}

/// Guards against a repeated or older report that ends the effect of a newer one.
#[test]
fn older_report_replaces_a_newer_one() {
    let mut table = table();
    assert!(table.record_departure(&departure(READ + 5)));
    assert!(!table.record_departure(&departure(READ + 5)));
    assert!(!table.record_departure(&departure(READ + 2)));
    table.confirm_directory(READ + 2);
    assert!(!is_used(&table));
}
