//! Chat completions: admission, JSON responses and billing.

use std::{sync::Arc, time::Duration};

use axum::{
    body::Body,
    extract::{Request, State},
    response::{IntoResponse, Response},
};
use bytes::{Bytes, BytesMut};
use cornelarch_core::{
    base::TokenCount,
    blocklist::Fingerprint,
    config::ModelSection,
    error::{ErrorKind, RunState},
    retry::AttemptOutcome,
    routing::{PrefixHint, RouteRequest, RouteTarget},
};
use http::{
    HeaderMap, HeaderValue, StatusCode,
    header::{CONTENT_TYPE, HeaderName},
};
use reqwest::Method;
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    process::{MetricName, RequestIdentity, RouterState, UpstreamAttempt},
    request::{
        RequestRefusal,
        attempt::{AttemptPlan, UpstreamCall, check_blocked, is_refusal},
        bill::{PartialCost, RequestBill},
        chat_body::ChatBody,
        context::RequestContext,
        refusal::{RUN_HEADER, run_value},
        refuse,
        sse::find_number,
        stream::start_stream,
    },
};

/// Path of the chat API of engines.
const CHAT_PATH: &str = "/v1/chat/completions";
/// Maximum size of a JSON response, in bytes.
const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;
/// Length of the prompt prefix that is hashed for prefix affinity, in bytes.
const PREFIX_BYTES: usize = 1_024;
/// Minimum prompt length for prefix affinity, in bytes. For shorter prompts a cache hit saves too
/// little to justify a more loaded upstream.
const MIN_PREFIX_BYTES: usize = 256;
/// Assumed bytes per token, for load and cost estimates.
const BYTES_PER_TOKEN: usize = 4;
/// Customer priority that is sent as engine priority 0, which is the default and therefore omitted.
const DEFAULT_PRIORITY: u64 = 5;

/// An admitted chat request.
pub(crate) struct ChatRequest {
    pub(crate) context: Arc<RequestContext>,
    pub(crate) body: ChatBody,
    pub(crate) model: ModelSection,
    pub(crate) max_tokens: u64,
    pub(crate) identity: RequestIdentity,
}

/// Serves `POST /v1/chat/completions`.
pub(crate) async fn serve_chat(
    State(state): State<Arc<RouterState>>,
    request: Request<Body>,
) -> Response {
    state.metrics.count(MetricName::Requests);
    match run_chat(&state, request).await {
        Ok(response) => response,
        Err(refusal) => refuse(&state, refusal),
    }
}

async fn run_chat(
    state: &Arc<RouterState>,
    request: Request<Body>,
) -> Result<Response, RequestRefusal> {
    let (parts, body) = request.into_parts();
    let context = RequestContext::open(state, &parts.headers)?;
    let body = ChatBody::parse(context.read_body(&parts.extensions, body).await?)?;
    let chat = ChatRequest::admit(context, body)?;
    check_blocked(&chat.context, &chat.identity)?;
    let partial = PartialCost::Tokens {
        prompt: chat.body.estimated_prompt_tokens(),
        delivered: 0,
    };
    let cost = chat.body.highest_cost(chat.max_tokens);
    let bill = chat.context.reserve(cost, partial).await?;
    if chat.body.stream {
        start_stream(chat, bill).await
    } else {
        run_json(&chat, bill).await
    }
}

impl ChatRequest {
    fn admit(context: RequestContext, body: ChatBody) -> Result<Self, RequestRefusal> {
        let model = context.version.document.models.get(&body.model);
        let model = model.cloned().ok_or_else(|| {
            let message = format!("model {:?} does not exist", body.model);
            RequestRefusal::new(ErrorKind::UnknownModel, message)
        })?;
        if !context.customer().models.allows(&body.model) {
            let message = format!("model {} is not permitted for this key", body.model);
            return Err(RequestRefusal::new(ErrorKind::UpstreamForbidden, message));
        }
        let limit = model.max_tokens_limit.get();
        let limit = context
            .customer()
            .max_tokens
            .map_or(limit, |own| own.get().min(limit));
        let default = model.max_tokens_default.get().min(limit);
        let max_tokens = body.max_tokens(default, limit)?;
        let customer = &context.owner.customer;
        let identity = RequestIdentity {
            fingerprint: Fingerprint::compute(customer, &body.model, body.received()),
            parts: body.message_keys(),
        };
        Ok(Self {
            context: Arc::new(context),
            body,
            model,
            max_tokens,
            identity,
        })
    }

    /// Creates the attempt plan, with routing hints for prompt length and prefix affinity.
    pub(crate) fn plan(&self) -> AttemptPlan {
        let context = &self.context;
        let mut route = RouteRequest::new(RouteTarget::Model(self.body.model.clone()));
        route.allowed = context.version.allowed_upstreams(&context.owner.customer);
        let prompt = self.body.prompt();
        route.prompt_tokens = u32::try_from(prompt.len() / BYTES_PER_TOKEN).unwrap_or(u32::MAX);
        route.answer_tokens = u32::try_from(self.max_tokens).unwrap_or(u32::MAX);
        if prompt.len() >= MIN_PREFIX_BYTES {
            let prefix = &prompt[..prompt.len().min(PREFIX_BYTES)];
            route.prefix = Some(PrefixHint {
                digest: xxh3_64(prefix),
                tokens: (prefix.len() / BYTES_PER_TOKEN) as u32,
            });
        }
        let cost = self.body.estimated_prompt_tokens() + self.max_tokens;
        let queue_wait = Duration::from_millis(self.model.queue_timeout_ms);
        let queue_deadline = context.state.now() + queue_wait;
        let identity = self.identity.clone();
        AttemptPlan::new(context, route, identity, cost, queue_deadline, true)
    }

    /// Returns the call for an engine. `resume` holds the next sequence number and the text
    /// delivered so far, from which the engine continues.
    pub(crate) fn call(&self, resume: Option<(u64, &[u8])>) -> UpstreamCall {
        let mut headers = HeaderMap::with_capacity(2);
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        // Engines run lower numbers first; in the configuration, higher numbers have priority.
        let priority = DEFAULT_PRIORITY as i64 - self.context.customer().priority as i64;
        let first_token = Duration::from_millis(self.model.first_token_timeout_ms);
        UpstreamCall {
            method: Method::POST,
            path: CHAT_PATH.to_owned(),
            headers,
            body: self.body.upstream_body(self.max_tokens, priority, resume),
            timeout: if self.body.stream {
                first_token
            } else {
                // A JSON response is sent only after its last token.
                self.context.deadline.since(self.context.state.now())
            },
        }
    }
}

/// Sends a request, with retries, and returns the JSON response.
async fn run_json(chat: &ChatRequest, mut bill: RequestBill) -> Result<Response, RequestRefusal> {
    let mut plan = chat.plan();
    loop {
        let attempt = plan.acquire().await?;
        let upstream = attempt.upstream().cloned();
        bill.mark_sent();
        let outcome = match plan.send(attempt, chat.call(None)).await {
            Ok((attempt, response)) if is_refusal(response.status()) => {
                attempt.finish(AttemptOutcome::Refused, false);
                AttemptOutcome::Refused
            }
            Ok((attempt, response)) => match read_response(chat, attempt, response).await {
                Ok((status, body)) => {
                    settle_json(chat, bill, status, &body);
                    return Ok(build_json_response(chat, status, body));
                }
                Err(outcome) => outcome,
            },
            Err(outcome) => outcome,
        };
        if outcome.run_state() == RunState::NotRun && !plan.may_have_run() {
            bill.mark_not_run();
        }
        plan.prepare_retry(upstream, outcome).await?;
    }
}

/// Reads the full body of a JSON response.
pub(crate) async fn read_response(
    chat: &ChatRequest,
    attempt: UpstreamAttempt,
    mut response: reqwest::Response,
) -> Result<(StatusCode, Bytes), AttemptOutcome> {
    let status = response.status();
    let deadline = chat.context.state.clock.instant(chat.context.deadline);
    let cancelled = attempt.cancel_token();
    let read = async {
        let mut body = BytesMut::new();
        while let Some(chunk) = response.chunk().await.map_err(|_| ())? {
            if body.len() + chunk.len() > MAX_RESPONSE_BYTES {
                return Err(());
            }
            body.extend_from_slice(&chunk);
        }
        Ok(body.freeze())
    };
    let outcome = tokio::select! {
    biased;
    result = tokio::time::timeout_at(deadline, read) => match result {
    Ok(Ok(body)) if !status.is_server_error() => {
    attempt.first_token();
    attempt.finish(AttemptOutcome::Answered, false);
    return Ok((status, body));
    }
    Ok(Ok(_)) => (AttemptOutcome::LostBeforeFirst, false),
    Ok(Err(())) => (AttemptOutcome::LostBeforeFirst, true),
    Err(_) => (AttemptOutcome::TimedOut, false),
    },
    () = cancelled.cancelled() => (AttemptOutcome::Cancelled, false),
    };
    attempt.finish(outcome.0, outcome.1);
    Err(outcome.0)
}

fn settle_json(chat: &ChatRequest, bill: RequestBill, status: StatusCode, body: &[u8]) {
    let actual = match (status.is_success(), read_usage(body)) {
        (_, Some(usage)) => usage,
        // Without usage data, the response is billed by its length, like a prompt.
        (true, None) => TokenCount::new(
            chat.body.estimated_prompt_tokens() + body.len().div_ceil(BYTES_PER_TOKEN) as u64,
        ),
        (false, None) => TokenCount::ZERO,
    };
    bill.settle(actual);
    chat.context.state.metrics.count(MetricName::Answers);
}

/// Builds the response to the caller and records its latency.
pub(crate) fn build_json_response(chat: &ChatRequest, status: StatusCode, body: Bytes) -> Response {
    let state = &chat.context.state;
    let latency = state.now().since(chat.context.started);
    state.metrics.time(MetricName::FirstByte, latency);
    let headers = [
        (CONTENT_TYPE, HeaderValue::from_static("application/json")),
        (
            HeaderName::from_static(RUN_HEADER),
            run_value(RunState::Ran),
        ),
    ];
    (status, headers, body).into_response()
}

/// Returns the total tokens that the engine reports in a JSON response or a final chunk.
pub(crate) fn read_usage(payload: &[u8]) -> Option<TokenCount> {
    let total = find_number(payload, "total_tokens").or_else(|| {
        let prompt = find_number(payload, "prompt_tokens")?;
        prompt.checked_add(find_number(payload, "completion_tokens")?)
    });
    total.map(TokenCount::new)
}
