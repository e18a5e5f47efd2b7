//! Limits of the responses of upstreams, which may be faulty and send bytes without end.

use cornelarch_core::placement::RequestSize;

/// Maximum size of a response that is no event stream, in bytes: the same as for requests of callers.
pub(crate) const RESPONSE_MAX: usize = 4 * 1024 * 1024;
/// Number of pieces of a body that are always accepted, whatever their size.
const PIECES_FREE: u64 = 8 * 1024;
/// Further pieces for each token of the answer: a server may flush several parts of each event.
const TOKEN_PIECES_MAX: u64 = 8;
/// Limits of a response that depend on the size of its request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ResponseLimits {
    /// Maximum number of small pieces of the body.
    pub(crate) pieces_max: u64,
}

impl ResponseLimits {
    pub(crate) const fn new(size: &RequestSize) -> Self {
        let tokens = size.answer_tokens;
        Self {
            pieces_max: PIECES_FREE.saturating_add(tokens.saturating_mul(TOKEN_PIECES_MAX)),
        }
    }
}
