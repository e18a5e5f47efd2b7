//! Reassembly of the chunks of one response.

use std::{collections::BTreeMap, time::Duration};

use crate::{
    base::MonotonicTime,
    retry::AttemptOutcome,
    stream::{AttemptNumber, StreamChunk, StreamCounters, StreamEffect, StreamEvent, StreamId},
};

/// Default limit on the number of buffered out-of-order chunks.
const DEFAULT_REORDER_MAX: usize = 64;
/// Default time to wait for a missing chunk.
const DEFAULT_GAP_TIMEOUT: Duration = Duration::from_millis(500);

/// Options of [`StreamAssembler`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StreamOptions {
    /// Maximum number of chunks that are buffered while an earlier one is missing.
    pub reorder_max: usize,
    /// Time to wait for a missing chunk before the attempt is considered lost.
    pub gap_timeout: Duration,
}

impl Default for StreamOptions {
    fn default() -> Self {
        Self {
            reorder_max: DEFAULT_REORDER_MAX,
            gap_timeout: DEFAULT_GAP_TIMEOUT,
        }
    }
}

/// Reorders the chunks of one response and delivers each exactly once.
///
/// Chunks of an attempt that has ended are dropped, because another upstream may generate different
/// text for the same position.
#[derive(Clone, Debug)]
pub struct StreamAssembler<C> {
    id: StreamId,
    options: StreamOptions,
    attempt: Option<AttemptNumber>,
    next: u64,
    buffered: BTreeMap<u64, C>,
    end: Option<u64>,
    gap_since: Option<MonotonicTime>,
    closed: bool,
    counters: StreamCounters,
}

impl<C> StreamAssembler<C> {
    /// Creates the assembler of one response.
    #[must_use]
    pub const fn new(id: StreamId, options: StreamOptions) -> Self {
        Self {
            id,
            options,
            attempt: None,
            next: 0,
            buffered: BTreeMap::new(),
            end: None,
            gap_since: None,
            closed: false,
            counters: StreamCounters {
                duplicates: 0,
                reordered: 0,
                stale: 0,
                foreign: 0,
            },
        }
    }

    /// Returns the sequence number of the next chunk to deliver, which equals the number of chunks
    /// delivered so far.
    #[must_use]
    pub const fn next_sequence(&self) -> u64 {
        self.next
    }

    /// Returns whether the response is complete or the caller has disconnected.
    #[must_use]
    pub const fn is_closed(&self) -> bool {
        self.closed
    }

    /// Returns the counters of chunks that were not delivered or arrived out of order.
    #[must_use]
    pub const fn counters(&self) -> StreamCounters {
        self.counters
    }

    /// Returns the time at which [`StreamEvent::Tick`] is due, if a chunk is missing.
    #[must_use]
    pub fn next_timer(&self) -> Option<MonotonicTime> {
        self.gap_since.map(|since| since + self.options.gap_timeout)
    }

    /// Handles one event and returns the actions that the caller must perform, in order.
    pub fn handle(&mut self, event: StreamEvent<C>, now: MonotonicTime) -> Vec<StreamEffect<C>> {
        match event {
            StreamEvent::AttemptStarted(attempt) => self.start_attempt(attempt),
            StreamEvent::Chunk(chunk) => self.handle_chunk(chunk, now),
            StreamEvent::Ended { attempt, outcome } => self.end_attempt(attempt, outcome),
            StreamEvent::Tick => self.handle_tick(now),
            StreamEvent::CallerDisconnected => self.disconnect(),
        }
    }

    fn start_attempt(&mut self, attempt: AttemptNumber) -> Vec<StreamEffect<C>> {
        if self.closed {
            return vec![StreamEffect::Cancel(attempt)];
        }
        let replaced = self.attempt.replace(attempt).filter(|old| *old != attempt);
        self.discard_buffered();
        replaced.into_iter().map(StreamEffect::Cancel).collect()
    }

    fn handle_chunk(&mut self, chunk: StreamChunk<C>, now: MonotonicTime) -> Vec<StreamEffect<C>> {
        if chunk.stream != self.id {
            self.counters.foreign += 1;
            return Vec::new();
        }
        if self.closed || self.attempt != Some(chunk.attempt) {
            self.counters.stale += 1;
            return Vec::new();
        }
        let beyond_end = self.end.is_some_and(|end| chunk.sequence > end);
        if chunk.sequence < self.next || beyond_end || self.buffered.contains_key(&chunk.sequence) {
            self.counters.duplicates += 1;
            return Vec::new();
        }
        if chunk.last {
            self.end = Some(chunk.sequence);
        }
        if chunk.sequence > self.next {
            self.counters.reordered += 1;
        }
        self.buffered.insert(chunk.sequence, chunk.payload);
        let mut effects = self.deliver_ready(now);
        if self.buffered.len() > self.options.reorder_max {
            effects.extend(self.fail_attempt(AttemptOutcome::LostMidStream, true));
        }
        effects
    }

    /// Delivers buffered chunks in order, up to the first missing one.
    fn deliver_ready(&mut self, now: MonotonicTime) -> Vec<StreamEffect<C>> {
        let mut effects = Vec::new();
        while let Some(payload) = self.buffered.remove(&self.next) {
            effects.push(StreamEffect::Deliver {
                sequence: self.next,
                payload,
            });
            self.next += 1;
            // Progress restarts the timeout, because the next gap is a different one.
            self.gap_since = None;
        }
        if self.end.is_some_and(|end| end < self.next) {
            self.closed = true;
            self.discard_buffered();
            effects.push(StreamEffect::Complete);
        } else if !self.buffered.is_empty() {
            self.gap_since.get_or_insert(now);
        }
        effects
    }

    fn end_attempt(
        &mut self,
        attempt: AttemptNumber,
        outcome: AttemptOutcome,
    ) -> Vec<StreamEffect<C>> {
        if self.closed || self.attempt != Some(attempt) {
            return Vec::new();
        }
        // If the connection is closed cleanly before the last chunk, the rest of the response is
        // lost.
        let outcome = match outcome {
            AttemptOutcome::Answered if self.next == 0 => AttemptOutcome::LostBeforeFirst,
            AttemptOutcome::Answered => AttemptOutcome::LostMidStream,
            other => other,
        };
        self.fail_attempt(outcome, false)
    }

    fn handle_tick(&mut self, now: MonotonicTime) -> Vec<StreamEffect<C>> {
        match self.next_timer() {
            Some(timer) if now >= timer => self.fail_attempt(AttemptOutcome::LostMidStream, true),
            _ => Vec::new(),
        }
    }

    fn fail_attempt(&mut self, outcome: AttemptOutcome, cancel: bool) -> Vec<StreamEffect<C>> {
        let attempt = self.attempt.take().filter(|_| cancel);
        self.discard_buffered();
        let mut effects: Vec<_> = attempt.into_iter().map(StreamEffect::Cancel).collect();
        effects.push(StreamEffect::AttemptLost {
            outcome,
            resume_from: self.next,
        });
        effects
    }

    fn disconnect(&mut self) -> Vec<StreamEffect<C>> {
        self.closed = true;
        self.discard_buffered();
        let attempt = self.attempt.take();
        attempt.into_iter().map(StreamEffect::Cancel).collect()
    }

    fn discard_buffered(&mut self) {
        self.buffered.clear();
        self.end = None;
        self.gap_since = None;
    }
}
