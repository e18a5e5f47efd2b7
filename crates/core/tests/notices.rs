//! Placement with what upstreams say about themselves in their responses.

use std::time::Duration;

use cornelarch_core::{
    base::{DomainName, MonotonicTime, ServiceName, UpstreamName},
    notice::{LimitNotice, UpstreamNotice},
    placement::{
        FlightKey, FlightOutcome, Placement, PlacementOptions, PlacementRefusal, PlacementRequest,
        PlacementTable, RequestSize, UpstreamRecord,
    },
};
use rstest::rstest;

const LEAVING: UpstreamNotice = UpstreamNotice {
    is_leaving: true,
    pause: None,
    limit: LimitNotice::None,
};

/// Returns the notice of an upstream that wants no requests for this time.
fn pause(duration: Duration) -> UpstreamNotice {
    UpstreamNotice {
        pause: Some(duration),
        ..UpstreamNotice::default()
    }
}

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
        cold: None,
    }
}

fn options() -> PlacementOptions {
    PlacementOptions::new(DomainName::new("a"))
}

/// Returns a table with one upstream.
fn table() -> PlacementTable {
    let mut table = PlacementTable::new(options());
    table.apply(record(1));
    table
}

fn choose(table: &PlacementTable, now: MonotonicTime) -> Result<Placement, PlacementRefusal> {
    let request = PlacementRequest {
        service: &ServiceName::new("s"),
        excluded: &[],
        homes: None,
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
    assert!(table.record_notice(answered, &LEAVING, at(1)).is_some());
    assert!(!table.accepts(waiting.key, at(1)));
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
    table.record_notice(flight, &LEAVING, at(1));
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
        table.record_notice(flight, &LEAVING, at(1));
    }
    if is_removed {
        table.remove(&UpstreamName::new("u"));
    }
    table.apply(record(2));
    if is_late {
        table.record_notice(flight, &LEAVING, at(1));
    }
    assert!(choose(&table, at(10)).is_ok());
}

/// Guards against a request that waits for a connection and is sent in a pause that began meanwhile.
#[test]
fn waiting_request_reaches_paused_upstream() {
    let mut table = table();
    let (waiting, _) = start(&mut table);
    let (_, refused) = start(&mut table);
    table.record_notice(refused, &pause(Duration::from_secs(2)), at(10));
    assert!(!table.accepts(waiting.key, at(2_009)));
    assert!(table.accepts(waiting.key, at(2_010)));
    let retry_after = Duration::from_millis(500);
    let refusal = PlacementRefusal::Withheld { retry_after };
    assert_eq!(choose(&table, at(1_510)), Err(refusal));
    assert!(choose(&table, at(2_010)).is_ok());
}

/// Guards against a pause that a later, shorter one, or a response without one, ends too early.
#[test]
fn later_response_shortens_a_pause() {
    let mut table = table();
    let (_, first) = start(&mut table);
    let (waiting, second) = start(&mut table);
    let news = table.record_notice(first, &pause(Duration::from_secs(5)), at(0));
    assert!(news.is_some());
    let news = table.record_notice(second, &pause(Duration::from_secs(1)), at(100));
    assert_eq!(news, None);
    let news = table.record_notice(second, &UpstreamNotice::default(), at(200));
    assert_eq!(news, None);
    assert!(!table.accepts(waiting.key, at(4_999)));
    assert!(table.accepts(waiting.key, at(5_000)));
}

/// Guards against an upstream that is unusable for good because of an absurd delay.
#[test]
fn endless_pause_makes_upstream_unusable() {
    let mut table = table();
    let (waiting, refused) = start(&mut table);
    table.record_notice(refused, &pause(Duration::MAX), at(0));
    let end = MonotonicTime::START + options().pause_max;
    assert!(table.accepts(waiting.key, end));
}

/// Guards against an upstream that stays paused after a restart under the same name.
#[test]
fn restarted_upstream_stays_paused() {
    let mut table = table();
    let (_, refused) = start(&mut table);
    table.record_notice(refused, &pause(Duration::from_secs(9)), at(0));
    table.apply(record(2));
    assert!(choose(&table, at(10)).is_ok());
}

/// Guards against requests that were not sent and count as failures of the upstream, which would be
/// ejected for longer than its pause.
#[test]
fn pause_ejects_upstream() {
    let mut table = table();
    let flights: Vec<FlightKey> = (0..6).map(|_| start(&mut table).1).collect();
    table.record_notice(flights[0], &pause(Duration::from_millis(100)), at(0));
    for flight in flights {
        table.finish(flight, FlightOutcome::NotSent, at(10));
    }
    table.apply(UpstreamRecord {
        name: UpstreamName::new("other"),
        address: ([127, 0, 0, 1], 1_001).into(),
        domain: DomainName::new("b"),
        ..record(1)
    });
    let chosen = choose(&table, at(100)).expect("upstreams are usable");
    assert_eq!(chosen.upstream, UpstreamName::new("u"));
}

/// Guards against a limit that ends the process, because it is absurdly large or small.
#[rstest]
fn absurd_limit_stops_the_process(#[values(0.0, 1e-300, 1e9, 1e300, f64::MAX)] rate: f64) {
    let mut table = table();
    for (sent, instances) in [(0, 100_000), (1, 1)] {
        table.set_instances(instances);
        let Ok(placement) = choose(&table, at(sent)) else {
            continue;
        };
        let flight = table.start(&placement, &RequestSize::default(), false, at(sent));
        let notice = UpstreamNotice {
            limit: LimitNotice::Rate(rate),
            ..UpstreamNotice::default()
        };
        table.record_notice(flight, &notice, at(sent));
        let _ = choose(&table, at(60_000));
    }
}
