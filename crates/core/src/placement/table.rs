//! Table of upstreams and selection among them.

use std::{
    collections::{BTreeSet, HashMap},
    time::Duration,
};

use slotmap::{SlotMap, new_key_type};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{
    base::{DomainName, MonotonicTime, ServiceName, UpstreamName},
    notice::{ColdContext, ColdRule, LimitNotice, NoticeContext, UpstreamNotice},
    placement::{
        EvacuationChange, EvacuationState, FlightOutcome, LimitReport, NoticeNews, Placement,
        PlacementOptions, PlacementRefusal, PlacementRequest, RequestSize, UpstreamDeparture,
        UpstreamIncarnation, UpstreamRecord, departure::PendingDepartures, entry::UpstreamEntry,
        evacuation::EvacuationTracker, former::FormerUpstreams, home::HomeDomains, shared_parts,
    },
};

new_key_type! {
    /// Identifies an upstream in a [`PlacementTable`].
    pub struct PlacementKey;
    /// Identifies a request at an upstream.
    pub struct FlightKey;
}

#[derive(Clone, Debug)]
struct InFlightRequest {
    upstream: PlacementKey,
    /// Incarnation of the upstream that got the request.
    incarnation: Option<UpstreamIncarnation>,
    size: RequestSize,
    /// Uncached prompt tokens, counted as pending until the first token.
    pending_tokens: f64,
    /// Predicted time to first token in seconds at speed 1; `None` for plain services.
    predicted_s: Option<f64>,
    started: MonotonicTime,
    has_begun: bool,
}

/// The upstreams of all services and the requests in flight.
#[derive(Clone, Debug)]
pub struct PlacementTable {
    options: PlacementOptions,
    entries: SlotMap<PlacementKey, UpstreamEntry>,
    names: HashMap<UpstreamName, PlacementKey>,
    groups: HashMap<ServiceName, Vec<PlacementKey>>,
    flights: SlotMap<FlightKey, InFlightRequest>,
    former: FormerUpstreams,
    departures: PendingDepartures,
    evacuations: EvacuationTracker,
    /// How the cold upstreams of each service are used.
    cold_rules: HashMap<ServiceName, ColdRule>,
    /// Number of instances that share the limits of upstreams.
    instances: usize,
}

impl PlacementTable {
    /// Creates an empty table.
    #[must_use]
    pub fn new(options: PlacementOptions) -> Self {
        Self {
            options,
            entries: SlotMap::with_key(),
            names: HashMap::new(),
            groups: HashMap::new(),
            flights: SlotMap::with_key(),
            former: FormerUpstreams::default(),
            departures: PendingDepartures::default(),
            evacuations: EvacuationTracker::default(),
            cold_rules: HashMap::new(),
            instances: 1,
        }
    }

    /// Sets the number of instances that share the limits of upstreams, including this one. A limit
    /// that is in force is divided anew with the next response that names it.
    pub fn set_instances(&mut self, instances: usize) {
        if self.instances != instances {
            self.instances = instances;
            self.divide_cold();
        }
    }

    /// Sets how the cold upstreams of each service are used. Those of other services need no care.
    pub fn set_cold_rules(&mut self, rules: HashMap<ServiceName, ColdRule>) {
        if self.cold_rules != rules {
            self.cold_rules = rules;
            self.divide_cold();
        }
    }

    fn divide_cold(&mut self) {
        let keys: Vec<PlacementKey> = self.entries.keys().collect();
        for key in keys {
            let context = self.cold_context(key);
            self.entries[key].cold.divide(&context);
        }
    }

    fn cold_context(&self, key: PlacementKey) -> ColdContext {
        let record = &self.entries[key].record;
        ColdContext {
            rule: self.cold_rules.get(&record.service).copied(),
            instances: self.instances,
            phase: phase(&record.name, self.options.seed),
        }
    }

    /// Records what the directory states about the cold period of an upstream whose record was just
    /// applied. `has_started` tells that it has come up since the directory was first read. Returns
    /// whether the upstream has become cold.
    pub fn update_cold(
        &mut self,
        name: &UpstreamName,
        has_started: bool,
        now: MonotonicTime,
    ) -> bool {
        let Some(key) = self.names.get(name).copied() else {
            return false;
        };
        let context = self.cold_context(key);
        let entry = &mut self.entries[key];
        let was_cold = entry.cold.is_cold(now);
        entry.update_cold(has_started, &context, now);
        !was_cold && entry.cold.is_cold(now)
    }

    /// Returns the number of listed upstreams that are cold.
    #[must_use]
    pub fn cold_count(&self, now: MonotonicTime) -> usize {
        let cold = |entry: &&UpstreamEntry| entry.is_listed() && entry.cold.is_cold(now);
        self.entries.values().filter(cold).count()
    }

    /// Takes over the evacuated domains, unless the known state is as new, and returns what has
    /// changed. The upstreams of a domain that is evacuated no more may be cold.
    pub fn merge_evacuations(
        &mut self,
        state: &EvacuationState,
        now: MonotonicTime,
    ) -> EvacuationChange {
        let change = self.evacuations.merge(state, now);
        if change.is_empty() {
            return change;
        }
        let keys: Vec<PlacementKey> = self.entries.keys().collect();
        for key in keys {
            let context = self.cold_context(key);
            let entry = &mut self.entries[key];
            entry.is_evacuated = self.evacuations.contains(&entry.record.domain);
            if change.ended.contains(&entry.record.domain) {
                entry.assume_cold(&context, now);
            }
        }
        change
    }

    /// Returns the evacuated domains.
    #[must_use]
    pub const fn evacuations(&self) -> &EvacuationState {
        self.evacuations.state()
    }

    /// Returns the names of the upstreams of these domains.
    #[must_use]
    pub fn upstreams_in(&self, domains: &[DomainName]) -> Vec<UpstreamName> {
        let records = self.records();
        let records = records.filter(|record| domains.contains(&record.domain));
        records.map(|record| record.name.clone()).collect()
    }

    /// Returns the services of which only evacuated upstreams are listed.
    #[must_use]
    pub fn evacuated_services(&self) -> BTreeSet<ServiceName> {
        let listed = self.entries.values().filter(|entry| entry.is_listed());
        let (evacuated, usable): (Vec<_>, Vec<_>) = listed.partition(|entry| entry.is_evacuated);
        let usable: BTreeSet<&ServiceName> =
            usable.iter().map(|entry| &entry.record.service).collect();
        let services = evacuated.iter().map(|entry| &entry.record.service);
        let services = services.filter(|service| !usable.contains(service));
        services.cloned().collect()
    }

    /// Adds an upstream or updates its record.
    pub fn apply(&mut self, record: UpstreamRecord) {
        let has_departed = self.departures.contains(&record.name);
        let key = self.insert_or_update(record);
        let entry = &mut self.entries[key];
        entry.has_departed = has_departed;
        entry.is_evacuated = self.evacuations.contains(&entry.record.domain);
    }

    fn insert_or_update(&mut self, record: UpstreamRecord) -> PlacementKey {
        if let Some(key) = self.names.get(&record.name).copied() {
            if self.entries[key].record.service != record.service {
                self.leave_group(key);
                self.join_group(key, record.service.clone());
            }
            self.entries[key].update(record);
            return key;
        }
        let (name, service) = (record.name.clone(), record.service.clone());
        let key = match self.find_removed(&record) {
            Some(key) => {
                self.entries[key].update(record);
                key
            }
            None => {
                let mut entry = UpstreamEntry::new(record);
                entry.notices = self.former.take(&entry.record);
                self.entries.insert(entry)
            }
        };
        self.names.insert(name, key);
        self.join_group(key, service);
        key
    }

    /// Returns the entry of a removed upstream that still runs requests.
    fn find_removed(&self, record: &UpstreamRecord) -> Option<PlacementKey> {
        let mut entries = self.entries.iter();
        let found = entries.find(|(_, entry)| {
            entry.is_removed
                && entry.record.name == record.name
                && entry.record.incarnation() == record.incarnation()
        });
        found.map(|(key, _)| key)
    }

    /// Removes an upstream. Its requests in flight continue.
    pub fn remove(&mut self, name: &UpstreamName) {
        if let Some(key) = self.names.remove(name) {
            self.leave_group(key);
            self.entries[key].is_removed = true;
            self.remove_if_idle(key);
        }
    }

    /// Records that an upstream has left in a state of the directory that this instance may not have
    /// read yet. The upstream gets no more requests until it has. Returns whether it was listed.
    pub fn record_departure(&mut self, departure: &UpstreamDeparture) -> bool {
        if !self.departures.record(departure) {
            return false;
        }
        let key = self.names.get(&departure.upstream);
        let Some(entry) = key.and_then(|key| self.entries.get_mut(*key)) else {
            return false;
        };
        let was_listed = entry.is_listed();
        entry.has_departed = true;
        was_listed
    }

    /// Records that this instance has read a revision of the directory and applied it.
    pub fn confirm_directory(&mut self, revision: u64) {
        for name in self.departures.confirm(revision) {
            if let Some(key) = self.names.get(&name) {
                self.entries[*key].has_departed = false;
            }
        }
    }

    /// Returns the record of a known upstream.
    #[must_use]
    pub fn find(&self, name: &UpstreamName) -> Option<&UpstreamRecord> {
        let key = self.names.get(name)?;
        self.record(*key)
    }

    /// Iterates over the records of the known upstreams.
    pub fn records(&self) -> impl Iterator<Item = &UpstreamRecord> {
        self.names.values().map(|key| &self.entries[*key].record)
    }

    /// Returns the record for a key, or `None` once the upstream is removed and idle.
    #[must_use]
    pub fn record(&self, key: PlacementKey) -> Option<&UpstreamRecord> {
        self.entries.get(key).map(|entry| &entry.record)
    }

    /// Returns whether an upstream is listed and not shutting down.
    #[must_use]
    pub fn is_listed(&self, key: PlacementKey) -> bool {
        self.entries.get(key).is_some_and(UpstreamEntry::is_listed)
    }

    /// Returns whether a request that was placed at an upstream may be sent now.
    #[must_use]
    pub fn accepts(&self, key: PlacementKey, now: MonotonicTime) -> bool {
        self.entries
            .get(key)
            .is_some_and(|entry| entry.accepts(now))
    }

    /// Returns the time until a request may be placed at an upstream of a service, because of pauses
    /// and limits, or `None` if one may be placed now or none is listed.
    #[must_use]
    pub fn wait_left(&self, service: &ServiceName, now: MonotonicTime) -> Option<Duration> {
        self.shortest_wait(&self.listed(service, &[], None, now), now)
    }

    /// Returns the number of upstreams that are listed and not shutting down.
    #[must_use]
    pub fn listed_count(&self) -> usize {
        self.entries.values().filter(|e| e.is_listed()).count()
    }

    /// Chooses the upstream with the lowest cost: predicted latency, expected failures and distance.
    ///
    /// # Errors
    ///
    /// Returns the reason if no upstream can start the request within its latency limit.
    pub fn choose(
        &self,
        request: &PlacementRequest<'_>,
        now: MonotonicTime,
    ) -> Result<Placement, PlacementRefusal> {
        if request.memory_tokens > 0 && request.size.total() > request.memory_tokens {
            return Err(PlacementRefusal::TooLarge);
        }
        let (excluded, homes) = (request.excluded, request.homes);
        let mut listed = self.listed(request.service, excluded, homes, now);
        if listed.is_empty() {
            return Err(PlacementRefusal::NoUpstream);
        }
        if let Some(retry_after) = self.shortest_wait(&listed, now) {
            return Err(PlacementRefusal::Withheld { retry_after });
        }
        listed.retain(|key| self.entries[*key].wait_left(now).is_none());
        let is_healthy = |key: &&PlacementKey| !self.entries[**key].is_ejected(now);
        let healthy: Vec<PlacementKey> = listed.iter().filter(is_healthy).copied().collect();
        // If every upstream is ejected, trying one is better than refusing all requests.
        let usable = if healthy.is_empty() {
            &listed
        } else {
            &healthy
        };
        let preferred = self.preferred(&listed, request.size);
        let mean_duration_s = self.mean_duration_s(&listed);
        let candidates = usable.iter().map(|key| {
            let is_preferred = preferred == Some(*key);
            self.evaluate(*key, is_preferred, mean_duration_s, request, now)
        });
        let fitting = candidates.filter(|candidate| candidate.has_memory);
        let best = fitting.min_by(|left, right| left.cost_s.total_cmp(&right.cost_s));
        let Some(best) = best else {
            return Err(PlacementRefusal::Overloaded {
                retry_after: request.latency_limit,
            });
        };
        let expected = Duration::from_secs_f64(best.expected_s.clamp(0.0, 3_600.0));
        if expected > request.latency_limit {
            return Err(PlacementRefusal::Overloaded {
                retry_after: expected.saturating_sub(request.latency_limit),
            });
        }
        let record = &self.entries[best.key].record;
        Ok(Placement {
            key: best.key,
            upstream: record.name.clone(),
            address: record.address,
            expected,
            uncached_tokens: best.uncached as u64,
        })
    }

    /// Returns the upstreams of a service that are listed, not shutting down and not evacuated. Those
    /// that come back from an evacuation are held back for a time, unless there are no others.
    fn listed(
        &self,
        service: &ServiceName,
        excluded: &[PlacementKey],
        homes: Option<&HomeDomains>,
        now: MonotonicTime,
    ) -> Vec<PlacementKey> {
        let group = self.groups.get(service).into_iter().flatten().copied();
        let usable = group.filter(|key| {
            let entry = &self.entries[*key];
            let is_home = homes.is_none_or(|homes| homes.contains(&entry.record.domain));
            entry.is_usable() && is_home && !excluded.contains(key)
        });
        let (returning, mut listed): (Vec<_>, Vec<_>) = usable.partition(|key| {
            let record = &self.entries[*key].record;
            let phase = phase(&record.name, self.options.seed);
            self.evacuations.is_returning(&record.domain, phase, now)
        });
        if listed.is_empty() {
            listed = returning;
        }
        listed
    }

    /// Returns the time until a request may be placed at one of these upstreams, or `None` if one may
    /// be placed now.
    fn shortest_wait(&self, keys: &[PlacementKey], now: MonotonicTime) -> Option<Duration> {
        let waits = keys.iter().map(|key| self.entries[*key].wait_left(now));
        let waits: Option<Vec<Duration>> = waits.collect();
        waits?.into_iter().min()
    }

    fn evaluate(
        &self,
        key: PlacementKey,
        is_preferred: bool,
        mean_duration_s: f64,
        request: &PlacementRequest<'_>,
        now: MonotonicTime,
    ) -> Candidate {
        let (entry, options) = (&self.entries[key], &self.options);
        let is_engine = request.memory_tokens > 0;
        let shared_fraction = if is_preferred {
            options.preferred_fraction
        } else {
            0.0
        };
        let uncached = entry.uncached_tokens(request.size, shared_fraction, options, now);
        let expected_s = match is_engine {
            true => entry.first_token_s(uncached, options, now),
            false => entry.call_s(mean_duration_s, options, now),
        };
        let memory_max = request.memory_tokens as f64 * options.memory_fraction;
        let memory = entry.memory_used.saturating_add(request.size.total());
        Candidate {
            key,
            expected_s,
            cost_s: expected_s + entry.failure_s(options, now) + entry.remote_s(options),
            uncached,
            has_memory: !is_engine || entry.memory_used == 0 || memory as f64 <= memory_max,
        }
    }

    /// Returns the mean call duration in seconds of the upstreams that have answered.
    fn mean_duration_s(&self, keys: &[PlacementKey]) -> f64 {
        let known = keys
            .iter()
            .filter_map(|key| self.entries[*key].duration_s());
        let (sum, count) = known.fold((0.0, 0_u32), |sum, s| (sum.0 + s, sum.1 + 1));
        match count {
            0 => self.options.initial_call_duration.as_secs_f64(),
            _ => sum / f64::from(count),
        }
    }

    /// Returns the engine that all instances prefer for the shared parts of the prompt, by
    /// rendezvous hashing.
    fn preferred(&self, keys: &[PlacementKey], size: &RequestSize) -> Option<PlacementKey> {
        let digest = shared_parts(size).last()?.digest;
        let rank = |key: &PlacementKey| {
            xxh3_64_with_seed(self.entries[*key].record.name.as_bytes(), digest)
        };
        keys.iter().copied().max_by_key(rank)
    }

    /// Records that a request was sent to an upstream.
    pub fn start(
        &mut self,
        placement: &Placement,
        size: &RequestSize,
        is_engine: bool,
        now: MonotonicTime,
    ) -> FlightKey {
        let mut flight = InFlightRequest {
            upstream: placement.key,
            incarnation: self.record(placement.key).map(UpstreamRecord::incarnation),
            size: size.clone(),
            pending_tokens: 0.0,
            predicted_s: None,
            started: now,
            has_begun: false,
        };
        if let Some(entry) = self.entries.get_mut(placement.key) {
            if is_engine {
                flight.predicted_s = Some(placement.expected.as_secs_f64() * entry.speed());
                flight.pending_tokens = placement.uncached_tokens as f64;
                entry.pending_tokens += flight.pending_tokens;
                entry.memory_used = entry.memory_used.saturating_add(size.total());
                entry.record_cached_parts(size, now);
            }
            entry.record_placement(now);
        }
        self.flights.insert(flight)
    }

    /// Records the first token of a request.
    pub fn begin(&mut self, key: FlightKey, now: MonotonicTime) {
        let Some(flight) = self.flights.get_mut(key).filter(|flight| !flight.has_begun) else {
            return;
        };
        flight.has_begun = true;
        let Some(entry) = self.entries.get_mut(flight.upstream) else {
            return;
        };
        entry.pending_tokens = (entry.pending_tokens - flight.pending_tokens).max(0.0);
        if let Some(predicted_s) = flight.predicted_s {
            entry.update_speed(predicted_s, now.since(flight.started));
        }
    }

    /// Records the load that an upstream reported with its response.
    pub fn report(&mut self, key: FlightKey, running: u32, waiting: u32, now: MonotonicTime) {
        let upstream = self.flights.get(key).map(|flight| flight.upstream);
        if let Some(entry) = upstream.and_then(|upstream| self.entries.get_mut(upstream)) {
            entry.report(running, waiting, now);
        }
    }

    /// Records what a response says about its upstream, and returns what of it is news.
    pub fn record_notice(
        &mut self,
        key: FlightKey,
        notice: &UpstreamNotice,
        now: MonotonicTime,
    ) -> Option<NoticeNews> {
        let flight = self.flights.get(key)?;
        let (upstream, sent_at) = (flight.upstream, flight.started);
        let incarnation = self.record(upstream)?.incarnation();
        // The response of an earlier incarnation says nothing about the present one.
        if flight.incarnation != Some(incarnation) {
            return None;
        }
        let context = self.notice_context(upstream, sent_at, now)?;
        let entry = self.entries.get_mut(upstream)?;
        let change = entry.notices.record(notice, &context);
        change.is_news().then(|| NoticeNews {
            limit: change.has_limit.then(|| LimitReport {
                upstream: entry.record.name.clone(),
                incarnation,
                rate: entry.notices.rate_limit(),
            }),
        })
    }

    /// Merges a report of a peer about the limit of an upstream. Returns whether it is news.
    pub fn merge_limit(&mut self, report: &LimitReport, now: MonotonicTime) -> bool {
        let Some(key) = self.names.get(&report.upstream).copied() else {
            return false;
        };
        let Some(context) = self.notice_context(key, now, now) else {
            return false;
        };
        let entry = &mut self.entries[key];
        let limit = report.rate.map_or(LimitNotice::None, LimitNotice::Rate);
        entry.record.incarnation() == report.incarnation
            && entry.notices.record_limit(limit, &context)
    }

    fn notice_context(
        &mut self,
        key: PlacementKey,
        sent_at: MonotonicTime,
        now: MonotonicTime,
    ) -> Option<NoticeContext> {
        let entry = self.entries.get_mut(key)?;
        Some(NoticeContext {
            now,
            sent_at,
            pause_max: self.options.pause_max,
            instances: self.instances,
            phase: phase(&entry.record.name, self.options.seed),
            recent: entry.recent.count(now),
        })
    }

    /// Records the end of a request.
    pub fn finish(&mut self, key: FlightKey, end: FlightOutcome, now: MonotonicTime) {
        let Some(flight) = self.flights.remove(key) else {
            return;
        };
        let Some(entry) = self.entries.get_mut(flight.upstream) else {
            return;
        };
        entry.in_flight = entry.in_flight.saturating_sub(1);
        if flight.predicted_s.is_some() {
            entry.memory_used = entry.memory_used.saturating_sub(flight.size.total());
            if !flight.has_begun {
                entry.pending_tokens = (entry.pending_tokens - flight.pending_tokens).max(0.0);
            }
        } else if end == FlightOutcome::Answered {
            entry.update_duration(now.since(flight.started));
        }
        entry.record_end(end, &self.options, now);
        self.remove_if_idle(flight.upstream);
    }

    fn join_group(&mut self, key: PlacementKey, service: ServiceName) {
        self.groups.entry(service).or_default().push(key);
    }

    fn leave_group(&mut self, key: PlacementKey) {
        let service = &self.entries[key].record.service;
        if let Some(group) = self.groups.get_mut(service) {
            group.retain(|other| *other != key);
        }
    }

    fn remove_if_idle(&mut self, key: PlacementKey) {
        if self
            .entries
            .get(key)
            .is_some_and(|entry| entry.is_removed && entry.in_flight == 0)
            && let Some(entry) = self.entries.remove(key)
        {
            self.former.keep(&entry.record, entry.notices);
        }
    }
}

/// Returns a number from 0 to 1 that differs between instances and upstreams.
fn phase(upstream: &UpstreamName, seed: u64) -> f64 {
    xxh3_64_with_seed(upstream.as_bytes(), seed) as f64 / u64::MAX as f64
}

/// An upstream with its predicted latency and cost for a request.
struct Candidate {
    key: PlacementKey,
    expected_s: f64,
    cost_s: f64,
    uncached: f64,
    has_memory: bool,
}
