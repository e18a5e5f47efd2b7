//! Requests whose content crashes the upstreams that run them.

mod common;

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use common::{FakePlatform, FakeUpstream, Fixture, FixtureOptions, document, record};
use cornelarch_gateway::PlatformEdge;
use reqwest::StatusCode;
use rstest::rstest;

/// Crashes in the whole fleet by which their cause must be recognised.
const CRASHES_MAX: usize = 5;
const UPSTREAMS: usize = 12;
/// Requests that crash an upstream, sent in each test.
const DEADLY_REQUESTS: usize = 16;
const DEADLY_PERIOD: Duration = Duration::from_millis(150);
const INSTANCES: [&str; 3] = ["g1", "g2", "g3"];
/// Name of the stored copy of the blocked content.
const STORED_NAME: &str = "test-blocked";
/// Time in which instances discover each other and their upstreams.
const WARM_UP: Duration = Duration::from_millis(1_500);

/// Returns the prompt parts of a request that crashes engines. Such requests share only their first
/// part and the deadly one.
fn unlike_parts(number: usize) -> String {
    format!("a1:40,b{number}:20,bad0:20,c{number}:20")
}

/// Instances that know each other, in front of upstreams that crash under some requests.
struct CrashFleet {
    platform: Arc<FakePlatform>,
    fixtures: Vec<Fixture>,
    upstreams: Vec<FakeUpstream>,
}

impl CrashFleet {
    /// Starts a fleet whose upstreams crash when a request head contains `deadly`.
    async fn start(instances: usize, attempts: u32, service: &str, deadly: &str) -> Self {
        let platform = Arc::new(FakePlatform::default());
        let options = FixtureOptions {
            attempts,
            ..FixtureOptions::default()
        };
        platform.publish(document(1, &options));
        let mut upstreams = Vec::new();
        for number in 0..UPSTREAMS {
            let upstream = FakeUpstream::start_fragile(deadly).await;
            platform.list(record(&format!("u{number}"), service, upstream.address));
            upstreams.push(upstream);
        }
        let mut fleet = Self {
            platform,
            fixtures: Vec::new(),
            upstreams,
        };
        for instance in &INSTANCES[..instances] {
            fleet.add_instance(instance).await;
        }
        tokio::time::sleep(WARM_UP).await;
        fleet
    }

    /// Starts an instance that knows the others.
    async fn add_instance(&mut self, instance: &'static str) {
        let options = FixtureOptions {
            instance,
            seeds: self.fixtures.iter().map(|fixture| fixture.peers).collect(),
            ..FixtureOptions::default()
        };
        let platform = Arc::clone(&self.platform);
        self.fixtures
            .push(Fixture::start_with(&options, platform).await);
    }

    fn crashes(&self) -> usize {
        let crashed = self.upstreams.iter().filter(|u| u.has_crashed());
        crashed.count()
    }

    /// Sends a request to one instance and returns the status, or `None` if the answer broke off.
    async fn send(&self, number: usize, path: &str, parts: &str) -> Option<StatusCode> {
        let fixture = &self.fixtures[number % self.fixtures.len()];
        let request = fixture.post(path, &format!("r{number}-{parts}"));
        let request = request.header("t-tokens", "100,50");
        let request = request.header("t-parts", parts).body(parts.to_owned());
        let response = request.send().await;
        let response = response.ok()?;
        let status = response.status();
        response.text().await.ok().map(|_| status)
    }

    /// Sends the requests that crash upstreams, one after the other.
    async fn send_deadly(&self, path: &str, parts: impl Fn(usize) -> String) {
        for number in 0..DEADLY_REQUESTS {
            self.send(number, path, &parts(number)).await;
            tokio::time::sleep(DEADLY_PERIOD).await;
        }
    }
}

/// Guards against a prompt part that crashes one engine after the other, because no two requests
/// with it are alike and each instance sees only some of them.
#[rstest]
#[tokio::test]
async fn prompt_part_crashes_engine_after_engine(
    #[values(1, 3)] instances: usize,
    #[values(1, 2)] attempts: u32,
) {
    let fleet = CrashFleet::start(instances, attempts, "engine", "bad0").await;
    fleet.send_deadly("/stream/a", unlike_parts).await;
    let crashes = fleet.crashes();
    assert!(crashes > 0, "no upstream has crashed");
    assert!(crashes <= CRASHES_MAX, "{crashes} upstreams have crashed");
}

/// Guards against an instance that joins and sends what the others have blocked.
#[tokio::test]
async fn joining_instance_sends_blocked_content() {
    let mut fleet = CrashFleet::start(2, 1, "engine", "bad0").await;
    fleet.send_deadly("/stream/a", unlike_parts).await;
    let crashes = fleet.crashes();
    fleet.add_instance("g3").await;
    tokio::time::sleep(WARM_UP).await;
    // The third instance gets every third of these.
    fleet
        .send_deadly("/stream/a", |number| unlike_parts(number + 50))
        .await;
    assert_eq!(fleet.crashes(), crashes);
}

/// Guards against a fleet that forgets what it has blocked when all instances end at once.
#[tokio::test]
async fn restarted_fleet_sends_blocked_content() {
    let mut fleet = CrashFleet::start(2, 1, "engine", "bad0").await;
    fleet.send_deadly("/stream/a", unlike_parts).await;
    let crashes = fleet.crashes();
    fleet.fixtures.clear();
    fleet.add_instance("g1").await;
    fleet.add_instance("g2").await;
    fleet
        .send_deadly("/stream/a", |number| unlike_parts(number + 50))
        .await;
    assert_eq!(fleet.crashes(), crashes);
}

/// Guards against an instance that does not start, or forgets what it blocks, because the stored
/// copy cannot be read or the platform is away.
#[tokio::test]
async fn unreadable_copy_of_the_blocked_content_is_fatal() {
    let mut fleet = CrashFleet::start(1, 1, "engine", "bad0").await;
    let garbage = Bytes::from_static(b"[1]");
    let written = fleet.platform.write_object(STORED_NAME, 0, garbage).await;
    written.expect("object is new");
    fleet.fixtures.clear();
    fleet.add_instance("g1").await;
    fleet.platform.set_down(true);
    fleet.send_deadly("/stream/a", unlike_parts).await;
    let crashes = fleet.crashes();
    assert!(crashes <= CRASHES_MAX, "{crashes} upstreams have crashed");
    fleet.platform.set_down(false);
    tokio::time::sleep(Duration::from_secs(2)).await;
    fleet.fixtures.clear();
    fleet.add_instance("g1").await;
    fleet
        .send_deadly("/stream/a", |number| unlike_parts(number + 50))
        .await;
    assert_eq!(fleet.crashes(), crashes);
}

/// Guards against requests that wait at an upstream when their content is blocked, and crash it
/// later.
#[tokio::test]
async fn waiting_request_crashes_its_upstream_after_the_block() {
    let fleet = CrashFleet::start(1, 1, "engine", "bad0").await;
    for upstream in &fleet.upstreams {
        upstream.delay_crash(Duration::from_millis(600));
    }
    let send = async |number: usize| {
        // The first ones crash their upstreams while the later ones still wait.
        tokio::time::sleep(Duration::from_millis(150) * number as u32).await;
        fleet.send(number, "/stream/a", &unlike_parts(number)).await;
    };
    tokio::join!(
        send(0),
        send(1),
        send(2),
        send(3),
        send(4),
        send(5),
        send(6),
        send(7)
    );
    tokio::time::sleep(Duration::from_millis(700)).await;
    let crashes = fleet.crashes();
    assert!(crashes <= CRASHES_MAX, "{crashes} upstreams have crashed");
}

/// Guards against refusing sound requests that share other parts with those that crash engines.
#[tokio::test]
async fn parts_beside_a_deadly_one_are_refused() {
    let fleet = CrashFleet::start(3, 1, "engine", "bad0").await;
    fleet
        .send_deadly("/stream/a", |number| {
            format!("a1:40,b2:20,bad0:20,c{number}:20")
        })
        .await;
    assert!(fleet.crashes() <= CRASHES_MAX);
    for number in 0..6 {
        let parts = format!("a1:40,b2:20,d{number}:20");
        let status = fleet.send(number, "/stream/a", &parts).await;
        assert_eq!(status, Some(StatusCode::OK));
    }
}

/// Guards against a repeated request that crashes one upstream after the other.
#[rstest]
#[case::one_instance(1)]
#[case::three_instances(3)]
#[tokio::test]
async fn repeated_request_crashes_upstream_after_upstream(#[case] instances: usize) {
    let fleet = CrashFleet::start(instances, 1, "plain", "/once/dead").await;
    fleet.send_deadly("/once/dead", |_| String::new()).await;
    let crashes = fleet.crashes();
    assert!(crashes > 0, "no upstream has crashed");
    assert!(crashes <= CRASHES_MAX, "{crashes} upstreams have crashed");
    assert_eq!(fleet.send(0, "/once/sound", "").await, Some(StatusCode::OK));
}
