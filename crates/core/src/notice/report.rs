//! Statements of one response.

use std::time::Duration;

/// What a response says about the upstream that sent it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct UpstreamNotice {
    /// Whether the upstream is shutting down.
    pub is_leaving: bool,
    /// Time for which the upstream, which refused the request, wants no further ones from this
    /// instance.
    pub pause: Option<Duration>,
}

impl UpstreamNotice {
    /// Returns whether the response says nothing about its upstream.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }
}
