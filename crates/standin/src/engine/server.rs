//! HTTP interface of the engine stand-in.

use std::{collections::VecDeque, sync::Arc};

use axum::{
    Json, Router,
    body::Body,
    extract::{ConnectInfo, DefaultBodyLimit, FromRef, State},
    http::{StatusCode, header::CONTENT_TYPE},
    response::{IntoResponse, Response},
    routing::{get, post},
};
use serde::Deserialize;
use serde_json::json;
use tokio::sync::{Notify, mpsc::UnboundedReceiver};

use crate::{
    connection::StreamAbortHandle,
    engine::{
        EngineCounts, EngineFaults, LoadReport, Prompt,
        batch::BatchRequest,
        chunk::{ChunkWriter, finish_reason, usage},
        fault::ResponseFault,
        handle::EngineShared,
    },
};

/// Maximum size of a request body, in bytes.
const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;

/// Token limit of a completion if the request sets none.
const DEFAULT_MAX_TOKENS: u64 = 256;

#[derive(Deserialize)]
struct CompletionRequest {
    model: String,
    messages: Vec<ChatMessage>,
    max_tokens: Option<u64>,
    #[serde(default)]
    stream: bool,
    /// Requests with lower values run first.
    #[serde(default)]
    priority: i32,
    /// The index of the first token to generate; another engine delivered the earlier ones.
    #[serde(default)]
    x_resume_from: u64,
    /// The completion text before that token, verified if present.
    x_resume_text: Option<String>,
}

#[derive(Deserialize)]
struct ChatMessage {
    content: String,
}

#[derive(Clone)]
struct ServerState {
    shared: EngineShared,
    faults_changed: Arc<Notify>,
}

impl FromRef<ServerState> for EngineShared {
    fn from_ref(state: &ServerState) -> Self {
        state.shared.clone()
    }
}

pub(crate) fn build(shared: EngineShared, faults_changed: Arc<Notify>) -> Router {
    Router::new()
        .route("/v1/chat/completions", post(create_completion))
        .route("/load", get(show_load))
        .route("/faults", post(set_faults).get(show_faults))
        .route("/counts", get(show_counts))
        .layer(DefaultBodyLimit::max(MAX_BODY_BYTES))
        .with_state(ServerState {
            shared,
            faults_changed,
        })
}

async fn create_completion(
    State(shared): State<EngineShared>,
    ConnectInfo(abort_handle): ConnectInfo<StreamAbortHandle>,
    Json(request): Json<CompletionRequest>,
) -> Response {
    let contents: Vec<&str> = request
        .messages
        .iter()
        .map(|m| m.content.as_str())
        .collect();
    let prompt = Arc::new(Prompt::new(contents.join("\n")));
    let end = prompt
        .completion_length
        .min(request.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS));
    if let Err(message) = check_resume(&request, &prompt, end) {
        return error_response(StatusCode::BAD_REQUEST, message);
    }
    let run = BatchRequest {
        prompt: prompt.clone(),
        from: request.x_resume_from,
        end,
        priority: request.priority,
    };
    let (tokens, fault) = {
        let mut batch = shared.batch.lock();
        let fault = batch.faults.take_response_fault(request.stream);
        (batch.push(run), fault)
    };
    let Some(tokens) = tokens else {
        return error_response(StatusCode::SERVICE_UNAVAILABLE, "too many requests wait");
    };
    shared.work_added.notify_one();
    let writer = ChunkWriter {
        id: format!("chatcmpl-{:016x}", prompt.id()),
        model: json!(request.model).to_string(),
        from: request.x_resume_from,
        prompt,
        end,
        tokens,
        fault,
        abort_handle,
        pending_frames: VecDeque::new(),
        delayed: None,
        written: 0,
        ended: false,
    };
    match request.stream {
        true => stream_response(writer),
        false => json_response(writer, &request.model).await,
    }
}

fn check_resume(
    request: &CompletionRequest,
    prompt: &Prompt,
    end: u64,
) -> Result<(), &'static str> {
    let from = request.x_resume_from;
    if from > end {
        return Err("x_resume_from is behind the end of the answer");
    }
    match &request.x_resume_text {
        Some(text) if *text != prompt.completion(from) => {
            Err("x_resume_text is not the beginning of the answer")
        }
        _ => Ok(()),
    }
}

fn stream_response(writer: ChunkWriter) -> Response {
    let body = Body::from_stream(writer.into_stream());
    ([(CONTENT_TYPE, "text/event-stream")], body).into_response()
}

async fn json_response(mut writer: ChunkWriter, model: &str) -> Response {
    let received = count_tokens(&mut writer.tokens).await;
    let lost = matches!(writer.fault, ResponseFault::ResetAfter(_));
    if lost || writer.from + received < writer.end {
        writer.abort_handle.abort().await;
    }
    let prompt = &writer.prompt;
    let all = prompt.completion(writer.end);
    let content = &all[prompt.completion(writer.from).len()..];
    Json(json!({
        "id": writer.id,
        "object": "chat.completion",
        "created": 0,
        "model": model,
        "choices": [{
            "index": 0,
            "message": {"role": "assistant", "content": content},
            "finish_reason": finish_reason(prompt, writer.end),
        }],
        "usage": usage(prompt, writer.end),
    }))
    .into_response()
}

async fn count_tokens(tokens: &mut UnboundedReceiver<u64>) -> u64 {
    let mut count = 0;
    while tokens.recv().await.is_some() {
        count += 1;
    }
    count
}

fn error_response(status: StatusCode, message: &str) -> Response {
    (status, Json(json!({"error": {"message": message}}))).into_response()
}

async fn show_load(State(shared): State<EngineShared>) -> Json<LoadReport> {
    Json(shared.batch.lock().visible_load())
}

async fn set_faults(
    State(state): State<ServerState>,
    Json(faults): Json<EngineFaults>,
) -> StatusCode {
    state.shared.set_faults(faults);
    state.faults_changed.notify_one();
    StatusCode::NO_CONTENT
}

async fn show_faults(State(shared): State<EngineShared>) -> Json<EngineFaults> {
    Json(shared.batch.lock().faults.clone())
}

async fn show_counts(State(shared): State<EngineShared>) -> Json<EngineCounts> {
    Json(shared.batch.lock().counts)
}
