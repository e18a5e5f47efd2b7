//! Crashes of upstreams, and content that is blocked because of them.

use std::{collections::HashMap, net::SocketAddr, sync::Arc, time::Duration};

use cornelarch_core::{
    base::{MonotonicTime, UpstreamName},
    blocklist::content::{
        BlockedContent, ContentKey, ContentOptions, ContentReport, ContentTable, CrashName,
    },
};
use parking_lot::Mutex;
use tokio::sync::{Notify, watch};

use crate::process::{
    GatewayState, PeerCommand, log_event,
    witness::{GATHER_TIME, UpstreamStatus, check_upstream},
};

/// Time from the first report of a crash until content is blocked, in which the reports of the
/// other instances arrive.
const SETTLE_TIME: Duration = Duration::from_millis(20);

/// A request that was lost in flight.
#[derive(Clone, Debug)]
pub(crate) struct LostRequest {
    pub(crate) upstream: UpstreamName,
    pub(crate) address: SocketAddr,
    /// Names the crash, if the upstream has crashed.
    pub(crate) crash: CrashName,
    pub(crate) content: Arc<[ContentKey]>,
}

/// Relates crashes of upstreams to the content of the requests that were in flight there.
pub(crate) struct CrashMonitor {
    table: Mutex<ContentTable>,
    /// Content that was lost at upstreams of which it is not known yet whether they have crashed.
    unconfirmed: Mutex<HashMap<CrashName, Vec<ContentKey>>>,
    /// Wakes the task that decides what is blocked.
    changed: Notify,
    /// Notifies whenever other content is blocked.
    decided: watch::Sender<()>,
}

impl CrashMonitor {
    pub(crate) fn new() -> Self {
        Self {
            table: Mutex::new(ContentTable::new(ContentOptions::default())),
            unconfirmed: Mutex::default(),
            changed: Notify::new(),
            decided: watch::Sender::new(()),
        }
    }

    /// Returns the blocked content of a request, if any.
    pub(crate) fn find_blocked(&self, content: &[ContentKey]) -> Option<BlockedContent> {
        self.table.lock().find_blocked(content).cloned()
    }

    /// Returns a receiver of notifications that other content is blocked.
    pub(crate) fn subscribe(&self) -> watch::Receiver<()> {
        self.decided.subscribe()
    }

    /// Waits until some content of a request is blocked.
    pub(crate) async fn wait_blocked(&self, content: &[ContentKey]) {
        let mut decided = self.subscribe();
        while self.find_blocked(content).is_none() {
            // The sender lives as long as the monitor.
            let _ = decided.changed().await;
        }
    }

    /// Returns whether a request that was lost must not be sent again.
    pub(crate) fn is_suspect(&self, content: &[ContentKey], now: MonotonicTime) -> bool {
        self.table.lock().is_suspect(content, now)
    }

    /// Returns what is known of the blocked content, for a peer that may not know of it.
    pub(crate) fn blocked_report(&self, now: MonotonicTime) -> ContentReport {
        self.table.lock().blocked_report(now)
    }

    /// Returns the number of pieces of blocked content.
    pub(crate) fn blocked_count(&self) -> usize {
        self.table.lock().blocked().count()
    }
}

impl GatewayState {
    /// Records an answer of an upstream to a request with this content.
    pub(crate) fn record_answer(&self, content: &[ContentKey]) {
        let now = self.now();
        self.update_content(|table| table.record_answer(content, now));
    }

    /// Merges a report of a peer.
    pub(crate) fn merge_content(&self, report: &ContentReport) {
        let now = self.now();
        self.update_content(|table| table.merge(report, now));
    }

    /// Forgets crashes that were long ago.
    pub(crate) fn expire_content(&self) {
        let now = self.now();
        self.update_content(|table| {
            table.expire(now);
            ContentReport::default()
        });
    }

    /// Decides what content is blocked.
    pub(crate) fn decide_blocked(&self) {
        let mut table = self.crashes.table.lock();
        let before: Vec<BlockedContent> = table.blocked().cloned().collect();
        table.evaluate(self.now());
        let after: Vec<BlockedContent> = table.blocked().cloned().collect();
        drop(table);
        if log_changes(&before, &after) {
            self.crashes.decided.send_replace(());
        }
    }

    /// Records the loss of a request. If the upstream has crashed, its content is charged with it.
    pub(crate) fn record_loss(self: &Arc<Self>, lost: LostRequest) {
        let mut unconfirmed = self.crashes.unconfirmed.lock();
        let keys = unconfirmed.entry(lost.crash.clone()).or_default();
        let is_first = keys.is_empty();
        for key in lost.content.iter() {
            if !keys.contains(key) {
                keys.push(*key);
            }
        }
        drop(unconfirmed);
        if is_first {
            tokio::spawn(confirm_crash(Arc::clone(self), lost));
        }
    }

    /// Changes the table and sends the resulting report to the peers.
    fn update_content(&self, change: impl FnOnce(&mut ContentTable) -> ContentReport) {
        let mut table = self.crashes.table.lock();
        let report = change(&mut table);
        let has_changed = table.has_changed();
        drop(table);
        if has_changed {
            self.crashes.changed.notify_one();
        }
        if !report.is_empty() {
            self.send_peer_command(PeerCommand::Broadcast(report));
        }
    }
}

/// Decides what content is blocked until the task is dropped.
pub(crate) async fn run_blocking(state: Arc<GatewayState>) {
    loop {
        state.crashes.changed.notified().await;
        tokio::time::sleep(SETTLE_TIME).await;
        state.decide_blocked();
    }
}

/// Logs what content was blocked or unblocked, and returns whether there was any.
fn log_changes(before: &[BlockedContent], after: &[BlockedContent]) -> bool {
    let has = |list: &[BlockedContent], content: &BlockedContent| {
        list.iter().any(|other| other.key == content.key)
    };
    let added: Vec<_> = after.iter().filter(|c| !has(before, c)).collect();
    let removed: Vec<_> = before.iter().filter(|c| !has(after, c)).collect();
    for content in &added {
        let (key, crashes) = (content.key, content.crashes);
        log_event!(
            ContentBlocked,
            "content={} rank={} crashes={crashes}",
            key.fingerprint,
            key.rank.bits()
        );
    }
    for content in &removed {
        log_event!(ContentUnblocked, "content={}", content.key.fingerprint);
    }
    !added.is_empty() || !removed.is_empty()
}

/// Checks whether a lost upstream has crashed, or has only lost an answer or a connection.
async fn confirm_crash(state: Arc<GatewayState>, lost: LostRequest) {
    // The other requests at the upstream notice the loss as well.
    tokio::time::sleep(GATHER_TIME).await;
    let status = check_upstream(lost.address).await;
    let content = state.crashes.unconfirmed.lock().remove(&lost.crash);
    let content = content.unwrap_or_default();
    let upstream = &lost.upstream;
    match status {
        UpstreamStatus::Ended => {
            log_event!(
                UpstreamCrashed,
                "upstream={upstream} content={}",
                content.len()
            );
            state.metrics.count_crash();
            let now = state.now();
            state.update_content(|table| table.record_crash(&lost.crash, &content, now));
        }
        UpstreamStatus::Unknown(error) => {
            log::debug!("unknown whether upstream {upstream} has crashed: {error}");
        }
        UpstreamStatus::Running => log::debug!("upstream {upstream} lost a request, but runs"),
    }
}
