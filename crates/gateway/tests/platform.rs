//! Synchronisation with the platform: configuration, upstreams, outages and graceful shutdown.

mod common;

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use common::{FakePlatform, FakeUpstream, Fixture, FixtureOptions, Reply, document, record};

/// Time after which a leaving upstream must receive no new requests. Users allow two seconds.
const LEAVE_TIME: Duration = Duration::from_millis(1_500);

/// Duration of an outage that every synchronisation task detects. Directory entries expire after
/// three missed heartbeats, which takes some seconds.
const OUTAGE: Duration = Duration::from_millis(1_500);

async fn status(fixture: &Fixture, path: &str) -> u16 {
    let response = fixture.post(path, "r1").send().await.expect("answer");
    response.status().as_u16()
}

async fn wait_status(fixture: &Fixture, path: &str, expected: u16, limit: Duration) {
    let end = std::time::Instant::now() + limit;
    loop {
        let seen = status(fixture, path).await;
        if seen == expected {
            return;
        }
        assert!(
            std::time::Instant::now() < end,
            "{path} still answers {seen}"
        );
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Guards against delayed activation of a change: a watch that is resumed from a revision whose
/// history was dropped hangs until its wait ends.
#[tokio::test]
async fn change_is_in_force_soon_after_the_history_was_dropped() {
    let options = FixtureOptions::default();
    let upstream = FakeUpstream::start(vec![]).await;
    let fixture = Fixture::start(&options, &[("plain", &upstream)]).await;
    let mut changed = document(2, &options);
    changed.add_route(cornelarch_core::route::RouteRule {
        prefix: "/new/".to_owned(),
        ..match changed.find_route("shop.example", "/again/x") {
            cornelarch_core::route::RouteLookup::Found(rule) => rule.clone(),
            cornelarch_core::route::RouteLookup::Missing => panic!("route exists"),
        }
    });
    fixture.platform.publish_silently(changed);
    fixture.platform.compact();
    wait_status(&fixture, "/new/x", 200, Duration::from_millis(1_500)).await;
}

/// Guards against a growing delay while versions are published in quick succession: over a slow
/// link, transferring each of them postpones the newest more and more.
#[tokio::test]
async fn newest_version_of_a_storm_is_in_force_soon() {
    let options = FixtureOptions::default();
    let upstream = FakeUpstream::start(vec![]).await;
    let fixture = Fixture::start(&options, &[("plain", &upstream)]).await;
    fixture
        .platform
        .transfer_ms
        .store(20, std::sync::atomic::Ordering::SeqCst);
    for version in 2..200 {
        fixture.platform.publish(document(version, &options));
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let mut newest = document(200, &options);
    newest.add_route(cornelarch_core::route::RouteRule {
        prefix: "/new/".to_owned(),
        ..match newest.find_route("shop.example", "/again/x") {
            cornelarch_core::route::RouteLookup::Found(rule) => rule.clone(),
            cornelarch_core::route::RouteLookup::Missing => panic!("route exists"),
        }
    });
    fixture.platform.publish(newest);
    wait_status(&fixture, "/new/x", 200, Duration::from_secs(1)).await;
}

/// Guards against activating an older configuration version.
#[tokio::test]
async fn older_version_is_ignored() {
    let options = FixtureOptions::default();
    let upstream = FakeUpstream::start(vec![]).await;
    let platform = Arc::new(FakePlatform::default());
    platform.publish(document(5, &options));
    platform.list(record("u0", "plain", upstream.address));
    let fixture = Fixture::start_with(&options, platform).await;
    fixture
        .platform
        .publish(cornelarch_core::route::RouteDocument::new(4));
    tokio::time::sleep(Duration::from_millis(200)).await;
    assert_eq!(status(&fixture, "/again/x").await, 200);
}

/// Guards against new requests to an upstream that is leaving or was removed.
#[tokio::test]
async fn leaving_upstream_gets_no_new_request() {
    let upstreams = [
        FakeUpstream::start(vec![]).await,
        FakeUpstream::start(vec![]).await,
    ];
    let services = [("plain", &upstreams[0]), ("plain", &upstreams[1])];
    let fixture = Fixture::start(&FixtureOptions::default(), &services).await;
    for _ in 0..10 {
        assert_eq!(status(&fixture, "/again/x").await, 200);
    }
    let mut leaving = record("u0", "plain", upstreams[0].address);
    leaving.is_leaving = true;
    fixture.platform.list(leaving);
    tokio::time::sleep(LEAVE_TIME).await;
    let before = upstreams[0].requests().len();
    for _ in 0..20 {
        assert_eq!(status(&fixture, "/again/x").await, 200);
    }
    assert_eq!(upstreams[0].requests().len(), before);
    fixture.platform.unlist("u1");
    wait_status(&fixture, "/again/x", 503, LEAVE_TIME).await;
}

/// Guards against removing live upstreams whose entries expired during an outage: they register
/// again within two seconds.
#[tokio::test]
async fn lapsed_upstreams_serve_for_a_while_after_an_outage() {
    let upstream = FakeUpstream::start(vec![]).await;
    let fixture = Fixture::start(&FixtureOptions::default(), &[("plain", &upstream)]).await;
    fixture.platform.set_down(true);
    tokio::time::sleep(OUTAGE).await;
    fixture.platform.unlist("u0");
    fixture.platform.set_down(false);
    tokio::time::sleep(Duration::from_millis(1_000)).await;
    assert_eq!(status(&fixture, "/again/x").await, 200);
    wait_status(&fixture, "/again/x", 503, Duration::from_millis(3_000)).await;
}

/// Guards against requests to an upstream that left while only this instance was partitioned from
/// the platform: when the other upstreams are still listed, the entry of the missing one has not
/// expired.
#[tokio::test]
async fn upstream_that_left_during_a_cut_is_gone() {
    let upstreams = [
        FakeUpstream::start(vec![]).await,
        FakeUpstream::start(vec![]).await,
        FakeUpstream::start(vec![]).await,
    ];
    let services = upstreams.each_ref().map(|upstream| ("plain", upstream));
    let fixture = Fixture::start(&FixtureOptions::default(), &services).await;
    fixture.platform.set_down(true);
    tokio::time::sleep(OUTAGE).await;
    fixture.platform.unlist("u0");
    let lists = fixture.platform.lists.load(Ordering::SeqCst);
    fixture.platform.set_down(false);
    while fixture.platform.lists.load(Ordering::SeqCst) == lists {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    tokio::time::sleep(Duration::from_millis(50)).await;
    for _ in 0..20 {
        assert_eq!(status(&fixture, "/again/x").await, 200);
    }
    assert_eq!(upstreams[0].requests().len(), 0);
}

/// Guards against requests to a removed upstream, when its removal shortly after an outage is
/// mistaken for an expired entry.
#[tokio::test]
async fn upstream_removed_after_an_outage_is_gone() {
    let upstream = FakeUpstream::start(vec![]).await;
    let fixture = Fixture::start(&FixtureOptions::default(), &[("plain", &upstream)]).await;
    fixture.platform.set_down(true);
    tokio::time::sleep(OUTAGE).await;
    let lists = fixture.platform.lists.load(Ordering::SeqCst);
    fixture.platform.set_down(false);
    while fixture.platform.lists.load(Ordering::SeqCst) == lists {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    assert_eq!(status(&fixture, "/again/x").await, 200);
    fixture.platform.unlist("u0");
    wait_status(&fixture, "/again/x", 503, LEAVE_TIME).await;
}

/// Guards against rejecting paid requests during a platform outage.
#[tokio::test]
async fn paid_requests_are_served_during_an_outage() {
    let options = FixtureOptions {
        prepaid: Some(1_000_000),
        ..FixtureOptions::default()
    };
    let events = vec!["id: 1\ndata: x\n\n".to_owned()];
    let upstream = FakeUpstream::start(vec![Reply::Events(events); 500]).await;
    let fixture = Fixture::start(&options, &[("engine", &upstream)]).await;
    let send = async |id: u32| {
        let request = fixture.post("/stream/a", &format!("r{id}"));
        let request = request.header("t-tokens", "900,100");
        request.send().await.expect("answer").status().as_u16()
    };
    for id in 0..60 {
        assert_eq!(send(id).await, 200);
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    fixture.platform.set_down(true);
    for id in 100..160 {
        assert_eq!(send(id).await, 200, "request {id}");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// Guards against a shutdown that aborts a running request or rejects requests on keep-alive
/// connections, and against tokens that remain held afterwards.
#[tokio::test]
async fn stop_completes_running_requests_and_returns_tokens() {
    let options = FixtureOptions {
        prepaid: Some(100_000),
        ..FixtureOptions::default()
    };
    let events: Vec<String> = (1..30).map(|id| format!("id: {id}\ndata: x\n\n")).collect();
    let pause = Duration::from_millis(100);
    let upstream = FakeUpstream::start(vec![Reply::Paced(events.clone(), pause)]).await;
    let plain = FakeUpstream::start(vec![]).await;
    let services = [("engine", &upstream), ("plain", &plain)];
    let mut fixture = Fixture::start(&options, &services).await;
    let request = fixture
        .post("/stream/a", "r1")
        .header("t-tokens", "900,200");
    let response = request.send().await.expect("answer");
    let gateway = fixture.gateway.take().expect("gateway");
    let closing = tokio::spawn(gateway.close());
    tokio::time::sleep(Duration::from_millis(200)).await;
    let ready = fixture
        .client
        .get(format!("http://{}/ready", fixture.ready));
    assert_eq!(ready.send().await.expect("answer").status(), 503);
    let late = fixture.post("/once/x", "r2").send().await.expect("answer");
    assert_eq!(late.status(), 200);
    assert_eq!(late.headers()["connection"], "close");
    assert_eq!(
        response.text().await.expect("whole stream"),
        events.concat()
    );
    closing.await.expect("gateway ends");
    let object = cornelarch_gateway::PlatformEdge::read_object(
        &*fixture.platform,
        "test-0",
        cornelarch_gateway::ReadAge::Latest,
    )
    .await;
    let value: cornelarch_core::budget::ShardValue =
        serde_json::from_slice(&object.expect("object").value).expect("shard");
    let totals = value.totals(&"acme".into());
    // The prompt has 900 tokens; 29 events have 5 tokens each.
    assert_eq!(totals.spent.get(), 900 + 145);
    assert_eq!(totals.held.get(), 0);
}

/// Guards against an instance that goes on with an old configuration because a background task has
/// ended by a fault.
#[tokio::test]
async fn ended_background_task_goes_unnoticed() {
    let upstream = FakeUpstream::start(vec![]).await;
    let options = FixtureOptions::default();
    let mut fixture = Fixture::start(&options, &[("plain", &upstream)]).await;
    let mut gateway = fixture.gateway.take().expect("is running");
    let healthy = tokio::time::timeout(Duration::from_millis(500), gateway.wait_failed());
    assert!(healthy.await.is_err(), "a task is reported without a fault");
    fixture.platform.panics.store(true, Ordering::SeqCst);
    fixture.platform.publish(document(2, &options));
    let failed = tokio::time::timeout(Duration::from_secs(2), gateway.wait_failed());
    assert!(failed.await.is_ok(), "no task is reported");
    assert_eq!(status(&fixture, "/again/x").await, 200);
    gateway.close().await;
}
