//! Tests of request placement, one per load pattern.

use std::time::Duration;

use cornelarch_core::{
    base::{DomainName, MonotonicTime, ServiceName, UpstreamName},
    placement::{
        FlightKey, FlightOutcome, Placement, PlacementOptions, PlacementRefusal, PlacementRequest,
        PlacementTable, PromptPart, RequestSize, UpstreamRecord,
    },
};
use rstest::rstest;

/// Memory of one engine in tokens.
const MEMORY: u64 = 400_000;

fn at(millis: u64) -> MonotonicTime {
    MonotonicTime::from_millis(millis)
}

fn record(number: u16) -> UpstreamRecord {
    UpstreamRecord {
        name: UpstreamName::new(&format!("u{number}")),
        service: ServiceName::new("s"),
        address: ([127, 0, 0, 1], 1_000 + number).into(),
        domain: DomainName::new("a"),
        slots: 6,
        is_leaving: false,
        started_unix_ms: None,
        cold: None,
    }
}

fn table(count: u16) -> PlacementTable {
    let mut table = PlacementTable::new(PlacementOptions::new(DomainName::new("a")));
    (0..count).for_each(|number| table.apply(record(number)));
    table
}

/// Returns a prompt with a part shared by all sessions, one of its session and one of its own.
fn prompt(session: u64, request: u64) -> RequestSize {
    let part = |digest, tokens| PromptPart { digest, tokens };
    RequestSize {
        prompt_tokens: 9_000,
        answer_tokens: 100,
        parts: vec![
            part(1, 2_500),
            part(1_000 + session, 3_800),
            part(request, 2_700),
        ],
    }
}

fn choose(
    table: &PlacementTable,
    size: &RequestSize,
    memory_tokens: u64,
    now: MonotonicTime,
) -> Result<Placement, PlacementRefusal> {
    let request = PlacementRequest {
        service: &ServiceName::new("s"),
        excluded: &[],
        homes: None,
        size,
        memory_tokens,
        latency_limit: Duration::from_secs(2),
    };
    table.choose(&request, now)
}

fn send(
    table: &mut PlacementTable,
    size: &RequestSize,
    now: MonotonicTime,
) -> (Placement, FlightKey) {
    let placement = choose(table, size, MEMORY, now).expect("upstream");
    let flight = table.start(&placement, size, true, now);
    (placement, flight)
}

/// Guards against sessions that move between engines, each of which prefills the prompt again.
#[test]
fn session_stays_with_its_engine() {
    let mut table = table(9);
    let mut engines_used = std::collections::BTreeSet::new();
    for round in 0..10 {
        let now = at(round * 1_000);
        let size = prompt(7, 10_000 + round);
        let (placement, flight) = send(&mut table, &size, now);
        table.begin(flight, at(round * 1_000 + 100));
        table.finish(flight, FlightOutcome::Answered, at(round * 1_000 + 300));
        engines_used.insert(placement.upstream);
    }
    assert_eq!(engines_used.len(), 1);
}

/// Guards against instances that prefer different engines for the same session, because none of
/// them sees the placements of the others.
#[test]
fn instances_agree_on_the_engine_of_a_session() {
    for session in 0..50 {
        let size = prompt(session, 1);
        let first = choose(&table(9), &size, MEMORY, at(0)).expect("engine");
        let second = choose(&table(9), &size, MEMORY, at(5_000)).expect("engine");
        assert_eq!(first.upstream, second.upstream);
    }
}

/// Guards against an engine that gets all requests of a popular session while others are idle.
#[test]
fn popular_session_spreads_when_its_engine_is_busy() {
    let mut table = table(9);
    let mut counts = std::collections::BTreeMap::new();
    for request in 0..36 {
        let (placement, _) = send(&mut table, &prompt(7, 10_000 + request), at(0));
        *counts.entry(placement.upstream).or_insert(0) += 1;
    }
    let most = counts.values().max().copied().unwrap_or(0);
    assert!(counts.len() >= 5, "{counts:?}");
    assert!(most <= 16, "{counts:?}");
}

/// Guards against requests that queue at an engine beyond their latency limit.
#[test]
fn overload_is_refused_before_sending() {
    let mut table = table(1);
    let refusal = (0..200).find_map(|request| {
        let size = prompt(request, 10_000 + request);
        match choose(&table, &size, u64::MAX, at(0)) {
            Ok(placement) => {
                table.start(&placement, &size, true, at(0));
                None
            }
            Err(refusal) => Some(refusal),
        }
    });
    match refusal {
        Some(PlacementRefusal::Overloaded { retry_after }) => {
            assert!(retry_after < Duration::from_secs(2), "{retry_after:?}");
        }
        other => panic!("expected a refusal, got {other:?}"),
    }
}

/// Guards against preemption because running requests exceed the memory of their engine.
#[test]
fn memory_of_an_engine_is_not_overbooked() {
    let mut table = table(1);
    let size = RequestSize {
        prompt_tokens: 1_000,
        answer_tokens: 40_000,
        parts: Vec::new(),
    };
    let mut sent = 0;
    while let Ok(placement) = choose(&table, &size, MEMORY, at(0)) {
        table.start(&placement, &size, true, at(0));
        sent += 1;
    }
    // 90% of 400,000 tokens fit 8 requests of 41,000.
    assert_eq!(sent, 8);
    let large = RequestSize {
        prompt_tokens: MEMORY + 1,
        ..RequestSize::default()
    };
    assert_eq!(
        choose(&table, &large, MEMORY, at(0)),
        Err(PlacementRefusal::TooLarge)
    );
}

/// Guards against calls that queue at one instance of a plain service while another is free.
#[test]
fn plain_calls_fill_free_slots_first() {
    let mut table = table(3);
    for _ in 0..18 {
        let size = RequestSize::default();
        let placement = choose(&table, &size, 0, at(0)).expect("upstream");
        table.start(&placement, &size, false, at(0));
        let record = table.record(placement.key).expect("record");
        assert_eq!(record.slots, 6);
    }
    let next = choose(&table, &RequestSize::default(), 0, at(0)).expect("upstream");
    // All 18 slots are taken evenly, so the next call waits for a fraction of one call duration.
    assert!(next.expected < Duration::from_millis(100), "{next:?}");
}

/// Guards against new requests to an upstream that is leaving or no longer listed.
#[rstest]
#[case::leaving(true)]
#[case::unlisted(false)]
fn leaving_upstream_is_not_chosen(#[case] is_listed: bool) {
    let mut table = table(2);
    if is_listed {
        let mut leaving = record(0);
        leaving.is_leaving = true;
        table.apply(leaving);
    } else {
        table.remove(&"u0".into());
    }
    for session in 0..20 {
        let placement = choose(&table, &prompt(session, 1), MEMORY, at(0)).expect("engine");
        assert_eq!(placement.upstream, "u1".into());
    }
    table.remove(&"u1".into());
    let none = choose(&table, &prompt(1, 1), MEMORY, at(0));
    assert_eq!(none, Err(PlacementRefusal::NoUpstream));
}

/// Guards against an upstream that attracts requests by failing fast, because it is always idle.
#[test]
fn failing_upstream_is_avoided_and_tried_again() {
    let mut table = table(2);
    let size = RequestSize::default();
    let mut failed = 0;
    for step in 0..200 {
        let now = at(step * 20);
        let placement = choose(&table, &size, 0, now).expect("upstream");
        let flight = table.start(&placement, &size, false, now);
        let end = match placement.upstream == "u0".into() {
            true => FlightOutcome::Failed,
            false => FlightOutcome::Answered,
        };
        failed += u32::from(end == FlightOutcome::Failed);
        table.finish(flight, end, at(step * 20 + 10));
    }
    assert!((1..40).contains(&failed), "{failed}");
    let later = at(60_000);
    let mut chosen = std::collections::BTreeSet::new();
    for _ in 0..8 {
        let placement = choose(&table, &size, 0, later).expect("upstream");
        table.start(&placement, &size, false, later);
        chosen.insert(placement.upstream);
    }
    assert_eq!(chosen.len(), 2);
}

/// Guards against refusing all requests of a service when every upstream is ejected.
#[test]
fn ejected_upstreams_are_used_as_last_resort() {
    let mut table = table(2);
    let size = RequestSize::default();
    for _ in 0..4 {
        let placement = choose(&table, &size, 0, at(0)).expect("upstream");
        let flight = table.start(&placement, &size, false, at(0));
        table.finish(flight, FlightOutcome::NotReached, at(1));
    }
    assert!(choose(&table, &size, 0, at(2)).is_ok());
}

/// Guards against statistics of an earlier incarnation that are applied to the next one.
#[test]
fn new_incarnation_starts_without_history() {
    let mut table = table(1);
    let size = prompt(7, 1);
    let (_, flight) = send(&mut table, &size, at(0));
    table.begin(flight, at(100));
    table.finish(flight, FlightOutcome::Answered, at(200));
    let warm = choose(&table, &size, MEMORY, at(300)).expect("engine");
    assert_eq!(warm.uncached_tokens, 0);
    let mut restarted = record(0);
    restarted.started_unix_ms = Some(5);
    table.apply(restarted);
    let cold = choose(&table, &size, MEMORY, at(300)).expect("engine");
    assert!(cold.uncached_tokens > 2_000, "{cold:?}");
}
