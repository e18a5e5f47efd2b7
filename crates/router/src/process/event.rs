//! Numbered log events, catalogued in `docs/events.md`.

cornelarch_core::define_log_events! {
    /// Lists every event that a router writes to its log.
    LogEvent;

    /// All ports are bound.
    RouterStarted => 1000, Info, "router started";
    /// A stop was requested.
    DrainStarted => 1001, Info, "drain started";
    /// New requests are refused from now on.
    DrainRefusing => 1002, Info, "new requests are refused";
    /// Requests were still running at the end of the drain time.
    DrainTimedOut => 1003, Warn, "requests still run at the end of the drain time";
    /// Balances could not be handed back.
    BalanceKept => 1004, Warn, "balances could not be handed back and stay held";
    /// The process ends normally.
    RouterStopped => 1005, Info, "router stopped";
    /// A second signal ended the process at once.
    Interrupted => 1006, Error, "ended at once by a second signal";
    /// The state was written to the log on SIGUSR1.
    StateDump => 1007, Info, "state dump";
    /// A background task failed.
    TaskFailed => 1008, Error, "background task failed";
    /// A configuration version is in force.
    ConfigApplied => 1100, Info, "configuration applied";
    /// A configuration object or message cannot be used.
    ConfigRejected => 1101, Error, "configuration rejected";
    /// The platform does not answer configuration reads.
    ConfigPlatformDown => 1102, Warn, "configuration is read from peers because the platform is unavailable";
    /// The platform does not answer ledger calls.
    LedgerPlatformDown => 1200, Warn, "ledger calls to the platform fail";
    /// Ledger calls to the platform succeed again.
    LedgerPlatformUp => 1201, Info, "ledger calls to the platform succeed again";
    /// The result of a ledger write is unknown.
    LedgerWriteUnknown => 1202, Warn, "result of a ledger write is unknown";
    /// A request cost more than its reservation.
    ReservationExceeded => 1203, Warn, "actual cost exceeds the reservation";
    /// A request was settled twice.
    SettlementRefused => 1204, Error, "settlement refused";
    /// A ledger object cannot be used.
    LedgerRejected => 1205, Error, "ledger object rejected";
    /// A peer connection was opened.
    PeerConnected => 1300, Info, "peer connected";
    /// A peer connection was lost or refused.
    PeerLost => 1301, Warn, "peer connection lost";
    /// A frame was not usable.
    PeerFrameRejected => 1302, Warn, "peer frame rejected";
    /// A peer's queue is full.
    PeerQueueFull => 1303, Warn, "peer queue is full, message dropped";
    /// A member changed its state.
    MemberChanged => 1304, Info, "member changed";
    /// An upstream was lost with work in progress.
    UpstreamLost => 1400, Warn, "upstream lost with work in progress";
    /// An upstream does not answer load polls.
    LoadPollFailed => 1401, Debug, "load poll failed";
    /// A request is blocked because it crashed upstreams.
    RequestBlocked => 1402, Warn, "request blocked";
    /// An operator removed a block.
    RequestUnblocked => 1403, Info, "request unblocked";
    /// A stream was resumed at another upstream.
    StreamResumed => 1404, Info, "stream resumed";
    /// A stream ended without its complete answer.
    StreamBroken => 1405, Warn, "stream ended before its answer was complete";
    /// The outcome of an order could not be recorded.
    OrderRecordFailed => 1500, Warn, "order outcome could not be recorded";
    /// An operator request had a wrong key.
    OperatorRefused => 1600, Warn, "operator request with a wrong key";
    /// Metrics cannot be sent.
    MetricsFailed => 1601, Warn, "metrics cannot be sent";
}

/// Writes one numbered event with details to the log.
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
