//! Event streams that are forwarded as they arrive.

use std::{collections::VecDeque, io, sync::Arc};

use bytes::Bytes;
use cornelarch_core::{
    error::describe_error,
    placement::FlightOutcome,
    stream::{EventSplitter, find_event_id},
};
use futures_util::stream;
use http::{HeaderValue, Response, StatusCode};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use tokio::time::{Instant, timeout_at};

use crate::{
    connection::PooledConnection,
    process::{
        ProcessWitness, RequestOutcome, RunningGuard, TimedStage, check_complete, log_event,
        watch_process,
    },
    request::{
        RequestRefusal, ResponseBody,
        bill::RequestBill,
        exchange::{AttemptHistory, CONTENT_BLOCKED, OpenResponse, RequestExchange},
        head::{forwarded_headers, is_unframed},
        in_flight::InFlightRequest,
        lease::BufferLease,
        limits::{RESPONSE_MAX, RESPONSE_TOO_LARGE, ResponseLimits},
    },
};

/// Sends a request and forwards the events of the response as they arrive.
///
/// # Errors
///
/// Returns the refusal or failure for the caller if no upstream began a response.
pub(crate) async fn respond_streaming(
    exchange: Arc<RequestExchange>,
    bill: RequestBill,
    guard: RunningGuard,
) -> Result<Response<ResponseBody>, RequestRefusal> {
    let mut history = RequestExchange::new_history();
    let opened = exchange.open_response(&mut history, None).await?;
    let response = &opened.attempt.response;
    let (status, headers) = (response.status(), forwarded_headers(response.headers()));
    let relay = EventRelay::open(exchange, opened, history, bill, guard);
    let body = match status {
        StatusCode::OK => {
            StreamBody::new(stream::unfold(relay, EventRelay::next_frame)).boxed_unsync()
        }
        _ => StreamBody::new(stream::unfold(relay, EventRelay::next_plain_frame)).boxed_unsync(),
    };
    let mut response = Response::new(body);
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    Ok(response)
}

/// Response body of the current upstream, with its connection.
struct UpstreamBody {
    body: Incoming,
    connection: PooledConnection,
    headers: http::HeaderMap,
    flight: InFlightRequest,
    /// Watches the upstream of a response without a length or chunks.
    witness: Option<ProcessWitness>,
}

impl UpstreamBody {
    fn open(opened: OpenResponse) -> Self {
        let (parts, body) = opened.attempt.response.into_parts();
        let is_unframed = is_unframed(&parts.headers, &body);
        Self {
            witness: watch_process(is_unframed, &opened.attempt.connection),
            body,
            connection: opened.attempt.connection,
            headers: parts.headers,
            flight: opened.flight,
        }
    }

    const fn is_unframed(&self) -> bool {
        self.witness.is_some()
    }
}

/// Where another upstream continues a broken stream.
#[derive(Clone, Debug)]
enum ResumePoint {
    /// Where the request says; no event with an id was received.
    Start,
    /// After the event with this id.
    After(HeaderValue),
    /// After an event whose id no header can carry.
    Unknown,
}

impl ResumePoint {
    fn after(id: &[u8]) -> Self {
        match HeaderValue::from_bytes(id) {
            Ok(id) if !id.is_empty() => Self::After(id),
            _ => Self::Unknown,
        }
    }
}

/// Forwards the events of one response. Dropping it closes the connection to the upstream.
struct EventRelay {
    exchange: Arc<RequestExchange>,
    upstream: Option<UpstreamBody>,
    history: AttemptHistory,
    bill: RequestBill,
    limits: ResponseLimits,
    splitter: EventSplitter,
    /// Memory for the partial event.
    lease: BufferLease,
    ready: VecDeque<Bytes>,
    resume_point: ResumePoint,
    /// Size so far of a response that is no event stream, in bytes.
    plain_bytes: usize,
    events: u64,
    last_event: Option<Instant>,
    is_finished: bool,
    _guard: RunningGuard,
}

type RelayItem = Option<(io::Result<Frame<Bytes>>, EventRelay)>;

enum NextChunk {
    Data(Bytes),
    End,
    Broken(FlightOutcome, String),
}

impl EventRelay {
    fn open(
        exchange: Arc<RequestExchange>,
        opened: OpenResponse,
        history: AttemptHistory,
        bill: RequestBill,
        guard: RunningGuard,
    ) -> Self {
        Self {
            limits: ResponseLimits::new(&exchange.size),
            lease: exchange.state.buffers.lease(),
            exchange,
            upstream: Some(UpstreamBody::open(opened)),
            history,
            bill,
            splitter: EventSplitter::default(),
            ready: VecDeque::new(),
            resume_point: ResumePoint::Start,
            plain_bytes: 0,
            events: 0,
            last_event: None,
            is_finished: false,
            _guard: guard,
        }
    }

    /// Returns the next event of the stream, resuming it at another upstream if it breaks.
    async fn next_frame(mut self) -> RelayItem {
        loop {
            if let Some(event) = self.ready.pop_front() {
                return Some((Ok(Frame::data(event)), self));
            }
            if self.is_finished {
                return None;
            }
            match self.next_chunk().await {
                NextChunk::Data(chunk) => {
                    self.push_chunk(chunk);
                    if self.limits.is_exceeded() {
                        let error = self.break_off("stream exceeds its size limit");
                        return Some((Err(error), self));
                    }
                    // Without this check, an endless event would be buffered until the deadline.
                    if let Err(reason) = self.check_partial().await
                        && let Err(error) = self.resume(FlightOutcome::Lost, &reason).await
                    {
                        return Some((Err(error), self));
                    }
                }
                NextChunk::End if self.is_empty_unframed() => {
                    if let Err(error) = self
                        .resume(FlightOutcome::Lost, "stream ended before its first event")
                        .await
                    {
                        return Some((Err(error), self));
                    }
                }
                NextChunk::End if self.splitter.has_partial_event() => {
                    if let Err(error) = self
                        .resume(FlightOutcome::Lost, "stream ended inside an event")
                        .await
                    {
                        return Some((Err(error), self));
                    }
                }
                NextChunk::End => {
                    self.log_end();
                    self.finish_upstream(FlightOutcome::Answered, true);
                    self.is_finished = true;
                }
                NextChunk::Broken(end, reason) => {
                    if let Err(error) = self.resume(end, &reason).await {
                        return Some((Err(error), self));
                    }
                }
            }
        }
    }

    fn log_end(&self) {
        let Some(upstream) = &self.upstream else {
            return;
        };
        let (id, events) = (self.exchange.id(), self.events);
        let ms = self.exchange.started.elapsed().as_millis();
        let (name, is_unframed) = (&upstream.flight.upstream, upstream.is_unframed());
        log_event!(
            StreamEnded,
            "id={id} events={events} ms={ms} upstream={name} unframed={is_unframed}"
        );
    }

    /// Checks that the partial event may be buffered.
    ///
    /// # Errors
    ///
    /// Returns the reason if it may not.
    async fn check_partial(&mut self) -> Result<(), String> {
        if self.splitter.is_oversized() {
            return Err("event exceeds the size limit".to_owned());
        }
        self.lease.resize(self.splitter.partial_capacity()).await
    }

    /// Returns whether a response that only ends with its connection has no event.
    fn is_empty_unframed(&self) -> bool {
        let upstream = self.upstream.as_ref();
        self.events == 0 && upstream.is_some_and(UpstreamBody::is_unframed)
    }

    /// Returns the next bytes of a response that is not a stream, such as an error of the upstream.
    async fn next_plain_frame(mut self) -> RelayItem {
        if self.is_finished {
            return None;
        }
        match self.next_chunk().await {
            NextChunk::Data(chunk) => {
                self.plain_bytes += chunk.len();
                if self.plain_bytes > RESPONSE_MAX {
                    let error = self.break_off(RESPONSE_TOO_LARGE);
                    return Some((Err(error), self));
                }
                Some((Ok(Frame::data(chunk)), self))
            }
            NextChunk::End => {
                self.finish_upstream(FlightOutcome::Failed, true);
                None
            }
            NextChunk::Broken(end, reason) => {
                self.finish_upstream(end, false);
                self.is_finished = true;
                Some((Err(io::Error::other(reason)), self))
            }
        }
    }

    async fn next_chunk(&mut self) -> NextChunk {
        let end = self.exchange.hard_deadline;
        let Some(upstream) = &mut self.upstream else {
            return NextChunk::Broken(FlightOutcome::Lost, "no upstream is connected".to_owned());
        };
        let crashes = &self.exchange.state.crashes;
        let is_waiting = self.events == 0;
        let frame = tokio::select! {
            frame = timeout_at(end, upstream.body.frame()) => frame,
            () = crashes.wait_blocked(&self.exchange.content), if is_waiting => {
                let reason = CONTENT_BLOCKED.to_owned();
                return NextChunk::Broken(FlightOutcome::Cancelled, reason);
            }
        };
        match frame {
            Ok(Some(Ok(frame))) => match frame.into_data() {
                Ok(data) => match upstream
                    .connection
                    .record_body(data.len(), self.limits.pieces_max)
                {
                    Ok(()) => NextChunk::Data(data),
                    Err(reason) => NextChunk::Broken(FlightOutcome::Lost, reason),
                },
                // Trailers are not forwarded.
                Err(_) => NextChunk::Data(Bytes::new()),
            },
            Ok(Some(Err(error))) => NextChunk::Broken(FlightOutcome::Lost, describe_error(&error)),
            Ok(None) => match check_complete(&mut upstream.witness).await {
                Ok(()) => NextChunk::End,
                Err(end) => NextChunk::Broken(FlightOutcome::Lost, end.to_string()),
            },
            Err(_) => NextChunk::Broken(
                FlightOutcome::TimedOut,
                "deadline of the request has passed".to_owned(),
            ),
        }
    }

    fn push_chunk(&mut self, chunk: Bytes) {
        self.splitter.push(chunk);
        while let Some(event) = self.splitter.next_event() {
            self.observe_event();
            self.limits.record_event(event.len());
            self.events += 1;
            self.bill_event();
            if let Some(id) = find_event_id(&event) {
                self.resume_point = ResumePoint::after(id);
            }
            self.ready.push_back(event);
        }
    }

    fn observe_event(&mut self) {
        let (now, metrics) = (Instant::now(), &self.exchange.state.metrics);
        match self.last_event {
            Some(last) => metrics.observe(TimedStage::EventGap, now - last),
            None => {
                metrics.observe(TimedStage::FirstEvent, now - self.exchange.started);
                if let Some(upstream) = &self.upstream {
                    upstream.flight.record_first_token();
                }
            }
        }
        self.last_event = Some(now);
    }

    /// Bills the tokens of one event; the total is capped at the maximum size of the answer.
    fn bill_event(&mut self) {
        let per_event = self.exchange.service.event_tokens.max(1);
        let limit = self.exchange.size.answer_tokens;
        let before = ((self.events - 1) * per_event).min(limit);
        let after = (self.events * per_event).min(limit);
        self.bill.add_delivered(after - before);
    }

    fn finish_upstream(&mut self, end: FlightOutcome, is_complete: bool) {
        if let Some(upstream) = self.upstream.take() {
            if is_complete {
                let pool = &self.exchange.state.pool;
                let name = upstream.flight.upstream.clone();
                pool.release(&name, upstream.connection, &upstream.headers);
            }
            upstream.flight.finish(end);
        }
    }

    fn upstream_name(&self) -> String {
        let upstream = self.upstream.as_ref();
        upstream.map_or_else(String::new, |upstream| upstream.flight.upstream.to_string())
    }

    /// Ends a response of which too much has been passed on to be resumed.
    fn break_off(&mut self, reason: &str) -> io::Error {
        let lost = self.upstream_name();
        self.finish_upstream(FlightOutcome::Lost, false);
        self.is_finished = true;
        record_broken(&self.exchange, &lost, self.events, reason, "no")
    }

    /// Resumes a broken stream at another upstream if the route allows it.
    async fn resume(&mut self, end: FlightOutcome, reason: &str) -> io::Result<()> {
        let lost = self.upstream_name();
        self.finish_upstream(end, false);
        self.history.record_interruption(end);
        self.splitter = EventSplitter::default();
        let id = self.exchange.id().to_owned();
        let events = self.events;
        let is_late = Instant::now() >= self.exchange.hard_deadline;
        let broken = |why: &str| record_broken(&self.exchange, &lost, events, reason, why);
        if !self.exchange.rule.kind.is_repeatable() || is_late {
            self.is_finished = true;
            return Err(broken("no"));
        }
        let last_id = match self.resume_point.clone() {
            ResumePoint::Start => None,
            ResumePoint::After(id) => Some(id),
            ResumePoint::Unknown => {
                self.is_finished = true;
                return Err(broken("unusable event id"));
            }
        };
        if self.exchange.check_retry(&self.history).is_err() {
            self.is_finished = true;
            return Err(broken("no attempt left"));
        }
        let exchange = Arc::clone(&self.exchange);
        let opened = exchange.open_response(&mut self.history, last_id.as_ref());
        match opened.await {
            Ok(opened) if opened.attempt.response.status() == StatusCode::OK => {
                log_event!(
                    StreamResumed,
                    "id={id} reason={reason} events={events} lost={lost} upstream={}",
                    opened.flight.upstream
                );
                self.exchange.state.metrics.count_resume();
                self.upstream = Some(UpstreamBody::open(opened));
                Ok(())
            }
            Ok(_) => {
                self.is_finished = true;
                Err(broken("refused"))
            }
            Err(_) => {
                self.is_finished = true;
                Err(broken("failed"))
            }
        }
    }
}

/// Records that a stream was broken off, and returns the error that closes the connection to the
/// caller.
fn record_broken(
    exchange: &RequestExchange,
    lost: &str,
    events: u64,
    reason: &str,
    resumed: &str,
) -> io::Error {
    let id = exchange.id();
    log_event!(
        StreamBroken,
        "id={id} upstream={lost} events={events} reason={reason} resumed={resumed}"
    );
    let (kind, metrics) = (exchange.rule.kind, &exchange.state.metrics);
    metrics.count_request(Some(kind), RequestOutcome::Broken);
    io::Error::other("stream broken off")
}
