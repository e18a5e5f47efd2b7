//! Load generator and latency statistics.

use std::time::{Duration, Instant};

use cornelarch_standin::engine::EngineHandle;
use futures_util::StreamExt;
use hdrhistogram::Histogram;
use reqwest::Client;
use serde_json::json;
use tokio::task::JoinSet;

use crate::path::{PathError, fleet::CUSTOMER_KEY};

/// The form in which a response is requested.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ResponseMode {
    Json,
    Stream,
}

impl ResponseMode {
    pub(crate) const fn as_str(self) -> &'static str {
        match self {
            Self::Json => "json",
            Self::Stream => "stream",
        }
    }
}

/// A client that sends the same request to one address; clones share a connection pool.
#[derive(Clone)]
pub(crate) struct PathClient {
    client: Client,
    url: String,
    body: String,
    mode: ResponseMode,
}

/// Timing of one response.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ResponseTime {
    /// Time to the complete JSON response, or to the first body chunk of a stream.
    pub(crate) latency: Duration,
    /// Number of stream events that carry a token; 0 for JSON.
    pub(crate) tokens: u64,
}

/// Latency histogram and counters of many requests.
#[derive(Debug)]
pub(crate) struct LatencySummary {
    micros: Histogram<u64>,
    pub(crate) failed: u64,
    pub(crate) tokens: u64,
}

impl LatencySummary {
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

    /// Adds the result of one request; `None` counts as failed.
    pub(crate) fn add(&mut self, result: Option<ResponseTime>) {
        match result {
            Some(time) => {
                let micros = u64::try_from(time.latency.as_micros()).unwrap_or(u64::MAX);
                self.micros.saturating_record(micros);
                self.tokens += time.tokens;
            }
            None => self.failed += 1,
        }
    }

    /// Returns the number of successful responses.
    pub(crate) fn response_count(&self) -> u64 {
        self.micros.len()
    }

    /// Returns a latency quantile in milliseconds.
    pub(crate) fn quantile_ms(&self, quantile: f64) -> f64 {
        self.micros.value_at_quantile(quantile) as f64 / 1_000.0
    }
}

impl PathClient {
    /// Creates a client for a base URL that requests responses of `tokens` tokens.
    ///
    /// # Errors
    ///
    /// Returns an error if the HTTP client cannot be built.
    pub(crate) fn new(base: &str, mode: ResponseMode, tokens: u64) -> Result<Self, PathError> {
        let client = Client::builder().no_proxy().tcp_nodelay(true).build()?;
        let content = format!("A prompt of the usual kind. [tokens={tokens}]");
        let body = json!({
            "model": "larch",
            "messages": [{"role": "user", "content": content}],
            "max_tokens": tokens,
            "stream": mode == ResponseMode::Stream,
        });
        Ok(Self {
            client,
            url: format!("{base}/v1/chat/completions"),
            body: body.to_string(),
            mode,
        })
    }

    /// Creates a client that connects to an engine directly, bypassing the router.
    ///
    /// # Errors
    ///
    /// Returns an error if the HTTP client cannot be built.
    pub(crate) fn direct(
        engine: &EngineHandle,
        mode: ResponseMode,
        tokens: u64,
    ) -> Result<Self, PathError> {
        Self::new(&engine.url(), mode, tokens)
    }

    /// Sends one request and reads the complete response; returns `None` on failure.
    pub(crate) async fn send(&self) -> Option<ResponseTime> {
        let started = Instant::now();
        let request = self.client.post(&self.url).bearer_auth(CUSTOMER_KEY);
        let request = request.header("content-type", "application/json");
        let response = request.body(self.body.clone()).send().await.ok()?;
        let response = response.error_for_status().ok()?;
        match self.mode {
            ResponseMode::Json => {
                response.bytes().await.ok()?;
                let latency = started.elapsed();
                Some(ResponseTime { latency, tokens: 0 })
            }
            ResponseMode::Stream => {
                let mut body = response.bytes_stream();
                let mut latency = None;
                let mut counter = EventCounter::default();
                while let Some(bytes) = body.next().await {
                    latency.get_or_insert_with(|| started.elapsed());
                    counter.push(&bytes.ok()?);
                }
                let tokens = counter.tokens()?;
                Some(ResponseTime {
                    latency: latency?,
                    tokens,
                })
            }
        }
    }

    /// Sends `rate` requests per second for `time`, independent of response times (open loop).
    pub(crate) async fn send_at_rate(
        &self,
        rate: u32,
        time: Duration,
        summary: &mut LatencySummary,
    ) {
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

    /// Keeps `concurrency` requests in progress for `time` (closed loop).
    pub(crate) async fn send_closed_loop(
        &self,
        concurrency: usize,
        time: Duration,
        summary: &mut LatencySummary,
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

/// Counts server-sent events by their blank lines, without parsing them.
#[derive(Default)]
struct EventCounter {
    events: u64,
    last_byte: u8,
}

impl EventCounter {
    fn push(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.events += u64::from(*byte == b'\n' && self.last_byte == b'\n');
            // Two consecutive line feeds end an event; a third one would count as another event.
            self.last_byte = *byte;
        }
    }

    /// Returns the number of events that carry a token, that is all but the final usage event and
    /// `[DONE]`.
    fn tokens(&self) -> Option<u64> {
        self.events.checked_sub(2)
    }
}
