//! Service calls, which are proxied with method, headers and body.

use std::{sync::Arc, time::Duration};

use axum::{
    body::Body,
    extract::{Request, State},
    response::Response,
};
use bytes::{Bytes, BytesMut};
use cornelarch_core::{
    base::{ServiceName, TokenCount},
    blocklist::Fingerprint,
    config::ServiceSection,
    error::{ErrorKind, RunState},
    retry::AttemptOutcome,
    routing::{RouteRequest, RouteTarget},
};
use futures_util::{StreamExt, stream};
use http::{
    HeaderMap, HeaderName, StatusCode, Uri,
    header::{
        AUTHORIZATION, CONNECTION, CONTENT_LENGTH, HOST, PROXY_AUTHENTICATE, PROXY_AUTHORIZATION,
        TE, TRAILER, TRANSFER_ENCODING, UPGRADE,
    },
};
use reqwest::Method;

use crate::{
    process::{MetricName, RequestIdentity, RouterState, UpstreamAttempt},
    request::{
        RequestRefusal,
        attempt::{AttemptPlan, UpstreamCall, check_blocked},
        bill::{PartialCost, RequestBill},
        context::{RequestContext, TIMEOUT_HEADER},
        order::run_order,
        refusal::{RUN_HEADER, run_value},
        refuse,
    },
};

/// Responses up to this size, in bytes, are buffered, so that a lost connection can be retried.
const MAX_BUFFERED_BYTES: usize = 1024 * 1024;
/// Cost of a service call in the fair queue, in tokens.
const CALL_QUEUE_COST: u64 = 100;
/// Maximum time a service call waits in the queue.
const QUEUE_TIMEOUT: Duration = Duration::from_secs(10);
/// Path prefix of service calls.
const SERVICES_PREFIX: &str = "/services/";
/// Hop-by-hop headers, which are not forwarded.
const CONNECTION_HEADERS: [HeaderName; 8] = [
    CONNECTION,
    PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
    HeaderName::from_static("keep-alive"),
];

/// An admitted service call.
pub(crate) struct ServiceCall {
    pub(crate) context: Arc<RequestContext>,
    pub(crate) service: ServiceName,
    pub(crate) section: ServiceSection,
    pub(crate) method: Method,
    /// Path and query below the service, beginning with `/`.
    pub(crate) path: String,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

/// Response of a service.
pub(crate) struct ServiceResponse {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: ResponseBody,
}

/// Body of a service response.
pub(crate) enum ResponseBody {
    /// The complete body.
    Full(Bytes),
    /// The buffered beginning, with the response that streams the rest.
    Partial(Bytes, UpstreamAttempt, Box<reqwest::Response>),
}

/// Serves `/services/{name}/{path}`.
pub(crate) async fn serve_service(
    State(state): State<Arc<RouterState>>,
    request: Request<Body>,
) -> Response {
    state.metrics.count(MetricName::Requests);
    match run_service(&state, request).await {
        Ok(response) => response,
        Err(refusal) => refuse(&state, refusal),
    }
}

async fn run_service(
    state: &Arc<RouterState>,
    request: Request<Body>,
) -> Result<Response, RequestRefusal> {
    let (parts, body) = request.into_parts();
    let context = RequestContext::open(state, &parts.headers)?;
    let (service, path) = split_path(&parts.uri)?;
    let section = find_service(&context, &service)?;
    let body = context.read_body(&parts.extensions, body).await?;
    let call = ServiceCall {
        context: Arc::new(context),
        service,
        section,
        method: parts.method,
        path,
        headers: parts.headers,
        body,
    };
    check_blocked(&call.context, &call.identity())?;
    if !call.section.is_idempotent(call.method.as_str(), &call.path) {
        return run_order(call).await;
    }
    let bill = call.reserve().await?;
    let (answer, bill) = call.send(bill).await?;
    bill.settle(call.section.cost_per_call);
    state.metrics.count(MetricName::Answers);
    Ok(answer.into_response())
}

impl ServiceCall {
    /// Returns what crashes are charged to: the whole call.
    pub(crate) fn identity(&self) -> RequestIdentity {
        let target = format!("{} {}{}", self.method, self.service, self.path);
        RequestIdentity {
            fingerprint: Fingerprint::compute(&self.context.owner.customer, &target, &self.body),
            parts: Arc::default(),
        }
    }

    /// Reserves the fixed cost of a call.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the ledger rejects the reservation.
    pub(crate) async fn reserve(&self) -> Result<RequestBill, RequestRefusal> {
        let cost: TokenCount = self.section.cost_per_call;
        self.context.reserve(cost, PartialCost::Fixed(cost)).await
    }

    /// Creates the attempt plan.
    pub(crate) fn plan(&self, idempotent: bool) -> AttemptPlan {
        let context = &self.context;
        let mut route = RouteRequest::new(RouteTarget::Service(self.service.clone()));
        route.allowed = context.version.allowed_upstreams(&context.owner.customer);
        let queue_deadline = context.state.now() + QUEUE_TIMEOUT;
        AttemptPlan::new(
            context,
            route,
            self.identity(),
            CALL_QUEUE_COST,
            queue_deadline,
            idempotent,
        )
    }

    /// Returns the upstream call, without hop-by-hop headers and the customer's API key.
    pub(crate) fn upstream_call(&self) -> UpstreamCall {
        let mut headers = self.headers.clone();
        remove_connection_headers(&mut headers);
        for name in [AUTHORIZATION, HOST, CONTENT_LENGTH] {
            headers.remove(name);
        }
        headers.remove(TIMEOUT_HEADER);
        UpstreamCall {
            method: self.method.clone(),
            path: self.path.clone(),
            headers,
            body: self.body.clone(),
            timeout: Duration::from_millis(self.section.timeout_ms),
        }
    }

    /// Sends an idempotent call, with retries.
    async fn send(
        &self,
        mut bill: RequestBill,
    ) -> Result<(ServiceResponse, RequestBill), RequestRefusal> {
        let mut plan = self.plan(true);
        loop {
            let attempt = plan.acquire().await?;
            let upstream = attempt.upstream().cloned();
            bill.mark_sent();
            let outcome = match plan.send(attempt, self.upstream_call()).await {
                Ok((attempt, response)) => match self.read_response(attempt, response).await {
                    Ok(answer) => return Ok((answer, bill)),
                    Err(outcome) => outcome,
                },
                Err(outcome) => outcome,
            };
            if outcome.run_state() == RunState::NotRun && !plan.may_have_run() {
                bill.mark_not_run();
            }
            plan.prepare_retry(upstream, outcome).await?;
        }
    }

    /// Reads a response up to [`MAX_BUFFERED_BYTES`].
    pub(crate) async fn read_response(
        &self,
        attempt: UpstreamAttempt,
        mut response: reqwest::Response,
    ) -> Result<ServiceResponse, AttemptOutcome> {
        attempt.first_token();
        let status = response.status();
        let mut headers = std::mem::take(response.headers_mut());
        remove_connection_headers(&mut headers);
        let deadline = self.context.state.clock.instant(self.context.deadline);
        let mut body = BytesMut::new();
        loop {
            match tokio::time::timeout_at(deadline, response.chunk()).await {
                Ok(Ok(Some(chunk))) => body.extend_from_slice(&chunk),
                Ok(Ok(None)) => break,
                Ok(Err(_)) => {
                    attempt.finish(AttemptOutcome::LostMidStream, true);
                    return Err(AttemptOutcome::LostMidStream);
                }
                Err(_) => {
                    attempt.finish(AttemptOutcome::TimedOut, false);
                    return Err(AttemptOutcome::TimedOut);
                }
            }
            if body.len() > MAX_BUFFERED_BYTES {
                let body = ResponseBody::Partial(body.freeze(), attempt, Box::new(response));
                return Ok(ServiceResponse {
                    status,
                    headers,
                    body,
                });
            }
        }
        attempt.finish(AttemptOutcome::Answered, false);
        Ok(ServiceResponse {
            status,
            headers,
            body: ResponseBody::Full(body.freeze()),
        })
    }
}

impl ServiceResponse {
    /// Builds the response for the caller.
    pub(crate) fn into_response(self) -> Response {
        let body = match self.body {
            ResponseBody::Full(bytes) => Body::from(bytes),
            ResponseBody::Partial(bytes, attempt, response) => {
                let first = stream::once(async move { Ok(bytes) });
                let rest = Body::from_stream(first.chain(response.bytes_stream()));
                // Holding the attempt keeps it counted as in flight until the body ends.
                let rest = rest.into_data_stream().map(move |chunk| {
                    let _ = &attempt;
                    chunk
                });
                Body::from_stream(rest)
            }
        };
        let mut response = Response::new(body);
        *response.status_mut() = self.status;
        *response.headers_mut() = self.headers;
        response
            .headers_mut()
            .insert(RUN_HEADER, run_value(RunState::Ran));
        response
    }
}

fn split_path(uri: &Uri) -> Result<(ServiceName, String), RequestRefusal> {
    let path = uri.path_and_query().map_or("/", |path| path.as_str());
    let rest = path.strip_prefix(SERVICES_PREFIX).unwrap_or_default();
    let end = rest.find(['/', '?']).unwrap_or(rest.len());
    let (name, below) = rest.split_at(end);
    // A service could resolve dot segments to a path outside of it, or to an operation with other
    // idempotency rules in the configuration.
    let plain = below.split('?').next().unwrap_or_default();
    if plain
        .split('/')
        .any(|segment| matches!(segment, "." | ".."))
    {
        let message = "the path must not contain the segments . and ..";
        return Err(RequestRefusal::new(ErrorKind::MalformedRequest, message));
    }
    let below = match below.as_bytes().first() {
        Some(b'/') => below.to_owned(),
        _ => format!("/{below}"),
    };
    Ok((ServiceName::new(name), below))
}

fn find_service(
    context: &RequestContext,
    service: &ServiceName,
) -> Result<ServiceSection, RequestRefusal> {
    let section = context.version.document.services.get(service);
    let section = section.cloned().ok_or_else(|| {
        let message = format!("service {service:?} does not exist");
        RequestRefusal::new(ErrorKind::UnknownService, message)
    })?;
    if !context.customer().services.allows(service) {
        let message = format!("service {service} is not permitted for this key");
        return Err(RequestRefusal::new(ErrorKind::UpstreamForbidden, message));
    }
    Ok(section)
}

/// Removes hop-by-hop headers, including those listed in `Connection`.
fn remove_connection_headers(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|text| text.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named.iter().chain(&CONNECTION_HEADERS) {
        headers.remove(name);
    }
}
