//! State shared by the requests and background tasks of a gateway.

use std::{
    collections::HashMap,
    sync::{
        Arc, OnceLock,
        atomic::{AtomicBool, AtomicU32, AtomicU64, AtomicUsize, Ordering},
    },
    time::Duration,
};

use cornelarch_core::{
    base::{BudgetName, MonotonicTime, ServiceName},
    budget::{LedgerEvent, PaidAmount},
    placement::{
        LimitReport, PlacementKey, PlacementOptions, PlacementTable, UpstreamDeparture,
        UpstreamFailure,
    },
    retry::WindowBudget,
    route::{ActiveDocument, RouteDocument, replica::DocumentIndex},
};
use parking_lot::Mutex;
use rand::Rng;
use tokio::{
    sync::{mpsc, watch},
    time::Instant,
};

use crate::{
    connection::UpstreamPool,
    edge::HeaderNames,
    process::{
        CrashMonitor, GatewayMetrics, GatewaySettings, MetricGauges, PeerCommand, PlatformOutage,
        SharedLedger, VersionMonitor, log_event,
    },
    request::BufferPool,
};

/// Time without confirmation after which a configuration counts as possibly outdated, so that an
/// unknown host or key may be valid. Also the time for which a newer version that a peer has
/// announced makes it so: one that does not come must not keep wrong requests from being refused.
const CONFIRMATION_MAX_AGE: Duration = Duration::from_secs(6);
/// Place of an instance that does not store the blocked content.
const NO_WRITER: u32 = u32::MAX;
/// Assumed number of instances that share the slack of the retry budget and the limits of upstreams,
/// until the membership shows more.
const INSTANCES_INITIAL: usize = 8;

/// Times of a shutdown that decide which requests are still taken.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DrainTimes {
    /// Time from which the load balancer sends no new callers.
    pub(crate) late_from: Instant,
    /// Time at which running requests are cut.
    pub(crate) end: Instant,
}

/// Shared state of one gateway.
pub(crate) struct GatewayState {
    pub(crate) settings: GatewaySettings,
    pub(crate) headers: HeaderNames,
    pub(crate) document: ActiveDocument,
    /// Index of the active configuration, once a peer or this instance needed it.
    document_index: Mutex<Arc<DocumentIndex>>,
    pub(crate) placement: Mutex<PlacementTable>,
    pub(crate) ledger: SharedLedger,
    pub(crate) pool: UpstreamPool,
    pub(crate) buffers: BufferPool,
    pub(crate) metrics: GatewayMetrics,
    pub(crate) crashes: CrashMonitor,
    pub(crate) instances: AtomicUsize,
    /// Notifies whenever the platform confirms the configuration.
    pub(crate) confirmed: watch::Sender<()>,
    pub(crate) outage: Mutex<PlatformOutage>,
    /// Newest configuration version reported by a peer, if it is newer than the active one.
    pub(crate) peer_version: watch::Sender<u64>,
    pub(crate) versions: VersionMonitor,
    reads_latest: AtomicBool,
    writer_place: AtomicU32,
    ledger_events: mpsc::UnboundedSender<LedgerEvent>,
    peer_commands: mpsc::UnboundedSender<PeerCommand>,
    retry_budgets: Mutex<HashMap<ServiceName, WindowBudget>>,
    has_directory: AtomicBool,
    has_blocklist: AtomicBool,
    confirmed_us: AtomicU64,
    /// Set once a shutdown has begun: readiness fails, but requests are still served.
    drain: OnceLock<DrainTimes>,
    running: AtomicUsize,
    idle: watch::Sender<()>,
    started: Instant,
}

impl GatewayState {
    /// Creates the state of a gateway that has no configuration yet.
    pub(crate) fn new(
        settings: GatewaySettings,
        headers: HeaderNames,
        ledger: SharedLedger,
        ledger_events: mpsc::UnboundedSender<LedgerEvent>,
        peer_commands: mpsc::UnboundedSender<PeerCommand>,
    ) -> Self {
        let options = PlacementOptions {
            seed: rand::rng().random(),
            ..PlacementOptions::new(settings.domain.clone())
        };
        let mut placement = PlacementTable::new(options);
        placement.set_instances(INSTANCES_INITIAL);
        Self {
            headers,
            document: ActiveDocument::default(),
            document_index: Mutex::new(Arc::new(DocumentIndex::empty())),
            placement: Mutex::new(placement),
            ledger,
            pool: UpstreamPool::default(),
            buffers: BufferPool::default(),
            metrics: GatewayMetrics::new(),
            crashes: CrashMonitor::new(),
            instances: AtomicUsize::new(INSTANCES_INITIAL),
            confirmed: watch::Sender::new(()),
            outage: Mutex::default(),
            peer_version: watch::Sender::new(0),
            versions: VersionMonitor::default(),
            reads_latest: AtomicBool::new(false),
            writer_place: AtomicU32::new(0),
            ledger_events,
            peer_commands,
            retry_budgets: Mutex::default(),
            has_directory: AtomicBool::new(false),
            has_blocklist: AtomicBool::new(false),
            confirmed_us: AtomicU64::new(0),
            drain: OnceLock::new(),
            running: AtomicUsize::new(0),
            idle: watch::Sender::new(()),
            started: Instant::now(),
            settings,
        }
    }

    /// Returns the time since the start of the process.
    pub(crate) fn now(&self) -> MonotonicTime {
        let micros = u64::try_from(self.started.elapsed().as_micros()).unwrap_or(u64::MAX);
        MonotonicTime::from_micros(micros)
    }

    /// Returns whether a shutdown has begun.
    pub(crate) fn is_draining(&self) -> bool {
        self.drain.get().is_some()
    }

    /// Begins a shutdown.
    pub(crate) fn start_drain(&self, times: DrainTimes) {
        // A second shutdown has no effect.
        let _ = self.drain.set(times);
    }

    /// Returns whether a request may be taken that ends at `deadline` at the latest. Late in a
    /// shutdown, one that may run longer would be cut.
    pub(crate) fn admits(&self, deadline: Instant) -> bool {
        let drain = self.drain.get();
        drain.is_none_or(|drain| Instant::now() < drain.late_from || deadline <= drain.end)
    }

    /// Activates a configuration unless the active one is as new. Returns whether it was activated.
    pub(crate) fn activate_document(&self, document: RouteDocument, source: &str) -> bool {
        self.document.activate(document, |document| {
            self.register_budgets(document);
            let lag = self.versions.record_active(document.version);
            log_event!(
                DocumentApplied,
                "version={} routes={} customers={} source={source} behind_ms={} asked={} parts={}",
                document.version,
                document.route_count(),
                document.customers().count(),
                lag.behind.as_millis(),
                lag.exchange.asked,
                lag.exchange.parts
            );
        })
    }

    /// Returns the index of the active configuration for an exchange with peers.
    pub(crate) fn document_index(&self) -> Arc<DocumentIndex> {
        let mut index = self.document_index.lock();
        if let Some(document) = self.document.load()
            && document.version != index.version()
        {
            *index = Arc::new(DocumentIndex::new(&document));
        }
        Arc::clone(&index)
    }

    fn register_budgets(&self, document: &RouteDocument) {
        let mut ledger = self.ledger.lock();
        for customer in document.customers() {
            if let Some(amount) = customer.prepaid {
                log::debug!("prepaid amount of customer {} is {amount}", customer.name);
                let key = ledger.register(BudgetName::new(&customer.name));
                let version = document.version;
                ledger.set_paid(key, PaidAmount { amount, version });
            }
        }
    }

    /// Records that the platform has just confirmed the configuration.
    pub(crate) fn confirm_document(&self) {
        self.confirmed_us
            .store(self.now().as_micros(), Ordering::Release);
        self.confirmed.send_replace(());
    }

    /// Returns whether the platform confirmed the configuration recently, and no peer has just
    /// announced a newer one.
    pub(crate) fn is_confirmed(&self) -> bool {
        let behind = self.versions.behind();
        self.confirmed_age() < CONFIRMATION_MAX_AGE
            && behind.is_none_or(|behind| behind >= CONFIRMATION_MAX_AGE)
    }

    fn confirmed_age(&self) -> Duration {
        let confirmed = MonotonicTime::from_micros(self.confirmed_us.load(Ordering::Acquire));
        self.now().since(confirmed)
    }

    /// Returns the active configuration version, or 0 if there is none.
    pub(crate) fn version(&self) -> u64 {
        self.document.version()
    }

    /// Returns whether this instance is among those of its domain that read the latest state of the
    /// platform.
    pub(crate) fn reads_latest(&self) -> bool {
        self.reads_latest.load(Ordering::Acquire)
    }

    pub(crate) fn set_reads_latest(&self, reads_latest: bool) {
        self.reads_latest.store(reads_latest, Ordering::Release);
    }

    /// Returns the place of this instance in the order of those that store the blocked content, or
    /// `None` if it is not among them.
    pub(crate) fn writer_place(&self) -> Option<u32> {
        let place = self.writer_place.load(Ordering::Acquire);
        (place != NO_WRITER).then_some(place)
    }

    pub(crate) fn set_writer_place(&self, place: Option<u32>) {
        let place = place.unwrap_or(NO_WRITER);
        self.writer_place.store(place, Ordering::Release);
    }

    /// Records the active configuration version of a peer.
    pub(crate) fn record_peer_version(&self, version: u64) {
        self.versions.record_peer(version);
        if version > self.version() {
            self.peer_version.send_if_modified(|newest| {
                let is_newer = version > *newest;
                *newest = version.max(*newest);
                is_newer
            });
        }
    }

    /// Logs that a newer configuration is in force at a peer, once per lag.
    pub(crate) fn report_lag(&self) {
        let Some(lag) = self.versions.take_report() else {
            return;
        };
        log_event!(
            DocumentBehind,
            "version={} peer_version={} behind_ms={} confirmed_ms={} asked={} parts={}",
            self.version(),
            lag.newest,
            lag.behind.as_millis(),
            self.confirmed_age().as_millis(),
            lag.exchange.asked,
            lag.exchange.parts
        );
    }

    /// Records that a revision of the directory was read and applied.
    pub(crate) fn confirm_directory(&self, revision: u64) {
        self.placement.lock().confirm_directory(revision);
        self.has_directory.store(true, Ordering::Release);
    }

    /// Records that the stored copy of the blocked content was read, or cannot be read now.
    pub(crate) fn confirm_blocklist(&self) {
        self.has_blocklist.store(true, Ordering::Release);
    }

    /// Returns whether the instance should get new connections.
    pub(crate) fn is_ready(&self) -> bool {
        !self.is_draining()
            && self.has_directory.load(Ordering::Acquire)
            && self.has_blocklist.load(Ordering::Acquire)
            && self.document.load().is_some()
            && !self.is_strained()
    }

    /// Returns whether this instance itself does not reach upstreams, so that callers should use others.
    pub(crate) fn is_strained(&self) -> bool {
        self.placement.lock().is_strained(self.now())
    }

    /// Records whether a connection to an upstream was opened.
    pub(crate) fn record_connection(&self, upstream: PlacementKey, has_failed: bool) {
        let now = self.now();
        let mut placement = self.placement.lock();
        if placement.record_connection(upstream, has_failed, now) {
            drop(placement);
            log_event!(InstanceStrained, "running={}", self.running());
        }
    }

    /// Records the number of live instances. What they share is divided by the largest number seen, as
    /// those that are not seen any more may only be cut off.
    pub(crate) fn record_instances(&self, live: usize) {
        let known = self.instances.fetch_max(live, Ordering::Relaxed);
        self.placement.lock().set_instances(known.max(live));
    }

    /// Merges a report of a peer about the limit of an upstream.
    pub(crate) fn merge_limit(&self, report: &LimitReport) {
        if self.placement.lock().merge_limit(report, self.now()) {
            let limit = report.rate.map(|rate| rate.to_string());
            log_event!(
                NoticeReceived,
                "upstream={} leaving=false pause_ms=- limit={} source=peer",
                report.upstream,
                limit.as_deref().unwrap_or("-")
            );
        }
    }

    /// Returns the failures of upstreams since the last call.
    pub(crate) fn take_failures(&self) -> Vec<UpstreamFailure> {
        self.placement.lock().take_failures(self.now())
    }

    /// Merges a report of a peer of the domain about failures of upstreams.
    pub(crate) fn merge_failures(&self, failures: &[UpstreamFailure]) {
        let merged = self.placement.lock().merge_failures(failures, self.now());
        self.metrics.count_peer_failures(merged);
    }

    /// Merges a report of a peer about upstreams that have left.
    pub(crate) fn merge_departures(&self, departures: &[UpstreamDeparture]) {
        for departure in departures {
            if !self.placement.lock().record_departure(departure) {
                continue;
            }
            let (name, revision) = (&departure.upstream, departure.revision);
            self.pool.close_idle(name);
            log_event!(
                UpstreamChanged,
                "upstream={name} departed revision={revision} read=peer"
            );
        }
    }

    /// Counts a request in the retry budget of its service.
    pub(crate) fn record_request(&self, service: &ServiceName) {
        let now = self.now();
        self.with_retry_budget(service, |budget| budget.record_request(now));
    }

    /// Takes a retry from the retry budget of a service and returns whether it is allowed.
    pub(crate) fn try_retry(&self, service: &ServiceName) -> bool {
        let now = self.now();
        let instances = self.instances.load(Ordering::Relaxed);
        self.with_retry_budget(service, |budget| budget.try_retry(instances, now))
    }

    fn with_retry_budget<T>(
        &self,
        service: &ServiceName,
        act: impl FnOnce(&mut WindowBudget) -> T,
    ) -> T {
        let mut retry_budgets = self.retry_budgets.lock();
        let budget = retry_budgets
            .entry(service.clone())
            .or_insert_with(|| WindowBudget::new(self.settings.retry_budget));
        act(budget)
    }

    /// Sends an event to the ledger task.
    pub(crate) fn notify_ledger(&self, event: LedgerEvent) {
        // The task ends only with the process.
        let _ = self.ledger_events.send(event);
    }

    /// Sends a command to the peer task.
    pub(crate) fn send_peer_command(&self, command: PeerCommand) {
        // The task ends only with the process.
        let _ = self.peer_commands.send(command);
    }

    /// Counts a request as in progress until the guard is dropped.
    pub(crate) fn start_request(self: &Arc<Self>) -> RunningGuard {
        self.running.fetch_add(1, Ordering::AcqRel);
        RunningGuard {
            state: Arc::clone(self),
        }
    }

    pub(crate) fn running(&self) -> usize {
        self.running.load(Ordering::Acquire)
    }

    /// Returns the metrics in the Prometheus text format.
    pub(crate) fn render_metrics(&self) -> String {
        let version = self.version();
        let upstreams = self.placement.lock().listed_count();
        let blocked = self.crashes.blocked_count();
        let gauges = MetricGauges {
            running: self.running(),
            version,
            newest_version: self.versions.newest(),
            upstreams,
            blocked,
            is_strained: self.is_strained(),
        };
        self.metrics.render(gauges)
    }

    /// Waits until no request is in progress.
    pub(crate) async fn wait_idle(&self) {
        let mut idle = self.idle.subscribe();
        while self.running() > 0 {
            if idle.changed().await.is_err() {
                return;
            }
        }
    }
}

/// Counts a request as in progress until it is dropped.
pub(crate) struct RunningGuard {
    state: Arc<GatewayState>,
}

impl Drop for RunningGuard {
    fn drop(&mut self) {
        if self.state.running.fetch_sub(1, Ordering::AcqRel) == 1 {
            self.state.idle.send_replace(());
        }
    }
}
