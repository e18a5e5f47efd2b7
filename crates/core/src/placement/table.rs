//! Table of upstreams and selection among them.

use std::{collections::HashMap, time::Duration};

use slotmap::{SlotMap, new_key_type};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{
    base::{MonotonicTime, ServiceName, UpstreamName},
    notice::{LimitNotice, NoticeContext, UpstreamNotice},
    placement::{
        FlightOutcome, LimitReport, LoadFigures, NoticeNews, Placement, PlacementOptions,
        PlacementRefusal, PlacementRequest, RequestSize, UpstreamDeparture, UpstreamFailure,
        UpstreamIncarnation, UpstreamRecord,
        departure::PendingDepartures,
        entry::UpstreamEntry,
        former::FormerUpstreams,
        observation::{UntoldFailures, is_recent},
        prompt_line::PromptLine,
        reach::ReachMonitor,
        selection::{Candidate, draw, draw_count, stream_loss_s},
        shared_parts,
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
    /// Prompt tokens that the engine had to read before the first token; `None` for plain services.
    prompt_tokens: Option<f64>,
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
    /// Connections to upstreams of the own domain.
    reach: ReachMonitor,
    /// Failures that the peers of the domain do not know of yet.
    untold: UntoldFailures,
    /// Learnt times to the first token by service.
    lines: HashMap<ServiceName, PromptLine>,
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
            reach: ReachMonitor::default(),
            untold: UntoldFailures::default(),
            lines: HashMap::new(),
            instances: 1,
        }
    }

    /// Sets the number of instances that share the limits of upstreams, including this one. A limit
    /// that is in force is divided anew with the next response that names it.
    pub fn set_instances(&mut self, instances: usize) {
        self.instances = instances;
    }

    /// Adds an upstream or updates its record.
    pub fn apply(&mut self, record: UpstreamRecord) {
        let has_departed = self.departures.contains(&record.name);
        let key = self.insert_or_update(record);
        self.entries[key].has_departed = has_departed;
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
        self.shortest_wait(&self.listed(service, &[]), now)
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
        let mut listed = self.listed(request.service, request.excluded);
        if listed.is_empty() {
            return Err(PlacementRefusal::NoUpstream);
        }
        if let Some(retry_after) = self.shortest_wait(&listed, now) {
            return Err(PlacementRefusal::Withheld { retry_after });
        }
        listed.retain(|key| self.entries[*key].notices.wait_left(now).is_none());
        let is_healthy = |key: &&PlacementKey| !self.entries[**key].is_ejected(now);
        let healthy: Vec<PlacementKey> = listed.iter().filter(is_healthy).copied().collect();
        // If every upstream is ejected, trying one is better than refusing all requests.
        let usable = if healthy.is_empty() {
            &listed
        } else {
            &healthy
        };
        let usual = self.usual(&listed, request, now);
        let preferred = self.preferred(&listed, request.size);
        let evaluate =
            |key: PlacementKey| self.evaluate(key, preferred == Some(key), &usual, request, now);
        let drawn = self.draw_candidates(usable, preferred, request, now);
        let best = find_best(drawn.into_iter().map(evaluate));
        // The request is refused only if none at all fits.
        let best = best
            .filter(|best| best.is_in_time(request.latency_limit))
            .or_else(|| find_best(usable.iter().copied().map(evaluate)));
        let Some(best) = best else {
            return Err(PlacementRefusal::Overloaded {
                retry_after: request.latency_limit,
            });
        };
        let expected = best.expected();
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

    /// Returns the candidates for a request: those that may hold its shared parts, and some others
    /// drawn at random.
    fn draw_candidates(
        &self,
        usable: &[PlacementKey],
        preferred: Option<PlacementKey>,
        request: &PlacementRequest<'_>,
        now: MonotonicTime,
    ) -> Vec<PlacementKey> {
        let holds_parts = |key: &PlacementKey| {
            preferred == Some(*key)
                || self.entries[*key].holds_parts(request.size, &self.options, now)
        };
        let (mut chosen, others): (Vec<_>, Vec<_>) = usable.iter().copied().partition(holds_parts);
        let digest = request.size.parts.last().map_or(0, |part| part.digest);
        let seed = xxh3_64_with_seed(&now.as_micros().to_le_bytes(), self.options.seed ^ digest);
        let count = draw_count(self.instances);
        chosen.extend(draw(others, count, seed));
        chosen
    }

    /// Returns the upstreams of a service that are listed and not shutting down.
    fn listed(&self, service: &ServiceName, excluded: &[PlacementKey]) -> Vec<PlacementKey> {
        let group = self.groups.get(service).into_iter().flatten().copied();
        group
            .filter(|key| self.entries[*key].is_listed() && !excluded.contains(key))
            .collect()
    }

    /// Returns the time until a request may be placed at one of these upstreams, or `None` if one may
    /// be placed now.
    fn shortest_wait(&self, keys: &[PlacementKey], now: MonotonicTime) -> Option<Duration> {
        let waits = keys
            .iter()
            .map(|key| self.entries[*key].notices.wait_left(now));
        let waits: Option<Vec<Duration>> = waits.collect();
        waits?.into_iter().min()
    }

    fn evaluate(
        &self,
        key: PlacementKey,
        is_preferred: bool,
        usual: &UsualFigures,
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
        let load = entry.load(usual.others, options, now);
        let (expected_s, shared_cost_s) = match is_engine {
            true => {
                let first_token_s = entry.first_token_s(uncached, &usual.line, options, now);
                let wait_s = entry.slot_wait_s(load, usual.duration_s);
                let prompt_s = uncached * usual.line.slope() * entry.work_factor(options, now);
                let pause_s = options.pause_target.as_secs_f64();
                let lost_s = stream_loss_s(load, prompt_s, pause_s) * options.stream_weight;
                let running_s = load * options.running_cost.as_secs_f64();
                (first_token_s, wait_s + lost_s + running_s)
            }
            false => (entry.call_s(load, usual.duration_s, options, now), 0.0),
        };
        let memory_max = request.memory_tokens as f64 * options.memory_fraction;
        let memory = entry.memory_used.saturating_add(request.size.total());
        let failure_s = entry.failure_s(options, now);
        Candidate {
            key,
            expected_s,
            cost_s: expected_s + shared_cost_s + failure_s + entry.remote_s(options),
            uncached,
            has_memory: !is_engine || entry.memory_used == 0 || memory as f64 <= memory_max,
        }
    }

    /// Returns what is assumed of upstreams about which too little is known.
    fn usual(
        &self,
        keys: &[PlacementKey],
        request: &PlacementRequest<'_>,
        now: MonotonicTime,
    ) -> UsualFigures {
        let others = keys
            .iter()
            .filter_map(|key| self.entries[*key].others(&self.options, now));
        let (sum, count) = others.fold((0.0, 0_u32), |sum, n| (sum.0 + n, sum.1 + 1));
        let line = self.lines.get(request.service).copied();
        UsualFigures {
            line: line.unwrap_or_else(|| self.initial_line()),
            others: sum / f64::from(count.max(1)),
            duration_s: self.mean_duration_s(keys),
        }
    }

    fn initial_line(&self) -> PromptLine {
        let base_s = self.options.base_first_token.as_secs_f64();
        PromptLine::new(base_s, self.options.prompt_rate)
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

    /// Records whether a connection for a request was opened. Returns whether the instance is strained
    /// since then.
    pub fn record_connection(
        &mut self,
        key: PlacementKey,
        has_failed: bool,
        now: MonotonicTime,
    ) -> bool {
        let entry = self.entries.get(key);
        let is_home = entry.is_some_and(|entry| entry.record.domain == self.options.domain);
        is_home && self.reach.record(key, has_failed, now)
    }

    /// Returns whether this instance itself is the reason that it does not reach upstreams, so that
    /// callers are better served by others.
    #[must_use]
    pub fn is_strained(&self, now: MonotonicTime) -> bool {
        self.reach.is_strained(now)
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
            prompt_tokens: None,
            started: now,
            has_begun: false,
        };
        if let Some(entry) = self.entries.get_mut(placement.key) {
            if is_engine {
                flight.pending_tokens = placement.uncached_tokens as f64;
                entry.pending_tokens += flight.pending_tokens;
                flight.prompt_tokens = Some(entry.pending_tokens);
                entry.memory_used = entry.memory_used.saturating_add(size.total());
                entry.record_cached_parts(size, now);
            }
            entry.record_placement(now);
        }
        self.flights.insert(flight)
    }

    /// Records the first token of a request.
    pub fn begin(&mut self, key: FlightKey, now: MonotonicTime) {
        let initial_line = self.initial_line();
        let Some(flight) = self.flights.get_mut(key).filter(|flight| !flight.has_begun) else {
            return;
        };
        flight.has_begun = true;
        let Some(entry) = self.entries.get_mut(flight.upstream) else {
            return;
        };
        entry.pending_tokens = (entry.pending_tokens - flight.pending_tokens).max(0.0);
        if let Some(tokens) = flight.prompt_tokens {
            let measured = now.since(flight.started);
            let line = self.lines.entry(entry.record.service.clone());
            let line = line.or_insert(initial_line);
            entry.update_speed(line.first_token_s(tokens), measured);
            line.record(tokens, measured.as_secs_f64());
        }
    }

    /// Records the load that an upstream reported with its response.
    pub fn report(&mut self, key: FlightKey, figures: LoadFigures, now: MonotonicTime) {
        let upstream = self.flights.get(key).map(|flight| flight.upstream);
        if let Some(entry) = upstream.and_then(|upstream| self.entries.get_mut(upstream)) {
            entry.report(figures, now);
        }
    }

    /// Removes and returns the failures of upstreams that the peers of the domain should know of.
    pub fn take_failures(&mut self, now: MonotonicTime) -> Vec<UpstreamFailure> {
        self.untold.take(now)
    }

    /// Merges failures that a peer of the domain has seen. Returns how many concern known upstreams.
    pub fn merge_failures(&mut self, failures: &[UpstreamFailure], now: MonotonicTime) -> usize {
        let mut merged = 0;
        for failure in failures.iter().filter(|failure| is_recent(failure)) {
            let key = self.names.get(&failure.upstream);
            let Some(entry) = key.and_then(|key| self.entries.get_mut(*key)) else {
                continue;
            };
            if entry.record.started_unix_ms == failure.started_unix_ms {
                entry.record_peer_failure(&self.options, now);
                merged += 1;
            }
        }
        merged
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
        if flight.prompt_tokens.is_some() {
            entry.memory_used = entry.memory_used.saturating_sub(flight.size.total());
            if !flight.has_begun {
                entry.pending_tokens = (entry.pending_tokens - flight.pending_tokens).max(0.0);
            }
        }
        if end == FlightOutcome::Answered {
            entry.update_duration(now.since(flight.started));
        }
        // While the instance is strained, a failed connection says nothing about the upstream.
        if end != FlightOutcome::NotReached || !self.reach.is_strained(now) {
            entry.record_end(end, &self.options, now);
        }
        if end.is_outage() && !self.reach.is_doubtful(now) {
            let record = &entry.record;
            self.untold
                .record(record.name.clone(), record.started_unix_ms, now);
        }
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

/// Returns the candidate with the lowest cost among those with enough memory.
fn find_best(candidates: impl Iterator<Item = Candidate>) -> Option<Candidate> {
    candidates
        .filter(|candidate| candidate.has_memory)
        .min_by(|left, right| left.cost_s.total_cmp(&right.cost_s))
}

/// What is assumed of upstreams of a service about which too little is known.
struct UsualFigures {
    line: PromptLine,
    /// Requests of other instances.
    others: f64,
    /// Duration of a call in seconds.
    duration_s: f64,
}
