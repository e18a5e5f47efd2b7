//! Numbered log events of the gateway, catalogued in `docs/events.md`.

cornelarch_core::define_log_events! {
    /// Lists every event that a gateway writes to its log.
    LogEvent;
    /// All ports are bound.
    GatewayStarted => 2000, Info, "gateway started";
    /// A stop was requested.
    DrainStarted => 2001, Info, "drain started";
    /// The process ends normally.
    GatewayStopped => 2002, Info, "gateway stopped";
    /// Requests were still running at the end of the grace time.
    DrainTimedOut => 2003, Warn, "requests still run at the end of the grace time";
    /// A configuration version is in force.
    DocumentApplied => 2100, Info, "configuration in force";
    /// A dependency stopped answering.
    DependencyLost => 2101, Warn, "dependency lost";
    /// A dependency answers again.
    DependencyRestored => 2102, Info, "dependency back";
    /// An object of the platform cannot be used.
    ObjectRejected => 2103, Warn, "object rejected";
    /// The result of a ledger write is unknown.
    LedgerWriteUnknown => 2200, Warn, "result of a ledger write is unknown";
    /// A peer is new or changed its state.
    PeerChanged => 2201, Info, "peer changed";
    /// A request does not fit into the balance of its budget.
    BalanceInsufficient => 2202, Info, "balance is too small";
    /// Several peers were learnt or changed their state at once.
    PeersChanged => 2203, Info, "peers changed";
    /// An upstream was added, changed or removed.
    UpstreamChanged => 2300, Info, "upstream changed";
    /// All upstreams were read.
    DirectoryRead => 2301, Info, "directory read";
    /// A request was refused without being sent.
    RequestRefused => 2400, Info, "request refused";
    /// An attempt at an upstream did not lead to an answer.
    AttemptFailed => 2401, Info, "attempt failed";
    /// A request failed after it was sent.
    RequestFailed => 2402, Info, "request failed";
    /// A stream continues at another upstream.
    StreamResumed => 2403, Info, "stream resumed";
    /// A stream was broken off before its end.
    StreamBroken => 2404, Info, "stream broken off";
    /// A request was answered.
    RequestAnswered => 2405, Info, "request answered";
    /// An upstream was chosen for a request.
    RequestPlaced => 2406, Info, "request placed";
    /// A stream was passed on to its end.
    StreamEnded => 2407, Info, "stream ended";
    /// No upstream can begin a request in time.
    PlacementRefused => 2408, Info, "no upstream fits";
}

/// Writes one numbered event with details to the log, unless too many of them were written in this
/// second.
macro_rules! log_event {
    ($event:ident) => {
        $crate::process::log_event!($event, "")
    };
    ($event:ident, $($details:tt)+) => {{
        let event = $crate::process::LogEvent::$event;
        if log::log_enabled!(target: "cornelarch", event.level()) && $crate::process::allows_line(event) {
            log::log!(
                target: "cornelarch",
                event.level(),
                "E{} {}: {}",
                event.number(),
                event.text(),
                format_args!($($details)+)
            )
        }
    }};
}

pub(crate) use log_event;
