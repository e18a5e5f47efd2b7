//! Retry budget over a sliding window, shared by the instances of a fleet.

use std::{collections::VecDeque, time::Duration};

use crate::base::MonotonicTime;

/// Steps into which a window is divided.
const STEPS: u32 = 20;
/// Part of the allowance that an instance uses, because arrivals of several instances shift
/// against each other in the window in which an upstream counts them.
const SAFETY: f64 = 0.7;

/// Configures [`WindowBudget`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WindowOptions {
    /// Repeats allowed for each request of a window.
    pub ratio: f64,
    /// Repeats allowed in each window beside the ratio, for the whole fleet.
    pub slack: f64,
    /// Length of the window.
    pub window: Duration,
}

#[derive(Clone, Copy, Debug)]
struct WindowStep {
    began: MonotonicTime,
    requests: u32,
    repeats: u32,
}

/// Limits the repeats of one service by the requests for it in the same window.
///
/// Each instance applies the ratio to its own requests and takes an equal part of the slack, so
/// that the sum over the fleet stays within the allowance without any exchange.
#[derive(Clone, Debug)]
pub struct WindowBudget {
    options: WindowOptions,
    steps: VecDeque<WindowStep>,
}

impl WindowBudget {
    /// Creates a budget without history.
    #[must_use]
    pub const fn new(options: WindowOptions) -> Self {
        Self {
            options,
            steps: VecDeque::new(),
        }
    }

    /// Records a request.
    pub fn record_request(&mut self, now: MonotonicTime) {
        self.current(now).requests += 1;
    }

    /// Takes one repeat and returns whether it is allowed for one of `instances` instances.
    pub fn try_retry(&mut self, instances: usize, now: MonotonicTime) -> bool {
        self.current(now);
        let (requests, repeats) = self.steps.iter().fold((0, 0), |sum, step| {
            (sum.0 + step.requests, sum.1 + step.repeats)
        });
        let slack = self.options.slack / instances.max(1) as f64;
        let allowed = (f64::from(requests) * self.options.ratio + slack) * SAFETY;
        if f64::from(repeats) + 1.0 > allowed {
            return false;
        }
        self.current(now).repeats += 1;
        true
    }

    /// Returns the step of `now` and forgets the steps that left the window.
    fn current(&mut self, now: MonotonicTime) -> &mut WindowStep {
        let window = self.options.window;
        while self
            .steps
            .front()
            .is_some_and(|step| now.since(step.began) > window)
        {
            self.steps.pop_front();
        }
        let is_current = |step: &WindowStep| now.since(step.began) < window / STEPS;
        if !self.steps.back().is_some_and(is_current) {
            self.steps.push_back(WindowStep {
                began: now,
                requests: 0,
                repeats: 0,
            });
        }
        let last = self.steps.len() - 1;
        &mut self.steps[last]
    }
}
