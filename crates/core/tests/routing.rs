//! Tests of the upstream table.

use std::{collections::HashMap, time::Duration};

use cornelarch_core::{
    base::{ModelName, MonotonicTime, UpstreamName},
    error::ErrorKind,
    notice::UpstreamNotice,
    retry::AttemptOutcome,
    routing::{
        CacheEvent, InstanceState, LoadReport, PrefixHint, RouteRequest, RouteTarget,
        RoutingOptions, SelectError, UpstreamSnapshot, UpstreamSpec, UpstreamTable, UseState,
    },
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

fn at(millis: u64) -> MonotonicTime {
    MonotonicTime::from_millis(millis)
}

fn target() -> RouteTarget {
    RouteTarget::Model("m".into())
}

fn engine(name: &str, domain: &str) -> UpstreamSpec {
    UpstreamSpec {
        concurrency: 16,
        ..UpstreamSpec::engine(name.into(), domain.into(), vec![ModelName::new("m")])
    }
}

/// Drives a table with a seeded generator.
struct TableDriver {
    table: UpstreamTable,
    rng: ChaCha8Rng,
    request: RouteRequest,
}

impl TableDriver {
    fn new(names: &[&str]) -> Self {
        let options = RoutingOptions::new("d1".into());
        Self::with_bound(names, options.affinity_bound)
    }

    fn with_bound(names: &[&str], affinity_bound: f64) -> Self {
        let mut table = UpstreamTable::new(RoutingOptions {
            affinity_bound,
            ..RoutingOptions::new("d1".into())
        });
        let specs: Vec<_> = names.iter().map(|name| engine(name, "d1")).collect();
        table.apply(&specs, at(0));
        Self {
            table,
            rng: ChaCha8Rng::seed_from_u64(3),
            request: RouteRequest {
                prompt_tokens: 500,
                ..RouteRequest::new(target())
            },
        }
    }

    /// Sends one request that ends with `outcome` after `millis`, and returns its upstream.
    fn send(&mut self, millis: u64, outcome: AttemptOutcome, now: MonotonicTime) -> UpstreamName {
        let selection = self
            .table
            .select(&self.request, now, &mut self.rng)
            .expect("usable");
        let attempt = self.table.started(selection.key, &self.request, now);
        let end = now + Duration::from_millis(millis);
        if outcome == AttemptOutcome::Answered {
            self.table.first_token(attempt, end);
        }
        self.table.finished(attempt, outcome, end);
        selection.upstream
    }

    /// Fails `count` requests at one upstream.
    fn fail(&mut self, name: &str, count: usize, now: MonotonicTime) {
        let others: Vec<UpstreamName> = self
            .table
            .usable(&target(), now)
            .filter(|other| other.as_str() != name)
            .cloned()
            .collect();
        self.request.excluded = others;
        for _ in 0..count {
            if self.table.select(&self.request, now, &mut self.rng).is_ok() {
                self.send(1, AttemptOutcome::LostBeforeFirst, now);
            }
        }
        self.request.excluded.clear();
    }

    /// Selects `count` times without sending, and counts the results.
    fn spread(&mut self, count: usize, now: MonotonicTime) -> HashMap<String, usize> {
        let mut counts = HashMap::new();
        for _ in 0..count {
            let selection = self
                .table
                .select(&self.request, now, &mut self.rng)
                .expect("usable");
            *counts.entry(selection.upstream.to_string()).or_default() += 1;
        }
        counts
    }

    fn use_state(&self, name: &str, now: MonotonicTime) -> UseState {
        let snapshot = self.table.snapshot(now);
        let found = snapshot
            .upstreams
            .iter()
            .find(|upstream| upstream.name.as_str() == name);
        found.expect("the upstream is listed").use_state
    }
}

/// Guards against new requests to a leaving upstream, for each source that may report it (P6).
#[rstest]
#[case::document(0)]
#[case::instance_list(1)]
#[case::load_report(2)]
#[case::removed(3)]
fn sends_nothing_to_a_leaving_upstream(#[case] source: u32) {
    let mut driver = TableDriver::new(&["e1", "e2"]);
    let selected = driver
        .table
        .select(&driver.request, at(1), &mut driver.rng)
        .expect("usable");
    let attempt = driver.table.started(selected.key, &driver.request, at(1));
    let name = selected.upstream.clone();
    let mut specs = vec![engine("e1", "d1"), engine("e2", "d1")];
    match source {
        0 => {
            specs
                .iter_mut()
                .for_each(|spec| spec.leaving = spec.name == name);
            driver.table.apply(&specs, at(2));
        }
        1 => driver.table.instance_state(&name, InstanceState::Leaving),
        2 => {
            let report = LoadReport {
                leaving: true,
                ..LoadReport::default()
            };
            driver.table.load_report(&name, report, at(2));
        }
        _ => {
            specs.retain(|spec| spec.name != name);
            driver.table.apply(&specs, at(2));
        }
    }
    assert_eq!(driver.spread(100, at(3)).get(name.as_str()), None);
    // Its attempt in flight still ends normally.
    driver.table.first_token(attempt, at(4));
    driver
        .table
        .finished(attempt, AttemptOutcome::Answered, at(5));
    assert_eq!(driver.table.snapshot(at(6)).in_flight, 0);
}

/// Guards against a failing upstream that is never ejected, and against ejecting so many that the
/// remaining ones are overloaded.
#[test]
fn ejects_failing_upstreams_down_to_the_floor() {
    let mut driver = TableDriver::new(&["e1", "e2", "e3", "e4"]);
    for name in ["e1", "e2", "e3"] {
        driver.fail(name, 5, at(1_000));
    }
    assert!(matches!(
        driver.use_state("e1", at(1_100)),
        UseState::Ejected { .. }
    ));
    assert!(matches!(
        driver.use_state("e2", at(1_100)),
        UseState::Ejected { .. }
    ));
    assert!(!matches!(
        driver.use_state("e3", at(1_100)),
        UseState::Ejected { .. }
    ));
    // The failing upstream that must not be ejected is still avoided.
    assert_eq!(driver.spread(100, at(1_100)).get("e3"), None);
}

/// Guards against ejections that never end, do not back off, or end with a burst of requests.
#[test]
fn doubles_ejections_and_starts_slowly() {
    let mut driver = TableDriver::new(&["e1", "e2"]);
    driver.fail("e1", 3, at(0));
    assert!(matches!(
        driver.use_state("e1", at(4_990)),
        UseState::Ejected { .. }
    ));
    assert_eq!(driver.use_state("e1", at(5_010)), UseState::SlowStart);
    assert_eq!(driver.use_state("e1", at(15_010)), UseState::Used);
    driver.fail("e1", 3, at(16_000));
    assert!(matches!(
        driver.use_state("e1", at(25_990)),
        UseState::Ejected { .. }
    ));
    assert_eq!(driver.use_state("e1", at(26_010)), UseState::SlowStart);
}

/// Guards against treating unequal upstreams as equal: the fast one must get the requests while it
/// has capacity, and the slow one when the fast one is at its limit.
#[test]
fn learns_unequal_speeds() {
    let mut driver = TableDriver::new(&["fast", "slow"]);
    for step in 0..200 {
        let now = at(step * 20);
        let name = driver
            .table
            .select(&driver.request, now, &mut driver.rng)
            .expect("usable");
        let millis = if name.upstream.as_str() == "slow" {
            900
        } else {
            100
        };
        let attempt = driver.table.started(name.key, &driver.request, now);
        let end = now + Duration::from_millis(millis);
        driver.table.first_token(attempt, end);
        driver
            .table
            .finished(attempt, AttemptOutcome::Answered, end);
    }
    let counts = driver.spread(100, at(10_000));
    assert_eq!(counts.get("slow"), None, "{counts:?}");
    // The fast upstream is at its limit, so the slow one is selected.
    let report = LoadReport {
        running: 16,
        queued: 30,
        ..LoadReport::default()
    };
    driver.table.load_report(&"fast".into(), report, at(10_000));
    assert_eq!(driver.spread(100, at(10_001)).get("fast"), None);
}

/// Guards against double counting of own requests, some of which a stale report already includes.
#[test]
fn corrects_lagging_reports_by_own_requests() {
    let mut driver = TableDriver::new(&["e1"]);
    let key = driver
        .table
        .select(&driver.request, at(0), &mut driver.rng)
        .expect("usable")
        .key;
    let load = |driver: &TableDriver| driver.table.snapshot(at(3_000)).upstreams[0].estimated_load;
    driver
        .table
        .load_report(&"e1".into(), LoadReport::default(), at(0));
    let first = driver.table.started(key, &driver.request, at(1_000));
    driver.table.started(key, &driver.request, at(2_000));
    assert!((load(&driver) - 2.0).abs() < 1e-9);
    // Taken at 1.5 s: includes the first request and two of other routers, but not the second.
    let report = LoadReport {
        running: 3,
        age: Duration::from_millis(1_000),
        ..LoadReport::default()
    };
    driver.table.load_report(&"e1".into(), report, at(2_500));
    assert!((load(&driver) - 4.0).abs() < 1e-9);
    // A report older than the current one is ignored.
    let old = LoadReport {
        running: 9,
        age: Duration::from_millis(2_000),
        ..LoadReport::default()
    };
    driver.table.load_report(&"e1".into(), old, at(2_600));
    assert!((load(&driver) - 4.0).abs() < 1e-9);
    driver
        .table
        .finished(first, AttemptOutcome::Answered, at(2_700));
    assert!((load(&driver) - 3.0).abs() < 1e-9);
}

/// Guards against herding: routers with the same stale reports must not all choose the same
/// upstream.
#[test]
fn spreads_routers_with_the_same_view() {
    let names: Vec<String> = (0..9).map(|index| format!("e{index}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let mut counts: HashMap<String, usize> = HashMap::new();
    for seed in 0..350 {
        let mut driver = TableDriver::new(&names);
        driver.rng = ChaCha8Rng::seed_from_u64(seed);
        driver.table.set_routers(350);
        for (index, name) in names.iter().enumerate() {
            let report = LoadReport {
                running: 10 + index as u32 / 3,
                ..LoadReport::default()
            };
            driver.table.load_report(&(*name).into(), report, at(0));
        }
        for (name, count) in driver.spread(1, at(100)) {
            *counts.entry(name).or_default() += count;
        }
    }
    let most = counts.values().max().copied().unwrap_or(0);
    assert!(most <= 350 * 3 / 9, "{counts:?}");
}

/// Guards against prefixes that are prefilled at every upstream, and against overloading one upstream
/// with a popular prefix.
#[test]
fn follows_prefixes_within_the_load_bound() {
    let names = ["e1", "e2", "e3", "e4"];
    let mut preferred = HashMap::new();
    for seed in 0..20 {
        let mut driver = TableDriver::new(&names);
        driver.rng = ChaCha8Rng::seed_from_u64(seed);
        driver.request.prefix = Some(PrefixHint {
            digest: 99,
            tokens: 400,
        });
        for (name, count) in driver.spread(1, at(0)) {
            *preferred.entry(name).or_insert(0) += count;
        }
    }
    assert_eq!(
        preferred.len(),
        1,
        "routers disagree about the prefix: {preferred:?}"
    );
    let preferred_name = preferred.into_keys().next().expect("one upstream");
    let mut driver = TableDriver::with_bound(&names, 1.25);
    // The prefix is long enough to outweigh a few more requests in the batch.
    driver.request.prompt_tokens = 4_100;
    driver.request.prefix = Some(PrefixHint {
        digest: 99,
        tokens: 4_000,
    });
    let mut cached = Vec::new();
    for _ in 0..24 {
        let selection = driver.table.select(&driver.request, at(1), &mut driver.rng);
        let selection = selection.expect("usable");
        let attempt = driver.table.started(selection.key, &driver.request, at(1));
        let millis = if cached.contains(&selection.key) {
            120
        } else {
            900
        };
        cached.push(selection.key);
        driver.table.first_token(attempt, at(1 + millis));
    }
    let snapshot = driver.table.snapshot(at(2));
    let own = |upstream: &UpstreamSnapshot| upstream.own;
    let most = snapshot.upstreams.iter().map(own).max().unwrap_or(0);
    let used = |upstream: &&UpstreamSnapshot| upstream.name.as_str() == preferred_name;
    let preferred_own = snapshot.upstreams.iter().find(used).map(own);
    assert_eq!(preferred_own, Some(most), "the preferred upstream got less");
    // 1.25 times the mean of 6, plus one request.
    assert!(most <= 9, "{most} of 24 requests at one upstream");
}

/// Guards against routing to a prefix that was evicted.
#[test]
fn forgets_evicted_prefixes() {
    let mut driver = TableDriver::new(&["e1", "e2", "e3", "e4"]);
    driver
        .table
        .cache_event(&"e3".into(), CacheEvent::Stored(7));
    driver.request.prefix = Some(PrefixHint {
        digest: 7,
        tokens: 450,
    });
    let expected = |driver: &mut TableDriver| {
        let mut least = Duration::MAX;
        for _ in 0..50 {
            let selection = driver.table.select(&driver.request, at(1), &mut driver.rng);
            least = least.min(selection.expect("usable").expected);
        }
        least
    };
    let cached = expected(&mut driver);
    driver
        .table
        .cache_event(&"e3".into(), CacheEvent::Evicted(7));
    let evicted = expected(&mut driver);
    assert!(
        cached < evicted,
        "{cached:?} with the prefix, {evicted:?} without"
    );
}

/// Guards against a wrong selection error, by which the caller decides whether to queue.
#[test]
fn reports_selection_errors() {
    let mut driver = TableDriver::new(&["e1"]);
    let unknown = RouteRequest::new(RouteTarget::Service("x".into()));
    let error = driver
        .table
        .select(&unknown, at(0), &mut driver.rng)
        .expect_err("unknown");
    assert!(matches!(error, SelectError::UnknownTarget { .. }));
    // With its fair share of 10 (half of 1.25 x 16) in flight, the router may only use free slots.
    driver.table.set_routers(2);
    let key = driver
        .table
        .select(&driver.request, at(0), &mut driver.rng)
        .expect("idle")
        .key;
    for _ in 0..10 {
        driver.table.started(key, &driver.request, at(0));
    }
    for (running, is_full) in [(15, false), (16, true)] {
        let report = LoadReport {
            running,
            ..LoadReport::default()
        };
        driver.table.load_report(&"e1".into(), report, at(0));
        let result = driver.table.select(&driver.request, at(0), &mut driver.rng);
        assert_eq!(result.is_err(), is_full, "{running} requests");
    }
    let error = driver
        .table
        .select(&driver.request, at(0), &mut driver.rng)
        .expect_err("full");
    assert!(matches!(error, SelectError::Full { .. }));
    assert_eq!(error.kind(), ErrorKind::Overloaded);
    driver.request.allowed = Some(Vec::new().into());
    let error = driver
        .table
        .select(&driver.request, at(0), &mut driver.rng)
        .expect_err("forbidden");
    assert!(matches!(error, SelectError::Unusable { .. }));
    assert_eq!(error.kind(), ErrorKind::NoUpstream);
}

/// Guards against a large group in which sampling misses the only usable upstream.
#[test]
fn finds_the_only_usable_upstream_of_many() {
    let names: Vec<String> = (0..500).map(|index| format!("e{index}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let mut driver = TableDriver::new(&names);
    for name in &names[1..] {
        driver
            .table
            .instance_state(&(*name).into(), InstanceState::Leaving);
    }
    assert_eq!(
        driver.spread(50, at(1)),
        HashMap::from([("e0".to_owned(), 50)])
    );
}

/// Guards against a score of NaN after latencies below the clock resolution.
#[test]
fn handles_zero_latencies() {
    let mut driver = TableDriver::new(&["e1", "e2"]);
    for step in 0..20_000 {
        driver.send(0, AttemptOutcome::Answered, at(step));
    }
    let selection = driver
        .table
        .select(&driver.request, at(20_000), &mut driver.rng);
    assert!(selection.expect("usable").expected < Duration::from_secs(1));
}

/// Guards against requests to an upstream in the pause that it has asked for, and against one that
/// stays unused afterwards.
#[test]
fn request_is_sent_in_a_pause() {
    let mut driver = TableDriver::new(&["e1", "e2"]);
    let refused = driver.table.select(&driver.request, at(0), &mut driver.rng);
    let refused = refused.expect("usable");
    let attempt = driver.table.started(refused.key, &driver.request, at(0));
    let notice = UpstreamNotice {
        pause: Some(Duration::from_secs(2)),
        ..UpstreamNotice::default()
    };
    assert!(driver.table.record_notice(attempt, &notice, at(0)));
    driver
        .table
        .finished(attempt, AttemptOutcome::Refused, at(0));
    let name = refused.upstream.as_str();
    assert_eq!(driver.spread(100, at(1_999)).get(name), None);
    let paused = UseState::Paused { remaining_ms: 1 };
    assert_eq!(driver.use_state(name, at(1_999)), paused);
    assert!(driver.spread(100, at(2_000)).contains_key(name));
}
