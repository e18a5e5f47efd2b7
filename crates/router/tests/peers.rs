//! Communication between the routers of a failure domain.

mod common;

use common::{FleetOptions, OPERATOR_KEY, TestFleet, read_refusal, wait_until};
use cornelarch_standin::engine::EngineOptions;

async fn start_domain() -> TestFleet {
    let fleet = TestFleet::start(FleetOptions {
        routers: vec!["a", "a"],
        engines: vec![EngineOptions::default(); 4],
        ..FleetOptions::default()
    })
    .await;
    for router in 0..2 {
        let knows = async || {
            let dump = fleet.operator(router, "/dump").await;
            dump["members"]
                .as_array()
                .is_some_and(|members| members.len() == 1)
        };
        wait_until("the routers know each other", knows).await;
    }
    fleet
}

/// Guards against a request that is blocked at one router and still crashes upstreams through
/// another, and against an unblock by an operator that does not reach all routers.
#[tokio::test(flavor = "multi_thread")]
async fn blocks_are_shared_in_the_domain() {
    let fleet = start_domain().await;
    fleet.chat(0, "[crash]", false).send().await.unwrap();
    let blocked = async || {
        let dump = fleet.operator(1, "/dump").await;
        dump["crash_table"][0]["verdict"] == "blocked"
    };
    wait_until("the other router blocks the request", blocked).await;
    let refusal = read_refusal(fleet.chat(1, "[crash]", false).send().await.unwrap()).await;
    assert_eq!(refusal, (422, "not_run".into(), "request_blocked".into()));
    wait_until("the crashes are counted", async || fleet.crashes() >= 2).await;
    assert_eq!(fleet.crashes(), 2);
    let dump = fleet.operator(1, "/dump").await;
    let fingerprint = dump["crash_table"][0]["fingerprint"].as_str().unwrap();
    let operator = fleet.routers[1].addresses().operator;
    let url = format!("http://{operator}/unblock/{fingerprint}");
    let unblock = fleet.client.post(url).bearer_auth(OPERATOR_KEY).send();
    assert!(unblock.await.unwrap().status().is_success());
    let cleared = async || {
        let dump = fleet.operator(0, "/dump").await;
        dump["crash_table"].as_array().is_some_and(Vec::is_empty)
    };
    wait_until("the unblock reaches the first router", cleared).await;
}

/// Crashes in the domain by which their cause must be recognised.
const CRASHES_MAX: u64 = 5;

/// Guards against a message that crashes one engine after the other, because no two requests with it
/// are alike.
#[tokio::test(flavor = "multi_thread")]
async fn message_in_unlike_requests_crashes_engine_after_engine() {
    let fleet = start_domain().await;
    let send = async |router: usize, first: &str, last: &str| {
        let url = format!("http://{}/v1/chat/completions", fleet.callers(router));
        let body = serde_json::json!({
            "model": "tiny",
            "messages": [
                {"role": "system", "content": "shared by all"},
                {"role": "user", "content": first},
                {"role": "user", "content": last},
            ],
            "max_tokens": 10,
        });
        let request = fleet.client.post(url).bearer_auth(common::KEY);
        let request = request.header("content-type", "application/json");
        request
            .body(body.to_string())
            .send()
            .await
            .unwrap()
            .status()
    };
    for number in 0..10 {
        send(
            number % 2,
            "a file with [crash]",
            &format!("question {number}"),
        )
        .await;
        // Engines accept connections again after some time.
        tokio::time::sleep(std::time::Duration::from_millis(400)).await;
    }
    let crashes = fleet.crashes();
    assert!(crashes > 0, "no engine has crashed");
    assert!(crashes <= CRASHES_MAX, "{crashes} crashes");
    for router in 0..2 {
        assert_eq!(send(router, "another file", "question").await, 200);
    }
}

/// Guards against malformed input at the peer port that stops the router. The port must close the
/// connection without a response.
#[tokio::test(flavor = "multi_thread")]
async fn malformed_peer_input_closes_the_connection() {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let fleet = start_domain().await;
    let peers = fleet.routers[0].addresses().peers;
    for input in [
        &b"GET / HTTP/1.1\r\n\r\n"[..],
        &[0, 0, 0, 3, 0xff, 0xff, 0xff],
        &[0xff; 64],
    ] {
        let mut stream = tokio::net::TcpStream::connect(peers).await.unwrap();
        stream.write_all(input).await.unwrap();
        let mut rest = Vec::new();
        // The router closes the connection, with or without a reset.
        let _ = stream.read_to_end(&mut rest).await;
        assert!(rest.is_empty());
    }
    let response = fleet.chat(0, "still there", false).send().await.unwrap();
    assert!(response.status().is_success());
}

/// Guards against a router that does not notice the departure of a member.
#[tokio::test(flavor = "multi_thread")]
async fn departed_member_is_detected() {
    let mut fleet = start_domain().await;
    fleet.routers.remove(1).close().await;
    let departed = async || {
        let dump = fleet.operator(0, "/dump").await;
        let state = &dump["members"][0]["record"]["state"];
        state == "leaving" || state == "dead"
    };
    wait_until("the member is leaving or dead", departed).await;
}
