//! The cause of a request's end, from its own lines.

use std::fmt;

use crate::explain::LogLine;

/// Numbers of the events that tell how a request went.
pub(super) mod event {
    use cornelarch_gateway::LogEvent;

    pub(crate) const GATEWAY_STARTED: u16 = LogEvent::GatewayStarted.number();
    pub(crate) const DRAIN_STARTED: u16 = LogEvent::DrainStarted.number();
    pub(crate) const DEPENDENCY_LOST: u16 = LogEvent::DependencyLost.number();
    pub(crate) const DEPENDENCY_BACK: u16 = LogEvent::DependencyRestored.number();
    pub(crate) const BUDGET_SHORT: u16 = LogEvent::BalanceInsufficient.number();
    pub(crate) const UPSTREAM_CHANGED: u16 = LogEvent::UpstreamChanged.number();
    pub(crate) const REQUEST_REFUSED: u16 = LogEvent::RequestRefused.number();
    pub(crate) const ATTEMPT_FAILED: u16 = LogEvent::AttemptFailed.number();
    pub(crate) const REQUEST_FAILED: u16 = LogEvent::RequestFailed.number();
    pub(crate) const STREAM_BROKEN: u16 = LogEvent::StreamBroken.number();
    pub(crate) const REQUEST_ANSWERED: u16 = LogEvent::RequestAnswered.number();
    pub(crate) const STREAM_ENDED: u16 = LogEvent::StreamEnded.number();
}

/// Lists how a request ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestCause {
    /// It was answered, with this status.
    Answered {
        /// The status for the caller.
        status: String,
    },
    /// It was refused before anything was sent, or no upstream ran it.
    Refused {
        /// The reason in the log.
        reason: String,
    },
    /// It may have run, and its answer was lost.
    Failed {
        /// The reason in the log.
        reason: String,
        /// The upstream of the last attempt.
        upstream: Option<String>,
    },
    /// The stream was broken off after it had begun.
    Broken {
        /// The reason in the log.
        reason: String,
    },
    /// No line tells its end: it was still running, the caller left, or the instance died.
    Open,
    /// No line names it.
    Unknown,
}

impl RequestCause {
    /// Returns the cause from the lines of one request in their order.
    #[must_use]
    pub fn of_lines(lines: &[&LogLine]) -> Self {
        let Some(last) = lines.iter().rev().find(|line| is_end(line.event)) else {
            return match lines.is_empty() {
                true => Self::Unknown,
                false => Self::Open,
            };
        };
        let field = |name: &str| last.field(name).unwrap_or("not stated").to_owned();
        match last.event {
            event::REQUEST_REFUSED => Self::Refused {
                reason: field("reason"),
            },
            event::REQUEST_FAILED => Self::Failed {
                reason: field("reason"),
                upstream: find_last_upstream(lines),
            },
            event::STREAM_BROKEN => Self::Broken {
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

const fn is_end(number: u16) -> bool {
    matches!(
        number,
        event::REQUEST_REFUSED
            | event::REQUEST_FAILED
            | event::STREAM_BROKEN
            | event::REQUEST_ANSWERED
            | event::STREAM_ENDED
    )
}

fn find_last_upstream(lines: &[&LogLine]) -> Option<String> {
    let mut upstreams = lines.iter().rev().filter_map(|line| line.field("upstream"));
    upstreams.next().map(str::to_owned)
}

impl fmt::Display for RequestCause {
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
            Self::Broken { reason } => write!(formatter, "stream broken off: {reason}"),
            Self::Open => formatter.write_str(
                "no end in these logs: still running, left by its caller, or lost with its instance",
            ),
            Self::Unknown => formatter.write_str("no line names this request"),
        }
    }
}
