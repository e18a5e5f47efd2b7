//! What is known from the responses of one incarnation of an upstream.

use crate::notice::UpstreamNotice;

/// What the responses of one incarnation of an upstream have said so far.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct NoticeState {
    is_leaving: bool,
}

impl NoticeState {
    /// Records a notice and returns whether it changes what is known. An upstream that leaves does
    /// so until it ends, so that a response without the notice, which may be older, changes nothing.
    pub const fn record(&mut self, notice: &UpstreamNotice) -> bool {
        let is_news = notice.is_leaving && !self.is_leaving;
        self.is_leaving |= notice.is_leaving;
        is_news
    }

    /// Returns whether the upstream is shutting down.
    #[must_use]
    pub const fn is_leaving(&self) -> bool {
        self.is_leaving
    }
}
