//! Failure domains whose upstreams get no new requests because an operator has asked for it.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use crate::base::{DomainName, MonotonicTime};

/// Number of times that all peers are told of a change; datagrams may be lost.
const ANNOUNCEMENTS: u32 = 2;
/// Time after a change for which random peers are told of it. By then, the instances that an outage
/// or a partition kept from the news have had it from the platform.
const REPEAT_TIME: Duration = Duration::from_secs(30);
/// Time in which the upstreams of a domain come back into use after an evacuation.
const RETURN_TIME: Duration = Duration::from_secs(3);

/// The evacuated failure domains at a revision of the store.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EvacuationState {
    /// Revision of the store; 0 if it was never read.
    pub revision: u64,
    /// The evacuated domains.
    pub domains: BTreeSet<DomainName>,
}

/// The request to evacuate a domain was made or taken back.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EvacuationEvent {
    /// The domain.
    pub domain: DomainName,
    /// Whether the domain is evacuated.
    pub is_evacuated: bool,
}

impl EvacuationState {
    /// Returns the state at a later revision, after these events in their order. An earlier revision
    /// changes nothing.
    #[must_use]
    pub fn advance(&self, revision: u64, events: &[EvacuationEvent]) -> Self {
        let mut state = self.clone();
        if revision <= self.revision {
            return state;
        }
        state.revision = revision;
        for event in events {
            match event.is_evacuated {
                true => state.domains.insert(event.domain.clone()),
                false => state.domains.remove(&event.domain),
            };
        }
        state
    }
}

/// What a newer state has changed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EvacuationChange {
    /// Domains whose evacuation has begun.
    pub begun: Vec<DomainName>,
    /// Domains whose evacuation has ended.
    pub ended: Vec<DomainName>,
}

impl EvacuationChange {
    /// Returns whether nothing has changed.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.begun.is_empty() && self.ended.is_empty()
    }
}

/// The newest known state and the domains that come back into use.
#[derive(Clone, Debug, Default)]
pub(super) struct EvacuationTracker {
    state: EvacuationState,
    /// Ends of evacuations.
    ended_at: BTreeMap<DomainName, MonotonicTime>,
}

impl EvacuationTracker {
    /// Takes over a state, unless the known one is as new.
    pub(super) fn merge(
        &mut self,
        state: &EvacuationState,
        now: MonotonicTime,
    ) -> EvacuationChange {
        if state.revision <= self.state.revision {
            return EvacuationChange::default();
        }
        let (known, new) = (&self.state.domains, &state.domains);
        let change = EvacuationChange {
            begun: new.difference(known).cloned().collect(),
            ended: known.difference(new).cloned().collect(),
        };
        for domain in &change.begun {
            self.ended_at.remove(domain);
        }
        let ended = change.ended.iter().cloned();
        self.ended_at.extend(ended.map(|domain| (domain, now)));
        self.state = state.clone();
        change
    }

    pub(super) const fn state(&self) -> &EvacuationState {
        &self.state
    }

    pub(super) fn contains(&self, domain: &DomainName) -> bool {
        self.state.domains.contains(domain)
    }

    /// Returns whether an upstream of a domain is still held back after the end of an evacuation.
    /// `phase`, from 0 to 1, differs between upstreams and instances.
    pub(super) fn is_returning(&self, domain: &DomainName, phase: f64, now: MonotonicTime) -> bool {
        let ended = self.ended_at.get(domain);
        ended.is_some_and(|at| now.since(*at) < RETURN_TIME.mul_f64(phase))
    }
}

/// Decides when an instance tells its peers which domains are evacuated.
#[derive(Clone, Debug, Default)]
pub struct EvacuationNews {
    announcements: u32,
    domains: BTreeSet<DomainName>,
    changed_at: Option<MonotonicTime>,
}

impl EvacuationNews {
    /// Records that this instance has read a change at the platform, which all peers are told.
    pub const fn record_read(&mut self) {
        self.announcements = ANNOUNCEMENTS;
    }

    /// Returns whether all peers are to be told now.
    pub const fn take_announcement(&mut self) -> bool {
        let is_due = self.announcements > 0;
        self.announcements = self.announcements.saturating_sub(1);
        is_due
    }

    /// Returns whether random peers are to be told: while a domain is evacuated, and for some time
    /// after a change.
    pub fn is_repeated(&mut self, state: &EvacuationState, now: MonotonicTime) -> bool {
        if self.domains != state.domains {
            self.domains = state.domains.clone();
            self.changed_at = Some(now);
        }
        let is_recent = self
            .changed_at
            .is_some_and(|at| now.since(at) < REPEAT_TIME);
        !self.domains.is_empty() || is_recent
    }
}
