//! An engine that reads prompts in chunks between the tokens of other requests.

use std::collections::HashSet;

use cornelarch_core::placement::RequestSize;
use rand::Rng;

/// Prompt tokens that are read in one step.
const CHUNK_TOKENS: u64 = 2_048;
/// Time in seconds for which the slowness of a machine stays the same.
const NOISE_S: f64 = 0.6;

/// Speed and size of engines.
#[derive(Clone, Debug)]
pub(crate) struct EngineModel {
    pub(crate) slots: usize,
    /// Memory in tokens.
    pub(crate) memory: u64,
    /// Time in seconds of a step, and for each running request.
    pub(crate) step_s: (f64, f64),
    /// Time in seconds of a step for each token in memory.
    pub(crate) token_s: f64,
    /// Prompt tokens read in a second.
    pub(crate) prompt_rate: f64,
    /// Time in seconds between the end of a prompt and its first token.
    pub(crate) first_s: f64,
    /// Tokens of one event.
    pub(crate) stride: u64,
    /// Longest pause in seconds between events of an answer in time.
    pub(crate) gap_s: f64,
    pub(crate) speeds: Vec<f64>,
    /// Share of the time in which a machine is slow, and by which factor.
    pub(crate) noise: (f64, f64),
}

/// A request at an engine.
pub(crate) struct EngineJob {
    request: usize,
    prompt_left: u64,
    answer_left: u64,
    tokens: u64,
    made: u64,
    event_at_s: Option<f64>,
    is_paused: bool,
}

impl EngineJob {
    pub(crate) fn new(request: usize, size: &RequestSize, cached: u64) -> Self {
        Self {
            request,
            prompt_left: (size.prompt_tokens - cached).max(1),
            answer_left: size.answer_tokens,
            tokens: size.total(),
            made: 0,
            event_at_s: None,
            is_paused: false,
        }
    }
}

/// Requests that begin, were late by a pause, or ended with a step.
#[derive(Default)]
pub(crate) struct StepReport {
    pub(crate) begun: Vec<usize>,
    pub(crate) paused: Vec<usize>,
    pub(crate) ended: Vec<usize>,
}

/// A simulated engine.
pub(crate) struct Engine {
    speed: f64,
    running: Vec<EngineJob>,
    waiting: std::collections::VecDeque<EngineJob>,
    cached: HashSet<u64>,
    is_busy: bool,
    /// Slowness, and the time until which it stays the same.
    noise: (f64, f64),
}

impl Engine {
    pub(crate) fn new(speed: f64) -> Self {
        Self {
            speed,
            running: Vec::new(),
            waiting: std::collections::VecDeque::new(),
            cached: HashSet::new(),
            is_busy: false,
            noise: (1.0, 0.0),
        }
    }

    /// Stores the parts of a prompt and returns the tokens that were stored before.
    pub(crate) fn cache(&mut self, size: &RequestSize) -> u64 {
        let known = size.parts.iter();
        let known = known.take_while(|part| self.cached.contains(&part.digest));
        let tokens = known.map(|part| u64::from(part.tokens)).sum();
        self.cached
            .extend(size.parts.iter().map(|part| part.digest));
        tokens
    }

    pub(crate) fn push(&mut self, job: EngineJob) {
        self.waiting.push_back(job);
    }

    /// Returns whether the engine was idle and has to start a step.
    pub(crate) fn start(&mut self) -> bool {
        !std::mem::replace(&mut self.is_busy, true)
    }

    /// Returns the running and waiting requests and the slowness.
    pub(crate) fn load(&self) -> (u32, u32, f64) {
        let (running, waiting) = (self.running.len(), self.waiting.len());
        (running as u32, waiting as u32, self.noise.0)
    }

    pub(crate) fn slowness(
        &mut self,
        now_s: f64,
        model: &EngineModel,
        generator: &mut impl Rng,
    ) -> f64 {
        if now_s >= self.noise.1 {
            let is_slow = generator.random::<f64>() < model.noise.0;
            let factor = if is_slow { model.noise.1 } else { 1.0 };
            self.noise = (factor, now_s + NOISE_S * generator.random_range(0.5..1.5));
        }
        self.noise.0
    }

    /// Returns the time in seconds of the next step, or `None` without work.
    pub(crate) fn step_s(&mut self, model: &EngineModel, slowness: f64) -> Option<f64> {
        let mut memory: u64 = self.running.iter().map(|job| job.tokens).sum();
        while self.running.len() < model.slots
            && let Some(job) = self.waiting.pop_front()
        {
            if memory + job.tokens > model.memory {
                self.waiting.push_front(job);
                break;
            }
            memory += job.tokens;
            self.running.push(job);
        }
        self.is_busy = !self.running.is_empty();
        let left: u64 = self.running.iter().map(|job| job.prompt_left).sum();
        let chunk = left.min(CHUNK_TOKENS) as f64 / model.prompt_rate;
        let decode = model.step_s.0
            + model.step_s.1 * self.running.len() as f64
            + model.token_s * memory as f64;
        let step_s = (decode + chunk) * slowness / self.speed;
        self.is_busy.then_some(step_s)
    }

    pub(crate) fn finish_step(&mut self, model: &EngineModel, now_s: f64) -> StepReport {
        let mut report = StepReport::default();
        let mut chunk = CHUNK_TOKENS;
        for job in &mut self.running {
            let read = job.prompt_left.min(chunk);
            (job.prompt_left, chunk) = (job.prompt_left - read, chunk - read);
            if job.prompt_left > 0 || (read > 0 && chunk == 0) {
                continue;
            }
            let is_first = job.made == 0;
            job.made += 1;
            job.answer_left = job.answer_left.saturating_sub(1);
            if is_first {
                report.begun.push(job.request);
            }
            if is_first || job.made % model.stride == 0 || job.answer_left == 0 {
                let gap_s = job.event_at_s.map_or(0.0, |at| now_s - at);
                if gap_s > model.gap_s && !job.is_paused {
                    job.is_paused = true;
                    report.paused.push(job.request);
                }
                job.event_at_s = Some(now_s);
            }
            if job.answer_left == 0 {
                report.ended.push(job.request);
            }
        }
        self.running.retain(|job| job.answer_left > 0);
        report
    }
}
