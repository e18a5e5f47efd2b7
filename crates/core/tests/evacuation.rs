//! Evacuations of failure domains in the placement table.

use std::{collections::BTreeSet, time::Duration};

use cornelarch_core::{
    base::{DomainName, MonotonicTime, ServiceName, UpstreamName},
    placement::{
        EvacuationEvent, EvacuationState, FlightOutcome, Placement, PlacementOptions,
        PlacementRefusal, PlacementRequest, PlacementTable, RequestSize, UpstreamRecord,
    },
};
use rand::{Rng, SeedableRng, rngs::StdRng, seq::IndexedRandom};
use rstest::rstest;

const DOMAINS: [&str; 3] = ["a", "b", "c"];
const UPSTREAMS_PER_DOMAIN: u16 = 4;

const fn at(millis: u64) -> MonotonicTime {
    MonotonicTime::from_millis(millis)
}

fn record(domain: &str, number: u16) -> UpstreamRecord {
    UpstreamRecord {
        name: UpstreamName::new(&format!("{domain}{number}")),
        service: ServiceName::new("s"),
        address: ([127, 0, 0, 1], 1_000 + number).into(),
        domain: DomainName::new(domain),
        slots: 6,
        is_leaving: false,
        started_unix_ms: None,
        cold: None,
    }
}

fn table_of(domains: &[&str], seed: u64) -> PlacementTable {
    let mut table = PlacementTable::new(PlacementOptions {
        seed,
        ..PlacementOptions::new(DomainName::new("a"))
    });
    for domain in domains {
        (0..UPSTREAMS_PER_DOMAIN).for_each(|number| table.apply(record(domain, number)));
    }
    table
}

fn evacuated(revision: u64, domains: &[&str]) -> EvacuationState {
    EvacuationState {
        revision,
        domains: domains
            .iter()
            .map(|domain| DomainName::new(domain))
            .collect(),
    }
}

fn choose(table: &PlacementTable, now: MonotonicTime) -> Result<Placement, PlacementRefusal> {
    let request = PlacementRequest {
        service: &ServiceName::new("s"),
        excluded: &[],
        homes: None,
        size: &RequestSize::default(),
        memory_tokens: 0,
        latency_limit: Duration::from_secs(2),
    };
    table.choose(&request, now)
}

/// Places so many requests that each usable upstream gets some, and returns the domains that got any.
/// The requests end before the next ones.
fn used_domains(table: &mut PlacementTable, now: MonotonicTime) -> BTreeSet<String> {
    let placed: Vec<_> = (0..60)
        .map_while(|_| {
            let placement = choose(table, now).ok()?;
            let flight = table.start(&placement, &RequestSize::default(), false, now);
            Some((placement.key, flight))
        })
        .collect();
    let mut domains = BTreeSet::new();
    for (key, flight) in placed {
        domains.insert(table.record(key).expect("upstream").domain.to_string());
        table.finish(flight, FlightOutcome::Cancelled, now);
    }
    domains
}

fn set(domains: &[&str]) -> BTreeSet<String> {
    domains.iter().map(ToString::to_string).collect()
}

/// Guards against requests of any kind to an evacuated domain, also to upstreams that join it later.
#[test]
fn evacuated_domain_gets_requests() {
    let mut table = table_of(&DOMAINS, 1);
    assert_eq!(used_domains(&mut table, at(1)), set(&DOMAINS));
    let change = table.merge_evacuations(&evacuated(5, &["b"]), at(2));
    assert_eq!(change.begun, [DomainName::new("b")]);
    table.apply(record("b", 9));
    table.apply(UpstreamRecord {
        slots: 7,
        ..record("b", 1)
    });
    assert_eq!(used_domains(&mut table, at(3)), set(&["a", "c"]));
    assert!(table.evacuated_services().is_empty());
}

/// Guards against a request that was placed before the evacuation and is sent after it, on a new or on
/// a kept connection.
#[test]
fn placed_request_is_sent_to_an_evacuated_domain() {
    let mut table = table_of(&["b"], 1);
    let placement = choose(&table, at(1)).expect("upstream");
    let flight = table.start(&placement, &RequestSize::default(), false, at(1));
    assert!(table.accepts(placement.key, at(1)));
    table.merge_evacuations(&evacuated(5, &["b"]), at(2));
    assert!(!table.accepts(placement.key, at(2)));
    // The upstream is still listed: if it ends with the request, that counts as a crash.
    assert!(table.is_listed(placement.key));
    table.finish(flight, FlightOutcome::NotSent, at(3));
    table.merge_evacuations(&evacuated(6, &[]), at(4));
    assert!(table.accepts(placement.key, at(4)));
}

/// Guards against an evacuation that is ignored because it leaves a service with nothing.
#[test]
fn last_domain_of_a_service_is_kept() {
    let mut table = table_of(&["a"], 1);
    table.merge_evacuations(&evacuated(5, &["a"]), at(1));
    assert_eq!(choose(&table, at(2)), Err(PlacementRefusal::NoUpstream));
    let services = table.evacuated_services();
    assert_eq!(services, [ServiceName::new("s")].into());
    // Nothing else is left for the service, so that its upstreams are not held back.
    table.merge_evacuations(&evacuated(6, &[]), at(10));
    assert_eq!(used_domains(&mut table, at(10)), set(&["a"]));
}

/// Guards against a wave of requests to a domain that comes back into use. Load pattern: many
/// instances send some requests at any time and learn of the end together.
#[test]
fn returning_domain_fills_in_a_wave() {
    let mut tables: Vec<_> = (0..200).map(|seed| table_of(&DOMAINS, seed)).collect();
    for table in &mut tables {
        table.merge_evacuations(&evacuated(5, &["b"]), at(0));
        table.merge_evacuations(&evacuated(6, &[]), at(1_000));
    }
    // Counts, over all instances, how many upstreams of the domain are in use.
    let in_use = |table: &mut PlacementTable, now| {
        let placed: Vec<_> = (0..60)
            .map(|_| {
                let placement = choose(table, now).expect("upstream");
                let flight = table.start(&placement, &RequestSize::default(), false, now);
                (placement.upstream, flight)
            })
            .collect();
        let names: BTreeSet<UpstreamName> = placed.iter().map(|(name, _)| name.clone()).collect();
        for (_, flight) in placed {
            table.finish(flight, FlightOutcome::Cancelled, now);
        }
        names.iter().filter(|name| name.starts_with('b')).count()
    };
    let total = tables.len() * usize::from(UPSTREAMS_PER_DOMAIN);
    let mut before = 0.0;
    for step in 0..=6_u64 {
        let now = at(1_000 + step * 500);
        let used: usize = tables.iter_mut().map(|table| in_use(table, now)).sum();
        let share = used as f64 / total as f64;
        let expected = step as f64 / 6.0;
        assert!((share - expected).abs() < 0.07, "{share} at step {step}");
        assert!(share >= before);
        before = share;
    }
}

/// Guards against late, lost and doubled news that undo a newer request of the operator.
#[rstest]
fn late_news_undo_a_request(#[values(1, 2, 3, 4, 5, 6, 7, 8)] group: u64) {
    let mut was_evacuated = BTreeSet::new();
    for seed in (group * 1_000)..(group * 1_000 + 50) {
        let mut generator = StdRng::seed_from_u64(seed);
        let mut history = vec![evacuated(1, &[])];
        for _ in 0..12 {
            let last = history.last().expect("state");
            let domain = DOMAINS.choose(&mut generator).expect("domain");
            let domain = DomainName::new(domain);
            let event = EvacuationEvent {
                is_evacuated: !last.domains.contains(&domain),
                domain,
            };
            let revision = last.revision + generator.random_range(1..4);
            history.push(last.advance(revision, &[event]));
        }
        let mut table = table_of(&DOMAINS, seed);
        let mut newest = EvacuationState::default();
        for step in 0..40 {
            let published = history.len().min(step as usize / 2 + 2);
            let news = history[..published].choose(&mut generator).expect("state");
            table.merge_evacuations(news, at(step * 4_000));
            if news.revision > newest.revision {
                newest = news.clone();
            }
            assert_eq!(*table.evacuations(), newest, "seed {seed}");
            // Later than a domain takes to come back into use.
            let used = used_domains(&mut table, at(step * 4_000 + 3_500));
            let evacuated = &newest.domains;
            let open = DOMAINS
                .iter()
                .filter(|domain| !evacuated.contains(**domain));
            assert_eq!(used, open.map(ToString::to_string).collect(), "seed {seed}");
            was_evacuated.extend(evacuated.iter().cloned());
        }
    }
    assert_eq!(was_evacuated.len(), DOMAINS.len());
}

/// Guards against an outdated watch that changes the state.
#[test]
fn outdated_watch_advances_the_state() {
    let event = |domain: &str, is_evacuated| EvacuationEvent {
        domain: DomainName::new(domain),
        is_evacuated,
    };
    let state = evacuated(5, &["a"]);
    assert_eq!(state.advance(5, &[event("a", false)]), state);
    assert_eq!(state.advance(4, &[event("b", true)]), state);
    let quick = [event("b", true), event("a", false), event("b", false)];
    assert_eq!(state.advance(8, &quick), evacuated(8, &[]));
}
