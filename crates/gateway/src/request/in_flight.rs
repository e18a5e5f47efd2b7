//! Accounting of one request in flight at one upstream.

use std::sync::Arc;

use cornelarch_core::{
    base::UpstreamName,
    placement::{FlightKey, FlightOutcome, Placement, PlacementKey, RequestSize},
};
use http::HeaderMap;

use crate::{process::GatewayState, request::head::read_load};

/// Counts a request as in flight at an upstream. Dropping it without calling
/// [`finish`](Self::finish) records that the request was cancelled.
pub(crate) struct InFlightRequest {
    state: Arc<GatewayState>,
    flight: Option<FlightKey>,
    pub(crate) key: PlacementKey,
    pub(crate) upstream: UpstreamName,
}

impl InFlightRequest {
    /// Registers the request at the chosen upstream.
    pub(crate) fn start(
        state: &Arc<GatewayState>,
        placement: &Placement,
        size: &RequestSize,
        is_engine: bool,
    ) -> Self {
        let now = state.now();
        let flight = state
            .placement
            .lock()
            .start(placement, size, is_engine, now);
        Self {
            state: Arc::clone(state),
            flight: Some(flight),
            key: placement.key,
            upstream: placement.upstream.clone(),
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

    /// Records how the request ended.
    pub(crate) fn finish(mut self, end: FlightOutcome) {
        self.end(end);
    }

    fn end(&mut self, end: FlightOutcome) {
        if let Some(flight) = self.flight.take() {
            let now = self.state.now();
            self.state.metrics.count_attempt(end);
            self.state.placement.lock().finish(flight, end, now);
        }
    }
}

impl Drop for InFlightRequest {
    fn drop(&mut self) {
        self.end(FlightOutcome::Cancelled);
    }
}
