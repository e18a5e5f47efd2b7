//! Tests of the service stand-in over HTTP.

use std::time::Duration;

use cornelarch_standin::service::{
    self, FENCE_HEADER, ServiceFaults, ServiceHandle, ServiceOptions, lookup_response,
};
use reqwest::{Client, Response};
use rstest::rstest;
use serde_json::{Value, json};

async fn start(fencing: bool) -> ServiceHandle {
    let options = ServiceOptions {
        fencing,
        restart_delay: Duration::from_millis(20),
        ..ServiceOptions::default()
    };
    service::bind(options).await.unwrap()
}

async fn send_order(handle: &ServiceHandle, id: &str, fence: u64) -> reqwest::Result<Response> {
    let url = format!("{}/orders", handle.url());
    let request = Client::new().post(url).header(FENCE_HEADER, fence);
    request.json(&json!({"order": id})).send().await
}

/// Guards against executions that are not counted, whether or not their response arrives.
#[rstest]
#[case::none(ServiceFaults::default(), true, 1)]
#[case::before(ServiceFaults { reset_before_run: 1, ..ServiceFaults::default() }, false, 0)]
#[case::after(ServiceFaults { reset_after_run: 1, ..ServiceFaults::default() }, false, 1)]
#[case::mid_response(ServiceFaults { reset_mid_answer: 1, ..ServiceFaults::default() }, false, 1)]
#[tokio::test]
async fn executions_are_counted(
    #[case] faults: ServiceFaults,
    #[case] answered: bool,
    #[case] executions: u64,
) {
    let handle = start(false).await;
    handle.set_faults(faults);
    let body = match send_order(&handle, "o1", 1).await {
        Ok(response) => response.json::<Value>().await,
        Err(error) => Err(error),
    };
    assert_eq!(body.is_ok(), answered);
    let count = handle.executions().get("o1").copied().unwrap_or(0);
    assert_eq!(count, executions);
    handle.close().await;
}

/// Guards against accepting an outdated fencing number, which would hide a second execution.
#[tokio::test]
async fn old_fencing_numbers_are_refused() {
    let handle = start(true).await;
    assert_eq!(send_order(&handle, "o1", 7).await.unwrap().status(), 200);
    assert_eq!(send_order(&handle, "o1", 6).await.unwrap().status(), 409);
    assert_eq!(send_order(&handle, "o2", 1).await.unwrap().status(), 200);
    assert_eq!(handle.executions()["o1"], 1);
    assert_eq!(handle.counts().fenced, 1);
    handle.close().await;
}

/// Guards against lookups that differ from `lookup_response`, and a service that does not recover
/// from a crash.
#[tokio::test]
async fn lookups_survive_a_crash() {
    let handle = start(false).await;
    let url = format!("{}/items/1?q=a", handle.url());
    assert!(send_order(&handle, "[crash]", 1).await.is_err());
    let response = loop {
        if let Ok(response) = reqwest::get(&url).await {
            break response;
        }
    };
    let body: Value = response.json().await.unwrap();
    assert_eq!(body, lookup_response("/items/1?q=a"));
    assert_eq!(handle.counts().crashes, 1);
    handle.close().await;
}
