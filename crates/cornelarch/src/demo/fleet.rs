//! Running components of the demo: stand-ins, and routers that can be drained and killed.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

use cornelarch_core::{
    base::{DomainName, InstanceName, UpstreamName},
    budget::LedgerSnapshot,
    config::{Document, UpstreamKind},
};
use cornelarch_platform::{ClientOptions, HttpStore};
use cornelarch_router::{Router, RouterSettings, RouterView, SecretText};
use cornelarch_standin::{
    engine::{self, EngineHandle, EngineOptions},
    platform::{self, PlatformHandle, PlatformOptions},
    service::{self, ServiceHandle, ServiceOptions},
};
use futures_util::future;
use snafu::{OptionExt, ResultExt, Whatever, ensure_whatever, whatever};
use tokio::runtime::{self, Runtime};

use crate::demo::{
    document::{adapt_document, list_domains, load_document},
    seed::{LEDGER_SHARDS, apply},
};

/// Number of routers in each failure domain.
const ROUTERS_PER_DOMAIN: usize = 2;

/// Decode rate of an engine stand-in per unit of concurrency, in tokens per second.
const ENGINE_TOKENS_PER_S: u32 = 150;

/// Timeout for the first configuration version to be active at every router.
const START_TIMEOUT: Duration = Duration::from_secs(10);

/// Time for which a stopping router still accepts new requests.
const DRAIN_GRACE: Duration = Duration::from_millis(300);

/// Timeout for the threads of a killed router to end, and for reading the state of a stopped one.
const KILL_TIMEOUT: Duration = Duration::from_secs(2);

/// Key for the operator endpoints of the routers.
pub(crate) const OPERATOR_KEY: &str = "demo-operator-key";

/// Lifecycle state of a router.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum NodeState {
    Live,
    Drained,
    Killed,
}

/// A router with its own runtime, so that a kill ends all of its tasks.
pub(crate) struct RouterNode {
    pub(crate) name: InstanceName,
    pub(crate) domain: DomainName,
    pub(crate) caller_address: SocketAddr,
    pub(crate) operator_address: SocketAddr,
    pub(crate) state: NodeState,
    /// The ledger of the router when it stopped.
    pub(crate) final_ledger: Option<LedgerSnapshot>,
    view: RouterView,
    running: Option<(Runtime, Router)>,
}

/// The platform, the upstreams and the routers of the demo.
pub(crate) struct DemoFleet {
    pub(crate) document: Document,
    pub(crate) platform: PlatformHandle,
    pub(crate) store: HttpStore,
    pub(crate) engines: BTreeMap<UpstreamName, EngineHandle>,
    pub(crate) services: BTreeMap<UpstreamName, ServiceHandle>,
    pub(crate) nodes: Vec<RouterNode>,
    pub(crate) started: Instant,
}

impl DemoFleet {
    /// Starts a stand-in for the platform and for every upstream of the document, publishes the
    /// document and starts the routers.
    ///
    /// # Errors
    ///
    /// Returns an error if the document is invalid or a component cannot be started.
    pub(crate) async fn start(file: Option<&str>) -> Result<Self, Whatever> {
        let started = Instant::now();
        let document = load_document(file)?;
        let platform = platform::bind(PlatformOptions::default()).await;
        let platform = platform.whatever_context("platform stand-in cannot be started")?;
        let (engines, services) = start_upstreams(&document).await?;
        let engine_addresses = engines
            .iter()
            .map(|(name, it)| (name.clone(), it.address()));
        let service_addresses = services
            .iter()
            .map(|(name, it)| (name.clone(), it.address()));
        let addresses = engine_addresses.chain(service_addresses).collect();
        let document = adapt_document(&document, &addresses);
        let store = HttpStore::new(&ClientOptions {
            address: platform.url(),
            ..ClientOptions::default()
        });
        let store = store.whatever_context("platform client cannot be set up")?;
        let mut fleet = Self {
            document,
            platform,
            store,
            engines,
            services,
            nodes: Vec::new(),
            started,
        };
        apply(&fleet.store, &fleet.document).await?;
        fleet.start_nodes().await?;
        Ok(fleet)
    }

    async fn start_nodes(&mut self) -> Result<(), Whatever> {
        let mut seeds = Vec::new();
        for domain in list_domains(&self.document) {
            for number in 1..=ROUTERS_PER_DOMAIN {
                let name = format!("router-{domain}{number}");
                let node = self.start_node(&name, &domain, &mut seeds).await?;
                self.nodes.push(node);
            }
        }
        ensure_whatever!(
            self.wait_version(1, START_TIMEOUT).await,
            "a router has no configuration after {START_TIMEOUT:?}"
        );
        Ok(())
    }

    async fn start_node(
        &self,
        name: &str,
        domain: &DomainName,
        seeds: &mut Vec<SocketAddr>,
    ) -> Result<RouterNode, Whatever> {
        let settings = RouterSettings {
            instance: name.into(),
            domain: domain.clone(),
            environment: self.document.environment().clone(),
            platform: self.platform.url(),
            seeds: seeds.clone(),
            operator_key: SecretText::new(OPERATOR_KEY),
            drain_grace: DRAIN_GRACE,
            drain: Duration::from_secs(30),
            request_timeout: Duration::from_secs(30),
            load_poll: Duration::from_millis(200),
            ledger_shards: LEDGER_SHARDS,
            ..RouterSettings::default()
        };
        let runtime = runtime::Builder::new_multi_thread()
            .worker_threads(1)
            .thread_name(name)
            .enable_all()
            .build()
            .whatever_context("runtime of a router cannot be started")?;
        let router = runtime.spawn(Router::bind(settings)).await;
        let router = router.whatever_context("start-up task of a router failed")?;
        let router = router.whatever_context("router cannot be started")?;
        let addresses = router.addresses();
        seeds.push(addresses.peers);
        Ok(RouterNode {
            name: name.into(),
            domain: domain.clone(),
            caller_address: addresses.callers,
            operator_address: addresses.operator,
            state: NodeState::Live,
            final_ledger: None,
            view: router.view(),
            running: Some((runtime, router)),
        })
    }

    /// Waits until a version is active at every live router; returns `false` on a timeout.
    pub(crate) async fn wait_version(&self, version: u64, limit: Duration) -> bool {
        let routers = self.nodes.iter().filter_map(|node| node.running.as_ref());
        let waits = routers.map(|(_, router)| router.wait_version(version, limit));
        future::join_all(waits).await.into_iter().all(|done| done)
    }

    /// Returns the indices of the live routers.
    pub(crate) fn live_routers(&self) -> Vec<usize> {
        let nodes = self.nodes.iter().enumerate();
        let live = nodes.filter(|(_, node)| node.state == NodeState::Live);
        live.map(|(index, _)| index).collect()
    }

    /// Drains and stops the remaining routers concurrently.
    ///
    /// # Errors
    ///
    /// Returns an error if a router fails during its shutdown.
    pub(crate) async fn close_nodes(&mut self) -> Result<(), Whatever> {
        let closes = self.nodes.iter_mut().map(RouterNode::close);
        future::try_join_all(closes).await.map(|_| ())
    }

    /// Stops the stand-ins.
    pub(crate) async fn close(self) {
        for engine in self.engines.into_values() {
            engine.close().await;
        }
        for service in self.services.into_values() {
            service.close().await;
        }
        self.platform.close().await;
    }
}

impl RouterNode {
    /// Returns the number of requests in progress.
    pub(crate) fn running(&self) -> usize {
        self.view.running()
    }

    /// Drains and stops the router, as in a planned shutdown.
    ///
    /// # Errors
    ///
    /// Returns an error if the router fails during its shutdown or its state cannot be read
    /// afterwards.
    pub(crate) async fn close(&mut self) -> Result<(), Whatever> {
        let Some((runtime, router)) = self.running.take() else {
            return Ok(());
        };
        let closed = runtime.spawn(router.close()).await;
        closed.whatever_context("shutdown task of a router failed")?;
        self.state = NodeState::Drained;
        runtime.shutdown_background();
        self.record_ledger().await
    }

    /// Shuts the router's runtime down without draining, as in a crash.
    ///
    /// # Errors
    ///
    /// Returns an error if the state of the router cannot be read afterwards.
    pub(crate) async fn kill(&mut self) -> Result<(), Whatever> {
        let Some((runtime, router)) = self.running.take() else {
            return Ok(());
        };
        self.state = NodeState::Killed;
        let stop = tokio::task::spawn_blocking(move || runtime.shutdown_timeout(KILL_TIMEOUT));
        stop.await
            .whatever_context("runtime of a router cannot be shut down")?;
        drop(router);
        self.record_ledger().await
    }

    async fn record_ledger(&mut self) -> Result<(), Whatever> {
        let dump = tokio::time::timeout(KILL_TIMEOUT, self.view.dump()).await;
        let mut dump =
            dump.whatever_context("state of a stopped router could not be read in time")?;
        let ledger = serde_json::from_value(dump["ledger"].take());
        self.final_ledger = Some(ledger.whatever_context("ledger dump is not valid")?);
        Ok(())
    }
}

type UpstreamHandles = (
    BTreeMap<UpstreamName, EngineHandle>,
    BTreeMap<UpstreamName, ServiceHandle>,
);

/// Starts a stand-in for each upstream of the document.
async fn start_upstreams(document: &Document) -> Result<UpstreamHandles, Whatever> {
    let mut engines = BTreeMap::new();
    let mut services = BTreeMap::new();
    for (name, section) in document.upstreams.iter() {
        match section.kind {
            UpstreamKind::Engine => {
                let batch = u32::try_from(section.concurrency).ok();
                let batch = batch.whatever_context("concurrency is too large for the demo")?;
                let options = EngineOptions {
                    decode_tokens_per_s: batch.saturating_mul(ENGINE_TOKENS_PER_S),
                    batch_limit: batch as usize,
                    ..EngineOptions::default()
                };
                match engine::bind(options).await {
                    Ok(engine) => engines.insert(name.clone(), engine),
                    Err(error) => whatever!("engine {name} cannot be started: {error}"),
                };
            }
            UpstreamKind::Service => {
                let options = ServiceOptions {
                    fencing: section.fencing,
                    ..ServiceOptions::default()
                };
                match service::bind(options).await {
                    Ok(service) => services.insert(name.clone(), service),
                    Err(error) => whatever!("service {name} cannot be started: {error}"),
                };
            }
        }
    }
    Ok((engines, services))
}
