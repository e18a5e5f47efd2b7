//! Requests of the measurement and their times.

use std::time::{Duration, Instant};

use cornelarch_standin::engine::EngineHandle;
use futures_util::StreamExt;
use hdrhistogram::Histogram;
use reqwest::Client;
use serde_json::json;
use tokio::task::JoinSet;

use crate::path::{PathError, fleet::KEY};

/// Tells how an answer is requested.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AnswerMode {
    Json,
    Stream,
}

impl AnswerMode {
    pub(crate) const fn as_str(self) -> &'static str {
        match self {
            Self::Json => "json",
            Self::Stream => "stream",
        }
    }
}

/// Sends the same request to one address; clones share one connection pool.
#[derive(Clone)]
pub(crate) struct PathClient {
    client: Client,
    url: String,
    body: String,
    mode: AnswerMode,
}

/// Holds the times of one answer.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AnswerTime {
    /// The time to the whole JSON answer, or to the first event of a stream.
    pub(crate) first: Duration,
    /// The events of a stream that carry a token.
    pub(crate) tokens: u64,
}

/// Collects the times of many answers.
#[derive(Debug)]
pub(crate) struct TimeSummary {
    micros: Histogram<u64>,
    pub(crate) failed: u64,
    pub(crate) tokens: u64,
}

impl TimeSummary {
    /// Creates an empty summary.
    ///
    /// # Errors
    ///
    /// Returns an error if the histogram cannot be created.
    pub(crate) fn new() -> Result<Self, PathError> {
        let micros = Histogram::new(3)?;
        Ok(Self {
            micros,
            failed: 0,
            tokens: 0,
        })
    }

    /// Adds the result of one request.
    pub(crate) fn add(&mut self, result: Option<AnswerTime>) {
        match result {
            Some(time) => {
                let micros = u64::try_from(time.first.as_micros()).unwrap_or(u64::MAX);
                self.micros.saturating_record(micros);
                self.tokens += time.tokens;
            }
            None => self.failed += 1,
        }
    }

    /// Returns the number of answers.
    pub(crate) fn answers(&self) -> u64 {
        self.micros.len()
    }

    /// Returns a quantile in milliseconds.
    pub(crate) fn quantile_ms(&self, quantile: f64) -> f64 {
        self.micros.value_at_quantile(quantile) as f64 / 1_000.0
    }
}

impl PathClient {
    /// Creates a client for a base URL; answers have `tokens` tokens.
    ///
    /// # Errors
    ///
    /// Returns an error if the HTTP client cannot be built.
    pub(crate) fn new(base: &str, mode: AnswerMode, tokens: u64) -> Result<Self, PathError> {
        let client = Client::builder().no_proxy().tcp_nodelay(true).build()?;
        let content = format!("A prompt of the usual kind. [tokens={tokens}]");
        let body = json!({
            "model": "larch",
            "messages": [{"role": "user", "content": content}],
            "max_tokens": tokens,
            "stream": mode == AnswerMode::Stream,
        });
        Ok(Self {
            client,
            url: format!("{base}/v1/chat/completions"),
            body: body.to_string(),
            mode,
        })
    }

    /// Creates a client that bypasses the router.
    ///
    /// # Errors
    ///
    /// Returns an error if the HTTP client cannot be built.
    pub(crate) fn direct(
        engine: &EngineHandle,
        mode: AnswerMode,
        tokens: u64,
    ) -> Result<Self, PathError> {
        Self::new(&engine.url(), mode, tokens)
    }

    /// Sends one request and reads its whole answer; returns `None` if it fails.
    pub(crate) async fn send(&self) -> Option<AnswerTime> {
        let started = Instant::now();
        let request = self.client.post(&self.url).bearer_auth(KEY);
        let request = request.header("content-type", "application/json");
        let response = request.body(self.body.clone()).send().await.ok()?;
        let response = response.error_for_status().ok()?;
        match self.mode {
            AnswerMode::Json => {
                response.bytes().await.ok()?;
                let first = started.elapsed();
                Some(AnswerTime { first, tokens: 0 })
            }
            AnswerMode::Stream => {
                let mut body = response.bytes_stream();
                let mut first = None;
                let mut counter = EventCounter::default();
                while let Some(bytes) = body.next().await {
                    first.get_or_insert_with(|| started.elapsed());
                    counter.push(&bytes.ok()?);
                }
                let tokens = counter.tokens()?;
                Some(AnswerTime {
                    first: first?,
                    tokens,
                })
            }
        }
    }

    /// Sends `rate` requests per second for `time`, whatever the answers take.
    pub(crate) async fn send_at_rate(&self, rate: u32, time: Duration, summary: &mut TimeSummary) {
        let mut tasks = JoinSet::new();
        let started = tokio::time::Instant::now();
        let count = (f64::from(rate) * time.as_secs_f64()) as u32;
        for index in 0..count {
            tokio::time::sleep_until(started + time * index / count).await;
            let client = self.clone();
            tasks.spawn(async move { client.send().await });
        }
        while let Some(result) = tasks.join_next().await {
            summary.add(result.ok().flatten());
        }
    }

    /// Keeps `concurrency` requests in progress for `time`.
    pub(crate) async fn send_closed(
        &self,
        concurrency: usize,
        time: Duration,
        summary: &mut TimeSummary,
    ) {
        let mut tasks = JoinSet::new();
        let end = Instant::now() + time;
        for _ in 0..concurrency {
            let client = self.clone();
            tasks.spawn(async move {
                let mut results = Vec::new();
                while Instant::now() < end {
                    results.push(client.send().await);
                }
                results
            });
        }
        while let Some(results) = tasks.join_next().await {
            results
                .into_iter()
                .flatten()
                .for_each(|result| summary.add(result));
        }
    }
}

/// Counts the events of a stream without parsing them.
#[derive(Default)]
struct EventCounter {
    events: u64,
    last: u8,
}

impl EventCounter {
    fn push(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.events += u64::from(*byte == b'\n' && self.last == b'\n');
            // Two line feeds end an event; a third one would begin the next.
            self.last = *byte;
        }
    }

    /// Returns the events that carry a token; the last two are the usage and `[DONE]`.
    fn tokens(&self) -> Option<u64> {
        self.events.checked_sub(2)
    }
}
