//! Outcome of an attempt at an upstream.

use serde::{Deserialize, Serialize};

use crate::error::{ErrorKind, RunState};

/// Outcome of an attempt at an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AttemptOutcome {
    /// The complete response arrived.
    Answered,
    /// No connection was established, so nothing was sent.
    NotReached,
    /// The upstream refused the request because of overload or shutdown, and did not run it.
    Refused,
    /// The connection was lost after the request was sent and before the first token.
    LostBeforeFirst,
    /// The connection was lost, or chunks were missing, after the first token.
    LostMidStream,
    /// No response arrived within the time limit.
    TimedOut,
    /// The caller disconnected or the router cancelled the attempt.
    Cancelled,
}

impl AttemptOutcome {
    /// All outcomes, in declaration order.
    pub const ALL: &'static [Self] = &[
        Self::Answered,
        Self::NotReached,
        Self::Refused,
        Self::LostBeforeFirst,
        Self::LostMidStream,
        Self::TimedOut,
        Self::Cancelled,
    ];

    /// Returns whether this attempt ran the request, as far as known.
    #[must_use]
    pub const fn run_state(self) -> RunState {
        match self {
            Self::Answered => RunState::Ran,
            Self::NotReached | Self::Refused => RunState::NotRun,
            Self::LostBeforeFirst | Self::LostMidStream | Self::TimedOut | Self::Cancelled => {
                RunState::Unknown
            }
        }
    }

    /// Returns whether the outcome counts against the health of the upstream.
    #[must_use]
    pub const fn is_failure(self) -> bool {
        match self {
            Self::NotReached | Self::LostBeforeFirst | Self::LostMidStream | Self::TimedOut => true,
            Self::Answered | Self::Refused | Self::Cancelled => false,
        }
    }

    /// Returns whether the upstream process may have crashed with the request in progress.
    #[must_use]
    pub const fn is_loss(self) -> bool {
        matches!(self, Self::LostBeforeFirst | Self::LostMidStream)
    }

    /// Returns the error that is reported to the caller if the request ends with this outcome.
    #[must_use]
    pub const fn error_kind(self) -> Option<ErrorKind> {
        match self {
            Self::Answered => None,
            Self::NotReached => Some(ErrorKind::NoUpstream),
            Self::Refused => Some(ErrorKind::Overloaded),
            Self::LostBeforeFirst | Self::LostMidStream | Self::Cancelled => {
                Some(ErrorKind::UpstreamLost)
            }
            Self::TimedOut => Some(ErrorKind::UpstreamTimeout),
        }
    }
}

/// Returns whether a status is one of a final response. HTTP parsers accept all numbers of three digits
/// from 100, and no request asks for another protocol.
#[must_use]
pub const fn is_final_status(status: u16) -> bool {
    matches!(status, 200..600)
}
