//! Shared state of a router.

use std::{
    collections::BTreeSet,
    sync::{
        Arc, OnceLock,
        atomic::{AtomicU8, AtomicUsize, Ordering},
    },
    time::Duration,
};

use arc_swap::{ArcSwap, ArcSwapOption};
use cornelarch_callers::CallerAccount;
use cornelarch_core::{
    base::{DomainName, HolderId, MonotonicTime},
    blocklist::content::ContentReport,
    budget::{self, BudgetLedger, LedgerEvent, LedgerOptions},
    config::{self, ConfigEvent, Document},
    membership::MemberEvent,
};
use cornelarch_platform::HttpStore;
use cornelarch_wire::{
    encode_content_report,
    peer::{WireBody, WireCrashReport},
};
use kameo::actor::ActorRef;
use tokio::sync::watch;
use tokio_util::{sync::CancellationToken, task::TaskTracker};

use crate::{
    connection::PeerLinks,
    process::{
        ConfigActor, DispatchReports, FleetView, LedgerActor, MemberActor, MetricName,
        OrderRegistry, RouterClock, RouterMetrics, RouterSettings, SharedLedger,
        UpstreamDispatcher, log_event,
    },
    version::ConfigVersion,
};

/// Time-out of a connection attempt to an upstream.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time after which an idle connection to an upstream is closed. It must be shorter than the idle
/// time-out of the upstreams, because a request on a connection that the upstream is closing would
/// be counted as a loss of the upstream.
const POOL_IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// Lists the phases in the life of a router.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[repr(u8)]
pub(crate) enum RouterPhase {
    /// Requests are served.
    Serving,
    /// A drain has started: readiness fails, but requests are still accepted.
    Draining,
    /// New requests are refused.
    Refusing,
}

/// Holds references to the actors of a router.
#[derive(Clone)]
pub(crate) struct RouterActors {
    pub(crate) ledger: ActorRef<LedgerActor>,
    pub(crate) config: ActorRef<ConfigActor>,
    pub(crate) members: ActorRef<MemberActor>,
}

/// Holds the state that the request path and the actors of a router share.
pub(crate) struct RouterState {
    pub(crate) settings: RouterSettings,
    pub(crate) clock: RouterClock,
    pub(crate) holder: HolderId,
    pub(crate) metrics: RouterMetrics,
    pub(crate) version: ArcSwapOption<ConfigVersion>,
    pub(crate) active_version: watch::Sender<u64>,
    pub(crate) ledger: SharedLedger,
    pub(crate) dispatcher: UpstreamDispatcher,
    pub(crate) orders: OrderRegistry,
    pub(crate) callers: Arc<CallerAccount>,
    pub(crate) fleet: ArcSwap<FleetView>,
    /// Client for calls that may be repeated.
    pub(crate) client: reqwest::Client,
    /// Client for calls that may not be repeated, with a connection for each: answers name no
    /// request, so that an earlier refusal on a kept connection would pass for theirs.
    pub(crate) order_client: reqwest::Client,
    pub(crate) store: HttpStore,
    pub(crate) links: PeerLinks,
    pub(crate) tasks: TaskTracker,
    pub(crate) stop: CancellationToken,
    actors: OnceLock<RouterActors>,
    phase: AtomicU8,
    running: AtomicUsize,
    idle: watch::Sender<()>,
}

impl RouterState {
    /// Creates the state of a router without configuration.
    pub(crate) fn new(
        settings: RouterSettings,
        holder: HolderId,
        metrics: RouterMetrics,
        store: HttpStore,
        client: reqwest::Client,
        order_client: reqwest::Client,
    ) -> Self {
        let (tasks, stop) = (TaskTracker::new(), CancellationToken::new());
        let ledger = BudgetLedger::new(holder.clone(), LedgerOptions::default());
        let callers =
            CallerAccount::new(settings.caller_limits, |cut| log_event!(CallerCut, "{cut}"));
        Self {
            callers: Arc::new(callers),
            orders: OrderRegistry::new(),
            clock: RouterClock::start(),
            metrics,
            version: ArcSwapOption::empty(),
            active_version: watch::Sender::new(0),
            ledger: SharedLedger::new(ledger),
            dispatcher: UpstreamDispatcher::new(settings.domain.clone(), settings.capacity),
            fleet: ArcSwap::default(),
            client,
            order_client,
            store,
            links: PeerLinks::new(&holder, tasks.clone(), stop.clone()),
            tasks,
            stop,
            actors: OnceLock::new(),
            phase: AtomicU8::new(RouterPhase::Serving as u8),
            running: AtomicUsize::new(0),
            idle: watch::Sender::new(()),
            settings,
            holder,
        }
    }

    /// Sets the references to the actors, once at the start.
    pub(crate) fn set_actors(&self, actors: RouterActors) {
        // A second call would have no effect, but there is only one start.
        let _ = self.actors.set(actors);
    }

    /// Returns the actors, if the router has started.
    pub(crate) fn actors(&self) -> Option<&RouterActors> {
        self.actors.get()
    }

    pub(crate) fn phase(&self) -> RouterPhase {
        match self.phase.load(Ordering::Acquire) {
            0 => RouterPhase::Serving,
            1 => RouterPhase::Draining,
            _ => RouterPhase::Refusing,
        }
    }

    /// Enters a phase; has no effect if a later one has been reached.
    pub(crate) fn enter_phase(&self, phase: RouterPhase) {
        self.phase.fetch_max(phase as u8, Ordering::AcqRel);
    }

    /// Activates a configuration version.
    pub(crate) fn activate_version(&self, version: ConfigVersion) {
        let number = version.number;
        self.dispatcher
            .apply(&version.document, version.activated_at);
        if let Some(age) = version.apply_delay {
            self.metrics.time(MetricName::ConfigApply, age);
        }
        self.metrics.set(MetricName::ConfigVersion, number);
        let (budgets, upstreams) = (
            version.document.budgets.len(),
            version.document.upstreams.len(),
        );
        self.version.store(Some(Arc::new(version)));
        self.update_order_share();
        self.active_version.send_replace(number);
        log_event!(
            ConfigApplied,
            "version {number} with {budgets} budgets and {upstreams} upstreams"
        );
    }

    /// Creates the ledger when the first configuration version is activated.
    ///
    /// Until then the ledger holds no tokens and ignores every event. The options of a ledger are
    /// fixed, so later changes take effect at the next start.
    pub(crate) fn open_ledger(&self, document: &Document) {
        let domains = document.upstreams.values().map(|section| &section.domain);
        let domains: BTreeSet<&DomainName> = domains.chain([&self.settings.domain]).collect();
        let weights = &document.weights;
        let options = LedgerOptions {
            environment: self.settings.environment.clone(),
            domain: self.settings.domain.clone(),
            shards: self.settings.ledger_shards,
            domains: u32::try_from(domains.len()).unwrap_or(u32::MAX),
            weight: match weights.weight {
                config::BudgetWeight::FalseRefusals => budget::BudgetWeight::FalseRefusals,
                config::BudgetWeight::HeldMoney => budget::BudgetWeight::HeldMoney,
            },
            horizon: Duration::from_secs(weights.horizon_s),
            outage_reserve: Duration::from_secs(weights.outage_reserve_s),
            hold_cap: weights.hold_cap_percent as f64 / 100.0,
            idle_flush: Duration::from_secs(weights.idle_flush_s),
            read_rate: weights.read_rate as f64,
            end_wait: Duration::from_millis(document.limits.end_wait_ms),
            ..LedgerOptions::default()
        };
        *self.ledger.lock() = BudgetLedger::new(self.holder.clone(), options);
    }

    /// Updates this instance's share of the fleet's order rate from the number of live instances.
    pub(crate) fn update_order_share(&self) {
        if let Some(version) = self.version.load().as_ref() {
            let rate = version.document.limits.order_rate as f64;
            let instances = self.fleet.load().live.len();
            self.orders.set_share(rate, instances, self.now());
        }
    }

    /// Sends a message to a peer process, if its address is known.
    pub(crate) fn send_to(&self, holder: &HolderId, body: WireBody) {
        match self.fleet.load().address(holder) {
            Some(address) => self.links.send(address, Some(holder), body),
            None => log::debug!("address of peer {holder} is not known"),
        }
    }

    /// Sends a message to every live peer of the own domain.
    pub(crate) fn send_to_domain(&self, body: &WireBody) {
        let fleet = self.fleet.load();
        let peers = fleet
            .live
            .iter()
            .filter(|record| record.domain == self.settings.domain && record.holder != self.holder);
        for record in peers {
            if let Ok(address) = record.address.parse() {
                self.links.send(address, Some(&record.holder), body.clone());
            }
        }
    }

    /// Sends crash reports to the peers of the own domain.
    pub(crate) fn broadcast_reports(&self, reports: &DispatchReports) {
        self.broadcast_content(&reports.content);
        for report in &reports.crashes {
            self.send_to_domain(&WireBody::CrashReport(WireCrashReport::new(
                report.fingerprint.to_string(),
                report.upstream.to_string(),
                report.losses,
            )));
        }
    }

    /// Sends a report about parts of prompts to the peers of the own domain.
    pub(crate) fn broadcast_content(&self, report: &ContentReport) {
        if !report.is_empty() {
            self.send_to_domain(&encode_content_report(report));
        }
    }

    /// Sends the ledger an early tick, so that it starts a refill without waiting for the next one.
    pub(crate) fn notify_ledger(&self) {
        if let Some(actors) = self.actors() {
            // If the mailbox is full, the ledger actor is about to run anyway.
            let _ = actors.ledger.tell(LedgerEvent::Tick).try_send();
        }
    }

    /// Sends the periodic ticks of the ledger until the router stops.
    pub(crate) async fn tick_ledger(&self, period: Duration) {
        let mut interval = tokio::time::interval(period);
        while let Some(actors) = self.next_tick(&mut interval).await {
            let _ = actors.ledger.tell(LedgerEvent::Tick).await;
        }
    }

    /// Sends the periodic ticks of the configuration until the router stops.
    pub(crate) async fn tick_config(&self, period: Duration) {
        let mut interval = tokio::time::interval(period);
        while let Some(actors) = self.next_tick(&mut interval).await {
            let _ = actors.config.tell(ConfigEvent::Tick).await;
        }
    }

    /// Sends the periodic ticks of the member table until the router stops.
    pub(crate) async fn tick_members(&self, period: Duration) {
        let mut interval = tokio::time::interval(period);
        let mut last_sent = (0, 0);
        while let Some(actors) = self.next_tick(&mut interval).await {
            let version = self
                .version
                .load()
                .as_ref()
                .map_or(0, |version| version.number);
            let load = u32::try_from(self.running()).unwrap_or(u32::MAX);
            if last_sent != (version, load) {
                last_sent = (version, load);
                let _ = actors
                    .members
                    .tell(MemberEvent::ConfigVersion(version))
                    .await;
                let _ = actors.members.tell(MemberEvent::LoadChanged(load)).await;
            }
            let _ = actors.members.tell(MemberEvent::Tick).await;
        }
    }

    async fn next_tick(&self, interval: &mut tokio::time::Interval) -> Option<&RouterActors> {
        tokio::select! {
            () = self.stop.cancelled() => None,
            _ = interval.tick() => self.actors(),
        }
    }

    /// Returns the number of requests in progress.
    pub(crate) fn running(&self) -> usize {
        self.running.load(Ordering::Acquire)
    }

    /// Counts a request as in progress until the guard is dropped.
    pub(crate) fn start_request(self: &Arc<Self>) -> RunningGuard {
        self.running.fetch_add(1, Ordering::AcqRel);
        RunningGuard {
            state: Arc::clone(self),
        }
    }

    /// Runs a part of a request in its own task, which is cancelled when the router stops.
    pub(crate) fn spawn_request(&self, part: impl Future<Output = ()> + Send + 'static) {
        let stop = self.stop.clone();
        self.tasks.spawn(async move {
            tokio::select! {
                biased;
                () = stop.cancelled() => {}
                () = part => {}
            }
        });
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

    pub(crate) fn now(&self) -> MonotonicTime {
        self.clock.now()
    }
}

/// Counts one request as in progress until it is dropped.
pub(crate) struct RunningGuard {
    state: Arc<RouterState>,
}

impl Drop for RunningGuard {
    fn drop(&mut self) {
        if self.state.running.fetch_sub(1, Ordering::AcqRel) == 1 {
            self.state.idle.send_replace(());
        }
    }
}

impl std::fmt::Debug for RouterState {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter
            .debug_struct("RouterState")
            .field("holder", &self.holder)
            .finish_non_exhaustive()
    }
}

/// Builds an HTTP client for upstreams that keeps up to `idle` connections to each.
pub(crate) fn build_client(idle: usize) -> reqwest::Result<reqwest::Client> {
    reqwest::Client::builder()
        .connect_timeout(CONNECT_TIMEOUT)
        .pool_idle_timeout(POOL_IDLE_TIMEOUT)
        .pool_max_idle_per_host(idle)
        .redirect(reqwest::redirect::Policy::none())
        .tcp_nodelay(true)
        .no_proxy()
        .build()
}
