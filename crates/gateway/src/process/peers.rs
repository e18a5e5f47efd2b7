//! Peer task: fleet membership and messages between ledgers, over UDP.

use std::{collections::HashMap, net::SocketAddr, sync::Arc, time::Duration};

use cornelarch_core::{
    base::{HolderId, MonotonicTime, UpstreamName},
    blocklist::content::ContentReport,
    budget::{BudgetMessage, DomainPeer, LedgerEvent},
    membership::{
        MemberEffect, MemberEvent, MemberOptions, MemberRecord, MemberState, MemberTable,
        choose_owners, rendezvous_score,
    },
    placement::{LimitReport, UpstreamDeparture},
    route::replica::{
        DocumentPart, DocumentReplica, DocumentRequest, ReplicaEffect, ReplicaEvent,
        ReplicaOptions, RequestChannel,
    },
};
use cornelarch_wire::{
    decode_budget_message, decode_content_report, decode_departure_report, decode_document_part,
    decode_document_request, decode_envelope, decode_failure_report, decode_limit_report,
    decode_member_event, encode_budget_message, encode_content_report, encode_departure_report,
    encode_document_part, encode_document_request, encode_envelope, encode_failure_report,
    encode_limit_report,
    peer::{WireBody, WireEnvelope, WireHolder},
};
use rand::{SeedableRng, rngs::StdRng, seq::IteratorRandom};
use tokio::{
    net::UdpSocket,
    sync::{Semaphore, mpsc},
    task::JoinSet,
};

use crate::process::{GatewayState, documents::fetch_document, log_event};

/// Interval between ticks of the member table.
const MEMBER_TICK: Duration = Duration::from_millis(200);
/// Number of instances per domain that read the latest state of the platform. With three, two may
/// be partitioned or slow.
const LATEST_READERS: usize = 3;
/// Hash key for selecting these instances among the live members.
const READER_SELECTION_KEY: &str = "readers";
/// Number of instances of the fleet that store the blocked content. With three, two may be
/// partitioned or slow.
const BLOCKLIST_WRITERS: usize = 3;
/// Hash key for selecting these instances among the live members.
const WRITER_SELECTION_KEY: &str = "blocklist";
/// Number of instances that tell a new one what is blocked; datagrams may be lost.
const INFORMANTS: usize = 3;
/// Interval at which an instance tells random peers what is blocked, and the peers of its domain
/// which upstreams have left.
const REPEAT_PERIOD: Duration = Duration::from_secs(1);
/// Number of these peers. With three, an instance that missed the reports of a crash learns of it
/// within two seconds with a probability of 0.998.
const REPEAT_PEERS: usize = 3;
/// Maximum number of peers of the domain that are told which upstreams have failed, so that the cost does
/// not grow with the domain.
const FAILURE_PEERS_MAX: usize = 24;
/// Maximum number of entries of a report in one datagram, which then has about 4 kB.
const REPORT_ENTRIES_MAX: usize = 48;
/// Time for which the peers of a domain are told that an upstream has left: by then, instances that
/// had not joined yet have read a state of the directory that shows it.
const DEPARTURE_REPEAT_TIME: Duration = Duration::from_secs(5);
/// Size of the receive buffer, in bytes. The largest datagrams, parts of a configuration, have up to
/// 14 kB.
const DATAGRAM_BYTES_MAX: usize = 16 * 1024;

/// Maximum number of connections over which this instance asks peers at the same time. With two, one
/// peer may be partitioned.
const FETCHES_MAX: usize = 2;

/// Command to the peer task.
#[derive(Clone, Debug)]
pub(crate) enum PeerCommand {
    /// Sends a ledger message to a peer.
    Send {
        to: HolderId,
        message: BudgetMessage,
    },
    /// Sends a report about content that crashes upstreams to all peers.
    Broadcast(ContentReport),
    /// Sends the limit of an upstream to all peers, which share it.
    BroadcastLimit(LimitReport),
    /// Tells the peers of the domain, whose state of the directory may be older, which upstreams have
    /// left.
    ReportDepartures(Vec<UpstreamDeparture>),
    /// Merges a part of a configuration that arrived over a connection.
    MergeDocument { from: HolderId, part: DocumentPart },
    /// Announces to the peers that this instance leaves the fleet.
    Leave,
}

/// State of the peer task: runs the member table and exchanges messages between ledgers.
struct PeerTask {
    state: Arc<GatewayState>,
    holder: HolderId,
    socket: UdpSocket,
    table: MemberTable,
    replica: DocumentReplica,
    /// Reports about limits that are sent once more with the next tick, because datagrams may be lost.
    repeated_limits: HashMap<UpstreamName, LimitReport>,
    /// Upstreams that have left, with the time at which they were first reported.
    departures: Vec<(UpstreamDeparture, MonotonicTime)>,
    /// Requests over connections. They end with the peer task.
    fetches: JoinSet<()>,
    fetch_permits: Arc<Semaphore>,
    generator: StdRng,
}

/// Exchanges messages with the other instances until the task is dropped.
pub(crate) async fn run_peers(
    state: Arc<GatewayState>,
    holder: HolderId,
    socket: UdpSocket,
    mut commands: mpsc::UnboundedReceiver<PeerCommand>,
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
    let mut task = PeerTask {
        state,
        holder,
        socket,
        table,
        replica: DocumentReplica::new(ReplicaOptions::default()),
        repeated_limits: HashMap::new(),
        departures: Vec::new(),
        fetches: JoinSet::new(),
        fetch_permits: Arc::new(Semaphore::new(FETCHES_MAX)),
        generator: StdRng::from_os_rng(),
    };
    let mut interval = tokio::time::interval(MEMBER_TICK);
    let mut repeat = tokio::time::interval(REPEAT_PERIOD);
    let mut buffer = vec![0; DATAGRAM_BYTES_MAX];
    loop {
        tokio::select! {
            command = commands.recv() => match command {
                Some(PeerCommand::Send { to, message }) => {
                    task.send_to_member(&to, encode_budget_message(message)).await;
                }
                Some(PeerCommand::Broadcast(report)) => {
                    let parts = split_report(&report);
                    task.broadcast(parts.iter().map(encode_content_report)).await;
                }
                Some(PeerCommand::BroadcastLimit(report)) => {
                    task.broadcast([encode_limit_report(&report)]).await;
                    task.repeated_limits.insert(report.upstream.clone(), report);
                }
                Some(PeerCommand::ReportDepartures(departures)) => {
                    task.report_departures(departures).await;
                }
                Some(PeerCommand::MergeDocument { from, part }) => {
                    task.merge_document(from, part).await;
                }
                Some(PeerCommand::Leave) => task.apply(MemberEvent::LeaveStarted).await,
                None => return,
            },
            received = task.socket.recv_from(&mut buffer) => match received {
                Ok((length, _)) => task.receive(&buffer[..length]).await,
                // The socket may report here that an earlier datagram did not reach its peer; the
                // member table detects unreachable peers by itself.
                Err(error) => log::trace!("failed to receive datagram: {error}"),
            },
            _ = repeat.tick() => {
                task.repeat_blocked().await;
                task.repeat_departures().await;
            }
            _ = interval.tick() => {
                let version = task.state.version();
                task.apply(MemberEvent::ConfigVersion(version)).await;
                task.apply(MemberEvent::Tick).await;
                task.state.report_lag();
                task.repeat_limits().await;
                task.tell_failures().await;
                task.update_replica(ReplicaEvent::Tick).await;
            }
        }
    }
}

/// Splits a report into parts that fit into one datagram each.
fn split_report(report: &ContentReport) -> Vec<ContentReport> {
    let losses = report.losses.chunks(REPORT_ENTRIES_MAX);
    let losses = losses.map(|losses| ContentReport {
        losses: losses.to_vec(),
        answered: Vec::new(),
    });
    let answered = report.answered.chunks(REPORT_ENTRIES_MAX);
    let answered = answered.map(|answered| ContentReport {
        losses: Vec::new(),
        answered: answered.to_vec(),
    });
    losses.chain(answered).collect()
}

/// Logs the changes of peer states, in one line per membership event.
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

impl PeerTask {
    async fn receive(&mut self, bytes: &[u8]) {
        let envelope = match decode_envelope(bytes) {
            Ok(envelope) => envelope,
            Err(error) => return log::debug!("datagram dropped: {error}"),
        };
        let from = HolderId::from(&envelope.sender);
        if let Some(event) = decode_member_event(&from, &envelope.body) {
            return self.apply(event).await;
        }
        if let Some(report) = decode_content_report(&envelope.body) {
            return self.state.merge_content(&report);
        }
        if let Some(report) = decode_limit_report(&envelope.body) {
            return self.state.merge_limit(&report);
        }
        if let Some(departures) = decode_departure_report(&envelope.body) {
            return self.state.merge_departures(&departures);
        }
        if let Some(failures) = decode_failure_report(&envelope.body) {
            return self.state.merge_failures(&failures);
        }
        if let Some(request) = decode_document_request(&envelope.body) {
            return self.send_document(&from, &request).await;
        }
        if let Some(part) = decode_document_part(&envelope.body) {
            return self.merge_document(from, part).await;
        }
        // Without a recipient the ledger cannot check that a message is meant for this incarnation,
        // so that it must not change any balance.
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
        for peer in self.informed_peers(&effects) {
            self.send_blocked(&peer).await;
        }
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
                MemberEffect::MembersChanged { .. } => self.publish_members(),
                MemberEffect::StateChanged { .. } => {}
                MemberEffect::PeerVersion { peer, version } => {
                    self.state.record_peer_version(version);
                    let event = ReplicaEvent::PeerVersion { peer, version };
                    self.update_replica(event).await;
                }
            }
        }
    }

    async fn merge_document(&mut self, from: HolderId, part: DocumentPart) {
        self.state.versions.record_part();
        let event = ReplicaEvent::PartReceived { from, part };
        self.update_replica(event).await;
    }

    /// Feeds an event to the exchange of configurations and executes the resulting action.
    async fn update_replica(&mut self, event: ReplicaEvent) {
        let state = &self.state;
        let (version, now) = (state.version(), state.now());
        let index = || state.document_index();
        let effects = self
            .replica
            .handle(event, version, index, now, &mut self.generator);
        for effect in effects {
            match effect {
                ReplicaEffect::Request {
                    to,
                    request,
                    channel: RequestChannel::Datagram,
                } => {
                    self.state.versions.record_request();
                    let body = encode_document_request(&request);
                    self.send_to_member(&to, body).await;
                }
                ReplicaEffect::Request {
                    to,
                    request,
                    channel: RequestChannel::Connection,
                } => self.fetch_document(to, request),
                ReplicaEffect::Activate(document) => {
                    self.state.activate_document(*document, "peer");
                }
            }
        }
    }

    /// Sends a request over a connection, unless the maximum number of them is in progress.
    fn fetch_document(&mut self, to: HolderId, request: DocumentRequest) {
        while self.fetches.try_join_next().is_some() {}
        let Ok(permit) = Arc::clone(&self.fetch_permits).try_acquire_owned() else {
            return;
        };
        let member = self.table.member(&to.instance);
        let address = member.map(|member| member.record.address.parse());
        let Some(Ok(address)) = address else {
            return log::debug!("peer {to} is not asked: its address is unknown");
        };
        self.state.versions.record_request();
        let (state, holder) = (Arc::clone(&self.state), self.holder.clone());
        let fetch = fetch_document(state, holder, (to, address), request, permit);
        self.fetches.spawn(fetch);
    }

    /// Sends a peer the parts of the active configuration that it lacks.
    async fn send_document(&self, to: &HolderId, request: &DocumentRequest) {
        for part in self
            .state
            .document_index()
            .answer(request, RequestChannel::Datagram)
        {
            self.send_to_member(to, encode_document_part(part)).await;
        }
    }

    fn publish_members(&self) {
        let live: Vec<DomainPeer> = self
            .table
            .live_records()
            .map(|record| DomainPeer {
                holder: record.holder.clone(),
                domain: record.domain.clone(),
            })
            .collect();
        self.state.record_instances(live.len());
        let domain = self.table.live_members(&self.state.settings.domain);
        let names = domain.map(|record| &record.holder.instance);
        let readers = choose_owners(READER_SELECTION_KEY, names, LATEST_READERS);
        self.state
            .set_reads_latest(readers.contains(&&self.holder.instance));
        self.state.set_writer_place(self.find_writer_place());
        self.state.notify_ledger(LedgerEvent::PeersChanged(live));
    }

    /// Returns the place of this instance among the writers of the blocked content, the live instances
    /// with the highest scores.
    fn find_writer_place(&self) -> Option<u32> {
        let score = |instance| rendezvous_score(WRITER_SELECTION_KEY, instance);
        let own = score(&self.holder.instance);
        let others = self.table.live_records();
        let before = others.filter(|record| score(&record.holder.instance) > own);
        let place = before.take(BLOCKLIST_WRITERS).count();
        let is_writer = place < BLOCKLIST_WRITERS;
        is_writer.then(|| u32::try_from(place).unwrap_or(u32::MAX))
    }

    /// Sends messages to all live peers.
    async fn broadcast(&self, bodies: impl IntoIterator<Item = WireBody>) {
        self.send_all(&self.addresses(self.table.live_records()), bodies)
            .await;
    }

    /// Returns the addresses of members other than this instance.
    fn addresses<'a>(
        &self,
        records: impl Iterator<Item = &'a MemberRecord>,
    ) -> Vec<(HolderId, String)> {
        records
            .filter(|record| record.holder != self.holder)
            .map(|record| (record.holder.clone(), record.address.clone()))
            .collect()
    }

    async fn send_all(
        &self,
        peers: &[(HolderId, String)],
        bodies: impl IntoIterator<Item = WireBody>,
    ) {
        for body in bodies {
            for (holder, address) in peers {
                self.send(address, Some(holder), body.clone()).await;
            }
        }
    }

    /// Sends the reports about limits since the last tick once more.
    async fn repeat_limits(&mut self) {
        if self.repeated_limits.is_empty() {
            return;
        }
        let reports = std::mem::take(&mut self.repeated_limits);
        self.broadcast(reports.values().map(encode_limit_report))
            .await;
    }

    /// Tells the peers of the domain which upstreams have left, now and repeatedly.
    async fn report_departures(&mut self, departures: Vec<UpstreamDeparture>) {
        self.send_departures(&departures).await;
        let now = self.state.now();
        let departures = departures.into_iter().map(|departure| (departure, now));
        self.departures.extend(departures);
    }

    /// Repeats the reports about upstreams that have left, because datagrams may be lost.
    async fn repeat_departures(&mut self) {
        let now = self.state.now();
        self.departures
            .retain(|(_, at)| now.since(*at) < DEPARTURE_REPEAT_TIME);
        let departures: Vec<UpstreamDeparture> = self
            .departures
            .iter()
            .map(|(departure, _)| departure.clone())
            .collect();
        self.send_departures(&departures).await;
    }

    /// Sends the peers of the domain a report about upstreams that have left, unless all of them read
    /// the latest state of the directory.
    async fn send_departures(&self, departures: &[UpstreamDeparture]) {
        if departures.is_empty() {
            return;
        }
        let domain = &self.state.settings.domain;
        let peers = self.addresses(self.table.live_members(domain));
        if peers.len() < LATEST_READERS {
            return;
        }
        let parts = departures.chunks(REPORT_ENTRIES_MAX);
        self.send_all(&peers, parts.map(encode_departure_report))
            .await;
    }

    /// Tells peers of the domain which upstreams have failed since the last tick. A lost message is not
    /// repeated: the next failure is told as well.
    async fn tell_failures(&mut self) {
        let failures = self.state.take_failures();
        if failures.is_empty() {
            return;
        }
        let peers = self.addresses(self.table.live_members(&self.state.settings.domain));
        let chosen = peers
            .into_iter()
            .choose_multiple(&mut self.generator, FAILURE_PEERS_MAX);
        self.send_all(&chosen, [encode_failure_report(&failures)])
            .await;
    }

    /// Tells a peer what is blocked.
    async fn send_blocked(&self, to: &HolderId) {
        let report = self.state.crashes.blocked_report(self.state.now());
        let member = self.table.member(&to.instance);
        let Some(address) = member.map(|member| member.record.address.clone()) else {
            return;
        };
        for part in split_report(&report) {
            self.send(&address, Some(to), encode_content_report(&part))
                .await;
        }
    }

    /// Tells some random live peers what is blocked, because datagrams may be lost and partitions
    /// end.
    async fn repeat_blocked(&mut self) {
        self.state.expire_content();
        let peers = self.table.live_records();
        let peers = peers.filter(|record| record.holder != self.holder);
        let peers = peers.map(|record| record.holder.clone());
        for peer in peers.choose_multiple(&mut self.generator, REPEAT_PEERS) {
            self.send_blocked(&peer).await;
        }
    }

    /// Returns the peers among those that came to life which this instance has to inform: each is
    /// informed by some members only.
    fn informed_peers(&self, effects: &[MemberEffect]) -> Vec<HolderId> {
        if self.state.crashes.blocked_count() == 0 {
            return Vec::new();
        }
        let joined = effects.iter().filter_map(|effect| match effect {
            MemberEffect::StateChanged {
                holder,
                state: MemberState::Alive,
                ..
            } if *holder != self.holder => Some(holder),
            _ => None,
        });
        let joined = joined.filter(|holder| {
            let others = self
                .table
                .live_records()
                .map(|record| &record.holder.instance);
            let others = others.filter(|instance| **instance != holder.instance);
            let informants = choose_owners(holder.instance.as_str(), others, INFORMANTS);
            informants.contains(&&self.holder.instance)
        });
        joined.cloned().collect()
    }

    async fn send_to_member(&self, to: &HolderId, body: WireBody) {
        match self.table.member(&to.instance) {
            Some(member) => self.send(&member.record.address, Some(to), body).await,
            None => log::debug!("message to peer {to} dropped: its address is unknown"),
        }
    }

    /// Sends a datagram. The member table and the ledger resend lost messages.
    async fn send(&self, address: &str, to: Option<&HolderId>, body: WireBody) {
        let recipient = to.map(WireHolder::from);
        let envelope = WireEnvelope::new(WireHolder::from(&self.holder), recipient, body);
        let bytes = match encode_envelope(&envelope) {
            Ok(bytes) => bytes,
            Err(error) => return log::warn!("message cannot be encoded: {error}"),
        };
        if let Err(error) = self.socket.send_to(&bytes, address).await {
            log::debug!("failed to send datagram to {address}: {error}");
        }
    }
}
