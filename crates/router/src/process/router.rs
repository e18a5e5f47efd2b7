//! Handle of a running router: start-up, graceful shutdown and dispatch of peer messages.

use std::{
    future::{Future, IntoFuture},
    io,
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use axum::serve::ListenerExt;
use cornelarch_callers::CutReason;
use cornelarch_core::{
    base::{HolderId, UpstreamName},
    blocklist::{CrashReport, Fingerprint},
    budget::LedgerEvent,
    membership::MemberEvent,
};
use cornelarch_platform::{ClientOptions, HttpStore};
use cornelarch_wire::peer::{WireBody, WireEnvelope};
use kameo::actor::{Actor, ActorRef, Spawn};
use rand::{Rng, SeedableRng, rngs::StdRng};
use snafu::{ResultExt, Snafu};
use tokio::{net::TcpListener, task::JoinHandle, time::timeout};
use tokio_util::sync::CancellationToken;

use crate::{
    connection::{CallerListener, CallerReference, serve_peers},
    process::{
        ConfigActor, LedgerActor, MemberActor, MetricName, MetricsError, RouterMetrics,
        RouterPhase, RouterSettings, RouterState, config, dump, ledger, log_event, members,
        operator, poll,
        state::{RouterActors, build_client},
        sweep,
    },
    request::build_callers,
};

/// Time-out for a draining ledger to return or lend its balances.
const LEDGER_DRAIN_TIMEOUT: Duration = Duration::from_secs(10);
/// Time between two checks of a draining ledger.
const LEDGER_DRAIN_POLL: Duration = Duration::from_millis(50);
/// Time-out for HTTP connections to close after the last request.
const CONNECTION_DRAIN_TIMEOUT: Duration = Duration::from_secs(1);
/// Time between two flushes of the metrics.
const METRICS_FLUSH_PERIOD: Duration = Duration::from_secs(1);

/// Lists the bound addresses of a router.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RouterAddresses {
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for operators.
    pub operator: SocketAddr,
    /// Address for peers.
    pub peers: SocketAddr,
}

/// Reports why a router cannot start.
#[derive(Debug, Snafu)]
pub enum RouterError {
    /// An address cannot be bound.
    #[snafu(display("port {port} cannot be bound at {address}: {source}"))]
    Bind {
        /// Name of the setting that holds the address.
        port: &'static str,
        /// The address.
        address: SocketAddr,
        /// The cause.
        source: io::Error,
    },
    /// The platform client cannot be set up.
    #[snafu(display("platform client cannot be set up: {source}"))]
    Platform {
        /// The cause.
        source: cornelarch_platform::client::ClientError,
    },
    /// The HTTP client for upstreams cannot be set up.
    #[snafu(display("HTTP client for upstreams cannot be set up: {source}"))]
    Client {
        /// The cause.
        source: reqwest::Error,
    },
    /// The metrics client cannot be set up.
    #[snafu(display("{source}"))]
    Metrics {
        /// The cause.
        source: MetricsError,
    },
}

/// Gives read access to the state of a router, also while it is being closed.
#[derive(Clone, Debug)]
pub struct RouterView {
    state: Arc<RouterState>,
}

impl RouterView {
    /// Returns the state as JSON, without secrets.
    pub async fn dump(&self) -> serde_json::Value {
        dump::build_dump(&self.state).await
    }

    /// Returns the number of requests in progress.
    #[must_use]
    pub fn running(&self) -> usize {
        self.state.running()
    }

    /// Returns the value of a counter or gauge.
    #[must_use]
    pub fn metric(&self, name: MetricName) -> u64 {
        self.state.metrics.value(name)
    }

    /// Writes the state to the log.
    pub fn log_dump(&self) {
        let state = Arc::clone(&self.state);
        tokio::spawn(async move {
            let dump = dump::build_dump(&state).await;
            log_event!(StateDump, "{dump}");
        });
    }

    /// Logs the requests and tokens that are affected by ending the process without a drain.
    pub fn log_interrupted(&self) {
        let snapshot = self.state.ledger.lock().snapshot();
        let held: u64 = snapshot
            .accounts
            .iter()
            .map(|account| account.balance.get())
            .sum();
        let reserved: u64 = snapshot
            .accounts
            .iter()
            .map(|account| account.reserved.get())
            .sum();
        log_event!(
            Interrupted,
            "{} requests in progress, {held} free and {reserved} reserved tokens stay held by {}",
            self.state.running(),
            self.state.holder
        );
    }
}

/// Represents a running router.
#[derive(Debug)]
pub struct Router {
    state: Arc<RouterState>,
    addresses: RouterAddresses,
    servers: Vec<JoinHandle<()>>,
    /// Shuts the HTTP servers down, after the last request.
    close_connections: CancellationToken,
}

impl Router {
    /// Binds the ports and starts a router. It serves requests as soon as it has a configuration.
    ///
    /// # Errors
    ///
    /// Returns [`RouterError`] if a port cannot be bound or a client cannot be set up.
    pub async fn bind(settings: RouterSettings) -> Result<Self, RouterError> {
        let callers = bind_port("callers", settings.callers).await?;
        let operators = bind_port("operator", settings.operator).await?;
        let peers = bind_port("peers", settings.peers).await?;
        let addresses = RouterAddresses {
            callers: local_address("callers", &callers, settings.callers)?,
            operator: local_address("operator", &operators, settings.operator)?,
            peers: local_address("peers", &peers, settings.peers)?,
        };
        let store = HttpStore::new(&ClientOptions {
            address: settings.platform.clone(),
            ..ClientOptions::default()
        })
        .context(PlatformSnafu)?;
        let metrics = RouterMetrics::open(&settings.metrics_prefix, settings.metrics)
            .context(MetricsSnafu)?;
        let client = build_client(usize::MAX).context(ClientSnafu)?;
        let order_client = build_client(0).context(ClientSnafu)?;
        let holder = HolderId::new(settings.instance.clone(), StdRng::from_os_rng().random());
        let state = Arc::new(RouterState::new(
            settings,
            holder,
            metrics,
            store,
            client,
            order_client,
        ));
        let mut router = Self {
            state,
            addresses,
            servers: Vec::new(),
            close_connections: CancellationToken::new(),
        };
        router.start_actors();
        router.start_tasks(peers);
        let callers_app = build_callers(Arc::clone(&router.state));
        let operator_app = operator::build_operator_app(Arc::clone(&router.state));
        let closing = || router.close_connections.clone().cancelled_owned();
        let callers = CallerListener::new(callers, Arc::clone(&router.state.callers));
        let callers_app = callers_app.into_make_service_with_connect_info::<CallerReference>();
        let callers = axum::serve(callers, callers_app).with_graceful_shutdown(closing());
        let operators = operators.tap_io(|stream| {
            // The interface works without the option.
            let _ = stream.set_nodelay(true);
        });
        let operators = axum::serve(operators, operator_app).with_graceful_shutdown(closing());
        router.spawn_server(callers.into_future());
        router.spawn_server(operators.into_future());
        log_event!(
            RouterStarted,
            "{} in domain {}, callers {}, operator {}, peers {}",
            router.state.holder,
            router.state.settings.domain,
            addresses.callers,
            addresses.operator,
            addresses.peers
        );
        Ok(router)
    }

    /// Returns the bound addresses.
    #[must_use]
    pub fn addresses(&self) -> RouterAddresses {
        self.addresses
    }

    /// Returns the identity of this incarnation of the instance.
    #[must_use]
    pub fn holder(&self) -> &HolderId {
        &self.state.holder
    }

    /// Returns a view of the state, which remains usable after the router is closed.
    #[must_use]
    pub fn view(&self) -> RouterView {
        RouterView {
            state: Arc::clone(&self.state),
        }
    }

    /// Waits until a configuration of at least `version` is active; returns `false` after `limit`.
    pub async fn wait_version(&self, version: u64, limit: Duration) -> bool {
        let mut ready = self.state.active_version.subscribe();
        let reached = ready.wait_for(|number| *number >= version.max(1));
        matches!(timeout(limit, reached).await, Ok(Ok(_)))
    }

    /// Shuts down gracefully: fails readiness, refuses new requests after the grace time, waits for
    /// running requests, returns balances and ends.
    pub async fn close(self) {
        let settings = &self.state.settings;
        log_event!(
            DrainStarted,
            "{} requests in progress",
            self.state.running()
        );
        self.state.enter_phase(RouterPhase::Draining);
        if let Some(actors) = self.state.actors() {
            let _ = actors.members.tell(MemberEvent::LeaveStarted).await;
        }
        tokio::time::sleep(settings.drain_grace).await;
        self.state.enter_phase(RouterPhase::Refusing);
        log_event!(DrainRefusing);
        if timeout(settings.drain, self.state.wait_idle())
            .await
            .is_err()
        {
            log_event!(DrainTimedOut, "{} requests", self.state.running());
        }
        self.return_balances().await;
        self.close_connections.cancel();
        self.end().await;
        log_event!(RouterStopped);
    }

    /// Ends at once, like a crash: balances stay held and running requests are interrupted.
    pub async fn abort(self) {
        self.view().log_interrupted();
        // Open connections must not be served any more.
        self.state.enter_phase(RouterPhase::Refusing);
        self.state.stop.cancel();
        for server in &self.servers {
            server.abort();
        }
        self.end().await;
    }

    /// Drains the ledger, which returns its balances to the platform or lends them to a peer.
    async fn return_balances(&self) {
        let Some(actors) = self.state.actors() else {
            return;
        };
        let _ = actors.ledger.tell(LedgerEvent::DrainStarted).await;
        let drained = async {
            while !self.state.ledger.lock().is_drained() {
                let _ = actors.ledger.tell(LedgerEvent::Tick).await;
                tokio::time::sleep(LEDGER_DRAIN_POLL).await;
            }
        };
        if timeout(LEDGER_DRAIN_TIMEOUT, drained).await.is_err() {
            let snapshot = self.state.ledger.lock().snapshot();
            let held: u64 = snapshot
                .accounts
                .iter()
                .map(|account| account.balance.get())
                .sum();
            log_event!(BalanceKept, "{held} tokens under {}", self.state.holder);
        }
    }

    async fn end(self) {
        for mut server in self.servers {
            if timeout(CONNECTION_DRAIN_TIMEOUT, &mut server)
                .await
                .is_err()
            {
                server.abort();
            }
        }
        self.state.stop.cancel();
        if let Some(actors) = self.state.actors() {
            actors.ledger.kill();
            actors.config.kill();
            actors.members.kill();
        }
        self.state.metrics.flush();
        self.state.tasks.close();
    }

    fn start_actors(&self) {
        let state = &self.state;
        let ledger = LedgerActor::spawn(LedgerActor::new(Arc::clone(state)));
        let config = ConfigActor::spawn(ConfigActor::new(Arc::clone(state)));
        let address = state.settings.advertise.unwrap_or(self.addresses.peers);
        let members = MemberActor::spawn(MemberActor::new(
            Arc::clone(state),
            address,
            ledger.clone(),
            config.clone(),
        ));
        state
            .tasks
            .spawn(watch_actor("ledger", ledger.clone(), Arc::clone(state)));
        state.tasks.spawn(watch_actor(
            "configuration",
            config.clone(),
            Arc::clone(state),
        ));
        state.tasks.spawn(watch_actor(
            "membership",
            members.clone(),
            Arc::clone(state),
        ));
        state.set_actors(RouterActors {
            ledger,
            config,
            members,
        });
    }

    fn start_tasks(&self, peers: TcpListener) {
        let state = &self.state;
        let inbox = Arc::clone(state);
        state.tasks.spawn(serve_peers(
            peers,
            state.holder.clone(),
            state.tasks.clone(),
            state.stop.clone(),
            move |envelope| deliver(Arc::clone(&inbox), envelope),
        ));
        let task = Arc::clone(state);
        state
            .tasks
            .spawn(async move { task.tick_ledger(ledger::LEDGER_TICK).await });
        let task = Arc::clone(state);
        state
            .tasks
            .spawn(async move { task.tick_config(config::CONFIG_TICK).await });
        let task = Arc::clone(state);
        state
            .tasks
            .spawn(async move { task.tick_members(members::MEMBER_TICK).await });
        state.tasks.spawn(poll::poll_loads(Arc::clone(state)));
        state.tasks.spawn(poll::poll_instances(Arc::clone(state)));
        state.tasks.spawn(poll::poll_queues(Arc::clone(state)));
        state.tasks.spawn(sweep::sweep_orders(Arc::clone(state)));
        let (callers, stop) = (Arc::clone(&state.callers), state.stop.clone());
        state.tasks.spawn(async move {
            stop.run_until_cancelled(callers.run_sweeps()).await;
        });
        state.tasks.spawn(flush_metrics(Arc::clone(state)));
    }

    fn spawn_server(&mut self, server: impl Future<Output = io::Result<()>> + Send + 'static) {
        self.servers.push(tokio::spawn(async move {
            if let Err(error) = server.await {
                log_event!(TaskFailed, "HTTP server: {error}");
            }
        }));
    }
}

/// Fails readiness if an actor ends before the router is stopped.
async fn watch_actor<A: Actor>(name: &'static str, actor: ActorRef<A>, state: Arc<RouterState>) {
    tokio::select! {
        biased;
        () = state.stop.cancelled() => {}
        () = actor.wait_for_shutdown() => {
            log_event!(TaskFailed, "actor {name} ended unexpectedly; the instance is not ready");
            state.enter_phase(RouterPhase::Draining);
        }
    }
}

async fn bind_port(port: &'static str, address: SocketAddr) -> Result<TcpListener, RouterError> {
    let listener = TcpListener::bind(address).await;
    listener.context(BindSnafu { port, address })
}

fn local_address(
    port: &'static str,
    listener: &TcpListener,
    address: SocketAddr,
) -> Result<SocketAddr, RouterError> {
    listener.local_addr().context(BindSnafu { port, address })
}

/// Metrics of the callers that were cut, by reason.
const CUT_METRICS: [(CutReason, MetricName); CutReason::ALL.len()] = [
    (CutReason::Memory, MetricName::MemoryCuts),
    (CutReason::Connections, MetricName::ConnectionCuts),
    (CutReason::Stalled, MetricName::StalledCuts),
];

/// Sends what callers hold, and how many were cut since `counted`.
fn flush_callers(state: &RouterState, counted: &mut [u64; CutReason::ALL.len()]) {
    let (account, metrics) = (&state.callers, &state.metrics);
    metrics.set(MetricName::CallerBytes, account.held() as u64);
    metrics.set(MetricName::CallerConnections, account.connections() as u64);
    for ((reason, name), counted) in CUT_METRICS.iter().zip(counted) {
        let cuts = account.cuts(*reason);
        metrics.add(*name, cuts - *counted);
        *counted = cuts;
    }
}

async fn flush_metrics(state: Arc<RouterState>) {
    let mut cuts = [0; CutReason::ALL.len()];
    let mut interval = tokio::time::interval(METRICS_FLUSH_PERIOD);
    loop {
        tokio::select! {
            () = state.stop.cancelled() => return,
            _ = interval.tick() => {}
        }
        state
            .metrics
            .set(MetricName::Running, state.running() as u64);
        flush_callers(&state, &mut cuts);
        state.metrics.flush();
    }
}

/// Dispatches a frame of a peer to the actor or component that handles its message type.
async fn deliver(state: Arc<RouterState>, envelope: WireEnvelope) {
    state.metrics.count(MetricName::PeerFrames);
    let Some(actors) = state.actors() else {
        return;
    };
    let from = HolderId::from(&envelope.sender);
    let body = &envelope.body;
    if let Some(event) = cornelarch_wire::decode_member_event(&from, body) {
        let _ = actors.members.tell(event).await;
    } else if let Some(event) = config::decode_message(&from, body) {
        let _ = actors.config.tell(event).await;
    } else if let Some(message) = cornelarch_wire::decode_budget_message(body) {
        // A message without a recipient may be for an earlier incarnation, so it is dropped.
        if let Some(to) = envelope.recipient.as_ref().map(HolderId::from) {
            let event = LedgerEvent::Received { from, to, message };
            let _ = actors.ledger.tell(event).await;
        }
    } else if !deliver_crash(&state, body) {
        log_event!(PeerFrameRejected, "invalid message from {from}");
    }
}

fn deliver_crash(state: &RouterState, body: &WireBody) -> bool {
    let now = state.now();
    if let Some(report) = cornelarch_wire::decode_content_report(body) {
        let answer = state.dispatcher.merge_content(&report, now);
        state.broadcast_content(&answer);
        return true;
    }
    match body {
        WireBody::CrashReport(report) => {
            let Ok(fingerprint) = report.fingerprint.parse() else {
                return false;
            };
            let report = CrashReport {
                fingerprint,
                upstream: UpstreamName::new(&report.upstream),
                losses: report.losses,
            };
            state.dispatcher.merge_report(&report, now);
            true
        }
        WireBody::Unblock(unblock) => match unblock.fingerprint.parse::<Fingerprint>() {
            Ok(fingerprint) => {
                state.dispatcher.unblock(fingerprint, now);
                true
            }
            Err(_) => false,
        },
        _ => false,
    }
}
