//! Peer task: membership of the fleet and messages between ledgers, over UDP.

use std::{net::SocketAddr, sync::Arc, sync::atomic::Ordering, time::Duration};

use cornelarch_core::{
    base::HolderId,
    budget::{BudgetMessage, DomainPeer, LedgerEvent},
    membership::{MemberEffect, MemberEvent, MemberOptions, MemberTable, choose_owners},
};
use cornelarch_wire::{
    decode_budget_message, decode_envelope, decode_member_event, encode_budget_message,
    encode_envelope,
    peer::{WireBody, WireEnvelope, WireHolder},
};
use rand::{SeedableRng, rngs::StdRng};
use tokio::{net::UdpSocket, sync::mpsc};

use crate::process::{GatewayState, log_event};

/// Time between two ticks of the member table.
const MEMBER_TICK: Duration = Duration::from_millis(200);
/// Instances of a domain that read the latest state of the platform. With three, two may be cut off or
/// slow.
const LATEST_READERS: usize = 3;
/// Key by which they are chosen among the live ones.
const READERS_KEY: &str = "readers";
/// Largest datagram that is received, in bytes. Sent ones stay far below.
const DATAGRAM_MAX: usize = 16 * 1024;

/// Lists what the peer task is asked to do.
#[derive(Clone, Debug)]
pub(crate) enum PeerCommand {
    /// Send a message of the ledger.
    Send {
        /// The receiver.
        to: HolderId,
        /// The message.
        message: BudgetMessage,
    },
    /// Tell the others that this instance leaves.
    Leave,
}

/// Runs the member table and passes messages between ledgers.
struct PeerDesk {
    state: Arc<GatewayState>,
    holder: HolderId,
    socket: UdpSocket,
    table: MemberTable,
    generator: StdRng,
}

/// Exchanges messages with the other instances until the task is dropped.
pub(crate) async fn run_peers(
    state: Arc<GatewayState>,
    holder: HolderId,
    socket: UdpSocket,
    mut orders: mpsc::UnboundedReceiver<PeerCommand>,
) {
    let settings = &state.settings;
    let own = settings.peer_listen;
    let seeds = settings.seeds.iter().filter(|seed| **seed != own);
    let table = MemberTable::new(
        holder.clone(),
        settings.domain.clone(),
        own.to_string(),
        seeds.map(SocketAddr::to_string).collect(),
        MemberOptions::default(),
    );
    let mut desk = PeerDesk {
        state,
        holder,
        socket,
        table,
        generator: StdRng::from_os_rng(),
    };
    let mut interval = tokio::time::interval(MEMBER_TICK);
    let mut buffer = vec![0; DATAGRAM_MAX];
    loop {
        tokio::select! {
            order = orders.recv() => match order {
                Some(PeerCommand::Send { to, message }) => {
                    desk.send_budget(&to, message).await;
                }
                Some(PeerCommand::Leave) => desk.apply(MemberEvent::LeaveStarted).await,
                None => return,
            },
            received = desk.socket.recv_from(&mut buffer) => match received {
                Ok((length, _)) => desk.receive(&buffer[..length]).await,
                // An unreachable peer is reported by a later call; the member table notices it.
                Err(error) => log::trace!("datagram cannot be received: {error}"),
            },
            _ = interval.tick() => {
                let version = desk.state.version();
                desk.apply(MemberEvent::ConfigVersion(version)).await;
                desk.apply(MemberEvent::Tick).await;
            }
        }
    }
}

/// Logs what changed about peers, in one line for each event that changed it.
fn log_changes(effects: &[MemberEffect]) {
    let changes = effects.iter().filter_map(|effect| match effect {
        MemberEffect::StateChanged { holder, state, .. } => Some((holder, state)),
        _ => None,
    });
    let changes: Vec<_> = changes.collect();
    match changes.as_slice() {
        [] => {}
        [(holder, state)] => log_event!(PeerChanged, "peer={holder} state={state:?}"),
        several => {
            let peers: Vec<String> = several
                .iter()
                .map(|(holder, state)| format!("{holder}:{state:?}"))
                .collect();
            let (count, peers) = (peers.len(), peers.join(","));
            log_event!(PeersChanged, "count={count} peers={peers}");
        }
    }
}

impl PeerDesk {
    async fn receive(&mut self, bytes: &[u8]) {
        let envelope = match decode_envelope(bytes) {
            Ok(envelope) => envelope,
            Err(error) => return log::debug!("datagram is dropped: {error}"),
        };
        let from = HolderId::from(&envelope.sender);
        if let Some(event) = decode_member_event(&from, &envelope.body) {
            return self.apply(event).await;
        }
        // Only a message to this incarnation may change its balances.
        let to = envelope.recipient.as_ref().map(HolderId::from);
        if let (Some(to), Some(message)) = (to, decode_budget_message(&envelope.body)) {
            let event = LedgerEvent::Received { from, to, message };
            self.state.notify_ledger(event);
        }
    }

    async fn apply(&mut self, event: MemberEvent) {
        let now = self.state.now();
        let effects = self.table.handle(event, now, &mut self.generator);
        log_changes(&effects);
        for effect in effects {
            match effect {
                MemberEffect::Send {
                    address,
                    to,
                    message,
                } => {
                    let body = WireBody::from(&message);
                    self.send(&address, to.as_ref(), body).await;
                }
                MemberEffect::MembersChanged { .. } => self.tell_members(),
                MemberEffect::StateChanged { .. } => {}
                MemberEffect::PeerVersion { version, .. } => {
                    self.state.record_peer_version(version)
                }
            }
        }
    }

    fn tell_members(&self) {
        let live: Vec<DomainPeer> = self
            .table
            .live_records()
            .map(|record| DomainPeer {
                holder: record.holder.clone(),
                domain: record.domain.clone(),
            })
            .collect();
        self.state
            .instances
            .fetch_max(live.len(), Ordering::Relaxed);
        let domain = self.table.live_members(&self.state.settings.domain);
        let names = domain.map(|record| &record.holder.instance);
        let readers = choose_owners(READERS_KEY, names, LATEST_READERS);
        self.state
            .set_reads_latest(readers.contains(&&self.holder.instance));
        self.state.notify_ledger(LedgerEvent::PeersChanged(live));
    }

    async fn send_budget(&self, to: &HolderId, message: BudgetMessage) {
        match self.table.member(&to.instance) {
            Some(member) => {
                let address = member.record.address.clone();
                let body = encode_budget_message(message);
                self.send(&address, Some(to), body).await;
            }
            None => log::debug!("address of peer {to} is not known"),
        }
    }

    /// Sends a datagram. A lost one is repeated by the table or the ledger.
    async fn send(&self, address: &str, to: Option<&HolderId>, body: WireBody) {
        let recipient = to.map(WireHolder::from);
        let envelope = WireEnvelope::new(WireHolder::from(&self.holder), recipient, body);
        let bytes = match encode_envelope(&envelope) {
            Ok(bytes) => bytes,
            Err(error) => return log::warn!("message cannot be encoded: {error}"),
        };
        if let Err(error) = self.socket.send_to(&bytes, address).await {
            log::debug!("datagram to {address} cannot be sent: {error}");
        }
    }
}
