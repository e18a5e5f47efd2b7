//! Exchange of configurations with peers over connections.
//!
//! The requests and answers of the peer task are datagrams, all of which a full link may lose. A
//! request that is not answered is therefore also sent over a connection, which is only delayed.

use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use cornelarch_core::{
    base::HolderId,
    route::replica::{DocumentRequest, RequestChannel},
};
use cornelarch_wire::{
    FrameCodec, FrameError, decode_document_part, decode_document_request, encode_document_part,
    encode_document_request,
    peer::{WireEnvelope, WireHolder},
};
use futures_util::{SinkExt, StreamExt};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{OwnedSemaphorePermit, Semaphore},
    time::{error::Elapsed, timeout},
};
use tokio_util::codec::{Framed, FramedRead, FramedWrite};

use crate::{
    connection::{connect, set_stream_options},
    process::{GatewayState, PeerCommand},
};

/// Time limit for opening a connection to a peer. It allows for one retransmission of the first
/// packet and the queue of a full link.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Time limit for each frame of an exchange.
const FRAME_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Maximum number of connections of peers that are answered at the same time.
const ANSWERS_MAX: usize = 16;
/// Maximum size of a request, in bytes. Requests have up to 2 kB.
const REQUEST_BYTES_MAX: usize = 16 * 1024;
/// Delay after a failed accept, so that a lack of file descriptors does not cause a busy loop.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

/// Answers requests over connections until the task is dropped.
pub(crate) async fn serve_documents(
    state: Arc<GatewayState>,
    holder: HolderId,
    listener: TcpListener,
) {
    let permits = Arc::new(Semaphore::new(ANSWERS_MAX));
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!("cannot accept connection of a peer: {error}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        // A peer that is turned away asks another one.
        let Ok(permit) = Arc::clone(&permits).try_acquire_owned() else {
            continue;
        };
        let (state, holder) = (Arc::clone(&state), WireHolder::from(&holder));
        tokio::spawn(async move {
            if let Err(error) = answer_request(&state, holder, stream).await {
                log::debug!("connection of a peer ended early: {error}");
            }
            drop(permit);
        });
    }
}

async fn answer_request(
    state: &GatewayState,
    holder: WireHolder,
    mut stream: TcpStream,
) -> Result<(), FrameError> {
    set_stream_options(&stream);
    let mut requests = FramedRead::new(&mut stream, FrameCodec::with_limit(REQUEST_BYTES_MAX));
    let frame = timeout(FRAME_TIMEOUT, requests.next()).await;
    let Some(frame) = frame.map_err(timed_out)? else {
        return Ok(());
    };
    let mut answers = FramedWrite::new(stream, FrameCodec::new());
    let Some(request) = decode_document_request(&frame?.body) else {
        return Ok(());
    };
    let index = state.document_index();
    for part in index.answer(&request, RequestChannel::Connection) {
        let envelope = WireEnvelope::new(holder.clone(), None, encode_document_part(part));
        let sent = timeout(FRAME_TIMEOUT, answers.send(&envelope)).await;
        sent.map_err(timed_out)??;
    }
    Ok(())
}

/// Sends a request to a peer over a connection and passes the parts of the answer to the peer task.
/// The permit limits the number of such connections.
pub(crate) async fn fetch_document(
    state: Arc<GatewayState>,
    holder: HolderId,
    (peer, address): (HolderId, SocketAddr),
    request: DocumentRequest,
    permit: OwnedSemaphorePermit,
) {
    let result = receive_parts(&state, &holder, (&peer, address), &request).await;
    if let Err(error) = result {
        log::debug!("configuration was not received from peer {peer}: {error}");
    }
    drop(permit);
}

async fn receive_parts(
    state: &GatewayState,
    holder: &HolderId,
    (peer, address): (&HolderId, SocketAddr),
    request: &DocumentRequest,
) -> Result<(), FrameError> {
    let stream = connect(address, CONNECT_TIMEOUT).await?;
    let mut frames = Framed::new(stream, FrameCodec::new());
    let (sender, recipient) = (WireHolder::from(holder), WireHolder::from(peer));
    let body = encode_document_request(request);
    let envelope = WireEnvelope::new(sender, Some(recipient), body);
    let sent = timeout(FRAME_TIMEOUT, frames.send(&envelope)).await;
    sent.map_err(timed_out)??;
    loop {
        let frame = timeout(FRAME_TIMEOUT, frames.next()).await;
        let Some(frame) = frame.map_err(timed_out)? else {
            return Ok(());
        };
        let Some(part) = decode_document_part(&frame?.body) else {
            return Ok(());
        };
        // Another source may have delivered the version meanwhile.
        let is_last = part.is_last || part.version <= state.version();
        let from = peer.clone();
        state.send_peer_command(PeerCommand::MergeDocument { from, part });
        if is_last {
            return Ok(());
        }
    }
}

fn timed_out(_: Elapsed) -> FrameError {
    io::Error::from(io::ErrorKind::TimedOut).into()
}
