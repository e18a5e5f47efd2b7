//! Entry point of requests: validation, reading of the body, and recording of the outcome.

use std::{sync::Arc, time::Duration};

use cornelarch_callers::CallerEntry;
use cornelarch_core::{
    base::{CustomerName, ServiceName},
    blocklist::content::ContentKey,
    error::{ErrorKind, RunState},
    placement::{RequestSize, find_home_domains},
    route::{CustomerRecord, RouteDocument, RouteKind, RouteLookup, RouteRule, ServiceRecord},
};
use http::{HeaderMap, HeaderValue, Method, Request, Response, Uri, header};
use hyper::body::Incoming;
use rand::Rng;
use tokio::time::Instant;

use crate::{
    process::{GatewayState, RequestOutcome, TimedStage, log_event},
    request::{
        RequestRefusal, ResponseBody,
        body::read_request,
        call::respond_buffered,
        exchange::RequestExchange,
        head::{
            MalformedSize, RequestHead, header_text, read_deadline, read_size, upstream_headers,
        },
        relay::respond_streaming,
    },
};

/// Time reserved for delivering the final response to the caller before its deadline.
const RESPONSE_MARGIN: Duration = Duration::from_millis(5);

/// Serves one request and records its outcome.
pub(crate) async fn handle_request(
    state: Arc<GatewayState>,
    request: Request<Incoming>,
) -> Response<ResponseBody> {
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
            refusal.into_response(rand::rng().random())
        }
    };
    if state.is_draining() || state.is_away() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    response
}

fn log_refusal(id: &str, refusal: RequestRefusal, started: Instant) {
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
    let text = header_text(headers, &state.headers.attempt_id);
    text.unwrap_or("-").to_owned()
}

async fn serve_request(
    state: &Arc<GatewayState>,
    request: Request<Incoming>,
    started: Instant,
    kind: &mut Option<RouteKind>,
) -> Result<Response<ResponseBody>, RequestRefusal> {
    let guard = state.start_request();
    let exchange = open_exchange(state, request, started).await?;
    *kind = Some(exchange.rule.kind);
    if !state.admits(exchange.hard_deadline) {
        return Err(ErrorKind::Draining.into());
    }
    exchange.state.record_request(&exchange.service.name);
    exchange.check_content(&RequestExchange::new_history())?;
    exchange.admit()?;
    let bill = exchange.reserve().await?;
    let metrics = &state.metrics;
    metrics.observe(TimedStage::Reserve, started.elapsed());
    let exchange = Arc::new(exchange);
    match exchange.rule.kind.is_stream() {
        true => respond_streaming(exchange, bill, guard).await,
        false => respond_buffered(&exchange, bill).await,
    }
}

/// Validates a request and reads its body.
async fn open_exchange(
    state: &Arc<GatewayState>,
    request: Request<Incoming>,
    started: Instant,
) -> Result<RequestExchange, RequestRefusal> {
    let document = state.document.load().ok_or(ErrorKind::NotReady)?;
    let (mut parts, body) = request.into_parts();
    let host = header_text(&parts.headers, &header::HOST).ok_or(ErrorKind::MalformedRequest)?;
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
    let time_limit = read_deadline(&parts.headers, &state.headers).unwrap_or(rule.timeout);
    let deadline = started + time_limit;
    let hard_deadline =
        (started + rule.timeout).min(deadline.checked_sub(RESPONSE_MARGIN).unwrap_or(deadline));
    let entry = parts.extensions.remove::<Arc<CallerEntry>>();
    let entry = entry.ok_or(ErrorKind::Internal)?;
    let body = read_request(&entry, body, &document.limits(), hard_deadline).await?;
    let spread = rand::rng().random();
    let service = rule.pick_service(spread).cloned();
    let service = service.ok_or(ErrorKind::NoUpstream)?;
    let size = read_size(&parts.headers, &state.headers);
    let is_charged = customer.as_ref().is_some_and(|c| c.prepaid.is_some());
    let size = match size {
        Ok(size) => size,
        // The cost of the request is unknown.
        Err(MalformedSize) if is_charged => return Err(ErrorKind::MalformedRequest.into()),
        Err(MalformedSize) => RequestSize::default(),
    };
    let uri = parts.uri.into_parts().path_and_query;
    let uri = uri.map_or_else(http::Uri::default, http::Uri::from);
    let content = identify_content(
        &service,
        customer.as_ref(),
        (&parts.method, &uri),
        &body,
        &size,
    );
    let homes = customer.iter().map(|customer| &customer.homes);
    let homes = homes.chain([&rule.homes]);
    Ok(RequestExchange {
        homes: find_home_domains(homes, &state.settings.regions),
        service: find_service(&document, service),
        content,
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
        customer,
        state: Arc::clone(state),
        document,
        rule,
        body,
        size,
        started,
        deadline,
        hard_deadline,
    })
}

/// Returns the keys of the content by which the causes of crashes are recognised.
fn identify_content(
    service: &ServiceName,
    customer: Option<&CustomerRecord>,
    (method, uri): (&Method, &Uri),
    body: &[u8],
    size: &RequestSize,
) -> Arc<[ContentKey]> {
    let anonymous = CustomerName::new("");
    let customer = customer.map_or(&anonymous, |customer| &customer.name);
    let target = format!("{service} {method} {uri}");
    let request = ContentKey::of_request(customer, &target, body);
    let parts = ContentKey::of_parts(service, size);
    parts.chain([request]).collect()
}

fn find_service(document: &RouteDocument, name: ServiceName) -> ServiceRecord {
    document.service(&name).cloned().unwrap_or(ServiceRecord {
        name,
        is_engine: false,
        memory_tokens: 0,
        event_tokens: 1,
        cold: None,
    })
}

/// Returns the customer of a request, or `None` if the route does not require one.
fn find_customer(
    state: &GatewayState,
    document: &RouteDocument,
    rule: &RouteRule,
    headers: &HeaderMap,
) -> Result<Option<CustomerRecord>, RequestRefusal> {
    if rule.is_public || !document.has_customers {
        return Ok(None);
    }
    let key = header_text(headers, &state.headers.customer_key).ok_or(ErrorKind::MissingKey)?;
    match document.find_customer(key) {
        Some(customer) => Ok(Some(customer.clone())),
        None => Err(refuse_unknown(state, ErrorKind::UnknownKey)),
    }
}

/// Refuses a key or path that the configuration does not contain. While the configuration is not
/// confirmed as current, the refusal is `NotReady`, since a newer version may contain it.
fn refuse_unknown(state: &GatewayState, kind: ErrorKind) -> RequestRefusal {
    match state.is_confirmed() {
        true => kind.into(),
        false => ErrorKind::NotReady.into(),
    }
}
