//! Crashes charged to one piece of content.

use std::{collections::BTreeSet, time::Duration};

use crate::{
    base::MonotonicTime,
    blocklist::content::{ContentRank, CrashName},
};

/// Maximum number of crashes remembered per piece of content.
const LOSSES_MAX: usize = 16;

/// A crash at which the content was in flight.
#[derive(Clone, Debug)]
pub(super) struct ChargedCrash {
    pub(super) crash: CrashName,
    pub(super) is_cleared: bool,
    pub(super) at: MonotonicTime,
}

/// The crashes charged to one piece of content.
#[derive(Clone, Debug, Default)]
pub(super) struct ContentEntry {
    pub(super) rank: ContentRank,
    pub(super) crashes: Vec<ChargedCrash>,
    /// Whether some instance has served a request with this content recently.
    pub(super) was_answered: bool,
    pub(super) updated_at: MonotonicTime,
}

impl ContentEntry {
    /// Iterates over the crashes that were not cleared, in the order of their detection.
    pub(super) fn uncleared(&self) -> impl Iterator<Item = &ChargedCrash> {
        self.crashes.iter().filter(|crash| !crash.is_cleared)
    }

    /// Adds a crash or merges it with what is known. Returns whether a new one is charged.
    pub(super) fn merge(
        &mut self,
        crash: &CrashName,
        is_cleared: bool,
        now: MonotonicTime,
    ) -> bool {
        if let Some(known) = self.crashes.iter_mut().find(|known| known.crash == *crash) {
            known.is_cleared |= is_cleared;
            return false;
        }
        if self.crashes.len() >= LOSSES_MAX {
            self.crashes.remove(0);
        }
        self.crashes.push(ChargedCrash {
            crash: crash.clone(),
            is_cleared,
            at: now,
        });
        self.updated_at = now;
        !is_cleared
    }

    /// Clears all crashes and returns those that were not cleared before.
    pub(super) fn clear(&mut self) -> Vec<CrashName> {
        let uncleared = self.crashes.iter_mut().filter(|crash| !crash.is_cleared);
        uncleared
            .map(|crash| {
                crash.is_cleared = true;
                crash.crash.clone()
            })
            .collect()
    }

    /// Iterates over the uncleared crashes outside `explained`.
    pub(super) fn unexplained(
        &self,
        explained: &BTreeSet<CrashName>,
    ) -> impl Iterator<Item = &ChargedCrash> {
        let uncleared = self.uncleared();
        uncleared.filter(|charged| !explained.contains(&charged.crash))
    }

    /// Counts the uncleared crashes outside `explained` that are at least `gap` apart, because a
    /// domain that loses power takes many upstreams with it at once.
    pub(super) fn separate(&self, explained: &BTreeSet<CrashName>, gap: Duration) -> u32 {
        let mut count = 0;
        let mut last: Option<MonotonicTime> = None;
        for charged in self.unexplained(explained) {
            if last.is_none_or(|last| charged.at.since(last) >= gap) {
                count += 1;
                last = Some(charged.at);
            }
        }
        count
    }
}
