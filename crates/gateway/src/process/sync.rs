//! Synchronisation of the configuration and of the upstreams with the platform.

use std::{
    collections::{BTreeSet, HashSet},
    sync::Arc,
    time::Duration,
};

use cornelarch_core::{
    base::UpstreamName,
    placement::{MissingUpstreams, UpstreamDeparture, UpstreamRecord},
};
use rand::Rng;
use tokio::time::{Instant, sleep, sleep_until, timeout};

use crate::{
    edge::{DirectoryEvent, DocumentChange, EdgeError, PlatformEdge, ReadAge, Versioned},
    process::{GatewayState, PeerCommand, PlatformCall, TimedStage, log_event},
};

/// Longest wait of one watch. A dead connection is detected after this time, which must stay well
/// below the time limit for activating a change.
pub(super) const WATCH_WAIT_MAX: Duration = Duration::from_millis(4_000);
/// Interval between reads of the configuration while versions are published in quick succession: a
/// tenth of the shortest time limit for activating a version.
const BURST_READ_PERIOD: Duration = Duration::from_millis(200);
/// Minimum interval between watches of the upstreams, so that one watch reports several changes
/// while many upstreams change. The delay is harmless: a leaving upstream keeps serving for some
/// seconds.
const DIRECTORY_WATCH_PERIOD: Duration = Duration::from_millis(700);
/// Initial delay after a failed call. It doubles up to [`RETRY_MAX`], with jitter.
const RETRY_MIN: Duration = Duration::from_millis(50);
/// Longest delay after a failed call.
const RETRY_MAX: Duration = Duration::from_millis(1_000);
/// Time after a platform outage in which missing upstreams are still used: live upstreams whose
/// entries expired during the outage register again within two seconds.
const RECOVERY_GRACE: Duration = Duration::from_millis(2_000);
/// Longest time after a failure for which the directory task waits for the configuration to be read
/// again. The configuration task probes the platform for both, because calls are rate limited.
pub(super) const PROBE_WAIT_MAX: Duration = Duration::from_secs(1);
/// Shortest time without a response that counts as an outage in which entries may have expired. An
/// interrupted watch is retried sooner.
const OUTAGE_MIN: Duration = Duration::from_millis(300);
/// Time for which the own watch may still report a newer configuration that a peer has announced,
/// or peers may deliver it.
const PEER_VERSION_GRACE: Duration = Duration::from_millis(800);
/// Consecutive failures after which a dependency counts as lost.
const LOST_FAILURE_COUNT: u32 = 2;

/// Tracks, across all calls to the platform, whether upstreams may be missing from the directory
/// because of an outage.
#[derive(Debug, Default)]
pub(crate) struct PlatformOutage {
    /// Dependencies whose last call failed.
    failing: BTreeSet<&'static str>,
    recovered_at: Option<Instant>,
}

impl PlatformOutage {
    /// Returns the end of the last outage.
    pub(super) const fn recovered_at(&self) -> Option<Instant> {
        self.recovered_at
    }

    /// Returns the time at which expired entries count as removed, if the platform is unavailable
    /// or has recently recovered.
    fn grace_end(&self) -> Option<Instant> {
        let now = Instant::now();
        match self.failing.is_empty() {
            true => Some(self.recovered_at? + RECOVERY_GRACE).filter(|end| now < *end),
            false => Some(now + RECOVERY_GRACE),
        }
    }
}

/// Backs off from a failing dependency, and logs its loss and recovery.
pub(super) struct DependencyMonitor {
    name: &'static str,
    failures: u32,
    wait: Duration,
    failed_at: Option<Instant>,
    lost_since: Option<Instant>,
    state: Arc<GatewayState>,
}

impl DependencyMonitor {
    pub(super) const fn new(name: &'static str, state: Arc<GatewayState>) -> Self {
        Self {
            name,
            failures: 0,
            wait: RETRY_MIN,
            failed_at: None,
            lost_since: None,
            state,
        }
    }

    pub(super) fn record_success(&mut self) {
        self.failures = 0;
        self.wait = RETRY_MIN;
        if let Some(at) = self.failed_at.take() {
            let mut outage = self.state.outage.lock();
            outage.failing.remove(self.name);
            if at.elapsed() >= OUTAGE_MIN {
                outage.recovered_at = Some(Instant::now());
            }
        }
        if let Some(since) = self.lost_since.take() {
            let ms = since.elapsed().as_millis();
            log_event!(DependencyRestored, "name={} lost_ms={ms}", self.name);
        }
    }

    pub(super) async fn record_failure(&mut self, error: &EdgeError) {
        self.failures += 1;
        self.failed_at.get_or_insert_with(Instant::now);
        self.state.outage.lock().failing.insert(self.name);
        if self.failures >= LOST_FAILURE_COUNT && self.lost_since.is_none() {
            self.lost_since = Some(Instant::now());
            log_event!(DependencyLost, "name={} error={error}", self.name);
        }
        let jitter = rand::rng().random_range(0.5..1.0);
        tokio::time::sleep(self.wait.mul_f64(jitter)).await;
        self.wait = (self.wait * 2).min(RETRY_MAX);
    }
}

/// Keeps the configuration in sync with the platform until the task is dropped.
pub(crate) async fn sync_document<P: PlatformEdge>(state: Arc<GatewayState>, edge: Arc<P>) {
    let mut monitor = DependencyMonitor::new("configuration", Arc::clone(&state));
    let mut revision = None;
    let mut freshness = ListFreshness::default();
    let mut is_burst = false;
    loop {
        let began = Instant::now();
        let result = match revision {
            None => read_document_change(&*edge, freshness.next_read_age(&state)).await,
            Some(revision) => {
                let age = routine_read_age(&state);
                tokio::select! {
                result = edge.watch_document(revision, WATCH_WAIT_MAX, age) => result,
                () = wait_for_newer_version(&state) => {
                read_document_change(&*edge, ReadAge::Latest).await
                }
                }
            }
        };
        state.metrics.count_call(PlatformCall::Document, &result);
        if revision.is_none() {
            state
                .metrics
                .observe(TimedStage::DocumentRead, began.elapsed());
        }
        match result {
            Ok(change) => {
                monitor.record_success();
                if !freshness.accept(change.revision) {
                    revision = None;
                    continue;
                }
                let is_read = revision.is_none();
                let source = if is_read { "list" } else { "watch" };
                revision = Some(change.revision);
                let DocumentChange {
                    document,
                    superseded,
                } = change.value;
                let has_changed =
                    document.is_some_and(|document| state.activate_document(document, source));
                state.confirm_document();
                // A watch transfers every version. While versions are published faster than that,
                // only the newest is read, until a read finds no newer one.
                is_burst = superseded > 0 || is_burst && is_read && has_changed;
                if is_burst {
                    revision = None;
                    tokio::time::sleep(BURST_READ_PERIOD).await;
                }
            }
            Err(EdgeError::HistoryGone) => {
                freshness.require_latest();
                revision = None;
            }
            Err(error) => {
                monitor.record_failure(&error).await;
                // A watch from a revision whose history has been dropped may hang until its wait
                // ends, which would delay recent changes. A list returns them at once.
                revision = None;
            }
        }
    }
}

/// Decides how recent the next list must be. A list may be stale as long as it is not older than
/// the newest revision seen, because it is followed by a watch from its own revision.
#[derive(Debug, Default)]
struct ListFreshness {
    /// Newest revision seen; `None` until a list was read.
    newest_seen: Option<u64>,
    must_be_latest: bool,
}

impl ListFreshness {
    fn next_read_age(&self, state: &GatewayState) -> ReadAge {
        match (self.must_be_latest, self.newest_seen) {
            (true, _) => ReadAge::Latest,
            (false, None) => ReadAge::Any,
            (false, Some(_)) => routine_read_age(state),
        }
    }

    /// Requires the latest state, because the history after an older one has been dropped.
    const fn require_latest(&mut self) {
        self.must_be_latest = true;
    }

    /// Returns whether a result may be used. An outdated one is followed by a list of the latest
    /// state.
    fn accept(&mut self, revision: u64) -> bool {
        let is_accepted = self.must_be_latest || Some(revision) >= self.newest_seen;
        self.must_be_latest = !is_accepted;
        if is_accepted {
            self.newest_seen = Some(revision);
        }
        is_accepted
    }

    /// Records the revision of a watch.
    fn observe(&mut self, revision: u64) {
        self.newest_seen = self.newest_seen.max(Some(revision));
    }
}

/// Returns how recent the next routine read must be. In a domain of many instances only a few read
/// the latest state; the others learn of newer configurations from them.
fn routine_read_age(state: &GatewayState) -> ReadAge {
    match state.reads_latest() {
        true => ReadAge::Latest,
        false => ReadAge::Any,
    }
}

/// Waits until a peer has announced a newer configuration that the own watch has not reported in
/// time.
async fn wait_for_newer_version(state: &GatewayState) {
    let mut peer_version = state.peer_version.subscribe();
    loop {
        let version = *peer_version.borrow_and_update();
        if version > state.version() {
            sleep(PEER_VERSION_GRACE).await;
            if version > state.version() {
                // The next message of a peer sets the version again if the read does not find it.
                state.peer_version.send_replace(0);
                return;
            }
            continue;
        }
        if peer_version.changed().await.is_err() {
            std::future::pending::<()>().await;
        }
    }
}

/// Reads the configuration, in the form in which a watch returns it.
async fn read_document_change<P: PlatformEdge>(
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

/// Keeps the upstreams in sync with the platform until the task is dropped.
pub(crate) async fn sync_directory<P: PlatformEdge>(state: Arc<GatewayState>, edge: Arc<P>) {
    let mut monitor = DependencyMonitor::new("directory", Arc::clone(&state));
    let mut revision = None;
    let mut freshness = ListFreshness::default();
    let mut lapsed: HashSet<UpstreamName> = HashSet::new();
    let mut confirmed = state.confirmed.subscribe();
    loop {
        let began = Instant::now();
        let grace_end = state.outage.lock().grace_end();
        if grace_end.is_none() {
            lapsed
                .drain()
                .for_each(|name| remove_upstream(&state, &name));
        }
        let grace_end = grace_end.filter(|_| !lapsed.is_empty());
        let wait = grace_end.map_or(WATCH_WAIT_MAX, |end| end - Instant::now());
        let result = match revision {
            None => {
                let age = freshness.next_read_age(&state);
                let listed = edge.read_directory(age).await;
                listed.map(|list| {
                    let revision = list.revision;
                    let is_accepted = freshness.accept(revision);
                    if is_accepted {
                        let read = DirectoryRead { revision, age };
                        apply_list(&state, read, list.value, &mut lapsed);
                    }
                    is_accepted.then_some(revision)
                })
            }
            Some(revision) => {
                let age = routine_read_age(&state);
                let watched = edge.watch_directory(revision, wait, age).await;
                watched.map(|change| {
                    let revision = change.revision;
                    let read = DirectoryRead { revision, age };
                    apply_events(&state, read, change.value, &mut lapsed);
                    freshness.observe(revision);
                    Some(revision)
                })
            }
        };
        state.metrics.count_call(PlatformCall::Directory, &result);
        match result {
            Ok(None) => {
                monitor.record_success();
                revision = None;
            }
            Ok(Some(new)) => {
                monitor.record_success();
                state.confirm_directory(new);
                revision = Some(new);
                let pause = began + DIRECTORY_WATCH_PERIOD;
                let grace_end = state.outage.lock().grace_end();
                match grace_end.filter(|end| !lapsed.is_empty() && *end < pause) {
                    Some(end) => sleep_until(end).await,
                    None if grace_end.is_none() && !lapsed.is_empty() => {}
                    None => sleep_until(pause).await,
                }
            }
            Err(EdgeError::HistoryGone) => {
                freshness.require_latest();
                revision = None;
            }
            Err(error) => {
                monitor.record_failure(&error).await;
                // Only the time-out can fail, because the sender lives as long as the state.
                let _ = timeout(PROBE_WAIT_MAX, confirmed.changed()).await;
                // A watch from a revision whose history has been dropped may hang until its wait
                // ends, which would delay recent changes. A list returns them at once.
                revision = None;
            }
        }
    }
}

/// A read of the directory.
#[derive(Clone, Copy, Debug)]
struct DirectoryRead {
    /// Revision of the directory that was returned.
    revision: u64,
    /// How recent the read had to be.
    age: ReadAge,
}

impl DirectoryRead {
    /// Tells the peers of the domain, whose reads may be older, which upstreams have left.
    fn report_departures(self, state: &GatewayState, upstreams: Vec<UpstreamName>) {
        if self.age == ReadAge::Any || upstreams.is_empty() {
            return;
        }
        let revision = self.revision;
        let departures = upstreams
            .into_iter()
            .map(|upstream| UpstreamDeparture { upstream, revision });
        state.send_peer_command(PeerCommand::ReportDepartures(departures.collect()));
    }
}

fn apply_list(
    state: &GatewayState,
    read: DirectoryRead,
    records: Vec<UpstreamRecord>,
    lapsed: &mut HashSet<UpstreamName>,
) {
    let (missing, is_first) = {
        let placement = state.placement.lock();
        let missing = MissingUpstreams::classify(placement.records(), &records);
        (missing, placement.records().next().is_none())
    };
    log_event!(
        DirectoryRead,
        "upstreams={} gone={} lapsed={} revision={} read={:?}",
        records.len(),
        missing.gone.len(),
        missing.lapsed.len(),
        read.revision,
        read.age
    );
    let leaving = records.iter().filter(|record| record.is_leaving);
    let leaving = leaving.map(|record| record.name.clone());
    let departed = leaving.chain(missing.gone.iter().cloned()).collect();
    read.report_departures(state, departed);
    for record in records {
        lapsed.remove(&record.name);
        // For the first list, the event above covers all upstreams.
        if !is_first {
            log_change(state, read, &record);
        }
        add_upstream(state, record);
    }
    for name in missing.gone {
        lapsed.remove(&name);
        remove_upstream(state, &name);
    }
    lapsed.extend(missing.lapsed);
}

fn apply_events(
    state: &GatewayState,
    read: DirectoryRead,
    events: Vec<DirectoryEvent>,
    lapsed: &mut HashSet<UpstreamName>,
) {
    read.report_departures(state, find_departed(&events));
    for event in events {
        match event {
            DirectoryEvent::Listed(record) => {
                lapsed.remove(&record.name);
                log_change(state, read, &record);
                add_upstream(state, record);
            }
            // The entry was still in the list after the outage, so it was removed, not expired.
            DirectoryEvent::Unlisted(name) => {
                lapsed.remove(&name);
                remove_upstream(state, &name);
            }
        }
    }
}

/// Returns the upstreams that have left after the last of these events.
fn find_departed(events: &[DirectoryEvent]) -> Vec<UpstreamName> {
    let mut departed = BTreeSet::new();
    for event in events {
        match event {
            DirectoryEvent::Listed(record) if !record.is_leaving => {
                departed.remove(&record.name);
            }
            DirectoryEvent::Listed(UpstreamRecord { name, .. })
            | DirectoryEvent::Unlisted(name) => {
                departed.insert(name.clone());
            }
        }
    }
    departed.into_iter().collect()
}

/// Logs an upstream record that differs from the known one.
fn log_change(state: &GatewayState, read: DirectoryRead, record: &UpstreamRecord) {
    if state.placement.lock().find(&record.name) == Some(record) {
        return;
    }
    log_event!(
        UpstreamChanged,
        "upstream={} service={} address={} leaving={} revision={} read={:?}",
        record.name,
        record.service,
        record.address,
        record.is_leaving,
        read.revision,
        read.age
    );
}

fn add_upstream(state: &GatewayState, record: UpstreamRecord) {
    if record.is_leaving {
        state.pool.close_idle(&record.name);
    }
    let name = record.name.clone();
    let mut placement = state.placement.lock();
    let incarnation = placement.find(&name).map(UpstreamRecord::incarnation);
    let has_started = state.has_directory() && incarnation != Some(record.incarnation());
    placement.apply(record);
    let is_cold = placement.update_cold(&name, has_started, state.now());
    drop(placement);
    if is_cold {
        log_event!(UpstreamCold, "upstream={name}");
    }
}

fn remove_upstream(state: &GatewayState, name: &UpstreamName) {
    log_event!(UpstreamChanged, "upstream={name} removed");
    state.pool.close_idle(name);
    state.placement.lock().remove(name);
}
