//! Bodies of responses, which may take any time as long as they make progress.

use std::time::Duration;

use reqwest::Response;
use snafu::{ResultExt, Snafu};
use tokio::time::{Instant, timeout_at};

/// Limits of [`read_body`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BodyLimits {
    /// The time limit for each further `progress_bytes` of the body.
    pub progress_timeout: Duration,
    /// The number of bytes that must arrive within `progress_timeout`, unless the body ends.
    pub progress_bytes: usize,
    /// The size of the largest body in bytes.
    pub bytes_max: usize,
}

impl Default for BodyLimits {
    fn default() -> Self {
        Self {
            progress_timeout: Duration::from_millis(2_500),
            progress_bytes: 4 * 1024,
            bytes_max: 16 * 1024 * 1024,
        }
    }
}

/// An error while reading a body.
#[derive(Debug, Snafu)]
pub enum BodyError {
    /// The body arrives too slowly.
    #[snafu(display(
        "fewer than {bytes} bytes of the response arrived within {} ms",
        timeout.as_millis()
    ))]
    Stalled {
        /// The number of bytes that were expected.
        bytes: usize,
        /// The time limit.
        timeout: Duration,
    },
    /// The body is larger than the limit.
    #[snafu(display("response exceeds {bytes_max} bytes"))]
    TooLarge {
        /// The limit in bytes.
        bytes_max: usize,
    },
    /// The connection failed.
    #[snafu(display("response ends early"))]
    Broken {
        /// The cause.
        source: reqwest::Error,
    },
}

/// Reads a body of any duration, as long as it makes progress.
///
/// # Errors
///
/// Returns [`BodyError`] if the body stalls or trickles, exceeds the largest size, or ends early.
pub async fn read_body(mut response: Response, limits: &BodyLimits) -> Result<Vec<u8>, BodyError> {
    let mut body = Vec::new();
    let mut end = Instant::now() + limits.progress_timeout;
    let mut expected = limits.progress_bytes;
    loop {
        let chunk = timeout_at(end, response.chunk()).await;
        let stalled = StalledSnafu {
            bytes: limits.progress_bytes,
            timeout: limits.progress_timeout,
        };
        let chunk = chunk.map_err(|_| stalled.build())?;
        let Some(chunk) = chunk.context(BrokenSnafu)? else {
            return Ok(body);
        };
        let bytes_max = limits.bytes_max;
        snafu::ensure!(
            body.len() + chunk.len() <= bytes_max,
            TooLargeSnafu { bytes_max }
        );
        body.extend_from_slice(&chunk);
        if body.len() >= expected {
            end = Instant::now() + limits.progress_timeout;
            expected = body.len() + limits.progress_bytes;
        }
    }
}
