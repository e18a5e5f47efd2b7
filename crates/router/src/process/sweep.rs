//! Background removal of expired order records.

use std::{
    sync::Arc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use cornelarch_core::{
    base::CustomerName,
    membership::choose_owner,
    order::{OrderRecord, is_expired},
};
use cornelarch_platform::{ObjectStore, StoreError};

use crate::process::{MetricName, RouterState};

/// Pause between two passes over all customers. At the target size a pass takes two days: 350
/// instances share 30 million records, and each reads one record every 2 s.
const PASS_PERIOD: Duration = Duration::from_secs(600);
/// Pause after a failed call to the platform.
const FAILURE_BACKOFF: Duration = Duration::from_secs(60);

/// Removes expired order records of the customers that this instance owns, until the router
/// stops.
pub(crate) async fn sweep_orders(state: Arc<RouterState>) {
    let sweep = async {
        let mut ready = state.active_version.subscribe();
        // Customers and retention are known only once a configuration is active.
        if ready.wait_for(|number| *number > 0).await.is_err() {
            return;
        }
        loop {
            for customer in find_owned(&state) {
                if sweep_customer(&state, &customer).await.is_err() {
                    state.metrics.count(MetricName::PlatformFailures);
                    tokio::time::sleep(FAILURE_BACKOFF).await;
                }
            }
            tokio::time::sleep(PASS_PERIOD).await;
        }
    };
    tokio::select! {
        () = state.stop.cancelled() => {}
        () = sweep => {}
    }
}

/// Returns the customers whose records this instance is responsible for.
fn find_owned(state: &RouterState) -> Vec<CustomerName> {
    let Some(version) = state.version.load_full() else {
        return Vec::new();
    };
    let fleet = state.fleet.load();
    let own = &state.settings.instance;
    let is_owned = |customer: &&CustomerName| {
        let instances = fleet.live.iter().map(|record| &record.holder.instance);
        choose_owner(customer.as_str(), instances).is_none_or(|owner| owner == own)
    };
    let customers = version.document.customers.keys();
    customers.filter(is_owned).cloned().collect()
}

async fn sweep_customer(state: &RouterState, customer: &CustomerName) -> Result<(), StoreError> {
    let prefix = format!("order/{}/{customer}/", state.settings.environment);
    let mut after = String::new();
    loop {
        state.metrics.count(MetricName::PlatformCalls);
        let keys = state.store.list(&prefix, &after).await?;
        let Some((last, _)) = keys.last() else {
            return Ok(());
        };
        after.clone_from(last);
        for (key, _) in &keys {
            tokio::time::sleep(state.settings.order_sweep).await;
            remove_expired(state, key).await?;
        }
    }
}

async fn remove_expired(state: &RouterState, key: &str) -> Result<(), StoreError> {
    state.metrics.count(MetricName::PlatformCalls);
    let object = match state.store.get(key).await {
        Ok(object) => object,
        Err(StoreError::NotFound { .. }) => return Ok(()),
        Err(error) => return Err(error),
    };
    let Some(version) = state.version.load_full() else {
        return Ok(());
    };
    let retention = Duration::from_secs(version.document.limits.order_retention_s);
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    let now_s = now.map_or(0, |now| now.as_secs());
    let record = serde_json::from_slice::<OrderRecord>(&object.value);
    if !record.is_ok_and(|record| is_expired(&record, now_s, retention)) {
        return Ok(());
    }
    state.metrics.count(MetricName::PlatformCalls);
    match state.store.delete(key, object.version).await {
        // A record that was changed in the meantime is checked again in the next pass.
        Ok(()) | Err(StoreError::Conflict { .. } | StoreError::NotFound { .. }) => Ok(()),
        Err(error) => Err(error),
    }
}
