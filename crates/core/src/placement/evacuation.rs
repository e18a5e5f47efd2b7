//! Failure domains whose upstreams get no new requests because an operator has asked for it.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use crate::base::{DomainName, MonotonicTime};

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
