//! Buffered calls: forwarded headers, retries, and the meaning of refusals.

mod common;

use std::time::Duration;

use common::{FakeUpstream, Fixture, FixtureOptions, Reply};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

/// Guards against a request that reaches the upstream altered, with the caller's key, or with
/// reserved headers that the caller set.
#[tokio::test]
async fn request_is_passed_on_without_reserved_headers() {
    let upstream = FakeUpstream::start(vec![]).await;
    let fixture = Fixture::start(&FixtureOptions::default(), &[("plain", &upstream)]).await;
    let response = fixture
        .post("/once/a?b=%20c", "r1")
        .header("t-customer", "forged")
        .header("t-pin", "9000")
        .header("x-other", "kept")
        .header("connection", "x-hop")
        .header("x-hop", "dropped")
        .body("body")
        .send()
        .await
        .expect("answer");
    assert_eq!(response.status(), 200);
    assert_eq!(response.headers()["t-seal"], "seal-r1");
    assert_eq!(response.text().await.expect("body"), "ok");
    let received = &upstream.requests()[0];
    assert!(
        received.head.starts_with("POST /once/a?b=%20c HTTP/1.1"),
        "{}",
        received.head
    );
    assert_eq!(received.body, b"body");
    assert_eq!(received.header("t-customer"), Some("acme"));
    assert_eq!(received.header("t-expect"), Some("u0"));
    assert_eq!(received.header("x-other"), Some("kept"));
    assert_eq!(received.header("host"), Some("shop.example"));
    for name in ["t-key", "t-pin", "x-hop"] {
        assert_eq!(received.header(name), None, "{name}");
    }
    let left: u64 = received
        .header("t-deadline-ms")
        .expect("deadline")
        .parse()
        .expect("ms");
    assert!((2_000..=3_000).contains(&left), "{left}");
}

/// Guards against serving a path or an API key that the configuration does not contain.
#[tokio::test]
async fn unknown_hosts_paths_and_keys_are_refused() {
    let upstream = FakeUpstream::start(vec![]).await;
    let fixture = Fixture::start(&FixtureOptions::default(), &[("plain", &upstream)]).await;
    let url = |path: &str| format!("http://{}{path}", fixture.listen);
    let send = |path: &str, key: &'static str| {
        fixture
            .client
            .get(url(path))
            .header("host", "shop.example")
            .header("t-key", key)
            .header("t-attempt", "r1")
            .send()
    };
    assert_eq!(
        send("/again/x", "wrong").await.expect("answer").status(),
        401
    );
    assert_eq!(
        send("/none/x", common::KEY).await.expect("answer").status(),
        404
    );
    assert_eq!(
        send("/public/x", "wrong").await.expect("answer").status(),
        200
    );
    let requests = upstream.requests();
    assert_eq!(requests.len(), 1);
    assert_eq!(requests[0].header("t-customer"), None);
    assert_eq!(requests[0].header("t-key"), None);
}

/// Guards against an order that runs twice: after its response is lost, the gateway must neither
/// send it again nor tell the caller that it did not run.
#[tokio::test]
async fn order_is_not_repeated_after_a_lost_answer() {
    for reply in [
        Reply::Reset,
        Reply::WrongId,
        Reply::Truncated,
        Reply::WithoutProof,
    ] {
        let upstream = FakeUpstream::start(vec![reply.clone()]).await;
        let other = FakeUpstream::start(vec![reply.clone()]).await;
        let fixture = Fixture::start(
            &FixtureOptions::default(),
            &[("plain", &upstream), ("plain", &other)],
        )
        .await;
        let response = fixture.post("/once/a", "r1").send().await.expect("answer");
        assert_eq!(response.status(), 502, "{reply:?}");
        assert_eq!(
            upstream.requests().len() + other.requests().len(),
            1,
            "{reply:?}"
        );
    }
}

/// Guards against reporting a request that the upstream refused as one that may have run.
#[tokio::test]
async fn refused_order_is_answered_as_not_run() {
    let upstream = FakeUpstream::start(vec![Reply::Refuse]).await;
    let fixture = Fixture::start(&FixtureOptions::default(), &[("plain", &upstream)]).await;
    let response = fixture.post("/once/a", "r1").send().await.expect("answer");
    assert_eq!(response.status(), 503);
    assert!(response.headers().contains_key("retry-after"));
    assert!(!response.headers().contains_key("t-seal"));
}

/// Guards against a repeatable call that fails although another upstream is healthy.
#[tokio::test]
async fn repeatable_call_goes_to_another_upstream() {
    for reply in [
        Reply::Reset,
        Reply::Refuse,
        Reply::WrongId,
        Reply::Truncated,
        Reply::Answer(500, "x"),
    ] {
        let bad = FakeUpstream::start(vec![reply.clone(); 4]).await;
        let good = FakeUpstream::start(vec![]).await;
        let fixture = Fixture::start(
            &FixtureOptions::default(),
            &[("plain", &bad), ("plain", &good)],
        )
        .await;
        for attempt in 0..4 {
            let id = format!("r{attempt}");
            let response = fixture.post("/again/a", &id).send().await.expect("answer");
            assert_eq!(response.status(), 200, "{reply:?}");
            assert_eq!(response.headers()["t-seal"], format!("seal-{id}").as_str());
        }
    }
}

/// Guards against a retry storm: once the retry budget is used up, the failure of the upstream is
/// final.
#[tokio::test]
async fn repeats_stay_within_their_budget() {
    let options = FixtureOptions {
        slack: 0.0,
        ..FixtureOptions::default()
    };
    let upstreams = [
        FakeUpstream::start(vec![Reply::Reset; 50]).await,
        FakeUpstream::start(vec![Reply::Reset; 50]).await,
    ];
    let fixture = Fixture::start(
        &options,
        &[("plain", &upstreams[0]), ("plain", &upstreams[1])],
    )
    .await;
    for attempt in 0..20 {
        let id = format!("r{attempt}");
        let response = fixture.post("/again/a", &id).send().await.expect("answer");
        assert!(response.status().is_server_error());
    }
    let arrivals: usize = upstreams
        .iter()
        .map(|upstream| upstream.requests().len())
        .sum();
    // The retry budget allows a fifth of the 20 requests to be retried.
    assert!(arrivals <= 24, "{arrivals}");
}

/// Guards against an unsolicited response that is delivered to the next caller on the connection.
#[tokio::test]
async fn surplus_answer_reaches_nobody() {
    let upstream = FakeUpstream::start(vec![Reply::Unsolicited("first")]).await;
    let fixture = Fixture::start(&FixtureOptions::default(), &[("plain", &upstream)]).await;
    let first = fixture.post("/again/a", "r1").send().await.expect("answer");
    assert_eq!(first.text().await.expect("body"), "first");
    for attempt in 2..6 {
        let id = format!("r{attempt}");
        let response = fixture.post("/again/a", &id).send().await.expect("answer");
        assert_eq!(response.status(), 200);
        assert_eq!(response.headers()["t-seal"], format!("seal-{id}").as_str());
    }
}

/// Guards against a request that stays open beyond the timeout of its route.
#[tokio::test]
async fn silent_upstream_ends_at_the_time_limit() {
    let options = FixtureOptions {
        timeout: Duration::from_millis(400),
        ..FixtureOptions::default()
    };
    let upstream = FakeUpstream::start(vec![Reply::Silent]).await;
    let fixture = Fixture::start(&options, &[("plain", &upstream)]).await;
    let started = std::time::Instant::now();
    let response = fixture.post("/once/a", "r1").send().await.expect("answer");
    assert_eq!(response.status(), 504);
    let taken = started.elapsed();
    assert!(
        taken >= Duration::from_millis(350) && taken < Duration::from_millis(900),
        "{taken:?}"
    );
    tokio::time::sleep(Duration::from_millis(100)).await;
    assert_eq!(upstream.abandoned(), 1);
}

/// Guards against an upstream that works on for a caller that has disconnected.
#[tokio::test]
async fn caller_that_leaves_cancels_the_request() {
    let upstream = FakeUpstream::start(vec![Reply::Silent]).await;
    let fixture = Fixture::start(&FixtureOptions::default(), &[("plain", &upstream)]).await;
    let request = fixture.post("/once/a", "r1").send();
    let left = tokio::time::timeout(Duration::from_millis(200), request).await;
    assert!(left.is_err());
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert_eq!(upstream.abandoned(), 1);
}

/// Guards against request smuggling through a `content-length` next to a `transfer-encoding`.
#[tokio::test]
async fn second_length_smuggles_nothing() {
    let upstream = FakeUpstream::start(vec![]).await;
    let fixture = Fixture::start(&FixtureOptions::default(), &[("plain", &upstream)]).await;
    let hidden = "POST /once/hidden HTTP/1.1\r\nhost: shop.example\r\nt-key: key-1\r\nt-attempt: h\r\ncontent-length: 0\r\n\r\n";
    let text = format!(
        "POST /once/a HTTP/1.1\r\nhost: shop.example\r\nt-key: key-1\r\nt-attempt: r1\r\ncontent-length: {}\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n{hidden}",
        5 + hidden.len()
    );
    let mut stream = TcpStream::connect(fixture.listen).await.expect("connect");
    stream.write_all(text.as_bytes()).await.expect("write");
    let mut answer = Vec::new();
    let _ = tokio::time::timeout(Duration::from_secs(2), stream.read_to_end(&mut answer)).await;
    assert!(
        upstream
            .requests()
            .iter()
            .all(|received| !received.head.contains("hidden"))
    );
}

/// Guards against forwarding a body beyond the size limit.
#[tokio::test]
async fn large_body_is_refused() {
    let upstream = FakeUpstream::start(vec![]).await;
    let fixture = Fixture::start(&FixtureOptions::default(), &[("plain", &upstream)]).await;
    let request = fixture.post("/once/a", "r1").body(vec![b'x'; 1_000_001]);
    if let Ok(response) = request.send().await {
        assert_eq!(response.status(), 413);
    }
    assert!(upstream.requests().is_empty());
}

/// Guards against outcomes that the metrics do not count.
#[tokio::test]
async fn metrics_count_each_outcome() {
    let upstream = FakeUpstream::start(vec![Reply::Answer(200, "x"), Reply::Refuse]).await;
    let fixture = Fixture::start(&FixtureOptions::default(), &[("plain", &upstream)]).await;
    for id in ["r1", "r2"] {
        fixture.post("/once/a", id).send().await.expect("answer");
    }
    fixture.post("/none/a", "r3").send().await.expect("answer");
    let url = format!("http://{}/metrics", fixture.metrics);
    let response = fixture.client.get(url).send().await.expect("metrics");
    let text = response.text().await.expect("text");
    for line in [
        "cornelarch_requests_total{kind=\"at_most_once\",outcome=\"answered\"} 1",
        "cornelarch_requests_total{kind=\"at_most_once\",outcome=\"overloaded\"} 1",
        "cornelarch_requests_total{kind=\"none\",outcome=\"unknown_path\"} 1",
        "cornelarch_attempts_total{end=\"refused\"} 1",
        "cornelarch_upstreams 1",
    ] {
        assert!(text.contains(line), "{line} is not in {text}");
    }
}
