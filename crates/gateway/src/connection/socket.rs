//! Socket options.

use std::{io, net::SocketAddr, time::Duration};

use socket2::{Domain, SockRef, Socket, TcpKeepalive, Type};
use tokio::net::{TcpListener, TcpStream};

/// Length of the accept queue. A burst of callers opens many connections at once, and a connection
/// that finds the queue full is delayed by seconds.
const LISTEN_BACKLOG: i32 = 1_024;
/// Idle time before the first keep-alive probe, and interval between probes. A network partition
/// silences connections without resetting them.
const KEEPALIVE_PERIOD: Duration = Duration::from_secs(1);
/// Unanswered keep-alive probes after which a connection is closed.
const KEEPALIVE_RETRIES: u32 = 2;

/// Binds a non-blocking TCP listener.
///
/// # Errors
///
/// Returns the error of the operating system.
pub(crate) fn bind_listener(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(LISTEN_BACKLOG)?;
    TcpListener::from_std(socket.into())
}

/// Opens a connection within `timeout`.
///
/// # Errors
///
/// Returns the error of the operating system, or [`io::ErrorKind::TimedOut`].
pub(crate) async fn connect(address: SocketAddr, timeout: Duration) -> io::Result<TcpStream> {
    let connect = tokio::time::timeout(timeout, TcpStream::connect(address));
    let stream = connect
        .await
        .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    set_stream_options(&stream);
    Ok(stream)
}

/// Sets the TCP options of a connection. A failure is only logged, because the connection works
/// without them.
///
/// There is no time limit for unacknowledged bytes: the system applies it to a peer that answers but
/// does not read as well. The time limits of requests and the account of callers bound such a wait.
pub(crate) fn set_stream_options(stream: &TcpStream) {
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_PERIOD)
        .with_interval(KEEPALIVE_PERIOD)
        .with_retries(KEEPALIVE_RETRIES);
    let result = stream
        .set_nodelay(true)
        .and_then(|()| socket.set_tcp_keepalive(&keepalive));
    if let Err(error) = result {
        log::debug!("cannot set socket options: {error}");
    }
}
