//! Numbered log events, catalogued in `docs/events.md`.

cornelarch_core::define_log_events! {
    /// Lists every event that a router writes to its log.
    LogEvent;

    /// All ports are bound and the router has started.
    RouterStarted => 1000, Info, "router started";
    /// A graceful shutdown has started.
    DrainStarted => 1001, Info, "drain started";
    /// The grace time is over and new requests are refused.
    DrainRefusing => 1002, Info, "new requests are refused";
    /// Requests were still running at the end of the drain time.
    DrainTimedOut => 1003, Warn, "requests still run at the end of the drain time";
    /// Not all balances could be returned or lent before the ledger drain timed out.
    BalanceKept => 1004, Warn, "balances could not be handed back and stay held";
    /// The graceful shutdown is complete.
    RouterStopped => 1005, Info, "router stopped";
    /// A second signal ended the process without a complete drain.
    Interrupted => 1006, Error, "ended at once by a second signal";
    /// The state was written to the log on SIGUSR1.
    StateDump => 1007, Info, "state dump";
    /// A background task or an actor ended unexpectedly.
    TaskFailed => 1008, Error, "background task failed";
    /// A configuration version was activated.
    ConfigApplied => 1100, Info, "configuration applied";
    /// A configuration object is invalid.
    ConfigRejected => 1101, Error, "configuration rejected";
    /// Configuration reads from the platform fail.
    ConfigPlatformDown => 1102, Warn, "configuration is read from peers because the platform is unavailable";
    /// Ledger calls to the platform fail.
    LedgerPlatformDown => 1200, Warn, "ledger calls to the platform fail";
    /// Ledger calls to the platform succeed again.
    LedgerPlatformUp => 1201, Info, "ledger calls to the platform succeed again";
    /// A ledger write failed without telling whether it was applied.
    LedgerWriteUnknown => 1202, Warn, "result of a ledger write is unknown";
    /// The actual cost of a request exceeds its reservation.
    ReservationExceeded => 1203, Warn, "actual cost exceeds the reservation";
    /// The ledger refused a settlement, for example a second one of the same request.
    SettlementRefused => 1204, Error, "settlement refused";
    /// A ledger object cannot be decoded, encoded or stored.
    LedgerRejected => 1205, Error, "ledger object rejected";
    /// A peer connection was opened.
    PeerConnected => 1300, Info, "peer connected";
    /// A peer connection was lost or refused.
    PeerLost => 1301, Warn, "peer connection lost";
    /// A frame of a peer is invalid.
    PeerFrameRejected => 1302, Warn, "peer frame rejected";
    /// The send queue of a peer is full and a message was dropped.
    PeerQueueFull => 1303, Warn, "peer queue is full, message dropped";
    /// The failure detector changed the state of a member.
    MemberChanged => 1304, Info, "member changed";
    /// An upstream connection was lost while a request was in progress.
    UpstreamLost => 1400, Warn, "upstream lost with work in progress";
    /// A load poll of an upstream failed.
    LoadPollFailed => 1401, Debug, "load poll failed";
    /// A request is blocked because it crashed upstreams.
    RequestBlocked => 1402, Warn, "request blocked";
    /// An operator removed a block.
    RequestUnblocked => 1403, Info, "request unblocked";
    /// A stream was resumed at another upstream.
    StreamResumed => 1404, Info, "stream resumed";
    /// A stream ended before its answer was complete.
    StreamBroken => 1405, Warn, "stream ended before its answer was complete";
    /// An upstream refused a request and wants no more for some time.
    UpstreamPaused => 1406, Info, "upstream asked for a pause";
    /// A caller holds too much, stands still, or finds no free connection.
    CallerCut => 1407, Warn, "caller cut";
    /// The outcome of an order could not be recorded.
    OrderRecordFailed => 1500, Warn, "order outcome could not be recorded";
    /// An operator request had a missing or wrong key.
    OperatorRefused => 1600, Warn, "operator request with a wrong key";
    /// Metrics cannot be sent.
    MetricsFailed => 1601, Warn, "metrics cannot be sent";
}

/// Writes a numbered event with optional details to the log.
macro_rules! log_event {
    ($event:ident) => {{
        let event = $crate::process::LogEvent::$event;
        log::log!(target: "cornelarch", event.level(), "E{} {}", event.number(), event.text())
    }};
    ($event:ident, $($details:tt)+) => {{
        let event = $crate::process::LogEvent::$event;
        log::log!(
            target: "cornelarch",
            event.level(),
            "E{} {}: {}",
            event.number(),
            event.text(),
            format_args!($($details)+)
        )
    }};
}

pub(crate) use log_event;
