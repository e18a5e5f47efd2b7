//! HTTP interface for operators.

use std::sync::Arc;

use axum::{
    Json, Router,
    body::Body,
    extract::{Path, Request, State},
    middleware::{self, Next},
    response::{IntoResponse, Response},
    routing::{get, post},
};
use cornelarch_core::blocklist::Fingerprint;
use cornelarch_wire::peer::{WireBody, WireUnblock};
use http::{StatusCode, header::AUTHORIZATION};
use serde_json::{Value, json};
use subtle::ConstantTimeEq;

use crate::process::{MetricName, RouterState, dump, log_event};

/// Builds the HTTP interface for operators.
pub(crate) fn build_operator_app(state: Arc<RouterState>) -> Router {
    Router::new()
        .route("/dump", get(show_dump))
        .route("/status", get(show_status))
        .route("/unblock/{fingerprint}", post(unblock))
        .route("/metrics-names", get(list_metrics))
        .layer(middleware::from_fn_with_state(
            Arc::clone(&state),
            check_key,
        ))
        .with_state(state)
}

/// Rejects requests without the operator key.
async fn check_key(
    State(state): State<Arc<RouterState>>,
    request: Request<Body>,
    next: Next,
) -> Response {
    let header = request.headers().get(AUTHORIZATION);
    let key = header
        .and_then(|value| value.as_bytes().split_at_checked(b"Bearer ".len()))
        .filter(|(scheme, _)| scheme.eq_ignore_ascii_case(b"bearer "))
        .map_or(&b""[..], |(_, key)| key);
    let expected = state.settings.operator_key.as_bytes();
    // The comparison takes constant time; one that ended at the first difference would reveal the
    // length of the matching prefix.
    if !expected.is_empty() && bool::from(key.ct_eq(expected)) {
        return next.run(request).await;
    }
    log_event!(OperatorRefused, "{}", request.uri().path());
    let body = Json(json!({"error": {"message": "the operator key is missing or wrong"}}));
    (StatusCode::UNAUTHORIZED, body).into_response()
}

async fn show_dump(State(state): State<Arc<RouterState>>) -> Json<Value> {
    Json(dump::build_dump(&state).await)
}

async fn show_status(State(state): State<Arc<RouterState>>) -> Json<Value> {
    Json(dump::build_status(&state).await)
}

async fn list_metrics() -> Json<Value> {
    let names = MetricName::ALL.iter();
    let names: Vec<Value> = names
        .map(|name| json!({"name": name.text(), "kind": name.kind().as_str()}))
        .collect();
    Json(Value::Array(names))
}

async fn unblock(
    State(state): State<Arc<RouterState>>,
    Path(fingerprint): Path<String>,
) -> Response {
    let Ok(fingerprint) = fingerprint.parse::<Fingerprint>() else {
        let body = json!({"error": {"message": "the fingerprint must have 32 hexadecimal digits"}});
        return (StatusCode::BAD_REQUEST, Json(body)).into_response();
    };
    let reports = state.dispatcher.unblock(fingerprint, state.now());
    state.broadcast_reports(&reports);
    let message = WireUnblock::new(fingerprint.to_string());
    state.send_to_domain(&WireBody::Unblock(message));
    log_event!(RequestUnblocked, "{fingerprint}");
    Json(json!({"unblocked": fingerprint, "cleared": reports.crashes.len() + reports.content.losses.len()})).into_response()
}
