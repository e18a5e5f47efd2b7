//! Phases of the demo: load, refusals, configuration change, drain, outage and crash.

use std::time::{Duration, Instant};

use cornelarch_core::{
    base::{CustomerName, UpstreamName},
    config::{CustomerSection, Document, UpstreamKind, UpstreamState},
};
use cornelarch_standin::platform::PlatformFaults;
use futures_util::{StreamExt, future, stream};
use reqwest::Method;
use serde_json::{Value, json};
use snafu::{ResultExt, Whatever};
use tokio::task::JoinHandle;

use crate::demo::{
    call::{CallKind, CallRecord, CallResult, CallSpec},
    client::{DemoClient, read_refusal},
    document::{change_upstream, demo_key},
    fleet::DemoFleet,
    seed::apply,
};

/// Maximum number of concurrent calls of a load.
const CONCURRENCY: usize = 32;

/// Default maximum length of an answer, in tokens.
const MAX_TOKENS: u64 = 64;

/// Length of the answers that are in progress when a router stops, in tokens.
const LONG_TOKENS: u64 = 250;

/// Timeout for a configuration to be active at every live router.
const CONFIG_TIMEOUT: Duration = Duration::from_secs(14);

/// Time after the publication of a configuration from which a leaving upstream receives no new
/// requests.
const LEAVING_DELAY: Duration = Duration::from_secs(2);

/// Number of requests in progress at a router before it is drained or killed.
const MIN_BUSY_REQUESTS: usize = 4;

/// Timeout for a router to reach [`MIN_BUSY_REQUESTS`].
const BUSY_TIMEOUT: Duration = Duration::from_secs(3);

/// Results of all phases, for the final checks and tables.
#[derive(Default)]
pub(crate) struct DemoResults {
    pub(crate) records: Vec<CallRecord>,
    pub(crate) probes: Vec<ProbeRecord>,
    pub(crate) drained_router: Option<usize>,
    /// The time until the changed configuration was active at every live router, if it became so.
    pub(crate) config_time: Option<Duration>,
    /// The upstream that was marked as leaving, and the number of requests that it received after
    /// [`LEAVING_DELAY`].
    pub(crate) leaving_upstream: Option<(UpstreamName, u64)>,
    /// The calls made during the platform outage.
    pub(crate) outage_calls: Vec<CallRecord>,
}

/// Result of a request that must be refused.
pub(crate) struct ProbeRecord {
    pub(crate) name: &'static str,
    pub(crate) expected: &'static str,
    pub(crate) result: CallResult,
    /// The prompt or order id, which must not reach any upstream.
    pub(crate) payload: String,
}

/// Runs the phases against a fleet.
pub(crate) struct DemoScenario<'a> {
    pub(crate) fleet: &'a mut DemoFleet,
    pub(crate) client: DemoClient,
    pub(crate) results: DemoResults,
    calls_started: usize,
}

impl<'a> DemoScenario<'a> {
    pub(crate) fn new(fleet: &'a mut DemoFleet, client: DemoClient) -> Self {
        Self {
            fleet,
            client,
            results: DemoResults::default(),
            calls_started: 0,
        }
    }

    /// Runs all phases.
    ///
    /// # Errors
    ///
    /// Returns an error if a component of the fleet fails in a way that no phase simulates.
    pub(crate) async fn run(&mut self) -> Result<(), Whatever> {
        let records = join_load(self.start_load(240, MAX_TOKENS)).await?;
        self.record_phase("load from every customer at every router", records);
        self.probe_refusals().await;
        self.repeat_orders().await;
        self.exhaust_smallest_budget().await?;
        self.change_config().await?;
        self.drain_router().await?;
        self.simulate_platform_outage().await?;
        self.kill_router().await?;
        let records = join_load(self.start_load(120, MAX_TOKENS)).await?;
        self.record_phase("load at the routers that are left", records);
        self.count_requests_while_leaving();
        Ok(())
    }

    /// Prints the summary line of a phase and stores its records.
    fn record_phase(&mut self, phase: &str, records: Vec<CallRecord>) {
        let answers = records
            .iter()
            .filter(|it| it.answered_tokens().is_some())
            .count();
        let resent: usize = records.iter().map(|it| it.attempts.len() - 1).sum();
        let elapsed = self.fleet.started.elapsed().as_secs_f64();
        let (calls, refused) = (records.len(), records.len() - answers);
        println!("{elapsed:6.2} s {calls:>7}{answers:>9}{refused:>9}{resent:>12}   {phase}");
        self.results.records.extend(records);
    }

    /// Starts calls in the background, distributed over the customers, their permitted kinds of
    /// calls and the live routers.
    fn start_load(&mut self, count: usize, max_tokens: u64) -> JoinHandle<Vec<CallRecord>> {
        let templates = list_call_templates(&self.fleet.document);
        let specs = (0..count).map(|index| {
            let templates = &templates[index % templates.len()];
            let round = index / list_call_templates(&self.fleet.document).len();
            let mut spec = templates[round % templates.len()].clone();
            spec.payload = self.unique_payload(&spec, index, max_tokens);
            spec.max_tokens = max_tokens;
            spec
        });
        let specs: Vec<CallSpec> = specs.collect();
        self.calls_started += count;
        self.spawn_calls(specs)
    }

    fn unique_payload(&self, spec: &CallSpec, index: usize, max_tokens: u64) -> String {
        let number = self.calls_started + index;
        let customer = &spec.customer;
        match spec.kind {
            CallKind::Chat | CallKind::Stream if max_tokens == LONG_TOKENS => {
                format!("{customer} asks question {number}, at length [tokens={LONG_TOKENS}]")
            }
            CallKind::Chat | CallKind::Stream => format!("{customer} asks question {number}"),
            CallKind::Lookup => format!("item-{number}"),
            CallKind::Order => format!("order-{number}"),
        }
    }

    fn spawn_calls(&self, specs: Vec<CallSpec>) -> JoinHandle<Vec<CallRecord>> {
        let client = self.client.clone();
        let live = self.fleet.live_routers();
        tokio::spawn(async move {
            let calls = specs.into_iter().enumerate().map(|(index, spec)| {
                let router = live[index % live.len()];
                let client = client.clone();
                async move { client.call(spec, router).await }
            });
            stream::iter(calls)
                .buffer_unordered(CONCURRENCY)
                .collect()
                .await
        })
    }

    /// Sends requests that must be refused.
    async fn probe_refusals(&mut self) {
        let live = self.fleet.live_routers();
        for (index, probe) in build_probes(&self.fleet.document).into_iter().enumerate() {
            let router = live[index % live.len()];
            let mut request = self.client.request(Method::POST, router, &probe.path);
            if let Some(key) = probe.key {
                request = request.bearer_auth(key);
            }
            let request = request
                .header("content-type", "application/json")
                .body(probe.body);
            let result = match request.send().await {
                Ok(response) if response.status().is_success() => CallResult::Answered {
                    tokens: 0,
                    matches: false,
                },
                Ok(response) => read_refusal(response).await,
                Err(_) => CallResult::Broken { sent: true },
            };
            self.results.probes.push(ProbeRecord {
                name: probe.name,
                expected: probe.expected,
                result,
                payload: probe.payload,
            });
        }
        let elapsed = self.fleet.started.elapsed().as_secs_f64();
        let count = self.results.probes.len();
        let phase = "requests that must be refused";
        println!(
            "{elapsed:6.2} s {count:>7}{:>9}{count:>9}{:>12}   {phase}",
            0, 0
        );
    }

    /// Sends each order twice with the same idempotency key, to two routers. Every second pair is
    /// sent concurrently.
    async fn repeat_orders(&mut self) {
        let live = self.fleet.live_routers();
        let templates = list_call_templates(&self.fleet.document)
            .into_iter()
            .flatten();
        let Some(base) = templates
            .into_iter()
            .find(|spec| spec.kind == CallKind::Order)
        else {
            return;
        };
        let mut records = Vec::new();
        for index in 0..12 {
            let payload = format!("repeated-order-{index}");
            let spec = CallSpec {
                payload,
                ..base.clone()
            };
            let (first, second) = (live[index % live.len()], live[(index + 1) % live.len()]);
            let (call, repeat) = (spec.clone(), spec);
            if index % 2 == 0 {
                records.push(self.client.call(call, first).await);
                records.push(self.client.call(repeat, second).await);
            } else {
                let call = self.client.call(call, first);
                let repeat = self.client.call(repeat, second);
                let (call, repeat) = future::join(call, repeat).await;
                records.extend([call, repeat]);
            }
        }
        self.record_phase(
            "orders, repeated later or at once at another router",
            records,
        );
    }

    /// Makes calls with a customer of the smallest budget until the budget is spent.
    async fn exhaust_smallest_budget(&mut self) -> Result<(), Whatever> {
        let document = &self.fleet.document;
        let smallest = document
            .budgets
            .iter()
            .min_by_key(|(_, section)| section.paid);
        let Some((budget, section)) = smallest else {
            return Ok(());
        };
        let templates = list_call_templates(document).into_iter().flatten();
        let Some(base) = templates.into_iter().find(|spec| spec.budget == *budget) else {
            return Ok(());
        };
        // Each call costs at least 10 tokens. The cap bounds the run time with a large budget.
        let count = (section.paid.get() / 30).min(160) as usize;
        let phase = format!("budget {budget} is used until it is spent");
        let specs = (0..count).map(|index| CallSpec {
            payload: format!("spend {} {index}", base.customer),
            max_tokens: MAX_TOKENS,
            ..base.clone()
        });
        let records = join_load(self.spawn_calls(specs.collect())).await?;
        self.record_phase(&phase, records);
        Ok(())
    }

    /// Marks an engine as leaving and measures the time until the change is active everywhere.
    async fn change_config(&mut self) -> Result<(), Whatever> {
        let Some(name) = find_spare_engine(&self.fleet.document) else {
            return Ok(());
        };
        let changed = change_upstream(&self.fleet.document, &name, |section| {
            section.state = UpstreamState::Leaving;
        });
        let started = Instant::now();
        let version = apply(&self.fleet.store, &changed).await?;
        let load = self.start_load(80, MAX_TOKENS);
        if self.fleet.wait_version(version, CONFIG_TIMEOUT).await {
            self.results.config_time = Some(started.elapsed());
        }
        self.fleet.document = changed;
        tokio::time::sleep_until((started + LEAVING_DELAY).into()).await;
        self.results.leaving_upstream = self.fleet.engines.get(&name).map(|engine| {
            let received = engine.counts().received;
            (name.clone(), received)
        });
        self.record_phase(
            &format!("{name} is marked as leaving"),
            join_load(load).await?,
        );
        Ok(())
    }

    /// Drains and stops a router that has requests in progress.
    async fn drain_router(&mut self) -> Result<(), Whatever> {
        let load = self.start_load(120, LONG_TOKENS);
        let live = self.fleet.live_routers();
        let router = live[0];
        let busy = self.wait_until_busy(router).await;
        self.fleet.nodes[router].close().await?;
        self.results.drained_router = Some(router);
        let name = self.fleet.nodes[router].name.clone();
        self.record_phase(
            &format!("{name} is drained with {busy} requests in progress"),
            join_load(load).await?,
        );
        Ok(())
    }

    /// Kills a router that has requests in progress.
    async fn kill_router(&mut self) -> Result<(), Whatever> {
        let load = self.start_load(120, LONG_TOKENS);
        let live = self.fleet.live_routers();
        let router = live[live.len() - 1];
        let busy = self.wait_until_busy(router).await;
        self.fleet.nodes[router].kill().await?;
        let name = self.fleet.nodes[router].name.clone();
        self.record_phase(
            &format!("{name} is killed with {busy} requests in progress"),
            join_load(load).await?,
        );
        Ok(())
    }

    async fn wait_until_busy(&self, router: usize) -> usize {
        let started = Instant::now();
        loop {
            let running = self.fleet.nodes[router].running();
            if running >= MIN_BUSY_REQUESTS || started.elapsed() > BUSY_TIMEOUT {
                return running;
            }
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    }

    /// Makes the platform unavailable during one load and restores it for the next one.
    async fn simulate_platform_outage(&mut self) -> Result<(), Whatever> {
        self.fleet.platform.set_faults(PlatformFaults {
            outage: true,
            ..PlatformFaults::default()
        });
        let records = join_load(self.start_load(120, MAX_TOKENS)).await?;
        self.results.outage_calls.clone_from(&records);
        self.record_phase("the platform is away", records);
        self.fleet.platform.set_faults(PlatformFaults::default());
        let records = join_load(self.start_load(80, MAX_TOKENS)).await?;
        self.record_phase("the platform is back", records);
        Ok(())
    }

    /// Replaces the stored request count of the leaving upstream by the increase since then.
    fn count_requests_while_leaving(&mut self) {
        if let Some((name, received)) = &mut self.results.leaving_upstream
            && let Some(engine) = self.fleet.engines.get(name)
        {
            *received = engine.counts().received - *received;
        }
    }
}

/// Waits for a load to finish and returns its records.
async fn join_load(load: JoinHandle<Vec<CallRecord>>) -> Result<Vec<CallRecord>, Whatever> {
    load.await.whatever_context("load task of the demo failed")
}

/// Returns, for each customer, a template of every call that it is permitted to make.
fn list_call_templates(document: &Document) -> Vec<Vec<CallSpec>> {
    let customers = document.customers.iter();
    let templates =
        customers.map(|(name, section)| list_customer_templates(document, name, section));
    templates
        .filter(|templates| !templates.is_empty())
        .collect()
}

fn list_customer_templates(
    document: &Document,
    customer: &CustomerName,
    section: &CustomerSection,
) -> Vec<CallSpec> {
    let build = |kind, target: &str, cost| CallSpec {
        customer: customer.clone(),
        budget: section.budget.clone(),
        kind,
        target: target.to_owned(),
        payload: String::new(),
        max_tokens: MAX_TOKENS,
        cost,
    };
    let models = document
        .models
        .keys()
        .filter(|name| section.models.allows(name));
    let chats = models.flat_map(|name| [CallKind::Chat, CallKind::Stream].map(|kind| (kind, name)));
    let chats = chats.map(|(kind, name)| build(kind, name, 0));
    let services = document
        .services
        .iter()
        .filter(|(name, _)| section.services.allows(name));
    let calls = services.flat_map(|(name, service)| {
        let cost = service.cost_per_call.get();
        [CallKind::Lookup, CallKind::Order].map(|kind| build(kind, name, cost))
    });
    chats.chain(calls).collect()
}

/// Returns the last engine of the document whose models are all served by other engines too.
fn find_spare_engine(document: &Document) -> Option<UpstreamName> {
    let engines = document.upstreams.iter();
    let engines = engines.filter(|(_, section)| section.kind == UpstreamKind::Engine);
    let engines: Vec<_> = engines.collect();
    let spare = engines.iter().rev().find(|(name, section)| {
        section.models.iter().all(|model| {
            let mut others = engines.iter().filter(|(other, _)| other != name);
            others.any(|(_, other)| other.models.contains(model))
        })
    });
    spare.map(|(name, _)| (*name).clone())
}

/// A request that must be refused, with the expected error kind.
struct RefusalProbe {
    name: &'static str,
    expected: &'static str,
    path: String,
    key: Option<String>,
    body: String,
    payload: String,
}

fn build_probes(document: &Document) -> Vec<RefusalProbe> {
    let Some(customer) = document.customers.keys().next() else {
        return Vec::new();
    };
    let key = Some(demo_key(customer));
    let model = document
        .models
        .keys()
        .next()
        .map_or("none", |name| name.as_str());
    let chat = |name, expected, key: Option<String>, model: &str, max_tokens: Value| {
        let payload = format!("must be refused: {name}");
        let messages = json!([{"role": "user", "content": payload}]);
        let body = json!({"model": model, "messages": messages, "max_tokens": max_tokens});
        RefusalProbe {
            name,
            expected,
            path: "/v1/chat/completions".to_owned(),
            key,
            body: body.to_string(),
            payload,
        }
    };
    let mut probes = vec![
        chat("no key", "missing_key", None, model, json!(8)),
        chat(
            "wrong key",
            "unknown_key",
            Some("nobody".to_owned()),
            model,
            json!(8),
        ),
        chat(
            "unknown model",
            "unknown_model",
            key.clone(),
            "no-such-model",
            json!(8),
        ),
        chat(
            "no tokens",
            "malformed_request",
            key.clone(),
            model,
            json!(0),
        ),
    ];
    let large = "x".repeat(document.limits.body_bytes as usize);
    let mut too_large = chat("large body", "body_too_large", key.clone(), model, json!(8));
    too_large.body = json!({"model": model, "messages": [{"content": large}]}).to_string();
    probes.push(too_large);
    let forbidden = document.customers.iter().find_map(|(name, section)| {
        let mut models = document.models.keys();
        let model = models.find(|model| !section.models.allows(model))?;
        Some((demo_key(name), model.as_str()))
    });
    if let Some((key, model)) = forbidden {
        let expected = "upstream_forbidden";
        probes.push(chat(
            "model of another customer",
            expected,
            Some(key),
            model,
            json!(8),
        ));
    }
    let service = document.services.keys().next();
    let buyer = service.and_then(|service| {
        let mut customers = document.customers.iter();
        customers.find(|(_, section)| section.services.allows(service))
    });
    if let (Some(service), Some((buyer, _))) = (service, buyer) {
        probes.push(RefusalProbe {
            name: "order without a key",
            expected: "idempotency_key_required",
            path: format!("/services/{service}/orders"),
            key: Some(demo_key(buyer)),
            body: json!({"order": "order-without-key"}).to_string(),
            payload: "order-without-key".to_owned(),
        });
    }
    probes
}
