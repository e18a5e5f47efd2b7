//! Faults of the service stand-in.

use serde::{Deserialize, Serialize};

/// Describes the faults in force; the default is none.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceFaults {
    /// Refuses new connections; open ones continue.
    pub refuse: bool,
    /// The number of next calls whose connection is cut before they run.
    pub reset_before_run: u32,
    /// The number of next calls that run but whose connection is cut before the answer.
    pub reset_after_run: u32,
    /// The number of next calls whose connection is cut in the middle of the answer's body.
    pub reset_mid_answer: u32,
    /// Adds to the time of every call, in milliseconds.
    pub slow_ms: u64,
    /// Reports that the service is leaving; it still serves what it gets.
    pub leaving: bool,
}

/// Lists what happens to one call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CallFault {
    None,
    ResetBeforeRun,
    ResetAfterRun,
    ResetMidAnswer,
}

impl ServiceFaults {
    pub(crate) fn take_call_fault(&mut self) -> CallFault {
        let mut choices = [
            (&mut self.reset_before_run, CallFault::ResetBeforeRun),
            (&mut self.reset_after_run, CallFault::ResetAfterRun),
            (&mut self.reset_mid_answer, CallFault::ResetMidAnswer),
        ];
        for (count, fault) in &mut choices {
            if **count > 0 {
                **count -= 1;
                return *fault;
            }
        }
        CallFault::None
    }
}
