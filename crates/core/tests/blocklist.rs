//! Tests of the table of requests that crash upstreams.

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

const KILLER: Fingerprint = Fingerprint::from_bits(1);

fn at(seconds: u64) -> MonotonicTime {
    MonotonicTime::from_millis(1_000 * seconds)
}

fn ordinary(number: u64) -> Fingerprint {
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

/// Loses `upstream` with the given requests in flight there.
fn lose(
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

/// Guards against a request that takes down a whole domain while its caller resends it at every
/// router, and against ordinary requests that are blocked for being in the same crashes.
///
/// Twelve routers share nine upstreams. Callers retry every lost request at a random router; the
/// killer is also resent by its caller without end.
#[rstest]
fn stops_a_killer_after_two_upstreams(#[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let upstreams: Vec<UpstreamName> = (0..9).map(|i| format!("e{i}").into()).collect();
    let mut routers: Vec<CrashTable> = (0..12).map(|_| table()).collect();
    let mut pending: Vec<Fingerprint> = (0..200).map(ordinary).collect();
    pending.push(KILLER);
    let mut lost = 0;
    for round in 1..400 {
        let now = at(round);
        pending.shuffle(&mut rng);
        let mut running: HashMap<UpstreamName, Vec<(usize, Fingerprint)>> = HashMap::new();
        let mut flights = Vec::new();
        for fingerprint in std::mem::take(&mut pending) {
            let router = rng.random_range(0..routers.len());
            if routers[router].verdict(fingerprint, now) == CrashVerdict::Blocked {
                assert_eq!(fingerprint, KILLER, "an ordinary request was blocked");
                pending.push(fingerprint);
                continue;
            }
            let excluded = routers[router].excluded(fingerprint, &upstreams, now);
            let free: Vec<_> = upstreams
                .iter()
                .filter(|name| !excluded.contains(name))
                .collect();
            let Some(name) = free.choose(&mut rng) else {
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
            .filter(|(_, work)| work.iter().any(|(_, fingerprint)| *fingerprint == KILLER))
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
    assert_eq!(pending, [KILLER], "ordinary requests were never answered");
}

/// Guards against a router that ends in another state than its peers because reports came twice,
/// late or in another order.
#[rstest]
fn merges_reports_in_any_order(#[values(1, 2, 3, 4)] seed: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut sender = table();
    let mut effects = lose(&mut sender, "e1", &[ordinary(1), ordinary(2)], at(1));
    effects.extend(lose(&mut sender, "e2", &[ordinary(1)], at(2)));
    effects.extend(sender.unblock(ordinary(1), at(3)));
    effects.extend(lose(&mut sender, "e4", &[ordinary(2)], at(4)));
    effects.extend(lose(&mut sender, "e5", &[ordinary(2)], at(4)));
    effects.extend(lose(&mut sender, "e3", &[ordinary(3)], at(4)));
    let mut messages = reports(&effects);
    messages.extend(messages.clone());
    messages.shuffle(&mut rng);
    let mut receiver = table();
    for message in &messages {
        receiver.merge(message, at(4));
    }
    let verdicts = |table: &CrashTable| {
        (1..=3)
            .map(|number| table.verdict(ordinary(number), at(4)))
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

/// Guards against charging one loss twice, when a peer's report comes before the own connection
/// breaks or when several connections break.
#[test]
fn charges_one_loss_once() {
    let (mut first, mut second) = (table(), table());
    let upstream: UpstreamName = "e1".into();
    second.started(KILLER, &upstream, at(1));
    let effects = lose(&mut first, "e1", &[KILLER, KILLER], at(2));
    for message in reports(&effects) {
        second.merge(&message, at(2));
    }
    assert!(second.upstream_lost(&upstream, at(3)).is_empty());
    assert!(second.upstream_lost(&upstream, at(3)).is_empty());
    assert_eq!(first.verdict(KILLER, at(3)), CrashVerdict::Suspect);
    assert_eq!(second.verdict(KILLER, at(3)), CrashVerdict::Suspect);
    // A new attempt at the restarted upstream is another loss.
    lose(&mut second, "e1", &[KILLER], at(20));
    assert_eq!(second.verdict(KILLER, at(20)), CrashVerdict::Blocked);
}

/// Guards against blaming requests that ran beside a suspect, and against a suspect that stays
/// one after a complete answer.
#[test]
fn charges_suspects_first_and_clears_by_answer() {
    let mut crashes = table();
    lose(&mut crashes, "e1", &[KILLER, ordinary(1)], at(1));
    let key = crashes.started(ordinary(1), &"e2".into(), at(2));
    crashes.answered(key, at(3));
    assert_eq!(crashes.verdict(ordinary(1), at(3)), CrashVerdict::Clear);
    lose(&mut crashes, "e3", &[KILLER, ordinary(2)], at(4));
    assert_eq!(crashes.verdict(KILLER, at(4)), CrashVerdict::Blocked);
    assert_eq!(crashes.verdict(ordinary(2), at(4)), CrashVerdict::Clear);
}

/// Guards against copies that go on endangering upstreams after the request is blocked.
#[test]
fn cancels_running_copies_of_a_blocked_request() {
    let mut crashes = table();
    let copy = crashes.started(KILLER, &"e9".into(), at(1));
    lose(&mut crashes, "e1", &[KILLER], at(1));
    let effects = lose(&mut crashes, "e2", &[KILLER], at(2));
    assert!(effects.contains(&CrashEffect::Cancel(copy)));
}

/// Guards against blocks that never end or end too early, and against unbounded memory.
#[test]
fn expires_and_bounds_entries() {
    let mut crashes = CrashTable::new(CrashOptions {
        entries_max: 10,
        block: Duration::from_secs(100),
        ..CrashOptions::default()
    });
    for number in 0..20 {
        lose(&mut crashes, "e1", &[ordinary(number)], at(number));
    }
    assert_eq!(crashes.snapshot(at(20)).len(), 10);
    assert_eq!(crashes.verdict(ordinary(9), at(20)), CrashVerdict::Clear);
    assert_eq!(
        crashes.verdict(ordinary(19), at(118)),
        CrashVerdict::Suspect
    );
    assert_eq!(crashes.verdict(ordinary(19), at(119)), CrashVerdict::Clear);
    crashes.expire(at(119));
    assert!(crashes.reports(at(119)).is_empty());
}

/// Guards against fingerprints that two different requests share, and text that cannot be used by
/// an operator.
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

/// Guards against a loss of long ago that blocks a request at its next loss.
#[test]
fn forgets_losses_of_expired_entries() {
    let mut crashes = table();
    lose(&mut crashes, "e1", &[KILLER], at(0));
    lose(&mut crashes, "e2", &[KILLER], at(3_600));
    assert_eq!(crashes.verdict(KILLER, at(3_600)), CrashVerdict::Suspect);
}
