//! One attempt at one upstream, up to the response head.

use std::{io, sync::Arc, time::Duration};

use bytes::Bytes;
use cornelarch_core::{
    base::CustomerName,
    placement::{FlightOutcome, Placement},
    retry::is_final_status,
};
use http::{HeaderMap, HeaderName, HeaderValue, Request, Response, StatusCode, header};
use http_body_util::Full;
use hyper::body::Incoming;
use tokio::time::{Instant, timeout_at};

use crate::{
    connection::{PooledConnection, SendFailure},
    process::{GatewayState, TimedStage, log_event},
    request::{
        head::{LAST_EVENT_ID, RequestHead, read_notice},
        in_flight::InFlightRequest,
    },
};

/// Connect timeout: allows for several round trips between domains and the handshake of a busy
/// upstream.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Connections tried per attempt: idle ones may turn out to be closed before anything was sent.
const CONNECTION_TRIES_MAX: u32 = 3;

/// How an attempt without a usable response ended.
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

/// Response of an upstream whose body is not read yet.
pub(crate) struct AttemptResponse {
    pub(crate) connection: PooledConnection,
    pub(crate) response: Response<Incoming>,
}

/// Contents and time limits of the request that an attempt sends.
pub(crate) struct AttemptRequest<'a> {
    pub(crate) head: &'a RequestHead,
    pub(crate) body: &'a Bytes,
    /// Name of the customer, if the route requires one.
    pub(crate) customer: Option<&'a CustomerName>,
    /// Scheduling priority at engines.
    pub(crate) engine_priority: Option<u8>,
    /// Id of the event after which the stream resumes.
    pub(crate) last_event_id: Option<&'a HeaderValue>,
    /// Deadline stated to the upstream: that of the caller or the route.
    pub(crate) deadline: Instant,
    /// Leaves time for another attempt if one is allowed.
    pub(crate) attempt_deadline: Instant,
}

/// Sends a request to an upstream and waits for the response head.
///
/// # Errors
///
/// Returns how the attempt failed, which also tells whether the upstream may have run the request.
pub(crate) async fn send_attempt(
    state: &Arc<GatewayState>,
    request: &AttemptRequest<'_>,
    placement: &Placement,
    flight: &InFlightRequest,
) -> Result<AttemptResponse, AttemptFailure> {
    for _ in 0..CONNECTION_TRIES_MAX {
        let mut connection = open_connection(state, request, placement).await?;
        // The upstream may have started to leave or to pause while the connection was opened.
        if !state.placement.lock().accepts(flight.key, state.now()) {
            return Err(AttemptFailure::new(
                FlightOutcome::NotSent,
                "upstream accepts no requests any more",
            ));
        }
        let outgoing = build_request(state, request, placement);
        let is_first = connection.is_unused;
        let sent = timeout_at(request.attempt_deadline, connection.send(outgoing)).await;
        match sent {
            Ok(Ok(response)) => {
                flight.record_load(response.headers());
                return check_response(state, request, flight, connection, response, is_first);
            }
            Ok(Err(SendFailure::NotSent)) => {}
            Ok(Err(SendFailure::Unknown(reason))) => {
                return Err(AttemptFailure::new(FlightOutcome::Lost, reason));
            }
            Err(_) => {
                return Err(AttemptFailure::new(
                    FlightOutcome::TimedOut,
                    "no response before the deadline of the attempt",
                ));
            }
        }
    }
    Err(AttemptFailure::new(
        FlightOutcome::NotReached,
        "upstream closed every connection before the request was sent",
    ))
}

async fn open_connection(
    state: &GatewayState,
    request: &AttemptRequest<'_>,
    placement: &Placement,
) -> Result<PooledConnection, AttemptFailure> {
    let remaining = request
        .attempt_deadline
        .saturating_duration_since(Instant::now());
    let timeout = CONNECT_TIMEOUT.min(remaining);
    let opened = state
        .pool
        .open(&placement.upstream, placement.address, timeout);
    let began = Instant::now();
    let opened = opened.await;
    if !opened
        .as_ref()
        .is_ok_and(|connection| !connection.is_unused)
    {
        let error = opened.as_ref().err();
        record_connect(state, placement, began.elapsed(), error);
    }
    opened.map_err(|error| {
        // A connection that is slow because of the own path says nothing about the upstream.
        let is_own = is_unanswered(&error) && state.pressure.lock().is_congested();
        let end = match is_own {
            true => FlightOutcome::NotSent,
            false => FlightOutcome::NotReached,
        };
        AttemptFailure::new(end, error.to_string())
    })
}

/// Returns whether an upstream has not answered the attempt to open a connection.
fn is_unanswered(error: &io::Error) -> bool {
    error.kind() == io::ErrorKind::TimedOut
}

fn record_connect(
    state: &GatewayState,
    placement: &Placement,
    elapsed: Duration,
    error: Option<&io::Error>,
) {
    state.metrics.observe(TimedStage::Connect, elapsed);
    let answered = (!error.is_some_and(is_unanswered)).then_some(elapsed);
    let is_near = {
        let table = state.placement.lock();
        let record = table.record(placement.key);
        record.is_some_and(|record| record.domain == state.settings.domain)
    };
    let mut pressure = state.pressure.lock();
    let away = pressure.record_connect(answered, is_near, state.now());
    drop(pressure);
    if let Some(hold) = away {
        log_event!(PathCongested, "away_s={}", hold.as_secs());
    }
}

fn build_request(
    state: &GatewayState,
    request: &AttemptRequest<'_>,
    placement: &Placement,
) -> Request<Full<Bytes>> {
    let names = &state.headers;
    let mut outgoing = Request::new(Full::new(request.body.clone()));
    *outgoing.method_mut() = request.head.method.clone();
    *outgoing.uri_mut() = request.head.uri.clone();
    let headers = outgoing.headers_mut();
    *headers = request.head.headers.clone();
    let remaining = request.deadline.saturating_duration_since(Instant::now());
    set_text(
        headers,
        &names.deadline_ms,
        &remaining.as_millis().to_string(),
    );
    set_text(headers, &names.expected_upstream, &placement.upstream);
    if let Some(customer) = request.customer {
        set_text(headers, &names.customer, customer);
    }
    if let Some(priority) = request.engine_priority {
        set_text(headers, &names.engine_priority, &priority.to_string());
    }
    if let Some(id) = request.last_event_id {
        headers.insert(HeaderName::from_static(LAST_EVENT_ID), id.clone());
    }
    outgoing
}

fn set_text(headers: &mut HeaderMap, name: &HeaderName, text: &str) {
    match HeaderValue::from_str(text) {
        Ok(value) => {
            headers.insert(name.clone(), value);
        }
        Err(_) => log::warn!("header {name} is omitted because its value is invalid"),
    }
}

/// Accepts a response only if it belongs to this request and the upstream ran the request.
/// `is_first` tells that it is the first one on its connection.
fn check_response(
    state: &GatewayState,
    request: &AttemptRequest<'_>,
    flight: &InFlightRequest,
    connection: PooledConnection,
    response: Response<Incoming>,
    is_first: bool,
) -> Result<AttemptResponse, AttemptFailure> {
    let names = &state.headers;
    let headers = response.headers();
    let id = headers.get(&names.attempt_id);
    if id.is_some_and(|id| *id != request.head.attempt_id) {
        return Err(AttemptFailure::new(
            FlightOutcome::Lost,
            "response carries the id of another request",
        ));
    }
    // On a kept connection, it may be an earlier response that the upstream sends once more.
    if id.is_none() && !is_first {
        return Err(AttemptFailure::new(
            FlightOutcome::Lost,
            "response on a kept connection carries no request id",
        ));
    }
    let status = response.status();
    if !is_final_status(status.as_u16()) {
        return Err(AttemptFailure::new(
            FlightOutcome::Lost,
            format!("response has the status {}", status.as_u16()),
        ));
    }
    // Another upstream may have answered at the address of the expected one.
    if status != StatusCode::MISDIRECTED_REQUEST {
        flight.record_notice(&read_notice(status, headers, names));
    }
    if status == StatusCode::MISDIRECTED_REQUEST || headers.contains_key(&names.not_run) {
        let reason = format!("upstream refused the request with status {status}");
        return Err(AttemptFailure::new(FlightOutcome::Refused, reason));
    }
    if id.is_none() {
        return Err(AttemptFailure::new(
            FlightOutcome::Lost,
            "response carries no request id",
        ));
    }
    if status.is_success() && !headers.contains_key(&names.response_seal) {
        return Err(AttemptFailure::new(
            FlightOutcome::Lost,
            "response does not prove that the upstream produced it",
        ));
    }
    if headers.contains_key(header::CONTENT_ENCODING) {
        return Err(AttemptFailure::new(
            FlightOutcome::Lost,
            "response has an unexpected content encoding",
        ));
    }
    Ok(AttemptResponse {
        connection,
        response,
    })
}
