//! Memory of a gateway while several upstreams send bytes without end. In a test program of its own,
//! because it measures the memory of the process.

mod common;

use std::time::Duration;

use common::{EndlessStage, FakeUpstream, Fixture, FixtureOptions, Reply, service_of};
use futures_util::future::join_all;

/// Requests at the same time to faulty upstreams.
const REQUESTS: usize = 100;
/// Memory that a gateway may take for responses, in kB: half of that of the smallest nodes.
const MEMORY_MAX: u64 = 60 * 1024;

/// Returns a value in kB of the memory statistics of this process.
fn memory(name: &str) -> u64 {
    let text = std::fs::read_to_string("/proc/self/status").expect("statistics");
    let line = text.lines().find(|line| line.starts_with(name));
    let value = line.and_then(|line| line.split_whitespace().nth(1));
    value.expect("value").parse().expect("number")
}

/// Guards against a process that ends because upstreams send bytes without end at the same time: each
/// response is limited, but not all of them together.
#[tokio::test]
async fn endless_responses_together_take_the_memory_of_an_instance() {
    // One after the other, since they share the process.
    for path in ["/stream/a", "/again/a", "/once/a"] {
        let used = measure(path).await;
        assert!(used < MEMORY_MAX, "{path}: {used} kB");
    }
}

/// Sends requests that all get an endless response, and returns the memory that they take, in kB.
async fn measure(path: &str) -> u64 {
    let reply = Reply::Endless(EndlessStage::LargeChunks);
    let bad = FakeUpstream::start(vec![reply; REQUESTS]).await;
    let options = FixtureOptions {
        attempts: 1,
        timeout: Duration::from_secs(20),
        ..FixtureOptions::default()
    };
    let (fixture, _) = Fixture::start_on_thread(options, &[(service_of(path), &bad)]).await;
    std::fs::write("/proc/self/clear_refs", "5").expect("resets the peak");
    let before = memory("VmRSS");
    let requests = (0..REQUESTS).map(|number| {
        let id = format!("r{number}");
        let request = fixture.post(path, &id).header("t-tokens", "1,1");
        let request = request.header("t-deadline-ms", "20000");
        async { request.send().await?.error_for_status()?.bytes().await }
    });
    let bodies = join_all(requests).await;
    let used = memory("VmHWM").saturating_sub(before);
    println!("{path}: {used} kB");
    assert!(bodies.iter().all(Result::is_err));
    assert!(bad.requests().len() > REQUESTS / 2);
    used
}
