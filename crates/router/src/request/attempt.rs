//! Attempts of one request at upstreams, with retries.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use cornelarch_core::{
    base::{MonotonicTime, UpstreamName},
    blocklist::{CrashVerdict, Fingerprint},
    error::{ErrorKind, RunState},
    limit::QueueRequest,
    retry::{AttemptOutcome, AttemptState, RetryDecision},
    routing::RouteRequest,
};
use http::HeaderMap;
use reqwest::{Method, Response, StatusCode};

use crate::{
    process::{DispatchRequest, MetricName, UpstreamAttempt},
    request::{
        RequestRefusal,
        context::{RequestContext, TIMEOUT_HEADER},
    },
};

/// Describes what is sent to an upstream.
pub(crate) struct UpstreamCall {
    /// The method.
    pub(crate) method: Method,
    /// The path with its query, beginning with `/`.
    pub(crate) path: String,
    /// The headers.
    pub(crate) headers: HeaderMap,
    /// The body.
    pub(crate) body: Bytes,
    /// The longest wait for the head of the answer.
    pub(crate) timeout: Duration,
}

/// Result of one attempt until the head of the answer: the answer, or how the attempt ended.
pub(crate) type AttemptHead = Result<(UpstreamAttempt, Response), AttemptOutcome>;

/// Plans the attempts of one request.
pub(crate) struct AttemptPlan {
    context: Arc<RequestContext>,
    request: DispatchRequest,
    state: AttemptState,
}

impl AttemptPlan {
    /// Plans attempts for a request; the first one is counted now.
    pub(crate) fn new(
        context: &Arc<RequestContext>,
        route: RouteRequest,
        fingerprint: Fingerprint,
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
                fingerprint,
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

    /// Records what the caller has, and whether the answer can continue elsewhere.
    pub(crate) fn set_delivered(&mut self, delivered: u64, resumable: bool) {
        self.state.delivered = delivered;
        self.state.resumable = resumable;
    }

    fn check_blocked(&self) -> Result<(), RequestRefusal> {
        check_blocked(&self.context, self.request.fingerprint)
            .map_err(|refusal| self.refuse(refusal))
    }

    /// Waits for an upstream.
    ///
    /// # Errors
    ///
    /// Returns the refusal of the table or the queue.
    pub(crate) async fn acquire(&mut self) -> Result<UpstreamAttempt, RequestRefusal> {
        self.check_blocked()?;
        let state = Arc::clone(&self.context.state);
        let result = state.dispatcher.acquire(&state, self.request.clone()).await;
        self.state.attempts += 1;
        if self.state.attempts > 1 {
            state.metrics.count(MetricName::Retries);
        }
        result.map_err(|refusal| self.refuse(refusal))
    }

    /// Sends a call and waits for the head of its answer.
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
        let request = context
            .state
            .client
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
            Ok(Ok(response)) => Ok((attempt, response)),
            Ok(Err(error)) if error.is_connect() || error.is_builder() => {
                attempt.finish(AttemptOutcome::NotReached, false);
                Err(AttemptOutcome::NotReached)
            }
            Ok(Err(error)) => {
                log::debug!("upstream {address} was lost: {error:?}");
                attempt.finish(AttemptOutcome::LostBeforeFirst, true);
                Err(AttemptOutcome::LostBeforeFirst)
            }
            Err(_) => {
                attempt.finish(AttemptOutcome::TimedOut, false);
                Err(AttemptOutcome::TimedOut)
            }
        }
    }

    /// Waits for the next attempt after a failed one.
    ///
    /// # Errors
    ///
    /// Returns the refusal if the request is not tried again.
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
            RetryDecision::GiveUp(kind) => Err(RequestRefusal::new(kind, describe(outcome))),
            RetryDecision::Done => Err(RequestRefusal::new(
                ErrorKind::Internal,
                "a complete answer was treated as failed",
            )),
        }
    }

    /// Returns the refusal that may be told to the caller: after an attempt that may have run, no
    /// refusal may say that the request was not run.
    pub(crate) fn refuse(&self, refusal: RequestRefusal) -> RequestRefusal {
        if self.state.may_have_run && refusal.kind.answer().run == RunState::NotRun {
            let message = format!("the upstream was lost; then: {}", refusal.message);
            return RequestRefusal::new(ErrorKind::UpstreamLost, message);
        }
        refusal
    }
}

/// Refuses a request that crashed upstreams.
///
/// # Errors
///
/// Returns the refusal if the request is blocked.
pub(crate) fn check_blocked(
    context: &RequestContext,
    fingerprint: Fingerprint,
) -> Result<(), RequestRefusal> {
    let verdict = context
        .state
        .dispatcher
        .verdict(fingerprint, context.state.now());
    match verdict {
        CrashVerdict::Blocked => Err(RequestRefusal::new(
            ErrorKind::RequestBlocked,
            format!("the request crashed upstreams; its fingerprint is {fingerprint}"),
        )),
        CrashVerdict::Clear | CrashVerdict::Suspect => Ok(()),
    }
}

fn describe(outcome: AttemptOutcome) -> &'static str {
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

/// Returns whether a status says that the upstream did not run the request.
pub(crate) fn is_refusal(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS
    )
}
