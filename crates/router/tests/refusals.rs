//! Refused requests: invalid input, missing permissions, deadlines and unreachable upstreams.

mod common;

use common::{FleetOptions, KEY, TestFleet, read_refusal, wait_until};
use cornelarch_standin::engine::EngineFaults;
use reqwest::Method;
use rstest::rstest;

const CHAT: &str = "/v1/chat/completions";
const GOOD: &str = r#"{"model":"tiny","messages":[{"role":"user","content":"x"}]}"#;

/// Guards against invalid requests that reach an upstream, are billed, or get the wrong error.
#[rstest]
#[case::no_key(Method::POST, CHAT, None, GOOD, 401, "missing_key")]
#[case::empty_key(Method::POST, CHAT, Some(""), GOOD, 401, "missing_key")]
#[case::wrong_key(Method::POST, CHAT, Some("nobody"), GOOD, 401, "unknown_key")]
#[case::no_json(Method::POST, CHAT, Some(KEY), "hello", 400, "malformed_request")]
#[case::empty(Method::POST, CHAT, Some(KEY), "", 400, "malformed_request")]
#[case::not_utf8(Method::POST, CHAT, Some(KEY), "\u{0}", 400, "malformed_request")]
#[case::no_model(
    Method::POST,
    CHAT,
    Some(KEY),
    r#"{"messages":[{}]}"#,
    400,
    "malformed_request"
)]
#[case::no_messages(
    Method::POST,
    CHAT,
    Some(KEY),
    r#"{"model":"tiny"}"#,
    400,
    "malformed_request"
)]
#[case::empty_messages(
    Method::POST,
    CHAT,
    Some(KEY),
    r#"{"model":"tiny","messages":[ ]}"#,
    400,
    "malformed_request"
)]
#[case::zero_tokens(
    Method::POST,
    CHAT,
    Some(KEY),
    r#"{"model":"tiny","messages":[{}],"max_tokens":0}"#,
    400,
    "malformed_request"
)]
#[case::many_tokens(
    Method::POST,
    CHAT,
    Some(KEY),
    r#"{"model":"tiny","messages":[{}],"max_tokens":4097}"#,
    400,
    "malformed_request"
)]
#[case::negative_tokens(
    Method::POST,
    CHAT,
    Some(KEY),
    r#"{"model":"tiny","messages":[{}],"max_tokens":-1}"#,
    400,
    "malformed_request"
)]
#[case::several_choices(
    Method::POST,
    CHAT,
    Some(KEY),
    r#"{"model":"tiny","messages":[{}],"n":2}"#,
    400,
    "malformed_request"
)]
#[case::reserved_resume(
    Method::POST,
    CHAT,
    Some(KEY),
    r#"{"model":"tiny","messages":[{}],"x_resume_from":1}"#,
    400,
    "malformed_request"
)]
#[case::reserved_priority(
    Method::POST,
    CHAT,
    Some(KEY),
    r#"{"model":"tiny","messages":[{}],"priority":-9}"#,
    400,
    "malformed_request"
)]
#[case::unknown_model(
    Method::POST,
    CHAT,
    Some(KEY),
    r#"{"model":"none","messages":[{}]}"#,
    404,
    "unknown_model"
)]
#[case::forbidden_model(
    Method::POST,
    CHAT,
    Some(KEY),
    r#"{"model":"secret","messages":[{}]}"#,
    403,
    "upstream_forbidden"
)]
#[case::empty_budget(Method::POST, CHAT, Some("other-key"), GOOD, 402, "budget_exhausted")]
#[case::wrong_method(Method::GET, CHAT, Some(KEY), "", 404, "unknown_path")]
#[case::wrong_path(Method::GET, "/v2/models", Some(KEY), "", 404, "unknown_path")]
#[case::unknown_service(Method::GET, "/services/none/x", Some(KEY), "", 404, "unknown_service")]
#[case::forbidden_service(
    Method::GET,
    "/services/vault/x",
    Some(KEY),
    "",
    403,
    "upstream_forbidden"
)]
#[case::no_order_key(
    Method::POST,
    "/services/shop/orders",
    Some(KEY),
    "{}",
    400,
    "idempotency_key_required"
)]
#[tokio::test(flavor = "multi_thread")]
async fn invalid_request_is_refused_and_not_run(
    #[case] method: Method,
    #[case] path: &str,
    #[case] key: Option<&str>,
    #[case] body: &'static str,
    #[case] status: u16,
    #[case] kind: &str,
) {
    let fleet = TestFleet::start(FleetOptions::default()).await;
    let url = format!("http://{}{path}", fleet.callers(0));
    let mut request = fleet.client.request(method, url).body(body);
    if let Some(key) = key {
        request = request.header("authorization", format!("Bearer {key}"));
    }
    let refusal = read_refusal(request.send().await.unwrap()).await;
    assert_eq!(refusal, (status, "not_run".to_owned(), kind.to_owned()));
    assert_eq!(fleet.engines[0].counts().received, 0);
    assert_eq!(fleet.services[0].counts().received, 0);
    let totals = fleet.close().await;
    assert_eq!(totals.available, totals.paid);
}

/// Guards against a request body that is read without a size limit.
#[tokio::test(flavor = "multi_thread")]
async fn large_body_is_refused() {
    let fleet = TestFleet::start(FleetOptions {
        limits: "body_bytes = 1000",
        ..FleetOptions::default()
    })
    .await;
    let prompt = "x".repeat(2_000);
    let response = fleet.chat(0, &prompt, false).send().await.unwrap();
    let refusal = read_refusal(response).await;
    assert_eq!(refusal.0, 413);
    assert_eq!(refusal.2, "body_too_large");
}

/// Guards against an invalid timeout header that is ignored.
#[rstest]
#[case::text("soon")]
#[case::zero("0")]
#[case::negative("-5")]
#[tokio::test(flavor = "multi_thread")]
async fn invalid_timeout_is_refused(#[case] limit: &str) {
    let fleet = TestFleet::start(FleetOptions::default()).await;
    let request = fleet
        .chat(0, "x", false)
        .header("x-request-timeout-ms", limit);
    let refusal = read_refusal(request.send().await.unwrap()).await;
    assert_eq!(refusal.2, "malformed_request");
}

/// Guards against dot segments that the service resolves to an operation with other idempotency
/// rules.
#[tokio::test(flavor = "multi_thread")]
async fn dot_segments_do_not_reach_a_service() {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let fleet = TestFleet::start(FleetOptions::default()).await;
    let mut stream = tokio::net::TcpStream::connect(fleet.callers(0))
        .await
        .unwrap();
    let request = format!(
        "GET /services/shop/a/../b HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {KEY}\r\n\
         connection: close\r\n\r\n"
    );
    stream.write_all(request.as_bytes()).await.unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await.unwrap();
    assert!(answer.starts_with("HTTP/1.1 400"), "{answer}");
    assert_eq!(fleet.services[0].counts().received, 0);
}

/// Guards against a request that stays queued beyond the caller's timeout, and against a refusal
/// that does not report it as not run.
#[tokio::test(flavor = "multi_thread")]
async fn request_in_queue_is_refused_at_its_deadline() {
    let fleet = TestFleet::start(FleetOptions {
        upstream: "concurrency = 1",
        ..FleetOptions::default()
    })
    .await;
    fleet.engines[0].set_faults(EngineFaults {
        slow_factor: 50,
        ..EngineFaults::default()
    });
    let first = tokio::spawn(fleet.chat(0, "long [tokens=1500]", true).send());
    let engine = &fleet.engines[0];
    wait_until("the engine runs the request", async || {
        engine.counts().started == 1
    })
    .await;
    let request = fleet
        .chat(0, "second", false)
        .header("x-request-timeout-ms", 50);
    let refusal = read_refusal(request.send().await.unwrap()).await;
    assert_eq!(refusal.0, 504);
    assert_eq!(
        (refusal.1.as_str(), refusal.2.as_str()),
        ("not_run", "deadline_exceeded")
    );
    assert_eq!(engine.counts().received, 1);
    drop(first.await.unwrap().unwrap());
}

/// Guards against a refusal other than `no_upstream`, and against a charge, when no upstream is
/// reachable.
#[tokio::test(flavor = "multi_thread")]
async fn unreachable_upstream_is_not_billed() {
    let mut fleet = TestFleet::start_without_routers(FleetOptions::default()).await;
    // The fault only refuses new connections; one that is already open would still be served.
    fleet.engines[0].set_faults(EngineFaults {
        refuse: true,
        ..EngineFaults::default()
    });
    fleet.start_routers().await;
    let response = fleet.chat(0, "x", false).send().await.unwrap();
    assert_eq!(response.headers()["retry-after"], "1");
    let refusal = read_refusal(response).await;
    assert_eq!(refusal.0, 503);
    assert_eq!(
        (refusal.1.as_str(), refusal.2.as_str()),
        ("not_run", "no_upstream")
    );
    assert_eq!(fleet.close().await.spent.get(), 0);
}
