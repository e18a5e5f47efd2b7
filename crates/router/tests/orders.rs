//! Orders: non-idempotent calls that run at most once.

mod common;

use common::{FleetOptions, TestFleet, read_refusal, wait_until};
use cornelarch_standin::{
    platform::PlatformFaults,
    service::{ServiceFaults, ServiceOptions},
};
use rstest::rstest;
use std::{
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

fn two_routers() -> FleetOptions {
    FleetOptions {
        routers: vec!["a", "a"],
        ..FleetOptions::default()
    }
}

/// Guards against an order that runs or is billed twice when it is repeated at another router.
#[tokio::test(flavor = "multi_thread")]
async fn repeat_at_another_router_gets_the_stored_answer() {
    let fleet = TestFleet::start(two_routers()).await;
    let first = fleet.order(0, "key-1", "o1").send().await.unwrap();
    assert_eq!(first.headers()["x-cornelarch-run"], "ran");
    let status = first.status();
    assert!(status.is_success(), "{status}");
    let body = first.text().await.unwrap();
    for router in [1, 0] {
        let again = fleet.order(router, "key-1", "o1").send().await.unwrap();
        assert_eq!(again.status(), status);
        assert_eq!(again.text().await.unwrap(), body);
    }
    assert_eq!(fleet.services[0].executions()["o1"], 1);
    assert_eq!(fleet.close().await.spent.get(), 7);
}

/// Guards against an order that runs twice when two routers receive it at the same time.
#[tokio::test(flavor = "multi_thread")]
async fn concurrent_repeats_run_once() {
    let fleet = TestFleet::start(two_routers()).await;
    let requests = (0..8).map(|index| fleet.order(index % 2, "key-1", "o1").send());
    let responses = futures_util::future::join_all(requests).await;
    let mut answered = 0;
    for response in responses {
        let response = response.unwrap();
        if response.status().is_success() {
            answered += 1;
        } else {
            // The router without the claim cannot know the outcome of the call.
            assert_eq!(read_refusal(response).await.2, "order_state_unknown");
        }
    }
    assert!(answered >= 1);
    assert_eq!(fleet.services[0].executions()["o1"], 1);
    assert_eq!(fleet.close().await.spent.get(), 7);
}

/// Guards against an idempotency key that returns the stored response of a different request.
#[tokio::test(flavor = "multi_thread")]
async fn key_cannot_be_used_for_another_request() {
    let fleet = TestFleet::start(FleetOptions::default()).await;
    fleet.order(0, "key-1", "o1").send().await.unwrap();
    let refusal = read_refusal(fleet.order(0, "key-1", "o2").send().await.unwrap()).await;
    assert_eq!(
        refusal,
        (422, "not_run".into(), "idempotency_key_reused".into())
    );
    assert!(!fleet.services[0].executions().contains_key("o2"));
}

/// Guards against an order that runs without a record while the platform is unreachable, and
/// against idempotent calls that fail because of the outage.
#[tokio::test(flavor = "multi_thread")]
async fn order_without_platform_is_refused_and_not_run() {
    let fleet = TestFleet::start(FleetOptions::default()).await;
    // The first call draws tokens, which pay for the lookup during the outage.
    let warm = fleet.order(0, "key-0", "o0").send().await.unwrap();
    assert!(warm.status().is_success());
    fleet.platform.set_faults(PlatformFaults {
        unreachable: true,
        ..PlatformFaults::default()
    });
    let response = fleet.order(0, "key-1", "o1").send().await.unwrap();
    let has_wait = response.headers().contains_key("retry-after");
    let refusal = read_refusal(response).await;
    assert_eq!(
        refusal,
        (503, "not_run".into(), "platform_unavailable".into())
    );
    assert!(has_wait, "the refusal has no Retry-After header");
    let url = format!("http://{}/services/shop/items/1", fleet.callers(0));
    let lookup = fleet
        .client
        .get(url)
        .bearer_auth(common::KEY)
        .send()
        .await
        .unwrap();
    assert_eq!(lookup.status(), 200);
    assert!(!fleet.services[0].executions().contains_key("o1"));
    fleet.platform.set_faults(PlatformFaults::default());
    fleet.platform.wait_reachable().await;
    let later = fleet.order(0, "key-1", "o1").send().await.unwrap();
    let status = later.status();
    assert!(status.is_success(), "{status}: {:?}", later.text().await);
    assert_eq!(fleet.services[0].executions()["o1"], 1);
}

/// Guards against an order that runs twice because the platform's response to a record write was
/// lost.
#[rstest]
#[case::claim(1)]
#[case::claim_and_answer(2)]
#[tokio::test(flavor = "multi_thread")]
async fn lost_write_answers_do_not_repeat_an_order(#[case] lost: u32) {
    let fleet = TestFleet::start(two_routers()).await;
    let warm = fleet.order(0, "key-0", "o0").send().await.unwrap();
    assert!(warm.status().is_success());
    fleet.platform.set_faults(PlatformFaults {
        lost_answers: lost,
        ..PlatformFaults::default()
    });
    let first = fleet.order(0, "key-1", "o1").send().await.unwrap();
    assert!(first.status().is_success(), "{:?}", first.text().await);
    let repeat = async || {
        let response = fleet.order(1, "key-1", "o1").send().await.unwrap();
        let is_stored = response.status().is_success();
        assert!(is_stored || read_refusal(response).await.2 == "order_state_unknown");
        is_stored
    };
    wait_until("the answer is stored", repeat).await;
    assert_eq!(fleet.services[0].executions()["o1"], 1);
}

/// Guards against a retry of an order whose upstream connection was lost after it may have run.
#[tokio::test(flavor = "multi_thread")]
async fn lost_order_is_unknown_and_never_repeated() {
    let fleet = TestFleet::start(FleetOptions {
        services: vec![ServiceOptions::default(); 2],
        ..two_routers()
    })
    .await;
    for service in &fleet.services {
        service.set_faults(ServiceFaults {
            reset_after_run: 1,
            ..ServiceFaults::default()
        });
    }
    let first = read_refusal(fleet.order(0, "key-1", "o1").send().await.unwrap()).await;
    assert_eq!(first, (502, "unknown".into(), "upstream_lost".into()));
    for router in [0, 1] {
        let again = read_refusal(fleet.order(router, "key-1", "o1").send().await.unwrap()).await;
        assert_eq!(again, (409, "unknown".into(), "order_state_unknown".into()));
    }
    let executions: u64 = fleet
        .services
        .iter()
        .flat_map(|s| s.executions().into_values())
        .sum();
    assert_eq!(executions, 1);
    // The call may have run, so its cost is billed once.
    assert_eq!(fleet.close().await.spent.get(), 7);
}

/// Guards against an order record that stays claimed because the caller disconnected.
#[tokio::test(flavor = "multi_thread")]
async fn order_is_recorded_after_caller_disconnects() {
    let fleet = TestFleet::start(FleetOptions {
        services: vec![ServiceOptions {
            call_duration: Duration::from_millis(100),
            ..ServiceOptions::default()
        }],
        ..two_routers()
    })
    .await;
    let request = tokio::spawn(fleet.order(0, "key-1", "o1").send());
    let service = &fleet.services[0];
    wait_until("the call arrived", async || service.counts().received == 1).await;
    request.abort();
    let stored = async || {
        let response = fleet.order(1, "key-1", "o1").send().await.unwrap();
        response.status().is_success()
    };
    wait_until("the answer is stored", stored).await;
    assert_eq!(service.executions()["o1"], 1);
}

/// Guards against more order writes than the platform can handle.
#[tokio::test(flavor = "multi_thread")]
async fn orders_above_the_rate_are_refused() {
    let fleet = TestFleet::start(FleetOptions {
        limits: "order_rate = 1",
        ..FleetOptions::default()
    })
    .await;
    let mut limited = 0;
    for index in 0..6 {
        let key = format!("key-{index}");
        let response = fleet.order(0, &key, &key).send().await.unwrap();
        if !response.status().is_success() {
            let refusal = read_refusal(response).await;
            assert_eq!(refusal, (429, "not_run".into(), "rate_limited".into()));
            limited += 1;
        }
    }
    assert!(limited >= 3, "{limited}");
    assert_eq!(fleet.services[0].counts().orders, 6 - limited);
}

/// Guards against order records that accumulate at the platform, and against the removal of recent
/// ones.
#[tokio::test(flavor = "multi_thread")]
async fn expired_records_are_removed() {
    let mut fleet = TestFleet::start_without_routers(FleetOptions::default()).await;
    let expired = "order/trial/acme/00";
    let record = |created_s: u64| {
        serde_json::json!({
        "claimant": "old~00000000000000aa", "claim": "1", "digest": "d",
        "created_s": created_s, "state": "failed_before_send",
        })
        .to_string()
    };
    fleet.platform.store(expired, record(1).into());
    let recent = "order/trial/acme/01";
    let now = std::time::UNIX_EPOCH.elapsed().unwrap().as_secs();
    fleet.platform.store(recent, record(now).into());
    let settings = cornelarch_router::RouterSettings {
        order_sweep: Duration::from_millis(1),
        ..fleet.settings("router-0", "a")
    };
    fleet
        .routers
        .push(cornelarch_router::Router::bind(settings).await.unwrap());
    let removed = async || fleet.platform.peek(expired).is_none();
    wait_until("the expired record is removed", removed).await;
    assert!(fleet.platform.peek(recent).is_some());
}

/// Answers the first call on a connection and each further one with an earlier refusal, although it
/// runs them all. `runs` counts the orders.
async fn serve_repeated_refusals(mut stream: TcpStream, runs: Arc<AtomicU32>) {
    let mut calls = 0;
    let mut buffer = vec![0; 64 * 1024];
    while let Ok(length @ 1..) = stream.read(&mut buffer).await {
        let is_order = buffer[..length].starts_with(b"POST");
        runs.fetch_add(u32::from(is_order), Ordering::SeqCst);
        calls += 1;
        let status = if calls == 1 { "200 OK" } else { "503 Busy" };
        let answer = format!("HTTP/1.1 {status}\r\ncontent-length: 2\r\n\r\nok");
        if stream.write_all(answer.as_bytes()).await.is_err() {
            return;
        }
    }
}

/// Guards against an order that is called not run because its upstream sends an earlier refusal
/// again on a kept connection.
#[tokio::test(flavor = "multi_thread")]
async fn repeated_refusal_counts_for_the_next_order() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let runs = Arc::new(AtomicU32::new(0));
    let options = FleetOptions {
        services: Vec::new(),
        own_service: Some(listener.local_addr().unwrap()),
        ..FleetOptions::default()
    };
    let counter = Arc::clone(&runs);
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve_repeated_refusals(stream, Arc::clone(&counter)));
        }
    });
    let fleet = TestFleet::start(options).await;
    for number in 1..=4 {
        let order = fleet.order(0, &format!("key-{number}"), &format!("o{number}"));
        let status = order.send().await.unwrap().status();
        assert_eq!(status, 200, "order {number}");
        assert_eq!(runs.load(Ordering::SeqCst), number);
    }
}
