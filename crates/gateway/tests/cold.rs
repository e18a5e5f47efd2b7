//! Cold upstreams, as the directory lists them.

mod common;

use std::{sync::Arc, time::Duration};

use common::{FakePlatform, FakeUpstream, Fixture, FixtureOptions, document, record};
use cornelarch_core::{placement::ColdNotice, route::ColdStart};
use futures_util::future::join_all;

/// Time after its start in which an instance does not use cold upstreams.
const LEARN_TIME: Duration = Duration::from_secs(5);
/// Time in which a gateway learns of a change at the platform.
const SYNC_TIME: Duration = Duration::from_millis(1_200);
/// Requests a second that a cold upstream bears.
const COLD_RATE: u64 = 10;
/// Requests that are sent at the same time.
const AT_ONCE: usize = 8;

/// Sends some requests at a time, so that each usable upstream gets some, and returns how many were
/// answered.
async fn send_for(fixture: &Fixture, time: Duration) -> usize {
    let end = tokio::time::Instant::now() + time;
    let mut answered = 0;
    while tokio::time::Instant::now() < end {
        let requests = (0..AT_ONCE).map(|number| async move {
            let id = format!("r{}", answered + number);
            let response = fixture.post("/again/x", &id).send().await.expect("answer");
            assert_eq!(response.status(), 200);
            response.bytes().await.expect("whole answer");
        });
        join_all(requests).await;
        answered += AT_ONCE;
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    answered
}

/// Guards against a wave of requests to a cold upstream, against one that gets none, and against one
/// that stays limited when it is warm.
#[tokio::test]
async fn cold_upstream_is_flooded() {
    let options = FixtureOptions {
        cold: Some(ColdStart {
            duration: Duration::from_secs(3),
            interval: Duration::from_millis(1_000 / COLD_RATE),
        }),
        ..FixtureOptions::default()
    };
    let cold = FakeUpstream::start(vec![]).await;
    let warm = FakeUpstream::start(vec![]).await;
    let platform = Arc::new(FakePlatform::default());
    platform.publish(document(1, &options));
    let entry = |left, revision| {
        let mut entry = record("a-cold", "plain", cold.address);
        entry.cold = Some(ColdNotice { left, revision });
        entry
    };
    platform.list(entry(Duration::from_secs(60), 2));
    platform.list(record("b-warm", "plain", warm.address));
    let fixture = Fixture::start_with(&options, Arc::clone(&platform)).await;
    assert_eq!(fixture.gauge("cold_upstreams").await, 1);
    send_for(&fixture, LEARN_TIME - Duration::from_millis(500)).await;
    assert_eq!(cold.requests().len(), 0);
    tokio::time::sleep(Duration::from_millis(500)).await;
    let seconds = 4;
    send_for(&fixture, Duration::from_secs(seconds)).await;
    let reached = cold.requests().len();
    let reached = u64::try_from(reached).expect("count");
    assert!((1..=seconds * COLD_RATE).contains(&reached), "{reached}");
    platform.list(entry(Duration::ZERO, 5));
    platform.unlist("b-warm");
    tokio::time::sleep(SYNC_TIME).await;
    assert_eq!(fixture.gauge("cold_upstreams").await, 0);
    assert!(send_for(&fixture, Duration::from_secs(1)).await > 20);
}
