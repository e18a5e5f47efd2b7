//! Start and graceful shutdown of a gateway.

use std::{collections::HashMap, future::Future, io, net::SocketAddr, sync::Arc, time::Duration};

use cornelarch_callers::CallerAccount;
use cornelarch_core::{base::HolderId, limit::CallerOptions};
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use rand::Rng;
use snafu::{ResultExt, Snafu};
use tokio::{
    net::{TcpListener, UdpSocket},
    sync::mpsc,
    task::{Id, JoinSet},
    time::{Instant, sleep_until, timeout_at},
};
use tokio_util::sync::CancellationToken;

use crate::{
    connection::{ConnectionOptions, ServerConnections, bind_listener},
    edge::{HeaderNames, PlatformEdge},
    process::{
        DrainTimes, GatewaySettings, GatewayState, PeerCommand, SharedLedger, log_event,
        run_blocking, run_ledger, run_peers, serve_documents, sync_blocklist, sync_directory,
        sync_document, sync_evacuations,
    },
    request::{ResponseBody, empty_response, full_body, handle_request},
};

/// Time after the start of a shutdown in which new connections still arrive: the load balancer
/// checks readiness once a second and removes an instance after two failures.
const DEREGISTRATION_DELAY: Duration = Duration::from_millis(3_200);
/// Time after the start of a shutdown from which a request is taken only if its time limit ends
/// before the shutdown does. Before, callers have no way to choose another instance, and most
/// requests take far less than their time limit.
const LATE_AFTER: Duration = Duration::from_secs(3);
/// Fraction of the grace period that draining may use; the rest is reserved for process exit.
const GRACE_FRACTION: f64 = 0.95;
/// Part of the grace period that is reserved for returning token balances.
const LEDGER_DRAIN_TIME: Duration = Duration::from_millis(500);
/// Interval at which shutdown checks whether the ledger has returned its balances.
const LEDGER_DRAIN_POLL: Duration = Duration::from_millis(20);
/// Interval at which expired idle connections are closed.
const POOL_CLEANUP_PERIOD: Duration = Duration::from_secs(1);
const METRICS_PATH: &str = "/metrics";
/// Largest header section of a readiness or metrics request, in bytes.
const PROBE_HEADER_BYTES: usize = 8 * 1024;
/// Maximum number of connections for readiness, and for metrics.
const PROBE_CONNECTIONS: usize = 16;
/// Idle timeout of connections for readiness and metrics.
const PROBE_IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Error that prevents a gateway from starting.
#[derive(Debug, Snafu)]
pub enum GatewayError {
    /// A listener or socket cannot be bound.
    #[snafu(display("address {address} cannot be bound"))]
    Bind {
        /// The configured address.
        address: SocketAddr,
        /// The error of the operating system.
        source: io::Error,
    },
}

/// A running gateway.
pub struct Gateway {
    state: Arc<GatewayState>,
    callers: ServerConnections,
    stop: CancellationToken,
    tasks: JoinSet<()>,
    /// Names of the background tasks, for log lines.
    task_names: HashMap<Id, &'static str>,
}

impl Gateway {
    /// Binds the listeners of a gateway and starts its background tasks.
    ///
    /// # Errors
    ///
    /// Returns [`GatewayError::Bind`] if an address cannot be bound.
    pub async fn bind<P: PlatformEdge>(
        settings: GatewaySettings,
        headers: HeaderNames,
        edge: Arc<P>,
    ) -> Result<Self, GatewayError> {
        let listen = |address| bind_listener(address).context(BindSnafu { address });
        let (callers_listener, ready_listener) =
            (listen(settings.listen)?, listen(settings.ready_listen)?);
        let metrics_listener = settings.metrics_listen.map(listen).transpose()?;
        let holder = HolderId::new(settings.instance.clone(), rand::rng().random());
        let ledger = SharedLedger::open(&settings, holder.clone());
        let (sender, events) = mpsc::unbounded_channel();
        let (peer_commands, commands) = mpsc::unbounded_channel();
        let address = settings.peer_listen;
        let peer_listener = listen(address)?;
        let socket = UdpSocket::bind(address).await;
        let socket = socket.context(BindSnafu { address })?;
        let state = GatewayState::new(settings, headers, ledger, sender, peer_commands);
        let state = Arc::new(state);
        let mut gateway = Self {
            callers: ServerConnections::new(Arc::clone(&state.callers)),
            stop: CancellationToken::new(),
            tasks: JoinSet::new(),
            task_names: HashMap::new(),
            state: Arc::clone(&state),
        };
        let configuration = sync_document(Arc::clone(&state), Arc::clone(&edge));
        gateway.spawn_task("configuration", configuration);
        let directory = sync_directory(Arc::clone(&state), Arc::clone(&edge));
        gateway.spawn_task("directory", directory);
        let blocklist = sync_blocklist(Arc::clone(&state), Arc::clone(&edge));
        gateway.spawn_task("blocklist", blocklist);
        let evacuations = sync_evacuations(Arc::clone(&state), Arc::clone(&edge));
        gateway.spawn_task("evacuations", evacuations);
        gateway.spawn_task("ledger", run_ledger(Arc::clone(&state), edge, events));
        let documents = serve_documents(Arc::clone(&state), holder.clone(), peer_listener);
        gateway.spawn_task("documents", documents);
        let peers = run_peers(Arc::clone(&state), holder, socket, commands);
        gateway.spawn_task("peers", peers);
        gateway.spawn_task("blocking", run_blocking(Arc::clone(&state)));
        gateway.spawn_task("connections", close_expired_connections(Arc::clone(&state)));
        let sweeps = Arc::clone(&state.callers).run_sweeps();
        gateway.spawn_task("callers' account", sweeps);
        if let Some(listener) = metrics_listener {
            gateway.spawn_task("metrics", serve_metrics(Arc::clone(&state), listener));
        }
        gateway.spawn_task("readiness", serve_ready(Arc::clone(&state), ready_listener));
        let (callers, stop) = (gateway.callers.clone(), gateway.stop.clone());
        let shared = Arc::clone(&state);
        gateway.spawn_task("callers", async move {
            let options = || caller_options(&shared);
            let handler = {
                let state = Arc::clone(&shared);
                move |request| handle_request(Arc::clone(&state), request)
            };
            callers
                .serve(callers_listener, options, handler, stop)
                .await;
        });
        log_event!(
            GatewayStarted,
            "instance={} domain={} listen={}",
            state.settings.instance,
            state.settings.domain,
            state.settings.listen
        );
        Ok(gateway)
    }

    fn spawn_task(&mut self, name: &'static str, task: impl Future<Output = ()> + Send + 'static) {
        let id = self.tasks.spawn(task).id();
        self.task_names.insert(id, name);
    }

    /// Waits until a background task ends, which only a fault of the gateway causes before
    /// [`close`](Self::close). Without the task, the gateway would go on with outdated state.
    pub async fn wait_failed(&mut self) {
        let Some(ended) = self.tasks.join_next_with_id().await else {
            return;
        };
        let (id, cause) = match ended {
            Ok((id, ())) => (id, "it returned".to_owned()),
            Err(error) => (error.id(), error.to_string()),
        };
        let name = self.task_names.get(&id).copied().unwrap_or("unknown");
        log_event!(TaskFailed, "name={name} cause={cause}");
    }

    /// Shuts the gateway down: fails readiness, waits for running requests and returns token
    /// balances.
    pub async fn close(mut self) {
        let began = Instant::now();
        let end = began + self.state.settings.grace.mul_f64(GRACE_FRACTION);
        let requests_end = end - LEDGER_DRAIN_TIME;
        self.state.start_drain(DrainTimes {
            late_from: began + LATE_AFTER,
            end: requests_end,
        });
        log_event!(DrainStarted, "running={}", self.state.running());
        let deregistration_end = (began + DEREGISTRATION_DELAY).min(end);
        sleep_until(deregistration_end).await;
        self.stop.cancel();
        self.callers.closing.cancel();
        let closed = async {
            self.callers.wait_closed().await;
            self.state.wait_idle().await;
        };
        if timeout_at(requests_end, closed).await.is_err() {
            log_event!(DrainTimedOut, "running={}", self.state.running());
        }
        self.state.send_peer_command(PeerCommand::Leave);
        self.drain_ledger(end).await;
        self.tasks.shutdown().await;
        log_event!(GatewayStopped);
    }

    async fn drain_ledger(&self, end: Instant) {
        use cornelarch_core::budget::LedgerEvent;

        self.state.notify_ledger(LedgerEvent::DrainStarted);
        let drained = async {
            while !self.state.ledger.lock().is_drained() {
                tokio::time::sleep(LEDGER_DRAIN_POLL).await;
            }
        };
        if timeout_at(end, drained).await.is_err() {
            log::warn!("ledger did not return all balances within the grace period");
        }
    }
}

fn caller_options(state: &GatewayState) -> ConnectionOptions {
    let document = state.document.load();
    let limits = document
        .as_ref()
        .map(|document| document.limits())
        .unwrap_or_default();
    ConnectionOptions {
        header_bytes: limits.header_bytes,
        idle_timeout: limits.idle_timeout.max(limits.header_timeout),
    }
}

async fn close_expired_connections(state: Arc<GatewayState>) {
    let mut interval = tokio::time::interval(POOL_CLEANUP_PERIOD);
    loop {
        interval.tick().await;
        state.pool.close_expired();
    }
}

/// Serves the readiness endpoint of the load balancer.
async fn serve_ready(state: Arc<GatewayState>, listener: TcpListener) {
    let handler = move |request: Request<Incoming>| {
        let status = answer_ready(&state, &request);
        async move { empty_response(status) }
    };
    serve_probes(listener, handler).await;
}

async fn serve_metrics(state: Arc<GatewayState>, listener: TcpListener) {
    let handler = move |request: Request<Incoming>| {
        let answer = match request.uri().path() {
            METRICS_PATH => Response::new(full_body(state.render_metrics().into())),
            _ => empty_response(StatusCode::NOT_FOUND),
        };
        async move { answer }
    };
    serve_probes(listener, handler).await;
}

/// Serves a listener for readiness or metrics until the task is dropped.
async fn serve_probes<H, F>(listener: TcpListener, handler: H)
where
    H: Fn(Request<Incoming>) -> F + Send + Sync + 'static,
    F: Future<Output = Response<ResponseBody>> + Send + 'static,
{
    let options = || ConnectionOptions {
        header_bytes: PROBE_HEADER_BYTES,
        idle_timeout: PROBE_IDLE_TIMEOUT,
    };
    let callers = CallerOptions {
        connections: PROBE_CONNECTIONS,
        ..CallerOptions::default()
    };
    let account = CallerAccount::new(callers, |cut| log_event!(CallerCut, "port=probe {cut}"));
    let connections = ServerConnections::new(Arc::new(account));
    connections
        .serve(listener, options, handler, CancellationToken::new())
        .await;
}

fn answer_ready(state: &GatewayState, request: &Request<Incoming>) -> StatusCode {
    if request.uri().path() != state.settings.ready_path {
        StatusCode::NOT_FOUND
    } else if state.is_ready() {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    }
}
