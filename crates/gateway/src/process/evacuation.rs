//! Evacuations of failure domains: synchronisation with the platform and state of this instance.

use std::sync::Arc;

use cornelarch_core::placement::EvacuationState;
use tokio::time::{Duration, Instant, sleep, timeout};

use crate::{
    edge::{PlatformEdge, ReadAge},
    process::{
        GatewayState, PeerCommand, PlatformCall, log_event,
        sync::{DependencyMonitor, PROBE_WAIT_MAX, WATCH_WAIT_MAX},
    },
};

/// Interval at which an instance that does not watch the evacuations checks whether it has to read
/// them.
const CHECK_PERIOD: Duration = Duration::from_millis(200);

/// Keeps the evacuated domains in sync with the platform until the task is dropped. The instances
/// that read the latest state watch them and tell all others, which read them at their start and after
/// an outage.
pub(crate) async fn sync_evacuations<P: PlatformEdge>(state: Arc<GatewayState>, edge: Arc<P>) {
    if !state.settings.has_evacuations {
        state.confirm_evacuations();
        return std::future::pending().await;
    }
    let mut monitor = DependencyMonitor::new("evacuations", Arc::clone(&state));
    let mut confirmed = state.confirmed.subscribe();
    let mut known: Option<EvacuationState> = None;
    loop {
        let recovered_at = state.outage.lock().recovered_at();
        let result = match &known {
            Some(_) if !state.reads_latest() => {
                wait_until_due(&state, recovered_at).await;
                known = None;
                continue;
            }
            None => edge.read_evacuations(ReadAge::Latest).await,
            Some(known) => {
                let watch = edge.watch_evacuations(known.revision, WATCH_WAIT_MAX, ReadAge::Latest);
                watch
                    .await
                    .map(|change| known.advance(change.revision, &change.value))
            }
        };
        state.metrics.count_call(PlatformCall::Evacuations, &result);
        match result {
            Ok(read) => {
                monitor.record_success();
                if state.merge_evacuations(&read, "store") {
                    state.send_peer_command(PeerCommand::ReportEvacuations);
                }
                state.confirm_evacuations();
                known = Some(read);
            }
            Err(error) => {
                monitor.record_failure(&error).await;
                // Only the time-out can fail, because the sender lives as long as the state.
                let _ = timeout(PROBE_WAIT_MAX, confirmed.changed()).await;
                // The history since the last read may have been dropped.
                known = None;
            }
        }
    }
}

/// Waits until this instance has become one that watches, or an outage has ended after
/// `recovered_at`.
async fn wait_until_due(state: &GatewayState, recovered_at: Option<Instant>) {
    while !state.reads_latest() && state.outage.lock().recovered_at() == recovered_at {
        sleep(CHECK_PERIOD).await;
    }
}

impl GatewayState {
    /// Takes over the evacuated domains unless the known state is as new. Returns whether a domain has
    /// become evacuated or ceased to be.
    pub(crate) fn merge_evacuations(&self, state: &EvacuationState, source: &str) -> bool {
        if !self.settings.has_evacuations {
            return false;
        }
        let (change, upstreams) = {
            let mut placement = self.placement.lock();
            let change = placement.merge_evacuations(state, self.now());
            let upstreams = placement.upstreams_in(&change.begun);
            (change, upstreams)
        };
        for upstream in &upstreams {
            self.pool.close_idle(upstream);
        }
        let revision = state.revision;
        for domain in &change.begun {
            log_event!(
                EvacuationChanged,
                "domain={domain} evacuated=true revision={revision} source={source}"
            );
        }
        for domain in &change.ended {
            log_event!(
                EvacuationChanged,
                "domain={domain} evacuated=false revision={revision} source={source}"
            );
        }
        self.report_evacuated_services();
        !change.is_empty()
    }

    /// Logs the services that have no upstream left because of an evacuation, once each time.
    pub(crate) fn report_evacuated_services(&self) {
        let services = self.placement.lock().evacuated_services();
        let mut reported = self.evacuated_services.lock();
        for service in services.difference(&reported) {
            log_event!(ServiceEvacuated, "service={service}");
        }
        *reported = services;
    }
}
