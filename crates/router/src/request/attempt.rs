//! Upstream attempts of a request, with retries.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use cornelarch_core::{
    base::{MonotonicTime, UpstreamName},
    error::{ErrorKind, RunState},
    limit::QueueRequest,
    notice::{UpstreamNotice, parse_delay},
    retry::{AttemptOutcome, AttemptState, RetryDecision, is_final_status},
    routing::RouteRequest,
};
use http::{HeaderMap, header::RETRY_AFTER};
use reqwest::{Method, Response, StatusCode};

use crate::{
    process::{DispatchRequest, MetricName, RequestIdentity, UpstreamAttempt},
    request::{
        RequestRefusal,
        context::{RequestContext, TIMEOUT_HEADER},
    },
};

/// An HTTP request to an upstream.
pub(crate) struct UpstreamCall {
    pub(crate) method: Method,
    /// Path and query, beginning with `/`.
    pub(crate) path: String,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    /// Timeout for the response headers.
    pub(crate) timeout: Duration,
}

/// Response whose headers have arrived, or the outcome of an attempt that failed before that.
pub(crate) type AttemptHead = Result<(UpstreamAttempt, Response), AttemptOutcome>;

/// Runs the upstream attempts of one request and decides on retries.
pub(crate) struct AttemptPlan {
    context: Arc<RequestContext>,
    request: DispatchRequest,
    state: AttemptState,
}

impl AttemptPlan {
    /// Creates the plan for a request and counts its first attempt in the retry budget.
    pub(crate) fn new(
        context: &Arc<RequestContext>,
        route: RouteRequest,
        identity: RequestIdentity,
        cost: u64,
        queue_deadline: MonotonicTime,
        idempotent: bool,
    ) -> Self {
        let customer = context.owner.customer.clone();
        context
            .state
            .dispatcher
            .first_attempt(&customer, &route.target);
        Self {
            request: DispatchRequest {
                route,
                identity,
                queue: QueueRequest {
                    customer,
                    weight: context.customer().weight as f64,
                    priority: context.queue_priority(),
                    cost,
                    deadline: queue_deadline.min(context.deadline),
                },
            },
            state: AttemptState {
                attempts: 0,
                idempotent,
                may_have_run: false,
                delivered: 0,
                resumable: false,
                deadline: context.deadline,
            },
            context: Arc::clone(context),
        }
    }

    /// Returns whether an earlier attempt may have run.
    pub(crate) fn may_have_run(&self) -> bool {
        self.state.may_have_run
    }

    /// Records how many tokens the caller has received, and whether another upstream can resume the
    /// response.
    pub(crate) fn set_delivered(&mut self, delivered: u64, resumable: bool) {
        self.state.delivered = delivered;
        self.state.resumable = resumable;
    }

    fn check_blocked(&self) -> Result<(), RequestRefusal> {
        check_blocked(&self.context, &self.request.identity)
            .map_err(|refusal| self.adjust_refusal(refusal))
    }

    /// Waits until an upstream is selected and has capacity.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the request is blocked, no upstream is usable, or the queue rejects it.
    pub(crate) async fn acquire(&mut self) -> Result<UpstreamAttempt, RequestRefusal> {
        self.check_blocked()?;
        let state = Arc::clone(&self.context.state);
        let result = state.dispatcher.acquire(&state, self.request.clone()).await;
        self.state.attempts += 1;
        if self.state.attempts > 1 {
            state.metrics.count(MetricName::Retries);
        }
        result.map_err(|refusal| self.adjust_refusal(refusal))
    }

    /// Sends the call and waits for the response headers.
    pub(crate) async fn send(
        &mut self,
        attempt: UpstreamAttempt,
        call: UpstreamCall,
    ) -> AttemptHead {
        let Some(address) = attempt.address() else {
            return Err(AttemptOutcome::NotReached);
        };
        let context = Arc::clone(&self.context);
        let url = format!("http://{address}{}", call.path);
        let timeout = call
            .timeout
            .min(context.deadline.since(context.state.now()));
        let client = match self.state.idempotent {
            true => &context.state.client,
            false => &context.state.order_client,
        };
        let request = client
            .request(call.method, url)
            .headers(call.headers)
            .header(TIMEOUT_HEADER, context.remaining_ms())
            .body(call.body)
            .send();
        let cancelled = attempt.cancel_token();
        let result = tokio::select! {
        biased;
        result = tokio::time::timeout(timeout, request) => result,
        () = cancelled.cancelled() => {
        attempt.finish(AttemptOutcome::Cancelled, false);
        return Err(AttemptOutcome::Cancelled);
        }
        };
        match result {
            Ok(Ok(response)) if !is_final_status(response.status().as_u16()) => {
                let status = response.status().as_u16();
                log::debug!("response of upstream {address} has the status {status}");
                attempt.finish(AttemptOutcome::LostBeforeFirst, false);
                Err(AttemptOutcome::LostBeforeFirst)
            }
            Ok(Ok(response)) => {
                attempt.record_notice(&read_notice(&response));
                Ok((attempt, response))
            }
            Ok(Err(error)) if error.is_connect() || error.is_builder() => {
                attempt.finish(AttemptOutcome::NotReached, false);
                Err(AttemptOutcome::NotReached)
            }
            Ok(Err(error)) => {
                log::debug!("request to upstream {address} failed: {error:?}");
                attempt.finish(AttemptOutcome::LostBeforeFirst, true);
                Err(AttemptOutcome::LostBeforeFirst)
            }
            Err(_) => {
                attempt.finish(AttemptOutcome::TimedOut, false);
                Err(AttemptOutcome::TimedOut)
            }
        }
    }

    /// Decides whether a failed attempt is retried, and waits for the backoff.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the request is not retried.
    pub(crate) async fn prepare_retry(
        &mut self,
        upstream: Option<UpstreamName>,
        outcome: AttemptOutcome,
    ) -> Result<(), RequestRefusal> {
        self.state.may_have_run |= outcome.run_state() != RunState::NotRun;
        self.check_blocked()?;
        let context = Arc::clone(&self.context);
        let decision = context.state.dispatcher.decide(
            outcome,
            &self.state,
            &context.owner.customer,
            &self.request.route.target,
            context.state.now(),
        );
        match decision {
            RetryDecision::Retry { after } => {
                self.request.route.excluded.extend(upstream);
                tokio::time::sleep(after).await;
                Ok(())
            }
            RetryDecision::GiveUp(kind) => Err(RequestRefusal::new(kind, outcome_message(outcome))),
            RetryDecision::Done => Err(RequestRefusal::new(
                ErrorKind::Internal,
                "a complete answer was treated as failed",
            )),
        }
    }

    /// Adjusts a refusal for the caller: once an attempt may have run, no refusal may report that
    /// the request was not run.
    pub(crate) fn adjust_refusal(&self, refusal: RequestRefusal) -> RequestRefusal {
        if self.state.may_have_run && refusal.kind.answer().run == RunState::NotRun {
            let message = format!("the upstream was lost; then: {}", refusal.message);
            return RequestRefusal::new(ErrorKind::UpstreamLost, message);
        }
        refusal
    }
}

/// Refuses a request that is blocked because it crashed upstreams.
///
/// # Errors
///
/// Returns the refusal if the request is blocked.
pub(crate) fn check_blocked(
    context: &RequestContext,
    identity: &RequestIdentity,
) -> Result<(), RequestRefusal> {
    let now = context.state.now();
    match context.state.dispatcher.find_blocked(identity, now) {
        Some(fingerprint) => Err(RequestRefusal::new(
            ErrorKind::RequestBlocked,
            format!(
                "the request, or a message in it, crashed upstreams; its fingerprint is {fingerprint}"
            ),
        )),
        None => Ok(()),
    }
}

fn outcome_message(outcome: AttemptOutcome) -> &'static str {
    match outcome {
        AttemptOutcome::Answered => "the upstream answered",
        AttemptOutcome::NotReached => "no upstream could be reached",
        AttemptOutcome::Refused => "every upstream is overloaded",
        AttemptOutcome::LostBeforeFirst => "the upstream was lost before it answered",
        AttemptOutcome::LostMidStream => "the upstream was lost in the middle of the answer",
        AttemptOutcome::TimedOut => "the upstream did not answer in time",
        AttemptOutcome::Cancelled => "the request was cancelled because it crashes upstreams",
    }
}

/// Returns whether the status means that the upstream rejected the request without running it.
pub(crate) fn is_refusal(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS
    )
}

/// Returns what a response says about its upstream.
fn read_notice(response: &Response) -> UpstreamNotice {
    let delay = response.headers().get(RETRY_AFTER);
    let delay = delay.filter(|_| is_refusal(response.status()));
    UpstreamNotice {
        pause: delay.and_then(|delay| parse_delay(delay.to_str().ok()?)),
        ..UpstreamNotice::default()
    }
}
