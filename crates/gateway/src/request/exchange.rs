//! One request of a caller: checks, reservation, attempts and answer.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use cornelarch_core::{
    base::ServiceName,
    error::ErrorKind,
    placement::{FlightEnd, Placement, PlacementKey, PlacementRefusal, PlacementRequest, WorkSize},
    retry::AttemptOutcome,
    route::{CustomerRecord, RouteDocument, RouteKind, RouteLookup, RouteRule, ServiceRecord},
};
use http::{HeaderMap, HeaderValue, Request, Response, header};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use rand::Rng;
use tokio::time::{Instant, timeout_at};

use crate::{
    process::{GatewayPhase, GatewayState, RequestOutcome, TimedStage, log_event},
    request::{
        AnswerBody, RequestRefusal,
        attempt::{AttemptAnswer, AttemptFailure, AttemptRequest, send_attempt},
        bill::RequestBill,
        call::answer_call,
        flight::RequestFlight,
        head::{RequestHead, read_deadline, read_size, upstream_headers},
        relay::answer_stream,
    },
};

/// Least time for which callers wait for the first event of a stream.
const STREAM_PATIENCE: Duration = Duration::from_secs(2);
/// Factor on the objective for which callers wait for the first event of a stream.
const OBJECTIVE_PATIENCE: u32 = 4;
/// Part of that time that a prediction may take up; the rest is for its error.
const PATIENCE_PART: f64 = 0.8;
/// Part of the remaining time after which a repeatable request is sent to another upstream.
const REPEAT_PART: f64 = 0.45;
/// Time that is kept back for the way of the last answer to the caller.
const ANSWER_TIME: Duration = Duration::from_millis(5);
/// Wait that is suggested if no upstream is usable; a replacement appears within about a second.
const NO_UPSTREAM_RETRY: Duration = Duration::from_millis(300);
/// Largest rank that engines know.
const ENGINE_PRIORITY_MAX: u8 = 9;
/// Attempts that reach no upstream before a request is refused.
const UNREACHED_MAX: u32 = 4;

/// Holds what is known about a request for its whole life.
pub(crate) struct RequestExchange {
    pub(crate) state: Arc<GatewayState>,
    pub(crate) document: Arc<RouteDocument>,
    pub(crate) rule: RouteRule,
    pub(crate) service: ServiceRecord,
    pub(crate) head: RequestHead,
    pub(crate) body: Bytes,
    pub(crate) customer: Option<HeaderValue>,
    pub(crate) priority: u8,
    pub(crate) size: WorkSize,
    pub(crate) started: Instant,
    /// Time at which the caller gives up.
    pub(crate) deadline: Instant,
    /// Time at which the request ends in any case.
    pub(crate) end: Instant,
}

/// Tracks the attempts of a request.
pub(crate) struct AttemptLog {
    pub(crate) tried: Vec<PlacementKey>,
    /// Attempts that reached an upstream.
    pub(crate) sent: u32,
    unreached: u32,
    /// Whether an upstream may have run the request.
    pub(crate) may_have_run: bool,
    last: Option<AttemptOutcome>,
}

impl AttemptLog {
    const fn new() -> Self {
        Self {
            tried: Vec::new(),
            sent: 0,
            unreached: 0,
            may_have_run: false,
            last: None,
        }
    }

    /// Records that an answer broke off after its head.
    pub(crate) fn record_broken(&mut self, end: FlightEnd) {
        self.last = Some(read_outcome(end));
    }
}

fn read_outcome(end: FlightEnd) -> AttemptOutcome {
    match end {
        FlightEnd::NotReached => AttemptOutcome::NotReached,
        FlightEnd::Refused => AttemptOutcome::Refused,
        FlightEnd::TimedOut => AttemptOutcome::TimedOut,
        FlightEnd::Answered | FlightEnd::Failed | FlightEnd::Lost | FlightEnd::Cancelled => {
            AttemptOutcome::LostBeforeFirst
        }
    }
}

/// Holds an attempt whose answer has begun.
pub(crate) struct BegunAnswer {
    pub(crate) answer: AttemptAnswer,
    pub(crate) flight: RequestFlight,
}

/// Serves one request.
pub(crate) async fn handle_request(
    state: Arc<GatewayState>,
    request: Request<Incoming>,
) -> Response<AnswerBody> {
    let started = Instant::now();
    let id = read_id(&state, request.headers());
    let mut kind = None;
    let result = serve_request(&state, request, started, &mut kind).await;
    let outcome = match &result {
        Ok(_) => RequestOutcome::Answered,
        Err(refusal) => RequestOutcome::Refused(refusal.kind),
    };
    state.metrics.count_request(kind, outcome);
    let mut response = match result {
        Ok(response) => {
            let ms = started.elapsed().as_millis();
            state.metrics.observe(TimedStage::Head, started.elapsed());
            log_event!(
                RequestAnswered,
                "id={id} status={} head_ms={ms}",
                response.status().as_u16()
            );
            response
        }
        Err(refusal) => {
            log_refusal(&id, refusal, started);
            refusal.answer(rand::rng().random())
        }
    };
    if state.phase() != GatewayPhase::Serving {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    response
}

fn log_refusal(id: &str, refusal: RequestRefusal, started: Instant) {
    use cornelarch_core::error::RunState;

    let answer = refusal.kind.answer();
    let ms = started.elapsed().as_millis();
    match answer.run {
        RunState::NotRun => {
            log_event!(RequestRefused, "id={id} reason={} ms={ms}", answer.code);
        }
        RunState::Unknown | RunState::Ran => {
            log_event!(RequestFailed, "id={id} reason={} ms={ms}", answer.code);
        }
    }
}

fn read_id(state: &GatewayState, headers: &HeaderMap) -> String {
    let id = headers.get(&state.headers.attempt_id);
    let text = id.and_then(|id| id.to_str().ok());
    text.unwrap_or("-").to_owned()
}

async fn serve_request(
    state: &Arc<GatewayState>,
    request: Request<Incoming>,
    started: Instant,
    kind: &mut Option<RouteKind>,
) -> Result<Response<AnswerBody>, RequestRefusal> {
    let guard = state.start_request();
    let exchange = open_exchange(state, request, started).await?;
    *kind = Some(exchange.rule.kind);
    exchange.state.record_request(&exchange.service.name);
    let bill = exchange.reserve().await?;
    let metrics = &state.metrics;
    metrics.observe(TimedStage::Reserve, started.elapsed());
    let exchange = Arc::new(exchange);
    match exchange.rule.kind.is_stream() {
        true => answer_stream(exchange, bill, guard).await,
        false => answer_call(&exchange, bill).await,
    }
}

/// Checks a request and reads its body.
async fn open_exchange(
    state: &Arc<GatewayState>,
    request: Request<Incoming>,
    started: Instant,
) -> Result<RequestExchange, RequestRefusal> {
    let document = state.document.load_full().ok_or(ErrorKind::NotReady)?;
    let (parts, body) = request.into_parts();
    let host = parts.headers.get(header::HOST);
    let host = host
        .and_then(|host| host.to_str().ok())
        .ok_or(ErrorKind::MalformedRequest)?;
    let rule = match document.find_route(host, parts.uri.path()) {
        RouteLookup::Found(rule) => rule.clone(),
        RouteLookup::Missing => return Err(refuse_unknown(state, ErrorKind::UnknownPath)),
    };
    let customer = find_customer(state, &document, &rule, &parts.headers)?;
    let attempt_id = parts
        .headers
        .get(&state.headers.attempt_id)
        .cloned()
        .ok_or(ErrorKind::MalformedRequest)?;
    let patience = read_deadline(&parts.headers, &state.headers).unwrap_or(rule.timeout);
    let deadline = started + patience;
    let end = (started + rule.timeout).min(deadline.checked_sub(ANSWER_TIME).unwrap_or(deadline));
    let body = read_body(body, document.limits().body_bytes, end).await?;
    let spread = rand::rng().random();
    let service = rule.pick_service(spread).cloned();
    let service = service.ok_or(ErrorKind::NoUpstream)?;
    let size = read_size(&parts.headers, &state.headers);
    let uri = parts.uri.into_parts().path_and_query;
    let uri = uri.map_or_else(http::Uri::default, http::Uri::from);
    Ok(RequestExchange {
        service: find_service(&document, service),
        head: RequestHead {
            method: parts.method,
            uri,
            headers: upstream_headers(&parts.headers, &state.headers),
            attempt_id,
        },
        priority: customer
            .as_ref()
            .and_then(|customer| customer.priority)
            .unwrap_or(rule.priority),
        customer: customer.map(|customer| name_header(&customer)),
        state: Arc::clone(state),
        document,
        rule,
        body,
        size,
        started,
        deadline,
        end,
    })
}

fn name_header(customer: &CustomerRecord) -> HeaderValue {
    HeaderValue::from_str(&customer.name).unwrap_or_else(|_| HeaderValue::from_static(""))
}

fn find_service(document: &RouteDocument, name: ServiceName) -> ServiceRecord {
    document.service(&name).cloned().unwrap_or(ServiceRecord {
        name,
        is_engine: false,
        memory_tokens: 0,
        event_tokens: 1,
    })
}

/// Returns the customer of a request, or `None` if the route needs none.
fn find_customer(
    state: &GatewayState,
    document: &RouteDocument,
    rule: &RouteRule,
    headers: &HeaderMap,
) -> Result<Option<CustomerRecord>, RequestRefusal> {
    if rule.is_public || !document.has_customers {
        return Ok(None);
    }
    let key = headers.get(&state.headers.customer_key);
    let key = key
        .and_then(|key| key.to_str().ok())
        .ok_or(ErrorKind::MissingKey)?;
    match document.find_customer(key) {
        Some(customer) => Ok(Some(customer.clone())),
        None => Err(refuse_unknown(state, ErrorKind::UnknownKey)),
    }
}

/// Refuses what the configuration does not know, if the configuration is certainly in force.
fn refuse_unknown(state: &GatewayState, kind: ErrorKind) -> RequestRefusal {
    match state.is_confirmed() {
        true => kind.into(),
        false => ErrorKind::NotReady.into(),
    }
}

async fn read_body(body: Incoming, limit: usize, until: Instant) -> Result<Bytes, RequestRefusal> {
    if body.size_hint().lower() > limit as u64 {
        return Err(ErrorKind::BodyTooLarge.into());
    }
    let collected = timeout_at(until, Limited::new(body, limit).collect()).await;
    match collected {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(ErrorKind::BodyTooLarge.into()),
        // The caller left or sent bytes that are no body.
        Ok(Err(_)) => Err(ErrorKind::MalformedRequest.into()),
        Err(_) => Err(ErrorKind::Overloaded.into()),
    }
}

impl RequestExchange {
    /// Returns the id of the request for logs.
    pub(crate) fn id(&self) -> &str {
        self.head.attempt_id.to_str().unwrap_or("-")
    }

    async fn reserve(&self) -> Result<RequestBill, RequestRefusal> {
        let customer = self.customer.as_ref().and_then(|name| name.to_str().ok());
        let prepaid = customer.and_then(|name| {
            let mut customers = self.document.customers();
            customers.find(|record| &*record.name == name)?.prepaid
        });
        match (customer, prepaid) {
            (Some(name), Some(_)) if self.size.total() > 0 => {
                let owner = (self.id(), name);
                RequestBill::reserve(&self.state, owner, &self.size, self.end).await
            }
            _ => Ok(RequestBill::free(&self.state)),
        }
    }

    /// Sends the request until an upstream answers or no further attempt is allowed.
    ///
    /// # Errors
    ///
    /// Returns the refusal or failure for the caller.
    pub(crate) async fn begin_answer(
        &self,
        log: &mut AttemptLog,
        last_event_id: Option<&str>,
    ) -> Result<BegunAnswer, RequestRefusal> {
        loop {
            let placement = self.place(log)?;
            let is_engine = self.service.is_engine;
            log_event!(
                RequestPlaced,
                "id={} route={} upstream={} expected_ms={} uncached={} version={} left_ms={} sent={}",
                self.id(),
                self.rule.name,
                placement.upstream,
                placement.expected.as_millis(),
                placement.uncached_tokens,
                self.document.version,
                self.end
                    .saturating_duration_since(Instant::now())
                    .as_millis(),
                log.sent
            );
            let flight = RequestFlight::start(&self.state, &placement, &self.size, is_engine);
            log.tried.push(placement.key);
            let request = self.build_attempt(log, last_event_id);
            let sent = send_attempt(&self.state, &request, &placement, &flight);
            let failure = match sent.await {
                Ok(answer) => {
                    log.sent += 1;
                    log.may_have_run = true;
                    return Ok(BegunAnswer { answer, flight });
                }
                Err(failure) => failure,
            };
            flight.finish(failure.end);
            self.record_failure(log, &placement, &failure);
            self.check_repeat(log)?;
        }
    }

    fn place(&self, log: &AttemptLog) -> Result<Placement, RequestRefusal> {
        let left = self.end.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(self.refuse_late(log));
        }
        let request = PlacementRequest {
            service: &self.service.name,
            excluded: &log.tried,
            size: &self.size,
            memory_tokens: self.service.memory_tokens,
            patience: self.patience(left),
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
                request.patience.as_millis(),
                log.tried.len()
            );
            self.refuse_placement(refusal, log)
        })
    }

    /// Returns the longest useful time to the first token or the answer.
    fn patience(&self, left: Duration) -> Duration {
        match self.rule.kind.is_stream() {
            true => {
                let patience = STREAM_PATIENCE.max(self.rule.objective * OBJECTIVE_PATIENCE);
                left.min(patience).mul_f64(PATIENCE_PART)
            }
            false => left,
        }
    }

    fn refuse_placement(&self, refusal: PlacementRefusal, log: &AttemptLog) -> RequestRefusal {
        if log.may_have_run {
            return self.refuse_late(log);
        }
        let (kind, retry_after) = match refusal {
            PlacementRefusal::NoUpstream => (ErrorKind::NoUpstream, NO_UPSTREAM_RETRY),
            PlacementRefusal::Overloaded { retry_after } => (ErrorKind::Overloaded, retry_after),
            PlacementRefusal::TooLarge => return ErrorKind::BodyTooLarge.into(),
        };
        RequestRefusal {
            kind,
            retry_after: Some(retry_after),
        }
    }

    fn build_attempt<'a>(
        &'a self,
        log: &AttemptLog,
        last_event_id: Option<&'a str>,
    ) -> AttemptRequest<'a> {
        let now = Instant::now();
        let left = self.end.saturating_duration_since(now);
        let may_repeat = self.rule.kind.is_repeatable() && log.sent + 1 < self.rule.attempts;
        let until = match may_repeat {
            true => now + left.mul_f64(REPEAT_PART),
            false => self.end,
        };
        let priority = self.priority.min(ENGINE_PRIORITY_MAX);
        AttemptRequest {
            head: &self.head,
            body: &self.body,
            customer: self.customer.as_ref(),
            engine_priority: self.service.is_engine.then_some(priority),
            last_event_id,
            deadline: self.deadline.min(self.started + self.rule.timeout),
            until,
        }
    }

    /// Records a failed attempt.
    pub(crate) fn record_failure(
        &self,
        log: &mut AttemptLog,
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
        log.last = Some(read_outcome(failure.end));
        match failure.end {
            FlightEnd::NotReached => log.unreached += 1,
            FlightEnd::Refused => log.sent += 1,
            _ => {
                log.sent += 1;
                log.may_have_run = true;
            }
        }
    }

    /// Decides whether the request is sent once more.
    ///
    /// # Errors
    ///
    /// Returns the failure for the caller if it is not.
    pub(crate) fn check_repeat(&self, log: &AttemptLog) -> Result<(), RequestRefusal> {
        let is_allowed = !log.may_have_run || self.rule.kind.is_repeatable();
        let is_unreached = log.last == Some(AttemptOutcome::NotReached);
        let has_attempts = match is_unreached {
            true => log.unreached < UNREACHED_MAX && log.sent < self.rule.attempts,
            false => log.sent < self.rule.attempts,
        };
        if !is_allowed || !has_attempts || Instant::now() >= self.end {
            return Err(self.refuse_late(log));
        }
        // A request that reached no upstream adds no load there.
        if log.sent > 0 && !self.state.try_repeat(&self.service.name) {
            return Err(self.refuse_late(log));
        }
        Ok(())
    }

    /// Returns the failure of a request for which no attempt is left.
    fn refuse_late(&self, log: &AttemptLog) -> RequestRefusal {
        if !log.may_have_run {
            return RequestRefusal {
                kind: ErrorKind::Overloaded,
                retry_after: None,
            };
        }
        match log.last {
            Some(AttemptOutcome::TimedOut) | None => ErrorKind::UpstreamTimeout.into(),
            Some(_) => ErrorKind::UpstreamLost.into(),
        }
    }

    /// Creates the log of the attempts.
    pub(crate) const fn open_log() -> AttemptLog {
        AttemptLog::new()
    }
}
