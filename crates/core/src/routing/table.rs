//! Table of all upstreams and attempts in flight.

use std::collections::HashMap;

use slotmap::{SlotMap, new_key_type};

use crate::{
    base::{InstanceName, MonotonicTime, UpstreamName},
    limit::{ConcurrencyLimit, ConcurrencyOptions},
    notice::{NoticeContext, NoticeState, UpstreamNotice},
    retry::AttemptOutcome,
    routing::{
        CacheEvent, InstanceState, LoadReport, RouteRequest, RouteTarget, RoutingOptions,
        TableSnapshot, UpstreamSnapshot, UpstreamSpec, UpstreamSubset,
        entry::UpstreamEntry,
        group::UpstreamGroup,
        health::UpstreamHealth,
        load::LoadEstimate,
        prefix::CachedPrefixes,
        prefix::PrefixRing,
        speed::{LatencyModel, REFERENCE_TOKENS, SpeedEstimate},
    },
};

/// Maximum age of a load report in poll periods: 5 s at a period of 2 s.
const REPORT_PERIODS: f64 = 2.5;

new_key_type! {
/// Identifies an upstream in the table.
pub struct UpstreamKey;
/// Identifies an attempt in flight in the table.
pub struct AttemptKey;
}

#[derive(Clone, Debug)]
struct InFlightAttempt {
    upstream: UpstreamKey,
    target: RouteTarget,
    started: MonotonicTime,
    expected_wait_s: f64,
    load: f64,
    tokens: f64,
    prefix: Option<u64>,
    has_first_token: bool,
}

/// The configuration, load, speed and health of every upstream.
#[derive(Clone, Debug)]
pub struct UpstreamTable {
    options: RoutingOptions,
    pub(super) entries: SlotMap<UpstreamKey, UpstreamEntry>,
    by_name: HashMap<UpstreamName, UpstreamKey>,
    groups: HashMap<RouteTarget, UpstreamGroup>,
    subset: UpstreamSubset,
    attempts: SlotMap<AttemptKey, InFlightAttempt>,
    is_configured: bool,
}

impl UpstreamTable {
    /// Creates an empty table.
    #[must_use]
    pub fn new(options: RoutingOptions) -> Self {
        Self {
            options,
            entries: SlotMap::with_key(),
            by_name: HashMap::new(),
            groups: HashMap::new(),
            subset: UpstreamSubset::default(),
            attempts: SlotMap::with_key(),
            is_configured: false,
        }
    }

    /// Returns the settings.
    #[must_use]
    pub const fn options(&self) -> &RoutingOptions {
        &self.options
    }

    /// Sets the number of routers that share the upstreams, including this one.
    pub fn set_routers(&mut self, routers: u32) {
        self.options.routers = routers.max(1);
    }

    /// Sets the live routers of the domain, which share its upstreams.
    pub fn set_members(&mut self, instance: InstanceName, members: Vec<InstanceName>) {
        if self.options.instance == instance && self.options.members == members {
            return;
        }
        self.options.instance = instance;
        self.options.members = members;
        self.rebuild_groups();
    }

    /// Returns the subset of upstreams that this router uses.
    #[must_use]
    pub const fn subset(&self) -> &UpstreamSubset {
        &self.subset
    }

    /// Replaces the configuration. Existing upstreams keep their statistics.
    ///
    /// An upstream that is no longer configured receives no new requests, and is dropped once its
    /// attempts in flight have ended. An upstream added after the first configuration goes through
    /// slow start.
    pub fn apply(&mut self, specs: &[UpstreamSpec], now: MonotonicTime) {
        for entry in self.entries.values_mut() {
            entry.removed = true;
        }
        for spec in specs {
            self.apply_spec(spec, now);
        }
        self.is_configured = true;
        self.purge_removed();
        self.rebuild_groups();
    }

    /// Records that an attempt was sent to `key`.
    ///
    /// Must be called right after [`UpstreamTable::select`], so that the next selection counts the
    /// attempt.
    pub fn started(
        &mut self,
        key: UpstreamKey,
        request: &RouteRequest,
        now: MonotonicTime,
    ) -> AttemptKey {
        let mut attempt = InFlightAttempt {
            upstream: key,
            started: now,
            expected_wait_s: 0.0,
            load: 0.0,
            target: request.target.clone(),
            tokens: f64::from(request.prompt_tokens),
            prefix: request.prefix.map(|hint| hint.digest),
            has_first_token: false,
        };
        if let Some(entry) = self.entries.get_mut(key) {
            attempt.expected_wait_s = entry.expected_wait_s(&self.options, now);
            attempt.load = entry.estimated_load(&self.options, now);
            if let Some(hint) = request.prefix
                && entry.prefixes.contains(hint.digest)
            {
                attempt.tokens = (attempt.tokens - f64::from(hint.tokens)).max(0.0);
            }
            entry.load.record_start(now);
            entry.pending_tokens += attempt.tokens;
        }
        self.attempts.insert(attempt)
    }

    /// Records the first token of an attempt.
    pub fn first_token(&mut self, key: AttemptKey, now: MonotonicTime) {
        let Some(attempt) = self.attempts.get_mut(key) else {
            return;
        };
        if std::mem::replace(&mut attempt.has_first_token, true) {
            return;
        }
        let Some(entry) = self.entries.get_mut(attempt.upstream) else {
            return;
        };
        entry.pending_tokens = (entry.pending_tokens - attempt.tokens).max(0.0);
        let latency = now.since(attempt.started);
        let service_s = latency.as_secs_f64() - attempt.expected_wait_s;
        if let Some(group) = self.groups.get_mut(&attempt.target) {
            let latency_model = &mut group.latency_model;
            // Normalises by prompt length, because long prompts take longer even without overload.
            let scale =
                latency_model.value_s(REFERENCE_TOKENS) / latency_model.value_s(attempt.tokens);
            let comparable = latency.mul_f64(scale);
            let in_flight = attempt.load as u32;
            match entry.load.is_unqueued(self.options.report_max_age, now) {
                true => entry.limit.observe_unqueued(comparable, in_flight),
                false => entry.limit.observe(comparable, in_flight),
            }
            let speed = &mut entry.speed;
            speed.record_first_token(latency_model, service_s, attempt.tokens, now);
        }
        if let Some(digest) = attempt.prefix {
            entry.prefixes.store(digest);
        }
    }

    /// Records the end of an attempt. A second call for the same attempt has no effect.
    pub fn finished(&mut self, key: AttemptKey, outcome: AttemptOutcome, now: MonotonicTime) {
        let Some(attempt) = self.attempts.remove(key) else {
            return;
        };
        let Some(entry) = self.entries.get_mut(attempt.upstream) else {
            return;
        };
        entry.load.record_end(now);
        if !attempt.has_first_token {
            entry.pending_tokens = (entry.pending_tokens - attempt.tokens).max(0.0);
        }
        match outcome {
            AttemptOutcome::Answered => {
                entry.speed.record_duration(now.since(attempt.started));
                entry.health.record_success(now);
            }
            AttemptOutcome::Refused => entry.limit.record_overload(),
            AttemptOutcome::Cancelled => {}
            AttemptOutcome::NotReached
            | AttemptOutcome::LostBeforeFirst
            | AttemptOutcome::LostMidStream
            | AttemptOutcome::TimedOut => self.record_failure(attempt.upstream, outcome, now),
        }
        self.purge_if_removed(attempt.upstream);
    }

    /// Records what a response says about its upstream. Returns whether that is news.
    pub fn record_notice(
        &mut self,
        key: AttemptKey,
        notice: &UpstreamNotice,
        now: MonotonicTime,
    ) -> bool {
        let Some(attempt) = self.attempts.get(key) else {
            return false;
        };
        let context = NoticeContext {
            now,
            sent_at: attempt.started,
            pause_max: self.options.pause_max,
            instances: self.options.routers as usize,
            phase: 0.0,
            recent: 0,
        };
        let entry = self.entries.get_mut(attempt.upstream);
        entry.is_some_and(|entry| entry.notices.record(notice, &context).is_news())
    }

    /// Records a load report. Reports older than the current one are ignored.
    pub fn load_report(&mut self, upstream: &UpstreamName, report: LoadReport, now: MonotonicTime) {
        let Some(entry) = self.entry_mut(upstream) else {
            return;
        };
        let at = MonotonicTime::from_micros(
            now.as_micros()
                .saturating_sub(u64::try_from(report.age.as_micros()).unwrap_or(u64::MAX)),
        );
        entry.load.report(report.running, report.queued, at);
        entry.reports_leaving = report.leaving;
    }

    /// Records a change of an engine's prefix cache.
    pub fn cache_event(&mut self, upstream: &UpstreamName, event: CacheEvent) {
        let Some(entry) = self.entry_mut(upstream) else {
            return;
        };
        match event {
            CacheEvent::Stored(digest) => entry.prefixes.store(digest),
            CacheEvent::Evicted(digest) => entry.prefixes.evict(digest),
            CacheEvent::Cleared => entry.prefixes.clear(),
        }
    }

    /// Records the state of an upstream in the instance list.
    pub fn instance_state(&mut self, upstream: &UpstreamName, state: InstanceState) {
        if let Some(entry) = self.entry_mut(upstream) {
            entry.listed_state = state;
        }
    }

    /// Returns how many more requests the upstreams of `target` can take now.
    #[must_use]
    pub fn free_slots(&self, target: &RouteTarget, now: MonotonicTime) -> usize {
        let Some(group) = self.group(target) else {
            return 0;
        };
        let free = group.keys().map(|key| {
            let entry = &self.entries[key];
            if entry.is_usable(now) {
                entry.free(&self.options, now).max(0.0) as usize
            } else {
                0
            }
        });
        free.sum()
    }

    /// Returns the names of all upstreams of `target`, including those that are leaving or ejected.
    pub fn upstreams(&self, target: &RouteTarget) -> impl Iterator<Item = &UpstreamName> {
        let keys = self.group(target).into_iter().flat_map(UpstreamGroup::keys);
        keys.map(|key| &self.entries[key].spec.name)
    }

    /// Returns the names of the upstreams of `target` that are neither leaving nor ejected, and do not
    /// pause.
    pub fn usable(
        &self,
        target: &RouteTarget,
        now: MonotonicTime,
    ) -> impl Iterator<Item = &UpstreamName> {
        let keys = self.group(target).into_iter().flat_map(UpstreamGroup::keys);
        let entries = keys.map(|key| &self.entries[key]);
        entries
            .filter(move |entry| entry.is_usable(now))
            .map(|entry| &entry.spec.name)
    }

    /// Returns the state of every upstream.
    #[must_use]
    pub fn snapshot(&self, now: MonotonicTime) -> TableSnapshot {
        let mut upstreams: Vec<_> = self
            .entries
            .values()
            .map(|entry| {
                describe(
                    entry,
                    self.reference_latency_s(entry, now),
                    &self.options,
                    now,
                )
            })
            .collect();
        upstreams.sort_by(|left, right| left.name.cmp(&right.name));
        TableSnapshot {
            upstreams,
            in_flight: self.attempts.len(),
        }
    }

    /// Returns the expected time to first token in seconds of a prompt of the reference length.
    fn reference_latency_s(&self, entry: &UpstreamEntry, now: MonotonicTime) -> f64 {
        let group = entry
            .spec
            .targets()
            .find_map(|target| self.groups.get(&target));
        let latency_model = group.map_or_else(LatencyModel::default, |group| group.latency_model);
        latency_model.value_s(REFERENCE_TOKENS) * entry.speed.factor(now)
    }

    pub(super) fn group(&self, target: &RouteTarget) -> Option<&UpstreamGroup> {
        self.groups.get(target)
    }

    fn entry_mut(&mut self, upstream: &UpstreamName) -> Option<&mut UpstreamEntry> {
        let key = self.by_name.get(upstream)?;
        self.entries.get_mut(*key)
    }

    fn apply_spec(&mut self, spec: &UpstreamSpec, now: MonotonicTime) {
        let max = f64::from(spec.concurrency.max(1));
        let penalty = if spec.domain == self.options.domain {
            std::time::Duration::ZERO
        } else {
            let penalty = self.options.domain_penalties.get(&spec.domain);
            penalty.copied().unwrap_or(self.options.remote_penalty)
        };
        if let Some(entry) = self.entry_mut(&spec.name) {
            entry.removed = false;
            entry.penalty = penalty;
            entry.limit.set_max(max);
            entry.spec = spec.clone();
            return;
        }
        let entry = UpstreamEntry {
            spec: spec.clone(),
            removed: false,
            sharing_routers: None,
            report_max_age: self.options.report_max_age,
            penalty,
            listed_state: InstanceState::Live,
            reports_leaving: false,
            notices: NoticeState::default(),
            load: LoadEstimate::default(),
            speed: SpeedEstimate::default(),
            health: UpstreamHealth::new(self.is_configured.then_some(now)),
            limit: ConcurrencyLimit::new(ConcurrencyOptions {
                max,
                ..ConcurrencyOptions::default()
            }),
            prefixes: CachedPrefixes::default(),
            pending_tokens: 0.0,
        };
        let key = self.entries.insert(entry);
        self.by_name.insert(spec.name.clone(), key);
    }

    /// Chooses the subset and groups the upstreams by model and service.
    fn rebuild_groups(&mut self) {
        self.choose_subset();
        let old = std::mem::take(&mut self.groups);
        for (key, entry) in self.entries.iter().filter(|(_, entry)| !entry.removed) {
            let is_local = entry.spec.domain == self.options.domain;
            let is_regular = self.subset.regular.contains_key(&entry.spec.name);
            for target in entry.spec.targets() {
                let group = self.groups.entry(target).or_default();
                group.all.push(key, is_local);
                if is_regular {
                    let subset = group.subset.get_or_insert_default();
                    subset.push(key, is_local);
                    subset.routers = subset.routers.max(entry.sharing_routers.unwrap_or(0));
                }
            }
        }
        for (target, group) in &mut self.groups {
            if let Some(known) = old.get(target) {
                group.latency_model = known.latency_model;
            }
            let size = group.all.len();
            group.subset.take_if(|subset| subset.len() == size);
            for pool in std::iter::once(&mut group.all).chain(&mut group.subset) {
                let named = pool.keys().map(|key| (key, &self.entries[key].spec.name));
                pool.ring = PrefixRing::build(named);
            }
        }
    }

    fn choose_subset(&mut self) {
        let entries = self.entries.values().filter(|entry| !entry.removed);
        let specs: Vec<&UpstreamSpec> = entries.map(|entry| &entry.spec).collect();
        let options = &self.options;
        self.subset = if options.members.is_empty() {
            let names = specs.iter().map(|spec| (spec.name.clone(), None));
            UpstreamSubset {
                regular: names.collect(),
                ..UpstreamSubset::default()
            }
        } else {
            UpstreamSubset::choose(
                &options.subset,
                &options.instance,
                &options.domain,
                &options.members,
                &specs,
            )
        };
        // A report must stay valid until the next poll, also at longer poll periods.
        let period = self.subset.poll_period(&options.subset);
        let max_age = options.report_max_age.max(period.mul_f64(REPORT_PERIODS));
        for entry in self.entries.values_mut() {
            let sharing_routers = self.subset.regular.get(&entry.spec.name);
            entry.sharing_routers = sharing_routers.copied().flatten();
            entry.report_max_age = max_age;
        }
    }

    fn record_failure(&mut self, key: UpstreamKey, outcome: AttemptOutcome, now: MonotonicTime) {
        let may_eject = self.may_eject(key, now);
        let options = &self.options;
        let entry = &mut self.entries[key];
        if outcome.is_loss() || outcome == AttemptOutcome::NotReached {
            entry.load.clear_report();
            entry.prefixes.clear();
        }
        let is_ejected = entry.health.ejected_until(now).is_some();
        if entry.health.record_failure(options) && may_eject && !is_ejected {
            entry.health.eject(options, now);
        }
    }

    /// Returns whether ejecting `key` keeps the ejected upstreams of its domain within the allowed
    /// fraction, for each of its targets.
    fn may_eject(&self, key: UpstreamKey, now: MonotonicTime) -> bool {
        let spec = &self.entries[key].spec;
        spec.targets().all(|target| {
            let Some(group) = self.group(&target) else {
                return false;
            };
            let domain = group.keys().map(|other| &self.entries[other]);
            let domain = domain.filter(|other| other.spec.domain == spec.domain);
            let (mut all, mut ejected) = (0_u32, 0_u32);
            for other in domain {
                all += 1;
                ejected += u32::from(other.health.ejected_until(now).is_some());
            }
            f64::from(ejected + 1) <= f64::from(all) * self.options.eject_share
        })
    }

    fn purge_removed(&mut self) {
        let keys: Vec<_> = self.entries.keys().collect();
        for key in keys {
            self.purge_if_removed(key);
        }
    }

    fn purge_if_removed(&mut self, key: UpstreamKey) {
        let is_idle = |entry: &UpstreamEntry| entry.removed && entry.load.in_flight() == 0;
        if self.entries.get(key).is_some_and(is_idle)
            && let Some(entry) = self.entries.remove(key)
        {
            self.by_name.remove(&entry.spec.name);
        }
    }
}

fn describe(
    entry: &UpstreamEntry,
    first_s: f64,
    options: &RoutingOptions,
    now: MonotonicTime,
) -> UpstreamSnapshot {
    UpstreamSnapshot {
        name: entry.spec.name.clone(),
        domain: entry.spec.domain.clone(),
        use_state: entry.use_state(options, now),
        own: entry.load.in_flight(),
        estimated_load: entry.estimated_load(options, now),
        report_age_ms: entry.load.report_age(now).map(|age| age.as_millis() as u64),
        limit: entry.limit.limit(),
        first_token_ms: entry.speed.is_known().then_some(first_s * 1e3),
        duration_ms: entry.speed.duration_s().map(|duration_s| duration_s * 1e3),
        failures_in_a_row: entry.health.consecutive_failures(),
        failure_rate: entry.health.failure_rate(),
    }
}
