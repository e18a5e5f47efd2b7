//! State that all parts of one gateway share.

use std::{
    collections::HashMap,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU8, AtomicU64, AtomicUsize, Ordering},
    },
    time::Duration,
};

use arc_swap::ArcSwapOption;
use cornelarch_core::{
    base::{BudgetName, MonotonicTime, ServiceName},
    budget::{LedgerEvent, PaidAmount},
    placement::{PlacementOptions, PlacementTable},
    retry::WindowBudget,
    route::RouteDocument,
};
use parking_lot::Mutex;
use tokio::{
    sync::{mpsc, watch},
    time::Instant,
};

use crate::{
    connection::UpstreamPool,
    edge::HeaderNames,
    process::{GatewayMetrics, GatewaySettings, LedgerCell, PeerOrder, PlatformOutage, log_event},
};

/// Time without confirmation after which a configuration may be outdated. A host or key that it
/// does not know may then exist.
const CONFIRM_MAX: Duration = Duration::from_secs(6);
/// Instances that share the slack of the retry budget before the ledger shows how many there are.
const INSTANCES_PRIOR: usize = 8;

/// Lists the phases in the life of a gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[repr(u8)]
pub(crate) enum GatewayPhase {
    /// Requests are served.
    Serving,
    /// A stop was requested; requests are still served, but readiness fails.
    Leaving,
}

/// Holds everything that requests and tasks of one gateway share.
pub(crate) struct GatewayState {
    pub(crate) settings: GatewaySettings,
    pub(crate) headers: HeaderNames,
    pub(crate) document: ArcSwapOption<RouteDocument>,
    pub(crate) placement: Mutex<PlacementTable>,
    pub(crate) ledger: LedgerCell,
    pub(crate) pool: UpstreamPool,
    pub(crate) metrics: GatewayMetrics,
    pub(crate) instances: AtomicUsize,
    /// Changes whenever the platform confirms the configuration.
    pub(crate) confirmed: watch::Sender<()>,
    pub(crate) outage: Mutex<PlatformOutage>,
    /// The newest configuration version that a peer told, if it is newer than the own one.
    pub(crate) told_version: watch::Sender<u64>,
    reads_latest: AtomicBool,
    ledger_events: mpsc::UnboundedSender<LedgerEvent>,
    peer_orders: mpsc::UnboundedSender<PeerOrder>,
    repeats: Mutex<HashMap<ServiceName, WindowBudget>>,
    has_directory: AtomicBool,
    confirmed_us: AtomicU64,
    phase: AtomicU8,
    running: AtomicUsize,
    idle: watch::Sender<()>,
    started: Instant,
}

impl GatewayState {
    /// Creates the state of a gateway without configuration.
    pub(crate) fn new(
        settings: GatewaySettings,
        headers: HeaderNames,
        ledger: LedgerCell,
        ledger_events: mpsc::UnboundedSender<LedgerEvent>,
        peer_orders: mpsc::UnboundedSender<PeerOrder>,
    ) -> Self {
        let options = PlacementOptions::new(settings.domain.clone());
        Self {
            headers,
            document: ArcSwapOption::empty(),
            placement: Mutex::new(PlacementTable::new(options)),
            ledger,
            pool: UpstreamPool::default(),
            metrics: GatewayMetrics::new(),
            instances: AtomicUsize::new(INSTANCES_PRIOR),
            confirmed: watch::Sender::new(()),
            outage: Mutex::default(),
            told_version: watch::Sender::new(0),
            reads_latest: AtomicBool::new(false),
            ledger_events,
            peer_orders,
            repeats: Mutex::default(),
            has_directory: AtomicBool::new(false),
            confirmed_us: AtomicU64::new(0),
            phase: AtomicU8::new(GatewayPhase::Serving as u8),
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

    pub(crate) fn phase(&self) -> GatewayPhase {
        match self.phase.load(Ordering::Acquire) {
            0 => GatewayPhase::Serving,
            _ => GatewayPhase::Leaving,
        }
    }

    pub(crate) fn enter_phase(&self, phase: GatewayPhase) {
        self.phase.fetch_max(phase as u8, Ordering::AcqRel);
    }

    /// Brings a configuration in force, unless it or a newer one is. Returns whether it did.
    pub(crate) fn put_in_force(&self, document: RouteDocument) -> bool {
        let current = self.document.load();
        if current
            .as_ref()
            .is_some_and(|current| current.version >= document.version)
        {
            return false;
        }
        self.register_budgets(&document);
        log_event!(
            DocumentApplied,
            "version={} routes={} customers={}",
            document.version,
            document.route_count(),
            document.customers().count()
        );
        self.document.store(Some(Arc::new(document)));
        true
    }

    fn register_budgets(&self, document: &RouteDocument) {
        let mut ledger = self.ledger.lock();
        for customer in document.customers() {
            if let Some(amount) = customer.prepaid {
                log::debug!("paid amount of {} is {amount}", customer.name);
                let key = ledger.register(BudgetName::new(&customer.name));
                let version = document.version;
                ledger.set_paid(key, PaidAmount { amount, version });
            }
        }
    }

    /// Records that the platform confirmed the configuration just now.
    pub(crate) fn confirm_document(&self) {
        self.confirmed_us
            .store(self.now().as_micros(), Ordering::Release);
        self.confirmed.send_replace(());
    }

    /// Returns whether the configuration was confirmed lately.
    pub(crate) fn is_confirmed(&self) -> bool {
        let confirmed = MonotonicTime::from_micros(self.confirmed_us.load(Ordering::Acquire));
        self.now().since(confirmed) < CONFIRM_MAX
    }

    /// Returns the version in force, 0 without one.
    pub(crate) fn version(&self) -> u64 {
        let document = self.document.load();
        document.as_ref().map_or(0, |document| document.version)
    }

    /// Returns whether this instance is one of those of its domain that read the latest state of the
    /// platform.
    pub(crate) fn reads_latest(&self) -> bool {
        self.reads_latest.load(Ordering::Acquire)
    }

    pub(crate) fn set_reads_latest(&self, reads_latest: bool) {
        self.reads_latest.store(reads_latest, Ordering::Release);
    }

    /// Records that a peer has a version in force.
    pub(crate) fn hear_version(&self, version: u64) {
        if version > self.version() {
            self.told_version.send_if_modified(|told| {
                let is_newer = version > *told;
                *told = version.max(*told);
                is_newer
            });
        }
    }

    /// Records that the upstreams are known.
    pub(crate) fn confirm_directory(&self) {
        self.has_directory.store(true, Ordering::Release);
    }

    /// Returns whether the instance should get new connections.
    pub(crate) fn is_ready(&self) -> bool {
        self.phase() == GatewayPhase::Serving
            && self.has_directory.load(Ordering::Acquire)
            && self.document.load().is_some()
    }

    /// Counts a request in the retry budget of its service.
    pub(crate) fn record_request(&self, service: &ServiceName) {
        let now = self.now();
        self.with_repeats(service, |budget| budget.record_request(now));
    }

    /// Takes a repeat from the retry budget of a service and returns whether it is allowed.
    pub(crate) fn try_repeat(&self, service: &ServiceName) -> bool {
        let now = self.now();
        let instances = self.instances.load(Ordering::Relaxed);
        self.with_repeats(service, |budget| budget.try_retry(instances, now))
    }

    fn with_repeats<T>(
        &self,
        service: &ServiceName,
        act: impl FnOnce(&mut WindowBudget) -> T,
    ) -> T {
        let mut repeats = self.repeats.lock();
        let budget = repeats
            .entry(service.clone())
            .or_insert_with(|| WindowBudget::new(self.settings.repeats));
        act(budget)
    }

    /// Sends an event to the ledger task.
    pub(crate) fn tell_ledger(&self, event: LedgerEvent) {
        // The task ends only with the process.
        let _ = self.ledger_events.send(event);
    }

    /// Sends an order to the peer task.
    pub(crate) fn tell_peers(&self, order: PeerOrder) {
        // The task ends only with the process.
        let _ = self.peer_orders.send(order);
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

    /// Returns the metrics as text.
    pub(crate) fn render_metrics(&self) -> String {
        let version = self.version();
        let upstreams = self.placement.lock().listed_count();
        self.metrics.render(self.running(), version, upstreams)
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

/// Counts one request as in progress.
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
