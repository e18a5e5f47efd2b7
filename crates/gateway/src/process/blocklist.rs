//! Copy of the blocked content at the platform, for instances that start when no other knows it.

use std::{
    collections::BTreeSet,
    sync::Arc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use bytes::Bytes;
use cornelarch_core::blocklist::{Fingerprint, content::ContentReport};
use rand::Rng;
use serde::{Deserialize, Serialize};
use tokio::time::sleep;

use crate::{
    edge::{EdgeError, PlatformEdge, ReadAge, StoredObject},
    process::{GatewayState, PlatformCall, log_event},
};

/// Initial delay after a failed call. It doubles up to [`RETRY_MAX`], with jitter.
const RETRY_MIN: Duration = Duration::from_millis(50);
/// Longest delay after a failed call.
const RETRY_MAX: Duration = Duration::from_secs(1);
/// Time for which an instance leaves the write to the one before it in the order of writers.
const WRITER_DELAY: Duration = Duration::from_secs(1);
/// Maximum number of stored crashes, which take about 150 kB.
const STORED_LOSSES_MAX: usize = 1_024;

/// The blocked content as it is stored.
#[derive(Debug, Default, Serialize, Deserialize)]
struct StoredBlocklist {
    /// Unix time of the write in milliseconds, from which the ages count.
    written_unix_ms: u64,
    report: ContentReport,
}

impl StoredBlocklist {
    fn new(mut report: ContentReport) -> Self {
        report.losses.truncate(STORED_LOSSES_MAX);
        Self {
            written_unix_ms: unix_ms(),
            report,
        }
    }

    fn decode(object: &StoredObject) -> Result<Self, serde_json::Error> {
        match object.revision {
            0 => Ok(Self::default()),
            _ => serde_json::from_slice(&object.value),
        }
    }

    fn fingerprints(&self) -> BTreeSet<Fingerprint> {
        let losses = self.report.losses.iter();
        losses.map(|loss| loss.key.fingerprint).collect()
    }

    /// Returns the report with the ages as of now.
    fn into_report(self) -> ContentReport {
        let elapsed = unix_ms().saturating_sub(self.written_unix_ms);
        let mut report = self.report;
        for loss in &mut report.losses {
            loss.age += Duration::from_millis(elapsed);
        }
        report
    }
}

/// Returns the time of day. An error of seconds only makes a block longer or shorter by as much.
fn unix_ms() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    elapsed.map_or(0, |elapsed| {
        u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
    })
}

fn object_name(state: &GatewayState) -> String {
    format!("{}-blocked", state.settings.environment)
}

/// Loads the blocked content and stores it whenever it changes, until the task is dropped.
pub(crate) async fn sync_blocklist<P: PlatformEdge>(state: Arc<GatewayState>, edge: Arc<P>) {
    let mut decided = state.crashes.subscribe();
    let mut retry = RetryDelay::default();
    while let Err(error) = load(&state, &*edge).await {
        log::debug!("blocked content cannot be read: {error}");
        // The instance serves without it, since its peers may know it as well.
        state.confirm_blocklist();
        retry.wait().await;
    }
    state.confirm_blocklist();
    while decided.changed().await.is_ok() {
        // The first of the chosen instances writes; the others only find that it has.
        let Some(place) = state.writer_place() else {
            continue;
        };
        sleep(WRITER_DELAY * place).await;
        let mut retry = RetryDelay::default();
        while let Err(error) = store(&state, &*edge).await {
            log::debug!("blocked content cannot be stored: {error}");
            retry.wait().await;
        }
    }
}

/// Delay before a failed call is repeated.
struct RetryDelay(Duration);

impl Default for RetryDelay {
    fn default() -> Self {
        Self(RETRY_MIN)
    }
}

impl RetryDelay {
    async fn wait(&mut self) {
        let jitter = rand::rng().random_range(0.5..1.0);
        sleep(self.0.mul_f64(jitter)).await;
        self.0 = (self.0 * 2).min(RETRY_MAX);
    }
}

async fn read<P: PlatformEdge>(
    state: &GatewayState,
    edge: &P,
    age: ReadAge,
) -> Result<(u64, StoredBlocklist), EdgeError> {
    let name = object_name(state);
    let result = edge.read_object(&name, age).await;
    let call = PlatformCall::BlocklistRead;
    state.metrics.count_call(call, &result);
    let object = result?;
    let stored = StoredBlocklist::decode(&object).unwrap_or_else(|error| {
        log_event!(ObjectRejected, "object={name} error={error}");
        StoredBlocklist::default()
    });
    Ok((object.revision, stored))
}

async fn load<P: PlatformEdge>(state: &GatewayState, edge: &P) -> Result<(), EdgeError> {
    let (_, stored) = read(state, edge, ReadAge::Any).await?;
    state.merge_content(&stored.into_report());
    state.decide_blocked();
    Ok(())
}

/// Stores the blocked content unless the stored copy has the same.
async fn store<P: PlatformEdge>(state: &GatewayState, edge: &P) -> Result<(), EdgeError> {
    let (revision, stored) = read(state, edge, ReadAge::Latest).await?;
    let current = StoredBlocklist::new(state.crashes.blocked_report(state.now()));
    if current.fingerprints() == stored.fingerprints() {
        return Ok(());
    }
    let value = serde_json::to_vec(&current).map_err(|error| EdgeError::Unusable {
        reason: error.to_string(),
    })?;
    let name = object_name(state);
    let result = edge.write_object(&name, revision, Bytes::from(value)).await;
    let call = PlatformCall::BlocklistWrite;
    state.metrics.count_call(call, &result);
    result.map(|_| ())
}
