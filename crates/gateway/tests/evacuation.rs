//! Evacuations of failure domains, as operators request them at the platform.

mod common;

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use common::{
    FakePlatform, FakeUpstream, Fixture, FixtureOptions, READY_PATH, Reply, document, record,
};
use cornelarch_core::base::DomainName;
use futures_util::future::join_all;
use rstest::rstest;

/// Time limit for the end of new requests to an evacuated domain.
const EVACUATE_TIME: Duration = Duration::from_millis(5_000);
/// Time in which the instances of a test know each other, and those that read the latest state are
/// chosen.
const JOIN_TIME: Duration = Duration::from_millis(2_500);
/// Time in which all instances have news that one of them has read.
const SPREAD_TIME: Duration = Duration::from_millis(500);
/// Groups of requests after which an upstream that got none is not in use.
const USE_TRIES: usize = 10;
/// Time for which an upstream is busy with a request when it is checked which ones are in use.
const BUSY_TIME: Duration = Duration::from_millis(50);
/// Time in which a domain comes back into use.
const RETURN_TIME: Duration = Duration::from_millis(3_500);

fn options(instance: &'static str) -> FixtureOptions {
    FixtureOptions {
        instance,
        has_evacuations: true,
        ..FixtureOptions::default()
    }
}

/// An upstream in each of the domains `c` and `b`, equally far from the instances in `a`.
struct EvacuationFleet {
    upstreams: [FakeUpstream; 2],
    fixtures: Vec<Fixture>,
}

impl EvacuationFleet {
    async fn start_upstreams() -> Self {
        Self {
            upstreams: [
                FakeUpstream::start(vec![]).await,
                FakeUpstream::start(vec![]).await,
            ],
            fixtures: Vec::new(),
        }
    }

    fn platform(&self) -> Arc<FakePlatform> {
        let platform = Arc::new(FakePlatform::default());
        platform.publish(document(1, &FixtureOptions::default()));
        for (domain, upstream) in ["c", "b"].iter().zip(&self.upstreams) {
            let mut entry = record(domain, "plain", upstream.address);
            entry.domain = DomainName::new(domain);
            platform.list(entry);
        }
        platform
    }

    async fn add(&mut self, instance: &'static str, platform: &Arc<FakePlatform>) {
        let options = FixtureOptions {
            seeds: self.fixtures.iter().map(|fixture| fixture.peers).collect(),
            ..options(instance)
        };
        let fixture = Fixture::start_with(&options, Arc::clone(platform)).await;
        self.fixtures.push(fixture);
    }

    async fn start(instances: &[&'static str]) -> Self {
        let mut fleet = Self::start_upstreams().await;
        let platform = fleet.platform();
        for instance in instances {
            fleet.add(instance, &platform).await;
        }
        fleet
    }

    /// Sends requests to an instance at the same time and returns how many reached each domain.
    async fn count_reached(&self, instance: usize) -> [usize; 2] {
        let counts = || [0, 1].map(|index: usize| self.upstreams[index].requests().len());
        let before = counts();
        let fixture = &self.fixtures[instance];
        let ids: Vec<String> = (0..24).map(|number| format!("r{number}")).collect();
        let statuses = join_all(ids.iter().map(|id| async {
            let response = fixture.post("/again/x", id).send().await.expect("answer");
            let status = response.status().as_u16();
            response.bytes().await.expect("whole answer");
            status
        }))
        .await;
        assert_eq!(statuses, vec![200; 24]);
        let after = counts();
        [after[0] - before[0], after[1] - before[1]]
    }

    /// Returns whether an instance uses the domain `b` when its requests are more than one upstream
    /// serves at once. Fewer may all go to the one with the shorter expected latency.
    async fn uses_domain(&self, instance: usize) -> bool {
        let set_replies = |reply: Reply| {
            let upstreams = self.upstreams.iter();
            upstreams.for_each(|upstream| upstream.set_last_reply(reply.clone()));
        };
        set_replies(Reply::Paced(vec!["ok".to_owned()], BUSY_TIME));
        let mut is_used = false;
        for _ in 0..USE_TRIES {
            is_used = self.count_reached(instance).await[1] > 0;
            if is_used {
                break;
            }
        }
        set_replies(Reply::Answer(200, "ok"));
        is_used
    }
}

/// Guards against requests to an evacuated domain on new and on kept connections, and against a
/// domain that gets none after its evacuation.
#[tokio::test]
async fn evacuated_domain_gets_requests() {
    let fleet = EvacuationFleet::start(&["g1"]).await;
    let platform = Arc::clone(&fleet.fixtures[0].platform);
    assert!(fleet.uses_domain(0).await);
    platform.evacuate("b", true);
    tokio::time::sleep(SPREAD_TIME).await;
    assert_eq!(fleet.count_reached(0).await, [24, 0]);
    assert_eq!(fleet.fixtures[0].gauge("evacuated_domains").await, 1);
    // Two requests in quick succession: the later one decides.
    platform.evacuate("b", false);
    platform.evacuate("b", true);
    tokio::time::sleep(SPREAD_TIME).await;
    assert_eq!(fleet.count_reached(0).await, [24, 0]);
    platform.evacuate("b", false);
    tokio::time::sleep(RETURN_TIME).await;
    assert!(fleet.uses_domain(0).await);
}

/// Guards against an evacuation that instances miss which do not watch the evacuations.
#[tokio::test]
async fn evacuation_is_missed_without_a_watch() {
    let fleet = EvacuationFleet::start(&["g1", "g2", "g3", "g4", "g5"]).await;
    let platform = Arc::clone(&fleet.fixtures[0].platform);
    tokio::time::sleep(JOIN_TIME).await;
    // Watches from the time when the instances did not know each other end.
    tokio::time::sleep(Duration::from_millis(4_500)).await;
    let watches = platform.evacuation_watches.load(Ordering::SeqCst);
    platform.evacuate("b", true);
    tokio::time::sleep(SPREAD_TIME).await;
    let watched = platform.evacuation_watches.load(Ordering::SeqCst) - watches;
    assert!((1..=3).contains(&watched), "{watched} watches");
    for instance in 0..5 {
        let reached = fleet.count_reached(instance).await;
        assert_eq!(reached, [24, 0], "instance {instance}");
    }
    platform.evacuate("b", false);
    tokio::time::sleep(RETURN_TIME).await;
    for instance in 0..5 {
        assert!(fleet.uses_domain(instance).await, "instance {instance}");
    }
}

/// What happens to the instance that reads an evacuation, once the others should know it.
#[derive(Clone, Copy, Debug)]
enum LaterFault {
    Nothing,
    /// It is stopped.
    ReaderEnds,
    /// It cannot reach the platform any more either.
    PlatformFails,
}

/// Guards against requests to an evacuated domain from an instance that the platform rejects, and from
/// one that has its news from an instance that has ended.
#[rstest]
#[tokio::test]
async fn rejected_instance_misses_an_evacuation(
    #[values(LaterFault::Nothing, LaterFault::ReaderEnds, LaterFault::PlatformFails)]
    fault: LaterFault,
) {
    let mut fleet = EvacuationFleet::start_upstreams().await;
    let (served, rejected) = (fleet.platform(), fleet.platform());
    // Both stand for one store: what the rejected instance has read is older.
    for _ in 0..50 {
        served.publish(document(1, &FixtureOptions::default()));
    }
    fleet.add("g1", &served).await;
    fleet.add("g2", &rejected).await;
    tokio::time::sleep(JOIN_TIME).await;
    rejected.set_down(true);
    served.evacuate("b", true);
    tokio::time::sleep(SPREAD_TIME).await;
    match fault {
        LaterFault::Nothing => {}
        LaterFault::ReaderEnds => drop(fleet.fixtures[0].gateway.take()),
        LaterFault::PlatformFails => served.set_down(true),
    }
    assert_eq!(fleet.count_reached(1).await, [24, 0]);
    tokio::time::sleep(EVACUATE_TIME).await;
    assert_eq!(fleet.count_reached(1).await, [24, 0]);
}

/// Guards against requests to an evacuated domain after a restart of all instances, and against an
/// instance that becomes ready before it knows the evacuations.
#[tokio::test]
async fn restarted_fleet_forgets_an_evacuation() {
    let mut fleet = EvacuationFleet::start(&["g1", "g2"]).await;
    let platform = Arc::clone(&fleet.fixtures[0].platform);
    platform.evacuate("b", true);
    tokio::time::sleep(SPREAD_TIME).await;
    fleet.fixtures.clear();
    for instance in ["g3", "g4"] {
        fleet.add(instance, &platform).await;
        let index = fleet.fixtures.len() - 1;
        assert_eq!(fleet.count_reached(index).await, [24, 0]);
    }
}

/// Guards against an instance that is ready although it does not know which domains are evacuated.
#[tokio::test]
async fn instance_is_ready_without_the_evacuations() {
    let fleet = EvacuationFleet::start_upstreams().await;
    let platform = fleet.platform();
    platform.evacuate("b", true);
    platform.hides_evacuations.store(true, Ordering::SeqCst);
    let fixture = Fixture::start_unready(&options("g1"), Arc::clone(&platform)).await;
    tokio::time::sleep(SPREAD_TIME).await;
    let url = format!("http://{}{READY_PATH}", fixture.ready);
    let response = fixture.client.get(url).send().await.expect("answer");
    assert_eq!(response.status(), 503);
    platform.hides_evacuations.store(false, Ordering::SeqCst);
    tokio::time::sleep(Duration::from_secs(2)).await;
    fixture.wait_ready().await;
    assert_eq!(fixture.gauge("evacuated_domains").await, 1);
}

/// Guards against an evacuation that is missed because the history of the store was dropped, or
/// because it was requested during an outage.
#[rstest]
#[tokio::test]
async fn evacuation_during_an_outage_is_missed(#[values(true, false)] is_compacted: bool) {
    let fleet = EvacuationFleet::start(&["g1", "g2", "g3", "g4"]).await;
    let platform = Arc::clone(&fleet.fixtures[0].platform);
    tokio::time::sleep(JOIN_TIME).await;
    platform.set_down(true);
    tokio::time::sleep(Duration::from_millis(600)).await;
    platform.evacuate("b", true);
    if is_compacted {
        platform.compact();
    }
    platform.set_down(false);
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    for instance in 0..4 {
        assert_eq!(fleet.count_reached(instance).await, [24, 0]);
    }
}

/// Guards against a stream that resumes, or a call that is repeated, in an evacuated domain.
#[tokio::test]
async fn repeat_goes_to_an_evacuated_domain() {
    let fleet = EvacuationFleet::start(&["g1"]).await;
    let platform = Arc::clone(&fleet.fixtures[0].platform);
    platform.evacuate("b", true);
    tokio::time::sleep(SPREAD_TIME).await;
    fleet.upstreams[0].set_last_reply(Reply::Reset);
    let response = fleet.fixtures[0].post("/again/x", "r").send().await;
    assert_ne!(response.expect("answer").status(), 200);
    assert_eq!(fleet.upstreams[1].requests().len(), 0);
}

/// Guards against an evacuation that is not followed because it leaves a service with nothing.
#[tokio::test]
async fn last_domain_is_not_evacuated() {
    let fleet = EvacuationFleet::start(&["g1"]).await;
    let platform = Arc::clone(&fleet.fixtures[0].platform);
    platform.evacuate("c", true);
    platform.evacuate("b", true);
    tokio::time::sleep(SPREAD_TIME).await;
    let response = fleet.fixtures[0].post("/again/x", "r").send().await;
    assert_eq!(response.expect("answer").status(), 503);
    platform.evacuate("c", false);
    tokio::time::sleep(SPREAD_TIME).await;
    assert_eq!(fleet.count_reached(0).await, [24, 0]);
}

/// Guards against calls for evacuations at a platform that does not know them.
#[tokio::test]
async fn platform_without_evacuations_is_asked_for_them() {
    let fleet = EvacuationFleet::start_upstreams().await;
    let platform = fleet.platform();
    let fixture = Fixture::start_with(&FixtureOptions::default(), Arc::clone(&platform)).await;
    platform.evacuate("b", true);
    tokio::time::sleep(SPREAD_TIME).await;
    assert_eq!(platform.evacuation_lists.load(Ordering::SeqCst), 0);
    assert_eq!(fixture.gauge("evacuated_domains").await, 0);
}
