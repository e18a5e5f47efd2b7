//! One attempt at one upstream, up to the head of its answer.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use cornelarch_core::placement::{FlightOutcome, Placement};
use http::{HeaderMap, HeaderName, HeaderValue, Request, Response, StatusCode, header};
use http_body_util::Full;
use hyper::body::Incoming;
use tokio::time::{Instant, timeout_at};

use crate::{
    connection::{PooledConnection, SendFailure},
    process::GatewayState,
    request::{
        flight::RequestFlight,
        head::{LAST_EVENT_ID, RequestHead},
    },
};

/// Longest wait for a connection to an upstream: several round trips between domains and the
/// handshake of a busy upstream.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Connections that are tried when idle ones turn out to be closed before anything was sent.
const CONNECTS_MAX: u32 = 3;

/// Tells how an attempt ended that led to no usable answer.
#[derive(Debug)]
pub(crate) struct AttemptFailure {
    pub(crate) end: FlightOutcome,
    pub(crate) reason: String,
}

impl AttemptFailure {
    pub(crate) fn new(end: FlightOutcome, reason: impl Into<String>) -> Self {
        Self {
            end,
            reason: reason.into(),
        }
    }
}

/// Holds the head of an upstream's answer; the body is still to be read.
pub(crate) struct AttemptAnswer {
    pub(crate) connection: PooledConnection,
    pub(crate) response: Response<Incoming>,
}

/// Describes what an attempt sends.
pub(crate) struct AttemptRequest<'a> {
    pub(crate) head: &'a RequestHead,
    pub(crate) body: &'a Bytes,
    /// Name of the customer, if the route needs one.
    pub(crate) customer: Option<&'a HeaderValue>,
    /// Rank at engines.
    pub(crate) engine_priority: Option<u8>,
    /// Event after which the stream continues.
    pub(crate) last_event_id: Option<&'a str>,
    /// Time at which the caller gives up.
    pub(crate) deadline: Instant,
    /// Time at which this attempt is given up.
    pub(crate) until: Instant,
}

/// Sends a request to an upstream and waits for the head of the answer.
///
/// # Errors
///
/// Returns how the attempt failed, and with that whether the upstream may have run the request.
pub(crate) async fn send_attempt(
    state: &Arc<GatewayState>,
    request: &AttemptRequest<'_>,
    placement: &Placement,
    flight: &RequestFlight,
) -> Result<AttemptAnswer, AttemptFailure> {
    for _ in 0..CONNECTS_MAX {
        let mut connection = open_connection(state, request, placement).await?;
        // While the connection was opened, the upstream may have started to leave.
        if !state.placement.lock().is_listed(flight.key) {
            return Err(AttemptFailure::new(
                FlightOutcome::NotReached,
                "upstream is leaving",
            ));
        }
        let message = build_message(state, request, placement);
        let sent = timeout_at(request.until, connection.send(message)).await;
        match sent {
            Ok(Ok(response)) => {
                flight.report(response.headers());
                return check_answer(state, request, connection, response);
            }
            Ok(Err(SendFailure::NotSent)) => {}
            Ok(Err(SendFailure::Unknown(reason))) => {
                return Err(AttemptFailure::new(FlightOutcome::Lost, reason));
            }
            Err(_) => {
                return Err(AttemptFailure::new(
                    FlightOutcome::TimedOut,
                    "no answer in time",
                ));
            }
        }
    }
    Err(AttemptFailure::new(
        FlightOutcome::NotReached,
        "connections are closed at once",
    ))
}

async fn open_connection(
    state: &GatewayState,
    request: &AttemptRequest<'_>,
    placement: &Placement,
) -> Result<PooledConnection, AttemptFailure> {
    let left = request.until.saturating_duration_since(Instant::now());
    let timeout = CONNECT_TIMEOUT.min(left);
    let opened = state
        .pool
        .open(&placement.upstream, placement.address, timeout);
    opened
        .await
        .map_err(|error| AttemptFailure::new(FlightOutcome::NotReached, error.to_string()))
}

fn build_message(
    state: &GatewayState,
    request: &AttemptRequest<'_>,
    placement: &Placement,
) -> Request<Full<Bytes>> {
    let names = &state.headers;
    let mut message = Request::new(Full::new(request.body.clone()));
    *message.method_mut() = request.head.method.clone();
    *message.uri_mut() = request.head.uri.clone();
    let headers = message.headers_mut();
    *headers = request.head.headers.clone();
    let left = request.deadline.saturating_duration_since(Instant::now());
    set_text(headers, &names.deadline_ms, &left.as_millis().to_string());
    set_text(headers, &names.expected_upstream, &placement.upstream);
    if let Some(customer) = request.customer {
        headers.insert(names.customer.clone(), customer.clone());
    }
    if let Some(priority) = request.engine_priority {
        set_text(headers, &names.engine_priority, &priority.to_string());
    }
    if let Some(id) = request.last_event_id {
        set_text(headers, &HeaderName::from_static(LAST_EVENT_ID), id);
    }
    message
}

fn set_text(headers: &mut HeaderMap, name: &HeaderName, text: &str) {
    match HeaderValue::from_str(text) {
        Ok(value) => {
            headers.insert(name.clone(), value);
        }
        Err(_) => log::warn!("header {name} cannot carry its value"),
    }
}

/// Accepts an answer only if it belongs to this request and the upstream ran the request.
fn check_answer(
    state: &GatewayState,
    request: &AttemptRequest<'_>,
    connection: PooledConnection,
    response: Response<Incoming>,
) -> Result<AttemptAnswer, AttemptFailure> {
    let names = &state.headers;
    let headers = response.headers();
    let id = headers.get(&names.attempt_id);
    if id.is_some_and(|id| *id != request.head.attempt_id) {
        return Err(AttemptFailure::new(
            FlightOutcome::Lost,
            "answer belongs to another request",
        ));
    }
    let status = response.status();
    if status == StatusCode::MISDIRECTED_REQUEST || headers.contains_key(&names.not_run) {
        let reason = format!("upstream refused the request with status {status}");
        return Err(AttemptFailure::new(FlightOutcome::Refused, reason));
    }
    if id.is_none() {
        return Err(AttemptFailure::new(
            FlightOutcome::Lost,
            "answer names no request",
        ));
    }
    if status.is_success() && !headers.contains_key(&names.answer_seal) {
        return Err(AttemptFailure::new(
            FlightOutcome::Lost,
            "answer has no proof of its upstream",
        ));
    }
    if headers.contains_key(header::CONTENT_ENCODING) {
        return Err(AttemptFailure::new(
            FlightOutcome::Lost,
            "answer has an unexpected encoding",
        ));
    }
    Ok(AttemptAnswer {
        connection,
        response,
    })
}
