//! Retry budget over a sliding window for a fleet of instances.

use std::{collections::VecDeque, time::Duration};

use crate::base::MonotonicTime;

/// Number of steps into which a window is divided.
const STEPS: u32 = 20;
/// Fraction of the allowance that an instance uses. The windows of the instances and of the
/// upstream that counts the requests are not aligned, so the full allowance could be exceeded.
const SAFETY_FACTOR: f64 = 0.7;

/// Options of [`WindowBudget`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WindowOptions {
    /// Number of retries allowed per request in a window.
    pub ratio: f64,
    /// Number of retries allowed per window in addition to the ratio, for the whole fleet.
    pub slack: f64,
    /// Length of the window.
    pub window: Duration,
}

#[derive(Clone, Copy, Debug)]
struct WindowStep {
    started: MonotonicTime,
    requests: u32,
    retries: u32,
}

/// Limits the retries for one service in relation to its requests in the same window.
///
/// Each instance applies the ratio to its own requests and uses an equal part of the slack, so the
/// fleet as a whole stays within the allowance without coordination.
#[derive(Clone, Debug)]
pub struct WindowBudget {
    options: WindowOptions,
    steps: VecDeque<WindowStep>,
}

impl WindowBudget {
    /// Creates a budget with an empty window.
    #[must_use]
    pub const fn new(options: WindowOptions) -> Self {
        Self {
            options,
            steps: VecDeque::new(),
        }
    }

    /// Records a request, which increases the retries allowed in the window.
    pub fn record_request(&mut self, now: MonotonicTime) {
        self.current_step(now).requests += 1;
    }

    /// Takes one retry if the budget allows it, given a fleet of `instances` instances. Returns
    /// whether it is allowed.
    pub fn try_retry(&mut self, instances: usize, now: MonotonicTime) -> bool {
        self.current_step(now);
        let (requests, retries) = self.steps.iter().fold((0, 0), |sum, step| {
            (sum.0 + step.requests, sum.1 + step.retries)
        });
        let slack = self.options.slack / instances.max(1) as f64;
        let allowed = (f64::from(requests) * self.options.ratio + slack) * SAFETY_FACTOR;
        if f64::from(retries) + 1.0 > allowed {
            return false;
        }
        self.current_step(now).retries += 1;
        true
    }

    /// Returns the step that contains `now`, and removes the steps that left the window.
    fn current_step(&mut self, now: MonotonicTime) -> &mut WindowStep {
        let window = self.options.window;
        while self
            .steps
            .front()
            .is_some_and(|step| now.since(step.started) > window)
        {
            self.steps.pop_front();
        }
        let is_current = |step: &WindowStep| now.since(step.started) < window / STEPS;
        if !self.steps.back().is_some_and(is_current) {
            self.steps.push_back(WindowStep {
                started: now,
                requests: 0,
                retries: 0,
            });
        }
        let last = self.steps.len() - 1;
        &mut self.steps[last]
    }
}
