//! Requests of a fleet to cold upstreams.

use std::{collections::HashMap, time::Duration};

use cornelarch_core::{
    base::{DomainName, MonotonicTime, ServiceName, UpstreamName},
    notice::{ColdBound, ColdRule},
    placement::{
        ColdNotice, EvacuationState, FlightOutcome, PlacementOptions, PlacementRefusal,
        PlacementRequest, PlacementTable, RequestSize, UpstreamRecord,
    },
};
use rand::{Rng, SeedableRng, rngs::StdRng};
use rstest::rstest;

/// Requests a second that a cold upstream bears.
const RATE: f64 = 11.0;
const BOUND: ColdBound = ColdBound {
    excess: 1.5,
    slack: 5.0,
};
/// Requests in one second that break the rule of the platform.
const SECOND_MAX: usize = 21;
const COLD: Duration = Duration::from_secs(3);
/// Time at which the upstream becomes cold; by then, instances know of each other.
const COLD_AT_MS: u64 = 20_000;

const fn at(millis: u64) -> MonotonicTime {
    MonotonicTime::from_millis(millis)
}

fn record(number: u16, cold: Option<(Duration, u64)>) -> UpstreamRecord {
    UpstreamRecord {
        name: UpstreamName::new(&format!("u{number}")),
        service: ServiceName::new("s"),
        address: ([127, 0, 0, 1], 1_000 + number).into(),
        domain: DomainName::new(if number == 0 { "cold" } else { "warm" }),
        slots: 64,
        is_leaving: false,
        started_unix_ms: None,
        cold: cold.map(|(left, revision)| ColdNotice { left, revision }),
    }
}

fn rules() -> HashMap<ServiceName, ColdRule> {
    let rule = ColdRule {
        start: COLD,
        rate: BOUND.shared_rate(RATE),
    };
    HashMap::from([(ServiceName::new("s"), rule)])
}

/// Returns a table with `upstreams` warm upstreams.
fn table(seed: u64, instances: usize, upstreams: u16) -> PlacementTable {
    let mut table = PlacementTable::new(PlacementOptions {
        seed,
        ..PlacementOptions::new(DomainName::new("cold"))
    });
    table.set_instances(instances);
    table.set_cold_rules(rules());
    for number in 0..upstreams {
        list(
            &mut table,
            &record(number, Some((Duration::ZERO, 1))),
            false,
            at(0),
        );
    }
    table
}

fn list(
    table: &mut PlacementTable,
    record: &UpstreamRecord,
    has_started: bool,
    now: MonotonicTime,
) {
    table.apply(record.clone());
    table.update_cold(&record.name, has_started, now);
}

/// Sends a request and returns whether it went to upstream 0, or why it was refused.
fn send(table: &mut PlacementTable, now: MonotonicTime) -> Result<bool, PlacementRefusal> {
    let request = PlacementRequest {
        service: &ServiceName::new("s"),
        excluded: &[],
        homes: None,
        size: &RequestSize::default(),
        memory_tokens: 0,
        latency_limit: Duration::from_secs(2),
    };
    let placement = table.choose(&request, now)?;
    let flight = table.start(&placement, &RequestSize::default(), false, now);
    table.finish(flight, FlightOutcome::Cancelled, now);
    Ok(placement.upstream.as_str() == "u0")
}

/// Returns the largest number of these times within one second.
fn largest_second(times: &[u64]) -> usize {
    let counts = times.iter().map(|start| {
        let second = times
            .iter()
            .filter(|at| (*start..start + 1_000).contains(*at));
        second.count()
    });
    counts.max().unwrap_or(0)
}

/// How the requests of the instances come.
#[derive(Clone, Copy, Debug)]
enum LoadPattern {
    /// Evenly, a few a second at each instance.
    Even,
    /// All instances are idle and become busy together.
    Burst,
}

/// Guards against more requests of the fleet to a cold upstream than it bears, and against a cold
/// upstream that gets none and does not warm.
#[rstest]
fn cold_upstream_gets_a_wave(
    #[values(1, 8, 83, 295)] instances: usize,
    #[values(LoadPattern::Even, LoadPattern::Burst)] pattern: LoadPattern,
    #[values(1, 12)] upstreams: u16,
) {
    for seed in 0..10_u64 {
        let mut generator = StdRng::seed_from_u64(seed);
        let first = seed * 1_000;
        let mut tables: Vec<_> = (0..instances as u64)
            .map(|index| table(first + index, instances, upstreams))
            .collect();
        let cold = record(0, Some((COLD, 2)));
        tables
            .iter_mut()
            .for_each(|table| list(table, &cold, false, at(COLD_AT_MS)));
        let busy_from = match pattern {
            LoadPattern::Even => 0,
            LoadPattern::Burst => 1_700,
        };
        let mut reached = Vec::new();
        for ms in (0..3_000).filter(|ms| *ms >= busy_from) {
            for table in &mut tables {
                if generator.random_bool(0.05) && send(table, at(COLD_AT_MS + ms)) == Ok(true) {
                    reached.push(ms);
                }
            }
        }
        let largest = largest_second(&reached);
        assert!(largest <= SECOND_MAX, "{largest} in a second, seed {seed}");
        assert!(reached.len() >= 5, "{} in all, seed {seed}", reached.len());
    }
}

/// Guards against instances that have just started, do not know yet how many they are and take too
/// large parts.
#[test]
fn restarted_fleet_floods_a_cold_upstream() {
    let mut tables: Vec<_> = (0..83).map(|seed| table(seed, 8, 2)).collect();
    let cold = record(0, Some((Duration::from_secs(10), 2)));
    let mut reached = Vec::new();
    for ms in 0..10_000 {
        for table in &mut tables {
            match ms {
                100 => list(table, &cold, false, at(ms)),
                2_000 => table.set_instances(83),
                _ => {}
            }
            if ms > 100 && ms % 20 == 0 && send(table, at(ms)) == Ok(true) {
                reached.push(ms);
            }
        }
    }
    assert!(largest_second(&reached) <= SECOND_MAX);
    assert!(reached.len() >= 20);
}

/// Guards against requests that are sent although every upstream is cold and has got its part.
#[test]
fn exhausted_cold_upstreams_get_more_requests() {
    let mut table = table(1, 83, 1);
    list(
        &mut table,
        &record(0, Some((COLD, 2))),
        false,
        at(COLD_AT_MS),
    );
    let mut sent = 0;
    let mut now = COLD_AT_MS;
    while send(&mut table, at(now)).is_err() {
        now += 10;
    }
    while let Ok(true) = send(&mut table, at(now)) {
        sent += 1;
        assert!(sent <= 2, "more than the part of an instance");
    }
    let Err(PlacementRefusal::Withheld { retry_after }) = send(&mut table, at(now)) else {
        panic!("request is not withheld");
    };
    assert!(retry_after <= COLD);
    let end = at(COLD_AT_MS) + COLD;
    assert_eq!(send(&mut table, end), Ok(true));
    assert_eq!(table.cold_count(end), 0);
}

/// Guards against a cold period that starts anew with each read of the same entry, and against a
/// second one that is missed.
#[test]
fn same_entry_extends_the_cold_period() {
    let mut table = table(1, 83, 2);
    let entry = |left_ms, revision| record(0, Some((Duration::from_millis(left_ms), revision)));
    list(&mut table, &entry(3_000, 2), false, at(10_000));
    list(&mut table, &entry(3_000, 2), false, at(12_000));
    assert_eq!(table.cold_count(at(12_900)), 1);
    assert_eq!(table.cold_count(at(13_000)), 0);
    list(&mut table, &entry(3_000, 3), false, at(20_000));
    assert_eq!(table.cold_count(at(22_900)), 1);
    list(&mut table, &entry(0, 4), false, at(22_900));
    assert_eq!(table.cold_count(at(22_900)), 0);
}

/// Guards against an upstream that has just started and whose entry does not state that it is cold,
/// and against one that was listed before this instance started and counts as cold.
#[test]
fn started_upstream_without_a_statement_is_flooded() {
    let mut table = table(1, 83, 1);
    list(&mut table, &record(5, None), false, at(1));
    assert_eq!(table.cold_count(at(2)), 0);
    list(&mut table, &record(6, None), true, at(10_000));
    assert_eq!(table.cold_count(at(12_999)), 1);
    assert_eq!(table.cold_count(at(13_000)), 0);
}

/// Guards against a wave of requests to the upstreams of a domain at the end of an evacuation, when
/// they may be cold, and against upstreams that stay limited although they are known to be warm.
#[test]
fn returning_upstream_is_flooded() {
    let evacuation = |revision, domains: &[&str]| EvacuationState {
        revision,
        domains: domains
            .iter()
            .map(|domain| DomainName::new(domain))
            .collect(),
    };
    let mut table = table(1, 83, 3);
    table.merge_evacuations(&evacuation(5, &["cold"]), at(10_000));
    assert_eq!(table.cold_count(at(10_000)), 0);
    table.merge_evacuations(&evacuation(6, &[]), at(20_000));
    assert_eq!(table.cold_count(at(20_001)), 1);
    let reached = (20_000..23_000).step_by(5);
    let reached = reached.filter(|ms| send(&mut table, at(*ms)) == Ok(true));
    assert!(reached.count() <= 2);
    table.merge_evacuations(&evacuation(7, &["cold"]), at(30_000));
    table.merge_evacuations(&evacuation(8, &[]), at(40_000));
    list(
        &mut table,
        &record(0, Some((Duration::ZERO, 9))),
        false,
        at(40_100),
    );
    assert_eq!(table.cold_count(at(40_100)), 0);
}

/// Guards against care for cold upstreams in a deployment that states no rate.
#[test]
fn cold_upstream_without_a_rule_is_limited() {
    let mut table = table(1, 83, 1);
    table.set_cold_rules(HashMap::new());
    list(
        &mut table,
        &record(0, Some((COLD, 2))),
        true,
        at(COLD_AT_MS),
    );
    for _ in 0..100 {
        assert_eq!(send(&mut table, at(COLD_AT_MS)), Ok(true));
    }
}
