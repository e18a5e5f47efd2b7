//! Retry policy with exponential backoff.

use std::time::Duration;

use rand::Rng;

use crate::{
    base::MonotonicTime,
    error::{ErrorKind, RunState},
    retry::AttemptOutcome,
};

/// Default upper bound of the first backoff.
const DEFAULT_BASE: Duration = Duration::from_millis(20);
/// Default upper bound of every backoff.
const DEFAULT_MAX: Duration = Duration::from_secs(1);
/// Default number of attempts per request, including the first.
const DEFAULT_ATTEMPTS: u32 = 3;

/// Options of [`RetryPolicy`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RetryOptions {
    /// Upper bound of the first backoff.
    pub base: Duration,
    /// Upper bound of every backoff.
    pub max: Duration,
    /// Maximum number of attempts per request, including the first.
    pub attempts: u32,
}

impl Default for RetryOptions {
    fn default() -> Self {
        Self {
            base: DEFAULT_BASE,
            max: DEFAULT_MAX,
            attempts: DEFAULT_ATTEMPTS,
        }
    }
}

/// State of a request after an attempt has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptState {
    /// Number of attempts so far, at least 1.
    pub attempts: u32,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Whether any attempt so far may have run the request.
    pub may_have_run: bool,
    /// Number of chunks already delivered to the caller.
    pub delivered: u64,
    /// Whether the upstream can resume a partial response.
    pub resumable: bool,
    /// Deadline of the caller.
    pub deadline: MonotonicTime,
}

/// Decision of a [`RetryPolicy`] after an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// The request is complete.
    Done,
    /// The request is sent again after the backoff, if the retry budget allows it.
    Retry {
        /// Backoff before the next attempt.
        after: Duration,
    },
    /// The request ends with an error.
    GiveUp(ErrorKind),
}

/// Decides whether and when a failed attempt is retried.
#[derive(Clone, Debug, Default)]
pub struct RetryPolicy {
    options: RetryOptions,
}

impl RetryPolicy {
    /// Creates a policy with the given options.
    #[must_use]
    pub const fn new(options: RetryOptions) -> Self {
        Self { options }
    }

    /// Returns the backoff before attempt `attempts + 1`: exponential with full jitter.
    pub fn backoff(&self, attempts: u32, rng: &mut impl Rng) -> Duration {
        let factor = 1_u32 << attempts.saturating_sub(1).min(16);
        let bound = self
            .options
            .base
            .saturating_mul(factor)
            .min(self.options.max);
        bound.mul_f64(rng.random::<f64>())
    }

    /// Decides how to proceed after `outcome`.
    ///
    /// The retry budget is not consulted here. On [`RetryDecision::Retry`] the caller takes a token
    /// from the budget, and if there is none ends the request with [`RetryPolicy::error`].
    pub fn decide(
        &self,
        outcome: AttemptOutcome,
        state: &AttemptState,
        now: MonotonicTime,
        rng: &mut impl Rng,
    ) -> RetryDecision {
        if outcome == AttemptOutcome::Answered {
            return RetryDecision::Done;
        }
        let error = Self::error(outcome, state);
        if !Self::is_retryable(outcome, state) || state.attempts >= self.options.attempts {
            return RetryDecision::GiveUp(error);
        }
        let after = self.backoff(state.attempts, rng);
        if now + after >= state.deadline {
            return RetryDecision::GiveUp(error);
        }
        RetryDecision::Retry { after }
    }

    /// Returns the error of a request that ends after `outcome`.
    ///
    /// A kind with `not_run` is returned only if no attempt may have run the request.
    #[must_use]
    pub fn error(outcome: AttemptOutcome, state: &AttemptState) -> ErrorKind {
        let kind = outcome.error_kind().unwrap_or(ErrorKind::Internal);
        let ran = state.may_have_run || state.delivered > 0;
        if ran && kind.answer().run == RunState::NotRun {
            return ErrorKind::UpstreamLost;
        }
        kind
    }

    fn is_retryable(outcome: AttemptOutcome, state: &AttemptState) -> bool {
        let resumable = state.delivered == 0 || state.resumable;
        match outcome {
            AttemptOutcome::Answered | AttemptOutcome::Cancelled => false,
            AttemptOutcome::NotReached | AttemptOutcome::Refused => {
                resumable && (state.idempotent || !state.may_have_run)
            }
            AttemptOutcome::LostBeforeFirst
            | AttemptOutcome::LostMidStream
            | AttemptOutcome::TimedOut => resumable && state.idempotent,
        }
    }
}
