//! Upstreams that send bytes without end, in each stage of a response.

mod common;

use std::time::Duration;

use common::{ENDLESS_MAX, EndlessStage, FakeUpstream, Fixture, FixtureOptions, Reply, service_of};
use futures_util::future::join_all;
use rstest::rstest;
use tokio::time::{Instant, sleep};

/// Maximum processor time of an endless response: a tenth of the time limit of the route, so that
/// other requests get the rest of it.
const PROCESSOR_TIME_MAX: Duration = Duration::from_millis(300);

/// Returns the time for which a thread has run.
fn processor_time(thread: &str) -> Duration {
    let path = format!("/proc/self/task/{thread}/schedstat");
    let text = std::fs::read_to_string(path).expect("statistics of the thread");
    let nanos = text.split(' ').next().and_then(|text| text.parse().ok());
    Duration::from_nanos(nanos.expect("number"))
}

/// Guards against a faulty upstream that sends bytes without end and takes the memory and the
/// processor time of an instance until the request times out.
#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn endless_response_takes_the_resources_of_an_instance(
    #[values("/stream/a", "/again/a", "/once/a")] path: &str,
    #[values(
        EndlessStage::StatusLine,
        EndlessStage::Informational,
        EndlessStage::HeaderLines,
        EndlessStage::HeaderValue,
        EndlessStage::ChunkSize,
        EndlessStage::ChunkBlanks,
        EndlessStage::ChunkExtension,
        EndlessStage::LargeChunks,
        EndlessStage::TinyChunks,
        EndlessStage::Length,
        EndlessStage::Unframed,
        EndlessStage::EmptyEvents,
        EndlessStage::ErrorBody,
        EndlessStage::Trailers
    )]
    stage: EndlessStage,
) {
    let upstream = FakeUpstream::start(vec![Reply::Endless(stage)]).await;
    let options = FixtureOptions {
        attempts: 1,
        ..FixtureOptions::default()
    };
    let (fixture, thread) =
        Fixture::start_on_thread(options, &[(service_of(path), &upstream)]).await;
    let before = processor_time(&thread);
    let started = Instant::now();
    let request = fixture.post(path, "r1").header("t-tokens", "100,50");
    let response = request.send().await;
    let is_whole = match response {
        Ok(response) => response.status().is_success() && response.bytes().await.is_ok(),
        Err(_) => false,
    };
    let elapsed = started.elapsed();
    // The connection of the upstream is closed by then.
    sleep(Duration::from_millis(50)).await;
    let used = processor_time(&thread) - before;
    let bytes = upstream.endless_bytes();
    println!("{stage:?} {path}: {elapsed:?}, {used:?} of processor time, {bytes} bytes");
    assert!(!is_whole);
    // Well before the time limit of the route, 3 s.
    assert!(elapsed < Duration::from_secs(2), "{elapsed:?}");
    assert_eq!(upstream.abandoned(), 1);
    assert!(bytes <= ENDLESS_MAX, "{bytes}");
    assert!(used <= PROCESSOR_TIME_MAX, "{used:?}");
}

/// Guards against breaking off a sound response because its upstream sends it in small chunks.
#[rstest]
#[tokio::test]
async fn response_in_small_chunks_is_broken_off(#[values("/stream/a", "/again/a")] path: &str) {
    // Each event comes in three chunks, as a server sends them that flushes each field.
    let pieces = (1..5_000).flat_map(|id| [format!("id: {id}\n"), "data: ".into(), "t\n\n".into()]);
    let pieces: Vec<String> = pieces.collect();
    let upstream = FakeUpstream::start(vec![Reply::Events(pieces.clone())]).await;
    let options = FixtureOptions::default();
    let fixture = Fixture::start(&options, &[(service_of(path), &upstream)]).await;
    let request = fixture.post(path, "r1").header("t-tokens", "100,5000");
    let response = request.send().await.expect("answer");
    let text = response.text().await.expect("whole answer");
    assert_eq!(text, pieces.concat());
}

/// Guards against breaking off a sound stream because it is large: one of a plain service without a
/// stated size, and one with large events.
#[rstest]
#[case::without_size(None, 20_000, 50)]
#[case::large_events(Some("100,2000"), 1_000, 8_000)]
#[tokio::test]
async fn large_stream_is_broken_off(
    #[case] tokens: Option<&str>,
    #[case] events: usize,
    #[case] bytes: usize,
) {
    let event = format!("data: {}\n\n", "x".repeat(bytes));
    let upstream = FakeUpstream::start(vec![Reply::Events(vec![event.clone(); events])]).await;
    let options = FixtureOptions::default();
    let fixture = Fixture::start(&options, &[("engine", &upstream)]).await;
    let mut request = fixture.post("/stream/a", "r1");
    if let Some(tokens) = tokens {
        request = request.header("t-tokens", tokens);
    }
    let response = request.send().await.expect("answer");
    let body = response.bytes().await.expect("whole stream");
    assert_eq!(body.len(), event.len() * events);
}

/// Guards against the loss of sound responses of a usual size while upstreams send bytes without end,
/// and afterwards.
#[tokio::test]
async fn sound_responses_are_lost_beside_endless_ones() {
    const BODY: &str = "sound";
    const REQUESTS: usize = 100;
    let reply = Reply::Endless(EndlessStage::LargeChunks);
    let bad = FakeUpstream::start(vec![reply; REQUESTS]).await;
    let good = FakeUpstream::start(vec![]).await;
    good.set_last_reply(Reply::Answer(200, BODY));
    let options = FixtureOptions {
        attempts: 1,
        ..FixtureOptions::default()
    };
    let services = [("engine", &bad), ("plain", &good)];
    let (fixture, _) = Fixture::start_on_thread(options, &services).await;
    let send = async |path: &str, id: String| {
        let request = fixture.post(path, &id).header("t-tokens", "1,1");
        request.send().await?.error_for_status()?.text().await
    };
    let endless = (0..REQUESTS).map(|number| send("/stream/a", format!("e{number}")));
    let sound = async {
        let mut bodies = Vec::new();
        for number in 0..REQUESTS {
            bodies.push(send("/once/a", format!("s{number}")).await.ok());
        }
        bodies
    };
    let (endless, sound) = tokio::join!(join_all(endless), sound);
    assert!(endless.iter().all(Result::is_err));
    assert_eq!(sound, vec![Some(BODY.to_owned()); REQUESTS]);
}
