//! Upstream behaviour and expected result for each combination of fault and step.

use cornelarch_core::{error::ErrorKind, retry::AttemptOutcome};

use crate::{Fault, Step, driver::CellOptions};

/// Number of chunks in a complete response.
pub(crate) const ANSWER_CHUNKS: u64 = 6;
/// Number of chunks that arrive before a fault in the middle of the stream.
const EARLY_CHUNKS: u64 = 2;

/// Result that the caller must see.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Expected {
    Complete,
    Error(ErrorKind),
}

/// Behaviour of the upstream during one attempt.
#[derive(Clone, Debug)]
pub(crate) struct AttemptScript {
    /// Outcome of an attempt that ends before anything is sent.
    pub(crate) before_send: Option<AttemptOutcome>,
    /// Sequence numbers of the chunks, in order of arrival.
    pub(crate) chunks: Vec<u64>,
    /// Outcome of the attempt if the response is incomplete after `chunks`.
    pub(crate) end: AttemptOutcome,
    /// Whether the upstream process crashes.
    pub(crate) loses_upstream: bool,
    /// Sequence numbers of chunks that arrive after the end of the attempt.
    pub(crate) late_chunks: Vec<u64>,
}

impl AttemptScript {
    /// Creates a script that completes the response from chunk `from`.
    pub(crate) fn complete(from: u64) -> Self {
        Self {
            before_send: None,
            chunks: (from..ANSWER_CHUNKS).collect(),
            end: AttemptOutcome::Answered,
            loses_upstream: false,
            late_chunks: Vec::new(),
        }
    }

    fn not_sent(outcome: AttemptOutcome) -> Self {
        Self {
            before_send: Some(outcome),
            chunks: Vec::new(),
            ..Self::complete(0)
        }
    }

    fn truncated(chunks: u64, end: AttemptOutcome) -> Self {
        Self {
            chunks: (0..chunks).collect(),
            end,
            ..Self::complete(0)
        }
    }
}

/// Returns the number of chunks that arrive before a fault at `step`.
fn chunks_before(step: Step) -> u64 {
    match step {
        Step::Queued | Step::Selected | Step::Sent => 0,
        Step::Streaming => EARLY_CHUNKS,
        Step::LastChunk => ANSWER_CHUNKS - 1,
        Step::Settled => ANSWER_CHUNKS,
    }
}

fn connection_reset(step: Step) -> AttemptScript {
    let chunks = chunks_before(step);
    let end = if chunks == 0 {
        AttemptOutcome::LostBeforeFirst
    } else {
        AttemptOutcome::LostMidStream
    };
    AttemptScript::truncated(chunks, end)
}

/// Returns the behaviour of the upstream in attempt `attempt`, which starts at chunk `from`.
pub(crate) fn script(fault: Fault, step: Step, attempt: u32, from: u64) -> AttemptScript {
    let is_first = attempt == 1;
    let is_before_send = matches!(step, Step::Queued | Step::Selected);
    let not_reached = AttemptScript::not_sent(AttemptOutcome::NotReached);
    match fault {
        // At a step after connecting, the first attempt is reset and every later one is refused.
        Fault::ConnectionRefused if is_before_send && is_first => not_reached,
        Fault::ConnectionRefused if !is_before_send && is_first => connection_reset(step),
        Fault::ConnectionRefused if !is_before_send => not_reached,
        Fault::ConnectionRefused => AttemptScript::complete(from),
        Fault::ResetBeforeFirst | Fault::ResetMidStream if is_before_send && is_first => {
            not_reached
        }
        Fault::ResetBeforeFirst | Fault::ResetMidStream if is_first => connection_reset(step),
        // The resumed attempt is also reset, before its first token.
        Fault::ResetBeforeFirst if attempt == 2 && from > 0 => {
            AttemptScript::truncated(0, AttemptOutcome::LostBeforeFirst)
        }
        Fault::ResetBeforeFirst | Fault::ResetMidStream => AttemptScript::complete(from),
        Fault::Timeout if is_first => {
            AttemptScript::truncated(chunks_before(step), AttemptOutcome::TimedOut)
        }
        Fault::LateAnswer if is_first => AttemptScript {
            late_chunks: (chunks_before(step).min(ANSWER_CHUNKS - 1)..ANSWER_CHUNKS).collect(),
            ..AttemptScript::truncated(chunks_before(step), AttemptOutcome::TimedOut)
        },
        Fault::Timeout | Fault::LateAnswer => AttemptScript::complete(from),
        Fault::DuplicatedChunk => {
            let mut script = AttemptScript::complete(from);
            let at = chunks_before(step).min(ANSWER_CHUNKS - 1) as usize;
            script.chunks.insert(at + 1, script.chunks[at]);
            script.chunks.insert(at + 1, script.chunks[0]);
            script
        }
        Fault::ReorderedChunk => {
            let mut script = AttemptScript::complete(from);
            let at = chunks_before(step).min(ANSWER_CHUNKS - 2) as usize;
            script.chunks.swap(at, at + 1);
            script
        }
        Fault::OverloadRefusal if is_first && chunks_before(step) == 0 => {
            AttemptScript::truncated(0, AttemptOutcome::Refused)
        }
        Fault::OverloadRefusal if is_first => connection_reset(step),
        Fault::OverloadRefusal => AttemptScript::complete(from),
        Fault::CrashByRequest if step == Step::Settled => AttemptScript::complete(from),
        Fault::CrashByRequest => {
            let chunks = chunks_before(step).max(from);
            AttemptScript {
                loses_upstream: true,
                chunks: (from..chunks).collect(),
                ..connection_reset(step)
            }
        }
        Fault::Leaving if step == Step::Selected && is_first => {
            AttemptScript::truncated(0, AttemptOutcome::Refused)
        }
        Fault::Leaving => AttemptScript::complete(from),
    }
}

/// Returns the expected result.
pub(crate) fn expected(fault: Fault, step: Step, options: CellOptions) -> Expected {
    let can_retry = options.idempotent && (chunks_before(step) == 0 || options.resumable);
    let retried = |kind| match can_retry {
        true => Expected::Complete,
        false => Expected::Error(kind),
    };
    if step == Step::Settled {
        return Expected::Complete;
    }
    let is_before_send = matches!(step, Step::Queued | Step::Selected);
    match fault {
        Fault::ConnectionRefused | Fault::ResetBeforeFirst | Fault::ResetMidStream
            if is_before_send =>
        {
            Expected::Complete
        }
        // The last attempt did not reach an upstream, but the first one may have run.
        Fault::ConnectionRefused => Expected::Error(ErrorKind::UpstreamLost),
        Fault::ResetBeforeFirst | Fault::ResetMidStream => retried(ErrorKind::UpstreamLost),
        Fault::Timeout | Fault::LateAnswer => retried(ErrorKind::UpstreamTimeout),
        Fault::DuplicatedChunk | Fault::ReorderedChunk | Fault::Leaving => Expected::Complete,
        Fault::OverloadRefusal if chunks_before(step) == 0 => Expected::Complete,
        Fault::OverloadRefusal => retried(ErrorKind::UpstreamLost),
        // Peers block the request while it is waiting.
        Fault::CrashByRequest if step == Step::Queued => Expected::Error(ErrorKind::RequestBlocked),
        Fault::CrashByRequest => Expected::Error(ErrorKind::UpstreamLost),
    }
}
