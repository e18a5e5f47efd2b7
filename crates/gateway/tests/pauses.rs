//! Upstreams that refuse a request and want no further ones for some time.

mod common;

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use common::{FakePlatform, FakeUpstream, Fixture, FixtureOptions, Reply, document, record};
use rstest::rstest;

const PAUSE: Duration = Duration::from_secs(2);
const REFUSAL: &str = "retry-after: 2\r\nt-not-run: 1\r\n";
/// Time after the refusal in which requests that were already on their way may still arrive.
const SETTLE_TIME: Duration = Duration::from_millis(500);
/// Requests from one instance that an upstream tolerates between the settle time and the end of the
/// pause.
const TOLERATED: usize = 2;
const REQUEST_PERIOD: Duration = Duration::from_millis(25);
/// Time in which a gateway learns of a change at the platform.
const SYNC_TIME: Duration = Duration::from_millis(1_200);

/// What happens at the start of the pause.
#[derive(Clone, Copy, Debug)]
enum LaterChange {
    Nothing,
    /// The directory entry changes, but describes the same incarnation.
    ChangedEntry,
    /// The directory entry is removed, and comes back as it was.
    LapsedEntry,
    NewDocument,
}

/// A gateway in front of an upstream that has just refused a request, and a sound one.
struct PausedFleet {
    platform: Arc<FakePlatform>,
    fixture: Fixture,
    paused: FakeUpstream,
    sound: FakeUpstream,
    refused_at: Instant,
}

impl PausedFleet {
    /// Starts a fleet of which one upstream refuses all requests in this way.
    async fn start(
        service: &str,
        path: &str,
        headers: &'static str,
        options: &FixtureOptions,
    ) -> Self {
        let platform = Arc::new(FakePlatform::default());
        platform.publish(document(1, options));
        let paused = FakeUpstream::start(vec![]).await;
        paused.set_last_reply(Reply::AnswerWith(503, headers, ""));
        let sound = FakeUpstream::start(vec![]).await;
        if service == "engine" {
            sound.set_last_reply(Reply::Events(vec!["id: 1\ndata: t1\n\n".to_owned()]));
        }
        platform.list(record("paused", service, paused.address));
        let fixture = Fixture::start_with(options, Arc::clone(&platform)).await;
        let mut fleet = Self {
            platform,
            fixture,
            paused,
            sound,
            refused_at: Instant::now(),
        };
        assert_eq!(fleet.send(path, "first").await.status(), 503);
        assert_eq!(fleet.paused.requests().len(), 1);
        fleet.refused_at = Instant::now();
        fleet
            .platform
            .list(record("sound", service, fleet.sound.address));
        fleet
    }

    async fn send(&self, path: &str, id: &str) -> reqwest::Response {
        let request = self.fixture.post(path, id).header("t-tokens", "100,50");
        request.send().await.expect("answer")
    }

    /// Sends requests from the settle time to the end of the pause, and returns how many of them
    /// reached the paused upstream.
    async fn count_reached(&self, path: &str) -> usize {
        tokio::time::sleep_until((self.refused_at + SETTLE_TIME).into()).await;
        let before = self.paused.requests().len();
        let mut number = 0;
        while self.refused_at.elapsed() + REQUEST_PERIOD < PAUSE {
            let response = self.send(path, &format!("r{number}")).await;
            response.text().await.expect("whole answer");
            number += 1;
            tokio::time::sleep(REQUEST_PERIOD).await;
        }
        self.paused.requests().len() - before
    }

    async fn apply_change(&self, change: LaterChange) {
        let mut entry = record("paused", "plain", self.paused.address);
        match change {
            LaterChange::Nothing => {}
            LaterChange::ChangedEntry => {
                entry.slots += 1;
                self.platform.list(entry);
            }
            LaterChange::LapsedEntry => {
                self.platform.unlist("paused");
                tokio::time::sleep(SETTLE_TIME).await;
                self.platform.list(entry);
            }
            LaterChange::NewDocument => {
                self.platform
                    .publish(document(2, &FixtureOptions::default()));
            }
        }
    }
}

/// Guards against requests, first ones and repeats, to an upstream in the pause that it asked for.
#[rstest]
#[case::call("plain", "/again/a")]
#[case::order("plain", "/once/a")]
#[case::stream("engine", "/stream/a")]
#[tokio::test]
async fn request_reaches_upstream_in_its_pause(#[case] service: &str, #[case] path: &str) {
    let fleet = PausedFleet::start(service, path, REFUSAL, &FixtureOptions::default()).await;
    let reached = fleet.count_reached(path).await;
    assert!(reached <= TOLERATED, "{reached} requests in the pause");
}

/// Guards against a pause that a later change makes the gateway forget.
#[rstest]
#[tokio::test]
async fn pause_is_forgotten(
    #[values(
        LaterChange::Nothing,
        LaterChange::ChangedEntry,
        LaterChange::LapsedEntry,
        LaterChange::NewDocument
    )]
    change: LaterChange,
) {
    let options = FixtureOptions::default();
    let fleet = PausedFleet::start("plain", "/again/a", REFUSAL, &options).await;
    fleet.apply_change(change).await;
    let reached = fleet.count_reached("/again/a").await;
    assert!(reached <= TOLERATED, "{reached} requests in the pause");
}

/// Guards against callers that wait for, or come back too early to, a service whose upstreams have
/// all asked for a pause.
#[tokio::test]
async fn callers_of_a_paused_service_come_back_too_early() {
    let options = FixtureOptions::default();
    let fleet = PausedFleet::start("plain", "/again/a", REFUSAL, &options).await;
    fleet.platform.unlist("sound");
    tokio::time::sleep(SYNC_TIME).await;
    let mut delays = Vec::new();
    for number in 0..8 {
        let began = Instant::now();
        let left = PAUSE.saturating_sub(fleet.refused_at.elapsed());
        let response = fleet.send("/again/a", &format!("r{number}")).await;
        assert_eq!(response.status(), 503);
        assert!(began.elapsed() < Duration::from_millis(200));
        let delay = response.headers()["retry-after"].to_str().expect("text");
        let delay = Duration::from_secs_f64(delay.parse().expect("seconds"));
        assert!(
            delay + Duration::from_millis(100) >= left,
            "{delay:?} of {left:?}"
        );
        delays.push(delay);
    }
    delays.sort();
    // A pause is the same for all callers, so that equal delays would bring them back at once.
    let spread = delays[delays.len() - 1].saturating_sub(delays[0]);
    assert!(spread > Duration::from_millis(50), "{delays:?}");
    assert_eq!(fleet.paused.requests().len(), 1);
}

/// Guards against an upstream that stays unused after its pause, or because of a delay that is no
/// sensible number.
#[rstest]
#[case::passed(REFUSAL, PAUSE)]
#[case::text("retry-after: soon\r\nt-not-run: 1\r\n", Duration::ZERO)]
#[case::negative("retry-after: -5\r\nt-not-run: 1\r\n", Duration::ZERO)]
#[case::not_a_number("retry-after: NaN\r\nt-not-run: 1\r\n", Duration::ZERO)]
#[tokio::test]
async fn upstream_stays_unused_after_its_pause(
    #[case] headers: &'static str,
    #[case] pause: Duration,
) {
    let options = FixtureOptions::default();
    let fleet = PausedFleet::start("plain", "/again/a", headers, &options).await;
    fleet.platform.unlist("sound");
    fleet.paused.set_last_reply(Reply::Answer(200, "ok"));
    tokio::time::sleep(SYNC_TIME.max(pause)).await;
    let response = fleet.send("/again/a", "later").await;
    assert_eq!(response.status(), 200);
}
