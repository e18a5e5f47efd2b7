//! Metrics of one router, sent to a UDP sink; names are listed in `docs/events.md`.

use std::{
    net::{SocketAddr, UdpSocket},
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

use cadence::{BufferedUdpMetricSink, Counted, Gauged, QueuingMetricSink, StatsdClient, Timed};
use snafu::{ResultExt, Snafu};

/// Metrics that wait for the sink's thread; more are dropped.
const SINK_QUEUE: usize = 4_096;

macro_rules! define_metrics {
    ($($(#[$meta:meta])* $name:ident => $text:literal, $kind:ident;)*) => {
        /// Lists every metric.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
        pub enum MetricName {
            $($(#[$meta])* $name,)*
        }

        impl MetricName {
            /// Every metric, in the order of the documentation.
            pub const ALL: &'static [Self] = &[$(Self::$name,)*];

            /// Returns the name after the prefix.
            #[must_use]
            pub const fn text(self) -> &'static str {
                match self { $(Self::$name => $text,)* }
            }

            /// Returns the kind of the metric.
            #[must_use]
            pub const fn kind(self) -> MetricKind {
                match self { $(Self::$name => MetricKind::$kind,)* }
            }
        }
    };
}

/// Lists the kinds of metrics.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MetricKind {
    /// A number that only grows.
    Counter,
    /// A current value.
    Gauge,
    /// A time in milliseconds.
    Timer,
}

impl MetricKind {
    /// Returns the word for the kind in `docs/events.md`.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Counter => "counter",
            Self::Gauge => "gauge",
            Self::Timer => "timer",
        }
    }
}

define_metrics! {
    /// Requests that arrived at the callers' port.
    Requests => "requests", Counter;
    /// Complete answers.
    Answers => "answers", Counter;
    /// Refused requests.
    Refusals => "refusals", Counter;
    /// Refusals of requests for which paid tokens existed at this instance.
    BudgetRefusals => "refusals.budget", Counter;
    /// Attempts after the first one.
    Retries => "retries", Counter;
    /// Streams that were resumed at another upstream.
    Resumes => "resumes", Counter;
    /// Streams whose caller disconnected.
    Disconnects => "disconnects", Counter;
    /// Streams that ended before the answer was complete.
    BrokenStreams => "streams.broken", Counter;
    /// Tokens that were billed.
    BilledTokens => "tokens.billed", Counter;
    /// Orders that were sent.
    Orders => "orders", Counter;
    /// Answers to repeated orders from the platform record.
    StoredAnswers => "orders.stored", Counter;
    /// Upstreams lost with work in progress.
    UpstreamLosses => "upstreams.lost", Counter;
    /// Calls to the platform.
    PlatformCalls => "platform.calls", Counter;
    /// Calls to the platform that failed.
    PlatformFailures => "platform.failures", Counter;
    /// Frames received from peers.
    PeerFrames => "peers.frames", Counter;
    /// Promises that were broken, such as a second settlement; always 0.
    InvariantViolations => "promises.broken", Counter;
    /// Requests in progress.
    Running => "running", Gauge;
    /// Configuration version in force.
    ConfigVersion => "config.version", Gauge;
    /// Time from arrival to the first byte of the answer.
    FirstByte => "first_byte", Timer;
    /// Time from the write of a configuration version to its use here.
    ConfigApply => "config.apply", Timer;
}

/// Reports that metrics cannot be sent.
#[derive(Debug, Snafu)]
pub enum MetricsError {
    /// No UDP socket is available.
    #[snafu(display("no UDP socket for metrics: {source}"))]
    Socket {
        /// The cause.
        source: std::io::Error,
    },
    /// The sink cannot be set up.
    #[snafu(display("metrics sink cannot be set up: {source}"))]
    Sink {
        /// The cause.
        source: cadence::MetricError,
    },
}

/// Counts events of one router and sends the counts once per flush.
///
/// The request path only adds to an atomic, so the cost does not depend on the sink.
#[derive(Debug)]
pub struct RouterMetrics {
    values: [AtomicU64; MetricName::ALL.len()],
    sent: [AtomicU64; MetricName::ALL.len()],
    client: Option<StatsdClient>,
}

impl RouterMetrics {
    /// Creates metrics that are sent to `sink`, if one is given.
    ///
    /// # Errors
    ///
    /// Returns [`MetricsError`] if no socket is available.
    pub fn open(prefix: &str, sink: Option<SocketAddr>) -> Result<Self, MetricsError> {
        let client = match sink {
            Some(address) => Some(open_client(prefix, address)?),
            None => None,
        };
        Ok(Self {
            values: std::array::from_fn(|_| AtomicU64::new(0)),
            sent: std::array::from_fn(|_| AtomicU64::new(0)),
            client,
        })
    }

    /// Adds one to a counter.
    pub fn count(&self, name: MetricName) {
        self.add(name, 1);
    }

    /// Adds to a counter.
    pub fn add(&self, name: MetricName, amount: u64) {
        self.values[name as usize].fetch_add(amount, Ordering::Relaxed);
    }

    /// Sets a gauge.
    pub fn set(&self, name: MetricName, value: u64) {
        self.values[name as usize].store(value, Ordering::Relaxed);
    }

    /// Sends a time.
    pub fn time(&self, name: MetricName, duration: Duration) {
        if let Some(client) = &self.client {
            // Losing a metric must not disturb a request.
            let _ = client.time(name.text(), duration);
        }
    }

    /// Returns the value of a counter or gauge.
    #[must_use]
    pub fn value(&self, name: MetricName) -> u64 {
        self.values[name as usize].load(Ordering::Relaxed)
    }

    /// Sends the counts since the previous call and the gauges.
    pub fn flush(&self) {
        let Some(client) = &self.client else {
            return;
        };
        for name in MetricName::ALL {
            let value = self.value(*name);
            let sent = self.sent[*name as usize].swap(value, Ordering::Relaxed);
            let _ = match name.kind() {
                MetricKind::Counter if value > sent => {
                    client.count(name.text(), value - sent).map(|_| ())
                }
                MetricKind::Gauge => client.gauge(name.text(), value).map(|_| ()),
                _ => Ok(()),
            };
        }
        let _ = client.flush();
    }
}

fn open_client(prefix: &str, address: SocketAddr) -> Result<StatsdClient, MetricsError> {
    let local = if address.is_ipv4() {
        "0.0.0.0:0"
    } else {
        "[::]:0"
    };
    let socket = UdpSocket::bind(local).context(SocketSnafu)?;
    let sink = BufferedUdpMetricSink::from(address, socket).context(SinkSnafu)?;
    let sink = QueuingMetricSink::with_capacity(sink, SINK_QUEUE);
    Ok(StatsdClient::from_sink(prefix, sink))
}
