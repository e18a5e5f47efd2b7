//! Fake of a model engine: continuous batching in steps of virtual time.

use std::collections::VecDeque;

/// Duration of a step without work at speed 1, in microseconds.
const BASE_STEP_US: f64 = 20_000.0;
/// Additional duration of a step per running request at speed 1, in microseconds.
const REQUEST_STEP_US: f64 = 500.0;
/// Work on one prompt token at speed 1, in microseconds.
const TOKEN_PREFILL_US: f64 = 100.0;
/// Requests that run at the same time.
pub(super) const BATCH_MAX: usize = 32;
/// Requests that wait in the engine before it refuses.
const WAITING_MAX: usize = 64;
/// Prefixes that fit into the cache.
const CACHED_PREFIXES_MAX: usize = 8;

/// Names a request in the simulation.
pub(super) type RequestId = usize;

/// Describes one attempt for the engine.
#[derive(Clone, Copy, Debug)]
pub(super) struct EngineJob {
    pub(super) request: RequestId,
    pub(super) attempt: u32,
    pub(super) prompt_tokens: u32,
    pub(super) prefix: Option<(u64, u32)>,
    /// Tokens that the caller already has.
    pub(super) generated_tokens: u32,
    pub(super) answer_tokens: u32,
    /// Tokens worked on for this attempt, prompt and answer.
    pub(super) processed_tokens: u64,
    first_token_pending: bool,
}

impl EngineJob {
    pub(super) const fn new(
        request: RequestId,
        attempt: u32,
        prompt_tokens: u32,
        prefix: Option<(u64, u32)>,
        generated_tokens: u32,
        answer_tokens: u32,
    ) -> Self {
        Self {
            request,
            attempt,
            prompt_tokens,
            prefix,
            generated_tokens,
            answer_tokens,
            processed_tokens: 0,
            first_token_pending: false,
        }
    }
}

/// Represents a token that an engine has produced.
#[derive(Clone, Copy, Debug)]
pub(super) struct EngineToken {
    pub(super) job: EngineJob,
    pub(super) is_first: bool,
    pub(super) is_last: bool,
}

/// Models one engine.
#[derive(Clone, Debug)]
pub(super) struct SimulatedEngine {
    pub(super) speed: f64,
    pub(super) domain: usize,
    pub(super) is_down: bool,
    /// Distinguishes steps before and after a crash.
    pub(super) epoch: u32,
    running: Vec<EngineJob>,
    waiting: VecDeque<EngineJob>,
    step_end_us: Option<u64>,
    cache: VecDeque<u64>,
    history: VecDeque<(u64, u32, u32)>,
    /// Prefixes that were stored (true) or evicted since the last call of `take_cache_events`.
    cache_events: Vec<(u64, bool)>,
}

impl SimulatedEngine {
    pub(super) fn new(speed: f64, domain: usize) -> Self {
        Self {
            speed,
            domain,
            is_down: false,
            epoch: 0,
            running: Vec::new(),
            waiting: VecDeque::new(),
            step_end_us: None,
            cache: VecDeque::new(),
            history: VecDeque::new(),
            cache_events: Vec::new(),
        }
    }

    /// Returns the requests per second that an engine of speed 1 answers at full batches.
    pub(super) fn capacity(prompt_tokens: f64, answer_tokens: f64) -> f64 {
        let decode = answer_tokens * (BASE_STEP_US / BATCH_MAX as f64 + REQUEST_STEP_US);
        1e6 / (prompt_tokens * TOKEN_PREFILL_US + decode)
    }

    pub(super) fn is_idle(&self) -> bool {
        self.step_end_us.is_none()
    }

    /// Accepts a job, or refuses it because too many wait.
    pub(super) fn push(&mut self, job: EngineJob, now_us: u64) -> bool {
        if self.waiting.len() >= WAITING_MAX {
            return false;
        }
        self.waiting.push_back(job);
        self.record_load(now_us);
        true
    }

    /// Removes a job whose caller has gone, and returns the tokens that were worked on.
    pub(super) fn cancel(&mut self, request: RequestId, now_us: u64) -> u64 {
        let running = self.running.iter().position(|job| job.request == request);
        let processed_tokens =
            running.map_or(0, |index| self.running.swap_remove(index).processed_tokens);
        self.waiting.retain(|job| job.request != request);
        self.record_load(now_us);
        processed_tokens
    }

    /// Loses all work and the cache. Returns the jobs that were lost.
    pub(super) fn crash(&mut self, now_us: u64) -> Vec<EngineJob> {
        self.is_down = true;
        self.epoch += 1;
        self.step_end_us = None;
        self.cache.clear();
        let mut lost = std::mem::take(&mut self.running);
        lost.extend(self.waiting.drain(..));
        self.record_load(now_us);
        lost
    }

    /// Starts a step, and returns its end if there is work.
    pub(super) fn start_step(&mut self, now_us: u64) -> Option<u64> {
        let mut prefill = 0;
        while self.running.len() < BATCH_MAX {
            let Some(mut job) = self.waiting.pop_front() else {
                break;
            };
            let tokens = self.prefill_tokens(&job);
            self.cache_prefix(&job);
            prefill += tokens;
            job.processed_tokens = u64::from(tokens);
            job.first_token_pending = true;
            self.running.push(job);
        }
        if self.running.is_empty() {
            self.step_end_us = None;
            return None;
        }
        let end = now_us + self.step_us(self.running.len(), f64::from(prefill)) as u64;
        self.step_end_us = Some(end);
        Some(end)
    }

    /// Ends a step, and returns one token for each running request.
    pub(super) fn end_step(&mut self, now_us: u64) -> Vec<EngineToken> {
        let mut tokens = Vec::with_capacity(self.running.len());
        for job in &mut self.running {
            job.generated_tokens += 1;
            job.processed_tokens += 1;
            tokens.push(EngineToken {
                job: *job,
                is_first: std::mem::take(&mut job.first_token_pending),
                is_last: job.generated_tokens >= job.answer_tokens,
            });
        }
        self.running
            .retain(|job| job.generated_tokens < job.answer_tokens);
        self.record_load(now_us);
        tokens
    }

    /// Returns and forgets the changes of the cache.
    pub(super) fn take_cache_events(&mut self) -> Vec<(u64, bool)> {
        std::mem::take(&mut self.cache_events)
    }

    /// Returns running and waiting requests as of `at_us`.
    pub(super) fn load_at(&self, at_us: u64) -> (u32, u32) {
        let sample = self.history.iter().rev().find(|(time, ..)| *time <= at_us);
        sample.map_or((0, 0), |(_, running, waiting)| (*running, *waiting))
    }

    /// Returns the expected time to first token in microseconds of a job that arrives now.
    ///
    /// Without `knows_prompts` the rest of the step and the prompts of waiting jobs are unknown.
    pub(super) fn expected_first_token_us(
        &self,
        job: &EngineJob,
        knows_prompts: bool,
        now_us: u64,
    ) -> f64 {
        if self.is_down {
            return f64::MAX;
        }
        let end_us = self.step_end_us.filter(|_| knows_prompts);
        let step_remaining_us = end_us.map_or(0, |end| end.saturating_sub(now_us)) as f64;
        let waiting = self.waiting.iter().filter(|_| knows_prompts);
        let queued_prefill: u32 = waiting.map(|job| self.prefill_tokens(job)).sum();
        let prefill = f64::from(queued_prefill + self.prefill_tokens(job));
        let total = self.running.len() + self.waiting.len() + 1;
        let excess = total.saturating_sub(BATCH_MAX);
        let mut remaining: Vec<u32> = self
            .running
            .iter()
            .map(|job| job.answer_tokens - job.generated_tokens)
            .collect();
        remaining.sort_unstable();
        let steps = match excess {
            0 => 0.0,
            _ => f64::from(remaining[(excess - 1).min(remaining.len() - 1)]),
        };
        let full_us = self.step_us(BATCH_MAX, 0.0);
        step_remaining_us + steps * full_us + self.step_us(total.min(BATCH_MAX), prefill)
    }

    fn prefill_tokens(&self, job: &EngineJob) -> u32 {
        let cached = match job.prefix {
            Some((digest, tokens)) if self.cache.contains(&digest) => tokens,
            _ => 0,
        };
        job.prompt_tokens.saturating_sub(cached) + job.generated_tokens
    }

    fn cache_prefix(&mut self, job: &EngineJob) {
        let Some((digest, _)) = job.prefix else {
            return;
        };
        let previous_len = self.cache.len();
        self.cache.retain(|other| *other != digest);
        if self.cache.len() == previous_len {
            self.cache_events.push((digest, true));
        }
        self.cache.push_back(digest);
        if self.cache.len() > CACHED_PREFIXES_MAX
            && let Some(evicted) = self.cache.pop_front()
        {
            self.cache_events.push((evicted, false));
        }
    }

    fn step_us(&self, batch: usize, prefill: f64) -> f64 {
        (BASE_STEP_US + REQUEST_STEP_US * batch as f64 + TOKEN_PREFILL_US * prefill) / self.speed
    }

    fn record_load(&mut self, now_us: u64) {
        let (running, waiting) = (self.running.len() as u32, self.waiting.len() as u32);
        self.history.push_back((now_us, running, waiting));
        // Reports lag by less than ten seconds.
        while self.history.len() > 2 && self.history[1].0 + 10_000_000 < now_us {
            self.history.pop_front();
        }
    }
}
