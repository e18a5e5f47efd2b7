//! Tests of upstream subsetting and the poll schedule.

use std::{collections::HashMap, time::Duration};

use cornelarch_core::{
    base::{InstanceName, ModelName, MonotonicTime, UpstreamName},
    routing::{
        InstanceState, LoadReport, PollSchedule, RouteRequest, RouteTarget, RoutingOptions,
        SubsetOptions, UpstreamSpec, UpstreamSubset, UpstreamTable, UseState,
    },
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

const MODELS: usize = 4;

fn at(millis: u64) -> MonotonicTime {
    MonotonicTime::from_millis(millis)
}

fn names(count: usize) -> Vec<InstanceName> {
    (0..count).map(|index| format!("r{index}").into()).collect()
}

/// Returns `count` engines in a domain that serve `models` models in turn.
fn engines(domain: &str, count: usize, models: usize) -> Vec<UpstreamSpec> {
    (0..count)
        .map(|index| UpstreamSpec {
            concurrency: 4,
            ..UpstreamSpec::engine(
                format!("{domain}-e{index}").into(),
                domain.into(),
                vec![ModelName::from(format!("m{}", index % models))],
            )
        })
        .collect()
}

fn choose(
    instance: &InstanceName,
    members: &[InstanceName],
    specs: &[UpstreamSpec],
) -> UpstreamSubset {
    let specs: Vec<&UpstreamSpec> = specs.iter().collect();
    let options = SubsetOptions::default();
    UpstreamSubset::choose(&options, instance, &"d0".into(), members, &specs)
}

/// Returns the routers that have each upstream in their subset.
fn routers_of(
    members: &[InstanceName],
    specs: &[UpstreamSpec],
) -> HashMap<UpstreamName, Vec<InstanceName>> {
    let mut routers: HashMap<UpstreamName, Vec<InstanceName>> = HashMap::new();
    for member in members {
        for name in choose(member, members, specs).regular.into_keys() {
            routers.entry(name).or_default().push(member.clone());
        }
    }
    routers
}

/// Drives the table of router `r0` in a domain with 30 routers and 90 engines of one model.
struct TableDriver {
    table: UpstreamTable,
    rng: ChaCha8Rng,
    request: RouteRequest,
}

impl TableDriver {
    fn new(seed: u64) -> Self {
        let mut table = UpstreamTable::new(RoutingOptions {
            routers: 350,
            ..RoutingOptions::new("d0".into())
        });
        table.apply(&engines("d0", 90, 1), at(0));
        table.set_members("r0".into(), names(30));
        Self {
            table,
            rng: ChaCha8Rng::seed_from_u64(seed),
            request: RouteRequest::new(RouteTarget::Model("m0".into())),
        }
    }

    fn is_regular(&self, name: &UpstreamName) -> bool {
        self.table.subset().regular.contains_key(name)
    }

    fn regular(&self) -> Vec<UpstreamName> {
        let mut regular: Vec<_> = self.table.subset().regular.keys().cloned().collect();
        regular.sort();
        regular
    }

    fn select(&mut self, now: MonotonicTime) -> UpstreamName {
        let selection = self.table.select(&self.request, now, &mut self.rng);
        selection.expect("an upstream is usable").upstream
    }
}

/// Guards against an upstream in the subsets of fewer routers than configured.
#[rstest]
#[case::one_model(30, 90, 1)]
#[case::target_size(30, 350, MODELS)]
fn covers_each_upstream(#[case] routers: usize, #[case] count: usize, #[case] models: usize) {
    let specs = engines("d0", count, models);
    let routers = routers_of(&names(routers), &specs);
    assert_eq!(routers.len(), count);
    let expected = SubsetOptions::default().routers_per_upstream;
    for (upstream, routers) in routers {
        assert_eq!(routers.len(), expected, "{upstream}");
    }
}

/// Guards against routers with too few upstreams of a model.
#[test]
fn shares_few_upstreams_among_more_routers() {
    let specs = engines("d0", 60, 1);
    for (upstream, routers) in routers_of(&names(30), &specs) {
        assert_eq!(routers.len(), 4, "{upstream}");
    }
}

/// Guards against changing the subsets of all routers when one fails.
#[test]
fn moves_only_the_share_of_a_failed_member() {
    let specs = engines("d0", 350, MODELS);
    let members = names(30);
    let mut live = members.clone();
    let failed = live.remove(7);
    let before = routers_of(&members, &specs);
    let after = routers_of(&live, &specs);
    let mut moved = 0;
    for (upstream, routers) in &before {
        let kept: Vec<_> = routers.iter().filter(|name| **name != failed).collect();
        let now = &after[upstream];
        assert!(kept.iter().all(|name| now.contains(name)), "{upstream}");
        assert_eq!(now.len(), 3, "{upstream}");
        moved += usize::from(kept.len() < routers.len());
    }
    assert_eq!(moved, choose(&failed, &members, &specs).regular.len());
}

/// Guards against routers with far more or fewer upstreams than others.
#[test]
fn spreads_upstreams_evenly() {
    let specs = engines("d0", 350, MODELS);
    let members = names(30);
    let sizes = members
        .iter()
        .map(|member| choose(member, &members, &specs).regular.len());
    let sizes: Vec<usize> = sizes.collect();
    assert_eq!(sizes.iter().sum::<usize>(), 3 * 350);
    // The mean is 35, and the standard deviation of a random choice is 5.6.
    assert!(
        sizes.iter().all(|size| (18..=52).contains(size)),
        "{sizes:?}"
    );
}

/// Guards against subsetting in small deployments: routers use all upstreams of all domains and poll
/// them at the configured period.
#[rstest]
#[case::three_domains(3, 9)]
#[case::four_domains(4, 9)]
#[case::one_domain(1, 9)]
fn small_fleets_use_all_upstreams(#[case] domains: usize, #[case] engines_count: usize) {
    let specs: Vec<UpstreamSpec> = (0..engines_count)
        .map(|index| {
            UpstreamSpec::engine(
                format!("e{index}").into(),
                format!("d{}", index % domains).into(),
                vec!["m0".into()],
            )
        })
        .collect();
    let members = names(9_usize.div_ceil(domains));
    let subset = choose(&members[0], &members, &specs);
    assert_eq!(subset.regular.len(), engines_count);
    assert!(subset.regular.values().all(Option::is_none));
    assert!(subset.rare.is_empty());
    let options = SubsetOptions::default();
    assert_eq!(subset.poll_period(&options), options.load_poll);
}

/// Guards against an unbounded poll rate of a router with a subset.
#[test]
fn paces_a_small_subset() {
    let subset = choose(&"r0".into(), &names(30), &engines("d0", 90, 1));
    let options = SubsetOptions::default();
    let polls_per_s = subset.regular.len() as f64 / subset.poll_period(&options).as_secs_f64();
    assert!(polls_per_s <= options.polls_per_s + 1e-6, "{polls_per_s}");
}

/// Guards against polling all upstreams of other domains at the target size.
#[test]
fn polls_few_upstreams_of_other_domains() {
    let mut specs = engines("d0", 350, MODELS);
    for domain in 1..12 {
        specs.extend(engines(&format!("d{domain}"), 350, MODELS));
    }
    let members = names(30);
    let subset = choose(&members[0], &members, &specs);
    assert!(
        subset
            .regular
            .keys()
            .all(|name| name.as_str().starts_with("d0-"))
    );
    assert_eq!(subset.rare.len(), 2 * MODELS);
    // With few routers in a large fleet, each uses its whole domain, but still not the others.
    let subset = choose(&members[0], &members[..3], &specs);
    assert_eq!(subset.regular.len(), 350);
    assert!(subset.regular.values().all(|sharing| *sharing == Some(3)));
    assert_eq!(subset.rare.len(), 2 * MODELS);
}

/// Guards against a domain with few upstreams of a model that does not use those of other domains.
#[test]
fn fills_up_from_other_domains() {
    let mut specs = engines("d0", 2, 1);
    specs.extend(engines("d1", 350, 1));
    let members = names(30);
    let subset = choose(&members[0], &members, &specs);
    assert_eq!(subset.regular.len(), SubsetOptions::default().upstreams_min);
}

/// Guards against selections outside the subset while it is usable.
#[rstest]
fn prefers_the_subset(#[values(1, 2, 3)] seed: u64) {
    let mut driver = TableDriver::new(seed);
    assert!(driver.regular().len() < 30);
    for _ in 0..200 {
        let upstream = driver.select(at(1));
        assert!(driver.is_regular(&upstream), "{upstream}");
    }
}

/// Guards against refusing a request because no upstream of the subset can take it.
#[rstest]
#[case::leaving(false)]
#[case::full(true)]
fn falls_back_to_other_upstreams(#[case] is_full: bool, #[values(1, 2, 3)] seed: u64) {
    let mut driver = TableDriver::new(seed);
    let full = LoadReport {
        running: 100,
        ..LoadReport::default()
    };
    for name in driver.regular() {
        if is_full {
            // Uses up the fair share of this router, which is available at any load.
            for _ in 0..2 {
                driver.request.allowed = Some([name.clone()].into());
                let selection = driver
                    .table
                    .select(&driver.request, at(1), &mut driver.rng)
                    .expect("usable");
                driver.table.started(selection.key, &driver.request, at(1));
            }
            driver.table.load_report(&name, full, at(2));
        } else {
            driver.table.instance_state(&name, InstanceState::Leaving);
        }
    }
    driver.request.allowed = None;
    let upstream = driver.select(at(3));
    assert!(!driver.is_regular(&upstream), "{upstream}");
}

/// Guards against refusing a customer that may only use upstreams outside the subset.
#[rstest]
fn serves_a_customer_outside_of_the_subset(#[values(1, 2, 3)] seed: u64) {
    let mut driver = TableDriver::new(seed);
    let specs = engines("d0", 90, 1);
    let other = specs
        .iter()
        .find(|spec| !driver.is_regular(&spec.name))
        .expect("the subset is partial");
    driver.request.allowed = Some([other.name.clone()].into());
    assert_eq!(driver.select(at(1)), other.name);
}

/// Guards against fair shares computed from all routers of the fleet: an upstream with 4 slots gives
/// each of 350 routers a share of no request, but each of 3 routers a share of one.
#[test]
fn counts_the_routers_of_the_subset() {
    let mut driver = TableDriver::new(1);
    let name = driver.regular().remove(0);
    assert_eq!(driver.table.subset().regular[&name], Some(3));
    let report = LoadReport {
        running: 4,
        ..LoadReport::default()
    };
    driver.table.load_report(&name, report, at(1));
    let state = |driver: &TableDriver| {
        let snapshot = driver.table.snapshot(at(2));
        let mut upstreams = snapshot.upstreams.into_iter();
        let found = upstreams.find(|upstream| upstream.name == name);
        found.expect("the upstream is listed").use_state
    };
    assert_eq!(state(&driver), UseState::Used);
    driver.table.set_members("r0".into(), Vec::new());
    assert_eq!(state(&driver), UseState::Full);
}

/// Guards against load reports that expire before the next poll.
#[test]
fn keeps_reports_until_the_next_poll() {
    let mut table = UpstreamTable::new(RoutingOptions::new("d0".into()));
    table.apply(&engines("d0", 350, MODELS), at(0));
    table.set_members("r0".into(), names(30));
    let period = table.subset().poll_period(&SubsetOptions::default());
    assert!(period > Duration::from_secs(5), "{period:?}");
    let name = table.subset().regular.keys().next().cloned();
    let name = name.expect("the subset is not empty");
    let report = LoadReport {
        running: 3,
        ..LoadReport::default()
    };
    table.load_report(&name, report, at(0));
    let snapshot = table.snapshot(at(0) + period * 2);
    let mut upstreams = snapshot.upstreams.into_iter();
    let found = upstreams.find(|upstream| upstream.name == name);
    assert!(found.expect("the upstream is listed").estimated_load >= 3.0);
}

/// Guards against poll bursts and starvation: each tick polls at most 4 upstreams/s on average, also
/// when the subset changes, and every upstream gets its turn.
#[test]
fn spreads_polls_over_the_period() {
    let options = SubsetOptions::default();
    let specs = engines("d0", 350, MODELS);
    let members = names(30);
    let mut schedule = PollSchedule::default();
    let mut last: HashMap<UpstreamName, MonotonicTime> = HashMap::new();
    for tick in 0..100_u64 {
        let live = if tick < 50 { &members } else { &members[..29] };
        let subset = choose(&members[0], live, &specs);
        let period = subset.poll_period(&options);
        let now = at(tick * 2_000);
        let upstreams: Vec<_> = subset.regular.keys().cloned().collect();
        let due = schedule.tick(upstreams.clone(), period, options.load_poll, now);
        assert!(due.len() <= 8, "tick {tick}: {}", due.len());
        last.extend(due.into_iter().map(|name| (name, now)));
        if tick > 10 && !(50..60).contains(&tick) {
            for name in &upstreams {
                assert!(now.since(last[name]) <= period + 2 * options.load_poll);
            }
        }
    }
}

/// Guards against polling all upstreams after each document change.
#[test]
fn polls_new_upstreams_at_a_change() {
    let (period, tick) = (Duration::from_secs(2), Duration::from_secs(2));
    let mut schedule = PollSchedule::default();
    let first: Vec<UpstreamName> = vec!["e1".into(), "e2".into()];
    assert_eq!(schedule.tick(first.clone(), period, tick, at(0)), first);
    let mut second = first.clone();
    second.push("e3".into());
    let due = schedule.changed(second.clone(), period, tick, at(100));
    assert_eq!(due, [UpstreamName::from("e3")]);
    assert!(
        schedule
            .changed(second.clone(), period, tick, at(200))
            .is_empty()
    );
    // The new upstream is polled with the others, because its poll is due within half a tick.
    assert_eq!(
        schedule.tick(second.clone(), period, tick, at(2_000)),
        second
    );
}
