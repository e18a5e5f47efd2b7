//! Numbered log events of the gateway. `docs/events.md` lists them for operators.

cornelarch_core::define_log_events! {
    /// Numbered event in the log of a gateway.
    LogEvent;
    /// All listeners are bound.
    GatewayStarted => 2000, Info, "gateway started";
    /// A shutdown was requested.
    DrainStarted => 2001, Info, "drain started";
    /// The gateway stopped normally.
    GatewayStopped => 2002, Info, "gateway stopped";
    /// Requests were still running when the grace period ended.
    DrainTimedOut => 2003, Warn, "requests still run at the end of the grace time";
    /// A background task ended, which only a fault of the gateway causes.
    TaskFailed => 2004, Error, "background task failed";
    /// Most connections to upstreams of the own domain fail, which is the fault of this instance.
    InstanceStrained => 2005, Warn, "instance does not reach upstreams";
    /// A configuration version was activated.
    DocumentApplied => 2100, Info, "configuration in force";
    /// Calls to a dependency fail repeatedly.
    DependencyLost => 2101, Warn, "dependency lost";
    /// A dependency responds again.
    DependencyRestored => 2102, Info, "dependency back";
    /// An object stored at the platform cannot be decoded or encoded.
    ObjectRejected => 2103, Warn, "object rejected";
    /// A peer has had a newer configuration version for some time.
    DocumentBehind => 2104, Warn, "configuration is behind a peer";
    /// A ledger write may or may not have been applied.
    LedgerWriteUnknown => 2200, Warn, "result of a ledger write is unknown";
    /// A peer was discovered or changed its state.
    PeerChanged => 2201, Info, "peer changed";
    /// The local balance of a budget is too small for a request.
    BalanceInsufficient => 2202, Info, "balance is too small";
    /// Several peers were discovered or changed their state at once.
    PeersChanged => 2203, Info, "peers changed";
    /// An upstream was added, changed or removed.
    UpstreamChanged => 2300, Info, "upstream changed";
    /// The full list of upstreams was read.
    DirectoryRead => 2301, Info, "directory read";
    /// An upstream ended while it ran requests.
    UpstreamCrashed => 2302, Warn, "upstream crashed";
    /// Requests with some content are refused from now on.
    ContentBlocked => 2303, Warn, "content blocked";
    /// Requests with this content are served again.
    ContentUnblocked => 2304, Info, "content unblocked";
    /// A response says that its upstream leaves, pauses or limits its requests.
    NoticeReceived => 2305, Info, "notice of an upstream";
    /// A header about the state of an upstream cannot be used.
    NoticeRejected => 2306, Warn, "notice of an upstream rejected";
    /// A request was rejected before it was sent to an upstream.
    RequestRefused => 2400, Info, "request refused";
    /// An attempt at an upstream ended without a response.
    AttemptFailed => 2401, Info, "attempt failed";
    /// A request failed after it was sent to an upstream.
    RequestFailed => 2402, Info, "request failed";
    /// A stream was resumed at another upstream.
    StreamResumed => 2403, Info, "stream resumed";
    /// A stream was aborted before its end.
    StreamBroken => 2404, Info, "stream broken off";
    /// A response was returned to the caller.
    RequestAnswered => 2405, Info, "request answered";
    /// An upstream was chosen for a request.
    RequestPlaced => 2406, Info, "request placed";
    /// A stream was relayed to its end.
    StreamEnded => 2407, Info, "stream ended";
    /// No upstream can start a request in time.
    PlacementRefused => 2408, Info, "no upstream fits";
    /// A request has content that crashes upstreams.
    ContentRefused => 2409, Info, "request has blocked content";
    /// A lost request is not sent again because of content that may crash upstreams.
    RetrySuppressed => 2410, Info, "request is not sent again";
}

/// Writes a numbered event with details to the log, unless the event has reached its limit of lines
/// for the current second.
macro_rules! log_event {
    ($event:ident) => {
        $crate::process::log_event!($event, "")
    };
    ($event:ident, $($details:tt)+) => {{
        let event = $crate::process::LogEvent::$event;
        if log::log_enabled!(target: "cornelarch", event.level())
            && $crate::process::allows_line(event)
        {
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
