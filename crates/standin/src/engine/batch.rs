//! Continuous batching: selects the running requests and computes the duration of each step.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};
use tokio::{
    sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel},
    time::Instant,
};

use crate::engine::{
    CRASH_MARKER, EngineFaults, EngineOptions, LoadReport, Prompt, cache::PrefixCache,
    load::LoadHistory,
};

/// Counters since the start of the engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineCounts {
    /// Requests that were accepted.
    pub received: u64,
    /// Requests that started to run.
    pub started: u64,
    /// Requests that were accepted while the engine reported itself as leaving.
    pub received_leaving: u64,
    /// Requests that ran to completion.
    pub finished: u64,
    /// Requests whose caller disconnected before completion.
    pub cancelled: u64,
    /// Crashes caused by requests with [`CRASH_MARKER`].
    pub crashes: u64,
    /// Prompt tokens that were processed.
    pub prefill_tokens: u64,
    /// Prompt tokens that were found in the prefix cache.
    pub cached_tokens: u64,
    /// Generated tokens.
    pub decode_tokens: u64,
}

/// A request to be added to the batch.
#[derive(Clone, Debug)]
pub(crate) struct BatchRequest {
    pub(crate) prompt: Arc<Prompt>,
    /// The index of the first token to generate.
    pub(crate) from: u64,
    /// The length of the complete response, in tokens.
    pub(crate) end: u64,
    /// Lower numbers run first.
    pub(crate) priority: i32,
}

#[derive(Debug)]
struct BatchEntry {
    request: BatchRequest,
    next: u64,
    /// The earliest time at which the next token is generated.
    next_token_at: Instant,
    sender: UnboundedSender<u64>,
}

/// The result of a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StepOutcome {
    /// No request is running or waiting.
    Idle,
    /// The step takes this long.
    Completed(Duration),
    /// A request with [`CRASH_MARKER`] crashed the engine.
    Crashed,
}

/// The running batch and the queue of waiting requests.
#[derive(Debug)]
pub(crate) struct BatchQueue {
    pub(crate) options: EngineOptions,
    pub(crate) faults: EngineFaults,
    pub(crate) counts: EngineCounts,
    /// The number of runs per prompt text, if recording is enabled.
    pub(crate) runs: BTreeMap<String, u64>,
    running: Vec<BatchEntry>,
    /// The waiting requests, ordered by priority and then by arrival.
    waiting: BTreeMap<(i32, u64), BatchEntry>,
    next_arrival: u64,
    cache: PrefixCache,
    history: LoadHistory,
}

impl BatchQueue {
    pub(crate) fn new(options: EngineOptions) -> Self {
        let first = LoadReport {
            batch_limit: options.batch_limit as u64,
            ..LoadReport::default()
        };
        Self {
            faults: EngineFaults::default(),
            counts: EngineCounts::default(),
            runs: BTreeMap::new(),
            running: Vec::new(),
            waiting: BTreeMap::new(),
            next_arrival: 0,
            cache: PrefixCache::new(options.cache_blocks),
            history: LoadHistory::new(options.load_report_lag, first),
            options,
        }
    }

    /// Enqueues a request, or returns `None` if the queue is full. The channel yields the index of
    /// every generated token and closes after the last one.
    pub(crate) fn push(&mut self, request: BatchRequest) -> Option<UnboundedReceiver<u64>> {
        if self.waiting.len() >= self.options.queue_limit {
            return None;
        }
        let (sender, receiver) = unbounded_channel();
        self.counts.received += 1;
        self.counts.received_leaving += u64::from(self.faults.leaving);
        let key = (request.priority, self.next_arrival);
        self.next_arrival += 1;
        let entry = BatchEntry {
            next: request.from,
            next_token_at: Instant::now(),
            request,
            sender,
        };
        self.waiting.insert(key, entry);
        self.record_load();
        Some(receiver)
    }

    /// Admits waiting requests and generates one token for each running request.
    pub(crate) fn step(&mut self) -> StepOutcome {
        let mut prefill = 0;
        while self.running.len() < self.options.batch_limit {
            let Some(entry) = self.pop_waiting() else {
                break;
            };
            let text = &entry.request.prompt.text;
            if self.options.record_runs {
                *self.runs.entry(text.clone()).or_default() += 1;
            }
            self.counts.started += 1;
            if text.contains(CRASH_MARKER) {
                return StepOutcome::Crashed;
            }
            prefill += self.prefill(&entry);
            self.running.push(entry);
        }
        if self.running.is_empty() {
            self.record_load();
            return StepOutcome::Idle;
        }
        let time = self.step_duration(prefill);
        self.decode();
        self.record_load();
        StepOutcome::Completed(time)
    }

    /// Drops all requests and clears the cache, as a crash does.
    pub(crate) fn crash(&mut self) {
        self.counts.crashes += 1;
        self.cache.clear();
        self.drop_work();
    }

    /// Drops all requests; their channels close before the last token.
    pub(crate) fn drop_work(&mut self) {
        self.running.clear();
        self.waiting.clear();
        self.record_load();
    }

    pub(crate) fn visible_load(&mut self) -> LoadReport {
        self.history.visible(Instant::now())
    }

    pub(crate) fn record_load(&mut self) {
        let report = LoadReport {
            running: self.running.len() as u64,
            waiting: self.waiting.len() as u64,
            batch_limit: self.options.batch_limit as u64,
            leaving: self.faults.leaving,
            cache: self.cache.events(),
        };
        self.history.record(report, Instant::now());
    }

    /// Removes and returns the next waiting request whose caller is still connected.
    fn pop_waiting(&mut self) -> Option<BatchEntry> {
        while let Some((_, entry)) = self.waiting.pop_first() {
            if !entry.sender.is_closed() {
                return Some(entry);
            }
            self.counts.cancelled += 1;
        }
        None
    }

    /// Returns the number of prompt tokens to process. A resumed request also processes the tokens
    /// generated so far as part of its prompt.
    fn prefill(&mut self, entry: &BatchEntry) -> u64 {
        let prompt = &entry.request.prompt;
        let cached = self.cache.touch(&prompt.text).min(prompt.tokens);
        let tokens = prompt.tokens - cached + entry.request.from;
        self.counts.cached_tokens += cached;
        self.counts.prefill_tokens += tokens;
        tokens
    }

    fn decode(&mut self) {
        let counts = &mut self.counts;
        let gap = self.options.min_token_interval;
        let now = Instant::now();
        self.running.retain_mut(|entry| {
            if entry.sender.is_closed() {
                counts.cancelled += 1;
                return false;
            }
            if now < entry.next_token_at {
                return true;
            }
            entry.next_token_at = now + gap;
            if entry.next < entry.request.end {
                // If the caller disconnected concurrently, the next step detects it.
                let _ = entry.sender.send(entry.next);
                counts.decode_tokens += 1;
                entry.next += 1;
            }
            let done = entry.next >= entry.request.end;
            counts.finished += u64::from(done);
            !done
        });
    }

    fn step_duration(&self, prefill: u64) -> Duration {
        let options = &self.options;
        let decode = duration_at_rate(self.running.len() as u64, options.decode_tokens_per_s);
        let time = duration_at_rate(prefill, options.prefill_tokens_per_s)
            + decode.max(options.min_step_time);
        time * self.faults.slow_factor.max(1)
    }
}

/// Returns the time that `tokens` take at a rate per second; a rate of 0 means no delay.
fn duration_at_rate(tokens: u64, per_s: u32) -> Duration {
    match per_s {
        0 => Duration::ZERO,
        _ => Duration::from_secs_f64(tokens as f64 / f64::from(per_s)),
    }
}
