//! Objects, rate limits and counters of the platform stand-in.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use bytes::Bytes;
use cornelarch_platform::{InstanceEntry, VersionedValue, store::MAX_VALUE_BYTES};
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::platform::{PlatformFaults, PlatformOptions};

/// Maximum number of keys in a list response.
const MAX_LIST_KEYS: usize = 1_000;

/// Call counters since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallCounts {
    /// Object reads, key listings and instance list reads that were served.
    pub reads: u64,
    /// Writes that were executed, whether or not the version matched.
    pub writes: u64,
    /// Writes rejected because the version did not match.
    pub conflicts: u64,
    /// Watches that were opened; each one counts as one call against the read limit.
    pub watches: u64,
    /// Currently waiting watches.
    pub watches_open: u64,
    /// Calls rejected because of the rate limit.
    pub rate_limited: u64,
    /// Calls rejected because of an outage.
    pub outage_refused: u64,
}

/// A write received by the API; no value means a deletion.
#[derive(Clone, Debug)]
pub(crate) struct WriteCall {
    pub(crate) key: String,
    pub(crate) expected_version: u64,
    pub(crate) value: Option<Bytes>,
}

/// The result of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum WriteOutcome {
    Written(u64),
    Conflict(u64),
    NotFound,
    TooLarge,
}

/// The kind of a call, which selects its rate limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CallKind {
    Read,
    Write,
}

/// The complete state of the platform stand-in.
#[derive(Debug)]
pub(crate) struct PlatformState {
    pub(crate) faults: PlatformFaults,
    pub(crate) counts: CallCounts,
    pub(crate) held_calls: VecDeque<WriteCall>,
    objects: BTreeMap<String, VersionedValue>,
    revision: u64,
    reads: TokenBucket,
    writes: TokenBucket,
    visible_instances: Vec<InstanceEntry>,
    pending_instances: VecDeque<(Instant, Vec<InstanceEntry>)>,
}

impl PlatformState {
    pub(crate) fn new(options: &PlatformOptions) -> Self {
        Self {
            faults: PlatformFaults::default(),
            counts: CallCounts::default(),
            held_calls: VecDeque::new(),
            objects: BTreeMap::new(),
            revision: 0,
            reads: TokenBucket::new(options.reads_per_s),
            writes: TokenBucket::new(options.writes_per_s),
            visible_instances: Vec::new(),
            pending_instances: VecDeque::new(),
        }
    }

    /// Charges one call to the rate limit of `kind` and returns whether it is admitted.
    pub(crate) fn admit(&mut self, kind: CallKind) -> bool {
        let bucket = match kind {
            CallKind::Read => &mut self.reads,
            CallKind::Write => &mut self.writes,
        };
        let admitted = bucket.try_take(Instant::now());
        if !admitted {
            self.counts.rate_limited += 1;
        }
        admitted
    }

    pub(crate) fn get(&self, key: &str) -> Option<VersionedValue> {
        self.objects.get(key).cloned()
    }

    /// Executes a conditional write.
    ///
    /// All objects share one version counter, so that an object that is deleted and recreated
    /// never reuses a version.
    pub(crate) fn write(&mut self, call: WriteCall) -> WriteOutcome {
        self.counts.writes += 1;
        let current = self.objects.get(&call.key).map_or(0, |value| value.version);
        if call
            .value
            .as_ref()
            .is_some_and(|value| value.len() > MAX_VALUE_BYTES)
        {
            return WriteOutcome::TooLarge;
        }
        if call.value.is_none() && current == 0 {
            return WriteOutcome::NotFound;
        }
        if current != call.expected_version {
            self.counts.conflicts += 1;
            return WriteOutcome::Conflict(current);
        }
        self.revision += 1;
        let version = self.revision;
        match call.value {
            Some(value) => {
                let value = VersionedValue { version, value };
                self.objects.insert(call.key, value);
            }
            None => {
                self.objects.remove(&call.key);
            }
        }
        WriteOutcome::Written(version)
    }

    pub(crate) fn list(&self, prefix: &str, after: &str) -> Vec<(String, u64)> {
        let from = prefix.max(after).to_owned();
        self.objects
            .range(from..)
            .take_while(|(key, _)| key.starts_with(prefix))
            .filter(|(key, _)| key.as_str() > after)
            .take(MAX_LIST_KEYS)
            .map(|(key, value)| (key.clone(), value.version))
            .collect()
    }

    /// Replaces the instance list after the current lag.
    pub(crate) fn set_instances(&mut self, entries: Vec<InstanceEntry>) {
        let lag = Duration::from_millis(self.faults.instance_lag_ms);
        self.pending_instances
            .push_back((Instant::now() + lag, entries));
    }

    pub(crate) fn instances(&mut self) -> Vec<InstanceEntry> {
        let now = Instant::now();
        while self
            .pending_instances
            .front()
            .is_some_and(|(at, _)| *at <= now)
        {
            if let Some((_, entries)) = self.pending_instances.pop_front() {
                self.visible_instances = entries;
            }
        }
        self.visible_instances.clone()
    }
}

/// A token bucket that allows bursts of one second; a rate of 0 means no limit.
#[derive(Debug)]
struct TokenBucket {
    per_s: f64,
    tokens: f64,
    refilled_at: Instant,
}

impl TokenBucket {
    fn new(per_s: u32) -> Self {
        let per_s = f64::from(per_s);
        Self {
            per_s,
            tokens: per_s,
            refilled_at: Instant::now(),
        }
    }

    fn try_take(&mut self, now: Instant) -> bool {
        if self.per_s == 0.0 {
            return true;
        }
        let gained = now.duration_since(self.refilled_at).as_secs_f64() * self.per_s;
        self.tokens = (self.tokens + gained).min(self.per_s);
        self.refilled_at = now;
        let admitted = self.tokens >= 1.0;
        if admitted {
            self.tokens -= 1.0;
        }
        admitted
    }
}
