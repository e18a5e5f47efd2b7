//! What is known from the responses of one incarnation of an upstream.

use std::time::Duration;

use crate::{base::MonotonicTime, notice::UpstreamNotice};

/// Default of the longest pause of an upstream.
pub const PAUSE_MAX_DEFAULT: Duration = Duration::from_secs(60);

/// What the responses of one incarnation of an upstream have said so far.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct NoticeState {
    is_leaving: bool,
    /// Requests a second that the upstream takes from all instances together.
    rate_limit: Option<f64>,
    paused_until: Option<MonotonicTime>,
}

impl NoticeState {
    /// Records a notice and returns whether it is news: the upstream leaves, pauses or names a limit
    /// and did not before, or does not name that limit any more.
    ///
    /// An upstream that leaves does so until it ends, so that a response without the notice, which
    /// may be older, changes nothing. Likewise, a pause is never shortened. It lasts `pause_max` at
    /// most.
    pub fn record(
        &mut self,
        notice: &UpstreamNotice,
        pause_max: Duration,
        now: MonotonicTime,
    ) -> bool {
        let has_new_limit = notice.rate_limit != self.rate_limit;
        self.rate_limit = notice.rate_limit;
        let has_left = notice.is_leaving && !self.is_leaving;
        self.is_leaving |= notice.is_leaving;
        let was_paused = self.pause_left(now).is_some();
        let end = notice.pause.map(|pause| now + pause.min(pause_max));
        self.paused_until = self.paused_until.max(end);
        has_new_limit || has_left || !was_paused && self.pause_left(now).is_some()
    }

    /// Returns whether the upstream is shutting down.
    #[must_use]
    pub const fn is_leaving(&self) -> bool {
        self.is_leaving
    }

    /// Returns the time until the upstream accepts requests again, or `None` if it does not pause.
    #[must_use]
    pub fn pause_left(&self, now: MonotonicTime) -> Option<Duration> {
        let until = self.paused_until.filter(|until| now < *until)?;
        Some(until.since(now))
    }
}
