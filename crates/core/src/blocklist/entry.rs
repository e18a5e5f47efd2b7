//! Losses that are charged to one fingerprint.

use std::collections::BTreeMap;

use crate::base::{MonotonicTime, UpstreamName};

/// Counts the losses of one upstream with a request in flight. Both counters only grow.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct LossCount {
    pub(super) charged: u32,
    pub(super) cleared: u32,
    pub(super) charged_at: MonotonicTime,
}

impl LossCount {
    /// Returns the losses that were not cleared.
    pub(super) const fn open(&self) -> u32 {
        self.charged.saturating_sub(self.cleared)
    }
}

/// Holds the losses that are charged to one fingerprint.
#[derive(Clone, Debug, Default)]
pub(super) struct LossEntry {
    pub(super) losses: BTreeMap<UpstreamName, LossCount>,
    pub(super) touched: MonotonicTime,
}

impl LossEntry {
    /// Returns the losses that were not cleared, over all upstreams.
    pub(super) fn open(&self) -> u32 {
        self.losses.values().map(LossCount::open).sum()
    }

    /// Charges one loss and returns the new number of losses of this upstream.
    pub(super) fn charge(&mut self, upstream: &UpstreamName, now: MonotonicTime) -> u32 {
        let count = self.losses.entry(upstream.clone()).or_default();
        count.charged = count.charged.saturating_add(1);
        count.charged_at = now;
        self.touched = now;
        count.charged
    }

    /// Merges the counter of a peer and returns whether it was news.
    pub(super) fn merge(
        &mut self,
        upstream: &UpstreamName,
        losses: i32,
        now: MonotonicTime,
    ) -> bool {
        let count = self.losses.entry(upstream.clone()).or_default();
        let value = losses.unsigned_abs();
        if losses >= 0 && value > count.charged {
            count.charged = value;
            count.charged_at = now;
            self.touched = now;
            return true;
        }
        if losses < 0 && value > count.cleared {
            count.cleared = value;
            return true;
        }
        false
    }
}
