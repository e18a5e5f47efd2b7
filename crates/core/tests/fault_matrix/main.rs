//! Fault matrix: every upstream fault at every step of a request.
//!
//! The two lists below generate the enums and one test per cell. A new variant does not compile
//! until the scripts and the expectations cover it.

mod driver;
mod script;

use driver::{CellOptions, RequestDriver};
use rstest::rstest;
use script::{ANSWER_CHUNKS, Expected, expected};

macro_rules! define_matrix {
    (faults: $faults:tt, steps: $steps:tt) => {
        define_matrix!(@enum Fault, "Lists the faults of an upstream.", $faults);
        define_matrix!(@enum Step, "Lists the steps of a request.", $steps);
        define_matrix!(@faults $faults, $steps);
    };
    (@enum $name:ident, $doc:literal, [$($variant:ident),*]) => {
        #[doc = $doc]
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
        enum $name { $($variant,)* }
    };
    (@faults [$($fault:ident),*], $steps:tt) => {
        $(define_matrix!(@cells $fault, $steps);)*
    };
    (@cells $fault:ident, [$($step:ident),*]) => {
        #[allow(non_snake_case)]
        mod $fault {
            use super::*;
            $(
                #[rstest]
                fn $step(
                    #[values(true, false)] idempotent: bool,
                    #[values(true, false)] resumable: bool,
                    #[values(1, 2, 3)] seed: u64,
                ) {
                    check_cell(Fault::$fault, Step::$step, CellOptions { idempotent, resumable, seed });
                }
            )*
        }
    };
}

define_matrix! {
    faults: [
        ConnectionRefused, ResetBeforeFirst, ResetMidStream, Timeout, LateAnswer, DuplicatedChunk,
        ReorderedChunk, OverloadRefusal, CrashByRequest, Leaving
    ],
    steps: [Queued, Selected, Sent, Streaming, LastChunk, Settled]
}

/// Guards against a mixed, doubled or cut answer, against `not_run` for a request that may have
/// run, and against a second run of a request that must not be repeated.
fn check_cell(fault: Fault, step: Step, options: CellOptions) {
    let mut driver = RequestDriver::new(fault, step, options);
    let result = driver.run();
    let sequences: Vec<u64> = driver
        .delivered
        .iter()
        .map(|chunk| chunk.sequence)
        .collect();
    let whole: Vec<u64> = (0..ANSWER_CHUNKS).collect();
    assert_eq!(
        sequences,
        whole[..sequences.len()],
        "chunks lost, doubled or out of order"
    );
    assert!(
        driver
            .delivered
            .iter()
            .all(|chunk| chunk.request == driver::SUBJECT)
    );
    assert!(
        driver.delivered.is_sorted_by_key(|chunk| chunk.attempt),
        "text of an earlier attempt followed text of a later one"
    );
    match result {
        Ok(()) => assert_eq!(
            sequences, whole,
            "an incomplete answer was reported as complete"
        ),
        Err(kind) => driver.check_error(kind),
    }
    let expectation = match result {
        Ok(()) => Expected::Whole,
        Err(kind) => Expected::Error(kind),
    };
    assert_eq!(expectation, expected(fault, step, options));
    driver.check_invariants();
}
