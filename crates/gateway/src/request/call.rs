//! Responses that are buffered completely before they are forwarded.

use std::sync::Arc;

use bytes::Bytes;
use cornelarch_core::{error::describe_error, placement::FlightOutcome};
use http::{Response, StatusCode, response::Parts};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use tokio::time::timeout_at;

use crate::{
    connection::PooledConnection,
    process::{check_complete, log_event, watch_process},
    request::{
        RequestRefusal, ResponseBody,
        bill::RequestBill,
        exchange::{OpenResponse, RequestExchange},
        head::{forwarded_headers, is_unframed},
        limits::{RESPONSE_MAX, RESPONSE_TOO_LARGE, ResponseLimits},
        response::full_body,
    },
};

/// A complete response of an upstream.
struct BufferedResponse {
    parts: Parts,
    body: Bytes,
}

impl BufferedResponse {
    fn into_response(self) -> Response<ResponseBody> {
        let mut response = Response::new(full_body(self.body));
        *response.status_mut() = self.parts.status;
        *response.headers_mut() = forwarded_headers(&self.parts.headers);
        response
    }
}

/// Sends a request and returns the complete response. An error status of an upstream is forwarded,
/// unless the request may be retried and another upstream succeeds.
///
/// # Errors
///
/// Returns the refusal or failure for the caller.
pub(crate) async fn respond_buffered(
    exchange: &Arc<RequestExchange>,
    mut bill: RequestBill,
) -> Result<Response<ResponseBody>, RequestRefusal> {
    let mut history = RequestExchange::new_history();
    let mut fallback = None;
    loop {
        let opened = match exchange.open_response(&mut history, None).await {
            Ok(opened) => opened,
            Err(refusal) => return fallback.map(BufferedResponse::into_response).ok_or(refusal),
        };
        match read_response(exchange, opened).await {
            Ok(response) if !should_retry(exchange, &response) => {
                bill.add_delivered(0);
                return Ok(response.into_response());
            }
            Ok(response) => fallback = Some(response),
            Err(end) => history.record_interruption(end),
        }
        if let Err(refusal) = exchange.check_retry(&history) {
            return fallback.map(BufferedResponse::into_response).ok_or(refusal);
        }
    }
}

/// Returns whether a response is an error after which a repeatable request is sent to another
/// upstream.
fn should_retry(exchange: &RequestExchange, response: &BufferedResponse) -> bool {
    let status = response.parts.status;
    exchange.rule.kind.is_repeatable()
        && status.is_server_error()
        && status != StatusCode::GATEWAY_TIMEOUT
}

/// Reads a response body to its end.
///
/// # Errors
///
/// Returns why the body is incomplete, or which limit it exceeds.
async fn collect_body(
    exchange: &RequestExchange,
    mut body: Incoming,
    connection: &PooledConnection,
) -> Result<Bytes, String> {
    let pieces_max = ResponseLimits::new(&exchange.size).pieces_max;
    let mut lease = exchange.state.buffers.lease();
    let stated = body.size_hint().exact().unwrap_or(0);
    if stated > RESPONSE_MAX as u64 {
        return Err(RESPONSE_TOO_LARGE.to_owned());
    }
    lease.resize(stated as usize).await?;
    let mut collected = Vec::with_capacity(stated as usize);
    while let Some(frame) = body.frame().await {
        // Trailers are not forwarded.
        let Ok(data) = frame.map_err(|error| describe_error(&error))?.into_data() else {
            continue;
        };
        let needed = collected.len() + data.len();
        if needed > RESPONSE_MAX {
            return Err(RESPONSE_TOO_LARGE.to_owned());
        }
        connection.record_body(data.len(), pieces_max)?;
        if needed > collected.capacity() {
            let capacity = needed.max(2 * collected.capacity());
            lease.resize(capacity).await?;
            collected.reserve_exact(capacity - collected.len());
        }
        collected.extend_from_slice(&data);
    }
    Ok(lease.attach(collected.into()))
}

/// Reads a response body to its end, or returns how it was interrupted.
async fn read_response(
    exchange: &RequestExchange,
    opened: OpenResponse,
) -> Result<BufferedResponse, FlightOutcome> {
    let OpenResponse { attempt, flight } = opened;
    let (parts, body) = attempt.response.into_parts();
    let mut witness = watch_process(is_unframed(&parts.headers, &body), &attempt.connection);
    let collected = timeout_at(
        exchange.hard_deadline,
        collect_body(exchange, body, &attempt.connection),
    )
    .await;
    let checked = match collected {
        Ok(Ok(body)) => {
            let checked = check_complete(&mut witness).await;
            Ok(checked.map(|()| body).map_err(|end| end.to_string()))
        }
        failed => failed,
    };
    let (end, reason) = match checked {
        Ok(Ok(body)) => {
            let pool = &exchange.state.pool;
            pool.release(&flight.upstream, attempt.connection, &parts.headers);
            flight.finish(match parts.status.is_server_error() {
                true => FlightOutcome::Failed,
                false => FlightOutcome::Answered,
            });
            return Ok(BufferedResponse { parts, body });
        }
        Ok(Err(reason)) => (FlightOutcome::Lost, reason),
        Err(_) => (
            FlightOutcome::TimedOut,
            "response body is incomplete at the deadline".to_owned(),
        ),
    };
    log_event!(
        AttemptFailed,
        "id={} upstream={} end={end:?} reason={reason}",
        exchange.id(),
        flight.upstream
    );
    flight.finish(end);
    Err(end)
}
