//! Upstream losses charged to one fingerprint.

use std::collections::BTreeMap;

use crate::base::{MonotonicTime, UpstreamName};

/// Number of losses of one upstream while a request was in flight there. Both counters only grow.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct LossCount {
    pub(super) charged: u32,
    pub(super) cleared: u32,
    pub(super) charged_at: MonotonicTime,
}

impl LossCount {
    /// Returns the number of losses that were not cleared.
    pub(super) const fn uncleared(&self) -> u32 {
        self.charged.saturating_sub(self.cleared)
    }
}

/// The upstream losses charged to one fingerprint.
#[derive(Clone, Debug, Default)]
pub(super) struct LossEntry {
    pub(super) losses: BTreeMap<UpstreamName, LossCount>,
    pub(super) updated_at: MonotonicTime,
}

impl LossEntry {
    /// Returns the number of losses that were not cleared, summed over all upstreams.
    pub(super) fn uncleared(&self) -> u32 {
        self.losses.values().map(LossCount::uncleared).sum()
    }

    /// Charges one loss and returns the number of losses charged for this upstream.
    pub(super) fn charge(&mut self, upstream: &UpstreamName, now: MonotonicTime) -> u32 {
        let count = self.losses.entry(upstream.clone()).or_default();
        count.charged = count.charged.saturating_add(1);
        count.charged_at = now;
        self.updated_at = now;
        count.charged
    }

    /// Merges a counter reported by a peer and returns whether it changed the entry.
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
            self.updated_at = now;
            return true;
        }
        if losses < 0 && value > count.cleared {
            count.cleared = value;
            return true;
        }
        false
    }
}
