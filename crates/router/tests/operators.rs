//! HTTP interface for operators, metrics, and the documentation of events and metrics.

mod common;

use std::collections::BTreeSet;

use common::{FleetOptions, OPERATOR_KEY, TestFleet};
use cornelarch_router::{LogEvent, MetricName};
use rstest::rstest;

/// Guards against access to the operator interface without the operator key.
#[rstest]
#[case::none(None)]
#[case::wrong(Some("Bearer operator-keY"))]
#[case::prefix(Some("Bearer operator"))]
#[case::longer(Some("Bearer operator-key2"))]
#[case::customer(Some("Bearer acme-key"))]
#[case::scheme(Some("operator-key"))]
#[case::empty(Some("Bearer "))]
#[tokio::test(flavor = "multi_thread")]
async fn operator_key_is_required(#[case] header: Option<&str>) {
    let fleet = TestFleet::start(FleetOptions::default()).await;
    let operator = fleet.routers[0].addresses().operator;
    for path in ["/dump", "/status", "/metrics-names", "/nothing"] {
        let mut request = fleet.client.get(format!("http://{operator}{path}"));
        if let Some(header) = header {
            request = request.header("authorization", header);
        }
        assert_eq!(request.send().await.unwrap().status(), 401, "{path}");
    }
}

/// Guards against a dump that lacks a section or contains secrets.
#[tokio::test(flavor = "multi_thread")]
async fn dump_is_complete_and_tells_no_secret() {
    let fleet = TestFleet::start(FleetOptions {
        routers: vec!["a", "a"],
        ..FleetOptions::default()
    })
    .await;
    fleet.chat(0, "x", false).send().await.unwrap();
    let dump = fleet.operator(0, "/dump").await;
    for key in [
        "status",
        "ledger",
        "upstreams",
        "queues",
        "members",
        "links",
        "crash_table",
        "metrics",
    ] {
        assert!(dump.get(key).is_some(), "{key} is missing in {dump}");
    }
    assert_eq!(dump["ledger"]["accounts"][0]["budget"], "acme");
    let state = &dump["upstreams"]["upstreams"][0]["use_state"]["state"];
    assert_eq!(state, "used");
    let text = dump.to_string();
    for secret in [OPERATOR_KEY, common::KEY, "key_sha256"] {
        assert!(!text.contains(secret), "{secret}");
    }
}

/// Guards against a status that counts answers under an earlier version for the active one.
#[tokio::test(flavor = "multi_thread")]
async fn status_counts_answers_under_the_version_in_force() {
    let mut fleet = TestFleet::start(FleetOptions::default()).await;
    fleet.chat(0, "x", false).send().await.unwrap();
    let status = fleet.operator(0, "/status").await;
    assert_eq!(status["version"], 1);
    assert_eq!(status["answers_under_version"], 1);
    let version = fleet.change_document(|options| options.limits = "body_bytes = 500");
    assert!(
        fleet.routers[0]
            .wait_version(version, common::WAIT_TIMEOUT)
            .await
    );
    let status = fleet.operator(0, "/status").await;
    assert_eq!(status["version"], version);
    assert_eq!(status["answers_under_version"], 0);
    assert_eq!(status["broken_promises"], 0);
    assert!(status["apply_ms"].as_u64().is_some());
}

/// Guards against an invalid fingerprint that is silently ignored.
#[tokio::test(flavor = "multi_thread")]
async fn bad_fingerprint_is_refused() {
    let fleet = TestFleet::start(FleetOptions::default()).await;
    let operator = fleet.routers[0].addresses().operator;
    let request = fleet.client.post(format!("http://{operator}/unblock/xyz"));
    let response = request.bearer_auth(OPERATOR_KEY).send().await.unwrap();
    assert_eq!(response.status(), 400);
}

/// Guards against metrics that are not sent, or are sent under other names than documented.
#[tokio::test(flavor = "multi_thread")]
async fn metrics_are_sent_to_the_sink() {
    let sink = tokio::net::UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let mut fleet = TestFleet::start_without_routers(FleetOptions::default()).await;
    let settings = cornelarch_router::RouterSettings {
        metrics: Some(sink.local_addr().unwrap()),
        ..fleet.settings("router-0", "a")
    };
    let router = cornelarch_router::Router::bind(settings).await.unwrap();
    assert!(router.wait_version(1, common::WAIT_TIMEOUT).await);
    fleet.routers.push(router);
    fleet.chat(0, "x", false).send().await.unwrap();
    let counted = async {
        let mut buffer = [0; 2_048];
        loop {
            let length = sink.recv(&mut buffer).await.unwrap();
            let text = String::from_utf8_lossy(&buffer[..length]).into_owned();
            if text.lines().any(|line| line == "cornelarch.answers:1|c") {
                return;
            }
        }
    };
    tokio::time::timeout(common::WAIT_TIMEOUT, counted)
        .await
        .unwrap();
}

fn read_events_page() -> String {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/events.md");
    std::fs::read_to_string(path).unwrap()
}

/// Guards against log events missing in the documentation, and documented events that do not exist.
#[test]
fn page_lists_every_event() {
    let page = read_events_page();
    let rows: Vec<&str> = page
        .lines()
        .filter(|line| line.starts_with("| E1"))
        .collect();
    let expected: Vec<String> = LogEvent::ALL
        .iter()
        .map(|event| {
            format!(
                "| E{} | {} | {} |",
                event.number(),
                event.level(),
                event.text()
            )
        })
        .collect();
    let starts: Vec<String> = rows
        .iter()
        .map(|row| {
            let cells: Vec<&str> = row.split('|').take(4).collect();
            format!("{}|", cells.join("|"))
        })
        .collect();
    assert_eq!(starts, expected);
    let numbers: BTreeSet<u16> = LogEvent::ALL.iter().map(|event| event.number()).collect();
    assert_eq!(numbers.len(), LogEvent::ALL.len(), "a number is used twice");
}

/// Guards against metrics missing in the documentation, and documented metrics that do not exist.
#[test]
fn page_lists_every_metric() {
    let page = read_events_page();
    let rows: Vec<&str> = page
        .lines()
        .filter(|line| line.starts_with("| `"))
        .collect();
    let expected: Vec<String> = MetricName::ALL
        .iter()
        .map(|name| format!("| `{}` | {} |", name.text(), name.kind().as_str()))
        .collect();
    assert_eq!(rows.len(), expected.len());
    for (row, start) in rows.iter().zip(expected) {
        assert!(row.starts_with(&start), "{row} instead of {start}");
    }
}
