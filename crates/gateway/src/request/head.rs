//! Reading the head of a request and building the head for an upstream.

use std::time::Duration;

use cornelarch_core::placement::{PromptPart, WorkSize};
use http::{HeaderMap, HeaderName, HeaderValue, Method, Uri, header};

use crate::edge::HeaderNames;

/// Headers that concern one connection only.
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
/// The header that states the idle timeout of a connection.
const KEEP_ALIVE: &str = "keep-alive";
/// The header that continues an event stream after an event.
pub(crate) const LAST_EVENT_ID: &str = "last-event-id";

/// Holds what is sent to an upstream, the same for every attempt.
#[derive(Clone, Debug)]
pub(crate) struct RequestHead {
    pub(crate) method: Method,
    /// Path and query as the caller sent them.
    pub(crate) uri: Uri,
    /// Headers without those of a connection and those that the gateway sets.
    pub(crate) headers: HeaderMap,
    /// Value that identifies the attempt of the caller; answers repeat it.
    pub(crate) attempt_id: HeaderValue,
}

/// Returns the headers of a message that are passed on.
pub(crate) fn forwarded_headers(headers: &HeaderMap) -> HeaderMap {
    let mut forwarded = headers.clone();
    let named = headers.get_all(header::CONNECTION);
    let named = named.iter().filter_map(|value| value.to_str().ok());
    for name in named.flat_map(|text| text.split(',')) {
        if let Ok(name) = HeaderName::from_bytes(name.trim().as_bytes()) {
            forwarded.remove(name);
        }
    }
    for name in CONNECTION_HEADERS {
        forwarded.remove(name);
    }
    forwarded.remove(KEEP_ALIVE);
    forwarded
}

/// Returns the headers of a caller that are passed to upstreams.
pub(crate) fn upstream_headers(headers: &HeaderMap, names: &HeaderNames) -> HeaderMap {
    let mut forwarded = forwarded_headers(headers);
    for name in &names.reserved {
        forwarded.remove(name);
    }
    forwarded.remove(&names.customer_key);
    forwarded.remove(header::EXPECT);
    forwarded
}

/// Returns a header as text, if it is there once and readable.
pub(crate) fn header_text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

/// Returns the time that the caller waits, if it says so.
pub(crate) fn read_deadline(headers: &HeaderMap, names: &HeaderNames) -> Option<Duration> {
    let text = header_text(headers, &names.deadline_ms)?;
    let ms: f64 = text.trim().parse().ok()?;
    (ms.is_finite() && ms >= 0.0).then(|| Duration::from_secs_f64(ms.min(1e9) / 1e3))
}

/// Returns the size that the caller states. Unreadable parts count as not shared.
pub(crate) fn read_size(headers: &HeaderMap, names: &HeaderNames) -> WorkSize {
    let counts = header_text(headers, &names.token_count).unwrap_or_default();
    let mut counts = counts
        .split(',')
        .map(|text| text.trim().parse::<u64>().unwrap_or(0));
    let parts = header_text(headers, &names.prompt_parts).unwrap_or_default();
    WorkSize {
        prompt_tokens: counts.next().unwrap_or(0),
        answer_tokens: counts.next().unwrap_or(0),
        parts: parts.split(',').map_while(read_part).collect(),
    }
}

fn read_part(text: &str) -> Option<PromptPart> {
    let (digest, tokens) = text.trim().split_once(':')?;
    Some(PromptPart {
        digest: u64::from_str_radix(digest, 16).ok()?,
        tokens: tokens.parse().ok()?,
    })
}

/// Reads a load of the form `RUNNING,WAITING,SLOTS`.
pub(crate) fn read_load(headers: &HeaderMap, names: &HeaderNames) -> Option<(u32, u32)> {
    let text = header_text(headers, &names.upstream_load)?;
    let mut counts = text.split(',').map(|count| count.trim().parse::<u32>());
    Some((counts.next()?.ok()?, counts.next()?.ok()?))
}
