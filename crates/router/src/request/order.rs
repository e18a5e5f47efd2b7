//! Orders: non-idempotent service calls, which run at most once per idempotency key.

use std::{
    sync::Arc,
    time::{SystemTime, UNIX_EPOCH},
};

use axum::{body::Body, response::Response};
use bytes::Bytes;
use cornelarch_core::{
    error::{ErrorKind, RunState},
    order::{
        LocalClaim, OrderCall, OrderEffect, OrderEvent, OrderRecord, RequestDigest, StoredAnswer,
        VersionedRecord, record_key,
    },
    retry::AttemptOutcome,
};
use cornelarch_platform::{ObjectStore, StoreError};
use http::{HeaderMap, HeaderName, HeaderValue, StatusCode};
use tokio::sync::oneshot;

use crate::{
    process::{MetricName, RouterState, log_event},
    request::{
        RequestRefusal,
        refusal::{RUN_HEADER, run_value},
        service::{ResponseBody, ServiceCall},
    },
};

/// Header with the caller's idempotency key.
const KEY_HEADER: &str = "idempotency-key";
/// Header with the fencing token of an order.
const FENCE_HEADER: &str = "x-cornelarch-fence";
/// Maximum length of an idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 256;

/// Result of an order for its caller.
type OrderReply = Result<Arc<StoredAnswer>, RequestRefusal>;

/// Runs an order and returns its reply. The outcome is recorded even if the caller disconnects.
pub(crate) async fn run_order(call: ServiceCall) -> Result<Response, RequestRefusal> {
    let key = read_key(&call.headers)?;
    let state = Arc::clone(&call.context.state);
    if !state.orders.take(state.now()) {
        let message = "the rate of calls that must not be repeated is used up";
        return Err(RequestRefusal::new(ErrorKind::RateLimited, message));
    }
    let (sender, receiver) = oneshot::channel();
    let run = OrderTask {
        object: record_key(
            &state.settings.environment,
            &call.context.owner.customer,
            &key,
        ),
        state: Arc::clone(&state),
        call: Some(call),
        reply: Some(sender),
        refusal: None,
    };
    state.spawn_request(run.run());
    match receiver.await {
        Ok(Ok(answer)) => Ok(build_response(&answer)),
        Ok(Err(refusal)) => Err(refusal),
        Err(_) => Err(RequestRefusal::new(ErrorKind::Internal, "the order failed")),
    }
}

/// Task that runs one order independently of the connection of its caller.
struct OrderTask {
    state: Arc<RouterState>,
    /// Object key of the order record in the platform store.
    object: String,
    /// The call; `None` after the reply was sent.
    call: Option<ServiceCall>,
    reply: Option<oneshot::Sender<OrderReply>>,
    /// Why the last attempt to send the call failed, with the delay for a retry.
    refusal: Option<RequestRefusal>,
}

impl OrderTask {
    async fn run(mut self) {
        let Some(call) = &self.call else {
            return;
        };
        let digest =
            RequestDigest::new(&call.service, call.method.as_str(), &call.path, &call.body);
        let created = SystemTime::now().duration_since(UNIX_EPOCH);
        let (mut order, mut effect) = OrderCall::open(
            self.state.orders.options(),
            self.state.holder.clone(),
            self.state.orders.new_claim_id(),
            digest,
            created.map_or(0, |time| time.as_secs()),
            self.state.now(),
        );
        self.state.orders.track(&order);
        loop {
            let Some(event) = self.run_effect(effect).await else {
                return;
            };
            effect = order.handle(event, self.state.now());
            self.state.orders.track(&order);
        }
    }

    /// Performs an effect and returns the resulting event, or `None` when the order is finished.
    async fn run_effect(&mut self, effect: OrderEffect) -> Option<OrderEvent> {
        Some(match effect {
            OrderEffect::WriteRecord {
                expected_version,
                record,
            } => self.write_record(expected_version, &record).await,
            OrderEffect::ReadRecord => self.read_record().await,
            OrderEffect::SendUpstream { fence } => self.send(fence).await,
            OrderEffect::WaitClaim(claim) => {
                let context = self.call.as_ref().map(|call| &call.context);
                let wait = context.map(|context| context.deadline.since(self.state.now()));
                match self
                    .state
                    .orders
                    .wait_claim(claim, wait.unwrap_or_default())
                    .await
                {
                    true => OrderEvent::ClaimEnded,
                    // Any event other than the end of the claim ends the wait with an unknown
                    // state.
                    false => OrderEvent::PauseEnded,
                }
            }
            OrderEffect::Answer(answer) => {
                self.send_reply(Ok(answer));
                OrderEvent::Delivered
            }
            OrderEffect::Refuse(kind) => {
                let refusal = match self.refusal.take() {
                    Some(refusal) => RequestRefusal { kind, ..refusal },
                    None => RequestRefusal::new(kind, default_message(kind)),
                };
                self.send_reply(Err(refusal));
                OrderEvent::Delivered
            }
            OrderEffect::Pause(pause) => {
                log_event!(OrderRecordFailed, "{}: retrying in {pause:?}", self.object);
                tokio::time::sleep(pause).await;
                OrderEvent::PauseEnded
            }
            OrderEffect::Done => return None,
        })
    }

    fn send_reply(&mut self, reply: OrderReply) {
        if reply.is_ok() {
            self.state.metrics.count(MetricName::Answers);
        }
        if let Some(sender) = self.reply.take() {
            // The channel is closed if the caller has disconnected.
            let _ = sender.send(reply);
        }
        // The request has ended; only the record remains to be written.
        self.call = None;
    }

    async fn write_record(&self, expected_version: u64, record: &OrderRecord) -> OrderEvent {
        let value = match serde_json::to_vec(record) {
            Ok(value) => Bytes::from(value),
            Err(_) => return OrderEvent::PlatformDown,
        };
        self.state.metrics.count(MetricName::PlatformCalls);
        let result = self
            .state
            .store
            .put(&self.object, expected_version, value)
            .await;
        match result {
            Ok(version) => OrderEvent::Written { version },
            Err(StoreError::Conflict { .. } | StoreError::NotFound { .. }) => OrderEvent::Conflict,
            Err(StoreError::Unknown { .. }) => OrderEvent::WriteUnknown,
            Err(
                StoreError::Unavailable { .. }
                | StoreError::RateLimited
                | StoreError::TooLarge { .. },
            ) => {
                self.state.metrics.count(MetricName::PlatformFailures);
                OrderEvent::PlatformDown
            }
        }
    }

    async fn read_record(&self) -> OrderEvent {
        self.state.metrics.count(MetricName::PlatformCalls);
        match self.state.store.get(&self.object).await {
            Ok(object) => match serde_json::from_slice::<OrderRecord>(&object.value) {
                Ok(record) => OrderEvent::RecordRead {
                    local: self.state.orders.lookup(record.claim),
                    record: Some(VersionedRecord {
                        version: object.version,
                        record,
                    }),
                },
                Err(error) => {
                    log_event!(OrderRecordFailed, "{}: {error}", self.object);
                    OrderEvent::PlatformDown
                }
            },
            Err(StoreError::NotFound { .. }) => OrderEvent::RecordRead {
                record: None,
                local: LocalClaim::Unknown,
            },
            Err(_) => {
                self.state.metrics.count(MetricName::PlatformFailures);
                OrderEvent::PlatformDown
            }
        }
    }

    /// Sends the call. An attempt is retried only if no connection was established.
    async fn send(&mut self, fence: u64) -> OrderEvent {
        let Some(call) = &self.call else {
            return OrderEvent::UpstreamNotReached(ErrorKind::Internal);
        };
        let result = send_once(call, fence).await;
        match result {
            Ok(answer) => {
                self.state.metrics.count(MetricName::Orders);
                OrderEvent::UpstreamAnswered(Arc::new(answer))
            }
            Err(refusal) => {
                let kind = refusal.kind;
                self.refusal = Some(refusal);
                match kind.answer().run {
                    RunState::NotRun => OrderEvent::UpstreamNotReached(kind),
                    RunState::Unknown | RunState::Ran => OrderEvent::UpstreamLost(kind),
                }
            }
        }
    }
}

async fn send_once(call: &ServiceCall, fence: u64) -> Result<StoredAnswer, RequestRefusal> {
    let mut bill = call.reserve().await?;
    let mut plan = call.plan(false);
    loop {
        let attempt = plan.acquire().await?;
        let upstream = attempt.upstream().cloned();
        let mut request = call.upstream_call();
        let fencing = upstream
            .as_ref()
            .and_then(|name| call.context.version.document.upstreams.get(name))
            .is_some_and(|section| section.fencing);
        if fencing {
            request
                .headers
                .insert(FENCE_HEADER, HeaderValue::from(fence));
        }
        bill.mark_sent();
        let outcome = match plan.send(attempt, request).await {
            Ok((attempt, response)) => match call.read_full(attempt, response).await {
                Ok(answer) => {
                    bill.settle(call.section.cost_per_call);
                    return Ok(answer);
                }
                Err(outcome) => outcome,
            },
            Err(outcome) => outcome,
        };
        if outcome == AttemptOutcome::NotReached && !plan.may_have_run() {
            bill.mark_not_run();
        }
        plan.prepare_retry(upstream, outcome).await?;
    }
}

impl ServiceCall {
    /// Reads the full response, which is stored in the order record.
    async fn read_full(
        &self,
        attempt: crate::process::UpstreamAttempt,
        response: reqwest::Response,
    ) -> Result<StoredAnswer, AttemptOutcome> {
        let answer = self.read_response(attempt, response).await?;
        let body = match answer.body {
            ResponseBody::Full(body) => body.to_vec(),
            ResponseBody::Partial(first, attempt, mut response) => {
                let mut body = first.to_vec();
                loop {
                    match response.chunk().await {
                        Ok(Some(chunk)) if body.len() < MAX_ORDER_RESPONSE_BYTES => {
                            body.extend_from_slice(&chunk);
                        }
                        Ok(None) => break,
                        Ok(Some(_)) | Err(_) => {
                            attempt.finish(AttemptOutcome::LostMidStream, false);
                            return Err(AttemptOutcome::LostMidStream);
                        }
                    }
                }
                attempt.finish(AttemptOutcome::Answered, false);
                body
            }
        };
        let headers = answer.headers.iter().filter_map(|(name, value)| {
            let value = value.to_str().ok()?;
            Some((name.as_str().to_owned(), value.to_owned()))
        });
        Ok(StoredAnswer {
            status: answer.status.as_u16(),
            headers: headers.collect(),
            body,
        })
    }
}

/// Maximum response size of an order, in bytes. A larger response counts as lost.
const MAX_ORDER_RESPONSE_BYTES: usize = 16 * 1024 * 1024;

fn build_response(answer: &StoredAnswer) -> Response {
    let mut response = Response::new(Body::from(answer.body.clone()));
    *response.status_mut() = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::OK);
    let headers = response.headers_mut();
    for (name, value) in &answer.headers {
        if let (Ok(name), Ok(value)) = (name.parse::<HeaderName>(), value.parse::<HeaderValue>()) {
            headers.append(name, value);
        }
    }
    headers.insert(RUN_HEADER, run_value(RunState::Ran));
    response
}

fn read_key(headers: &HeaderMap) -> Result<String, RequestRefusal> {
    let Some(value) = headers.get(KEY_HEADER) else {
        let message = "this call may not be repeated, so the header Idempotency-Key is required";
        return Err(RequestRefusal::new(
            ErrorKind::IdempotencyKeyRequired,
            message,
        ));
    };
    match value.to_str() {
        Ok(key) if !key.trim().is_empty() && key.len() <= MAX_KEY_BYTES => {
            Ok(key.trim().to_owned())
        }
        _ => Err(RequestRefusal::new(
            ErrorKind::MalformedRequest,
            format!("the header Idempotency-Key must have 1 to {MAX_KEY_BYTES} ASCII characters"),
        )),
    }
}

fn default_message(kind: ErrorKind) -> &'static str {
    match kind {
        ErrorKind::OrderStateUnknown => "an earlier call with the same key may have run",
        ErrorKind::IdempotencyKeyReused => "the key was used for another request",
        ErrorKind::PlatformUnavailable => "the order cannot be recorded at the platform now",
        ErrorKind::DeadlineExceeded => "the time was up before the call was sent",
        _ => "the order was not answered",
    }
}
