//! Running handle of a gateway.

use std::{future::Future, io, net::SocketAddr, sync::Arc, time::Duration};

use cornelarch_core::base::HolderId;
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use rand::Rng;
use snafu::{ResultExt, Snafu};
use tokio::{
    net::{TcpListener, UdpSocket},
    sync::mpsc,
    task::JoinSet,
    time::{Instant, sleep_until, timeout_at},
};
use tokio_util::sync::CancellationToken;

use crate::{
    connection::{ConnectionOptions, ServerConnections, bind_listener},
    edge::{HeaderNames, PlatformEdge},
    process::{
        GatewayPhase, GatewaySettings, GatewayState, PeerCommand, SharedLedger, log_event,
        run_ledger, run_peers, sync_directory, sync_document,
    },
    request::{AnswerBody, empty_answer, handle_request, whole_body},
};

/// Time after the request to stop in which new connections still arrive: the balancer asks once a
/// second and takes an instance out after two failures.
const ROTATION_TIME: Duration = Duration::from_millis(3_200);
/// Part of the grace time that requests may use; the rest is for the end of the process.
const GRACE_PART: f64 = 0.95;
/// Time for which a stopping instance gives balances back.
const LEDGER_TIME: Duration = Duration::from_millis(500);
/// Time between checks whether the ledger has given its balances back.
const LEDGER_POLL: Duration = Duration::from_millis(20);
/// Time between two removals of expired idle connections.
const SWEEP_PERIOD: Duration = Duration::from_secs(1);
/// Path of the metrics.
const METRICS_PATH: &str = "/metrics";
/// Size of the head of a question for readiness or metrics, in bytes.
const PROBE_HEAD_BYTES: usize = 8 * 1024;
/// Idle time of a connection for such questions.
const PROBE_IDLE: Duration = Duration::from_secs(30);

/// Reports why a gateway cannot start.
#[derive(Debug, Snafu)]
pub enum GatewayError {
    /// An address cannot be bound.
    #[snafu(display("address {address} cannot be bound"))]
    Bind {
        /// The address.
        address: SocketAddr,
        /// The cause.
        source: io::Error,
    },
}

/// Represents a running gateway.
pub struct Gateway {
    state: Arc<GatewayState>,
    callers: ServerConnections,
    stop: CancellationToken,
    tasks: JoinSet<()>,
}

impl Gateway {
    /// Binds the addresses of a gateway and starts to follow the platform.
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
        let (peer_commands, orders) = mpsc::unbounded_channel();
        let address = settings.peer_listen;
        let socket = UdpSocket::bind(address).await;
        let socket = socket.context(BindSnafu { address })?;
        let state = GatewayState::new(settings, headers, ledger, sender, peer_commands);
        let state = Arc::new(state);
        let mut gateway = Self {
            callers: ServerConnections::default(),
            stop: CancellationToken::new(),
            tasks: JoinSet::new(),
            state: Arc::clone(&state),
        };
        let tasks = &mut gateway.tasks;
        tasks.spawn(sync_document(Arc::clone(&state), Arc::clone(&edge)));
        tasks.spawn(sync_directory(Arc::clone(&state), Arc::clone(&edge)));
        tasks.spawn(run_ledger(Arc::clone(&state), edge, events));
        tasks.spawn(run_peers(Arc::clone(&state), holder, socket, orders));
        tasks.spawn(sweep_connections(Arc::clone(&state)));
        if let Some(listener) = metrics_listener {
            tasks.spawn(serve_metrics(Arc::clone(&state), listener));
        }
        tasks.spawn(serve_ready(Arc::clone(&state), ready_listener));
        let (callers, stop) = (gateway.callers.clone(), gateway.stop.clone());
        let shared = Arc::clone(&state);
        gateway.tasks.spawn(async move {
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

    /// Stops the gateway: leaves the balancer's rotation, lets requests end and gives balances back.
    pub async fn close(mut self) {
        let began = Instant::now();
        let end = began + self.state.settings.grace.mul_f64(GRACE_PART);
        self.state.enter_phase(GatewayPhase::Draining);
        log_event!(DrainStarted, "running={}", self.state.running());
        let rotation_end = (began + ROTATION_TIME).min(end);
        sleep_until(rotation_end).await;
        self.stop.cancel();
        self.callers.closing.cancel();
        let closed = async {
            self.callers.wait_closed().await;
            self.state.wait_idle().await;
        };
        if timeout_at(end - LEDGER_TIME, closed).await.is_err() {
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
                tokio::time::sleep(LEDGER_POLL).await;
            }
        };
        if timeout_at(end, drained).await.is_err() {
            log::warn!("balances could not be given back in time");
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

async fn sweep_connections(state: Arc<GatewayState>) {
    let mut interval = tokio::time::interval(SWEEP_PERIOD);
    loop {
        interval.tick().await;
        state.pool.sweep();
    }
}

/// Answers whether the instance should get new connections.
async fn serve_ready(state: Arc<GatewayState>, listener: TcpListener) {
    let handler = move |request: Request<Incoming>| {
        let status = answer_ready(&state, &request);
        async move { empty_answer(status) }
    };
    serve_probes(listener, handler).await;
}

/// Serves the metrics as text.
async fn serve_metrics(state: Arc<GatewayState>, listener: TcpListener) {
    let handler = move |request: Request<Incoming>| {
        let answer = match request.uri().path() {
            METRICS_PATH => Response::new(whole_body(state.render_metrics().into())),
            _ => empty_answer(StatusCode::NOT_FOUND),
        };
        async move { answer }
    };
    serve_probes(listener, handler).await;
}

/// Serves a listener that is not for callers until the task is dropped.
async fn serve_probes<H, F>(listener: TcpListener, handler: H)
where
    H: Fn(Request<Incoming>) -> F + Send + Sync + 'static,
    F: Future<Output = Response<AnswerBody>> + Send + 'static,
{
    let options = || ConnectionOptions {
        header_bytes: PROBE_HEAD_BYTES,
        idle_timeout: PROBE_IDLE,
    };
    let connections = ServerConnections::default();
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
