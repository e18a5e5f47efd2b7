//! Fault matrix: every upstream fault at every step of a request.
//!
//! The two lists below define the enums and generate one test per combination. A new variant does
//! not compile until the scripts and the expected results cover it.

mod driver;
mod script;

use driver::{CellOptions, RequestDriver};
use rstest::rstest;
use script::{ANSWER_CHUNKS, Expected, expected};

macro_rules! define_matrix {
    (faults: $faults:tt, steps: $steps:tt) => {
        define_matrix!(@enum Fault, "Fault of an upstream.", $faults);
        define_matrix!(@enum Step, "Step of a request at which a fault occurs.", $steps);
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

/// Guards against a mixed, duplicated or truncated response, against `not_run` for a request that
/// may have run, and against a second run of a non-idempotent request.
fn check_cell(fault: Fault, step: Step, options: CellOptions) {
    let mut driver = RequestDriver::new(fault, step, options);
    let result = driver.run();
    let sequences: Vec<u64> = driver
        .delivered
        .iter()
        .map(|chunk| chunk.sequence)
        .collect();
    let complete: Vec<u64> = (0..ANSWER_CHUNKS).collect();
    assert_eq!(
        sequences,
        complete[..sequences.len()],
        "chunks lost, duplicated or out of order"
    );
    assert!(
        driver
            .delivered
            .iter()
            .all(|chunk| chunk.request == driver::TEST_REQUEST)
    );
    assert!(
        driver.delivered.is_sorted_by_key(|chunk| chunk.attempt),
        "a chunk of an earlier attempt was delivered after one of a later attempt"
    );
    match result {
        Ok(()) => assert_eq!(
            sequences, complete,
            "an incomplete response was reported as complete"
        ),
        Err(kind) => driver.check_error(kind),
    }
    let expectation = match result {
        Ok(()) => Expected::Complete,
        Err(kind) => Expected::Error(kind),
    };
    assert_eq!(expectation, expected(fault, step, options));
    driver.check_invariants();
}
