//! What is known from the responses of one incarnation of an upstream.

use std::time::Duration;

use crate::{
    base::MonotonicTime,
    notice::{LimitNotice, UpstreamNotice, share::RateShare},
};

/// Default of the longest pause of an upstream.
pub const PAUSE_MAX_DEFAULT: Duration = Duration::from_secs(60);

/// What the recording of a notice depends on besides the notice.
#[derive(Clone, Copy, Debug)]
pub struct NoticeContext {
    /// Time at which the response arrived.
    pub now: MonotonicTime,
    /// Time at which the request was sent.
    pub sent_at: MonotonicTime,
    /// Longest pause, whatever time the upstream asks for.
    pub pause_max: Duration,
    /// Number of instances that share a limit.
    pub instances: usize,
    /// Number from 0 to 1 that differs between the instances.
    pub phase: f64,
    /// Requests that this instance has sent to the upstream in the last seconds.
    pub recent: u32,
}

/// What a notice has changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NoticeChange {
    /// Whether the upstream leaves and did not before.
    pub has_left: bool,
    /// Whether the upstream pauses and did not before.
    pub has_paused: bool,
    /// Whether the upstream names a limit and did not before, names quite another one, or names none
    /// any more.
    pub has_limit: bool,
}

impl NoticeChange {
    /// Returns whether anything has changed.
    #[must_use]
    pub const fn is_news(self) -> bool {
        self.has_left || self.has_paused || self.has_limit
    }
}

/// What the responses of one incarnation of an upstream have said so far.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct NoticeState {
    is_leaving: bool,
    paused_until: Option<MonotonicTime>,
    share: Option<RateShare>,
}

impl NoticeState {
    /// Records a notice and returns what of it is news.
    ///
    /// An upstream that leaves does so until it ends, so that a response without the notice, which
    /// may be older, changes nothing. Likewise, a pause is never shortened. It lasts `pause_max` at
    /// most.
    pub fn record(&mut self, notice: &UpstreamNotice, context: &NoticeContext) -> NoticeChange {
        let now = context.now;
        let has_left = notice.is_leaving && !self.is_leaving;
        self.is_leaving |= notice.is_leaving;
        let was_paused = self.pause_left(now).is_some();
        let end = notice.pause.map(|pause| now + pause.min(context.pause_max));
        self.paused_until = self.paused_until.max(end);
        let has_paused = !was_paused && self.pause_left(now).is_some();
        NoticeChange {
            has_left,
            has_paused,
            has_limit: self.record_limit(notice.limit, context),
        }
    }

    /// Records whether the upstream names a limit, and returns whether that is news.
    pub fn record_limit(&mut self, limit: LimitNotice, context: &NoticeContext) -> bool {
        let NoticeContext { now, instances, .. } = *context;
        match (limit, &mut self.share) {
            (LimitNotice::Rate(rate), Some(share)) => share.update(rate, instances, now),
            (LimitNotice::Rate(rate), None) => {
                let share = RateShare::new(rate, instances, context.phase, context.recent, now);
                self.share = Some(share);
                true
            }
            // A response to a request that was sent earlier may be older than the limit.
            (LimitNotice::None, Some(share)) if context.sent_at >= share.named_at() => {
                self.share = None;
                true
            }
            (LimitNotice::None | LimitNotice::Invalid, _) => false,
        }
    }

    /// Returns the limit that the upstream has named, in requests a second.
    #[must_use]
    pub fn rate_limit(&self) -> Option<f64> {
        self.share.map(|share| share.rate())
    }

    /// Returns whether the upstream is shutting down.
    #[must_use]
    pub const fn is_leaving(&self) -> bool {
        self.is_leaving
    }

    /// Returns the time until the pause of the upstream ends, or `None` if it does not pause.
    #[must_use]
    pub fn pause_left(&self, now: MonotonicTime) -> Option<Duration> {
        let until = self.paused_until.filter(|until| now < *until)?;
        Some(until.since(now))
    }

    /// Returns the time until a request may be placed, because of a pause or a limit, or `None` if
    /// one may be placed now.
    #[must_use]
    pub fn wait_left(&self, now: MonotonicTime) -> Option<Duration> {
        let share = self.share.and_then(|share| share.wait_left(now));
        self.pause_left(now).max(share)
    }

    /// Records that a request is placed, which counts towards a limit.
    pub fn take_request(&mut self, now: MonotonicTime) {
        if let Some(share) = &mut self.share {
            share.take(now);
        }
    }
}
