//! What a process knows about its own claims.

use std::collections::{BTreeMap, VecDeque};

use crate::order::{ClaimId, OrderCall};

/// Largest number of ended claims that are remembered; older ones answer `unknown`.
const MAX_ENDED_CLAIMS: usize = 4_096;

/// Tells what the reading process knows about the claim in a record.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum LocalClaim {
    /// Nothing: the claim belongs to another process, or ended after it was sent.
    #[default]
    Unknown,
    /// A call of this process that still runs.
    Running,
    /// A call of this process that provably was not run and never will be.
    NotRun,
}

/// Holds the claims of this process by id.
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

    /// Records the state of a call; the daemon does so when it opens a call and after every
    /// event, before it carries out the effect.
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

    /// Returns what is known about a claim.
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
