//! Configurations that reach an instance although the platform does not serve it.

mod common;

use std::{
    collections::BTreeSet,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use common::{FakePlatform, FakeUpstream, Fixture, FixtureOptions, document, record};
use cornelarch_core::{
    base::ServiceName,
    route::{RouteDocument, RouteKind, RouteRule, SplitTarget},
};

/// Time limit for activating a configuration that a peer has active. Users allow two seconds.
const IN_FORCE: Duration = Duration::from_millis(2_000);
/// Time in which the instances learn of each other.
const JOIN: Duration = Duration::from_millis(1_000);
/// Routes of a large configuration.
const MANY_ROUTES: usize = 1_600;

/// Two instances with a platform of their own each, so that one can be rejected alone.
struct Pair {
    served: Fixture,
    rejected: Fixture,
    _upstream: FakeUpstream,
}

impl Pair {
    async fn start(first: RouteDocument) -> Self {
        let upstream = FakeUpstream::start(vec![]).await;
        let platform = || {
            let platform = Arc::new(FakePlatform::default());
            platform.publish(first.clone());
            platform.list(record("u0", "plain", upstream.address));
            platform
        };
        let options = |instance, seeds| FixtureOptions {
            instance,
            seeds,
            ..FixtureOptions::default()
        };
        let served = Fixture::start_with(&options("g1", Vec::new()), platform()).await;
        let seeds = vec![served.peers];
        let rejected = Fixture::start_with(&options("g2", seeds), platform()).await;
        tokio::time::sleep(JOIN).await;
        Self {
            served,
            rejected,
            _upstream: upstream,
        }
    }

    async fn status(&self, path: &str) -> u16 {
        let response = self.rejected.post(path, "r1").send().await;
        response.expect("answer").status().as_u16()
    }

    async fn wait_version(&self, version: u64) {
        let end = tokio::time::Instant::now() + IN_FORCE;
        while self.rejected.gauge("cornelarch_version").await != version {
            let now = tokio::time::Instant::now();
            assert!(now < end, "version {version} is not in force in time");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
}

fn route(prefix: String) -> RouteRule {
    RouteRule {
        name: format!("route of {prefix}"),
        host: "shop.example".to_owned(),
        prefix,
        kind: RouteKind::Idempotent,
        timeout: Duration::from_secs(3),
        objective: Duration::from_millis(300),
        attempts: 2,
        priority: 1,
        targets: vec![SplitTarget {
            service: ServiceName::new("plain"),
            weight: 1,
        }],
        is_public: false,
        homes: BTreeSet::new(),
    }
}

fn documents() -> (RouteDocument, RouteDocument) {
    let options = FixtureOptions::default();
    let mut changed = document(5, &options);
    changed.add_route(route("/new/".to_owned()));
    (document(1, &options), changed)
}

/// Guards against an instance that serves an old configuration for as long as the platform rejects
/// it, although its peers have the new one.
#[tokio::test]
async fn instance_that_the_platform_rejects_stays_behind() {
    let (first, changed) = documents();
    let pair = Pair::start(first).await;
    pair.rejected.platform.set_down(true);
    pair.served.platform.publish(changed);
    pair.wait_version(5).await;
    assert_eq!(pair.status("/new/x").await, 200);
}

/// Guards against an instance that serves an old configuration because the new one does not get
/// through its full link.
#[tokio::test]
async fn instance_with_a_full_link_stays_behind() {
    let (first, changed) = documents();
    let pair = Pair::start(first).await;
    let transfer = &pair.rejected.platform.transfer_ms;
    transfer.store(60_000, Ordering::SeqCst);
    pair.rejected.platform.publish(changed.clone());
    pair.served.platform.publish(changed);
    pair.wait_version(5).await;
}

/// Guards against a key that is taken away and is still valid at an instance that the platform
/// rejects.
#[tokio::test]
async fn revoked_key_stays_valid_at_a_rejected_instance() {
    let (first, _) = documents();
    let pair = Pair::start(first).await;
    assert_eq!(pair.status("/again/x").await, 200);
    pair.rejected.platform.set_down(true);
    let mut revoked = RouteDocument::new(2);
    revoked.add_route(route("/again/".to_owned()));
    let other = cornelarch_core::route::CustomerRecord {
        name: "other".into(),
        priority: None,
        prepaid: None,
        homes: BTreeSet::new(),
    };
    revoked.add_customer(other, ["key-2".to_owned()]);
    pair.served.platform.publish(revoked);
    pair.wait_version(2).await;
    assert_eq!(pair.status("/again/x").await, 401);
}

/// Guards against a large configuration that does not fit into the datagrams of peers.
#[tokio::test]
async fn large_configuration_does_not_reach_a_rejected_instance() {
    let (first, _) = documents();
    let mut large = first.clone();
    large.version = 2;
    for number in 0..MANY_ROUTES {
        large.add_route(route(format!("/large/{number}/")));
    }
    let pair = Pair::start(first).await;
    pair.rejected.platform.set_down(true);
    pair.served.platform.publish(large.clone());
    pair.wait_version(2).await;
    assert_eq!(pair.status("/large/1599/x").await, 200);
    let mut smaller = documents().0;
    smaller.version = 3;
    pair.served.platform.publish(smaller);
    pair.wait_version(3).await;
    assert_eq!(pair.status("/large/1599/x").await, 404);
}
