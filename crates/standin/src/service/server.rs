//! HTTP interface of the service stand-in.

use std::{collections::BTreeMap, convert::Infallible, time::Duration};

use axum::{
    Json, Router,
    body::Body,
    extract::{ConnectInfo, State},
    http::{HeaderMap, Method, StatusCode, Uri},
    response::{IntoResponse, Response},
    routing::get,
};
use bytes::Bytes;
use futures_util::stream;
use serde::Deserialize;
use serde_json::{Value, json};
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    connection::StreamAbortHandle,
    engine::LoadReport,
    service::{
        ServiceCounts, ServiceFaults,
        fault::CallFault,
        handle::{ServiceShared, ServiceState},
    },
};

/// Header with the fencing number of an order.
pub const FENCE_HEADER: &str = "x-cornelarch-fence";

/// Text in the body of a call that crashes the service when it runs the call.
pub const CRASH_MARKER: &str = "[crash]";

#[derive(Deserialize)]
struct OrderBody {
    /// The id under which executions are counted.
    order: String,
}

pub(crate) fn build(shared: ServiceShared) -> Router {
    Router::new()
        .route("/load", get(show_load))
        .route("/faults", get(show_faults).post(set_faults))
        .route("/counts", get(show_counts))
        .route("/executions", get(show_executions))
        .fallback(run_call)
        .with_state(shared)
}

/// Returns the response body for a lookup of a path with its query.
#[must_use]
pub fn lookup_response(path_and_query: &str) -> Value {
    let digest = format!("{:016x}", xxh3_64(path_and_query.as_bytes()));
    json!({"lookup": path_and_query, "value": digest})
}

async fn run_call(
    State(shared): State<ServiceShared>,
    ConnectInfo(abort_handle): ConnectInfo<StreamAbortHandle>,
    method: Method,
    uri: Uri,
    headers: HeaderMap,
    body: Bytes,
) -> Response {
    let _running = RunningCall::new(&shared);
    let (fault, slow_ms) = {
        let mut state = shared.state.lock();
        let leaving = state.faults.leaving;
        state.counts.received += 1;
        state.counts.received_leaving += u64::from(leaving);
        (state.faults.take_call_fault(), state.faults.slow_ms)
    };
    if fault == CallFault::ResetBeforeRun {
        abort_handle.abort().await;
    }
    let (status, response_body) = match method {
        Method::GET | Method::HEAD => run_lookup(&shared, &uri),
        _ => run_order(&shared, &headers, &body),
    };
    if body
        .windows(CRASH_MARKER.len())
        .any(|text| text == CRASH_MARKER.as_bytes())
    {
        shared.state.lock().counts.crashes += 1;
        shared.crashed.notify_one();
        abort_handle.abort().await;
    }
    tokio::time::sleep(shared.options.call_duration + Duration::from_millis(slow_ms)).await;
    match fault {
        CallFault::None => (status, Json(response_body)).into_response(),
        CallFault::ResetMidAnswer => truncated_response(abort_handle, &response_body),
        CallFault::ResetBeforeRun | CallFault::ResetAfterRun => abort_handle.abort().await,
    }
}

fn run_lookup(shared: &ServiceShared, uri: &Uri) -> (StatusCode, Value) {
    let path = uri.path_and_query().map_or("/", |path| path.as_str());
    let mut state = shared.state.lock();
    state.counts.lookups += 1;
    *state.lookups.entry(path.to_owned()).or_default() += 1;
    (StatusCode::OK, lookup_response(path))
}

/// Executes an order. The execution is counted first, so that an order whose response is lost
/// counts as executed.
fn run_order(shared: &ServiceShared, headers: &HeaderMap, body: &[u8]) -> (StatusCode, Value) {
    let Ok(order) = serde_json::from_slice::<OrderBody>(body) else {
        return (
            StatusCode::BAD_REQUEST,
            json!({"error": "body has no order"}),
        );
    };
    let mut state = shared.state.lock();
    if shared.options.fencing && !check_fence(&mut state, &order.order, headers) {
        state.counts.fenced += 1;
        return (
            StatusCode::CONFLICT,
            json!({"error": "fencing number is old"}),
        );
    }
    state.counts.orders += 1;
    let count = state.executions.entry(order.order.clone()).or_default();
    *count += 1;
    (
        StatusCode::OK,
        json!({"order": order.order, "execution": *count}),
    )
}

/// Returns whether the fencing number is at least the highest one seen for this order; a call
/// without a valid number is rejected.
fn check_fence(state: &mut ServiceState, order: &str, headers: &HeaderMap) -> bool {
    let fence = headers
        .get(FENCE_HEADER)
        .and_then(|value| value.to_str().ok());
    let Some(fence) = fence.and_then(|text| text.parse::<u64>().ok()) else {
        return false;
    };
    let highest = state.fences.entry(order.to_owned()).or_default();
    let accepted = fence >= *highest;
    *highest = fence.max(*highest);
    accepted
}

/// Responds with the first half of the body and then aborts the connection.
fn truncated_response(abort_handle: StreamAbortHandle, response_body: &Value) -> Response {
    let text = response_body.to_string();
    let half = Bytes::copy_from_slice(&text.as_bytes()[..text.len() / 2]);
    let length = text.len();
    let body = Body::from_stream(stream::unfold(Some(half), move |half| {
        let abort_handle = abort_handle.clone();
        async move {
            match half {
                Some(half) => Some((Ok::<_, Infallible>(half), None)),
                None => {
                    // The server flushes its write buffer when the body returns `Pending`.
                    tokio::task::yield_now().await;
                    abort_handle.abort().await
                }
            }
        }
    }));
    ([("content-length", length.to_string())], body).into_response()
}

async fn show_load(State(shared): State<ServiceShared>) -> Json<LoadReport> {
    let state = shared.state.lock();
    Json(LoadReport {
        running: state.running,
        batch_limit: shared.options.concurrency,
        leaving: state.faults.leaving,
        ..LoadReport::default()
    })
}

async fn set_faults(
    State(shared): State<ServiceShared>,
    Json(faults): Json<ServiceFaults>,
) -> StatusCode {
    shared.state.lock().faults = faults;
    shared.faults_changed.notify_one();
    StatusCode::NO_CONTENT
}

async fn show_faults(State(shared): State<ServiceShared>) -> Json<ServiceFaults> {
    Json(shared.state.lock().faults.clone())
}

async fn show_counts(State(shared): State<ServiceShared>) -> Json<ServiceCounts> {
    Json(shared.state.lock().counts)
}

async fn show_executions(State(shared): State<ServiceShared>) -> Json<BTreeMap<String, u64>> {
    Json(shared.state.lock().executions.clone())
}

/// Counts a call as running until it is dropped, including when its caller disconnects.
struct RunningCall(ServiceShared);

impl RunningCall {
    fn new(shared: &ServiceShared) -> Self {
        shared.state.lock().running += 1;
        Self(shared.clone())
    }
}

impl Drop for RunningCall {
    fn drop(&mut self) {
        self.0.state.lock().running -= 1;
    }
}
