//! Pings that wait for an ack.

use crate::base::{HolderId, InstanceName, MonotonicTime};

/// Tells how far a check of a member has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ProbePhase {
    /// The member itself was pinged.
    Direct,
    /// Others were asked to ping it.
    Relayed,
}

/// Describes an open check of a member.
#[derive(Clone, Debug)]
pub(super) struct MemberProbe {
    pub(super) nonce: u64,
    pub(super) target: InstanceName,
    pub(super) phase: ProbePhase,
    pub(super) deadline: MonotonicTime,
}

/// Describes a ping that is sent for another member.
#[derive(Clone, Debug)]
pub(super) struct RelayProbe {
    pub(super) nonce: u64,
    pub(super) origin: HolderId,
    pub(super) origin_address: String,
    pub(super) origin_nonce: u64,
    pub(super) deadline: MonotonicTime,
}

/// Walks over the members in random order, so that each is reached once per round.
#[derive(Clone, Debug, Default)]
pub(super) struct ProbeRound {
    order: Vec<InstanceName>,
}

impl ProbeRound {
    /// Returns the next member for which `usable` holds; starts a new round from `members` when
    /// the old one is used up.
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
