//! Test fixture of a gateway: an in-memory platform and fake upstreams on loopback.

#![allow(dead_code, unused_imports)]

mod platform;
mod upstream;

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use cornelarch_core::{
    base::{
        CustomerName, DomainName, EnvironmentName, HolderId, InstanceName, ServiceName, TokenCount,
    },
    limit::CallerOptions,
    membership::{MemberMessage, MemberRecord, MemberState, PingBody},
    notice::ColdBound,
    placement::UpstreamRecord,
    retry::WindowOptions,
    route::{
        ColdStart, CustomerRecord, RequestLimits, RouteDocument, RouteKind, RouteRule,
        ServiceRecord, SplitTarget,
    },
};
use cornelarch_gateway::{Gateway, GatewayError, GatewaySettings, HeaderNames};
use http::HeaderName;
use reqwest::{Client, RequestBuilder};

pub(crate) use platform::FakePlatform;
pub(crate) use upstream::{EndlessStage, FakeUpstream, Reply, UnframedEnd, bind_with_buffer};

pub(crate) const KEY: &str = "key-1";
/// Maximum number of bytes that an instance may accept of an endless response: half of the 32 MB of
/// a node, including the socket buffers of both sides.
pub(crate) const ENDLESS_MAX: usize = 16 * 1024 * 1024;
/// Attempts to bind a gateway, each with a new set of free addresses.
const BIND_TRIES: usize = 10;
pub(crate) const READY_PATH: &str = "/ready";

/// A running gateway with its fake platform and an HTTP client.
pub(crate) struct Fixture {
    pub(crate) platform: Arc<FakePlatform>,
    pub(crate) gateway: Option<Gateway>,
    pub(crate) listen: SocketAddr,
    pub(crate) ready: SocketAddr,
    pub(crate) metrics: SocketAddr,
    pub(crate) peers: SocketAddr,
    pub(crate) client: Client,
}

/// Options of the routes and the gateway of a test.
pub(crate) struct FixtureOptions {
    pub(crate) attempts: u32,
    pub(crate) timeout: Duration,
    pub(crate) prepaid: Option<u64>,
    pub(crate) is_resumable: bool,
    pub(crate) slack: f64,
    pub(crate) grace: Duration,
    /// Name of the instance.
    pub(crate) instance: &'static str,
    /// Peer addresses of other instances.
    pub(crate) seeds: Vec<SocketAddr>,
    /// Whether the platform knows evacuations.
    pub(crate) has_evacuations: bool,
    /// What the upstreams of the plain service bear after their start.
    pub(crate) cold: Option<ColdStart>,
    pub(crate) callers: CallerOptions,
}

impl Default for FixtureOptions {
    fn default() -> Self {
        Self {
            attempts: 2,
            timeout: Duration::from_secs(3),
            prepaid: None,
            is_resumable: true,
            slack: 100.0,
            grace: Duration::from_secs(8),
            instance: "g1",
            seeds: Vec::new(),
            has_evacuations: false,
            cold: None,
            callers: CallerOptions::default(),
        }
    }
}

pub(crate) fn header_names() -> HeaderNames {
    let name = HeaderName::from_static;
    HeaderNames {
        attempt_id: name("t-attempt"),
        deadline_ms: name("t-deadline-ms"),
        customer_key: name("t-key"),
        customer: name("t-customer"),
        token_count: name("t-tokens"),
        prompt_parts: name("t-parts"),
        engine_priority: name("t-priority"),
        expected_upstream: name("t-expect"),
        upstream_load: name("t-load"),
        not_run: name("t-not-run"),
        response_seal: name("t-seal"),
        leaving: name("t-leaving"),
        rate_limit: name("t-limit"),
        reserved: ["t-customer", "t-expect", "t-priority", "t-pin"]
            .map(name)
            .to_vec(),
    }
}

/// Builds a document with the routes `/once/`, `/again/`, `/stream/` and `/public/`.
pub(crate) fn document(version: u64, options: &FixtureOptions) -> RouteDocument {
    let mut document = RouteDocument::new(version);
    document.limits = Some(RequestLimits {
        body_bytes: 1_000_000,
        ..RequestLimits::default()
    });
    let stream = RouteKind::Streaming {
        is_resumable: options.is_resumable,
    };
    let routes = [
        ("/once/", RouteKind::AtMostOnce, "plain", 1),
        ("/again/", RouteKind::Idempotent, "plain", options.attempts),
        ("/stream/", stream, "engine", options.attempts),
        ("/public/", RouteKind::Idempotent, "plain", options.attempts),
    ];
    for (prefix, kind, service, attempts) in routes {
        document.add_route(RouteRule {
            name: prefix.to_owned(),
            host: "shop.example".to_owned(),
            prefix: prefix.to_owned(),
            kind,
            timeout: options.timeout,
            objective: Duration::from_millis(300),
            attempts,
            priority: 1,
            targets: vec![SplitTarget {
                service: ServiceName::new(service),
                weight: 1,
            }],
            is_public: prefix == "/public/",
            homes: BTreeSet::new(),
        });
    }
    for (name, is_engine) in [("plain", false), ("engine", true)] {
        document.add_service(ServiceRecord {
            name: ServiceName::new(name),
            is_engine,
            memory_tokens: if is_engine { 100_000 } else { 0 },
            event_tokens: 5,
            cold: options.cold.filter(|_| !is_engine),
        });
    }
    let record = CustomerRecord {
        name: CustomerName::new("acme"),
        priority: None,
        prepaid: options.prepaid.map(TokenCount::new),
        homes: BTreeSet::new(),
    };
    document.add_customer(record, [KEY.to_owned()]);
    document
}

/// Returns the service of a path of [`document`].
pub(crate) fn service_of(path: &str) -> &'static str {
    match path.starts_with("/stream/") {
        true => "engine",
        false => "plain",
    }
}

pub(crate) fn record(name: &str, service: &str, address: SocketAddr) -> UpstreamRecord {
    UpstreamRecord {
        name: name.into(),
        service: ServiceName::new(service),
        address,
        domain: DomainName::new("a"),
        slots: 8,
        is_leaving: false,
        started_unix_ms: None,
        cold: None,
    }
}

/// Builds the record of a live member of domain `a`.
pub(crate) fn member(name: &str, address: SocketAddr) -> MemberRecord {
    MemberRecord {
        holder: HolderId::new(InstanceName::new(name), 1),
        domain: DomainName::new("a"),
        address: address.to_string(),
        incarnation: 1,
        state: MemberState::Alive,
    }
}

/// Builds a ping of a member that has a configuration version active.
pub(crate) fn ping(sender: &MemberRecord, config_version: u64) -> MemberMessage {
    MemberMessage::Ping(PingBody {
        nonce: 1,
        sender: sender.clone(),
        config_version,
        load_permille: 0,
        updates: Vec::new(),
    })
}

/// Returns an address that was free at the time of the call.
pub(crate) fn free_address() -> SocketAddr {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("bind");
    listener.local_addr().expect("address")
}

/// Binds a gateway. Another test may take one of the free addresses first; other addresses are
/// tried in that case.
async fn bind_gateway(
    options: &FixtureOptions,
    platform: &Arc<FakePlatform>,
) -> (Gateway, GatewaySettings) {
    for _ in 0..BIND_TRIES {
        let settings = settings(options);
        match Gateway::bind(settings.clone(), header_names(), Arc::clone(platform)).await {
            Ok(gateway) => return (gateway, settings),
            Err(GatewayError::Bind { source, .. })
                if source.kind() == std::io::ErrorKind::AddrInUse => {}
            Err(error) => panic!("gateway does not start: {error}"),
        }
    }
    panic!("no free address after {BIND_TRIES} tries");
}

fn settings(options: &FixtureOptions) -> GatewaySettings {
    GatewaySettings {
        instance: InstanceName::new(options.instance),
        domain: DomainName::new("a"),
        environment: EnvironmentName::new("test"),
        listen: free_address(),
        ready_listen: free_address(),
        ready_path: READY_PATH.to_owned(),
        metrics_listen: Some(free_address()),
        peer_listen: free_address(),
        seeds: options.seeds.clone(),
        grace: options.grace,
        retry_budget: WindowOptions {
            ratio: 0.2,
            slack: options.slack,
            window: Duration::from_secs(10),
        },
        outage_reserve: Duration::from_secs(9),
        ledger_shards: 1,
        domains: 1,
        has_evacuations: options.has_evacuations,
        cold_bound: options.cold.map(|_| ColdBound {
            excess: 1.5,
            slack: 5.0,
        }),
        regions: BTreeMap::new(),
        callers: options.callers,
    }
}

/// Returns a platform with the document of the options and these upstreams.
fn list_upstreams(
    options: &FixtureOptions,
    upstreams: &[(&str, &FakeUpstream)],
) -> Arc<FakePlatform> {
    let platform = Arc::new(FakePlatform::default());
    platform.publish(document(1, options));
    for (index, (service, upstream)) in upstreams.iter().enumerate() {
        platform.list(record(&format!("u{index}"), service, upstream.address));
    }
    platform
}

impl Fixture {
    /// Starts a gateway in front of the upstreams and waits until it is ready.
    pub(crate) async fn start(
        options: &FixtureOptions,
        upstreams: &[(&str, &FakeUpstream)],
    ) -> Self {
        Self::start_with(options, list_upstreams(options, upstreams)).await
    }

    pub(crate) async fn start_with(options: &FixtureOptions, platform: Arc<FakePlatform>) -> Self {
        let fixture = Self::start_unready(options, platform).await;
        fixture.wait_ready().await;
        fixture
    }

    /// As [`Fixture::start_with`], without waiting until the gateway is ready.
    pub(crate) async fn start_unready(
        options: &FixtureOptions,
        platform: Arc<FakePlatform>,
    ) -> Self {
        let (gateway, settings) = bind_gateway(options, &platform).await;
        Self::with_gateway(Some(gateway), &settings, platform)
    }

    fn with_gateway(
        gateway: Option<Gateway>,
        settings: &GatewaySettings,
        platform: Arc<FakePlatform>,
    ) -> Self {
        Self {
            platform,
            gateway,
            listen: settings.listen,
            ready: settings.ready_listen,
            metrics: settings.metrics_listen.expect("is set"),
            peers: settings.peer_listen,
            client: Client::builder().no_proxy().build().expect("client"),
        }
    }

    /// As [`Fixture::start`], with a gateway that has a thread of its own. Returns the number of the
    /// thread as well.
    pub(crate) async fn start_on_thread(
        options: FixtureOptions,
        upstreams: &[(&str, &FakeUpstream)],
    ) -> (Self, String) {
        let platform = list_upstreams(&options, upstreams);
        let (sender, receiver) = tokio::sync::oneshot::channel();
        let served = Arc::clone(&platform);
        std::thread::spawn(move || {
            let link = std::fs::read_link("/proc/thread-self").expect("thread");
            let thread = link.file_name().expect("number").to_string_lossy();
            let runtime = tokio::runtime::Builder::new_current_thread()
                .enable_all()
                .build()
                .expect("runtime");
            runtime.block_on(async {
                let (_gateway, settings) = bind_gateway(&options, &served).await;
                // The test has ended if nobody receives.
                let _ = sender.send((settings, thread.into_owned()));
                std::future::pending::<()>().await;
            });
        });
        let (settings, thread) = receiver.await.expect("gateway");
        let fixture = Self::with_gateway(None, &settings, platform);
        fixture.wait_ready().await;
        (fixture, thread)
    }

    /// Returns the value of a gauge, such as the configuration version in force.
    pub(crate) async fn gauge(&self, name: &str) -> u64 {
        let url = format!("http://{}/metrics", self.metrics);
        let response = self.client.get(url).send().await.expect("metrics");
        let text = response.text().await.expect("text");
        let mut lines = text.lines();
        let line = lines.find(|line| line.contains(name) && !line.starts_with('#'));
        let value = line.and_then(|line| line.rsplit(' ').next());
        value.expect("line").parse().expect("number")
    }

    pub(crate) async fn wait_ready(&self) {
        let url = format!("http://{}{READY_PATH}", self.ready);
        for _ in 0..200 {
            if let Ok(response) = self.client.get(&url).send().await
                && response.status() == 200
            {
                return;
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        panic!("gateway does not become ready");
    }

    /// Builds a request of the customer with an attempt id.
    pub(crate) fn post(&self, path: &str, id: &str) -> RequestBuilder {
        self.client
            .post(format!("http://{}{path}", self.listen))
            .header("host", "shop.example")
            .header("t-key", KEY)
            .header("t-attempt", id)
            .header("t-deadline-ms", "3000")
    }
}
