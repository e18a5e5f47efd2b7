//! The measured parts, each on its own threads: platform and engine stand-ins, and one router.

use std::time::Duration;

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
use tokio::runtime::{Builder, Runtime};

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
    pub(crate) engine: EngineHandle,
    pub(crate) router_url: String,
    platform: PlatformHandle,
    router: Router,
    router_runtime: Runtime,
    standin_runtime: Runtime,
}

impl PathFleet {
    /// Starts all parts with an engine of the given speed.
    ///
    /// # Errors
    ///
    /// Returns an error if a part cannot be started.
    pub(crate) async fn start(options: EngineOptions) -> Result<Self, PathError> {
        let standin_runtime = build_runtime("path-standin")?;
        let router_runtime = build_runtime(ROUTER_THREAD)?;
        let platform = platform::bind(PlatformOptions::default());
        let platform = standin_runtime.spawn(platform).await??;
        let engine = standin_runtime.spawn(engine::bind(options)).await??;
        store_document(&platform, &engine)?;
        let settings = RouterSettings {
            instance: "router".into(),
            platform: platform.url(),
            ..RouterSettings::default()
        };
        let router = router_runtime.spawn(Router::bind(settings)).await??;
        if !router.wait_version(1, READY_LIMIT).await {
            return Err("the router has no configuration".into());
        }
        Ok(Self {
            engine,
            router_url: format!("http://{}", router.addresses().callers),
            platform,
            router,
            router_runtime,
            standin_runtime,
        })
    }

    /// Ends all parts at once.
    pub(crate) async fn close(self) {
        self.router_runtime.shutdown_background();
        drop(self.router);
        self.engine.close().await;
        self.platform.close().await;
        self.standin_runtime.shutdown_background();
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

fn store_document(platform: &PlatformHandle, engine: &EngineHandle) -> Result<(), PathError> {
    let (digest, address) = (KeyDigest::of_key(KEY), engine.address());
    let text = format!(
        "[environment]\nname = trial\n[limits]\nqueue_requests = 100000\n\
         [model larch]\nmax_tokens_limit = 1000000\nresume = yes\n\
         [budget path]\npaid = {PAID}\n\
         [customer path]\nkey_sha256 = {digest}\nbudget = path\nmodels = *\n\
         [upstream engine]\nkind = engine\naddress = {address}\ndomain = a\nmodels = larch\n\
         concurrency = 100000\n"
    );
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
    let head = HeadObject::first(delta, 1);
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
