//! End-to-end requests over HTTP.

mod common;

use common::{FleetOptions, TestFleet, read_stream};
use cornelarch_standin::engine::{completion_text, completion_tokens, prompt_tokens};
use serde_json::Value;

/// Guards against an altered JSON response and against wrong billing.
#[tokio::test(flavor = "multi_thread")]
async fn json_response_is_forwarded_and_billed_once() {
    let fleet = TestFleet::start(FleetOptions::default()).await;
    let response = fleet.chat(0, "tell a story", false).send().await.unwrap();
    assert_eq!(response.status(), 200, "{:?}", response.text().await);
    assert_eq!(response.headers()["x-cornelarch-run"], "ran");
    let answer: Value = response.json().await.unwrap();
    let contents = ["tell a story"];
    let text = completion_text(&contents, 2_000);
    assert_eq!(answer["choices"][0]["message"]["content"], text.as_str());
    let cost = prompt_tokens("tell a story") + completion_tokens(&contents, 2_000);
    let (_, reserved, spent) = fleet.account(0).await;
    assert_eq!((reserved, spent), (0, cost));
    let totals = fleet.close().await;
    assert_eq!((totals.spent.get(), totals.held.get()), (cost, 0));
}

/// Guards against lost, repeated or reordered chunks, and against wrong billing of a stream.
#[tokio::test(flavor = "multi_thread")]
async fn stream_is_forwarded_and_billed_once() {
    let fleet = TestFleet::start(FleetOptions::default()).await;
    let response = fleet
        .chat(0, "stream it [tokens=50]", true)
        .send()
        .await
        .unwrap();
    assert_eq!(response.status(), 200);
    let stream = read_stream(response).await;
    let contents = ["stream it [tokens=50]"];
    assert!(stream.done);
    assert_eq!(stream.text, completion_text(&contents, 2_000));
    assert_eq!(stream.sequences, (0..=50).collect::<Vec<_>>());
    let totals = fleet.close().await;
    assert_eq!(Some(totals.spent.get()), stream.usage);
    assert_eq!(totals.held.get(), 0);
}
