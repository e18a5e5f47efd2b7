//! Event streams: event boundaries, resumption, billing and cancellation.

mod common;

use std::time::Duration;

use common::{ENDLESS_MAX, EndlessStage, FakeUpstream, Fixture, FixtureOptions, Reply};
use rstest::rstest;

fn events(range: std::ops::Range<u32>) -> Vec<String> {
    range
        .map(|id| format!("id: {id}\ndata: t{id}\n\n"))
        .collect()
}

/// Guards against a stream that loses, repeats or merges events when its upstream disconnects
/// inside an event.
#[tokio::test]
async fn broken_stream_continues_after_the_last_whole_event() {
    let probe = || vec![Reply::Events(events(1..2))];
    let upstreams = [
        FakeUpstream::start(probe()).await,
        FakeUpstream::start(probe()).await,
    ];
    let services = [("engine", &upstreams[0]), ("engine", &upstreams[1])];
    let fixture = Fixture::start(&FixtureOptions::default(), &services).await;
    let send = async |id: &str| {
        let request = fixture.post("/stream/a", id).header("t-tokens", "100,50");
        let request = request.header("t-parts", "a1:40,b2:40,c3:20");
        request.send().await.expect("answer")
    };
    // The next request with the same prompt parts goes to the engine that has cached them.
    send("r0").await.text().await.expect("answer");
    let first = usize::from(upstreams[0].requests().is_empty());
    let (first, second) = (&upstreams[first], &upstreams[1 - first]);
    let mut torn = events(1..4);
    torn.push("id: 4\nda".to_owned());
    first.set_replies(vec![Reply::Interrupted(torn)]);
    second.set_replies(vec![Reply::Events(events(4..7))]);
    let response = send("r1").await;
    assert_eq!(response.headers()["t-seal"], "seal-r1");
    let text = response.text().await.expect("whole stream");
    assert_eq!(text, events(1..7).concat());
    assert_eq!(first.requests().len(), 2);
    assert_eq!(second.requests().len(), 1);
    assert_eq!(second.requests()[0].header("last-event-id"), Some("3"));
}

/// Guards against a faulty upstream that sends bytes without end and fills the memory of an
/// instance until the request times out.
#[rstest]
#[case::event(Reply::Endless(EndlessStage::LargeChunks), "/stream/a")]
#[case::stream_head(Reply::Endless(EndlessStage::HeaderLines), "/stream/a")]
#[case::body(Reply::Endless(EndlessStage::LargeChunks), "/again/a")]
#[case::head(Reply::Endless(EndlessStage::HeaderLines), "/again/a")]
#[tokio::test]
async fn endless_answer_is_given_up(#[case] reply: Reply, #[case] path: &str) {
    let bad = FakeUpstream::start(vec![reply; 20]).await;
    let good = FakeUpstream::start(vec![]).await;
    let service = if path == "/again/a" {
        "plain"
    } else {
        "engine"
    };
    let fixture = Fixture::start(
        &FixtureOptions::default(),
        &[(service, &bad), (service, &good)],
    )
    .await;
    good.set_replies(vec![Reply::Events(events(1..4)); 20]);
    let started = std::time::Instant::now();
    let send = async |number: usize| {
        let id = format!("r{number}");
        let request = fixture.post(path, &id).header("t-tokens", "100,50");
        let request = request.header("t-parts", format!("a{number}:40"));
        let response = request.send().await.expect("answer");
        assert_eq!(response.status(), 200);
        let text = response.text().await.expect("whole answer");
        assert_eq!(text, events(1..4).concat());
    };
    // Concurrent requests are spread over both upstreams.
    tokio::join!(send(0), send(1), send(2), send(3));
    let tried = bad.requests().len();
    assert!(tried > 0, "the bad upstream is never chosen");
    // Well before the route's timeout of 3 s.
    assert!(started.elapsed() < Duration::from_secs(2));
    assert_eq!(bad.abandoned() as usize, tried);
    let bytes = bad.endless_bytes();
    assert!(bytes <= tried * ENDLESS_MAX, "{bytes}");
}

/// Guards against a stalled stream that an occasional byte keeps open.
#[tokio::test]
async fn trickling_stream_ends_at_the_time_limit() {
    let options = FixtureOptions {
        timeout: Duration::from_secs(1),
        ..FixtureOptions::default()
    };
    let trickle = vec!["x".to_owned(); 100];
    let reply = Reply::Paced(trickle, Duration::from_millis(100));
    let upstream = FakeUpstream::start(vec![reply]).await;
    let fixture = Fixture::start(&options, &[("engine", &upstream)]).await;
    let request = fixture.post("/stream/a", "r1").header("t-tokens", "100,50");
    let started = std::time::Instant::now();
    let text = match request.send().await {
        Ok(response) => response.text().await.ok(),
        Err(_) => None,
    };
    assert_eq!(text, None);
    // Callers tolerate half a second beyond the timeout.
    assert!(started.elapsed() < Duration::from_millis(1_500));
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert_eq!(upstream.abandoned(), 1);
}

/// Guards against cutting off a slow stream that makes progress within its timeout.
#[tokio::test]
async fn slow_stream_is_whole() {
    let pause = Duration::from_millis(700);
    let upstream = FakeUpstream::start(vec![Reply::Paced(events(1..5), pause)]).await;
    let fixture = Fixture::start(&FixtureOptions::default(), &[("engine", &upstream)]).await;
    let request = fixture.post("/stream/a", "r1").header("t-tokens", "100,50");
    let response = request.send().await.expect("answer");
    let text = response.text().await.expect("whole stream");
    assert_eq!(text, events(1..5).concat());
}

/// Guards against an interrupted stream that looks complete when its route does not allow it to be
/// resumed.
#[tokio::test]
async fn broken_stream_does_not_look_complete() {
    let options = FixtureOptions {
        is_resumable: false,
        ..FixtureOptions::default()
    };
    let broken = || vec![Reply::Interrupted(events(1..4))];
    let upstreams = [
        FakeUpstream::start(broken()).await,
        FakeUpstream::start(broken()).await,
    ];
    let services = [("engine", &upstreams[0]), ("engine", &upstreams[1])];
    let fixture = Fixture::start(&options, &services).await;
    let request = fixture.post("/stream/a", "r1").header("t-tokens", "100,50");
    let response = request.send().await.expect("answer");
    assert!(response.text().await.is_err());
    assert_eq!(
        upstreams[0].requests().len() + upstreams[1].requests().len(),
        1
    );
}

/// Guards against an upstream that keeps generating for a caller that has disconnected.
#[tokio::test]
async fn caller_that_leaves_closes_the_stream() {
    let pause = Duration::from_millis(50);
    let upstream = FakeUpstream::start(vec![Reply::Paced(events(1..100), pause)]).await;
    let fixture = Fixture::start(&FixtureOptions::default(), &[("engine", &upstream)]).await;
    let request = fixture.post("/stream/a", "r1").header("t-tokens", "100,50");
    let mut response = request.send().await.expect("answer");
    assert!(response.chunk().await.expect("chunk").is_some());
    drop(response);
    tokio::time::sleep(Duration::from_millis(500)).await;
    assert_eq!(upstream.abandoned(), 1);
}

/// Guards against events that are buffered until later ones arrive.
#[tokio::test]
async fn events_are_passed_on_as_they_arrive() {
    let pause = Duration::from_millis(300);
    let upstream = FakeUpstream::start(vec![Reply::Paced(events(1..4), pause)]).await;
    let fixture = Fixture::start(&FixtureOptions::default(), &[("engine", &upstream)]).await;
    let request = fixture.post("/stream/a", "r1").header("t-tokens", "100,50");
    let started = std::time::Instant::now();
    let mut response = request.send().await.expect("answer");
    let first = response.chunk().await.expect("chunk").expect("event");
    assert_eq!(first, events(1..2)[0]);
    assert!(started.elapsed() < Duration::from_millis(250));
}

/// Guards against serving a customer more than it has paid for, and against charging more than the
/// prompt and the delivered events.
#[tokio::test]
async fn prepaid_amount_is_used_and_not_exceeded() {
    let options = FixtureOptions {
        prepaid: Some(1_000),
        ..FixtureOptions::default()
    };
    // Each run costs 100 + 2 x 5 tokens of at most 200.
    let upstream = FakeUpstream::start(vec![Reply::Events(events(1..3)); 50]).await;
    let fixture = Fixture::start(&options, &[("engine", &upstream)]).await;
    let mut served = 0;
    for attempt in 0..20 {
        let id = format!("r{attempt}");
        let request = fixture.post("/stream/a", &id).header("t-tokens", "100,100");
        let response = request.send().await.expect("answer");
        match response.status().as_u16() {
            200 => served += 1,
            status => assert!([402, 503].contains(&status), "{status}"),
        }
        let _ = response.text().await;
    }
    // After 8 runs, 120 tokens are left, less than the 200 that another run has to reserve.
    assert_eq!(served, 8);
    assert_eq!(upstream.requests().len(), 8);
}

/// Guards against charging a run whose response never reached the caller: the customer would run
/// out of tokens without having received anything.
#[tokio::test]
async fn run_without_an_answer_is_not_billed() {
    let options = FixtureOptions {
        prepaid: Some(1_000),
        is_resumable: false,
        ..FixtureOptions::default()
    };
    let mut replies = vec![Reply::Reset; 10];
    replies.push(Reply::Events(events(1..3)));
    let upstream = FakeUpstream::start(replies).await;
    let fixture = Fixture::start(&options, &[("engine", &upstream)]).await;
    let send = async |id: String| {
        let request = fixture.post("/stream/a", &id).header("t-tokens", "100,100");
        request.send().await.expect("answer").status().as_u16()
    };
    // Ten lost responses with 100 prompt tokens each would use up the whole balance.
    for attempt in 0..10 {
        assert_eq!(send(format!("lost{attempt}")).await, 502);
    }
    assert_eq!(send("whole".to_owned()).await, 200);
}
