//! Faults of the engine stand-in.

use serde::{Deserialize, Serialize};

/// Describes the faults in force; the default is none.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineFaults {
    /// Refuses new connections; open ones continue.
    pub refuse: bool,
    /// The number of next requests whose connection is cut before the first token.
    pub reset_before_first: u32,
    /// The number of next streams that are cut after `reset_after_tokens` tokens.
    pub reset_mid_stream: u32,
    /// The number of tokens before such a cut.
    pub reset_after_tokens: u64,
    /// The number of next streams whose third chunk is sent twice.
    pub duplicate_chunk: u32,
    /// The number of next streams whose third and fourth chunks are swapped.
    pub reorder_chunk: u32,
    /// The number of next streams whose third chunk is left out.
    pub skip_chunk: u32,
    /// Multiplies every work time by this number; 0 and 1 mean no change.
    pub slow_factor: u32,
    /// Reports that the engine is leaving; it still serves what it gets.
    pub leaving: bool,
}

/// Lists what happens to one answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ResponseFault {
    None,
    /// Cuts the connection after this number of tokens.
    ResetAfter(u64),
    Duplicate,
    Reorder,
    Skip,
}

impl EngineFaults {
    /// Takes the fault of the next answer; faults of streams leave JSON answers alone.
    pub(crate) fn take_response_fault(&mut self, streaming: bool) -> ResponseFault {
        let after = self.reset_after_tokens;
        let mut choices = [
            (
                &mut self.reset_before_first,
                ResponseFault::ResetAfter(0),
                false,
            ),
            (
                &mut self.reset_mid_stream,
                ResponseFault::ResetAfter(after),
                true,
            ),
            (&mut self.duplicate_chunk, ResponseFault::Duplicate, true),
            (&mut self.reorder_chunk, ResponseFault::Reorder, true),
            (&mut self.skip_chunk, ResponseFault::Skip, true),
        ];
        for (count, fault, streams_only) in &mut choices {
            if **count > 0 && (streaming || !*streams_only) {
                **count -= 1;
                return *fault;
            }
        }
        ResponseFault::None
    }
}
