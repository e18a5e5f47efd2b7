//! Responses without a length or chunks, which end with their connection.

mod common;

use std::time::Duration;

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

/// Response of the upstream to another request at the same time.
#[derive(Clone, Copy, Debug)]
enum OtherResponse {
    /// Ends soon after the response without a length.
    Soon,
    /// Is still being sent long after it.
    Later,
    /// Is not read by its caller, so that nothing shows whether it goes on.
    Unread,
}

/// Sends two requests to an upstream that is shut down while it sends both responses, and returns the
/// body of the second one, which has no length, if it is complete.
async fn fetch_beside(path: &str, other: OtherResponse, end: UnframedEnd) -> Option<String> {
    let paced = match other {
        OtherResponse::Soon => Reply::Paced(events(1..5), Duration::from_millis(95)),
        OtherResponse::Later => Reply::Paced(events(1..16), Duration::from_millis(100)),
        OtherResponse::Unread => {
            let event = format!("data: {}\n\n", "x".repeat(60_000));
            Reply::Paced(vec![event; 1_000], Duration::ZERO)
        }
    };
    let upstream = FakeUpstream::start(vec![paced, Reply::Unframed("", events(1..4), end)]).await;
    let options = FixtureOptions {
        attempts: 1,
        ..FixtureOptions::default()
    };
    let services = [("plain", &upstream), ("engine", &upstream)];
    let fixture = Fixture::start(&options, &services).await;
    let first = fixture.post("/stream/other", "r0").send().await;
    let first = first.expect("head");
    let read = async {
        if !matches!(other, OtherResponse::Unread) {
            // A crash breaks it off.
            drop(first.text().await);
        }
        // The response stays open until the end of the test.
        std::future::pending::<()>().await;
    };
    let second = async {
        if matches!(other, OtherResponse::Unread) {
            // The buffers between the upstream and the caller fill.
            tokio::time::sleep(Duration::from_millis(500)).await;
        }
        let request = fixture.post(path, "r1").header("t-tokens", "100,50");
        let response = request.send().await.ok()?;
        match response.status().is_success() {
            true => response.text().await.ok(),
            false => None,
        }
    };
    tokio::select! {
        body = second => body,
        () = read => None,
    }
}

/// Guards against breaking off a complete response of an upstream that is shut down: it closes idle
/// connections and refuses new ones, and sends its responses to their end.
#[rstest]
#[tokio::test]
async fn complete_response_of_an_upstream_that_is_shut_down_is_lost(
    #[values("/stream/a", "/again/a", "/once/a")] path: &str,
    #[values(OtherResponse::Soon, OtherResponse::Later)] other: OtherResponse,
    #[values(UnframedEnd::ShutDown, UnframedEnd::ShutDownLater)] end: UnframedEnd,
) {
    let body = fetch_beside(path, other, end).await;
    assert_eq!(body, Some(events(1..4).concat()));
}

/// Guards against a part of a response that looks complete because the upstream was being shut down
/// when its process ended, and responses to others seem to go on.
#[rstest]
#[tokio::test]
async fn response_broken_off_in_a_shutdown_looks_complete(
    #[values("/stream/a", "/again/a", "/once/a")] path: &str,
    #[values(OtherResponse::Later, OtherResponse::Unread)] other: OtherResponse,
) {
    let body = fetch_beside(path, other, UnframedEnd::ShutDownCrashed).await;
    assert_eq!(body, None);
}

/// Guards against a part of a response that looks complete although nothing else shows whether its
/// upstream, which was being shut down, has ended.
#[rstest]
#[tokio::test]
async fn last_response_broken_off_in_a_shutdown_looks_complete(
    #[values("/stream/a", "/again/a", "/once/a")] path: &str,
) {
    let reply = Reply::Unframed("", events(1..4), UnframedEnd::ShutDownCrashed);
    assert_eq!(fetch(path, reply).await, None);
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
