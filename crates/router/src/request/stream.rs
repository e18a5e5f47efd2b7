//! Streamed chat responses: chunk order, resumption, backpressure and cancellation.

use std::{
    convert::Infallible,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    task::{Context, Poll},
    time::Duration,
};

use axum::{
    body::Body,
    response::{IntoResponse, Response},
};
use bytes::{Bytes, BytesMut};
use cornelarch_core::{
    base::{MonotonicTime, TokenCount},
    error::{ErrorKind, RunState},
    retry::AttemptOutcome,
    stream::{
        AttemptNumber, EventSplitter, StreamAssembler, StreamChunk, StreamEffect, StreamEvent,
        StreamId, StreamOptions,
    },
};
use futures_util::Stream;
use http::{
    HeaderValue,
    header::{CACHE_CONTROL, CONTENT_TYPE, HeaderName},
};
use tokio::{
    sync::{mpsc, oneshot},
    time::{Sleep, sleep_until},
};

use crate::{
    process::{MetricName, RouterState, UpstreamAttempt, log_event},
    request::{
        RequestRefusal,
        attempt::{AttemptHead, AttemptPlan, is_refusal},
        bill::{PartialCost, RequestBill},
        chat::{ChatRequest, build_json_response, read_response, read_usage},
        refusal::{RUN_HEADER, run_value},
        sse::{ChunkFields, event_payload, find_text, is_done, read_chunk_fields},
    },
};

/// Event that terminates a complete response.
const DONE_EVENT: &[u8] = b"data: [DONE]\n\n";

/// Maximum time to read the end of an upstream response after its last chunk.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(50);

/// Events for the caller, with the number of tokens in them.
#[derive(Debug)]
struct StreamFrame {
    bytes: Bytes,
    tokens: u64,
}

/// Raw event of a chunk, with the fields read from it.
#[derive(Clone, Debug)]
struct ChunkPayload {
    event: Bytes,
    fields: ChunkFields,
}

/// Result for the handler that waits for the first event: `None` if a stream starts, a response if
/// the engine replied with JSON, or a refusal.
type StreamHead = Result<Option<Response>, RequestRefusal>;

/// How a stream ends without an error.
enum StreamOutcome {
    Complete,
    CallerDisconnected,
}

/// How the response of one attempt ends.
enum AttemptResult {
    Complete,
    CallerDisconnected,
    Failed(AttemptOutcome),
}

/// Starts a streamed request and returns the response once the first event has arrived.
pub(crate) async fn start_stream(
    chat: ChatRequest,
    bill: RequestBill,
) -> Result<Response, RequestRefusal> {
    let state = Arc::clone(&chat.context.state);
    let (sender, receiver) = mpsc::channel(state.settings.stream_buffer);
    let (head_sender, head) = oneshot::channel();
    let consumed = Arc::new(AtomicU64::new(0));
    let run = StreamRun::new(chat, bill, sender, head_sender, Arc::clone(&consumed));
    state.spawn_request(run.run());
    match head.await {
        Ok(Ok(None)) => Ok(build_response(CallerStream { receiver, consumed })),
        Ok(Ok(Some(response))) => Ok(response),
        Ok(Err(refusal)) => Err(refusal),
        Err(_) => Err(RequestRefusal::new(
            ErrorKind::Internal,
            "the stream failed",
        )),
    }
}

fn build_response(stream: CallerStream) -> Response {
    let headers = [
        (CONTENT_TYPE, HeaderValue::from_static("text/event-stream")),
        (CACHE_CONTROL, HeaderValue::from_static("no-cache")),
        (
            HeaderName::from_static(RUN_HEADER),
            run_value(RunState::Ran),
        ),
    ];
    (headers, Body::from_stream(stream)).into_response()
}

/// Response body stream that counts the tokens handed to the caller's connection.
struct CallerStream {
    receiver: mpsc::Receiver<StreamFrame>,
    consumed: Arc<AtomicU64>,
}

impl Stream for CallerStream {
    type Item = Result<Bytes, Infallible>;

    fn poll_next(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        let frame = std::task::ready!(self.receiver.poll_recv(context));
        Poll::Ready(frame.map(|frame| {
            self.consumed.fetch_add(frame.tokens, Ordering::Relaxed);
            Ok(frame.bytes)
        }))
    }
}

/// State of one streamed request, across its attempts.
struct StreamRun {
    chat: ChatRequest,
    bill: RequestBill,
    sender: mpsc::Sender<StreamFrame>,
    head: Option<oneshot::Sender<StreamHead>>,
    consumed: Arc<AtomicU64>,
    assembler: StreamAssembler<ChunkPayload>,
    attempt_number: u32,
    /// Text delivered so far, still JSON-escaped. Kept only if the model supports resumption.
    text: BytesMut,
    prompt_tokens: Option<u64>,
    usage: Option<TokenCount>,
    delivered: u64,
}

impl StreamRun {
    fn new(
        chat: ChatRequest,
        bill: RequestBill,
        sender: mpsc::Sender<StreamFrame>,
        head: oneshot::Sender<StreamHead>,
        consumed: Arc<AtomicU64>,
    ) -> Self {
        let id = StreamId(chat.identity.fingerprint.bits() as u64);
        Self {
            assembler: StreamAssembler::new(id, StreamOptions::default()),
            chat,
            bill,
            sender,
            head: Some(head),
            consumed,
            attempt_number: 0,
            text: BytesMut::new(),
            prompt_tokens: None,
            usage: None,
            delivered: 0,
        }
    }

    fn state(&self) -> &RouterState {
        &self.chat.context.state
    }

    async fn run(mut self) {
        let mut plan = self.chat.plan();
        let result = self.run_attempts(&mut plan).await;
        let metrics = &self.state().metrics;
        match result {
            Ok(StreamOutcome::Complete) => {
                metrics.count(MetricName::Answers);
                self.settle();
            }
            Ok(StreamOutcome::CallerDisconnected) => {
                metrics.count(MetricName::Disconnects);
                self.delivered = self.consumed.load(Ordering::Relaxed);
                self.update_partial_cost();
            }
            Err(refusal) => self.send_failure(refusal).await,
        }
    }

    fn settle(self) {
        let partial_cost = self.partial_cost();
        let Self { bill, usage, .. } = self;
        bill.settle(usage.unwrap_or_else(|| partial_cost.amount()));
    }

    fn partial_cost(&self) -> PartialCost {
        let estimate = || self.chat.body.estimated_prompt_tokens();
        PartialCost::Tokens {
            prompt: self.prompt_tokens.unwrap_or_else(estimate),
            delivered: self.delivered,
        }
    }

    fn update_partial_cost(&mut self) {
        let partial_cost = self.partial_cost();
        self.bill.set_partial(partial_cost);
    }

    /// Reports a failure to the caller: as a refusal before the first event, or as an error event
    /// in the stream.
    async fn send_failure(mut self, refusal: RequestRefusal) {
        self.update_partial_cost();
        match self.head.take() {
            // The channel is closed if the caller has disconnected.
            Some(head) => drop(head.send(Err(refusal))),
            None => {
                self.state().metrics.count(MetricName::BrokenStreams);
                log_event!(StreamBroken, "{}", refusal.message);
                let bytes = Bytes::from(format!("event: error\ndata: {}\n\n", refusal.body()));
                let deadline = tokio::time::Instant::now() + Duration::from_secs(1);
                let frame = StreamFrame { bytes, tokens: 0 };
                let _ = tokio::time::timeout_at(deadline, self.sender.send(frame)).await;
            }
        }
    }

    async fn run_attempts(
        &mut self,
        plan: &mut AttemptPlan,
    ) -> Result<StreamOutcome, RequestRefusal> {
        loop {
            let sender = self.sender.clone();
            let attempt = tokio::select! {
            biased;
            result = plan.acquire() => result?,
            () = sender.closed() => return Ok(StreamOutcome::CallerDisconnected),
            };
            let upstream = attempt.upstream().cloned();
            self.start_attempt();
            self.bill.mark_sent();
            let resume =
                (self.delivered > 0).then(|| (self.assembler.next_sequence(), self.text.as_ref()));
            let call = self.chat.call(resume);
            let head = tokio::select! {
            biased;
            head = plan.send(attempt, call) => head,
            () = sender.closed() => return Ok(StreamOutcome::CallerDisconnected),
            };
            let outcome = match self.handle_head(head, plan).await {
                AttemptResult::Complete => return Ok(StreamOutcome::Complete),
                AttemptResult::CallerDisconnected => return Ok(StreamOutcome::CallerDisconnected),
                AttemptResult::Failed(outcome) => outcome,
            };
            if outcome.run_state() == RunState::NotRun && !plan.may_have_run() {
                self.bill.mark_not_run();
            }
            self.update_partial_cost();
            plan.set_delivered(self.delivered, self.chat.model.resume);
            tokio::select! {
            biased;
            result = plan.prepare_retry(upstream, outcome) => result?,
            () = sender.closed() => return Ok(StreamOutcome::CallerDisconnected),
            }
            if self.delivered > 0 {
                self.state().metrics.count(MetricName::Resumes);
                log_event!(
                    StreamResumed,
                    "from chunk {}",
                    self.assembler.next_sequence()
                );
            }
        }
    }

    fn start_attempt(&mut self) {
        self.attempt_number += 1;
        let number = AttemptNumber(self.attempt_number);
        let now = self.state().now();
        self.assembler
            .handle(StreamEvent::AttemptStarted(number), now);
    }

    async fn handle_head(&mut self, head: AttemptHead, plan: &AttemptPlan) -> AttemptResult {
        let (attempt, response) = match head {
            Ok((attempt, response)) => (attempt, response),
            Err(outcome) => return AttemptResult::Failed(outcome),
        };
        let status = response.status();
        if status.is_success() {
            return AttemptForwarder::new(self, attempt).run(response).await;
        }
        if is_refusal(status) {
            attempt.finish(AttemptOutcome::Refused, false);
            return AttemptResult::Failed(AttemptOutcome::Refused);
        }
        // An engine that rejects the request sends JSON instead of a stream.
        match read_response(&self.chat, attempt, response).await {
            Ok((status, body)) if self.head.is_some() && !plan.may_have_run() => {
                self.usage = Some(read_usage(&body).unwrap_or_default());
                let response = build_json_response(&self.chat, status, body);
                if let Some(head) = self.head.take() {
                    let _ = head.send(Ok(Some(response)));
                }
                AttemptResult::Complete
            }
            Ok(_) => AttemptResult::Failed(AttemptOutcome::LostBeforeFirst),
            Err(outcome) => AttemptResult::Failed(outcome),
        }
    }

    /// Records the next chunk in order: tokens, usage and the text for resumption.
    fn deliver(&mut self, sequence: u64, chunk: &ChunkPayload) {
        if sequence == 0 {
            self.prompt_tokens = chunk.fields.prompt_tokens;
        }
        if chunk.fields.last {
            self.usage = event_payload(&chunk.event).and_then(read_usage);
            return;
        }
        self.delivered += 1;
        if self.chat.model.resume
            && let Some(payload) = event_payload(&chunk.event)
            && let Some(text) = find_text(payload, "content")
        {
            self.text.extend_from_slice(text);
        }
    }

    /// Notifies the handler that the first event has arrived.
    fn send_head(&mut self) {
        if let Some(head) = self.head.take() {
            let state = self.state();
            let latency = state.now().since(self.chat.context.started);
            state.metrics.time(MetricName::FirstByte, latency);
            let _ = head.send(Ok(None));
        }
    }
}

/// Forwards the chunks of one attempt to the caller.
struct AttemptForwarder<'a> {
    run: &'a mut StreamRun,
    attempt: UpstreamAttempt,
    splitter: EventSplitter,
    /// Sequence number of the next chunk, for engines that send none.
    next_sequence: u64,
    last_chunk: MonotonicTime,
    ready: Vec<Bytes>,
    failure: Option<AttemptOutcome>,
    complete: bool,
}

impl<'a> AttemptForwarder<'a> {
    fn new(run: &'a mut StreamRun, attempt: UpstreamAttempt) -> Self {
        Self {
            next_sequence: run.assembler.next_sequence(),
            last_chunk: run.state().now(),
            run,
            attempt,
            splitter: EventSplitter::default(),
            ready: Vec::new(),
            failure: None,
            complete: false,
        }
    }

    async fn run(mut self, mut response: reqwest::Response) -> AttemptResult {
        let cancelled = self.attempt.cancel_token();
        let sender = self.run.sender.clone();
        let mut closed = std::pin::pin!(sender.closed());
        let mut timer = std::pin::pin!(sleep_until(self.next_deadline()));
        loop {
            tokio::select! {
            biased;
            chunk = response.chunk() => match chunk {
            Ok(Some(chunk)) => self.handle_bytes(chunk),
            Ok(None) => return self.finish_lost(false),
            Err(error) => {
            log::debug!("upstream stream failed: {error:?}");
            return self.finish_lost(true);
            }
            },
            () = &mut closed => return self.finish_disconnected(),
            () = cancelled.cancelled() => {
            self.attempt.finish(AttemptOutcome::Cancelled, false);
            return AttemptResult::Failed(AttemptOutcome::Cancelled);
            }
            () = &mut timer => {
            self.check_timers();
            let due = self.next_deadline();
            timer.as_mut().reset(due);
            }
            }
            if !self.send_ready().await {
                return self.finish_disconnected();
            }
            if self.complete {
                self.attempt.finish(AttemptOutcome::Answered, false);
                drain_response(response).await;
                return AttemptResult::Complete;
            }
            if let Some(outcome) = self.failure {
                self.attempt.finish(outcome, false);
                return AttemptResult::Failed(outcome);
            }
            self.advance_timer(timer.as_mut());
        }
    }

    fn finish_disconnected(self) -> AttemptResult {
        // Dropping the response closes its connection, which cancels the request at the upstream.
        self.attempt.finish(AttemptOutcome::Cancelled, false);
        AttemptResult::CallerDisconnected
    }

    fn handle_bytes(&mut self, chunk: Bytes) {
        self.last_chunk = self.run.state().now();
        self.splitter.push(chunk);
        while let Some(event) = self.splitter.next_event() {
            self.handle_event(event);
        }
        if self.splitter.is_oversized() {
            self.failure = Some(AttemptOutcome::LostMidStream);
        }
    }

    fn handle_event(&mut self, event: Bytes) {
        let Some(payload) = event_payload(&event) else {
            return;
        };
        if self.complete || is_done(payload) {
            return;
        }
        let fields = read_chunk_fields(payload);
        let sequence = fields.sequence.unwrap_or(self.next_sequence);
        self.next_sequence = sequence + 1;
        let chunk = StreamChunk {
            stream: StreamId(self.run.chat.identity.fingerprint.bits() as u64),
            attempt: AttemptNumber(self.run.attempt_number),
            sequence,
            last: fields.last,
            payload: ChunkPayload { event, fields },
        };
        let event = StreamEvent::Chunk(chunk);
        let effects = self.run.assembler.handle(event, self.last_chunk);
        self.apply(effects);
    }

    fn apply(&mut self, effects: Vec<StreamEffect<ChunkPayload>>) {
        for effect in effects {
            match effect {
                StreamEffect::Deliver { sequence, payload } => {
                    if self.run.delivered == 0 {
                        self.attempt.first_token();
                    }
                    self.run.deliver(sequence, &payload);
                    self.ready.push(payload.event);
                }
                StreamEffect::Complete => {
                    self.complete = true;
                    self.ready.push(Bytes::from_static(DONE_EVENT));
                }
                StreamEffect::AttemptLost { outcome, .. } => self.failure = Some(outcome),
                // Dropping the forwarder ends the attempt and closes its connection.
                StreamEffect::Cancel(_) => {}
            }
        }
    }

    /// Sends the ready events to the caller. Returns `false` if the caller has disconnected or does
    /// not accept them before the deadline.
    async fn send_ready(&mut self) -> bool {
        if self.ready.is_empty() {
            return true;
        }
        self.run.send_head();
        self.run.update_partial_cost();
        let tokens = self.ready.len() as u64 - u64::from(self.complete);
        let bytes = match self.ready.as_mut_slice() {
            [event] => std::mem::take(event),
            events => join_events(events),
        };
        self.ready.clear();
        let deadline = self
            .run
            .state()
            .clock
            .instant(self.run.chat.context.deadline);
        let frame = StreamFrame { bytes, tokens };
        match self.run.sender.try_send(frame) {
            Ok(()) => true,
            Err(mpsc::error::TrySendError::Closed(_)) => false,
            Err(mpsc::error::TrySendError::Full(frame)) => {
                let sent = tokio::time::timeout_at(deadline, self.run.sender.send(frame)).await;
                // Waiting for a slow caller does not count as upstream idle time.
                self.last_chunk = self.run.state().now();
                matches!(sent, Ok(Ok(())))
            }
        }
    }

    fn finish_lost(self, broken: bool) -> AttemptResult {
        let outcome = match self.run.assembler.next_sequence() {
            0 => AttemptOutcome::LostBeforeFirst,
            _ => AttemptOutcome::LostMidStream,
        };
        self.attempt.finish(outcome, broken);
        AttemptResult::Failed(outcome)
    }

    fn idle_limit(&self) -> Duration {
        let model = &self.run.chat.model;
        Duration::from_millis(match self.run.delivered {
            0 => model.first_token_timeout_ms,
            _ => model.chunk_timeout_ms,
        })
    }

    fn next_deadline(&self) -> tokio::time::Instant {
        let idle = self.last_chunk + self.idle_limit();
        let due = idle.min(self.run.chat.context.deadline);
        let gap = self.run.assembler.next_timer();
        let due = gap.map_or(due, |gap| gap.min(due));
        self.run.state().clock.instant(due)
    }

    fn check_timers(&mut self) {
        let now = self.run.state().now();
        let effects = self.run.assembler.handle(StreamEvent::Tick, now);
        self.apply(effects);
        let deadline = self
            .run
            .chat
            .context
            .deadline
            .min(self.last_chunk + self.idle_limit());
        if self.failure.is_none() && now >= deadline {
            self.failure = Some(AttemptOutcome::TimedOut);
        }
    }

    /// Resets the timer to an earlier deadline if a chunk is missing. A later deadline takes effect
    /// only when the timer fires, because a reset per chunk costs more than a spurious wake-up.
    fn advance_timer(&self, timer: Pin<&mut Sleep>) {
        if self.run.assembler.next_timer().is_some() {
            let due = self.next_deadline();
            if due < timer.deadline() {
                timer.reset(due);
            }
        }
    }
}

/// Reads the rest of a complete response, so that its connection can be reused.
async fn drain_response(mut response: reqwest::Response) {
    let rest = async { while let Ok(Some(_)) = response.chunk().await {} };
    let _ = tokio::time::timeout(DRAIN_TIMEOUT, rest).await;
}

fn join_events(events: &[Bytes]) -> Bytes {
    let mut joined = BytesMut::with_capacity(events.iter().map(Bytes::len).sum());
    for event in events {
        joined.extend_from_slice(event);
    }
    joined.freeze()
}
