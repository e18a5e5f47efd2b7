//! Responses without a length or chunks, which end with their connection.

mod common;

use common::{FakeUpstream, Fixture, FixtureOptions, Reply, UnframedEnd, service_of};
use rstest::rstest;

const LEAVING: &str = "t-leaving: 1\r\n";

fn events(range: std::ops::Range<u32>) -> Vec<String> {
    range
        .map(|id| format!("id: {id}\ndata: t{id}\n\n"))
        .collect()
}

/// Sends a request to a gateway with one attempt and returns the body if it is complete.
async fn fetch(path: &str, reply: Reply) -> Option<String> {
    let upstream = FakeUpstream::start(vec![reply]).await;
    let options = FixtureOptions {
        attempts: 1,
        ..FixtureOptions::default()
    };
    let fixture = Fixture::start(&options, &[(service_of(path), &upstream)]).await;
    let request = fixture.post(path, "r1").header("t-tokens", "100,50");
    let response = request.send().await.ok()?;
    match response.status().is_success() {
        true => response.text().await.ok(),
        false => None,
    }
}

/// Guards against refusing or shortening a complete response because it has no length.
#[rstest]
#[tokio::test]
async fn complete_response_without_a_length_is_lost(
    #[values("/stream/a", "/again/a", "/once/a")] path: &str,
) {
    let reply = Reply::Unframed("", events(1..4), UnframedEnd::Closed);
    assert_eq!(fetch(path, reply).await, Some(events(1..4).concat()));
}

/// Guards against a response that broke off and reaches the caller as a complete one.
#[rstest]
#[tokio::test]
async fn broken_response_without_a_length_looks_complete(
    #[values("/stream/a", "/again/a", "/once/a")] path: &str,
    #[values(UnframedEnd::Reset, UnframedEnd::Crashed)] end: UnframedEnd,
) {
    assert_eq!(
        fetch(path, Reply::Unframed("", events(1..4), end)).await,
        None
    );
}

/// Guards against a part of a response that reaches the caller as the whole one when the process of
/// an upstream ends that has announced its shutdown.
#[rstest]
#[tokio::test]
async fn response_of_a_leaving_upstream_breaks_off_and_looks_complete(
    #[values("/stream/a", "/again/a", "/once/a")] path: &str,
    #[values(UnframedEnd::Reset, UnframedEnd::Crashed)] end: UnframedEnd,
) {
    let reply = Reply::Unframed(LEAVING, events(1..4), end);
    assert_eq!(fetch(path, reply).await, None);
}

/// Guards against breaking off a complete response of an upstream that has announced its shutdown,
/// also if it accepts no more connections.
#[rstest]
#[tokio::test]
async fn complete_response_of_a_leaving_upstream_is_lost(
    #[values("/stream/a", "/again/a", "/once/a")] path: &str,
    #[values(UnframedEnd::Closed, UnframedEnd::Refusing)] end: UnframedEnd,
) {
    let reply = Reply::Unframed(LEAVING, events(1..4), end);
    assert_eq!(fetch(path, reply).await, Some(events(1..4).concat()));
}

/// Guards against a part of a response that looks complete because the upstream has been restarted
/// at the same address before the gateway checks it, such as after a suspension of the gateway.
#[rstest]
#[case::listed("")]
#[case::leaving(LEAVING)]
#[tokio::test]
async fn response_of_a_restarted_upstream_breaks_off_and_looks_complete(
    #[values("/stream/a", "/again/a", "/once/a")] path: &str,
    #[case] headers: &'static str,
) {
    let reply = Reply::Unframed(headers, events(1..4), UnframedEnd::Restarted);
    assert_eq!(fetch(path, reply).await, None);
}

/// Guards against a stream that ends inside an event, or before the first one, and looks complete.
#[rstest]
#[case::inside_an_event(vec!["id: 1\ndata: t1\n\nid: 2\nda".to_owned()])]
#[case::before_the_first(Vec::new())]
#[tokio::test]
async fn cut_stream_without_a_length_looks_complete(#[case] texts: Vec<String>) {
    let reply = Reply::Unframed("", texts, UnframedEnd::Closed);
    assert_eq!(fetch("/stream/a", reply).await, None);
}

/// Guards against a stream without a length that is not continued when its upstream crashes.
#[tokio::test]
async fn crashed_stream_without_a_length_ends_early() {
    let upstreams = [
        FakeUpstream::start(Vec::new()).await,
        FakeUpstream::start(Vec::new()).await,
    ];
    let services = [("engine", &upstreams[0]), ("engine", &upstreams[1])];
    let fixture = Fixture::start(&FixtureOptions::default(), &services).await;
    let send = async |id: &str| {
        let request = fixture.post("/stream/a", id).header("t-tokens", "100,50");
        let request = request.header("t-parts", "a1:40,b2:40,c3:20");
        let response = request.send().await.expect("answer");
        response.text().await.expect("whole stream")
    };
    for upstream in &upstreams {
        upstream.set_replies(vec![Reply::Events(events(1..2))]);
    }
    // The next request with the same prompt parts goes to the engine that has cached them.
    send("r0").await;
    let first = usize::from(upstreams[0].requests().is_empty());
    let reply = Reply::Unframed("", events(1..4), UnframedEnd::Crashed);
    upstreams[first].set_replies(vec![reply]);
    upstreams[1 - first].set_replies(vec![Reply::Events(events(4..7))]);
    assert_eq!(send("r1").await, events(1..7).concat());
}
