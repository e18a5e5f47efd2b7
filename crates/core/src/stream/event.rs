//! Events and effects of [`StreamAssembler`](super::StreamAssembler).

use serde::Serialize;

use crate::retry::AttemptOutcome;

/// Identifier of the request to which a chunk belongs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct StreamId(pub u64);

/// Number of an attempt within one request, starting at 1.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptNumber(pub u32);

/// Chunk of a response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StreamChunk<C> {
    /// Request for which the upstream produced the chunk.
    pub stream: StreamId,
    /// Attempt on whose connection the chunk arrived.
    pub attempt: AttemptNumber,
    /// Position of the chunk in the response, starting at 0.
    pub sequence: u64,
    /// Content, which is passed through unchanged.
    pub payload: C,
    /// Whether this is the last chunk of the response.
    pub last: bool,
}

/// Input of a [`StreamAssembler`](super::StreamAssembler).
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StreamEvent<C> {
    /// An attempt was sent to an upstream, either the first one or a resumption.
    AttemptStarted(AttemptNumber),
    /// A chunk arrived.
    Chunk(StreamChunk<C>),
    /// The connection of an attempt ended.
    Ended {
        /// Attempt to which the connection belonged.
        attempt: AttemptNumber,
        /// How the attempt ended.
        outcome: AttemptOutcome,
    },
    /// Drives the timers.
    Tick,
    /// The connection of the caller was closed; the current attempt is then cancelled.
    CallerDisconnected,
}

/// Action that the caller of a [`StreamAssembler`](super::StreamAssembler) must perform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StreamEffect<C> {
    /// Send the chunk to the caller.
    Deliver {
        /// Position of the chunk in the response.
        sequence: u64,
        /// Content of the chunk.
        payload: C,
    },
    /// End the response; every chunk was delivered.
    Complete,
    /// Cancel the upstream request of the attempt.
    Cancel(AttemptNumber),
    /// The attempt has failed; the retry policy decides whether the response is resumed.
    AttemptLost {
        /// How the attempt ended.
        outcome: AttemptOutcome,
        /// Sequence number at which a resumption starts.
        resume_from: u64,
    },
}

/// Counters of chunks that were not delivered or arrived out of order.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct StreamCounters {
    /// Chunks that had already been received.
    pub duplicates: u64,
    /// Chunks that arrived before a chunk with a lower sequence number.
    pub reordered: u64,
    /// Chunks of an attempt that has ended, or that arrived after the end of the response.
    pub stale: u64,
    /// Chunks of another request.
    pub foreign: u64,
}
