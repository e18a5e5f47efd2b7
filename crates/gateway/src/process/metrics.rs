//! Prometheus metrics of a gateway.

use std::{fmt, time::Duration};

use cornelarch_core::{
    error::ErrorKind,
    notice::{LimitNotice, UpstreamNotice},
    placement::FlightOutcome,
    route::RouteKind,
};
use prometheus_client::{
    encoding::{EncodeLabelSet, EncodeLabelValue, LabelValueEncoder, text::encode},
    metrics::{
        counter::Counter,
        family::Family,
        gauge::Gauge,
        histogram::{Histogram, exponential_buckets},
    },
    registry::Registry,
};

use crate::process::dropped_lines;

/// Upper bound of the first histogram bucket, in seconds. It doubles 14 times, up to 16 s.
const BUCKET_MIN_S: f64 = 0.001;
/// Number of histogram buckets.
const BUCKETS: u16 = 15;

/// Labels of a finished request: the kind of its route and its outcome.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RequestLabels {
    kind: KindLabel,
    outcome: OutcomeLabel,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct AttemptLabels {
    end: EndLabel,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct NoticeLabels {
    notice: NoticeKind,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct StageLabels {
    stage: TimedStage,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct CallLabels {
    call: PlatformCall,
    result: CallResult,
}

/// Kind of a route, or `none` if no route was found.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct KindLabel(Option<RouteKind>);

/// Outcome of a request; a refusal or failure is labelled with its error code.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct OutcomeLabel(RequestOutcome);

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct EndLabel(FlightOutcome);

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum RequestOutcome {
    /// An upstream responded; a stream may still be aborted later.
    Answered,
    /// A streamed response was aborted.
    Broken,
    /// The gateway rejected the request, or the request failed.
    Refused(ErrorKind),
}

/// Measured stage of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelValue)]
pub(crate) enum TimedStage {
    /// Opening a connection to an upstream, until it is open or has failed.
    Connect,
    /// Reading the whole configuration from the platform, until it is read or the call has failed.
    DocumentRead,
    /// From the arrival of the request until its tokens are reserved.
    Reserve,
    /// From the arrival of the request to the response headers.
    Head,
    /// From the arrival of the request to the first event of a stream.
    FirstEvent,
    /// Between consecutive events of a stream.
    EventGap,
}

/// Statement of a response about its upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelValue)]
enum NoticeKind {
    Leaving,
    Pause,
    RateLimit,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelValue)]
pub(crate) enum PlatformCall {
    /// List or watch of the configuration.
    Document,
    /// List or watch of the upstreams.
    Directory,
    /// Read of a ledger object.
    LedgerRead,
    /// Write of a ledger object.
    LedgerWrite,
    /// Read of the blocked content.
    BlocklistRead,
    /// Write of the blocked content.
    BlocklistWrite,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelValue)]
pub(crate) enum CallResult {
    Done,
    Failed,
}

impl EncodeLabelValue for KindLabel {
    fn encode(&self, encoder: &mut LabelValueEncoder<'_>) -> Result<(), fmt::Error> {
        let text = match self.0 {
            None => "none",
            Some(RouteKind::Idempotent) => "idempotent",
            Some(RouteKind::AtMostOnce) => "at_most_once",
            Some(RouteKind::Streaming { .. }) => "streaming",
        };
        text.encode(encoder)
    }
}

impl EncodeLabelValue for OutcomeLabel {
    fn encode(&self, encoder: &mut LabelValueEncoder<'_>) -> Result<(), fmt::Error> {
        let text = match self.0 {
            RequestOutcome::Answered => "answered",
            RequestOutcome::Broken => "broken",
            RequestOutcome::Refused(kind) => kind.answer().code,
        };
        text.encode(encoder)
    }
}

impl EncodeLabelValue for EndLabel {
    fn encode(&self, encoder: &mut LabelValueEncoder<'_>) -> Result<(), fmt::Error> {
        let text = match self.0 {
            FlightOutcome::Answered => "answered",
            FlightOutcome::Failed => "failed",
            FlightOutcome::Refused => "refused",
            FlightOutcome::NotReached => "not_reached",
            FlightOutcome::NotSent => "not_sent",
            FlightOutcome::Lost => "lost",
            FlightOutcome::TimedOut => "timed_out",
            FlightOutcome::Cancelled => "cancelled",
        };
        text.encode(encoder)
    }
}

/// Present values of the gauges.
#[derive(Clone, Copy, Debug)]
pub(crate) struct MetricGauges {
    pub(crate) running: usize,
    pub(crate) version: u64,
    pub(crate) newest_version: u64,
    pub(crate) upstreams: usize,
    pub(crate) blocked: usize,
    pub(crate) is_strained: bool,
}

fn to_gauge(value: impl TryInto<i64>) -> i64 {
    value.try_into().unwrap_or(i64::MAX)
}

#[derive(Debug)]
pub(crate) struct GatewayMetrics {
    registry: Registry,
    requests: Family<RequestLabels, Counter>,
    attempts: Family<AttemptLabels, Counter>,
    stages: Family<StageLabels, Histogram>,
    calls: Family<CallLabels, Counter>,
    notices: Family<NoticeLabels, Counter>,
    resumes: Counter,
    crashes: Counter,
    peer_failures: Counter,
    strained: Gauge,
    blocked: Gauge,
    running: Gauge,
    version: Gauge,
    newest_version: Gauge,
    upstreams: Gauge,
    dropped_lines: Gauge,
}

impl GatewayMetrics {
    /// Creates and registers all metrics.
    pub(crate) fn new() -> Self {
        let buckets = || Histogram::new(exponential_buckets(BUCKET_MIN_S, 2.0, BUCKETS));
        let mut metrics = Self {
            registry: Registry::with_prefix("cornelarch"),
            requests: Family::default(),
            attempts: Family::default(),
            stages: Family::new_with_constructor(buckets),
            calls: Family::default(),
            notices: Family::default(),
            resumes: Counter::default(),
            crashes: Counter::default(),
            peer_failures: Counter::default(),
            strained: Gauge::default(),
            blocked: Gauge::default(),
            running: Gauge::default(),
            version: Gauge::default(),
            newest_version: Gauge::default(),
            upstreams: Gauge::default(),
            dropped_lines: Gauge::default(),
        };
        let registry = &mut metrics.registry;
        registry.register("requests", "Requests by outcome", metrics.requests.clone());
        registry.register("attempts", "Attempts by end", metrics.attempts.clone());
        registry.register("seconds", "Time by stage", metrics.stages.clone());
        registry.register("calls", "Calls to the platform", metrics.calls.clone());
        let notices = metrics.notices.clone();
        registry.register("upstream_notices", "Notices of upstreams", notices);
        registry.register("resumes", "Streams resumed", metrics.resumes.clone());
        let (crashes, blocked) = (metrics.crashes.clone(), metrics.blocked.clone());
        registry.register("upstream_crashes", "Upstream crashes", crashes);
        registry.register("blocked_content", "Blocked content", blocked);
        let failures = metrics.peer_failures.clone();
        registry.register("peer_failures", "Failures told by peers", failures);
        let strained = metrics.strained.clone();
        registry.register(
            "strained",
            "Whether this instance leaves the rotation",
            strained,
        );
        registry.register("running", "Requests in progress", metrics.running.clone());
        registry.register("version", "Configuration version", metrics.version.clone());
        let newest = metrics.newest_version.clone();
        registry.register("newest_version", "Newest version at any peer", newest);
        registry.register("upstreams", "Usable upstreams", metrics.upstreams.clone());
        let dropped = metrics.dropped_lines.clone();
        registry.register("dropped_lines", "Log lines dropped", dropped);
        metrics
    }

    pub(crate) fn count_request(&self, kind: Option<RouteKind>, outcome: RequestOutcome) {
        let labels = RequestLabels {
            kind: KindLabel(kind),
            outcome: OutcomeLabel(outcome),
        };
        self.requests.get_or_create(&labels).inc();
    }

    pub(crate) fn count_attempt(&self, end: FlightOutcome) {
        let labels = AttemptLabels { end: EndLabel(end) };
        self.attempts.get_or_create(&labels).inc();
    }

    pub(crate) fn observe(&self, stage: TimedStage, time: Duration) {
        let labels = StageLabels { stage };
        let histogram = self.stages.get_or_create(&labels);
        histogram.observe(time.as_secs_f64());
    }

    pub(crate) fn count_call<T, E>(&self, call: PlatformCall, result: &Result<T, E>) {
        let result = match result {
            Ok(_) => CallResult::Done,
            Err(_) => CallResult::Failed,
        };
        self.calls.get_or_create(&CallLabels { call, result }).inc();
    }

    /// Counts the statements of a response about its upstream.
    pub(crate) fn count_notice(&self, notice: &UpstreamNotice) {
        let count = |notice| {
            self.notices.get_or_create(&NoticeLabels { notice }).inc();
        };
        if notice.is_leaving {
            count(NoticeKind::Leaving);
        }
        if notice.pause.is_some() {
            count(NoticeKind::Pause);
        }
        if notice.limit != LimitNotice::None {
            count(NoticeKind::RateLimit);
        }
    }

    pub(crate) fn count_resume(&self) {
        self.resumes.inc();
    }

    pub(crate) fn count_crash(&self) {
        self.crashes.inc();
    }

    /// Counts failures of upstreams that a peer has told.
    pub(crate) fn count_peer_failures(&self, count: usize) {
        self.peer_failures.inc_by(count as u64);
    }

    /// Updates the gauges and encodes all metrics in the Prometheus text format.
    pub(crate) fn render(&self, gauges: MetricGauges) -> String {
        self.running.set(to_gauge(gauges.running));
        self.version.set(to_gauge(gauges.version));
        self.newest_version.set(to_gauge(gauges.newest_version));
        self.upstreams.set(to_gauge(gauges.upstreams));
        self.strained.set(gauges.is_strained.into());
        self.blocked.set(to_gauge(gauges.blocked));
        self.dropped_lines.set(to_gauge(dropped_lines()));
        let mut text = String::new();
        if let Err(error) = encode(&mut text, &self.registry) {
            log::warn!("metrics cannot be encoded: {error}");
        }
        text
    }
}
