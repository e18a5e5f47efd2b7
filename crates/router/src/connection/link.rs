//! Outbound connections to peers, opened on demand.

use std::{collections::HashMap, net::SocketAddr, time::Duration};

use cornelarch_core::base::HolderId;
use cornelarch_wire::{
    FrameCodec,
    peer::{WireBody, WireEnvelope, WireHolder},
};
use futures_util::SinkExt;
use parking_lot::Mutex;
use rand::{Rng, SeedableRng, rngs::StdRng};
use tokio::{
    net::TcpStream,
    sync::mpsc::{self, error::TrySendError},
    time::{sleep, timeout},
};
use tokio_util::{codec::FramedWrite, sync::CancellationToken, task::TaskTracker};

use crate::process::log_event;

/// Capacity of the queue of a peer, in frames. Full of 600-byte pings, it takes 150 KB.
const QUEUE_FRAMES: usize = 256;
/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Timeout for writing a frame. Writes block when a paused peer lets the socket buffer fill up.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);
/// Idle time after which a connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// Initial delay before reconnecting.
const MIN_BACKOFF: Duration = Duration::from_millis(50);
/// Maximum delay before reconnecting.
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// Sends messages to peers, with one connection and one bounded queue per address.
///
/// Messages to an unreachable peer are dropped, because all protocols between routers retransmit.
#[derive(Debug)]
pub(crate) struct PeerLinks {
    sender: WireHolder,
    queues: Mutex<HashMap<SocketAddr, mpsc::Sender<WireEnvelope>>>,
    tasks: TaskTracker,
    stop: CancellationToken,
}

impl PeerLinks {
    /// Creates an empty set of links that send as `holder`.
    pub(crate) fn new(holder: &HolderId, tasks: TaskTracker, stop: CancellationToken) -> Self {
        Self {
            sender: WireHolder::from(holder),
            queues: Mutex::default(),
            tasks,
            stop,
        }
    }

    /// Queues a message. `recipient` is `None` only if the incarnation of the peer is still
    /// unknown.
    pub(crate) fn send(&self, address: SocketAddr, recipient: Option<&HolderId>, body: WireBody) {
        let recipient = recipient.map(WireHolder::from);
        let mut envelope = WireEnvelope::new(self.sender.clone(), recipient, body);
        let mut queues = self.queues.lock();
        if let Some(queue) = queues.get(&address) {
            match queue.try_send(envelope) {
                Ok(()) => return,
                Err(TrySendError::Full(_)) => {
                    log_event!(PeerQueueFull, "{address}");
                    return;
                }
                Err(TrySendError::Closed(returned)) => envelope = returned,
            }
        }
        let queue = self.open(address);
        // The queue is new, so it has room.
        let _ = queue.try_send(envelope);
        queues.insert(address, queue);
    }

    /// Returns the number of queued messages per peer.
    pub(crate) fn queue_lengths(&self) -> Vec<(SocketAddr, usize)> {
        let queues = self.queues.lock();
        let lengths = queues
            .iter()
            .map(|(address, queue)| (*address, QUEUE_FRAMES - queue.capacity()));
        lengths.collect()
    }

    fn open(&self, address: SocketAddr) -> mpsc::Sender<WireEnvelope> {
        let (sender, receiver) = mpsc::channel(QUEUE_FRAMES);
        let stop = self.stop.clone();
        self.tasks.spawn(async move {
            // Without cancellation, a link to an unreachable peer would outlive the router.
            tokio::select! {
                () = stop.cancelled() => {}
                () = run_link(address, receiver) => {}
            }
        });
        sender
    }
}

/// Connects and writes queued frames, reconnecting with backoff until the queue is idle or closed.
async fn run_link(address: SocketAddr, mut queue: mpsc::Receiver<WireEnvelope>) {
    let mut generator = StdRng::from_os_rng();
    let mut backoff = MIN_BACKOFF;
    loop {
        match timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await {
            Ok(Ok(stream)) => {
                // Frames are small and urgent; Nagle's algorithm would delay acknowledgements.
                let _ = stream.set_nodelay(true);
                backoff = MIN_BACKOFF;
                log_event!(PeerConnected, "{address}");
                if write_frames(address, stream, &mut queue).await {
                    return;
                }
            }
            Ok(Err(error)) => log::debug!("connection to peer {address} failed: {error}"),
            Err(_) => log::debug!("connection to peer {address} timed out"),
        }
        // Stale messages would only delay those sent after the reconnect.
        while queue.try_recv().is_ok() {}
        if queue.is_closed() {
            return;
        }
        sleep(backoff.mul_f64(generator.random_range(0.5..1.0))).await;
        backoff = (backoff * 2).min(MAX_BACKOFF);
    }
}

/// Writes frames until the connection fails (`false`) or the queue is idle or closed (`true`).
async fn write_frames(
    address: SocketAddr,
    stream: TcpStream,
    queue: &mut mpsc::Receiver<WireEnvelope>,
) -> bool {
    let mut sink = FramedWrite::new(stream, FrameCodec::new());
    loop {
        let envelope = match timeout(IDLE_TIMEOUT, queue.recv()).await {
            Ok(Some(envelope)) => envelope,
            Ok(None) => return true,
            Err(_) => {
                queue.close();
                return true;
            }
        };
        match timeout(WRITE_TIMEOUT, sink.send(&envelope)).await {
            Ok(Ok(())) => {}
            Ok(Err(error)) => {
                log_event!(PeerLost, "{address}: {error}");
                return false;
            }
            Err(_) => {
                log_event!(
                    PeerLost,
                    "{address}: write timed out after {WRITE_TIMEOUT:?}"
                );
                return false;
            }
        }
    }
}
