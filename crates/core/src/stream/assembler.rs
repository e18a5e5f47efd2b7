//! Puts the chunks of one answer in order.

use std::{collections::BTreeMap, time::Duration};

use crate::{
    base::MonotonicTime,
    retry::AttemptOutcome,
    stream::{AttemptNumber, StreamChunk, StreamCounters, StreamEffect, StreamEvent, StreamId},
};

/// Chunks that are held back while an earlier one is missing.
const DEFAULT_REORDER_MAX: usize = 64;
/// Time for which a missing chunk is awaited.
const DEFAULT_GAP_WAIT: Duration = Duration::from_millis(500);

/// Configures [`StreamAssembler`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StreamOptions {
    /// Largest number of chunks that are held back while an earlier one is missing.
    pub reorder_max: usize,
    /// Time for which a missing chunk is awaited.
    pub gap_wait: Duration,
}

impl Default for StreamOptions {
    fn default() -> Self {
        Self {
            reorder_max: DEFAULT_REORDER_MAX,
            gap_wait: DEFAULT_GAP_WAIT,
        }
    }
}

/// Puts the chunks of one answer in order and delivers each exactly once.
///
/// Chunks of an attempt that is over are dropped, because another upstream may have generated
/// different text for the same position.
#[derive(Clone, Debug)]
pub struct StreamAssembler<C> {
    id: StreamId,
    options: StreamOptions,
    attempt: Option<AttemptNumber>,
    next: u64,
    held: BTreeMap<u64, C>,
    end: Option<u64>,
    gap_since: Option<MonotonicTime>,
    closed: bool,
    counters: StreamCounters,
}

impl<C> StreamAssembler<C> {
    /// Creates the assembler of one answer.
    #[must_use]
    pub const fn new(id: StreamId, options: StreamOptions) -> Self {
        Self {
            id,
            options,
            attempt: None,
            next: 0,
            held: BTreeMap::new(),
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

    /// Returns the sequence of the next chunk to deliver, which is the number delivered so far.
    #[must_use]
    pub const fn next_sequence(&self) -> u64 {
        self.next
    }

    /// Returns whether the answer is complete or the caller has gone.
    #[must_use]
    pub const fn is_closed(&self) -> bool {
        self.closed
    }

    /// Returns the counts of chunks that were not delivered or came out of order.
    #[must_use]
    pub const fn counters(&self) -> StreamCounters {
        self.counters
    }

    /// Returns the moment at which [`StreamEvent::Tick`] is due, if a chunk is missing.
    #[must_use]
    pub fn next_timer(&self) -> Option<MonotonicTime> {
        self.gap_since.map(|since| since + self.options.gap_wait)
    }

    /// Handles one event.
    pub fn handle(&mut self, event: StreamEvent<C>, now: MonotonicTime) -> Vec<StreamEffect<C>> {
        match event {
            StreamEvent::AttemptStarted(attempt) => self.attach(attempt),
            StreamEvent::Chunk(chunk) => self.receive(chunk, now),
            StreamEvent::Ended { attempt, outcome } => self.end_attempt(attempt, outcome),
            StreamEvent::Tick => self.check_gap(now),
            StreamEvent::CallerDisconnected => self.close_caller(),
        }
    }

    fn attach(&mut self, attempt: AttemptNumber) -> Vec<StreamEffect<C>> {
        if self.closed {
            return vec![StreamEffect::Cancel(attempt)];
        }
        let replaced = self.attempt.replace(attempt).filter(|old| *old != attempt);
        self.discard_held();
        replaced.into_iter().map(StreamEffect::Cancel).collect()
    }

    fn receive(&mut self, chunk: StreamChunk<C>, now: MonotonicTime) -> Vec<StreamEffect<C>> {
        if chunk.stream != self.id {
            self.counters.foreign += 1;
            return Vec::new();
        }
        if self.closed || self.attempt != Some(chunk.attempt) {
            self.counters.stale += 1;
            return Vec::new();
        }
        let beyond_end = self.end.is_some_and(|end| chunk.sequence > end);
        if chunk.sequence < self.next || beyond_end || self.held.contains_key(&chunk.sequence) {
            self.counters.duplicates += 1;
            return Vec::new();
        }
        if chunk.last {
            self.end = Some(chunk.sequence);
        }
        if chunk.sequence > self.next {
            self.counters.reordered += 1;
        }
        self.held.insert(chunk.sequence, chunk.payload);
        let mut effects = self.release(now);
        if self.held.len() > self.options.reorder_max {
            effects.extend(self.lose(AttemptOutcome::LostMidStream, true));
        }
        effects
    }

    /// Delivers held chunks in order up to the first missing one.
    fn release(&mut self, now: MonotonicTime) -> Vec<StreamEffect<C>> {
        let mut effects = Vec::new();
        while let Some(payload) = self.held.remove(&self.next) {
            effects.push(StreamEffect::Deliver {
                sequence: self.next,
                payload,
            });
            self.next += 1;
            // Progress restarts the wait, because the next gap is another one.
            self.gap_since = None;
        }
        if self.end.is_some_and(|end| end < self.next) {
            self.closed = true;
            self.discard_held();
            effects.push(StreamEffect::Complete);
        } else if !self.held.is_empty() {
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
        // A connection that is closed in order before the last chunk has lost the remainder.
        let outcome = match outcome {
            AttemptOutcome::Answered if self.next == 0 => AttemptOutcome::LostBeforeFirst,
            AttemptOutcome::Answered => AttemptOutcome::LostMidStream,
            other => other,
        };
        self.lose(outcome, false)
    }

    fn check_gap(&mut self, now: MonotonicTime) -> Vec<StreamEffect<C>> {
        match self.next_timer() {
            Some(timer) if now >= timer => self.lose(AttemptOutcome::LostMidStream, true),
            _ => Vec::new(),
        }
    }

    fn lose(&mut self, outcome: AttemptOutcome, cancel: bool) -> Vec<StreamEffect<C>> {
        let attempt = self.attempt.take().filter(|_| cancel);
        self.discard_held();
        let mut effects: Vec<_> = attempt.into_iter().map(StreamEffect::Cancel).collect();
        effects.push(StreamEffect::AttemptLost {
            outcome,
            resume_from: self.next,
        });
        effects
    }

    fn close_caller(&mut self) -> Vec<StreamEffect<C>> {
        self.closed = true;
        self.discard_held();
        let attempt = self.attempt.take();
        attempt.into_iter().map(StreamEffect::Cancel).collect()
    }

    fn discard_held(&mut self) {
        self.held.clear();
        self.end = None;
        self.gap_since = None;
    }
}
