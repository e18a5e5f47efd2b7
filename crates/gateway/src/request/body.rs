//! Reading of the bodies of requests.

use std::sync::Arc;

use bytes::Bytes;
use cornelarch_callers::{BodyFailure, CallerEntry, read_body};
use cornelarch_core::{error::ErrorKind, route::RequestLimits};
use hyper::body::Incoming;
use tokio::time::{Instant, timeout_at};

use crate::request::RequestRefusal;

/// Reads the body of a request within the account of the callers.
///
/// # Errors
///
/// Returns the refusal for the caller. Nothing has run.
pub(crate) async fn read_request(
    entry: &Arc<CallerEntry>,
    body: Incoming,
    limits: &RequestLimits,
    until: Instant,
) -> Result<Bytes, RequestRefusal> {
    let read = timeout_at(until, read_body(entry, body, limits.body_bytes)).await;
    let kind = match read {
        Ok(Ok(body)) => return Ok(body),
        Ok(Err(BodyFailure::TooLarge)) => ErrorKind::BodyTooLarge,
        Ok(Err(BodyFailure::Broken)) => ErrorKind::MalformedRequest,
        Ok(Err(BodyFailure::Stalled)) => ErrorKind::BodyStalled,
        Ok(Err(BodyFailure::Overloaded)) | Err(_) => ErrorKind::Overloaded,
    };
    Err(kind.into())
}
