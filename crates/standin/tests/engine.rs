//! Tests of the engine stand-in over HTTP.

use std::time::Duration;

use cornelarch_standin::engine::{
    self, EngineFaults, EngineHandle, EngineOptions, completion_text, completion_tokens,
    prompt_tokens,
};
use futures_util::StreamExt;
use reqwest::{Client, Response};
use rstest::rstest;
use serde_json::{Value, json};

const PROMPT: &str = "Name some trees. [tokens=6]";

async fn start() -> EngineHandle {
    engine::bind(EngineOptions::default()).await.unwrap()
}

async fn send(handle: &EngineHandle, body: Value) -> reqwest::Result<Response> {
    let url = format!("{}/v1/chat/completions", handle.url());
    Client::new().post(url).json(&body).send().await
}

fn chat(prompt: &str, stream: bool) -> Value {
    json!({
        "model": "m",
        "messages": [{"role": "user", "content": prompt}],
        "max_tokens": 1_000,
        "stream": stream,
    })
}

/// Reads a stream until it ends or fails; returns its events and whether `[DONE]` was received.
async fn read_events(response: Response) -> (Vec<Value>, bool) {
    let mut text = String::new();
    let mut body = response.bytes_stream();
    while let Some(Ok(bytes)) = body.next().await {
        text.push_str(std::str::from_utf8(&bytes).unwrap());
    }
    let done = text.ends_with("data: [DONE]\n\n");
    let events = text
        .split("\n\n")
        .filter_map(|event| event.strip_prefix("data: "));
    let events = events.filter(|event| *event != "[DONE]");
    (
        events
            .map(|event| serde_json::from_str(event).unwrap())
            .collect(),
        done,
    )
}

fn sequences(events: &[Value]) -> Vec<u64> {
    events
        .iter()
        .map(|event| event["x_sequence"].as_u64().unwrap())
        .collect()
}

fn text(events: &[Value]) -> String {
    let parts = events
        .iter()
        .filter_map(|event| event["choices"][0]["delta"]["content"].as_str());
    parts.collect()
}

async fn wait_until(condition: impl Fn() -> bool) {
    while !condition() {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
}

/// Guards against completions that differ from `completion_text`, and against wrong usage counts.
#[tokio::test]
async fn json_and_stream_give_the_same_completion() {
    let handle = start().await;
    let response = send(&handle, chat(PROMPT, false)).await.unwrap();
    let completion: Value = response.json().await.unwrap();
    let expected = completion_text(&[PROMPT], 1_000);
    assert_eq!(completion["choices"][0]["message"]["content"], expected);
    let usage = json!({
        "prompt_tokens": prompt_tokens(PROMPT),
        "completion_tokens": completion_tokens(&[PROMPT], 1_000),
        "total_tokens": prompt_tokens(PROMPT) + 6,
    });
    assert_eq!(completion["usage"], usage);

    let (events, done) = read_events(send(&handle, chat(PROMPT, true)).await.unwrap()).await;
    assert!(done);
    assert_eq!(sequences(&events), [0, 1, 2, 3, 4, 5, 6]);
    assert_eq!(text(&events), expected);
    assert_eq!(events[0]["x_prompt_tokens"], prompt_tokens(PROMPT));
    assert_eq!(events[6]["usage"], usage);
    handle.close().await;
}

/// Guards against injected faults without effect, with which fault tests would check nothing.
#[rstest]
#[case::duplicate(EngineFaults { duplicate_chunk: 1, ..EngineFaults::default() }, &[0, 1, 2, 2, 3, 4, 5, 6], true)]
#[case::reorder(EngineFaults { reorder_chunk: 1, ..EngineFaults::default() }, &[0, 1, 3, 2, 4, 5, 6], true)]
#[case::skip(EngineFaults { skip_chunk: 1, ..EngineFaults::default() }, &[0, 1, 3, 4, 5, 6], true)]
#[case::reset(EngineFaults { reset_mid_stream: 1, reset_after_tokens: 3, ..EngineFaults::default() }, &[0, 1, 2], false)]
#[tokio::test]
async fn stream_faults_show_once(
    #[case] faults: EngineFaults,
    #[case] expected: &[u64],
    #[case] complete: bool,
) {
    let handle = start().await;
    handle.set_faults(faults);
    let (events, done) = read_events(send(&handle, chat(PROMPT, true)).await.unwrap()).await;
    assert_eq!((sequences(&events).as_slice(), done), (expected, complete));
    let (events, done) = read_events(send(&handle, chat(PROMPT, true)).await.unwrap()).await;
    assert_eq!((events.len(), done), (7, true));
    handle.close().await;
}

/// Guards against a resumed stream that repeats or skips tokens or continues another text.
#[tokio::test]
async fn resume_continues_the_completion() {
    let handle = start().await;
    let whole = completion_text(&[PROMPT], 1_000);
    let mut body = chat(PROMPT, true);
    body["x_resume_from"] = json!(4);
    body["x_resume_text"] = json!(completion_text(&[PROMPT], 4));
    let (events, _) = read_events(send(&handle, body.clone()).await.unwrap()).await;
    assert_eq!(sequences(&events), [4, 5, 6]);
    assert!(whole.ends_with(&text(&events)));
    body["x_resume_text"] = json!("another text");
    assert_eq!(send(&handle, body).await.unwrap().status(), 400);
    handle.close().await;
}

/// Guards against connection faults that let a response through, and engines that do not recover
/// from a crash.
#[tokio::test]
async fn engine_recovers_after_a_crash() {
    let options = EngineOptions {
        restart_delay: Duration::from_millis(20),
        ..EngineOptions::default()
    };
    let handle = engine::bind(options).await.unwrap();
    handle.set_faults(EngineFaults {
        reset_before_first: 1,
        ..EngineFaults::default()
    });
    assert!(send(&handle, chat(PROMPT, false)).await.is_err());
    let victim = send(&handle, chat("[tokens=100000]", true)).await.unwrap();
    assert!(send(&handle, chat("[crash]", false)).await.is_err());
    assert!(!read_events(victim).await.1);
    assert_eq!(handle.counts().crashes, 1);
    while send(&handle, chat(PROMPT, false)).await.is_err() {}
    assert_eq!(handle.runs()["[crash]"], 1);
    handle.close().await;
}

/// Guards against requests that keep running after their caller disconnected, for streamed and
/// JSON responses.
#[rstest]
#[tokio::test]
async fn disconnect_cancels(#[values(true, false)] stream: bool) {
    let handle = start().await;
    let body = chat("[tokens=100000]", stream);
    let request = send(&handle, body);
    match stream {
        true => drop(request.await.unwrap()),
        false => tokio::select! {
            _ = request => unreachable!("the completion takes minutes"),
            () = wait_until(|| handle.counts().started == 1) => {}
        },
    }
    wait_until(|| handle.counts().cancelled == 1).await;
    handle.close().await;
}

/// Guards against a batch that ignores priorities, and a cache that never hits or never evicts.
#[tokio::test]
async fn priority_and_cache_are_honoured() {
    let options = EngineOptions {
        batch_limit: 1,
        cache_blocks: 4,
        load_report_lag: Duration::ZERO,
        ..EngineOptions::default()
    };
    let handle = engine::bind(options).await.unwrap();
    let long = "x".repeat(512);
    let blocker = send(&handle, chat(&format!("{long}[tokens=100000]"), true))
        .await
        .unwrap();
    let mut low = chat(&format!("{long}[tokens=50]"), false);
    low["priority"] = json!(1);
    let high = chat(&format!("{}[tokens=1]", "y".repeat(1_024)), false);
    let (low, high) = (send(&handle, low), send(&handle, high));
    let release = async {
        wait_until(|| handle.load().waiting == 2).await;
        drop(blocker);
    };
    let first = async {
        tokio::select! {
            result = low => (result, "low"),
            result = high => (result, "high"),
        }
    };
    let ((result, name), ()) = tokio::join!(first, release);
    result.unwrap();
    assert_eq!(name, "high");
    send(&handle, chat(&"y".repeat(1_024), false))
        .await
        .unwrap();
    assert_eq!(handle.counts().cached_tokens, 4 * 64);
    handle.close().await;
}
