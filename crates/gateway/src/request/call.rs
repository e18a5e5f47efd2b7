//! Answers that are read completely before they are passed on.

use std::sync::Arc;

use bytes::Bytes;
use cornelarch_core::placement::FlightEnd;
use http::{Response, StatusCode, response::Parts};
use http_body_util::{BodyExt, Limited};
use tokio::time::timeout_at;

use crate::{
    process::log_event,
    request::{
        RequestRefusal, ResponseBody,
        answer::full_body,
        bill::RequestBill,
        exchange::{BegunAnswer, RequestExchange},
        head::passed_headers,
    },
};

/// Largest answer that is read completely, in bytes: as large as the requests that callers may send. An
/// upstream in trouble may send bytes without end, and an instance may have 120 MB.
const ANSWER_MAX: usize = 4 * 1024 * 1024;

/// Holds a complete answer of an upstream.
struct WholeAnswer {
    parts: Parts,
    body: Bytes,
}

impl WholeAnswer {
    fn into_response(self) -> Response<ResponseBody> {
        let mut response = Response::new(full_body(self.body));
        *response.status_mut() = self.parts.status;
        *response.headers_mut() = passed_headers(&self.parts.headers);
        response
    }
}

/// Sends a request and returns the complete answer. An error status of an upstream is passed on,
/// unless the request may be repeated and another upstream does better.
///
/// # Errors
///
/// Returns the refusal or failure for the caller.
pub(crate) async fn answer_call(
    exchange: &Arc<RequestExchange>,
    mut bill: RequestBill,
) -> Result<Response<ResponseBody>, RequestRefusal> {
    let mut log = RequestExchange::open_log();
    let mut fallback = None;
    loop {
        let begun = match exchange.begin_answer(&mut log, None).await {
            Ok(begun) => begun,
            Err(refusal) => return fallback.map(WholeAnswer::into_response).ok_or(refusal),
        };
        match read_whole(exchange, begun).await {
            Ok(answer) if !is_repeated(exchange, &answer) => {
                bill.add_delivered(0);
                return Ok(answer.into_response());
            }
            Ok(answer) => fallback = Some(answer),
            Err(end) => log.record_broken(end),
        }
        if let Err(refusal) = exchange.check_repeat(&log) {
            return fallback.map(WholeAnswer::into_response).ok_or(refusal);
        }
    }
}

/// Returns whether an answer is an error after which a repeatable request is sent elsewhere.
fn is_repeated(exchange: &RequestExchange, answer: &WholeAnswer) -> bool {
    let status = answer.parts.status;
    exchange.rule.kind.is_repeatable()
        && status.is_server_error()
        && status != StatusCode::GATEWAY_TIMEOUT
}

/// Reads an answer to its end, or returns how it broke off.
async fn read_whole(
    exchange: &RequestExchange,
    begun: BegunAnswer,
) -> Result<WholeAnswer, FlightEnd> {
    let BegunAnswer { answer, flight } = begun;
    let (parts, body) = answer.response.into_parts();
    let collected = timeout_at(exchange.end, Limited::new(body, ANSWER_MAX).collect()).await;
    let (end, reason) = match collected {
        Ok(Ok(body)) => {
            let pool = &exchange.state.pool;
            pool.keep(&flight.upstream, answer.connection, &parts.headers);
            flight.finish(match parts.status.is_server_error() {
                true => FlightEnd::Failed,
                false => FlightEnd::Answered,
            });
            let body = body.to_bytes();
            return Ok(WholeAnswer { parts, body });
        }
        Ok(Err(error)) => (FlightEnd::Lost, error.to_string()),
        Err(_) => (
            FlightEnd::TimedOut,
            "answer is incomplete in time".to_owned(),
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
