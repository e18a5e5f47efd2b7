//! What the upstream does in each cell, and what the caller must see.

use cornelarch_core::{error::ErrorKind, retry::AttemptOutcome};

use crate::{Fault, Step, driver::CellOptions};

/// Chunks of a whole answer.
pub(crate) const ANSWER_CHUNKS: u64 = 6;
/// Chunks that arrive before a fault in the middle of the stream.
const EARLY_CHUNKS: u64 = 2;

/// Tells what the caller must see.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Expected {
    Whole,
    Error(ErrorKind),
}

/// Describes one attempt as the upstream plays it.
#[derive(Clone, Debug)]
pub(crate) struct AttemptScript {
    /// How the attempt ends before anything is sent.
    pub(crate) before_send: Option<AttemptOutcome>,
    /// Positions of the chunks in the order in which they arrive.
    pub(crate) chunks: Vec<u64>,
    /// How the attempt ends if the answer is not complete by then.
    pub(crate) end: AttemptOutcome,
    /// Whether the upstream process is lost.
    pub(crate) is_crash: bool,
    /// Chunks that arrive after the end of the attempt.
    pub(crate) late: Vec<u64>,
}

impl AttemptScript {
    /// The upstream answers from `from` on.
    pub(crate) fn whole(from: u64) -> Self {
        Self {
            before_send: None,
            chunks: (from..ANSWER_CHUNKS).collect(),
            end: AttemptOutcome::Answered,
            is_crash: false,
            late: Vec::new(),
        }
    }

    fn unsent(outcome: AttemptOutcome) -> Self {
        Self {
            before_send: Some(outcome),
            chunks: Vec::new(),
            ..Self::whole(0)
        }
    }

    fn cut(chunks: u64, end: AttemptOutcome) -> Self {
        Self {
            chunks: (0..chunks).collect(),
            end,
            ..Self::whole(0)
        }
    }
}

/// Returns how many chunks arrive before a fault at `step`.
fn chunks_before(step: Step) -> u64 {
    match step {
        Step::Queued | Step::Selected | Step::Sent => 0,
        Step::Streaming => EARLY_CHUNKS,
        Step::LastChunk => ANSWER_CHUNKS - 1,
        Step::Settled => ANSWER_CHUNKS,
    }
}

fn reset(step: Step) -> AttemptScript {
    let chunks = chunks_before(step);
    let end = if chunks == 0 {
        AttemptOutcome::LostBeforeFirst
    } else {
        AttemptOutcome::LostMidStream
    };
    AttemptScript::cut(chunks, end)
}

/// Returns what the upstream does in attempt `attempt`, which starts at chunk `from`.
pub(crate) fn script(fault: Fault, step: Step, attempt: u32, from: u64) -> AttemptScript {
    let is_first = attempt == 1;
    let is_unsent = matches!(step, Step::Queued | Step::Selected);
    let not_reached = AttemptScript::unsent(AttemptOutcome::NotReached);
    match fault {
        // Later than the connection, a refusal meets every attempt that follows a reset.
        Fault::ConnectionRefused if is_unsent && is_first => not_reached,
        Fault::ConnectionRefused if !is_unsent && is_first => reset(step),
        Fault::ConnectionRefused if !is_unsent => not_reached,
        Fault::ConnectionRefused => AttemptScript::whole(from),
        Fault::ResetBeforeFirst | Fault::ResetMidStream if is_unsent && is_first => not_reached,
        Fault::ResetBeforeFirst | Fault::ResetMidStream if is_first => reset(step),
        // The resumed attempt is reset as well, before its first token.
        Fault::ResetBeforeFirst if attempt == 2 && from > 0 => {
            AttemptScript::cut(0, AttemptOutcome::LostBeforeFirst)
        }
        Fault::ResetBeforeFirst | Fault::ResetMidStream => AttemptScript::whole(from),
        Fault::Timeout if is_first => {
            AttemptScript::cut(chunks_before(step), AttemptOutcome::TimedOut)
        }
        Fault::LateAnswer if is_first => AttemptScript {
            late: (chunks_before(step).min(ANSWER_CHUNKS - 1)..ANSWER_CHUNKS).collect(),
            ..AttemptScript::cut(chunks_before(step), AttemptOutcome::TimedOut)
        },
        Fault::Timeout | Fault::LateAnswer => AttemptScript::whole(from),
        Fault::DuplicatedChunk => {
            let mut script = AttemptScript::whole(from);
            let at = chunks_before(step).min(ANSWER_CHUNKS - 1) as usize;
            script.chunks.insert(at + 1, script.chunks[at]);
            script.chunks.insert(at + 1, script.chunks[0]);
            script
        }
        Fault::ReorderedChunk => {
            let mut script = AttemptScript::whole(from);
            let at = chunks_before(step).min(ANSWER_CHUNKS - 2) as usize;
            script.chunks.swap(at, at + 1);
            script
        }
        Fault::OverloadRefusal if is_first && chunks_before(step) == 0 => {
            AttemptScript::cut(0, AttemptOutcome::Refused)
        }
        Fault::OverloadRefusal if is_first => reset(step),
        Fault::OverloadRefusal => AttemptScript::whole(from),
        Fault::CrashByRequest if step == Step::Settled => AttemptScript::whole(from),
        Fault::CrashByRequest => {
            let chunks = chunks_before(step).max(from);
            AttemptScript {
                is_crash: true,
                chunks: (from..chunks).collect(),
                ..reset(step)
            }
        }
        Fault::Leaving if step == Step::Selected && is_first => {
            AttemptScript::cut(0, AttemptOutcome::Refused)
        }
        Fault::Leaving => AttemptScript::whole(from),
    }
}

/// Returns what the caller must see.
pub(crate) fn expected(fault: Fault, step: Step, options: CellOptions) -> Expected {
    let can_repeat = options.idempotent && (chunks_before(step) == 0 || options.resumable);
    let repeated = |kind| match can_repeat {
        true => Expected::Whole,
        false => Expected::Error(kind),
    };
    if step == Step::Settled {
        return Expected::Whole;
    }
    let is_unsent = matches!(step, Step::Queued | Step::Selected);
    match fault {
        Fault::ConnectionRefused | Fault::ResetBeforeFirst | Fault::ResetMidStream if is_unsent => {
            Expected::Whole
        }
        // The last attempt did not reach an upstream, but the first may have run.
        Fault::ConnectionRefused => Expected::Error(ErrorKind::UpstreamLost),
        Fault::ResetBeforeFirst | Fault::ResetMidStream => repeated(ErrorKind::UpstreamLost),
        Fault::Timeout | Fault::LateAnswer => repeated(ErrorKind::UpstreamTimeout),
        Fault::DuplicatedChunk | Fault::ReorderedChunk | Fault::Leaving => Expected::Whole,
        Fault::OverloadRefusal if chunks_before(step) == 0 => Expected::Whole,
        Fault::OverloadRefusal => repeated(ErrorKind::UpstreamLost),
        // Peers have already blocked the request while it waited.
        Fault::CrashByRequest if step == Step::Queued => Expected::Error(ErrorKind::RequestBlocked),
        Fault::CrashByRequest => Expected::Error(ErrorKind::UpstreamLost),
    }
}
