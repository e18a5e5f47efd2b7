//! Event streams that are passed on as they arrive.

use std::{collections::VecDeque, io, sync::Arc};

use bytes::Bytes;
use cornelarch_core::{
    placement::FlightEnd,
    stream::{EventSplitter, find_event_id},
};
use futures_util::stream;
use http::{Response, StatusCode};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use tokio::time::{Instant, timeout_at};

use crate::{
    connection::PooledConnection,
    process::{RequestOutcome, RunningGuard, TimedStage, log_event},
    request::{
        AnswerBody, RequestRefusal,
        bill::RequestBill,
        exchange::{AttemptLog, BegunAnswer, RequestExchange},
        flight::RequestFlight,
        head::passed_headers,
    },
};

/// Sends a request and passes the events of its answer on.
///
/// # Errors
///
/// Returns the refusal or failure for the caller if no upstream began an answer.
pub(crate) async fn answer_stream(
    exchange: Arc<RequestExchange>,
    bill: RequestBill,
    guard: RunningGuard,
) -> Result<Response<AnswerBody>, RequestRefusal> {
    let mut log = RequestExchange::open_log();
    let begun = exchange.begin_answer(&mut log, None).await?;
    let response = &begun.answer.response;
    let (status, headers) = (response.status(), passed_headers(response.headers()));
    let relay = EventRelay::open(exchange, begun, log, bill, guard);
    let body = match status {
        StatusCode::OK => StreamBody::new(stream::unfold(relay, EventRelay::step)).boxed_unsync(),
        _ => StreamBody::new(stream::unfold(relay, EventRelay::step_plain)).boxed_unsync(),
    };
    let mut answer = Response::new(body);
    *answer.status_mut() = status;
    *answer.headers_mut() = headers;
    Ok(answer)
}

/// The part of a relay that belongs to the current upstream.
struct UpstreamStream {
    body: Incoming,
    connection: PooledConnection,
    headers: http::HeaderMap,
    flight: RequestFlight,
}

impl UpstreamStream {
    fn open(begun: BegunAnswer) -> Self {
        let (parts, body) = begun.answer.response.into_parts();
        Self {
            body,
            connection: begun.answer.connection,
            headers: parts.headers,
            flight: begun.flight,
        }
    }
}

/// Passes the events of one answer on. Dropping it closes the connection to the upstream.
struct EventRelay {
    exchange: Arc<RequestExchange>,
    upstream: Option<UpstreamStream>,
    log: AttemptLog,
    bill: RequestBill,
    splitter: EventSplitter,
    ready: VecDeque<Bytes>,
    last_id: Option<String>,
    events: u64,
    last_event: Option<Instant>,
    is_over: bool,
    _guard: RunningGuard,
}

type RelayItem = Option<(io::Result<Frame<Bytes>>, EventRelay)>;

enum NextChunk {
    Data(Bytes),
    End,
    Broken(FlightEnd, String),
}

impl EventRelay {
    fn open(
        exchange: Arc<RequestExchange>,
        begun: BegunAnswer,
        log: AttemptLog,
        bill: RequestBill,
        guard: RunningGuard,
    ) -> Self {
        Self {
            exchange,
            upstream: Some(UpstreamStream::open(begun)),
            log,
            bill,
            splitter: EventSplitter::default(),
            ready: VecDeque::new(),
            last_id: None,
            events: 0,
            last_event: None,
            is_over: false,
            _guard: guard,
        }
    }

    /// Returns the next event of a stream.
    async fn step(mut self) -> RelayItem {
        loop {
            if let Some(event) = self.ready.pop_front() {
                return Some((Ok(Frame::data(event)), self));
            }
            if self.is_over {
                return None;
            }
            match self.next_chunk().await {
                NextChunk::Data(chunk) => {
                    self.take_chunk(chunk);
                    // Bytes without the end of an event would be kept until the time limit.
                    if self.splitter.is_oversized()
                        && let Err(error) = self.resume(FlightEnd::Lost, "endless event").await
                    {
                        return Some((Err(error), self));
                    }
                }
                NextChunk::End if self.splitter.has_partial_event() => {
                    if let Err(error) = self.resume(FlightEnd::Lost, "torn event").await {
                        return Some((Err(error), self));
                    }
                }
                NextChunk::End => {
                    self.finish_upstream(FlightEnd::Answered, true);
                    self.is_over = true;
                    let ms = self.exchange.started.elapsed().as_millis();
                    let (id, events) = (self.exchange.id(), self.events);
                    log_event!(StreamEnded, "id={id} events={events} ms={ms}");
                }
                NextChunk::Broken(end, reason) => {
                    if let Err(error) = self.resume(end, &reason).await {
                        return Some((Err(error), self));
                    }
                }
            }
        }
    }

    /// Returns the next bytes of an answer that is no stream, such as an error of the upstream.
    async fn step_plain(mut self) -> RelayItem {
        if self.is_over {
            return None;
        }
        match self.next_chunk().await {
            NextChunk::Data(chunk) => Some((Ok(Frame::data(chunk)), self)),
            NextChunk::End => {
                self.finish_upstream(FlightEnd::Failed, true);
                None
            }
            NextChunk::Broken(end, reason) => {
                self.finish_upstream(end, false);
                self.is_over = true;
                Some((Err(io::Error::other(reason)), self))
            }
        }
    }

    async fn next_chunk(&mut self) -> NextChunk {
        let end = self.exchange.end;
        let Some(upstream) = &mut self.upstream else {
            return NextChunk::Broken(FlightEnd::Lost, "no upstream".to_owned());
        };
        match timeout_at(end, upstream.body.frame()).await {
            Ok(Some(Ok(frame))) => match frame.into_data() {
                Ok(data) => NextChunk::Data(data),
                // Trailers carry nothing for the caller.
                Err(_) => NextChunk::Data(Bytes::new()),
            },
            Ok(Some(Err(error))) => NextChunk::Broken(FlightEnd::Lost, error.to_string()),
            Ok(None) => NextChunk::End,
            Err(_) => NextChunk::Broken(FlightEnd::TimedOut, "time limit".to_owned()),
        }
    }

    fn take_chunk(&mut self, chunk: Bytes) {
        self.splitter.push(chunk);
        while let Some(event) = self.splitter.next_event() {
            self.observe_event();
            self.events += 1;
            self.bill_event();
            if let Some(id) = find_event_id(&event) {
                self.last_id = Some(id.to_owned());
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
                    upstream.flight.begin();
                }
            }
        }
        self.last_event = Some(now);
    }

    /// Bills the tokens of one event, at most up to the largest answer.
    fn bill_event(&mut self) {
        let per_event = self.exchange.service.event_tokens.max(1);
        let most = self.exchange.size.answer_tokens;
        let before = ((self.events - 1) * per_event).min(most);
        let after = (self.events * per_event).min(most);
        self.bill.add_delivered(after - before);
    }

    fn finish_upstream(&mut self, end: FlightEnd, is_complete: bool) {
        if let Some(upstream) = self.upstream.take() {
            if is_complete {
                let pool = &self.exchange.state.pool;
                let name = upstream.flight.upstream.clone();
                pool.keep(&name, upstream.connection, &upstream.headers);
            }
            upstream.flight.finish(end);
        }
    }

    /// Continues a broken stream at another upstream if the route allows it.
    async fn resume(&mut self, end: FlightEnd, reason: &str) -> io::Result<()> {
        self.finish_upstream(end, false);
        self.log.record_broken(end);
        self.splitter = EventSplitter::default();
        let id = self.exchange.id().to_owned();
        let is_late = Instant::now() >= self.exchange.end;
        let broken = |why: &str| {
            log_event!(StreamBroken, "id={id} reason={reason} resumed={why}");
            let kind = Some(self.exchange.rule.kind);
            let metrics = &self.exchange.state.metrics;
            metrics.count_request(kind, RequestOutcome::Broken);
            io::Error::other("stream broken off")
        };
        if !self.exchange.rule.kind.is_repeatable() || is_late {
            self.is_over = true;
            return Err(broken("no"));
        }
        if self.exchange.check_repeat(&self.log).is_err() {
            self.is_over = true;
            return Err(broken("no attempt left"));
        }
        let exchange = Arc::clone(&self.exchange);
        let last_id = self.last_id.clone();
        let begun = exchange.begin_answer(&mut self.log, last_id.as_deref());
        match begun.await {
            Ok(begun) if begun.answer.response.status() == StatusCode::OK => {
                log_event!(
                    StreamResumed,
                    "id={id} reason={reason} events={} upstream={}",
                    self.events,
                    begun.flight.upstream
                );
                self.exchange.state.metrics.count_resume();
                self.upstream = Some(UpstreamStream::open(begun));
                Ok(())
            }
            Ok(_) => {
                self.is_over = true;
                Err(broken("refused"))
            }
            Err(_) => {
                self.is_over = true;
                Err(broken("failed"))
            }
        }
    }
}
