//! The measured parts, each on its own threads: platform and engine stand-ins, and one router.

use std::{future::Future, time::Duration};

use cornelarch_core::{
    base::{BudgetName, EnvironmentName, TokenCount},
    budget::{ShardNumber, ShardValue},
    config::{Delta, Document, HeadObject, KeyDigest, base_key, head_key},
};
use cornelarch_router::{Router, RouterSettings};
use cornelarch_standin::{
    engine::{self, EngineHandle, EngineOptions},
    platform::{self, PlatformHandle, PlatformOptions},
};
use serde_json::json;
use tokio::{
    runtime::{Builder, Runtime},
    task::JoinHandle,
};

use crate::path::PathError;

/// Name of the router's threads.
pub(crate) const ROUTER_THREAD: &str = "path-router";

/// Key of the only customer.
pub(crate) const KEY: &str = "path-key";

/// Worker threads of each part.
const WORKERS: usize = 2;

/// Budget of the only customer in tokens; it never limits the measurement.
const PAID: u64 = 1_000_000_000_000;

/// Longest wait for the configuration.
const READY_LIMIT: Duration = Duration::from_secs(10);

/// Holds the running parts.
pub(crate) struct PathFleet {
    pub(crate) engines: Vec<EngineHandle>,
    pub(crate) router_url: String,
    platform: PlatformHandle,
    router: Router,
    router_runtime: PartRuntime,
    standin_runtime: PartRuntime,
}

/// Holds the threads of a part; they end in the background, because a drop within asynchronous
/// code must not block.
struct PartRuntime(Option<Runtime>);

impl PartRuntime {
    fn spawn<F>(&self, future: F) -> Result<JoinHandle<F::Output>, PathError>
    where
        F: Future<Output: Send> + Send + 'static,
    {
        let runtime = self.0.as_ref().ok_or("the threads have ended")?;
        Ok(runtime.spawn(future))
    }
}

impl Drop for PartRuntime {
    fn drop(&mut self) {
        if let Some(runtime) = self.0.take() {
            runtime.shutdown_background();
        }
    }
}

impl PathFleet {
    /// Starts all parts with `count` engines of the given speed.
    ///
    /// # Errors
    ///
    /// Returns an error if a part cannot be started.
    pub(crate) async fn start(options: EngineOptions, count: usize) -> Result<Self, PathError> {
        let standin_runtime = PartRuntime(Some(build_runtime("path-standin")?));
        let router_runtime = PartRuntime(Some(build_runtime(ROUTER_THREAD)?));
        let platform = platform::bind(PlatformOptions::default());
        let platform = standin_runtime.spawn(platform)?.await??;
        let mut engines = Vec::new();
        for _ in 0..count {
            let engine = engine::bind(options.clone());
            engines.push(standin_runtime.spawn(engine)?.await??);
        }
        store_document(&platform, &engines)?;
        let settings = RouterSettings {
            instance: "router".into(),
            platform: platform.url(),
            ..RouterSettings::default()
        };
        let router = router_runtime.spawn(Router::bind(settings))?.await??;
        if !router.wait_version(1, READY_LIMIT).await {
            return Err("the router has no configuration".into());
        }
        Ok(Self {
            engines,
            router_url: format!("http://{}", router.addresses().callers),
            platform,
            router,
            router_runtime,
            standin_runtime,
        })
    }

    /// Returns the number of requests that the engines work on.
    pub(crate) fn running(&self) -> u64 {
        let loads = self.engines.iter().map(EngineHandle::load);
        loads.map(|load| load.running).sum()
    }

    /// Returns the number of tokens that the engines have generated.
    pub(crate) fn tokens(&self) -> u64 {
        let counts = self.engines.iter().map(EngineHandle::counts);
        counts.map(|counts| counts.decode_tokens).sum()
    }

    /// Ends all parts at once.
    pub(crate) async fn close(self) {
        drop(self.router_runtime);
        drop(self.router);
        for engine in self.engines {
            engine.close().await;
        }
        self.platform.close().await;
        drop(self.standin_runtime);
    }
}

/// Builds a runtime whose threads carry `name`.
pub(crate) fn build_runtime(name: &str) -> Result<Runtime, PathError> {
    let mut builder = Builder::new_multi_thread();
    builder
        .worker_threads(WORKERS)
        .thread_name(name)
        .enable_all();
    Ok(builder.build()?)
}

fn store_document(platform: &PlatformHandle, engines: &[EngineHandle]) -> Result<(), PathError> {
    let digest = KeyDigest::of_key(KEY);
    let mut text = format!(
        "[environment]\nname = trial\n[limits]\nqueue_requests = 100000\n\
         [model larch]\nmax_tokens_limit = 1000000\nresume = yes\n\
         [budget path]\npaid = {PAID}\n\
         [customer path]\nkey_sha256 = {digest}\nbudget = path\nmodels = *\n"
    );
    for (index, engine) in engines.iter().enumerate() {
        let address = engine.address();
        text.push_str(&format!(
            "[upstream engine-{index}]\nkind = engine\naddress = {address}\ndomain = a\n\
             models = larch\nconcurrency = 100000\n"
        ));
    }
    if let Err(errors) = Document::parse(&text) {
        return Err(format!("the document has faults: {errors:?}").into());
    }
    let environment = EnvironmentName::new("trial");
    let delta = Delta {
        version: 1,
        operator: "path".to_owned(),
        operation_id: "first".to_owned(),
        time: 0,
        changes: Vec::new(),
        base_only: false,
    };
    let head = HeadObject::initial(delta, 1);
    let base = base_key(&environment, &head.base_id, 0);
    platform.store(&base, json!(text).to_string().into());
    platform.store(&head_key(&environment), serde_json::to_vec(&head)?.into());
    let budget = BudgetName::new("path");
    let shards = RouterSettings::default().ledger_shards;
    let shard = ShardNumber::of_budget(&budget, shards);
    let mut value = ShardValue::default();
    value
        .set_initial_paid(&budget, TokenCount::new(PAID))
        .map_err(|error| error.to_string())?;
    let value = serde_json::to_vec(&value)?;
    platform.store(&shard.object_key(&environment), value.into());
    Ok(())
}
