//! Faults of the service stand-in.

use serde::{Deserialize, Serialize};

/// The injected faults; the default is none.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceFaults {
    /// Refuses new connections; open ones continue.
    pub refuse: bool,
    /// The number of next calls whose connection is aborted before they run.
    pub reset_before_run: u32,
    /// The number of next calls that run but whose connection is aborted before the response.
    pub reset_after_run: u32,
    /// The number of next calls whose connection is aborted in the middle of the response body.
    pub reset_mid_answer: u32,
    /// The additional duration of every call, in milliseconds.
    pub slow_ms: u64,
    /// Reports the service as leaving; it still serves new calls.
    pub leaving: bool,
}

/// The fault injected into one call.
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
