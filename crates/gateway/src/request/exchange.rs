//! One request of a caller: reservation, attempts and the decisions between them.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use cornelarch_core::{
    error::ErrorKind,
    placement::{FlightEnd, Placement, PlacementKey, PlacementRefusal, PlacementRequest, WorkSize},
    retry::AttemptOutcome,
    route::{RouteDocument, RouteRule, ServiceRecord},
};
use http::HeaderValue;
use tokio::time::Instant;

use crate::{
    process::{GatewayState, log_event},
    request::{
        RequestRefusal,
        attempt::{AttemptAnswer, AttemptFailure, AttemptRequest, send_attempt},
        bill::RequestBill,
        flight::RequestFlight,
        head::RequestHead,
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

impl RequestExchange {
    /// Returns the id of the request for logs.
    pub(crate) fn id(&self) -> &str {
        self.head.attempt_id.to_str().unwrap_or("-")
    }

    /// Reserves the largest cost of the request in the budget of its customer.
    ///
    /// # Errors
    ///
    /// Returns why the request cannot be paid now.
    pub(crate) async fn reserve(&self) -> Result<RequestBill, RequestRefusal> {
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
        if log.sent > 0 && !self.state.try_retry(&self.service.name) {
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
