//! Table of content that is charged with crashes.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet, HashMap},
    time::Duration,
};

use serde::Serialize;

use crate::{
    base::MonotonicTime,
    blocklist::{
        Fingerprint,
        content::{
            ContentKey, ContentLoss, ContentRank, ContentReport, CrashName,
            entry::{ChargedCrash, ContentEntry, CrashTime, MergeEffect, count_separate},
        },
    },
};

/// Crashes after which content is blocked. Two may be a coincidence: a request that is lost with
/// its upstream is often sent again, possibly to another upstream that fails for other reasons.
const DEFAULT_LOSSES_MAX: u32 = 3;
/// Time without a further crash after which requests with the content are served again.
const DEFAULT_BLOCK: Duration = Duration::from_secs(900);
/// Time without a further crash after which earlier ones are forgotten, in multiples of the block.
const MEMORY_FACTOR: u32 = 3;
/// Time between crashes below which they count as one.
const DEFAULT_CRASH_GAP: Duration = Duration::from_millis(100);
/// The same for content of which requests were answered recently. Answers take about a second, so
/// that they cannot clear it between crashes that come faster.
const DEFAULT_ANSWERED_GAP: Duration = Duration::from_secs(1);
/// Time for which an answer speaks for the content of its request.
const DEFAULT_ANSWER_AGE: Duration = Duration::from_secs(60);
/// Default limit on the number of entries, and of pieces of content with answers.
const DEFAULT_ENTRIES_MAX: usize = 4_096;
/// Fraction of the crashes of the content with the most that a prompt part must have to be
/// considered as their cause. The rest allows for lost reports and unrelated crashes.
const EXPLAINED_FRACTION: f64 = 0.75;

/// Options of [`ContentTable`].
#[derive(Clone, Debug, PartialEq)]
pub struct ContentOptions {
    /// Crashes after which content is blocked.
    pub losses_max: u32,
    /// Time without a further crash after which requests with the content are served again. For two
    /// more such times, a single crash blocks it again.
    pub block: Duration,
    /// Time between crashes below which they count as one.
    pub crash_gap: Duration,
    /// Time between crashes below which they count as one for content of which requests were
    /// answered recently.
    pub answered_gap: Duration,
    /// Time for which an answer speaks for the content of its request.
    pub answer_age: Duration,
    /// Maximum number of entries; the oldest are evicted first.
    pub entries_max: usize,
}

impl Default for ContentOptions {
    fn default() -> Self {
        Self {
            losses_max: DEFAULT_LOSSES_MAX,
            block: DEFAULT_BLOCK,
            crash_gap: DEFAULT_CRASH_GAP,
            answered_gap: DEFAULT_ANSWERED_GAP,
            answer_age: DEFAULT_ANSWER_AGE,
            entries_max: DEFAULT_ENTRIES_MAX,
        }
    }
}

/// A piece of blocked content.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct BlockedContent {
    /// The content.
    pub key: ContentKey,
    /// Crashes charged to it.
    pub crashes: usize,
}

/// Relates crashes of upstreams to the content of the requests that were in flight there.
#[derive(Clone, Debug)]
pub struct ContentTable {
    options: ContentOptions,
    entries: HashMap<Fingerprint, ContentEntry>,
    answered: HashMap<Fingerprint, MonotonicTime>,
    blocked: BTreeMap<Fingerprint, BlockedContent>,
    has_changed: bool,
}

impl ContentTable {
    /// Creates an empty table.
    #[must_use]
    pub fn new(options: ContentOptions) -> Self {
        Self {
            options,
            entries: HashMap::new(),
            answered: HashMap::new(),
            blocked: BTreeMap::new(),
            has_changed: false,
        }
    }

    /// Returns the blocked content of a request, if any.
    #[must_use]
    pub fn find_blocked(&self, keys: &[ContentKey]) -> Option<&BlockedContent> {
        if self.blocked.is_empty() {
            return None;
        }
        keys.iter()
            .find_map(|key| self.blocked.get(&key.fingerprint))
    }

    /// Returns whether a request that was lost must not be sent again, because it has content that
    /// one more crash would block and that nobody has served.
    #[must_use]
    pub fn is_suspect(&self, keys: &[ContentKey], now: MonotonicTime) -> bool {
        let entries = keys
            .iter()
            .filter_map(|key| self.entries.get(&key.fingerprint));
        let mut recent = entries.filter(|entry| entry.is_recent(now, self.options.block));
        recent.any(|entry| {
            let crashes = entry.uncleared().count();
            crashes + 1 >= self.options.losses_max as usize && !entry.was_answered
        })
    }

    /// Iterates over all blocked content.
    pub fn blocked(&self) -> impl Iterator<Item = &BlockedContent> {
        self.blocked.values()
    }

    /// Returns the number of charged pieces of content.
    #[must_use]
    pub fn charged_count(&self) -> usize {
        self.entries.len()
    }

    /// Records an answer of an upstream, which clears the content of the request. Returns the
    /// report to the other instances.
    pub fn record_answer(&mut self, keys: &[ContentKey], now: MonotonicTime) -> ContentReport {
        let mut report = ContentReport::default();
        for key in keys {
            self.record_answered(key.fingerprint, now);
            if let Some(entry) = self.entries.get_mut(&key.fingerprint) {
                let cleared = entry.clear();
                let losses = cleared
                    .iter()
                    .map(|charged| charged.describe((*key, true), now));
                report.losses.extend(losses);
            }
        }
        self.has_changed |= !report.is_empty();
        report
    }

    /// Charges a crash to the content of requests that were in flight there. Returns the report to
    /// the other instances.
    pub fn record_crash(
        &mut self,
        crash: &CrashName,
        keys: &[ContentKey],
        now: MonotonicTime,
    ) -> ContentReport {
        let losses = keys.iter().map(|key| ContentLoss {
            key: *key,
            crash: crash.clone(),
            is_cleared: false,
            age: Duration::ZERO,
            was_answered: self.is_known_good(key.fingerprint, now),
        });
        let report = ContentReport {
            losses: losses.collect(),
            answered: Vec::new(),
        };
        let answered = self.merge(&report, now).answered;
        ContentReport { answered, ..report }
    }

    /// Merges the report of another instance. Returns the answer to all instances, which speaks for
    /// newly charged content of which this instance has served requests.
    pub fn merge(&mut self, report: &ContentReport, now: MonotonicTime) -> ContentReport {
        let mut answer = ContentReport::default();
        let memory = self.options.block * MEMORY_FACTOR;
        for loss in report.losses.iter().filter(|loss| loss.age < memory) {
            let is_served = self.was_answered(loss.key.fingerprint, now);
            let at = CrashTime::before(now, loss.age);
            let entry = self.entry_mut(loss.key);
            let effect = entry.merge(&loss.crash, loss.is_cleared, at);
            entry.was_answered |= loss.was_answered;
            if effect == MergeEffect::Charged && is_served && !entry.was_answered {
                entry.was_answered = true;
                answer.answered.push(loss.key);
            }
            self.has_changed |= effect != MergeEffect::Known;
        }
        for key in &report.answered {
            let entry = self.entry_mut(*key);
            let is_new = !entry.was_answered;
            entry.was_answered = true;
            self.has_changed |= is_new;
        }
        answer
    }

    /// Returns what is known of the blocked content, for instances that may not know of it.
    #[must_use]
    pub fn blocked_report(&self, now: MonotonicTime) -> ContentReport {
        let mut report = ContentReport::default();
        for (fingerprint, blocked) in &self.blocked {
            let Some(entry) = self.entries.get(fingerprint) else {
                continue;
            };
            let content = (blocked.key, entry.was_answered);
            let losses = entry
                .uncleared()
                .map(|charged| charged.describe(content, now));
            report.losses.extend(losses);
        }
        report
    }

    /// Clears all crashes of a piece of content, on behalf of an operator. Returns the report to the
    /// other instances.
    pub fn unblock(&mut self, fingerprint: Fingerprint, now: MonotonicTime) -> ContentReport {
        let Some(entry) = self.entries.get_mut(&fingerprint) else {
            return ContentReport::default();
        };
        let key = ContentKey {
            fingerprint,
            rank: entry.rank,
        };
        self.has_changed = true;
        let was_answered = entry.was_answered;
        let cleared = entry.clear();
        ContentReport {
            losses: cleared
                .iter()
                .map(|charged| charged.describe((key, was_answered), now))
                .collect(),
            answered: Vec::new(),
        }
    }

    /// Forgets crashes that were long ago. Blocked content needs a new decision as time passes.
    pub fn expire(&mut self, now: MonotonicTime) {
        let memory = self.options.block * MEMORY_FACTOR;
        self.entries
            .retain(|_, entry| entry.last_at().age(now) < memory);
        self.has_changed |= !self.blocked.is_empty();
    }

    /// Returns whether [`evaluate`](Self::evaluate) is due.
    #[must_use]
    pub const fn has_changed(&self) -> bool {
        self.has_changed
    }

    /// Returns whether some instance has served a request with the content recently.
    fn is_known_good(&self, fingerprint: Fingerprint, now: MonotonicTime) -> bool {
        let entry = self.entries.get(&fingerprint);
        self.was_answered(fingerprint, now) || entry.is_some_and(|entry| entry.was_answered)
    }

    fn was_answered(&self, fingerprint: Fingerprint, now: MonotonicTime) -> bool {
        let answered = self.answered.get(&fingerprint);
        answered.is_some_and(|at| now.since(*at) < self.options.answer_age)
    }

    fn record_answered(&mut self, fingerprint: Fingerprint, now: MonotonicTime) {
        if self.answered.len() >= self.options.entries_max {
            let mut times: Vec<MonotonicTime> = self.answered.values().copied().collect();
            let middle = times.len() / 2;
            let (_, median, _) = times.select_nth_unstable(middle);
            let median = *median;
            self.answered.retain(|_, at| *at > median);
        }
        self.answered.insert(fingerprint, now);
    }

    fn entry_mut(&mut self, key: ContentKey) -> &mut ContentEntry {
        let is_known = self.entries.contains_key(&key.fingerprint);
        if !is_known && self.entries.len() >= self.options.entries_max.max(1) {
            self.evict_oldest();
        }
        let entry = self.entries.entry(key.fingerprint).or_default();
        entry.rank = entry.rank.max(key.rank);
        entry
    }

    /// Evicts the oldest entry that is not blocked, or the oldest if all are.
    fn evict_oldest(&mut self) {
        let oldest = self.entries.iter().min_by_key(|(fingerprint, entry)| {
            (self.blocked.contains_key(fingerprint), entry.last_at())
        });
        if let Some(fingerprint) = oldest.map(|(fingerprint, _)| *fingerprint) {
            self.entries.remove(&fingerprint);
            self.blocked.remove(&fingerprint);
        }
    }

    /// Chooses the content that explains the uncleared crashes: repeatedly the most probable of
    /// those with the most unexplained crashes.
    ///
    /// The reports of one crash arrive one after the other, so that a decision before the last of
    /// them may hit the wrong content.
    pub fn evaluate(&mut self, now: MonotonicTime) {
        self.has_changed = false;
        let before = std::mem::take(&mut self.blocked);
        let mut candidates = self.candidates(&before, now);
        let mut blocked = BTreeMap::new();
        loop {
            candidates.retain(|candidate| candidate.is_charged(&self.options));
            let Some(cause) = choose_cause(&candidates) else {
                break;
            };
            let crashes: BTreeSet<CrashName> = cause
                .entry
                .uncleared()
                .map(|charged| charged.crash.clone())
                .collect();
            let content = BlockedContent {
                key: ContentKey {
                    fingerprint: cause.fingerprint,
                    rank: cause.entry.rank,
                },
                crashes: crashes.len(),
            };
            blocked.insert(cause.fingerprint, content);
            for candidate in &mut candidates {
                candidate.remove(&crashes);
            }
        }
        self.blocked = blocked;
    }

    /// Returns the content with recent crashes, `blocked` being blocked so far. A shared part needs
    /// crashes of its own beside those of more specific content that is blocked.
    fn candidates(
        &self,
        blocked: &BTreeMap<Fingerprint, BlockedContent>,
        now: MonotonicTime,
    ) -> Vec<Candidate<'_>> {
        let entries = self.entries.iter();
        let recent = entries.filter(|(_, entry)| entry.is_recent(now, self.options.block));
        let mut candidates: Vec<Candidate<'_>> = recent
            .map(|(fingerprint, entry)| Candidate::new(*fingerprint, entry))
            .filter(|candidate| candidate.is_charged(&self.options))
            .collect();
        let specific = blocked.keys().filter_map(|key| self.entries.get(key));
        for other in specific {
            let crashes = other.uncleared().map(|charged| charged.crash.clone());
            let crashes: BTreeSet<CrashName> = crashes.collect();
            let shared = candidates.iter_mut();
            for candidate in shared.filter(|candidate| candidate.entry.rank < other.rank) {
                candidate.remove(&crashes);
            }
        }
        candidates
    }
}

/// Content that may be the cause of crashes.
#[derive(Clone, Debug)]
struct Candidate<'a> {
    fingerprint: Fingerprint,
    entry: &'a ContentEntry,
    /// Uncleared crashes that no other content explains, the oldest first.
    unexplained: Vec<&'a ChargedCrash>,
}

impl<'a> Candidate<'a> {
    fn new(fingerprint: Fingerprint, entry: &'a ContentEntry) -> Self {
        Self {
            fingerprint,
            entry,
            unexplained: entry.uncleared().collect(),
        }
    }

    /// Removes crashes that other content explains.
    fn remove(&mut self, explained: &BTreeSet<CrashName>) {
        self.unexplained
            .retain(|charged| !explained.contains(&charged.crash));
    }

    /// Returns whether the unexplained crashes suffice to block the content.
    fn is_charged(&self, options: &ContentOptions) -> bool {
        let gap = match self.entry.was_answered {
            true => options.answered_gap,
            false => options.crash_gap,
        };
        count_separate(&self.unexplained, gap) >= options.losses_max
    }
}

/// Returns the most probable cause of the unexplained crashes.
fn choose_cause<'a, 'b>(candidates: &'b [Candidate<'a>]) -> Option<&'b Candidate<'a>> {
    let counts = candidates.iter();
    let most = counts.map(|candidate| candidate.unexplained.len()).max()?;
    let enough = most as f64 * EXPLAINED_FRACTION;
    let probable = candidates.iter().filter(|candidate| {
        let count = candidate.unexplained.len();
        let is_part = candidate.entry.rank != ContentRank::REQUEST;
        count == most || is_part && count as f64 >= enough
    });
    probable.max_by_key(|candidate| {
        let entry = candidate.entry;
        (
            !entry.was_answered,
            entry.rank,
            Reverse(candidate.fingerprint),
        )
    })
}
