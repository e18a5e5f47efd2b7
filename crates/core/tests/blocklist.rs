//! Tests of the crash table, which blocks requests that crash upstreams.

use std::{collections::HashMap, time::Duration};

use cornelarch_core::{
    base::{MonotonicTime, UpstreamName},
    blocklist::{CrashEffect, CrashOptions, CrashReport, CrashTable, CrashVerdict, Fingerprint},
};
use rand::{
    Rng, SeedableRng,
    seq::{IndexedRandom, SliceRandom},
};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

const CRASHING: Fingerprint = Fingerprint::from_bits(1);

fn at(seconds: u64) -> MonotonicTime {
    MonotonicTime::from_millis(1_000 * seconds)
}

fn harmless(number: u64) -> Fingerprint {
    Fingerprint::from_bits(u128::from(number) + 1_000)
}

fn table() -> CrashTable {
    CrashTable::new(CrashOptions::default())
}

fn reports(effects: &[CrashEffect]) -> Vec<CrashReport> {
    let report = |effect: &CrashEffect| match effect {
        CrashEffect::Report(report) => Some(report.clone()),
        CrashEffect::Cancel(_) => None,
    };
    effects.iter().filter_map(report).collect()
}

/// Loses `upstream` with the given requests in flight.
fn lose_upstream(
    table: &mut CrashTable,
    upstream: &str,
    fingerprints: &[Fingerprint],
    now: MonotonicTime,
) -> Vec<CrashEffect> {
    let upstream = upstream.into();
    for fingerprint in fingerprints {
        table.started(*fingerprint, &upstream, now);
    }
    table.upstream_lost(&upstream, now)
}

/// Guards against a request that crashes every upstream of a domain because its caller resends it
/// at every router, and against harmless requests that are blocked because they were in flight at
/// the same crashes.
///
/// Twelve routers share nine upstreams. Callers retry every lost request at a random router; the
/// caller of the crashing request never stops.
#[rstest]
fn blocks_a_crashing_request_after_two_upstreams(#[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let upstreams: Vec<UpstreamName> = (0..9).map(|i| format!("e{i}").into()).collect();
    let mut routers: Vec<CrashTable> = (0..12).map(|_| table()).collect();
    let mut pending: Vec<Fingerprint> = (0..200).map(harmless).collect();
    pending.push(CRASHING);
    let mut lost = 0;
    for round in 1..400 {
        let now = at(round);
        pending.shuffle(&mut rng);
        let mut running: HashMap<UpstreamName, Vec<(usize, Fingerprint)>> = HashMap::new();
        let mut flights = Vec::new();
        for fingerprint in std::mem::take(&mut pending) {
            let router = rng.random_range(0..routers.len());
            if routers[router].verdict(fingerprint, now) == CrashVerdict::Blocked {
                assert_eq!(fingerprint, CRASHING, "a harmless request was blocked");
                pending.push(fingerprint);
                continue;
            }
            let excluded = routers[router].excluded(fingerprint, &upstreams, now);
            let allowed: Vec<_> = upstreams
                .iter()
                .filter(|name| !excluded.contains(name))
                .collect();
            let Some(name) = allowed.choose(&mut rng) else {
                pending.push(fingerprint);
                continue;
            };
            let key = routers[router].started(fingerprint, name, now);
            flights.push((router, (*name).clone(), key));
            running
                .entry((*name).clone())
                .or_default()
                .push((router, fingerprint));
        }
        let mut effects = Vec::new();
        let crashed: Vec<_> = running
            .iter()
            .filter(|(_, work)| work.iter().any(|(_, fingerprint)| *fingerprint == CRASHING))
            .map(|(name, _)| name.clone())
            .collect();
        lost += crashed.len();
        for name in &crashed {
            pending.extend(running[name].iter().map(|(_, fingerprint)| *fingerprint));
            for router in &mut routers {
                effects.extend(router.upstream_lost(name, now));
            }
        }
        for (router, name, key) in flights {
            if !crashed.contains(&name) {
                effects.extend(routers[router].answered(key, now));
            }
        }
        let mut messages = reports(&effects);
        for router in &mut routers {
            messages.shuffle(&mut rng);
            for message in &messages {
                router.merge(message, now);
            }
        }
    }
    assert_eq!(lost, 2, "{lost} upstreams were lost");
    assert_eq!(pending, [CRASHING], "harmless requests were never answered");
}

/// Guards against a router whose state diverges from its peers because reports are duplicated,
/// delayed or reordered.
#[rstest]
fn merges_reports_in_any_order(#[values(1, 2, 3, 4)] seed: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut sender = table();
    let mut effects = lose_upstream(&mut sender, "e1", &[harmless(1), harmless(2)], at(1));
    effects.extend(lose_upstream(&mut sender, "e2", &[harmless(1)], at(2)));
    effects.extend(sender.unblock(harmless(1), at(3)));
    effects.extend(lose_upstream(&mut sender, "e4", &[harmless(2)], at(4)));
    effects.extend(lose_upstream(&mut sender, "e5", &[harmless(2)], at(4)));
    effects.extend(lose_upstream(&mut sender, "e3", &[harmless(3)], at(4)));
    let mut messages = reports(&effects);
    messages.extend(messages.clone());
    messages.shuffle(&mut rng);
    let mut receiver = table();
    for message in &messages {
        receiver.merge(message, at(4));
    }
    let verdicts = |table: &CrashTable| {
        (1..=3)
            .map(|number| table.verdict(harmless(number), at(4)))
            .collect::<Vec<_>>()
    };
    let expected = [
        CrashVerdict::Clear,
        CrashVerdict::Blocked,
        CrashVerdict::Suspect,
    ];
    assert_eq!(verdicts(&sender), expected);
    assert_eq!(verdicts(&receiver), expected);
    let mut joined = table();
    for message in sender.reports(at(4)) {
        joined.merge(&message, at(4));
    }
    assert_eq!(verdicts(&joined), expected);
}

/// Guards against charging one loss twice, when the report of a peer arrives before the router's
/// own connection breaks or when several connections break.
#[test]
fn charges_one_loss_once() {
    let (mut first, mut second) = (table(), table());
    let upstream: UpstreamName = "e1".into();
    second.started(CRASHING, &upstream, at(1));
    let effects = lose_upstream(&mut first, "e1", &[CRASHING, CRASHING], at(2));
    for message in reports(&effects) {
        second.merge(&message, at(2));
    }
    assert!(second.upstream_lost(&upstream, at(3)).is_empty());
    assert!(second.upstream_lost(&upstream, at(3)).is_empty());
    assert_eq!(first.verdict(CRASHING, at(3)), CrashVerdict::Suspect);
    assert_eq!(second.verdict(CRASHING, at(3)), CrashVerdict::Suspect);
    // A new attempt at the restarted upstream is another loss.
    lose_upstream(&mut second, "e1", &[CRASHING], at(20));
    assert_eq!(second.verdict(CRASHING, at(20)), CrashVerdict::Blocked);
}

/// Guards against charging requests that ran next to a suspect, and against a request that stays
/// suspected after a complete answer.
#[test]
fn charges_suspects_first_and_clears_by_answer() {
    let mut crash_table = table();
    lose_upstream(&mut crash_table, "e1", &[CRASHING, harmless(1)], at(1));
    let key = crash_table.started(harmless(1), &"e2".into(), at(2));
    crash_table.answered(key, at(3));
    assert_eq!(crash_table.verdict(harmless(1), at(3)), CrashVerdict::Clear);
    lose_upstream(&mut crash_table, "e3", &[CRASHING, harmless(2)], at(4));
    assert_eq!(crash_table.verdict(CRASHING, at(4)), CrashVerdict::Blocked);
    assert_eq!(crash_table.verdict(harmless(2), at(4)), CrashVerdict::Clear);
}

/// Guards against copies of a blocked request that keep running and may crash more upstreams.
#[test]
fn cancels_running_copies_of_a_blocked_request() {
    let mut crash_table = table();
    let copy = crash_table.started(CRASHING, &"e9".into(), at(1));
    lose_upstream(&mut crash_table, "e1", &[CRASHING], at(1));
    let effects = lose_upstream(&mut crash_table, "e2", &[CRASHING], at(2));
    assert!(effects.contains(&CrashEffect::Cancel(copy)));
}

/// Guards against blocks that never expire or expire too early, and against unbounded memory use.
#[test]
fn expires_and_bounds_entries() {
    let mut crash_table = CrashTable::new(CrashOptions {
        entries_max: 10,
        block: Duration::from_secs(100),
        ..CrashOptions::default()
    });
    for number in 0..20 {
        lose_upstream(&mut crash_table, "e1", &[harmless(number)], at(number));
    }
    assert_eq!(crash_table.snapshot(at(20)).len(), 10);
    assert_eq!(
        crash_table.verdict(harmless(9), at(20)),
        CrashVerdict::Clear
    );
    assert_eq!(
        crash_table.verdict(harmless(19), at(118)),
        CrashVerdict::Suspect
    );
    assert_eq!(
        crash_table.verdict(harmless(19), at(119)),
        CrashVerdict::Clear
    );
    crash_table.expire(at(119));
    assert!(crash_table.reports(at(119)).is_empty());
}

/// Guards against equal fingerprints of different requests, and against text that does not parse
/// back or is accepted although it is malformed.
#[test]
fn computes_distinct_fingerprints() {
    let first = Fingerprint::compute(&"ab".into(), "c", b"d");
    let second = Fingerprint::compute(&"a".into(), "bc", b"d");
    assert_ne!(first, second);
    assert_eq!(first.to_string().parse(), Ok(first));
    assert!(
        "+0000000000000000000000000000001"
            .parse::<Fingerprint>()
            .is_err()
    );
}

/// Guards against an expired loss that counts towards blocking at the next loss.
#[test]
fn forgets_losses_of_expired_entries() {
    let mut crash_table = table();
    lose_upstream(&mut crash_table, "e1", &[CRASHING], at(0));
    lose_upstream(&mut crash_table, "e2", &[CRASHING], at(3_600));
    assert_eq!(
        crash_table.verdict(CRASHING, at(3_600)),
        CrashVerdict::Suspect
    );
}
