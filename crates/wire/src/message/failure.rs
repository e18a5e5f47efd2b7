//! Conversions of reports about failures of upstreams.

use std::time::Duration;

use cornelarch_core::{base::UpstreamName, placement::UpstreamFailure};

use crate::peer::{WireBody, WireFailureReport, WireUpstreamFailure};

/// Encodes a report about failures of upstreams. One whose numbers have no representation is left out.
#[must_use]
pub fn encode_failure_report(failures: &[UpstreamFailure]) -> WireBody {
    let failures = failures.iter().filter_map(|failure| {
        let started = failure
            .started_unix_ms
            .map(i64::try_from)
            .transpose()
            .ok()?;
        let age_ms = i32::try_from(failure.age.as_millis()).ok()?;
        let upstream = failure.upstream.to_string();
        Some(WireUpstreamFailure::new(upstream, started, age_ms))
    });
    WireBody::FailureReport(WireFailureReport::new(failures.collect()))
}

/// Decodes a report about failures of upstreams; returns `None` for other messages, and for a report
/// with an invalid number.
#[must_use]
pub fn decode_failure_report(body: &WireBody) -> Option<Vec<UpstreamFailure>> {
    let WireBody::FailureReport(report) = body else {
        return None;
    };
    let failures = report.failures.iter().map(|failure| {
        let started = failure.started_unix_ms.map(u64::try_from);
        Some(UpstreamFailure {
            upstream: UpstreamName::new(&failure.upstream),
            started_unix_ms: started.transpose().ok()?,
            age: Duration::from_millis(u64::try_from(failure.age_ms).ok()?),
        })
    });
    failures.collect()
}
