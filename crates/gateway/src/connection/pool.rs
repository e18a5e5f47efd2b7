//! Pool of reusable HTTP connections to upstreams.

use std::{
    collections::{HashMap, VecDeque},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use bytes::Bytes;
use cornelarch_core::{base::UpstreamName, error::describe_error};
use http::{HeaderMap, Request, Response, header};
use http_body_util::Full;
use hyper::{
    body::Incoming,
    client::conn::http1::{self, SendRequest},
};
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use tokio::{task::AbortHandle, time::Instant};

use crate::connection::{
    connect,
    meter::{MeteredStream, ResponseMeter},
    state::{ConnectionRegistry, ConnectionState, SiblingConnections},
};

/// Maximum number of idle connections per upstream.
const IDLE_CONNECTIONS_MAX: usize = 64;
/// Idle timeout of a connection whose upstream does not announce one.
const IDLE_TIMEOUT_DEFAULT: Duration = Duration::from_millis(500);
/// Fraction of the announced idle timeout after which a connection is no longer reused. A request
/// sent while the upstream closes the connection is lost with an unknown result.
const IDLE_TIMEOUT_FRACTION: f64 = 0.6;
/// Upper bound of the idle timeout, whatever the upstream announces.
const IDLE_TIMEOUT_MAX: Duration = Duration::from_secs(10);
/// Maximum size of a response head, in bytes.
const RESPONSE_HEAD_MAX: usize = 64 * 1024;

struct IdleConnection {
    connection: PooledConnection,
    expires: Instant,
}

/// An open connection to an upstream. Dropping it closes the connection, and resets it if a response
/// is due, which cancels the request at the upstream.
pub(crate) struct PooledConnection {
    sender: SendRequest<Full<Bytes>>,
    task: AbortHandle,
    meter: Arc<ResponseMeter>,
    state: Arc<ConnectionState>,
    address: SocketAddr,
    registry: Arc<ConnectionRegistry>,
    /// Whether no request was sent on the connection yet.
    pub(crate) is_unused: bool,
}

impl Drop for PooledConnection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Why no response to a request arrived.
#[derive(Debug)]
pub(crate) enum SendFailure {
    /// No byte of the request was sent.
    NotSent,
    /// The upstream may have received the request.
    Unknown(String),
}

impl PooledConnection {
    /// Sends a request and waits for the response head.
    pub(crate) async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendFailure> {
        self.is_unused = false;
        self.meter.start_response();
        self.state.record_request();
        let result = self.sender.try_send_request(request).await;
        result.map_err(|mut error| match error.take_message() {
            Some(_) => SendFailure::NotSent,
            None => SendFailure::Unknown(describe_error(&error.into_error())),
        })
    }

    /// Returns the other connections to the same process.
    pub(crate) fn siblings(&self) -> SiblingConnections {
        SiblingConnections {
            registry: Arc::clone(&self.registry),
            address: self.address,
            own: Arc::clone(&self.state),
        }
    }

    /// Records that a piece of the body of the response was processed. Without it, the connection ends
    /// once the upstream has sent more than a head may have. `pieces_max` is the number of small pieces
    /// that the response may have.
    ///
    /// # Errors
    ///
    /// Returns why the response must not go on.
    pub(crate) fn record_body(&self, bytes: usize, pieces_max: u64) -> Result<(), String> {
        match self.meter.record_body(bytes, pieces_max) {
            true => Ok(()),
            false => Err("response body comes in too many small pieces".to_owned()),
        }
    }
}

/// Idle connections by upstream, and the state of all connections to upstreams.
#[derive(Default)]
pub(crate) struct UpstreamPool {
    idle: Mutex<HashMap<UpstreamName, VecDeque<IdleConnection>>>,
    registry: Arc<ConnectionRegistry>,
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
        let meter = Arc::new(ResponseMeter::default());
        let state = self.registry.register(address);
        let stream = MeteredStream::new(stream, Arc::clone(&meter), Arc::clone(&state));
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(RESPONSE_HEAD_MAX)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(std::io::Error::other)?;
        let task = tokio::spawn(async move {
            if let Err(error) = connection.await {
                log::trace!("upstream connection closed with an error: {error}");
            }
        });
        Ok(PooledConnection {
            sender,
            task: task.abort_handle(),
            meter,
            state,
            address,
            registry: Arc::clone(&self.registry),
            is_unused: true,
        })
    }

    /// Takes the connection that has been idle longest: if the upstream had sent an unsolicited
    /// response on it, the connection would be closed by now.
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

    /// Returns a connection to the pool after its response was read completely, unless the upstream
    /// closes it.
    pub(crate) fn release(
        &self,
        upstream: &UpstreamName,
        connection: PooledConnection,
        headers: &HeaderMap,
    ) {
        connection.state.record_completed();
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

    /// Closes all idle connections to an upstream.
    pub(crate) fn close_idle(&self, upstream: &UpstreamName) {
        self.idle.lock().remove(upstream);
    }

    /// Closes idle connections whose idle timeout has passed.
    pub(crate) fn close_expired(&self) {
        self.registry.remove_closed();
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
    connection_options(headers).any(|option| option.eq_ignore_ascii_case(b"close"))
}

/// Returns the options of the `connection` headers. Each may have any bytes.
pub(crate) fn connection_options(headers: &HeaderMap) -> impl Iterator<Item = &[u8]> {
    let values = headers.get_all(header::CONNECTION).into_iter();
    let options = values.flat_map(|value| value.as_bytes().split(|byte| *byte == b','));
    options.map(<[u8]>::trim_ascii)
}

/// Derives the idle timeout of a connection from the `keep-alive` header of the upstream.
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
