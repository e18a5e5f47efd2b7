//! Limits of the responses of upstreams, which may be faulty and send bytes without end.

use cornelarch_core::{placement::RequestSize, stream::MAX_EVENT_BYTES};

/// Maximum size of a response that is no event stream, in bytes: the same as for requests of callers.
pub(crate) const RESPONSE_MAX: usize = 4 * 1024 * 1024;
/// Reason for which a larger one is broken off.
pub(crate) const RESPONSE_TOO_LARGE: &str = "response exceeds the size limit";
/// Number of pieces of a body that are always accepted, whatever their size.
const PIECES_FREE: u64 = 8 * 1024;
/// Further pieces for each token of the answer: a server may flush several parts of each event.
const TOKEN_PIECES_MAX: u64 = 8;
/// Further size of an event stream for each token of the answer, in bytes.
const TOKEN_BYTES_MAX: u64 = 4 * 1024;
/// Maximum size in bytes of an event stream whose request does not state the size of the answer.
const UNSIZED_STREAM_MAX: u64 = 64 * 1024 * 1024;
/// Bytes as which an event counts at least, because its processing takes time whatever its size.
const EVENT_BYTES_MIN: usize = 256;

/// Limits of a response that depend on the size of its request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ResponseLimits {
    /// Maximum number of small pieces of the body.
    pub(crate) pieces_max: u64,
    /// Maximum size of an event stream, in bytes.
    stream_max: u64,
    /// Size of the events so far, in bytes.
    streamed: u64,
}

impl ResponseLimits {
    pub(crate) const fn new(size: &RequestSize) -> Self {
        let tokens = size.answer_tokens;
        let stream_max = match tokens {
            0 => UNSIZED_STREAM_MAX,
            _ => (MAX_EVENT_BYTES as u64).saturating_add(tokens.saturating_mul(TOKEN_BYTES_MAX)),
        };
        Self {
            pieces_max: PIECES_FREE.saturating_add(tokens.saturating_mul(TOKEN_PIECES_MAX)),
            stream_max,
            streamed: 0,
        }
    }

    /// Counts an event of a stream.
    pub(crate) const fn record_event(&mut self, bytes: usize) {
        let counted = if bytes < EVENT_BYTES_MIN {
            EVENT_BYTES_MIN
        } else {
            bytes
        };
        self.streamed = self.streamed.saturating_add(counted as u64);
    }

    /// Returns whether the stream is larger than its request allows.
    pub(crate) const fn is_exceeded(&self) -> bool {
        self.streamed > self.stream_max
    }
}
