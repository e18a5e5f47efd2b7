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
/// soon close connections on which they get no request.
const LIFE_MIN: Duration = Duration::from_millis(500);
/// Life up to which a connection counts as rejected: the upstream may have too many.
const REJECTION_TIME: Duration = Duration::from_millis(20);
/// Longest time between the end of the second connection and that of the response if both ended with
/// the process. The tasks that notice them may run one after the other.
const TOGETHER_TIME: Duration = Duration::from_millis(50);

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
enum ConnectionPhase {
    Opening,
    Open,
    /// The upstream closed it and refuses another one.
    Lost,
    /// The upstream does not keep it, which tells nothing about its process.
    Unavailable,
}

#[derive(Clone, Copy, Debug)]
struct WitnessState {
    phase: ConnectionPhase,
    /// Time at which the upstream last closed an established connection.
    closed: Option<Instant>,
}

/// Tells at the end of a response whether the process that sent it still runs.
///
/// The operating system closes all connections of a process that ends, so that one which stays open
/// proves that the process runs, even if it accepts no more connections.
pub(crate) struct ProcessWitness {
    address: SocketAddr,
    state: watch::Receiver<WitnessState>,
    _task: AbortOnDropHandle<()>,
}

impl ProcessWitness {
    /// Opens a connection to the upstream in the background and keeps one open.
    pub(crate) fn spawn(address: SocketAddr) -> Self {
        let (sender, state) = watch::channel(WitnessState {
            phase: ConnectionPhase::Opening,
            closed: None,
        });
        Self {
            address,
            state,
            _task: AbortOnDropHandle::new(tokio::spawn(keep_open(address, sender))),
        }
    }

    /// Returns whether the process runs that has just ended a response.
    async fn has_survived(&mut self) -> bool {
        let ended = Instant::now();
        sleep(GATHER_TIME).await;
        let status = check_upstream(self.address).await;
        let WitnessState { phase, closed } = *self.state.borrow_and_update();
        // Another process may have been started at the address before the end was noticed.
        if closed.is_some_and(|closed| closed + TOGETHER_TIME >= ended) {
            return false;
        }
        match (status, phase) {
            (_, ConnectionPhase::Lost) => false,
            (UpstreamStatus::Running, _) => true,
            (UpstreamStatus::Ended, ConnectionPhase::Open) => {
                timeout(CLOSE_WAIT, self.state.changed()).await.is_err()
            }
            (UpstreamStatus::Ended | UpstreamStatus::Unknown(_), _) => false,
        }
    }
}

/// Returns whether a response is complete after its last byte. One with a witness ends with its
/// connection, whether it is complete or its upstream has ended.
pub(crate) async fn is_complete(witness: &mut Option<ProcessWitness>) -> bool {
    match witness {
        Some(witness) => witness.has_survived().await,
        None => true,
    }
}

/// Keeps a connection to an upstream open. Another one is opened when the upstream closes it,
/// because it may have been idle too long.
async fn keep_open(address: SocketAddr, state: watch::Sender<WitnessState>) {
    let enter = |phase| state.send_modify(|state| state.phase = phase);
    loop {
        let stream = match connect(address, CHECK_TIMEOUT).await {
            Ok(stream) => stream,
            Err(error) if error.kind() == io::ErrorKind::ConnectionRefused => {
                return enter(ConnectionPhase::Lost);
            }
            Err(_) => return enter(ConnectionPhase::Unavailable),
        };
        let opened = Instant::now();
        enter(ConnectionPhase::Open);
        wait_closed(&stream).await;
        let life = opened.elapsed();
        if life > REJECTION_TIME {
            state.send_modify(|state| state.closed = Some(Instant::now()));
        }
        if life < LIFE_MIN {
            return enter(ConnectionPhase::Unavailable);
        }
        enter(ConnectionPhase::Opening);
    }
}

/// Waits until the upstream closes a connection or sends something on it.
async fn wait_closed(stream: &TcpStream) {
    let mut byte = [0];
    // Data and errors end the connection as well: no response is due on it.
    let _ = stream.peek(&mut byte).await;
}
