//! Tests of the explanation of requests from logs.

use cornelarch::explain::{LogCollection, RequestOutcome, parse_line};
use rstest::rstest;

const FIRST: &str = "\
[2026-03-31T04:30:20Z INFO  cornelarch] E2000 gateway started: instance=a-1 domain=a listen=10.0.0.1:80
[2026-03-31T04:30:27Z WARN  cornelarch] E2101 dependency lost: name=configuration error=platform is unavailable: status 503
[2026-03-31T04:30:28Z INFO  cornelarch] E2202 balance is too small: id=b1 budget=gold needed=9 balance=1 reserved=0 available=None drawing=0
[2026-03-31T04:30:28Z INFO  cornelarch] E2400 request refused: id=b1 reason=budget_unavailable ms=81
[2026-03-31T04:30:29Z INFO  cornelarch] E2406 request placed: id=c1 route=r upstream=i-7 expected_ms=3 uncached=0 version=9 left_ms=799 sent=0
[2026-03-31T04:30:29Z INFO  cornelarch] E2401 attempt failed: id=c1 upstream=i-7 end=Lost reason=connection closed before message completed
[2026-03-31T04:30:29Z INFO  cornelarch] E2402 request failed: id=c1 reason=upstream_lost ms=12
[2026-03-31T04:30:29Z INFO  cornelarch] E2406 request placed: id=d1 route=r upstream=i-8 expected_ms=3 uncached=0 version=9 left_ms=799 sent=0
not a line of the log
[2026-03-31T04:30:29Z INFO  cornelarch] E24";

const SECOND: &str = "\
   1.75 a-2 [2026-03-31T04:30:30Z INFO  cornelarch] E2401 attempt failed: id=x9 upstream=i-7 end=NotReached reason=Connection refused (os error 111)
[2026-03-31T04:30:31Z INFO  cornelarch] E2405 request answered: id=e1 status=200 head_ms=5
[2026-03-31T04:30:59Z INFO  cornelarch] E2401 attempt failed: id=y9 upstream=i-7 end=Lost reason=late";

fn logs() -> LogCollection {
    let mut logs = LogCollection::default();
    logs.add_log("a-1", FIRST);
    logs.add_log("a-2", SECOND);
    logs
}

/// Guards against an outcome that does not follow from the log lines of the request.
#[rstest]
#[case("b1", RequestOutcome::Refused { reason: "budget_unavailable".to_owned() })]
#[case("c1", RequestOutcome::Failed { reason: "upstream_lost".to_owned(), upstream: Some("i-7".to_owned()) })]
#[case("d1", RequestOutcome::Unfinished)]
#[case("e1", RequestOutcome::Answered { status: "200".to_owned() })]
#[case("none", RequestOutcome::NotFound)]
fn outcome_comes_from_the_last_decision(#[case] id: &str, #[case] outcome: RequestOutcome) {
    assert_eq!(logs().explain(id).outcome, outcome);
}

/// Guards against an explanation that omits related events, or that includes events of other
/// upstreams or outside the time window.
#[test]
fn related_events_are_those_of_the_upstream_and_of_dependencies() {
    let logs = logs();
    let lost = logs.explain("c1");
    let related: Vec<&str> = lost.related.iter().filter_map(|l| l.field("id")).collect();
    assert_eq!(related, ["x9"]);
    let short = logs.explain("b1");
    let events: Vec<u16> = short.related.iter().map(|line| line.event).collect();
    assert_eq!(events, [2101]);
    assert!(short.render().contains("refused and not run"));
}

/// Guards against a refusal for blocked content that does not tell since when and by which crashes it
/// is blocked, however long ago that was.
#[test]
fn blocked_content_is_explained_without_its_crashes() {
    let mut logs = logs();
    logs.add_log(
        "a-3",
        "\
[2026-03-31T04:20:00Z WARN  cornelarch] E2303 content blocked: content=abc rank=3 crashes=3
[2026-03-31T04:20:00Z WARN  cornelarch] E2303 content blocked: content=def rank=1 crashes=3
[2026-03-31T04:30:28Z WARN  cornelarch] E2302 upstream crashed: upstream=i-7 content=4
[2026-03-31T04:31:00Z INFO  cornelarch] E2409 request has blocked content: id=f1 content=abc part=1f crashes=3 sent=0
[2026-03-31T04:31:00Z INFO  cornelarch] E2400 request refused: id=f1 reason=request_blocked ms=0",
    );
    let refused = logs.explain("f1");
    let related: Vec<u16> = refused.related.iter().map(|line| line.event).collect();
    assert_eq!(related, [2303]);
    let lost = logs.explain("c1");
    let related: Vec<u16> = lost.related.iter().map(|line| line.event).collect();
    assert_eq!(related, [2101, 2302, 2401]);
}

/// Guards against truncated or unrelated lines that abort the parsing or are not counted as skipped.
#[test]
fn lines_that_are_no_events_are_counted() {
    assert_eq!(logs().skipped, 2);
}

/// Guards against values with spaces that are truncated or that include the next field.
#[test]
fn values_reach_to_the_next_field() {
    let line = SECOND.lines().next().expect("line");
    let line = parse_line(&"a-2".into(), line).expect("event");
    assert_eq!(line.event, 2401);
    let reason = line.field("reason");
    assert_eq!(reason, Some("Connection refused (os error 111)"));
    assert_eq!(line.field("end"), Some("NotReached"));
}
