//! Table of requests that are suspected of crashing upstreams.

use std::{
    collections::{BTreeSet, HashMap, HashSet},
    time::Duration,
};

use slotmap::{SlotMap, new_key_type};

use crate::{
    base::{MonotonicTime, UpstreamName},
    blocklist::{
        CrashEffect, CrashEntry, CrashReport, CrashVerdict, Fingerprint, entry::LossEntry,
    },
};

/// Losses in the domain after which a request is blocked.
const DEFAULT_LOSSES_MAX: u32 = 2;
/// Time for which a request stays blocked or suspected after its last loss.
const DEFAULT_BLOCK: Duration = Duration::from_secs(3600);
/// Largest number of entries.
const DEFAULT_ENTRIES_MAX: usize = 4096;
/// Charges for the same upstream within this time belong to the same loss. Routers notice a loss
/// within their connect timeout, and an engine takes longer than this to load its model again.
const SAME_LOSS_WINDOW: Duration = Duration::from_secs(5);
/// Time after its last loss for which a suspect reserves an upstream for itself. A suspect that
/// is not sent again would otherwise keep others waiting for the whole block time.
const PROBATION: Duration = Duration::from_secs(60);

new_key_type! {
    /// Identifies one attempt in flight in the crash table.
    pub struct FlightKey;
}

/// Configures [`CrashTable`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CrashOptions {
    /// Losses in the domain after which a request is blocked.
    pub losses_max: u32,
    /// Time for which an entry is kept after its last loss.
    pub block: Duration,
    /// Largest number of entries; the oldest is evicted.
    pub entries_max: usize,
}

impl Default for CrashOptions {
    fn default() -> Self {
        Self {
            losses_max: DEFAULT_LOSSES_MAX,
            block: DEFAULT_BLOCK,
            entries_max: DEFAULT_ENTRIES_MAX,
        }
    }
}

#[derive(Clone, Debug)]
struct Flight {
    fingerprint: Fingerprint,
    upstream: UpstreamName,
    started: MonotonicTime,
}

/// Tracks requests in flight and charges those that may have crashed an upstream.
#[derive(Clone, Debug)]
pub struct CrashTable {
    options: CrashOptions,
    entries: HashMap<Fingerprint, LossEntry>,
    ages: BTreeSet<(MonotonicTime, Fingerprint)>,
    flights: SlotMap<FlightKey, Flight>,
    by_upstream: HashMap<UpstreamName, HashSet<FlightKey>>,
}

impl CrashTable {
    /// Creates an empty table.
    #[must_use]
    pub fn new(options: CrashOptions) -> Self {
        Self {
            options,
            entries: HashMap::new(),
            ages: BTreeSet::new(),
            flights: SlotMap::with_key(),
            by_upstream: HashMap::new(),
        }
    }

    /// Returns whether a request may run.
    #[must_use]
    pub fn verdict(&self, fingerprint: Fingerprint, now: MonotonicTime) -> CrashVerdict {
        let Some(entry) = self.entries.get(&fingerprint) else {
            return CrashVerdict::Clear;
        };
        if now.since(entry.touched) >= self.options.block {
            return CrashVerdict::Clear;
        }
        match entry.open() {
            0 => CrashVerdict::Clear,
            losses if losses >= self.options.losses_max => CrashVerdict::Blocked,
            _ => CrashVerdict::Suspect,
        }
    }

    /// Returns the upstreams on which a suspect may not run now.
    ///
    /// The result is empty for a request that is not suspected. `upstreams` are the usable
    /// upstreams of the target. A suspect never runs together with another suspect, because a
    /// crash could then not be attributed to either. All routers of the domain give each suspect
    /// the same single upstream by rendezvous hashing, so that copies of a request at several
    /// routers endanger one upstream only. If there are more suspects than upstreams, all
    /// upstreams are excluded for some of them until others are cleared.
    #[must_use]
    pub fn excluded<'a>(
        &self,
        fingerprint: Fingerprint,
        upstreams: impl IntoIterator<Item = &'a UpstreamName>,
        now: MonotonicTime,
    ) -> Vec<UpstreamName> {
        if self.verdict(fingerprint, now) == CrashVerdict::Clear {
            return Vec::new();
        }
        let rivals: Vec<Fingerprint> = self
            .entries
            .iter()
            .filter(|(other, entry)| {
                **other != fingerprint
                    && now.since(entry.touched) < PROBATION
                    && self.verdict(**other, now) == CrashVerdict::Suspect
            })
            .map(|(other, _)| *other)
            .collect();
        let names: Vec<&UpstreamName> = upstreams.into_iter().collect();
        let is_owned = |name: &&UpstreamName| {
            let own = fingerprint.affinity(name);
            rivals.iter().all(|rival| rival.affinity(name) < own)
        };
        let chosen = names
            .iter()
            .copied()
            .filter(is_owned)
            .max_by_key(|name| fingerprint.affinity(name))
            .filter(|name| !self.has_suspect(name, now));
        let others = names.into_iter().filter(|name| Some(*name) != chosen);
        others.cloned().collect()
    }

    fn has_suspect(&self, upstream: &UpstreamName, now: MonotonicTime) -> bool {
        let flights = self.by_upstream.get(upstream).into_iter().flatten();
        let mut fingerprints = flights.map(|key| self.flights[*key].fingerprint);
        fingerprints.any(|other| self.verdict(other, now) != CrashVerdict::Clear)
    }

    /// Records that an attempt was sent to an upstream.
    pub fn started(
        &mut self,
        fingerprint: Fingerprint,
        upstream: &UpstreamName,
        now: MonotonicTime,
    ) -> FlightKey {
        let key = self.flights.insert(Flight {
            fingerprint,
            upstream: upstream.clone(),
            started: now,
        });
        self.by_upstream
            .entry(upstream.clone())
            .or_default()
            .insert(key);
        key
    }

    /// Records a complete answer, which clears a suspect.
    pub fn answered(&mut self, key: FlightKey, _now: MonotonicTime) -> Vec<CrashEffect> {
        match self.remove_flight(key) {
            Some(flight) => self.clear(flight.fingerprint),
            None => Vec::new(),
        }
    }

    /// Records the end of an attempt without an answer and without the loss of its upstream.
    pub fn ended(&mut self, key: FlightKey) {
        self.remove_flight(key);
    }

    /// Records that an upstream was lost with work in progress.
    ///
    /// Every attempt in flight there is removed. Repeated observations of one loss charge a
    /// fingerprint once, whether they come from several connections or from peers.
    pub fn upstream_lost(
        &mut self,
        upstream: &UpstreamName,
        now: MonotonicTime,
    ) -> Vec<CrashEffect> {
        let keys = self.by_upstream.remove(upstream).unwrap_or_default();
        let flights: Vec<Flight> = keys
            .into_iter()
            .filter_map(|key| self.flights.remove(key))
            .collect();
        let is_suspect =
            |flight: &&Flight| self.verdict(flight.fingerprint, now) != CrashVerdict::Clear;
        let suspects: Vec<Flight> = flights.iter().filter(is_suspect).cloned().collect();
        let charged = if suspects.is_empty() {
            flights
        } else {
            suspects
        };
        let mut effects = Vec::new();
        let mut seen = BTreeSet::new();
        for flight in charged {
            if seen.insert(flight.fingerprint) {
                effects.extend(self.charge(&flight, now));
            }
        }
        effects
    }

    /// Merges a report of a peer. Returns the copies of the request to cancel if it is blocked.
    ///
    /// Nothing is concluded about other requests here: such conclusions would depend on the order
    /// of the reports. The router that noticed a loss draws them and reports them.
    pub fn merge(&mut self, report: &CrashReport, now: MonotonicTime) -> Vec<CrashEffect> {
        let fingerprint = report.fingerprint;
        let entry = self.entry_mut(fingerprint, now);
        let before = entry.touched;
        let is_news = entry.merge(&report.upstream, report.losses, now);
        let after = entry.touched;
        self.move_age(fingerprint, before, after);
        if is_news && self.verdict(fingerprint, now) == CrashVerdict::Blocked {
            self.cancel_copies(fingerprint)
        } else {
            Vec::new()
        }
    }

    /// Removes all suspicion from a request, by order of an operator or of a peer.
    pub fn unblock(&mut self, fingerprint: Fingerprint, _now: MonotonicTime) -> Vec<CrashEffect> {
        self.clear(fingerprint)
    }

    /// Returns every known counter, for a peer that has just joined.
    #[must_use]
    pub fn reports(&self, now: MonotonicTime) -> Vec<CrashReport> {
        let live = self
            .entries
            .iter()
            .filter(|(_, entry)| now.since(entry.touched) < self.options.block);
        let mut reports = Vec::new();
        for (fingerprint, entry) in live {
            for (upstream, count) in &entry.losses {
                for losses in [to_losses(count.charged), -to_losses(count.cleared)] {
                    if losses != 0 {
                        reports.push(CrashReport {
                            fingerprint: *fingerprint,
                            upstream: upstream.clone(),
                            losses,
                        });
                    }
                }
            }
        }
        reports
    }

    /// Removes entries that have expired.
    pub fn expire(&mut self, now: MonotonicTime) {
        while let Some(&(touched, fingerprint)) = self.ages.first() {
            if now.since(touched) < self.options.block {
                break;
            }
            self.ages.pop_first();
            self.entries.remove(&fingerprint);
        }
    }

    /// Returns the suspected and blocked requests for the dump, in order of fingerprints.
    #[must_use]
    pub fn snapshot(&self, now: MonotonicTime) -> Vec<CrashEntry> {
        let mut snapshot: Vec<_> = self
            .entries
            .iter()
            .filter(|(fingerprint, _)| self.verdict(**fingerprint, now) != CrashVerdict::Clear)
            .map(|(fingerprint, entry)| self.describe(*fingerprint, entry, now))
            .collect();
        snapshot.sort_by_key(|entry| entry.fingerprint);
        snapshot
    }

    fn describe(
        &self,
        fingerprint: Fingerprint,
        entry: &LossEntry,
        now: MonotonicTime,
    ) -> CrashEntry {
        let open = entry.losses.iter().filter(|(_, count)| count.open() > 0);
        CrashEntry {
            fingerprint,
            verdict: self.verdict(fingerprint, now),
            losses: open
                .map(|(name, count)| (name.clone(), count.open()))
                .collect(),
            expires_s: (entry.touched + self.options.block).since(now).as_secs(),
        }
    }

    fn charge(&mut self, flight: &Flight, now: MonotonicTime) -> Vec<CrashEffect> {
        let fingerprint = flight.fingerprint;
        let entry = self.entry_mut(fingerprint, now);
        // A loss that a peer has reported after this attempt started is the same loss.
        let is_known = entry.losses.get(&flight.upstream).is_some_and(|count| {
            count.charged_at >= flight.started && now.since(count.charged_at) < SAME_LOSS_WINDOW
        });
        if is_known {
            return Vec::new();
        }
        let before = entry.touched;
        let losses = entry.charge(&flight.upstream, now);
        self.move_age(fingerprint, before, now);
        let mut effects = vec![CrashEffect::Report(CrashReport {
            fingerprint,
            upstream: flight.upstream.clone(),
            losses: to_losses(losses),
        })];
        effects.extend(self.judge(fingerprint, now));
        effects
    }

    /// Draws the conclusions from an own observation.
    ///
    /// A blocked request explains the losses that it shares with others: their charges are
    /// cleared, and its own copies in flight are cancelled.
    fn judge(&mut self, fingerprint: Fingerprint, now: MonotonicTime) -> Vec<CrashEffect> {
        match self.verdict(fingerprint, now) {
            CrashVerdict::Clear => Vec::new(),
            CrashVerdict::Suspect => {
                let is_explained = self
                    .entries
                    .keys()
                    .any(|other| self.explains(*other, fingerprint, now));
                if is_explained {
                    self.clear(fingerprint)
                } else {
                    Vec::new()
                }
            }
            CrashVerdict::Blocked => {
                let explained: Vec<Fingerprint> = self
                    .entries
                    .keys()
                    .filter(|other| self.explains(fingerprint, **other, now))
                    .copied()
                    .collect();
                let mut effects = self.cancel_copies(fingerprint);
                for other in explained {
                    effects.extend(self.clear(other));
                }
                effects
            }
        }
    }

    /// Returns whether `blocked` is blocked and was in flight at every loss of `suspect`.
    fn explains(&self, blocked: Fingerprint, suspect: Fingerprint, now: MonotonicTime) -> bool {
        if self.verdict(blocked, now) != CrashVerdict::Blocked
            || self.verdict(suspect, now) != CrashVerdict::Suspect
        {
            return false;
        }
        let (blocked, suspect) = (&self.entries[&blocked], &self.entries[&suspect]);
        let mut open = suspect.losses.iter().filter(|(_, count)| count.open() > 0);
        open.all(|(upstream, count)| {
            blocked.losses.get(upstream).is_some_and(|other| {
                let apart = other.charged_at.since(count.charged_at)
                    + count.charged_at.since(other.charged_at);
                other.open() > 0 && apart < SAME_LOSS_WINDOW
            })
        })
    }

    /// Returns the entry of a fingerprint, which is added if necessary.
    fn entry_mut(&mut self, fingerprint: Fingerprint, now: MonotonicTime) -> &mut LossEntry {
        // Losses of an expired entry must not add to new ones.
        self.expire(now);
        if !self.entries.contains_key(&fingerprint) {
            self.make_room();
            self.ages.insert((now, fingerprint));
        }
        self.entries
            .entry(fingerprint)
            .or_insert_with(|| LossEntry {
                touched: now,
                ..LossEntry::default()
            })
    }

    fn clear(&mut self, fingerprint: Fingerprint) -> Vec<CrashEffect> {
        let Some(entry) = self.entries.get_mut(&fingerprint) else {
            return Vec::new();
        };
        let mut effects = Vec::new();
        for (upstream, count) in &mut entry.losses {
            if count.open() > 0 {
                count.cleared = count.charged;
                effects.push(CrashEffect::Report(CrashReport {
                    fingerprint,
                    upstream: upstream.clone(),
                    losses: -to_losses(count.cleared),
                }));
            }
        }
        effects
    }

    fn cancel_copies(&self, fingerprint: Fingerprint) -> Vec<CrashEffect> {
        self.flights
            .iter()
            .filter(|(_, flight)| flight.fingerprint == fingerprint)
            .map(|(key, _)| CrashEffect::Cancel(key))
            .collect()
    }

    fn remove_flight(&mut self, key: FlightKey) -> Option<Flight> {
        let flight = self.flights.remove(key)?;
        if let Some(flights) = self.by_upstream.get_mut(&flight.upstream) {
            flights.remove(&key);
            if flights.is_empty() {
                self.by_upstream.remove(&flight.upstream);
            }
        }
        Some(flight)
    }

    fn move_age(&mut self, fingerprint: Fingerprint, before: MonotonicTime, after: MonotonicTime) {
        self.ages.remove(&(before, fingerprint));
        self.ages.insert((after, fingerprint));
    }

    fn make_room(&mut self) {
        while self.entries.len() >= self.options.entries_max.max(1) {
            let Some((_, oldest)) = self.ages.pop_first() else {
                break;
            };
            self.entries.remove(&oldest);
        }
    }
}

fn to_losses(count: u32) -> i32 {
    i32::try_from(count).unwrap_or(i32::MAX)
}
