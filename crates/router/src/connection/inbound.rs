//! Inbound connections from peers.

use std::{future::Future, sync::Arc, time::Duration};

use cornelarch_core::base::HolderId;
use cornelarch_wire::{
    FrameCodec,
    peer::{WireEnvelope, WireHolder},
};
use futures_util::StreamExt;
use tokio::{
    net::{TcpListener, TcpStream},
    sync::Semaphore,
    time::{sleep, timeout},
};
use tokio_util::{codec::FramedRead, sync::CancellationToken, task::TaskTracker};

use crate::process::log_event;

/// Maximum number of concurrent connections. A target-size fleet has 350 instances.
const MAX_CONNECTIONS: usize = 1_024;
/// Idle time after which a connection is closed. Senders close idle connections after 60 s.
const IDLE_TIMEOUT: Duration = Duration::from_secs(120);
/// Delay after a failed `accept`, which usually means that file descriptors are exhausted.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(100);

/// Accepts peer connections and passes each frame addressed to this incarnation to `deliver`.
pub(crate) async fn serve_peers<F, R>(
    listener: TcpListener,
    holder: HolderId,
    tasks: TaskTracker,
    stop: CancellationToken,
    deliver: F,
) where
    F: Fn(WireEnvelope) -> R + Clone + Send + 'static,
    R: Future<Output = ()> + Send + 'static,
{
    let permits = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    loop {
        let Ok(permit) = Arc::clone(&permits).acquire_owned().await else {
            return;
        };
        let stream = tokio::select! {
            () = stop.cancelled() => return,
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => stream,
                Err(error) => {
                    log_event!(TaskFailed, "cannot accept peer connection: {error}");
                    sleep(ACCEPT_BACKOFF).await;
                    continue;
                }
            },
        };
        let (holder, stop, deliver) = (holder.clone(), stop.clone(), deliver.clone());
        tasks.spawn(async move {
            tokio::select! {
                () = stop.cancelled() => {}
                () = read_frames(stream, &holder, deliver) => {}
            }
            drop(permit);
        });
    }
}

async fn read_frames<F, R>(stream: TcpStream, holder: &HolderId, deliver: F)
where
    F: Fn(WireEnvelope) -> R,
    R: Future<Output = ()>,
{
    let holder = WireHolder::from(holder);
    let mut frames = FramedRead::new(stream, FrameCodec::new());
    while let Ok(Some(frame)) = timeout(IDLE_TIMEOUT, frames.next()).await {
        match frame {
            // A transfer to an earlier incarnation does not belong to this one.
            Ok(envelope) if envelope.recipient.as_ref().is_none_or(|to| *to == holder) => {
                deliver(envelope).await;
            }
            Ok(envelope) => {
                log::debug!(
                    "dropped frame from {:?} that is addressed to another incarnation",
                    envelope.sender
                );
            }
            Err(error) => {
                log_event!(PeerFrameRejected, "{error}");
                return;
            }
        }
    }
}
