//! Connections to upstreams, kept for later requests.

use std::{
    collections::{HashMap, VecDeque},
    net::SocketAddr,
    time::Duration,
};

use bytes::Bytes;
use cornelarch_core::base::UpstreamName;
use http::{HeaderMap, Request, Response, header};
use http_body_util::Full;
use hyper::{
    body::Incoming,
    client::conn::http1::{self, SendRequest},
};
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use tokio::{task::AbortHandle, time::Instant};

use crate::connection::connect;

/// Idle connections kept per upstream.
const IDLE_CONNECTIONS_MAX: usize = 64;
/// Idle time of a connection whose upstream states no timeout.
const IDLE_TIMEOUT_DEFAULT: Duration = Duration::from_millis(500);
/// Part of the upstream's idle timeout up to which a connection is used. A request on a connection
/// that the upstream is closing is lost with an unknown result.
const IDLE_TIMEOUT_FRACTION: f64 = 0.6;
/// Longest idle time, whatever the upstream states.
const IDLE_TIMEOUT_MAX: Duration = Duration::from_secs(10);
/// Largest head of an answer, in bytes.
const RESPONSE_HEAD_MAX: usize = 64 * 1024;

struct IdleConnection {
    connection: PooledConnection,
    expires: Instant,
}

/// Represents one open connection to an upstream. Dropping it closes the connection, which makes
/// the upstream stop the request.
pub(crate) struct PooledConnection {
    sender: SendRequest<Full<Bytes>>,
    task: AbortHandle,
    /// Whether no request was sent on it before.
    pub(crate) is_unused: bool,
}

impl Drop for PooledConnection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Tells what is known about a request whose answer did not arrive.
#[derive(Debug)]
pub(crate) enum SendFailure {
    /// No byte of the request was sent.
    NotSent,
    /// The upstream may have got the request.
    Unknown(String),
}

impl PooledConnection {
    /// Sends a request and waits for the head of its answer.
    pub(crate) async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendFailure> {
        self.is_unused = false;
        let result = self.sender.try_send_request(request).await;
        result.map_err(|mut error| match error.take_message() {
            Some(_) => SendFailure::NotSent,
            None => SendFailure::Unknown(error.into_error().to_string()),
        })
    }
}

/// Keeps idle connections by upstream.
#[derive(Default)]
pub(crate) struct UpstreamPool {
    idle: Mutex<HashMap<UpstreamName, VecDeque<IdleConnection>>>,
}

impl UpstreamPool {
    /// Returns an idle connection to the upstream, or opens one within `timeout`.
    pub(crate) async fn open(
        &self,
        upstream: &UpstreamName,
        address: SocketAddr,
        timeout: Duration,
    ) -> std::io::Result<PooledConnection> {
        if let Some(connection) = self.take_idle(upstream) {
            return Ok(connection);
        }
        let stream = connect(address, timeout).await?;
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(RESPONSE_HEAD_MAX)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(std::io::Error::other)?;
        let task = tokio::spawn(async move {
            if let Err(error) = connection.await {
                log::trace!("connection to an upstream ended: {error}");
            }
        });
        Ok(PooledConnection {
            sender,
            task: task.abort_handle(),
            is_unused: true,
        })
    }

    /// Takes the connection that has been idle longest: a surplus answer on it would have closed it
    /// by now.
    fn take_idle(&self, upstream: &UpstreamName) -> Option<PooledConnection> {
        let mut pools = self.idle.lock();
        let idle = pools.get_mut(upstream)?;
        let now = Instant::now();
        while let Some(candidate) = idle.pop_front() {
            let is_usable = candidate.expires > now && candidate.connection.sender.is_ready();
            if is_usable {
                return Some(candidate.connection);
            }
        }
        None
    }

    /// Keeps a connection whose answer was read completely, unless the upstream closes it.
    pub(crate) fn release(
        &self,
        upstream: &UpstreamName,
        connection: PooledConnection,
        headers: &HeaderMap,
    ) {
        if is_closing(headers) {
            return;
        }
        let expires = Instant::now() + idle_timeout(headers);
        let mut pools = self.idle.lock();
        let idle = pools.entry(upstream.clone()).or_default();
        if idle.len() < IDLE_CONNECTIONS_MAX {
            idle.push_back(IdleConnection {
                connection,
                expires,
            });
        }
    }

    /// Closes the idle connections of an upstream.
    pub(crate) fn close_idle(&self, upstream: &UpstreamName) {
        self.idle.lock().remove(upstream);
    }

    /// Closes the idle connections that expired.
    pub(crate) fn close_expired(&self) {
        let now = Instant::now();
        self.idle.lock().retain(|_, idle| {
            idle.retain(|candidate| {
                candidate.expires > now && !candidate.connection.sender.is_closed()
            });
            !idle.is_empty()
        });
    }
}

fn is_closing(headers: &HeaderMap) -> bool {
    let values = headers.get_all(header::CONNECTION);
    let mut texts = values.iter().filter_map(|value| value.to_str().ok());
    texts.any(|text| {
        text.split(',')
            .any(|option| option.trim().eq_ignore_ascii_case("close"))
    })
}

/// Returns how long a connection may be idle, from the timeout that the upstream states.
fn idle_timeout(headers: &HeaderMap) -> Duration {
    let stated = headers
        .get("keep-alive")
        .and_then(|value| value.to_str().ok())
        .and_then(|text| {
            text.split(',')
                .find_map(|option| option.trim().strip_prefix("timeout="))
        })
        .and_then(|seconds| seconds.trim().parse::<u64>().ok());
    stated
        .map_or(IDLE_TIMEOUT_DEFAULT, |seconds| {
            Duration::from_secs(seconds).mul_f64(IDLE_TIMEOUT_FRACTION)
        })
        .min(IDLE_TIMEOUT_MAX)
}
