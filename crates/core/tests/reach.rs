//! Instances that do not reach upstreams, and what they tell the peers of their domain.

use std::time::Duration;

use cornelarch_core::{
    base::{DomainName, MonotonicTime, ServiceName, UpstreamName},
    placement::{
        FlightOutcome, LoadFigures, Placement, PlacementKey, PlacementOptions, PlacementRequest,
        PlacementTable, RequestSize, UpstreamFailure, UpstreamRecord,
    },
};
use rstest::rstest;

/// Number of upstreams in each of the two domains.
const UPSTREAMS: u16 = 8;

fn at(millis: u64) -> MonotonicTime {
    MonotonicTime::from_millis(millis)
}

fn name(number: u16) -> UpstreamName {
    UpstreamName::new(&format!("u{number}"))
}

/// Creates the table of an instance in the first domain.
fn table() -> PlacementTable {
    let mut table = PlacementTable::new(PlacementOptions::new(DomainName::new("d0")));
    for number in 0..2 * UPSTREAMS {
        table.apply(UpstreamRecord {
            name: name(number),
            service: ServiceName::new("s"),
            address: ([127, 0, 0, 1], 1_000 + number).into(),
            domain: DomainName::new(&format!("d{}", number / UPSTREAMS)),
            slots: 6,
            is_leaving: false,
            started_unix_ms: Some(7),
        });
    }
    table
}

fn choose(table: &PlacementTable, excluded: &[PlacementKey], now: MonotonicTime) -> Placement {
    let request = PlacementRequest {
        service: &ServiceName::new("s"),
        excluded,
        size: &RequestSize::default(),
        memory_tokens: 0,
        latency_limit: Duration::from_secs(2),
    };
    table.choose(&request, now).expect("upstream")
}

/// Tries a connection to the upstreams of `numbers` in turn, from 0 ms on, every 10 ms. Returns how
/// many times the instance became strained.
fn connect(table: &mut PlacementTable, numbers: &[u16], tries: u16, has_failed: bool) -> usize {
    let keys = keys(table);
    let begun = (0..tries).filter(|count| {
        let number = numbers[usize::from(*count) % numbers.len()];
        let now = at(u64::from(*count) * 10);
        table.record_connection(keys[usize::from(number)], has_failed, now)
    });
    begun.count()
}

/// Returns the keys of all upstreams by number.
fn keys(table: &PlacementTable) -> Vec<PlacementKey> {
    let mut found = vec![PlacementKey::default(); usize::from(2 * UPSTREAMS)];
    let mut excluded = Vec::new();
    for _ in 0..2 * UPSTREAMS {
        let key = choose(table, &excluded, at(0)).key;
        excluded.push(key);
        let record = table.record(key).expect("record");
        let number: usize = record.name.as_str()[1..].parse().expect("number");
        found[number] = key;
    }
    found
}

/// Guards against an instance whose full link lets callers fail for as long as they come, although its
/// peers have room.
#[test]
fn instance_with_a_full_link_keeps_its_callers() {
    let mut table = table();
    assert_eq!(connect(&mut table, &[0, 1, 2, 3, 4, 5], 20, true), 1);
    assert!(table.is_strained(at(5_000)));
    assert!(!table.is_strained(at(60_000)));
}

/// Guards against an instance that returns too soon, to the same callers.
#[test]
fn instance_returns_to_the_callers_that_fill_its_link() {
    let mut table = table();
    let keys = keys(&table);
    let mut strained = |from_ms: u64| {
        (0..20).for_each(|count| {
            let key = keys[usize::from(count % UPSTREAMS)];
            table.record_connection(key, true, at(from_ms + u64::from(count)));
        });
        (0..600).find(|s| !table.is_strained(at(from_ms + 100 + s * 1_000)))
    };
    let first = strained(0).expect("end");
    let second = strained(60_000).expect("end");
    assert!(second > first * 3 / 2, "{first} s, then {second} s");
}

/// Guards against an instance that leaves although the cause lies with others.
#[rstest]
#[case::few_upstreams(&[0, 1, 2], true)]
#[case::other_domain(&[8, 9, 10, 11, 12, 13], true)]
#[case::no_failures(&[0, 1, 2, 3, 4, 5], false)]
fn instance_is_strained_by_others(#[case] numbers: &[u16], #[case] has_failed: bool) {
    let mut table = table();
    assert_eq!(connect(&mut table, numbers, 60, has_failed), 0);
    assert!(!table.is_strained(at(600)));
}

/// Guards against an outage of a quarter of the domain, at which most connections succeed.
#[test]
fn instance_is_strained_by_an_outage() {
    let mut table = table();
    let keys = keys(&table);
    for count in 0..200 {
        let number = count % usize::from(UPSTREAMS);
        let begun = table.record_connection(keys[number], number < 2, at(count as u64 * 10));
        assert!(!begun);
    }
}

/// Guards against upstreams that count as failed because the instance itself does not reach them.
#[test]
fn strained_instance_blames_its_upstreams() {
    let mut table = table();
    connect(&mut table, &[0, 1, 2, 3, 4, 5], 20, true);
    let mut names = std::collections::BTreeSet::new();
    for step in 0..40 {
        let now = at(1_000 + step * 10);
        let placement = choose(&table, &[], now);
        names.insert(placement.upstream.clone());
        let flight = table.start(&placement, &RequestSize::default(), false, now);
        table.finish(flight, FlightOutcome::NotReached, now);
    }
    assert_eq!(table.take_failures(at(1_400)), Vec::new());
    // An upstream that failed would be ejected and another one chosen, again and again.
    assert!(names.len() <= 12, "{names:?}");
}

/// Sends two calls for each upstream of the domain and returns how many went to the first one.
fn count_calls(table: &mut PlacementTable, now: MonotonicTime) -> usize {
    let calls = (0..2 * UPSTREAMS).filter(|call| {
        let now = now + Duration::from_millis(u64::from(*call));
        let placement = choose(table, &[], now);
        table.start(&placement, &RequestSize::default(), false, now);
        placement.upstream == name(0)
    });
    calls.count()
}

fn fail(table: &mut PlacementTable, end: FlightOutcome, now: MonotonicTime) -> UpstreamName {
    let placement = choose(table, &[], now);
    let flight = table.start(&placement, &RequestSize::default(), false, now);
    table.finish(flight, end, now);
    placement.upstream
}

/// Guards against each instance of a domain that sends a request to an upstream which has failed at a
/// peer.
#[rstest]
#[case::not_reached(FlightOutcome::NotReached)]
#[case::lost(FlightOutcome::Lost)]
#[case::timed_out(FlightOutcome::TimedOut)]
fn peer_discovers_a_failed_upstream_again(#[case] end: FlightOutcome) {
    let (mut first, mut second) = (table(), table());
    let failed = fail(&mut first, end, at(0));
    let told = first.take_failures(at(100));
    assert_eq!(told.len(), 1);
    assert_eq!(second.merge_failures(&told, at(100)), 1);
    for step in 0..200 {
        let placement = choose(&second, &[], at(100 + step));
        assert_ne!(placement.upstream, failed);
    }
    assert_eq!(first.take_failures(at(100)), Vec::new());
}

/// Guards against an upstream that stays avoided once peers have no more news of it.
#[test]
fn upstream_is_avoided_after_the_news_of_peers_has_ended() {
    let mut table = table();
    let failure = UpstreamFailure {
        upstream: name(0),
        started_unix_ms: Some(7),
        age: Duration::ZERO,
    };
    for step in 0..100 {
        table.merge_failures(std::slice::from_ref(&failure), at(step * 10));
    }
    assert_eq!(count_calls(&mut table.clone(), at(1_000)), 0);
    assert!(count_calls(&mut table, at(25_000)) > 0);
}

/// Guards against news of an earlier process, old news and news of unknown upstreams.
#[rstest]
#[case::earlier_process(name(0), Some(6), 0)]
#[case::old(name(0), Some(7), 2_000)]
#[case::unknown(UpstreamName::new("other"), Some(7), 0)]
fn outdated_failure_is_merged(
    #[case] upstream: UpstreamName,
    #[case] started_unix_ms: Option<u64>,
    #[case] age_ms: u64,
) {
    let failure = UpstreamFailure {
        upstream,
        started_unix_ms,
        age: Duration::from_millis(age_ms),
    };
    assert_eq!(table().merge_failures(&[failure], at(5_000)), 0);
}

/// Guards against news of an instance that fails everywhere, which would turn its peers away from sound
/// upstreams.
#[test]
fn doubtful_instance_spreads_its_failures() {
    let mut table = table();
    connect(&mut table, &[0, 1, 2, 3], 6, true);
    fail(&mut table, FlightOutcome::NotReached, at(100));
    assert_eq!(table.take_failures(at(100)), Vec::new());
}

/// Guards against calls to a machine that says that it is slow at this moment, and against avoiding it
/// for longer.
#[test]
fn slow_machine_is_chosen_while_it_is_slow() {
    let mut table = table();
    let key = keys(&table)[0];
    let placement = Placement {
        key,
        ..choose(&table, &[], at(0))
    };
    let flight = table.start(&placement, &RequestSize::default(), false, at(1_000));
    let figures = LoadFigures {
        running: 0,
        waiting: 0,
        slowness: Some(2.5),
    };
    table.report(flight, figures, at(1_000));
    table.finish(flight, FlightOutcome::Cancelled, at(1_000));
    assert_eq!(count_calls(&mut table.clone(), at(1_000)), 0);
    assert!(count_calls(&mut table, at(4_000)) > 0);
}
