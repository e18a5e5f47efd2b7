//! Placement with what upstreams say about themselves in their responses.

use std::time::Duration;

use cornelarch_core::{
    base::{DomainName, MonotonicTime, ServiceName, UpstreamName},
    notice::UpstreamNotice,
    placement::{
        FlightKey, FlightOutcome, Placement, PlacementOptions, PlacementRefusal, PlacementRequest,
        PlacementTable, RequestSize, UpstreamRecord,
    },
};
use rstest::rstest;

const LEAVING: UpstreamNotice = UpstreamNotice {
    is_leaving: true,
    pause: None,
};

fn at(millis: u64) -> MonotonicTime {
    MonotonicTime::from_millis(millis)
}

/// Returns the directory entry of the incarnation that started at this time.
fn record(started_unix_ms: u64) -> UpstreamRecord {
    UpstreamRecord {
        name: UpstreamName::new("u"),
        service: ServiceName::new("s"),
        address: ([127, 0, 0, 1], 1_000).into(),
        domain: DomainName::new("a"),
        slots: 6,
        is_leaving: false,
        started_unix_ms: Some(started_unix_ms),
    }
}

/// Returns a table with one upstream.
fn table() -> PlacementTable {
    let mut table = PlacementTable::new(PlacementOptions::new(DomainName::new("a")));
    table.apply(record(1));
    table
}

fn choose(table: &PlacementTable, now: MonotonicTime) -> Result<Placement, PlacementRefusal> {
    let request = PlacementRequest {
        service: &ServiceName::new("s"),
        excluded: &[],
        size: &RequestSize::default(),
        memory_tokens: 0,
        latency_limit: Duration::from_secs(1),
    };
    table.choose(&request, now)
}

fn start(table: &mut PlacementTable) -> (Placement, FlightKey) {
    let placement = choose(table, at(0)).expect("upstream is usable");
    let flight = table.start(&placement, &RequestSize::default(), false, at(0));
    (placement, flight)
}

/// Guards against a request that waits for a connection and is sent although its upstream has
/// announced its shutdown meanwhile.
#[test]
fn waiting_request_reaches_leaving_upstream() {
    let mut table = table();
    let (waiting, _) = start(&mut table);
    let (_, answered) = start(&mut table);
    assert!(table.record_notice(answered, &LEAVING));
    assert!(!table.is_listed(waiting.key));
    assert_eq!(choose(&table, at(1)), Err(PlacementRefusal::NoUpstream));
}

/// Guards against an announcement that is lost because the directory entry lapses, before or after
/// the response with it.
#[rstest]
#[case::before_the_response(true, false)]
#[case::while_it_is_read(false, false)]
#[case::after_it(false, true)]
fn lapsed_entry_makes_a_leaving_upstream_usable(
    #[case] is_removed_first: bool,
    #[case] is_finished_first: bool,
) {
    let mut table = table();
    let (_, flight) = start(&mut table);
    if is_removed_first {
        table.remove(&UpstreamName::new("u"));
    }
    table.record_notice(flight, &LEAVING);
    if is_finished_first {
        table.finish(flight, FlightOutcome::Answered, at(5));
    }
    table.remove(&UpstreamName::new("u"));
    table.apply(record(1));
    assert_eq!(choose(&table, at(10)), Err(PlacementRefusal::NoUpstream));
    table.finish(flight, FlightOutcome::Answered, at(15));
    assert_eq!(choose(&table, at(20)), Err(PlacementRefusal::NoUpstream));
    assert_eq!(table.listed_count(), 0);
}

/// Guards against an upstream that stays unused after a restart under the same name, also if a late
/// response of the earlier incarnation arrives after it.
#[rstest]
fn restarted_upstream_is_taken_for_leaving(
    #[values(false, true)] is_late: bool,
    #[values(false, true)] is_removed: bool,
) {
    let mut table = table();
    let (_, flight) = start(&mut table);
    if !is_late {
        table.record_notice(flight, &LEAVING);
    }
    if is_removed {
        table.remove(&UpstreamName::new("u"));
    }
    table.apply(record(2));
    if is_late {
        table.record_notice(flight, &LEAVING);
    }
    assert!(choose(&table, at(10)).is_ok());
}
