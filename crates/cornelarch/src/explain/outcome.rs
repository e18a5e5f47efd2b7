//! The cause of a request's end, from its own lines.

use std::fmt;

use crate::explain::LogLine;

/// Numbers of the events that tell how a request went.
pub(super) mod event {
    use cornelarch_gateway::LogEvent;

    pub(crate) const GATEWAY_STARTED: u16 = LogEvent::GatewayStarted.number();
    pub(crate) const DRAIN_STARTED: u16 = LogEvent::DrainStarted.number();
    pub(crate) const DEPENDENCY_LOST: u16 = LogEvent::DependencyLost.number();
    pub(crate) const DEPENDENCY_RESTORED: u16 = LogEvent::DependencyRestored.number();
    pub(crate) const BALANCE_INSUFFICIENT: u16 = LogEvent::BalanceInsufficient.number();
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
pub enum RequestOutcome {
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
    StreamInterrupted {
        /// The reason in the log.
        reason: String,
    },
    /// No line tells its end: it was still running, the caller left, or the instance died.
    Unfinished,
    /// No line names it.
    NotFound,
}

impl RequestOutcome {
    /// Returns the cause from the lines of one request in their order.
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
                "no end in these logs: still running, left by its caller, or lost with its instance",
            ),
            Self::NotFound => formatter.write_str("no line names this request"),
        }
    }
}
