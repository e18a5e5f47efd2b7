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

    /// Records the own active version and returns for how long a newer one than the previous was
    /// known.
    pub(crate) fn record_active(&self, version: u64) -> Duration {
        let mut lag = self.lag.lock();
        lag.active = version;
        lag.newest = lag.newest.max(version);
        let behind = lag.behind_since.map_or(Duration::ZERO, |at| at.elapsed());
        if lag.active >= lag.newest {
            lag.behind_since = None;
            lag.is_reported = false;
        }
        behind
    }

    /// Returns the newest known version and how long the active one has been behind, once per lag.
    pub(crate) fn take_report(&self) -> Option<(u64, Duration)> {
        let mut lag = self.lag.lock();
        let behind = lag.behind_since?.elapsed();
        if lag.is_reported || behind < BEHIND_MIN {
            return None;
        }
        lag.is_reported = true;
        Some((lag.newest, behind))
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
