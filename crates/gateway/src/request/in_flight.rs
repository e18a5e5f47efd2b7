//! Accounting of one request in flight at one upstream.

use std::sync::Arc;

use cornelarch_core::{
    base::UpstreamName,
    blocklist::content::{ContentKey, CrashName},
    notice::{LimitNotice, UpstreamNotice},
    placement::{FlightKey, FlightOutcome, Placement, PlacementKey, RequestSize},
};
use http::HeaderMap;

use crate::{
    process::{GatewayState, LostRequest, PeerCommand, log_event},
    request::head::read_load,
};

/// Counts a request as in flight at an upstream. Dropping it without calling
/// [`finish`](Self::finish) records that the request was cancelled.
pub(crate) struct InFlightRequest {
    state: Arc<GatewayState>,
    flight: Option<FlightKey>,
    pub(crate) key: PlacementKey,
    pub(crate) upstream: UpstreamName,
    /// What the loss of this request is charged to if the upstream crashes.
    lost: LostRequest,
}

impl InFlightRequest {
    /// Registers the request at the chosen upstream.
    pub(crate) fn start(
        state: &Arc<GatewayState>,
        placement: &Placement,
        (size, is_engine): (&RequestSize, bool),
        content: &Arc<[ContentKey]>,
    ) -> Self {
        let now = state.now();
        let mut table = state.placement.lock();
        let flight = table.start(placement, size, is_engine, now);
        let started = table
            .record(placement.key)
            .and_then(|record| record.started_unix_ms);
        drop(table);
        Self {
            state: Arc::clone(state),
            flight: Some(flight),
            key: placement.key,
            upstream: placement.upstream.clone(),
            lost: LostRequest {
                upstream: placement.upstream.clone(),
                address: placement.address,
                crash: CrashName::new(&placement.upstream, started),
                content: Arc::clone(content),
            },
        }
    }

    /// Records the arrival of the first token.
    pub(crate) fn record_first_token(&self) {
        if let Some(flight) = self.flight {
            self.state.placement.lock().begin(flight, self.state.now());
        }
    }

    /// Records the upstream load that a response reports.
    pub(crate) fn record_load(&self, headers: &HeaderMap) {
        if let (Some(flight), Some((running, waiting))) =
            (self.flight, read_load(headers, &self.state.headers))
        {
            let now = self.state.now();
            // The reported load includes this request.
            let running = running.max(1);
            self.state
                .placement
                .lock()
                .report(flight, running, waiting, now);
        }
    }

    /// Records what a response says about its upstream.
    pub(crate) fn record_notice(&self, notice: &UpstreamNotice) {
        self.state.metrics.count_notice(notice);
        let now = self.state.now();
        let news = self.flight.and_then(|flight| {
            let mut placement = self.state.placement.lock();
            placement.record_notice(flight, notice, now)
        });
        let Some(news) = news else {
            return;
        };
        if notice.is_leaving {
            self.state.pool.close_idle(&self.upstream);
        }
        let pause = notice.pause.map(|pause| pause.as_millis().to_string());
        let limit = match notice.limit {
            LimitNotice::Rate(rate) => Some(rate.to_string()),
            LimitNotice::None | LimitNotice::Invalid => None,
        };
        log_event!(
            NoticeReceived,
            "upstream={} leaving={} pause_ms={} limit={} source=response",
            self.upstream,
            notice.is_leaving,
            pause.as_deref().unwrap_or("-"),
            limit.as_deref().unwrap_or("-")
        );
        if let Some(report) = news.limit {
            let command = PeerCommand::BroadcastLimit(report);
            self.state.send_peer_command(command);
        }
    }

    /// Records how the request ended.
    pub(crate) fn finish(mut self, end: FlightOutcome) {
        self.end(end);
    }

    fn end(&mut self, end: FlightOutcome) {
        if let Some(flight) = self.flight.take() {
            let now = self.state.now();
            self.state.metrics.count_attempt(end);
            let mut placement = self.state.placement.lock();
            // An upstream that is leaving may end while it still runs requests.
            let is_listed = placement.is_listed(self.key);
            placement.finish(flight, end, now);
            drop(placement);
            match end {
                FlightOutcome::Answered | FlightOutcome::Failed => {
                    self.state.record_answer(&self.lost.content);
                }
                FlightOutcome::Lost if is_listed => self.state.record_loss(self.lost.clone()),
                _ => {}
            }
        }
    }
}

impl Drop for InFlightRequest {
    fn drop(&mut self) {
        self.end(FlightOutcome::Cancelled);
    }
}
