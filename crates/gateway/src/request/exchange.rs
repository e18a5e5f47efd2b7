//! One request of a caller: reservation, attempts and retry decisions.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use cornelarch_core::{
    admission::{ArrivedRequest, DETOUR},
    base::CustomerName,
    blocklist::content::ContentKey,
    error::ErrorKind,
    placement::{
        FlightOutcome, HomeDomains, Placement, PlacementKey, PlacementRefusal, PlacementRequest,
        RequestSize, shared_parts,
    },
    retry::AttemptOutcome,
    route::{CustomerRecord, RouteDocument, RouteRule, ServiceRecord},
};
use http::HeaderValue;
use tokio::time::Instant;

use crate::{
    process::{GatewayState, log_event},
    request::{
        RequestRefusal,
        attempt::{AttemptFailure, AttemptRequest, AttemptResponse, send_attempt},
        bill::RequestBill,
        head::RequestHead,
        in_flight::InFlightRequest,
    },
};

/// Minimum time for which callers are assumed to wait for the first event of a stream.
const FIRST_EVENT_MIN: Duration = Duration::from_secs(2);
/// Multiple of the route's objective for which callers are assumed to wait for the first event.
const FIRST_EVENT_FACTOR: u32 = 4;
/// Fraction of that time that a predicted latency may use; the rest allows for prediction errors.
const PREDICTION_FRACTION: f64 = 0.8;
/// Fraction of the remaining time after which a repeatable request is sent to another upstream.
const RETRY_TIME_FRACTION: f64 = 0.45;
/// Retry delay suggested if no upstream is usable; a replacement appears within about a second.
const NO_UPSTREAM_RETRY: Duration = Duration::from_millis(300);
/// Longest retry delay suggested because of predicted load, which may soon be lower.
const OVERLOAD_RETRY_MAX: Duration = Duration::from_secs(3);
/// Highest priority that engines support.
const ENGINE_PRIORITY_MAX: u8 = 9;
/// Attempts that fail to reach an upstream before a request is refused.
const UNREACHED_ATTEMPTS_MAX: u32 = 4;
/// Reason for which a request is withdrawn from its upstream.
pub(crate) const CONTENT_BLOCKED: &str = "its content was blocked";
/// Maximum number of prompt parts in one log line.
const LOGGED_PARTS_MAX: usize = 8;

/// State of a request that does not change between attempts.
pub(crate) struct RequestExchange {
    pub(crate) state: Arc<GatewayState>,
    pub(crate) document: Arc<RouteDocument>,
    pub(crate) rule: RouteRule,
    pub(crate) service: ServiceRecord,
    /// Domains that the request is bound to, by its route and its customer.
    pub(crate) homes: Option<HomeDomains>,
    pub(crate) head: RequestHead,
    pub(crate) body: Bytes,
    /// The customer, if the route requires one.
    pub(crate) customer: Option<CustomerRecord>,
    pub(crate) priority: u8,
    pub(crate) size: RequestSize,
    /// The prompt parts and the whole request, by which the causes of crashes are recognised.
    pub(crate) content: Arc<[ContentKey]>,
    pub(crate) started: Instant,
    /// Deadline of the caller.
    pub(crate) deadline: Instant,
    /// Time at which the gateway ends the request: when the route times out, or shortly before the
    /// deadline of the caller.
    pub(crate) hard_deadline: Instant,
}

/// Attempts of a request so far.
pub(crate) struct AttemptHistory {
    pub(crate) tried: Vec<PlacementKey>,
    /// Attempts that reached an upstream.
    pub(crate) sent: u32,
    unreached: u32,
    /// Whether an upstream may have run the request.
    pub(crate) may_have_run: bool,
    last: Option<AttemptOutcome>,
}

impl AttemptHistory {
    const fn new() -> Self {
        Self {
            tried: Vec::new(),
            sent: 0,
            unreached: 0,
            may_have_run: false,
            last: None,
        }
    }

    /// Records that a response was interrupted after its head.
    pub(crate) fn record_interruption(&mut self, end: FlightOutcome) {
        self.last = Some(attempt_outcome(end));
    }
}

/// Returns the digests of the prompt parts that a request may share with others, for log lines.
fn describe_parts(size: &RequestSize) -> String {
    let parts = shared_parts(size).iter().take(LOGGED_PARTS_MAX);
    let digests: Vec<String> = parts.map(|part| format!("{:x}", part.digest)).collect();
    digests.join(",")
}

/// Returns the failure of an attempt that is withdrawn before the upstream has begun an answer.
fn withdrawn() -> AttemptFailure {
    AttemptFailure::new(FlightOutcome::Cancelled, CONTENT_BLOCKED)
}

fn attempt_outcome(end: FlightOutcome) -> AttemptOutcome {
    match end {
        FlightOutcome::NotReached | FlightOutcome::NotSent => AttemptOutcome::NotReached,
        FlightOutcome::Refused => AttemptOutcome::Refused,
        FlightOutcome::TimedOut => AttemptOutcome::TimedOut,
        FlightOutcome::Answered
        | FlightOutcome::Failed
        | FlightOutcome::Lost
        | FlightOutcome::Cancelled => AttemptOutcome::LostBeforeFirst,
    }
}

/// An attempt whose response head has arrived.
pub(crate) struct OpenResponse {
    pub(crate) attempt: AttemptResponse,
    pub(crate) flight: InFlightRequest,
}

impl RequestExchange {
    /// Returns the id of the request for log lines.
    pub(crate) fn id(&self) -> &str {
        std::str::from_utf8(self.head.attempt_id.as_bytes()).unwrap_or("-")
    }

    /// Reserves the maximum cost of the request in the budget of its customer.
    ///
    /// # Errors
    ///
    /// Returns why the budget does not cover the request now.
    pub(crate) async fn reserve(&self) -> Result<RequestBill, RequestRefusal> {
        match &self.customer {
            Some(customer) if customer.prepaid.is_some() && self.size.total() > 0 => {
                let owner = (self.id(), &*customer.name);
                RequestBill::reserve(&self.state, owner, &self.size, self.hard_deadline).await
            }
            _ => Ok(RequestBill::free(&self.state)),
        }
    }

    /// Decides whether this instance takes the request.
    ///
    /// # Errors
    ///
    /// Returns the refusal for the caller if the instance cannot carry the request.
    pub(crate) fn admit(&self) -> Result<(), RequestRefusal> {
        let anonymous = CustomerName::new("");
        let customer = self.customer.as_ref();
        let customer = customer.map_or(&anonymous, |customer| &customer.name);
        let request = ArrivedRequest {
            customer,
            route: &self.rule.name,
            objective: self.rule.objective,
            limit: self.deadline.saturating_duration_since(self.started),
        };
        let mut pressure = self.state.pressure.lock();
        let admitted = pressure.admit(&request, self.state.now());
        admitted.map_err(|retry_after| {
            let rate = pressure.rate_limit().unwrap_or_default();
            drop(pressure);
            log_event!(
                RequestHandedBack,
                "id={} route={} customer={customer} rate={rate:.0}",
                self.id(),
                self.rule.name
            );
            self.hand_back(retry_after)
        })
    }

    fn hand_back(&self, retry_after: Duration) -> RequestRefusal {
        self.state.metrics.count_handed_back();
        RequestRefusal {
            kind: ErrorKind::Overloaded,
            retry_after: Some(retry_after),
        }
    }

    /// Sends the request until an upstream responds or no further attempt is allowed.
    ///
    /// # Errors
    ///
    /// Returns the refusal or failure for the caller.
    pub(crate) async fn open_response(
        &self,
        history: &mut AttemptHistory,
        last_event_id: Option<&HeaderValue>,
    ) -> Result<OpenResponse, RequestRefusal> {
        loop {
            self.check_content(history)?;
            let placement = self.place(history)?;
            let is_engine = self.service.is_engine;
            log_event!(
                RequestPlaced,
                "id={} route={} upstream={} expected_ms={} uncached={} version={} left_ms={} sent={} parts={}",
                self.id(),
                self.rule.name,
                placement.upstream,
                placement.expected.as_millis(),
                placement.uncached_tokens,
                self.document.version,
                self.hard_deadline
                    .saturating_duration_since(Instant::now())
                    .as_millis(),
                history.sent,
                describe_parts(&self.size)
            );
            let size = (&self.size, is_engine);
            let flight = InFlightRequest::start(&self.state, &placement, size, &self.content);
            history.tried.push(placement.key);
            let request = self.build_attempt(history, last_event_id);
            let sent = tokio::select! {
                sent = send_attempt(&self.state, &request, &placement, &flight) => sent,
                () = self.state.crashes.wait_blocked(&self.content) => Err(withdrawn()),
            };
            let failure = match sent {
                Ok(attempt) => {
                    history.sent += 1;
                    history.may_have_run = true;
                    return Ok(OpenResponse { attempt, flight });
                }
                Err(failure) => failure,
            };
            flight.finish(failure.end);
            self.record_failure(history, &placement, &failure);
            self.check_retry(history)?;
        }
    }

    /// Checks that the request has no content that crashes upstreams.
    ///
    /// # Errors
    ///
    /// Returns the refusal for the caller.
    pub(crate) fn check_content(&self, history: &AttemptHistory) -> Result<(), RequestRefusal> {
        let Some(blocked) = self.state.crashes.find_blocked(&self.content) else {
            return Ok(());
        };
        let position = blocked.key.rank.position();
        let part = position.and_then(|position| shared_parts(&self.size).get(position));
        log_event!(
            ContentRefused,
            "id={} content={} part={} crashes={} sent={}",
            self.id(),
            blocked.key.fingerprint,
            part.map_or_else(|| "-".to_owned(), |part| format!("{:x}", part.digest)),
            blocked.crashes,
            history.sent
        );
        Err(match history.may_have_run {
            true => self.final_refusal(history),
            false => ErrorKind::RequestBlocked.into(),
        })
    }

    fn place(&self, history: &AttemptHistory) -> Result<Placement, RequestRefusal> {
        let remaining = self.hard_deadline.saturating_duration_since(Instant::now());
        if remaining.is_zero() {
            return Err(self.final_refusal(history));
        }
        let request = PlacementRequest {
            service: &self.service.name,
            excluded: &history.tried,
            homes: self.homes.as_ref(),
            size: &self.size,
            memory_tokens: self.service.memory_tokens,
            latency_limit: self.latency_limit(remaining),
        };
        let chosen = self
            .state
            .placement
            .lock()
            .choose(&request, self.state.now());
        chosen.map_err(|refusal| {
            log_event!(
                PlacementRefused,
                "id={} service={} why={refusal} patience_ms={} tried={}",
                self.id(),
                self.service.name,
                request.latency_limit.as_millis(),
                history.tried.len()
            );
            self.refuse_placement(refusal, history)
        })
    }

    /// Returns the maximum useful time until the first token or the response.
    fn latency_limit(&self, remaining: Duration) -> Duration {
        match self.rule.kind.is_stream() {
            true => {
                let latency_limit = FIRST_EVENT_MIN.max(self.rule.objective * FIRST_EVENT_FACTOR);
                remaining.min(latency_limit).mul_f64(PREDICTION_FRACTION)
            }
            false => remaining,
        }
    }

    fn refuse_placement(
        &self,
        refusal: PlacementRefusal,
        history: &AttemptHistory,
    ) -> RequestRefusal {
        if history.may_have_run {
            return self.final_refusal(history);
        }
        let (kind, retry_after) = match refusal {
            PlacementRefusal::NoUpstream => (ErrorKind::NoUpstream, NO_UPSTREAM_RETRY),
            PlacementRefusal::Overloaded { retry_after } => {
                (ErrorKind::Overloaded, retry_after.min(OVERLOAD_RETRY_MAX))
            }
            PlacementRefusal::Withheld { retry_after } => (ErrorKind::Overloaded, retry_after),
            PlacementRefusal::TooLarge => return ErrorKind::BodyTooLarge.into(),
        };
        RequestRefusal {
            kind,
            retry_after: Some(retry_after),
        }
    }

    fn build_attempt<'a>(
        &'a self,
        history: &AttemptHistory,
        last_event_id: Option<&'a HeaderValue>,
    ) -> AttemptRequest<'a> {
        let now = Instant::now();
        let remaining = self.hard_deadline.saturating_duration_since(now);
        let may_retry = self.rule.kind.is_repeatable() && history.sent + 1 < self.rule.attempts;
        let attempt_deadline = match may_retry {
            true => now + remaining.mul_f64(RETRY_TIME_FRACTION),
            false => self.hard_deadline,
        };
        let priority = self.priority.min(ENGINE_PRIORITY_MAX);
        AttemptRequest {
            head: &self.head,
            body: &self.body,
            customer: self.customer.as_ref().map(|customer| &customer.name),
            engine_priority: self.service.is_engine.then_some(priority),
            last_event_id,
            deadline: self.deadline.min(self.started + self.rule.timeout),
            attempt_deadline,
        }
    }

    pub(crate) fn record_failure(
        &self,
        history: &mut AttemptHistory,
        placement: &Placement,
        failure: &AttemptFailure,
    ) {
        log_event!(
            AttemptFailed,
            "id={} upstream={} end={:?} reason={}",
            self.id(),
            placement.upstream,
            failure.end,
            failure.reason
        );
        history.last = Some(attempt_outcome(failure.end));
        match failure.end {
            FlightOutcome::NotReached | FlightOutcome::NotSent => history.unreached += 1,
            FlightOutcome::Refused => history.sent += 1,
            _ => {
                history.sent += 1;
                history.may_have_run = true;
            }
        }
    }

    /// Checks whether the request may be sent again.
    ///
    /// # Errors
    ///
    /// Returns the failure for the caller if it may not.
    pub(crate) fn check_retry(&self, history: &AttemptHistory) -> Result<(), RequestRefusal> {
        let is_allowed = !history.may_have_run || self.rule.kind.is_repeatable();
        let is_unreached = history.last == Some(AttemptOutcome::NotReached);
        // Another instance reaches the upstreams while this one does not.
        if is_unreached && !history.may_have_run && self.state.pressure.lock().is_congested() {
            return Err(self.hand_back(DETOUR));
        }
        let has_attempts = match is_unreached {
            true => history.unreached < UNREACHED_ATTEMPTS_MAX && history.sent < self.rule.attempts,
            false => history.sent < self.rule.attempts,
        };
        if !is_allowed || !has_attempts || Instant::now() >= self.hard_deadline {
            return Err(self.final_refusal(history));
        }
        let is_suspect = || {
            let crashes = &self.state.crashes;
            crashes.is_suspect(&self.content, self.state.now())
        };
        if history.may_have_run && is_suspect() {
            log_event!(RetrySuppressed, "id={} sent={}", self.id(), history.sent);
            return Err(self.final_refusal(history));
        }
        // A request that has not reached any upstream added no load and needs no retry budget.
        if history.sent > 0 && !self.state.try_retry(&self.service.name) {
            return Err(self.final_refusal(history));
        }
        Ok(())
    }

    /// Returns the failure of a request that may not be attempted again.
    fn final_refusal(&self, history: &AttemptHistory) -> RequestRefusal {
        if !history.may_have_run {
            let placement = self.state.placement.lock();
            return RequestRefusal {
                kind: ErrorKind::Overloaded,
                retry_after: placement.wait_left(&self.service.name, self.state.now()),
            };
        }
        match history.last {
            Some(AttemptOutcome::TimedOut) | None => ErrorKind::UpstreamTimeout.into(),
            Some(_) => ErrorKind::UpstreamLost.into(),
        }
    }

    /// Creates an empty history of attempts.
    pub(crate) const fn new_history() -> AttemptHistory {
        AttemptHistory::new()
    }
}
