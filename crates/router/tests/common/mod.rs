//! Test fleet of routers, simulated upstreams and a simulated platform in one process.

#![allow(dead_code, unreachable_pub)]

use std::{
    collections::BTreeMap,
    future::Future,
    net::SocketAddr,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use cornelarch_core::{
    base::{BudgetName, EnvironmentName},
    budget::{BudgetTotals, ShardNumber, ShardValue},
    config::{Delta, Document, HeadObject, KeyDigest, base_key, head_key, split_base},
};
use cornelarch_router::{Router, RouterSettings, SecretText};
use cornelarch_standin::{
    engine::{self, EngineHandle, EngineOptions},
    platform::{self, PlatformHandle, PlatformOptions},
    service::{self, ServiceHandle, ServiceOptions},
};
use reqwest::{Client, RequestBuilder, Response};
use serde_json::{Value, json};

/// API key of the customer `acme`.
pub const KEY: &str = "acme-key";
/// API key of operators.
pub const OPERATOR_KEY: &str = "operator-key";
/// Number of ledger shards of the test environment.
pub const SHARDS: u32 = 8;
/// Maximum time to wait for a condition.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// Options of a test fleet.
pub struct FleetOptions {
    /// Options of each engine.
    pub engines: Vec<EngineOptions>,
    /// Failure domains of the engines; `a` for engines without an entry.
    pub engine_domains: Vec<&'static str>,
    /// Options of each instance of the service `shop`.
    pub services: Vec<ServiceOptions>,
    /// Failure domain of each router.
    pub routers: Vec<&'static str>,
    /// Initial amount of the budget `acme`, in tokens.
    pub paid: u64,
    /// Additional lines of section `[limits]`.
    pub limits: &'static str,
    /// Lines of section `[model tiny]`.
    pub model: &'static str,
    /// Additional lines of every upstream section.
    pub upstream: &'static str,
    /// Request timeout of the routers.
    pub request_timeout: Duration,
    /// Address of an instance of the service `shop` that the test runs itself.
    pub own_service: Option<SocketAddr>,
    /// Address of a further engine, in domain `b`, that the test runs itself.
    pub own_engine: Option<SocketAddr>,
}

/// Raises the time a reservation waits for tokens. The first draw normally takes milliseconds, but
/// on a loaded machine it can exceed the default of 250 ms. No test here depends on that default.
const END_WAIT: &str = "end_wait_ms = 2000";

impl Default for FleetOptions {
    fn default() -> Self {
        Self {
            engines: vec![EngineOptions::default()],
            engine_domains: Vec::new(),
            services: vec![ServiceOptions::default()],
            routers: vec!["a"],
            paid: 1_000_000,
            limits: "",
            model: "resume = yes",
            upstream: "",
            request_timeout: Duration::from_secs(30),
            own_service: None,
            own_engine: None,
        }
    }
}

/// A running test fleet.
pub struct TestFleet {
    pub options: FleetOptions,
    pub platform: PlatformHandle,
    pub engines: Vec<EngineHandle>,
    pub services: Vec<ServiceHandle>,
    pub routers: Vec<Router>,
    pub client: Client,
    head: HeadObject,
}

impl TestFleet {
    /// Starts a fleet and waits until every router has the first configuration version.
    pub async fn start(options: FleetOptions) -> Self {
        let mut fleet = Self::start_without_routers(options).await;
        fleet.start_routers().await;
        fleet
    }

    /// Starts the configured routers and waits until each has the first configuration version.
    pub async fn start_routers(&mut self) {
        let domains = self.options.routers.clone();
        for domain in domains {
            let router = self.start_router(domain).await;
            self.routers.push(router);
        }
        for router in &self.routers {
            assert!(
                router.wait_version(1, WAIT_TIMEOUT).await,
                "router has no configuration"
            );
        }
    }

    /// Starts the platform and the upstreams only.
    pub async fn start_without_routers(options: FleetOptions) -> Self {
        let platform = platform::bind(PlatformOptions::default()).await.unwrap();
        let mut engines = Vec::new();
        for engine_options in &options.engines {
            engines.push(engine::bind(engine_options.clone()).await.unwrap());
        }
        let mut services = Vec::new();
        for service_options in &options.services {
            services.push(service::bind(service_options.clone()).await.unwrap());
        }
        let mut fleet = Self {
            options,
            platform,
            engines,
            services,
            routers: Vec::new(),
            client: Client::builder().no_proxy().build().unwrap(),
            head: HeadObject::initial(delta("first"), 1),
        };
        fleet.store_document();
        fleet.top_up(fleet.options.paid, "initial/acme");
        fleet
    }

    /// Returns the configuration document of the fleet.
    pub fn document(&self) -> String {
        let digest = KeyDigest::of_key(KEY);
        let other = KeyDigest::of_key("other-key");
        let FleetOptions {
            paid,
            limits,
            model,
            upstream,
            ..
        } = &self.options;
        let mut text = format!(
            "[environment]\nname = trial\n[limits]\n{END_WAIT}\n{limits}\n[model tiny]\n{model}\n\
             [model secret]\n[service shop]\ncost_per_call = 7\n[service vault]\n\
             cost_per_call = 1\n[budget acme]\npaid = {paid}\n[budget empty]\npaid = 0\n\
             [customer acme]\nkey_sha256 = {digest}\nbudget = acme\nmodels = tiny\n\
             services = shop\n[customer other]\nkey_sha256 = {other}\nbudget = empty\n\
             models = *\nservices = *\n"
        );
        for (index, engine) in self.engines.iter().enumerate() {
            let address = engine.address();
            let domain = self.options.engine_domains.get(index).unwrap_or(&"a");
            text.push_str(&format!(
                "[upstream engine-{index}]\nkind = engine\naddress = {address}\n\
                 domain = {domain}\nmodels = tiny\n{upstream}\n"
            ));
        }
        if let Some(address) = self.options.own_engine {
            text.push_str(&format!(
                "[upstream own-engine]\nkind = engine\naddress = {address}\ndomain = b\n\
                 models = tiny\n{upstream}\n"
            ));
        }
        let services = self.services.iter().map(ServiceHandle::address);
        for (index, address) in services.chain(self.options.own_service).enumerate() {
            text.push_str(&format!(
                "[upstream shop-{index}]\nkind = service\naddress = {address}\ndomain = a\n\
                 service = shop\n{upstream}\n"
            ));
        }
        text
    }

    fn store_document(&mut self) {
        let document = Document::parse(&self.document()).expect("the document is valid");
        let text = document.to_text();
        let environment = EnvironmentName::new("trial");
        let parts = split_base(&text);
        for (index, part) in parts.iter().enumerate() {
            let key = base_key(&environment, &self.head.base_id, index);
            self.platform.store(&key, json!(part).to_string().into());
        }
        self.store_head();
    }

    fn store_head(&self) {
        let value = serde_json::to_vec(&self.head).unwrap();
        let key = head_key(&EnvironmentName::new("trial"));
        self.platform.store(&key, value.into());
    }

    /// Changes the fleet options and stores the resulting document as the next version.
    pub fn change_document(&mut self, change: impl FnOnce(&mut FleetOptions)) -> u64 {
        let old = Document::parse(&self.document()).unwrap();
        change(&mut self.options);
        let new = Document::parse(&self.document()).unwrap();
        let mut next = delta("change");
        next.changes = old.diff(&new);
        self.head = self.head.with_delta(next);
        self.store_head();
        self.head.version
    }

    fn shard_key(&self) -> String {
        let shard = ShardNumber::of_budget(&BudgetName::new("acme"), SHARDS);
        shard.object_key(&EnvironmentName::new("trial"))
    }

    fn shard(&self) -> ShardValue {
        let object = self.platform.peek(&self.shard_key());
        object.map_or_else(ShardValue::default, |object| {
            serde_json::from_slice(&object.value).unwrap()
        })
    }

    /// Tops up the budget `acme`.
    pub fn top_up(&self, amount: u64, operation_id: &str) {
        let mut shard = self.shard();
        let budget = BudgetName::new("acme");
        shard.top_up(&budget, amount.into(), operation_id).unwrap();
        let value = serde_json::to_vec(&shard).unwrap();
        self.platform.store(&self.shard_key(), value.into());
    }

    /// Returns the totals of the budget `acme` stored at the platform.
    pub fn totals(&self) -> BudgetTotals {
        self.shard().totals(&BudgetName::new("acme"))
    }

    /// Returns settings for a router of this fleet.
    pub fn settings(&self, name: &str, domain: &str) -> RouterSettings {
        RouterSettings {
            instance: name.into(),
            domain: domain.into(),
            environment: EnvironmentName::new("trial"),
            platform: self.platform.url(),
            seeds: self
                .routers
                .iter()
                .map(|router| router.addresses().peers)
                .collect(),
            operator_key: SecretText::new(OPERATOR_KEY),
            drain_grace: Duration::ZERO,
            drain: Duration::from_secs(60),
            request_timeout: self.options.request_timeout,
            load_poll: Duration::from_millis(50),
            ledger_shards: SHARDS,
            ..RouterSettings::default()
        }
    }

    /// Starts another router.
    pub async fn start_router(&self, domain: &str) -> Router {
        let name = format!("router-{}", self.routers.len());
        Router::bind(self.settings(&name, domain)).await.unwrap()
    }

    /// Returns the callers' address of a router.
    pub fn callers(&self, router: usize) -> SocketAddr {
        self.routers[router].addresses().callers
    }

    /// Builds a chat request.
    pub fn chat(&self, router: usize, prompt: &str, stream: bool) -> RequestBuilder {
        let url = format!("http://{}/v1/chat/completions", self.callers(router));
        let body = json!({
            "model": "tiny",
            "messages": [{"role": "user", "content": prompt}],
            "stream": stream,
            "max_tokens": 2_000,
        });
        self.client
            .post(url)
            .bearer_auth(KEY)
            .header("content-type", "application/json")
            .body(body.to_string())
    }

    /// Builds an order request for the service `shop`.
    pub fn order(&self, router: usize, key: &str, order: &str) -> RequestBuilder {
        let url = format!("http://{}/services/shop/orders", self.callers(router));
        self.client
            .post(url)
            .bearer_auth(KEY)
            .header("idempotency-key", key)
            .header("content-type", "application/json")
            .body(json!({"order": order}).to_string())
    }

    /// Returns the number of crashes of all engines.
    pub fn crashes(&self) -> u64 {
        let engines = self.engines.iter();
        engines.map(|engine| engine.counts().crashes).sum()
    }

    /// Sends a GET request to the operator API of a router and returns the JSON response.
    pub async fn operator(&self, router: usize, path: &str) -> Value {
        let url = format!("http://{}{path}", self.routers[router].addresses().operator);
        let response = self.client.get(url).bearer_auth(OPERATOR_KEY).send();
        response.await.unwrap().json().await.unwrap()
    }

    /// Returns the account of the budget `acme` at a router: (balance, reserved, spent).
    pub async fn account(&self, router: usize) -> (u64, u64, u64) {
        let dump = self.routers[router].view().dump().await;
        let accounts = dump["ledger"]["accounts"]
            .as_array()
            .cloned()
            .unwrap_or_default();
        let account = accounts
            .into_iter()
            .find(|account| account["budget"] == "acme");
        let read = |key: &str| account.as_ref().map_or(0, |a| a[key].as_u64().unwrap_or(0));
        (read("balance"), read("reserved"), read("spent"))
    }

    /// Shuts the fleet down and returns the totals after the routers have returned their balances.
    pub async fn close(self) -> BudgetTotals {
        let Self {
            routers, platform, ..
        } = self;
        for router in routers {
            router.close().await;
        }
        let key = ShardNumber::of_budget(&BudgetName::new("acme"), SHARDS)
            .object_key(&EnvironmentName::new("trial"));
        let object = platform.peek(&key).unwrap();
        let shard: ShardValue = serde_json::from_slice(&object.value).unwrap();
        let totals = shard.totals(&BudgetName::new("acme"));
        platform.close().await;
        totals
    }
}

fn delta(operation_id: &str) -> Delta {
    let time = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    Delta {
        version: 1,
        operator: "test".to_owned(),
        operation_id: operation_id.to_owned(),
        time: time.as_secs(),
        changes: Vec::new(),
        base_only: false,
    }
}

/// Waits until a condition holds, and panics after [`WAIT_TIMEOUT`].
pub async fn wait_until<F, R>(what: &str, mut check: F)
where
    F: FnMut() -> R,
    R: Future<Output = bool>,
{
    let waited = async {
        while !check().await {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    };
    let result = tokio::time::timeout(WAIT_TIMEOUT, waited).await;
    assert!(result.is_ok(), "timed out waiting until {what}");
}

/// Parsed contents of a streamed response.
#[derive(Debug, Default)]
pub struct StreamText {
    /// Concatenated text of all chunks.
    pub text: String,
    /// Sequence numbers in order of arrival.
    pub sequences: Vec<u64>,
    /// Whether `[DONE]` arrived.
    pub done: bool,
    /// Payload of the error event, if any.
    pub error: Option<Value>,
    /// Total tokens reported in the last chunk.
    pub usage: Option<u64>,
}

/// Reads a stream to its end.
pub async fn read_stream(response: Response) -> StreamText {
    parse_stream(&response.text().await.unwrap())
}

/// Parses the text of a stream.
pub fn parse_stream(body: &str) -> StreamText {
    let mut stream = StreamText::default();
    for event in body.split("\n\n") {
        let Some(payload) = event.lines().find_map(|line| line.strip_prefix("data: ")) else {
            continue;
        };
        if payload == "[DONE]" {
            stream.done = true;
            continue;
        }
        let value: Value = serde_json::from_str(payload).unwrap();
        if event.starts_with("event: error") {
            stream.error = Some(value);
            continue;
        }
        stream.sequences.push(value["x_sequence"].as_u64().unwrap());
        if let Some(text) = value["choices"][0]["delta"]["content"].as_str() {
            stream.text.push_str(text);
        }
        stream.usage = value["usage"]["total_tokens"].as_u64().or(stream.usage);
    }
    stream
}

/// Returns the status, the header `x-cornelarch-run` and the error kind of a refusal.
pub async fn read_refusal(response: Response) -> (u16, String, String) {
    let status = response.status().as_u16();
    let run = response.headers().get("x-cornelarch-run");
    let run = run.map_or(String::new(), |run| run.to_str().unwrap().to_owned());
    let body: BTreeMap<String, Value> = response.json().await.unwrap_or_default();
    let kind = body
        .get("error")
        .map_or(Value::Null, |error| error["kind"].clone());
    (status, run, kind.as_str().unwrap_or_default().to_owned())
}
