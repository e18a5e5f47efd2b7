//! Conversions of reports about the limits of upstreams.

use cornelarch_core::{
    base::UpstreamName,
    placement::{LimitReport, UpstreamIncarnation},
};
use thrift::OrderedFloat;

use crate::peer::{WireBody, WireLimitReport};

/// Encodes a report about the limit of an upstream.
#[must_use]
pub fn encode_limit_report(report: &LimitReport) -> WireBody {
    let started = report.incarnation.started_unix_ms;
    WireBody::LimitReport(WireLimitReport::new(
        report.upstream.to_string(),
        report.incarnation.address.to_string(),
        started.and_then(|started| i64::try_from(started).ok()),
        report.rate.map(OrderedFloat::from),
    ))
}

/// Decodes a report about the limit of an upstream; returns `None` for other messages, and for an
/// invalid address, time or rate.
#[must_use]
pub fn decode_limit_report(body: &WireBody) -> Option<LimitReport> {
    let WireBody::LimitReport(report) = body else {
        return None;
    };
    let rate = report.rate.map(OrderedFloat::into_inner);
    if rate.is_some_and(|rate| !rate.is_finite() || rate < 0.0) {
        return None;
    }
    let started = report.started_unix_ms.map(u64::try_from).transpose();
    Some(LimitReport {
        upstream: UpstreamName::new(&report.upstream),
        incarnation: UpstreamIncarnation {
            address: report.address.parse().ok()?,
            started_unix_ms: started.ok()?,
        },
        rate,
    })
}
