//! Metrics of a router, sent to a StatsD sink over UDP. The names are listed in `docs/events.md`.

use std::{
    net::{SocketAddr, UdpSocket},
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

use cadence::{BufferedUdpMetricSink, Counted, Gauged, QueuingMetricSink, StatsdClient, Timed};
use snafu::{ResultExt, Snafu};

/// Capacity of the queue to the sink thread; further metrics are dropped.
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
    /// A monotonically increasing count.
    Counter,
    /// A current value.
    Gauge,
    /// A duration in milliseconds.
    Timer,
}

impl MetricKind {
    /// Returns the name of the kind as used in `docs/events.md`.
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
    /// Requests received on the callers' port.
    Requests => "requests", Counter;
    /// Requests that were answered completely.
    Answers => "answers", Counter;
    /// Refused requests.
    Refusals => "refusals", Counter;
    /// Refusals for lack of tokens although paid tokens were available at this instance.
    BudgetRefusals => "refusals.budget", Counter;
    /// Attempts after the first one of a request.
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
    /// Repeated orders that were answered from the record in the platform.
    StoredAnswers => "orders.stored", Counter;
    /// Upstream connections lost while a request was in progress.
    UpstreamLosses => "upstreams.lost", Counter;
    /// Calls to the platform.
    PlatformCalls => "platform.calls", Counter;
    /// Calls to the platform that failed.
    PlatformFailures => "platform.failures", Counter;
    /// Frames received from peers.
    PeerFrames => "peers.frames", Counter;
    /// Callers cut or refused for lack of memory.
    MemoryCuts => "callers.cut.memory", Counter;
    /// Callers cut or refused for lack of connections.
    ConnectionCuts => "callers.cut.connections", Counter;
    /// Callers cut because they stood still.
    StalledCuts => "callers.cut.stalled", Counter;
    /// Violated invariants, such as a second settlement of a request; 0 in correct operation.
    InvariantViolations => "promises.broken", Counter;
    /// Requests in progress.
    Running => "running", Gauge;
    /// Active configuration version.
    ConfigVersion => "config.version", Gauge;
    /// Memory that callers make the router hold, in bytes.
    CallerBytes => "callers.bytes", Gauge;
    /// Open connections of callers.
    CallerConnections => "callers.connections", Gauge;
    /// Time from arrival to the first byte of the answer.
    FirstByte => "first_byte", Timer;
    /// Time from the write of a configuration version to its activation on this instance.
    ConfigApply => "config.apply", Timer;
}

/// Reports that the metrics client cannot be set up.
#[derive(Debug, Snafu)]
pub enum MetricsError {
    /// The UDP socket cannot be bound.
    #[snafu(display("UDP socket for metrics cannot be bound: {source}"))]
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

/// Counts events of a router and sends the counts with each flush.
///
/// Counting is one atomic addition, so its cost on the request path does not depend on the sink.
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

    /// Sends a duration.
    pub fn time(&self, name: MetricName, duration: Duration) {
        if let Some(client) = &self.client {
            // A lost metric must not fail a request.
            let _ = client.time(name.text(), duration);
        }
    }

    /// Returns the value of a counter or gauge.
    #[must_use]
    pub fn value(&self, name: MetricName) -> u64 {
        self.values[name as usize].load(Ordering::Relaxed)
    }

    /// Sends the gauges and the increase of each counter since the previous flush.
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
