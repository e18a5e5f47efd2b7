//! Records that wait to be told to other members.

use std::collections::{BTreeMap, BTreeSet};

use crate::base::InstanceName;

/// Times that a record is sent per doubling of the fleet, the usual factor for gossip with
/// occasional message loss.
const SENDS_PER_DOUBLING: u32 = 3;

/// Times that a member is sent which an instance learns while it joins.
const BRIEF_SENDS: u32 = 4;

/// Holds the names of members with news, and how often each was sent.
#[derive(Clone, Debug, Default)]
pub(super) struct SpreadQueue {
    sent: BTreeMap<InstanceName, u32>,
    order: BTreeSet<(u32, InstanceName)>,
}

impl SpreadQueue {
    /// Adds news about a member, which starts anew if older news wait.
    pub(super) fn push(&mut self, instance: InstanceName) {
        self.put(instance, 0);
    }

    /// Adds a member that others are likely to know; it is sent a few times only.
    pub(super) fn push_briefly(&mut self, instance: InstanceName, fleet_size: usize) {
        let sent = send_limit(fleet_size).saturating_sub(BRIEF_SENDS);
        self.put(instance, sent);
    }

    fn put(&mut self, instance: InstanceName, sent: u32) {
        if let Some(old) = self.sent.insert(instance.clone(), sent) {
            self.order.remove(&(old, instance.clone()));
        }
        self.order.insert((sent, instance));
    }

    /// Chooses the news for one message, least sent first, and counts them as sent.
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
