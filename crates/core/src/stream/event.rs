//! Events and effects of a stream.

use serde::Serialize;

use crate::retry::AttemptOutcome;

/// Identifies the request to which a chunk belongs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct StreamId(pub u64);

/// Numbers the attempts of one request, starting at 1.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptNumber(pub u32);

/// Represents one chunk of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StreamChunk<C> {
    /// Request for which the upstream produced the chunk.
    pub stream: StreamId,
    /// Attempt on whose connection the chunk arrived.
    pub attempt: AttemptNumber,
    /// Position of the chunk in the answer, starting at 0.
    pub sequence: u64,
    /// Content, passed through unchanged.
    pub payload: C,
    /// Whether this is the last chunk of the answer.
    pub last: bool,
}

/// Lists what happens to a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StreamEvent<C> {
    /// An attempt was sent to an upstream; the first one or a resumption.
    AttemptStarted(AttemptNumber),
    /// A chunk arrived.
    Chunk(StreamChunk<C>),
    /// The connection of an attempt ended.
    Ended {
        /// The attempt.
        attempt: AttemptNumber,
        /// How the attempt ended.
        outcome: AttemptOutcome,
    },
    /// Time has passed.
    Tick,
    /// The caller disconnected.
    CallerDisconnected,
}

/// Lists what the daemon does for a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StreamEffect<C> {
    /// Sends the chunk to the caller.
    Deliver {
        /// Position of the chunk in the answer.
        sequence: u64,
        /// Content of the chunk.
        payload: C,
    },
    /// Ends the answer; every chunk was delivered.
    Complete,
    /// Cancels the upstream request of the attempt.
    Cancel(AttemptNumber),
    /// The attempt is over; the retry policy decides whether the answer is resumed.
    AttemptLost {
        /// How the attempt ended.
        outcome: AttemptOutcome,
        /// Sequence at which a resumption starts.
        resume_from: u64,
    },
}

/// Counts chunks that were not delivered.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct StreamCounters {
    /// Chunks that had already been received.
    pub duplicates: u64,
    /// Chunks that arrived before an earlier one.
    pub reordered: u64,
    /// Chunks of an attempt that is over.
    pub stale: u64,
    /// Chunks of another request.
    pub foreign: u64,
}
