//! One fault at a time: the log lines with the id of a request suffice to tell why it ended.

mod common;

use std::{
    sync::{Mutex, Once},
    time::Duration,
};

use common::{FakeUpstream, Fixture, FixtureOptions, Reply, document};
use log::{Log, Metadata, Record};

static LINES: Mutex<Vec<String>> = Mutex::new(Vec::new());
static INSTALLED: Once = Once::new();

/// Collects the log lines of all gateways in this process.
struct LineCollector;

impl Log for LineCollector {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        metadata.target() == "cornelarch"
    }

    fn log(&self, record: &Record<'_>) {
        if self.enabled(record.metadata()) {
            let mut lines = LINES.lock().expect("lock");
            lines.push(record.args().to_string());
        }
    }

    fn flush(&self) {}
}

fn collect_lines() {
    INSTALLED.call_once(|| {
        log::set_logger(&LineCollector).expect("only logger");
        log::set_max_level(log::LevelFilter::Info);
    });
}

/// Returns the log lines that carry the id of a request.
fn lines_of(id: &str) -> Vec<String> {
    let lines = LINES.lock().expect("lock");
    let name = format!("id={id} ");
    lines
        .iter()
        .filter(|line| line.contains(&name))
        .cloned()
        .collect()
}

/// Asserts that a log line of the request has the event and the text.
fn assert_line(id: &str, event: &str, text: &str) {
    let lines = lines_of(id);
    let has_line = lines
        .iter()
        .any(|line| line.starts_with(event) && line.contains(text));
    assert!(has_line, "{event} with {text:?} is missing in {lines:#?}");
}

async fn send(fixture: &Fixture, path: &str, id: &str) -> u16 {
    let request = fixture.post(path, id).header("t-tokens", "100,50");
    request.send().await.expect("answer").status().as_u16()
}

/// Guards against a log that does not tell that the connection to the upstream was lost.
#[tokio::test]
async fn dead_upstream_is_named() {
    collect_lines();
    let upstream = FakeUpstream::start(vec![Reply::Reset]).await;
    let fixture = Fixture::start(&FixtureOptions::default(), &[("plain", &upstream)]).await;
    assert_eq!(send(&fixture, "/once/a", "cause-lost").await, 502);
    assert_line("cause-lost", "E2401", "end=Lost");
    assert_line("cause-lost", "E2402", "reason=upstream_lost");
}

/// Guards against a timeout that is logged as a lost connection.
#[tokio::test]
async fn silent_upstream_is_a_timeout() {
    collect_lines();
    let options = FixtureOptions {
        timeout: Duration::from_millis(300),
        ..FixtureOptions::default()
    };
    let upstream = FakeUpstream::start(vec![Reply::Silent]).await;
    let fixture = Fixture::start(&options, &[("plain", &upstream)]).await;
    assert_eq!(send(&fixture, "/once/a", "cause-silent").await, 504);
    assert_line("cause-silent", "E2401", "end=TimedOut");
    assert_line("cause-silent", "E2402", "reason=upstream_timeout");
}

/// Guards against a budget refusal that is logged without the amounts behind it.
#[tokio::test]
async fn short_budget_is_named_with_its_amounts() {
    collect_lines();
    let options = FixtureOptions {
        prepaid: Some(120),
        ..FixtureOptions::default()
    };
    let upstream = FakeUpstream::start(Vec::new()).await;
    let fixture = Fixture::start(&options, &[("engine", &upstream)]).await;
    assert!([402, 503].contains(&send(&fixture, "/stream/a", "cause-budget").await));
    assert_line("cause-budget", "E2202", "needed=150");
    assert_line("cause-budget", "E2400", "reason=budget_");
}

/// Guards against log lines that do not distinguish an unknown API key from an unknown path.
#[tokio::test]
async fn unknown_key_is_named() {
    collect_lines();
    let upstream = FakeUpstream::start(Vec::new()).await;
    let fixture = Fixture::start(&FixtureOptions::default(), &[("plain", &upstream)]).await;
    let url = format!("http://{}/once/a", fixture.listen);
    let request = fixture.client.post(url).header("host", "shop.example");
    let request = request
        .header("t-attempt", "cause-key")
        .header("t-key", "gone");
    assert_eq!(request.send().await.expect("answer").status().as_u16(), 401);
    assert_line("cause-key", "E2400", "reason=unknown_key");
    assert_eq!(send(&fixture, "/nowhere/a", "cause-path").await, 404);
    assert_line("cause-path", "E2400", "reason=unknown_path");
}

/// Guards against a refusal during a platform outage that is logged as an exhausted budget.
#[tokio::test]
async fn outage_of_the_platform_is_named() {
    collect_lines();
    let options = FixtureOptions {
        prepaid: Some(1_000_000),
        ..FixtureOptions::default()
    };
    let upstream = FakeUpstream::start(Vec::new()).await;
    let fixture = Fixture::start(&options, &[("engine", &upstream)]).await;
    fixture.platform.set_down(true);
    assert_eq!(send(&fixture, "/stream/a", "cause-outage").await, 503);
    assert_line("cause-outage", "E2202", "available=None");
    assert_line("cause-outage", "E2400", "reason=budget_unavailable");
}

/// Guards against a missing upstream that is logged as overload.
#[tokio::test]
async fn missing_upstream_is_named() {
    collect_lines();
    let upstream = FakeUpstream::start(Vec::new()).await;
    let fixture = Fixture::start(&FixtureOptions::default(), &[("engine", &upstream)]).await;
    fixture
        .platform
        .publish(document(2, &FixtureOptions::default()));
    assert_eq!(send(&fixture, "/once/a", "cause-none").await, 503);
    assert_line("cause-none", "E2400", "reason=no_upstream");
}

/// Guards against a flood of log lines in a large fleet, where each starting instance would write
/// one line per upstream.
#[tokio::test]
async fn first_list_is_one_line() {
    collect_lines();
    let options = FixtureOptions::default();
    let platform = std::sync::Arc::new(common::FakePlatform::default());
    platform.publish(document(1, &options));
    let upstream = FakeUpstream::start(vec![]).await;
    for number in 0..17 {
        let name = format!("first-list-{number}");
        platform.list(common::record(&name, "plain", upstream.address));
    }
    let fixture = Fixture::start_with(&options, platform).await;
    let lines = |event: &str, text: &str| {
        let lines = LINES.lock().expect("lock");
        let found = lines.iter().filter(|line| line.starts_with(event));
        found.filter(|line| line.contains(text)).count()
    };
    assert_eq!(lines("E2301", "upstreams=17"), 1);
    assert_eq!(lines("E2300", "first-list-"), 0);
    let mut leaving = common::record("first-list-3", "plain", upstream.address);
    leaving.is_leaving = true;
    fixture.platform.list(leaving.clone());
    tokio::time::sleep(Duration::from_millis(1_000)).await;
    fixture.platform.list(leaving);
    tokio::time::sleep(Duration::from_millis(1_000)).await;
    assert_eq!(lines("E2300", "first-list-3 "), 1);
}
