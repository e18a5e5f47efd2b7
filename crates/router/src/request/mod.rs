//! HTTP API for callers: chat completions, service calls and health checks.

mod attempt;
mod bill;
mod chat;
mod chat_body;
mod context;
mod order;
mod refusal;
mod service;
mod sse;
mod stream;

use std::sync::Arc;

use axum::{
    Json, Router,
    body::Body,
    extract::{Request, State},
    middleware,
    response::{IntoResponse, Response},
    routing::{any, get, post},
};
use cornelarch_core::error::ErrorKind;
use http::StatusCode;
use serde_json::json;

pub(crate) use refusal::RequestRefusal;

use crate::{
    connection::track_caller,
    process::{MetricName, RouterPhase, RouterState},
    request::context::RequestContext,
};

/// Builds the HTTP routes of the callers' listener.
pub(crate) fn build_callers(state: Arc<RouterState>) -> Router {
    Router::new()
        .route("/v1/chat/completions", post(chat::serve_chat))
        .route("/v1/models", get(list_models))
        .route("/services/{name}", any(service::serve_service))
        .route("/services/{name}/{*path}", any(service::serve_service))
        .route("/healthz", get(show_health))
        .route("/readyz", get(show_readiness))
        .fallback(refuse_path)
        .method_not_allowed_fallback(refuse_path)
        .layer(middleware::from_fn(track_caller))
        .with_state(state)
}

async fn show_health() -> &'static str {
    "ok\n"
}

async fn show_readiness(State(state): State<Arc<RouterState>>) -> Response {
    if state.phase() > RouterPhase::Serving {
        return (StatusCode::SERVICE_UNAVAILABLE, "draining\n").into_response();
    }
    match state.version.load().as_ref() {
        Some(version) => format!("ready with version {}\n", version.number).into_response(),
        None => (StatusCode::SERVICE_UNAVAILABLE, "no configuration\n").into_response(),
    }
}

async fn list_models(State(state): State<Arc<RouterState>>, request: Request<Body>) -> Response {
    state.metrics.count(MetricName::Requests);
    match RequestContext::open(&state, request.headers()) {
        Ok(context) => {
            let models = context.version.document.models.keys();
            let models = models.filter(|model| context.customer().models.allows(model));
            let data: Vec<_> = models
                .map(|model| json!({"id": model, "object": "model", "owned_by": "cornelarch"}))
                .collect();
            Json(json!({"object": "list", "data": data})).into_response()
        }
        Err(refusal) => refuse(&state, refusal),
    }
}

async fn refuse_path(State(state): State<Arc<RouterState>>, request: Request<Body>) -> Response {
    state.metrics.count(MetricName::Requests);
    let message = format!(
        "{} {} is not served",
        request.method(),
        request.uri().path()
    );
    refuse(&state, RequestRefusal::new(ErrorKind::UnknownPath, message))
}

/// Counts a refusal and turns it into a response.
pub(crate) fn refuse(state: &RouterState, refusal: RequestRefusal) -> Response {
    state.metrics.count(MetricName::Refusals);
    refusal.into_response()
}
