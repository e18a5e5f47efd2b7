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
    /// Whether the upstream limits its requests.
    pub limit: LimitNotice,
}

/// What a response says about the number of requests that its upstream takes.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum LimitNotice {
    /// The upstream names no limit.
    #[default]
    None,
    /// The named limit cannot be read.
    Invalid,
    /// Requests a second that the upstream takes from all instances together.
    Rate(f64),
}

impl UpstreamNotice {
    /// Returns whether the response says nothing about its upstream.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }
}

/// Parses a delay in seconds, which may have a fraction. Returns `None` if the text is no number or
/// a negative one; numbers too large for a duration yield the longest one.
#[must_use]
pub fn parse_delay(text: &str) -> Option<Duration> {
    let seconds: f64 = text.trim().parse().ok()?;
    (seconds >= 0.0).then(|| Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX))
}

/// Parses a rate in requests a second. Returns `None` if the text is no finite number or a negative
/// one.
#[must_use]
pub fn parse_rate(text: &str) -> Option<f64> {
    let rate: f64 = text.trim().parse().ok()?;
    (rate.is_finite() && rate >= 0.0).then_some(rate)
}
