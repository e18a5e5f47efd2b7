//! Decisions about callers that hold memory and connections.

use std::time::Duration;

use cornelarch_core::{
    base::MonotonicTime,
    limit::{
        CallerOptions, CallerStage, CallerView, ProgressMark, choose_connection_cut,
        choose_memory_cut,
    },
};
use rstest::rstest;

const MB: usize = 1024 * 1024;

fn at(millis: u64) -> MonotonicTime {
    MonotonicTime::from_micros(millis * 1_000)
}

fn caller(key: usize, stage: CallerStage, bytes: usize, still_ms: u64) -> CallerView<usize> {
    CallerView {
        key,
        stage,
        bytes,
        still: Duration::from_millis(still_ms),
        began: at(key as u64),
    }
}

/// Guards against a crowd of bodies that stand still and keep the memory from one that arrives: who has
/// held most for longest is cut first.
#[test]
fn largest_and_longest_still_caller_is_cut_first() {
    let callers = [
        caller(1, CallerStage::Body, 4 * MB, 600),
        caller(2, CallerStage::Body, 4 * MB, 3_000),
        caller(3, CallerStage::Body, MB, 4_000),
        caller(4, CallerStage::Head, MB / 64, 15_000),
        caller(5, CallerStage::Body, 4 * MB, 100),
    ];
    assert_eq!(choose_memory_cut(callers), Some(2));
}

/// Guards against bodies that all arrive and are cut in turn, so that none ends.
#[test]
fn older_bodies_end_if_none_stands_still() {
    let callers = [
        caller(1, CallerStage::Body, 4 * MB, 0),
        caller(3, CallerStage::Body, MB, 100),
        caller(2, CallerStage::Body, 2 * MB, 0),
    ];
    assert_eq!(choose_memory_cut(callers), Some(3));
}

/// Guards against a request that is called not run although it runs, and against a stream that is
/// closed because its upstream is slow.
#[rstest]
#[case(CallerStage::Running, 60_000)]
#[case(CallerStage::Answer, 0)]
fn running_request_is_never_cut(#[case] stage: CallerStage, #[case] still_ms: u64) {
    let callers = [caller(1, stage, 4 * MB, still_ms)];
    assert_eq!(choose_memory_cut(callers), None);
    assert_eq!(choose_connection_cut(callers), None);
    assert!(!CallerOptions::default().is_stalled(&callers[0]));
}

/// Guards against an active connection that is closed for a new one.
#[test]
fn connection_that_stood_still_longest_makes_room() {
    let callers = [
        caller(1, CallerStage::Head, 1, 1_000),
        caller(2, CallerStage::Head, 1, 9_000),
        caller(3, CallerStage::Body, MB, 8_000),
        caller(4, CallerStage::Running, MB, 90_000),
    ];
    assert_eq!(choose_connection_cut(callers), Some(2));
    assert_eq!(choose_connection_cut([callers[3]]), None);
}

/// Guards against drips that keep a body for as long as its deadline allows, and against a limit that
/// a proper body on a slow link meets.
#[rstest]
#[case::drips(50, true)]
#[case::silence(0, true)]
#[case::shared_slow_link(1_250, false)]
#[case::slow_link(1_250_000, false)]
fn body_is_given_up_by_its_progress(#[case] bytes_per_s: u64, #[case] is_stalled: bool) {
    let options = CallerOptions::default();
    let mut mark = ProgressMark::new(0, at(0));
    let mut was_stalled = false;
    for tick in 1..=40 {
        let millis = tick * 500;
        let moved = bytes_per_s * millis / 1_000;
        let still = mark.update(moved, options.progress_bytes, at(millis));
        let view = CallerView {
            still,
            ..caller(1, CallerStage::Body, MB, 0)
        };
        was_stalled |= options.is_stalled(&view);
    }
    assert_eq!(was_stalled, is_stalled);
}

/// Guards against limits that refuse a legal request on the smallest machine, or that leave nothing for
/// the process or for other sockets.
#[rstest]
#[case(None, None)]
#[case(Some(120), Some(3_075))]
#[case(Some(260), Some(4_100))]
#[case(Some(650), Some(10_250))]
fn limits_fit_the_machine(#[case] memory_mb: Option<u64>, #[case] descriptors: Option<u64>) {
    let memory = memory_mb.map(|megabytes| megabytes * MB as u64);
    let options = CallerOptions::for_machine(memory, descriptors);
    // The blocks of a body of 4 MB and the joined copy.
    assert!(options.memory_for(4 * MB) >= 8 * MB);
    assert!(options.memory_for(1_000) > options.memory_for(4 * MB));
    let megabytes = memory_mb.unwrap_or(120);
    assert!(options.memory_bytes as u64 <= (megabytes - 56) * MB as u64);
    let sockets = descriptors.unwrap_or(1_024) - 200;
    assert!(options.connections as u64 <= sockets * 2 / 3);
    assert!(options.connections >= 500);
}
