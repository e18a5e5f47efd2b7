//! Outstanding pings.

use crate::base::{HolderId, InstanceName, MonotonicTime};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ProbePhase {
    /// The member was pinged directly.
    Direct,
    /// Other members were asked to ping it.
    Relayed,
}

/// Outstanding probe of a member.
#[derive(Clone, Debug)]
pub(super) struct MemberProbe {
    pub(super) nonce: u64,
    pub(super) target: InstanceName,
    pub(super) phase: ProbePhase,
    pub(super) deadline: MonotonicTime,
}

/// Outstanding ping on behalf of another member.
#[derive(Clone, Debug)]
pub(super) struct RelayProbe {
    pub(super) nonce: u64,
    pub(super) origin: HolderId,
    pub(super) origin_address: String,
    pub(super) origin_nonce: u64,
    pub(super) deadline: MonotonicTime,
}

/// Iterates over the members in random order, so that each one is probed once per round.
#[derive(Clone, Debug, Default)]
pub(super) struct ProbeRound {
    order: Vec<InstanceName>,
}

impl ProbeRound {
    /// Returns the next member for which `usable` holds; starts a new round from `members` when
    /// the current one is exhausted.
    pub(super) fn next<R: rand::Rng>(
        &mut self,
        members: impl Fn() -> Vec<InstanceName>,
        usable: impl Fn(&InstanceName) -> bool,
        rng: &mut R,
    ) -> Option<InstanceName> {
        use rand::seq::SliceRandom;
        for _ in 0..2 {
            while let Some(instance) = self.order.pop() {
                if usable(&instance) {
                    return Some(instance);
                }
            }
            self.order = members();
            self.order.shuffle(rng);
        }
        None
    }
}
