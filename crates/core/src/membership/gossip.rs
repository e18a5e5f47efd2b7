//! Queue of member updates to be gossiped.

use std::collections::{BTreeMap, BTreeSet};

use crate::base::InstanceName;

/// Number of transmissions of a record per doubling of the fleet size; the usual factor for gossip
/// with occasional message loss.
const SENDS_PER_DOUBLING: u32 = 3;

/// Number of transmissions of a member that an instance learns of while it is joining.
const LIMITED_SENDS: u32 = 4;

/// Names of members with pending updates, ordered by the number of transmissions so far.
#[derive(Clone, Debug, Default)]
pub(super) struct GossipQueue {
    sent: BTreeMap<InstanceName, u32>,
    order: BTreeSet<(u32, InstanceName)>,
}

impl GossipQueue {
    /// Queues an update about a member; resets the transmission count if one is already queued.
    pub(super) fn push(&mut self, instance: InstanceName) {
        self.put(instance, 0);
    }

    /// Queues a member that others are likely to know already, for a few transmissions only.
    pub(super) fn push_limited(&mut self, instance: InstanceName, fleet_size: usize) {
        let sent = send_limit(fleet_size).saturating_sub(LIMITED_SENDS);
        self.put(instance, sent);
    }

    fn put(&mut self, instance: InstanceName, sent: u32) {
        if let Some(old) = self.sent.insert(instance.clone(), sent) {
            self.order.remove(&(old, instance.clone()));
        }
        self.order.insert((sent, instance));
    }

    /// Selects the updates for one message, those with the fewest transmissions first, and counts
    /// the transmission.
    pub(super) fn take(&mut self, count: usize, fleet_size: usize) -> Vec<InstanceName> {
        let limit = send_limit(fleet_size);
        let mut taken = Vec::with_capacity(count);
        while taken.len() < count
            && let Some((sent, instance)) = self.order.pop_first()
        {
            taken.push((sent + 1, instance));
        }
        for (sent, instance) in &taken {
            if *sent >= limit {
                self.sent.remove(instance);
            } else {
                self.sent.insert(instance.clone(), *sent);
                self.order.insert((*sent, instance.clone()));
            }
        }
        taken.into_iter().map(|(_, instance)| instance).collect()
    }
}

fn send_limit(fleet_size: usize) -> u32 {
    SENDS_PER_DOUBLING * (usize::BITS - fleet_size.leading_zeros()).max(1)
}
