//! Error responses for refused requests.

use axum::response::{IntoResponse, Response};
use cornelarch_core::error::{ErrorKind, RunState};
use http::{
    HeaderValue, StatusCode,
    header::{CONTENT_TYPE, RETRY_AFTER},
};
use serde_json::json;

/// Header that reports whether an upstream ran the request.
pub(crate) const RUN_HEADER: &str = "x-cornelarch-run";
/// Default value of `Retry-After`, in seconds.
const RETRY_AFTER_S: u64 = 1;

/// Reason why a request is refused, with a message for the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct RequestRefusal {
    /// Error kind, which determines the HTTP status and the run state.
    pub(crate) kind: ErrorKind,
    /// Message for the caller.
    pub(crate) message: String,
    /// Value of `Retry-After` in seconds; sent only for kinds that allow a retry.
    pub(crate) retry_after_s: u64,
}

impl RequestRefusal {
    /// Creates a refusal with the default retry delay.
    pub(crate) fn new(kind: ErrorKind, message: impl Into<String>) -> Self {
        Self {
            kind,
            message: message.into(),
            retry_after_s: RETRY_AFTER_S,
        }
    }

    /// Sets the retry delay; at least 1 s.
    pub(crate) fn retry_after(mut self, seconds: u64) -> Self {
        self.retry_after_s = seconds.max(1);
        self
    }

    /// Returns the JSON error body.
    pub(crate) fn body(&self) -> String {
        let answer = self.kind.answer();
        json!({"error": {
            "kind": answer.code,
            "message": self.message,
            "run": answer.run.as_str(),
        }})
        .to_string()
    }
}

impl IntoResponse for RequestRefusal {
    fn into_response(self) -> Response {
        let answer = self.kind.answer();
        let status =
            StatusCode::from_u16(answer.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        let mut response = (status, self.body()).into_response();
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        headers.insert(RUN_HEADER, run_value(answer.run));
        if answer.retry {
            headers.insert(RETRY_AFTER, HeaderValue::from(self.retry_after_s));
        }
        response
    }
}

/// Returns the header value for [`RUN_HEADER`].
pub(crate) fn run_value(run: RunState) -> HeaderValue {
    HeaderValue::from_static(run.as_str())
}
