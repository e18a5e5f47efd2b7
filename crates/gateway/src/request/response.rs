//! Responses that the gateway itself produces.

use std::{io, time::Duration};

use bytes::Bytes;
use cornelarch_core::{error::ErrorKind, retry::spread_delay};
use http::{HeaderValue, Response, StatusCode, header};
use http_body_util::{BodyExt, Full, combinators::UnsyncBoxBody};

/// Response body. An error closes the connection, so that the caller sees an incomplete response.
pub(crate) type ResponseBody = UnsyncBoxBody<Bytes, io::Error>;

/// `Retry-After` of refusals that carry no delay of their own.
const RETRY_AFTER_DEFAULT: Duration = Duration::from_millis(250);
const RETRY_AFTER_MIN: Duration = Duration::from_millis(50);

/// Outcome of a request that ends without a response of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct RequestRefusal {
    /// Reason of the refusal or failure.
    pub(crate) kind: ErrorKind,
    /// Delay after which the same request may succeed.
    pub(crate) retry_after: Option<Duration>,
}

impl From<ErrorKind> for RequestRefusal {
    fn from(kind: ErrorKind) -> Self {
        Self {
            kind,
            retry_after: None,
        }
    }
}

impl RequestRefusal {
    /// Builds the response to the caller. `jitter`, from 0 to 1, differs between requests, so that callers that
    /// are refused at the same time do not retry at the same time.
    pub(crate) fn into_response(self, jitter: f64) -> Response<ResponseBody> {
        let table = self.kind.answer();
        let status =
            StatusCode::from_u16(table.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        let body = format!("{{\"error\":\"{}\"}}", table.code);
        let mut response = Response::new(full_body(Bytes::from(body)));
        *response.status_mut() = status;
        let headers = response.headers_mut();
        headers.insert(
            header::CONTENT_TYPE,
            HeaderValue::from_static("application/json"),
        );
        if table.retry {
            let wait = self.retry_after.unwrap_or(RETRY_AFTER_DEFAULT);
            let wait = spread_delay(wait, jitter).max(RETRY_AFTER_MIN);
            let text = format!("{:.3}", wait.as_secs_f64());
            if let Ok(value) = HeaderValue::from_str(&text) {
                headers.insert(header::RETRY_AFTER, value);
            }
        }
        response
    }
}

/// Returns a body with fixed content.
pub(crate) fn full_body(bytes: Bytes) -> ResponseBody {
    Full::new(bytes)
        .map_err(|never| match never {})
        .boxed_unsync()
}

pub(crate) fn empty_response(status: StatusCode) -> Response<ResponseBody> {
    let mut response = Response::new(full_body(Bytes::new()));
    *response.status_mut() = status;
    response
}
