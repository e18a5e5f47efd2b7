//! Following the configuration and the upstreams of the platform.

use std::{
    collections::{BTreeSet, HashSet},
    sync::Arc,
    time::Duration,
};

use cornelarch_core::{
    base::UpstreamName,
    placement::{MissingUpstreams, UpstreamRecord},
};
use rand::Rng;
use tokio::time::{Instant, sleep, sleep_until, timeout};

use crate::{
    edge::{DirectoryEvent, DocumentChange, EdgeError, PlatformEdge, ReadAge, Versioned},
    process::{GatewayState, PlatformCall, log_event},
};

/// Longest wait of one watch. A connection that went silent is noticed after this time, which must
/// stay well below the time within which a change has to be in force.
const WATCH_WAIT: Duration = Duration::from_millis(4_000);
/// Time between two reads of the configuration while versions come in quick succession. A tenth of
/// the shortest time within which a version has to be in force.
const STORM_PERIOD: Duration = Duration::from_millis(200);
/// Least time between two watches of the upstreams. While many of them change, each watch then
/// reports several changes; an upstream that leaves serves for seconds more.
const DIRECTORY_PERIOD: Duration = Duration::from_millis(700);
/// First wait after a failed call; doubles up to [`RETRY_MAX`], with jitter.
const RETRY_MIN: Duration = Duration::from_millis(50);
/// Longest wait after a failed call.
const RETRY_MAX: Duration = Duration::from_millis(1_000);
/// Time after the return of the platform in which missing upstreams are still used: live ones whose
/// entries lapsed during an outage register again within two seconds.
const RETURN_GRACE: Duration = Duration::from_millis(2_000);
/// Longest wait of the directory for the configuration to be read again after a failure. One of
/// them probes the platform for both, because each call counts.
const PROBE_WAIT: Duration = Duration::from_secs(1);
/// Shortest time without an answer that counts as an outage, in which entries may have lapsed. A
/// watch that is cut is repeated sooner.
const OUTAGE_MIN: Duration = Duration::from_millis(300);
/// Time after the news of a newer configuration in which the own watch may still report it.
const OUTDATED_GRACE: Duration = Duration::from_millis(300);
/// Failures in a row after which a dependency counts as lost.
const LOST_FAILURES: u32 = 2;

/// Tells whether upstreams may be missing from the directory because of an outage, from all calls to
/// the platform.
#[derive(Debug, Default)]
pub(crate) struct PlatformOutage {
    /// The dependencies whose last call failed.
    failing: BTreeSet<&'static str>,
    returned_at: Option<Instant>,
}

impl PlatformOutage {
    /// Returns when lapsed entries count as gone, if the platform is away or returned a short time
    /// ago.
    fn grace_end(&self) -> Option<Instant> {
        let now = Instant::now();
        match self.failing.is_empty() {
            true => Some(self.returned_at? + RETURN_GRACE).filter(|end| now < *end),
            false => Some(now + RETURN_GRACE),
        }
    }
}

/// Paces calls to a dependency that fails, and logs its loss and return.
struct DependencyTrack {
    name: &'static str,
    failures: u32,
    wait: Duration,
    failed_at: Option<Instant>,
    lost_since: Option<Instant>,
    state: Arc<GatewayState>,
}

impl DependencyTrack {
    const fn new(name: &'static str, state: Arc<GatewayState>) -> Self {
        Self {
            name,
            failures: 0,
            wait: RETRY_MIN,
            failed_at: None,
            lost_since: None,
            state,
        }
    }

    fn record_success(&mut self) {
        self.failures = 0;
        self.wait = RETRY_MIN;
        if let Some(at) = self.failed_at.take() {
            let mut outage = self.state.outage.lock();
            outage.failing.remove(self.name);
            if at.elapsed() >= OUTAGE_MIN {
                outage.returned_at = Some(Instant::now());
            }
        }
        if let Some(since) = self.lost_since.take() {
            let ms = since.elapsed().as_millis();
            log_event!(DependencyRestored, "name={} lost_ms={ms}", self.name);
        }
    }

    async fn record_failure(&mut self, error: &EdgeError) {
        self.failures += 1;
        self.failed_at.get_or_insert_with(Instant::now);
        self.state.outage.lock().failing.insert(self.name);
        if self.failures >= LOST_FAILURES && self.lost_since.is_none() {
            self.lost_since = Some(Instant::now());
            log_event!(DependencyLost, "name={} error={error}", self.name);
        }
        let jitter = rand::rng().random_range(0.5..1.0);
        tokio::time::sleep(self.wait.mul_f64(jitter)).await;
        self.wait = (self.wait * 2).min(RETRY_MAX);
    }
}

/// Follows the configuration until the task is dropped.
pub(crate) async fn sync_document<P: PlatformEdge>(state: Arc<GatewayState>, edge: Arc<P>) {
    let mut track = DependencyTrack::new("configuration", Arc::clone(&state));
    let mut revision = None;
    let mut lists = ListAge::default();
    let mut is_storm = false;
    loop {
        let result = match revision {
            None => read_newest(&*edge, lists.next_age(&state)).await,
            Some(revision) => {
                let age = routine_age(&state);
                tokio::select! {
                    result = edge.watch_document(revision, WATCH_WAIT, age) => result,
                    () = wait_outdated(&state) => read_newest(&*edge, ReadAge::Latest).await,
                }
            }
        };
        state.metrics.count_call(PlatformCall::Document, &result);
        match result {
            Ok(change) => {
                track.record_success();
                if !lists.accept(change.revision) {
                    revision = None;
                    continue;
                }
                let is_read = revision.is_none();
                revision = Some(change.revision);
                let DocumentChange {
                    document,
                    superseded,
                } = change.value;
                let has_changed =
                    document.is_some_and(|document| state.activate_document(document));
                state.confirm_document();
                // A watch transfers every version. While they come faster than that, only the
                // newest is read, until a read finds no newer one.
                is_storm = superseded > 0 || is_storm && is_read && has_changed;
                if is_storm {
                    revision = None;
                    tokio::time::sleep(STORM_PERIOD).await;
                }
            }
            Err(EdgeError::HistoryGone) => {
                lists.demand_latest();
                revision = None;
            }
            Err(error) => {
                track.record_failure(&error).await;
                // A watch from a revision whose history was dropped meanwhile may hang until its
                // wait ends, so that changes of the last seconds would be noticed late.
                revision = None;
            }
        }
    }
}

/// Decides how new the next list has to be. A list may be old as long as it does not go back behind
/// what is known; a watch from its revision follows at once.
#[derive(Debug, Default)]
struct ListAge {
    /// The newest revision that was seen; `None` until a list was read.
    known: Option<u64>,
    is_latest: bool,
}

impl ListAge {
    fn next_age(&self, state: &GatewayState) -> ReadAge {
        match (self.is_latest, self.known) {
            (true, _) => ReadAge::Latest,
            (false, None) => ReadAge::Any,
            (false, Some(_)) => routine_age(state),
        }
    }

    /// Demands the latest state, because the history of an older one is gone.
    const fn demand_latest(&mut self) {
        self.is_latest = true;
    }

    /// Returns whether a result may be used. An outdated one is followed by a list of the latest state.
    fn accept(&mut self, revision: u64) -> bool {
        let is_accepted = self.is_latest || Some(revision) >= self.known;
        self.is_latest = !is_accepted;
        if is_accepted {
            self.known = Some(revision);
        }
        is_accepted
    }

    /// Records the revision of a watch.
    fn see(&mut self, revision: u64) {
        self.known = self.known.max(Some(revision));
    }
}

/// Returns how new the next routine read has to be. In a domain of many instances only a few read the
/// latest state, and the others hear of newer configurations from them.
fn routine_age(state: &GatewayState) -> ReadAge {
    match state.reads_latest() {
        true => ReadAge::Latest,
        false => ReadAge::Any,
    }
}

/// Waits until a peer has had a newer configuration in force for longer than the own watch takes.
async fn wait_outdated(state: &GatewayState) {
    let mut told = state.peer_version.subscribe();
    loop {
        let version = *told.borrow_and_update();
        if version > state.version() {
            sleep(OUTDATED_GRACE).await;
            if version > state.version() {
                // Told again by the next message if the read does not find it.
                state.peer_version.send_replace(0);
                return;
            }
            continue;
        }
        if told.changed().await.is_err() {
            std::future::pending::<()>().await;
        }
    }
}

/// Reads the newest configuration.
async fn read_newest<P: PlatformEdge>(
    edge: &P,
    age: ReadAge,
) -> Result<Versioned<DocumentChange>, EdgeError> {
    let read = edge.read_document(age).await?;
    Ok(Versioned {
        revision: read.revision,
        value: DocumentChange {
            document: read.value,
            superseded: 0,
        },
    })
}

/// Follows the upstreams until the task is dropped.
pub(crate) async fn sync_directory<P: PlatformEdge>(state: Arc<GatewayState>, edge: Arc<P>) {
    let mut track = DependencyTrack::new("directory", Arc::clone(&state));
    let mut revision = None;
    let mut lists = ListAge::default();
    let mut lapsed: HashSet<UpstreamName> = HashSet::new();
    let mut confirmed = state.confirmed.subscribe();
    loop {
        let began = Instant::now();
        let grace_end = state.outage.lock().grace_end();
        if grace_end.is_none() {
            lapsed.drain().for_each(|name| remove(&state, &name));
        }
        let grace_end = grace_end.filter(|_| !lapsed.is_empty());
        let wait = grace_end.map_or(WATCH_WAIT, |end| end - Instant::now());
        let result = match revision {
            None => {
                let age = lists.next_age(&state);
                let listed = edge.read_directory(age).await;
                listed.map(|list| {
                    let is_accepted = lists.accept(list.revision);
                    if is_accepted {
                        apply_list(&state, list.value, &mut lapsed);
                    }
                    is_accepted.then_some(list.revision)
                })
            }
            Some(revision) => {
                let age = routine_age(&state);
                let watched = edge.watch_directory(revision, wait, age).await;
                watched.map(|change| {
                    apply_events(&state, change.value, &mut lapsed);
                    lists.see(change.revision);
                    Some(change.revision)
                })
            }
        };
        state.metrics.count_call(PlatformCall::Directory, &result);
        match result {
            Ok(None) => {
                track.record_success();
                revision = None;
            }
            Ok(Some(new)) => {
                track.record_success();
                state.confirm_directory();
                revision = Some(new);
                let pause = began + DIRECTORY_PERIOD;
                let grace_end = state.outage.lock().grace_end();
                match grace_end.filter(|end| !lapsed.is_empty() && *end < pause) {
                    Some(end) => sleep_until(end).await,
                    None if grace_end.is_none() && !lapsed.is_empty() => {}
                    None => sleep_until(pause).await,
                }
            }
            Err(EdgeError::HistoryGone) => {
                lists.demand_latest();
                revision = None;
            }
            Err(error) => {
                track.record_failure(&error).await;
                // A watch from a revision whose history was dropped meanwhile may hang until its
                // wait ends, so that changes of the last seconds would be noticed late.
                // The sender lives as long as the state.
                let _ = timeout(PROBE_WAIT, confirmed.changed()).await;
                revision = None;
            }
        }
    }
}

fn apply_list(
    state: &GatewayState,
    records: Vec<UpstreamRecord>,
    lapsed: &mut HashSet<UpstreamName>,
) {
    let (missing, is_first) = {
        let placement = state.placement.lock();
        let missing = MissingUpstreams::sort(placement.records(), &records);
        (missing, placement.records().next().is_none())
    };
    log_event!(
        DirectoryRead,
        "upstreams={} gone={} lapsed={}",
        records.len(),
        missing.gone.len(),
        missing.lapsed.len()
    );
    for record in records {
        lapsed.remove(&record.name);
        // The line above stands for all upstreams of a first list.
        if !is_first {
            log_change(state, &record);
        }
        add(state, record);
    }
    for name in missing.gone {
        lapsed.remove(&name);
        remove(state, &name);
    }
    lapsed.extend(missing.lapsed);
}

fn apply_events(
    state: &GatewayState,
    events: Vec<DirectoryEvent>,
    lapsed: &mut HashSet<UpstreamName>,
) {
    for event in events {
        match event {
            DirectoryEvent::Listed(record) => {
                lapsed.remove(&record.name);
                log_change(state, &record);
                add(state, record);
            }
            // The list after the outage still had the entry, so that it did not lapse in it.
            DirectoryEvent::Unlisted(name) => {
                lapsed.remove(&name);
                remove(state, &name);
            }
        }
    }
}

/// Logs a record that differs from the known one.
fn log_change(state: &GatewayState, record: &UpstreamRecord) {
    if state.placement.lock().find(&record.name) == Some(record) {
        return;
    }
    log_event!(
        UpstreamChanged,
        "upstream={} service={} address={} leaving={}",
        record.name,
        record.service,
        record.address,
        record.is_leaving
    );
}

fn add(state: &GatewayState, record: UpstreamRecord) {
    if record.is_leaving {
        state.pool.forget(&record.name);
    }
    state.placement.lock().apply(record);
}

fn remove(state: &GatewayState, name: &UpstreamName) {
    log_event!(UpstreamChanged, "upstream={name} removed");
    state.pool.forget(name);
    state.placement.lock().remove(name);
}
