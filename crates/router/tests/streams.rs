//! Streamed responses under upstream faults and caller disconnects.

mod common;

use common::{FleetOptions, TestFleet, read_refusal, read_stream, wait_until};
use cornelarch_router::MetricName;
use cornelarch_standin::engine::{EngineFaults, EngineOptions, completion_text, prompt_tokens};
use futures_util::StreamExt;
use rstest::rstest;

const PROMPT: &str = "go on [tokens=120]";

fn two_engines() -> FleetOptions {
    FleetOptions {
        engines: vec![EngineOptions::default(); 2],
        ..FleetOptions::default()
    }
}

/// Guards against lost, repeated or reordered text after upstream faults.
#[rstest]
#[case::duplicate(EngineFaults { duplicate_chunk: 1, ..EngineFaults::default() }, 0, 0)]
#[case::reorder(EngineFaults { reorder_chunk: 1, ..EngineFaults::default() }, 0, 0)]
#[case::skip(EngineFaults { skip_chunk: 1, ..EngineFaults::default() }, 1, 1)]
#[case::loss_before_first(EngineFaults { reset_before_first: 1, ..EngineFaults::default() }, 1, 0)]
#[case::loss_mid_stream(
EngineFaults { reset_mid_stream: 1, reset_after_tokens: 30, ..EngineFaults::default() }, 1, 1
)]
#[tokio::test(flavor = "multi_thread")]
async fn faulty_stream_is_complete(
    #[case] faults: EngineFaults,
    #[case] retries: u64,
    #[case] resumes: u64,
) {
    let fleet = TestFleet::start(FleetOptions {
        engine_domains: vec!["a", "b"],
        limits: "remote_penalty_ms = 60000",
        ..two_engines()
    })
    .await;
    // Engine 1 is in another failure domain, so it only receives retries of requests that engine 0
    // has lost.
    fleet.engines[0].set_faults(faults);
    let response = fleet.chat(0, PROMPT, true).send().await.unwrap();
    assert_eq!(response.status(), 200);
    let stream = read_stream(response).await;
    assert!(stream.done, "{stream:?}");
    assert_eq!(stream.text, completion_text(&[PROMPT], 2_000));
    assert_eq!(stream.sequences, (0..=120).collect::<Vec<_>>());
    assert_eq!(fleet.engines[0].faults().reset_mid_stream, 0);
    assert_eq!(fleet.engines[1].counts().received, retries);
    let view = fleet.routers[0].view();
    assert_eq!(view.metric(MetricName::Retries), retries);
    assert_eq!(view.metric(MetricName::Resumes), resumes);
    let totals = fleet.close().await;
    assert_eq!(Some(totals.spent.get()), stream.usage);
    assert_eq!(totals.held.get(), 0);
}

/// Guards against an incomplete response that looks complete or is billed in full.
#[tokio::test(flavor = "multi_thread")]
async fn stream_that_cannot_resume_ends_with_an_error() {
    let fleet = TestFleet::start(FleetOptions {
        model: "resume = no",
        ..two_engines()
    })
    .await;
    for engine in &fleet.engines {
        engine.set_faults(EngineFaults {
            reset_mid_stream: 1,
            reset_after_tokens: 30,
            ..EngineFaults::default()
        });
    }
    let response = fleet.chat(0, PROMPT, true).send().await.unwrap();
    let stream = read_stream(response).await;
    assert!(!stream.done);
    let error = stream.error.expect("an error event");
    assert_eq!(error["error"]["kind"], "upstream_lost");
    assert_eq!(error["error"]["run"], "unknown");
    assert_eq!(stream.sequences, (0..30).collect::<Vec<_>>());
    assert_eq!(fleet.close().await.spent.get(), prompt_tokens(PROMPT) + 30);
}

/// Guards against an upstream that keeps generating after the caller disconnected, and against
/// billing tokens that the caller did not receive.
#[tokio::test(flavor = "multi_thread")]
async fn disconnect_cancels_the_upstream() {
    let fleet = TestFleet::start(FleetOptions {
        engines: vec![EngineOptions {
            decode_tokens_per_s: 200,
            ..EngineOptions::default()
        }],
        ..FleetOptions::default()
    })
    .await;
    let prompt = "on and on [tokens=1900]";
    let response = fleet.chat(0, prompt, true).send().await.unwrap();
    let mut body = response.bytes_stream();
    let first = body.next().await.unwrap().unwrap();
    assert!(first.starts_with(b"data: "));
    drop(body);
    let engine = &fleet.engines[0];
    wait_until("the engine cancels", async || {
        engine.counts().cancelled == 1
    })
    .await;
    let view = fleet.routers[0].view();
    wait_until("the request ends", async || view.running() == 0).await;
    assert_eq!(view.metric(MetricName::Disconnects), 1);
    let spent = fleet.close().await.spent.get();
    let least = prompt_tokens(prompt) + 1;
    assert!((least..least + 500).contains(&spent), "{spent}");
}

/// Guards against an upstream that keeps running a JSON request after its caller disconnected.
#[tokio::test(flavor = "multi_thread")]
async fn disconnect_of_a_json_request_is_billed_by_its_prompt() {
    let fleet = TestFleet::start(FleetOptions {
        engines: vec![EngineOptions {
            decode_tokens_per_s: 200,
            ..EngineOptions::default()
        }],
        ..FleetOptions::default()
    })
    .await;
    let engine = &fleet.engines[0];
    let request = tokio::spawn(fleet.chat(0, "quiet [tokens=1900]", false).send());
    wait_until("the engine runs the request", async || {
        engine.counts().started == 1
    })
    .await;
    request.abort();
    wait_until("the engine cancels", async || {
        engine.counts().cancelled == 1
    })
    .await;
    let view = fleet.routers[0].view();
    wait_until("the request ends", async || view.running() == 0).await;
    let spent = fleet.close().await.spent.get();
    assert!((1..100).contains(&spent), "{spent}");
}

/// Guards against a request that crashes one engine after another through retries.
#[tokio::test(flavor = "multi_thread")]
async fn crashing_request_is_blocked() {
    let fleet = TestFleet::start(FleetOptions {
        engines: vec![EngineOptions::default(); 4],
        ..FleetOptions::default()
    })
    .await;
    let mut refusals = Vec::new();
    for _ in 0..4 {
        let response = fleet.chat(0, "[crash]", false).send().await.unwrap();
        refusals.push(read_refusal(response).await);
    }
    // An engine counts a crash only after closing its connections.
    wait_until("the crashes are counted", async || fleet.crashes() >= 2).await;
    assert_eq!(fleet.crashes(), 2, "{refusals:?}");
    assert_eq!(refusals[0].1, "unknown", "{refusals:?}");
    let last = refusals.last().unwrap();
    assert_eq!(
        (last.0, last.1.as_str(), last.2.as_str()),
        (422, "not_run", "request_blocked")
    );
    let dump = fleet.operator(0, "/dump").await;
    let fingerprint = dump["crash_table"][0]["fingerprint"]
        .as_str()
        .unwrap()
        .to_owned();
    let url = format!(
        "http://{}/unblock/{fingerprint}",
        fleet.routers[0].addresses().operator
    );
    let unblock = fleet.client.post(url).bearer_auth(common::OPERATOR_KEY);
    assert_eq!(unblock.send().await.unwrap().status(), 200);
    let dump = fleet.operator(0, "/dump").await;
    assert_eq!(dump["crash_table"], serde_json::json!([]));
}

/// Guards against new requests to an upstream that reports that it is leaving.
#[tokio::test(flavor = "multi_thread")]
async fn leaving_upstream_gets_no_new_requests() {
    let fleet = TestFleet::start(two_engines()).await;
    fleet.engines[0].set_faults(EngineFaults {
        leaving: true,
        ..EngineFaults::default()
    });
    let leaves = async || {
        let dump = fleet.operator(0, "/dump").await;
        dump["upstreams"]["upstreams"][0]["use_state"]["state"] == "leaving"
    };
    wait_until("the router marks the upstream as leaving", leaves).await;
    let before = fleet.engines[0].counts().received;
    for index in 0..20 {
        let prompt = format!("request {index}");
        let response = fleet.chat(0, &prompt, false).send().await.unwrap();
        assert_eq!(response.status(), 200);
    }
    assert_eq!(fleet.engines[0].counts().received, before);
}
