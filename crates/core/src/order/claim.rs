//! State of the claims that this process made.

use std::collections::{BTreeMap, VecDeque};

use crate::order::{ClaimId, OrderCall};

/// Largest number of claims that are kept after their call was not run. Older ones are reported as
/// [`LocalClaim::Unknown`].
const MAX_ENDED_CLAIMS: usize = 4_096;

/// What the process that reads a record knows about the claim in it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum LocalClaim {
    /// The claim belongs to another process, or its call ended after it was sent.
    #[default]
    Unknown,
    /// The claim belongs to a call of this process that is still in progress.
    Running,
    /// The claim belongs to a call of this process that was provably not run and never will be.
    NotRun,
}

/// The claims of this process by id.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct ClaimTable {
    claims: BTreeMap<ClaimId, LocalClaim>,
    ended: VecDeque<ClaimId>,
}

impl ClaimTable {
    /// Creates an empty table.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records the state of a call. The daemon must call this when it opens a call and after every
    /// event, before it executes the resulting effect.
    pub fn track(&mut self, call: &OrderCall) {
        let claim = call.claim();
        match call.local_claim() {
            LocalClaim::Unknown => {
                self.claims.remove(&claim);
            }
            LocalClaim::Running => {
                self.claims.insert(claim, LocalClaim::Running);
            }
            LocalClaim::NotRun => self.insert_not_run(claim),
        }
    }

    /// Returns the state of a claim.
    #[must_use]
    pub fn lookup(&self, claim: ClaimId) -> LocalClaim {
        self.claims.get(&claim).copied().unwrap_or_default()
    }

    fn insert_not_run(&mut self, claim: ClaimId) {
        if self.claims.insert(claim, LocalClaim::NotRun) == Some(LocalClaim::NotRun) {
            return;
        }
        self.ended.push_back(claim);
        if self.ended.len() > MAX_ENDED_CLAIMS
            && let Some(oldest) = self.ended.pop_front()
        {
            self.claims.remove(&oldest);
        }
    }
}
