//! Conversions of reports about upstreams that have left.

use cornelarch_core::{base::UpstreamName, placement::UpstreamDeparture};

use crate::peer::{WireBody, WireDeparture, WireDepartureReport};

/// Encodes a report about upstreams that have left. One whose revision has no representation is left
/// out.
#[must_use]
pub fn encode_departure_report(departures: &[UpstreamDeparture]) -> WireBody {
    let departures = departures.iter().filter_map(|departure| {
        let revision = i64::try_from(departure.revision).ok()?;
        let upstream = departure.upstream.to_string();
        Some(WireDeparture::new(upstream, revision))
    });
    WireBody::DepartureReport(WireDepartureReport::new(departures.collect()))
}

/// Decodes a report about upstreams that have left; returns `None` for other messages, and for a
/// report with an invalid revision.
#[must_use]
pub fn decode_departure_report(body: &WireBody) -> Option<Vec<UpstreamDeparture>> {
    let WireBody::DepartureReport(report) = body else {
        return None;
    };
    let departures = report.departures.iter().map(|departure| {
        Some(UpstreamDeparture {
            upstream: UpstreamName::new(&departure.upstream),
            revision: u64::try_from(departure.revision).ok()?,
        })
    });
    departures.collect()
}
