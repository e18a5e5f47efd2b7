//! Evidence that the process of an upstream has not ended.

use std::{fmt, io, net::SocketAddr, sync::Arc, time::Duration};

use futures_util::{StreamExt, stream::FuturesUnordered};
use tokio::{
    net::TcpStream,
    sync::watch,
    time::{Instant, sleep, timeout, timeout_at},
};
use tokio_util::task::AbortOnDropHandle;

use crate::connection::{ConnectionState, PooledConnection, SiblingConnections, connect};

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
#[derive(Debug)]
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
/// proves that the process runs, even if it accepts no more connections. A process that is shut down
/// may close those without a request first; then the ones with other requests prove it.
pub(crate) struct ProcessWitness {
    siblings: SiblingConnections,
    state: watch::Receiver<WitnessState>,
    _task: AbortOnDropHandle<()>,
}

/// Why a response without a length or chunks counts as broken off.
#[derive(Debug)]
pub(crate) struct UpstreamEnd {
    status: UpstreamStatus,
    witness: WitnessState,
    ended: Instant,
    siblings: usize,
}

impl fmt::Display for UpstreamEnd {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let WitnessState { phase, closed } = self.witness;
        write!(
            formatter,
            "response without a length ended with its upstream: port {:?}, idle connection {phase:?}",
            self.status
        )?;
        if let Some(closed) = closed {
            let ms = self.ended.saturating_duration_since(closed).as_millis();
            write!(formatter, " and closed {ms} ms before")?;
        }
        write!(formatter, ", {} other connections", self.siblings)
    }
}

impl ProcessWitness {
    /// Opens a connection to the upstream in the background and keeps one open.
    fn spawn(siblings: SiblingConnections) -> Self {
        let (sender, state) = watch::channel(WitnessState {
            phase: ConnectionPhase::Opening,
            closed: None,
        });
        let task = tokio::spawn(keep_open(siblings.address(), sender));
        Self {
            siblings,
            state,
            _task: AbortOnDropHandle::new(task),
        }
    }

    /// Returns whether the idle connection stays open for a time.
    async fn stays_open(&mut self) -> bool {
        timeout(CLOSE_WAIT, self.state.changed()).await.is_err()
    }

    /// Checks that the process runs that has just ended a response.
    ///
    /// # Errors
    ///
    /// Returns what indicates that it does not.
    async fn check_survival(&mut self) -> Result<(), UpstreamEnd> {
        let ended = Instant::now();
        sleep(GATHER_TIME).await;
        let siblings = self.siblings.find_open();
        let gathered = Instant::now();
        let status = check_upstream(self.siblings.address()).await;
        let witness = *self.state.borrow_and_update();
        // Another process may have been started at the address before the end was noticed.
        let together = witness.closed.is_some_and(|at| at + TOGETHER_TIME >= ended);
        let has_survived = match (&status, witness.phase) {
            // Silent connections stay open behind a partition.
            (UpstreamStatus::Unknown(_), _) => false,
            (UpstreamStatus::Running, phase) if !together && phase != ConnectionPhase::Lost => true,
            (UpstreamStatus::Ended, ConnectionPhase::Open)
                if !together && self.stays_open().await =>
            {
                true
            }
            _ => outlive_response(&siblings, gathered, ended + CLOSE_WAIT).await,
        };
        match has_survived {
            true => Ok(()),
            false => Err(UpstreamEnd {
                status,
                witness,
                ended,
                siblings: siblings.len(),
            }),
        }
    }
}

/// Starts to watch the process at the other end of a connection if the response on it has neither a
/// length nor chunks. It ends with its connection, which the end of the process closes as well.
pub(crate) fn watch_process(
    is_unframed: bool,
    connection: &PooledConnection,
) -> Option<ProcessWitness> {
    is_unframed.then(|| ProcessWitness::spawn(connection.siblings()))
}

/// Checks that a response is complete after its last byte. One with a witness ends with its
/// connection, whether it is complete or its upstream has ended.
///
/// # Errors
///
/// Returns what indicates that the upstream has ended.
pub(crate) async fn check_complete(
    witness: &mut Option<ProcessWitness>,
) -> Result<(), UpstreamEnd> {
    match witness {
        Some(witness) => witness.check_survival().await,
        None => Ok(()),
    }
}

/// Returns whether one of the connections that were open after the end of a response receives a
/// complete response after `since`, or is still open at `until`.
async fn outlive_response(
    siblings: &[Arc<ConnectionState>],
    since: Instant,
    until: Instant,
) -> bool {
    let completions = siblings.iter().map(|state| state.wait_completed(since));
    let mut completions: FuturesUnordered<_> = completions.collect();
    if let Ok(Some(())) = timeout_at(until, completions.next()).await {
        return true;
    }
    let is_open = |state: &Arc<ConnectionState>| {
        let last_open = state.last_open();
        last_open.is_some_and(|last| last + TOGETHER_TIME >= until)
    };
    siblings.iter().any(is_open)
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
