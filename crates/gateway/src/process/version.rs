//! Configuration versions that are known, but not in force here.

use std::time::Duration;

use parking_lot::Mutex;
use tokio::time::Instant;

/// Delay after which an instance counts as behind its peers: a watch and the calls to a slow
/// platform take less.
const BEHIND_MIN: Duration = Duration::from_secs(1);

#[derive(Debug, Default)]
struct Lag {
    newest: u64,
    active: u64,
    behind_since: Option<Instant>,
    is_reported: bool,
    exchange: ExchangeCounts,
}

/// Messages of the exchange with peers since the active version has been behind.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ExchangeCounts {
    /// Requests sent.
    pub(crate) asked: u32,
    /// Parts of configurations received.
    pub(crate) parts: u32,
}

/// How far the active configuration is, or was, behind that of the peers.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LagReport {
    /// Newest known version.
    pub(crate) newest: u64,
    /// Time for which a newer version than the active one has been known.
    pub(crate) behind: Duration,
    pub(crate) exchange: ExchangeCounts,
}

impl Lag {
    fn report(&self) -> LagReport {
        LagReport {
            newest: self.newest,
            behind: self.behind_since.map_or(Duration::ZERO, |at| at.elapsed()),
            exchange: self.exchange,
        }
    }
}

/// Compares the active configuration version with the newest one that a peer has announced.
#[derive(Debug, Default)]
pub(crate) struct VersionMonitor {
    lag: Mutex<Lag>,
}

impl VersionMonitor {
    /// Records the active version of a peer.
    pub(crate) fn record_peer(&self, version: u64) {
        let mut lag = self.lag.lock();
        lag.newest = lag.newest.max(version);
        if lag.newest > lag.active {
            lag.behind_since.get_or_insert_with(Instant::now);
        }
    }

    /// Records the own active version and returns how far the previous one was behind.
    pub(crate) fn record_active(&self, version: u64) -> LagReport {
        let mut lag = self.lag.lock();
        lag.active = version;
        lag.newest = lag.newest.max(version);
        let report = lag.report();
        if lag.active >= lag.newest {
            lag.behind_since = None;
            lag.is_reported = false;
            lag.exchange = ExchangeCounts::default();
        }
        report
    }

    /// Records a request to a peer.
    pub(crate) fn record_request(&self) {
        self.lag.lock().exchange.asked += 1;
    }

    /// Records a part of a configuration from a peer.
    pub(crate) fn record_part(&self) {
        let mut lag = self.lag.lock();
        if lag.behind_since.is_some() {
            lag.exchange.parts += 1;
        }
    }

    /// Returns how far the active version is behind, once per lag.
    pub(crate) fn take_report(&self) -> Option<LagReport> {
        let mut lag = self.lag.lock();
        let behind = lag.behind_since?.elapsed();
        if lag.is_reported || behind < BEHIND_MIN {
            return None;
        }
        lag.is_reported = true;
        Some(lag.report())
    }

    /// Returns for how long a version newer than the active one has been known, if there is one.
    pub(crate) fn behind(&self) -> Option<Duration> {
        self.lag.lock().behind_since.map(|since| since.elapsed())
    }

    /// Returns the newest known version.
    pub(crate) fn newest(&self) -> u64 {
        self.lag.lock().newest
    }
}
