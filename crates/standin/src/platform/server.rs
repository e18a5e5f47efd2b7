//! HTTP interface of the platform stand-in.

use std::time::Duration;

use axum::{
    Json, Router,
    extract::{ConnectInfo, DefaultBodyLimit, Path, Query, State},
    http::StatusCode,
    response::{IntoResponse, Response},
    routing::{get, post},
};
use bytes::Bytes;
use cornelarch_platform::{InstanceEntry, VersionedValue, store::MAX_VALUE_BYTES};
use serde::{Deserialize, Serialize};
use serde_json::{json, value::RawValue};
use tokio::time::Instant;

use crate::{
    connection::StreamAbortHandle,
    platform::{
        PlatformFaults,
        handle::PlatformShared,
        state::{CallKind, WriteCall, WriteOutcome},
    },
};

/// Maximum wait time of a watch.
const MAX_WATCH_TIMEOUT: Duration = Duration::from_secs(300);

#[derive(Deserialize)]
struct WriteQuery {
    if_version: u64,
}

#[derive(Deserialize)]
struct ListQuery {
    #[serde(default)]
    prefix: String,
    #[serde(default)]
    after: String,
}

#[derive(Deserialize)]
struct WatchQuery {
    after: u64,
    timeout_ms: u64,
}

#[derive(Serialize)]
struct ObjectResponse<'a> {
    version: u64,
    value: &'a RawValue,
}

pub(crate) fn build(shared: PlatformShared) -> Router {
    let objects = get(read_object).put(write_object).delete(delete_object);
    Router::new()
        .route("/v1/objects/{*key}", objects)
        .route("/v1/list", get(list_objects))
        .route("/v1/watch/{*key}", get(watch_object))
        .route("/v1/instances", get(list_instances))
        .route("/instances", post(set_instances))
        .route("/faults", post(set_faults).get(show_faults))
        .route("/release", post(release_held))
        .route("/counts", get(show_counts))
        // Slightly above the value limit, so that a value that is too large is rejected by the
        // write itself with status 413.
        .layer(DefaultBodyLimit::max(MAX_VALUE_BYTES + 64 * 1024))
        .with_state(shared)
}

/// Applies the delay, the outage and the rate limit, in this order.
async fn admit(shared: &PlatformShared, kind: CallKind) -> Result<(), Response> {
    let slow_ms = shared.state.lock().faults.slow_ms;
    if slow_ms > 0 {
        tokio::time::sleep(Duration::from_millis(slow_ms)).await;
    }
    let mut state = shared.state.lock();
    if state.faults.outage {
        state.counts.outage_refused += 1;
        return Err(StatusCode::SERVICE_UNAVAILABLE.into_response());
    }
    match state.admit(kind) {
        true => Ok(()),
        false => Err(StatusCode::TOO_MANY_REQUESTS.into_response()),
    }
}

async fn read_object(State(shared): State<PlatformShared>, Path(key): Path<String>) -> Response {
    if let Err(response) = admit(&shared, CallKind::Read).await {
        return response;
    }
    let mut state = shared.state.lock();
    state.counts.reads += 1;
    match state.get(&key) {
        Some(value) => object_response(&value),
        None => StatusCode::NOT_FOUND.into_response(),
    }
}

async fn write_object(
    State(shared): State<PlatformShared>,
    ConnectInfo(abort_handle): ConnectInfo<StreamAbortHandle>,
    Path(key): Path<String>,
    Query(query): Query<WriteQuery>,
    value: Bytes,
) -> Response {
    if serde_json::from_slice::<&RawValue>(&value).is_err() {
        return StatusCode::BAD_REQUEST.into_response();
    }
    let call = WriteCall {
        key,
        expected_version: query.if_version,
        value: Some(value),
    };
    run_write(&shared, &abort_handle, call).await
}

async fn delete_object(
    State(shared): State<PlatformShared>,
    ConnectInfo(abort_handle): ConnectInfo<StreamAbortHandle>,
    Path(key): Path<String>,
    Query(query): Query<WriteQuery>,
) -> Response {
    let call = WriteCall {
        key,
        expected_version: query.if_version,
        value: None,
    };
    run_write(&shared, &abort_handle, call).await
}

/// Executes a write, subject to the faults that hold it or drop its response.
async fn run_write(
    shared: &PlatformShared,
    abort_handle: &StreamAbortHandle,
    call: WriteCall,
) -> Response {
    if let Err(response) = admit(shared, CallKind::Write).await {
        return response;
    }
    match apply_write(shared, call) {
        Some(outcome) => write_response(outcome),
        None => abort_handle.abort().await,
    }
}

/// Executes or holds a write; returns `None` if the connection must be aborted instead of answered.
fn apply_write(shared: &PlatformShared, call: WriteCall) -> Option<WriteOutcome> {
    let mut state = shared.state.lock();
    if state.faults.held_writes > 0 {
        state.faults.held_writes -= 1;
        state.held_calls.push_back(call);
        return None;
    }
    let outcome = state.write(call);
    let response_lost = state.faults.lost_answers > 0;
    state.faults.lost_answers = state.faults.lost_answers.saturating_sub(1);
    drop(state);
    shared.changed.send_replace(());
    (!response_lost).then_some(outcome)
}

async fn list_objects(
    State(shared): State<PlatformShared>,
    Query(query): Query<ListQuery>,
) -> Response {
    if let Err(response) = admit(&shared, CallKind::Read).await {
        return response;
    }
    let mut state = shared.state.lock();
    state.counts.reads += 1;
    let entries: Vec<_> = state
        .list(&query.prefix, &query.after)
        .into_iter()
        .map(|(key, version)| json!({"key": key, "version": version}))
        .collect();
    Json(json!({"entries": entries})).into_response()
}

async fn watch_object(
    State(shared): State<PlatformShared>,
    Path(key): Path<String>,
    Query(query): Query<WatchQuery>,
) -> Response {
    if let Err(response) = admit(&shared, CallKind::Read).await {
        return response;
    }
    let _open = OpenWatch::new(&shared);
    let mut changed = shared.changed.subscribe();
    let wait = Duration::from_millis(query.timeout_ms).min(MAX_WATCH_TIMEOUT);
    let deadline = Instant::now() + wait;
    loop {
        {
            let state = shared.state.lock();
            match state.get(&key) {
                _ if state.faults.outage => return StatusCode::SERVICE_UNAVAILABLE.into_response(),
                Some(value) if value.version > query.after => return object_response(&value),
                _ => {}
            }
        }
        match tokio::time::timeout_at(deadline, changed.changed()).await {
            Ok(Ok(())) => {}
            _ => return StatusCode::NO_CONTENT.into_response(),
        }
    }
}

async fn list_instances(State(shared): State<PlatformShared>) -> Response {
    if let Err(response) = admit(&shared, CallKind::Read).await {
        return response;
    }
    let mut state = shared.state.lock();
    state.counts.reads += 1;
    Json(json!({"instances": state.instances()})).into_response()
}

async fn set_instances(
    State(shared): State<PlatformShared>,
    Json(entries): Json<Vec<InstanceEntry>>,
) {
    shared.state.lock().set_instances(entries);
}

/// Replaces the faults. `unreachable` is rejected, because it could not be cleared over HTTP.
async fn set_faults(
    State(shared): State<PlatformShared>,
    Json(faults): Json<PlatformFaults>,
) -> StatusCode {
    if faults.unreachable {
        return StatusCode::BAD_REQUEST;
    }
    shared.set_faults(faults);
    StatusCode::NO_CONTENT
}

async fn show_faults(State(shared): State<PlatformShared>) -> Response {
    Json(shared.state.lock().faults.clone()).into_response()
}

async fn release_held(State(shared): State<PlatformShared>) -> Response {
    Json(json!({"released": shared.release_held()})).into_response()
}

async fn show_counts(State(shared): State<PlatformShared>) -> Response {
    Json(shared.state.lock().counts).into_response()
}

/// Counts a watch as open until it is dropped, including when its caller disconnects.
struct OpenWatch(PlatformShared);

impl OpenWatch {
    fn new(shared: &PlatformShared) -> Self {
        let mut state = shared.state.lock();
        state.counts.watches += 1;
        state.counts.watches_open += 1;
        drop(state);
        Self(shared.clone())
    }
}

impl Drop for OpenWatch {
    fn drop(&mut self) {
        self.0.state.lock().counts.watches_open -= 1;
    }
}

fn object_response(value: &VersionedValue) -> Response {
    match serde_json::from_slice(&value.value) {
        Ok(raw) => Json(ObjectResponse {
            version: value.version,
            value: raw,
        })
        .into_response(),
        Err(_) => StatusCode::INTERNAL_SERVER_ERROR.into_response(),
    }
}

fn write_response(outcome: WriteOutcome) -> Response {
    match outcome {
        WriteOutcome::Written(version) => Json(json!({"version": version})).into_response(),
        WriteOutcome::Conflict(version) => {
            (StatusCode::CONFLICT, Json(json!({"version": version}))).into_response()
        }
        WriteOutcome::NotFound => StatusCode::NOT_FOUND.into_response(),
        WriteOutcome::TooLarge => StatusCode::PAYLOAD_TOO_LARGE.into_response(),
    }
}
