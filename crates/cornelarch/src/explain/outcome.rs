//! Outcome of a request, derived from its log lines.

use std::fmt;

use crate::explain::LogLine;

/// Numbers of the log events that are used to explain a request.
pub(super) mod event {
    use cornelarch_gateway::LogEvent;

    pub(crate) const GATEWAY_STARTED: u16 = LogEvent::GatewayStarted.number();
    pub(crate) const DRAIN_STARTED: u16 = LogEvent::DrainStarted.number();
    pub(crate) const DEPENDENCY_LOST: u16 = LogEvent::DependencyLost.number();
    pub(crate) const DEPENDENCY_RESTORED: u16 = LogEvent::DependencyRestored.number();
    pub(crate) const BALANCE_INSUFFICIENT: u16 = LogEvent::BalanceInsufficient.number();
    pub(crate) const UPSTREAM_CHANGED: u16 = LogEvent::UpstreamChanged.number();
    pub(crate) const UPSTREAM_CRASHED: u16 = LogEvent::UpstreamCrashed.number();
    pub(crate) const CONTENT_BLOCKED: u16 = LogEvent::ContentBlocked.number();
    pub(crate) const CONTENT_UNBLOCKED: u16 = LogEvent::ContentUnblocked.number();
    pub(crate) const REQUEST_REFUSED: u16 = LogEvent::RequestRefused.number();
    pub(crate) const ATTEMPT_FAILED: u16 = LogEvent::AttemptFailed.number();
    pub(crate) const REQUEST_FAILED: u16 = LogEvent::RequestFailed.number();
    pub(crate) const STREAM_BROKEN: u16 = LogEvent::StreamBroken.number();
    pub(crate) const REQUEST_ANSWERED: u16 = LogEvent::RequestAnswered.number();
    pub(crate) const STREAM_ENDED: u16 = LogEvent::StreamEnded.number();
}

/// The outcome of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// The request was answered.
    Answered {
        /// The HTTP status of the response.
        status: String,
    },
    /// The request was rejected before it was sent to an upstream, or no upstream ran it.
    Refused {
        /// The logged reason.
        reason: String,
    },
    /// The request may have run, but its response was lost.
    Failed {
        /// The logged reason.
        reason: String,
        /// The upstream of the last attempt.
        upstream: Option<String>,
    },
    /// The response stream was interrupted after it had started.
    StreamInterrupted {
        /// The logged reason.
        reason: String,
    },
    /// No final event is logged: the request was still running, the caller disconnected, or the
    /// instance was lost.
    Unfinished,
    /// No log line has the request id.
    NotFound,
}

impl RequestOutcome {
    /// Determines the outcome from the lines of one request, in order of time.
    #[must_use]
    pub fn from_lines(lines: &[&LogLine]) -> Self {
        let Some(last) = lines.iter().rev().find(|line| is_final_event(line.event)) else {
            return match lines.is_empty() {
                true => Self::NotFound,
                false => Self::Unfinished,
            };
        };
        let field = |name: &str| last.field(name).unwrap_or("not stated").to_owned();
        match last.event {
            event::REQUEST_REFUSED => Self::Refused {
                reason: field("reason"),
            },
            event::REQUEST_FAILED => Self::Failed {
                reason: field("reason"),
                upstream: last_upstream(lines),
            },
            event::STREAM_BROKEN => Self::StreamInterrupted {
                reason: field("reason"),
            },
            event::STREAM_ENDED => Self::Answered {
                status: "200, whole stream".to_owned(),
            },
            _ => Self::Answered {
                status: field("status"),
            },
        }
    }
}

const fn is_final_event(number: u16) -> bool {
    matches!(
        number,
        event::REQUEST_REFUSED
            | event::REQUEST_FAILED
            | event::STREAM_BROKEN
            | event::REQUEST_ANSWERED
            | event::STREAM_ENDED
    )
}

fn last_upstream(lines: &[&LogLine]) -> Option<String> {
    let mut upstreams = lines.iter().rev().filter_map(|line| line.field("upstream"));
    upstreams.next().map(str::to_owned)
}

impl fmt::Display for RequestOutcome {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Answered { status } => write!(formatter, "answered with status {status}"),
            Self::Refused { reason } => {
                write!(formatter, "refused and not run: {reason}")
            }
            Self::Failed { reason, upstream } => {
                let upstream = upstream.as_deref().unwrap_or("an unknown upstream");
                write!(formatter, "may have run at {upstream}, no answer: {reason}")
            }
            Self::StreamInterrupted { reason } => write!(formatter, "stream broken off: {reason}"),
            Self::Unfinished => formatter.write_str(
                "no final event in these logs: still running, caller disconnected or instance lost",
            ),
            Self::NotFound => formatter.write_str("no log line has this request id"),
        }
    }
}
