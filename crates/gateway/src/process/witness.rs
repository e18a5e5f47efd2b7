//! Evidence that the process of an upstream has not ended.

use std::{io, net::SocketAddr, time::Duration};

use tokio::{
    net::TcpStream,
    sync::watch,
    time::{Instant, sleep, timeout},
};
use tokio_util::task::AbortOnDropHandle;

use crate::connection::connect;

/// Connect timeout of the check whether an upstream has ended.
const CHECK_TIMEOUT: Duration = Duration::from_millis(300);
/// Time in which the connections of a process that ends are all closed.
pub(super) const GATHER_TIME: Duration = Duration::from_millis(5);
/// Time in which the end of a process is noticed on a second connection although a packet was lost:
/// the minimum retransmission timeout of TCP and a round trip.
const CLOSE_WAIT: Duration = Duration::from_millis(250);
/// Shortest life of a connection after which another one is opened in its place. Some upstreams
/// close connections at once on which they get no request.
const LIFE_MIN: Duration = Duration::from_millis(500);

/// Whether the process of an upstream runs.
pub(super) enum UpstreamStatus {
    Running,
    Ended,
    Unknown(io::Error),
}

/// Checks whether the process of an upstream accepts connections. One that has ended refuses them,
/// and one behind a partition neither refuses nor accepts them.
pub(super) async fn check_upstream(address: SocketAddr) -> UpstreamStatus {
    match connect(address, CHECK_TIMEOUT).await {
        Ok(_) => UpstreamStatus::Running,
        Err(error) if error.kind() == io::ErrorKind::ConnectionRefused => UpstreamStatus::Ended,
        Err(error) => UpstreamStatus::Unknown(error),
    }
}

/// Second connection to an upstream, on which nothing is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum WitnessConnection {
    Opening,
    Open,
    /// The upstream closed it and refuses another one.
    Lost,
    /// The upstream does not keep it, which tells nothing about its process.
    Unavailable,
}

/// Tells at the end of a response whether the process that sent it still runs.
///
/// The operating system closes all connections of a process that ends, so that one which stays open
/// proves that the process runs, even if it accepts no more connections.
pub(crate) struct ProcessWitness {
    address: SocketAddr,
    connection: watch::Receiver<WitnessConnection>,
    _task: AbortOnDropHandle<()>,
}

impl ProcessWitness {
    /// Opens a connection to the upstream in the background and keeps one open.
    pub(crate) fn spawn(address: SocketAddr) -> Self {
        let (sender, connection) = watch::channel(WitnessConnection::Opening);
        Self {
            address,
            connection,
            _task: AbortOnDropHandle::new(tokio::spawn(keep_open(address, sender))),
        }
    }

    /// Returns whether the process runs that has just ended a response.
    pub(crate) async fn has_survived(mut self) -> bool {
        sleep(GATHER_TIME).await;
        let status = check_upstream(self.address).await;
        let connection = *self.connection.borrow_and_update();
        match (status, connection) {
            (_, WitnessConnection::Lost) => false,
            (UpstreamStatus::Running, _) => true,
            (UpstreamStatus::Ended, WitnessConnection::Open) => {
                let closed = self.connection.changed();
                timeout(CLOSE_WAIT, closed).await.is_err()
            }
            (UpstreamStatus::Ended | UpstreamStatus::Unknown(_), _) => false,
        }
    }
}

/// Keeps a connection to an upstream open. Another one is opened when the upstream closes it,
/// because it may have been idle too long.
async fn keep_open(address: SocketAddr, state: watch::Sender<WitnessConnection>) {
    loop {
        let opened = connect(address, CHECK_TIMEOUT).await;
        let stream = match opened {
            Ok(stream) => stream,
            Err(error) => {
                let is_refused = error.kind() == io::ErrorKind::ConnectionRefused;
                state.send_replace(match is_refused {
                    true => WitnessConnection::Lost,
                    false => WitnessConnection::Unavailable,
                });
                return;
            }
        };
        let opened_at = Instant::now();
        state.send_replace(WitnessConnection::Open);
        wait_closed(&stream).await;
        if opened_at.elapsed() < LIFE_MIN {
            state.send_replace(WitnessConnection::Unavailable);
            return;
        }
        state.send_replace(WitnessConnection::Opening);
    }
}

/// Waits until the upstream closes a connection or sends something on it.
async fn wait_closed(stream: &TcpStream) {
    let mut byte = [0];
    // Data and errors end the connection as well: no response is due on it.
    let _ = stream.peek(&mut byte).await;
}
