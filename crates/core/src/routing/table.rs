//! Table of all upstreams.

use std::collections::HashMap;

use slotmap::{SlotMap, new_key_type};

use crate::{
    base::{InstanceName, MonotonicTime, UpstreamName},
    limit::{ConcurrencyLimit, ConcurrencyOptions},
    retry::AttemptOutcome,
    routing::{
        CacheEvent, InstanceState, LoadReport, RouteRequest, RouteTarget, RoutingOptions,
        TableSnapshot, UpstreamSnapshot, UpstreamSpec, UpstreamSubset,
        entry::UpstreamEntry,
        group::UpstreamGroup,
        health::UpstreamHealth,
        load::LoadEstimate,
        prefix::PrefixMemory,
        prefix::PrefixRing,
        speed::{LatencyLine, REFERENCE_TOKENS, SpeedEstimate},
    },
};

/// Poll periods after which a load report is ignored, 5 s at a period of 2 s.
const REPORT_PERIODS: f64 = 2.5;

new_key_type! {
    /// Identifies an upstream in the table.
    pub struct UpstreamKey;
    /// Identifies an attempt in flight in the table.
    pub struct WorkKey;
}

#[derive(Clone, Debug)]
struct UpstreamWork {
    upstream: UpstreamKey,
    target: RouteTarget,
    started: MonotonicTime,
    expected_wait_s: f64,
    load: f64,
    tokens: f64,
    prefix: Option<u64>,
    is_first_seen: bool,
}

/// Knows every upstream: its configuration, load, speed and health.
#[derive(Clone, Debug)]
pub struct UpstreamTable {
    options: RoutingOptions,
    pub(super) entries: SlotMap<UpstreamKey, UpstreamEntry>,
    by_name: HashMap<UpstreamName, UpstreamKey>,
    groups: HashMap<RouteTarget, UpstreamGroup>,
    subset: UpstreamSubset,
    work: SlotMap<WorkKey, UpstreamWork>,
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
            work: SlotMap::with_key(),
            is_configured: false,
        }
    }

    /// Returns the settings.
    #[must_use]
    pub const fn options(&self) -> &RoutingOptions {
        &self.options
    }

    /// Changes the number of routers that share the upstreams, including this one.
    pub fn set_routers(&mut self, routers: u32) {
        self.options.routers = routers.max(1);
    }

    /// Changes the live routers of the domain, which share its upstreams.
    pub fn set_members(&mut self, instance: InstanceName, members: Vec<InstanceName>) {
        if self.options.instance == instance && self.options.members == members {
            return;
        }
        self.options.instance = instance;
        self.options.members = members;
        self.rebuild_groups();
    }

    /// Returns the upstreams that this router works with.
    #[must_use]
    pub const fn subset(&self) -> &UpstreamSubset {
        &self.subset
    }

    /// Replaces the configuration. Known upstreams keep what was learnt about them.
    ///
    /// An upstream that is no longer configured receives no new work, and is forgotten when its
    /// work has ended. An upstream that is added later than the first configuration has a slow
    /// start.
    pub fn apply(&mut self, specs: &[UpstreamSpec], now: MonotonicTime) {
        for entry in self.entries.values_mut() {
            entry.removed = true;
        }
        for spec in specs {
            self.apply_spec(spec, now);
        }
        self.is_configured = true;
        self.forget_removed();
        self.rebuild_groups();
    }

    /// Records that an attempt was sent to `key`.
    ///
    /// Call this right after [`UpstreamTable::select`], so that the next selection counts it.
    pub fn started(
        &mut self,
        key: UpstreamKey,
        request: &RouteRequest,
        now: MonotonicTime,
    ) -> WorkKey {
        let mut work = UpstreamWork {
            upstream: key,
            started: now,
            expected_wait_s: 0.0,
            load: 0.0,
            target: request.target.clone(),
            tokens: f64::from(request.prompt_tokens),
            prefix: request.prefix.map(|hint| hint.digest),
            is_first_seen: false,
        };
        if let Some(entry) = self.entries.get_mut(key) {
            work.expected_wait_s = entry.expected_wait_s(&self.options, now);
            work.load = entry.estimated_load(&self.options, now);
            if let Some(hint) = request.prefix
                && entry.prefixes.contains(hint.digest)
            {
                work.tokens = (work.tokens - f64::from(hint.tokens)).max(0.0);
            }
            entry.load.started(now);
            entry.pending_tokens += work.tokens;
        }
        self.work.insert(work)
    }

    /// Records the first token of an attempt.
    pub fn first_token(&mut self, key: WorkKey, now: MonotonicTime) {
        let Some(work) = self.work.get_mut(key) else {
            return;
        };
        if std::mem::replace(&mut work.is_first_seen, true) {
            return;
        }
        let Some(entry) = self.entries.get_mut(work.upstream) else {
            return;
        };
        entry.pending_tokens = (entry.pending_tokens - work.tokens).max(0.0);
        let latency = now.since(work.started);
        let service_s = latency.as_secs_f64() - work.expected_wait_s;
        if let Some(group) = self.groups.get_mut(&work.target) {
            let line = &mut group.line;
            // Long prompts take longer without any overload.
            let scale = line.value_s(REFERENCE_TOKENS) / line.value_s(work.tokens);
            let comparable = latency.mul_f64(scale);
            let in_flight = work.load as u32;
            match entry.load.is_unqueued(self.options.report_max_age, now) {
                true => entry.limit.observe_unqueued(comparable, in_flight),
                false => entry.limit.observe(comparable, in_flight),
            }
            let speed = &mut entry.speed;
            speed.first_token(line, service_s, work.tokens, now);
        }
        if let Some(digest) = work.prefix {
            entry.prefixes.store(digest);
        }
    }

    /// Records the end of an attempt. A second call for the same attempt has no effect.
    pub fn finished(&mut self, key: WorkKey, outcome: AttemptOutcome, now: MonotonicTime) {
        let Some(work) = self.work.remove(key) else {
            return;
        };
        let Some(entry) = self.entries.get_mut(work.upstream) else {
            return;
        };
        entry.load.finished(now);
        if !work.is_first_seen {
            entry.pending_tokens = (entry.pending_tokens - work.tokens).max(0.0);
        }
        match outcome {
            AttemptOutcome::Answered => {
                entry.speed.answered(now.since(work.started));
                entry.health.succeeded(now);
            }
            AttemptOutcome::Refused => entry.limit.record_overload(),
            AttemptOutcome::Cancelled => {}
            AttemptOutcome::NotReached
            | AttemptOutcome::LostBeforeFirst
            | AttemptOutcome::LostMidStream
            | AttemptOutcome::TimedOut => self.record_failure(work.upstream, outcome, now),
        }
        self.forget_if_removed(work.upstream);
    }

    /// Records a load report. An older report than the last is ignored.
    pub fn load_report(&mut self, upstream: &UpstreamName, report: LoadReport, now: MonotonicTime) {
        let Some(entry) = self.entry_mut(upstream) else {
            return;
        };
        let at = MonotonicTime::from_micros(
            now.as_micros()
                .saturating_sub(u64::try_from(report.age.as_micros()).unwrap_or(u64::MAX)),
        );
        entry.load.report(report.running, report.queued, at);
        entry.says_leaving = report.leaving;
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

    /// Records what the instance list says about an upstream.
    pub fn instance_state(&mut self, upstream: &UpstreamName, state: InstanceState) {
        if let Some(entry) = self.entry_mut(upstream) {
            entry.listed = state;
        }
    }

    /// Returns how many more requests the upstreams of `target` take now.
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

    /// Returns the names of all upstreams of `target`.
    pub fn upstreams(&self, target: &RouteTarget) -> impl Iterator<Item = &UpstreamName> {
        let keys = self.group(target).into_iter().flat_map(UpstreamGroup::keys);
        keys.map(|key| &self.entries[key].spec.name)
    }

    /// Returns the names of the upstreams of `target` that are neither leaving nor ejected.
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

    /// Returns the state of every upstream, with the reason why it is used or not.
    #[must_use]
    pub fn snapshot(&self, now: MonotonicTime) -> TableSnapshot {
        let mut upstreams: Vec<_> = self
            .entries
            .values()
            .map(|entry| describe(entry, self.reference_s(entry, now), &self.options, now))
            .collect();
        upstreams.sort_by(|left, right| left.name.cmp(&right.name));
        TableSnapshot {
            upstreams,
            in_flight: self.work.len(),
        }
    }

    /// Returns the expected seconds to first token of a prompt of the reference length.
    fn reference_s(&self, entry: &UpstreamEntry, now: MonotonicTime) -> f64 {
        let group = entry
            .spec
            .targets()
            .find_map(|target| self.groups.get(&target));
        let line = group.map_or_else(LatencyLine::default, |group| group.line);
        line.value_s(REFERENCE_TOKENS) * entry.speed.factor(now)
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
            sharing: None,
            report_max_age: self.options.report_max_age,
            penalty,
            listed: InstanceState::Live,
            says_leaving: false,
            load: LoadEstimate::default(),
            speed: SpeedEstimate::default(),
            health: UpstreamHealth::new(self.is_configured.then_some(now)),
            limit: ConcurrencyLimit::new(ConcurrencyOptions {
                max,
                ..ConcurrencyOptions::default()
            }),
            prefixes: PrefixMemory::default(),
            pending_tokens: 0.0,
        };
        let key = self.entries.insert(entry);
        self.by_name.insert(spec.name.clone(), key);
    }

    /// Chooses the subset, and sorts the upstreams into the groups of their models.
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
                    subset.routers = subset.routers.max(entry.sharing.unwrap_or(0));
                }
            }
        }
        for (target, group) in &mut self.groups {
            if let Some(known) = old.get(target) {
                group.line = known.line;
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
        // A report must outlive the wait for the next one, as it does at the shortest period.
        let period = self.subset.poll_period(&options.subset);
        let max_age = options.report_max_age.max(period.mul_f64(REPORT_PERIODS));
        for entry in self.entries.values_mut() {
            let sharing = self.subset.regular.get(&entry.spec.name);
            entry.sharing = sharing.copied().flatten();
            entry.report_max_age = max_age;
        }
    }

    fn record_failure(&mut self, key: UpstreamKey, outcome: AttemptOutcome, now: MonotonicTime) {
        let may_eject = self.may_eject(key, now);
        let options = &self.options;
        let entry = &mut self.entries[key];
        if outcome.is_loss() || outcome == AttemptOutcome::NotReached {
            entry.load.forget_report();
            entry.prefixes.clear();
        }
        let is_ejected = entry.health.ejected_until(now).is_some();
        if entry.health.failed(options) && may_eject && !is_ejected {
            entry.health.eject(options, now);
        }
    }

    /// Returns whether enough upstreams of the domain stay usable without `key`.
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

    fn forget_removed(&mut self) {
        let keys: Vec<_> = self.entries.keys().collect();
        for key in keys {
            self.forget_if_removed(key);
        }
    }

    fn forget_if_removed(&mut self, key: UpstreamKey) {
        let is_idle = |entry: &UpstreamEntry| entry.removed && entry.load.own() == 0;
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
        own: entry.load.own(),
        estimated_load: entry.estimated_load(options, now),
        report_age_ms: entry.load.report_age(now).map(|age| age.as_millis() as u64),
        limit: entry.limit.limit(),
        first_token_ms: entry.speed.is_known().then_some(first_s * 1e3),
        duration_ms: entry.speed.duration_s().map(|duration_s| duration_s * 1e3),
        failures_in_a_row: entry.health.in_a_row(),
        failure_rate: entry.health.failure_rate(),
    }
}
