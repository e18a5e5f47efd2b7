//! An instance that reaches none of its upstreams.

mod common;

use std::{sync::Arc, time::Duration};

use common::{FakePlatform, Fixture, FixtureOptions, READY_PATH, document, free_address, record};

/// Time in which a gateway learns of a change at the platform.
const SYNC_TIME: Duration = Duration::from_millis(1_200);
const UPSTREAMS: usize = 8;
const REQUESTS: usize = 16;

/// Guards against an instance that keeps its callers although it reaches none of its upstreams: it
/// stays ready and keeps their connections open.
#[tokio::test]
async fn unreaching_instance_stays_in_the_rotation() {
    let platform = Arc::new(FakePlatform::default());
    let options = FixtureOptions::default();
    platform.publish(document(1, &options));
    for number in 0..UPSTREAMS {
        // Nothing listens at the address.
        platform.list(record(&format!("u{number}"), "plain", free_address()));
    }
    let fixture = Fixture::start_with(&options, platform).await;
    tokio::time::sleep(SYNC_TIME).await;
    let ready = format!("http://{}{READY_PATH}", fixture.ready);
    let is_ready = async || {
        let response = fixture.client.get(&ready).send().await.expect("answer");
        response.status().is_success()
    };
    assert!(is_ready().await);
    let mut closes = false;
    for number in 0..REQUESTS {
        let request = fixture.post("/once/", &format!("r{number}"));
        let response = request.send().await.expect("answer");
        assert_eq!(response.status().as_u16(), 503);
        closes = response
            .headers()
            .get("connection")
            .is_some_and(|value| value == "close");
    }
    assert!(!is_ready().await);
    assert!(closes);
    assert_eq!(fixture.gauge("cornelarch_strained").await, 1);
}
