//! Crashes charged to one piece of content.

use std::time::Duration;

use crate::{
    base::MonotonicTime,
    blocklist::content::{ContentKey, ContentLoss, ContentRank, CrashName},
};

/// Maximum number of crashes remembered per piece of content.
const LOSSES_MAX: usize = 16;

/// Time of a crash in microseconds since the start of the process; negative if it was before.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct CrashTime(i64);

impl CrashTime {
    /// Returns the time `age` before `now`.
    pub(super) fn before(now: MonotonicTime, age: Duration) -> Self {
        let now = i64::try_from(now.as_micros()).unwrap_or(i64::MAX);
        let age = i64::try_from(age.as_micros()).unwrap_or(i64::MAX);
        Self(now.saturating_sub(age))
    }

    /// Returns the time from this until `now`.
    pub(super) fn age(self, now: MonotonicTime) -> Duration {
        Self::before(now, Duration::ZERO).since(self)
    }

    /// Returns the time since `earlier`, or zero if `earlier` is later.
    fn since(self, earlier: Self) -> Duration {
        let micros = self.0.saturating_sub(earlier.0).max(0);
        Duration::from_micros(micros.unsigned_abs())
    }
}

/// A crash at which the content was in flight.
#[derive(Clone, Debug)]
pub(super) struct ChargedCrash {
    pub(super) crash: CrashName,
    pub(super) is_cleared: bool,
    pub(super) at: CrashTime,
}

impl ChargedCrash {
    /// Returns the report to other instances.
    pub(super) fn describe(
        &self,
        (key, was_answered): (ContentKey, bool),
        now: MonotonicTime,
    ) -> ContentLoss {
        ContentLoss {
            key,
            crash: self.crash.clone(),
            is_cleared: self.is_cleared,
            age: self.at.age(now),
            was_answered,
        }
    }
}

/// Effect of a report on what is known of a crash.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum MergeEffect {
    /// The report says nothing new.
    Known,
    /// The crash is new.
    Charged,
    /// The crash does not count, or no longer.
    Cleared,
}

/// The crashes charged to one piece of content.
#[derive(Clone, Debug, Default)]
pub(super) struct ContentEntry {
    pub(super) rank: ContentRank,
    /// Sorted by time.
    pub(super) crashes: Vec<ChargedCrash>,
    /// Whether some instance has served a request with this content recently.
    pub(super) was_answered: bool,
}

impl ContentEntry {
    /// Iterates over the crashes that were not cleared, the oldest first.
    pub(super) fn uncleared(&self) -> impl DoubleEndedIterator<Item = &ChargedCrash> {
        self.crashes.iter().filter(|crash| !crash.is_cleared)
    }

    /// Returns the time of the last crash.
    pub(super) fn last_at(&self) -> CrashTime {
        self.crashes.last().map(|last| last.at).unwrap_or_default()
    }

    /// Returns whether the last uncleared crash was within `period` before `now`.
    pub(super) fn is_recent(&self, now: MonotonicTime, period: Duration) -> bool {
        let last = self.uncleared().next_back();
        last.is_some_and(|last| last.at.age(now) < period)
    }

    /// Adds a crash or merges it with what is known.
    pub(super) fn merge(
        &mut self,
        crash: &CrashName,
        is_cleared: bool,
        at: CrashTime,
    ) -> MergeEffect {
        if let Some(known) = self.crashes.iter_mut().find(|known| known.crash == *crash) {
            if known.is_cleared || !is_cleared {
                return MergeEffect::Known;
            }
            known.is_cleared = true;
            return MergeEffect::Cleared;
        }
        let index = self.crashes.partition_point(|known| known.at <= at);
        let is_full = self.crashes.len() >= LOSSES_MAX;
        if is_full && index == 0 {
            return MergeEffect::Known;
        }
        let charged = ChargedCrash {
            crash: crash.clone(),
            is_cleared,
            at,
        };
        self.crashes.insert(index, charged);
        if is_full {
            self.crashes.remove(0);
        }
        match is_cleared {
            true => MergeEffect::Cleared,
            false => MergeEffect::Charged,
        }
    }

    /// Clears all crashes and returns those that were not cleared before.
    pub(super) fn clear(&mut self) -> Vec<ChargedCrash> {
        let uncleared = self.crashes.iter_mut().filter(|crash| !crash.is_cleared);
        uncleared
            .map(|crash| {
                crash.is_cleared = true;
                crash.clone()
            })
            .collect()
    }
}

/// Counts the crashes, sorted by time, that are at least `gap` apart, because a domain that loses
/// power takes many upstreams with it at once.
pub(super) fn count_separate(crashes: &[&ChargedCrash], gap: Duration) -> u32 {
    let mut count = 0;
    let mut last: Option<CrashTime> = None;
    for charged in crashes {
        if last.is_none_or(|last| charged.at.since(last) >= gap) {
            count += 1;
            last = Some(charged.at);
        }
    }
    count
}
