//! Handle of one attempt at an upstream.

use std::{net::SocketAddr, sync::Arc};

use cornelarch_core::{
    base::UpstreamName, notice::UpstreamNotice, retry::AttemptOutcome, routing::RouteTarget,
};
use tokio_util::sync::CancellationToken;

use crate::process::{MetricName, RouterState, dispatcher::StartedWork, log_event};

/// Represents one attempt at an upstream. Dropping it without [`finish`](Self::finish) records the
/// attempt as cancelled.
#[derive(Debug)]
pub(crate) struct UpstreamAttempt {
    state: Arc<RouterState>,
    target: RouteTarget,
    started: Option<StartedWork>,
}

impl UpstreamAttempt {
    /// Wraps an attempt that the dispatcher has started.
    pub(super) fn new(state: &Arc<RouterState>, target: RouteTarget, started: StartedWork) -> Self {
        Self {
            state: Arc::clone(state),
            target,
            started: Some(started),
        }
    }

    pub(crate) fn upstream(&self) -> Option<&UpstreamName> {
        self.started.as_ref().map(|started| &started.upstream)
    }

    pub(crate) fn address(&self) -> Option<SocketAddr> {
        self.started.as_ref().map(|started| started.address)
    }

    /// Returns the token that is cancelled when the request is blocked and the attempt must stop.
    pub(crate) fn cancel_token(&self) -> CancellationToken {
        let started = self.started.as_ref();
        started.map_or_else(CancellationToken::new, |started| started.cancel.clone())
    }

    /// Records that the first token has arrived.
    pub(crate) fn first_token(&self) {
        if let Some(started) = &self.started {
            let now = self.state.clock.now();
            let mut inner = self.state.dispatcher.inner.lock();
            inner.table.first_token(started.work, now);
        }
    }

    /// Records what the response says about the upstream.
    pub(crate) fn record_notice(&self, notice: &UpstreamNotice) {
        let Some(started) = self.started.as_ref().filter(|_| !notice.is_empty()) else {
            return;
        };
        let now = self.state.clock.now();
        let mut inner = self.state.dispatcher.inner.lock();
        let is_news = inner.table.record_notice(started.work, notice, now);
        drop(inner);
        if is_news {
            log_event!(UpstreamPaused, "{} ({:?})", started.upstream, notice.pause);
        }
    }

    /// Records the end of the attempt. `connection_lost` means that the connection broke, which may
    /// be due to a crash of the upstream.
    pub(crate) fn finish(mut self, outcome: AttemptOutcome, connection_lost: bool) {
        self.end(outcome, connection_lost);
    }

    fn end(&mut self, outcome: AttemptOutcome, connection_lost: bool) {
        let Some(started) = self.started.take() else {
            return;
        };
        let now = self.state.clock.now();
        let reports = self
            .state
            .dispatcher
            .finish(&started, outcome, connection_lost, now);
        if connection_lost {
            self.state.metrics.count(MetricName::UpstreamLosses);
            log_event!(UpstreamLost, "{} ({outcome:?})", started.upstream);
        }
        self.state.broadcast_reports(&reports);
        self.state
            .dispatcher
            .admit_queued(&self.state, &self.target);
    }
}

impl Drop for UpstreamAttempt {
    fn drop(&mut self) {
        self.end(AttemptOutcome::Cancelled, false);
    }
}
