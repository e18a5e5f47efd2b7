//! Parsing of request heads and selection of the headers to forward.

use std::time::Duration;

use cornelarch_core::{
    notice::{LimitNotice, UpstreamNotice, parse_delay, parse_rate},
    placement::{PromptPart, RequestSize},
};
use http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode, Uri, header};
use hyper::body::Body;

use crate::{connection::connection_options, edge::HeaderNames, process::log_event};

/// Hop-by-hop headers, and the length, which hyper sets anew.
const CONNECTION_HEADERS: [HeaderName; 8] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::CONTENT_LENGTH,
];
/// Header with the idle timeout of a connection.
const KEEP_ALIVE: &str = "keep-alive";
/// Header with the id of the event after which an event stream resumes.
pub(crate) const LAST_EVENT_ID: &str = "last-event-id";

/// Parts of the request head that are the same in every attempt.
#[derive(Clone, Debug)]
pub(crate) struct RequestHead {
    pub(crate) method: Method,
    /// Path and query of the caller's request, unchanged.
    pub(crate) uri: Uri,
    /// Headers without the hop-by-hop headers and those that only the gateway may set.
    pub(crate) headers: HeaderMap,
    /// Identifies the attempt of the caller; responses echo it.
    pub(crate) attempt_id: HeaderValue,
}

/// A request states its size, but not in numbers that can be read.
#[derive(Clone, Copy, Debug)]
pub(crate) struct MalformedSize;

/// Returns whether a response has a body without a length or chunks, which ends with its connection.
pub(crate) fn is_unframed(headers: &HeaderMap, body: &impl Body) -> bool {
    let has_framing = headers.contains_key(header::CONTENT_LENGTH)
        || headers.contains_key(header::TRANSFER_ENCODING);
    !has_framing && !body.is_end_stream()
}

/// Returns the headers of a message without the hop-by-hop headers.
pub(crate) fn forwarded_headers(headers: &HeaderMap) -> HeaderMap {
    let mut forwarded = headers.clone();
    for option in connection_options(headers) {
        if let Ok(name) = HeaderName::from_bytes(option) {
            forwarded.remove(name);
        }
    }
    for name in CONNECTION_HEADERS {
        forwarded.remove(name);
    }
    forwarded.remove(KEEP_ALIVE);
    forwarded
}

/// Returns the headers of a caller's request that are forwarded to upstreams.
pub(crate) fn upstream_headers(headers: &HeaderMap, names: &HeaderNames) -> HeaderMap {
    let mut forwarded = forwarded_headers(headers);
    for name in &names.reserved {
        forwarded.remove(name);
    }
    forwarded.remove(&names.customer_key);
    forwarded.remove(header::EXPECT);
    forwarded
}

/// Returns the first value of a header if it is readable text. Values that are compared with names of
/// the configuration may have characters outside of ASCII.
pub(crate) fn header_text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    let value = headers.get(name)?;
    std::str::from_utf8(value.as_bytes()).ok()
}

/// Returns the time for which the caller waits, if it states one.
pub(crate) fn read_deadline(headers: &HeaderMap, names: &HeaderNames) -> Option<Duration> {
    let text = header_text(headers, &names.deadline_ms)?;
    let ms: f64 = text.trim().parse().ok()?;
    (ms.is_finite() && ms >= 0.0).then(|| Duration::from_secs_f64(ms.min(1e9) / 1e3))
}

/// Returns the request size that the caller states, an empty one if it states none. Prompt parts from
/// the first malformed one on are ignored, that is, they count as not shared with other requests.
///
/// # Errors
///
/// Returns [`MalformedSize`] if the numbers of tokens cannot be read.
pub(crate) fn read_size(
    headers: &HeaderMap,
    names: &HeaderNames,
) -> Result<RequestSize, MalformedSize> {
    let parts = header_text(headers, &names.prompt_parts).unwrap_or_default();
    let (prompt_tokens, answer_tokens) = match headers.contains_key(&names.token_count) {
        true => read_counts(headers, &names.token_count).ok_or(MalformedSize)?,
        false => (0, 0),
    };
    Ok(RequestSize {
        prompt_tokens,
        answer_tokens,
        parts: parts.split(',').map_while(read_part).collect(),
    })
}

/// Parses the numbers of tokens `PROMPT,ANSWER`. Further fields are ignored.
fn read_counts(headers: &HeaderMap, name: &HeaderName) -> Option<(u64, u64)> {
    let mut counts = header_text(headers, name)?.split(',').map(str::trim);
    Some((counts.next()?.parse().ok()?, counts.next()?.parse().ok()?))
}

fn read_part(text: &str) -> Option<PromptPart> {
    let (digest, tokens) = text.trim().split_once(':')?;
    Some(PromptPart {
        digest: u64::from_str_radix(digest, 16).ok()?,
        tokens: tokens.parse().ok()?,
    })
}

/// Parses the running and waiting counts of a load header `RUNNING,WAITING,SLOTS`.
pub(crate) fn read_load(headers: &HeaderMap, names: &HeaderNames) -> Option<(u32, u32)> {
    let text = header_text(headers, &names.upstream_load)?;
    let mut counts = text.split(',').map(|count| count.trim().parse::<u32>());
    Some((counts.next()?.ok()?, counts.next()?.ok()?))
}

/// Returns what a response says about its upstream.
pub(crate) fn read_notice(
    status: StatusCode,
    headers: &HeaderMap,
    names: &HeaderNames,
) -> UpstreamNotice {
    let is_refusal = matches!(
        status,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS
    );
    let pause = is_refusal.then(|| read_value(headers, &header::RETRY_AFTER, parse_delay));
    UpstreamNotice {
        is_leaving: header_text(headers, &names.leaving).is_some_and(|text| text.trim() == "1"),
        pause: pause.flatten(),
        limit: match headers.contains_key(&names.rate_limit) {
            true => read_value(headers, &names.rate_limit, parse_rate)
                .map_or(LimitNotice::Invalid, LimitNotice::Rate),
            false => LimitNotice::None,
        },
    }
}

/// Parses a header about the state of an upstream, if it is present, and logs values that cannot be
/// used.
fn read_value<T>(
    headers: &HeaderMap,
    name: &HeaderName,
    parse: impl FnOnce(&str) -> Option<T>,
) -> Option<T> {
    let value = headers.get(name)?;
    let parsed = header_text(headers, name).and_then(parse);
    if parsed.is_none() {
        log_event!(NoticeRejected, "header={name} value={value:?}");
    }
    parsed
}
