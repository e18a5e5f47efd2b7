//! Table of requests suspected of crashing upstreams.

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
/// Default limit on the number of entries.
const DEFAULT_ENTRIES_MAX: usize = 4096;
/// Charges for the same upstream within this time belong to the same loss. Routers detect a loss
/// within their connect timeout, and an engine takes longer than this to reload its model.
const SAME_LOSS_WINDOW: Duration = Duration::from_secs(5);
/// Time after its last loss for which an upstream is reserved for a suspect. Without this limit, a
/// suspect that is not sent again would make others wait for the whole block time.
const SUSPECT_RESERVATION: Duration = Duration::from_secs(60);

new_key_type! {
    /// Identifies one attempt in flight in the crash table.
    pub struct FlightKey;
}

/// Options of [`CrashTable`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CrashOptions {
    /// Losses in the domain after which a request is blocked.
    pub losses_max: u32,
    /// Time for which an entry is kept after its last loss.
    pub block: Duration,
    /// Largest number of entries; the oldest one is evicted when the table is full.
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

/// Tracks requests in flight and charges losses to those that may have crashed an upstream.
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
        if now.since(entry.updated_at) >= self.options.block {
            return CrashVerdict::Clear;
        }
        match entry.uncleared() {
            0 => CrashVerdict::Clear,
            losses if losses >= self.options.losses_max => CrashVerdict::Blocked,
            _ => CrashVerdict::Suspect,
        }
    }

    /// Returns the upstreams on which a suspect must not run now.
    ///
    /// The result is empty for a request that is not suspected. `upstreams` are the usable
    /// upstreams of the target. Two suspects never share an upstream, because a crash could then
    /// not be attributed to either. By rendezvous hashing, all routers of the domain assign a
    /// suspect the same single upstream, so that copies of a request at several routers can crash
    /// only one upstream. If there are more suspects than upstreams, all upstreams are excluded for
    /// some suspects until others are cleared.
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
        let other_suspects: Vec<Fingerprint> = self
            .entries
            .iter()
            .filter(|(other, entry)| {
                **other != fingerprint
                    && now.since(entry.updated_at) < SUSPECT_RESERVATION
                    && self.verdict(**other, now) == CrashVerdict::Suspect
            })
            .map(|(other, _)| *other)
            .collect();
        let names: Vec<&UpstreamName> = upstreams.into_iter().collect();
        let ranks_first = |name: &&UpstreamName| {
            let own_rank = fingerprint.rendezvous_rank(name);
            other_suspects
                .iter()
                .all(|other| other.rendezvous_rank(name) < own_rank)
        };
        let assigned = names
            .iter()
            .copied()
            .filter(ranks_first)
            .max_by_key(|name| fingerprint.rendezvous_rank(name))
            .filter(|name| !self.has_suspect(name, now));
        let others = names.into_iter().filter(|name| Some(*name) != assigned);
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

    /// Records a complete answer, which clears the losses of the request.
    pub fn answered(&mut self, key: FlightKey, _now: MonotonicTime) -> Vec<CrashEffect> {
        match self.remove_flight(key) {
            Some(flight) => self.clear(flight.fingerprint),
            None => Vec::new(),
        }
    }

    /// Records that an attempt ended without an answer and without the loss of its upstream.
    pub fn ended(&mut self, key: FlightKey) {
        self.remove_flight(key);
    }

    /// Records that an upstream was lost with attempts in flight.
    ///
    /// All attempts in flight there are removed. The loss is charged only to suspects if there are
    /// any. Repeated observations of one loss, by several connections or by peers, charge a
    /// fingerprint once.
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

    /// Merges a report of a peer. Returns the attempts to cancel if the request is now blocked.
    ///
    /// The losses of other requests are not cleared here, because the result would depend on the
    /// order of the reports. The router that detected a loss does so and reports it.
    pub fn merge(&mut self, report: &CrashReport, now: MonotonicTime) -> Vec<CrashEffect> {
        let fingerprint = report.fingerprint;
        let entry = self.entry_mut(fingerprint, now);
        let before = entry.updated_at;
        let is_changed = entry.merge(&report.upstream, report.losses, now);
        let after = entry.updated_at;
        self.update_age(fingerprint, before, after);
        if is_changed && self.verdict(fingerprint, now) == CrashVerdict::Blocked {
            self.cancel_copies(fingerprint)
        } else {
            Vec::new()
        }
    }

    /// Clears all losses of a request, on behalf of an operator or of a peer.
    pub fn unblock(&mut self, fingerprint: Fingerprint, _now: MonotonicTime) -> Vec<CrashEffect> {
        self.clear(fingerprint)
    }

    /// Returns all counters as reports for a peer that has just joined.
    #[must_use]
    pub fn reports(&self, now: MonotonicTime) -> Vec<CrashReport> {
        let live = self
            .entries
            .iter()
            .filter(|(_, entry)| now.since(entry.updated_at) < self.options.block);
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
        while let Some(&(updated_at, fingerprint)) = self.ages.first() {
            if now.since(updated_at) < self.options.block {
                break;
            }
            self.ages.pop_first();
            self.entries.remove(&fingerprint);
        }
    }

    /// Returns the suspected and blocked requests for the dump, sorted by fingerprint.
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
        let uncleared = entry
            .losses
            .iter()
            .filter(|(_, count)| count.uncleared() > 0);
        CrashEntry {
            fingerprint,
            verdict: self.verdict(fingerprint, now),
            losses: uncleared
                .map(|(name, count)| (name.clone(), count.uncleared()))
                .collect(),
            expires_s: (entry.updated_at + self.options.block).since(now).as_secs(),
        }
    }

    fn charge(&mut self, flight: &Flight, now: MonotonicTime) -> Vec<CrashEffect> {
        let fingerprint = flight.fingerprint;
        let entry = self.entry_mut(fingerprint, now);
        // A loss reported by a peer after this attempt started is the same loss.
        let is_duplicate = entry.losses.get(&flight.upstream).is_some_and(|count| {
            count.charged_at >= flight.started && now.since(count.charged_at) < SAME_LOSS_WINDOW
        });
        if is_duplicate {
            return Vec::new();
        }
        let before = entry.updated_at;
        let losses = entry.charge(&flight.upstream, now);
        self.update_age(fingerprint, before, now);
        let mut effects = vec![CrashEffect::Report(CrashReport {
            fingerprint,
            upstream: flight.upstream.clone(),
            losses: to_losses(losses),
        })];
        effects.extend(self.attribute_losses(fingerprint, now));
        effects
    }

    /// Attributes shared losses after this router has charged a loss to `fingerprint`.
    ///
    /// A blocked request accounts for the losses that it shares with suspects: the charges of these
    /// suspects are cleared, and the attempts of the blocked request in flight are cancelled.
    fn attribute_losses(
        &mut self,
        fingerprint: Fingerprint,
        now: MonotonicTime,
    ) -> Vec<CrashEffect> {
        match self.verdict(fingerprint, now) {
            CrashVerdict::Clear => Vec::new(),
            CrashVerdict::Suspect => {
                let is_accounted_for = self
                    .entries
                    .keys()
                    .any(|other| self.accounts_for(*other, fingerprint, now));
                if is_accounted_for {
                    self.clear(fingerprint)
                } else {
                    Vec::new()
                }
            }
            CrashVerdict::Blocked => {
                let accounted_for: Vec<Fingerprint> = self
                    .entries
                    .keys()
                    .filter(|other| self.accounts_for(fingerprint, **other, now))
                    .copied()
                    .collect();
                let mut effects = self.cancel_copies(fingerprint);
                for other in accounted_for {
                    effects.extend(self.clear(other));
                }
                effects
            }
        }
    }

    /// Returns whether `blocked` is blocked and was in flight at every loss of `suspect`.
    fn accounts_for(&self, blocked: Fingerprint, suspect: Fingerprint, now: MonotonicTime) -> bool {
        if self.verdict(blocked, now) != CrashVerdict::Blocked
            || self.verdict(suspect, now) != CrashVerdict::Suspect
        {
            return false;
        }
        let (blocked, suspect) = (&self.entries[&blocked], &self.entries[&suspect]);
        let mut uncleared = suspect
            .losses
            .iter()
            .filter(|(_, count)| count.uncleared() > 0);
        uncleared.all(|(upstream, count)| {
            blocked.losses.get(upstream).is_some_and(|other| {
                let time_between = other.charged_at.since(count.charged_at)
                    + count.charged_at.since(other.charged_at);
                other.uncleared() > 0 && time_between < SAME_LOSS_WINDOW
            })
        })
    }

    /// Returns the entry of a fingerprint, inserting it if necessary.
    fn entry_mut(&mut self, fingerprint: Fingerprint, now: MonotonicTime) -> &mut LossEntry {
        // Losses of an expired entry must not be added to new ones.
        self.expire(now);
        if !self.entries.contains_key(&fingerprint) {
            self.evict_oldest();
            self.ages.insert((now, fingerprint));
        }
        self.entries
            .entry(fingerprint)
            .or_insert_with(|| LossEntry {
                updated_at: now,
                ..LossEntry::default()
            })
    }

    fn clear(&mut self, fingerprint: Fingerprint) -> Vec<CrashEffect> {
        let Some(entry) = self.entries.get_mut(&fingerprint) else {
            return Vec::new();
        };
        let mut effects = Vec::new();
        for (upstream, count) in &mut entry.losses {
            if count.uncleared() > 0 {
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

    fn update_age(
        &mut self,
        fingerprint: Fingerprint,
        before: MonotonicTime,
        after: MonotonicTime,
    ) {
        self.ages.remove(&(before, fingerprint));
        self.ages.insert((after, fingerprint));
    }

    fn evict_oldest(&mut self) {
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
