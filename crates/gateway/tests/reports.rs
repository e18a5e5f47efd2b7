//! Faults of upstreams that operators of similar systems have reported.

mod common;

use std::time::Duration;

use common::{FakeUpstream, Fixture, FixtureOptions, Reply};
use rstest::rstest;

/// Bytes after which a head is cut off: in the status line, in a header, and behind the last one.
const HEAD_CUTS: [usize; 4] = [12, 40, 60, usize::MAX];

/// Time after which a stream breaks off.
const STREAM_TIME: Duration = Duration::from_millis(500);

/// Guards against an order that is called not run, or runs at a second upstream, because its
/// upstream sends an earlier refusal again on a kept connection.
#[rstest]
#[case::with_its_id(Reply::RefuseAgain)]
#[case::without_an_id(Reply::RefuseAgainWithoutId)]
#[tokio::test]
async fn repeated_refusal_counts_for_the_next_request(#[case] refusal: Reply) {
    let replies = || vec![Reply::Answer(200, "ok"), refusal.clone()];
    let upstreams = [
        FakeUpstream::start(replies()).await,
        FakeUpstream::start(replies()).await,
    ];
    let services = [("plain", &upstreams[0]), ("plain", &upstreams[1])];
    let fixture = Fixture::start(&FixtureOptions::default(), &services).await;
    let received = || upstreams[0].requests().len() + upstreams[1].requests().len();
    for attempt in 1..10 {
        let request = fixture.post("/once/a", &format!("r{attempt}"));
        let response = request.send().await.expect("answer");
        assert_eq!(received(), attempt, "the order reached another upstream");
        if response.status() != 200 {
            assert_eq!(response.status(), 502, "the order ran");
            return;
        }
    }
    panic!("no kept connection was used");
}

/// Guards against the error of an upstream that is passed on inside a stream which has begun at
/// another one, and against such a stream that looks complete.
#[rstest]
#[case::error(Reply::Answer(500, "error text"))]
#[case::refusal(Reply::Refuse)]
#[case::no_stream(Reply::Answer(200, "error text"))]
#[case::partial_head(Reply::PartialHead(60))]
#[case::unsolicited(Reply::Unsolicited("error text"))]
#[tokio::test]
async fn error_ends_up_inside_a_stream(#[case] reply: Reply) {
    let event = || "id: 1\ndata: t1\n\n".to_owned();
    let begun = || vec![Reply::PacedReset(vec![event()], STREAM_TIME)];
    let upstreams = [
        FakeUpstream::start(begun()).await,
        FakeUpstream::start(begun()).await,
    ];
    let services = [("engine", &upstreams[0]), ("engine", &upstreams[1])];
    let fixture = Fixture::start(&FixtureOptions::default(), &services).await;
    let request = fixture.post("/stream/a", "r1").header("t-tokens", "100,50");
    let mut response = request.send().await.expect("answer");
    // The stream has begun at one upstream; the other one continues it.
    for upstream in &upstreams {
        upstream.set_replies(vec![reply.clone(); 4]);
    }
    let mut text = Vec::new();
    let end = loop {
        match response.chunk().await {
            Ok(Some(part)) => text.extend_from_slice(&part),
            Ok(None) => break "complete",
            Err(_) => break "broken off",
        }
    };
    for upstream in &upstreams {
        assert_eq!(upstream.requests().len(), 1, "the stream was not continued");
    }
    assert_eq!(String::from_utf8(text).expect("text"), event());
    assert_eq!(end, "broken off");
}

/// Guards against an empty or short success when an upstream stops in the middle of the head of its
/// answer.
#[tokio::test]
async fn half_a_head_is_passed_on_as_a_success() {
    for path in ["/once/a", "/again/a", "/stream/a"] {
        for bytes in HEAD_CUTS {
            let upstream = FakeUpstream::start(vec![Reply::PartialHead(bytes); 8]).await;
            let services = [("plain", &upstream), ("engine", &upstream)];
            let fixture = Fixture::start(&FixtureOptions::default(), &services).await;
            let request = fixture.post(path, "r1").header("t-tokens", "100,50");
            let response = request.send().await.expect("answer");
            assert_eq!(response.status(), 502, "{path} after {bytes} bytes");
        }
    }
}
