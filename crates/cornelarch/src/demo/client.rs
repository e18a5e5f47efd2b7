//! HTTP client of the demo's customers, with retries at other routers.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use futures_util::StreamExt;
use reqwest::{Client, Method, RequestBuilder, Response};
use serde_json::Value;

use crate::demo::call::{CallKind, CallRecord, CallResult, CallSpec};

/// Maximum number of attempts at a call.
const MAX_ATTEMPTS: usize = 8;

/// Delay before a retry.
const RETRY_PAUSE: Duration = Duration::from_millis(40);

/// Error kinds that are retried, because another router or a later attempt may succeed.
const RETRYABLE_CODES: [&str; 4] = ["draining", "not_ready", "no_upstream", "overloaded"];

/// Maximum number of attempts that are refused with `budget_unavailable`. It is low because each
/// of these attempts waits at the router for the budget.
const MAX_BUDGET_ATTEMPTS: usize = 2;

/// Client for a fixed list of routers; clones share one connection pool.
#[derive(Clone)]
pub(crate) struct DemoClient {
    pub(crate) http: Client,
    routers: Arc<[SocketAddr]>,
}

impl DemoClient {
    /// Creates a client for the routers at the given addresses.
    ///
    /// # Errors
    ///
    /// Returns an error if the HTTP client cannot be built.
    pub(crate) fn new(routers: Vec<SocketAddr>) -> reqwest::Result<Self> {
        let http = Client::builder().no_proxy().tcp_nodelay(true).build()?;
        let routers = routers.into();
        Ok(Self { http, routers })
    }

    /// Makes a call, starting at router `first` and moving on to the next one with each retry,
    /// until the result is not retryable or the attempts are used up.
    pub(crate) async fn call(&self, spec: CallSpec, first: usize) -> CallRecord {
        let mut attempts = Vec::new();
        for attempt in 0..MAX_ATTEMPTS {
            let router = (first + attempt) % self.routers.len();
            let result = self.send_once(&spec, router).await;
            let retry = should_retry(&result, attempt + 1);
            attempts.push((router, result));
            if !retry {
                break;
            }
            tokio::time::sleep(RETRY_PAUSE).await;
        }
        CallRecord { spec, attempts }
    }

    /// Makes a single attempt at a router.
    pub(crate) async fn send_once(&self, spec: &CallSpec, router: usize) -> CallResult {
        let request = self.build_request(spec, router);
        let response = match request.send().await {
            Ok(response) => response,
            Err(error) => {
                return CallResult::Broken {
                    sent: !error.is_connect(),
                };
            }
        };
        if !response.status().is_success() {
            return read_refusal(response).await;
        }
        match spec.kind {
            CallKind::Stream => read_stream(spec, response).await,
            CallKind::Chat | CallKind::Lookup | CallKind::Order => {
                match response.json::<Value>().await {
                    Ok(answer) => spec.evaluate_json(&answer),
                    Err(_) => CallResult::Broken { sent: true },
                }
            }
        }
    }

    /// Returns a request builder for a path at a router.
    pub(crate) fn request(&self, method: Method, router: usize, path: &str) -> RequestBuilder {
        let address = self.routers[router];
        self.http.request(method, format!("http://{address}{path}"))
    }

    fn build_request(&self, spec: &CallSpec, router: usize) -> RequestBuilder {
        let method = match spec.kind {
            CallKind::Lookup => Method::GET,
            CallKind::Chat | CallKind::Stream | CallKind::Order => Method::POST,
        };
        let mut request = self
            .request(method, router, &spec.path())
            .bearer_auth(spec.key());
        if spec.kind == CallKind::Order {
            request = request.header("idempotency-key", &spec.payload);
        }
        match spec.body() {
            Some(body) => request.json(&body),
            None => request,
        }
    }
}

/// Converts an error response to a result.
pub(crate) async fn read_refusal(response: Response) -> CallResult {
    let run = response.headers().get("x-cornelarch-run").cloned();
    let run = run.and_then(|run| run.to_str().map(str::to_owned).ok());
    match (response.json::<Value>().await, run) {
        (Ok(body), Some(run)) => CallResult::Refused {
            code: body["error"]["kind"].as_str().unwrap_or("none").to_owned(),
            run,
        },
        // Without a run state, the call may have been executed, as after a lost connection.
        _ => CallResult::Broken { sent: true },
    }
}

fn should_retry(result: &CallResult, attempts: usize) -> bool {
    match result {
        CallResult::Answered { .. } => false,
        CallResult::Refused { code, .. } if code == "budget_unavailable" => {
            attempts < MAX_BUDGET_ATTEMPTS
        }
        CallResult::Refused { code, .. } => RETRYABLE_CODES.contains(&code.as_str()),
        CallResult::Broken { .. } => true,
    }
}

/// Reads an event stream to its end. A stream that ends without `[DONE]`, or whose sequence numbers
/// are not consecutive, counts as broken.
async fn read_stream(spec: &CallSpec, response: Response) -> CallResult {
    let mut reader = StreamReader::default();
    let mut body = response.bytes_stream();
    while let Some(Ok(bytes)) = body.next().await {
        reader.push(&bytes);
    }
    match reader.done && reader.in_order {
        true => spec.evaluate_text(&reader.text, reader.tokens),
        false => CallResult::Broken { sent: true },
    }
}

/// Incremental parser for an event stream, which accumulates the answer.
struct StreamReader {
    buffer: Vec<u8>,
    text: String,
    next_sequence: u64,
    in_order: bool,
    tokens: Option<u64>,
    done: bool,
}

impl Default for StreamReader {
    fn default() -> Self {
        Self {
            buffer: Vec::new(),
            text: String::new(),
            next_sequence: 0,
            in_order: true,
            tokens: None,
            done: false,
        }
    }
}

impl StreamReader {
    fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
        while let Some(end) = self.buffer.windows(2).position(|pair| pair == b"\n\n") {
            let event: Vec<u8> = self.buffer.drain(..end + 2).collect();
            self.push_event(&String::from_utf8_lossy(&event));
        }
    }

    fn push_event(&mut self, event: &str) {
        let Some(data) = event.lines().find_map(|line| line.strip_prefix("data: ")) else {
            return;
        };
        if data == "[DONE]" {
            self.done = true;
            return;
        }
        let chunk: Value = serde_json::from_str(data).unwrap_or_default();
        self.in_order &= chunk["x_sequence"].as_u64() == Some(self.next_sequence);
        self.next_sequence += 1;
        self.text += chunk["choices"][0]["delta"]["content"]
            .as_str()
            .unwrap_or_default();
        self.tokens = chunk["usage"]["total_tokens"].as_u64().or(self.tokens);
    }
}
