//! Budgets with several routers: exhaustion, top-ups, platform outages and crashes.

mod common;

use std::collections::BTreeMap;

use common::{FleetOptions, KEY, TestFleet, read_refusal, wait_until};
use cornelarch_standin::platform::PlatformFaults;

/// Guards against spend above the paid amount, lost tokens and false refusals when several routers
/// in two domains exhaust one budget concurrently.
#[tokio::test(flavor = "multi_thread")]
async fn routers_together_never_spend_more_than_paid() {
    let fleet = TestFleet::start(FleetOptions {
        routers: vec!["a", "a", "b"],
        paid: 20_000,
        model: "max_tokens_limit = 100\nmax_tokens_default = 100",
        ..FleetOptions::default()
    })
    .await;
    let mut kinds = BTreeMap::new();
    let mut billed = 0;
    for round in 0..24 {
        let requests = (0..12).map(|index| {
            let url = format!("http://{}/v1/chat/completions", fleet.callers(index % 3));
            let prompt = format!("{round} {index} [tokens=90]");
            let body = serde_json::json!({
            "model": "tiny", "messages": [{"role": "user", "content": prompt}],
            });
            let request = fleet.client.post(url).bearer_auth(KEY);
            request.body(body.to_string()).send()
        });
        for response in futures_util::future::join_all(requests).await {
            let response = response.unwrap();
            if response.status().is_success() {
                let answer: serde_json::Value = response.json().await.unwrap();
                billed += answer["usage"]["total_tokens"].as_u64().unwrap();
                continue;
            }
            let (_, run, kind) = read_refusal(response).await;
            assert_eq!(run, "not_run");
            *kinds.entry(kind).or_insert(0) += 1;
        }
    }
    let totals = fleet.close().await;
    assert_eq!(totals.spent.get(), billed, "{kinds:?}");
    assert!(billed <= 20_000);
    // A request reserves at most 160 tokens. If three reservations or more were left, at least one
    // of the three routers could have served another request.
    assert!(billed + 3 * 160 >= 20_000, "{billed} {kinds:?}");
    let exhausted = kinds.keys().all(|kind| kind.starts_with("budget_"));
    assert!(exhausted && !kinds.is_empty(), "{kinds:?}");
    assert_eq!(totals.held.get(), 0);
}

/// Guards against a router that does not notice a top-up once its budget is exhausted.
#[tokio::test(flavor = "multi_thread")]
async fn top_up_ends_refusals() {
    let fleet = TestFleet::start(FleetOptions {
        paid: 10,
        ..FleetOptions::default()
    })
    .await;
    let response = fleet.chat(0, "x", false).send().await.unwrap();
    let refusal = read_refusal(response).await;
    assert_eq!(refusal, (402, "not_run".into(), "budget_exhausted".into()));
    fleet.top_up(100_000, "top-up-1");
    let serves = async || {
        let response = fleet.chat(0, "x", false).send().await.unwrap();
        response.status().is_success()
    };
    wait_until("the top-up is seen", serves).await;
}

/// Guards against refusals and unrecorded spend while the platform is unavailable and the router
/// holds tokens.
#[tokio::test(flavor = "multi_thread")]
async fn held_tokens_serve_during_an_outage() {
    let fleet = TestFleet::start(FleetOptions::default()).await;
    let first = fleet.chat(0, "warm up", false).send().await.unwrap();
    assert!(first.status().is_success());
    let (balance, _, _) = fleet.account(0).await;
    let mut billed = usage(first).await;
    fleet.platform.set_faults(PlatformFaults {
        outage: true,
        ..PlatformFaults::default()
    });
    let mut served = 0;
    // Each request reserves at most 2,100 tokens.
    for index in 0..balance / 2_100 {
        let prompt = format!("during the outage {index}");
        let response = fleet.chat(0, &prompt, false).send().await.unwrap();
        if !response.status().is_success() {
            break;
        }
        billed += usage(response).await;
        served += 1;
        if served == 20 {
            break;
        }
    }
    assert!(served > 0, "nothing was held: {balance}");
    fleet.platform.set_faults(PlatformFaults::default());
    assert_eq!(fleet.close().await.spent.get(), billed);
}

/// Guards against tokens that are spent twice or lost when responses to ledger writes are lost.
#[tokio::test(flavor = "multi_thread")]
async fn lost_ledger_answers_keep_the_sums() {
    let fleet = TestFleet::start(FleetOptions {
        routers: vec!["a", "b"],
        ..FleetOptions::default()
    })
    .await;
    fleet.platform.set_faults(PlatformFaults {
        lost_answers: 6,
        ..PlatformFaults::default()
    });
    let mut billed = 0;
    for index in 0..20 {
        let prompt = format!("request {index}");
        let response = fleet.chat(index % 2, &prompt, false).send().await.unwrap();
        assert!(
            response.status().is_success(),
            "{:?}",
            response.text().await
        );
        billed += usage(response).await;
    }
    let totals = fleet.close().await;
    assert_eq!((totals.spent.get(), totals.held.get()), (billed, 0));
}

/// Guards against tokens of a crashed router that are released although it may still be alive.
#[tokio::test(flavor = "multi_thread")]
async fn tokens_of_a_crashed_router_stay_held() {
    let mut fleet = TestFleet::start(FleetOptions {
        routers: vec!["a", "b"],
        ..FleetOptions::default()
    })
    .await;
    let response = fleet.chat(0, "warm up", false).send().await.unwrap();
    let billed = usage(response).await;
    let (balance, _, _) = fleet.account(0).await;
    fleet.routers.remove(0).abort().await;
    let totals = fleet.close().await;
    // The spend was not reported before the crash, so it counts as held too.
    assert_eq!(totals.held.get() + totals.spent.get(), balance + billed);
    assert_eq!(totals.available.get() + balance + billed, 1_000_000);
}

async fn usage(response: reqwest::Response) -> u64 {
    let answer: serde_json::Value = response.json().await.unwrap();
    answer["usage"]["total_tokens"].as_u64().unwrap()
}
