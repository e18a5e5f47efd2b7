//! Upstreams that announce in a response that they are shutting down.

mod common;

use std::{sync::Arc, time::Duration};

use common::{FakePlatform, FakeUpstream, Fixture, FixtureOptions, Reply, document, record};
use futures_util::future::join_all;
use rstest::rstest;

const LEAVING: &str = "t-leaving: 1\r\n";
const LEAVING_REFUSAL: &str = "t-leaving: 1\r\nt-not-run: 1\r\n";
/// Requests sent after the announcement, enough for each usable upstream to get several.
const REQUESTS: usize = 24;
/// Time in which a gateway learns of a change at the platform.
const SYNC_TIME: Duration = Duration::from_millis(1_200);
const STARTED_MS: u64 = 1_000;

/// What happens between the announcement and the next requests.
#[derive(Clone, Copy, Debug)]
enum LaterChange {
    Nothing,
    /// The directory lists the upstream as ready, with another number of slots.
    ReadyEntry,
    /// The directory entry is removed, and comes back as it was.
    LapsedEntry,
    NewDocument,
    PlatformOutage,
}

fn event_stream() -> Vec<String> {
    vec!["id: 1\ndata: t1\n\n".to_owned()]
}

/// A gateway in front of an upstream that leaves and one that stays.
struct LeavingFleet {
    platform: Arc<FakePlatform>,
    fixture: Fixture,
    leaving: FakeUpstream,
    staying: FakeUpstream,
    service: &'static str,
}

impl LeavingFleet {
    /// Starts a fleet and lets the leaving upstream announce it in `reply` to a request for `path`.
    async fn start(service: &'static str, path: &str, reply: Reply) -> Self {
        let platform = Arc::new(FakePlatform::default());
        let options = FixtureOptions::default();
        platform.publish(document(1, &options));
        let fleet = Self {
            leaving: FakeUpstream::start(vec![reply]).await,
            staying: FakeUpstream::start(vec![]).await,
            fixture: {
                let platform = Arc::clone(&platform);
                Fixture::start_with(&options, platform).await
            },
            platform,
            service,
        };
        for upstream in [&fleet.leaving, &fleet.staying] {
            if service == "engine" {
                upstream.set_last_reply(Reply::Events(event_stream()));
            }
        }
        fleet.list_leaving(STARTED_MS);
        tokio::time::sleep(SYNC_TIME).await;
        fleet.send(path, "first").await;
        assert_eq!(fleet.leaving.requests().len(), 1);
        fleet
    }

    /// Lists the leaving upstream as ready.
    fn list_leaving(&self, started_unix_ms: u64) {
        let mut entry = record("leaving", self.service, self.leaving.address);
        entry.started_unix_ms = Some(started_unix_ms);
        self.platform.list(entry);
    }

    async fn list_staying(&self) {
        let entry = record("staying", self.service, self.staying.address);
        self.platform.list(entry);
        tokio::time::sleep(SYNC_TIME).await;
    }

    async fn send(&self, path: &str, id: &str) -> u16 {
        let request = self.fixture.post(path, id).header("t-tokens", "100,50");
        let response = request.send().await.expect("answer");
        let status = response.status().as_u16();
        response.text().await.expect("whole answer");
        status
    }

    /// Sends requests at the same time, so that they spread over all usable upstreams, and returns
    /// how many of them reached the leaving one. All have to end with `status`.
    async fn count_reached(&self, path: &str, status: u16) -> usize {
        let before = self.leaving.requests().len();
        let ids: Vec<String> = (0..REQUESTS).map(|number| format!("r{number}")).collect();
        let statuses = join_all(ids.iter().map(|id| self.send(path, id))).await;
        assert_eq!(statuses, vec![status; REQUESTS]);
        self.leaving.requests().len() - before
    }

    async fn apply_change(&self, change: LaterChange) {
        match change {
            LaterChange::Nothing => {}
            LaterChange::ReadyEntry => {
                let mut entry = record("leaving", self.service, self.leaving.address);
                entry.started_unix_ms = Some(STARTED_MS);
                entry.slots += 1;
                self.platform.list(entry);
            }
            LaterChange::LapsedEntry => {
                self.platform.unlist("leaving");
                tokio::time::sleep(SYNC_TIME).await;
                self.list_leaving(STARTED_MS);
            }
            LaterChange::NewDocument => {
                self.platform
                    .publish(document(2, &FixtureOptions::default()));
            }
            LaterChange::PlatformOutage => self.platform.set_down(true),
        }
        tokio::time::sleep(SYNC_TIME).await;
    }
}

/// Guards against requests to an upstream that has announced its shutdown in a response, whatever
/// the response is, while the directory lists it as ready.
#[rstest]
#[case::success("plain", "/again/a", Reply::AnswerWith(200, LEAVING, "ok"))]
#[case::order("plain", "/once/a", Reply::AnswerWith(200, LEAVING, "ok"))]
#[case::failure("plain", "/once/a", Reply::AnswerWith(500, LEAVING, "x"))]
#[case::refusal("plain", "/again/a", Reply::AnswerWith(503, LEAVING_REFUSAL, ""))]
#[case::stream("engine", "/stream/a", Reply::EventsWith(LEAVING, event_stream()))]
#[case::stream_refusal("engine", "/stream/a", Reply::AnswerWith(503, LEAVING_REFUSAL, ""))]
#[tokio::test]
async fn request_reaches_upstream_that_announced_its_shutdown(
    #[case] service: &'static str,
    #[case] path: &str,
    #[case] reply: Reply,
) {
    let fleet = LeavingFleet::start(service, path, reply).await;
    // Without another upstream, neither its load nor its failures keep requests away.
    assert_eq!(fleet.count_reached(path, 503).await, 0);
}

/// Guards against an announcement that a later change makes the gateway forget.
#[rstest]
#[tokio::test]
async fn announced_shutdown_is_forgotten(
    #[values(
        LaterChange::Nothing,
        LaterChange::ReadyEntry,
        LaterChange::LapsedEntry,
        LaterChange::NewDocument,
        LaterChange::PlatformOutage
    )]
    change: LaterChange,
) {
    let reply = Reply::AnswerWith(200, LEAVING, "ok");
    let fleet = LeavingFleet::start("plain", "/again/a", reply).await;
    fleet.list_staying().await;
    fleet.apply_change(change).await;
    let reached = fleet.count_reached("/again/a", 200).await;
    assert_eq!(reached, 0, "{change:?}");
}

/// Guards against an upstream that stays unused after a restart under the same name and address.
#[tokio::test]
async fn restarted_upstream_is_taken_for_leaving() {
    let reply = Reply::AnswerWith(200, LEAVING, "ok");
    let fleet = LeavingFleet::start("plain", "/again/a", reply).await;
    fleet.list_leaving(STARTED_MS + 1);
    tokio::time::sleep(SYNC_TIME).await;
    assert_eq!(fleet.count_reached("/again/a", 200).await, REQUESTS);
}

/// Guards against a stream that is cut because its upstream has announced its shutdown meanwhile.
#[tokio::test]
async fn announced_shutdown_cuts_a_running_stream() {
    let events: Vec<String> = (1..8)
        .map(|id| format!("id: {id}\ndata: t{id}\n\n"))
        .collect();
    let whole = events.concat();
    let reply = Reply::EventsWith(LEAVING, event_stream());
    let fleet = LeavingFleet::start("engine", "/stream/a", Reply::Events(event_stream())).await;
    let pause = Duration::from_millis(100);
    fleet
        .leaving
        .set_replies(vec![Reply::Paced(events, pause), reply]);
    let running = fleet.fixture.post("/stream/a", "running");
    let running = running.send().await.expect("answer");
    fleet.send("/stream/a", "announcement").await;
    assert_eq!(running.text().await.expect("whole stream"), whole);
}
