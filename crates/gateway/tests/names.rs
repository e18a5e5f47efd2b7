//! Names and other values of requests, responses and the configuration that are not plain ASCII.

mod common;

use std::{collections::BTreeSet, sync::Arc};

use common::{
    FakePlatform, FakeUpstream, Fixture, FixtureOptions, KEY, Reply, document, record as record_of,
};
use cornelarch_core::{
    base::{CustomerName, TokenCount},
    route::{CustomerRecord, RouteLookup, RouteRule},
};
use http::HeaderValue;
use reqwest::Response;
use rstest::rstest;

const OTHER_KEY: &str = "key-2";
/// Host that is not plain ASCII, of a route like that of `shop.example`.
const OTHER_HOST: &str = "bücher.example";
const PREPAID: u64 = 1_000;
/// Prompt and answer of a run that reserves 200 tokens and uses 110: eight of them fit.
const SIZE: &str = "100,100";
const RUNS_MAX: usize = 8;

fn events(range: std::ops::Range<u32>) -> Vec<String> {
    range
        .map(|id| format!("id: {id}\ndata: t{id}\n\n"))
        .collect()
}

/// Starts a gateway with another customer that has this name and key.
async fn start_with_customer(name: &str, key: &str, upstream: &FakeUpstream) -> Fixture {
    let options = FixtureOptions::default();
    let mut document = document(1, &options);
    let record = CustomerRecord {
        name: CustomerName::new(name),
        priority: None,
        prepaid: Some(TokenCount::new(PREPAID)),
        homes: BTreeSet::new(),
    };
    document.add_customer(record, [key.to_owned()]);
    let RouteLookup::Found(rule) = document.find_route("shop.example", "/stream/a") else {
        panic!("no route");
    };
    let host = OTHER_HOST.to_owned();
    let rule = RouteRule {
        host,
        ..rule.clone()
    };
    document.add_route(rule);
    let platform = Arc::new(FakePlatform::default());
    platform.publish(document);
    platform.list(record_of("u0", "engine", upstream.address));
    Fixture::start_with(&options, platform).await
}

async fn send(fixture: &Fixture, key: &str, number: usize, size: &[u8]) -> Response {
    let request = fixture
        .client
        .post(format!("http://{}/stream/a", fixture.listen))
        .header("host", "shop.example")
        .header(
            "t-key",
            HeaderValue::from_bytes(key.as_bytes()).expect("key"),
        )
        .header("t-attempt", format!("r{number}"))
        .header("t-deadline-ms", "3000")
        .header("t-tokens", HeaderValue::from_bytes(size).expect("size"));
    request.send().await.expect("answer")
}

/// Guards against a customer whose requests are not charged because a header cannot carry its name as
/// plain text.
#[rstest]
#[tokio::test]
async fn customer_with_an_unusual_name_is_not_charged(
    #[values("Regie", "Régie", "客户", " a ", "a\tb", "a\nb", "\u{7f}", "")] name: &str,
) {
    let upstream = FakeUpstream::start(vec![Reply::Events(events(1..3)); 50]).await;
    let fixture = start_with_customer(name, OTHER_KEY, &upstream).await;
    let mut served = 0;
    for number in 0..20 {
        let response = send(&fixture, OTHER_KEY, number, SIZE.as_bytes()).await;
        served += usize::from(response.status() == 200);
        let _ = response.text().await;
    }
    assert_eq!(served, RUNS_MAX);
    let requests = upstream.requests();
    assert_eq!(requests.len(), RUNS_MAX);
    let sent = requests[0].header("t-customer").unwrap_or_default();
    let expected = match name.contains(char::is_control) && name != "a\tb" {
        true => "",
        false => name.trim(),
    };
    assert_eq!(sent, expected);
}

/// Guards against a run that is not charged, or only in part, because the size of its request cannot
/// be read.
#[rstest]
#[tokio::test]
async fn request_with_an_unreadable_size_is_not_charged(
    #[values(
        "",
        "x",
        "100",
        "100,x",
        "100,100é",
        "-100,100",
        "1e2,100",
        "100,99999999999999999999"
    )]
    size: &str,
) {
    let upstream = FakeUpstream::start(vec![Reply::Events(events(1..3)); 50]).await;
    let fixture = start_with_customer("acme-2", OTHER_KEY, &upstream).await;
    let response = send(&fixture, OTHER_KEY, 1, size.as_bytes()).await;
    assert_eq!(response.status(), 400);
    assert!(upstream.requests().is_empty());
    // Customers without a budget are not charged.
    let response = send(&fixture, KEY, 2, size.as_bytes()).await;
    assert_eq!(response.status(), 200);
}

/// Guards against refusing a key, or a host, of the configuration that is not plain ASCII.
#[rstest]
#[case::key("clé-€", "shop.example")]
#[case::host(OTHER_KEY, "bücher.example:80")]
#[tokio::test]
async fn key_or_host_outside_of_ascii_is_refused(#[case] key: &str, #[case] host: &str) {
    let upstream = FakeUpstream::start(vec![Reply::Events(events(1..2))]).await;
    let fixture = start_with_customer("acme-2", key, &upstream).await;
    let value = |text: &str| HeaderValue::from_bytes(text.as_bytes()).expect("value");
    let request = fixture
        .client
        .post(format!("http://{}/stream/a", fixture.listen))
        .header("host", value(host))
        .header("t-key", value(key))
        .header("t-attempt", "r1")
        .header("t-tokens", SIZE);
    let response = request.send().await.expect("answer");
    assert_eq!(response.status(), 200);
}

/// Guards against connection options that are missed because others beside them are not plain ASCII.
#[tokio::test]
async fn options_beside_one_outside_of_ascii_are_missed() {
    let reply = Reply::AnswerWith(200, "connection: close, é\r\n", "ok");
    let upstream = FakeUpstream::start(vec![reply.clone(), reply]).await;
    let options = FixtureOptions::default();
    let fixture = Fixture::start(&options, &[("plain", &upstream)]).await;
    for id in ["r1", "r2"] {
        let connection = HeaderValue::from_bytes("x-hop, é".as_bytes()).expect("value");
        let request = fixture.post("/again/a", id).header("x-hop", "dropped");
        let response = request.header("connection", connection).send().await;
        assert_eq!(response.expect("answer").status(), 200);
    }
    assert_eq!(upstream.requests()[0].header("x-hop"), None);
    assert_eq!(upstream.connections(), 2);
}

/// Guards against a stream that is resumed without the id of its last event, because a header cannot
/// carry it, so that events come twice.
#[rstest]
#[case::control("\u{1}2", None)]
#[case::delete("2\u{7f}", None)]
#[case::no_ascii("deux-é", Some("deux-é"))]
#[tokio::test]
async fn stream_resumes_without_the_id_of_its_last_event(
    #[case] id: &str,
    #[case] resumed_after: Option<&str>,
) {
    let upstreams = [
        FakeUpstream::start(Vec::new()).await,
        FakeUpstream::start(Vec::new()).await,
    ];
    let services = [("engine", &upstreams[0]), ("engine", &upstreams[1])];
    let fixture = Fixture::start(&FixtureOptions::default(), &services).await;
    let send = async |id: &str| {
        let request = fixture.post("/stream/a", id).header("t-tokens", "100,50");
        let request = request.header("t-parts", "a1:40,b2:40,c3:20");
        request.send().await.expect("answer").text().await.ok()
    };
    for upstream in &upstreams {
        upstream.set_replies(vec![Reply::Events(events(1..2))]);
    }
    // The next request with the same prompt parts goes to the engine that has cached them.
    send("r0").await;
    let first = usize::from(upstreams[0].requests().is_empty());
    let mut begun = events(1..2);
    begun.push(format!("id: {id}\ndata: t2\n\n"));
    upstreams[first].set_replies(vec![Reply::Interrupted(begun.clone())]);
    upstreams[1 - first].set_replies(vec![Reply::Events(events(3..4))]);
    let text = send("r1").await;
    let expected = resumed_after.map(|_| begun.concat() + &events(3..4).concat());
    assert_eq!(text, expected);
    let resumed = upstreams[1 - first].requests();
    let last_id = resumed.first().and_then(|r| r.header("last-event-id"));
    assert_eq!(last_id, resumed_after);
}
