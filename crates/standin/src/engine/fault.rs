//! Faults of the engine stand-in.

use serde::{Deserialize, Serialize};

/// The injected faults; the default is none.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineFaults {
    /// Refuses new connections; open ones continue.
    pub refuse: bool,
    /// The number of next requests whose connection is aborted before the first token.
    pub reset_before_first: u32,
    /// The number of next streams that are aborted after `reset_after_tokens` tokens.
    pub reset_mid_stream: u32,
    /// The number of tokens that are sent before a stream is aborted.
    pub reset_after_tokens: u64,
    /// The number of next streams whose third chunk is sent twice.
    pub duplicate_chunk: u32,
    /// The number of next streams whose third and fourth chunks are swapped.
    pub reorder_chunk: u32,
    /// The number of next streams whose third chunk is skipped.
    pub skip_chunk: u32,
    /// The factor by which every step is slowed down; 0 and 1 mean no change.
    pub slow_factor: u32,
    /// Reports the engine as leaving; it still serves new requests.
    pub leaving: bool,
}

/// The fault injected into one response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ResponseFault {
    None,
    /// Aborts the connection after this number of tokens.
    ResetAfter(u64),
    Duplicate,
    Reorder,
    Skip,
}

impl EngineFaults {
    /// Takes the fault for the next response; stream faults do not apply to JSON responses.
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
