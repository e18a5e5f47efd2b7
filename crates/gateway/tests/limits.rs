//! Upstreams that name a limit of requests a second in their responses.

mod common;

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use common::{FakeUpstream, Fixture, FixtureOptions, Reply, record};
use cornelarch_core::base::DomainName;
use rstest::rstest;

/// Limit in requests a second, from all instances together.
const LIMIT: f64 = 1.5;
const LIMITED: Reply = Reply::AnswerWith(200, "t-limit: 1.5\r\n", "ok");
/// Requests that may reach a limited upstream in the window: one and a half times the limit, and 5.
const WINDOW_MAX: usize = (LIMIT * 4.0 * 1.5 + 5.0) as usize;
/// Time after the first naming from which the limit has to be kept.
const CONTACT_TIME: Duration = Duration::from_secs(3);
const WINDOW: Duration = Duration::from_secs(4);
/// Time in which a gateway learns of a change at the platform.
const SYNC_TIME: Duration = Duration::from_millis(1_200);
const REQUEST_PERIOD: Duration = Duration::from_millis(25);
/// Fleets that are tried until the share of an instance does not begin before it is asked.
const FLEETS_MAX: usize = 4;

struct LimitedFleet {
    fixture: Fixture,
    limited: FakeUpstream,
    /// Keeps the other upstream running, if there is one.
    other: Option<FakeUpstream>,
}

impl LimitedFleet {
    /// Starts a limited upstream, with another one that takes all other requests or alone.
    async fn start(has_other: bool) -> Self {
        let limited = FakeUpstream::start(vec![]).await;
        limited.set_last_reply(LIMITED);
        let other = match has_other {
            true => Some(FakeUpstream::start(vec![]).await),
            false => None,
        };
        let mut services = vec![("plain", &limited)];
        services.extend(other.iter().map(|other| ("plain", other)));
        let fixture = Fixture::start(&FixtureOptions::default(), &services).await;
        if let Some(other) = &other {
            // The limited upstream is preferred, since the other one is in another domain.
            let mut entry = record("u1", "plain", other.address);
            entry.domain = DomainName::new("b");
            fixture.platform.list(entry);
            tokio::time::sleep(SYNC_TIME).await;
        }
        Self {
            fixture,
            limited,
            other,
        }
    }

    /// Sends requests for some time and returns the times at which the limited upstream got one.
    async fn send_for(&self, path: &str, duration: Duration) -> Vec<Duration> {
        let began = Instant::now();
        let mut times = Vec::new();
        while began.elapsed() < duration {
            let before = self.limited.requests().len();
            let id = format!("r{}", began.elapsed().as_micros());
            let response = self.fixture.post(path, &id).send().await.expect("answer");
            let status = response.status().as_u16();
            let is_refused = status == 503 && self.other.is_none();
            assert!(status == 200 || is_refused, "{status}");
            let reached = self.limited.requests().len() - before;
            times.extend(std::iter::repeat_n(began.elapsed(), reached));
            tokio::time::sleep(REQUEST_PERIOD).await;
        }
        times
    }
}

/// Guards against requests to an upstream beyond the limit that it has named.
#[rstest]
#[case::call("/again/a")]
#[case::order("/once/a")]
#[tokio::test]
async fn limited_upstream_gets_more_than_it_takes(#[case] path: &str) {
    let fleet = LimitedFleet::start(true).await;
    let times = fleet.send_for(path, CONTACT_TIME + WINDOW).await;
    let first = *times.first().expect("the limited upstream got a request");
    let judged = times.iter().filter(|at| **at >= first + CONTACT_TIME);
    let counts = judged.map(|end| {
        let window = times
            .iter()
            .filter(|at| **at <= *end && **at + WINDOW > *end);
        window.count()
    });
    let most = counts.max().unwrap_or(0);
    assert!(
        most <= WINDOW_MAX,
        "{most} requests in 4 s, {WINDOW_MAX} allowed"
    );
}

/// Guards against an upstream that stays limited after a response that names no limit, and against a
/// value that is no rate and ends or replaces the limit.
#[rstest]
#[case::not_named(Reply::Answer(200, "ok"), true)]
#[case::text(Reply::AnswerWith(200, "t-limit: few\r\n", "ok"), false)]
#[case::negative(Reply::AnswerWith(200, "t-limit: -1\r\n", "ok"), false)]
#[tokio::test]
async fn ended_limit_stays_in_force(#[case] reply: Reply, #[case] is_ended: bool) {
    let fleet = LimitedFleet::start(false).await;
    fleet.send_for("/again/a", Duration::from_millis(300)).await;
    fleet.limited.set_last_reply(reply);
    // One instance's part of the limit is one request in some seconds.
    fleet.send_for("/again/a", Duration::from_secs(12)).await;
    let times = fleet.send_for("/again/a", WINDOW).await;
    let is_limited = times.len() <= WINDOW_MAX;
    assert_ne!(is_limited, is_ended, "{} requests in 4 s", times.len());
}

/// Sends a request to an instance and returns the status of the answer.
async fn send(fixture: &Fixture) -> u16 {
    let response = fixture.post("/again/a", "r1").send().await.expect("answer");
    response.status().as_u16()
}

/// Starts two instances, lets the first one learn a limit, and returns both with the status of the
/// answer of the second one.
async fn learn_limit() -> (LimitedFleet, Fixture, u16) {
    let fleet = LimitedFleet::start(false).await;
    let platform = Arc::clone(&fleet.fixture.platform);
    let options = FixtureOptions {
        instance: "g2",
        seeds: vec![fleet.fixture.peers],
        ..FixtureOptions::default()
    };
    let second = Fixture::start_with(&options, platform).await;
    tokio::time::sleep(SYNC_TIME).await;
    assert_eq!(send(&fleet.fixture).await, 200);
    tokio::time::sleep(SYNC_TIME / 4).await;
    let status = send(&second).await;
    (fleet, second, status)
}

/// Guards against a limit, or its end, that each instance learns only from its own responses, while
/// the upstream counts the requests of all.
#[tokio::test]
async fn instance_learns_a_limit_alone() {
    // The share of the second instance begins at a random time within its interval of 5.3 s.
    for _ in 0..FLEETS_MAX {
        let (fleet, second, status) = learn_limit().await;
        if status == 200 {
            continue;
        }
        assert_eq!(status, 503);
        assert_eq!(fleet.limited.requests().len(), 1);
        fleet.limited.set_last_reply(Reply::Answer(200, "ok"));
        fleet.send_for("/again/a", Duration::from_secs(12)).await;
        assert_eq!(send(&second).await, 200);
        return;
    }
    panic!("the second instance does not know the limit");
}
