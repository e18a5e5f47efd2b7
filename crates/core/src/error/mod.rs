//! The complete list of error kinds, each with the answer that it maps to, and texts of errors.

use serde::{Deserialize, Serialize};

/// Whether an upstream ran a refused request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunState {
    /// No upstream ran or will run the request.
    NotRun,
    /// An upstream may have run the request.
    Unknown,
    /// An upstream ran the request.
    Ran,
}

impl RunState {
    /// Returns the value of header `x-cornelarch-run`.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not_run",
            Self::Unknown => "unknown",
            Self::Ran => "ran",
        }
    }
}

/// HTTP answer for a kind of error.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ErrorAnswer {
    /// The identifier in the JSON body.
    pub code: &'static str,
    /// The HTTP status.
    pub status: u16,
    /// Whether an upstream may have run the request.
    pub run: RunState,
    /// Whether the same request may succeed if it is retried later.
    pub retry: bool,
}

macro_rules! define_error_kinds {
    ($($(#[$meta:meta])* $kind:ident => $code:literal, $status:literal, $run:ident, $retry:literal;)*) => {
        /// Reason for which a router refuses a request.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
        #[serde(rename_all = "snake_case")]
        pub enum ErrorKind {
            $($(#[$meta])* $kind,)*
        }

        impl ErrorKind {
            /// All kinds, in the order of the documentation.
            pub const ALL: &'static [Self] = &[$(Self::$kind,)*];

            /// Returns the answer to this kind of error.
            #[must_use]
            pub const fn answer(self) -> ErrorAnswer {
                match self {
                    $(Self::$kind => ErrorAnswer {
                        code: $code,
                        status: $status,
                        run: RunState::$run,
                        retry: $retry,
                    },)*
                }
            }
        }
    };
}

define_error_kinds! {
    /// The request has no customer key.
    MissingKey => "missing_key", 401, NotRun, false;
    /// The customer key is not in the configuration document.
    UnknownKey => "unknown_key", 401, NotRun, false;
    /// The request cannot be parsed or has invalid fields.
    MalformedRequest => "malformed_request", 400, NotRun, false;
    /// A call that may not be repeated has no idempotency key.
    IdempotencyKeyRequired => "idempotency_key_required", 400, NotRun, false;
    /// The body is larger than the limit.
    BodyTooLarge => "body_too_large", 413, NotRun, false;
    /// The body stands still.
    BodyStalled => "body_stalled", 408, NotRun, true;
    /// The model is not in the configuration document.
    UnknownModel => "unknown_model", 404, NotRun, false;
    /// The service is not in the configuration document.
    UnknownService => "unknown_service", 404, NotRun, false;
    /// The path is not served.
    UnknownPath => "unknown_path", 404, NotRun, false;
    /// The customer may not use this model or service.
    UpstreamForbidden => "upstream_forbidden", 403, NotRun, false;
    /// The idempotency key was used for another request.
    IdempotencyKeyReused => "idempotency_key_reused", 422, NotRun, false;
    /// The request has crashed upstreams and is blocked.
    RequestBlocked => "request_blocked", 422, NotRun, false;
    /// The prepaid budget is exhausted.
    BudgetExhausted => "budget_exhausted", 402, NotRun, false;
    /// Paid tokens remain but are temporarily unreachable.
    BudgetUnavailable => "budget_unavailable", 503, NotRun, true;
    /// The queue is full or the deadline cannot be met.
    Overloaded => "overloaded", 503, NotRun, true;
    /// The customer exceeds its rate.
    RateLimited => "rate_limited", 429, NotRun, true;
    /// The deadline passed before the request was sent.
    DeadlineExceeded => "deadline_exceeded", 504, NotRun, true;
    /// No suitable upstream is currently available.
    NoUpstream => "no_upstream", 503, NotRun, true;
    /// The platform is required for this call but unreachable.
    PlatformUnavailable => "platform_unavailable", 503, NotRun, true;
    /// The instance is shutting down.
    Draining => "draining", 503, NotRun, true;
    /// The instance has no configuration yet.
    NotReady => "not_ready", 503, NotRun, true;
    /// An earlier call with the same key may have run.
    OrderStateUnknown => "order_state_unknown", 409, Unknown, false;
    /// The upstream was lost after the request was sent.
    UpstreamLost => "upstream_lost", 502, Unknown, false;
    /// The upstream did not answer in time.
    UpstreamTimeout => "upstream_timeout", 504, Unknown, false;
    /// The router failed internally.
    Internal => "internal", 500, Unknown, false;
}

/// Formats an error with the chain of its causes, which most errors leave out of their own text.
#[must_use]
pub fn describe_error(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(cause) = source {
        text = format!("{text}: {cause}");
        source = cause.source();
    }
    text
}
